// This file defines the configuration snapshot and its lookups by route, service and account.

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
	// before the lookup methods are used.
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
		Name string
		Host string
		// PathPrefix starts and ends with a slash.
		PathPrefix string
		Kind       Kind
		// Timeout is the maximum duration of a request.
		Timeout time.Duration
		// TargetLatency is the intended time to the response, or to the first event of a stream.
		TargetLatency time.Duration
		// TargetGap is the longest acceptable time between two events of a stream.
		TargetGap time.Duration
		// Priority 0 is the highest.
		Priority int
		Targets  []Target
		// MaxAttempts is the maximum number of endpoints that a request is sent to.
		MaxAttempts int
		// Anonymous routes require no API key.
		Anonymous bool
		// Resumable streams may continue on another endpoint.
		Resumable bool
	}

	// Target is a service and its weight in the division of a route's requests.
	Target struct {
		Service string
		Weight  float64
	}

	// Service is a group of interchangeable endpoints.
	Service struct {
		Name string
		// MaxConns is the number of connections that an endpoint accepts from all gateways combined.
		MaxConns int
		// ColdStart is how long an endpoint is cold after its process starts.
		ColdStart time.Duration
		// ColdPerSecond is the request rate that a cold endpoint tolerates; 0 means no limit.
		ColdPerSecond float64
		// Engine is nil for a service that does not run a model engine.
		Engine *Engine
		// Scaling is nil for a service with a fixed number of endpoints.
		Scaling *Scaling
	}

	// Engine describes the model engine that each endpoint of a service runs.
	Engine struct {
		Slots int
		// CacheTokens is the size, in tokens, of the key-value cache that running
		// requests and cached prompts share.
		CacheTokens int
	}

	// Scaling limits how many endpoints may be ordered in each data centre.
	Scaling struct {
		Min, Max int
		// Boot is the time from an order until the endpoint takes requests.
		Boot time.Duration
		// SpotPrice is the price of a reclaimable endpoint as a fraction of the regular price.
		SpotPrice float64
		// Prices holds the price of an endpoint per second, by data centre.
		Prices map[string]float64
	}

	// Account is a client account with its keys and its quota.
	Account struct {
		Name string
		Keys []string
		// Priority overrides the route's priority if HasPriority is set.
		Priority    int
		HasPriority bool
		// InTokens means that Rate and Burst count tokens instead of requests.
		InTokens bool
		// PlainTokens is the cost of a request that does not state its token count.
		PlainTokens float64
		// Rate is the quota per second; 0 means no limit.
		Rate  float64
		Burst float64
	}

	// Limits bounds the size and duration of what a caller sends.
	Limits struct {
		HeaderBytes, BodyBytes int
		HeaderTimeout          time.Duration
		IdleTimeout            time.Duration
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

// BuildIndexes builds the indexes that the lookup methods use.
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

// MatchRoute returns the route for host with the longest matching path prefix, or nil.
func (c *Catalog) MatchRoute(host, path string) *Route {
	for _, r := range c.routesByHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns the named service, or nil.
func (c *Catalog) Service(name string) *Service { return c.servicesByName[name] }

// Account returns the named account, or nil.
func (c *Catalog) Account(name string) *Account { return c.accountsByName[name] }

// AccountByKey returns the account to which the API key belongs, or nil.
func (c *Catalog) AccountByKey(key string) *Account { return c.accountsByKey[key] }

// HasAccounts reports whether any account is configured. If so, every route
// that is not anonymous requires an API key.
func (c *Catalog) HasAccounts() bool { return len(c.Accounts) > 0 }

// ServiceFor returns the target service of a request. It depends only on the
// request ID and the weights, so that all gateways assign a request to the same
// service.
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

// SafeToRetry reports whether a request may be sent again although it may
// already have been executed.
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

// Cost returns the amount by which a request with the given number of tokens
// reduces the account's quota.
func (a *Account) Cost(tokens float64) float64 {
	switch {
	case !a.InTokens:
		return 1
	case tokens > 0:
		return tokens
	}
	return a.PlainTokens
}
