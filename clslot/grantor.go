// This file implements the grantor: lease terms, load reports and slot demands.

package clslot

import "time"

type (
	// Grantor leases the slots of the endpoints of one slot group. It is not safe for
	// concurrent use.
	Grantor struct {
		cfg       Config
		term      term
		endpoints map[string]*ledger
	}

	// Lease is the grantor's lease on the slot group.
	Lease struct {
		Fencing uint64
		// ExpiresAt is when the lease expires, on the grantor's clock.
		ExpiresAt time.Time
		// Halvings is the number of predecessors that may still be granting. The allowance
		// is the limit halved this many times.
		Halvings int
		// FormerGrantsEnd is when the last grant under the former holder's lease has
		// expired: the expiry of that lease, or its release plus GrantLifetime.
		FormerGrantsEnd time.Time
	}

	// term is the period during which the grantor holds the lease.
	term struct {
		Lease
		leaseHeld        bool
		storeUnavailable bool
		// predecessorGrantsEnd is when the last grant of all predecessors has expired; zero
		// if unknown.
		predecessorGrantsEnd time.Time
	}

	// ledger counts the requests that may be running at one endpoint.
	ledger struct {
		ramp ramp
		// restored is the limit inherited from a former grantor. It is cleared by the first
		// load report of the term.
		restored EndpointState
		// reservedBy is the entry that has requested or been granted exclusive use; empty if
		// none.
		reservedBy    string
		reservedUntil time.Time
		removed       bool
		charges       map[string]*charge
		// totalCharged is the sum of the slots in charges. It is maintained incrementally
		// because hundreds of entries send several demands a second.
		totalCharged int
		// nextExpiry is no later than the time at which the first charge becomes removable.
		nextExpiry time.Time
		// unattributed counts requests that no entry's charge covers.
		unattributed requestPool
		// ready is set once a load report that covers the former terms' requests has been
		// counted.
		ready bool
		// halvings starts as the Halvings of the lease and drops to 0 once no request of a
		// predecessor can be running.
		halvings int
		// predecessorRequests bounds the requests at the endpoint that may be a
		// predecessor's. The first load report that covers the end of the predecessors'
		// last grants sets it, and predecessorsCounted with it.
		predecessorRequests requestPool
		predecessorsCounted bool
		lastReportAt        time.Time
	}

	// requestPool is an upper bound on the number of running requests that started before a
	// given time.
	requestPool struct {
		requests      int
		startedBefore time.Time
		// version changes whenever a load report changes the pool.
		version uint64
	}

	// charge is the number of requests that one entry may have running.
	charge struct {
		slots      int
		inUse      int
		expires    time.Time
		sequence   uint64
		rampResets uint64
		// poolVersion and fencing are the version of the unattributed pool and the fencing
		// number at the last grant.
		poolVersion uint64
		fencing     uint64
		// answered is set by a grant of this term and cleared when the entry returns slots.
		answered bool
		// carriedSettled is set once the entry's carried requests have been taken out of the
		// unattributed ones, or if they must not be.
		carriedSettled bool
	}
)

// NewGrantor returns a grantor that holds no lease and grants nothing.
func NewGrantor(cfg Config) *Grantor {
	return &Grantor{cfg: cfg, endpoints: map[string]*ledger{}}
}

// SetEndpoint adds an endpoint to the group or updates its limits.
func (g *Grantor) SetEndpoint(id string, l Limits) {
	e := g.endpoints[id]
	if e == nil {
		e = &ledger{charges: map[string]*charge{}, halvings: g.term.Halvings}
		g.endpoints[id] = e
	}
	e.removed = false
	e.ramp.setLimits(l)
}

// RemoveEndpoint stops grants for an endpoint. Granted slots remain counted, in case the
// endpoint is added again.
func (g *Grantor) RemoveEndpoint(id string) {
	if e := g.endpoints[id]; e != nil {
		e.removed = true
	}
}

// LeaseAcquired starts a term under a lease that another process may have held before.
func (g *Grantor) LeaseAcquired(l Lease) {
	g.term = term{Lease: l, leaseHeld: true}
	for _, e := range g.endpoints {
		e.ready = false
		e.halvings = l.Halvings
		e.predecessorsCounted = false
		e.ramp.reset()
		for _, c := range e.charges {
			c.answered, c.carriedSettled = false, true
		}
	}
}

