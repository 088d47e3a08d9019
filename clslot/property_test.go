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
// outages.
func TestRequestsWithinLimit(t *testing.T) {
	coverage := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, coverage)
		actions := []func(){
			sim.stepTime, sim.stepTime, sim.stepCall, sim.stepCall, sim.stepCall, sim.stepAcquire, sim.stepAcquire, sim.stepAcquire,
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
		"raised", "raised in outage", "raised at half", "raised after predecessors", "raised above cold",
		"raised by successor", "raised with unattributed", "raised after state restore", "attributed",
		"not sent to another boot",
	} {
		require.NotZero(t, coverage[s], "the runs never reached: %s", s)
	}
}

// checkTotalCharged guards against a running total that differs from the sum of the charges,
// with which a grantor would grant too much or nothing.
func (sim *simulation) checkTotalCharged() {
	for _, p := range sim.grantors {
		for _, endpoint := range p.g.endpoints {
			sum := 0
			for _, c := range endpoint.charges {
				sum += c.slots
				require.False(sim.t, c.removableAt(sim.cfg).Before(endpoint.nextExpiry), "a charge becomes removable before nextExpiry")
			}
			require.Equal(sim.t, sum, endpoint.totalCharged)
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

func (sim *simulation) intn(n int) int { return rapid.IntRange(0, n-1).Draw(sim.t, "n") }

func (sim *simulation) entry() *testEntry { return sim.entries[sim.intn(len(sim.entries))] }

func (sim *simulation) grantor() *testGrantor { return sim.grantors[sim.intn(len(sim.grantors))] }

func (sim *simulation) stepTime() {
	if p := sim.lease.holder; p != nil && !p.paused && sim.intn(8) > 0 {
		sim.renew(p)
	}
	sim.advance([]time.Duration{5, 5, 50, 50, 300, 300, 1000, 4000}[sim.intn(8)] * time.Millisecond)
	if sim.intn(2) == 0 {
		sim.stepReport()
	}
}

// stepCall sends a demand; the answer usually arrives at once.
func (sim *simulation) stepCall() {
	e, p := sim.entry(), sim.grantor()
	if sim.intn(4) > 0 && sim.lease.holder != nil {
		p = sim.lease.holder
	}
	if e.paused {
		return
	}
	m := testDemand{e, e.name, p, e.h.BuildDemand("ep", sim.intn(3), sim.now), sim.intn(8) == 0}
	if sim.intn(4) == 0 {
		sim.demands = append(sim.demands, m)
		return
	}
	sim.deliver(m)
	if n := len(sim.answers); n > 0 && sim.intn(4) > 0 {
		a := sim.answers[n-1]
		sim.answers = sim.answers[:n-1]
		if a.h == a.to.h && !a.to.paused {
			a.to.h.ApplyGrant(a.g, sim.now)
		}
	}
}

// stepMessage delivers, repeats or loses an old demand or answer.
func (sim *simulation) stepMessage() {
	if n := len(sim.demands); n > 0 {
		i := sim.intn(n)
		sim.deliver(sim.demands[i])
		if sim.intn(2) == 0 {
			sim.demands = append(sim.demands[:i], sim.demands[i+1:]...)
		}
	}
	if n := len(sim.answers); n > 0 {
		i := sim.intn(n)
		a := sim.answers[i]
		sim.answers = append(sim.answers[:i], sim.answers[i+1:]...)
		if sim.intn(2) == 0 && a.h == a.to.h && !a.to.paused {
			a.to.h.ApplyGrant(a.g, sim.now)
		}
	}
}

func (sim *simulation) stepAcquire() {
	first := sim.intn(len(sim.entries))
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

// stepArrive sends requests. A connection to another boot of the endpoint than the ticket's
// is detected before the first byte, and the entry remembers that the ticket's boot ended.
func (sim *simulation) stepArrive() {
	for _, r := range sim.requests {
		switch {
		case r.arrived || sim.intn(2) > 0:
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

func (sim *simulation) stepEnd() {
	if n := len(sim.requests); n > 0 {
		sim.requests[sim.intn(n)].ended = true
	}
}

// stepReport produces a load report and delivers recent ones in any order.
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
		if !p.paused && sim.intn(4) > 0 {
			p.g.ApplyLoad("ep", sim.reports[len(sim.reports)-1-sim.intn(min(2, len(sim.reports)))], sim.now)
		}
	}
	sim.cold = false
}

// stepLease lets a grantor, usually the holder, renew, release or acquire the lease, or
// learn that its predecessors have ended.
func (sim *simulation) stepLease() {
	p := sim.grantor()
	l := &sim.lease
	if l.holder != nil && sim.intn(4) > 0 {
		p = l.holder
	}
	switch {
	case p.paused:
	case l.holder == p && sim.intn(40) == 0 && !p.storeUnreachable:
		sim.release(p)
	case l.holder == p || p.storeUnreachable:
		sim.renew(p)
	default:
		sim.acquire(p)
	}
}

func (sim *simulation) release(p *testGrantor) {
	p.g.LeaseLost()
	sim.lease.holder, sim.lease.released, sim.lease.until = nil, true, sim.now.Add(sim.cfg.GrantLifetime)
	sim.lease.state, sim.lease.complete = p.g.State(), true
}

func (sim *simulation) acquire(p *testGrantor) {
	l := &sim.lease
	p.g.LeaseLost()
	if !l.released && sim.now.Before(l.until) {
		return
	}
	if !l.released {
		l.halvings++
	}
	l.holder, l.released = p, false
	l.fencing++
	formerGrantsEnd := l.until
	l.until = sim.now.Add(leaseTTL)
	p.g.LeaseAcquired(Lease{Fencing: l.fencing, ExpiresAt: l.until, Halvings: l.halvings, FormerGrantsEnd: formerGrantsEnd})
	sim.restoreState(p)
}

// restoreState passes the former holder's payload to a new holder. The payload can be lost.
func (sim *simulation) restoreState(p *testGrantor) {
	state, complete := sim.lease.state, sim.lease.complete
	sim.lease.state, sim.lease.complete = nil, false
	p.stateRestored = false
	switch {
	case sim.intn(4) == 0:
	case complete:
		p.g.RestoreState(state, sim.now)
		p.stateRestored = len(state) > 0
	default:
		p.g.RestoreLimits(state)
	}
}

// stepTakeover changes the holder, by a release or while the former one is cut off from the
// object API.
func (sim *simulation) stepTakeover() {
	p, o := sim.lease.holder, sim.grantor()
	if p == nil || o == p || o.paused || p.paused {
		return
	}
	if sim.intn(2) == 0 {
		sim.release(p)
	} else {
		p.storeUnreachable = true
		p.g.LeaseStoreUnavailable()
		sim.advance(max(0, sim.lease.until.Sub(sim.now)))
	}
	o.storeUnreachable = false
	sim.acquire(o)
}

func (sim *simulation) renew(p *testGrantor) {
	if p.storeUnreachable {
		p.g.LeaseStoreUnavailable()
		return
	}
	sim.lease.until = sim.now.Add(leaseTTL)
	if sim.intn(6) > 0 { // otherwise the answer to the renewal is lost
		p.g.LeaseRenewed(sim.lease.fencing, sim.lease.until)
	}
	sim.lease.state, sim.lease.complete = p.g.State(), false
	sim.confirmPredecessorsEnded(p)
}

// confirmPredecessorsEnded tells the holder that its predecessors have ended once all other
// grantors have stopped.
func (sim *simulation) confirmPredecessorsEnded(p *testGrantor) {
	for _, o := range sim.grantors {
		if o != p && !o.g.Stopped(sim.now) {
			return
		}
	}
	sim.lease.halvings = 0
	p.g.PredecessorsEnded(sim.now)
}

func (sim *simulation) stepFault() {
	faults := []func(){sim.stepEntryFault, sim.stepGrantorFault, sim.stepEndpointFault, sim.stepTakeover}
	if sim.intn(3) == 0 {
		faults[sim.intn(len(faults))]()
	}
}

func (sim *simulation) stepEntryFault() {
	e := sim.entry()
	if sim.intn(2) == 0 {
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

func (sim *simulation) stepGrantorFault() {
	p := sim.grantor()
	switch sim.intn(4) {
	case 0:
		p.paused = !p.paused
	case 1:
		sim.restartGrantor(p)
	default:
		// The object API fails or recovers for one grantor or several.
		unreachable := !p.storeUnreachable
		p.storeUnreachable = unreachable
		for _, o := range sim.grantors {
			if sim.intn(2) == 0 {
				o.storeUnreachable = unreachable
			}
		}
	}
}

func (sim *simulation) stepEndpointFault() {
	if sim.intn(4) == 0 {
		sim.boot++
		return
	}
	sim.cold = sim.intn(3) == 0
}
