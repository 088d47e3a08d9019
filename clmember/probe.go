// This file defines the failure detector, which runs on Tick.

package clmember

import (
	"net/netip"
	"slices"
	"time"
)

// probe is an unanswered probe.
type probe struct {
	target   string
	deadline time.Time
	// round counts from 0; its direct probe is followed by an indirect one.
	round    int
	indirect bool
	// relays is how many relays have not answered yet.
	relays int
}

// NextTick returns when Tick has work to do.
func (c *Core) NextTick() time.Time {
	next := c.nextProbe
	for _, p := range c.probes {
		if p.deadline.Before(next) {
			next = p.deadline
		}
	}
	if at := c.lastPush.Add(pushGap); c.pushRounds > 0 && at.Before(next) {
		next = at
	}
	if c.aheadRevision > c.revision && c.fetchAgain.Before(next) {
		next = c.fetchAgain
	}
	return next
}

// Tick does what is due.
func (c *Core) Tick(now time.Time) Output {
	if late := now.Sub(c.lastTick); late > 2*c.cfg.ProbeInterval {
		c.resume(late)
	}
	c.lastTick = now
	if c.self.State == Left {
		c.nextProbe = now.Add(c.cfg.ProbeInterval)
		return c.flush()
	}
	c.expireProbes(now)
	c.pushUrgent(now)
	c.fetch(now)
	if !now.Before(c.nextProbe) {
		// Up to 10% more or less keeps processes that started together out of step.
		c.nextProbe = now.Add(c.cfg.ProbeInterval*9/10 + time.Duration(c.cfg.Rand.Int64N(int64(c.cfg.ProbeInterval/5))))
		c.judge(now)
		c.forget(now)
		c.facts.expire(now)
		c.startProbe(now)
		c.regular(now)
	}
	return c.flush()
}

// resume discards what was running when this process was paused. The silence
// it sees is its own, so it must hold no other member dead for it.
func (c *Core) resume(late time.Duration) {
	c.probes = c.probes[:0]
	for _, e := range c.entries {
		if e.State == Suspect {
			e.deadline = e.deadline.Add(late)
		}
	}
}

// startProbe probes the next member of the ring, or joins through a seed.
func (c *Core) startProbe(now time.Time) {
	if c.live == 0 || now.Before(c.joinUntil) {
		c.callMissingSeed(now)
	}
	if c.live == 0 {
		return
	}
	for range 2 {
		for len(c.ring) > 0 {
			id := c.ring[len(c.ring)-1]
			c.ring = c.ring[:len(c.ring)-1]
			// Suspects that this process found are probed by judge.
			if e := c.byID[id]; e != nil && e.Live() && !e.finder {
				c.probe(now, e)
				return
			}
		}
		for _, e := range c.entries {
			c.ring = append(c.ring, e.ID)
		}
		c.cfg.Rand.Shuffle(len(c.ring), func(i, j int) { c.ring[i], c.ring[j] = c.ring[j], c.ring[i] })
	}
}

// callMissingSeed calls a seed at whose address no live member is known.
// Processes that start together can find each other in separate groups, each
// of which has live peers and would otherwise never look for the others.
func (c *Core) callMissingSeed(now time.Time) {
	missing := slices.DeleteFunc(slices.Clone(c.cfg.Seeds), func(a netip.AddrPort) bool {
		return slices.ContainsFunc(c.entries, func(e *entry) bool { return e.Live() && e.Address == a })
	})
	if len(missing) > 0 {
		c.sync(now, Member{Address: missing[c.cfg.Rand.IntN(len(missing))]})
	}
}

// probe sends a direct probe.
func (c *Core) probe(now time.Time, e *entry) {
	c.exchange(e.Member)
	if !slices.ContainsFunc(c.probes, func(p probe) bool { return p.target == e.ID }) {
		c.probes = append(c.probes, probe{target: e.ID, deadline: now.Add(c.cfg.ProbeTimeout)})
	}
}

