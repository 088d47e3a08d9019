// This file selects an endpoint for an attempt.

package clfleet

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
)

const (
	// secondAffinityShare is the fraction of the bonus that the second affinity
	// endpoint gets. The second affinity endpoint takes requests with the prefix
	// while the first one is busy.
	secondAffinityShare = 0.5
	// affinityTargetShare is the fraction of a request's target latency within
	// which the first event must be expected for the bonus to apply.
	affinityTargetShare = 0.6
	// maxFreshDigestInterval is the longest interval between digests at which the
	// other gateways' load is known well enough to choose among all endpoints.
	maxFreshDigestInterval = 300 * time.Millisecond
	// sampleSize is the number of endpoints that are drawn at random if the
	// interval between digests is longer than maxFreshDigestInterval.
	sampleSize = 3
	// maxScoreJitter is the largest random addition to a score. Smaller differences
	// are below the accuracy of the estimates; the randomness keeps gateways
	// with the same information from all choosing the same endpoint.
	maxScoreJitter = 5 * time.Millisecond
	// maxStatedJitter takes the place of maxScoreJitter at plain endpoints that state
	// their load, which all gateways hear at about the same time. With 5 ms, 0.2 % of
	// the requests of the pattern uneven_plain were late, with 30 ms less than 0.1 %.
	maxStatedJitter = 30 * time.Millisecond
	// maxRetryJitter is the largest random addition to a retry time, so that callers
	// that were refused together do not return together.
	maxRetryJitter = 500 * time.Millisecond
	// defaultRetryAfter is the RetryAfter of refusals if it is unknown when an
	// endpoint will have capacity.
	defaultRetryAfter = 500 * time.Millisecond
	// refusedDemandWeight is the fraction of a request's prefill time that each
	// refusal adds to the demand. A refused caller usually retries once, so a
	// request is usually refused twice.
	refusedDemandWeight = 0.5
)

// Pick selects the endpoint with the lowest score. It returns a refusal if all
// endpoints are excluded, or if the selected endpoint's first event is expected later
// than latencyLimit allows. The score is the expected time to the first event with
// additions for another data centre and for failures and a small random one, less a
// bonus for affinity endpoints. The caller must call Begin with the choice before
// it sends anything.
func (f *Fleet) Pick(r Request, now time.Time) (*Choice, *Refusal) {
	costAware := f.CostAware != nil && f.CostAware(r.Service)
	f.mu.Lock()
	defer f.mu.Unlock()
	s, cfg := f.service(r.Service), f.serviceConfig(r.Service)
	if cfg == nil {
		return nil, &Refusal{Reason: ReasonNoEndpoint, RetryAfter: defaultRetryAfter}
	}
	if costAware {
		r.cost = s.costOf(cfg, r, now)
	}
	onSplitVersion := s.assignsSplitVersion(r.ID)
	best, refusal := f.bestChoice(s, cfg, r, onSplitVersion, now)
	if best == nil && onSplitVersion {
		// If the split version cannot take a request of its share, another version
		// takes it. Requests of the other versions' share never go to the split
		// version.
		best, refusal = f.bestChoice(s, cfg, r, false, now)
	}
	if best == nil {
		return nil, refusal
	}
	if limit := f.latencyLimit(cfg, r, best); best.ExpectedLatency > limit {
		refusal.Reason = ReasonNoTimeLeft
		// Refused requests count as demand, so that endpoints are added for them.
		s.demand.Requests++
		s.demand.PrefillSeconds += refusedDemandWeight * best.UncachedTokens / s.prefillRate
		refusal.RetryAfter = best.ExpectedLatency - limit + time.Duration(f.Rand.Int64N(int64(maxRetryJitter)))
		return nil, refusal
	}
	return best, nil
}

