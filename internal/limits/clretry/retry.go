// Package clretry bounds how often requests are sent again: by a share of a
// budget that all gateways keep together, and by a record of requests that
// ended the endpoints that ran them.
package clretry

import (
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/cladmission"
)

type (
	// Budget is this gateway's share of the retry budgets of all services.
	// Exported fields are set before use. It is safe for concurrent use.
	Budget struct {
		// Ratio and Floor are what all gateways may use together within
		// Window: Ratio of the requests, and Floor retries besides.
		Ratio  float64
		Floor  float64
		Window time.Duration

		mu       sync.Mutex
		budget   *cladmission.Budget
		gateways int
	}

	// CrashTracker counts how often requests ended the process of an endpoint. It
	// is safe for concurrent use.
	CrashTracker struct {
		mu    sync.Mutex
		own   map[uint64]crash
		peers map[string]map[uint64]uint32
	}

	crash struct {
		count uint32
		at    time.Time
	}
)

const (
	// budgetUse is the part of the budget that is used, because arrivals at a
	// window's edge count in either of two windows.
	budgetUse = 0.8
	// mostCrashes is how often a request may end an endpoint before it is
	// refused everywhere.
	mostCrashes = 2
	// crashLifetime is how long a request that has ended endpoints is refused.
	crashLifetime = 10 * time.Minute
	// crashEntries bounds the record.
	crashEntries = 1024
)

// SetGateways divides the budget's floor among n gateways.
func (b *Budget) SetGateways(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n = max(1, n); n != b.gateways {
		b.gateways = n
		b.budget = cladmission.NewBudget(cladmission.BudgetConfig{
			Ratio: b.Ratio * budgetUse, Floor: max(1, int(b.Floor*budgetUse/float64(n))), Window: b.Window,
		})
	}
}

// SetLimits changes what all gateways may use together.
func (b *Budget) SetLimits(ratio, floor float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ratio != b.Ratio || floor != b.Floor {
		b.Ratio, b.Floor = ratio, floor
		b.gateways, b.budget = 0, nil // made anew by SetGateways
	}
}

// RecordRequest counts a first attempt at a service.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.budget != nil {
		b.budget.Request(service, now)
	}
}

// AllowRetry reports whether one more retry is within the budget, and counts it if so.
func (b *Budget) AllowRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget != nil && b.budget.Retry(service, now)
}

// Record counts that a request with this fingerprint ended an endpoint.
func (c *CrashTracker) Record(fingerprint uint64, now time.Time) uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.own == nil || len(c.own) > crashEntries {
		c.own = make(map[uint64]crash)
	}
	n := c.own[fingerprint].count + 1
	c.own[fingerprint] = crash{count: n, at: now}
	return n
}

// ShouldRefuse reports whether requests with this fingerprint ended too many endpoints.
func (c *CrashTracker) ShouldRefuse(fingerprint uint64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := uint32(0)
	if own, ok := c.own[fingerprint]; ok && now.Sub(own.at) < crashLifetime {
		n = own.count
	}
	for _, p := range c.peers {
		n += p[fingerprint]
	}
	return n >= mostCrashes
}

// LocalCounts returns what this gateway has seen.
func (c *CrashTracker) LocalCounts(now time.Time) map[uint64]uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[uint64]uint32, len(c.own))
	for f, own := range c.own {
		if now.Sub(own.at) < crashLifetime {
			out[f] = own.count
		}
	}
	return out
}

// SetPeerCounts replaces what another gateway has seen.
func (c *CrashTracker) SetPeerCounts(gateway string, counts map[uint64]uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peers == nil {
		c.peers = make(map[string]map[uint64]uint32)
	}
	if len(counts) == 0 {
		delete(c.peers, gateway)
		return
	}
	c.peers[gateway] = counts
}
