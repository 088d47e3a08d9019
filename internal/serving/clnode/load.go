// This file estimates how many endpoints the requests for a service keep busy.

package clnode

import (
	"math"
	"sync"
	"time"
)

type (
	// loadEstimator computes the load of each service: the number of endpoints that
	// its requests keep busy. It uses the endpoint time of the requests, which is
	// the estimated time in which the endpoints read the prompts of the requests.
	// The zero value is ready to use. It is safe for concurrent use.
	loadEstimator struct {
		mu           sync.Mutex
		gatewayLoads map[loadKey]*gatewayLoad
		// peaks holds the highest recent load of each service.
		peaks map[string]peakLoad
		// firstRequestTimes holds, by service, when a gateway first reported endpoint
		// time.
		firstRequestTimes map[string]time.Time
	}

	// loadKey identifies one gateway's load of one service.
	loadKey struct{ service, gateway string }

	// gatewayLoad is one gateway's contribution to the load of a service.
	gatewayLoad struct {
		// bootID is the run of the gateway to which the other fields belong.
		bootID uint64
		// endpointSeconds is the endpoint time of all the gateway's requests for the
		// service since the gateway started, as of updatedAt.
		endpointSeconds float64
		updatedAt       time.Time
		// rate is an exponential moving average of the endpoint time per second. It
		// starts at 0 at the time startedAt, so it is initially too low; correctedRate
		// compensates for that.
		rate      float64
		startedAt time.Time
	}

	// peakLoad is the highest load of a service and when it was last reached.
	peakLoad struct {
		busyEndpoints float64
		observedAt    time.Time
	}
)

const (
	// rateTimeConstant is the time constant of the moving average, which smooths the
	// rate because requests arrive in bursts.
	rateTimeConstant = 3 * time.Second
	// gatewayLoadTTL is how long a gateway's rate counts after its last update. By
	// the end of that time the callers of a stopped gateway use other gateways.
	gatewayLoadTTL = 5 * time.Second
	// loadWarmUpTime is the time from the first request until the load counts as
	// known.
	loadWarmUpTime = 3 * time.Second
	// peakTTL is how long a peak counts, so that the endpoints that were needed for
	// one peak are kept until the next one.
	peakTTL = 20 * time.Second
)

// record updates one gateway's contribution to the load of a service.
// endpointSeconds is the endpoint time of all the gateway's requests for the
// service since the gateway started, and bootID identifies the run of the gateway.
func (e *loadEstimator) record(service, gateway string, bootID uint64, endpointSeconds float64, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.gatewayLoads == nil {
		e.gatewayLoads, e.peaks, e.firstRequestTimes = make(map[loadKey]*gatewayLoad), make(map[string]peakLoad), make(map[string]time.Time)
	}
	if _, ok := e.firstRequestTimes[service]; !ok && endpointSeconds > 0 {
		e.firstRequestTimes[service] = now
	}
	key := loadKey{service, gateway}
	load := e.gatewayLoads[key]
	if load == nil || load.bootID != bootID {
		e.gatewayLoads[key] = &gatewayLoad{bootID: bootID, endpointSeconds: endpointSeconds, updatedAt: now, startedAt: now}
		return
	}
	elapsed := now.Sub(load.updatedAt)
	if elapsed < rateTimeConstant/20 {
		// A later update includes this one, as endpointSeconds is a total.
		return
	}
	if load.endpointSeconds == 0 {
		// Until the first request, startedAt follows the updates, so that the time
		// without requests does not count towards the average.
		load.startedAt = load.updatedAt
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/rateTimeConstant.Seconds())
	load.rate += weight * ((endpointSeconds-load.endpointSeconds)/elapsed.Seconds() - load.rate)
	load.endpointSeconds, load.updatedAt = endpointSeconds, now
}

// neverRequested reports whether no gateway has reported endpoint time for the
// service since this process started.
func (e *loadEstimator) neverRequested(service string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.firstRequestTimes[service]
	return !ok
}

// correctedRate returns the rate without the bias of the initial value 0. The
// result is the gateway's load: a rate of 1 keeps one endpoint busy.
func (l *gatewayLoad) correctedRate() float64 {
	if l.rate == 0 {
		return 0
	}
	return l.rate / (1 - math.Exp(-l.updatedAt.Sub(l.startedAt).Seconds()/rateTimeConstant.Seconds()))
}

// busyEndpoints returns the recent peak and the current value of the service's
// load. An endpoint is busy because it reads prompts, which is estimated from the
// endpoint time of the requests, or because requests occupy its slots. occupied is
// the number of endpoints whose slots are occupied; the current load is the larger
// of the two numbers. meanPace is how many times as long as usual reading takes at the
// endpoints, or 0 if they don't state it; it counts for the current load only, since
// the peak, by which spare spot endpoints are kept, has room for it. Both results are -1
// until the load is known.
func (e *loadEstimator) busyEndpoints(service string, occupied, meanPace float64, now time.Time) (peak, current float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if firstRequestTime, ok := e.firstRequestTimes[service]; !ok || now.Sub(firstRequestTime) < loadWarmUpTime {
		return -1, -1
	}
	busy := 0.0
	for k, load := range e.gatewayLoads {
		if k.service == service && now.Sub(load.updatedAt) < gatewayLoadTTL {
			busy += load.correctedRate()
		}
	}
	current = max(busy*max(1, meanPace), occupied)
	busy = max(busy, occupied)
	recentPeak := e.peaks[service]
	if busy >= recentPeak.busyEndpoints || now.Sub(recentPeak.observedAt) > peakTTL {
		recentPeak = peakLoad{busy, now}
		if e.peaks != nil {
			e.peaks[service] = recentPeak
		}
	}
	return recentPeak.busyEndpoints, current
}