// latencyLimit returns the expected time to the first event above which a
// request is refused. A queue that is too long for requests to start on time
// delays all later requests without serving more of them, so a prompt that would
// have to wait longer is refused immediately. For an engine service the limit is
// the target, or twice the expected time on the idle endpoint if that is longer, so
// that large prompts are served too. It is never above the time left, which is the
// only limit for plain services and for requests without a target.
func (f *Fleet) latencyLimit(cfg *clcatalog.Service, r Request, c *Choice) time.Duration {
	if cfg.Engine == nil || r.TargetLatency <= 0 {
		return r.TimeLeft
	}
	return min(r.TimeLeft, max(r.TargetLatency, 2*c.idleLatency))
}

// bestChoice returns the endpoint with the lowest score, or nil if all endpoints
// are excluded, and the refusal to return if the choice is nil or too slow. If the
// service's split is active, only endpoints of the split version are eligible if
// onSplitVersion is set, and only endpoints of other versions if it is not. If the
// best of the sampled endpoints exceeds the latency limit, all eligible endpoints
// are considered.
func (f *Fleet) bestChoice(s *service, cfg *clcatalog.Service, r Request, onSplitVersion bool, now time.Time) (*Choice, *Refusal) {
	refusal := &Refusal{Reason: ReasonNoEndpoint, RetryAfter: defaultRetryAfter, Excluded: map[Reason]int{}}
	eligible := f.scratch.eligible[:0]
	filter := f.newFilter(s, cfg, r, onSplitVersion, now)
	for _, e := range s.endpoints {
		if reason := filter.excludedBy(e); reason != "" {
			refusal.Excluded[reason]++
			refusal.Reason, refusal.AfterShed = reason, reason == ReasonBlocked && e.unreachableCount == 0
			continue
		}
		eligible = append(eligible, e)
	}
	f.scratch.eligible = eligible
	affinityPair, affinityBonus := f.affinityEndpoints(s, r, now)
	sampled := f.sampleEndpoints(cfg, eligible, affinityPair)
	best := f.lowestScore(s, cfg, r, sampled, affinityPair, affinityBonus, now)
	if best != nil && best.ExpectedLatency > f.latencyLimit(cfg, r, best) && len(sampled) < len(eligible) {
		best = f.lowestScore(s, cfg, r, eligible, affinityPair, affinityBonus, now)
	}
	if best != nil {
		best.Candidates = len(eligible)
	} else {
		f.refuseUntilNotQuiet(s, refusal, now)
	}
	return best, refusal
}

// refuseUntilNotQuiet sets the reason and the retry time of a refusal to those of the
// endpoint whose quiet time ends first, if no other endpoint could take the request
// before that.
func (f *Fleet) refuseUntilNotQuiet(s *service, refusal *Refusal, now time.Time) {
	gone := refusal.Excluded[ReasonDataCentreOut] + refusal.Excluded[ReasonLeaving] + refusal.Excluded[ReasonVersion]
	if refusal.Excluded[ReasonQuiet] == 0 || refusal.Excluded[ReasonQuiet]+gone < len(s.endpoints) {
		return
	}
	var first time.Time
	for _, e := range s.endpoints {
		if e.isQuiet(now) && !e.isLeaving() && !f.isExcluded(e.DataCentre) && (first.IsZero() || e.statement.quietUntil.Before(first)) {
			first = e.statement.quietUntil
		}
	}
	if first.IsZero() {
		// Those that are quiet leave as well.
		return
	}
	refusal.Reason = ReasonQuiet
	refusal.RetryAfter = first.Sub(now) + time.Duration(f.Rand.Int64N(int64(maxRetryJitter)))
}

