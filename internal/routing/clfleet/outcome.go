// This file defines how attempts are accounted and what their outcomes teach.

package clfleet

import (
	"math"
	"time"
)

type (
	// Outcome is how an attempt ended.
	Outcome int

	// ratio is a mean that forgets with time.
	ratio struct {
		value float64
		at    time.Time
	}
)

// Outcomes of an attempt.
const (
	// OutcomeAnswered says that the endpoint gave a whole answer without failure.
	OutcomeAnswered Outcome = iota
	// OutcomeFailed says that the endpoint answered with a failure.
	OutcomeFailed
	// OutcomeConnectionBroken says that the connection ended or the bytes were no answer.
	OutcomeConnectionBroken
	// OutcomeTimedOut says that no answer came in time.
	OutcomeTimedOut
	// OutcomeUnreachable says that no connection could be made.
	OutcomeUnreachable
	// OutcomeShed says that the endpoint refused to run the request.
	OutcomeShed
	// OutcomeAbandoned says that the caller left or its time ran out.
	OutcomeAbandoned
)

const (
	// ratioWeight is what one outcome counts in a ratio.
	ratioWeight = 0.1
	// ratioHalfLife is when a ratio without new outcomes has halved, so that
	// an endpoint that is avoided is tried again.
	ratioHalfLife = 4 * time.Second
	// firstBlock and maxBlock are how long an endpoint that cannot be reached
	// gets no requests; endpoints that crash are back within seconds.
	firstBlock = 300 * time.Millisecond
	maxBlock   = 2 * time.Second
	// shedBlock is how long an endpoint that is full gets no requests.
	shedBlock = 100 * time.Millisecond
	// learnWeight smooths the learnt rates over tens of requests.
	learnWeight = 0.05
	// leastSample is the number of prompt tokens from which a first event
	// tells the read rate and not the fixed part of the latency.
	leastSample = 1500
	// minFactor and maxFactor bound what is believed of an endpoint's speed.
	minFactor, maxFactor = 0.5, 20
	// minReadRate and maxReadRate bound the learnt read rate.
	minReadRate, maxReadRate = 5_000, 400_000
)

// Begin accounts the attempt at its endpoint; Finish must follow.
func (f *Fleet) Begin(c *Choice, r Request, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := c.e
	e.running++
	e.conns++
	e.pending[c.rank] += c.UncachedTokens
	s := f.service(c.service)
	if len(r.Tried) == 0 {
		// A request that goes to one endpoint after the other is one request's load.
		s.demand.Requests++
		s.demand.PrefillSeconds += c.UncachedTokens / s.readRate
	}
	if now.Before(e.coldUntil) {
		e.coldTokens--
	}
	if len(e.cache) > cacheEntries {
		clear(e.cache)
	}
	for _, p := range r.Parts {
		e.cache[p.ID] = now
	}
}

// RecordFirstEvent records that the endpoint has read the prompt, after took.
func (f *Fleet) RecordFirstEvent(c *Choice, took time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.endPending(c)
	s := f.service(c.service)
	if c.ExpectedLatency > 0 && took > 0 {
		observed := float64(took) / float64(c.ExpectedLatency) * c.e.factor
		c.e.factor += learnWeight * (min(maxFactor, max(minFactor, observed)) - c.e.factor)
	}
	// Only an endpoint with little other work shows how fast it reads.
	if reading := took - firstEventBase; c.UncachedTokens >= leastSample && c.Running <= 1 && reading > 0 {
		rate := c.UncachedTokens / reading.Seconds()
		s.readRate += learnWeight * (min(maxReadRate, max(minReadRate, rate)) - s.readRate)
	}
	if c.UncachedTokens == 0 {
		if s.latency == 0 {
			s.latency = took
		}
		s.latency += time.Duration(learnWeight * float64(took-s.latency))
	}
}

// Finish ends the accounting of an attempt.
func (f *Fleet) Finish(c *Choice, o Outcome, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, s := c.e, f.service(c.service)
	f.endPending(c)
	e.running--
	e.conns--
	switch o {
	case OutcomeAnswered:
		e.blocks = 0
		e.failures.add(0, now)
		s.failures.add(0, now)
	case OutcomeFailed, OutcomeConnectionBroken, OutcomeTimedOut:
		e.failures.add(1, now)
		s.failures.add(1, now)
	case OutcomeUnreachable:
		e.blockedUntil = now.Add(min(maxBlock, firstBlock<<min(e.blocks, 3)))
		e.blocks++
	case OutcomeShed:
		e.blockedUntil = now.Add(shedBlock)
	case OutcomeAbandoned:
	}
}

func (f *Fleet) endPending(c *Choice) {
	if !c.started {
		c.started = true
		c.e.pending[c.rank] = max(0, c.e.pending[c.rank]-c.UncachedTokens)
	}
}

func (r *ratio) add(x float64, now time.Time) {
	r.decay(now)
	r.value += ratioWeight * (x - r.value)
}

func (r *ratio) decay(now time.Time) {
	if !r.at.IsZero() {
		r.value *= math.Exp2(-now.Sub(r.at).Seconds() / ratioHalfLife.Seconds())
	}
	r.at = now
}
