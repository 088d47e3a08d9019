// This file defines the facts that a process holds and spreads.

package clmember

import (
	"slices"
	"time"
)

type (
	// factTable holds facts by ID.
	factTable struct {
		byID  map[string]*heldFact
		list  []*heldFact
		queue gossip
		max   int
	}

	// heldFact is a fact with the times at which it ends here.
	heldFact struct {
		Fact
		// expires is when the fact stops to hold. It is at most a lifetime after
		// its arrival, whatever the origin's clock says.
		expires time.Time
		// dropped is when the ID may be forgotten: peers don't repeat it then.
		dropped time.Time
	}
)

// AddFact states a fact of this process. Origin is set to its ID; a zero Time is set to now.
func (c *Core) AddFact(now time.Time, f Fact) Output {
	f.Origin = c.self.ID
	if f.Time.IsZero() {
		f.Time = now
	}
	c.learn(now, f)
	c.pushUrgent(now)
	return c.flush()
}

// Facts returns the facts that hold, in the order of their arrival.
func (c *Core) Facts(now time.Time) []Fact {
	var fs []Fact
	for _, f := range c.facts.list {
		if now.Before(f.expires) {
			fs = append(fs, f.Fact)
		}
	}
	return fs
}

// Fact returns the fact with the ID, if it holds.
func (c *Core) Fact(now time.Time, id string) (Fact, bool) {
	if f := c.facts.byID[id]; f != nil && now.Before(f.expires) {
		return f.Fact, true
	}
	return Fact{}, false
}

// learn takes a fact and spreads it if it is new.
func (c *Core) learn(now time.Time, f Fact) {
	if !c.facts.put(now, f) {
		return
	}
	c.out.Facts = append(c.out.Facts, f)
	if f.Urgent {
		c.pushRounds = urgentRounds
	}
}

// pushUrgent sends urgent facts to a few peers. Facts that arrive together
// share their pushes, because a reclaim wave brings hundreds of them.
func (c *Core) pushUrgent(now time.Time) {
	if c.pushRounds == 0 || now.Sub(c.lastPush) < pushGap {
		return
	}
	c.pushRounds--
	c.lastPush = now
	for _, m := range c.PushPeers(pushFanout) {
		c.exchange(m)
	}
}

// put keeps the fact and reports whether it was new.
func (t *factTable) put(now time.Time, f Fact) bool {
	f.Lifetime = min(f.Lifetime, maxFactLifetime)
	end := f.Time.Add(f.Lifetime)
	if f.ID == "" || !now.Before(end) {
		return false
	}
	if old := t.byID[f.ID]; old != nil {
		if !f.Time.After(old.Time) {
			return false
		}
		t.remove(f.ID)
	}
	if len(t.list) >= t.max && !t.evict(f.Urgent) {
		return false
	}
	h := &heldFact{Fact: f, expires: end, dropped: end}
	if limit := now.Add(f.Lifetime); limit.Before(end) {
		h.expires = limit
	}
	if t.byID == nil {
		t.byID = make(map[string]*heldFact)
	}
	t.byID[f.ID] = h
	t.list = append(t.list, h)
	t.queue.push(f.ID)
	return true
}

// evict makes room by dropping the fact that ends first; an urgent fact is
// dropped only for another urgent one.
func (t *factTable) evict(urgent bool) bool {
	var victim *heldFact
	for _, f := range t.list {
		if f.Urgent && !urgent {
			continue
		}
		if victim == nil || victim.Urgent && !f.Urgent ||
			victim.Urgent == f.Urgent && f.expires.Before(victim.expires) {
			victim = f
		}
	}
	if victim != nil {
		t.remove(victim.ID)
	}
	return victim != nil
}

// take returns up to n facts to send to a peer that has just sent those in known.
func (t *factTable) take(n, limit int, known []Fact) []Fact {
	var fs []Fact
	skip := func(id string) bool { return slices.ContainsFunc(known, func(f Fact) bool { return f.ID == id }) }
	for _, id := range t.queue.take(n, limit, skip) {
		fs = append(fs, t.byID[id].Fact)
	}
	return fs
}

// remove forgets the fact.
func (t *factTable) remove(id string) {
	delete(t.byID, id)
	t.queue.remove(id)
	t.list = slices.DeleteFunc(t.list, func(f *heldFact) bool { return f.ID == id })
}

// expire forgets facts that no peer repeats any more.
func (t *factTable) expire(now time.Time) {
	for i := len(t.list) - 1; i >= 0; i-- {
		if f := t.list[i]; !now.Before(f.dropped) {
			t.remove(f.ID)
		}
	}
}
