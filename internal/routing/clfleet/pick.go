// This file selects an endpoint for an attempt.

package clfleet

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
)

type (
	// Request describes a request for which an endpoint is to be selected.
	Request struct {
		ID      string
		Service string
		// Parts are the parts of the prompt in order. All but the last one may be
		// shared with other requests.
		Parts []PromptPart
		// Tried holds the IDs of endpoints that must not be selected again.
		Tried []string
		// TimeLeft is the time until the request's deadline.
		TimeLeft time.Duration
		// TargetLatency is the longest time to the first event that callers
		// accept as on time; 0 means none.
		TargetLatency time.Duration
		// Priority is 0 for the most urgent requests.
		Priority int
	}

	// PromptPart is a section of a prompt that several requests may share.
	PromptPart struct {
		ID     uint64
		Tokens int
	}

	// Choice is the endpoint selected for an attempt, with the reasons for it.
	Choice struct {
		Endpoint   string
		Address    netip.AddrPort
		DataCentre string
		Version    string
		// ExpectedLatency is the estimated time to the first event.
		ExpectedLatency time.Duration
		// UncachedTokens is the number of prompt tokens that the endpoint must
		// process because it has not cached them.
		UncachedTokens float64
		// Running is the known number of requests running at the endpoint.
		Running int
		// Candidates is the number of endpoints that passed the filters.
		Candidates int
		// AffinityRank is 1 or 2 if the endpoint is the first or second one that
		// is preferred for the request's shared prefix, and 0 otherwise.
		AffinityRank int
		// RecentlyStarted is set if the endpoint was first seen so recently that
		// its latency does not reflect its version.
		RecentlyStarted bool

		endpoint *endpoint
		service  string
		priority int
		// idleLatency is the expected time to the first event on an idle
		// endpoint.
		idleLatency    time.Duration
		pendingCleared bool
	}

	// Refusal tells why no endpoint was selected and when to retry.
	Refusal struct {
		Reason     Reason
		RetryAfter time.Duration
		// Excluded is the number of endpoints that each filter has excluded.
		Excluded map[Reason]int
	}

	// Reason is the filter that excluded the last endpoint, or another cause of
	// a refusal.
	Reason string
)

// Reasons for refusals. Those of the filters are in the order in which the
// filters are applied.
const (
	ReasonNoEndpoint    Reason = "no_endpoint"
	ReasonDataCentreOut Reason = "data_centre_out"
	ReasonLeaving       Reason = "leaving"
	ReasonVersion       Reason = "version"
	ReasonBlocked       Reason = "blocked"
	ReasonTried         Reason = "tried"
	ReasonCold          Reason = "cold"
	ReasonFull          Reason = "full"
	ReasonNoTimeLeft    Reason = "no_time_left"
)

const (
	// remotePenaltyEngine and remotePenaltyPlain are added to the score of an
	// endpoint in another data centre: traffic between data centres is billed,
	// and the transit time delays each answer.
	remotePenaltyEngine = 150 * time.Millisecond
	remotePenaltyPlain  = 15 * time.Millisecond
	// prefixBonusFactor is the score bonus of the endpoint that has probably
	// cached the shared prompt parts, as a multiple of the time to process them.
	// Processing a prompt again takes that time from all requests that wait at
	// the endpoint, and cache memory from other prompts.
	prefixBonusFactor = 4
	// maxPrefixBonus limits how long requests wait for a cached prefix.
	maxPrefixBonus = 450 * time.Millisecond
	// secondAffinityShare is the fraction of the bonus for the endpoint that takes
	// requests with the prefix while the first one is busy.
	secondAffinityShare = 0.5
	// affinityTargetShare is the fraction of a request's target latency within
	// which the first event must be expected for the bonus to apply.
	affinityTargetShare = 0.6
	// maxFreshDigestInterval is the longest interval between digests at which the
	// others' load is known well enough to choose among all endpoints. sampleSize
	// is the number of endpoints that are sampled otherwise.
	maxFreshDigestInterval = 300 * time.Millisecond
	sampleSize             = 3
	// scoreJitter is the largest random addition to a score. Smaller differences
	// are below the accuracy of the estimates; the randomness keeps gateways
	// with the same information from all choosing the same endpoint.
	scoreJitter = 5 * time.Millisecond
	// fullBatchSlowdown is the relative increase of the time per step when the
	// batch is full.
	fullBatchSlowdown = 0.5
	// typicalSlotTime is how long a request usually occupies a slot; an endpoint
	// with n slots, all in use, frees one every typicalSlotTime/n.
	typicalSlotTime = 2 * time.Second
	// failurePenalty is added to the score in proportion to the excess of an
	// endpoint's failure rate over that of its service.
	failurePenalty = 3 * time.Second
	// usableConnShare is the fraction of an endpoint's connection limit that is
	// used; the rest is left for connections that are being opened or closed.
	usableConnShare = 0.85
	// retryJitter is the largest random addition to a retry time, so that callers
	// that were refused together do not return together.
	retryJitter = 500 * time.Millisecond
	// defaultRetryAfter is the retry time if it is unknown when an endpoint will
	// have capacity.
	defaultRetryAfter = 500 * time.Millisecond
	// baseFirstEventLatency is the part of the time to the first event that does
	// not depend on the prompt.
	baseFirstEventLatency = 40 * time.Millisecond
	// refusedDemandWeight is the fraction of a request's endpoint time that a
	// refused attempt adds to the demand; a refused caller usually makes two
	// attempts.
	refusedDemandWeight = 0.5
	// promptCacheLifetime is how long an unused prompt part is assumed to stay
	// cached; engines evict the least recently used parts.
	promptCacheLifetime = 30 * time.Second
	// recentStartPeriod is how long an endpoint is assumed to be slow after it
	// was first seen.
	recentStartPeriod = 4 * time.Second
	// defaultPlainLatency is the assumed latency of a plain service until one has
	// been measured.
	defaultPlainLatency = 20 * time.Millisecond
)

