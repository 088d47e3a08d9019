// This file estimates the load and the pace of endpoints from what they state.

package clfleet

import (
	"cmp"
	"math"
	"time"
)

type (
	// StatedLoad is the load that an endpoint states in a response.
	StatedLoad struct {
		// Running and Waiting are the numbers of requests that run and that wait at
		// the endpoint, from all gateways.
		Running, Waiting int
		// Slots is the number of requests that the endpoint runs at once.
		Slots int
		// Pace is how many times as long as usual work takes at the endpoint; 0 means
		// that it does not state a pace.
		Pace float64
	}

	// EndpointStatement is what an endpoint has stated to one of the gateways.
	EndpointStatement struct {
		// EndpointHash is the hash of the endpoint's ID.
		EndpointHash uint64
		// Age is the time since the endpoint stated it.
		Age time.Duration
		StatedLoad
	}

	// heardLoad is the latest load that an endpoint has stated.
	heardLoad struct {
		StatedLoad
		// at is when it was stated, and own is set if this gateway has received it.
		at  time.Time
		own bool
		// sentSince is the number of this gateway's running attempts that began after
		// it was stated.
		sentSince int
	}
)

const (
	// paceLifetime is the age at which a stated pace says nothing more: endpoints that
	// share their machines change it about every 0.6 s. Until then, its weight falls
	// linearly, as the probability that it still holds. Shorter than that, since all
	// gateways act on it: docs/design/cost-of-requests.md has the figures.
	paceLifetime = 400 * time.Millisecond
	// maxSharedAge is the age up to which statements are passed on to the other
	// gateways. Without passing them on, the 95th percentile of the pattern
	// uneven_plain was 151 ms, and 135 ms with it.
	maxSharedAge = paceLifetime
	// meanPaceWindow is the age up to which a stated pace counts towards MeanPace. In
	// that time, a gateway hears of most endpoints, from its own requests or by digests.
	meanPaceWindow = 5 * time.Second
	// maxMeanPace limits MeanPace, by which endpoints are ordered, against endpoints
	// that state absurd figures.
	maxMeanPace = 2.0
	// maxClockSkew is how far in the future a statement may lie, for rounding of ages.
	maxClockSkew = time.Millisecond
	// minPace and maxPace limit the paces that other gateways may report; cladapter
	// applies the same bounds to what endpoints state.
	minPace, maxPace = 0.1, 100
	// queueSpread is the number of requests by which the estimated number at a plain
	// endpoint is usually wrong; a wait is expected from that much below its slots.
	queueSpread = 1.5
)

// RecordStatedLoad records the load that the chosen endpoint has stated in a response.
// It takes effect if the endpoint states a pace. A response of a former start of the
// endpoint is ignored.
func (f *Fleet) RecordStatedLoad(c *Choice, load StatedLoad, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if e := f.endpoints[c.Endpoint]; e == c.endpoint {
		c.statedPace = max(0, load.Pace)
		f.hear(e, load, now, true)
	}
}

// RecordPeerStatements records what endpoints have stated to another gateway.
// Statements of unknown endpoints, and those that are older than what is known or than
// the endpoint's present start, are ignored.
func (f *Fleet) RecordPeerStatements(statements []EndpointStatement, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range statements {
		if e := f.byHash[s.EndpointHash]; e != nil && s.Pace >= minPace && s.Pace <= maxPace {
			f.hear(e, s.StatedLoad, now.Add(-s.Age), false)
		}
	}
}

// Statements returns what endpoints that state a pace have stated to this gateway
// within maxSharedAge. now is the time by the clock of RecordStatedLoad.
func (f *Fleet) Statements(now time.Time) []EndpointStatement {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []EndpointStatement
	for _, s := range f.services {
		for _, e := range s.endpoints {
			if age := now.Sub(e.heard.at); e.heard.own && e.heard.Pace > 0 && age <= maxSharedAge {
				out = append(out, EndpointStatement{EndpointHash: e.hash, Age: max(0, age), StatedLoad: e.heard.StatedLoad})
			}
		}
	}
	return out
}

// StatesPace reports whether most of the endpoints of a service that have stated anything
// of their load since their start state a pace.
func (f *Fleet) StatesPace(service string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.services[service]
	if s == nil || s.meanPace == 0 {
		return false
	}
	heard, paced := 0, 0
	for _, e := range s.endpoints {
		if !e.heard.at.IsZero() {
			heard++
		}
		if e.statesPace() {
			paced++
		}
	}
	return 2*paced > heard
}

