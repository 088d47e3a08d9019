// This file tests quotas that several gateways spend together.

package clquota

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const exchangeEvery = 200 * time.Millisecond

// Guards against gateways that together admit more than an account's quota in
// any window, beyond what they admit between two exchanges, also while some of
// them are cut off from each other.
func TestGatewaysKeepTheQuotaTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst, cost, window = 1000.0, 1000.0, 20.0, 8 * time.Second
		n := rapid.IntRange(2, 9).Draw(t, "gateways")
		demand := rapid.Float64Range(0.5, 6).Draw(t, "demand as a multiple of the rate")
		cutAt := time.Duration(rapid.IntRange(2, 10).Draw(t, "cut at, s")) * time.Second
		cutFor := time.Duration(rapid.IntRange(0, 8).Draw(t, "cut for, s")) * time.Second
		ledgers := make([]*Limiter, n)
		now := time.Unix(1000, 0)
		start := now
		for i := range ledgers {
			ledgers[i] = &Limiter{}
			ledgers[i].SetLimit("a", rate, burst, now)
		}
		type admission struct{ at time.Time }
		var admitted []admission
		perStep := demand * rate / cost / float64(n) * 0.01
		owed := make([]float64, n)
		for step := 0; now.Sub(start) < 20*time.Second; step++ {
			now = now.Add(10 * time.Millisecond)
			for i, l := range ledgers {
				for owed[i] += perStep; owed[i] >= 1; owed[i]-- {
					if ok, _ := l.Admit("a", cost, now); ok {
						admitted = append(admitted, admission{now})
					}
				}
			}
			if step%20 == 0 {
				exchange(ledgers, now, now.Sub(start) >= cutAt && now.Sub(start) < cutAt+cutFor)
			}
		}
		// Between two exchanges each gateway sees the same level, so that the
		// sum exceeds it by at most what arrives meanwhile; a gateway that is
		// cut off goes by its peers' last rates.
		slack := demand * rate * 2 * exchangeEvery.Seconds()
		if cutFor > 0 {
			slack += rate * 1.2
		}
		for i, first := range admitted {
			sum := 0.0
			for _, a := range admitted[i:] {
				if a.at.Sub(first.at) >= window {
					break
				}
				sum += cost
			}
			if limit := rate*window.Seconds() + burst + slack; sum > limit {
				t.Fatalf("%.0f admitted in a window, the limit is %.0f", sum, limit)
			}
		}
	})
}

// Guards against all gateways that restart at once and, knowing neither what
// was spent just before nor what the others spend until their first digests,
// grant so much that a window over the restart exceeds the quota.
func TestRestartOfAllGatewaysKeepsTheQuota(t *testing.T) {
	const (
		rate, burst, cost = 10_000.0, 20_000.0, 20.0
		n, window         = 9, 8 * time.Second
		demand            = 3 * rate
		digestEvery       = 1200 * time.Millisecond
		// What operators tolerate: a tenth beyond the quota, and an amount
		// that is three hundredths of the largest accounts' quotas.
		limit = (rate*8 + burst) * (1.1 + 0.03)
	)
	for _, restartAt := range []time.Duration{9 * time.Second, 13 * time.Second, 15 * time.Second} {
		start := time.Unix(1000, 0)
		ledgers := make([]*Limiter, n)
		restart := func(now time.Time) {
			for i := range ledgers {
				ledgers[i] = &Limiter{BootTime: uint64(now.UnixNano()) + uint64(i)*1e6}
				ledgers[i].SetGateways(n, now)
				ledgers[i].SetLimit("a", rate, burst, now)
			}
		}
		restart(start)
		var admitted []time.Time
		next, owed := 0, 0.0
		for now := start; now.Before(start.Add(25 * time.Second)); now = now.Add(10 * time.Millisecond) {
			since := now.Sub(start)
			if since == restartAt {
				restart(now)
			}
			for i, from := range ledgers {
				if (since+time.Duration(i)*digestEvery/n).Truncate(10*time.Millisecond)%digestEvery != 0 {
					continue
				}
				for j, to := range ledgers {
					if i != j {
						to.RecordPeerSpending(fmt.Sprint(i), from.BootTime, from.Spent(), now)
					}
				}
			}
			// Nobody asks for some seconds, so that the burst is there at first.
			if since > 6*time.Second {
				owed += demand / cost * 0.01
			}
			for ; owed >= 1; owed-- {
				next++
				if ok, _ := ledgers[next%n].Admit("a", cost, now); ok {
					admitted = append(admitted, now)
				}
			}
		}
		most := mostWithin(admitted, window, cost)
		require.LessOrEqual(t, most, limit, "restart at %s", restartAt)
		require.GreaterOrEqual(t, float64(len(admitted))*cost, 0.8*rate*19, "the quota is served")
	}
}

