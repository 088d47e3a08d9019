// This file compares Pick with simple policies on a simulated fleet.

package clroute

import (
	"container/list"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	fleetEntries    = 9
	fleetEndpoints  = 15
	fleetSlots      = 8
	fleetSlow       = 5 // every n-th endpoint has half the speed
	fleetBlock      = 64
	fleetPerToken   = 100 * time.Microsecond
	fleetCache      = 1500 // blocks
	fleetTenants    = 20
	fleetSessions   = 200
	fleetOutput     = 1500 * time.Millisecond
	fleetPatience   = 2500 * time.Millisecond
	fleetRate       = 45.0 // requests a second, below capacity
	fleetSeeds      = 10   // of each row of BenchmarkOverload
	fleetRun        = 30 * time.Second
	fleetReports    = time.Second
	fleetFull       = 10 * time.Second
	fleetLostEvents = 0.02
)

type (
	fleetPolicy func(f *fleet, entry int, r *Request) string

	fleetEndpoint struct {
		id       string
		index    int
		slow     time.Duration
		freeAt   time.Time // end of the last prefill
		inFlight []time.Time
		prefills []time.Time
		lru      *list.List
		blocks   map[uint64]*list.Element
		sequence uint64
		events   []fleetEvent
		reported int
	}

	fleetEvent struct {
		sequence, block uint64
		added           bool
	}

	fleetWaiting struct {
		at             time.Time
		session, entry int
		output         float64 // multiple of fleetOutput
	}

	fleetAnswer struct {
		at    time.Time
		entry int
		id    string
		r     Result
	}

	// fleetVariant is Pick without one of its parts.
	fleetVariant struct {
		name                       string
		noPrefix, noSpeed, noSends bool
		cfg                        Config
	}

	// fleet is one run of a policy.
	fleet struct {
		// load draws what all policies share, rnd what a policy draws.
		load, rnd *rand.Rand
		now       time.Time
		endpoints []*fleetEndpoint
		tables    []*Table
		observe   []fleetAnswer
		turns     [fleetSessions]int
		lives     [fleetSessions]uint64
		queue     []fleetWaiting
		next      int
		own       [fleetEntries]int // turns of the entries
		rate      float64

		first              []time.Duration
		refused            int
		tokens, recomputed int
		expected           time.Duration
	}
)

var fleetPolicies = []struct {
	name   string
	choose fleetPolicy
}{
	{"random", func(f *fleet, _ int, _ *Request) string {
		return f.among(func(a, b *fleetEndpoint) bool { return false })
	}},
	// One turn of all entries is more than processes can have without a message
	// for each request; it shows the best of the policy.
	{"round robin, one turn", func(f *fleet, _ int, _ *Request) string { return f.turn(&f.next) }},
	{"round robin, own turns", func(f *fleet, entry int, _ *Request) string { return f.turn(&f.own[entry]) }},
	{"least reported load", func(f *fleet, _ int, _ *Request) string {
		return f.among(func(a, b *fleetEndpoint) bool { return a.reported < b.reported })
	}},
}

var fleetVariants = []fleetVariant{
	{name: "pick"},
	{name: "pick without prefix index", noPrefix: true},
	{name: "pick without observed speed", noSpeed: true},
	{name: "pick without own sends", noSends: true},
	{name: "pick without ties", cfg: Config{Tie: 1}},
	{name: "pick, ties of 20 ms", cfg: Config{Tie: 20 * time.Millisecond}},
	{name: "pick, sample of 4", cfg: Config{Sample: 4}},
}

func (v fleetVariant) choose(f *fleet, entry int, r *Request) string {
	tb := f.tables[entry]
	for i, e := range f.endpoints {
		tb.SetSlots(e.id, fleetSlots-len(e.inFlight))
		if v.noSends {
			tb.hot[i].sent = 0
		}
		if v.noSpeed {
			tb.hot[i].factor = 1
		}
	}
	x := *r
	if v.noPrefix {
		x.Prefix = nil
	}
	c := tb.Pick(&x, f.rnd, f.now)
	if c.Reason.Refused() {
		return ""
	}
	f.expected = c.Expected
	return c.Endpoint
}

// TestCompareWithBaselines prints the comparison and guards against a policy
// that is worse than a simple one while there is a choice between endpoints. All
// policies see the same free slots and the same requests.
func TestCompareWithBaselines(t *testing.T) {
	for seed := range uint64(3) {
		pick, pickComputed := measureFleet(t, "pick", seed+1, fleetRate, Config{}, fleetVariants[0].choose)
		for _, p := range fleetPolicies {
			p95, computed := measureFleet(t, p.name, seed+1, fleetRate, Config{}, p.choose)
			require.Less(t, pick, p95, p.name)
			require.Less(t, pickComputed, computed, p.name)
		}
	}
}

