// This file defines the table of endpoints and how it follows the registry and the other gateways.

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
	// Fleet is the table of endpoints. Exported fields are set before use.
	Fleet struct {
		// DataCentre is where this gateway runs.
		DataCentre string
		// Rand is the source of random numbers; it must be set.
		Rand *rand.Rand

		mu        sync.Mutex
		catalog   *clcatalog.Catalog
		endpoints map[string]*endpoint
		byHash    map[uint64]*endpoint
		services  map[string]*service
		out       map[string]bool
		// self and others are the hashes of the names of the gateways.
		self   uint64
		others []uint64
		// digestInterval is how old what the others have told may be.
		digestInterval time.Duration
	}

	// service is what is known of all endpoints of a service.
	service struct {
		endpoints []*endpoint
		split     Split
		// versions holds when each version was first seen.
		versions map[string]time.Time
		// readRate is the learnt number of prompt tokens that an endpoint reads in a second.
		readRate float64
		// failures is the recent part of answers that are failures.
		failures ratio
		// latency is the recent time to an answer's first byte on a plain service.
		latency time.Duration
		listed  bool
		demand  Demand
	}

	// Demand sums the work that this gateway has sent to a service.
	Demand struct {
		Requests uint64
		// PrefillSeconds is the endpoint time that the requests take, as far as it
		// grows with their number.
		PrefillSeconds float64
	}

	endpoint struct {
		clcatalog.Endpoint
		hash uint64
		// running and pending are this gateway's work: requests, and prompt
		// tokens of requests without a first event.
		running int
		pending PendingTokens
		conns   int
		peers   map[string]Load
		// failures is the recent part of answers that are failures.
		failures ratio
		// factor is how many times slower than expected first events come.
		factor float64
		// since is when the endpoint was first seen, or zero if that was before
		// this gateway's start.
		since time.Time
		// blocked endpoints get no requests until then.
		blockedUntil time.Time
		blocks       int
		coldUntil    time.Time
		coldTokens   float64
		coldAt       time.Time
		// cache holds when each prompt part was last sent to the endpoint.
		cache map[uint64]time.Time
	}

	// Load is the work of another gateway at one endpoint.
	Load struct {
		Running int
		Pending PendingTokens
	}

	// PendingTokens are prompt tokens of requests without a first event, by rank;
	// engines read the prompts of lower ranks first.
	PendingTokens [PriorityLevels]float64

	// Split divides a service's requests between two versions.
	Split struct {
		// Version gets Share of the requests, and all other versions the rest.
		Version string
		Share   float64
		// Active says that an operator's intent names Version.
		Active bool
	}

	// EndpointLoad is one gateway's work at an endpoint, named by the hash of its ID.
	EndpointLoad struct {
		EndpointHash uint64
		Load
	}
)

const (
	// PriorityLevels is the number of ranks that are told apart; later ones count as the last.
	PriorityLevels = 4
	// defaultReadRate is a cautious guess of the prompt tokens that an engine
	// reads in a second, until it is learnt.
	defaultReadRate = 50_000
	// newVersionHold is how long a version that appears beside another waits
	// for the operator's intent, which may be learnt after the endpoints.
	newVersionHold = 3 * time.Second
	// usualReading is how long an engine usually reads a prompt.
	usualReading = 200 * time.Millisecond
	// cacheEntries bounds the prompt parts remembered of an endpoint.
	cacheEntries = 4096
)

// SetCatalog puts a configuration in force.
func (f *Fleet) SetCatalog(c *clcatalog.Catalog) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.catalog = c
}

// SetGateways says which gateways share the endpoints: this one and others.
func (f *Fleet) SetGateways(self string, others []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.self = xxhash.Sum64String(self)
	f.others = f.others[:0]
	for _, o := range others {
		f.others = append(f.others, xxhash.Sum64String(o))
	}
}

// gateways returns how many share the endpoints.
func (f *Fleet) gateways() int { return len(f.others) + 1 }

// SetDigestInterval says how often each of the other gateways tells of its work.
func (f *Fleet) SetDigestInterval(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.digestInterval = d
}

// SetSplit divides a service's requests between versions.
func (f *Fleet) SetSplit(name string, s Split) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.service(name).split = s
}

// SetExcludedDataCentres says which data centres are to get no requests. The endpoints of one
// that is no longer out count as cold.
func (f *Fleet) SetExcludedDataCentres(names []string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := lo.SliceToMap(names, func(n string) (string, bool) { return n, true })
	for _, e := range f.endpoints {
		if f.out[e.DataCentre] && !out[e.DataCentre] {
			if s := f.describe(e.Service); s != nil {
				f.setCold(e, now, s.ColdStart)
			}
		}
	}
	f.out = out
}

