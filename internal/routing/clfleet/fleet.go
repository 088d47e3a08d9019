// This file defines the table of endpoints and its updates from the registry and the other gateways.

package clfleet

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/samber/lo"
)

type (
	// Fleet is the table of the endpoints of all services. Exported fields must
	// be set before use.
	Fleet struct {
		// DataCentre is the data centre in which this gateway runs.
		DataCentre string
		// Rand is the source of random numbers.
		Rand *rand.Rand

		mu                  sync.Mutex
		catalog             *clcatalog.Catalog
		endpoints           map[string]*endpoint
		byHash              map[uint64]*endpoint
		services            map[string]*service
		excludedDataCentres map[string]bool
		// selfHash and peerHashes are the hashes of the gateways' names.
		selfHash   uint64
		peerHashes []uint64
		// digestInterval is the interval at which the other gateways report
		// their load, and thus the largest age of those reports.
		digestInterval time.Duration
	}

	// service is the state of a service and all its endpoints.
	service struct {
		endpoints []*endpoint
		split     Split
		// versionFirstSeen holds the time at which each version was first seen,
		// or zero if that was before the initial list of endpoints was complete.
		versionFirstSeen map[string]time.Time
		// prefillRate is the estimated number of prompt tokens that an endpoint
		// processes per second, smoothed over observed requests.
		prefillRate float64
		// failureRate is the recent fraction of answers that are failures.
		failureRate decayingMean
		// plainLatency is the smoothed time to the first byte of an answer of a
		// plain service.
		plainLatency time.Duration
		// synced is set once the endpoints registered at the start are known.
		synced bool
		demand Demand
	}

	// Demand is the total demand for a service that this gateway has received.
	Demand struct {
		Requests uint64
		// PrefillSeconds is the endpoint time that the requests take, as far as
		// it grows with their number.
		PrefillSeconds float64
	}

	// endpoint is the state of one endpoint.
	endpoint struct {
		clcatalog.Endpoint
		hash uint64
		// running and pending are the load from this gateway: its requests, and
		// the prompt tokens of those without a first event.
		running   int
		pending   PendingTokens
		conns     int
		peerLoads map[string]Load
		// failureRate is the recent fraction of answers that are failures.
		failureRate decayingMean
		// latencyFactor is the smoothed ratio of the observed to the expected
		// time to the first event.
		latencyFactor float64
		// firstSeen is when the endpoint was first seen, or zero if that was
		// before the initial list of endpoints was complete.
		firstSeen time.Time
		// blockedUntil is the time until which the endpoint gets no requests,
		// and unreachableCount the number of failed connections since the last
		// complete answer, from which the next block is computed.
		blockedUntil     time.Time
		unreachableCount int
		coldUntil        time.Time
		coldTokens       float64
		coldRefilledAt   time.Time
		// promptCache holds the time at which each prompt part was last sent to
		// the endpoint, by part ID.
		promptCache map[uint64]time.Time
	}

	// Load is the load of one or more gateways' requests on an endpoint.
	Load struct {
		Running int
		Pending PendingTokens
	}

	// PendingTokens holds the prompt tokens of requests without a first event,
	// by priority level; engines process the prompts of lower levels first.
	PendingTokens [PriorityLevels]float64

	// Split divides a service's requests between a version and all others.
	Split struct {
		// Version gets the fraction Share of the requests, and the other
		// versions get the rest.
		Version string
		Share   float64
		// Active is set if an operator's intent names Version.
		Active bool
	}

	// EndpointLoad is one gateway's load on an endpoint, which is identified by
	// the hash of its ID.
	EndpointLoad struct {
		EndpointHash uint64
		Load
	}
)

const (
	// PriorityLevels is the number of distinct priority levels; higher levels
	// count as the last one.
	PriorityLevels = 4
	// defaultPrefillRate is a conservative estimate of the prompt tokens that an
	// engine processes per second, used until measurements are available.
	defaultPrefillRate = 50_000
	// newVersionDelay is how long a version that appears beside another one gets
	// no requests, because the operator's intent may arrive after the endpoints.
	newVersionDelay = 3 * time.Second
	// typicalPrefillTime is the time that an engine usually takes for a prompt.
	typicalPrefillTime = 200 * time.Millisecond
	// maxPromptCacheEntries limits the prompt parts recorded for an endpoint;
	// beyond it, the record is cleared.
	maxPromptCacheEntries = 4096
)

