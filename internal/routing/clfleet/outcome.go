// This file counts attempts as load and updates the estimates of rates and
// latencies from their outcomes.

package clfleet

import (
	"math"
	"slices"
	"time"
)

type (
	// Outcome is how an attempt ended.
	Outcome int

	// decayingMean is an exponentially weighted mean of observations that also
	// decays towards 0 with time.
	decayingMean struct {
		// value is the mean at updatedAt.
		value     float64
		updatedAt time.Time
	}
)

// Outcomes of an attempt.
const (
	// OutcomeAnswered means that the endpoint gave a complete answer without
	// failure.
	OutcomeAnswered Outcome = iota
	// OutcomeFailed means that the endpoint answered with a failure.
	OutcomeFailed
	// OutcomeConnectionBroken means that the connection ended early or that what
	// was received was not a valid answer.
	OutcomeConnectionBroken
	// OutcomeTimedOut means that no answer, or no further part of it, arrived in
	// time.
	OutcomeTimedOut
	// OutcomeUnreachable means that no connection could be established.
	OutcomeUnreachable
	// OutcomeUnconfirmed means that an answer ended with its connection and the endpoint
	// did not confirm in time that it is whole.
	OutcomeUnconfirmed
	// OutcomeShed means that the endpoint responded that it has not run the
	// request.
	OutcomeShed
	// OutcomeAbandoned means that the caller disconnected or its deadline
	// passed.
	OutcomeAbandoned
)

const (
	// failureRateWeight is the weight of one outcome in a failure rate.
	failureRateWeight = 0.1
	// failureRateHalfLife is the time in which a failure rate halves if there are
	// no new outcomes, so that an endpoint that is avoided because of its failures
	// is tried again.
	failureRateHalfLife = 4 * time.Second
	// minBlockDuration is how long an endpoint gets no requests after a failed
	// connection, or an answer that it did not confirm. The time doubles with each
	// further one. It is at most maxBlockDuration, since an endpoint that has crashed is back within
	// seconds.
	minBlockDuration = 300 * time.Millisecond
	maxBlockDuration = 2 * time.Second
	// shedBlockDuration is how long an endpoint that has shed a request gets no requests.
	shedBlockDuration = 100 * time.Millisecond
	// smoothingWeight is the weight of one observation in the smoothed rates and
	// latencies; each is thus an average over tens of requests.
	smoothingWeight = 0.05
	// minPrefillSampleTokens is the smallest number of uncached prompt tokens for
	// which the prefill rate is measured. For fewer tokens, the time to the first event
	// consists mainly of the fixed part, baseFirstEventLatency.
	minPrefillSampleTokens = 1500
	// minLatencyFactor and maxLatencyFactor limit one observation that enters
	// an endpoint's latencyFactor.
	minLatencyFactor, maxLatencyFactor = 0.5, 20
	// minPrefillRate and maxPrefillRate limit one observation of the prefill
	// rate, in tokens per second.
	minPrefillRate, maxPrefillRate = 5_000, 400_000
)

// Begin adds the attempt to the load of its endpoint, records the parts of the
// prompt as cached there, takes a token if the endpoint is cold, and counts the
// demand of a request's first attempt. Finish must follow.
func (f *Fleet) Begin(c *Choice, r Request, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := c.endpoint
	e.running++
	e.conns++
	c.begunAt = now
	e.own = append(e.own, c)
	c.firstAttempt = len(r.Tried) == 0
	e.heard.sentSince++
	e.pending[c.priority] += c.UncachedTokens
	if c.cost != nil {
		e.memory += c.cost.memory
	}
	s := f.service(c.service)
	if len(r.Tried) == 0 {
		// A request that is tried at several endpoints counts once.
		s.demand.Requests++
		s.demand.PrefillSeconds += c.UncachedTokens / s.prefillRate
	}
	if now.Before(e.coldUntil) {
		e.coldTokens--
	}
	if len(e.promptCache) > maxPromptCacheEntries {
		clear(e.promptCache)
	}
	for _, p := range r.Parts {
		e.promptCache[p.ID] = now
	}
}

// RecordRefused counts a request that was refused before Pick as demand for its
// service, so that endpoints are added for it. tokens is the size of the part of the
// prompt that other requests don't share.
func (f *Fleet) RecordRefused(serviceName string, tokens int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.service(serviceName)
	s.demand.Requests++
	s.demand.PrefillSeconds += refusedDemandWeight * float64(tokens) / s.prefillRate
}

