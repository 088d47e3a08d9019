// This file checks the filters, states and decisions of routing.

package clroute

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/cltest"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1000, 0)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	cltest.Main(m, map[string]string{"seed": "20260102"})
}

// TestPickFilters guards against a request on an endpoint that a filter
// excludes, and against a refusal while an endpoint passes all filters.
func TestPickFilters(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tb := NewTable(Config{Sample: rapid.IntRange(1, 8).Draw(t, "sample")})
		rnd := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		r := Request{Service: "s", Version: "v1", Tokens: 100, BlockTokens: 10, Prefix: []uint64{1, 2, 3}}
		r.Alone = rapid.IntRange(0, 3).Draw(t, "alone") == 0
		tb.SetDataCentre("d0", rapid.Bool().Draw(t, "out"))
		type state struct{ version, out, leaving, open, excluded, busy, noSlot bool }
		states := map[string]state{}
		for i := range rapid.IntRange(0, 40).Draw(t, "endpoints") {
			id := fmt.Sprint("e", i)
			draw := func(name string) bool { return rapid.IntRange(0, 2).Draw(t, name) == 0 }
			dc := fmt.Sprint("d", i%2)
			s := state{draw("version"), tb.out[dc], draw("leaving"), draw("open"), draw("excluded"), draw("busy"), draw("slot")}
			e := Endpoint{ID: id, Service: "s", Version: "v1", DataCentre: dc}
			if s.version {
				e.Version = "v2"
			}
			tb.Set(e)
			tb.Sent(id, r.Prefix[:i%4], testStart)
			tb.Report(id, Load{ProducedAt: testStart, Running: map[bool]int{true: 3}[s.busy]})
			tb.SetLeaving(id, s.leaving)
			for range map[bool]int{true: defaultFailures}[s.open] {
				tb.Ended(id, Result{Fault: true}, testStart)
			}
			if s.excluded {
				r.Excluded = append(r.Excluded, id)
			}
			tb.SetSlots(id, 1)
			s.busy = s.busy && r.Alone
			states[id] = s
		}
		passing := 0
		for i := range len(states) {
			id := fmt.Sprint("e", i)
			tb.SetSlots(id, map[bool]int{false: 1}[states[id].noSlot])
		}
		for _, s := range states {
			if s == (state{}) {
				passing++
			}
		}
		c := tb.Pick(&r, rnd, testStart)
		require.Equal(t, passing == 0, c.Reason.Refused(), "reason %v", c.Reason)
		switch {
		case !c.Reason.Refused():
			require.Equal(t, state{}, states[c.Endpoint], "reason %v", c.Reason)
		case c.Reason == RefusedNoSlot:
			require.Equal(t, state{noSlot: true}, states[c.Endpoint])
		default:
			require.Empty(t, c.Endpoint)
		}
	})
}

// TestAssignVersion guards against a share other than the configured one, and
// against requests that return to the old version when the share rises.
func TestAssignVersion(t *testing.T) {
	const n = 100000
	for _, permille := range []uint32{0, 50, 250, 500, 1000} {
		assigned := 0
		for i := range n {
			id := fmt.Sprintf("request-%d", i)
			if AssignVersion(Split{Old: "a", New: "b", NewPermille: permille}, id) == "b" {
				assigned++
				require.Equal(t, "b", AssignVersion(Split{Old: "a", New: "b", NewPermille: min(permille+200, 1000)}, id))
			}
			require.Equal(t, "a", AssignVersion(Split{Old: "a", New: "b", NewPermille: permille, NewSuspended: true}, id))
		}
		// Five standard deviations of the binomial distribution at one half.
		require.InDelta(t, float64(permille)/1000, float64(assigned)/n, 5*0.5/316)
	}
}

