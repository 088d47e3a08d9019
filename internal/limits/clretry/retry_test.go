// This file tests the bounds on what is sent again.

package clretry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against gateways whose shares of the budget add up to more than all
// of it.
func TestBudgetOfAllGateways(t *testing.T) {
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
		if n <= 58 {
			require.LessOrEqual(t, float64(retries), 0.2*float64(requests)+58, "%d gateways", n)
		}
		require.Positive(t, retries)
	}
}

// Guards against a request that ends each endpoint that runs it going on to
// the next one, and against one that was unlucky once being refused.
func TestCrashes(t *testing.T) {
	now := time.Unix(1000, 0)
	var a, b CrashTracker
	a.Record(7, now)
	require.False(t, a.ShouldRefuse(7, now))
	b.SetPeerCounts("a", a.LocalCounts(now))
	require.False(t, b.ShouldRefuse(7, now))
	b.Record(7, now)
	require.True(t, b.ShouldRefuse(7, now), "two crashes at two gateways")
	a.SetPeerCounts("b", b.LocalCounts(now))
	require.True(t, a.ShouldRefuse(7, now))
	require.False(t, a.ShouldRefuse(8, now))
	require.False(t, a.ShouldRefuse(7, now.Add(crashLifetime+time.Second)) && len(a.LocalCounts(now.Add(crashLifetime+time.Second))) > 0)
	a.SetPeerCounts("b", nil)
	require.False(t, a.ShouldRefuse(7, now))
}
