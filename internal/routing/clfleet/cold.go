// This file limits the requests that this gateway sends to cold endpoints.

package clfleet

import (
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
)

const (
	// coldRateFactor is the rate that all gateways use together, as a multiple
	// of the tolerated rate.
	coldRateFactor = 1.05
	// maxColdSenders is the largest number of gateways that send to one cold
	// endpoint. Each of them may send one request at once, so with fewer
	// gateways the requests of any one second stay closer to the tolerated
	// rate, and each gateway's share amounts to a whole request while the
	// endpoint is cold.
	maxColdSenders = 8
	// coldEndJitter is how much the end of a cold period may vary between
	// repeated reports of the same period.
	coldEndJitter = 500 * time.Millisecond
)

// coldRate returns this gateway's share of the requests per second that the
// endpoint tolerates while it is cold. If there are more than maxColdSenders
// gateways, rendezvous hashing selects those that get a share.
func (f *Fleet) coldRate(cfg *clcatalog.Service, e *endpoint) float64 {
	if f.gatewayCount() <= maxColdSenders {
		return cfg.ColdPerSecond * coldRateFactor / float64(f.gatewayCount())
	}
	ownHash, higherRanked := mix64(e.hash^f.selfHash), 0
	for _, o := range f.peerHashes {
		if mix64(e.hash^o) > ownHash {
			higherRanked++
		}
	}
	if higherRanked >= maxColdSenders {
		return 0
	}
	return cfg.ColdPerSecond * coldRateFactor / maxColdSenders
}

// startColdPeriod marks the endpoint as cold for the duration. Each gateway
// starts with a random fraction of a request, so that the gateways do not all
// send their first request at the same time.
func (f *Fleet) startColdPeriod(e *endpoint, now time.Time, duration time.Duration) {
	cfg := f.serviceConfig(e.Service)
	if cfg == nil || cfg.ColdPerSecond <= 0 {
		return
	}
	e.coldUntil, e.coldTokensUpdatedAt = now.Add(duration), now
	e.coldTokens = f.Rand.Float64()
	clear(e.promptCache)
}

// hasColdCapacity reports whether an endpoint that may be cold can get a request
// now. It refills the endpoint's token bucket but takes nothing from it.
func (f *Fleet) hasColdCapacity(cfg *clcatalog.Service, e *endpoint, now time.Time) bool {
	if !now.Before(e.coldUntil) {
		return true
	}
	rate := f.coldRate(cfg, e)
	e.coldTokens = min(1, e.coldTokens+now.Sub(e.coldTokensUpdatedAt).Seconds()*rate)
	e.coldTokensUpdatedAt = now
	return rate > 0 && e.coldTokens >= 1
}
