// This file tests the estimate of the true time.

package clclock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against usage that is counted in the wrong window because one
// machine's clock is wrong.
func TestTrueTimeOutvotesOneClock(t *testing.T) {
	var tt MedianClock
	now := time.Now()
	tt.Observe("a", now)
	tt.Observe("b", now.Add(-2*time.Second))
	require.InDelta(t, 0, time.Until(tt.Now()).Seconds(), 0.1)
	tt.Observe("b", now.Add(2*time.Second))
	require.InDelta(t, 0, time.Until(tt.Now()).Seconds(), 0.1)
}

// Guards against an estimate that follows this machine's own wrong clock when
// the others agree.
func TestTrueTimeFollowsTheOthers(t *testing.T) {
	var tt MedianClock
	for _, m := range []string{"a", "b", "c"} {
		tt.Observe(m, time.Now().Add(3*time.Second))
	}
	require.InDelta(t, 3, time.Until(tt.Now()).Seconds(), 0.1)
}

// Guards against a clock that stands still or runs backwards.
func TestNowRises(t *testing.T) {
	a := Now()
	time.Sleep(2 * time.Millisecond)
	require.Greater(t, Now().Sub(a), time.Millisecond)
}
