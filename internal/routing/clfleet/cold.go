// This file limits the requests that this gateway sends to cold endpoints.

package clfleet

import (
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
)

const (
	// coldRateFactor is the rate of requests that all gateways together may send to
	// a cold endpoint, as a multiple of Service.ColdPerSecond. It is slightly above
	// 1; a cold endpoint is expected to bear up to 1.5 times ColdPerSecond plus 5
	// requests in any second.
	coldRateFactor = 1.05
	// maxColdSenders is the largest number of gateways that send to one cold
	// endpoint. Each of them may send one request without waiting, so with fewer
	// senders the requests of any one second stay closer to ColdPerSecond,
	// and each sender's share amounts to a whole request while the endpoint is
	// cold.
	maxColdSenders = 8
	// coldEndJitter is how much the end of a cold period may vary between
	// repeated updates of the endpoint in the registry that tell of the same
	// period.
	coldEndJitter = 500 * time.Millisecond
)

// coldRate returns the number of requests per second that this gateway may send
// to the endpoint while it is cold. If there are more than maxColdSenders
// gateways, rendezvous hashing selects the senders, and the other gateways get 0.
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

// startColdPeriod marks the endpoint as cold for the duration and as having no
// prompt parts cached. It does nothing if the service is not configured or has no
// limit for cold endpoints. Each gateway's token bucket starts with a random
// fraction of a request, so that the gateways do not all send their first request
// at the same time.
func (f *Fleet) startColdPeriod(e *endpoint, now time.Time, duration time.Duration) {
	cfg := f.serviceConfig(e.Service)
	if cfg == nil || cfg.ColdPerSecond <= 0 {
		return
	}
	e.coldUntil, e.coldTokensUpdatedAt = now.Add(duration), now
	e.coldTokens = f.Rand.Float64()
	clear(e.promptCache)
}

// hasColdCapacity reports whether the endpoint can get a request now as far as
// the limit for cold endpoints is concerned; an endpoint that is not cold always
// can. It refills the endpoint's token bucket, and Begin takes the token.
func (f *Fleet) hasColdCapacity(cfg *clcatalog.Service, e *endpoint, now time.Time) bool {
	if !now.Before(e.coldUntil) {
		return true
	}
	rate := f.coldRate(cfg, e)
	e.coldTokens = min(1, e.coldTokens+now.Sub(e.coldTokensUpdatedAt).Seconds()*rate)
	e.coldTokensUpdatedAt = now
	return rate > 0 && e.coldTokens >= 1
}