// Error returns the reason of the refusal and what to do about it.
func (r *Refusal) Error() string {
	return fmt.Sprintf("no endpoint available: %s (endpoints excluded: %v); retry after %s or add endpoints", r.Reason, r.Excluded, r.RetryAfter)
}

// Pick selects the endpoint with the lowest score, which is the expected time to
// the first event with additions for distance and failures. The caller must call
// Begin with the choice before it sends anything.
func (f *Fleet) Pick(r Request, now time.Time) (*Choice, *Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, cfg := f.service(r.Service), f.serviceConfig(r.Service)
	if cfg == nil {
		return nil, &Refusal{Reason: ReasonNoEndpoint, RetryAfter: defaultRetryAfter}
	}
	onSplitVersion := s.assignsSplitVersion(r.ID)
	best, refusal := f.bestChoice(s, cfg, r, onSplitVersion, now)
	if best == nil && onSplitVersion {
		// If the version of the split cannot take its share, the other versions
		// take it. Their own requests never go to the version that is on trial.
		best, refusal = f.bestChoice(s, cfg, r, false, now)
	}
	if best == nil {
		return nil, refusal
	}
	if limit := f.latencyLimit(cfg, r, best); best.ExpectedLatency > limit {
		refusal.Reason = ReasonNoTimeLeft
		// Refused requests count as demand, so that endpoints are added for them;
		// the caller usually retries once.
		s.demand.Requests++
		s.demand.PrefillSeconds += refusedDemandWeight * best.UncachedTokens / s.prefillRate
		refusal.RetryAfter = best.ExpectedLatency - limit + time.Duration(f.Rand.Int64N(int64(retryJitter)))
		return nil, refusal
	}
	return best, nil
}

// latencyLimit returns the expected time to the first event above which a
// request is refused. A queue that is too long for requests to start on time
// delays all later requests without serving more of them, so a prompt that would
// have to wait longer is refused immediately. The limit is at least twice the
// latency on an idle endpoint, so that large prompts are served too. Plain
// services and requests without a target are limited by their time left alone.
func (f *Fleet) latencyLimit(cfg *clcatalog.Service, r Request, c *Choice) time.Duration {
	if cfg.Engine == nil || r.TargetLatency <= 0 {
		return r.TimeLeft
	}
	return min(r.TimeLeft, max(r.TargetLatency, 2*c.idleLatency))
}

