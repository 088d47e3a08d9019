// This file implements the transfer of a grantor's state to its successor.

package clslot

import (
	"cmp"
	"slices"
	"time"
)

type (
	// EndpointState is a grantor's state for one endpoint. LimitState sets only the fields up
	// to Limit.
	EndpointState struct {
		Endpoint string
		// BootID is the boot ID of the endpoint for which Limit was determined.
		BootID string
		// Limit is the limit on concurrent requests, before any halving.
		Limit int
		// Unattributed is the number of requests that no entry's charge covers.
		Unattributed int
		Charges      []EntryCharge
	}

	// EntryCharge is what a grantor counts for one entry at one endpoint.
	EntryCharge struct {
		// Entry is the entry's ID as passed to HandleDemand.
		Entry string
		// Slots is the number of requests that the entry may have running, InUse the number
		// that it last reported.
		Slots, InUse int
		// Sequence is the sequence number of the entry's last demand.
		Sequence uint64
	}
)

// State returns the state of the endpoints whose limit is known in the current term, sorted.
// It is complete, and may be passed to a successor's RestoreState, only if it is taken after
// LeaseLost.
func (g *Grantor) State() []EndpointState {
	var list []EndpointState
	for id, e := range g.endpoints {
		if e.limitKnown() {
			list = append(list, e.state(id))
		}
	}
	slices.SortFunc(list, func(a, b EndpointState) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}

// LimitState returns the limits of the endpoints whose limit is known in the current term,
// sorted, for a successor's RestoreLimits.
func (g *Grantor) LimitState() []EndpointState {
	var list []EndpointState
	for id, e := range g.endpoints {
		if e.limitKnown() {
			list = append(list, EndpointState{Endpoint: id, BootID: e.ramp.bootID, Limit: e.ramp.limit})
		}
	}
	slices.SortFunc(list, func(a, b EndpointState) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}

// limitKnown reports whether the ledger is ready, halvings is 0, the endpoint's boot ID is known and
// the endpoint has not been removed.
func (e *endpointLedger) limitKnown() bool {
	return e.ready && !e.removed && e.ramp.bootID != "" && e.halvings == 0
}

// state returns the endpoint's state, with the charges sorted by entry.
func (e *endpointLedger) state(id string) EndpointState {
	s := EndpointState{Endpoint: id, BootID: e.ramp.bootID, Limit: e.ramp.limit, Unattributed: e.unattributed.requests}
	for entry, c := range e.charges {
		s.Charges = append(s.Charges, EntryCharge{Entry: entry, Slots: c.slots, InUse: c.inUse, Sequence: c.sequence})
	}
	slices.SortFunc(s.Charges, func(a, b EntryCharge) int { return cmp.Compare(a.Entry, b.Entry) })
	return s
}

// RestoreLimits takes over the limits of a former grantor that did not release its lease. It
// must be called after LeaseAcquired and SetEndpoint. A limit takes effect with the
// first load report produced at least SettleTime after Lease.FormerGrantsEnd, if the report has the
// same boot ID and Load.Cold is not set. Without RestoreLimits, each change of the grantor would
// reset the endpoint to its cold limit.
func (g *Grantor) RestoreLimits(states []EndpointState) {
	for _, s := range states {
		if e := g.endpoints[s.Endpoint]; e != nil && !e.ready {
			e.restoredLimit = s
		}
	}
}

// RestoreState takes over the complete state of a predecessor, which stored the state when it
// released the lease. It must be called after LeaseAcquired and SetEndpoint. The predecessor had
// stopped granting when it took the state, so the charges and the unattributed requests cover every
// request that may be running, and grants continue at once. Endpoints that are missing from
// the state wait for a load report, as after any other change of the grantor. If
// Lease.Halvings is not 0, all endpoints wait for one.
func (g *Grantor) RestoreState(states []EndpointState, now time.Time) {
	for _, s := range states {
		e := g.endpoints[s.Endpoint]
		if e == nil || !g.term.leaseHeld || e.halvings > 0 {
			continue
		}
		e.ready = true
		e.ramp.bootID = s.BootID
		e.ramp.limit = min(max(s.Limit, e.ramp.limits.ColdSlots), e.ramp.limits.MaxSlots)
		e.unattributed = requestBound{requests: s.Unattributed, startedBefore: now, changeCount: e.unattributed.changeCount + 1}
		clear(e.charges)
		e.totalCharged, e.noRemovalBefore = 0, time.Time{}
		for _, c := range s.Charges {
			e.charges[c.Entry] = &charge{
				slots: c.Slots, inUse: c.InUse, sequence: c.Sequence, rampResetCount: e.ramp.resetCount,
				// The predecessor's grants expire within GrantLifetime of its release.
				expires: now.Add(g.cfg.GrantLifetime), carriedSettled: true,
			}
			e.totalCharged += c.Slots
		}
	}
}