// ExchangeFailed says that a CallExchange to the member failed. The Core finds
// out itself after the call's timeout.
func (c *Core) ExchangeFailed(now time.Time, to Member) Output {
	for i := range c.probes {
		if p := &c.probes[i]; p.target == to.ID && !p.indirect {
			p.deadline = now
		}
	}
	c.expireProbes(now)
	return c.flush()
}

// ProbeForAnswered takes the answer to a CallProbeFor; a failed call counts as not reached.
func (c *Core) ProbeForAnswered(now time.Time, target Member, reached bool) Output {
	if reached {
		c.endProbe(target.ID)
		return c.flush()
	}
	for i := range c.probes {
		if p := &c.probes[i]; p.target == target.ID && p.indirect {
			if p.relays--; p.relays <= 0 {
				p.deadline = now
			}
		}
	}
	c.expireProbes(now)
	return c.flush()
}

// endProbe drops the probes of a member that answered.
func (c *Core) endProbe(id string) {
	c.probes = slices.DeleteFunc(c.probes, func(p probe) bool { return p.target == id })
}

// expireProbes repeats overdue probes through other members and suspects the
// targets of those that stay unanswered.
func (c *Core) expireProbes(now time.Time) {
	waiting := slices.Clone(c.probes)
	c.probes = c.probes[:0]
	for _, p := range waiting {
		e := c.byID[p.target]
		switch {
		case e == nil || !e.Live():
		case now.Before(p.deadline):
			c.probes = append(c.probes, p)
		case e.finder:
			// judge repeats the probe until the suspicion ends.
		case !p.indirect:
			p.indirect, p.deadline, p.relays = true, now.Add(c.cfg.IndirectTimeout), c.relay(e)
			// The target is called once more itself: a single loss is the usual cause.
			c.exchange(e.Member)
			c.probes = append(c.probes, p)
		case p.round+1 < probeRounds:
			c.exchange(e.Member)
			c.probes = append(c.probes, probe{target: e.ID, round: p.round + 1, deadline: now.Add(c.cfg.ProbeTimeout)})
		default:
			c.suspect(now, e)
		}
	}
}

// relay asks other members to probe e and returns how many it asked.
func (c *Core) relay(e *entry) int {
	asked := 0
	for _, m := range c.PushPeers(indirectProbes + 1) {
		if m.ID == e.ID || asked == indirectProbes {
			continue
		}
		asked++
		c.out.Calls = append(c.out.Calls,
			Call{Kind: CallProbeFor, To: m, Target: e.Member, Timeout: c.cfg.IndirectTimeout})
	}
	return asked
}

// suspect marks a member that this process found silent.
func (c *Core) suspect(now time.Time, e *entry) {
	if e.State == Alive {
		c.set(now, e, Suspect, e.Incarnation)
		c.changes.push(e.ID)
	}
	e.finder = true
	e.deadline = now.Add(c.suspicion())
}

// declareDead ends a member here and tells the peers.
func (c *Core) declareDead(now time.Time, e *entry) {
	c.endProbe(e.ID)
	c.set(now, e, Dead, e.Incarnation)
	c.changes.push(e.ID)
}

// judge declares overdue suspects dead and probes those that this process
// found silent once more, so that a lost message alone kills no member.
func (c *Core) judge(now time.Time) {
	for _, e := range c.entries {
		switch {
		case e.State != Suspect:
		case !now.Before(e.deadline):
			c.declareDead(now, e)
		case e.finder:
			c.probe(now, e)
		}
	}
}

// regular exchanges the full state and calls a dead member again when due.
func (c *Core) regular(now time.Time) {
	if !now.Before(c.nextSync) {
		c.nextSync = now.Add(c.cfg.SyncInterval)
		for _, m := range c.PushPeers(1) {
			c.sync(now, m)
		}
	}
	if now.Before(c.nextRetry) {
		return
	}
	c.nextRetry = now.Add(c.cfg.RetryDeadInterval)
	c.callMissingSeed(now)
	var dead []*entry
	for _, e := range c.entries {
		if e.State == Dead {
			dead = append(dead, e)
		}
	}
	if len(dead) > 0 {
		c.exchange(dead[c.cfg.Rand.IntN(len(dead))].Member)
	}
}