// TestPrefixIndex guards against credit for blocks that an endpoint lost.
func TestPrefixIndex(t *testing.T) {
	prefix := []uint64{1, 2, 3, 4}
	r := Request{Service: "s", Version: "v", Tokens: 400, BlockTokens: 100, Prefix: prefix}
	for _, c := range []struct {
		name   string
		event  func(tb *Table)
		cached int
	}{
		{"own send", func(*Table) {}, 400},
		{"last block removed", func(tb *Table) { tb.CacheEvent("a", 1, 4, false) }, 300},
		{"gap", func(tb *Table) { tb.CacheEvent("a", 1, 9, true); tb.CacheEvent("a", 3, 10, true) }, 200},
		{"gap, then all", func(tb *Table) {
			tb.CacheEvent("a", 1, 9, true)
			tb.CacheEvent("a", 3, 10, true)
			tb.CacheContent("a", 3, prefix[:2])
		}, 200},
		{"repeated event", func(tb *Table) { tb.CacheEvent("a", 2, 9, true); tb.CacheEvent("a", 2, 4, false) }, 400},
		{"restart", func(tb *Table) { tb.Report("a", Load{BootID: "b2", ProducedAt: testStart.Add(time.Second)}) }, 0},
		{"restart beside another holder", func(tb *Table) {
			tb.Set(Endpoint{ID: "b", Service: "s", Version: "v"})
			tb.Sent("b", prefix, testStart)
			tb.Report("a", Load{BootID: "b2", ProducedAt: testStart.Add(time.Second)})
		}, 0},
		{"replaced", func(tb *Table) {
			tb.Remove("a")
			tb.Set(Endpoint{ID: "a", Service: "s", Version: "v"})
		}, 0},
		{"aged out", func(tb *Table) {
			for b := range uint64(64) {
				tb.CacheEvent("a", b+1, 100+b, true)
			}
		}, 0},
	} {
		tb := NewTable(Config{PrefixBlocks: 16})
		tb.Set(Endpoint{ID: "a", Service: "s", Version: "v"})
		tb.Report("a", Load{BootID: "b1", ProducedAt: testStart})
		tb.Sent("a", prefix, testStart)
		c.event(tb)
		tb.SetSlots("a", 1)
		require.Equal(t, c.cached, tb.Pick(&r, rand.New(rand.NewPCG(1, 1)), testStart).CachedTokens, c.name)
	}
}

// TestCircuit guards against load on a failing endpoint, and against one that
// never gets another chance.
func TestCircuit(t *testing.T) {
	tb := NewTable(Config{})
	tb.Set(Endpoint{ID: "a", Service: "s", Version: "v"})
	r := Request{Service: "s", Version: "v"}
	now := testStart
	fail := func(n int, res Result) func(time.Time) {
		return func(now time.Time) {
			for range n {
				tb.Ended("a", res, now)
			}
		}
	}
	send := func(now time.Time) { tb.Sent("a", nil, now) }
	for _, c := range []struct {
		name  string
		after time.Duration
		event func(time.Time)
		open  bool
	}{
		{"four failures", 0, fail(4, Result{Fault: true}), false},
		{"suspect crashes", 0, fail(9, Result{Fault: true, Suspect: true}), false},
		{"fifth failure", 0, fail(1, Result{Fault: true}), true},
		{"later failures of earlier requests", 900 * time.Millisecond, fail(5, Result{Fault: true}), true},
		{"over", 200 * time.Millisecond, func(time.Time) {}, false},
		{"trial", 0, send, true},
		{"failed trial", 0, fail(1, Result{Fault: true}), true},
		{"open twice as long", 1500 * time.Millisecond, func(time.Time) {}, true},
		{"second trial", 600 * time.Millisecond, func(time.Time) {}, false},
		{"success", 0, fail(1, Result{OK: true}), false},
		{"closed", 0, fail(4, Result{Fault: true}), false},
	} {
		now = now.Add(c.after)
		c.event(now)
		tb.SetSlots("a", 1)
		require.Equal(t, c.open, tb.Pick(&r, rand.New(rand.NewPCG(1, 1)), now).Reason == RefusedCircuitOpen, c.name)
	}
}

