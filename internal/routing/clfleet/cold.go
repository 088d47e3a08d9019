// This file defines how much of a cold endpoint's tolerance this gateway uses.

package clfleet

import (
	"math/rand/v2"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
)

const (
	// coldUse is the part of the tolerated rate that all gateways use together,
	// which leaves room for a wrong count of gateways.
	coldUse = 0.8
	// coldSlack is the jitter of repeated statements of the same cold period.
	coldSlack = 500 * time.Millisecond
)

// coldRate returns this gateway's share of the requests that a cold endpoint tolerates in a second.
func (f *Fleet) coldRate(s *clcatalog.Service) float64 {
	return s.ColdPerSecond * coldUse / float64(max(1, f.gateways))
}

// setCold starts a cold period. Each gateway begins with a random part of a
// request, so that many with a small share each do not all send one at once.
func (e *endpoint) setCold(now time.Time, lasts time.Duration, rate float64, rnd *rand.Rand) {
	if rate <= 0 {
		return
	}
	e.coldUntil, e.coldAt = now.Add(lasts), now
	e.coldTokens = rnd.Float64()
	clear(e.cache)
}

// coldAllows reports whether a cold endpoint may get a request now.
func (e *endpoint) coldAllows(now time.Time, rate float64) bool {
	if !now.Before(e.coldUntil) {
		return true
	}
	e.coldTokens = min(1, e.coldTokens+now.Sub(e.coldAt).Seconds()*rate)
	e.coldAt = now
	return e.coldTokens >= 1
}
