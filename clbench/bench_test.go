// This file tests what turns measurements into figures.

package clbench

import (
	"context"
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clpeer"
	"github.com/chestnutlead/chestnutlead/clplatform"
	"github.com/stretchr/testify/require"
)

// TestBestFit guards against a fit that states a wrong slope or the wrong kind,
// from which the capacity page would extrapolate.
func TestBestFit(t *testing.T) {
	xs := []float64{9, 100, 390}
	for _, c := range []struct {
		kind string
		y    func(x float64) float64
	}{
		{fitLinear, func(x float64) float64 { return 3 + 0.5*x }},
		{fitLogarithmic, func(x float64) float64 { return 2 + 7*math.Log(x) }},
	} {
		ys := make([]float64, len(xs))
		for i, x := range xs {
			ys[i] = c.y(x)
		}
		f := bestFit(xs, ys)
		require.Equal(t, c.kind, f.Kind)
		require.InDelta(t, c.y(780), f.At(780), 1e-6)
		for _, r := range f.Residuals {
			require.InDelta(t, 0, r, 1e-6)
		}
	}
	// Points that are on no line must show in the residuals.
	require.InDelta(t, 2, fit(fitLinear, []float64{0, 1, 2}, []float64{0, 3, 0}).Residuals[1], 1e-9)
}

// TestTraffic guards against bytes, calls or connections that are not counted.
func TestTraffic(t *testing.T) {
	f, err := startFleet(context.Background(), 1, 0, 0)
	require.NoError(t, err)
	defer f.close()
	tr := &http.Transport{MaxIdleConnsPerHost: 3}
	require.NoError(t, openConnections(context.Background(), tr, f.nodes[0].Member.Self.Address.String(), 3))
	c := f.traffic.count()
	require.EqualValues(t, 3, c.accepted)
	require.EqualValues(t, 3, c.open)
	require.Greater(t, c.received, int64(3*len("POST / HTTP/1.1\r\n\r\n")))
	require.Greater(t, c.sent, int64(3*len("HTTP/1.1 401 Unauthorized\r\n\r\n")))
	tr.CloseIdleConnections()
	require.Eventually(t, func() bool { return f.traffic.count().open == 0 }, 5*time.Second, pollTime)
}

// TestObjectsCounts guards against a watch that waits and is not counted.
func TestObjectsCounts(t *testing.T) {
	o := newObjects(0)
	ctx := context.Background()
	v, err := o.Update(ctx, clpeer.ConfigKey, []byte("a"), 0)
	require.NoError(t, err)
	_, err = o.Update(ctx, clpeer.ConfigKey, []byte("b"), 0)
	require.Equal(t, clplatform.KindConflict, clplatform.KindOf(err))
	done := make(chan clplatform.Object)
	go func() {
		o, _ := o.Watch(ctx, clpeer.ConfigKey, v, time.Minute) // The value shows a failure.
		done <- o
	}()
	waiting := func() int { return o.count(func(*callCounts) {}).waiting }
	require.Eventually(t, func() bool { return waiting() == 1 }, 5*time.Second, time.Millisecond)
	_, err = o.Update(ctx, clpeer.ConfigKey, []byte("c"), v)
	require.NoError(t, err)
	require.Equal(t, "c", string((<-done).Value))
	require.Eventually(t, func() bool { return waiting() == 0 }, 5*time.Second, time.Millisecond)
}

// TestSlotWorld guards against a simulation in which requests do not run, whose
// low figures would look good.
func TestSlotWorld(t *testing.T) {
	w := newSlotWorld(9, 15)
	w.run()
	running := 0
	for _, n := range w.running {
		running += n
	}
	// By Little's law, rate times duration run at a time: here 1,749.
	require.InEpsilon(t, requestsPerWorker*requestTakes.Seconds()*15, running, 0.1)
	require.Greater(t, w.counts.calls, 0)
}

// TestWriteTable guards against a table that hides the fit or its residuals.
func TestWriteTable(t *testing.T) {
	r := newResult("x")
	for i, y := range []float64{1, 4, 1} {
		r.add("cost", "ms", "nodes", float64(i), y)
	}
	r.finish(time.Now(), 0)
	var b strings.Builder
	require.NoError(t, r.WriteTable(&b))
	require.Contains(t, b.String(), "1: 4 (+2)")
	require.Contains(t, b.String(), "x = nodes")
}

// TestLostDataCentre guards P8, no new work for a leaving endpoint after 5 s,
// when a fifth of 390 nodes and of their workers is lost at once.
func TestLostDataCentre(t *testing.T) {
	r := newResult("failure")
	newMemberWorld(390).loseDataCentre(r)
	known := r.byName["all these facts known to all"].Y[0]
	require.Greater(t, known, 0.0, "the facts never reached all")
	require.Less(t, known, 5.0)
}
