// This file defines the choice of an endpoint.

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
	// Request is what a choice depends on.
	Request struct {
		ID      string
		Service string
		// Parts are the prompt's parts in order; the last one is the request's own.
		Parts []PromptPart
		// Tried endpoints are not chosen again.
		Tried []string
		// TimeLeft is the time until the request must have been answered.
		TimeLeft time.Duration
		// TargetLatency is the time to the first event that callers count as on time;
		// 0 means none.
		TargetLatency time.Duration
		// Priority is the request's urgency, 0 being the highest.
		Priority int
	}

	// PromptPart is a piece of a prompt that requests may share.
	PromptPart struct {
		ID     uint64
		Tokens int
	}

	// Choice is the endpoint of an attempt, with what decided it.
	Choice struct {
		Endpoint   string
		Address    netip.AddrPort
		DataCentre string
		Version    string
		// ExpectedLatency is the estimated time to the first event.
		ExpectedLatency time.Duration
		// UncachedTokens is the number of prompt tokens that the endpoint must read.
		UncachedTokens float64
		// Running is the known number of requests at the endpoint.
		Running int
		// Candidates is the number of endpoints that passed the filters.
		Candidates int
		// AffinityRank says which of the endpoints that share the request's prompt this
		// is: 1 or 2, or 0 for none of them.
		AffinityRank int
		// RecentlyStarted says that the endpoint has started so recently that its
		// speed says nothing about its version.
		RecentlyStarted bool

		e       *endpoint
		service string
		rank    int
		// alone is the expected time to the first event on an idle endpoint.
		alone   time.Duration
		started bool
	}

	// Refusal says why no endpoint was chosen, and when to try again.
	Refusal struct {
		Reason     Reason
		RetryAfter time.Duration
		// Excluded says how many endpoints each filter has excluded.
		Excluded map[Reason]int
	}

	// Reason is the last filter that excluded an endpoint.
	Reason string
)

// Filters, in order.
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
	// otherDataCentreEngine and otherDataCentrePlain are what a longer way
	// counts as: bytes between data centres are billed, and the time is added
	// to each answer.
	otherDataCentreEngine = 150 * time.Millisecond
	otherDataCentrePlain  = 15 * time.Millisecond
	// sharedWorth is how many times the time to read the shared prompt parts
	// counts in favour of the endpoint that has probably cached them: a prompt
	// that is read again takes that time from all that wait there, and memory
	// from other prompts.
	sharedWorth = 4
	// mostSharedWorth keeps requests from waiting long for a cached prefix.
	mostSharedWorth = 450 * time.Millisecond
	// secondHome is the part of that for the endpoint that takes requests with
	// the prefix while the first one is busy.
	secondHome = 0.5
	// homeTargetUse is the part of a request's target within which its first
	// event must be expected for the preference to count.
	homeTargetUse = 0.6
	// freshDigests is the time between two digests up to which the others' work
	// is known well enough to choose among all endpoints, and drawnEndpoints how
	// many are chosen among otherwise.
	freshDigests   = 300 * time.Millisecond
	drawnEndpoints = 3
	// alike are scores that differ by less than what estimates are good for;
	// among these the choice is random, so that gateways with the same facts
	// do not all choose the same endpoint.
	alike = 5 * time.Millisecond
	// slotSlowdown is how much slower a full batch makes each step.
	slotSlowdown = 0.5
	// fullWait is how long a request usually holds a slot; with n slots one of
	// a full endpoint becomes free every fullWait/n.
	fullWait = 2 * time.Second
	// failurePenalty is what an endpoint's failures beyond its service's count as.
	failurePenalty = 3 * time.Second
	// connShare leaves a part of the connections that an endpoint accepts for
	// connections that end or begin.
	connShare = 0.85
	// retrySpread keeps callers that were refused at once from returning at once.
	retrySpread = 500 * time.Millisecond
	// retrySoon is when to come back if nothing is known about when room is expected.
	retrySoon = 500 * time.Millisecond
	// firstEventBase is the part of a first event's latency that does not
	// depend on the prompt.
	firstEventBase = 40 * time.Millisecond
	// refusedLoad is what one of a caller's usual two refused attempts counts of
	// the request's load.
	refusedLoad = 0.5
	// cacheLifetime is how long a prompt part is believed to stay cached
	// without being used; engines drop the least recently used ones.
	cacheLifetime = 30 * time.Second
	// startingFor is how long an endpoint counts as slow after it was first seen.
	startingFor = 4 * time.Second
	// plainLatency is assumed of a plain service until it is learnt.
	plainLatency = 20 * time.Millisecond
)

// Error returns the reason and the remedy.
func (r *Refusal) Error() string {
	return fmt.Sprintf("no endpoint (%s, excluded %v): try again after %s, or order more endpoints", r.Reason, r.Excluded, r.RetryAfter)
}

