// This file checks the sum rule for random interleavings of events and faults.

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

// TestSumRule guards against more requests at an endpoint than its limit, over
// all entries, grantors, restarts, pauses, lost messages, late reports and outages.
func TestSumRule(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, seen)
		actions := []func(){
			w.stepTime, w.stepTime, w.stepCall, w.stepCall, w.stepCall, w.stepAcquire, w.stepAcquire, w.stepAcquire,
			w.stepArrive, w.stepArrive, w.stepEnd, w.stepReport, w.stepReport, w.stepLease, w.stepLease,
			w.stepMessage, w.stepMessage, w.stepFault,
		}
		for range 1000 {
			actions[rapid.IntRange(0, len(actions)-1).Draw(t, "action")]()
			w.sweep()
			require.LessOrEqual(t, w.exposure(), testLimits.MaxSlots, "exposure above the limit of a warm endpoint")
			w.checkCharged()
			w.checkStart()
		}
	})
	t.Log(seen)
	for _, s := range []string{
		"raised", "raised in outage", "raised at half", "raised after predecessors", "raised above cold",
		"raised by successor", "raised with unattributed", "raised after resume", "attributed",
		"not sent to another start",
	} {
		require.NotZero(t, seen[s], "the runs never reached: %s", s)
	}
}

// checkCharged guards against a kept sum that differs from the charges, with
// which a grantor would grant too much or nothing.
func (w *world) checkCharged() {
	for _, p := range w.grantors {
		for _, led := range p.g.endpoints {
			sum := 0
			for _, c := range led.entries {
				sum += c.slots
				require.False(w.t, c.gone(w.cfg).Before(led.nextExpiry), "a charge expires before the next look at them")
			}
			require.Equal(w.t, sum, led.charged)
		}
	}
}

// checkStart guards against requests at an endpoint that has restarted under
// slots that were granted for its former start.
func (w *world) checkStart() {
	running := 0
	for _, r := range w.requests {
		if r.arrived && !r.over && r.boot == w.boot {
			running++
		}
	}
	require.LessOrEqual(w.t, running, w.granted[fmt.Sprint(w.boot)], "more requests than were granted for this start")
}

func (w *world) n(below int) int { return rapid.IntRange(0, below-1).Draw(w.t, "n") }

func (w *world) entry() *testEntry { return w.entries[w.n(len(w.entries))] }

func (w *world) grantor() *testGrantor { return w.grantors[w.n(len(w.grantors))] }

func (w *world) stepTime() {
	if p := w.lease.holder; p != nil && !p.paused && w.n(8) > 0 {
		w.renew(p)
	}
	w.advance([]time.Duration{5, 5, 50, 50, 300, 300, 1000, 4000}[w.n(8)] * time.Millisecond)
	if w.n(2) == 0 {
		w.stepReport()
	}
}

// stepCall sends a demand; usually the answer arrives at once.
func (w *world) stepCall() {
	e, p := w.entry(), w.grantor()
	if w.n(4) > 0 && w.lease.holder != nil {
		p = w.lease.holder
	}
	if e.paused {
		return
	}
	m := testDemand{e, e.name, p, e.h.BuildDemand("ep", w.n(3), w.now), w.n(8) == 0}
	if w.n(4) == 0 {
		w.demands = append(w.demands, m)
		return
	}
	w.deliver(m)
	if n := len(w.answers); n > 0 && w.n(4) > 0 {
		a := w.answers[n-1]
		w.answers = w.answers[:n-1]
		if a.h == a.to.h && !a.to.paused {
			a.to.h.ApplyGrant(a.g, w.now)
		}
	}
}

// stepMessage delivers, repeats or loses an old demand or answer.
func (w *world) stepMessage() {
	if n := len(w.demands); n > 0 {
		i := w.n(n)
		w.deliver(w.demands[i])
		if w.n(2) == 0 {
			w.demands = append(w.demands[:i], w.demands[i+1:]...)
		}
	}
	if n := len(w.answers); n > 0 {
		i := w.n(n)
		a := w.answers[i]
		w.answers = append(w.answers[:i], w.answers[i+1:]...)
		if w.n(2) == 0 && a.h == a.to.h && !a.to.paused {
			a.to.h.ApplyGrant(a.g, w.now)
		}
	}
}

func (w *world) stepAcquire() {
	first := w.n(len(w.entries))
	for i := range w.entries {
		e := w.entries[(first+i)%len(w.entries)]
		if e.paused {
			continue
		}
		if ticket, ok := e.h.Acquire("ep", w.now); ok {
			w.requests = append(w.requests, &testRequest{owner: e, ticket: ticket, startedAt: w.now})
			return
		}
	}
}

// stepArrive sends requests; a connection to another start of the endpoint than
// the ticket's is found out before the first byte, and the entry remembers it.
func (w *world) stepArrive() {
	for _, r := range w.requests {
		switch {
		case r.arrived || w.n(2) > 0:
		case r.ticket.BootID == fmt.Sprint(w.boot):
			r.arrived, r.boot = true, w.boot
		default:
			r.over = true
			w.seen["not sent to another start"]++
			if r.owner != nil {
				r.owner.h.BootEnded("ep", r.ticket.BootID)
			}
		}
	}
}

