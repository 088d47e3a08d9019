// This file defines the faults and their order.

package clsoak

import (
	"context"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/chestnutlead/chestnutlead/clharness"
	"github.com/chestnutlead/chestnutlead/platform/clstandplatform"
	"github.com/samber/lo"
	"go.uber.org/zap"
)

// fault is one kind of trouble, which blocks until it has ended.
type fault struct {
	name string
	run  func(s *Soak, w *world)
}

const (
	shortest, longest = 300 * time.Millisecond, 3 * time.Second
	// restartAfter is how long a gateway that has ended stays away.
	restartAfter = time.Second
	// leastEndpoints are left alone, so that something can be served.
	leastEndpoints = 2
	// Names of faults that tests draw alone.
	refusesWhatRan   = "an endpoint or something before it refuses what has run"
	stopsAsPlanned   = "a gateway is stopped as planned"
	asksForQuiet     = "an endpoint refuses a part of its requests and asks for quiet"
	saysThatItLeaves = "an endpoint says that it leaves before the store does"
	copiesRefusals   = "an endpoint sends copies of its refusals"
	proxyCopies      = "a proxy before an endpoint sends copies of refusals"
	lateChanges      = "answers of the store are held up while an endpoint leaves"
	unframedAnswers  = "an endpoint's answers have no length and its health checks may never end"
	malformedAnswers = "an endpoint sends what is no response"
	returnsOlder     = "the store returns from an older copy"
	// storeReturn is how long after an outage gateways need to find the store.
	storeReturn = time.Second
)

var faults = []fault{
	{"a gateway is killed", func(s *Soak, w *world) {
		s.restart(w, func(g *gateway) { g.current().Kill() })
	}},
	{"all gateways are killed", func(s *Soak, w *world) {
		var all sync.WaitGroup
		for _, g := range w.gateways {
			all.Go(func() { s.restartOne(w, g, func(g *gateway) { g.current().Kill() }) })
		}
		all.Wait()
	}},
	{stopsAsPlanned, func(s *Soak, w *world) {
		s.stopAsPlanned(w, w.gateways[s.intN(len(w.gateways))])
	}},
	{"a gateway is paused", func(s *Soak, w *world) {
		s.pause(w.gateways[s.intN(len(w.gateways))])
	}},
	{"the store is down", func(s *Soak, w *world) {
		d := s.between(shortest, 2*longest)
		w.storeTroubles.trouble(time.Now().Add(d + storeReturn))
		w.store.SetDown(true)
		time.Sleep(d)
		w.storeTroubles.trouble(time.Now().Add(storeReturn))
		w.store.SetDown(false)
	}},
	{"answers of the store are lost, some writes late", func(s *Soak, w *world) {
		d := s.between(shortest, longest)
		w.storeTroubles.trouble(time.Now().Add(d + storeReturn))
		w.store.SetLoss(clstandplatform.Loss{Share: 0.4, Late: s.between(0, time.Second)})
		time.Sleep(d)
		w.store.SetLoss(clstandplatform.Loss{})
	}},
	{"the store forgets its history", func(_ *Soak, w *world) { w.store.Forget() }},
	{"a gateway's way to the store is broken", func(s *Soak, w *world) {
		g := w.gateways[s.intN(len(w.gateways))]
		d := s.between(shortest, 2*longest)
		g.trouble(time.Now().Add(d))
		g.link.set([]mode{modeDelay, modeReset, modeSilent, modeOneWay}[s.intN(4)])
		time.Sleep(d)
		g.trouble(time.Now())
		g.link.set(modeOpen)
	}},
	{"an endpoint's connections are broken", func(s *Soak, w *world) {
		e := s.pickEndpoint(w)
		d := s.between(shortest, longest)
		e.trouble(time.Now().Add(d))
		e.link.set([]mode{modeDelay, modeReset, modeSilent, modeOneWay}[s.intN(4)])
		time.Sleep(d)
		e.trouble(time.Now())
		e.link.set(modeOpen)
	}},
	{"an endpoint spoils a part of its answers", func(s *Soak, w *world) {
		s.spoil(w, clstandplatform.Full, clstandplatform.Failure, clstandplatform.AnswerLost, clstandplatform.AnswerCut)
	}},
	{asksForQuiet, func(s *Soak, w *world) { s.spoil(w, clstandplatform.Quiet) }},
	{saysThatItLeaves, func(s *Soak, w *world) { s.sayLeaving(w) }},
	{refusesWhatRan, func(s *Soak, w *world) {
		s.spoil(w, clstandplatform.FailureAsRefusal, clstandplatform.ForeignRefusal)
	}},
	{copiesRefusals, func(s *Soak, w *world) {
		e := s.pickEndpoint(w)
		e.copies.Store(true)
		s.spoilOne(e, s.between(longest, 2*longest), clstandplatform.Full)
		e.copies.Store(false)
	}},
	{proxyCopies, func(s *Soak, w *world) {
		e := s.pickEndpoint(w)
		e.link.set(modeCopy)
		s.spoilOne(e, s.between(longest, 2*longest), clstandplatform.Full)
		e.link.set(modeOpen)
	}},
	{"an endpoint crashes and another one comes", func(s *Soak, w *world) {
		if e, ok := s.takeEndpoint(w); ok {
			w.crash(e)
		}
	}},
	{"a part of prompts crashes endpoints", func(s *Soak, w *world) { s.sendBadRequests(w) }},
	{"an endpoint leaves and another one comes", func(s *Soak, w *world) {
		if e, ok := s.takeEndpoint(w); ok {
			w.leave(e)
		}
	}},
	{unframedAnswers, func(s *Soak, w *world) {
		e := s.pickServing(w)
		e.endless.Store(s.chance(0.5))
		s.spoilOne(e, s.between(longest, 2*longest), clstandplatform.Unframed)
		e.endless.Store(false)
	}},
	{malformedAnswers, func(s *Soak, w *world) { s.spoil(w, clstandplatform.Malformed) }},
	{lateChanges, func(s *Soak, w *world) { s.holdChanges(w) }},
	{"the configuration changes", func(s *Soak, _ *world) { s.configure() }},
	{returnsOlder, func(s *Soak, w *world) { s.returnFromOlder(w) }},
	{"answers of the cloud API are lost, some calls late", func(s *Soak, w *world) { s.loseCalls(w) }},
}

