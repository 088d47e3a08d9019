// This file measures what choices and digests cost in a large system.

package clfleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
)

// newLargeFleet returns a fleet of 3000 engines in five data centres, of which each of
// 300 gateways keeps ten busy, and the digests' loads by gateway.
func newLargeFleet() (*Fleet, [][]EndpointLoad) {
	f := &Fleet{DataCentre: "dc0", Rand: rand.New(rand.NewPCG(1, 1))}
	c := &clcatalog.Catalog{Version: 1, Services: []clcatalog.Service{{Name: "s", MaxConns: 700, Engine: &clcatalog.Engine{Slots: 16}}}}
	c.BuildIndexes()
	f.SetCatalog(c)
	now := time.Now().Add(-time.Hour)
	for i := range 3000 {
		f.Put(clcatalog.Endpoint{ID: fmt.Sprint("i-", i), Service: "s", Version: "v1", DataCentre: fmt.Sprint("dc", i%5), Slots: 16}, now)
	}
	f.MarkSynced()
	f.SetDigestInterval(2 * time.Second)
	f.SetGateways("g0", make([]string, 299))
	loads := make([][]EndpointLoad, 300)
	for g := range loads {
		for i := range 10 {
			loads[g] = append(loads[g], EndpointLoad{EndpointHash: xxhash.Sum64String(fmt.Sprint("i-", (g*37+i*101)%3000)), Load: Load{Running: 1, Pending: PendingTokens{100}}})
		}
		f.SetPeerLoad(fmt.Sprint("g", g), loads[g])
	}
	return f, loads
}

func BenchmarkSetPeerLoad(b *testing.B) {
	f, loads := newLargeFleet()
	names := make([]string, len(loads))
	for g := range names {
		names[g] = fmt.Sprint("g", g)
	}
	b.ResetTimer()
	for i := range b.N {
		f.SetPeerLoad(names[i%300], loads[(i+1)%300])
	}
}

func BenchmarkPick(b *testing.B) {
	f, _ := newLargeFleet()
	now := time.Now()
	for i := range b.N {
		f.Pick(Request{ID: fmt.Sprint(i), Service: "s", TimeLeft: time.Second, TargetLatency: time.Second, Parts: []PromptPart{{ID: uint64(i % 16), Tokens: 5000}, {ID: uint64(i), Tokens: 2000}}}, now)
	}
}
