// This file defines how one entry gets an endpoint for one request alone.

package clslot

import "time"

// reservationLifetimes is how many lifetimes of a grant a reservation lasts
// without another demand for it.
const reservationLifetimes = 2

// Reserve asks for the endpoint alone, for a request that may take down what
// runs beside it. From the next demand on the grantor gives the endpoint to no
// other entry, and this entry takes no ordinary slot there, until Unreserve.
func (h *Holder) Reserve(endpoint string, now time.Time) {
	e := h.holding(endpoint, now)
	e.reserving, e.exclusive = true, false
}

// Unreserve gives the endpoint back to all with the next demand.
func (h *Holder) Unreserve(endpoint string) {
	if e := h.endpoints[endpoint]; e != nil && e.reserving {
		e.reserving, e.exclusive = false, false
		e.dropIdle()
		e.unreserved = true
	}
}

// Reserving reports whether the endpoint is reserved or asked for.
func (h *Holder) Reserving(endpoint string) bool {
	e := h.endpoints[endpoint]
	return e != nil && e.reserving
}

// AcquireExclusive takes the slot of a reserved endpoint once nothing else runs there.
func (h *Holder) AcquireExclusive(endpoint string, now time.Time) (Ticket, bool) {
	e := h.endpoints[endpoint]
	if e == nil || !e.reserving || !e.exclusive || e.inUse > 0 || e.slots == 0 || !now.Before(e.expires) {
		return Ticket{}, false
	}
	return h.take(e, endpoint, now), true
}

// restrict applies a reservation to the slots that an entry would get. others
// are the slots charged to the other entries.
func (e *ledger) restrict(from string, d Demand, slots, others int, now time.Time, cfg Config) (int, bool) {
	if !now.Before(e.reservedUntil) || e.reserved == from && !d.Exclusive {
		e.reserved = ""
	}
	if d.Exclusive && (e.reserved == "" || e.reserved == from) {
		e.reserved = from
		e.reservedUntil = now.Add(reservationLifetimes * cfg.GrantLifetime)
	}
	switch {
	case e.reserved == "":
		return slots, false
	case e.reserved != from || others+e.unattributed.slots > 0:
		return min(slots, d.InUse), false
	}
	return min(slots, max(1, d.InUse)), true
}
