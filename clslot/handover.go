// This file defines what a grantor hands over to its successor.

package clslot

import (
	"cmp"
	"slices"
	"time"
)

type (
	// EndpointState is what a grantor knows of one endpoint.
	EndpointState struct {
		Endpoint string
		// BootID is the start of the endpoint for which Limit was found.
		BootID string
		Limit  int
		// Unattributed counts requests that no entry's charge covers.
		Unattributed int
		Charges      []EntryCharge
	}

	// EntryCharge is what one entry may have running at an endpoint.
	EntryCharge struct {
		Entry        string
		Slots, InUse int
		Sequence     uint64
	}
)

// State returns what is known of the endpoints that were reported in the
// present term. It is complete, and may be passed to a successor's Resume,
// only if it is taken after Lost.
func (g *Grantor) State() []EndpointState {
	var list []EndpointState
	for id, e := range g.endpoints {
		if e.reported() {
			list = append(list, e.state(id))
		}
	}
	slices.SortFunc(list, func(a, b EndpointState) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}

// LimitState returns the limits of the endpoints that were reported in the present
// term, for a successor's Recall.
func (g *Grantor) LimitState() []EndpointState {
	var list []EndpointState
	for id, e := range g.endpoints {
		if e.reported() {
			list = append(list, EndpointState{Endpoint: id, BootID: e.ramp.bootID, Limit: e.ramp.limit})
		}
	}
	slices.SortFunc(list, func(a, b EndpointState) int { return cmp.Compare(a.Endpoint, b.Endpoint) })
	return list
}

// reported says that the limit was found in the present term.
func (e *ledger) reported() bool {
	return e.ready && !e.removed && e.ramp.bootID != "" && e.halvings == 0
}

func (e *ledger) state(id string) EndpointState {
	s := EndpointState{Endpoint: id, BootID: e.ramp.bootID, Limit: e.ramp.limit, Unattributed: e.unattributed.slots}
	for entry, c := range e.entries {
		s.Charges = append(s.Charges, EntryCharge{Entry: entry, Slots: c.slots, InUse: c.inUse, Sequence: c.sequence})
	}
	slices.SortFunc(s.Charges, func(a, b EntryCharge) int { return cmp.Compare(a.Entry, b.Entry) })
	return s
}

// RestoreLimits takes the limits of a former grantor that did not release its lease,
// after Acquired and SetEndpoint. A limit holds again once a report shows the
// same boot ID and no cold; without it each change of the grantor would send
// the endpoint back to its cold limit.
func (g *Grantor) RestoreLimits(states []EndpointState) {
	for _, s := range states {
		if e := g.endpoints[s.Endpoint]; e != nil && !e.ready {
			e.recalled = s
		}
	}
}

// RestoreState takes over from a predecessor that released its lease together with
// its state, after Acquired and SetEndpoint. Since the predecessor had stopped
// granting when it took the state, the charges cover all that may run, and
// grants go on at once. Endpoints that are missing in the state wait for a
// report, as after any other change of the grantor.
func (g *Grantor) RestoreState(states []EndpointState, now time.Time) {
	for _, s := range states {
		e := g.endpoints[s.Endpoint]
		if e == nil || !g.term.held || e.halvings > 0 {
			continue
		}
		e.ready = true
		e.ramp.bootID = s.BootID
		e.ramp.limit = min(max(s.Limit, e.ramp.limits.ColdSlots), e.ramp.limits.MaxSlots)
		e.unattributed = pool{slots: s.Unattributed, since: now, version: e.unattributed.version + 1}
		clear(e.entries)
		e.charged, e.nextExpiry = 0, time.Time{}
		for _, c := range s.Charges {
			e.entries[c.Entry] = &charge{
				slots: c.Slots, inUse: c.InUse, sequence: c.Sequence, resets: e.ramp.resets,
				// The predecessor's grants end within GrantLifetime of its release.
				expires: now.Add(g.cfg.GrantLifetime), claimed: true,
			}
			e.charged += c.Slots
		}
	}
}
