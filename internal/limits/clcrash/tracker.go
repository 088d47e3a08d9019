// This file defines the tracker, and the evidence that gateways exchange.

package clcrash

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

type (
	// Trait is something that several requests may have in common.
	Trait struct {
		// ID is the same for all requests with the trait.
		ID uint64
		// Depth is the position of a part in its prompt, or WholeRequest. Of two
		// traits of a request, fewer other requests have the deeper one.
		Depth uint8
	}

	// Crash is the end of an endpoint's process under the requests of a gateway.
	Crash struct {
		// EndpointRun identifies the process that crashed.
		EndpointRun uint64
		At          time.Time
		// Traits are the traits of the requests that may be the cause.
		Traits []Trait
	}

	// SoundRun tells that a request with a trait began to be answered at a time and
	// did not crash its endpoint, or that the trait was cleared at that time.
	SoundRun struct {
		TraitID uint64
		BeganAt time.Time
		// Runs is the number of sound runs of the trait that the gateway has seen lately.
		Runs uint32
	}

	// Block tells that requests with a trait are refused.
	Block struct {
		Trait
		LastCrash time.Time
	}

	// Evidence is what a gateway tells the others. Times are those of one clock.
	Evidence struct {
		Crashes   []Crash
		SoundRuns []SoundRun
		Blocks    []Block
	}

	// Tracker collects evidence and decides which traits are blocked. Exported fields
	// are set before use. It is safe for concurrent use.
	Tracker struct {
		// OnChange, if set, is called when a trait is blocked, and when that is taken
		// back because of later evidence. It must not call the tracker.
		OnChange func(b Block, blocked bool)

		mu      sync.Mutex
		crashes map[uint64]*crash
		// presence counts the crashes at which each trait is present.
		presence map[uint64]int
		// soundAt holds, by trait that is present at a crash, the time at which its
		// latest sound run began, and ownSoundAt that of the runs seen here.
		soundAt, ownSoundAt map[uint64]time.Time
		// peerRuns holds, by trait that is present at a crash, the largest number of sound
		// runs that another gateway has told of.
		peerRuns map[uint64]uint32
		// revisedAt holds when a block was dropped because the evidence had turned, by
		// trait. Crashes until then no longer count against it.
		revisedAt map[uint64]time.Time
		blocks    map[uint64]*block
		history   history
		// latestSound holds the times at which the latest sound runs of any request
		// began, in the order in which they were recorded.
		latestSound [minContrast]time.Time
		nextSound   int
		// dirty is set if evidence has come that may change the blocks.
		dirty bool
		// lacksContrast is set if a trait is not blocked only because too few sound
		// runs of other requests are known.
		lacksContrast bool
	}

	crash struct {
		at time.Time
		// depths holds the depths of the traits of all gateways' requests by ID, and
		// own the traits of the requests of this gateway.
		depths map[uint64]uint8
		own    []Trait
	}

	block struct {
		Block
		since time.Time
		// confirmed is set when the block no longer depends on single crashes or digests.
		// It then ends only if the evidence turns against it.
		confirmed bool
		// rivalSince is since when another part explains the crashes better, or zero.
		rivalSince time.Time
	}
)

const (
	// WholeRequest is the depth of the trait that only repetitions of a request share.
	WholeRequest uint8 = 255

	// Retention is how long evidence counts, and how long a trait stays blocked after
	// the latest crash. Afterwards its requests run again, as the endpoints may have
	// been repaired.
	Retention = 10 * time.Minute
	// confirmAfter is the time after which a block is confirmed or revised. It is longer
	// than the evidence of other gateways is under way.
	confirmAfter = time.Second
	// maxOwnCrashes limits how many crashes a gateway tells the others of; the latest
	// ones count.
	maxOwnCrashes = 32
	// maxOwnTraits limits the traits that these crashes have in all, and maxOwnSoundRuns
	// the sound runs that a gateway tells of, so that they fit into a datagram with the
	// rest of a digest.
	maxOwnTraits    = 1024
	maxOwnSoundRuns = 512
	// maxCrashes limits the crashes that are kept. There are as many at once if a data
	// centre is lost, and they explain nothing.
	maxCrashes = 512
	// maxBlocks limits the traits that are blocked; the latest ones count.
	maxBlocks = 256
)

// Record adds a crash under requests with these traits, sent by this gateway, and
// returns at how many crashes the trait among them is present that is present at most.
// It is called once for each request.
func (t *Tracker) Record(endpointRun uint64, traits []Trait, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.makeMaps()
	c := t.add(endpointRun, now, traits)
	most := 0
	for _, trait := range traits {
		if !slices.Contains(c.own, trait) {
			c.own = append(c.own, trait)
		}
		most = max(most, t.presence[trait.ID])
	}
	return most
}

// RecordSound records that a request with these traits began to be answered at a time
// and has not crashed its endpoint.
func (t *Tracker) RecordSound(traits []Trait, beganAt time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.latestSound[t.nextSound] = beganAt
	t.nextSound = (t.nextSound + 1) % len(t.latestSound)
	t.dirty = t.dirty || t.lacksContrast
	for _, trait := range traits {
		t.history.add(trait.ID)
		if t.presence[trait.ID] == 0 && t.blocks[trait.ID] == nil {
			continue
		}
		if beganAt.After(t.ownSoundAt[trait.ID]) {
			t.ownSoundAt[trait.ID] = beganAt
		}
		t.acquit(trait.ID, beganAt)
	}
}

