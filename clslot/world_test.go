// This file implements a simulation of one endpoint, entries, grantors, a lease and a
// network that loses, delays and reorders messages.

package clslot

import (
	"fmt"
	"time"

	"pgregory.net/rapid"
)

const (
	testGrantors = 3
	testEntries  = 5
	leaseTTL     = 6 * time.Second
)

var testLimits = Limits{ColdSlots: 2, MaxSlots: 8, WarmAfter: 4}

type (
	simulation struct {
		t        *rapid.T
		cfg      Config
		now      time.Time
		entries  []*testEntry
		grantors []*testGrantor
		requests []*testRequest
		lease    struct {
			holder   *testGrantor
			fencing  uint64
			until    time.Time
			released bool
			halvings int
			// state is the lease's payload. It is complete if the holder released the lease
			// with it.
			state    []EndpointState
			complete bool
		}
		boot    int
		cold    bool
		reports []Load
		demands []testDemand
		answers []testAnswer
		raises  []testRaise
		// grantedLimits is the highest limit at which slots were granted, for each boot ID.
		grantedLimits map[string]int
		// coverage counts how often each situation occurred.
		coverage map[string]int
	}

	testEntry struct {
		name   string
		h      *Holder
		paused bool
	}

	testGrantor struct {
		g                        *Grantor
		paused, storeUnreachable bool
		// stateRestored is set if the present term began with a predecessor's complete
		// state.
		stateRestored bool
	}

	// testRaise is a grant that raised the exposure, with the grantor's limit at the time.
	testRaise struct {
		at    time.Time
		limit int
	}

	testRequest struct {
		owner     *testEntry // nil once the entry has restarted
		ticket    Ticket
		startedAt time.Time
		arrived   bool
		boot      int
		ended     bool // ended at the endpoint, not yet noticed by the entry
	}

	testDemand struct {
		from     *testEntry
		name     string
		to       *testGrantor
		d        Demand
		isReturn bool
	}

	testAnswer struct {
		to *testEntry
		h  *Holder
		g  Grant
	}
)

func newSimulation(t *rapid.T, coverage map[string]int) *simulation {
	cfg := DefaultConfig()
	cfg.RequestTimeout = 20 * time.Second
	sim := &simulation{t: t, cfg: cfg, now: time.Unix(1000, 0), coverage: coverage, grantedLimits: map[string]int{}}
	for range testGrantors {
		p := &testGrantor{}
		sim.restartGrantor(p)
		sim.grantors = append(sim.grantors, p)
	}
	for range testEntries {
		sim.entries = append(sim.entries, &testEntry{h: NewHolder(cfg)})
		sim.entries[len(sim.entries)-1].name = fmt.Sprint("entry-", len(sim.entries), "-0")
	}
	sim.lease.released = true
	sim.lease.until = sim.now
	return sim
}

func (sim *simulation) restartGrantor(p *testGrantor) {
	*p = testGrantor{g: NewGrantor(sim.cfg)}
	p.g.SetEndpoint("ep", testLimits)
}

// exposure returns the number of requests at the endpoint or on the way there, plus the idle
// slots that entries hold or that a grant under way gives them.
func (sim *simulation) exposure() int {
	sum := 0
	for _, r := range sim.requests {
		if !r.ended && (!r.arrived || r.boot == sim.boot) {
			sum++
		}
	}
	for _, e := range sim.entries {
		idle := e.h.Available("ep", sim.now)
		for _, a := range sim.answers {
			s := e.h.endpoints["ep"]
			live := a.to == e && a.h == e.h && s != nil && s.awaitingGrant && a.g.Sequence == s.sequence
			if live && a.g.Refused == NotRefused && sim.now.Before(s.sentAt.Add(a.g.Lifetime)) {
				idle = max(idle, a.g.Slots-s.inUse)
			}
		}
		sum += idle
	}
	return sum
}

// advance moves the time forward and ends requests that reach the request timeout.
func (sim *simulation) advance(d time.Duration) {
	sim.now = sim.now.Add(d)
	for _, r := range sim.requests {
		if sim.now.Sub(r.startedAt) >= sim.cfg.RequestTimeout || !r.arrived && sim.now.After(r.ticket.SendBefore) {
			r.ended = true
		}
	}
	sim.finishRequests()
}

// finishRequests lets entries that are not paused notice ended requests.
func (sim *simulation) finishRequests() {
	kept := sim.requests[:0]
	for _, r := range sim.requests {
		ended := r.ended || r.arrived && r.boot != sim.boot
		if ended && r.owner != nil && !r.owner.paused {
			failed := r.arrived && r.boot != sim.boot
			r.owner.h.RecordFirstTokenTime(r.ticket.Endpoint, 300*time.Millisecond)
			r.owner.h.Release(r.ticket, Outcome{Healthy: !failed, Failed: failed}, sim.now)
		}
		if !ended || r.owner != nil && r.owner.paused {
			kept = append(kept, r)
		}
	}
	sim.requests = kept
}

// deliver hands a demand to its grantor and checks that the exposure rises only within the
// limit.
func (sim *simulation) deliver(m testDemand) {
	if m.to.paused {
		return
	}
	if m.isReturn {
		m.to.g.HandleReturn(m.name, m.d, sim.now)
		return
	}
	before := sim.exposure()
	endpoint := m.to.g.endpoints["ep"]
	endpoint.removeExpired(sim.cfg, sim.now)
	unattributed := endpoint.unattributed.requests
	g := m.to.g.HandleDemand(m.name, m.d, sim.now)
	if endpoint.unattributed.requests < unattributed {
		sim.coverage["attributed"]++
	}
	if g.Refused == NotRefused {
		sim.grantedLimits[g.BootID] = max(sim.grantedLimits[g.BootID], endpoint.ramp.limit)
	}
	sim.answers = append(sim.answers, testAnswer{m.from, m.from.h, g})
	if m.name != m.from.name {
		sim.answers = sim.answers[:len(sim.answers)-1]
	}
	sim.coverage["refused "+g.Refused.String()]++
	after := sim.exposure()
	if after <= before {
		return
	}
	limit := endpoint.ramp.limit
	sim.raises = append(sim.raises, testRaise{sim.now, limit})
	sim.recordCoverage(m.to, endpoint)
	if endpoint.halvings > 0 || !sim.now.Before(m.to.g.term.ExpiresAt) {
		// Other grantors act or have acted on the limit that they know.
		for _, r := range sim.raises {
			if sim.now.Sub(r.at) < sim.cfg.GrantLifetime+sim.cfg.RequestTimeout {
				limit = max(limit, r.limit)
			}
		}
	}
	if after > limit {
		sim.t.Fatalf("exposure rose from %d to %d above the limit %d, halvings %d", before, after, limit, endpoint.halvings)
	}
}

// recordCoverage counts the situations in which the exposure rose.
func (sim *simulation) recordCoverage(p *testGrantor, endpoint *ledger) {
	sim.coverage["raised"]++
	for name, reached := range map[string]bool{
		"raised in outage":           !sim.now.Before(p.g.term.ExpiresAt),
		"raised at half":             endpoint.halvings > 0,
		"raised after predecessors":  endpoint.predecessorsCounted,
		"raised above cold":          endpoint.ramp.limit > testLimits.ColdSlots,
		"raised by successor":        p.g.term.Fencing > 1,
		"raised with unattributed":   endpoint.unattributed.requests > 0,
		"raised after state restore": p.stateRestored,
	} {
		if reached {
			sim.coverage[name]++
		}
	}
}
