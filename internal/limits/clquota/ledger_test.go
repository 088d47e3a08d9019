// This file tests quotas that are shared by several gateways.

package clquota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// frequentDigestInterval is the time between two calls of sendDigests in
// TestGatewaysShareQuota: 20 steps of 10 ms.
const frequentDigestInterval = 200 * time.Millisecond

// Guards against gateways that together admit more in any window than an
// account's quota plus what arrives between two digests, also while the first
// gateway is partitioned from the others.
func TestGatewaysShareQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst, cost, window = 1000.0, 1000.0, 20.0, 8 * time.Second
		n := rapid.IntRange(2, 9).Draw(t, "gateways")
		demand := rapid.Float64Range(0.5, 6).Draw(t, "demand as a multiple of the rate")
		partitionAt := time.Duration(rapid.IntRange(2, 10).Draw(t, "partition at, s")) * time.Second
		partitionDuration := time.Duration(rapid.IntRange(0, 8).Draw(t, "partition for, s")) * time.Second
		limiters := make([]*Limiter, n)
		now := time.Unix(1000, 0)
		start := now
		for i := range limiters {
			limiters[i] = &Limiter{}
			limiters[i].SetLimit("a", rate, burst, now)
		}
		type admission struct{ at time.Time }
		var admitted []admission
		requestsPerStep := demand * rate / cost / float64(n) * 0.01
		arrivals := make([]float64, n)
		for step := 0; now.Sub(start) < 20*time.Second; step++ {
			now = now.Add(10 * time.Millisecond)
			for i, l := range limiters {
				for arrivals[i] += requestsPerStep; arrivals[i] >= 1; arrivals[i]-- {
					if ok, _ := l.Admit("a", cost, now); ok {
						admitted = append(admitted, admission{now})
					}
				}
			}
			if step%20 == 0 {
				sendDigests(limiters, now, now.Sub(start) >= partitionAt && now.Sub(start) < partitionAt+partitionDuration)
			}
		}
		// slack is the cost that may be admitted in a window beyond the quota.
		// After each exchange of digests, the buckets of all gateways have the
		// same level. Until the next exchange, no gateway learns what its peers
		// admit, so that together they exceed the level by at most the cost of the
		// requests that arrive in that time. The test allows twice that cost.
		slack := demand * rate * 2 * frequentDigestInterval.Seconds()
		if partitionDuration > 0 {
			// During the partition, the gateways on each side extrapolate the rates
			// that those on the other side had before it. The test allows an error
			// of 1.2 s at the account's rate.
			slack += rate * 1.2
		}
		for i, first := range admitted {
			windowCost := 0.0
			for _, a := range admitted[i:] {
				if a.at.Sub(first.at) >= window {
					break
				}
				windowCost += cost
			}
			if limit := rate*window.Seconds() + burst + slack; windowCost > limit {
				t.Fatalf("cost admitted in a window: got %.0f, want at most %.0f", windowCost, limit)
			}
		}
	})
}