// RecordFirstEvent records the first event of the attempt, at which the endpoint
// has processed the prompt. latency is the time from sending the request to the
// first event.
func (f *Fleet) RecordFirstEvent(c *Choice, latency time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clearPending(c)
	c.firstEventAfter = latency
	s := f.service(c.service)
	// paceError is how many times as long as expected work has taken by the pace that the
	// endpoint has stated meanwhile. It says nothing about later requests.
	paceError := 1.0
	if c.statedPace > 0 && c.Pace > 0 {
		paceError = c.statedPace / c.Pace
	}
	if c.ExpectedLatency > 0 && latency > 0 {
		observedFactor := float64(latency) / float64(c.ExpectedLatency) / paceError * c.endpoint.latencyFactor
		c.endpoint.latencyFactor += smoothingWeight * (min(maxLatencyFactor, max(minLatencyFactor, observedFactor)) - c.endpoint.latencyFactor)
	}
	// The full prefill rate shows only if at most one request was running at the
	// endpoint when it was selected.
	if prefillTime := latency - baseFirstEventLatency; c.UncachedTokens >= minPrefillSampleTokens && c.Running <= 1 && prefillTime > 0 {
		rate := c.UncachedTokens / prefillTime.Seconds()
		if c.statedPace > 0 && s.meanPace > 0 {
			rate *= c.statedPace / s.meanPace
		}
		s.prefillRate += smoothingWeight * (min(maxPrefillRate, max(minPrefillRate, rate)) - s.prefillRate)
	}
	if c.UncachedTokens == 0 {
		if s.plainLatency == 0 {
			s.plainLatency = latency
		}
		s.plainLatency += time.Duration(smoothingWeight * float64(latency-s.plainLatency))
		s.recordPlainWork(c, latency)
	}
}

// Finish removes the attempt from the load of its endpoint and records its
// outcome. Unreachable, shed and abandoned attempts do not enter the failure rates.
func (f *Fleet) Finish(c *Choice, o Outcome, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, s := c.endpoint, f.service(c.service)
	f.clearPending(c)
	e.running--
	e.conns--
	if c.cost != nil {
		e.memory -= c.cost.memory
	}
	if e.running == 0 {
		// Leaves no rest of a sum of large numbers.
		e.memory = 0
	}
	if i := slices.Index(e.own, c); i >= 0 {
		last := len(e.own) - 1
		e.own[i], e.own[last] = e.own[last], nil
		e.own = e.own[:last]
	}
	if c.begunAt.After(e.heard.at) {
		e.heard.sentSince = max(0, e.heard.sentSince-1)
	}
	switch o {
	case OutcomeAnswered:
		f.recordCost(s, c, now)
		e.unreachableCount = 0
		e.failureRate.add(0, now)
		s.failureRate.add(0, now)
	case OutcomeFailed, OutcomeConnectionBroken, OutcomeTimedOut:
		e.failureRate.add(1, now)
		s.failureRate.add(1, now)
	case OutcomeUnconfirmed:
		e.failureRate.add(1, now)
		s.failureRate.add(1, now)
		e.block(now)
	case OutcomeUnreachable:
		e.block(now)
	case OutcomeShed:
		e.blockedUntil = now.Add(shedBlockDuration)
	case OutcomeAbandoned:
	}
}

// block keeps requests from an endpoint that does not answer on new connections.
func (e *endpoint) block(now time.Time) {
	e.blockedUntil = now.Add(min(maxBlockDuration, minBlockDuration<<min(e.unreachableCount, 3)))
	e.unreachableCount++
}

// clearPending removes the attempt's pending tokens from its endpoint's load. Only
// the first call for an attempt has an effect.
func (f *Fleet) clearPending(c *Choice) {
	if !c.pendingCleared {
		c.pendingCleared = true
		c.endpoint.pending[c.priority] = max(0, c.endpoint.pending[c.priority]-c.UncachedTokens)
	}
}

// add decays the mean up to now and adds an observation.
func (r *decayingMean) add(x float64, now time.Time) {
	r.decay(now)
	r.value += failureRateWeight * (x - r.value)
}

// decay decays the mean up to now, by half every failureRateHalfLife.
func (r *decayingMean) decay(now time.Time) {
	if !r.updatedAt.IsZero() {
		r.value *= math.Exp2(-now.Sub(r.updatedAt).Seconds() / failureRateHalfLife.Seconds())
	}
	r.updatedAt = now
}