// BenchmarkOverload prints the same comparison near and above the fleet's
// capacity, where rarely more than one slot is free.
func BenchmarkOverload(b *testing.B) {
	for b.Loop() {
		for _, rate := range []float64{60, 70, 75, 80, 90} {
			printOverload(rate, "pick", fleetVariants[0].choose)
			for _, p := range fleetPolicies {
				printOverload(rate, p.name, p.choose)
			}
		}
	}
}

// printOverload prints the sum over the seeds; the log of a benchmark is cut
// after a few lines.
func printOverload(rate float64, name string, choose fleetPolicy) {
	var first []time.Duration
	refused := 0
	for seed := range uint64(fleetSeeds) {
		f := newFleet(seed+1, rate, Config{})
		f.run(choose)
		first, refused = append(first, f.first...), refused+f.refused
	}
	slices.Sort(first)
	fmt.Printf("seeds 1 to %d, rate %.0f, %-24s refused %5d of %6d, first token p50 %4d ms, p95 %4d ms\n", fleetSeeds, rate, name,
		refused, refused+len(first), first[len(first)/2].Milliseconds(), first[len(first)*95/100].Milliseconds())
}

// BenchmarkParts prints the comparison of Pick with itself without one part.
func BenchmarkParts(b *testing.B) {
	for b.Loop() {
		for _, v := range fleetVariants {
			for seed := range uint64(3) {
				measureFleet(b, v.name, seed+1, fleetRate, v.cfg, v.choose)
			}
		}
	}
}

// measureFleet returns the 95th percentile of the first-token time, and the
// part of prompt tokens that were not cached.
func measureFleet(t testing.TB, name string, seed uint64, rate float64, cfg Config, choose fleetPolicy) (time.Duration, float64) {
	f := newFleet(seed, rate, cfg)
	f.run(choose)
	slices.Sort(f.first)
	at := func(q float64) time.Duration { return f.first[int(q*float64(len(f.first)-1))].Round(time.Millisecond) }
	computed := float64(f.recomputed) / float64(f.tokens)
	t.Logf("seed %d, rate %.0f, %-27s first token p50 %v, p95 %v, p99 %v; prompt tokens computed %.3f; refused %d of %d",
		seed, rate, name, at(0.5), at(0.95), at(0.99), computed, f.refused, f.refused+len(f.first))
	return at(0.95), computed
}

func newFleet(seed uint64, rate float64, cfg Config) *fleet {
	f := &fleet{rate: rate, load: rand.New(rand.NewPCG(seed, 1)), rnd: rand.New(rand.NewPCG(seed, 2)), now: testStart}
	for range fleetEntries {
		cfg.PrefillPerToken = fleetPerToken
		f.tables = append(f.tables, NewTable(cfg))
	}
	for i := range fleetEndpoints {
		e := &fleetEndpoint{id: fmt.Sprint("e", i), index: i, slow: 1, lru: list.New(), blocks: map[uint64]*list.Element{}}
		if i%fleetSlow == 0 {
			e.slow = 2
		}
		f.endpoints = append(f.endpoints, e)
		for _, tb := range f.tables {
			tb.Set(Endpoint{ID: e.id, Service: "s", Version: "v"})
		}
	}
	return f
}

// turn returns the next endpoint with a slot.
func (f *fleet) turn(next *int) string {
	for range fleetEndpoints {
		*next = (*next + 1) % fleetEndpoints
		if e := f.endpoints[*next]; len(e.inFlight) < fleetSlots {
			return e.id
		}
	}
	return ""
}

// among returns the best of all endpoints with a slot, seen in random order.
func (f *fleet) among(less func(a, b *fleetEndpoint) bool) string {
	var best *fleetEndpoint
	for _, i := range f.rnd.Perm(fleetEndpoints) {
		if e := f.endpoints[i]; len(e.inFlight) < fleetSlots && (best == nil || less(e, best)) {
			best = e
		}
	}
	if best == nil {
		return ""
	}
	return best.id
}