// stopAsPlanned stops a gateway with signals and starts it again.
func (s *Soak) stopAsPlanned(w *world, g *gateway) {
	if !g.begin() {
		return
	}
	defer g.end()
	g.setStopping()
	// A signal that comes before the process handles signals ends it at
	// once, when it has not served anybody.
	p := g.current()
	if p.Logged("started") {
		s.repeatSignals(p)
	}
	if err := p.Stop(bounds.Grace + time.Second); err != nil && p.Logged("started") {
		s.violate("%s: %v", g.name, err)
	}
	g.setStopping()
	time.Sleep(restartAfter)
	s.startAgain(w, g)
}

// pause freezes a gateway's process for a while.
func (s *Soak) pause(g *gateway) {
	if !g.begin() {
		return
	}
	defer g.end()
	d := s.between(shortest, 2*longest)
	g.trouble(time.Now().Add(d))
	g.current().Pause()
	time.Sleep(d)
	g.trouble(time.Now())
	g.setResumed()
	g.current().Continue()
}

// holdChanges holds up the answers of the store to the gateways that follow another one,
// while an endpoint becomes cold and leaves. A gateway that is started again before is
// followed once more, by gateways whose own watches are in progress. The endpoint serves
// on for a while, as endpoints that leave may.
// Only one such fault goes on at a time, so that the gateways are without faults after it.
func (s *Soak) holdChanges(w *world) {
	if !w.holding.CompareAndSwap(false, true) {
		return
	}
	defer w.holding.Store(false)
	e, ok := s.takeEndpoint(w)
	if !ok {
		return
	}
	first := w.gateways[s.intN(min(len(w.gateways), len(dataCentres)))]
	s.restartOne(w, first, func(g *gateway) {
		g.current().Kill()
		time.Sleep(longest)
		// The watches that begin with this change last until the answers are held up.
		w.store.Announce(e.id, e.link.addr(), e.dataCentre, e.born, time.Millisecond)
		time.Sleep(restartAfter)
	})
	time.Sleep(longest)
	followers := lo.Filter(w.gateways, func(g *gateway, _ int) bool { return g != first })
	for _, g := range followers {
		g.trouble(time.Now().Add(longest))
		g.link.set(modeHold)
	}
	w.store.Announce(e.id, e.link.addr(), e.dataCentre, e.born, longest)
	time.Sleep(s.between(shortest, time.Second))
	left := w.store.Register(e.id, e.link.addr(), e.dataCentre, e.born, true)
	e.setLeft(left)
	time.Sleep(s.between(shortest, time.Second))
	for _, g := range followers {
		g.link.set(modeOpen)
		g.over()
	}
	time.Sleep(bounds.Drain + 2*contact)
	w.end(e)
}