// LeaseRenewed extends the current term. It also applies if the grantor reacquired its own
// expired lease and no other process held it in between.
func (g *Grantor) LeaseRenewed(fencing uint64, expiresAt time.Time) {
	if !g.term.leaseHeld {
		return
	}
	g.term.Fencing = fencing
	g.term.ExpiresAt = expiresAt
	g.term.storeUnavailable = false
}

// LeaseStoreUnavailable records that renewals fail because the object API is unavailable.
// Once the lease has expired the grantor continues with half of its allowance.
func (g *Grantor) LeaseStoreUnavailable() { g.term.storeUnavailable = true }

// LeaseLost records that another process has taken the lease, or that the lease was
// released. The grantor grants nothing from now on.
func (g *Grantor) LeaseLost() { g.term.leaseHeld = false }

// PredecessorsEnded records that all former grantors had stopped granting, or their
// instances had ended, by the given time.
func (g *Grantor) PredecessorsEnded(at time.Time) {
	g.term.predecessorGrantsEnd = at.Add(g.cfg.GrantLifetime)
}

// Stopped reports whether every grant has expired and no more can be made. Only then may a
// predecessor confirm to its successor that it has stopped.
func (g *Grantor) Stopped(now time.Time) bool {
	if g.term.leaseHeld {
		return false
	}
	for _, e := range g.endpoints {
		for _, c := range e.charges {
			if now.Before(c.expires) {
				return false
			}
		}
	}
	return true
}

// Limit returns the endpoint's current limit before any halving, or 0 if the endpoint is
// unknown.
func (g *Grantor) Limit(id string) int {
	if e := g.endpoints[id]; e != nil {
		return e.ramp.limit
	}
	return 0
}

// CountedRequests returns the number of requests that the grantor must assume to be running
// at an endpoint.
func (g *Grantor) CountedRequests(id string, now time.Time) int {
	e := g.endpoints[id]
	if e == nil {
		return 0
	}
	e.removeExpired(g.cfg, now)
	return e.totalCharged + e.unattributed.requests
}

// ApplyLoad applies a load report. Reports that are not newer than the last one are ignored.
func (g *Grantor) ApplyLoad(id string, l Load, now time.Time) {
	e := g.endpoints[id]
	if e == nil || !l.ProducedAt.After(e.lastReportAt) {
		return
	}
	e.removeExpired(g.cfg, now)
	e.lastReportAt = l.ProducedAt
	cold := e.ramp.applyLoad(l)
	// The report counts every request that started before cutoff and is still running.
	cutoff := l.ProducedAt.Add(-g.cfg.SettleTime)
	if !e.ready && g.term.leaseHeld && !cutoff.Before(g.term.FormerGrantsEnd) {
		g.applyFirstLoad(e, l, cutoff, cold)
	} else {
		e.unattributed.bound(l.Running, cutoff)
	}
	e.boundExpiredCharges(l.Running, cutoff)
	if e.halvings == 0 || g.term.predecessorGrantsEnd.IsZero() || cutoff.Before(g.term.predecessorGrantsEnd) {
		return
	}
	if !e.predecessorsCounted {
		e.predecessorRequests = requestPool{requests: l.Running, startedBefore: cutoff}
		e.predecessorsCounted = true
	}
	e.predecessorRequests.bound(l.Running, cutoff)
}

// applyFirstLoad applies the first report that covers the requests of former terms, and
// counts these requests as unattributed.
func (g *Grantor) applyFirstLoad(e *ledger, l Load, cutoff time.Time, cold bool) {
	e.ready = true
	e.unattributed = requestPool{requests: l.Running, startedBefore: cutoff, version: e.unattributed.version + 1}
	if !g.term.predecessorGrantsEnd.IsZero() && !cutoff.Before(g.term.predecessorGrantsEnd) {
		e.halvings = 0
	}
	if !cold {
		// An endpoint that runs this many requests and is not cold can sustain them.
		e.ramp.limit = min(max(e.ramp.limit, l.Running), e.ramp.limits.MaxSlots)
		if e.restored.BootID == l.BootID && l.BootID != "" {
			e.ramp.limit = min(max(e.ramp.limit, e.restored.Limit), e.ramp.limits.MaxSlots)
		}
	}
	e.restored = EndpointState{}
}

