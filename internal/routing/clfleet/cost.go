// This file chooses endpoints by the likely cost of requests.

package clfleet

import (
	"math"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/chestnutlead/chestnutlead/internal/routing/clcost"
)

type (
	// costs is what is known of the costs of a service's requests.
	costs struct {
		// routes holds a model for each route, by its name.
		routes map[string]*clcost.Model
		// seconds and squares are the smoothed times for which requests occupy slots, and
		// their squares; 0 if unknown.
		seconds, squares float64
	}

	// requestCost is the likely cost of a request at any endpoint.
	requestCost struct {
		model   *clcost.Model
		request clcost.Request
		// promptFactor and workFactor are those of the model, and stream is the mean
		// time from the first event to the end.
		promptFactor, workFactor float64
		stream                   time.Duration
		memory                   float64
	}
)

const (
	// maxRoutes limits the models of a service; the routes beyond share one.
	maxRoutes = 64
	// pauseWeight is the weight of a second by which a prompt holds up a running
	// stream, as part of a second that the caller itself waits. With 0.1, the 95th
	// percentile of the pattern uneven_engines rose from 792 to 858 ms, since shared
	// prompts were read more often, and the pauses were no shorter.
	pauseWeight = 0.02
	// usableMemoryShare is the fraction of an engine's memory that running requests may
	// fill before further ones count as waiting: above it, an engine preempts requests.
	// In the pattern short_memory, 0.919 of the requests were on time with 1, 0.938 with
	// 0.8 and 0.947 with 0.7, with 1.0, 1.3 and 1.7 % refused.
	usableMemoryShare = 0.8
	// minPromptFactor and maxPromptFactor limit the learnt factor of prompt times, so that
	// delays with other causes do not lead to refusals at idle endpoints.
	minPromptFactor, maxPromptFactor = 0.5, 3
	// maxCalibrationWait is the largest expected wait, as a fraction of the prompt time,
	// with which the time to the first event shows the prompt time.
	maxCalibrationWait = 0.1
)

// costOf returns the likely cost of a request, by the model of its route.
func (s *service) costOf(cfg *clcatalog.Service, r Request, now time.Time) *requestCost {
	if s.costs.routes == nil {
		s.costs.routes = make(map[string]*clcost.Model)
	}
	m := s.costs.routes[r.Route]
	if m == nil && len(s.costs.routes) >= maxRoutes {
		m = s.costs.routes[""]
	}
	if m == nil {
		m = &clcost.Model{}
		name := r.Route
		if len(s.costs.routes) >= maxRoutes {
			name = ""
		}
		s.costs.routes[name] = m
	}
	q := &requestCost{model: m, request: clcost.Request{OutputHint: r.OutputTokens, MaxOutput: r.MaxOutputTokens}}
	for _, p := range r.Parts {
		q.request.PromptTokens += float64(p.Tokens)
	}
	q.promptFactor, q.workFactor = min(maxPromptFactor, max(minPromptFactor, m.PromptFactor(now))), m.WorkFactor(now)
	q.stream = time.Duration(m.Stream(q.request, now).Mean() * float64(time.Second))
	if cfg.Engine != nil {
		// No request can have more than an engine's memory, whatever its caller states.
		q.memory = math.Floor(min(m.MemoryTokens(q.request, now), float64(cfg.Engine.CacheTokens)))
	}
	return q
}

// promptSeconds returns the time that the request's prompt needs if uncached tokens of
// it are not cached.
func (q *requestCost) promptSeconds(uncached, rate float64) float64 {
	r := q.request
	r.UncachedTokens = uncached
	return clcost.PromptSeconds(r, rate) * q.promptFactor
}