// Refuses returns the trait, if any of these, whose requests are refused.
func (t *Tracker) Refuses(traits []Trait, now time.Time) (Trait, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decide(now)
	for _, trait := range traits {
		if b := t.blocks[trait.ID]; b != nil && now.Sub(b.LastCrash) < Retention {
			return b.Trait, true
		}
	}
	return Trait{}, false
}

// Evidence returns what this gateway has to tell the others.
func (t *Tracker) Evidence(now time.Time) Evidence {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decide(now)
	var e Evidence
	for run, c := range t.crashes {
		if suspects := t.suspects(c); len(suspects) > 0 {
			e.Crashes = append(e.Crashes, Crash{EndpointRun: run, At: c.at, Traits: suspects})
		}
	}
	slices.SortFunc(e.Crashes, func(a, b Crash) int { return b.At.Compare(a.At) })
	e.Crashes = limitCrashes(e.Crashes)
	for id, n := range t.presence {
		// One crash blocks no trait, so that nobody needs to know better.
		at, runs := t.ownSoundAt[id], t.history.count(id)
		if n > 1 && (runs > t.peerRuns[id] || !at.IsZero() && !at.Before(t.soundAt[id])) {
			e.SoundRuns = append(e.SoundRuns, SoundRun{TraitID: id, BeganAt: at, Runs: runs})
		}
	}
	for id, at := range t.revisedAt {
		e.SoundRuns = append(e.SoundRuns, SoundRun{TraitID: id, BeganAt: at, Runs: t.history.count(id)})
	}
	slices.SortFunc(e.SoundRuns, func(a, b SoundRun) int { return b.BeganAt.Compare(a.BeganAt) })
	e.SoundRuns = e.SoundRuns[:min(len(e.SoundRuns), maxOwnSoundRuns)]
	e.Blocks = t.confirmedBlocks()
	return e
}

// limitCrashes returns the first of the crashes, up to maxOwnCrashes and maxOwnTraits.
// The last one may lack the deepest of its traits.
func limitCrashes(crashes []Crash) []Crash {
	crashes = crashes[:min(len(crashes), maxOwnCrashes)]
	left := maxOwnTraits
	for i, c := range crashes {
		if len(c.Traits) > left {
			// Whole requests are the most, and the least likely to be repeated.
			slices.SortFunc(c.Traits, func(a, b Trait) int { return cmp.Compare(a.Depth, b.Depth) })
			crashes[i].Traits = c.Traits[:left]
			return crashes[:i+1]
		}
		left -= len(c.Traits)
	}
	return crashes
}

// Blocks returns the blocks that stay, the latest first.
func (t *Tracker) Blocks(now time.Time) []Block {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decide(now)
	return t.confirmedBlocks()
}

// Revised reports whether the block of a trait has been dropped because the evidence has
// turned against it, and the trait has not been blocked again.
func (t *Tracker) Revised(id uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, revised := t.revisedAt[id]
	return revised && t.blocks[id] == nil
}

// Merge adds the evidence of another gateway, or what was stored of it.
func (t *Tracker) Merge(e Evidence, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.makeMaps()
	for _, b := range e.Blocks {
		t.adopt(b, now)
	}
	for _, c := range e.Crashes {
		if now.Sub(c.At) < Retention {
			t.add(c.EndpointRun, c.At, c.Traits)
		}
	}
	for _, s := range e.SoundRuns {
		t.acquit(s.TraitID, s.BeganAt)
		if t.presence[s.TraitID] > 0 && s.Runs > t.peerRuns[s.TraitID] {
			t.dirty = t.dirty || soundnessClass(s.Runs) != soundnessClass(t.soundRuns(s.TraitID))
			t.peerRuns[s.TraitID] = s.Runs
		}
	}
}

// suspects returns the traits of a crash that the other gateways need to know of. If a
// blocked part explains the crash, this is that part, if this gateway had sent it.
// Otherwise it is those of its requests' traits that had no sound run since. t.mu is
// held.
func (t *Tracker) suspects(c *crash) []Trait {
	if t.explained(c) {
		return slices.DeleteFunc(slices.Clone(c.own), func(trait Trait) bool { return !t.blocks[trait.ID].explains() })
	}
	return slices.DeleteFunc(slices.Clone(c.own), func(trait Trait) bool { return t.soundAt[trait.ID].After(c.at) })
}

// explained reports whether a confirmed part, other than the given ones, explains the
// crash. t.mu is held.
func (t *Tracker) explained(c *crash, except ...uint64) bool {
	for id := range c.depths {
		if t.blocks[id].explains() && !slices.Contains(except, id) {
			return true
		}
	}
	return false
}

// explains reports whether the crashes at which the trait is present count against no
// other trait for good. A whole request explains none for good: a part of its prompt may
// be the cause.
func (b *block) explains() bool { return b != nil && b.confirmed && b.Depth != WholeRequest }

