// This file defines endpoints that say that they leave or that they want quiet, and how
// it is checked what gateways make of that.

package clsoak

import (
	"time"

	"github.com/chestnutlead/chestnutlead/platform/clstandplatform"
)

type (
	// statements are what gateways have been told by endpoints. Soak.mu guards them.
	statements struct {
		// leaving holds, for each gateway and endpoint, when the gateway first passed on
		// an answer in which the endpoint said that it leaves.
		leaving map[told]time.Time
		quiets  []*quietTime
	}

	// told names a gateway and an endpoint.
	told struct{ gateway, endpoint string }

	// quietTime is one time for which an endpoint wants nothing from a gateway.
	quietTime struct {
		told
		asked time.Time
		until time.Time
		// arrivals counts the requests that came all the same.
		arrivals int
	}
)

const (
	// quietSlack is how long after the answer requests may still be on their way.
	quietSlack = 500 * time.Millisecond
	// toleratedQuietArrivals is how many requests may come in a quiet time.
	toleratedQuietArrivals = 2
	shortestQuiet          = 600 * time.Millisecond
)

// sayLeaving lets an endpoint say in its answers that it leaves, some time before the
// store does, and leave.
func (s *Soak) sayLeaving(w *world) {
	e, ok := s.takeEndpoint(w)
	if !ok {
		return
	}
	e.saysLeaving.Store(true)
	time.Sleep(bounds.Drain + s.between(shortest, longest))
	w.leave(e)
}

// arrivedAt records a request that has reached an endpoint, whether it runs or not.
func (s *Soak) arrivedAt(r clstandplatform.Run) {
	s.mu.Lock()
	g := s.senders[r.Send]
	if g == nil {
		s.mu.Unlock()
		return
	}
	at := told{g.name, r.Endpoint}
	sent := s.sentAt[r.Send]
	leavingSince, leaves := s.statements.leaving[at]
	for _, q := range s.statements.quiets {
		if q.told == at && r.At.After(q.asked.Add(quietSlack)) && r.At.Before(q.until) && g.runsSince(q.asked) {
			q.arrivals++
		}
	}
	s.mu.Unlock()
	if leaves && sent.After(leavingSince.Add(bounds.Drain)) && g.runsSince(leavingSince) {
		s.violate("%s reached %s %s after %s had passed on its word that it leaves", r.Send, r.Endpoint, sent.Sub(leavingSince), g.name)
	}
}

// askedForQuiet records that an endpoint has answered a request so.
func (s *Soak) askedForQuiet(r clstandplatform.Run, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if g := s.senders[r.Send]; g != nil {
		now := time.Now()
		s.statements.quiets = append(s.statements.quiets, &quietTime{told: told{g.name, r.Endpoint}, asked: now, until: now.Add(d)})
	}
}

// passedOn records an answer that a gateway has passed on.
func (s *Soak) passedOn(a attempt) {
	if !a.reply.Leaving {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	at := told{a.gateway.name, a.reply.Endpoint}
	if s.statements.leaving == nil {
		s.statements.leaving = map[told]time.Time{}
	}
	// A gateway that has been started since then knows nothing of it.
	if since, ok := s.statements.leaving[at]; !ok || !a.gateway.runsSince(since) {
		s.statements.leaving[at] = a.ended
	}
}

// checkQuietTimes looks for endpoints that got requests although they wanted none.
func (s *Soak) checkQuietTimes() {
	s.mu.Lock()
	quiets := s.statements.quiets
	s.mu.Unlock()
	for _, q := range quiets {
		if q.arrivals > toleratedQuietArrivals {
			s.violate("%d requests reached %s from %s, which it had asked for quiet for %s", q.arrivals, q.endpoint, q.gateway, q.until.Sub(q.asked).Round(time.Millisecond))
		}
	}
}
