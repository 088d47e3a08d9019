// This file decides which traits are blocked.

package clcrash

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"time"
)

type (
	// candidate is a trait with the crashes that speak against it.
	candidate struct {
		Trait
		// count is the number of crashes at different moments, of which first and last
		// are the times of the earliest and the latest.
		count       int
		first, last time.Time
		// counted is the time of the latest crash that count includes.
		counted time.Time
		// soundness is the class of how much sound work has the trait, as soundnessClass
		// returns it.
		soundness int
	}

	// history counts the latest sound runs by trait. It holds at least the latest
	// historySize/2 traits, if there are as many.
	history struct{ recent, older map[uint64]uint32 }
)

const (
	// wholeRequestThreshold and partThreshold are the numbers of crashes from which a
	// whole request, or a part of prompts, is blocked. At a crash, an innocent part is
	// present more often than an innocent request.
	wholeRequestThreshold = 2
	partThreshold         = 3
	// sameMoment is the time within which several crashes count as one against a
	// part. Endpoints that are lost together, as a data centre is, have no cause in
	// the requests that ran there.
	sameMoment = 250 * time.Millisecond
	// minContrast is the number of sound runs of other requests, since the first of
	// its crashes, that must speak against a trait which used to be sound. If nothing
	// runs at all, no request is the cause.
	minContrast = 3
	// historySize limits the number of traits that are known to have been sound.
	historySize = 16384
	// soundnessPerCrash is how many classes of soundness outweigh a crash: a part that has
	// been sound at a gateway four times as often must be present at one more.
	soundnessPerCrash = 2
)

// decide updates the blocks after new evidence, and confirms those that have stood for
// confirmAfter. t.mu is held.
func (t *Tracker) decide(now time.Time) {
	if t.dirty {
		t.dirty = false
		t.expire(now)
		t.update(now)
	}
	revised := false
	for _, b := range t.blocks {
		b.confirmed = b.confirmed || now.Sub(b.since) >= confirmAfter
		// A rival counts only once the evidence of the others has arrived.
		if b.rivalSince.IsZero() || now.Sub(b.rivalSince) < confirmAfter {
			continue
		}
		b.rivalSince = time.Time{}
		if t.hasRival(b) {
			t.revise(b, now)
			revised = true
		}
	}
	if revised {
		t.update(now)
	}
}

// update sets the blocks that are not confirmed to those that best explain the crashes
// which no confirmed one explains, and drops the confirmed ones against which the evidence
// has turned. t.mu is held.
func (t *Tracker) update(now time.Time) {
	for id, b := range t.blocks {
		switch {
		case !b.confirmed:
		case t.soundAt[id].After(b.LastCrash):
			t.revise(b, now)
		case !t.hasRival(b):
			b.rivalSince = time.Time{}
		case b.rivalSince.IsZero():
			b.rivalSince = now
		}
	}
	explanations := t.explain()
	for id, b := range t.blocks {
		if _, stands := explanations[id]; !stands && !b.confirmed {
			delete(t.blocks, id)
			if t.OnChange != nil {
				t.OnChange(b.Block, false)
			}
		}
	}
	for id, c := range explanations {
		if known := t.blocks[id]; known != nil {
			if c.last.After(known.LastCrash) {
				known.LastCrash = c.last
			}
			continue
		}
		t.block(&block{Block: Block{Trait: c.Trait, LastCrash: c.last}, since: now})
	}
}

// revise drops a confirmed block, and clears its trait of the crashes up to now, here and
// at the other gateways. t.mu is held.
func (t *Tracker) revise(b *block, now time.Time) {
	delete(t.blocks, b.ID)
	// A crash that this gateway has not heard of yet must count. The other gateways date
	// the latest crash a little later or earlier.
	cleared := b.LastCrash
	if at := t.soundAt[b.ID]; at.After(cleared) {
		cleared = at
	}
	if cleared = cleared.Add(confirmAfter); cleared.After(now) {
		cleared = now
	}
	t.revisedAt[b.ID] = cleared
	if t.OnChange != nil {
		t.OnChange(b.Block, false)
	}
}

