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
		// ID identifies the request at all gateways and in all its attempts.
		ID string
		// Service is the name of the service that the request is for.
		Service string
		// Parts are the parts of the prompt in order. All but the last one may be
		// shared with other requests.
		Parts []PromptPart
		// Tried holds the IDs of the endpoints of earlier attempts, which must not
		// be selected again. It is empty for the first attempt.
		Tried []string
		// TimeLeft is the time until the request's deadline.
		TimeLeft time.Duration
		// TargetLatency is the longest time to the first event that callers
		// accept as on time; 0 means that there is no target.
		TargetLatency time.Duration
		// Priority is 0 for the most urgent requests and greater for less urgent
		// ones.
		Priority int
	}

	// PromptPart is a section of a prompt that several requests may share.
	PromptPart struct {
		// ID is the same for equal parts of different prompts.
		ID uint64
		// Tokens is the number of tokens of the part.
		Tokens int
	}

	// Choice is the endpoint selected for an attempt, with the figures that led to
	// the selection.
	Choice struct {
		// Endpoint is the ID of the endpoint; Born, Address, DataCentre and Version
		// are those of the endpoint.
		Endpoint   string
		Born       int64
		Address    netip.AddrPort
		DataCentre string
		Version    string
		// ExpectedLatency is the estimated time to the first event.
		ExpectedLatency time.Duration
		// UncachedTokens is the number of prompt tokens that the endpoint must
		// process because it has probably not cached them; 0 for a plain service.
		UncachedTokens float64
		// Running is the known number of requests running at the endpoint,
		// without the one that the choice is for.
		Running int
		// Candidates is the number of endpoints that no filter has excluded.
		Candidates int
		// AffinityRank is 1 or 2 if the endpoint is the first or second affinity
		// endpoint of the request, and 0 otherwise.
		AffinityRank int
		// RecentlyStarted is set if the endpoint was first seen so recently that
		// its latency does not reflect its version.
		RecentlyStarted bool

		// endpoint is the state of the selected endpoint, and service the name of
		// the request's service. priority is the request's priority level, at
		// which Begin adds UncachedTokens to the endpoint's pending tokens.
		endpoint *endpoint
		service  string
		priority int
		// idleLatency is the expected time to the first event if the endpoint
		// were idle.
		idleLatency time.Duration
		// pendingCleared is set once UncachedTokens is no longer part of the
		// endpoint's pending tokens.
		pendingCleared bool
	}

	// Refusal tells why no endpoint was selected and when to retry.
	Refusal struct {
		// Reason is the filter that excluded the endpoint examined last, or
		// ReasonNoEndpoint or ReasonNoTimeLeft.
		Reason Reason
		// AfterShed is set if Reason is ReasonBlocked because the endpoint has shed a
		// request, and has not been unreachable since its latest complete answer.
		AfterShed bool
		// RetryAfter is the time after which the caller may retry.
		RetryAfter time.Duration
		// Excluded holds the number of endpoints that each filter has excluded.
		Excluded map[Reason]int
	}

	// Reason is a cause of a refusal: a filter that excludes endpoints, or another
	// cause. Other packages may define further reasons.
	Reason string
)

