// This file defines how reports about members are merged.

package clmember

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// merge takes a report about a member. In a full state a death becomes a
// suspicion, because after a partition both sides hold the other's members
// dead, and each must get the time to refute.
func (c *Core) merge(now time.Time, m Member, full bool) {
	if m.ID == "" || m.State < Alive || m.State > Left {
		return
	}
	if m.ID == c.self.ID {
		c.refute(m)
		return
	}
	e := c.byID[m.ID]
	if e == nil {
		// Unknown dead members are not kept: peers that forget them at different
		// times would tell each other of them for ever.
		if m.Live() {
			c.add(now, m)
			if !full {
				c.changes.push(m.ID)
			}
		}
		return
	}
	if full && m.State == Dead && e.Live() {
		m.State = Suspect
	}
	newer := m.Incarnation > e.Incarnation || m.Incarnation == e.Incarnation && m.State > e.State
	if e.State != Left && (newer || m.State == Left) {
		c.set(now, e, m.State, m.Incarnation)
		c.changes.push(e.ID)
	}
}

// refute raises this process's incarnation above a report that it is not alive.
func (c *Core) refute(m Member) {
	if m.State == Alive || m.Incarnation < c.self.Incarnation || c.self.State == Left {
		return
	}
	c.self.Incarnation = m.Incarnation + 1
	c.changes.push(c.self.ID)
}

// add starts to keep a live member.
func (c *Core) add(now time.Time, m Member) {
	m.DataCentre, m.Region, m.Role = c.intern(m.DataCentre), c.intern(m.Region), c.intern(m.Role)
	state := m.State
	m.State = Dead
	e := &entry{Member: m, idHash: xxhash.Sum64String(m.ID)}
	c.byID[m.ID] = e
	c.entries = append(c.entries, e)
	at := c.cfg.Rand.IntN(len(c.ring) + 1)
	c.ring = slices.Insert(c.ring, at, m.ID)
	c.set(now, e, state, m.Incarnation)
}

// set changes a member's state.
func (c *Core) set(now time.Time, e *entry, s State, incarnation uint64) {
	was := e.Live()
	changed := e.State != s
	e.State, e.Incarnation = s, incarnation
	e.finder = false
	if changed {
		e.since = now
	}
	if s == Suspect {
		e.deadline = now.Add(heardFallback * c.suspicion())
	}
	if was != e.Live() {
		c.hash ^= e.idHash
		if e.Live() {
			c.live++
		} else {
			c.live--
		}
	}
	if changed {
		c.out.Changed = append(c.out.Changed, e.Member)
	}
}

// suspicion is how long a member stays suspected.
func (c *Core) suspicion() time.Duration {
	return c.cfg.SuspicionBase * time.Duration(digits(c.live))
}

// intern returns one shared copy of a name that many members have.
func (c *Core) intern(s string) string {
	if t, ok := c.interned[s]; ok {
		return t
	}
	c.interned[s] = s
	return s
}

// forget drops members that have been dead for the retention time.
func (c *Core) forget(now time.Time) {
	c.entries = slices.DeleteFunc(c.entries, func(e *entry) bool {
		if e.Live() || now.Sub(e.since) < c.cfg.DeadRetention {
			return false
		}
		delete(c.byID, e.ID)
		c.changes.remove(e.ID)
		return true
	})
}
