// This file tests what a coordinator takes for reported when its clock or its lease changes
// beside a return of the store.

package clduty

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/stretchr/testify/require"
)

// step runs the tasks of a coordinator once, as Run does.
func step(ctx context.Context, c *Coordinator, wanted bool) {
	c.observeLease(wanted)
	if holder, ok := c.CurrentLease(); ok {
		c.runTasks(ctx, holder)
	}
}

// Guards against a process that takes its reports for complete because it held the lease
// when an era began, although it had not yet taken over in the era before.
func TestReportsAreIncompleteBeforeTakeOver(t *testing.T) {
	t.Parallel()
	w := newEraWorld(t)
	empty := w.memory.Snapshot()
	clientA, clientB := w.memory.Client(), w.memory.Client()
	a, b := newCoordinator("a", clientA, &w.cloud, usageOf(1)), newCoordinator("b", clientB, &w.cloud, usageOf(2))
	ctxB, stopB := context.WithCancel(t.Context())
	for c, ctx := range map[*Coordinator]context.Context{a: t.Context(), b: ctxB} {
		c.initLease()
		c.firstWindow = c.Usage.WindowAt(c.Now())
		c.UnreportedWindows = w.unreported
		c.lease.SetWanted(false)
		go c.runLease(ctx, make(chan error, 1))
	}
	reported := func() int { n, _, _, _ := w.cloud.counters(); return n }
	until := func(f func() bool, c *Coordinator) {
		require.Eventually(t, func() bool { step(t.Context(), c, true); return f() }, 15*time.Second, 20*time.Millisecond)
	}
	until(func() bool { return reported() >= 1 }, a) // a holds the lease of era 0 and reports
	a.observeLease(false)                            // and releases it
	before := reported()
	until(func() bool { return reported() >= before+2 }, b) // b reports two later windows
	stopB()                                                 // b ends
	time.Sleep(300 * time.Millisecond)
	w.memory.Restore(empty) // era 1
	require.Eventually(t, func() bool { a.observeLease(true); return a.era == 1 && a.lease.Current(clclock.Now()).Held }, 5*time.Second, 5*time.Millisecond)
	// a has just seen that it holds the lease of era 1; before it takes over, the answer
	// of another call of the process (a mirror's, say) states era 2.
	w.memory.Restore(empty)
	_, _ = clientA.Get(t.Context(), "whatever")
	before = reported()
	end := time.Now().Add(4 * time.Second)
	for time.Now().Before(end) {
		step(t.Context(), a, true)
		time.Sleep(20 * time.Millisecond)
	}
	_, _, differing, shared := w.cloud.counters()
	require.Zero(t, shared)
	require.Zero(t, differing, "reports of one window with different counts")
}

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
