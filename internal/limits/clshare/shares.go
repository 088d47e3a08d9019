// This file detects shortages and computes the shares.

package clshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// computeInterval is the time between two computations of the shares of a
	// service. It is short against the interval between digests.
	computeInterval = 100 * time.Millisecond
	// shortageRefusedFraction is the fraction of the admitted cost that the endpoints
	// refuse when a shortage begins. Bursts that a gateway's own estimates cause
	// stay below it.
	shortageRefusedFraction = 0.05
	// minRefusedRequests is the number of recent refusals without which no shortage
	// begins, also in requests of average cost: one refusal is no sign of a shortage,
	// neither of a gateway with few requests nor of a request with a large cost.
	minRefusedRequests = 3
	// warmUpTime is the time from the first request for a service until a shortage may
	// begin. Before, the sums of sumTime are too low to be compared with later ones.
	warmUpTime = 3 * sumTime
	// steadyRefusedFraction is the fraction that the endpoints refuse, above which the
	// capacity counts as used up. It is below minHeadroom, so that a shortage which
	// lasts shows in refusals.
	steadyRefusedFraction = 0.01
	// minHeadroom is the fraction of the served cost that is granted beyond it while
	// the endpoints refuse requests, so that the measured capacity can grow.
	minHeadroom = 0.02
	// headroomPerSecond is the growth of the headroom while the endpoints refuse
	// almost nothing, and maxHeadroom its limit. An overload by half ends within about
	// 5 s of the return of the capacity.
	headroomPerSecond = 0.08
	maxHeadroom       = 0.5
	// minLossFreeTime is the time without noticeable refusals before a shortage ends,
	// and before the headroom grows. With 1 s, shares refused up to 1.1 in 100 requests
	// more than 4 s after the load of TestPatterns.
	minLossFreeTime = 700 * time.Millisecond
	// minCapacityFraction limits the capacity from below, as a fraction of the highest
	// served cost of the shortage. Some refusals don't depend on the load, and each of
	// them would otherwise reduce the capacity further. While the endpoints refuse more
	// than lostCapacityFraction, the highest served cost decays with lostCapacityTime:
	// capacity has then been lost during the shortage.
	minCapacityFraction  = 0.8
	lostCapacityFraction = 0.2
	lostCapacityTime     = 10 * time.Second
	// outageServedFraction is the fraction of the offered cost that is served, below
	// which the shares don't apply. So little is an outage, in which the capacity
	// can't be measured, and a capacity of almost 0 would refuse almost all requests
	// after its end.
	outageServedFraction = 0.05
	// marginDeviations is how many standard deviations of its offered cost an account
	// must be above its share to be refused: accounts at or below it exceed it by chance.
	marginDeviations = 2
	// maxLoggedShares limits the shares in a Change.
	maxLoggedShares = 16
)

// compute detects whether the service is in shortage and computes the shares. It
// returns the change of the shortage, or nil if there is none.
func (a *Allocator) compute(name string, s *service, now time.Time) *Change {
	elapsed := now.Sub(s.computedAt)
	s.computedAt = now
	s.local.decay(now)
	load, known, accountsKnown := a.load(name, s, now)
	refusedFraction := 0.0
	if load.admitted > 0 {
		refusedFraction = load.refused / load.admitted
	}
	if refusedFraction > steadyRefusedFraction {
		s.lossAt = now
	}
	wasShort := s.short
	if !s.short {
		if !known || now.Sub(s.startedAt) < warmUpTime || refusedFraction < shortageRefusedFraction ||
			load.refusals < minRefusedRequests || load.refused*s.local.requests < minRefusedRequests*s.local.offered {
			return nil
		}
		s.shortAt = now
		if !accountsKnown {
			return nil
		}
		s.short = true
	}
	s.shortAt = now
	offered, served := 0.0, 0.0
	s.order = s.order[:0]
	for _, acct := range s.accounts {
		acct.recent.decay(now)
		acct.offeredSum = 0
		for _, cost := range acct.recent.offered {
			acct.offeredSum += cost
		}
		acct.margin = acct.chanceMargin()
		offered += acct.offeredSum
		served += acct.recent.served
		s.order = append(s.order, acct)
	}
	if !wasShort {
		s.peakServed = 0
	} else if refusedFraction > lostCapacityFraction {
		s.peakServed *= math.Exp(-elapsed.Seconds() / lostCapacityTime.Seconds())
	}
	s.peakServed = max(s.peakServed, served)
	lossFree := now.Sub(s.lossAt) >= minLossFreeTime
	capacity := max(served*(1+s.headroom(now)), minCapacityFraction*s.peakServed)
	if lossFree {
		capacity = max(capacity, s.peakServed)
	}
	switch {
	case !known || !accountsKnown:
		// No shares follow from the figures of a few gateways.
		s.short = false
		capacity = offered
	case lossFree && load.offered/detectionTime.Seconds() <= capacity/sumTime.Seconds():
		s.short = false
		capacity = offered
	case served < outageServedFraction*offered:
		capacity = offered
	}
	divide(s.order, capacity)
	if s.short == wasShort {
		return nil
	}
	change := &Change{
		Service: name, Short: s.short, RefusedFraction: refusedFraction, Offered: offered / sumTime.Seconds(), Capacity: capacity / sumTime.Seconds(),
		Shares: make(map[string]float64),
	}
	for _, acct := range s.order {
		if acct.share < acct.offeredSum && len(change.Shares) < maxLoggedShares {
			change.Shares[acct.name] = acct.share / sumTime.Seconds()
		}
	}
	return change
}

// headroom returns the fraction of the served cost that is granted beyond it.
func (s *service) headroom(now time.Time) float64 {
	return min(maxHeadroom, minHeadroom+headroomPerSecond*max(0, now.Sub(s.lossAt)-minLossFreeTime).Seconds())
}

// chanceMargin returns marginDeviations standard deviations of the account's offeredSum.
// A sum with the time constant T over requests that arrive at random at the rate r has
// the mean r*T*E(cost) and the variance r*T/2*E(cost^2).
func (a *account) chanceMargin() float64 {
	if a.counted == 0 {
		return 0
	}
	return marginDeviations * math.Sqrt(a.offeredSum*a.squares/a.counted/2)
}

// divide sets the shares of the accounts by weighted max-min fairness, and the
// fractions that are granted within each account. It sorts the accounts.
func divide(accounts []*account, capacity float64) {
	slices.SortFunc(accounts, func(a, b *account) int { return cmp.Compare(a.offeredSum*b.weight, b.offeredSum*a.weight) })
	// Summed from the end, the weights that are left stay exact for small accounts.
	weightLeft := 0.0
	for _, acct := range slices.Backward(accounts) {
		weightLeft += acct.weight
		acct.weightFraction = acct.weight / weightLeft
	}
	for _, acct := range accounts {
		acct.share = max(0, capacity) * acct.weightFraction
		if acct.offeredSum <= acct.share+acct.margin {
			for c := range acct.granted {
				acct.granted[c] = 1
			}
			capacity -= acct.offeredSum
			continue
		}
		capacity -= acct.share
		left := acct.share
		for c, cost := range acct.recent.offered {
			switch {
			case cost <= left:
				acct.granted[c] = 1
			default:
				acct.granted[c] = left / cost
			}
			left = max(0, left-cost)
			if left == 0 && cost == 0 {
				acct.granted[c] = 0
			}
		}
	}
}
