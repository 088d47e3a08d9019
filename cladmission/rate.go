// This file defines the measured rate of service.

package cladmission

import "time"

const (
	// minBusy is the time with requests waiting before a rate is stated.
	minBusy = 200 * time.Millisecond
	// maxWait caps the expected wait, and with it the time after which callers
	// are told to retry.
	maxWait = time.Minute
)

// rate measures the cost served per second while requests wait. Time without
// waiting requests is left out, because then demand limits the rate, not
// capacity.
type rate struct {
	served float64
	busy   time.Duration
	last   time.Time
}

// advance adds the time since the last event; waiting says whether requests
// waited in it. Both sums are halved when they cover the window, so that old
// service counts less and less.
func (r *rate) advance(now time.Time, waiting bool, window time.Duration) {
	// The wait for the first capacity, at the start of a process for instance,
	// says nothing about the rate to come.
	if waiting && r.served > 0 && now.After(r.last) {
		r.busy += now.Sub(r.last)
	}
	if now.After(r.last) {
		r.last = now
	}
	for r.busy >= window {
		r.busy /= 2
		r.served /= 2
	}
}

func (r *rate) perSecond() (float64, bool) {
	if r.busy < minBusy {
		return 0, false
	}
	return r.served / r.busy.Seconds(), true
}
