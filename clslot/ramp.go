// This file implements the ramp-up of an endpoint's limit from cold to warm.

package clslot

import "time"

// sampleWeight is the weight of a new sample in the typical first-token time. minSamples is
// the number of samples before slowness is judged, so that the first, slow answers of a cold
// endpoint do not set the standard.
const (
	sampleWeight = 0.1
	minSamples   = 8
)

// ramp is the limit of one endpoint and the state that changes it.
type ramp struct {
	limits  Limits
	limit   int
	healthy int
	bootID  string
	// typical is the exponentially smoothed first-token time.
	typical time.Duration
	samples int
	// slowSince is the time of the first in the current run of slow first tokens; zero if
	// the last first token was not slow. During a run the endpoint counts as cold.
	slowSince time.Time
	// staleAnswers is the number of answers that may belong to requests from before the last
	// reset for slowness. They say nothing about the endpoint since then.
	staleAnswers int
	// resets counts resets, so that outcomes from before a reset are not counted after it.
	resets uint64
}

func (r *ramp) setLimits(l Limits) {
	r.limits = l
	r.limit = min(max(r.limit, l.ColdSlots), l.MaxSlots)
}

// reset sets the limit to the cold limit and discards the healthy answers counted so far.
func (r *ramp) reset() {
	r.limit = min(r.limits.ColdSlots, r.limits.MaxSlots)
	r.healthy = 0
	r.resets++
}

// applyLoad applies a load report and reports whether it reset the limit.
func (r *ramp) applyLoad(l Load) bool {
	restarted := r.bootID != "" && l.BootID != "" && l.BootID != r.bootID
	if l.BootID != "" {
		r.bootID = l.BootID
	}
	if restarted {
		// The typical time of the former boot may belong to another version.
		r.typical, r.samples, r.slowSince, r.staleAnswers = 0, 0, time.Time{}, 0
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
	if d.FirstTokenTime > 0 && r.addFirstToken(d.FirstTokenTime, cfg, now) {
		r.reset()
		r.staleAnswers = running
		return
	}
	if d.Failed > 0 {
		// A failing endpoint has not shown that it can sustain its limit.
		r.healthy = 0
		return
	}
	if !r.slowSince.IsZero() {
		return // These answers had slow first tokens or belong to requests from before the run.
	}
	healthy := max(0, d.Healthy-r.staleAnswers)
	r.staleAnswers -= d.Healthy - healthy
	r.healthy += healthy
	if r.healthy >= r.limits.WarmAfter || r.limit >= r.limits.MaxSlots {
		// Answers at the lower limit do not count towards the step after this one.
		r.healthy = 0
		r.limit = min(max(2*r.limit, 1), r.limits.MaxSlots)
	}
}

// addFirstToken adds a first-token time and reports whether it counts as slow, that is,
// exceeds both SlowFactor times the typical time and MinSlowFirstToken.
//
// A run of slow times does not change the typical time, because a cold endpoint stays slow
// until it is warm. A run that lasts MaxSlowPeriod is a lasting change, and its last time
// becomes the typical one. A run that ends earlier with a normal time is due to the workload
// and raises the typical time by one step.
func (r *ramp) addFirstToken(first time.Duration, cfg Config, now time.Time) bool {
	if r.samples == 0 {
		r.typical = first
	}
	r.samples++
	threshold := max(time.Duration(cfg.SlowFactor*float64(r.typical)), cfg.MinSlowFirstTokenTime)
	if r.samples <= minSamples {
		r.addSample(min(first, threshold))
		return false
	}
	if first > threshold {
		if r.slowSince.IsZero() {
			r.slowSince = now
		}
		if now.Sub(r.slowSince) < cfg.MaxSlowPeriod {
			return true
		}
		r.typical, r.slowSince = first, time.Time{}
		return false
	}
	if !r.slowSince.IsZero() {
		r.slowSince = time.Time{}
		r.addSample(threshold)
	}
	r.addSample(first)
	return false
}

// addSample adds a sample to the typical first-token time.
func (r *ramp) addSample(sample time.Duration) {
	r.typical += time.Duration(sampleWeight * float64(sample-r.typical))
}
