// This file tests the coordinator on a store that returns from an older copy.

package clduty

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clstore"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
)

// eraWorld has a store that returns from older copies, and coordinators that report to
// one cloud API.
type eraWorld struct {
	t      *testing.T
	memory clstore.Memory
	cloud  recordingCloud
	// unreported counts the windows that coordinators did not report.
	unreported prometheus.Counter
}

func newEraWorld(t *testing.T) *eraWorld {
	return &eraWorld{t: t, unreported: prometheus.NewCounter(prometheus.CounterOpts{Name: "unreported"})}
}

// unreportedWindows returns the number of windows that coordinators did not report.
func (w *eraWorld) unreportedWindows() float64 {
	w.t.Helper()
	r := prometheus.NewRegistry()
	require.NoError(w.t, r.Register(w.unreported))
	families, err := r.Gather()
	require.NoError(w.t, err)
	return families[0].GetMetric()[0].GetCounter().GetValue()
}

// start runs a coordinator with the given usage and candidacy until the returned function
// is called.
func (w *eraWorld) start(name string, usage *UsageCounter, isCandidate func() bool) (c *Coordinator, stop func()) {
	c = newCoordinator(name, w.memory.Client(), &w.cloud, usage)
	c.IsCandidate, c.UnreportedWindows = isCandidate, w.unreported
	return c, w.run(c)
}

// run runs a coordinator until the returned function is called.
func (w *eraWorld) run(c *Coordinator) (stop func()) {
	ctx, cancel := context.WithCancel(w.t.Context())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	return func() {
		cancel()
		require.NoError(w.t, <-ended)
	}
}

// waitForReports waits until the cloud API has accepted reports of n windows.
func (w *eraWorld) waitForReports(n int) {
	w.t.Helper()
	require.Eventually(w.t, func() bool { reported, _, _, _ := w.cloud.counters(); return reported >= n }, 15*time.Second, 5*time.Millisecond)
}

// usageOf returns counts of requests in the windows from the current one on, for as long
// as a test lasts.
func usageOf(count uint64) *UsageCounter {
	u := &UsageCounter{WindowLength: time.Second}
	addUsage(u, "p", count)
	return u
}

// addUsage sets a peer's count of requests in the last windows, the current one and the
// next ones.
func addUsage(u *UsageCounter, peer string, count uint64) {
	for n := int64(-3); n < 12; n++ {
		counts := map[int64]map[string]uint64{u.WindowAt(time.Now()) + n: {"x": count}}
		u.UpdatePeer(peer+string(rune('a'+n+3)), 1, counts)
	}
}

func always() bool { return true }

// Guards against a second report of a window, with other counts, by a holder that goes on
// after the store has lost the first one.
func TestHolderKeepsReportsThatStoreHasLost(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name string
		// reportDelay is how long the cloud API takes; the lease lasts 600 ms.
		reportDelay time.Duration
	}{{"fast cloud API", 0}, {"slow cloud API", 800 * time.Millisecond}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			w := newEraWorld(t)
			w.cloud.reportDelay = tc.reportDelay
			empty := w.memory.Snapshot()
			usage := usageOf(1)
			_, stop := w.start("a", usage, always)
			w.waitForReports(2)
			for returns := range 2 {
				before, _, _, _ := w.cloud.counters()
				time.Sleep(tc.reportDelay / 4)
				w.memory.Restore(empty)
				addUsage(usage, "late"+string(rune('a'+returns)), 1)
				w.waitForReports(before + 2)
			}
			stop()
			_, _, differing, shared := w.cloud.counters()
			require.Zero(t, differing, "reports of one window with different counts")
			require.Zero(t, shared, "calls with the fencing token of another holder")
			require.Zero(t, w.unreportedWindows(), "windows that the holder knows not to have reported")
		})
	}
}

