// This file decides which traits are blocked.

package clcrash

import (
	"cmp"
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
	}

	// history holds the traits of sound runs, the latest ones: at least
	// historySize/2 of them, if there are as many.
	history struct{ recent, older map[uint64]struct{} }
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
)

// decide updates the blocks after new evidence, and confirms those that have stood for
// confirmAfter. t.mu is held.
func (t *Tracker) decide(now time.Time) {
	if t.dirty {
		t.dirty = false
		t.expire(now)
		t.update(now)
	}
	for _, b := range t.blocks {
		b.confirmed = b.confirmed || now.Sub(b.since) >= confirmAfter
	}
}

// update sets the blocks that are not confirmed to those that best explain the crashes
// which no confirmed one explains. t.mu is held.
func (t *Tracker) update(now time.Time) {
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

// explain returns the traits that explain the crashes, the one that explains most
// first, until no trait explains enough of those that are left. t.mu is held.
func (t *Tracker) explain() map[uint64]*candidate {
	left := make([]*crash, 0, len(t.crashes))
	for _, c := range t.crashes {
		if !t.explained(c) {
			left = append(left, c)
		}
	}
	slices.SortFunc(left, func(a, b *crash) int { return a.at.Compare(b.at) })
	t.lacksContrast = false
	explanations := map[uint64]*candidate{}
	for {
		best := t.bestCandidate(left)
		if best == nil {
			return explanations
		}
		explanations[best.ID] = best
		left = slices.DeleteFunc(left, func(c *crash) bool { _, present := c.depths[best.ID]; return present })
	}
}

// bestCandidate returns the trait that explains most of the crashes, which are sorted by
// time, or nil if none explains enough. t.mu is held.
func (t *Tracker) bestCandidate(crashes []*crash) *candidate {
	candidates := map[uint64]*candidate{}
	for _, c := range crashes {
		for id, depth := range c.depths {
			if !c.at.After(t.soundAt[id]) {
				continue
			}
			known := candidates[id]
			if known == nil {
				known = &candidate{Trait: Trait{ID: id}, first: c.at}
				candidates[id] = known
			}
			known.Depth, known.last = max(known.Depth, depth), c.at
			if known.count == 0 || known.Depth == WholeRequest || c.at.Sub(known.counted) >= sameMoment {
				known.count++
				known.counted = c.at
			}
		}
	}
	var best *candidate
	for _, c := range candidates {
		switch {
		case c.count < c.threshold():
		case !t.contrasts(c):
			t.lacksContrast = true
		case best == nil || c.compare(best) > 0:
			best = c
		}
	}
	return best
}

func (c *candidate) threshold() int {
	if c.Depth == WholeRequest {
		return wholeRequestThreshold
	}
	return partThreshold
}

// compare orders candidates by how likely they are the cause. The ID makes all gateways
// choose the same.
func (c *candidate) compare(o *candidate) int {
	return cmp.Or(cmp.Compare(c.count, o.count), cmp.Compare(c.Depth, o.Depth), cmp.Compare(c.ID, o.ID))
}

// contrasts reports whether other requests run while those with the trait crash, as far
// as that matters. t.mu is held.
func (t *Tracker) contrasts(c *candidate) bool {
	if !t.history.contains(c.ID) {
		return true
	}
	return !slices.ContainsFunc(t.latestSound[:], func(at time.Time) bool { return !at.After(c.first) })
}

func (h *history) add(id uint64) {
	if h.recent == nil || len(h.recent) >= historySize/2 {
		h.older, h.recent = h.recent, map[uint64]struct{}{}
	}
	h.recent[id] = struct{}{}
}

func (h *history) contains(id uint64) bool {
	_, recent := h.recent[id]
	_, older := h.older[id]
	return recent || older
}
