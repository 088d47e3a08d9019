// This file defines the table of endpoints and its updates from the registry.

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
	// Fleet is the table of the endpoints of all services, as one gateway knows
	// them. Exported fields must be set before use.
	Fleet struct {
		// DataCentre is the data centre in which this gateway runs.
		DataCentre string
		// Rand is used only while mu is held, so it needs no lock of its own.
		Rand *rand.Rand
		// CostAware reports whether endpoints of a service are chosen by the likely cost
		// of requests; nil means that none are. It is called while mu is not held.
		CostAware func(service string) bool

		// mu protects the fields below, and the services and endpoints. It must be
		// held when an unexported method is called.
		mu      sync.Mutex
		catalog *clcatalog.Catalog
		// endpoints and byHash hold the same endpoints, by ID and by the hash of
		// the ID.
		endpoints map[string]*endpoint
		byHash    map[uint64]*endpoint
		// services holds the state of each service by name.
		services            map[string]*service
		excludedDataCentres map[string]bool
		// statements holds what endpoints have said of themselves, by ID.
		statements map[string]*statement
		// selfHash is the hash of this gateway's name, and peerHashes holds those
		// of the other gateways' names.
		selfHash   uint64
		peerHashes []uint64
		// digestInterval is the interval between two digests of the same gateway,
		// and thus the largest age of the load that it has reported.
		digestInterval time.Duration
		// peerReports holds what each other gateway has last reported, by its name.
		peerReports map[string][]peerReport
		// scratch holds slices that Pick uses again, since it goes through all
		// endpoints of a service for each request.
		scratch struct{ eligible, local, remote []*endpoint }
	}

	// service is the state of a service and all its endpoints.
	service struct {
		endpoints []*endpoint
		split     Split
		// versionFirstSeen holds the time at which each version was first seen,
		// by version, or zero if that was before the initial list of endpoints was
		// complete.
		versionFirstSeen map[string]time.Time
		// prefillRate is the estimated number of prompt tokens that an endpoint
		// processes per second, smoothed over observed requests.
		prefillRate float64
		// failureRate is the recent fraction of the attempts that failed, over all
		// endpoints of the service.
		failureRate decayingMean
		// plainLatency is the smoothed time to the first event of requests
		// without uncached tokens, such as all requests of a plain service; 0
		// means that none has been observed.
		plainLatency time.Duration
		// plainWork is the smoothed latency at endpoints that state a pace of 1 and
		// have no queue, and meanPace and meanFill are the smoothed pace and requests
		// for each slot that endpoints state; 0 means that nothing is known.
		plainWork          time.Duration
		meanPace, meanFill float64
		// costs holds what is known of the costs of requests, if the choice depends on
		// them.
		costs costs
		// synced is set once the endpoints registered at the start are known.
		synced bool
		// demand is the total demand for the service that this gateway has
		// received since its start.
		demand Demand
	}

	// Demand is the total demand for a service that this gateway has received
	// since its start.
	Demand struct {
		// Requests is the number of requests that were sent to an endpoint, each
		// counted once, plus the number of times that Pick refused a request with
		// ReasonNoTimeLeft and the number of calls of RecordRefused.
		Requests uint64
		// PrefillSeconds is the estimated time that engines need to process the
		// uncached prompt tokens of the requests. A refusal adds only
		// refusedDemandWeight of the time.
		PrefillSeconds float64
	}

	// endpoint is the state of one endpoint.
	endpoint struct {
		clcatalog.Endpoint
		// hash is the hash of the endpoint's ID.
		hash uint64
		// running is the number of this gateway's attempts that are running at the
		// endpoint, and pending holds the uncached prompt tokens of those that
		// have had no first event yet.
		running int
		pending PendingTokens
		// memory is the sum of the tokens for which this gateway's running attempts
		// probably need memory.
		memory float64
		// conns is the number of connections that this gateway's running attempts
		// use at the endpoint, one for each attempt.
		conns int
		// peerLoad is the sum of the load that the other gateways have reported.
		peerLoad Load
		// failureRate is the recent fraction of the attempts at this endpoint
		// that failed.
		failureRate decayingMean
		// latencyFactor is the smoothed ratio of the observed time to the first
		// event to the estimate of that time without this factor.
		latencyFactor float64
		// firstSeen is when the endpoint was first seen, or zero if that was
		// before the initial list of endpoints was complete.
		firstSeen time.Time
		// blockedUntil is the time until which the endpoint gets no requests
		// after a failed connection or a shed request.
		blockedUntil time.Time
		// unreachableCount is the number of failed connections and unconfirmed answers since the last
		// complete answer, from which the next blocked period is computed.
		unreachableCount int
		// coldUntil is the end of the latest cold period, or zero if there was
		// none.
		coldUntil time.Time
		// coldTokens is the level, at coldTokensUpdatedAt, of the token bucket
		// that limits this gateway's requests until coldUntil; a request takes one
		// token.
		coldTokens          float64
		coldTokensUpdatedAt time.Time
		// promptCache holds the time at which each prompt part was last sent to
		// the endpoint, by part ID.
		promptCache map[uint64]time.Time
		// statement is what the endpoint has said of itself, or nil.
		statement *statement
		// heard is the load that the endpoint has last stated, addedAt the time of its
		// first entry, and own are this gateway's running attempts.
		heard   heardLoad
		addedAt time.Time
		own     []*Choice
	}

	// Split divides a service's requests between one version, the split version,
	// and all other versions.
	Split struct {
		// Version is the split version. It gets the fraction Share of the
		// requests, and the other versions get the rest.
		Version string
		Share   float64
		// Active is set if an operator's intent names Version. Otherwise, the
		// requests are not divided, and Version and Share have no effect.
		Active bool
	}
)

