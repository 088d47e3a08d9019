// This file checks the endpoint limit for random interleavings of events and faults.

package clslot

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/cltest"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	cltest.Main(m, map[string]string{"seed": "20260102"})
}

// TestRequestsWithinLimit guards against more requests at an endpoint than its limit allows,
// over all entries and grantors, with restarts, pauses, lost messages, late reports and
// outages of the object API.
func TestRequestsWithinLimit(t *testing.T) {
	coverage := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, coverage)
		actions := []func(){
			sim.stepTime, sim.stepTime, sim.stepDemand, sim.stepDemand, sim.stepDemand, sim.stepAcquire, sim.stepAcquire, sim.stepAcquire,
			sim.stepArrive, sim.stepArrive, sim.stepEnd, sim.stepReport, sim.stepReport, sim.stepLease, sim.stepLease,
			sim.stepMessage, sim.stepMessage, sim.stepFault,
		}
		for range 1000 {
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")]()
			sim.finishRequests()
			require.LessOrEqual(t, sim.exposure(), testLimits.MaxSlots, "exposure above the limit of a warm endpoint")
			sim.checkTotalCharged()
			sim.checkBoot()
		}
	})
	t.Log(coverage)
	for _, s := range []string{
		"raised", "raised in outage", "raised while halved", "raised after predecessors' grants", "raised above cold limit",
		"raised by successor", "raised beside unattributed", "raised after state restore", "attributed",
		"not sent to another boot",
	} {
		require.NotZero(t, coverage[s], "the runs never reached: %s", s)
	}
}

// checkTotalCharged guards against a totalCharged that differs from the sum of the charges, which
// would make a grantor grant too much or nothing, and against a charge that becomes removable before
// noRemovalBefore, which would be removed late.
func (sim *simulation) checkTotalCharged() {
	for _, p := range sim.grantors {
		for _, e := range p.g.endpoints {
			sum := 0
			for _, c := range e.charges {
				sum += c.slots
				require.False(sim.t, c.removableAt(sim.cfg).Before(e.noRemovalBefore), "a charge becomes removable before noRemovalBefore")
			}
			require.Equal(sim.t, sum, e.totalCharged)
		}
	}
}

// checkBoot guards against requests that run at a restarted endpoint on slots granted for
// its former boot.
func (sim *simulation) checkBoot() {
	running := 0
	for _, r := range sim.requests {
		if r.arrived && !r.ended && r.boot == sim.boot {
			running++
		}
	}
	require.LessOrEqual(sim.t, running, sim.grantedLimits[fmt.Sprint(sim.boot)], "more requests than were granted for this boot")
}

// drawIntn draws a number from 0 to n-1.
func (sim *simulation) drawIntn(n int) int { return rapid.IntRange(0, n-1).Draw(sim.t, "n") }

// drawEntry draws an entry, which may be paused.
func (sim *simulation) drawEntry() *testEntry { return sim.entries[sim.drawIntn(len(sim.entries))] }

// drawGrantor draws a grantor, which may be paused or without the lease.
func (sim *simulation) drawGrantor() *testGrantor {
	return sim.grantors[sim.drawIntn(len(sim.grantors))]
}

// stepTime moves the time forward, usually after a renewal of the lease and often followed by
// a load report.
func (sim *simulation) stepTime() {
	if p := sim.lease.grantor; p != nil && !p.paused && sim.drawIntn(8) > 0 {
		sim.renew(p)
	}
	sim.advance([]time.Duration{5, 5, 50, 50, 300, 300, 1000, 4000}[sim.drawIntn(8)] * time.Millisecond)
	if sim.drawIntn(2) == 0 {
		sim.stepReport()
	}
}

// stepDemand lets an entry send a demand, usually to the grantor that holds the lease, which
// usually answers at once. Some demands are returns of slots.
func (sim *simulation) stepDemand() {
	e, p := sim.drawEntry(), sim.drawGrantor()
	if sim.drawIntn(4) > 0 && sim.lease.grantor != nil {
		p = sim.lease.grantor
	}
	if e.paused {
		return
	}
	m := testDemand{e, e.name, p, e.h.BuildDemand("ep", sim.drawIntn(3), sim.now), sim.drawIntn(8) == 0}
	if sim.drawIntn(4) == 0 {
		sim.demands = append(sim.demands, m)
		return
	}
	sim.deliver(m)
	if n := len(sim.answers); n > 0 && sim.drawIntn(4) > 0 {
		a := sim.answers[n-1]
		sim.answers = sim.answers[:n-1]
		if a.h == a.to.h && !a.to.paused {
			a.to.h.ApplyGrant(a.g, sim.now)
		}
	}
}