// Guards against exceeding the quota in a window that contains a simultaneous
// restart of all gateways: they know neither what was spent just before nor, until
// the first digests arrive, what their peers spend.
func TestQuotaHoldsAfterRestartOfAllGateways(t *testing.T) {
	const (
		rate, burst, cost = 10_000.0, 20_000.0, 20.0
		n, window         = 9, 8 * time.Second
		demand            = 3 * rate
		digestInterval    = 1200 * time.Millisecond
		// limit is the largest cost that all gateways together may admit within a
		// window. Operators allow a tenth more than the quota for the window (the
		// setting QuotaOvershoot of clnode) and a fixed cost (QuotaSlack), for which
		// this test allows 3 % of the quota for its window.
		limit = (rate*8 + burst) * (1.1 + 0.03)
	)
	for _, restartAt := range []time.Duration{9 * time.Second, 13 * time.Second, 15 * time.Second} {
		start := time.Unix(1000, 0)
		limiters := make([]*Limiter, n)
		restart := func(now time.Time) {
			for i := range limiters {
				limiters[i] = &Limiter{BootTime: uint64(now.UnixNano()) + uint64(i)*1e6}
				limiters[i].SetGateways(n, now)
				limiters[i].SetLimit("a", rate, burst, now)
			}
		}
		restart(start)
		var admittedAt []time.Time
		requestCount, arrivals := 0, 0.0
		for now := start; now.Before(start.Add(25 * time.Second)); now = now.Add(10 * time.Millisecond) {
			since := now.Sub(start)
			if since == restartAt {
				restart(now)
			}
			for i, from := range limiters {
				if (since+time.Duration(i)*digestInterval/n).Truncate(10*time.Millisecond)%digestInterval != 0 {
					continue
				}
				for j, to := range limiters {
					if i != j {
						to.RecordPeerSpending(fmt.Sprint(i), from.BootTime, from.Spent(), now)
					}
				}
			}
			// No requests arrive in the first seconds, so that the buckets fill up.
			if since > 6*time.Second {
				arrivals += demand / cost * 0.01
			}
			for ; arrivals >= 1; arrivals-- {
				requestCount++
				if ok, _ := limiters[requestCount%n].Admit("a", cost, now); ok {
					admittedAt = append(admittedAt, now)
				}
			}
		}
		largestCost := maxWithinWindow(admittedAt, window, cost)
		require.LessOrEqual(t, largestCost, limit, "restart at %s", restartAt)
		require.GreaterOrEqual(t, float64(len(admittedAt))*cost, 0.8*rate*19, "the quota is served")
	}
}

// Guards against many gateways that each spend all of the bucket's level in the
// long interval between two digests, when an account's demand jumps to many times
// its quota and its callers retry immediately.
func TestQuotaHoldsWithInfrequentDigests(t *testing.T) {
	const (
		rate, burst, cost = 100_000.0, 200_000.0, 500.0
		n, window         = 60, 8 * time.Second
		digestInterval    = time.Second
		// limit is computed as in TestQuotaHoldsAfterRestartOfAllGateways, but for
		// the fixed cost this test allows 1.6 % of the quota for its window.
		limit = (rate*8 + burst) * (1.1 + 0.016)
	)
	start := time.Unix(1000, 0)
	limiters := make([]*Limiter, n)
	for i := range limiters {
		limiters[i] = &Limiter{BootTime: uint64(start.UnixNano())}
		limiters[i].SetGateways(n, start)
		limiters[i].SetDigestInterval(digestInterval)
		limiters[i].SetLimit("a", rate, burst, start)
	}
	var admittedAt []time.Time
	requestCount, arrivals := 0, 0.0
	for now := start; now.Before(start.Add(26 * time.Second)); now = now.Add(5 * time.Millisecond) {
		since := now.Sub(start)
		for i, from := range limiters {
			if (since+time.Duration(i)*digestInterval/n).Truncate(5*time.Millisecond)%digestInterval != 0 {
				continue
			}
			for j, to := range limiters {
				if i != j {
					to.RecordPeerSpending(fmt.Sprint(i), from.BootTime, from.Spent(), now)
				}
			}
		}
		demand := 0.5 * rate
		if since > 12*time.Second {
			demand = 7 * rate
		}
		for arrivals += demand / cost * 0.005; arrivals >= 1; arrivals-- {
			requestCount++
			if ok, _ := limiters[requestCount*7%n].Admit("a", cost, now); ok {
				admittedAt = append(admittedAt, now)
			}
		}
	}
	largestCost := maxWithinWindow(admittedAt, window, cost)
	require.LessOrEqual(t, largestCost, limit)
	require.GreaterOrEqual(t, largestCost, rate*8, "the quota is served")
}

