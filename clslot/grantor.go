// This file implements the grantor: lease terms, load reports and slot demands.

package clslot

import "time"

type (
	// Grantor grants the slots of the endpoints of one slot group while it holds the group's
	// lease. It is not safe for concurrent use.
	Grantor struct {
		cfg       Config
		term      term
		endpoints map[string]*endpointLedger
	}

	// Lease is the lease on a slot group that makes a process the group's grantor.
	Lease struct {
		// Fencing is the fencing number, which is higher for each later term.
		Fencing uint64
		// ExpiresAt is when the lease expires, on the grantor's clock.
		ExpiresAt time.Time
		// Halvings is the number of predecessors that may still be granting. The allowance
		// is the endpoint's limit halved this many times.
		Halvings int
		// FormerGrantsEnd is when the last grant under the former grantor's lease has
		// expired: the expiry of that lease, or its release plus GrantLifetime.
		FormerGrantsEnd time.Time
	}

	// term is the period from the acquisition of the lease until it is lost or released.
	term struct {
		Lease
		// leaseHeld is false before the first term and after the lease has been lost or
		// released. An expiry alone does not clear it.
		leaseHeld bool
		// storeUnavailable is set while renewals fail because the object API is unavailable.
		storeUnavailable bool
		// predecessorGrantsEnd is when the last grant of all predecessors has expired; zero
		// if unknown.
		predecessorGrantsEnd time.Time
	}

	// endpointLedger is a grantor's state of one endpoint: the limit, and the requests that
	// may be running there. A load report covers a time if it was produced at least SettleTime
	// after that time: it then counts every running request that started earlier.
	endpointLedger struct {
		ramp ramp
		// restoredLimit holds the limit that RestoreLimits took over, and the boot ID for
		// which it is valid. applyFirstLoad applies and clears it.
		restoredLimit EndpointState
		// reservedBy is the entry that has requested or been granted exclusive use; empty if
		// none.
		reservedBy string
		// reservedUntil is when that reservation expires unless it is extended.
		reservedUntil time.Time
		// removed is set while the endpoint is not part of the group.
		removed bool
		// charges holds the charge of each entry, by entry ID.
		charges map[string]*charge
		// totalCharged is the sum of the slots in charges. It is maintained incrementally
		// because hundreds of entries send several demands a second.
		totalCharged int
		// noRemovalBefore is a time before which no charge becomes removable. It saves a pass
		// over all charges for each demand.
		noRemovalBefore time.Time
		// unattributed counts requests that no entry's charge covers.
		unattributed requestBound
		// ready is set once the requests of former terms are counted: by the first load report
		// that covers Lease.FormerGrantsEnd, or by RestoreState. Until then no slots are granted.
		ready bool
		// halvings starts as Lease.Halvings. If the load report that sets ready also covers
		// predecessorGrantsEnd, halvings drops to 0, because the predecessors' requests are
		// then counted as unattributed. Otherwise it drops to 0 when the requests that
		// predecessorRequests counts must all have ended.
		halvings int
		// predecessorRequests bounds the running requests that may have started on a grant of
		// a predecessor. The first load report that covers predecessorGrantsEnd while halvings
		// is not 0 sets predecessorRequests and predecessorsCounted.
		predecessorRequests requestBound
		predecessorsCounted bool
		// lastReportAt is the ProducedAt of the last load report applied.
		lastReportAt time.Time
	}

	// requestBound is an upper bound on the number of running requests that started before a
	// given time.
	requestBound struct {
		requests      int
		startedBefore time.Time
		// changeCount is the number of times that a load report or RestoreState changed the
		// bound. Subtracting carried requests does not count as a change.
		changeCount uint64
	}

	// charge is what the grantor counts for one entry at one endpoint.
	charge struct {
		// slots is the largest number of requests that the entry may have running, and inUse
		// the number that it last reported.
		slots int
		inUse int
		// expires is when the slots that the entry holds have expired. Requests that took a
		// slot before that may run longer.
		expires time.Time
		// sequence is the sequence number of the entry's last demand.
		sequence uint64
		// rampResetCount is the ramp's resetCount at that demand, before its outcomes were
		// applied.
		rampResetCount uint64
		// unattributedChangeCount and fencing are the changeCount of the unattributed requests
		// and the fencing number at the last grant.
		unattributedChangeCount uint64
		fencing                 uint64
		// granted is set by a grant of this term. It is cleared at the start of a term and
		// when the entry returns slots.
		granted bool
		// carriedSettled is set once the entry's carried requests have been subtracted from
		// the unattributed ones, or if they must not be, because the charge was made before
		// the term.
		carriedSettled bool
	}
)

