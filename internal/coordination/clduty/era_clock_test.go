// This file tests what a coordinator takes for reported when its clock or its lease changes
// beside a return of the store.

package clduty

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a window that is reported again because the process had a slow clock
// when it learned of the era, and the right one when it acts.
func TestClockOfStartIsCorrected(t *testing.T) {
	t.Parallel()
	w := newEraWorld(t)
	empty := w.memory.Snapshot()
	_, stopFirst := w.start("a", usageOf(1), always)
	w.waitForReports(2)
	stopFirst()
	w.memory.Restore(empty)
	var offset atomic.Int64
	offset.Store(int64(-3 * time.Second)) // this machine's own clock, before digests of the others arrive
	client := w.memory.Client()
	c := newCoordinator("b", client, &w.cloud, usageOf(2))
	c.UnreportedWindows = w.unreported
	c.Now = func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }
	stop := w.run(c)
	require.Eventually(t, func() bool { return client.Era() == 1 }, 5*time.Second, time.Millisecond)
	time.Sleep(300 * time.Millisecond)
	offset.Store(0) // the median with the clocks of the others
	w.waitForReports(4)
	stop()
	_, _, differing, shared := w.cloud.counters()
	require.Zero(t, shared)
	require.Zero(t, differing, "reports of one window with different counts")
}

// Guards against windows that are reported again, or not for a minute, because a process had a
// wrong clock only when it learned of the era, as no digests arrived.
func TestClockIsWrongWhenEraIsLearned(t *testing.T) {
	for _, tc := range []struct {
		name   string
		offset time.Duration
	}{{"slow", -3 * time.Second}, {"fast", time.Minute}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			w := newEraWorld(t)
			empty := w.memory.Snapshot()
			_, stopFirst := w.start("a", usageOf(1), always)
			var offset atomic.Int64
			var promoted atomic.Bool
			client := w.memory.Client()
			b := newCoordinator("b", client, &w.cloud, usageOf(2))
			b.IsCandidate, b.UnreportedWindows = promoted.Load, w.unreported
			b.Now = func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }
			stop := w.run(b)
			w.waitForReports(2)
			stopFirst()
			w.memory.Restore(empty)
			offset.Store(int64(tc.offset))
			promoted.Store(true)
			require.Eventually(t, func() bool { return client.Era() == 1 }, 5*time.Second, time.Millisecond)
			time.Sleep(300 * time.Millisecond)
			offset.Store(0)
			before, _, _, _ := w.cloud.counters()
			time.Sleep(6 * time.Second)
			stop()
			after, _, differing, _ := w.cloud.counters()
			require.Zero(t, differing, "reports of one window with different counts")
			require.Greater(t, after, before, "windows reported in 6 s")
		})
	}
}