// Pick chooses the endpoint with the lowest expected time to the first event.
// The caller calls Begin on the choice before it sends anything.
func (f *Fleet) Pick(r Request, now time.Time) (*Choice, *Refusal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, d := f.service(r.Service), f.describe(r.Service)
	if d == nil {
		return nil, &Refusal{Reason: ReasonNoEndpoint, RetryAfter: retrySoon}
	}
	useNew := s.assignsNew(r.ID)
	best, refusal := f.best(s, d, r, useNew, now)
	if best == nil && useNew {
		// A new version that cannot take its share leaves it to the old one;
		// the old one's requests never go to a version that is on trial.
		best, refusal = f.best(s, d, r, false, now)
	}
	if best == nil {
		return nil, refusal
	}
	if limit := f.limit(d, r, best); best.ExpectedLatency > limit {
		refusal.Reason = ReasonNoTimeLeft
		// What is refused is load too, for which endpoints are to be ordered;
		// its caller usually comes back once.
		s.demand.Requests++
		s.demand.PrefillSeconds += refusedLoad * best.UncachedTokens / s.readRate
		refusal.RetryAfter = best.ExpectedLatency - limit + time.Duration(f.Rand.Int64N(int64(retrySpread)))
		return nil, refusal
	}
	return best, nil
}

// limit returns the expected time to the first event above which a request is
// refused. A queue that grows beyond what is on time makes all later requests
// late and serves none more, so that a prompt that would have to wait behind
// others for longer is refused at once.
func (f *Fleet) limit(d *clcatalog.Service, r Request, c *Choice) time.Duration {
	if d.Engine == nil || r.TargetLatency <= 0 {
		return r.TimeLeft
	}
	return min(r.TimeLeft, max(r.TargetLatency, 2*c.alone))
}

// best returns the endpoint with the lowest score of one side of the split, or nil.
func (f *Fleet) best(s *service, d *clcatalog.Service, r Request, useNew bool, now time.Time) (*Choice, *Refusal) {
	refusal := &Refusal{Reason: ReasonNoEndpoint, RetryAfter: retrySoon, Excluded: map[Reason]int{}}
	eligible := make([]*endpoint, 0, len(s.endpoints))
	for _, e := range s.endpoints {
		if reason := f.exclude(s, d, e, r, useNew, now); reason != "" {
			refusal.Excluded[reason]++
			refusal.Reason = reason
			continue
		}
		eligible = append(eligible, e)
	}
	homes, bonus := f.homes(s, r, now)
	considered := f.consider(d, eligible, homes)
	best := f.lowest(s, d, r, considered, homes, bonus, now)
	if best != nil && best.ExpectedLatency > f.limit(d, r, best) && len(considered) < len(eligible) {
		best = f.lowest(s, d, r, eligible, homes, bonus, now)
	}
	if best != nil {
		best.Candidates = len(eligible)
	}
	return best, refusal
}

// consider returns the endpoints among which the best is chosen. When the
// others' work is known late, all gateways would send to the same few that were
// idle a while ago; a few drawn at random, of which the better one is taken,
// spread the requests (Mitzenmacher, "How Useful Is Old Information?", 2000).
func (f *Fleet) consider(d *clcatalog.Service, eligible []*endpoint, homes [2]*endpoint) []*endpoint {
	if f.digestInterval <= freshDigests || d.Engine == nil || len(eligible) <= drawnEndpoints {
		return eligible
	}
	var near, far []*endpoint
	var out []*endpoint
	for _, e := range eligible {
		switch {
		case e == homes[0] || e == homes[1]:
			out = append(out, e)
		case e.DataCentre == f.DataCentre:
			near = append(near, e)
		default:
			far = append(far, e)
		}
	}
	if len(near) == 0 {
		near = far
	}
	for range min(drawnEndpoints, len(near)) {
		i := f.Rand.IntN(len(near))
		out = append(out, near[i])
		near[i] = near[len(near)-1]
		near = near[:len(near)-1]
	}
	return out
}

// lowest returns the endpoint with the lowest score, or nil if there is none.
func (f *Fleet) lowest(s *service, d *clcatalog.Service, r Request, among []*endpoint, homes [2]*endpoint, bonus time.Duration, now time.Time) *Choice {
	var best *Choice
	bestScore := time.Duration(math.MaxInt64)
	for _, e := range among {
		c := f.estimate(s, d, e, r, now)
		score := f.score(s, d, c, now)
		c.AffinityRank = slices.Index(homes[:], e) + 1
		if r.TargetLatency <= 0 || c.ExpectedLatency < time.Duration(homeTargetUse*float64(r.TargetLatency)) {
			switch c.AffinityRank {
			case 1:
				score -= bonus
			case 2:
				score -= time.Duration(secondHome * float64(bonus))
			}
		}
		score += time.Duration(f.Rand.Int64N(int64(alike)))
		if score < bestScore {
			best, bestScore = c, score
		}
	}
	return best
}