// makeMaps creates the maps of a new tracker. t.mu is held.
func (t *Tracker) makeMaps() {
	if t.crashes != nil {
		return
	}
	t.crashes, t.presence, t.blocks = map[uint64]*crash{}, map[uint64]int{}, map[uint64]*block{}
	t.soundAt, t.ownSoundAt, t.revisedAt = map[uint64]time.Time{}, map[uint64]time.Time{}, map[uint64]time.Time{}
	t.peerRuns = map[uint64]uint32{}
}

// add adds traits to a crash and returns it. The time at which this gateway first heard
// of the crash counts. t.mu is held.
func (t *Tracker) add(run uint64, at time.Time, traits []Trait) *crash {
	c := t.crashes[run]
	if c == nil {
		c = &crash{at: at, depths: map[uint64]uint8{}}
		t.crashes[run] = c
	}
	for _, trait := range traits {
		depth, present := c.depths[trait.ID]
		if !present {
			t.presence[trait.ID]++
			t.dirty = true
			if b := t.blocks[trait.ID]; b != nil && c.at.After(b.LastCrash) {
				b.LastCrash = c.at
			}
		}
		c.depths[trait.ID] = max(depth, trait.Depth)
	}
	return c
}

// acquit records a sound run of a trait that is present at a crash, or blocked. t.mu is
// held.
func (t *Tracker) acquit(id uint64, beganAt time.Time) {
	if t.presence[id] == 0 && t.blocks[id] == nil || !beganAt.After(t.soundAt[id]) {
		return
	}
	t.soundAt[id] = beganAt
	// A sound run only ever speaks for a trait.
	t.dirty = t.dirty || t.blocks[id] != nil
}

// adopt takes over a block that another gateway has confirmed. t.mu is held.
func (t *Tracker) adopt(b Block, now time.Time) {
	// After a revision only crashes can block the trait again. The time of the latest crash
	// is rebuilt from an age, so that it seems later the longer a digest was under way.
	if _, revised := t.revisedAt[b.ID]; revised || now.Sub(b.LastCrash) >= Retention {
		return
	}
	known := t.blocks[b.ID]
	if known == nil {
		known = &block{Block: b, since: now}
		t.block(known)
	}
	// Later crashes are heard of by themselves; of the times told, the earliest is the most
	// accurate.
	if t.presence[b.ID] == 0 && b.LastCrash.Before(known.LastCrash) {
		known.LastCrash = b.LastCrash
	}
	// The block may explain crashes that count against another trait.
	t.dirty = t.dirty || !known.confirmed
	known.confirmed = true
}

// block adds a block. t.mu is held.
func (t *Tracker) block(b *block) {
	t.blocks[b.ID] = b
	if t.OnChange != nil {
		t.OnChange(b.Block, true)
	}
}

// dropCrashes forgets crashes, and the sound runs of traits that are present at none
// that is left. t.mu is held.
func (t *Tracker) dropCrashes(drop func(c *crash) bool) {
	for run, c := range t.crashes {
		if !drop(c) {
			continue
		}
		delete(t.crashes, run)
		for id := range c.depths {
			if t.presence[id]--; t.presence[id] == 0 {
				delete(t.presence, id)
				delete(t.soundAt, id)
				delete(t.ownSoundAt, id)
				delete(t.peerRuns, id)
			}
		}
	}
}

// confirmedBlocks returns the blocks that stay, the latest first. t.mu is held.
func (t *Tracker) confirmedBlocks() []Block {
	var blocks []Block
	for _, b := range t.blocks {
		if b.confirmed {
			blocks = append(blocks, b.Block)
		}
	}
	slices.SortFunc(blocks, func(a, b Block) int { return b.LastCrash.Compare(a.LastCrash) })
	return blocks
}

// expire forgets what no longer counts. t.mu is held.
func (t *Tracker) expire(now time.Time) {
	limit := now.Add(-Retention)
	if len(t.crashes) > maxCrashes {
		times := slices.SortedFunc(maps.Values(t.crashes), func(a, b *crash) int { return b.at.Compare(a.at) })
		if oldest := times[maxCrashes/2].at; oldest.After(limit) {
			limit = oldest
		}
	}
	t.dropCrashes(func(c *crash) bool { return !c.at.After(limit) })
	forgotten := func(id uint64, _ time.Time) bool { return t.presence[id] == 0 && t.blocks[id] == nil }
	maps.DeleteFunc(t.soundAt, forgotten)
	maps.DeleteFunc(t.ownSoundAt, forgotten)
	maps.DeleteFunc(t.revisedAt, func(_ uint64, at time.Time) bool { return now.Sub(at) >= Retention })
	maps.DeleteFunc(t.blocks, func(_ uint64, b *block) bool { return now.Sub(b.LastCrash) >= Retention })
	if len(t.blocks) > maxBlocks {
		latest := slices.SortedFunc(maps.Values(t.blocks), func(a, b *block) int { return b.LastCrash.Compare(a.LastCrash) })
		for _, b := range latest[maxBlocks:] {
			delete(t.blocks, b.ID)
		}
	}
}
