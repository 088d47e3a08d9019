// This file defines how much of a cold endpoint's tolerance this gateway uses.

package clfleet

import (
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
)

const (
	// coldUse is the part of the tolerated rate that all gateways use together.
	coldUse = 1.05
	// coldGateways is how many gateways send to one cold endpoint. Each may send
	// one request at once, so that fewer gateways keep any second nearer to the
	// rate, and have shares that reach a whole request while it is cold.
	coldGateways = 8
	// coldSlack is the jitter of repeated statements of the same cold period.
	coldSlack = 500 * time.Millisecond
)

// coldRate returns this gateway's share of the requests that the endpoint
// tolerates in a second while it is cold.
func (f *Fleet) coldRate(s *clcatalog.Service, e *endpoint) float64 {
	if f.gateways() <= coldGateways {
		return s.ColdPerSecond * coldUse / float64(f.gateways())
	}
	own, ahead := mix(e.hash^f.self), 0
	for _, o := range f.others {
		if mix(e.hash^o) > own {
			ahead++
		}
	}
	if ahead >= coldGateways {
		return 0
	}
	return s.ColdPerSecond * coldUse / coldGateways
}

// setCold starts a cold period. Each gateway begins with a random part of a
// request, so that they do not all send one at once.
func (f *Fleet) setCold(e *endpoint, now time.Time, lasts time.Duration) {
	s := f.describe(e.Service)
	if s == nil || s.ColdPerSecond <= 0 {
		return
	}
	e.coldUntil, e.coldAt = now.Add(lasts), now
	e.coldTokens = f.Rand.Float64()
	clear(e.cache)
}

// coldAllows reports whether a cold endpoint may get a request now.
func (f *Fleet) coldAllows(s *clcatalog.Service, e *endpoint, now time.Time) bool {
	if !now.Before(e.coldUntil) {
		return true
	}
	rate := f.coldRate(s, e)
	e.coldTokens = min(1, e.coldTokens+now.Sub(e.coldAt).Seconds()*rate)
	e.coldAt = now
	return rate > 0 && e.coldTokens >= 1
}