// Put adds or updates an endpoint.
func (f *Fleet) Put(ep clcatalog.Endpoint, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.endpoints[ep.ID]
	if old != nil && (old.Born != ep.Born || old.Address != ep.Address || old.Service != ep.Service) {
		// Another start knows nothing of what the former one did.
		f.remove(ep.ID)
		old = nil
	}
	if old == nil {
		old = &endpoint{hash: xxhash.Sum64String(ep.ID), factor: 1, peers: map[string]Load{}, cache: map[uint64]time.Time{}}
		if f.endpoints == nil {
			f.endpoints, f.byHash = make(map[string]*endpoint), make(map[uint64]*endpoint)
		}
		f.endpoints[ep.ID], f.byHash[old.hash] = old, old
		s := f.service(ep.Service)
		s.endpoints = append(s.endpoints, old)
		if s.listed {
			old.since = now
		}
	}
	old.Endpoint = ep
	s := f.service(ep.Service)
	if _, ok := s.versions[ep.Version]; !ok {
		s.versions[ep.Version] = now
		if !s.listed {
			s.versions[ep.Version] = time.Time{}
		}
	}
	if ep.ColdFor > 0 && now.Add(ep.ColdFor).After(old.coldUntil.Add(coldSlack)) {
		f.setCold(old, now, ep.ColdFor)
	}
}

// MarkSynced says that all endpoints that were registered at the start are known,
// so that versions seen later are new.
func (f *Fleet) MarkSynced() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.services {
		s.listed = true
	}
}

// Remove drops an endpoint that has left.
func (f *Fleet) Remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.remove(id)
}

// Retain drops all endpoints but the named ones.
func (f *Fleet) Retain(ids map[string]bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.endpoints {
		if !ids[id] {
			f.remove(id)
		}
	}
}

// SetPeerLoad takes another gateway's work at the endpoints, which replaces what was known of it.
func (f *Fleet) SetPeerLoad(gateway string, work []EndpointLoad) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range f.endpoints {
		delete(e.peers, gateway)
	}
	for _, w := range work {
		if e := f.byHash[w.EndpointHash]; e != nil {
			e.peers[gateway] = w.Load
		}
	}
}

// LocalLoad returns this gateway's work in progress.
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

// Demand returns the sums of all services.
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

// OccupiedEndpoints returns the number of endpoints whose slots the running requests would
// fill, as far as is known.
func (f *Fleet) OccupiedEndpoints(name string) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	running, slots, n := 0, 0, 0
	for _, e := range f.service(name).endpoints {
		running += f.busy(e).Running
		slots += e.Slots
		n++
	}
	return float64(running*n) / float64(max(1, slots))
}

func (f *Fleet) service(name string) *service {
	s := f.services[name]
	if s == nil {
		s = &service{versions: map[string]time.Time{}, readRate: defaultReadRate}
		if f.services == nil {
			f.services = make(map[string]*service)
		}
		f.services[name] = s
	}
	return s
}

func (f *Fleet) describe(name string) *clcatalog.Service {
	if f.catalog == nil {
		return nil
	}
	return f.catalog.Service(name)
}

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

// busy returns the known work at the endpoint: this gateway's and the others'.
// Of the prompts that the others have told of, most have been read when their
// digests are old.
func (f *Fleet) busy(e *endpoint) Load {
	b := Load{Running: e.running, Pending: e.pending}
	unread := 1.0
	if f.digestInterval > usualReading {
		unread = usualReading.Seconds() / f.digestInterval.Seconds()
	}
	for _, p := range e.peers {
		b.Running += p.Running
		for rank, tokens := range p.Pending {
			b.Pending[rank] += unread * tokens
		}
	}
	return b
}

// upTo returns the tokens that are read before those of a new request of the rank.
func (p PendingTokens) upTo(rank int) float64 {
	sum := 0.0
	for i := 0; i <= bounded(rank); i++ {
		sum += p[i]
	}
	return sum
}

// Encode returns the tokens as they are sent to other gateways.
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

// DecodePendingTokens reverses Encode.
func DecodePendingTokens(tokens []uint32) PendingTokens {
	var p PendingTokens
	for i, n := range tokens {
		p[bounded(i)] += float64(n)
	}
	return p
}

func bounded(rank int) int { return min(PriorityLevels-1, max(0, rank)) }