func (w *world) stepEnd() {
	if n := len(w.requests); n > 0 {
		w.requests[w.n(n)].over = true
	}
}

// stepReport produces a report, and delivers earlier ones in any order.
func (w *world) stepReport() {
	running := 0
	for _, r := range w.requests {
		if r.arrived && !r.over && r.boot == w.boot {
			running++
		}
	}
	w.reports = append(w.reports, Load{BootID: fmt.Sprint(w.boot), ProducedAt: w.now, Running: running, Cold: w.cold})
	w.reports = w.reports[max(0, len(w.reports)-6):]
	for _, p := range w.grantors {
		if !p.paused && w.n(4) > 0 {
			p.g.ApplyLoad("ep", w.reports[len(w.reports)-1-w.n(min(2, len(w.reports)))], w.now)
		}
	}
	w.cold = false
}

// stepLease lets a grantor, usually the holder, renew, release, acquire, or
// learn about the others.
func (w *world) stepLease() {
	p := w.grantor()
	l := &w.lease
	if l.holder != nil && w.n(4) > 0 {
		p = l.holder
	}
	switch {
	case p.paused:
	case l.holder == p && w.n(40) == 0 && !p.cut:
		w.release(p)
	case l.holder == p || p.cut:
		w.renew(p)
	default:
		w.acquire(p)
	}
}

func (w *world) release(p *testGrantor) {
	p.g.LeaseLost()
	w.lease.holder, w.lease.released, w.lease.until = nil, true, w.now.Add(w.cfg.GrantLifetime)
	w.lease.state, w.lease.complete = p.g.State(), true
}

func (w *world) acquire(p *testGrantor) {
	l := &w.lease
	p.g.LeaseLost()
	if !l.released && w.now.Before(l.until) {
		return
	}
	if !l.released {
		l.halvings++
	}
	l.holder, l.released = p, false
	l.fencing++
	formerLapsed := l.until
	l.until = w.now.Add(leaseTTL)
	p.g.LeaseAcquired(Lease{Fencing: l.fencing, ExpiresAt: l.until, Halvings: l.halvings, FormerGrantsEnd: formerLapsed})
	w.inherit(p)
}

// inherit gives a new holder what the former one left; a payload can be lost.
func (w *world) inherit(p *testGrantor) {
	state, complete := w.lease.state, w.lease.complete
	w.lease.state, w.lease.complete = nil, false
	p.resumed = false
	switch {
	case w.n(4) == 0:
	case complete:
		p.g.RestoreState(state, w.now)
		p.resumed = len(state) > 0
	default:
		p.g.RestoreLimits(state)
	}
}

// stepTakeover changes the holder, by a release or while the former one is cut off.
func (w *world) stepTakeover() {
	p, o := w.lease.holder, w.grantor()
	if p == nil || o == p || o.paused || p.paused {
		return
	}
	if w.n(2) == 0 {
		w.release(p)
	} else {
		p.cut = true
		p.g.LeaseStoreUnavailable()
		w.advance(max(0, w.lease.until.Sub(w.now)))
	}
	o.cut = false
	w.acquire(o)
}

func (w *world) renew(p *testGrantor) {
	if p.cut {
		p.g.LeaseStoreUnavailable()
		return
	}
	w.lease.until = w.now.Add(leaseTTL)
	if w.n(6) > 0 { // otherwise the answer to the renewal is lost
		p.g.LeaseRenewed(w.lease.fencing, w.lease.until)
	}
	w.lease.state, w.lease.complete = p.g.State(), false
	w.resolve(p)
}

// resolve tells the holder that its predecessors ended once all others stopped.
func (w *world) resolve(p *testGrantor) {
	for _, o := range w.grantors {
		if o != p && !o.g.Stopped(w.now) {
			return
		}
	}
	w.lease.halvings = 0
	p.g.PredecessorsEnded(w.now)
}

func (w *world) stepFault() {
	faults := []func(){w.stepEntryFault, w.stepGrantorFault, w.stepEndpointFault, w.stepTakeover}
	if w.n(3) == 0 {
		faults[w.n(len(faults))]()
	}
}

func (w *world) stepEntryFault() {
	e := w.entry()
	if w.n(2) == 0 {
		e.paused = !e.paused
		return
	}
	// The requests of a restarted entry go on until the endpoint notices.
	for _, r := range w.requests {
		if r.owner == e {
			r.owner = nil
			r.over = r.over || !r.arrived
		}
	}
	e.name += "'"
	e.h, e.paused = NewHolder(w.cfg), false
}

func (w *world) stepGrantorFault() {
	p := w.grantor()
	switch w.n(4) {
	case 0:
		p.paused = !p.paused
	case 1:
		w.restartGrantor(p)
	default:
		// The object API fails or comes back for all or for one.
		cut := !p.cut
		p.cut = cut
		for _, o := range w.grantors {
			if w.n(2) == 0 {
				o.cut = cut
			}
		}
	}
}

func (w *world) stepEndpointFault() {
	if w.n(4) == 0 {
		w.boot++
		return
	}
	w.cold = w.n(3) == 0
}
