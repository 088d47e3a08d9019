// This file defines what is checked of the duties: who acts as their holder, and whether
// somebody does.

package clsoak

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/platform/clstandplatform"
)

type (
	// dutyCall is a call of the cloud API.
	dutyCall struct {
		clstandplatform.CloudCall
		// inTouch says that neither its gateway nor the store had a fault shortly before.
		inTouch bool
	}

	// dutyLog holds those of a run in their order. The zero value is ready.
	dutyLog struct {
		mu  sync.Mutex
		all []dutyCall
		// returns are when the store returned from an older copy.
		returns []time.Time
	}
)

// reportsWithin is how long after its end the report of a window is expected.
const reportsWithin = 3 * time.Second

// dutyBound bounds the time from the last fault to an accepted call.
var dutyBound = 2*bounds.Lease + clstandplatform.UsageWindow

// recordDutyCall records a call of the cloud API.
func (s *Soak) recordDutyCall(c clstandplatform.CloudCall) {
	g := s.world.gateway(c.Machine)
	a := dutyCall{c, g != nil && s.inTouch(attempt{gateway: g, sent: c.At})}
	s.dutyLog.mu.Lock()
	defer s.dutyLog.mu.Unlock()
	s.dutyLog.all = append(s.dutyLog.all, a)
}

func (a *dutyLog) returned(at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.returns = append(a.returns, at)
}

// acceptedSince reports whether a call was accepted from a time on, and returns how many were
// refused after the last one that was accepted.
func (a *dutyLog) acceptedSince(t time.Time) (ok bool, refused int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.all {
		if c.Status != http.StatusOK {
			refused++
			continue
		}
		ok, refused = ok || !c.At.Before(t), 0
	}
	return ok, refused
}

// checkDutiesGoOn requires that some holder acts soon after the last fault.
func (s *Soak) checkDutiesGoOn(ctx context.Context, last time.Time) {
	for end := last.Add(dutyBound); ; time.Sleep(pollEvery) {
		ok, refused := s.dutyLog.acceptedSince(last)
		if ok || ctx.Err() != nil {
			return
		}
		if time.Now().After(end) {
			s.violate("no call of a holder of the duties was accepted within %s of the last fault; %d were refused since the last one", dutyBound, refused)
			return
		}
	}
}

// checkHolders looks for gateways that act as the holder in turn, and measures how the
// duties were carried out.
func (s *Soak) checkHolders() {
	s.dutyLog.mu.Lock()
	all, returns := s.dutyLog.all, s.dutyLog.returns
	s.dutyLog.mu.Unlock()
	accepted := slices.DeleteFunc(slices.Clone(all), func(a dutyCall) bool { return a.Status != http.StatusOK })
	latest := map[string]int{}
	for i, a := range accepted {
		before, ok := latest[a.Machine]
		latest[a.Machine] = i
		if !ok || !a.inTouch || !accepted[before].inTouch || a.At.Sub(accepted[before].At) > bounds.Lease {
			continue
		}
		for _, b := range accepted[before+1 : i] {
			if b.inTouch {
				s.violate("%s, %s, %s acted as the holder in turn within %s, with the fencing numbers %d, %d, %d",
					a.Machine, b.Machine, a.Machine, a.At.Sub(accepted[before].At), accepted[before].Fencing, b.Fencing, a.Fencing)
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.DutyCalls, s.report.DutyCallsRefused = len(accepted), len(all)-len(accepted)
	s.report.StoreReturns = len(returns)
	for _, at := range returns {
		i := slices.IndexFunc(accepted, func(a dutyCall) bool { return a.At.After(at) })
		if i >= 0 {
			s.report.MostMsToCall = max(s.report.MostMsToCall, accepted[i].At.Sub(at).Milliseconds())
		}
	}
	s.countWindows()
}

// countWindows counts the windows in which requests ran and those of them that nobody has
// reported; the caller holds mu.
func (s *Soak) countWindows() {
	ran := map[int64]bool{}
	for _, runs := range s.runs {
		for _, r := range runs {
			if w := r.At.UnixNano() / clstandplatform.UsageWindow.Nanoseconds(); !time.Unix(0, (w+1)*clstandplatform.UsageWindow.Nanoseconds()).Add(reportsWithin).After(time.Now()) {
				ran[w] = true
			}
		}
	}
	reported := s.world.cloud.Usage()
	for w := range ran {
		s.report.Windows++
		if reported[w] == nil {
			s.report.WindowsUnreported++
		}
	}
}
