// This file defines the configuration with its routes, services and client accounts.

package clcatalog

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

type (
	// Catalog is one version of the configuration. BuildIndexes must be called
	// before MatchRoute, Service, Account and AccountByKey are used.
	Catalog struct {
		// Version increases with each change, not always by 1.
		Version  uint64
		Routes   []Route
		Services []Service
		Accounts []Account
		Limits   Limits

		routesByHost   map[string][]*Route
		servicesByName map[string]*Service
		accountsByName map[string]*Account
		accountsByKey  map[string]*Account
	}

	// Route matches requests by host and path prefix and defines their target
	// services, time limits and retry policy.
	Route struct {
		// Name identifies the route in logs, and in the counts by which a rollout
		// compares the new version with the old one.
		Name string
		// Host is the host name of the matching requests, without a port.
		Host string
		// PathPrefix starts and ends with a slash.
		PathPrefix string
		// Kind determines whether a request may be executed more than once.
		Kind Kind
		// Timeout is the maximum duration of a request; 0 means a default. A caller
		// may state a shorter one.
		Timeout time.Duration
		// TargetLatency is the intended time to the response, or to the first event of a stream.
		TargetLatency time.Duration
		// TargetGap is the longest acceptable time between two events of a stream. No
		// decision depends on it yet.
		TargetGap time.Duration
		// Priority is the priority of the requests; 0 is the highest. An account's
		// priority overrides it.
		Priority int
		// Targets are the services among which the route's requests are divided.
		Targets []Target
		// MaxAttempts is the maximum number of times that a request is sent to an
		// endpoint. A request that the first endpoint refuses to execute may be sent
		// a second time in any case.
		MaxAttempts int
		// Anonymous means that the route's requests require no API key.
		Anonymous bool
		// Resumable means that a stream that breaks off may continue on another
		// endpoint.
		Resumable bool
	}

	// Target is a service that receives requests of a route. Among several targets,
	// the requests are divided in proportion to Weight.
	Target struct {
		// Service is the name of one of the configuration's services.
		Service string
		Weight  float64
	}

	// Service is a group of endpoints that can each execute the service's requests.
	Service struct {
		// Name is the name by which targets, endpoints and rollouts refer to the
		// service.
		Name string
		// MaxConns is the number of connections that an endpoint accepts from all
		// gateways combined; 0 means no limit.
		MaxConns int
		// ColdStart is how long an endpoint is cold after its process starts, and after
		// an evacuation of its data centre ends. A cold endpoint tolerates only a
		// limited request rate.
		ColdStart time.Duration
		// ColdPerSecond is the number of requests per second that a cold endpoint
		// tolerates from all gateways combined; 0 means no limit.
		ColdPerSecond float64
		// Engine is nil for a service that does not run a model engine.
		Engine *Engine
		// Scaling is nil for a service with a fixed number of endpoints.
		Scaling *Scaling
		// HealthPath is the path under which an endpoint says which endpoint and which
		// start of it it is; it is empty if there is none.
		HealthPath string
	}

	// Engine describes the model engine that each endpoint of a service runs.
	Engine struct {
		// Slots is the number of requests that an engine executes concurrently.
		Slots int
		// CacheTokens is the size, in tokens, of the key-value cache that running
		// requests and cached prompts share.
		CacheTokens int
	}

	// Scaling defines how endpoints of a service are ordered. An order tells the
	// platform how many endpoints of the service a data centre is to have.
	Scaling struct {
		// Min and Max limit the number of endpoints ordered in each data centre.
		Min, Max int
		// Boot is the time from an order until the endpoint accepts requests.
		Boot time.Duration
		// SpotPrice is the price of an endpoint that the platform may reclaim, as a
		// fraction of the regular price.
		SpotPrice float64
		// Prices holds the regular price of an endpoint per second, by data centre.
		// Endpoints are ordered only in these data centres.
		Prices map[string]float64
	}

	// Account is a client account with its keys and its quota.
	Account struct {
		// Name is the name under which the account's quota and usage are counted.
		Name string
		// Keys are the API keys with which callers identify the account.
		Keys []string
		// Priority overrides the route's priority if HasPriority is set.
		Priority    int
		HasPriority bool
		// InTokens means that Rate and Burst count tokens instead of requests.
		InTokens bool
		// PlainTokens is the cost of a request that does not state its token count, if
		// InTokens is set.
		PlainTokens float64
		// Rate is the quota per second; 0 means no limit.
		Rate float64
		// Burst is the largest amount of unused quota that the account accumulates.
		Burst float64
	}

	// Limits contains the limits on callers' requests and connections.
	Limits struct {
		// HeaderBytes and BodyBytes limit the size of a request's header and body; 0
		// means a default. The gateway tolerates somewhat larger headers.
		HeaderBytes, BodyBytes int
		// HeaderTimeout limits the time in which a request's header must arrive; 0 means
		// a default. The gateway tolerates a somewhat longer time.
		HeaderTimeout time.Duration
		// IdleTimeout is how long a caller's idle connection is kept open.
		IdleTimeout time.Duration
	}

	// Kind determines whether a route's requests may be executed more than once.
	Kind string
)

