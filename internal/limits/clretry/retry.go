// Package clretry limits how often requests are retried. A Budget is one
// gateway's share of a retry budget common to all gateways; a CrashTracker
// identifies requests that crash the endpoints that run them.
package clretry

import (
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/cladmission"
)

type (
	// Budget is this gateway's share of the retry budgets of all services.
	// Exported fields must be set before use. It is safe for concurrent use.
	Budget struct {
		// Within Window, all gateways together may send at most Ratio times
		// the requests plus Floor retries.
		Ratio  float64
		Floor  float64
		Window time.Duration

		mu           sync.Mutex
		budget       *cladmission.Budget
		gatewayCount int
	}

	// CrashTracker counts the endpoint crashes caused by each request, which is
	// identified by its fingerprint. It is safe for concurrent use.
	CrashTracker struct {
		mu              sync.Mutex
		localCrashes    map[uint64]crashRecord
		peerCrashCounts map[string]map[uint64]uint32
	}

	crashRecord struct {
		count  uint32
		lastAt time.Time
	}
)

const (
	// budgetUtilization is the fraction of the budget that is used. It is below
	// 1 because arrivals at the edge of a window may be counted in either of two
	// windows.
	budgetUtilization = 0.8
	// maxCrashes is the number of crashes, counted over all gateways, from which
	// on every gateway refuses the request.
	maxCrashes = 2
	// crashRetention is how long a crash counts after the latest one that this
	// gateway recorded for the same fingerprint.
	crashRetention = 10 * time.Minute
	// maxCrashEntries bounds the fingerprints recorded by this gateway; beyond
	// it, the record is cleared.
	maxCrashEntries = 1024
)

// SetGateways divides the budget's floor among n gateways. A changed n starts a
// new budget, without the requests and retries counted so far.
func (b *Budget) SetGateways(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n = max(1, n); n != b.gatewayCount {
		b.gatewayCount = n
		b.budget = cladmission.NewBudget(cladmission.BudgetConfig{
			Ratio: b.Ratio * budgetUtilization, Floor: max(1, int(b.Floor*budgetUtilization/float64(n))), Window: b.Window,
		})
	}
}

// SetLimits changes the ratio and the floor that all gateways use together. If
// they differ, no retry is allowed until the next call of SetGateways.
func (b *Budget) SetLimits(ratio, floor float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ratio != b.Ratio || floor != b.Floor {
		b.Ratio, b.Floor = ratio, floor
		b.gatewayCount, b.budget = 0, nil // SetGateways creates the new budget
	}
}

// RecordRequest counts the first attempt of a request to a service.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.budget != nil {
		b.budget.Request(service, now)
	}
}

// AllowRetry reports whether the budget allows one more retry, and counts the
// retry if it does.
func (b *Budget) AllowRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget != nil && b.budget.Retry(service, now)
}

// Record counts an endpoint crash caused by a request with the fingerprint, and
// returns the number of such crashes that this gateway has recorded.
func (c *CrashTracker) Record(fingerprint uint64, now time.Time) uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.localCrashes == nil || len(c.localCrashes) > maxCrashEntries {
		c.localCrashes = make(map[uint64]crashRecord)
	}
	n := c.localCrashes[fingerprint].count + 1
	c.localCrashes[fingerprint] = crashRecord{count: n, lastAt: now}
	return n
}

// ShouldRefuse reports whether requests with the fingerprint have crashed too
// many endpoints, as counted by all gateways.
func (c *CrashTracker) ShouldRefuse(fingerprint uint64, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := uint32(0)
	if own, ok := c.localCrashes[fingerprint]; ok && now.Sub(own.lastAt) < crashRetention {
		n = own.count
	}
	for _, p := range c.peerCrashCounts {
		n += p[fingerprint]
	}
	return n >= maxCrashes
}

// LocalCounts returns the crashes that this gateway has recorded and that still
// count, by fingerprint.
func (c *CrashTracker) LocalCounts(now time.Time) map[uint64]uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[uint64]uint32, len(c.localCrashes))
	for f, own := range c.localCrashes {
		if now.Sub(own.lastAt) < crashRetention {
			out[f] = own.count
		}
	}
	return out
}

// SetPeerCounts replaces the crash counts reported by another gateway.
func (c *CrashTracker) SetPeerCounts(gateway string, counts map[uint64]uint32) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peerCrashCounts == nil {
		c.peerCrashCounts = make(map[string]map[uint64]uint32)
	}
	if len(counts) == 0 {
		delete(c.peerCrashCounts, gateway)
		return
	}
	c.peerCrashCounts[gateway] = counts
}
