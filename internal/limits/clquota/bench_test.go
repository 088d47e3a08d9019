// This file measures the overhead of a decision.

package clquota

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkAdmit measures Admit with 132 gateways and 16 accounts, of which all peers
// have reported spending, with infrequent digests.
func BenchmarkAdmit(b *testing.B) {
	const gateways, accounts, cost = 132, 16, 100.0
	now := time.Unix(1000, 0)
	l := &Limiter{BootTime: uint64(now.UnixNano())}
	l.SetGateways(gateways, now)
	l.SetDigestInterval(880 * time.Millisecond)
	names, spent := make([]string, accounts), make(map[string]float64)
	for k := range names {
		names[k] = fmt.Sprint("account", k)
		l.SetLimit(names[k], 1e9, 1e9, now)
	}
	for round := range 4 {
		now = now.Add(880 * time.Millisecond)
		for _, name := range names {
			spent[name] = float64(round) * cost
		}
		for i := range gateways - 1 {
			l.RecordPeerSpending(fmt.Sprint(i), l.BootTime, spent, now)
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Microsecond)
		l.Admit(names[i%accounts], cost, now)
	}
}
