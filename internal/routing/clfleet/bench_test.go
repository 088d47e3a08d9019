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

// newBusyFleet returns a fleet of 120 endpoints of an engine service or a plain one, at
// each of which each of 9 gateways runs a request, with fresh digests, so that all
// endpoints are considered.
func newBusyFleet(engine bool) *Fleet {
	f := &Fleet{DataCentre: "dc0", Rand: rand.New(rand.NewPCG(1, 1))}
	service := clcatalog.Service{Name: "s", MaxConns: 700}
	if engine {
		service.Engine = &clcatalog.Engine{Slots: 24, CacheTokens: 563_700}
	}
	c := &clcatalog.Catalog{Version: 1, Services: []clcatalog.Service{service}}
	c.BuildIndexes()
	f.SetCatalog(c)
	now := time.Now().Add(-time.Minute)
	var loads []EndpointLoad
	for i := range 120 {
		id := fmt.Sprint("i-", i)
		f.Put(clcatalog.Endpoint{ID: id, Service: "s", Version: "v1", DataCentre: fmt.Sprint("dc", i%3), Slots: 24}, now)
		loads = append(loads, EndpointLoad{EndpointHash: xxhash.Sum64String(id), Load: Load{Running: 1, Pending: PendingTokens{100}}})
	}
	f.MarkSynced()
	f.SetDigestInterval(200 * time.Millisecond)
	f.SetGateways("g0", make([]string, 8))
	for g := range 8 {
		f.SetPeerLoad(fmt.Sprint("g", g+1), loads)
	}
	return f
}

// pickBusy measures choices of a busy fleet.
func pickBusy(b *testing.B, f *Fleet) {
	now := time.Now()
	r := Request{ID: "r", Service: "s", TimeLeft: time.Second, TargetLatency: time.Second, Parts: []PromptPart{{ID: 1, Tokens: 5000}, {ID: 2, Tokens: 2000}}}
	b.ReportAllocs()
	for range b.N {
		f.Pick(r, now)
	}
}

func BenchmarkPickOf120(b *testing.B) {
	b.Run("engine", func(b *testing.B) { pickBusy(b, newBusyFleet(true)) })
	b.Run("plain", func(b *testing.B) { pickBusy(b, newBusyFleet(false)) })
}

func BenchmarkPickOf120ByCost(b *testing.B) {
	for _, engine := range []bool{true, false} {
		f := newBusyFleet(engine)
		f.CostAware = func(string) bool { return true }
		var statements []EndpointStatement
		for hash := range f.byHash {
			statements = append(statements, EndpointStatement{EndpointHash: hash, StatedLoad: StatedLoad{Running: 9, Slots: 24, Pace: 1.5}})
		}
		f.RecordPeerStatements(statements, time.Now())
		b.Run(map[bool]string{true: "engine", false: "plain"}[engine], func(b *testing.B) { pickBusy(b, f) })
	}
}