const (
	// PriorityLevels is the number of distinct priority levels, of which 0 is the
	// most urgent; higher priority values belong to the last level.
	PriorityLevels = 4
	// defaultPrefillRate is a conservative estimate of the prompt tokens that an
	// engine processes per second, used until measurements are available.
	defaultPrefillRate = 50_000
	// newVersionDelay is how long a version that appears beside another version
	// gets no requests, because the operator's intent may arrive after the
	// endpoints.
	newVersionDelay = 3 * time.Second
	// typicalPrefillTime is the time that an engine usually takes to process a
	// prompt.
	typicalPrefillTime = 200 * time.Millisecond
	// maxPromptCacheEntries limits the prompt parts recorded for an endpoint. If
	// there are more, Begin clears the record.
	maxPromptCacheEntries = 4096
)

// SetCatalog replaces the configuration of the services.
func (f *Fleet) SetCatalog(c *clcatalog.Catalog) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.catalog = c
}

// SetGateways sets the names of the gateways that share the endpoints: self is
// the name of this gateway, and otherNames are those of all other gateways.
func (f *Fleet) SetGateways(self string, otherNames []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.selfHash = xxhash.Sum64String(self)
	f.peerHashes = f.peerHashes[:0]
	for _, o := range otherNames {
		f.peerHashes = append(f.peerHashes, xxhash.Sum64String(o))
	}
}

// gatewayCount returns the number of gateways that share the endpoints, including
// this one.
func (f *Fleet) gatewayCount() int { return len(f.peerHashes) + 1 }

// SetDigestInterval sets the interval between two digests of the same gateway.
func (f *Fleet) SetDigestInterval(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.digestInterval = d
}

// SetSplit sets how the requests of the named service are divided between
// versions.
func (f *Fleet) SetSplit(name string, s Split) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.service(name).split = s
}

// SetExcludedDataCentres sets the names of the data centres that get no requests.
// Endpoints of a data centre that is no longer excluded count as cold.
func (f *Fleet) SetExcludedDataCentres(names []string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	excluded := lo.SliceToMap(names, func(n string) (string, bool) { return n, true })
	for _, e := range f.endpoints {
		if f.excludedDataCentres[e.DataCentre] && !excluded[e.DataCentre] {
			if cfg := f.serviceConfig(e.Service); cfg != nil {
				f.startColdPeriod(e, now, cfg.ColdStart)
			}
		}
	}
	f.excludedDataCentres = excluded
}

// Put adds or updates an endpoint. If the start time, address or service of a known
// endpoint has changed, its recorded state is discarded. If the endpoint is reported
// as cold for longer than is known, a new cold period starts.
func (f *Fleet) Put(ep clcatalog.Endpoint, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[ep.ID]
	if e != nil && (e.Born != ep.Born || e.Address != ep.Address || e.Service != ep.Service) {
		// The recorded load, failures and cached prompts belong to the former
		// process, address or service.
		f.remove(ep.ID)
		e = nil
	}
	if e == nil {
		e = &endpoint{hash: xxhash.Sum64String(ep.ID), latencyFactor: 1, promptCache: map[uint64]time.Time{}, addedAt: now}
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
	if e.statement = f.statements[ep.ID]; e.statement != nil && e.statement.born != ep.Born {
		// Another start knows nothing of it.
		e.statement = nil
		delete(f.statements, ep.ID)
	}
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

// MarkSynced records that all endpoints that were registered when this gateway
// started are known. Endpoints and versions that appear later count as new, in all
// services that have been seen until now.
func (f *Fleet) MarkSynced() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services {
		s.synced = true
	}
}

// EntryUnchanged reports whether the entry of the chosen endpoint still describes the
// start that was chosen. An entry that was removed meanwhile and has come back does so
// only if it tells its start.
func (f *Fleet) EntryUnchanged(c *Choice) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.endpoints[c.Endpoint]
	return e != nil && (e == c.endpoint || c.Born != 0 && e.Born == c.Born && e.Address == c.Address && e.Service == c.service)
}

// Remove removes the endpoint with the given ID, if it is known.
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

// Demand returns the total demand that this gateway has received since its start,
// by service name.
func (f *Fleet) Demand() map[string]Demand {
	f.mu.Lock()
	defer f.mu.Unlock()
	return lo.MapValues(f.services, func(s *service, _ string) Demand { return s.demand })
}

// Endpoints returns the known endpoints of a service, including those that get no
// requests at present.
func (f *Fleet) Endpoints(name string) []clcatalog.Endpoint {
	f.mu.Lock()
	defer f.mu.Unlock()
	return lo.Map(f.service(name).endpoints, func(e *endpoint, _ int) clcatalog.Endpoint { return e.Endpoint })
}

// OccupiedEndpoints returns how many full endpoints' worth of requests of a service
// are running; three half-full endpoints give 1.5. It is the number of running
// requests, divided by the average number of slots of the service's endpoints. It
// counts this gateway's requests and those that the other gateways report.
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

// service returns the state of a service, creating it if necessary. f.mu must be
// held.
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

// serviceConfig returns the configuration of a service, or nil if there is none. f.mu
// must be held.
func (f *Fleet) serviceConfig(name string) *clcatalog.Service {
	if f.catalog == nil {
		return nil
	}
	return f.catalog.Service(name)
}

// remove removes the endpoint with the given ID, if it is known. f.mu must be held.
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
