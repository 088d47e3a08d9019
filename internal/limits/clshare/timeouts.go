// This file recognises callers that come back after a refusal.

package clshare

import "time"

type (
	// timeouts learns, by route, which timeout first attempts usually state. A caller
	// that comes back states what is left of it.
	timeouts struct {
		routes map[string]*usualTimeout
	}

	// usualTimeout is the usual timeout of a route, in seconds.
	usualTimeout struct {
		seconds float64
		samples int
	}
)

const (
	// raiseWeight and lowerWeight are the weights of a stated timeout above and below
	// the usual one. With them, the usual timeout stays close to that of first
	// attempts also if half of the requests are returning ones.
	raiseWeight, lowerWeight = 1.0 / 8, 1.0 / 256
	// minTimeoutSamples is the number of timeouts after which the usual one is known.
	minTimeoutSamples = 16
	// returningMargin is by how much the timeout of a returning caller is at least
	// below the usual one, as a fraction of that. The shortest retry times of this
	// package are a twelfth of the time left.
	returningMargin = 0.05
	// maxLearnedRoutes limits the memory; beyond it, learning starts anew.
	maxLearnedRoutes = 1024
)

// isReturning reports whether a request whose caller states the given timeout is
// probably not the first attempt, and learns from the timeout.
func (t *timeouts) isReturning(route string, stated time.Duration) bool {
	if stated <= 0 {
		return false
	}
	u := t.routes[route]
	if u == nil {
		if t.routes == nil || len(t.routes) >= maxLearnedRoutes {
			t.routes = make(map[string]*usualTimeout)
		}
		u = &usualTimeout{seconds: stated.Seconds()}
		t.routes[route] = u
	}
	returning := u.samples >= minTimeoutSamples && stated.Seconds() < (1-returningMargin)*u.seconds
	weight := lowerWeight
	if stated.Seconds() > u.seconds {
		weight = raiseWeight
	}
	u.seconds += weight * (stated.Seconds() - u.seconds)
	u.samples = min(u.samples+1, minTimeoutSamples)
	return returning
}