// TestCrashes guards against a request that crashes endpoint after endpoint, and
// against refusing one that did not.
func TestCrashes(t *testing.T) {
	f := NewFingerprint("account", "service", []byte("body"))
	require.NotEqual(t, f, NewFingerprint("accounts", "ervice", []byte("body")))
	for _, c := range []struct {
		name   string
		events func(c *Crashes)
		want   Verdict
	}{
		{"connection broke without a restart", func(c *Crashes) {
			c.Broke(f, "a", "b1", testStart)
			c.Booted("a", "b1", testStart)
		}, RunNormally},
		{"one crash", func(c *Crashes) { testCrash(c, f, "a", "b1") }, RunAlone},
		{"fact arrives twice", func(c *Crashes) {
			for _, crash := range testCrash(c, f, "a", "b1") {
				c.Learn(crash, testStart)
			}
		}, RunAlone},
		{"two crashes", func(c *Crashes) { testCrash(c, f, "a", "b1"); testCrash(c, f, "b", "b1") }, RefuseCrash},
		{"one here, one at a peer", func(c *Crashes) {
			testCrash(c, f, "a", "b1")
			c.Learn(Crash{f, "z", "b7", testStart}, testStart)
		}, RefuseCrash},
		{"second run ended well", func(c *Crashes) { testCrash(c, f, "a", "b1"); c.Finished(f) }, RunNormally},
		{"announced reclaim", func(c *Crashes) {
			c.Announced("a", testStart.Add(time.Minute))
			testCrash(c, f, "a", "b1")
		}, RunNormally},
		{"an hour ago", func(c *Crashes) { c.Learn(Crash{f, "a", "b1", testStart.Add(-time.Hour)}, testStart) }, RunNormally},
	} {
		cr := NewCrashes()
		c.events(cr)
		cr.Expire(testStart)
		require.Equal(t, c.want, cr.Verdict(f, testStart), c.name)
		cr.Expire(testStart.Add(2 * time.Hour))
		require.Empty(t, cr.suspects, c.name)
		require.Empty(t, cr.broken, c.name)
	}
}

func testCrash(c *Crashes, f Fingerprint, endpoint, boot string) []Crash {
	c.Broke(f, endpoint, boot, testStart)
	return c.Booted(endpoint, boot+"-next", testStart)
}

// TestChooseHandover guards against tokens recomputed without need, and against
// an option that does not fit the time left.
func TestChooseHandover(t *testing.T) {
	for _, c := range []struct {
		h         Handover
		want      HandoverOption
		recompute int
	}{
		{Handover{Left: 10 * time.Second, Remainder: 8 * time.Second, Tokens: 500}, HandoverFinish, 0},
		{Handover{Left: 10 * time.Second, Remainder: 9 * time.Second, Tokens: 500}, HandoverResume, 500},
		{Handover{Left: 10 * time.Second, Remainder: time.Minute, Transfer: time.Second, CanExport: true, Tokens: 500}, HandoverExport, 0},
		{Handover{Left: time.Second, Remainder: time.Minute, Transfer: time.Second, CanExport: true, Tokens: 500, CachedElsewhere: 300}, HandoverResume, 200},
		{Handover{Left: time.Minute, Remainder: time.Hour, Transfer: time.Second, CanExport: true, Tokens: 500, CachedElsewhere: 500}, HandoverResume, 0},
	} {
		option, recompute := ChooseHandover(c.h)
		require.Equal(t, c.want, option, "%+v", c.h)
		require.Equal(t, c.recompute, recompute, "%+v", c.h)
	}
}

// BenchmarkPick measures one decision among 600 endpoints in 5 data centres.
func BenchmarkPick(b *testing.B) {
	for _, c := range []struct {
		name      string
		withSlots int // one in so many endpoints
	}{{"slots_everywhere", 1}, {"slots_at_1_of_30", 30}, {"no_slots", 1 << 30}} {
		b.Run(c.name, func(b *testing.B) {
			tb := NewTable(Config{})
			rnd := rand.New(rand.NewPCG(1, 1))
			prompts := make([][]uint64, 512)
			for i := range prompts {
				for k := range uint64(64) {
					prompts[i] = append(prompts[i], uint64(i/8)<<32|uint64(i%8)<<16*(k/32)|k)
				}
			}
			for i := range 600 {
				id := fmt.Sprint("endpoint-", i)
				tb.Set(Endpoint{ID: id, Service: "brew-llm", Version: "v1", DataCentre: fmt.Sprint("d", i%5)})
				tb.Sent(id, prompts[i%len(prompts)], testStart)
				tb.Report(id, Load{ProducedAt: testStart, Running: rnd.IntN(8)})
				if (i+1)%c.withSlots == 0 {
					tb.SetSlots(id, 2)
				}
			}
			r := Request{Service: "brew-llm", Version: "v1", Tokens: 1024, BlockTokens: 16, Excluded: []string{"endpoint-3"}}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				r.Prefix = prompts[i%len(prompts)]
				tb.Pick(&r, rnd, testStart)
			}
		})
	}
}
