// This file estimates how many endpoints of a service its requests keep busy.

package clnode

import (
	"math"
	"sync"
	"time"
)

type (
	// loadEstimator computes the number of busy endpoints per service from the
	// endpoint time that each gateway's requests take. The zero value is ready to
	// use.
	loadEstimator struct {
		mu       sync.Mutex
		gateways map[gatewayKey]*gatewayLoad
		// peaks holds the highest recent load per service.
		peaks map[string]peakLoad
		// firstRequest is when the first request was seen, per service.
		firstRequest map[string]time.Time
	}

	gatewayKey struct{ service, gateway string }

	// gatewayLoad is one gateway's contribution to the load of a service.
	gatewayLoad struct {
		boot            uint64
		endpointSeconds float64
		updatedAt       time.Time
		// rate is an exponential moving average of the endpoint seconds per
		// second. It starts at 0 at startedAt, so it is initially too low;
		// correctedRate compensates for that.
		rate      float64
		startedAt time.Time
	}

	peakLoad struct {
		value float64
		at    time.Time
	}
)

const (
	// rateTimeConstant is the time constant of the moving average. It smooths
	// the rate because requests arrive in bursts.
	rateTimeConstant = 3 * time.Second
	// gatewayLoadTTL is how long the rate of a gateway without updates counts.
	// After that, its callers have moved to other gateways.
	gatewayLoadTTL = 5 * time.Second
	// loadWarmUp is the time after the first request until the load is known.
	loadWarmUp = 3 * time.Second
	// peakTTL is how long a peak counts, so that the endpoints needed for one
	// load peak are kept until the next.
	peakTTL = 20 * time.Second
)

// record updates a gateway's total of the endpoint time that its requests for a
// service have required since the gateway started.
func (e *loadEstimator) record(service, gateway string, boot uint64, seconds float64, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gateways == nil {
		e.gateways, e.peaks, e.firstRequest = make(map[gatewayKey]*gatewayLoad), make(map[string]peakLoad), make(map[string]time.Time)
	}
	if _, ok := e.firstRequest[service]; !ok && seconds > 0 {
		e.firstRequest[service] = now
	}
	key := gatewayKey{service, gateway}
	r := e.gateways[key]
	if r == nil || r.boot != boot {
		e.gateways[key] = &gatewayLoad{boot: boot, endpointSeconds: seconds, updatedAt: now, startedAt: now}
		return
	}
	elapsed := now.Sub(r.updatedAt)
	if elapsed < rateTimeConstant/20 {
		return
	}
	if r.endpointSeconds == 0 {
		// The average starts with the first request.
		r.startedAt = r.updatedAt
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/rateTimeConstant.Seconds())
	r.rate += weight * ((seconds-r.endpointSeconds)/elapsed.Seconds() - r.rate)
	r.endpointSeconds, r.updatedAt = seconds, now
}

// idle reports whether no request for the service has ever been seen.
func (e *loadEstimator) idle(service string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.firstRequest[service]
	return !ok
}

// correctedRate returns the rate without the bias of its initial value 0.
func (r *gatewayLoad) correctedRate() float64 {
	if r.rate == 0 {
		return 0
	}
	return r.rate / (1 - math.Exp(-r.updatedAt.Sub(r.startedAt).Seconds()/rateTimeConstant.Seconds()))
}

// busyEndpoints returns the recent peak and the current number of busy
// endpoints. An endpoint is busy reading prompts, as measured by the endpoint
// time of the requests, or because its slots are occupied; slots is the number
// of endpoints of the latter kind, and the larger number counts. Both results
// are -1 until the load is known.
func (e *loadEstimator) busyEndpoints(service string, slots float64, now time.Time) (peak, current float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if since, ok := e.firstRequest[service]; !ok || now.Sub(since) < loadWarmUp {
		return -1, -1
	}
	sum := 0.0
	for k, r := range e.gateways {
		if k.service == service && now.Sub(r.updatedAt) < gatewayLoadTTL {
			sum += r.correctedRate()
		}
	}
	sum = max(sum, slots)
	p := e.peaks[service]
	if sum >= p.value || now.Sub(p.at) > peakTTL {
		p = peakLoad{sum, now}
		if e.peaks != nil {
			e.peaks[service] = p
		}
	}
	return p.value, sum
}
