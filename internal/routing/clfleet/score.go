// This file estimates what a request would find at an endpoint, and scores endpoints.

package clfleet

import (
	"cmp"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
)

const (
	// remotePenaltyEngine and remotePenaltyPlain are added to the score of an
	// endpoint in another data centre: traffic between data centres is billed,
	// and the transit time delays each answer.
	remotePenaltyEngine = 150 * time.Millisecond
	remotePenaltyPlain  = 15 * time.Millisecond
	// prefixBonusFactor is the score bonus of the first affinity endpoint, which
	// has probably cached the request's shared prompt parts, as a multiple of the
	// time to process these parts. Processing a prompt again takes that time from
	// all requests that wait at the endpoint, and cache memory from other prompts.
	prefixBonusFactor = 4
	// maxPrefixBonus limits the bonus, and thus how long requests wait for a
	// cached prefix.
	maxPrefixBonus = 450 * time.Millisecond
	// fullBatchSlowdown is the relative increase of the time that an engine takes
	// for a step over its batch of requests, and so of the prefill time, if all
	// slots are in use. With fewer slots in use, the increase is assumed to be
	// proportionally smaller.
	fullBatchSlowdown = 0.5
	// typicalSlotTime is how long a request usually occupies a slot; an endpoint
	// with n slots, all in use, frees one every typicalSlotTime/n.
	typicalSlotTime = 2 * time.Second
	// failurePenalty, times the excess of an endpoint's failure rate over that of
	// its service, is added to the score.
	failurePenalty = 3 * time.Second
	// baseFirstEventLatency is the part of the time to the first event that does
	// not depend on the prompt.
	baseFirstEventLatency = 40 * time.Millisecond
	// promptCacheLifetime is how long an unused prompt part is assumed to stay
	// cached; engines evict the least recently used parts.
	promptCacheLifetime = 30 * time.Second
	// recentStartPeriod is how long after it was first seen an endpoint is assumed
	// to be slow because it has just started.
	recentStartPeriod = 4 * time.Second
	// defaultPlainLatency is the assumed time to the first event of a plain
	// service until one has been measured.
	defaultPlainLatency = 20 * time.Millisecond
)

// estimate returns the choice of the endpoint e, with its expected time to the
// first event and the other estimates for the request.
func (f *Fleet) estimate(s *service, cfg *clcatalog.Service, e *endpoint, r Request, now time.Time) Choice {
	load := f.totalLoad(e)
	c := Choice{
		Endpoint: e.ID, Born: e.Born, Address: e.Address, DataCentre: e.DataCentre, Version: e.Version,
		Running: load.Running, RecentlyStarted: now.Sub(e.firstSeen) < recentStartPeriod, endpoint: e, service: r.Service, priority: clampPriority(r.Priority),
	}
	slots := max(1, e.Slots)
	slowdown := 1.0
	if e.statesPace() {
		c.Pace = s.expectedPace(e, now)
		slowdown = c.Pace / s.meanPace
		if cfg.Engine != nil {
			// The larger of both: in a burst, either may not have seen it yet. With the
			// stated number alone, requests of the pattern burst_many that came on time
			// were 0.701 instead of 0.707, and with the digests' alone 0.699.
			load.Running = max(load.Running, int(e.expectedRequests(float64(load.Running), typicalSlotTime.Seconds(), now)+0.5))
			c.Running = load.Running
		}
	}
	utilization := float64(load.Running) / float64(slots)
	var expectedSeconds float64
	switch {
	case cfg.Engine == nil && c.Pace > 0:
		work, requests := s.usualWork().Seconds(), 0.0
		if r.cost != nil {
			c.cost = r.cost
			work *= r.cost.workFactor
		}
		expectedSeconds, requests = s.plainSeconds(e, work, c.Pace, now)
		c.Running = int(requests + 0.5)
	case cfg.Engine == nil:
		latency := s.plainLatency
		if latency == 0 {
			latency = defaultPlainLatency
		}
		expectedSeconds = latency.Seconds() * (1 + utilization)
	case r.cost != nil:
		expectedSeconds = f.costSeconds(s, cfg, e, r, load, slowdown, &c, now)
	default:
		c.UncachedTokens = e.uncachedTokens(r.Parts, now)
		expectedSeconds = baseFirstEventLatency.Seconds() + (load.Pending.aheadOf(r.Priority)+c.UncachedTokens)/s.prefillRate*(1+fullBatchSlowdown*utilization)
		expectedSeconds *= slowdown
		if excess := load.Running - slots; excess >= 0 {
			expectedSeconds += typicalSlotTime.Seconds() * float64(excess+1) / float64(slots)
		}
	}
	c.ExpectedLatency = time.Duration(expectedSeconds * e.latencyFactor * float64(time.Second))
	if c.idleLatency == 0 {
		c.idleLatency = time.Duration((baseFirstEventLatency.Seconds() + c.UncachedTokens/s.prefillRate) * float64(time.Second))
	}
	return c
}

