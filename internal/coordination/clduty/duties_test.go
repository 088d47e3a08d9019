// This file tests the coordinator with a store and a cloud API that misbehave.

package clduty

import (
	"context"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clstore"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// recordingCloud records the usage reports and scaling targets that it accepts. It
// can refuse usage reports or lose the answers to accepted ones.
type recordingCloud struct {
	mu sync.Mutex
	// reports holds the counts of the last accepted report, by window.
	reports map[int64]map[string]uint64
	// reportCalls is the number of calls of ReportUsage, including refused ones.
	reportCalls int
	// answersToLose is the number of accepted usage reports whose answers are still
	// to be lost.
	answersToLose int
	refuseReports bool
	// differingReports is the number of reports that differ from the previously
	// accepted report of the same window.
	differingReports int
	// nameByFencing holds the name of the last holder that reported usage with a
	// fencing token.
	nameByFencing map[uint64]string
	// sharedFencing is the number of usage reports with a fencing token that a
	// holder of another name has used before.
	sharedFencing int
	// targets holds the scaling targets in the order of the calls.
	targets []ScalingTarget
	// reportDelay is how long a call of ReportUsage takes.
	reportDelay time.Duration
	// refuseTargets makes SetScalingTarget refuse all targets.
	refuseTargets bool
}

func (c *recordingCloud) ReportUsage(_ context.Context, holder Holder, window int64, counts map[string]uint64) error {
	time.Sleep(c.reportDelay)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reportCalls++
	if c.refuseReports {
		return ErrRefused
	}
	if c.reports == nil {
		c.reports, c.nameByFencing = map[int64]map[string]uint64{}, map[uint64]string{}
	}
	if name, ok := c.nameByFencing[holder.Fencing]; ok && name != holder.Name {
		c.sharedFencing++
	}
	c.nameByFencing[holder.Fencing] = holder.Name
	if old, ok := c.reports[window]; ok && !maps.Equal(old, counts) {
		c.differingReports++
	}
	c.reports[window] = maps.Clone(counts)
	if c.answersToLose > 0 {
		c.answersToLose--
		return errors.New("answer lost")
	}
	return nil
}

func (c *recordingCloud) SetScalingTarget(_ context.Context, _ Holder, target ScalingTarget) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets = append(c.targets, target)
	if c.refuseTargets {
		return ErrRefused
	}
	return nil
}

func (c *recordingCloud) sentTargets() []ScalingTarget {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]ScalingTarget(nil), c.targets...)
}

// counters returns the number of windows with an accepted report and the counters
// of the same names.
func (c *recordingCloud) counters() (reportedWindows, reportCalls, differingReports, sharedFencing int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.reports), c.reportCalls, c.differingReports, c.sharedFencing
}

// newCoordinator returns a coordinator that only reports usage. Its usage must have
// a WindowLength before Run is called.
func newCoordinator(name string, store clstore.Store, cloud Cloud, usage *UsageCounter) *Coordinator {
	return &Coordinator{
		Name: name, ProcessID: name + "/1", LeaseTTL: 600 * time.Millisecond, Store: store, Cloud: cloud, Usage: usage,
		ReportDeadline: 20 * time.Second, Now: time.Now, IsCandidate: func() bool { return true }, ReportsUsage: true, Logger: zap.NewNop(),
	}
}

// recordStarts counts a request in the current window and another one in the next,
// as the first window of a coordinator that is started next may be either.
func recordStarts(u *UsageCounter) {
	u.RecordStart("x", time.Now())
	u.RecordStart("x", time.Now().Add(u.WindowLength))
}

// Guards against two different reports for one window: the first holder stops
// after the answers to its reports were lost, and its successor knows of more
// requests.
func TestSuccessorResendsStoredReport(t *testing.T) {
	store := &clstore.Memory{}
	cloud := &recordingCloud{answersToLose: 1 << 30}
	usage := &UsageCounter{WindowLength: time.Second}
	recordStarts(usage)
	firstCtx, stopFirst := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- newCoordinator("a", store, cloud, usage).Run(firstCtx) }()
	require.Eventually(t, func() bool { n, _, _, _ := cloud.counters(); return n >= 1 }, 10*time.Second, 10*time.Millisecond)
	stopFirst()
	require.NoError(t, <-ended)
	cloud.mu.Lock()
	cloud.answersToLose = 0
	cloud.mu.Unlock()

	successorUsage := &UsageCounter{WindowLength: time.Second}
	for n, counts := range usage.LocalCounts() {
		successorUsage.UpdatePeer("a", 1, map[int64]map[string]uint64{n: counts})
		successorUsage.UpdatePeer("c", 1, map[int64]map[string]uint64{n: {"x": 5}})
	}
	secondCtx, stopSecond := context.WithCancel(t.Context())
	_, callsBefore, _, _ := cloud.counters()
	go func() { ended <- newCoordinator("b", store, cloud, successorUsage).Run(secondCtx) }()
	require.Eventually(t, func() bool { _, calls, _, _ := cloud.counters(); return calls > callsBefore }, 10*time.Second, 10*time.Millisecond)
	stopSecond()
	require.NoError(t, <-ended)
	_, _, differing, shared := cloud.counters()
	require.Zero(t, differing, "reports of one window with different counts")
	require.Zero(t, shared, "calls with the fencing token of another holder")
}

