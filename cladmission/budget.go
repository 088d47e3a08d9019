// This file defines the retry budget per service.

package cladmission

import "time"

type (
	// BudgetConfig holds the parameters of a Budget; zero fields get the defaults.
	BudgetConfig struct {
		// Ratio is the largest number of retries per request within Window.
		Ratio float64
		// Floor is the number of retries within Window that are always allowed,
		// so that a service with few requests can retry at all.
		Floor int
		// Window is the time over which requests and retries are counted.
		Window time.Duration
	}

	// Budget limits the retries of each service.
	Budget struct {
		cfg      BudgetConfig
		services map[string]*counts
	}

	counts struct {
		buckets [budgetBuckets]struct{ requests, retries int }
		head    int64
	}
)

// budgetBuckets is the number of parts of the window; the window slides by one part.
const budgetBuckets = 10

// Defaults of BudgetConfig.
const (
	defaultRatio  = 0.1
	defaultFloor  = 3
	defaultWindow = 10 * time.Second
)

// NewBudget returns a budget without any requests counted.
func NewBudget(cfg BudgetConfig) *Budget {
	if cfg.Ratio <= 0 {
		cfg.Ratio = defaultRatio
	}
	if cfg.Floor <= 0 {
		cfg.Floor = defaultFloor
	}
	if cfg.Window <= 0 {
		cfg.Window = defaultWindow
	}
	return &Budget{cfg: cfg, services: map[string]*counts{}}
}

// Request counts a first attempt.
func (b *Budget) Request(service string, now time.Time) {
	c := b.at(service, now)
	c.buckets[c.head%budgetBuckets].requests++
}

// Retry reports whether one more retry is within the budget, and counts it if so.
func (b *Budget) Retry(service string, now time.Time) bool {
	c := b.at(service, now)
	requests, retries := 0, 0
	for _, k := range c.buckets {
		requests += k.requests
		retries += k.retries
	}
	if float64(retries+1) > max(float64(b.cfg.Floor), b.cfg.Ratio*float64(requests)) {
		return false
	}
	c.buckets[c.head%budgetBuckets].retries++
	return true
}

// at returns the service's counts with the parts that left the window cleared.
func (b *Budget) at(service string, now time.Time) *counts {
	head := now.UnixNano() / int64(b.cfg.Window/budgetBuckets)
	c := b.services[service]
	if c == nil {
		c = &counts{head: head}
		b.services[service] = c
	}
	if head-c.head > budgetBuckets {
		c.head = head - budgetBuckets
	}
	for c.head < head {
		c.head++
		c.buckets[c.head%budgetBuckets] = struct{ requests, retries int }{}
	}
	return c
}
