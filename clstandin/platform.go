// This file defines the stand-in of the platform.

package clstandin

import (
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/chestnutlead/chestnutlead/clplatform"
)

type (
	// Platform is a stand-in of the platform: object API, cloud API, list of
	// instances and weight store. Its exported fields are set before Start.
	Platform struct {
		Server
		// ReadsPerSecond and WritesPerSecond limit object calls; 0 means no limit.
		// A waiting watch takes one of the reads each second.
		ReadsPerSecond  float64
		WritesPerSecond float64
		// InstancesLag is how old the list of instances is.
		InstancesLag time.Duration
		// Offers are the instance classes that can be started.
		Offers []clplatform.Offer
		// WeightBytesPerSecond is the rate of the weight store; 0 means no limit.
		WeightBytesPerSecond float64
		// WeightBytes is the size of each model's weights.
		WeightBytes int64

		mu          sync.Mutex
		objects     map[string]clplatform.Object
		version     uint64 // of the newest change of any object
		changed     chan struct{}
		calls       map[string]uint64
		rateLimited uint64
		watches     int
		reads       *rate.Limiter
		writes      *rate.Limiter

		cloud cloudState
	}

	// PlatformStats is the answer of the platform's /stats.
	PlatformStats struct {
		// Calls counts object calls by kind: get, list, update, delete, watch.
		Calls          map[string]uint64 `json:"calls"`
		RateLimited    uint64            `json:"rate_limited"`
		WaitingWatches int               `json:"waiting_watches"`
		Objects        int               `json:"objects"`
		ObjectBytes    int               `json:"object_bytes"`
		RefusedStarts  uint64            `json:"refused_starts"`
	}
)

// maxValueBytes is the platform's limit of an object's size.
const maxValueBytes = 1 << 20

// Start listens and serves until Close.
func (p *Platform) Start() error {
	p.Server.init()
	p.objects = make(map[string]clplatform.Object)
	p.calls = make(map[string]uint64)
	p.changed = make(chan struct{})
	p.reads, p.writes = newLimiter(p.ReadsPerSecond), newLimiter(p.WritesPerSecond)
	p.cloud.init()
	p.routeObjects()
	p.routeCloud()
	p.mux.HandleFunc("GET /stats", func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusOK, p.Stats()) })
	return p.start()
}

// Stats returns the call counters and the size of the store.
func (p *Platform) Stats() PlatformStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := PlatformStats{
		Calls: make(map[string]uint64), RateLimited: p.rateLimited, WaitingWatches: p.watches,
		Objects: len(p.objects), RefusedStarts: p.cloud.refusedStarts(),
	}
	for k, n := range p.calls {
		s.Calls[k] = n
	}
	for _, o := range p.objects {
		s.ObjectBytes += len(o.Value)
	}
	return s
}

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 1)
	}
	// A burst of a tenth of a second smooths simultaneous calls.
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond/10)))
}
