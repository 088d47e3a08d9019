// This file tests the boot clock and the time-of-day estimate.

package clclock

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an estimate that the wrong clock of a single other machine shifts,
// whether that clock is slow or fast. Usage would then be counted for the wrong
// period.
func TestMedianClockIgnoresOneWrongClock(t *testing.T) {
	var clock MedianClock
	now := time.Now()
	clock.Observe("a", now)
	clock.Observe("b", now.Add(-2*time.Second))
	require.InDelta(t, 0, time.Until(clock.Now()).Seconds(), 0.1)
	clock.Observe("b", now.Add(2*time.Second))
	require.InDelta(t, 0, time.Until(clock.Now()).Seconds(), 0.1)
}

// Guards against an estimate that follows this machine's wrong clock although
// the other machines agree.
func TestMedianClockFollowsMajority(t *testing.T) {
	var clock MedianClock
	for _, m := range []string{"a", "b", "c"} {
		clock.Observe(m, time.Now().Add(3*time.Second))
	}
	require.InDelta(t, 3, time.Until(clock.Now()).Seconds(), 0.1)
}

// Guards against a boot clock that stops or runs backwards.
func TestNowAdvances(t *testing.T) {
	a := Now()
	time.Sleep(2 * time.Millisecond)
	require.Greater(t, Now().Sub(a), time.Millisecond)
}
