// This file defines the choice of an endpoint.

package clroute

import (
	"math/rand/v2"
	"time"
)

type (
	// Request is what Pick needs to know of a request attempt.
	Request struct {
		Service string
		// Version is the one that AssignVersion returned.
		Version string
		// Prefix holds the hashes of the prompt's prefixes, each one block longer
		// than the one before.
		Prefix []uint64
		// BlockTokens is the number of tokens per block, and Tokens the prompt's length.
		BlockTokens, Tokens int
		// Excluded lists endpoint IDs that an earlier attempt has ruled out.
		Excluded []string
		// Alone asks for an endpoint on which nothing else is known to run.
		Alone bool
	}

	// Choice is the decision on one attempt.
	Choice struct {
		// Endpoint is empty after a refusal, except for RefusedNoSlot, where it
		// names the endpoint at which to ask for a slot.
		Endpoint string
		Reason   Reason
		// Expected is the expected first-token time.
		Expected time.Duration
		// CachedTokens is the part of the prompt that is probably cached there.
		CachedTokens int
	}

	candidate struct {
		ref    int32
		cached int32
		time   float32 // seconds
	}

	candidates struct {
		n    int
		list [maxSample]candidate
	}
)

// Pick chooses an endpoint for a request. It allocates nothing.
func (t *Table) Pick(r *Request, rnd *rand.Rand, now time.Time) Choice {
	g := t.groups[groupKey{r.Service, r.Version}]
	if g == nil {
		return Choice{Reason: RefusedNoVersion}
	}
	var holders holderSet
	t.prefix.lookup(r.Prefix, t.hot, &holders)
	var with, without candidates
	last := RefusedDataCentreOut
	nanos := now.UnixNano()
	for i := range holders.n {
		ref := holders.refs[i]
		if e := &t.cold[ref].Endpoint; e.Service != r.Service || e.Version != r.Version {
			continue
		}
		t.consider(r, ref, holders.blocks[i], nanos, &with, &without, &last)
	}
	x := scan{t: t, r: r, holders: &holders, nanos: nanos, with: &with, without: &without, last: &last}
	x.walk(g.ready, &with, rnd)
	if with.n > 0 {
		return t.choose(&with, r, rnd)
	}
	// Without a slot the walk finds where to ask for one, or why there is none.
	x.walk(g.refs, &without, rnd)
	c := Choice{Reason: last}
	if without.n > 0 {
		c = t.choose(&without, r, rnd)
		c.Reason = RefusedNoSlot
	}
	return c
}

// scan is the walk of one decision.
type scan struct {
	t             *Table
	r             *Request
	holders       *holderSet
	nanos         int64
	with, without *candidates
	last          *Reason
}

// walk considers endpoints until a sample is full. A stride that has no
// divisor in common with the length visits each one once, from a random start
// and with random neighbours.
func (x *scan) walk(refs []int32, sample *candidates, rnd *rand.Rand) {
	n := uint32(len(refs))
	if n == 0 {
		return
	}
	at, stride := rnd.Uint32N(n), strideFor(n, rnd)
	for range n {
		if sample.n >= x.t.cfg.Sample {
			return
		}
		ref := refs[at]
		at += stride
		if at >= n {
			at -= n
		}
		if !x.holders.has(ref) {
			x.t.consider(x.r, ref, 0, x.nanos, x.with, x.without, x.last)
		}
	}
}

// consider applies the filters to an endpoint and adds it to the candidates with
// or without a slot. last becomes the latest filter that any endpoint reached.
func (t *Table) consider(r *Request, ref, blocks int32, nanos int64, with, without *candidates, last *Reason) {
	h := &t.hot[ref]
	failed := RefusedNoSlot
	switch {
	case h.flags&flagOut != 0:
		failed = RefusedDataCentreOut
	case h.flags&flagLeaving != 0:
		failed = RefusedLeaving
	case h.openUntil > nanos:
		failed = RefusedCircuitOpen
	case len(r.Excluded) > 0 && excluded(r.Excluded, t.cold[ref].ID):
		failed = RefusedExcluded
	case r.Alone && h.running+h.waiting+h.sent > 0:
		failed = RefusedBusy
	}
	*last = max(*last, failed)
	if failed != RefusedNoSlot {
		return
	}
	to := with
	if h.slots == 0 {
		to = without
		if to.n >= t.cfg.Sample {
			return
		}
	}
	if to.n < maxSample {
		to.list[to.n] = t.estimate(r, ref, blocks)
		to.n++
	}
}

// estimate returns the expected first-token time at an endpoint.
func (t *Table) estimate(r *Request, ref, blocks int32) candidate {
	h := &t.hot[ref]
	cached := min(int(blocks)*r.BlockTokens, r.Tokens)
	if h.flags&flagUncertain != 0 {
		cached /= 2
	}
	queue := float32(h.waiting+h.sent)*seconds(t.cfg.QueuePerRequest) +
		float32(h.running)*seconds(t.cfg.RunningPerRequest)
	prefill := float32(r.Tokens-cached) * seconds(t.cfg.PrefillPerToken)
	return candidate{ref: ref, cached: int32(cached), time: h.factor*(queue+prefill) + h.distance}
}

// choose returns the candidate with the lowest time, or the less loaded of two
// random ones among those that are nearly as fast.
func (t *Table) choose(c *candidates, r *Request, rnd *rand.Rand) Choice {
	best := 0
	for i := 1; i < c.n; i++ {
		if c.list[i].time < c.list[best].time {
			best = i
		}
	}
	reason := ReasonFastest
	switch {
	case c.n == 1:
		reason = ReasonOnly
	case 2*int(c.list[best].cached) >= r.Tokens && r.Tokens > 0:
		reason = ReasonCached
	}
	var ties [maxSample]int
	n := 0
	limit := c.list[best].time + seconds(t.cfg.Tie)
	for i := range c.n {
		if c.list[i].time <= limit {
			ties[n] = i
			n++
		}
	}
	if n > 1 {
		a := rnd.IntN(n)
		b := (a + 1 + rnd.IntN(n-1)) % n
		best, reason = ties[a], ReasonTie
		if t.load(c.list[ties[b]].ref) < t.load(c.list[best].ref) {
			best = ties[b]
		}
	}
	k := c.list[best]
	return Choice{
		Endpoint:     t.cold[k.ref].ID,
		Reason:       reason,
		Expected:     time.Duration(float64(k.time) * float64(time.Second)),
		CachedTokens: int(k.cached),
	}
}

func (t *Table) load(ref int32) int32 {
	h := &t.hot[ref]
	return h.running + h.waiting + h.sent
}

func excluded(ids []string, id string) bool {
	for _, x := range ids {
		if x == id {
			return true
		}
	}
	return false
}

// strideFor returns a random step below n that has no divisor in common with n.
func strideFor(n uint32, rnd *rand.Rand) uint32 {
	if n < 3 {
		return 1
	}
	s := 1 + rnd.Uint32N(n-1)
	for gcd(s, n) != 1 {
		s--
	}
	return s
}

func gcd(a, b uint32) uint32 {
	for b != 0 {
		a, b = b, a%b
	}
	return a
}

func seconds(d time.Duration) float32 { return float32(d) / float32(time.Second) }
