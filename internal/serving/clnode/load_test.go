// This file tests the estimate of busy endpoints.

package clnode

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an estimate that is returned before the load is known, that drops
// a peak immediately, or that counts the load of a gateway that has stopped.
func TestLoadEstimator(t *testing.T) {
	var estimator loadEstimator
	now := time.Unix(1000, 0)
	peak := func(occupied float64) float64 {
		recent, current := estimator.busyEndpoints("s", occupied, 0, now)
		require.LessOrEqual(t, current, recent)
		return recent
	}
	require.Equal(t, -1.0, peak(0))
	endpointSeconds := map[string]float64{}
	step := func(rates map[string]float64, duration time.Duration) {
		for end := now.Add(duration); now.Before(end); {
			now = now.Add(200 * time.Millisecond)
			for gateway, rate := range rates {
				endpointSeconds[gateway] += rate * 0.2
				estimator.record("s", gateway, 1, endpointSeconds[gateway], now)
			}
		}
	}
	step(map[string]float64{"a": 1, "b": 2}, 2*time.Second)
	require.Equal(t, -1.0, peak(0), "the load is not yet known")
	step(map[string]float64{"a": 1, "b": 2}, 1200*time.Millisecond)
	require.InDelta(t, 3, peak(0), 0.2, "the load must be known early, as endpoints may be reclaimed in the first seconds")
	step(map[string]float64{"a": 1, "b": 2}, 10*time.Second)
	require.InDelta(t, 3, peak(0), 0.4)
	require.InDelta(t, 9, peak(9), 0.1, "occupied slots count as load")
	step(map[string]float64{"a": 1}, 10*time.Second)
	require.InDelta(t, 9, peak(0), 0.1, "the peak is kept for peakTTL")
	_, current := estimator.busyEndpoints("s", 0, 0, now)
	require.InDelta(t, 1, current, 0.2, "a gateway without updates does not count")
	_, current = estimator.busyEndpoints("s", 0, 1.5, now)
	require.InDelta(t, 1.5, current, 0.3, "reading takes longer at a pace above 1")
	_, current = estimator.busyEndpoints("s", 7, 1.5, now)
	require.InDelta(t, 7, current, 0.1, "occupied slots show the pace already")
	step(map[string]float64{"a": 1}, 2*peakTTL)
	require.InDelta(t, 1, peak(0), 0.3)
	estimator.record("s", "a", 2, 0, now)
	require.GreaterOrEqual(t, peak(0), 0.0, "the total of a restarted gateway starts at 0 again")
}