// sampleEndpoints returns the endpoints among which the best is chosen: all eligible
// ones, or a sample for an engine service if the interval between digests is long.
// The load that the other gateways report is then old, and all gateways would send
// to the same few endpoints that were idle a while ago; choosing the best of a small
// random sample spreads the requests (Mitzenmacher, "How Useful Is Old
// Information?", 2000). The sample consists of the eligible affinity endpoints and
// of sampleSize others in this gateway's data centre, or in the other data centres
// if this one has none.
func (f *Fleet) sampleEndpoints(cfg *clcatalog.Service, eligible []*endpoint, affinityPair [2]*endpoint) []*endpoint {
	if f.digestInterval <= maxFreshDigestInterval || cfg.Engine == nil || len(eligible) <= sampleSize {
		return eligible
	}
	pool, remoteEndpoints := f.scratch.local[:0], f.scratch.remote[:0]
	var sampled []*endpoint
	for _, e := range eligible {
		switch {
		case e == affinityPair[0] || e == affinityPair[1]:
			sampled = append(sampled, e)
		case e.DataCentre == f.DataCentre:
			pool = append(pool, e)
		default:
			remoteEndpoints = append(remoteEndpoints, e)
		}
	}
	f.scratch.local, f.scratch.remote = pool, remoteEndpoints
	if len(pool) == 0 {
		pool = remoteEndpoints
	}
	for range min(sampleSize, len(pool)) {
		i := f.Rand.IntN(len(pool))
		sampled = append(sampled, pool[i])
		pool[i] = pool[len(pool)-1]
		pool = pool[:len(pool)-1]
	}
	return sampled
}

// lowestScore returns the endpoint with the lowest score, or nil if there are no
// endpoints. affinityBonus is subtracted from the score of the first affinity
// endpoint, and secondAffinityShare of it from that of the second one. If the
// request has a target latency, this applies only if the first event is expected
// within affinityTargetShare of the target.
func (f *Fleet) lowestScore(s *service, cfg *clcatalog.Service, r Request, endpoints []*endpoint, affinityPair [2]*endpoint, affinityBonus time.Duration, now time.Time) *Choice {
	// A choice by value is not allocated for each endpoint.
	var best, soonest Choice
	bestScore, soonestScore := time.Duration(math.MaxInt64), time.Duration(math.MaxInt64)
	for _, e := range endpoints {
		c := f.estimate(s, cfg, e, r, now)
		score := f.baseScore(s, cfg, &c, now)
		c.AffinityRank = slices.Index(affinityPair[:], e) + 1
		if r.TargetLatency <= 0 || c.scoredLatency() < time.Duration(affinityTargetShare*float64(r.TargetLatency)) {
			switch c.AffinityRank {
			case 1:
				score -= affinityBonus
			case 2:
				score -= time.Duration(secondAffinityShare * float64(affinityBonus))
			}
		}
		jitter := maxScoreJitter
		if cfg.Engine == nil && c.Pace > 0 {
			jitter = maxStatedJitter
		}
		score += time.Duration(f.Rand.Int64N(int64(jitter)))
		if score < bestScore {
			best, bestScore = c, score
		}
		if full := score - c.scoredLatency() + c.ExpectedLatency; r.cost != nil && full < soonestScore {
			soonest, soonestScore = c, full
		}
	}
	if best.endpoint == nil {
		return nil
	}
	if r.cost != nil && best.ExpectedLatency > f.latencyLimit(cfg, r, &best) {
		// The score trusts old load less than a refusal does; an endpoint that is in time
		// by the load in full must not be passed over for one that is not.
		best = soonest
	}
	return &best
}

// assignsSplitVersion reports whether a request belongs to the share of the split
// version; without an active split, no request does. A hash of the request ID
// decides, so that all gateways agree.
func (s *service) assignsSplitVersion(requestID string) bool {
	return s.split.Active && float64(xxhash.Sum64String("version/"+requestID)>>11)/(1<<53) < s.split.Share
}

// allowsVersion reports whether a request may go to a version. With an active
// split, that is the split version if onSplitVersion is set, and any other version
// if it is not. Without one, a version that appears beside another version gets
// no requests for newVersionDelay.
func (s *service) allowsVersion(version string, onSplitVersion bool, now time.Time) bool {
	if s.split.Active {
		return (version == s.split.Version) == onSplitVersion
	}
	return len(s.versionFirstSeen) <= 1 || now.Sub(s.versionFirstSeen[version]) >= newVersionDelay
}
