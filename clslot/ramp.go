// This file defines the ramp-up of an endpoint's limit.

package clslot

import "time"

// usualWeight is the weight of a new sample in the usual first-token time;
// minUsualSamples is the number of samples before slowness is judged, so that
// the first answers of a cold endpoint set no standard.
const (
	usualWeight     = 0.1
	minUsualSamples = 8
)

// ramp is the limit of one endpoint and what moves it.
type ramp struct {
	limits  Limits
	limit   int
	healthy int
	bootID  string
	// usual is the smoothed first-token time.
	usual   time.Duration
	samples int
	// slowSince is the time of the first of a row of slow first tokens; zero if
	// the last one was usual. During the row the endpoint counts as cold.
	slowSince time.Time
	// stale is the number of answers that may belong to requests from before the
	// last reset by slowness, and show nothing about the endpoint since then.
	stale int
	// resets counts resets, so that answers from before one are not counted after it.
	resets uint64
}

func (r *ramp) setLimits(l Limits) {
	r.limits = l
	r.limit = min(max(r.limit, l.ColdSlots), l.MaxSlots)
}

// reset returns the limit to the cold one.
func (r *ramp) reset() {
	r.limit = min(r.limits.ColdSlots, r.limits.MaxSlots)
	r.healthy = 0
	r.resets++
}

// load applies a report and returns whether it reset the limit.
func (r *ramp) load(l Load) bool {
	restarted := r.bootID != "" && l.BootID != "" && l.BootID != r.bootID
	if l.BootID != "" {
		r.bootID = l.BootID
	}
	if restarted {
		// The usual time of another boot may belong to another version.
		r.usual, r.samples, r.slowSince, r.stale = 0, 0, time.Time{}, 0
	}
	if restarted || l.Cold {
		r.reset()
		return true
	}
	return false
}

// answers applies the outcomes that an entry reported while running requests
// may have been at the endpoint.
func (r *ramp) answers(d Demand, running int, cfg Config, now time.Time) {
	if d.FirstTokenTime > 0 && r.slow(d.FirstTokenTime, cfg, now) {
		r.reset()
		r.stale = running
		return
	}
	if d.Failed > 0 {
		// A failing endpoint is not shown to bear its limit.
		r.healthy = 0
		return
	}
	if !r.slowSince.IsZero() {
		return // The first tokens of these answers were slow, or came before the row.
	}
	healthy := max(0, d.Healthy-r.stale)
	r.stale -= d.Healthy - healthy
	r.healthy += healthy
	if r.healthy >= r.limits.WarmAfter || r.limit >= r.limits.MaxSlots {
		// Answers at a lower limit are no evidence for the step after the next.
		r.healthy = 0
		r.limit = min(max(2*r.limit, 1), r.limits.MaxSlots)
	}
}

// slow reports whether a first-token time is several times the usual one, and
// learns from it. A row of slow times does not change the usual one, because an
// endpoint that is cold stays slow until it is warm; a row that lasts ColdAtMost
// is a lasting change, and its last time becomes the usual one. A slow time that
// a usual one follows belongs to the workload, and raises the usual one by one step.
func (r *ramp) slow(first time.Duration, cfg Config, now time.Time) bool {
	if r.samples == 0 {
		r.usual = first
	}
	r.samples++
	highest := max(time.Duration(cfg.SlowFactor*float64(r.usual)), cfg.MinSlowFirstTokenTime)
	if r.samples <= minUsualSamples {
		r.learn(min(first, highest))
		return false
	}
	if first > highest {
		if r.slowSince.IsZero() {
			r.slowSince = now
		}
		if now.Sub(r.slowSince) < cfg.MaxSlowPeriod {
			return true
		}
		r.usual, r.slowSince = first, time.Time{}
		return false
	}
	if !r.slowSince.IsZero() {
		r.slowSince = time.Time{}
		r.learn(highest)
	}
	r.learn(first)
	return false
}

// learn adds a sample to the usual first-token time.
func (r *ramp) learn(sample time.Duration) {
	r.usual += time.Duration(usualWeight * float64(sample-r.usual))
}