// stepMessage delivers one of the delayed demands, which may be delivered again later, and
// delivers or loses one of the delayed answers.
func (sim *simulation) stepMessage() {
	if n := len(sim.demands); n > 0 {
		i := sim.drawIntn(n)
		sim.deliver(sim.demands[i])
		if sim.drawIntn(2) == 0 {
			sim.demands = append(sim.demands[:i], sim.demands[i+1:]...)
		}
	}
	if n := len(sim.answers); n > 0 {
		i := sim.drawIntn(n)
		a := sim.answers[i]
		sim.answers = append(sim.answers[:i], sim.answers[i+1:]...)
		if sim.drawIntn(2) == 0 && a.h == a.to.h && !a.to.paused {
			a.to.h.ApplyGrant(a.g, sim.now)
		}
	}
}

// stepAcquire starts a request at one of the entries that have a slot.
func (sim *simulation) stepAcquire() {
	first := sim.drawIntn(len(sim.entries))
	for i := range sim.entries {
		e := sim.entries[(first+i)%len(sim.entries)]
		if e.paused {
			continue
		}
		if ticket, ok := e.h.Acquire("ep", sim.now); ok {
			sim.requests = append(sim.requests, &testRequest{owner: e, ticket: ticket, startedAt: sim.now})
			return
		}
	}
}

// stepArrive lets some of the requests under way arrive at the endpoint. A connection to
// another boot of the endpoint than the ticket's is detected before the first byte; the
// request is not sent, and its entry records that the ticket's boot has ended.
func (sim *simulation) stepArrive() {
	for _, r := range sim.requests {
		switch {
		case r.arrived || sim.drawIntn(2) > 0:
		case r.ticket.BootID == fmt.Sprint(sim.boot):
			r.arrived, r.boot = true, sim.boot
		default:
			r.ended = true
			sim.coverage["not sent to another boot"]++
			if r.owner != nil {
				r.owner.h.BootEnded("ep", r.ticket.BootID)
			}
		}
	}
}

// stepEnd ends one of the requests, at the endpoint or before it is sent.
func (sim *simulation) stepEnd() {
	if n := len(sim.requests); n > 0 {
		sim.requests[sim.drawIntn(n)].ended = true
	}
}

// stepReport produces a load report, and delivers it or the one before to some grantors.
func (sim *simulation) stepReport() {
	running := 0
	for _, r := range sim.requests {
		if r.arrived && !r.ended && r.boot == sim.boot {
			running++
		}
	}
	sim.reports = append(sim.reports, Load{BootID: fmt.Sprint(sim.boot), ProducedAt: sim.now, Running: running, Cold: sim.cold})
	sim.reports = sim.reports[max(0, len(sim.reports)-6):]
	for _, p := range sim.grantors {
		if !p.paused && sim.drawIntn(4) > 0 {
			p.g.ApplyLoad("ep", sim.reports[len(sim.reports)-1-sim.drawIntn(min(2, len(sim.reports)))], sim.now)
		}
	}
	sim.cold = false
}

// stepLease lets a grantor, usually the one that holds the lease, renew, release or acquire the
// lease, or learn that its predecessors have ended.
func (sim *simulation) stepLease() {
	p := sim.drawGrantor()
	l := &sim.lease
	if l.grantor != nil && sim.drawIntn(4) > 0 {
		p = l.grantor
	}
	switch {
	case p.paused:
	case l.grantor == p && sim.drawIntn(40) == 0 && !p.storeUnavailable:
		sim.release(p)
	case l.grantor == p || p.storeUnavailable:
		sim.renew(p)
	default:
		sim.acquire(p)
	}
}

// release ends the term of p, which holds the lease, releases the lease and stores the complete
// state of p with it.
func (sim *simulation) release(p *testGrantor) {
	p.g.LeaseLost()
	sim.lease.grantor, sim.lease.released, sim.lease.until = nil, true, sim.now.Add(sim.cfg.GrantLifetime)
	sim.lease.state, sim.lease.complete = p.g.State(), true
}