// SetCatalog replaces the configuration.
func (f *Fleet) SetCatalog(c *clcatalog.Catalog) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.catalog = c
}

// SetGateways sets the names of the gateways that share the endpoints: this
// gateway and the others.
func (f *Fleet) SetGateways(self string, others []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.selfHash = xxhash.Sum64String(self)
	f.peerHashes = f.peerHashes[:0]
	for _, o := range others {
		f.peerHashes = append(f.peerHashes, xxhash.Sum64String(o))
	}
}

// gatewayCount returns the number of gateways that share the endpoints.
func (f *Fleet) gatewayCount() int { return len(f.peerHashes) + 1 }

// SetDigestInterval sets the interval at which each of the other gateways
// reports its load.
func (f *Fleet) SetDigestInterval(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.digestInterval = d
}

// SetSplit sets how a service's requests are divided between versions.
func (f *Fleet) SetSplit(name string, s Split) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.service(name).split = s
}

// SetExcludedDataCentres sets the data centres that get no requests. Endpoints
// of a data centre that is no longer excluded count as cold.
func (f *Fleet) SetExcludedDataCentres(names []string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	excluded := lo.SliceToMap(names, func(n string) (string, bool) { return n, true })
	for _, e := range f.endpoints {
		if f.excludedDataCentres[e.DataCentre] && !excluded[e.DataCentre] {
			if s := f.serviceConfig(e.Service); s != nil {
				f.startColdPeriod(e, now, s.ColdStart)
			}
		}
	}
	f.excludedDataCentres = excluded
}

// Put adds or updates an endpoint. If the start time, address or service of a
// known endpoint has changed, the endpoint is replaced.
func (f *Fleet) Put(ep clcatalog.Endpoint, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[ep.ID]
	if e != nil && (e.Born != ep.Born || e.Address != ep.Address || e.Service != ep.Service) {
		// A restarted endpoint has none of its former state.
		f.remove(ep.ID)
		e = nil
	}
	if e == nil {
		e = &endpoint{hash: xxhash.Sum64String(ep.ID), latencyFactor: 1, peerLoads: map[string]Load{}, promptCache: map[uint64]time.Time{}}
		if f.endpoints == nil {
			f.endpoints, f.byHash = make(map[string]*endpoint), make(map[uint64]*endpoint)
		}
		f.endpoints[ep.ID], f.byHash[e.hash] = e, e
		s := f.service(ep.Service)
		s.endpoints = append(s.endpoints, e)
		if s.synced {
			e.firstSeen = now
		}
	}
	e.Endpoint = ep
	s := f.service(ep.Service)
	if _, ok := s.versionFirstSeen[ep.Version]; !ok {
		s.versionFirstSeen[ep.Version] = now
		if !s.synced {
			s.versionFirstSeen[ep.Version] = time.Time{}
		}
	}
	if ep.ColdFor > 0 && now.Add(ep.ColdFor).After(e.coldUntil.Add(coldEndJitter)) {
		f.startColdPeriod(e, now, ep.ColdFor)
	}
}

// MarkSynced records that all endpoints that were registered at the start are
// known, so that versions seen later are new.
func (f *Fleet) MarkSynced() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services {
		s.synced = true
	}
}

// Remove removes an endpoint.
func (f *Fleet) Remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remove(id)
}

// Retain removes all endpoints except those with the given IDs.
func (f *Fleet) Retain(ids map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.endpoints {
		if !ids[id] {
			f.remove(id)
		}
	}
}

// SetPeerLoad replaces the load that is known of another gateway.
func (f *Fleet) SetPeerLoad(gateway string, loads []EndpointLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.endpoints {
		delete(e.peerLoads, gateway)
	}
	for _, l := range loads {
		if e := f.byHash[l.EndpointHash]; e != nil {
			e.peerLoads[gateway] = l.Load
		}
	}
}