// Guards against a holder that keeps calling after the cloud API has refused its
// fencing token.
func TestRefusedHolderStopsCalling(t *testing.T) {
	cloud := &recordingCloud{refuseReports: true}
	usage := &UsageCounter{WindowLength: time.Second}
	recordStarts(usage)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- newCoordinator("a", &clstore.Memory{}, cloud, usage).Run(ctx) }()
	require.Eventually(t, func() bool { _, calls, _, _ := cloud.counters(); return calls == 1 }, 10*time.Second, 10*time.Millisecond)
	time.Sleep(1500 * time.Millisecond)
	_, calls, _, _ := cloud.counters()
	require.Equal(t, 1, calls)
	stop()
	require.NoError(t, <-ended)
}

// Guards against a usage report that is sent although storing it has failed.
func TestReportNotSentUnlessStored(t *testing.T) {
	store := &clstore.Memory{Fault: func(op, key string) clstore.Fault {
		if op == "update" && key == reportsKey {
			return clstore.FaultUnavailable
		}
		return clstore.FaultNone
	}}
	cloud := &recordingCloud{}
	usage := &UsageCounter{WindowLength: time.Second}
	recordStarts(usage)
	ctx, stop := context.WithTimeout(t.Context(), 4*time.Second)
	defer stop()
	require.NoError(t, newCoordinator("a", store, cloud, usage).Run(ctx))
	_, calls, _, _ := cloud.counters()
	require.Zero(t, calls)
}

// Guards against a successor that has just started and takes the number of endpoints
// left after a reclaim for the number needed. It must use the load that the previous
// lease holder stored.
func TestSuccessorInheritsLoad(t *testing.T) {
	store := &clstore.Memory{}
	scaling := clcatalog.Scaling{Min: 1, Max: 6, Boot: 4 * time.Second, SpotPrice: 0.2, Prices: map[string]float64{"a": 1, "b": 1, "c": 1}}
	runHolder := func(name string, load float64, endpointCount int) []ScalingTarget {
		cloud := &recordingCloud{}
		c := newCoordinator(name, store, cloud, &UsageCounter{WindowLength: time.Second})
		c.ScalesEndpoints = true
		var endpoints []clcatalog.Endpoint
		for i := range endpointCount {
			endpoints = append(endpoints, clcatalog.Endpoint{DataCentre: []string{"a", "b", "c"}[i%3], Spot: true})
		}
		c.ServiceStates = func() []ServiceState {
			return []ServiceState{{Service: "s", Scaling: scaling, Endpoints: endpoints, PeakLoad: load}}
		}
		ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer cancel()
		require.NoError(t, c.Run(ctx))
		return cloud.sentTargets()
	}
	runHolder("a", 5, 12)
	spotTargets := map[string]int{}
	for _, target := range runHolder("b", -1, 3) {
		if target.Spot {
			spotTargets[target.DataCentre] = target.Count
		}
	}
	require.GreaterOrEqual(t, float64(spotTargets["a"]+spotTargets["b"]+spotTargets["c"]), 5/targetUtilization, "%v", spotTargets)
}

// Guards against usage reports of a large system that miss requests at the end of a
// window, because its gateways send digests at longer intervals.
func TestReportsWaitForLongDigestIntervals(t *testing.T) {
	c := newCoordinator("a", nil, nil, nil)
	c.ReportDeadline = 10 * time.Second
	for _, tc := range []struct{ interval, want time.Duration }{
		{200 * time.Millisecond, 1500 * time.Millisecond},
		{1200 * time.Millisecond, 3600 * time.Millisecond},
		{6 * time.Second, 5 * time.Second},
	} {
		c.DigestInterval = func() time.Duration { return tc.interval }
		require.Equal(t, tc.want, c.gatherDelay())
	}
}

// Guards against a target that is sent at every poll while no such endpoints are to be
// had: each call is charged and counts towards the rate of the cloud API.
func TestRefusedTargetsAreNotSentAtEveryPoll(t *testing.T) {
	cloud := &recordingCloud{refuseTargets: true}
	c := newCoordinator("a", &clstore.Memory{}, cloud, &UsageCounter{WindowLength: time.Second})
	c.ReportsUsage, c.ScalesEndpoints = false, true
	scaling := clcatalog.Scaling{Min: 1, Max: 6, Boot: time.Second, SpotPrice: 0.2, Prices: map[string]float64{"a": 1}}
	c.ServiceStates = func() []ServiceState {
		return []ServiceState{{Service: "s", Scaling: scaling, PeakLoad: 3, CurrentLoad: 3}}
	}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	require.Eventually(t, func() bool { return len(cloud.sentTargets()) > 0 }, 5*time.Second, time.Millisecond)
	time.Sleep(3 * time.Second)
	stop()
	require.NoError(t, <-ended)
	onDemand := 0
	for _, target := range cloud.sentTargets() {
		if !target.Spot {
			onDemand++
		}
	}
	require.LessOrEqual(t, onDemand, 1+int(3*time.Second/unansweredResendDelay))
	require.Greater(t, onDemand, 1, "a refused target is sent again")
}

// Guards against the loss of a recent report when a report of an older window is stored:
// the window would be reported again, with other counts.
func TestOldestReportIsDroppedFirst(t *testing.T) {
	c := newCoordinator("a", &clstore.Memory{}, &recordingCloud{}, &UsageCounter{WindowLength: time.Second})
	for _, window := range []int64{13, 14, 15, 11, 12, 16, 17} {
		require.True(t, c.storeReport(t.Context(), &Report{Window: window}))
	}
	for window := int64(13); window <= 17; window++ {
		require.NotNil(t, c.storedReport(window), "window %d", window)
	}
}