// Guards against a second report of a window, with other counts, by a successor to which
// nothing tells of the first one, and against a successor that reports no later windows
// either.
func TestSuccessorDoesNotReportWindowsThatMayHaveBeenReported(t *testing.T) {
	t.Parallel()
	w := newEraWorld(t)
	empty := w.memory.Snapshot()
	_, stopFirst := w.start("a", usageOf(1), always)
	var promoted atomic.Bool
	_, stopSecond := w.start("b", usageOf(2), promoted.Load)
	w.waitForReports(2)
	stopFirst()
	w.memory.Restore(empty)
	promoted.Store(true)
	w.waitForReports(4)
	stopSecond()
	_, _, differing, shared := w.cloud.counters()
	require.Zero(t, differing, "reports of one window with different counts")
	require.Zero(t, shared, "calls with the fencing token of another holder")
	require.Positive(t, w.unreportedWindows())
}

// Guards against a successor that does not resend a report which the store's older copy
// still has.
func TestSuccessorResendsReportOfOlderCopy(t *testing.T) {
	t.Parallel()
	w := newEraWorld(t)
	w.cloud.refuseReports = true
	usage := usageOf(2)
	c := newCoordinator("a", w.memory.Client(), &w.cloud, usage)
	c.initLease()
	window := usage.WindowAt(time.Now()) - 1
	for _, n := range []int64{window - 1, window} {
		require.True(t, c.storeReport(t.Context(), &Report{Window: n, Counts: map[string]uint64{"x": 1}}))
	}
	w.memory.Restore(w.memory.Snapshot())
	w.cloud.refuseReports = false
	_, stop := w.start("b", usage, always)
	w.waitForReports(2)
	stop()
	require.Equal(t, map[string]uint64{"x": 1}, w.cloud.reports[window-1])
	require.NotContains(t, w.cloud.reports, window, "the report written last may have been replaced by another one")
	require.Greater(t, slices.Max(slices.Collect(maps.Keys(w.cloud.reports))), window, "later windows are reported")
}

// Guards against a report of an earlier era that is taken for stored, although the store
// has begun a new era during the call.
func TestReportIsNotStoredAcrossReturn(t *testing.T) {
	for _, tc := range []struct {
		name    string
		version bool
	}{{"created", false}, {"updated", true}} {
		t.Run(tc.name, func(t *testing.T) {
			w := newEraWorld(t)
			client := w.memory.Client()
			c := newCoordinator("a", client, &w.cloud, usageOf(1))
			c.initLease()
			if tc.version {
				require.True(t, c.storeReport(t.Context(), &Report{Window: 1}))
			}
			w.memory.Restore(w.memory.Snapshot())
			require.False(t, c.storeReport(t.Context(), &Report{Window: 2}))
			require.Nil(t, c.storedReport(2))
		})
	}
}

// Guards against a window that is not reported because the store has lost its report,
// although the holder had told the other gateways of it.
func TestSuccessorResendsReportThatHolderHasTold(t *testing.T) {
	t.Parallel()
	w := newEraWorld(t)
	empty := w.memory.Snapshot()
	w.cloud.refuseReports = true
	first, stopFirst := w.start("a", usageOf(1), always)
	var promoted atomic.Bool
	second, stopSecond := w.start("b", usageOf(2), promoted.Load)
	require.Eventually(t, func() bool { return len(first.UnacceptedReports()) > 0 }, 10*time.Second, time.Millisecond)
	told := first.UnacceptedReports()
	second.RecordPeerReports(told)
	require.Empty(t, second.UnacceptedReports(), "this process does not hold the lease")
	stopFirst()
	w.memory.Restore(empty)
	w.cloud.mu.Lock()
	w.cloud.refuseReports = false
	w.cloud.mu.Unlock()
	promoted.Store(true)
	w.waitForReports(2)
	stopSecond()
	for window, counts := range told {
		require.Equal(t, map[string]uint64{"x": 1}, counts)
		require.Equal(t, counts, w.cloud.reports[window])
	}
}

