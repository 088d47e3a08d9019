// This file tests the holder of the duties against a store and a cloud that misbehave.

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

// recordingCloud keeps what it accepts, and may lose answers or refuse.
type recordingCloud struct {
	mu       sync.Mutex
	reports  map[int64]map[string]uint64
	calls    int
	loseNext int
	refuse   bool
	// differing counts reports for a window that differ from the accepted one.
	differing int
	byToken   map[uint64]string
	shared    int
	orders    []ScalingTarget
}

func (c *recordingCloud) ReportUsage(_ context.Context, by Holder, window int64, counts map[string]uint64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if c.refuse {
		return ErrRefused
	}
	if c.reports == nil {
		c.reports, c.byToken = map[int64]map[string]uint64{}, map[uint64]string{}
	}
	if name, ok := c.byToken[by.Fencing]; ok && name != by.Name {
		c.shared++
	}
	c.byToken[by.Fencing] = by.Name
	if old, ok := c.reports[window]; ok && !maps.Equal(old, counts) {
		c.differing++
	}
	c.reports[window] = maps.Clone(counts)
	if c.loseNext > 0 {
		c.loseNext--
		return errors.New("answer lost")
	}
	return nil
}

func (c *recordingCloud) SetScalingTarget(_ context.Context, _ Holder, o ScalingTarget) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders = append(c.orders, o)
	return nil
}

func (c *recordingCloud) ordered() []ScalingTarget {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]ScalingTarget(nil), c.orders...)
}

func (c *recordingCloud) state() (windows, calls, differing, shared int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.reports), c.calls, c.differing, c.shared
}

func newDuties(name string, store clstore.Store, cloud Cloud, usage *UsageCounter) *Coordinator {
	return &Coordinator{
		Name: name, ProcessID: name + "/1", LeaseTTL: 600 * time.Millisecond, Store: store, Cloud: cloud, Usage: usage,
		ReportDeadline: 20 * time.Second, Now: time.Now, IsCandidate: func() bool { return true }, ReportsUsage: true, Logger: zap.NewNop(),
	}
}

// beginSoon counts a request in the present window and in the next one, as the
// duties begin in either.
func beginSoon(u *UsageCounter) {
	u.RecordStart("x", time.Now())
	u.RecordStart("x", time.Now().Add(u.WindowLength))
}

// Guards against two different reports for one window: the first holder's
// answer is lost, it dies, and its successor has counted more since.
func TestSuccessorRepeatsTheReport(t *testing.T) {
	store := &clstore.Memory{}
	cloud := &recordingCloud{loseNext: 1 << 30}
	usage := &UsageCounter{WindowLength: time.Second}
	beginSoon(usage)
	first, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- newDuties("a", store, cloud, usage).Run(first) }()
	require.Eventually(t, func() bool { n, _, _, _ := cloud.state(); return n >= 1 }, 10*time.Second, 10*time.Millisecond)
	stop()
	require.NoError(t, <-ended)
	cloud.mu.Lock()
	cloud.loseNext = 0
	cloud.mu.Unlock()

	more := &UsageCounter{WindowLength: time.Second}
	for n, counts := range usage.LocalCounts() {
		more.UpdatePeer("a", 1, map[int64]map[string]uint64{n: counts})
		more.UpdatePeer("c", 1, map[int64]map[string]uint64{n: {"x": 5}})
	}
	second, stopSecond := context.WithCancel(t.Context())
	_, before, _, _ := cloud.state()
	go func() { ended <- newDuties("b", store, cloud, more).Run(second) }()
	require.Eventually(t, func() bool { _, calls, _, _ := cloud.state(); return calls > before }, 10*time.Second, 10*time.Millisecond)
	stopSecond()
	require.NoError(t, <-ended)
	_, _, differing, shared := cloud.state()
	require.Zero(t, differing, "reports of one window with different counts")
	require.Zero(t, shared, "holders with the same fencing number")
}

// Guards against a holder that goes on calling after the cloud has refused its
// fencing number.
func TestRefusedHolderStops(t *testing.T) {
	cloud := &recordingCloud{refuse: true}
	usage := &UsageCounter{WindowLength: time.Second}
	beginSoon(usage)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- newDuties("a", &clstore.Memory{}, cloud, usage).Run(ctx) }()
	require.Eventually(t, func() bool { _, calls, _, _ := cloud.state(); return calls == 1 }, 10*time.Second, 10*time.Millisecond)
	time.Sleep(1500 * time.Millisecond)
	_, calls, _, _ := cloud.state()
	require.Equal(t, 1, calls)
	stop()
	require.NoError(t, <-ended)
}

// Guards against a report that is sent although it could not be stored first.
func TestNothingIsReportedUnstored(t *testing.T) {
	store := &clstore.Memory{Fault: func(op, key string) clstore.Fault {
		if op == "update" && key == reportsKey {
			return clstore.FaultUnavailable
		}
		return clstore.FaultNone
	}}
	cloud := &recordingCloud{}
	usage := &UsageCounter{WindowLength: time.Second}
	beginSoon(usage)
	ctx, stop := context.WithTimeout(t.Context(), 4*time.Second)
	defer stop()
	require.NoError(t, newDuties("a", store, cloud, usage).Run(ctx))
	_, calls, _, _ := cloud.state()
	require.Zero(t, calls)
}

// Guards against a successor that has just started and takes what a reclaim
// has left for what the requests need: it must go by its predecessor's load.
func TestSuccessorKnowsTheLoad(t *testing.T) {
	store := &clstore.Memory{}
	scaling := clcatalog.Scaling{Min: 1, Max: 6, Boot: 4 * time.Second, SpotPrice: 0.2, Prices: map[string]float64{"a": 1, "b": 1, "c": 1}}
	run := func(name string, load float64, have int) []ScalingTarget {
		cloud := &recordingCloud{}
		d := newDuties(name, store, cloud, &UsageCounter{WindowLength: time.Second})
		d.ScalesEndpoints = true
		var endpoints []clcatalog.Endpoint
		for i := range have {
			endpoints = append(endpoints, clcatalog.Endpoint{DataCentre: []string{"a", "b", "c"}[i%3], Spot: true})
		}
		d.ServiceStates = func() []ServiceState {
			return []ServiceState{{Service: "s", Scaling: scaling, Endpoints: endpoints, PeakLoad: load}}
		}
		ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer cancel()
		require.NoError(t, d.Run(ctx))
		return cloud.ordered()
	}
	run("a", 5, 12)
	spots := map[string]int{}
	for _, o := range run("b", -1, 3) {
		if o.Spot {
			spots[o.DataCentre] = o.Count
		}
	}
	require.GreaterOrEqual(t, float64(spots["a"]+spots["b"]+spots["c"]), 5/busyTarget, "%v", spots)
}

// Guards against reports of a large system that leave out what gateways with
// longer times between their digests have counted at the end of a window.
func TestReportsWaitForSlowDigests(t *testing.T) {
	d := newDuties("a", nil, nil, nil)
	d.ReportDeadline = 10 * time.Second
	for _, tc := range []struct{ interval, want time.Duration }{
		{200 * time.Millisecond, 1500 * time.Millisecond},
		{1200 * time.Millisecond, 3600 * time.Millisecond},
		{6 * time.Second, 5 * time.Second},
	} {
		d.DigestInterval = func() time.Duration { return tc.interval }
		require.Equal(t, tc.want, d.gather())
	}
}
