// This file defines the allocator, its decisions and its record of requests.

package clshare

import (
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

type (
	// Allocator decides which requests are refused because their accounts ask for
	// more than their shares of a service in shortage. It admits everything until
	// SetWeights is called with weights. Exported fields must be set before use. It
	// is safe for concurrent use.
	Allocator struct {
		// Rand is used only while mu is held, so it needs no lock of its own.
		Rand *rand.Rand
		// OnChange is called when the shortage of a service begins or ends, without
		// a lock held. It may be nil.
		OnChange func(Change)

		mu sync.Mutex
		// weights holds the weight of each account. It is nil if the allocator is
		// disabled.
		weights  map[string]float64
		services map[string]*service
		// configured holds the services of the configuration, or nil if they are not
		// known.
		configured map[string]bool
		// peers holds the other gateways that are heard, and their latest totals, by
		// name.
		peers    map[string]*peer
		timeouts timeouts
	}

	// Request is what the decision for a request depends on.
	Request struct {
		Service, Route, Account string
		// Priority 0 is the most urgent.
		Priority int
		// Timeout is the time limit that the caller states; 0 if it states none.
		Timeout time.Duration
		// TimeLeft is the time until the deadline of the request.
		TimeLeft time.Duration
		Cost     float64
	}

	// Decision is the decision for a request.
	Decision struct {
		// Refused is set if the request must not be sent. RetryAfter is then the
		// time after which the caller may come back.
		Refused    bool
		RetryAfter time.Duration
		// Share and Offered are the account's share and what it has offered, in cost
		// per second. They are set only if the request is refused.
		Share, Offered float64

		class int
	}

	// Change tells that the shortage of a service has begun or ended.
	Change struct {
		Service string
		Short   bool
		// RefusedFraction is the recent fraction of the admitted cost that the
		// endpoints have refused. Offered and Capacity are in cost per second.
		RefusedFraction, Offered, Capacity float64
		// Shares holds the shares of the accounts that ask for more, in cost per
		// second, at most maxLoggedShares of them.
		Shares map[string]float64
	}

	// service is the state of a service.
	service struct {
		// startedAt is the time of the first request.
		startedAt time.Time
		accounts  map[string]*account
		// recent holds the recent costs at this gateway, and local its recent offered
		// cost and number of requests, over a longer time.
		recent serviceSums
		local  localSums
		// offered and admitted are this gateway's totals, and refused is the part of
		// the admitted cost that was refused for shortage.
		offered, admitted, refused float64
		// refusedAt is the time of this gateway's latest refusal for shortage, shortAt
		// the latest time at which the service was in shortage or close to it, and
		// peerRefusedAt the latest time at which a peer has reported that.
		refusedAt, shortAt, peerRefusedAt time.Time
		// short is set during a shortage. lossAt is then the latest time at which
		// the endpoints refused more than steadyRefusedFraction.
		short  bool
		lossAt time.Time
		// peakServed is the highest served cost of the shortage, per sumTime.
		peakServed float64
		// computedAt is the time of the latest computation of the shares, and order
		// holds the accounts for it.
		computedAt time.Time
		order      []*account
	}

	// account is the state of an account at a service.
	account struct {
		name   string
		weight float64
		// recent holds the recent costs at all gateways.
		recent accountSums
		// offered and served are this gateway's totals.
		offered [Classes]float64
		served  float64
		// squares and counted are this gateway's sums of the squares of the costs and of
		// the costs, which give the size of the account's requests.
		squares, counted float64
		// margin is the part of offeredSum that may be due to chance.
		margin float64
		// offeredSum is the sum of recent.offered at the latest computation, and share is
		// the account's share, both in cost per sumTime. weightFraction is the account's
		// part of the capacity that is left by the accounts before it. granted is the
		// fraction of the requests of each class that is admitted in a shortage.
		offeredSum, share, weightFraction float64
		granted                           [Classes]float64
	}

	// accountSums holds sums that decay with the time constant sumTime.
	accountSums struct {
		offered [Classes]float64
		served  float64
		at      time.Time
	}

	// serviceSums holds sums that decay with the time constant detectionTime.
	serviceSums struct {
		offered, admitted, refused float64
		// refusals is the number of refused requests. The reports of a peer have only
		// costs; each that contains refusals counts as one.
		refusals float64
		at       time.Time
	}

	// localSums holds sums that decay with the time constant sumTime.
	localSums struct {
		offered, requests float64
		at                time.Time
	}
)

const (
	// Classes is the number of classes of requests within an account. The classes
	// with the lower numbers are served first.
	Classes = 2 * priorityLevels
	// priorityLevels is the number of distinct priorities; higher numbers belong to
	// the last level. Engines know as many.
	priorityLevels = 4
	// sumTime is the time constant of the costs of the accounts. It spans several
	// digests of each gateway, which arrive every 0.9 s with 132 gateways.
	sumTime = 2 * time.Second
	// maxTotal is the highest offered cost that a gateway counts before its totals start
	// anew. Up to it, every integer is exact as a float64.
	maxTotal = 1 << 53
	// negligibleSum is far below the cost of any request.
	negligibleSum = 1e-9
	// detectionTime is the time constant of the costs by which a shortage is
	// detected. It is about the interval between two digests of a gateway.
	detectionTime = time.Second
	// maxRetryAfter limits the time after which a refused caller may come back, so
	// that callers with much time left return while it still helps them.
	maxRetryAfter = 4 * time.Second
	// minRetryAfter is the shortest time, also for callers whose time has run out: they
	// are not to come back at once.
	minRetryAfter = 100 * time.Millisecond
	// retryTimeFraction is the fraction of their time left up to which callers
	// honour a Retry-After.
	retryTimeFraction = 1.0 / 3
	// minRetrySpread is the shortest retry time as a fraction of the longest one.
	// Between the two, the callers return evenly: a shortage has room for their share
	// at any time, but not for all of them at one time.
	minRetrySpread = 0.25
)

// SetWeights sets the weights of the accounts. Without weights, everything is
// admitted and nothing is counted. Accounts without a weight are always admitted.
func (a *Allocator) SetWeights(weights map[string]float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.weights = weights
	if len(weights) == 0 {
		a.services = nil
		for _, p := range a.peers {
			clear(p.services)
		}
		return
	}
	for _, s := range a.services {
		for name, acct := range s.accounts {
			if w, ok := weights[name]; ok {
				acct.weight = w
			} else {
				delete(s.accounts, name)
			}
		}
	}
	for _, p := range a.peers {
		clear(p.services)
	}
}

// SetServices sets the services of the configuration and drops the state of others.
func (a *Allocator) SetServices(names []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.configured = make(map[string]bool, len(names))
	for _, name := range names {
		a.configured[name] = true
	}
	gone := func(name string) bool { return !a.configured[name] }
	maps.DeleteFunc(a.services, func(name string, _ *service) bool { return gone(name) })
	for _, p := range a.peers {
		maps.DeleteFunc(p.services, func(name string, _ *peerService) bool { return gone(name) })
	}
}

// Admit decides whether a request may be sent and counts it, as Decide and Count do.
func (a *Allocator) Admit(r Request, now time.Time) Decision {
	d := a.Decide(r, now)
	a.Count(r, d, now)
	return d
}

// Decide decides whether a request may be sent. Count must follow, unless the request
// is not sent for another reason than its account's share.
func (a *Allocator) Decide(r Request, now time.Time) Decision {
	decision, change := a.decide(r, now)
	if change != nil && a.OnChange != nil {
		a.OnChange(*change)
	}
	return decision
}

// decide implements Decide. It also returns the change of the service's shortage, or nil
// if there is none.
func (a *Allocator) decide(r Request, now time.Time) (Decision, *Change) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.weights[r.Account]; !ok || !r.hasCost() {
		return Decision{}, nil
	}
	s := a.service(r.Service, now)
	d := Decision{class: classOf(r.Priority, a.timeouts.isReturning(r.Route, r.Timeout))}
	var change *Change
	if now.Sub(s.computedAt) >= computeInterval {
		change = a.compute(r.Service, s, now)
	}
	if acct := s.accounts[r.Account]; acct != nil && s.short && a.Rand.Float64() >= acct.granted[d.class] {
		d.Refused, d.RetryAfter = true, a.retryAfter(r.TimeLeft)
		d.Share, d.Offered = acct.share/sumTime.Seconds(), acct.offeredSum/sumTime.Seconds()
	}
	return d, change
}