// Guards against a digest that repeats reports which need not be sent again, and against
// reports of long ago that are remembered.
func TestOnlyRecentUnacceptedReportsAreTold(t *testing.T) {
	t.Parallel()
	w := newEraWorld(t)
	c, stop := w.start("a", usageOf(1), always)
	w.waitForReports(2)
	require.Eventually(t, func() bool { return len(c.UnacceptedReports()) == 0 }, time.Second, time.Millisecond)
	stop()
	current := c.Usage.WindowAt(c.Now())
	for _, window := range []int64{current - 100, current - 1, current - 2, current + 100, current - retainedWindows} {
		c.RecordPeerReports(map[int64]map[string]uint64{window: {"x": 1}})
	}
	require.Subset(t, []int64{current - 1, current - 2}, slices.Collect(maps.Keys(c.peerReports)))
	require.NotEmpty(t, c.peerReports)
}

// Guards against orders that are given again after the store has returned, although the
// endpoints of the earlier ones are booting, and against services that shrink because
// the loads stored with the lease are gone.
func TestOrdersAcrossReturn(t *testing.T) {
	t.Parallel()
	scaling := clcatalog.Scaling{Min: 1, Max: 12, Boot: 4 * time.Second, SpotPrice: 0.2, Prices: map[string]float64{"a": 1, "b": 1, "c": 1}}
	for _, tc := range []struct {
		name string
		// goesOn says that the holder lives on; otherwise a process that has seen no
		// requests succeeds it.
		goesOn bool
	}{{"the holder goes on", true}, {"a successor", false}} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			w := newEraWorld(t)
			empty := w.memory.Snapshot()
			start := func(name string, load float64) (stop func()) {
				c := newCoordinator(name, w.memory.Client(), &w.cloud, usageOf(1))
				c.ReportsUsage, c.ScalesEndpoints = false, true
				c.ServiceStates = func() []ServiceState {
					return []ServiceState{{Service: "s", Scaling: scaling, Endpoints: []clcatalog.Endpoint{{DataCentre: "a", Spot: true}}, PeakLoad: load, CurrentLoad: load}}
				}
				return w.run(c)
			}
			stop := start("a", 8)
			require.Eventually(t, func() bool { return len(w.cloud.sentTargets()) >= 3 }, 5*time.Second, time.Millisecond)
			stopSecond := func() {}
			if !tc.goesOn {
				stopSecond = start("b", -1)
			}
			time.Sleep(time.Second) // renewals store the loads, and b reads them
			before := w.cloud.sentTargets()
			if !tc.goesOn {
				stop()
			}
			w.memory.Restore(empty)
			time.Sleep(2500 * time.Millisecond)
			if tc.goesOn {
				stop()
			}
			stopSecond()
			after := w.cloud.sentTargets()[len(before):]
			if tc.goesOn {
				require.Empty(t, after, "orders given again")
				return
			}
			require.NotEmpty(t, after)
			wanted := map[targetKey]int{}
			for _, target := range before {
				wanted[targetKey{target.Service, target.DataCentre, target.Spot}] = target.Count
			}
			for _, target := range after {
				require.GreaterOrEqual(t, target.Count, wanted[targetKey{target.Service, target.DataCentre, target.Spot}], "%+v", target)
			}
		})
	}
}

// Guards against store calls that the reports cost beyond one read for each lease and one
// update for each window: calls are charged.
func TestStoreCallsOfReports(t *testing.T) {
	t.Parallel()
	w := newEraWorld(t)
	var reads, updates atomic.Int64
	w.memory.Fault = func(op, key string) clstore.Fault {
		switch {
		case !strings.HasPrefix(key, reportsKey):
		case op == "get":
			reads.Add(1)
		default:
			updates.Add(1)
		}
		return clstore.FaultNone
	}
	// A report is stored just before it is sent, so the counts agree most of the time.
	requireCalls := func(wantReads, wantOtherUpdates int64, when string) {
		require.Eventually(t, func() bool {
			windows, _, _, _ := w.cloud.counters()
			return reads.Load() == wantReads && updates.Load() == int64(windows)+wantOtherUpdates
		}, 5*time.Second, 5*time.Millisecond, when)
	}
	_, stop := w.start("a", usageOf(1), always)
	w.waitForReports(4)
	requireCalls(1, 0, "in calm")
	w.memory.Restore(w.memory.Snapshot())
	w.waitForReports(6)
	requireCalls(2, 1, "after a return")
	stop()
}