// bestChoice returns the endpoint with the lowest score on one side of the
// split, or nil, and the refusal to use if none is acceptable. If the best of the
// sampled endpoints exceeds the latency limit, all eligible ones are considered.
func (f *Fleet) bestChoice(s *service, cfg *clcatalog.Service, r Request, onSplitVersion bool, now time.Time) (*Choice, *Refusal) {
	refusal := &Refusal{Reason: ReasonNoEndpoint, RetryAfter: defaultRetryAfter, Excluded: map[Reason]int{}}
	eligible := make([]*endpoint, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		if reason := f.excludedBy(s, cfg, e, r, onSplitVersion, now); reason != "" {
			refusal.Excluded[reason]++
			refusal.Reason = reason
			continue
		}
		eligible = append(eligible, e)
	}
	affinity, bonus := f.affinityEndpoints(s, r, now)
	sampled := f.sampleEndpoints(cfg, eligible, affinity)
	best := f.lowestScore(s, cfg, r, sampled, affinity, bonus, now)
	if best != nil && best.ExpectedLatency > f.latencyLimit(cfg, r, best) && len(sampled) < len(eligible) {
		best = f.lowestScore(s, cfg, r, eligible, affinity, bonus, now)
	}
	if best != nil {
		best.Candidates = len(eligible)
	}
	return best, refusal
}

// sampleEndpoints returns the endpoints among which the best is chosen. If the
// others' load is reported late, all gateways would send to the same few endpoints
// that were idle a while ago; choosing the best of a small random sample spreads
// the requests (Mitzenmacher, "How Useful Is Old Information?", 2000). The
// sample prefers this gateway's data centre and includes the eligible endpoints
// that are preferred for the request's prefix.
func (f *Fleet) sampleEndpoints(cfg *clcatalog.Service, eligible []*endpoint, affinity [2]*endpoint) []*endpoint {
	if f.digestInterval <= maxFreshDigestInterval || cfg.Engine == nil || len(eligible) <= sampleSize {
		return eligible
	}
	var local, remote []*endpoint
	var sampled []*endpoint
	for _, e := range eligible {
		switch {
		case e == affinity[0] || e == affinity[1]:
			sampled = append(sampled, e)
		case e.DataCentre == f.DataCentre:
			local = append(local, e)
		default:
			remote = append(remote, e)
		}
	}
	if len(local) == 0 {
		local = remote
	}
	for range min(sampleSize, len(local)) {
		i := f.Rand.IntN(len(local))
		sampled = append(sampled, local[i])
		local[i] = local[len(local)-1]
		local = local[:len(local)-1]
	}
	return sampled
}

// lowestScore returns the endpoint with the lowest score, or nil if there are no
// endpoints. bonus is subtracted from the score of the first affinity endpoint,
// and a fraction of it from that of the second.
func (f *Fleet) lowestScore(s *service, cfg *clcatalog.Service, r Request, endpoints []*endpoint, affinity [2]*endpoint, bonus time.Duration, now time.Time) *Choice {
	var best *Choice
	bestScore := time.Duration(math.MaxInt64)
	for _, e := range endpoints {
		c := f.estimate(s, cfg, e, r, now)
		score := f.score(s, cfg, c, now)
		c.AffinityRank = slices.Index(affinity[:], e) + 1
		if r.TargetLatency <= 0 || c.ExpectedLatency < time.Duration(affinityTargetShare*float64(r.TargetLatency)) {
			switch c.AffinityRank {
			case 1:
				score -= bonus
			case 2:
				score -= time.Duration(secondAffinityShare * float64(bonus))
			}
		}
		score += time.Duration(f.Rand.Int64N(int64(scoreJitter)))
		if score < bestScore {
			best, bestScore = c, score
		}
	}
	return best
}

// excludedBy returns the reason of the first filter that excludes the endpoint for
// the request, or "".
func (f *Fleet) excludedBy(s *service, cfg *clcatalog.Service, e *endpoint, r Request, onSplitVersion bool, now time.Time) Reason {
	switch {
	case f.excludedDataCentres[e.DataCentre]:
		return ReasonDataCentreOut
	case e.Leaving:
		return ReasonLeaving
	case !s.allowsVersion(e.Version, onSplitVersion, now):
		return ReasonVersion
	case now.Before(e.blockedUntil):
		return ReasonBlocked
	case slices.Contains(r.Tried, e.ID):
		return ReasonTried
	case !f.hasColdCapacity(cfg, e, now):
		return ReasonCold
	case cfg.MaxConns > 0 && e.conns >= max(1, int(float64(cfg.MaxConns)*usableConnShare/float64(f.gatewayCount()))):
		return ReasonFull
	}
	return ""
}

// assignsSplitVersion reports whether a request belongs to the share of the
// split's version. The assignment is a hash of the request ID, so that all
// gateways agree on it.
func (s *service) assignsSplitVersion(requestID string) bool {
	return s.split.Active && float64(xxhash.Sum64String("version/"+requestID)>>11)/(1<<53) < s.split.Share
}

