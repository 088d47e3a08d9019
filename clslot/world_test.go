// This file implements a simulation of one endpoint, entries, grantors, a lease and a
// network that loses, delays and reorders messages.

package clslot

import (
	"fmt"
	"time"

	"pgregory.net/rapid"
)

// The parameters of the simulation. leaseTTL is the time from an acquisition or a renewal of the
// grantor's lease until its expiry.
const (
	grantorCount = 3
	entryCount   = 5
	leaseTTL     = 6 * time.Second
)

var testLimits = Limits{ColdSlots: 2, MaxSlots: 8, WarmAfter: 4}

type (
	// simulation is the simulated system. Its step methods are the random events.
	simulation struct {
		t        *rapid.T
		cfg      Config
		now      time.Time
		entries  []*testEntry
		grantors []*testGrantor
		requests []*testRequest
		lease    struct {
			grantor *testGrantor // holds the lease; nil if it has been released
			fencing uint64
			// until is when the lease expires or, once it has been released, when the last
			// grant under it has expired.
			until    time.Time
			released bool
			// halvings is the number of grantors that lost the lease by its expiry and may
			// still be granting.
			halvings int
			// state is the grantor state that is stored with the lease for the successor.
			// complete is set if it was stored by the release of the lease, and is then
			// passed to RestoreState; otherwise it is passed to RestoreLimits.
			state    []EndpointState
			complete bool
		}
		// boot is the number of restarts of the endpoint; its boot ID is this number in
		// decimal digits. cold is set if its next report says that it is cold.
		boot int
		cold bool
		// reports holds the last six load reports. demands and answers hold the messages
		// that are under way.
		reports []Load
		demands []testDemand
		answers []testAnswer
		// raises holds the grants so far that raised the exposure.
		raises []testRaise
		// grantedLimits is the highest limit at which slots were granted, for each boot ID.
		grantedLimits map[string]int
		// coverage counts how often each situation occurred.
		coverage map[string]int
	}

	// testEntry is an entry. A restart changes its name and its Holder. While it is paused it
	// sends no demands, applies no grants, starts no requests and does not notice that requests
	// have ended.
	testEntry struct {
		name   string
		h      *Holder
		paused bool
	}

	// testGrantor is a process that can be the grantor. While it is paused it receives no demands
	// and no load reports, and neither renews nor acquires the lease. storeUnavailable is set
	// while it is cut off from the object API.
	testGrantor struct {
		g                        *Grantor
		paused, storeUnavailable bool
		// stateRestored is set if the present term began with a predecessor's complete
		// state that was not empty.
		stateRestored bool
	}

	// testRaise is a grant that raised the exposure, with the grantor's limit at the time.
	testRaise struct {
		at    time.Time
		limit int
	}

	// testRequest is a request that an entry has started. The simulation removes it once the
	// request has ended and its owner, if there still is one, has released the ticket.
	testRequest struct {
		owner     *testEntry // nil once the entry has restarted
		ticket    Ticket
		startedAt time.Time
		arrived   bool // whether it has reached the endpoint
		boot      int  // simulation.boot when it arrived
		ended     bool // set when it has ended at the endpoint or is not sent, before its entry notices
	}

	// testDemand is a demand on its way to a grantor. name is the sender's name when it
	// was sent. If isReturn is set, the demand is passed to HandleReturn and not answered.
	testDemand struct {
		from     *testEntry
		name     string
		to       *testGrantor
		d        Demand
		isReturn bool
	}

	// testAnswer is a grant on its way to an entry. h is the entry's Holder that demanded it.
	testAnswer struct {
		to *testEntry
		h  *Holder
		g  Grant
	}
)

