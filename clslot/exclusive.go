// This file implements exclusive use of an endpoint by a single request.

package clslot

import "time"

// reservationLifetimes is the duration of a reservation, in grant lifetimes. Each further
// demand for the reservation extends it.
const reservationLifetimes = 2

// Reserve requests exclusive use of the endpoint, for a request that may crash the endpoint
// and with it all requests that run beside it. Until Unreserve, Acquire takes no slot there.
// The next demand passes the reservation to the grantor. Unless another entry has reserved the
// endpoint, the grantor then grants the other entries no further slots there, until it learns
// of Unreserve or the reservation expires for lack of further demands.
func (h *Holder) Reserve(endpoint string, now time.Time) {
	e := h.slotsAt(endpoint, now)
	e.reserving, e.exclusive = true, false
}

// Unreserve ends the entry's reservation, if it has one, and drops the endpoint's idle slots. Other
// entries can be granted slots there again once the next demand has reached the grantor.
func (h *Holder) Unreserve(endpoint string) {
	if e := h.endpoints[endpoint]; e != nil && e.reserving {
		e.reserving, e.exclusive = false, false
		e.dropIdle()
		e.unreserveUnreported = true
	}
}

// Reserving reports whether a reservation of the endpoint is requested or granted.
func (h *Holder) Reserving(endpoint string) bool {
	e := h.endpoints[endpoint]
	return e != nil && e.reserving
}

// AcquireExclusive takes the slot of a reserved endpoint, if the last grant gave this entry
// exclusive use and no request of its own runs there. It does not wait.
func (h *Holder) AcquireExclusive(endpoint string, now time.Time) (Ticket, bool) {
	e := h.endpoints[endpoint]
	if e == nil || !e.reserving || !e.exclusive || e.inUse > 0 || e.slots == 0 || !now.Before(e.expires) {
		return Ticket{}, false
	}
	return h.takeSlot(e, endpoint, now), true
}

// applyReservation updates the endpoint's reservation from a demand. It returns the number of
// slots to grant under the reservation, given the number without one, and whether the entry
// has exclusive use. otherSlots is the number of slots charged to the other entries.
func (e *endpointLedger) applyReservation(entryID string, d Demand, slots, otherSlots int, now time.Time, cfg Config) (int, bool) {
	if !now.Before(e.reservedUntil) || e.reservedBy == entryID && !d.Exclusive {
		e.reservedBy = ""
	}
	if d.Exclusive && (e.reservedBy == "" || e.reservedBy == entryID) {
		e.reservedBy = entryID
		e.reservedUntil = now.Add(reservationLifetimes * cfg.GrantLifetime)
	}
	switch {
	case e.reservedBy == "":
		return slots, false
	case e.reservedBy != entryID || otherSlots+e.unattributed.requests > 0:
		return min(slots, d.InUse), false
	}
	return min(slots, max(1, d.InUse)), true
}