// allowsVersion reports whether a request may go to a version. Without an active
// split, a version that appears beside another one waits for newVersionDelay.
func (s *service) allowsVersion(version string, onSplitVersion bool, now time.Time) bool {
	if s.split.Active {
		return (version == s.split.Version) == onSplitVersion
	}
	return len(s.versionFirstSeen) <= 1 || now.Sub(s.versionFirstSeen[version]) >= newVersionDelay
}

// estimate returns a choice of the endpoint with the expected time to the first
// event.
func (f *Fleet) estimate(s *service, cfg *clcatalog.Service, e *endpoint, r Request, now time.Time) *Choice {
	load := f.totalLoad(e)
	c := &Choice{
		Endpoint: e.ID, Address: e.Address, DataCentre: e.DataCentre, Version: e.Version,
		Running: load.Running, RecentlyStarted: now.Sub(e.firstSeen) < recentStartPeriod, endpoint: e, service: r.Service, priority: clampPriority(r.Priority),
	}
	slots := max(1, e.Slots)
	utilization := float64(load.Running) / float64(slots)
	var expected float64
	if cfg.Engine == nil {
		latency := s.plainLatency
		if latency == 0 {
			latency = defaultPlainLatency
		}
		expected = latency.Seconds() * (1 + utilization)
	} else {
		c.UncachedTokens = e.uncachedTokens(r.Parts, now)
		expected = baseFirstEventLatency.Seconds() + (load.Pending.aheadOf(r.Priority)+c.UncachedTokens)/s.prefillRate*(1+fullBatchSlowdown*utilization)
		if excess := load.Running - slots; excess >= 0 {
			expected += typicalSlotTime.Seconds() * float64(excess+1) / float64(slots)
		}
	}
	c.ExpectedLatency = time.Duration(expected * e.latencyFactor * float64(time.Second))
	c.idleLatency = time.Duration((baseFirstEventLatency.Seconds() + c.UncachedTokens/s.prefillRate) * float64(time.Second))
	return c
}

// score returns the cost of the choice, expressed as a time.
func (f *Fleet) score(s *service, cfg *clcatalog.Service, c *Choice, now time.Time) time.Duration {
	score := c.ExpectedLatency
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

// affinityEndpoints returns the two endpoints that are preferred for the request's
// shared prefix, and the score bonus of the first. They are selected by rendezvous
// hashing, so that the gateways agree without communication. A prefix whose bonus
// reaches the penalty for another data centre has its two endpoints in any data
// centre; other prefixes have two in each data centre.
func (f *Fleet) affinityEndpoints(s *service, r Request, now time.Time) (affinity [2]*endpoint, bonus time.Duration) {
	if len(r.Parts) < 2 {
		return affinity, 0
	}
	sharedTokens := 0
	for _, p := range r.Parts[:len(r.Parts)-1] {
		sharedTokens += p.Tokens
	}
	bonus = min(maxPrefixBonus, time.Duration(prefixBonusFactor*float64(sharedTokens)/s.prefillRate*float64(time.Second)))
	key := r.Parts[len(r.Parts)-2].ID
	var hashes [2]uint64
	for _, e := range s.endpoints {
		if e.Leaving || f.excludedDataCentres[e.DataCentre] || now.Before(e.coldUntil) || bonus < remotePenaltyEngine && e.DataCentre != f.DataCentre {
			continue
		}
		switch h := mix64(e.hash ^ key*0x9e3779b97f4a7c15); {
		case affinity[0] == nil || h > hashes[0]:
			affinity[0], affinity[1], hashes[0], hashes[1] = e, affinity[0], h, hashes[0]
		case affinity[1] == nil || h > hashes[1]:
			affinity[1], hashes[1] = e, h
		}
	}
	return affinity, bonus
}

// mix64 is the finalizer of the splitmix64 generator.
func mix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// uncachedTokens returns the number of prompt tokens that the endpoint must
// process: those from the first part on that it has probably not cached.
func (e *endpoint) uncachedTokens(parts []PromptPart, now time.Time) float64 {
	total := 0
	hit := true
	for _, p := range parts {
		if hit {
			lastSent, ok := e.promptCache[p.ID]
			hit = ok && now.Sub(lastSent) < promptCacheLifetime
		}
		if !hit {
			total += p.Tokens
		}
	}
	return float64(total)
}
