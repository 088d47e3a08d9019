// This file defines the entry's side: slots held, in use and asked for.

package clslot

import (
	"slices"
	"time"
)

type (
	// Holder keeps the slots of one entry. It is not safe for concurrent use.
	Holder struct {
		cfg       Config
		sequence  uint64
		endpoints map[string]*holding
	}

	// Ticket is a slot taken by one request.
	Ticket struct {
		Endpoint string
		// SendBefore is the time after which the request must not be sent; the
		// sender checks it just before the first byte and otherwise releases the ticket.
		SendBefore time.Time
		// Fencing is the number of the grant that the slot came from.
		Fencing uint64
		// BootID is the start of the endpoint for which the slot was granted. The
		// request must not be sent to another one: the limit of a warm endpoint
		// would apply to one that has just restarted, until a report says so.
		BootID string
	}

	// Outcome is the end of a request.
	Outcome struct {
		// Healthy says that the answer was complete.
		Healthy bool
		// Failed says that the endpoint is at fault.
		Failed bool
	}

	holding struct {
		slots    int
		expires  time.Time
		fencing  uint64
		inUse    int
		carried  int
		sequence uint64
		sentAt   time.Time
		waiting  bool
		// peaks are the largest numbers in use in this and the former half of IdleAfter.
		peaks       [2]int
		peakSince   time.Time
		usedAt      time.Time
		healthy     int
		failed      int
		firstTokens firstTokens
		// reserving says that the endpoint is asked for alone, exclusive that it
		// was given, and unreserved that the grantor is to be told of the end.
		reserving, exclusive, unreserved bool
		// bootID is the one of the last grant; ended is a start that is known to be over.
		bootID, ended string
	}
)

// firstTokens keeps the last two first-token times.
type firstTokens struct {
	last, former time.Duration
	// fresh says that last was not taken yet.
	fresh bool
}

func (f *firstTokens) add(d time.Duration) {
	f.former, f.last, f.fresh = f.last, d, true
}

// take returns the lower of the last two, or 0 if there was none since the last call.
func (f *firstTokens) take() time.Duration {
	if !f.fresh {
		return 0
	}
	f.fresh = false
	if f.former == 0 {
		return f.last
	}
	return min(f.last, f.former)
}

// NewHolder returns a holder without slots.
func NewHolder(cfg Config) *Holder {
	return &Holder{cfg: cfg, endpoints: map[string]*holding{}}
}

// Available returns the slots that Acquire can take now.
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

// InUse returns the running requests at an endpoint.
func (h *Holder) InUse(endpoint string) int {
	if e := h.endpoints[endpoint]; e != nil {
		return e.inUse
	}
	return 0
}

// Acquire takes a slot if one is held; the request keeps it until Release.
func (h *Holder) Acquire(endpoint string, now time.Time) (Ticket, bool) {
	if h.Available(endpoint, now) == 0 {
		return Ticket{}, false
	}
	return h.take(h.endpoints[endpoint], endpoint, now), true
}

func (h *Holder) take(e *holding, endpoint string, now time.Time) Ticket {
	e.inUse++
	e.roll(h.cfg, now)
	e.peaks[0] = max(e.peaks[0], e.inUse)
	e.usedAt = now
	return Ticket{Endpoint: endpoint, SendBefore: now.Add(h.cfg.SettleTime), Fencing: e.fencing, BootID: e.bootID}
}

// Release ends the request of a ticket. It must be called once, after the
// answer has ended or the connection was closed.
func (h *Holder) Release(t Ticket, o Outcome, now time.Time) {
	e := h.endpoints[t.Endpoint]
	if e == nil || e.inUse == 0 {
		return
	}
	e.roll(h.cfg, now)
	e.inUse--
	if t.Fencing != e.fencing && e.carried > 0 {
		e.carried--
	}
	e.usedAt = now
	if o.Healthy {
		e.healthy++
	}
	if o.Failed {
		e.failed++
	}
}

// RecordFirstTokenTime takes the time to the first token of a running request, so that the
// grantor learns of a cold endpoint before the request's end.
func (h *Holder) RecordFirstTokenTime(endpoint string, d time.Duration) {
	if e := h.endpoints[endpoint]; e != nil {
		e.firstTokens.add(d)
	}
}

