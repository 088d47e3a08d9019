// This file defines the retry budget.

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
)

const (
	// usableBudgetShare is the fraction of the budget that may be used. It is below
	// 1 because arrivals at the edge of a window may be counted in either of two
	// windows.
	usableBudgetShare = 0.8
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
