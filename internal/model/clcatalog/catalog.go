// This file defines the configuration snapshot and how a request finds its route and account.

package clcatalog

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

type (
	// Catalog is one version of the configuration; Index must be called before it is used.
	Catalog struct {
		// Version rises with each change, in uneven steps.
		Version  uint64
		Routes   []Route
		Services []Service
		Accounts []Account
		Limits   Limits

		byHost   map[string][]*Route
		services map[string]*Service
		accounts map[string]*Account
		byKey    map[string]*Account
	}

	// Route says where requests with a host and a path prefix go, and what they may cost.
	Route struct {
		Name string
		Host string
		// PathPrefix begins and ends with a slash.
		PathPrefix string
		Kind       Kind
		// Timeout is the longest time that a request is held.
		Timeout time.Duration
		// TargetLatency is the time to the answer, or to the first event of a stream.
		TargetLatency time.Duration
		// TargetGap is the longest acceptable pause between the events of a stream.
		TargetGap time.Duration
		// Priority is 0 for the most urgent.
		Priority int
		Targets  []Target
		// MaxAttempts is the number of endpoints that one request may be sent to.
		MaxAttempts int
		// Anonymous routes need no key.
		Anonymous bool
		// Resumable streams may go on at another endpoint.
		Resumable bool
	}

	// Target is one of the services that share a route's requests.
	Target struct {
		Service string
		Weight  float64
	}

	// Service is a group of interchangeable endpoints.
	Service struct {
		Name string
		// MaxConns is the number of connections that an endpoint accepts from all gateways together.
		MaxConns int
		// ColdStart is how long an endpoint stays cold after its start.
		ColdStart time.Duration
		// ColdPerSecond is the rate of requests that a cold endpoint tolerates; 0 means no limit.
		ColdPerSecond float64
		// Engine is nil for a plain service.
		Engine *Engine
		// Scaling is nil for a service whose size is fixed.
		Scaling *Scaling
	}

	// Engine describes the model engines of a service.
	Engine struct {
		Slots int
		// CacheTokens is the memory that running requests and cached prompts share.
		CacheTokens int
	}

	// Scaling bounds the endpoints that may be ordered, for each data centre.
	Scaling struct {
		Min, Max int
		// Boot is the time from an order to the first request.
		Boot time.Duration
		// SpotPrice is the price of a reclaimable endpoint as a part of the usual price.
		SpotPrice float64
		// Prices are the costs of an endpoint for a second, by data centre.
		Prices map[string]float64
	}

	// Account is a client account with its keys and its quota.
	Account struct {
		Name string
		Keys []string
		// Priority takes precedence over the route's, if HasPriority is set.
		Priority    int
		HasPriority bool
		// InTokens says that Rate and Burst count tokens and not requests.
		InTokens bool
		// PlainTokens is the cost of a request that states no tokens.
		PlainTokens float64
		// Rate is the quota for a second; 0 means no limit.
		Rate  float64
		Burst float64
	}

	// Limits bound what a caller may send.
	Limits struct {
		HeaderBytes, BodyBytes int
		HeaderTimeout          time.Duration
		IdleTimeout            time.Duration
	}

	// Kind says what may be repeated.
	Kind string
)

const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = "non_idempotent"
	// Streaming requests are answered by events, and run at most once unless the route is resumable.
	Streaming Kind = "streaming"
)

// BuildIndexes prepares the look-ups.
func (c *Catalog) BuildIndexes() {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		c.byHost[r.Host] = append(c.byHost[r.Host], r)
	}
	for _, routes := range c.byHost {
		slices.SortFunc(routes, func(a, b *Route) int { return len(b.PathPrefix) - len(a.PathPrefix) })
	}
	c.services = make(map[string]*Service, len(c.Services))
	for i := range c.Services {
		c.services[c.Services[i].Name] = &c.Services[i]
	}
	c.accounts = make(map[string]*Account, len(c.Accounts))
	c.byKey = make(map[string]*Account)
	for i := range c.Accounts {
		a := &c.Accounts[i]
		c.accounts[a.Name] = a
		for _, k := range a.Keys {
			c.byKey[k] = a
		}
	}
}

// MatchRoute returns the route of the host with the longest prefix of path, or nil.
func (c *Catalog) MatchRoute(host, path string) *Route {
	for _, r := range c.byHost[host] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r
		}
	}
	return nil
}

// Service returns the named service, or nil.
func (c *Catalog) Service(name string) *Service { return c.services[name] }

// Account returns the named account, or nil.
func (c *Catalog) Account(name string) *Account { return c.accounts[name] }

// AccountByKey returns the account that holds the key, or nil.
func (c *Catalog) AccountByKey(key string) *Account { return c.byKey[key] }

// HasAccounts says that routes need a key unless they are anonymous.
func (c *Catalog) HasAccounts() bool { return len(c.Accounts) > 0 }

// ServiceFor returns the service that a request is assigned to by its ID, so
// that all gateways divide a route's requests alike.
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

// SafeToRetry says that a request may be sent again after it may have run.
func (r *Route) SafeToRetry() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// RequestPriority returns the priority of a request: the account's, or else the route's.
func (r *Route) RequestPriority(a *Account) int {
	if a != nil && a.HasPriority {
		return a.Priority
	}
	return r.Priority
}

// Cost returns what a request takes from the account's quota.
func (a *Account) Cost(tokens float64) float64 {
	switch {
	case !a.InTokens:
		return 1
	case tokens > 0:
		return tokens
	}
	return a.PlainTokens
}