// NewGrantor returns a grantor that holds no lease and grants nothing.
func NewGrantor(cfg Config) *Grantor {
	return &Grantor{cfg: cfg, endpoints: map[string]*endpointLedger{}}
}

// SetEndpoint adds an endpoint to the group, also one that was removed, or updates its limits.
func (g *Grantor) SetEndpoint(id string, l Limits) {
	e := g.endpoints[id]
	if e == nil {
		e = &endpointLedger{charges: map[string]*charge{}, halvings: g.term.Halvings}
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

// LeaseAcquired starts a term under a lease that another process may have held before. Every
// endpoint starts at its cold limit, and waits for a load report or RestoreState.
func (g *Grantor) LeaseAcquired(l Lease) {
	g.term = term{Lease: l, leaseHeld: true}
	for _, e := range g.endpoints {
		e.ready = false
		e.halvings = l.Halvings
		e.predecessorsCounted = false
		e.ramp.reset()
		for _, c := range e.charges {
			c.granted, c.carriedSettled = false, true
		}
	}
}

// LeaseRenewed extends the current term. It also applies if the grantor reacquired its own
// expired lease and no other process held it in between. Outside a term it has no effect.
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

// Limit returns the endpoint's current limit before any halving, or 0 if the endpoint was
// never added.
func (g *Grantor) Limit(id string) int {
	if e := g.endpoints[id]; e != nil {
		return e.ramp.limit
	}
	return 0
}

// CountedRequests returns the number of requests that the grantor must assume to be running
// at an endpoint: the charges, which include idle slots, plus the unattributed requests. It is
// 0 if the endpoint was never added.
func (g *Grantor) CountedRequests(id string, now time.Time) int {
	e := g.endpoints[id]
	if e == nil {
		return 0
	}
	e.removeEnded(g.cfg, now)
	return e.totalCharged + e.unattributed.requests
}

// ApplyLoad applies a load report. It ignores reports that are not newer than the last one
// applied, and reports on endpoints that were never added.
func (g *Grantor) ApplyLoad(id string, l Load, now time.Time) {
	e := g.endpoints[id]
	if e == nil || !l.ProducedAt.After(e.lastReportAt) {
		return
	}
	e.removeEnded(g.cfg, now)
	e.lastReportAt = l.ProducedAt
	cold := e.ramp.applyLoad(l)
	// The report counts every request that started before cutoff and is still running.
	cutoff := l.ProducedAt.Add(-g.cfg.SettleTime)
	if !e.ready && g.term.leaseHeld && !cutoff.Before(g.term.FormerGrantsEnd) {
		g.applyFirstLoad(e, l, cutoff, cold)
	} else {
		e.unattributed.lowerTo(l.Running, cutoff)
	}
	e.boundExpiredCharges(l.Running, cutoff)
	if e.halvings == 0 || g.term.predecessorGrantsEnd.IsZero() || cutoff.Before(g.term.predecessorGrantsEnd) {
		return
	}
	if !e.predecessorsCounted {
		e.predecessorRequests = requestBound{requests: l.Running, startedBefore: cutoff}
		e.predecessorsCounted = true
	}
	e.predecessorRequests.lowerTo(l.Running, cutoff)
}

// applyFirstLoad applies the first report that covers the requests of former terms, and
// counts these requests as unattributed.
func (g *Grantor) applyFirstLoad(e *endpointLedger, l Load, cutoff time.Time, cold bool) {
	e.ready = true
	e.unattributed = requestBound{requests: l.Running, startedBefore: cutoff, changeCount: e.unattributed.changeCount + 1}
	if !g.term.predecessorGrantsEnd.IsZero() && !cutoff.Before(g.term.predecessorGrantsEnd) {
		e.halvings = 0
	}
	if !cold {
		// An endpoint that runs this many requests and is not cold can sustain them.
		e.ramp.limit = min(max(e.ramp.limit, l.Running), e.ramp.limits.MaxSlots)
		if e.restoredLimit.BootID == l.BootID && l.BootID != "" {
			e.ramp.limit = min(max(e.ramp.limit, e.restoredLimit.Limit), e.ramp.limits.MaxSlots)
		}
	}
	e.restoredLimit = EndpointState{}
}

// HandleDemand answers one entry's demand for one endpoint. entryID must be unique to each
// start of an entry process, because a new process starts its sequence numbers again.
func (g *Grantor) HandleDemand(entryID string, d Demand, now time.Time) Grant {
	grant := Grant{Endpoint: d.Endpoint, Sequence: d.Sequence, Fencing: g.term.Fencing}
	e := g.endpoints[d.Endpoint]
	if e == nil {
		grant.Refused = RefusedUnknownEndpoint
		return grant
	}
	grant.BootID = e.ramp.bootID
	e.removeEnded(g.cfg, now)
	c := e.charges[entryID]
	if c != nil && d.Sequence <= c.sequence {
		grant.Refused = RefusedStale
		return grant
	}
	if c == nil {
		c = &charge{rampResetCount: e.ramp.resetCount}
		e.charges[entryID] = c
	}
	e.applyOutcomes(c, d, g.cfg, now)
	e.attributeCarried(c, d, g.term)
	c.sequence, c.inUse = d.Sequence, d.InUse
	e.setSlots(c, max(d.InUse, d.Held))
	lifetime, entrySlots := g.grantBounds(e, now)
	switch {
	case e.removed:
		grant.Refused = RefusedUnknownEndpoint
	case lifetime <= 0:
		grant.Refused = RefusedNotGrantor
	case !e.ready:
		grant.Refused = RefusedNotReady
	}
	// Slots that the entry holds stay counted for as long as it may use them.
	c.expires = now.Add(g.cfg.GrantLifetime)
	e.noteRemovableAt(c.removableAt(g.cfg))
	if grant.Refused != NotRefused {
		return grant
	}
	grant.Slots = e.slotsFor(d, entrySlots-(e.totalCharged-c.slots))
	grant.Slots, grant.Exclusive = e.applyReservation(entryID, d, grant.Slots, e.totalCharged-c.slots, now, g.cfg)
	grant.Lifetime = lifetime
	e.setSlots(c, max(c.slots, grant.Slots))
	c.granted, c.fencing, c.unattributedChangeCount = true, g.term.Fencing, e.unattributed.changeCount
	return grant
}

// HandleReturn applies a demand that returns slots and needs no answer. It ignores demands that
// are stale, and those of entries or endpoints that it counts nothing for. It never raises the
// entry's charge.
func (g *Grantor) HandleReturn(entryID string, d Demand, now time.Time) {
	e := g.endpoints[d.Endpoint]
	if e == nil {
		return
	}
	e.removeEnded(g.cfg, now)
	c := e.charges[entryID]
	if c == nil || d.Sequence <= c.sequence {
		return
	}
	e.applyOutcomes(c, d, g.cfg, now)
	c.sequence, c.inUse = d.Sequence, d.InUse
	e.setSlots(c, min(c.slots, max(d.InUse, d.Held)))
	e.noteRemovableAt(c.removableAt(g.cfg))
	c.granted = false
}

// grantBounds returns the longest lifetime that a grant can have now, and the number of slots that
// all entries together may have at the endpoint. Both are 0 outside a term, and after the lease has
// expired while the object API was available.
//
// The number of slots is the allowance minus the unattributed requests. Once the predecessors'
// requests are counted, it is at least the unhalved limit minus the predecessors' requests. If the
// lease has expired while the object API is unavailable, the allowance and the unhalved limit are
// each replaced by half of their value, rounded up, and the lifetime is GrantLifetime.
func (g *Grantor) grantBounds(e *endpointLedger, now time.Time) (time.Duration, int) {
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
		// served while no process can renew or acquire the lease; a successor has the smaller
		// half.
		allowance -= allowance >> 1
		fullLimit -= fullLimit >> 1
	}
	entrySlots := allowance - e.unattributed.requests
	if e.predecessorsCounted {
		entrySlots = max(entrySlots, fullLimit-e.predecessorRequests.requests)
	}
	return lifetime, entrySlots
}

// attributeCarried subtracts an entry's carried requests, which started in a former term, from the
// unattributed requests, because the entry's charge now counts them. It does so once for each
// charge, and only if the unattributed requests are known to include the carried ones: the entry
// built the demand after a grant of this term, and neither a load report nor RestoreState has
// changed the number of unattributed requests since that grant. While a predecessor may be active
// nothing is subtracted.
func (e *endpointLedger) attributeCarried(c *charge, d Demand, t term) {
	if e.halvings > 0 || c.carriedSettled || !c.granted || d.Fencing != t.Fencing || c.fencing != t.Fencing {
		return
	}
	if c.unattributedChangeCount != e.unattributed.changeCount {
		return
	}
	c.carriedSettled = true
	e.unattributed.requests = max(0, e.unattributed.requests-d.Carried)
}

// applyOutcomes passes an entry's request outcomes to the ramp-up. It skips each entry's first
// demand after a reset, which reports outcomes from before the reset.
func (e *endpointLedger) applyOutcomes(c *charge, d Demand, cfg Config, now time.Time) {
	if c.rampResetCount != e.ramp.resetCount {
		c.rampResetCount = e.ramp.resetCount
		return
	}
	e.ramp.applyDemand(d, e.totalCharged+e.unattributed.requests, cfg, now)
}

// slotsFor returns the number of slots to grant for a demand. available is the largest number of
// slots that the entry could have, including the slots of its running requests. In addition to
// those the entry gets at most half of the remaining available slots, rounded up, so that the
// first entry to ask does not take all slots. If available is lower than the number of its running
// requests, the entry gets available slots, or none if available is negative. It never gets more
// than d.Wanted.
func (e *endpointLedger) slotsFor(d Demand, available int) int {
	if available <= d.InUse {
		return min(max(available, 0), d.Wanted)
	}
	notRunning := available - d.InUse
	return min(d.Wanted, d.InUse+max((notRunning+1)/2, 1))
}

// setSlots sets the slots of a charge of this endpoint, and updates totalCharged.
func (e *endpointLedger) setSlots(c *charge, slots int) {
	e.totalCharged += slots - c.slots
	c.slots = slots
}

// removeCharge deletes an entry's charge and updates totalCharged.
func (e *endpointLedger) removeCharge(entryID string) {
	e.totalCharged -= e.charges[entryID].slots
	delete(e.charges, entryID)
}

// noteRemovableAt lowers noRemovalBefore to the time at which a charge becomes removable, if
// that is earlier.
func (e *endpointLedger) noteRemovableAt(at time.Time) {
	if at.Before(e.noRemovalBefore) {
		e.noRemovalBefore = at
	}
}

// removableAt returns the time from which the charge can cover no running request and no
// slot that the entry may still use.
func (c *charge) removableAt(cfg Config) time.Time {
	if c.slots == 0 {
		return c.expires
	}
	return c.expires.Add(cfg.RequestTimeout + cfg.SettleTime)
}

// removeEnded removes the charges that have become removable, and stops counting
// unattributed requests and predecessors' requests once they must all have ended.
func (e *endpointLedger) removeEnded(cfg Config, now time.Time) {
	if !now.Before(e.noRemovalBefore) {
		e.noRemovalBefore = now.Add(cfg.RequestTimeout)
		for id, c := range e.charges {
			if at := c.removableAt(cfg); now.Before(at) {
				e.noteRemovableAt(at)
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

// boundExpiredCharges limits the charges of entries whose grants have expired by the cutoff to
// the number of running requests in a load report. The report does not tell which entry's
// requests are running, so each of these entries may have all of them. If their charges and
// the unattributed requests together exceed the running requests, the charges become
// unattributed.
func (e *endpointLedger) boundExpiredCharges(running int, cutoff time.Time) {
	sum := 0
	for _, c := range e.charges {
		if !cutoff.Before(c.expires) {
			e.setSlots(c, min(c.slots, running))
			e.noRemovalBefore = time.Time{} // A charge without slots is removable earlier.
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

// add adds a number of requests that started before cutoff to the bound, and caps the sum at
// running, the number of running requests in a load report that counts all of these requests.
func (p *requestBound) add(requests, running int, cutoff time.Time) {
	p.requests = min(p.requests+requests, running)
	p.startedBefore = cutoff
	p.changeCount++
}

// lowerTo lowers the bound to running, the number of running requests in a load report, which counts
// the requests that started before cutoff. The bound stays as it is if it is already as low, or if
// it includes requests that may have started later.
func (p *requestBound) lowerTo(running int, cutoff time.Time) {
	if running < p.requests && !cutoff.Before(p.startedBefore) {
		p.requests = running
		p.changeCount++
	}
}
