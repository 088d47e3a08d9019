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
	// usual is the smoothed slowest first-token time per demand.
	usual   time.Duration
	samples int
	// resets counts resets, so that answers from before one are not counted after it.
	resets uint64
}

func (r *ramp) setLimits(l Limits) {
	r.limits = l
	r.limit = min(max(r.limit, l.Cold), l.Max)
}

// reset returns the limit to the cold one.
func (r *ramp) reset() {
	r.limit = min(r.limits.Cold, r.limits.Max)
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
		r.usual, r.samples = 0, 0
	}
	if restarted || l.Cold {
		r.reset()
		return true
	}
	return false
}

// answers applies the outcomes that an entry reported.
func (r *ramp) answers(healthy, failed int, slowest time.Duration, factor float64) {
	if slowest > 0 && r.slow(slowest, factor) {
		r.reset()
		return
	}
	if failed > 0 {
		// A failing endpoint is not shown to bear its limit.
		r.healthy = 0
		return
	}
	r.healthy += healthy
	if r.healthy >= r.limits.WarmAfter || r.limit >= r.limits.Max {
		// Answers at a lower limit are no evidence for the step after the next.
		r.healthy = 0
		r.limit = min(max(2*r.limit, 1), r.limits.Max)
	}
}

// slow reports whether a first-token time is several times the usual one, and
// adds it to the usual one. A slow sample counts as at most factor times the
// usual, so that a lasting change becomes the usual after some reports.
func (r *ramp) slow(slowest time.Duration, factor float64) bool {
	if r.samples == 0 {
		r.usual = slowest
	}
	r.samples++
	highest := factor * float64(r.usual)
	slow := r.samples > minUsualSamples && float64(slowest) > highest
	r.usual += time.Duration(usualWeight * (min(float64(slowest), highest) - float64(r.usual)))
	return slow
}
