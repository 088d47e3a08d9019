// This file defines the retry budget and the record of crashes.

package clretry

import (
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/cladmission"
)

type (
	// Budget is this gateway's share of the retry budgets of all services. It allows
	// no retry until SetGateways is called.
	// Exported fields must be set before use. It is safe for concurrent use.
	Budget struct {
		// Within Window, all gateways together may send at most as many retries to
		// a service as Ratio times its requests, plus Floor. Each gateway may send
		// Ratio times its own requests, or an equal share of Floor if that is more.
		// The share is at least one retry.
		Ratio  float64
		Floor  float64
		Window time.Duration

		mu sync.Mutex
		// budget counts the requests and retries of this gateway. It is nil until
		// SetGateways is called, and again after SetLimits changes a limit.
		budget *cladmission.Budget
		// gatewayCount is the number of gateways among which budget divides Floor,
		// or 0 while budget is nil.
		gatewayCount int
	}

	// CrashTracker counts the endpoint crashes that requests cause, by the
	// request's fingerprint. It is safe for concurrent use.
	CrashTracker struct {
		mu sync.Mutex
		// localCrashes holds the crashes that this gateway has recorded, by
		// fingerprint.
		localCrashes map[uint64]crashRecord
		// peerCrashCounts holds the crash counts that the other gateways report,
		// by gateway name and fingerprint.
		peerCrashCounts map[string]map[uint64]uint32
	}

	// crashRecord holds the number of crashes that requests with one fingerprint
	// have caused, and the time of the latest crash.
	crashRecord struct {
		count  uint32
		lastAt time.Time
	}
)

const (
	// usableBudgetShare is the fraction of the budget that may be used. It is below
	// 1 because arrivals at the edge of a window may be counted in either of two
	// windows.
	usableBudgetShare = 0.8
	// refusalCrashCount is the number of crashes caused by requests with a
	// fingerprint, counted over all gateways, at which every gateway starts to refuse
	// such requests.
	refusalCrashCount = 2
	// crashRetention is how long the crashes caused by requests with a fingerprint
	// count after the latest crash that this gateway has recorded for it.
	crashRetention = 10 * time.Minute
	// maxCrashEntries limits the number of fingerprints for which this gateway records
	// crashes. If there are more, the next call of Record first drops all records.
	maxCrashEntries = 1024
)

// SetGateways sets the number of gateways that share the budget, and divides the
// budget's floor among them. If n has changed, or SetLimits has changed the limits,
// a new budget starts without the requests and retries counted so far.
func (b *Budget) SetGateways(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n = max(1, n); n != b.gatewayCount {
		b.gatewayCount = n
		b.budget = cladmission.NewBudget(cladmission.BudgetConfig{
			Ratio: b.Ratio * usableBudgetShare, Floor: max(1, int(b.Floor*usableBudgetShare/float64(n))), Window: b.Window,
		})
	}
}

// SetLimits sets the ratio and the floor that all gateways use together. If either
// differs from its present value, no retry is allowed until the next call of
// SetGateways.
func (b *Budget) SetLimits(ratio, floor float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if ratio != b.Ratio || floor != b.Floor {
		b.Ratio, b.Floor = ratio, floor
		b.gatewayCount, b.budget = 0, nil // SetGateways creates the new budget
	}
}

// RecordRequest counts a request to the service. It is called once for each request,
// before the first attempt, and not for retries; the more requests are counted, the
// more retries AllowRetry allows.
func (b *Budget) RecordRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.budget != nil {
		b.budget.Request(service, now)
	}
}

// AllowRetry reports whether the budget allows one more retry to the service, and
// counts the retry if it does.
func (b *Budget) AllowRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget != nil && b.budget.Retry(service, now)
}

// Record counts an endpoint crash caused by a request with the fingerprint, and
// returns the number of such crashes that this gateway has recorded, without those
// that no longer count.
func (c *CrashTracker) Record(fingerprint uint64, now time.Time) uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.localCrashes == nil || len(c.localCrashes) > maxCrashEntries {
		c.localCrashes = make(map[uint64]crashRecord)
	}
	n := uint32(1)
	if own := c.localCrashes[fingerprint]; now.Sub(own.lastAt) < crashRetention {
		n += own.count
	}
	c.localCrashes[fingerprint] = crashRecord{count: n, lastAt: now}
	return n
}

// ShouldRefuse reports whether requests with the fingerprint have caused at least
// refusalCrashCount crashes, as counted by this gateway and reported by the other
// gateways.
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
	return n >= refusalCrashCount
}

// LocalCounts returns the number of crashes that this gateway has recorded, by
// fingerprint. Fingerprints whose latest crash is at least crashRetention ago are left
// out.
func (c *CrashTracker) LocalCounts(now time.Time) map[uint64]uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[uint64]uint32, len(c.localCrashes))
	for f, own := range c.localCrashes {
		if now.Sub(own.lastAt) < crashRetention {
			counts[f] = own.count
		}
	}
	return counts
}

// SetPeerCounts replaces the crash counts by fingerprint that the named other
// gateway reports. The tracker keeps the map, which must not be changed afterwards.
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
