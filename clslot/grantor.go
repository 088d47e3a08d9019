// This file defines the grantor's side: terms, load reports and demands.

package clslot

import "time"

type (
	// Grantor leases the slots of the endpoints of one slot group. It is not
	// safe for concurrent use.
	Grantor struct {
		cfg       Config
		term      term
		endpoints map[string]*ledger
	}

	// Lease is the grantor's lease on the slot group.
	Lease struct {
		Fencing uint64
		// ExpiresAt is when the lease lapses in the grantor's clock.
		ExpiresAt time.Time
		// Halvings counts the predecessors that may still be granting.
		Halvings int
		// FormerGrantsEnd is when the last grant of the former holder's lease has
		// lapsed: the former lease's expiry, or its release plus GrantLifetime.
		FormerGrantsEnd time.Time
	}

	term struct {
		Lease
		held        bool
		unavailable bool
		// ended is when the last grant of all predecessors has lapsed; zero if unknown.
		ended time.Time
	}

	// ledger counts what may run at one endpoint.
	ledger struct {
		ramp ramp
		// recalled is a former grantor's limit, until the first report of the term.
		recalled EndpointState
		// reserved names the entry that asks for the endpoint alone, or has it.
		reserved      string
		reservedUntil time.Time
		removed       bool
		entries       map[string]*charge
		// charged is the sum of the slots of entries. It is kept because hundreds
		// of entries ask several times a second.
		charged int
		// nextExpiry is not after the time at which the first charge expires.
		nextExpiry time.Time
		// unattributed are requests that no entry's charge covers.
		unattributed pool
		// ready says that a report newer than the former term has been counted.
		ready bool
		// halvings of the term; they end when the predecessors' requests have.
		halvings int
		// afterEnd bounds all requests at the endpoint that can be a
		// predecessor's, once the predecessors have ended.
		afterEnd    pool
		hasAfterEnd bool
		reportedAt  time.Time
	}

	// pool is a number of requests all of which started before a time.
	pool struct {
		slots int
		since time.Time
		// version changes whenever a report lowers the pool.
		version uint64
	}

	// charge is what one entry may have running.
	charge struct {
		slots    int
		inUse    int
		expires  time.Time
		sequence uint64
		resets   uint64
		// poolVersion and fencing are those of the last answer.
		poolVersion uint64
		fencing     uint64
		answered    bool
		claimed     bool
	}
)

// NewGrantor returns a grantor that holds no lease and grants nothing.
func NewGrantor(cfg Config) *Grantor {
	return &Grantor{cfg: cfg, endpoints: map[string]*ledger{}}
}

// SetEndpoint adds an endpoint of the group or changes its limits.
func (g *Grantor) SetEndpoint(id string, l Limits) {
	e := g.endpoints[id]
	if e == nil {
		e = &ledger{entries: map[string]*charge{}, halvings: g.term.Halvings}
		g.endpoints[id] = e
	}
	e.removed = false
	e.ramp.setLimits(l)
}

// RemoveEndpoint stops grants for an endpoint. What was granted stays counted,
// in case the endpoint is added again.
func (g *Grantor) RemoveEndpoint(id string) {
	if e := g.endpoints[id]; e != nil {
		e.removed = true
	}
}

// LeaseAcquired starts a term under a lease that another process may have held.
func (g *Grantor) LeaseAcquired(l Lease) {
	g.term = term{Lease: l, held: true}
	for _, e := range g.endpoints {
		e.ready = false
		e.halvings = l.Halvings
		e.hasAfterEnd = false
		e.ramp.reset()
		for _, c := range e.entries {
			c.answered, c.claimed = false, true
		}
	}
}

// LeaseRenewed extends the present term. It also serves a holder that took its own
// lapsed lease again with no other holder in between.
func (g *Grantor) LeaseRenewed(fencing uint64, until time.Time) {
	if !g.term.held {
		return
	}
	g.term.Fencing = fencing
	g.term.ExpiresAt = until
	g.term.unavailable = false
}

// LeaseStoreUnavailable says that renewals fail because the object API is unavailable.
// Once the lease has lapsed the grantor continues at half of its allowance.
func (g *Grantor) LeaseStoreUnavailable() { g.term.unavailable = true }

// LeaseLost says that another process has taken the lease, or that the lease was
// released. The grantor grants nothing from now on.
func (g *Grantor) LeaseLost() { g.term.held = false }

// PredecessorsEnded says that all former grantors stopped granting, or their
// instances ended, no later than at.
func (g *Grantor) PredecessorsEnded(at time.Time) {
	g.term.ended = at.Add(g.cfg.GrantLifetime)
}

// Stopped reports whether every grant has lapsed and none can follow. Only then
// may a predecessor acknowledge to its successor that it stopped.
func (g *Grantor) Stopped(now time.Time) bool {
	if g.term.held {
		return false
	}
	for _, e := range g.endpoints {
		for _, c := range e.entries {
			if now.Before(c.expires) {
				return false
			}
		}
	}
	return true
}