// acquire ends a grantor's term, if it has one, and lets it take the lease if that has been
// released or has expired.
func (sim *simulation) acquire(p *testGrantor) {
	l := &sim.lease
	p.g.LeaseLost()
	if !l.released && sim.now.Before(l.until) {
		return
	}
	if !l.released {
		l.halvings++
	}
	l.grantor, l.released = p, false
	l.fencing++
	formerGrantsEnd := l.until
	l.until = sim.now.Add(leaseTTL)
	p.g.LeaseAcquired(Lease{Fencing: l.fencing, ExpiresAt: l.until, Halvings: l.halvings, FormerGrantsEnd: formerGrantsEnd})
	sim.restoreState(p)
}

// restoreState passes the state that is stored with the lease to the new grantor p, or loses it.
func (sim *simulation) restoreState(p *testGrantor) {
	state, complete := sim.lease.state, sim.lease.complete
	sim.lease.state, sim.lease.complete = nil, false
	p.stateRestored = false
	switch {
	case sim.drawIntn(4) == 0:
	case complete:
		p.g.RestoreState(state, sim.now)
		p.stateRestored = len(state) > 0
	default:
		p.g.RestoreLimits(state)
	}
}

// stepTakeover passes the lease to another grantor, after a release or after it has expired
// while its grantor is cut off from the object API.
func (sim *simulation) stepTakeover() {
	p, other := sim.lease.grantor, sim.drawGrantor()
	if p == nil || other == p || other.paused || p.paused {
		return
	}
	if sim.drawIntn(2) == 0 {
		sim.release(p)
	} else {
		p.storeUnavailable = true
		p.g.LeaseStoreUnavailable()
		sim.advance(max(0, sim.lease.until.Sub(sim.now)))
	}
	other.storeUnavailable = false
	sim.acquire(other)
}

// renew renews the lease for its grantor. A grantor that is cut off from the object API learns
// that instead.
func (sim *simulation) renew(p *testGrantor) {
	if p.storeUnavailable {
		p.g.LeaseStoreUnavailable()
		return
	}
	sim.lease.until = sim.now.Add(leaseTTL)
	if sim.drawIntn(6) > 0 { // otherwise the answer to the renewal is lost
		p.g.LeaseRenewed(sim.lease.fencing, sim.lease.until)
	}
	sim.lease.state, sim.lease.complete = p.g.State(), false
	sim.confirmPredecessorsEnded(p)
}

// confirmPredecessorsEnded tells the lease's grantor that its predecessors have ended, if all
// other grantors have stopped.
func (sim *simulation) confirmPredecessorsEnded(p *testGrantor) {
	for _, other := range sim.grantors {
		if other != p && !other.g.Stopped(sim.now) {
			return
		}
	}
	sim.lease.halvings = 0
	p.g.PredecessorsEnded(sim.now)
}

// stepFault sometimes lets a fault occur or end.
func (sim *simulation) stepFault() {
	faults := []func(){sim.stepEntryFault, sim.stepGrantorFault, sim.stepEndpointFault, sim.stepTakeover}
	if sim.drawIntn(3) == 0 {
		faults[sim.drawIntn(len(faults))]()
	}
}

// stepEntryFault pauses, resumes or restarts an entry.
func (sim *simulation) stepEntryFault() {
	e := sim.drawEntry()
	if sim.drawIntn(2) == 0 {
		e.paused = !e.paused
		return
	}
	// The requests of a restarted entry continue until the endpoint notices.
	for _, r := range sim.requests {
		if r.owner == e {
			r.owner = nil
			r.ended = r.ended || !r.arrived
		}
	}
	e.name += "'"
	e.h, e.paused = NewHolder(sim.cfg), false
}

// stepGrantorFault pauses, resumes or restarts a grantor, or cuts grantors off from the object
// API or connects them again.
func (sim *simulation) stepGrantorFault() {
	p := sim.drawGrantor()
	switch sim.drawIntn(4) {
	case 0:
		p.paused = !p.paused
	case 1:
		sim.restartGrantor(p)
	default:
		// The object API fails or recovers for one grantor or several.
		unavailable := !p.storeUnavailable
		p.storeUnavailable = unavailable
		for _, other := range sim.grantors {
			if sim.drawIntn(2) == 0 {
				other.storeUnavailable = unavailable
			}
		}
	}
}

// stepEndpointFault restarts the endpoint, or lets it be cold or not in its next report.
func (sim *simulation) stepEndpointFault() {
	if sim.drawIntn(4) == 0 {
		sim.boot++
		return
	}
	sim.cold = sim.drawIntn(3) == 0
}
