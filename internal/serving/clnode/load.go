// This file defines how busy the endpoints of a service are kept.

package clnode

import (
	"math"
	"sync"
	"time"
)

type (
	// loadMeter turns the gateways' sums of endpoint time into the number of
	// endpoints that the requests keep busy. The zero value is ready.
	loadMeter struct {
		mu      sync.Mutex
		gateway map[meterKey]*meterReading
		// peak holds the highest recent load of each service.
		peak map[string]peak
		// since is when the first request for each service was seen.
		since map[string]time.Time
	}

	meterKey struct{ service, gateway string }

	meterReading struct {
		boot    uint64
		seconds float64
		at      time.Time
		// rate starts at 0 and approaches the true one from below; since is
		// when it began.
		rate  float64
		since time.Time
	}

	peak struct {
		value float64
		at    time.Time
	}
)

const (
	// meterSpan smooths the rate over the bunches in which requests come.
	meterSpan = 3 * time.Second
	// meterLifetime is how long a silent gateway's rate counts; its callers
	// are elsewhere by then.
	meterLifetime = 5 * time.Second
	// meterWarmUp is how long requests must have come before the load is known.
	meterWarmUp = 3 * time.Second
	// peakLifetime keeps the endpoints that a wave needed until the next one.
	peakLifetime = 20 * time.Second
)

// learn records the sum of endpoint time that a gateway has ordered since its start.
func (m *loadMeter) learn(service, gateway string, boot uint64, seconds float64, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.gateway == nil {
		m.gateway, m.peak, m.since = make(map[meterKey]*meterReading), make(map[string]peak), make(map[string]time.Time)
	}
	if _, ok := m.since[service]; !ok && seconds > 0 {
		m.since[service] = now
	}
	k := meterKey{service, gateway}
	r := m.gateway[k]
	if r == nil || r.boot != boot {
		m.gateway[k] = &meterReading{boot: boot, seconds: seconds, at: now, since: now}
		return
	}
	dt := now.Sub(r.at)
	if dt < meterSpan/20 {
		return
	}
	if r.seconds == 0 {
		// The rate is known from the first request on.
		r.since = r.at
	}
	weight := 1 - math.Exp(-dt.Seconds()/meterSpan.Seconds())
	r.rate += weight * ((seconds-r.seconds)/dt.Seconds() - r.rate)
	r.seconds, r.at = seconds, now
}

// idle reports whether no request for the service has been seen.
func (m *loadMeter) idle(service string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	_, ok := m.since[service]
	return !ok
}

// unbiased returns the rate without the zero that it began with.
func (r *meterReading) unbiased() float64 {
	if r.rate == 0 {
		return 0
	}
	return r.rate / (1 - math.Exp(-r.at.Sub(r.since).Seconds()/meterSpan.Seconds()))
}

// busy returns the number of endpoints that are kept busy, by reading prompts
// or by requests that fill their slots: the highest recent one and the present
// one. Both are -1 while too little has been seen to tell.
func (m *loadMeter) busy(service string, slots float64, now time.Time) (highest, current float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if since, ok := m.since[service]; !ok || now.Sub(since) < meterWarmUp {
		return -1, -1
	}
	sum := 0.0
	for k, r := range m.gateway {
		if k.service == service && now.Sub(r.at) < meterLifetime {
			sum += r.unbiased()
		}
	}
	sum = max(sum, slots)
	p := m.peak[service]
	if sum >= p.value || now.Sub(p.at) > peakLifetime {
		p = peak{sum, now}
		if m.peak != nil {
			m.peak[service] = p
		}
	}
	return p.value, sum
}