// hasRival reports whether another part was present at all crashes that count against a
// confirmed one, and either would be blocked before it, or is confirmed as well and
// crashes endpoints without it. t.mu is held.
func (t *Tracker) hasRival(b *block) bool {
	if b.Depth == WholeRequest || t.presence[b.ID] < partThreshold {
		return false
	}
	for id := range t.companions(b.ID) {
		crashes := t.unexplained(b.ID, id)
		blocked, rival := t.tally(crashes, b.ID), t.tally(crashes, id)
		if blocked.count < partThreshold || rival.Depth == WholeRequest || rival.count < partThreshold || !t.contrasts(rival) {
			continue
		}
		if rival.compare(blocked) > 0 {
			return true
		}
		without := slices.DeleteFunc(t.allCrashes(), func(c *crash) bool { return t.countsAgainst(c, b.ID) })
		if t.blocks[id].explains() && t.tally(without, id).count >= partThreshold {
			return true
		}
	}
	return false
}

// companions returns the other traits that were present at all crashes which count against
// a trait. t.mu is held.
func (t *Tracker) companions(id uint64) map[uint64]struct{} {
	var companions map[uint64]struct{}
	for _, c := range t.crashes {
		if !t.countsAgainst(c, id) {
			continue
		}
		if companions == nil {
			companions = make(map[uint64]struct{}, len(c.depths))
			for other := range c.depths {
				companions[other] = struct{}{}
			}
			delete(companions, id)
		}
		maps.DeleteFunc(companions, func(other uint64, _ struct{}) bool { return !t.countsAgainst(c, other) })
	}
	return companions
}

// tally returns a trait with those of the crashes, which are sorted by time, that count
// against it. t.mu is held.
func (t *Tracker) tally(crashes []*crash, id uint64) *candidate {
	c := &candidate{Trait: Trait{ID: id}, soundness: soundnessClass(t.soundRuns(id))}
	for _, crash := range crashes {
		if t.countsAgainst(crash, id) {
			c.add(crash.at, crash.depths[id])
		}
	}
	return c
}

// add adds a crash that is later than those before.
func (c *candidate) add(at time.Time, depth uint8) {
	if c.count == 0 {
		c.first = at
	}
	c.Depth, c.last = max(c.Depth, depth), at
	if c.count == 0 || c.Depth == WholeRequest || at.Sub(c.counted) >= sameMoment {
		c.count++
		c.counted = at
	}
}

// countsAgainst reports whether the trait was present at the crash and has not been found
// sound since. t.mu is held.
func (t *Tracker) countsAgainst(c *crash, id uint64) bool {
	_, present := c.depths[id]
	return present && c.at.After(t.soundAt[id]) && c.at.After(t.revisedAt[id])
}

// unexplained returns the crashes that no confirmed part explains, other than the given
// ones, sorted by time. t.mu is held.
func (t *Tracker) unexplained(except ...uint64) []*crash {
	left := make([]*crash, 0, len(t.crashes))
	for _, c := range t.crashes {
		if !t.explained(c, except...) {
			left = append(left, c)
		}
	}
	slices.SortFunc(left, func(a, b *crash) int { return a.at.Compare(b.at) })
	return left
}

// explain returns the traits that explain the crashes, the one that explains most
// first, until no trait explains enough of those that are left. t.mu is held.
func (t *Tracker) explain() map[uint64]*candidate {
	left := t.unexplained()
	t.lacksContrast = false
	explanations := map[uint64]*candidate{}
	for {
		best := t.bestCandidate(left)
		if best == nil {
			t.explainTogether(explanations)
			return explanations
		}
		explanations[best.ID] = best
		left = slices.DeleteFunc(left, func(c *crash) bool { _, present := c.depths[best.ID]; return present })
	}
}

// candidates returns the traits with the crashes that count against each of them. The
// crashes are sorted by time. t.mu is held.
func (t *Tracker) candidates(crashes []*crash) map[uint64]*candidate {
	candidates := map[uint64]*candidate{}
	for _, c := range crashes {
		for id, depth := range c.depths {
			if !t.countsAgainst(c, id) {
				continue
			}
			known := candidates[id]
			if known == nil {
				known = &candidate{Trait: Trait{ID: id}, soundness: soundnessClass(t.soundRuns(id))}
				candidates[id] = known
			}
			known.add(c.at, depth)
		}
	}
	return candidates
}