// Guards against gateways that each spend an account's whole quota while each is
// isolated from all others, when the account's demand rises after the isolation has
// begun.
func TestIsolatedGatewaysKeepToTheirShare(t *testing.T) {
	const (
		rate, burst, cost = 10_000.0, 20_000.0, 20.0
		n                 = 20
	)
	now := time.Unix(1000, 0)
	var limiters []*Limiter
	for range n {
		l := &Limiter{}
		l.SetGateways(n, now)
		l.SetLimit("a", rate, burst, now)
		limiters = append(limiters, l)
	}
	now = now.Add(10 * time.Second)
	for _, l := range limiters {
		l.SetReachableShare(1.0 / n)
	}
	admittedCost := 0.0
	for i := range 4000 {
		for range 3 {
			if ok, _ := limiters[i%n].Admit("a", cost, now.Add(time.Duration(i)*time.Millisecond)); ok {
				admittedCost += cost
			}
		}
	}
	require.LessOrEqual(t, admittedCost, rate*4+burst+n*cost)
	require.GreaterOrEqual(t, admittedCost, 0.8*(rate*4+burst), "their shares are served")
}

// maxWithinWindow returns the largest total cost of the requests admitted within any
// window, given the times in order at which requests of the same cost were admitted.
func maxWithinWindow(admitted []time.Time, window time.Duration, cost float64) float64 {
	largestCost := 0.0
	for i, first := range admitted {
		windowCost := 0.0
		for _, at := range admitted[i:] {
			if at.Sub(first) < window {
				windowCost += cost
			}
		}
		largestCost = max(largestCost, windowCost)
	}
	return largestCost
}

// sendDigests sends each limiter's totals to all other limiters. If partitioned is
// set, the first limiter neither sends nor receives.
func sendDigests(limiters []*Limiter, now time.Time, partitioned bool) {
	for i, from := range limiters {
		for j, to := range limiters {
			if i != j && !(partitioned && (i == 0 || j == 0)) {
				to.RecordPeerSpending(fmt.Sprint(i), 1, from.Spent(), now)
			}
		}
	}
}

// Guards against refusing requests within the quota, against admitting requests
// above it, and against telling a caller to retry too early.
func TestAdmit(t *testing.T) {
	l := &Limiter{}
	now := time.Unix(1000, 0)
	ok, _ := l.Admit("unlimited", 1e9, now)
	require.True(t, ok)
	l.SetLimit("a", 100, 200, now)
	ok, _ = l.Admit("a", 100, now)
	require.True(t, ok, "a new bucket holds half of the burst")
	ok, wait := l.Admit("a", 50, now)
	require.False(t, ok)
	require.Equal(t, 500*time.Millisecond, wait)
	now = now.Add(wait)
	ok, _ = l.Admit("a", 50, now)
	require.True(t, ok)
	l.Refund("a", 50)
	ok, _ = l.Admit("a", 50, now)
	require.True(t, ok, "the cost of a request that did not run is refunded")
	now = now.Add(time.Minute)
	ok, _ = l.Admit("a", 1000, now)
	require.True(t, ok, "a request above the burst is admitted from a full bucket")
	ok, _ = l.Admit("a", 1, now.Add(time.Second))
	require.False(t, ok, "and its full cost is deducted")
}

// Guards against counting the lower totals of a restarted peer as negative
// spending.
func TestRestartedPeerStartsFromZero(t *testing.T) {
	l := &Limiter{}
	now := time.Unix(1000, 0)
	l.SetLimit("a", 100, 200, now)
	l.RecordPeerSpending("p", 1, map[string]float64{"a": 5000}, now)
	l.RecordPeerSpending("p", 2, map[string]float64{"a": 10}, now)
	l.RecordPeerSpending("p", 2, map[string]float64{"a": 60}, now)
	ok, _ := l.Admit("a", 51, now)
	require.False(t, ok)
	ok, _ = l.Admit("a", 50, now)
	require.True(t, ok)
}
