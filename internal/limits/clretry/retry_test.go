// This file tests the retry budget and the crash tracker.

package clretry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against gateways whose shares of the retry budget add up to more than
// the whole budget.
func TestGatewaysShareRetryBudget(t *testing.T) {
	for _, n := range []int{1, 2, 9, 73} {
		retries, requests := 0, 0
		now := time.Unix(1000, 0)
		for range n {
			b := &Budget{Ratio: 0.2, Floor: 58, Window: 10 * time.Second}
			b.SetGateways(n)
			for range 10 {
				b.RecordRequest("s", now)
				requests++
			}
			for b.AllowRetry("s", now) {
				retries++
			}
		}
		// The share of each gateway is at least one retry. With more than 58
		// gateways, the shares of Floor therefore add up to more than Floor, and
		// the limit is not guaranteed.
		if n <= 58 {
			require.LessOrEqual(t, float64(retries), 0.2*float64(requests)+58, "%d gateways", n)
		}
		require.Positive(t, retries)
	}
}

// Guards against retrying a request that crashes every endpoint it reaches, and
// against refusing a request after a single crash.
func TestCrashTracker(t *testing.T) {
	now := time.Unix(1000, 0)
	var a, b CrashTracker
	a.Record(7, now)
	require.False(t, a.ShouldRefuse(7, now))
	b.SetPeerCounts("a", a.LocalCounts(now))
	require.False(t, b.ShouldRefuse(7, now))
	b.Record(7, now)
	require.True(t, b.ShouldRefuse(7, now), "two crashes, recorded by different gateways")
	a.SetPeerCounts("b", b.LocalCounts(now))
	require.True(t, a.ShouldRefuse(7, now))
	require.False(t, a.ShouldRefuse(8, now))
	require.False(t, a.ShouldRefuse(7, now.Add(crashRetention+time.Second)) && len(a.LocalCounts(now.Add(crashRetention+time.Second))) > 0)
	a.SetPeerCounts("b", nil)
	require.False(t, a.ShouldRefuse(7, now))
}

// Guards against a request that is refused because of two crashes that lie further
// apart than crashes count.
func TestCrashesFarApart(t *testing.T) {
	var c CrashTracker
	now := time.Unix(1000, 0)
	require.EqualValues(t, 1, c.Record(7, now))
	now = now.Add(crashRetention + time.Minute)
	require.EqualValues(t, 1, c.Record(7, now))
	require.False(t, c.ShouldRefuse(7, now))
	require.EqualValues(t, 2, c.Record(7, now.Add(time.Second)))
	require.True(t, c.ShouldRefuse(7, now.Add(time.Second)))
}