// LocalLoad returns the load from this gateway's running requests.
func (f *Fleet) LocalLoad() []EndpointLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []EndpointLoad
	for _, e := range f.endpoints {
		if e.running > 0 {
			out = append(out, EndpointLoad{EndpointHash: e.hash, Load: Load{Running: e.running, Pending: e.pending}})
		}
	}
	return out
}

// Demand returns the total demand by service.
func (f *Fleet) Demand() map[string]Demand {
	f.mu.Lock()
	defer f.mu.Unlock()
	return lo.MapValues(f.services, func(s *service, _ string) Demand { return s.demand })
}

// Endpoints returns the endpoints of a service.
func (f *Fleet) Endpoints(name string) []clcatalog.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return lo.Map(f.service(name).endpoints, func(e *endpoint, _ int) clcatalog.Endpoint { return e.Endpoint })
}

// OccupiedEndpoints returns the number of endpoints that the known running
// requests of a service would fill completely.
func (f *Fleet) OccupiedEndpoints(name string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	running, slots, endpoints := 0, 0, 0
	for _, e := range f.service(name).endpoints {
		running += f.totalLoad(e).Running
		slots += e.Slots
		endpoints++
	}
	return float64(running*endpoints) / float64(max(1, slots))
}

// service returns the state of a service, creating it if necessary.
func (f *Fleet) service(name string) *service {
	s := f.services[name]
	if s == nil {
		s = &service{versionFirstSeen: map[string]time.Time{}, prefillRate: defaultPrefillRate}
		if f.services == nil {
			f.services = make(map[string]*service)
		}
		f.services[name] = s
	}
	return s
}

// serviceConfig returns the configuration of a service, or nil.
func (f *Fleet) serviceConfig(name string) *clcatalog.Service {
	if f.catalog == nil {
		return nil
	}
	return f.catalog.Service(name)
}

// remove removes an endpoint, if it is known.
func (f *Fleet) remove(id string) {
	e := f.endpoints[id]
	if e == nil {
		return
	}
	delete(f.endpoints, id)
	delete(f.byHash, e.hash)
	s := f.service(e.Service)
	s.endpoints = slices.DeleteFunc(s.endpoints, func(o *endpoint) bool { return o == e })
}

// totalLoad returns the known load on the endpoint: this gateway's and that of
// the others. If the interval between digests is long, most of the prompts that
// the others have reported have already been processed, so only a fraction of
// their pending tokens counts.
func (f *Fleet) totalLoad(e *endpoint) Load {
	load := Load{Running: e.running, Pending: e.pending}
	unreadFraction := 1.0
	if f.digestInterval > typicalPrefillTime {
		unreadFraction = typicalPrefillTime.Seconds() / f.digestInterval.Seconds()
	}
	for _, p := range e.peerLoads {
		load.Running += p.Running
		for priority, tokens := range p.Pending {
			load.Pending[priority] += unreadFraction * tokens
		}
	}
	return load
}

// aheadOf returns the tokens that are processed before those of a new request
// with the priority.
func (p PendingTokens) aheadOf(priority int) float64 {
	sum := 0.0
	for i := 0; i <= clampPriority(priority); i++ {
		sum += p[i]
	}
	return sum
}

// Encode returns the tokens in the form that is sent to other gateways: by
// priority level, without trailing zeros.
func (p PendingTokens) Encode() []uint32 {
	last := 0
	out := make([]uint32, 0, PriorityLevels)
	for i, tokens := range p {
		out = append(out, uint32(max(0, tokens)))
		if out[i] > 0 {
			last = i + 1
		}
	}
	return out[:last]
}

// DecodePendingTokens is the inverse of Encode; levels beyond the last one count
// as the last one.
func DecodePendingTokens(tokens []uint32) PendingTokens {
	var p PendingTokens
	for i, n := range tokens {
		p[clampPriority(i)] += float64(n)
	}
	return p
}

// clampPriority maps a priority to its level.
func clampPriority(priority int) int { return min(PriorityLevels-1, max(0, priority)) }