func (f *fleet) run(choose fleetPolicy) {
	over := func(at time.Time) bool { return !at.After(f.now) }
	for ; f.now.Sub(testStart) < fleetRun; f.now = f.now.Add(time.Millisecond) {
		for _, e := range f.endpoints {
			e.inFlight = slices.DeleteFunc(e.inFlight, over)
		}
		f.observe = slices.DeleteFunc(f.observe, func(a fleetAnswer) bool {
			if over(a.at) {
				f.tables[a.entry].Ended(a.id, a.r, f.now)
			}
			return over(a.at)
		})
		if f.now.Sub(testStart)%fleetReports == 0 {
			f.report(over)
		}
		if f.load.Float64() < f.rate/1000 {
			f.queue = append(f.queue, fleetWaiting{f.now, f.load.IntN(fleetSessions), f.load.IntN(fleetEntries), f.load.ExpFloat64()})
		}
		for len(f.queue) > 0 {
			w := f.queue[0]
			if f.now.Sub(w.at) > fleetPatience {
				f.refused++
			} else if !f.send(w, choose) {
				break
			}
			f.queue = f.queue[1:]
		}
	}
}

// report delivers load reports and cache events, which are up to a period old.
func (f *fleet) report(over func(time.Time) bool) {
	for _, e := range f.endpoints {
		e.prefills = slices.DeleteFunc(e.prefills, over)
		e.reported = len(e.inFlight)
		lost := f.load.Float64() < fleetLostEvents
		for _, tb := range f.tables {
			tb.Report(e.id, Load{ProducedAt: f.now, Running: len(e.inFlight) - len(e.prefills), Waiting: len(e.prefills)})
			for _, v := range e.events {
				if !lost {
					tb.CacheEvent(e.id, v.sequence, v.block, v.added)
				}
			}
			if f.now.Sub(testStart)%fleetFull == 0 {
				blocks := make([]uint64, 0, len(e.blocks))
				for p := e.lru.Front(); p != nil; p = p.Next() {
					blocks = append(blocks, p.Value.(uint64))
				}
				tb.CacheContent(e.id, e.sequence, blocks)
			}
		}
		e.events = nil
	}
}

// send starts a request of a session: the tenant's common prefix and the turns so far.
func (f *fleet) send(w fleetWaiting, choose fleetPolicy) bool {
	s := w.session
	var prefix []uint64
	for k := range uint64(16) {
		prefix = append(prefix, uint64(s%fleetTenants)<<32|k)
	}
	for k := range uint64(f.turns[s] * 4) {
		prefix = append(prefix, 1<<63|uint64(s)<<40|f.lives[s]<<20|k)
	}
	r := Request{Service: "s", Version: "v", Prefix: prefix, BlockTokens: fleetBlock, Tokens: len(prefix)*fleetBlock + 100}
	entry := w.entry
	f.expected = 0
	id := choose(f, entry, &r)
	if id == "" {
		return false
	}
	if f.turns[s]++; f.turns[s] > 10 {
		f.turns[s] = 0
		f.lives[s]++
	}
	var e *fleetEndpoint
	for _, x := range f.endpoints {
		if x.id == id {
			e = x
		}
	}
	tokens := r.Tokens - e.use(prefix)*fleetBlock
	if f.now.After(e.freeAt) {
		e.freeAt = f.now
	}
	e.freeAt = e.freeAt.Add(time.Duration(tokens) * fleetPerToken * e.slow)
	e.prefills = append(e.prefills, e.freeAt)
	e.inFlight = append(e.inFlight, e.freeAt.Add(time.Duration(w.output*float64(fleetOutput))))
	f.tables[entry].Sent(id, prefix, f.now)
	f.observe = append(f.observe, fleetAnswer{e.freeAt, entry, id, Result{OK: true, FirstToken: e.freeAt.Sub(f.now), Expected: f.expected}})
	f.first = append(f.first, e.freeAt.Sub(w.at))
	f.tokens += r.Tokens
	f.recomputed += tokens
	return true
}

// use returns the number of leading blocks in the cache, and caches all of them.
func (e *fleetEndpoint) use(prefix []uint64) int {
	hit := 0
	for i, b := range prefix {
		if p, ok := e.blocks[b]; ok {
			e.lru.MoveToBack(p)
			if hit == i {
				hit++
			}
			continue
		}
		e.blocks[b] = e.lru.PushBack(b)
		e.emit(b, true)
		if e.lru.Len() > fleetCache {
			old := e.lru.Remove(e.lru.Front()).(uint64)
			delete(e.blocks, old)
			e.emit(old, false)
		}
	}
	return hit
}

func (e *fleetEndpoint) emit(block uint64, added bool) {
	e.sequence++
	e.events = append(e.events, fleetEvent{e.sequence, block, added})
}