// repeatSignals asks a gateway to stop, and sends it further signals while it drains.
func (s *Soak) repeatSignals(p *clharness.Process) {
	p.Signal(syscall.SIGTERM)
	signals := []syscall.Signal{syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP}
	for range s.intN(4) {
		time.Sleep(s.between(20*time.Millisecond, bounds.Grace/10))
		p.Signal(signals[s.intN(len(signals))])
	}
}

// spoil makes an endpoint treat a part of its requests in one of the given ways for a
// while.
func (s *Soak) spoil(w *world, kinds ...clstandplatform.Fault) {
	s.spoilOne(s.pickServing(w), s.between(shortest, longest), kinds...)
}

func (s *Soak) spoilOne(e *endpoint, d time.Duration, kinds ...clstandplatform.Fault) {
	e.trouble(time.Now().Add(d))
	e.fault.Store(int64(kinds[s.intN(len(kinds))]))
	time.Sleep(d)
	e.trouble(time.Now())
	e.fault.Store(int64(clstandplatform.NoFault))
}

// runFaults begins faults one after the other; they overlap.
func (s *Soak) runFaults(ctx context.Context) {
	var running sync.WaitGroup
	drawn := faults
	if len(s.Faults) > 0 {
		drawn = lo.FlatMap(faults, func(f fault, _ int) []fault { return slices.Repeat([]fault{f}, lo.Count(s.Faults, f.name)) })
	}
	for end := time.Now().Add(s.Length); time.Now().Before(end) && ctx.Err() == nil; {
		time.Sleep(s.between(200*time.Millisecond, 1500*time.Millisecond))
		f := drawn[s.intN(len(drawn))]
		s.mu.Lock()
		s.report.Faults = append(s.report.Faults, f.name)
		s.mu.Unlock()
		s.Logger.Info("fault", zap.String("what", f.name))
		running.Go(func() { f.run(s, s.world) })
	}
	running.Wait()
}

// restart ends a random gateway and starts it again.
func (s *Soak) restart(w *world, stop func(g *gateway)) {
	s.restartOne(w, w.gateways[s.intN(len(w.gateways))], stop)
}

func (s *Soak) restartOne(w *world, g *gateway, stop func(g *gateway)) {
	if !g.begin() {
		return
	}
	defer g.end()
	g.trouble(time.Now().Add(time.Hour))
	stop(g)
	time.Sleep(s.between(0, restartAfter))
	s.startAgain(w, g)
}

// startAgain starts a gateway whose process has ended.
func (s *Soak) startAgain(w *world, g *gateway) {
	if err := w.start(g); err != nil {
		s.violate("%s cannot be started: %v", g.name, err)
	}
	g.over()
}

func (s *Soak) pickEndpoint(w *world) *endpoint {
	live := w.live()
	return live[s.intN(len(live))]
}

// pickServing returns an endpoint that is not leaving, if there is one: one that leaves gets
// few requests or none, on which a fault of its answers would have no effect.
func (s *Soak) pickServing(w *world) *endpoint {
	serving := lo.Filter(w.live(), func(e *endpoint, _ int) bool { return !e.saysLeaving.Load() && e.leftAt().IsZero() })
	if len(serving) == 0 {
		return s.pickEndpoint(w)
	}
	return serving[s.intN(len(serving))]
}

// takeEndpoint adds an endpoint and returns another one that may end, unless another fault
// has that one or too few would be left.
func (s *Soak) takeEndpoint(w *world) (*endpoint, bool) {
	e := s.pickEndpoint(w)
	if err := w.addEndpoint(); err != nil {
		s.violate("an endpoint cannot be started: %v", err)
		return nil, false
	}
	free := lo.CountBy(w.live(), func(o *endpoint) bool { return !o.isTaken() })
	return e, free > leastEndpoints && e.take()
}
