// This file tests quotas with many gateways in simulations.

package clquota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// maxRefusedShare is the largest share of refused requests in calm. Before the
	// estimates were weighted, 2 to 3 in 100 were refused with 132 gateways at 0.8 of
	// the limit.
	maxRefusedShare = 0.001
	// simSurgeStart and simSurgeDuration are when the demand of simSurge is high, in
	// simulated time; the duration is that of the days in KNOWN-RED.txt.
	simSurgeStart    = 13 * time.Second
	simSurgeDuration = 6500 * time.Millisecond
)

// simSurge is a demand of 0.8 of the rate with a surge to 7.5 times the rate.
func simSurge(since time.Duration) float64 {
	if at := since + simTrafficStart; at >= simSurgeStart && at < simSurgeStart+simSurgeDuration {
		return 7.5
	}
	return 0.8
}

// steady returns a demand that does not change.
func steady(demand float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return demand }
}

// restartsInTurn returns restarts of n gateways from the start of the surge on, one
// after the other with the given gap.
func restartsInTurn(n int, gap time.Duration) map[int]time.Duration {
	restarts := make(map[int]time.Duration)
	for i := range n {
		restarts[i] = simSurgeStart - time.Second + time.Duration(i)*gap
	}
	return restarts
}

// allAt returns restarts of n gateways at the given time.
func allAt(n int, at time.Duration) map[int]time.Duration {
	restarts := make(map[int]time.Duration)
	for i := range n {
		restarts[i] = at
	}
	return restarts
}

// Guards against refusals of accounts below their limit in calm, also after the limits
// have been lowered to one that is above what the accounts ask for: noise in what the
// gateways know of each other must not look like a surge.
func TestNoRefusalBelowTheLimit(t *testing.T) {
	for _, n := range calmGateways {
		for _, demand := range []float64{0.5, 0.8} {
			for _, lowerAt := range []time.Duration{0, simTrafficStart + 1500*time.Millisecond} {
				s := simulation{n: n, seed: 1, demand: steady(demand), lowerAt: lowerAt, lowerTo: 0.5, duration: 20 * time.Second}
				refused, below, all := 0, 0, 0
				for _, o := range s.run() {
					r, a := o.refusedAfter(lowerAt)
					refused, all = refused+r, all+a
					for i, isBelow := range o.belowLimit() {
						if isBelow && !o.requests[i].admitted && o.requests[i].at >= lowerAt {
							below++
						}
					}
				}
				t.Logf("%d gateways, demand %.1f, lowered at %s: %d of %d requests refused, %d below the limit", n, demand, lowerAt, refused, all, below)
				require.LessOrEqual(t, float64(refused), maxRefusedShare*float64(all))
			}
		}
	}
}

// Guards against exceeding the quota bound in a surge, alone or while gateways restart
// or one is isolated, and against a bound that is kept by serving too little.
func TestQuotaBoundHoldsInSurge(t *testing.T) {
	const isolatedFrom, isolatedFor, down = simSurgeStart - 300*time.Millisecond, 5 * time.Second, 2 * time.Second
	for _, tc := range surgeCases(isolatedFrom, isolatedFor, down) {
		t.Run(fmt.Sprintf("%s, %d gateways", tc.name, tc.n), func(t *testing.T) {
			tc.seed, tc.demand, tc.duration = 1, simSurge, 25*time.Second
			for _, o := range tc.run() {
				require.LessOrEqual(t, o.boundShare(), 1.0, "%.0f a second", o.rate)
				served := 0.0
				for _, r := range o.requests {
					if r.admitted && r.at >= simSurgeStart && r.at < simSurgeStart+simSurgeDuration {
						served += r.cost
					}
				}
				require.GreaterOrEqual(t, served, 0.8*o.rate*simSurgeDuration.Seconds(), "%.0f a second", o.rate)
			}
		})
	}
}

// Guards against expensive requests that keep cheap ones of the same account from being
// served although they themselves are refused.
func TestCheapRequestsAreServedBesideRefusedExpensiveOnes(t *testing.T) {
	const cheap, expensive = 1_000.0, 50_000.0
	for _, n := range []int{132, 9} {
		// Of the cost, 1 part in 11 is cheap: 0.34 of the limit.
		s := simulation{n: n, seed: 1, demand: steady(3.75), duration: 20 * time.Second, cost: func(rng *rand.Rand) float64 {
			if rng.IntN(6) == 0 {
				return expensive
			}
			return cheap
		}}
		for _, o := range s.run() {
			require.LessOrEqual(t, o.boundShare(), 1.0)
			admitted, all := map[float64]int{}, map[float64]int{}
			for _, r := range o.requests {
				all[r.cost]++
				if r.admitted {
					admitted[r.cost]++
				}
			}
			share := func(cost float64) float64 { return float64(admitted[cost]) / float64(all[cost]) }
			require.Greater(t, share(cheap), share(expensive), "%d gateways, %.0f a second", n, o.rate)
			t.Logf("%d gateways, %.0f a second: %.2f of the cheap requests and %.2f of the expensive ones served", n, o.rate, share(cheap), share(expensive))
		}
	}
}

// Guards against the spending of a gateway that drains going uncounted, and against
// spending assumed of it after it has ended.
func TestLeavingPeer(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &Limiter{BootTime: uint64(now.UnixNano())}
	l.SetGateways(2, now)
	l.SetDigestInterval(200 * time.Millisecond)
	l.SetLimit("a", 1000, 10_000, now)
	level := func() float64 {
		l.buckets["a"].advance(now, l.digestInterval)
		return l.buckets["a"].level
	}
	for i := range 200 {
		now = now.Add(200 * time.Millisecond)
		l.RecordPeerSpending("p", l.BootTime, map[string]float64{"a": float64(i) * 100}, now)
	}
	require.InDelta(t, 10_000, level(), 1, "half of the rate leaves the bucket full")
	l.SetPeerLeaving("p")
	l.RecordPeerSpending("p", l.BootTime, map[string]float64{"a": 24_900}, now)
	require.InDelta(t, 5_000, level(), 1, "spending while leaving counts")
	now = now.Add(time.Second)
	level()
	before := level()
	now = now.Add(time.Second)
	require.InDelta(t, before+1000, level(), 1, "nothing is assumed of a peer that has ended")
}

// Guards against log lines that name the wrong basis of a refusal.
func TestDecisionBasis(t *testing.T) {
	now := time.Unix(1000, 0)
	newLimiter := func() *Limiter {
		l := &Limiter{BootTime: uint64(now.UnixNano())}
		l.SetGateways(100, now)
		l.SetDigestInterval(time.Second)
		l.SetLimit("a", 1000, 1000, now)
		return l
	}
	require.Equal(t, BasisStartup, newLimiter().Decide("a", 100, now).Basis, "no digests yet")
	l := newLimiter()
	for i := range 99 {
		l.RecordPeerSpending(fmt.Sprint(i), l.BootTime, map[string]float64{"a": 1}, now)
	}
	later := now.Add(2 * time.Second)
	require.True(t, l.Decide("a", 500, later).Admitted)
	d := l.Decide("a", 400, later.Add(100*time.Millisecond))
	require.Equal(t, BasisUnreported, d.Basis, "the peers have probably spent as much since their reports")
	require.Positive(t, d.Unreported)
	require.Equal(t, BasisAboveLimit, l.Decide("a", 900, later).Basis)
}
