// This file lists the simulated cases.

package clquota

import (
	"time"

	"github.com/chestnutlead/chestnutlead/internal/coordination/clgossip"
)

type surgeCase struct {
	name string
	simulation
}

// calmGateways are the numbers of gateways of the cases without a surge.
var calmGateways = []int{132, 70}

// surgeCases returns the cases with a surge.
func surgeCases(isolatedFrom, isolatedFor, down time.Duration) []surgeCase {
	var cases []surgeCase
	for _, n := range []int{132, 95, 70, 9} {
		cases = append(cases,
			surgeCase{"surge", simulation{n: n}},
			surgeCase{"restart of all at once", simulation{n: n, restarts: allAt(n, simSurgeStart+3*time.Second)}})
	}
	const gap = 1300 * time.Millisecond
	for _, n := range []int{9, 12} {
		inTurn := restartsInTurn(n, gap)
		cases = append(cases,
			surgeCase{"restarts in turn", simulation{n: n, restarts: inTurn, down: down}},
			surgeCase{"terminations in turn without notice", simulation{n: n, restarts: inTurn, down: down, killed: true}},
			surgeCase{"isolation", simulation{n: n, isolatedFrom: isolatedFrom, isolatedFor: isolatedFor}},
			surgeCase{"restarts in turn and isolation", simulation{n: n, restarts: inTurn, down: down, isolatedFrom: isolatedFrom, isolatedFor: isolatedFor}})
	}
	return cases
}

// newSimLimiter returns the limiter of a simulated gateway.
func newSimLimiter(bootTime uint64) *Limiter {
	return &Limiter{BootTime: bootTime, Tolerance: Tolerance{simOvershoot, simSlack}}
}

// simGrant returns what is granted of a quota with n gateways, as clnode does.
func simGrant(rate, burst float64, n int) (float64, float64) {
	return Tolerance{simOvershoot, simSlack}.Grant(rate, burst, n, clgossip.DigestInterval(n))
}

// receiveSimDigest gives a limiter the digest of another one, as clnode does.
func receiveSimDigest(to, from *Limiter, name string, spent map[string]float64, leaving bool, now time.Time) {
	to.RecordPeerSpending(name, from.BootTime, spent, now)
	if leaving {
		to.SetPeerLeaving(name)
	}
}