// Limit returns the endpoint's current limit before any halving, and 0 for an
// unknown endpoint.
func (g *Grantor) Limit(id string) int {
	if e := g.endpoints[id]; e != nil {
		return e.ramp.limit
	}
	return 0
}

// CountedRequests returns the requests that may run at an endpoint as far as the
// grantor must assume.
func (g *Grantor) CountedRequests(id string, now time.Time) int {
	e := g.endpoints[id]
	if e == nil {
		return 0
	}
	e.expire(g.cfg, now)
	return e.charged + e.unattributed.slots
}

// ApplyLoad applies a load report; reports older than the last one are ignored.
func (g *Grantor) ApplyLoad(id string, l Load, now time.Time) {
	e := g.endpoints[id]
	if e == nil || !l.ProducedAt.After(e.reportedAt) {
		return
	}
	e.expire(g.cfg, now)
	e.reportedAt = l.ProducedAt
	cold := e.ramp.load(l)
	counted := l.ProducedAt.Add(-g.cfg.SettleTime)
	if !e.ready && g.term.held && !counted.Before(g.term.FormerGrantsEnd) {
		g.begin(e, l, counted, cold)
	} else {
		e.unattributed.bound(l.Running, counted)
	}
	e.boundLapsed(l.Running, counted)
	if e.halvings == 0 || g.term.ended.IsZero() || counted.Before(g.term.ended) {
		return
	}
	if !e.hasAfterEnd {
		e.afterEnd = pool{slots: l.Running, since: counted}
		e.hasAfterEnd = true
	}
	e.afterEnd.bound(l.Running, counted)
}

// begin counts the requests of former terms from the first report after them.
func (g *Grantor) begin(e *ledger, l Load, counted time.Time, cold bool) {
	e.ready = true
	e.unattributed = pool{slots: l.Running, since: counted, version: e.unattributed.version + 1}
	if !g.term.ended.IsZero() && !counted.Before(g.term.ended) {
		e.halvings = 0
	}
	if !cold {
		// An endpoint that is not cold and runs this many bears them.
		e.ramp.limit = min(max(e.ramp.limit, l.Running), e.ramp.limits.MaxSlots)
		if e.recalled.BootID == l.BootID && l.BootID != "" {
			e.ramp.limit = min(max(e.ramp.limit, e.recalled.Limit), e.ramp.limits.MaxSlots)
		}
	}
	e.recalled = EndpointState{}
}

// HandleDemand answers one entry's demand for one endpoint. from must be unique for
// each start of an entry process.
func (g *Grantor) HandleDemand(from string, d Demand, now time.Time) Grant {
	r := Grant{Endpoint: d.Endpoint, Sequence: d.Sequence, Fencing: g.term.Fencing}
	e := g.endpoints[d.Endpoint]
	if e == nil {
		r.Refused = RefusedUnknownEndpoint
		return r
	}
	r.BootID = e.ramp.bootID
	e.expire(g.cfg, now)
	c := e.entries[from]
	if c != nil && d.Sequence <= c.sequence {
		r.Refused = RefusedStale
		return r
	}
	if c == nil {
		c = &charge{resets: e.ramp.resets}
		e.entries[from] = c
	}
	e.observe(c, d, g.cfg, now)
	e.attribute(c, d, g.term)
	c.sequence, c.inUse = d.Sequence, d.InUse
	e.setSlots(c, max(d.InUse, d.Held))
	lifetime, allowance := g.terms(e, now)
	switch {
	case e.removed:
		r.Refused = RefusedUnknownEndpoint
	case lifetime <= 0:
		r.Refused = RefusedNotGrantor
	case !e.ready:
		r.Refused = RefusedNotReady
	}
	// Slots that the entry holds stay counted for as long as it may use them.
	c.expires = now.Add(g.cfg.GrantLifetime)
	e.expiresBy(c.gone(g.cfg))
	if r.Refused != NotRefused {
		return r
	}
	r.Slots = e.share(d, allowance-(e.charged-c.slots))
	r.Slots, r.Exclusive = e.restrict(from, d, r.Slots, e.charged-c.slots, now, g.cfg)
	r.Lifetime = lifetime
	e.setSlots(c, max(c.slots, r.Slots))
	c.answered, c.fencing, c.poolVersion = true, g.term.Fencing, e.unattributed.version
	return r
}

// HandleReturn applies a demand that asks for fewer slots and needs no answer.
func (g *Grantor) HandleReturn(from string, d Demand, now time.Time) {
	e := g.endpoints[d.Endpoint]
	if e == nil {
		return
	}
	e.expire(g.cfg, now)
	c := e.entries[from]
	if c == nil || d.Sequence <= c.sequence {
		return
	}
	e.observe(c, d, g.cfg, now)
	c.sequence, c.inUse = d.Sequence, d.InUse
	e.setSlots(c, min(c.slots, max(d.InUse, d.Held)))
	e.expiresBy(c.gone(g.cfg))
	c.answered = false
}

