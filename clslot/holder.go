// This file implements the slot holder of an entry.

package clslot

import (
	"slices"
	"time"
)

type (
	// Holder keeps track of the slots that one entry holds, uses and requests. It is not
	// safe for concurrent use.
	Holder struct {
		cfg Config
		// sequence is the sequence number of the last demand for any endpoint.
		sequence  uint64
		endpoints map[string]*endpointSlots
	}

	// Ticket is a slot taken by one request.
	Ticket struct {
		Endpoint string
		// SendBefore is the time after which the request must not be sent. The sender checks
		// it just before the first byte and releases the ticket if the time has passed.
		SendBefore time.Time
		// Fencing is the fencing number of the grant that the slot came from.
		Fencing uint64
		// BootID is the boot ID of the endpoint for which the slot was granted. The request
		// must not be sent to another boot: the limit of a warm endpoint would apply to one
		// that has just restarted, until a load report shows the restart.
		BootID string
	}

	// Outcome is the result of a request.
	Outcome struct {
		// Healthy is set if the answer was complete.
		Healthy bool
		// Failed is set if the request failed because of the endpoint.
		Failed bool
	}

	// endpointSlots is the state of one endpoint at a holder.
	endpointSlots struct {
		// slots is the number of slots that the entry may use until expires, including those
		// in use. inUse may exceed it, because running requests keep their slots.
		slots   int
		expires time.Time
		// fencing is the fencing number of the last grant applied.
		fencing uint64
		inUse   int
		// carried is the number of requests in inUse that started under another fencing
		// number.
		carried int
		// demandSequence is the sequence number of the last demand for the endpoint, and
		// demandBuiltAt when it was built. awaitingGrant is set until its grant arrives.
		demandSequence uint64
		demandBuiltAt  time.Time
		awaitingGrant  bool
		// peaks holds the largest number of slots in use in the current period of half an
		// IdleTimeout, and in the one before. The current period began at currentPeakStart.
		peaks            [2]int
		currentPeakStart time.Time
		// lastUsedAt is when a slot was last taken or released.
		lastUsedAt time.Time
		// healthy and failed are the numbers of outcomes since the last demand.
		healthy         int
		failed          int
		firstTokenTimes firstTokenTimes
		// reserving is set while a reservation is requested or granted, exclusive while it is
		// granted. unreserveUnreported is set by Unreserve and cleared by the next demand,
		// which tells the grantor of the end of the reservation.
		reserving, exclusive, unreserveUnreported bool
		// bootID is the boot ID of the last grant. endedBootID is the last boot ID known to
		// have ended; empty if none.
		bootID, endedBootID string
	}
)

// firstTokenTimes keeps the last two first-token times.
type firstTokenTimes struct {
	// last and previous are 0 if there is none.
	last, previous time.Duration
	// unread is set by add and cleared by take.
	unread bool
}

// add records a time as the last one.
func (f *firstTokenTimes) add(d time.Duration) {
	f.previous, f.last, f.unread = f.last, d, true
}

// take returns the lower of the last two times, or 0 if none was added since the last call.
func (f *firstTokenTimes) take() time.Duration {
	if !f.unread {
		return 0
	}
	f.unread = false
	if f.previous == 0 {
		return f.last
	}
	return min(f.last, f.previous)
}

// NewHolder returns a holder without slots.
func NewHolder(cfg Config) *Holder {
	return &Holder{cfg: cfg, endpoints: map[string]*endpointSlots{}}
}

// Available returns the number of slots that Acquire can take at an endpoint now. It is 0 for
// an endpoint that this entry has reserved.
func (h *Holder) Available(endpoint string, now time.Time) int {
	e := h.endpoints[endpoint]
	if e == nil || !now.Before(e.expires) || e.reserving {
		return 0
	}
	return max(0, e.slots-e.inUse)
}