// costSeconds returns the expected time to the first event at an engine, and sets the
// choice's estimates. slowdown is the engine's expected pace, relative to the mean.
//
// The choice among endpoints trusts the reported load less the older it may be: with 132
// gateways, whose digests are up to 0.88 s old, full trust raised the 95th percentile of
// the pattern same_old_news from 663 to 862 ms. Whether a request is refused depends on
// the load in full: with the trusted part only, 0.646 of the requests of the pattern
// burst_many were on time in place of 0.701.
func (f *Fleet) costSeconds(s *service, cfg *clcatalog.Service, e *endpoint, r Request, load Load, slowdown float64, c *Choice, now time.Time) float64 {
	q := r.cost
	c.cost = q
	c.UncachedTokens = e.uncachedTokens(r.Parts, now)
	trust := f.loadTrust()
	prompt := q.promptSeconds(c.UncachedTokens, s.prefillRate) * slowdown
	ahead := load.Pending.aheadOf(r.Priority) / s.prefillRate * slowdown
	// What this gateway has sent itself is known, and counts in full.
	own := e.pending.aheadOf(r.Priority) / s.prefillRate * slowdown
	crowding := fullBatchSlowdown * float64(load.Running) / float64(max(1, e.Slots))
	fixed := baseFirstEventLatency.Seconds() * slowdown
	c.idleLatency = duration(fixed + prompt)
	excess := q.excess(cfg, e, load)
	fixed += s.costs.lifetime() * excess
	c.showsPromptTime = excess == 0 && c.UncachedTokens >= minPrefillSampleTokens && ahead <= maxCalibrationWait*prompt
	c.crowding = 1 + crowding
	c.PromptWork, c.WorkAhead, c.StreamTime = duration(prompt), duration(ahead), q.stream
	c.Harm = duration(pauseWeight * trust * float64(load.Running) * prompt)
	c.trusted = duration((fixed + (own+trust*(ahead-own)+prompt)*(1+trust*crowding)) * e.latencyFactor)
	return fixed + (ahead+prompt)*(1+crowding)
}

// excess returns which part of the running requests must end before the endpoint has a
// slot and memory for the request.
func (q *requestCost) excess(cfg *clcatalog.Service, e *endpoint, load Load) float64 {
	slots := max(1, e.Slots)
	excess := max(0, float64(load.Running-slots+1)/float64(slots))
	usable := float64(cfg.Engine.CacheTokens) * usableMemoryShare
	if q.memory > usable {
		// A request that needs most of the memory can only have all that is left.
		usable = float64(cfg.Engine.CacheTokens)
	}
	if usable > 0 && load.Memory > 0 {
		excess = max(excess, min(1, (load.Memory+q.memory-usable)/load.Memory))
	}
	return excess
}

// duration returns a number of seconds as a duration.
func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// loadTrust returns the weight of load that digests report: the requests of which it
// speaks have often got further when it is used, and all gateways see the same.
func (f *Fleet) loadTrust() float64 {
	if f.digestInterval <= typicalPrefillTime {
		return 1
	}
	return typicalPrefillTime.Seconds() / f.digestInterval.Seconds()
}

// recordCost records what a request that was answered in whole has cost.
func (f *Fleet) recordCost(s *service, c *Choice, now time.Time) {
	if c.cost == nil || !c.firstAttempt || c.firstEventAfter <= 0 {
		return
	}
	q, pace := c.cost, 1.0
	if c.statedPace > 0 && s.meanPace > 0 {
		pace = c.statedPace / s.meanPace
	}
	if cfg := f.serviceConfig(c.service); cfg == nil || cfg.Engine == nil {
		if c.statedPace > 0 && c.endpoint.heard.Waiting == 0 {
			q.model.RecordWork(time.Duration(float64(c.firstEventAfter)/c.statedPace), s.usualWork(), now)
		}
		c.predicted, c.observed = c.ExpectedLatency, c.firstEventAfter
		return
	}
	stream := now.Sub(c.begunAt) - c.firstEventAfter
	q.model.RecordStream(q.request, time.Duration(float64(stream)/pace), now)
	if c.showsPromptTime {
		r := q.request
		r.UncachedTokens = c.UncachedTokens
		observed := (c.firstEventAfter - baseFirstEventLatency).Seconds() / pace / c.crowding
		q.model.RecordPrompt(r, s.prefillRate, time.Duration(observed*float64(time.Second)), now)
	}
	s.costs.recordLifetime(now.Sub(c.begunAt).Seconds())
	c.predicted, c.observed = c.ExpectedLatency+c.StreamTime, now.Sub(c.begunAt)
}

// Work returns the predicted and the observed time at the endpoint of an attempt that
// has ended with a whole answer; 0 if the choice did not depend on costs.
func (c *Choice) Work() (predicted, observed time.Duration) { return c.predicted, c.observed }

// lifetime returns how long the requests that occupy an endpoint's slots take, in seconds.
// Long ones occupy slots for longer than their share of the requests.
func (k *costs) lifetime() float64 {
	if k.seconds == 0 {
		return typicalSlotTime.Seconds()
	}
	return k.squares / k.seconds
}

// recordLifetime adds a time in seconds, of which typicalSlotTime is the begin.
func (k *costs) recordLifetime(seconds float64) {
	if k.seconds == 0 {
		k.seconds, k.squares = typicalSlotTime.Seconds(), typicalSlotTime.Seconds()*typicalSlotTime.Seconds()
	}
	k.seconds += smoothingWeight * (seconds - k.seconds)
	k.squares += smoothingWeight * (seconds*seconds - k.squares)
}