// terms returns the longest lifetime of a grant now, and the slots that all
// entries together may have: the allowance less unattributed requests.
func (g *Grantor) terms(e *ledger, now time.Time) (time.Duration, int) {
	if !g.term.held {
		return 0, 0
	}
	lifetime := min(g.cfg.GrantLifetime, g.term.ExpiresAt.Sub(now))
	allowance := e.ramp.limit >> e.halvings
	full := e.ramp.limit
	if lifetime <= 0 {
		if !g.term.unavailable {
			return 0, 0
		}
		lifetime = g.cfg.GrantLifetime
		// The larger half stays here, so that an endpoint with a limit of one is
		// served during a full outage; a successor has the smaller one.
		allowance -= allowance >> 1
		full -= full >> 1
	}
	free := allowance - e.unattributed.slots
	if e.hasAfterEnd {
		free = max(free, full-e.afterEnd.slots)
	}
	return lifetime, free
}

// attribute takes the requests that an entry carried over from a former term out
// of the unattributed ones. They are known to be among them only if the entry
// built the demand after an answer of this term, and no report lowered the
// number since that answer.
func (e *ledger) attribute(c *charge, d Demand, t term) {
	if e.halvings > 0 || c.claimed || !c.answered || d.Fencing != t.Fencing || c.fencing != t.Fencing {
		return
	}
	if c.poolVersion != e.unattributed.version {
		return
	}
	c.claimed = true
	e.unattributed.slots = max(0, e.unattributed.slots-d.Carried)
}

// observe feeds an entry's outcomes to the ramp-up. The first demand after a
// reset reports answers from before it, which do not count.
func (e *ledger) observe(c *charge, d Demand, cfg Config, now time.Time) {
	if c.resets != e.ramp.resets {
		c.resets = e.ramp.resets
		return
	}
	e.ramp.answers(d, e.charged+e.unattributed.slots, cfg, now)
}

// share returns the slots for a demand when free slots are left for the entry,
// its present ones included. Of those beyond its running requests it gets at
// most half, and at least one, so that the first to ask does not take all.
func (e *ledger) share(d Demand, free int) int {
	if free <= d.InUse {
		return min(max(free, 0), d.Wanted)
	}
	idle := free - d.InUse
	return min(d.Wanted, d.InUse+max((idle+1)/2, 1))
}

// setSlots changes a charge.
func (e *ledger) setSlots(c *charge, slots int) {
	e.charged += slots - c.slots
	c.slots = slots
}

// drop forgets an entry's charge.
func (e *ledger) drop(id string) {
	e.charged -= e.entries[id].slots
	delete(e.entries, id)
}

// expiresBy says that a charge expires at the given time if it stays as it is.
func (e *ledger) expiresBy(at time.Time) {
	if at.Before(e.nextExpiry) {
		e.nextExpiry = at
	}
}

// gone is when the charge can cover no running request any more.
func (c *charge) gone(cfg Config) time.Time {
	if c.slots == 0 {
		return c.expires
	}
	return c.expires.Add(cfg.RequestTimeout + cfg.SettleTime)
}

// expire forgets charges that can cover no running request any more.
func (e *ledger) expire(cfg Config, now time.Time) {
	if !now.Before(e.nextExpiry) {
		e.nextExpiry = now.Add(cfg.RequestTimeout)
		for id, c := range e.entries {
			if gone := c.gone(cfg); now.Before(gone) {
				e.expiresBy(gone)
			} else {
				e.drop(id)
			}
		}
	}
	old := now.Add(-cfg.RequestTimeout - cfg.SettleTime)
	if !e.unattributed.since.After(old) {
		e.unattributed.slots = 0
	}
	if e.hasAfterEnd && !e.afterEnd.since.After(old) {
		// No request of a predecessor can be left.
		e.halvings, e.hasAfterEnd = 0, false
	}
}

// boundLapsed limits the charges of lapsed entries to what a report shows. The
// report does not say whose requests are running: each entry may have all of
// them, so charges that exceed them in sum become unattributed.
func (e *ledger) boundLapsed(running int, counted time.Time) {
	sum := 0
	for _, c := range e.entries {
		if !counted.Before(c.expires) {
			e.setSlots(c, min(c.slots, running))
			e.nextExpiry = time.Time{} // The charge may have no slots now.
			sum += c.slots
		}
	}
	if sum+e.unattributed.slots <= running {
		return
	}
	for id, c := range e.entries {
		if !counted.Before(c.expires) {
			e.drop(id)
		}
	}
	e.unattributed.add(sum, running, counted)
	if e.hasAfterEnd {
		e.afterEnd.add(sum, running, counted)
	}
}

// add puts more requests into the pool, of which a report shows at most running.
func (p *pool) add(slots, running int, counted time.Time) {
	p.slots = min(p.slots+slots, running)
	p.since = counted
	p.version++
}

// bound lowers the pool to the running requests of a report that covers it.
func (p *pool) bound(running int, counted time.Time) {
	if running < p.slots && !counted.Before(p.since) {
		p.slots = running
		p.version++
	}
}