// Reasons for refusals. ReasonDataCentreOut to ReasonFull name the filters, in the
// order in which the filters are applied to an endpoint.
const (
	// ReasonNoEndpoint means that the service is not configured or has no
	// endpoints.
	ReasonNoEndpoint Reason = "no_endpoint"
	// ReasonDataCentreOut excludes the endpoints of excluded data centres.
	ReasonDataCentreOut Reason = "data_centre_out"
	// ReasonLeaving excludes endpoints that are draining, by the registry or by their
	// own word.
	ReasonLeaving Reason = "leaving"
	// ReasonQuiet excludes endpoints that want no requests from this gateway for some
	// time.
	ReasonQuiet Reason = "quiet"
	// ReasonVersion excludes versions to which the request may not go.
	ReasonVersion Reason = "version"
	// ReasonBlocked excludes endpoints shortly after they could not be reached or
	// have shed a request.
	ReasonBlocked Reason = "blocked"
	// ReasonTried excludes the endpoints of earlier attempts.
	ReasonTried Reason = "tried"
	// ReasonCold excludes cold endpoints that tolerate no further request from
	// this gateway now.
	ReasonCold Reason = "cold"
	// ReasonReturning excludes endpoints that were quiet until recently and already run
	// as many requests of this gateway as they are to get for the time being.
	ReasonReturning Reason = "returning"
	// ReasonFull excludes endpoints to which this gateway has as many connections
	// as its share of the endpoint's connection limit allows.
	ReasonFull Reason = "full"
	// ReasonNoTimeLeft means that the first event of the best choice is expected
	// too late.
	ReasonNoTimeLeft Reason = "no_time_left"
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
	// usableConnShare is the fraction of an endpoint's connection limit that is
	// used; the rest is left for connections that are being opened or closed.
	usableConnShare = 0.85
	// maxRetryJitter is the largest random addition to a retry time, so that callers
	// that were refused together do not return together.
	maxRetryJitter = 500 * time.Millisecond
	// defaultRetryAfter is the RetryAfter of refusals if it is unknown when an
	// endpoint will have capacity.
	defaultRetryAfter = 500 * time.Millisecond
	// baseFirstEventLatency is the part of the time to the first event that does
	// not depend on the prompt.
	baseFirstEventLatency = 40 * time.Millisecond
	// refusedDemandWeight is the fraction of a request's prefill time that each
	// refusal adds to the demand. A refused caller usually retries once, so a
	// request is usually refused twice.
	refusedDemandWeight = 0.5
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

// Error returns why no endpoint was selected and what to do about it.
func (r *Refusal) Error() string {
	return fmt.Sprintf("no endpoint available: %s (endpoints excluded: %v); retry after %s or add endpoints", r.Reason, r.Excluded, r.RetryAfter)
}

// Pick selects the endpoint with the lowest score. It returns a refusal if all
// endpoints are excluded, or if the selected endpoint's first event is expected later
// than latencyLimit allows. The score is the expected time to the first event with
// additions for another data centre and for failures and a small random one, less a
// bonus for affinity endpoints. The caller must call Begin with the choice before
// it sends anything.
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
	var best *Choice
	bestScore := time.Duration(math.MaxInt64)
	for _, e := range endpoints {
		c := f.estimate(s, cfg, e, r, now)
		score := f.baseScore(s, cfg, c, now)
		c.AffinityRank = slices.Index(affinityPair[:], e) + 1
		if r.TargetLatency <= 0 || c.ExpectedLatency < time.Duration(affinityTargetShare*float64(r.TargetLatency)) {
			switch c.AffinityRank {
			case 1:
				score -= affinityBonus
			case 2:
				score -= time.Duration(secondAffinityShare * float64(affinityBonus))
			}
		}
		score += time.Duration(f.Rand.Int64N(int64(maxScoreJitter)))
		if score < bestScore {
			best, bestScore = c, score
		}
	}
	return best
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

// estimate returns the choice of the endpoint e, with its expected time to the
// first event and the other estimates for the request.
func (f *Fleet) estimate(s *service, cfg *clcatalog.Service, e *endpoint, r Request, now time.Time) *Choice {
	load := f.totalLoad(e)
	c := &Choice{
		Endpoint: e.ID, Born: e.Born, Address: e.Address, DataCentre: e.DataCentre, Version: e.Version,
		Running: load.Running, RecentlyStarted: now.Sub(e.firstSeen) < recentStartPeriod, endpoint: e, service: r.Service, priority: clampPriority(r.Priority),
	}
	slots := max(1, e.Slots)
	utilization := float64(load.Running) / float64(slots)
	var expectedSeconds float64
	if cfg.Engine == nil {
		latency := s.plainLatency
		if latency == 0 {
			latency = defaultPlainLatency
		}
		expectedSeconds = latency.Seconds() * (1 + utilization)
	} else {
		c.UncachedTokens = e.uncachedTokens(r.Parts, now)
		expectedSeconds = baseFirstEventLatency.Seconds() + (load.Pending.aheadOf(r.Priority)+c.UncachedTokens)/s.prefillRate*(1+fullBatchSlowdown*utilization)
		if excess := load.Running - slots; excess >= 0 {
			expectedSeconds += typicalSlotTime.Seconds() * float64(excess+1) / float64(slots)
		}
	}
	c.ExpectedLatency = time.Duration(expectedSeconds * e.latencyFactor * float64(time.Second))
	c.idleLatency = time.Duration((baseFirstEventLatency.Seconds() + c.UncachedTokens/s.prefillRate) * float64(time.Second))
	return c
}

// baseScore returns the score of the choice without the affinity bonus and the random
// addition: the expected time to the first event, plus a penalty for another data
// centre and one for failures in excess of the service's rate.
func (f *Fleet) baseScore(s *service, cfg *clcatalog.Service, c *Choice, now time.Time) time.Duration {
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