// Count counts a request for which Decide has returned the decision. RecordRefusal must
// follow if the request was admitted and is not run.
func (a *Allocator) Count(r Request, d Decision, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	weight, ok := a.weights[r.Account]
	if !ok || !r.hasCost() {
		return
	}
	s := a.service(r.Service, now)
	if s.offered >= maxTotal {
		s.resetTotals()
	}
	acct := s.account(r.Account, weight)
	s.local.decay(now)
	s.local.offered += r.Cost
	s.local.requests++
	s.recent.decay(now)
	s.recent.offered += r.Cost
	s.offered += r.Cost
	acct.recent.decay(now)
	acct.recent.offered[d.class] += r.Cost
	acct.offered[d.class] += r.Cost
	acct.squares += r.Cost * r.Cost
	acct.counted += r.Cost
	if d.Refused {
		return
	}
	acct.recent.served += r.Cost
	acct.served += r.Cost
	s.recent.admitted += r.Cost
	s.admitted += r.Cost
}

// hasCost reports whether the request has a cost that can be counted.
func (r Request) hasCost() bool { return r.Cost > 0 && !math.IsInf(r.Cost, 0) }

// resetTotals starts the totals anew, which peers take for those of a new run.
func (s *service) resetTotals() {
	s.offered, s.admitted, s.refused = 0, 0, 0
	for _, acct := range s.accounts {
		acct.offered, acct.served = [Classes]float64{}, 0
		acct.squares, acct.counted = 0, 0
	}
}