// Guards against many gateways that spend the whole level in the long time
// between two digests, when an account sends many times its quota and its
// callers come back at once.
func TestHotAccountWithOldDigests(t *testing.T) {
	const (
		rate, burst, cost = 100_000.0, 200_000.0, 500.0
		n, window         = 60, 8 * time.Second
		digestEvery       = time.Second
		limit             = (rate*8 + burst) * (1.1 + 0.016)
	)
	start := time.Unix(1000, 0)
	ledgers := make([]*Limiter, n)
	for i := range ledgers {
		ledgers[i] = &Limiter{BootTime: uint64(start.UnixNano())}
		ledgers[i].SetGateways(n, start)
		ledgers[i].SetDigestInterval(digestEvery)
		ledgers[i].SetLimit("a", rate, burst, start)
	}
	var admitted []time.Time
	next, owed := 0, 0.0
	for now := start; now.Before(start.Add(26 * time.Second)); now = now.Add(5 * time.Millisecond) {
		since := now.Sub(start)
		for i, from := range ledgers {
			if (since+time.Duration(i)*digestEvery/n).Truncate(5*time.Millisecond)%digestEvery != 0 {
				continue
			}
			for j, to := range ledgers {
				if i != j {
					to.RecordPeerSpending(fmt.Sprint(i), from.BootTime, from.Spent(), now)
				}
			}
		}
		demand := 0.5 * rate
		if since > 12*time.Second {
			demand = 7 * rate
		}
		for owed += demand / cost * 0.005; owed >= 1; owed-- {
			next++
			if ok, _ := ledgers[next*7%n].Admit("a", cost, now); ok {
				admitted = append(admitted, now)
			}
		}
	}
	most := mostWithin(admitted, window, cost)
	require.LessOrEqual(t, most, limit)
	require.GreaterOrEqual(t, most, rate*8, "the quota is served")
}

// Guards against gateways that are each cut off from all others and spend an
// account's quota as if each were alone, when its requests grow after the cut.
func TestCutGatewaysKeepToTheirPart(t *testing.T) {
	const (
		rate, burst, cost = 10_000.0, 20_000.0, 20.0
		n                 = 20
	)
	now := time.Unix(1000, 0)
	var ledgers []*Limiter
	for range n {
		l := &Limiter{}
		l.SetGateways(n, now)
		l.SetLimit("a", rate, burst, now)
		ledgers = append(ledgers, l)
	}
	now = now.Add(10 * time.Second)
	for _, l := range ledgers {
		l.SetReachableShare(1.0 / n)
	}
	sum := 0.0
	for i := range 4000 {
		for range 3 {
			if ok, _ := ledgers[i%n].Admit("a", cost, now.Add(time.Duration(i)*time.Millisecond)); ok {
				sum += cost
			}
		}
	}
	require.LessOrEqual(t, sum, rate*4+burst+n*cost)
	require.GreaterOrEqual(t, sum, 0.8*(rate*4+burst), "their parts are served")
}

// mostWithin returns the largest sum of what was admitted within any window,
// each request being of the same cost.
func mostWithin(admitted []time.Time, window time.Duration, cost float64) float64 {
	most := 0.0
	for i, first := range admitted {
		sum := 0.0
		for _, at := range admitted[i:] {
			if at.Sub(first) < window {
				sum += cost
			}
		}
		most = max(most, sum)
	}
	return most
}

// exchange sends each ledger's sums to the others, but for the first one if it is cut off.
func exchange(ledgers []*Limiter, now time.Time, cut bool) {
	for i, from := range ledgers {
		for j, to := range ledgers {
			if i != j && !(cut && (i == 0 || j == 0)) {
				to.RecordPeerSpending(fmt.Sprint(i), 1, from.Spent(), now)
			}
		}
	}
}

// Guards against a refusal of requests within the quota, and against a caller
// that is told to come back too early.
func TestAdmit(t *testing.T) {
	l := &Limiter{}
	now := time.Unix(1000, 0)
	ok, _ := l.Admit("unlimited", 1e9, now)
	require.True(t, ok)
	l.SetLimit("a", 100, 200, now)
	ok, _ = l.Admit("a", 100, now)
	require.True(t, ok, "half of the burst is granted at the start")
	ok, wait := l.Admit("a", 50, now)
	require.False(t, ok)
	require.Equal(t, 500*time.Millisecond, wait)
	now = now.Add(wait)
	ok, _ = l.Admit("a", 50, now)
	require.True(t, ok)
	l.Refund("a", 50)
	ok, _ = l.Admit("a", 50, now)
	require.True(t, ok, "a request that has not run costs nothing")
	now = now.Add(time.Minute)
	ok, _ = l.Admit("a", 1000, now)
	require.True(t, ok, "a request above the burst is admitted from a full bucket")
	ok, _ = l.Admit("a", 1, now.Add(time.Second))
	require.False(t, ok, "and is paid for")
}

// Guards against a restarted peer whose sums begin anew being taken for
// spending that was undone.
func TestRestartedPeer(t *testing.T) {
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