// HandleDemand answers one entry's demand for one endpoint. entryID must be unique to each
// start of an entry process.
func (g *Grantor) HandleDemand(entryID string, d Demand, now time.Time) Grant {
	r := Grant{Endpoint: d.Endpoint, Sequence: d.Sequence, Fencing: g.term.Fencing}
	e := g.endpoints[d.Endpoint]
	if e == nil {
		r.Refused = RefusedUnknownEndpoint
		return r
	}
	r.BootID = e.ramp.bootID
	e.removeExpired(g.cfg, now)
	c := e.charges[entryID]
	if c != nil && d.Sequence <= c.sequence {
		r.Refused = RefusedStale
		return r
	}
	if c == nil {
		c = &charge{rampResets: e.ramp.resets}
		e.charges[entryID] = c
	}
	e.applyOutcomes(c, d, g.cfg, now)
	e.attributeCarried(c, d, g.term)
	c.sequence, c.inUse = d.Sequence, d.InUse
	e.setSlots(c, max(d.InUse, d.Held))
	lifetime, allowance := g.grantBounds(e, now)
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
	e.noteExpiry(c.removableAt(g.cfg))
	if r.Refused != NotRefused {
		return r
	}
	r.Slots = e.slotsFor(d, allowance-(e.totalCharged-c.slots))
	r.Slots, r.Exclusive = e.applyReservation(entryID, d, r.Slots, e.totalCharged-c.slots, now, g.cfg)
	r.Lifetime = lifetime
	e.setSlots(c, max(c.slots, r.Slots))
	c.answered, c.fencing, c.poolVersion = true, g.term.Fencing, e.unattributed.version
	return r
}

// HandleReturn applies a demand that returns slots and needs no answer.
func (g *Grantor) HandleReturn(entryID string, d Demand, now time.Time) {
	e := g.endpoints[d.Endpoint]
	if e == nil {
		return
	}
	e.removeExpired(g.cfg, now)
	c := e.charges[entryID]
	if c == nil || d.Sequence <= c.sequence {
		return
	}
	e.applyOutcomes(c, d, g.cfg, now)
	c.sequence, c.inUse = d.Sequence, d.InUse
	e.setSlots(c, min(c.slots, max(d.InUse, d.Held)))
	e.noteExpiry(c.removableAt(g.cfg))
	c.answered = false
}

// grantBounds returns the longest lifetime that a grant can have now, and the number of
// slots that all entries together may have: the allowance minus the unattributed requests.
func (g *Grantor) grantBounds(e *ledger, now time.Time) (time.Duration, int) {
	if !g.term.leaseHeld {
		return 0, 0
	}
	lifetime := min(g.cfg.GrantLifetime, g.term.ExpiresAt.Sub(now))
	allowance := e.ramp.limit >> e.halvings
	fullLimit := e.ramp.limit
	if lifetime <= 0 {
		if !g.term.storeUnavailable {
			return 0, 0
		}
		lifetime = g.cfg.GrantLifetime
		// This grantor keeps the larger half, so that an endpoint with a limit of one is
		// served during a full outage; a successor has the smaller half.
		allowance -= allowance >> 1
		fullLimit -= fullLimit >> 1
	}
	free := allowance - e.unattributed.requests
	if e.predecessorsCounted {
		free = max(free, fullLimit-e.predecessorRequests.requests)
	}
	return lifetime, free
}

// attributeCarried subtracts the requests that an entry carried over from a former term from
// the unattributed ones. They are known to be included there only if the entry built the
// demand after a grant of this term, and no report has changed the unattributed number since
// that grant.
func (e *ledger) attributeCarried(c *charge, d Demand, t term) {
	if e.halvings > 0 || c.carriedSettled || !c.answered || d.Fencing != t.Fencing || c.fencing != t.Fencing {
		return
	}
	if c.poolVersion != e.unattributed.version {
		return
	}
	c.carriedSettled = true
	e.unattributed.requests = max(0, e.unattributed.requests-d.Carried)
}