// RecordRefusal records that an admitted request has not run. shortage is set if that
// is because no endpoint could begin it in time. It returns the time after which the
// caller may come back if the service is in shortage, and otherwise 0.
func (a *Allocator) RecordRefusal(r Request, shortage bool, now time.Time) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.services[r.Service]
	if s == nil || s.accounts[r.Account] == nil || !r.hasCost() {
		return 0
	}
	acct := s.accounts[r.Account]
	acct.recent.decay(now)
	acct.recent.served = max(0, acct.recent.served-r.Cost)
	acct.served = max(0, acct.served-r.Cost)
	s.recent.decay(now)
	if shortage {
		s.recent.refused += r.Cost
		s.recent.refusals++
		s.refused += r.Cost
		s.refusedAt = now
	} else {
		s.recent.admitted = max(0, s.recent.admitted-r.Cost)
		s.admitted = max(0, s.admitted-r.Cost)
	}
	if !shortage || !s.short {
		return 0
	}
	return a.retryAfter(r.TimeLeft)
}

// Enabled reports whether the accounts have weights.
func (a *Allocator) Enabled() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.weights) > 0
}

// retryAfter returns when a refused caller is to come back: at a random time that the
// caller still honours.
func (a *Allocator) retryAfter(timeLeft time.Duration) time.Duration {
	longest := min(maxRetryAfter, time.Duration(retryTimeFraction*float64(timeLeft)))
	return max(minRetryAfter, time.Duration((minRetrySpread+(1-minRetrySpread)*a.Rand.Float64())*float64(longest)))
}

// service returns the state of the named service.
func (a *Allocator) service(name string, now time.Time) *service {
	s := a.services[name]
	if s == nil {
		if a.services == nil {
			a.services = make(map[string]*service)
		}
		s = &service{startedAt: now, accounts: make(map[string]*account)}
		a.services[name] = s
	}
	return s
}

// account returns the state of the named account.
func (s *service) account(name string, weight float64) *account {
	acct := s.accounts[name]
	if acct == nil {
		acct = &account{name: name, weight: weight}
		for c := range acct.granted {
			acct.granted[c] = 1
		}
		s.accounts[name] = acct
	}
	return acct
}

// classOf returns the class of a request. The more urgent priorities come first, and
// within a priority the callers that return after a refusal.
func classOf(priority int, returning bool) int {
	class := 2 * min(max(priority, 0), priorityLevels-1)
	if !returning {
		class++
	}
	return class
}

// decay decays the sums up to now.
func (s *accountSums) decay(now time.Time) {
	if f := decayFactor(&s.at, now, sumTime); f != 1 {
		s.served = decayed(s.served, f)
		for c := range s.offered {
			s.offered[c] = decayed(s.offered[c], f)
		}
	}
}

// decay decays the sums up to now.
func (s *serviceSums) decay(now time.Time) {
	f := decayFactor(&s.at, now, detectionTime)
	s.offered = decayed(s.offered, f)
	s.admitted = decayed(s.admitted, f)
	s.refused = decayed(s.refused, f)
	s.refusals = decayed(s.refusals, f)
}

// decayed returns the decayed sum, or 0 if it is negligible: processors take many times
// longer for the smallest numbers, at which a sum would stay.
func decayed(sum, factor float64) float64 {
	if sum *= factor; sum < negligibleSum {
		return 0
	}
	return sum
}

// add adds other sums of the same time.
func (s *serviceSums) add(o serviceSums) {
	s.offered += o.offered
	s.admitted += o.admitted
	s.refused += o.refused
	s.refusals += o.refusals
}

// decay decays the sums up to now.
func (s *localSums) decay(now time.Time) {
	f := decayFactor(&s.at, now, sumTime)
	s.offered *= f
	s.requests *= f
}

// decayFactor returns the factor for the time from at to now, and advances at.
func decayFactor(at *time.Time, now time.Time, constant time.Duration) float64 {
	elapsed := now.Sub(*at)
	if elapsed <= 0 {
		return 1
	}
	*at = now
	return math.Exp(-elapsed.Seconds() / constant.Seconds())
}