// scoredLatency returns the expected time to the first event for the score.
func (c *Choice) scoredLatency() time.Duration { return cmp.Or(c.trusted, c.ExpectedLatency) }

// baseScore returns the score of the choice without the affinity bonus and the random
// addition: the expected time to the first event, plus what the choice costs other callers,
// a penalty for another data centre and one for failures in excess of the service's rate.
func (f *Fleet) baseScore(s *service, cfg *clcatalog.Service, c *Choice, now time.Time) time.Duration {
	score := c.scoredLatency() + c.Harm
	if c.DataCentre != f.DataCentre {
		if cfg.Engine != nil {
			score += remotePenaltyEngine
		} else {
			score += remotePenaltyPlain
		}
	}
	c.endpoint.failureRate.decay(now)
	s.failureRate.decay(now)
	if excess := c.endpoint.failureRate.value - s.failureRate.value; excess > 0 {
		score += time.Duration(excess * float64(failurePenalty))
	}
	return score
}

// affinityEndpoints returns the request's affinity endpoints, to which all requests
// with the same shared prefix (all parts of the prompt but the last one) are sent
// preferably, and the score bonus of the first one. They are selected by rendezvous
// hashing among the endpoints that are neither leaving, excluded nor cold, so that
// the gateways agree without communication. A prefix whose bonus reaches
// remotePenaltyEngine has two affinity endpoints, in any data centres; other prefixes
// have two in each data centre. Elements of the pair are nil if there are fewer
// endpoints to select from, or if the prompt has fewer than two parts.
func (f *Fleet) affinityEndpoints(s *service, r Request, now time.Time) (affinityPair [2]*endpoint, affinityBonus time.Duration) {
	if len(r.Parts) < 2 {
		return affinityPair, 0
	}
	sharedTokens := 0
	for _, p := range r.Parts[:len(r.Parts)-1] {
		sharedTokens += p.Tokens
	}
	affinityBonus = min(maxPrefixBonus, time.Duration(prefixBonusFactor*float64(sharedTokens)/s.prefillRate*float64(time.Second)))
	key := r.Parts[len(r.Parts)-2].ID
	var hashes [2]uint64
	for _, e := range s.endpoints {
		if e.isLeaving() || f.isExcluded(e.DataCentre) || now.Before(e.coldUntil) || affinityBonus < remotePenaltyEngine && e.DataCentre != f.DataCentre {
			continue
		}
		switch h := mix64(e.hash ^ key*0x9e3779b97f4a7c15); {
		case affinityPair[0] == nil || h > hashes[0]:
			affinityPair[0], affinityPair[1], hashes[0], hashes[1] = e, affinityPair[0], h, hashes[0]
		case affinityPair[1] == nil || h > hashes[1]:
			affinityPair[1], hashes[1] = e, h
		}
	}
	return affinityPair, affinityBonus
}

// mix64 is the finalizer of the splitmix64 generator.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// uncachedTokens returns the number of prompt tokens that the endpoint must
// process: all tokens of the first part that it has probably not cached and of
// every part after it.
func (e *endpoint) uncachedTokens(parts []PromptPart, now time.Time) float64 {
	total := 0
	cached := true
	for _, p := range parts {
		if cached {
			lastSentAt, ok := e.promptCache[p.ID]
			cached = ok && now.Sub(lastSentAt) < promptCacheLifetime
		}
		if !cached {
			total += p.Tokens
		}
	}
	return float64(total)
}