// exclude returns the filter that keeps the endpoint from the request, or "".
func (f *Fleet) exclude(s *service, d *clcatalog.Service, e *endpoint, r Request, useNew bool, now time.Time) Reason {
	switch {
	case f.out[e.DataCentre]:
		return ReasonDataCentreOut
	case e.Leaving:
		return ReasonLeaving
	case !s.allows(e.Version, useNew, now):
		return ReasonVersion
	case now.Before(e.blockedUntil):
		return ReasonBlocked
	case slices.Contains(r.Tried, e.ID):
		return ReasonTried
	case !f.coldAllows(d, e, now):
		return ReasonCold
	case d.MaxConns > 0 && e.conns >= max(1, int(float64(d.MaxConns)*connShare/float64(f.gateways()))):
		return ReasonFull
	}
	return ""
}

// assignsNew reports whether a request belongs to the share of a new version.
func (s *service) assignsNew(requestID string) bool {
	return s.split.Active && float64(xxhash.Sum64String("version/"+requestID)>>11)/(1<<53) < s.split.Share
}

// allows reports whether a request may go to a version.
func (s *service) allows(version string, useNew bool, now time.Time) bool {
	if s.split.Active {
		return (version == s.split.Version) == useNew
	}
	return len(s.versions) <= 1 || now.Sub(s.versions[version]) >= newVersionHold
}

// estimate returns the endpoint as a choice with its expected time to the first event.
func (f *Fleet) estimate(s *service, d *clcatalog.Service, e *endpoint, r Request, now time.Time) *Choice {
	b := f.busy(e)
	c := &Choice{
		Endpoint: e.ID, Address: e.Address, DataCentre: e.DataCentre, Version: e.Version,
		Running: b.Running, RecentlyStarted: now.Sub(e.since) < startingFor, e: e, service: r.Service, rank: bounded(r.Priority),
	}
	slots := max(1, e.Slots)
	fill := float64(b.Running) / float64(slots)
	var expected float64
	if d.Engine == nil {
		latency := s.latency
		if latency == 0 {
			latency = plainLatency
		}
		expected = latency.Seconds() * (1 + fill)
	} else {
		c.UncachedTokens = e.unread(r.Parts, now)
		expected = firstEventBase.Seconds() + (b.Pending.upTo(r.Priority)+c.UncachedTokens)/s.readRate*(1+slotSlowdown*fill)
		if over := b.Running - slots; over >= 0 {
			expected += fullWait.Seconds() * float64(over+1) / float64(slots)
		}
	}
	c.ExpectedLatency = time.Duration(expected * e.factor * float64(time.Second))
	c.alone = time.Duration((firstEventBase.Seconds() + c.UncachedTokens/s.readRate) * float64(time.Second))
	return c
}

// score returns what the choice costs, as a time.
func (f *Fleet) score(s *service, d *clcatalog.Service, c *Choice, now time.Time) time.Duration {
	score := c.ExpectedLatency
	if c.DataCentre != f.DataCentre {
		if d.Engine != nil {
			score += otherDataCentreEngine
		} else {
			score += otherDataCentrePlain
		}
	}
	c.e.failures.decay(now)
	s.failures.decay(now)
	if excess := c.e.failures.value - s.failures.value; excess > 0 {
		score += time.Duration(excess * float64(failurePenalty))
	}
	return score
}

// homes returns the two endpoints that rank highest for the request's shared
// prefix, so that the gateways agree without exchange, and how much the first is
// preferred. A prefix that is worth more than the way to another data centre has
// its homes in any of them, and another one in each.
func (f *Fleet) homes(s *service, r Request, now time.Time) (homes [2]*endpoint, bonus time.Duration) {
	if len(r.Parts) < 2 {
		return homes, 0
	}
	shared := 0
	for _, p := range r.Parts[:len(r.Parts)-1] {
		shared += p.Tokens
	}
	bonus = min(mostSharedWorth, time.Duration(sharedWorth*float64(shared)/s.readRate*float64(time.Second)))
	key := r.Parts[len(r.Parts)-2].ID
	var ranks [2]uint64
	for _, e := range s.endpoints {
		if e.Leaving || f.out[e.DataCentre] || now.Before(e.coldUntil) || bonus < otherDataCentreEngine && e.DataCentre != f.DataCentre {
			continue
		}
		switch h := mix(e.hash ^ key*0x9e3779b97f4a7c15); {
		case homes[0] == nil || h > ranks[0]:
			homes[0], homes[1], ranks[0], ranks[1] = e, homes[0], h, ranks[0]
		case homes[1] == nil || h > ranks[1]:
			homes[1], ranks[1] = e, h
		}
	}
	return homes, bonus
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// unread returns the prompt tokens that the endpoint must read: those from the
// first part on that it has not cached.
func (e *endpoint) unread(parts []PromptPart, now time.Time) float64 {
	total := 0
	hit := true
	for _, p := range parts {
		if hit {
			used, ok := e.cache[p.ID]
			hit = ok && now.Sub(used) < cacheLifetime
		}
		if !hit {
			total += p.Tokens
		}
	}
	return float64(total)
}