// newSimulation returns a simulation in which no grantor has held the lease yet.
func newSimulation(t *rapid.T, coverage map[string]int) *simulation {
	cfg := DefaultConfig()
	cfg.RequestTimeout = 20 * time.Second
	sim := &simulation{t: t, cfg: cfg, now: time.Unix(1000, 0), coverage: coverage, grantedLimits: map[string]int{}}
	for range grantorCount {
		p := &testGrantor{}
		sim.restartGrantor(p)
		sim.grantors = append(sim.grantors, p)
	}
	for range entryCount {
		sim.entries = append(sim.entries, &testEntry{h: NewHolder(cfg)})
		sim.entries[len(sim.entries)-1].name = fmt.Sprint("entry-", len(sim.entries), "-0")
	}
	sim.lease.released = true
	sim.lease.until = sim.now
	return sim
}

// restartGrantor replaces a grantor by a new one without a lease.
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
			live := a.to == e && a.h == e.h && s != nil && s.awaitingGrant && a.g.Sequence == s.demandSequence
			if live && a.g.Refused == NotRefused && sim.now.Before(s.demandBuiltAt.Add(a.g.Lifetime)) {
				idle = max(idle, a.g.Slots-s.inUse)
			}
		}
		sum += idle
	}
	return sum
}

// advance moves the time forward. It ends requests that reach the request timeout, and those
// that have not been sent by SendBefore.
func (sim *simulation) advance(d time.Duration) {
	sim.now = sim.now.Add(d)
	for _, r := range sim.requests {
		if sim.now.Sub(r.startedAt) >= sim.cfg.RequestTimeout || !r.arrived && sim.now.After(r.ticket.SendBefore) {
			r.ended = true
		}
	}
	sim.finishRequests()
}

// finishRequests lets entries that are not paused notice that requests have ended, also by a
// restart of the endpoint.
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

// deliver hands a demand to its grantor, unless that is paused, and checks that the exposure
// rises only within the limit.
func (sim *simulation) deliver(m testDemand) {
	if m.to.paused {
		return
	}
	if m.isReturn {
		m.to.g.HandleReturn(m.name, m.d, sim.now)
		return
	}
	before := sim.exposure()
	e := m.to.g.endpoints["ep"]
	e.removeEnded(sim.cfg, sim.now)
	unattributed := e.unattributed.requests
	g := m.to.g.HandleDemand(m.name, m.d, sim.now)
	if e.unattributed.requests < unattributed {
		sim.coverage["attributed"]++
	}
	if g.Refused == NotRefused {
		sim.grantedLimits[g.BootID] = max(sim.grantedLimits[g.BootID], e.ramp.limit)
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
	limit := e.ramp.limit
	sim.raises = append(sim.raises, testRaise{sim.now, limit})
	sim.recordCoverage(m.to, e)
	if e.halvings > 0 || !sim.now.Before(m.to.g.term.ExpiresAt) {
		// Another grantor may know a higher limit than this one. Grants of the last
		// GrantLifetime + RequestTimeout may still be used or have running requests, so the
		// exposure is checked against the highest limit of the raises in that time.
		for _, r := range sim.raises {
			if sim.now.Sub(r.at) < sim.cfg.GrantLifetime+sim.cfg.RequestTimeout {
				limit = max(limit, r.limit)
			}
		}
	}
	if after > limit {
		sim.t.Fatalf("exposure rose from %d to %d above the limit %d, halvings %d", before, after, limit, e.halvings)
	}
}

// recordCoverage counts the situations in which a grant raised the exposure.
func (sim *simulation) recordCoverage(p *testGrantor, e *endpointLedger) {
	sim.coverage["raised"]++
	for name, reached := range map[string]bool{
		"raised in outage":                  !sim.now.Before(p.g.term.ExpiresAt),
		"raised while halved":               e.halvings > 0,
		"raised after predecessors' grants": e.predecessorsCounted,
		"raised above cold limit":           e.ramp.limit > testLimits.ColdSlots,
		"raised by successor":               p.g.term.Fencing > 1,
		"raised beside unattributed":        e.unattributed.requests > 0,
		"raised after state restore":        p.stateRestored,
	} {
		if reached {
			sim.coverage[name]++
		}
	}
}