// hear takes over a statement unless a later one is known. f.mu must be held.
func (f *Fleet) hear(e *endpoint, load StatedLoad, at time.Time, own bool) {
	if at.Before(e.heard.at) || at.Add(maxClockSkew).Before(e.addedAt) {
		return
	}
	e.heard = heardLoad{StatedLoad: load, at: at, own: own}
	for _, c := range e.own {
		if c.begunAt.After(at) {
			e.heard.sentSince++
		}
	}
	if load.Pace <= 0 {
		return
	}
	s := f.service(e.Service)
	if s.meanPace == 0 {
		s.meanPace = 1
	}
	s.meanPace += smoothingWeight * (load.Pace - s.meanPace)
	s.meanFill += smoothingWeight * (float64(load.Running+load.Waiting)/float64(max(1, load.Slots)) - s.meanFill)
}

// MeanPace returns how many times as long as usual work takes at the endpoints of a
// service, as the mean of what they have stated within meanPaceWindow, from 1 to
// maxMeanPace. It returns 0 if none has stated a pace.
func (f *Fleet) MeanPace(name string, now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum, n := 0.0, 0
	for _, e := range f.service(name).endpoints {
		if e.statesPace() && now.Sub(e.heard.at) < meanPaceWindow {
			sum += e.heard.Pace
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return min(maxMeanPace, max(1, sum/float64(n)))
}

// statesPace reports whether the endpoint has stated a pace in its latest statement.
func (e *endpoint) statesPace() bool { return e.heard.Pace > 0 }

// expectedPace returns the pace to be expected of an endpoint that states it: the
// stated one while it is fresh, and the mean of the service's endpoints later.
func (s *service) expectedPace(e *endpoint, now time.Time) float64 {
	weight := max(0, 1-now.Sub(e.heard.at).Seconds()/paceLifetime.Seconds())
	return s.meanPace + weight*(e.heard.Pace-s.meanPace)
}

// expectedRequests returns the number of requests to be expected at an endpoint that
// states its load: the stated number and what this gateway has sent since, which give
// way to usual, the number without that knowledge, as the stated requests end.
// lifetime is how long a request stays at the endpoint.
func (e *endpoint) expectedRequests(usual, lifetime float64, now time.Time) float64 {
	stated := float64(e.heard.Running + e.heard.Waiting)
	// A queue takes longer to drain than one request runs.
	lifetime *= max(1, stated/float64(max(1, e.heard.Slots)))
	weight := math.Exp(-max(0, now.Sub(e.heard.at).Seconds()) / max(1e-3, lifetime))
	return usual + weight*(stated-usual) + float64(e.heard.sentSince)
}

// usualWork returns the work of a request at a plain endpoint whose pace is 1.
func (s *service) usualWork() time.Duration { return cmp.Or(s.plainWork, defaultPlainLatency) }

// plainSeconds returns the expected latency of a plain endpoint that states its load, for a
// request that takes work seconds at a pace of 1, and the number of requests expected
// there. The digests' numbers of running requests are not used: they are older than the
// requests are long, and all gateways would send to the endpoint that was idle then.
func (s *service) plainSeconds(e *endpoint, work, pace float64, now time.Time) (seconds, requests float64) {
	work *= pace
	slots := float64(max(1, e.heard.Slots))
	requests = e.expectedRequests(s.meanFill*slots, work, now)
	return work * (1 + softExcess(requests+1-slots)/slots), requests
}

// recordPlainWork records the latency of a request at a plain endpoint that has stated
// its pace and that no request waits there, so that this one has hardly waited either.
func (s *service) recordPlainWork(c *Choice, latency time.Duration) {
	if c.statedPace <= 0 || c.endpoint.heard.Waiting > 0 {
		return
	}
	work := time.Duration(float64(latency) / c.statedPace)
	if s.plainWork == 0 {
		s.plainWork = work
	}
	s.plainWork += time.Duration(smoothingWeight * float64(work-s.plainWork))
}

// softExcess returns the expected number of requests in a queue if the expected excess
// over the slots is x, which may be negative, and the estimate is off by queueSpread.
func softExcess(x float64) float64 {
	if x > 20*queueSpread {
		return x
	}
	return queueSpread * math.Log1p(math.Exp(x/queueSpread))
}
