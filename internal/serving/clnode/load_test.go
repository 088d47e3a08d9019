// This file tests the meter of the load.

package clnode

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a load that is told before it is known, that forgets a wave
// at once, or that counts a gateway which has gone.
func TestLoadMeter(t *testing.T) {
	var m loadMeter
	now := time.Unix(1000, 0)
	highest := func(slots float64) float64 {
		h, current := m.busy("s", slots, now)
		require.LessOrEqual(t, current, h)
		return h
	}
	require.Equal(t, -1.0, highest(0))
	seconds := map[string]float64{}
	step := func(rates map[string]float64, d time.Duration) {
		for end := now.Add(d); now.Before(end); {
			now = now.Add(200 * time.Millisecond)
			for g, rate := range rates {
				seconds[g] += rate * 0.2
				m.learn("s", g, 1, seconds[g], now)
			}
		}
	}
	step(map[string]float64{"a": 1, "b": 2}, 2*time.Second)
	require.Equal(t, -1.0, highest(0), "too little has been seen")
	step(map[string]float64{"a": 1, "b": 2}, 1200*time.Millisecond)
	require.InDelta(t, 3, highest(0), 0.2, "a reclaim may come in the first seconds")
	step(map[string]float64{"a": 1, "b": 2}, 10*time.Second)
	require.InDelta(t, 3, highest(0), 0.4)
	require.InDelta(t, 9, highest(9), 0.1, "full slots count as well")
	step(map[string]float64{"a": 1}, 10*time.Second)
	require.InDelta(t, 9, highest(0), 0.1, "the next wave may come")
	_, current := m.busy("s", 0, now)
	require.InDelta(t, 1, current, 0.2, "the silent gateway's callers are elsewhere")
	step(map[string]float64{"a": 1}, 2*peakLifetime)
	require.InDelta(t, 1, highest(0), 0.3)
	m.learn("s", "a", 2, 0, now)
	require.GreaterOrEqual(t, highest(0), 0.0, "a restarted gateway counts anew")
}
