package cladmission_test

import (
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/cladmission"
	"github.com/stretchr/testify/require"
)

// TestFirstCapacityIsWaitedFor guards against refusals with an expected wait
// of an hour in the first second of a process, before any slot is granted.
func TestFirstCapacityIsWaitedFor(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	q := cladmission.NewQueue[int](cladmission.Config{})
	for i := range 10 {
		_, refusal := q.Offer(cladmission.Request[int]{Account: "a", Cost: 1, StartBy: now.Add(2 * time.Second), Value: i}, now)
		require.Nil(t, refusal, "request %d", i)
		now = now.Add(100 * time.Millisecond)
		require.Empty(t, q.Expire(now), "after request %d", i)
	}
	// The first one served must not make the long wait before it look like the rate.
	_, _, ok := q.Take(now)
	require.True(t, ok)
	require.Empty(t, q.Expire(now.Add(time.Millisecond)))
	require.Zero(t, q.Wait("a", 1, now.Add(time.Millisecond)))
}