// EndpointsWithSlots returns the endpoints at which Acquire can take a slot now, sorted.
func (h *Holder) EndpointsWithSlots(now time.Time) []string {
	var ids []string
	for id := range h.endpoints {
		if h.Available(id, now) > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// InUse returns the number of the entry's requests at an endpoint that have not been released.
func (h *Holder) InUse(endpoint string) int {
	if e := h.endpoints[endpoint]; e != nil {
		return e.inUse
	}
	return 0
}

// Acquire takes a slot if one is available. The request keeps it until Release.
func (h *Holder) Acquire(endpoint string, now time.Time) (Ticket, bool) {
	if h.Available(endpoint, now) == 0 {
		return Ticket{}, false
	}
	return h.takeSlot(h.endpoints[endpoint], endpoint, now), true
}

// takeSlot counts one more request at an endpoint. The caller has checked that a slot is
// available.
func (h *Holder) takeSlot(e *endpointSlots, endpoint string, now time.Time) Ticket {
	e.inUse++
	e.rotatePeaks(h.cfg, now)
	e.peaks[0] = max(e.peaks[0], e.inUse)
	e.lastUsedAt = now
	return Ticket{Endpoint: endpoint, SendBefore: now.Add(h.cfg.SettleTime), Fencing: e.fencing, BootID: e.bootID}
}

// Release ends the request of a ticket. It must be called exactly once: after the answer has
// ended or the connection was closed, or when the request is not sent.
func (h *Holder) Release(t Ticket, o Outcome, now time.Time) {
	e := h.endpoints[t.Endpoint]
	if e == nil || e.inUse == 0 {
		return
	}
	e.rotatePeaks(h.cfg, now)
	e.inUse--
	if t.Fencing != e.fencing && e.carried > 0 {
		e.carried--
	}
	e.lastUsedAt = now
	if o.Healthy {
		e.healthy++
	}
	if o.Failed {
		e.failed++
	}
}

// RecordFirstTokenTime records the first-token time of a request while it is still running, so
// that the grantor learns of a cold endpoint before the request ends. The caller scales the
// time to that of a short prompt.
func (h *Holder) RecordFirstTokenTime(endpoint string, firstTokenTime time.Duration) {
	if e := h.endpoints[endpoint]; e != nil {
		e.firstTokenTimes.add(firstTokenTime)
	}
}

// BuildDemand builds the next demand for an endpoint. waiting is the number of requests that
// wait for a slot there. Until a grant for this demand arrives, the entry uses no more slots
// than the demand reports as held or in use; it applies no grant for an earlier demand.
func (h *Holder) BuildDemand(endpoint string, waiting int, now time.Time) Demand {
	e := h.slotsAt(endpoint, now)
	wanted := e.wanted(h.cfg, waiting, now)
	if e.reserving {
		wanted = max(1, e.inUse)
	}
	if !now.Before(e.expires) {
		e.slots = 0
	}
	e.slots = min(e.slots, wanted)
	h.sequence++
	e.demandSequence, e.demandBuiltAt, e.awaitingGrant = h.sequence, now, true
	d := Demand{
		Endpoint: endpoint, Sequence: h.sequence, InUse: e.inUse, Held: e.slots, Carried: e.carried,
		Fencing: e.fencing, Wanted: wanted, Healthy: e.healthy, Failed: e.failed, FirstTokenTime: e.firstTokenTimes.take(),
		Exclusive: e.reserving,
	}
	e.unreserveUnreported = false
	e.healthy, e.failed = 0, 0
	return d
}

// ApplyGrant applies the grant for the last demand for an endpoint. It reports whether the
// grant was applied and has not expired. Grants for earlier demands and grants of former
// grantors are dropped, because the grantor has counted only the last demand.
func (h *Holder) ApplyGrant(g Grant, now time.Time) bool {
	e := h.endpoints[g.Endpoint]
	if e == nil || !e.awaitingGrant || g.Sequence != e.demandSequence {
		return false
	}
	e.awaitingGrant = false
	if g.Refused != NotRefused || g.Fencing < e.fencing {
		return false
	}
	if g.Fencing != e.fencing {
		e.fencing, e.carried = g.Fencing, e.inUse
	}
	e.slots, e.expires, e.bootID = g.Slots, e.demandBuiltAt.Add(g.Lifetime), g.BootID
	if e.endedBootID != "" && g.BootID == e.endedBootID {
		// The grantor has not seen the restart yet.
		e.dropIdle()
	}
	e.exclusive = g.Exclusive && e.reserving
	return now.Before(e.expires)
}

// DropIdleSlots drops the idle slots of an endpoint that is known to be cold, leaving or
// removed, and any grant for a demand already built.
func (h *Holder) DropIdleSlots(endpoint string) {
	if e := h.endpoints[endpoint]; e != nil {
		e.dropIdle()
		e.awaitingGrant = false
	}
}

// BootEnded records that the endpoint's boot with the given ID has ended, which invalidates
// the slots granted for it.
func (h *Holder) BootEnded(endpoint, bootID string) {
	e := h.endpoints[endpoint]
	if e == nil || bootID == "" {
		return
	}
	e.endedBootID = bootID
	if e.bootID == bootID {
		e.dropIdle()
	}
}

// EndpointsDue returns the endpoints for which a demand should be sent now, sorted. These are
// the endpoints with
//   - slots that have expired or expire within half of GrantLifetime, if requests are running
//     or a slot was taken or released within IdleTimeout,
//   - more slots than wanted,
//   - outcomes to report and no unexpired slots (otherwise a later demand reports them),
//   - a reservation that is not yet granted, or whose end is not yet reported.
//
// EndpointsDue also deletes the state of each endpoint that has no unexpired slots, no running
// requests, no outcomes to report, no reservation and no unreported end of one, and at which no slot
// was taken or released within IdleTimeout.
func (h *Holder) EndpointsDue(now time.Time) []string {
	var due []string
	for id, e := range h.endpoints {
		idle := now.Sub(e.lastUsedAt) >= h.cfg.IdleTimeout
		held := e.slots
		if !now.Before(e.expires) {
			held = 0
		}
		if held == 0 && e.inUse == 0 && idle && e.healthy+e.failed == 0 && !e.reserving && !e.unreserveUnreported {
			delete(h.endpoints, id)
			continue
		}
		renew := e.expires.Sub(now) <= h.cfg.GrantLifetime/2 && (e.inUse > 0 || !idle)
		if e.reserving && !e.exclusive || e.unreserveUnreported || renew || held > e.wanted(h.cfg, 0, now) || held == 0 && e.healthy+e.failed > 0 {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	return due
}

// slotsAt returns the state of an endpoint, creating it if there is none.
func (h *Holder) slotsAt(endpoint string, now time.Time) *endpointSlots {
	e := h.endpoints[endpoint]
	if e == nil {
		e = &endpointSlots{currentPeakStart: now}
		h.endpoints[endpoint] = e
	}
	return e
}

// dropIdle gives up the slots that no request uses.
func (e *endpointSlots) dropIdle() { e.slots = min(e.slots, e.inUse) }

// wanted returns the number of slots to request: the largest number needed in the last
// IdleTimeout, plus SpareSlots while the endpoint is in use.
func (e *endpointSlots) wanted(cfg Config, waiting int, now time.Time) int {
	e.rotatePeaks(cfg, now)
	n := max(e.inUse+waiting, e.peaks[0], e.peaks[1])
	if n > 0 {
		n += cfg.SpareSlots
	}
	return n
}

// rotatePeaks starts a new period of peaks if the current one has lasted half of IdleTimeout.
func (e *endpointSlots) rotatePeaks(cfg Config, now time.Time) {
	halfTimeout := cfg.IdleTimeout / 2
	elapsed := now.Sub(e.currentPeakStart)
	if elapsed < halfTimeout {
		return
	}
	previous := e.peaks[0]
	if elapsed >= 2*halfTimeout {
		previous = e.inUse
	}
	e.peaks = [2]int{e.inUse, previous}
	e.currentPeakStart = now
}
