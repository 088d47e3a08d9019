// This file defines the return of the store from an older copy.

package clsoak

import (
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/platform/clstandplatform"
)

// ReturnConfig says how the store returns from older copies. Zero fields mean the defaults.
type ReturnConfig struct {
	// Away bounds how long the store is away before, and Age how old the copy is.
	Away, Age time.Duration
	// Again is the part of the returns that another one follows, NoLease the part of those
	// whose copy holds no lease, and EndHolder the part around which the gateway that
	// called the cloud API last is killed, paused or stopped as planned. Negative means none.
	Again, NoLease, EndHolder float64
}

const (
	shortestAway, shortestAge = 100 * time.Millisecond, 300 * time.Millisecond
	// operatorWrites and endpointsWrite are how long after the return all that the
	// operator and the endpoints have written is back.
	operatorWrites = 100 * time.Millisecond
	endpointsWrite = 2 * time.Second
)

// DefaultReturnConfig is that of the fields of a ReturnConfig that are zero.
var DefaultReturnConfig = ReturnConfig{Away: longest, Age: 8 * time.Second, Again: 0.4, NoLease: 0.3, EndHolder: 0.6}

// returnFromOlder lets the store go away and return from an older copy, at times twice.
// Only one such fault goes on at a time.
func (s *Soak) returnFromOlder(w *world) {
	if !w.returning.CompareAndSwap(false, true) {
		return
	}
	defer w.returning.Store(false)
	if time.Now().Before(w.noReturnBefore) {
		return
	}
	// At times long enough for gateways to be in touch again.
	defer func() { w.noReturnBefore = time.Now().Add(s.between(0, 2*contact)) }()
	d := s.ReturnConfig.withDefaults()
	var running sync.WaitGroup
	defer running.Wait()
	for again := true; again; again = s.chance(d.Again) {
		away := s.between(shortestAway, max(d.Away, shortestAway+1))
		w.storeTroubles.trouble(time.Now().Add(away + storeReturn))
		if s.chance(d.EndHolder) {
			at := s.between(0, away+bounds.Lease)
			running.Go(func() {
				time.Sleep(at)
				s.endHolder(w)
			})
		}
		w.store.Leave()
		// A copy that was made before all gateways served is none that a store returns to.
		age := min(s.between(shortestAge, max(d.Age, shortestAge+1)), time.Since(w.readyAt))
		older := w.store.Copy(age)
		if s.chance(d.NoLease) {
			older = older.WithoutLeases()
		}
		time.Sleep(away)
		w.store.Restore(older)
		w.storeTroubles.trouble(time.Now().Add(storeReturn))
		s.dutyLog.returned(time.Now())
		operator := s.between(0, operatorWrites)
		running.Go(func() { w.store.WriteAgain(operator, endpointsWrite) })
		time.Sleep(s.between(shortestAway, bounds.Lease))
	}
}

// endHolder kills, pauses or stops the gateway that has called the cloud API last.
func (s *Soak) endHolder(w *world) {
	g := w.gateway(w.cloud.LastCaller())
	if g == nil {
		return
	}
	switch s.intN(4) {
	case 0:
		s.pause(g)
	case 1:
		s.stopAsPlanned(w, g)
	default:
		s.restartOne(w, g, func(g *gateway) { g.current().Kill() })
	}
}

func (d ReturnConfig) withDefaults() ReturnConfig {
	if d.Away == 0 {
		d.Away = DefaultReturnConfig.Away
	}
	if d.Age == 0 {
		d.Age = DefaultReturnConfig.Age
	}
	for _, p := range []struct{ share, otherwise *float64 }{
		{&d.Again, &DefaultReturnConfig.Again}, {&d.NoLease, &DefaultReturnConfig.NoLease}, {&d.EndHolder, &DefaultReturnConfig.EndHolder},
	} {
		if *p.share == 0 {
			*p.share = *p.otherwise
		}
	}
	return d
}

// loseCalls lets answers of the cloud API get lost for a while; some calls are carried out
// late.
func (s *Soak) loseCalls(w *world) {
	w.cloud.SetLoss(clstandplatform.Loss{Share: 0.4, Late: s.between(0, longest)})
	time.Sleep(s.between(shortest, 2*longest))
	w.cloud.SetLoss(clstandplatform.Loss{})
}