// BuildDemand builds the next demand for an endpoint, with the number of requests
// that wait for a slot there. From now on the entry uses no more slots than the
// demand says, and applies no answer to an earlier demand.
func (h *Holder) BuildDemand(endpoint string, waiting int, now time.Time) Demand {
	e := h.holding(endpoint, now)
	wanted := e.wanted(h.cfg, waiting, now)
	if e.reserving {
		wanted = max(1, e.inUse)
	}
	if !now.Before(e.expires) {
		e.slots = 0
	}
	e.slots = min(e.slots, wanted)
	h.sequence++
	e.sequence, e.sentAt, e.waiting = h.sequence, now, true
	d := Demand{
		Endpoint: endpoint, Sequence: h.sequence, InUse: e.inUse, Held: e.slots, Carried: e.carried,
		Fencing: e.fencing, Wanted: wanted, Healthy: e.healthy, Failed: e.failed, FirstTokenTime: e.firstTokens.take(),
		Exclusive: e.reserving,
	}
	e.unreserved = false
	e.healthy, e.failed = 0, 0
	return d
}

// ApplyGrant takes the answer to the last demand for an endpoint and reports whether
// it was taken. Answers to earlier demands and of former grantors are dropped:
// the grantor has counted the later demand only.
func (h *Holder) ApplyGrant(g Grant, now time.Time) bool {
	e := h.endpoints[g.Endpoint]
	if e == nil || !e.waiting || g.Sequence != e.sequence {
		return false
	}
	e.waiting = false
	if g.Refused != NotRefused || g.Fencing < e.fencing {
		return false
	}
	if g.Fencing != e.fencing {
		e.fencing, e.carried = g.Fencing, e.inUse
	}
	e.slots, e.expires, e.bootID = g.Slots, e.sentAt.Add(g.Lifetime), g.BootID
	if e.ended != "" && g.BootID == e.ended {
		// The grantor has not seen the restart yet.
		e.dropIdle()
	}
	e.exclusive = g.Exclusive && e.reserving
	return now.Before(e.expires)
}

// DropIdleSlots drops the idle slots of an endpoint that is known to be cold or leaving.
func (h *Holder) DropIdleSlots(endpoint string) {
	if e := h.endpoints[endpoint]; e != nil {
		e.dropIdle()
		e.waiting = false
	}
}

// BootEnded says that the endpoint's start of the given ID is over, so that
// slots granted for it are worth nothing.
func (h *Holder) BootEnded(endpoint, bootID string) {
	e := h.endpoints[endpoint]
	if e == nil || bootID == "" {
		return
	}
	e.ended = bootID
	if e.bootID == bootID {
		e.dropIdle()
	}
}

// EndpointsDue returns the endpoints for which a demand should be sent now, sorted: slots
// that expire within half a lifetime, or that are to be returned. Endpoints
// without slots, requests and recent use are forgotten.
func (h *Holder) EndpointsDue(now time.Time) []string {
	var due []string
	for id, e := range h.endpoints {
		idle := now.Sub(e.usedAt) >= h.cfg.IdleTimeout
		held := e.slots
		if !now.Before(e.expires) {
			held = 0
		}
		if held == 0 && e.inUse == 0 && idle && e.healthy+e.failed == 0 && !e.reserving && !e.unreserved {
			delete(h.endpoints, id)
			continue
		}
		renew := e.expires.Sub(now) <= h.cfg.GrantLifetime/2 && (e.inUse > 0 || !idle)
		if e.reserving && !e.exclusive || e.unreserved || renew || held > e.wanted(h.cfg, 0, now) || held == 0 && e.healthy+e.failed > 0 {
			due = append(due, id)
		}
	}
	slices.Sort(due)
	return due
}

// holding returns what is held at an endpoint, of which nothing need be known yet.
func (h *Holder) holding(endpoint string, now time.Time) *holding {
	e := h.endpoints[endpoint]
	if e == nil {
		e = &holding{peakSince: now}
		h.endpoints[endpoint] = e
	}
	return e
}

// dropIdle gives up the slots that no request uses.
func (e *holding) dropIdle() { e.slots = min(e.slots, e.inUse) }

// wanted returns the slots to ask for: those that the last IdleAfter needed, and
// a few ahead while the endpoint is in use.
func (e *holding) wanted(cfg Config, waiting int, now time.Time) int {
	e.roll(cfg, now)
	n := max(e.inUse+waiting, e.peaks[0], e.peaks[1])
	if n > 0 {
		n += cfg.SpareSlots
	}
	return n
}

// roll starts a new half of IdleAfter when the present one is over.
func (e *holding) roll(cfg Config, now time.Time) {
	half := cfg.IdleTimeout / 2
	passed := now.Sub(e.peakSince)
	if passed < half {
		return
	}
	former := e.peaks[0]
	if passed >= 2*half {
		former = e.inUse
	}
	e.peaks = [2]int{e.inUse, former}
	e.peakSince = now
}