const (
	// Idempotent requests may be executed more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests are executed at most once.
	NonIdempotent Kind = "non_idempotent"
	// Streaming requests are answered by a stream of events. They are executed
	// at most once unless the route is resumable.
	Streaming Kind = "streaming"
)

// BuildIndexes builds the indexes of the routes, services and accounts. It must be
// called again after any of them has changed.
func (c *Catalog) BuildIndexes() {
	c.routesByHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.routesByHost[r.Host] = append(c.routesByHost[r.Host], r)
	}
	for _, routes := range c.routesByHost {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	c.servicesByName = make(map[string]*Service, len(c.Services))
	for i := range c.Services {
		c.servicesByName[c.Services[i].Name] = &c.Services[i]
	}
	c.accountsByName = make(map[string]*Account, len(c.Accounts))
	c.accountsByKey = make(map[string]*Account)
	for i := range c.Accounts {
		a := &c.Accounts[i]
		c.accountsByName[a.Name] = a
		for _, k := range a.Keys {
			c.accountsByKey[k] = a
		}
	}
}

// MatchRoute returns, of the routes for host, the one with the longest prefix of
// path. It returns nil if no route matches.
func (c *Catalog) MatchRoute(host, path string) *Route {
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns the service with the given name, or nil if there is none.
func (c *Catalog) Service(name string) *Service { return c.servicesByName[name] }

// Account returns the account with the given name, or nil if there is none.
func (c *Catalog) Account(name string) *Account { return c.accountsByName[name] }

// AccountByKey returns the account to which the API key belongs, or nil if no
// account has the key.
func (c *Catalog) AccountByKey(key string) *Account { return c.accountsByKey[key] }

// HasAccounts reports whether any account is configured. If so, every route
// that is not anonymous requires an API key.
func (c *Catalog) HasAccounts() bool { return len(c.Accounts) > 0 }

// minQuotaRatio is the ratio of the largest quota to the smallest one from which the
// capacity of a service in shortage is divided by the quotas.
const minQuotaRatio = 2

// ShareWeights returns the weights, by account, by which the accounts divide the
// capacity of a service in shortage: their rates, and the largest rate for an account
// without a limit. It returns nil if the quotas don't differ by minQuotaRatio, in which
// case the capacity is not divided. Rates in tokens and in requests can't be compared;
// if there are both, all weights are equal.
func (c *Catalog) ShareWeights() map[string]float64 {
	var largest, smallest [2]float64 // in requests and in tokens
	for _, a := range c.Accounts {
		if a.Rate <= 0 {
			continue
		}
		unit := 0
		if a.InTokens {
			unit = 1
		}
		largest[unit] = max(largest[unit], a.Rate)
		if smallest[unit] == 0 || a.Rate < smallest[unit] {
			smallest[unit] = a.Rate
		}
	}
	differ := func(unit int) bool { return largest[unit] > 0 && largest[unit] >= minQuotaRatio*smallest[unit] }
	if !differ(0) && !differ(1) {
		return nil
	}
	mixed := largest[0] > 0 && largest[1] > 0
	weights := make(map[string]float64, len(c.Accounts))
	for _, a := range c.Accounts {
		switch {
		case mixed:
			weights[a.Name] = 1
		case a.Rate > 0:
			weights[a.Name] = a.Rate
		default:
			weights[a.Name] = max(largest[0], largest[1])
		}
	}
	return weights
}

// ServiceFor returns the name of the target service of a request. The result depends
// only on the request ID and the targets, so that all gateways assign a request to
// the same service. A single target receives all requests, whatever its weight; if
// none of several targets has a positive weight, the result is "".
func (r *Route) ServiceFor(requestID string) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	total := lo.SumBy(r.Targets, func(t Target) float64 { return t.Weight })
	point := float64(xxhash.Sum64String(requestID)>>11) / (1 << 53) * total
	for _, t := range r.Targets {
		if point -= t.Weight; point < 0 {
			return t.Service
		}
	}
	return ""
}

// SafeToRetry reports whether a request may be sent to an endpoint again although
// it may already have been executed.
func (r *Route) SafeToRetry() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// RequestPriority returns the account's priority if it has one, and otherwise
// the route's. The account may be nil.
func (r *Route) RequestPriority(a *Account) int {
	if a != nil && a.HasPriority {
		return a.Priority
	}
	return r.Priority
}

// Cost returns the amount by which a request reduces the account's quota. tokens is
// the number of tokens that the request states, or 0 if it states none.
func (a *Account) Cost(tokens float64) float64 {
	switch {
	case !a.InTokens:
		return 1
	case tokens > 0:
		return tokens
	}
	return a.PlainTokens
}
