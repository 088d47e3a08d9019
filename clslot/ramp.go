// This file implements the ramp-up of an endpoint's limit from cold to warm.

package clslot

import "time"

// sampleWeight is the weight of a new sample in the typical first-token time. The first
// minSamples samples after a start of the endpoint never count as slow, because they are too few for
// a typical time: an endpoint that starts cold answers slowly at first.
const (
	sampleWeight = 0.1
	minSamples   = 8
)

// ramp is the limit of one endpoint and the state that changes it.
type ramp struct {
	limits Limits
	// limit is the current limit, before any halving.
	limit int
	// healthyAnswers is the number of healthy answers counted towards the next doubling.
	healthyAnswers int
	// bootID is the last known boot ID of the endpoint.
	bootID string
	// typicalTime is the exponentially smoothed first-token time.
	typicalTime time.Duration
	// sampleCount is the number of samples since the endpoint's last known start.
	sampleCount int
	// slowSince is when the first of a series of slow first-token times was reported; zero
	// if the last reported time was not slow. During a series the endpoint counts as cold,
	// for at most MaxSlowPeriod.
	slowSince time.Time
	// staleAnswers is the number of answers that may belong to requests from before the last
	// reset for slowness. They say nothing about the endpoint since then.
	staleAnswers int
	// resetCount is the number of resets of the limit. By it the outcomes from before a
	// reset are recognized, so that they are not counted after it.
	resetCount uint64
}

// setLimits replaces the parameters of the limit and moves the limit into their range.
func (r *ramp) setLimits(l Limits) {
	r.limits = l
	r.limit = min(max(r.limit, l.ColdSlots), l.MaxSlots)
}

// reset sets the limit to the cold limit and discards the healthy answers counted so far.
func (r *ramp) reset() {
	r.limit = min(r.limits.ColdSlots, r.limits.MaxSlots)
	r.healthyAnswers = 0
	r.resetCount++
}

// applyLoad applies a load report, which resets the limit if the endpoint has restarted or is
// cold. The result tells whether it did.
func (r *ramp) applyLoad(l Load) bool {
	restarted := r.bootID != "" && l.BootID != "" && l.BootID != r.bootID
	if l.BootID != "" {
		r.bootID = l.BootID
	}
	if restarted {
		// The typical time of the former boot may be that of another model or program.
		r.typicalTime, r.sampleCount, r.slowSince, r.staleAnswers = 0, 0, time.Time{}, 0
	}
	if restarted || l.Cold {
		r.reset()
		return true
	}
	return false
}

// applyDemand applies the outcomes that an entry reported. running is the number of requests
// that may be running at the endpoint.
func (r *ramp) applyDemand(d Demand, running int, cfg Config, now time.Time) {
	if d.FirstTokenTime > 0 && r.addFirstTokenTime(d.FirstTokenTime, cfg, now) {
		r.reset()
		r.staleAnswers = running
		return
	}
	if d.Failed > 0 {
		// A failing endpoint has not shown that it can sustain its limit.
		r.healthyAnswers = 0
		return
	}
	if !r.slowSince.IsZero() {
		return // These answers had slow first tokens or belong to requests from before those.
	}
	healthy := max(0, d.Healthy-r.staleAnswers)
	r.staleAnswers -= d.Healthy - healthy
	r.healthyAnswers += healthy
	if r.healthyAnswers >= r.limits.WarmAfter || r.limit >= r.limits.MaxSlots {
		// Answers at the lower limit do not count towards the step after this one.
		r.healthyAnswers = 0
		r.limit = min(max(2*r.limit, 1), r.limits.MaxSlots)
	}
}

// addFirstTokenTime adds a first-token time and reports whether it counts as slow, that is,
// exceeds both SlowFactor times the typical time and MinSlowFirstTokenTime.
//
// A series of slow times does not change the typical time, because a cold endpoint stays slow
// until it is warm. A series that lasts MaxSlowPeriod is a lasting change, and its last time
// becomes the typical one. A series that ends earlier with a normal time is due to the
// workload and counts as one more sample, with the threshold as its value.
func (r *ramp) addFirstTokenTime(sample time.Duration, cfg Config, now time.Time) bool {
	if r.sampleCount == 0 {
		r.typicalTime = sample
	}
	r.sampleCount++
	threshold := max(time.Duration(cfg.SlowFactor*float64(r.typicalTime)), cfg.MinSlowFirstTokenTime)
	if r.sampleCount <= minSamples {
		r.addSample(min(sample, threshold))
		return false
	}
	if sample > threshold {
		if r.slowSince.IsZero() {
			r.slowSince = now
		}
		if now.Sub(r.slowSince) < cfg.MaxSlowPeriod {
			return true
		}
		r.typicalTime, r.slowSince = sample, time.Time{}
		return false
	}
	if !r.slowSince.IsZero() {
		r.slowSince = time.Time{}
		r.addSample(threshold)
	}
	r.addSample(sample)
	return false
}

// addSample moves the typical first-token time towards a sample.
func (r *ramp) addSample(sample time.Duration) {
	r.typicalTime += time.Duration(sampleWeight * float64(sample-r.typicalTime))
}