// explainTogether adds the parts that used to be sound and were present at the crashes of
// several blocked ones. Soundness outweighs some crashes of a part once, not again for each
// new part beside it: what no single other part explains counts in full. t.mu is held.
func (t *Tracker) explainTogether(explanations map[uint64]*candidate) {
	all := t.allCrashes()
	blocked := map[uint64]struct{}{}
	for id, c := range explanations {
		if c.Depth != WholeRequest {
			blocked[id] = struct{}{}
		}
	}
	for id, b := range t.blocks {
		if b.explains() {
			blocked[id] = struct{}{}
		}
	}
	if len(blocked) < 2 {
		return
	}
	for id, c := range t.candidates(all) {
		if _, known := blocked[id]; known || c.Depth == WholeRequest || c.count < 2*partThreshold || c.soundness == 0 || !t.contrasts(c) {
			continue
		}
		least := c.count
		for other := range blocked {
			without := slices.DeleteFunc(slices.Clone(all), func(c *crash) bool { return t.countsAgainst(c, other) })
			least = min(least, t.tally(without, id).count)
		}
		if least >= partThreshold {
			explanations[id] = c
		}
	}
}

// allCrashes returns the crashes, sorted by time. t.mu is held.
func (t *Tracker) allCrashes() []*crash {
	return slices.SortedFunc(maps.Values(t.crashes), func(a, b *crash) int { return a.at.Compare(b.at) })
}

// bestCandidate returns the trait that is to be blocked for the crashes, which are sorted
// by time, or nil if none explains enough. t.mu is held.
func (t *Tracker) bestCandidate(crashes []*crash) *candidate {
	var whole, part *candidate
	for _, c := range t.candidates(crashes) {
		switch {
		case c.count < c.threshold():
		case !t.contrasts(c):
			t.lacksContrast = true
		case c.Depth == WholeRequest && (whole == nil || c.compare(whole) > 0):
			whole = c
		case c.Depth != WholeRequest && (part == nil || c.compare(part) > 0):
			part = c
		}
	}
	// Of a request and a part of its prompt at as many crashes, fewer requests are refused
	// with the request.
	if part == nil || whole != nil && whole.count >= part.count {
		return whole
	}
	return part
}

func (c *candidate) threshold() int {
	if c.Depth == WholeRequest {
		return wholeRequestThreshold
	}
	return partThreshold
}

// compare orders candidates by which is to be blocked first: the one at more crashes, less
// what speaks for its soundness, and of two that fit as well the one with less sound work.
// If that was wrong, further crashes show it, whereas nothing would show that a sound part
// is refused. The ID makes all gateways choose the same.
func (c *candidate) compare(o *candidate) int {
	return cmp.Or(cmp.Compare(c.weight(), o.weight()), cmp.Compare(o.soundness, c.soundness), cmp.Compare(c.Depth, o.Depth), cmp.Compare(c.ID, o.ID))
}

// weight returns the number of crashes that speak against the trait, less those that its
// soundness outweighs. The sound work of a trait outweighs at most partThreshold crashes,
// so that a part which goes bad is found a few crashes later at most.
func (c *candidate) weight() int { return c.count - min(partThreshold, c.soundness/soundnessPerCrash) }

// soundnessClass returns the binary magnitude of a number of sound runs. Gateways that
// have seen slightly different numbers mostly agree on it.
func soundnessClass(runs uint32) int { return bits.Len32(runs) }

// soundRuns returns the largest number of sound runs of the trait that a gateway has seen
// lately. t.mu is held.
func (t *Tracker) soundRuns(id uint64) uint32 { return max(t.peerRuns[id], t.history.count(id)) }

// contrasts reports whether other requests run while those with the trait crash, as far
// as that matters. t.mu is held.
func (t *Tracker) contrasts(c *candidate) bool {
	if c.soundness == 0 {
		return true
	}
	return !slices.ContainsFunc(t.latestSound[:], func(at time.Time) bool { return !at.After(c.first) })
}

func (h *history) add(id uint64) {
	if h.recent == nil || len(h.recent) >= historySize/2 {
		h.older, h.recent = h.recent, map[uint64]uint32{}
	}
	h.recent[id]++
}

func (h *history) count(id uint64) uint32 { return h.recent[id] + h.older[id] }