// applyOutcomes passes an entry's request outcomes to the ramp-up. It skips the first demand
// after a reset, which reports outcomes from before the reset.
func (e *ledger) applyOutcomes(c *charge, d Demand, cfg Config, now time.Time) {
	if c.rampResets != e.ramp.resets {
		c.rampResets = e.ramp.resets
		return
	}
	e.ramp.applyDemand(d, e.totalCharged+e.unattributed.requests, cfg, now)
}

// slotsFor returns the number of slots to grant for a demand when free slots, including
// those the entry already has, are available to it. Beyond its running requests the entry
// gets at most half of the free slots, but at least one, so that the first entry to ask does
// not take all of them.
func (e *ledger) slotsFor(d Demand, free int) int {
	if free <= d.InUse {
		return min(max(free, 0), d.Wanted)
	}
	idle := free - d.InUse
	return min(d.Wanted, d.InUse+max((idle+1)/2, 1))
}

// setSlots sets the slots of a charge and updates totalCharged.
func (e *ledger) setSlots(c *charge, slots int) {
	e.totalCharged += slots - c.slots
	c.slots = slots
}

// removeCharge deletes an entry's charge and updates totalCharged.
func (e *ledger) removeCharge(entryID string) {
	e.totalCharged -= e.charges[entryID].slots
	delete(e.charges, entryID)
}

// noteExpiry lowers nextExpiry to the given time if that is earlier.
func (e *ledger) noteExpiry(at time.Time) {
	if at.Before(e.nextExpiry) {
		e.nextExpiry = at
	}
}

// removableAt returns the time from which the charge can cover no running request.
func (c *charge) removableAt(cfg Config) time.Time {
	if c.slots == 0 {
		return c.expires
	}
	return c.expires.Add(cfg.RequestTimeout + cfg.SettleTime)
}

// removeExpired removes the charges and clears the pools that can cover no running request
// any more.
func (e *ledger) removeExpired(cfg Config, now time.Time) {
	if !now.Before(e.nextExpiry) {
		e.nextExpiry = now.Add(cfg.RequestTimeout)
		for id, c := range e.charges {
			if at := c.removableAt(cfg); now.Before(at) {
				e.noteExpiry(at)
			} else {
				e.removeCharge(id)
			}
		}
	}
	oldestStart := now.Add(-cfg.RequestTimeout - cfg.SettleTime)
	if !e.unattributed.startedBefore.After(oldestStart) {
		e.unattributed.requests = 0
	}
	if e.predecessorsCounted && !e.predecessorRequests.startedBefore.After(oldestStart) {
		// No request of a predecessor can be running any more.
		e.halvings, e.predecessorsCounted = 0, false
	}
}

// boundExpiredCharges limits the charges of entries whose grants have expired to what a load
// report shows. The report does not tell which entry's requests are running, so each of
// these entries may have all of them. If their charges and the unattributed requests
// together exceed the running requests, the charges become unattributed.
func (e *ledger) boundExpiredCharges(running int, cutoff time.Time) {
	sum := 0
	for _, c := range e.charges {
		if !cutoff.Before(c.expires) {
			e.setSlots(c, min(c.slots, running))
			e.nextExpiry = time.Time{} // A charge without slots is removable earlier.
			sum += c.slots
		}
	}
	if sum+e.unattributed.requests <= running {
		return
	}
	for id, c := range e.charges {
		if !cutoff.Before(c.expires) {
			e.removeCharge(id)
		}
	}
	e.unattributed.add(sum, running, cutoff)
	if e.predecessorsCounted {
		e.predecessorRequests.add(sum, running, cutoff)
	}
}

// add adds requests to the pool, up to the number of running requests in a load report.
func (p *requestPool) add(slots, running int, cutoff time.Time) {
	p.requests = min(p.requests+slots, running)
	p.startedBefore = cutoff
	p.version++
}

// bound lowers the pool to the number of running requests in a load report that covers it.
func (p *requestPool) bound(running int, cutoff time.Time) {
	if running < p.requests && !cutoff.Before(p.startedBefore) {
		p.requests = running
		p.version++
	}
}
