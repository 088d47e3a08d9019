// This file tests data centres that are taken out, entries that are stopped,
// versions that turn out bad, and operators who race for a plan.

package clharness_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clharness"
	"github.com/chestnutlead/chestnutlead/clstandin"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
)

const (
	// noWorkAfter is the bound of P4, suspendedAfter that of P2.
	noWorkAfter    = 5 * time.Second
	suspendedAfter = time.Second
	// watchFor is how long endpoints are watched after a bound has passed.
	watchFor       = 2 * time.Second
	stoppedStreams = 200
	// stoppedTokens take at least 8 s, longer than the HTTP server itself waits for a connection.
	stoppedTokens = 1600
	// engineBatch is the number of requests that the stand-in engine runs at once.
	engineBatch = 64
	races       = 10
)

// requests counts the requests that reached the engines, also those that a
// fault switch failed.
func requests(t *testing.T, engines []*clharness.StandIn) uint64 {
	t.Helper()
	return lo.SumBy(engines, func(e *clharness.StandIn) uint64 {
		a, err := e.Arrivals()
		require.NoError(t, err)
		return a.Count
	})
}

// requireNoneAfter requires that no new request reaches the endpoints later than
// the bound after an event, and prints when the last one came.
func requireNoneAfter(t *testing.T, event time.Time, bound time.Duration, endpoints []*clharness.StandIn) {
	t.Helper()
	requireNoneUntil(t, event, bound, event.Add(bound+watchFor), endpoints)
}

// requireNoneUntil does the same and watches the endpoints until the given time.
func requireNoneUntil(t *testing.T, event time.Time, bound time.Duration, until time.Time, endpoints []*clharness.StandIn) {
	t.Helper()
	time.Sleep(time.Until(until))
	for _, e := range endpoints {
		a, err := e.Arrivals()
		require.NoError(t, err)
		if a.Count == 0 {
			t.Logf("%s: no requests", e.Name)
			continue
		}
		last := a.LastAt.Sub(event)
		t.Logf("%s: %d requests, the last one %s after the event", e.Name, a.Count, last.Round(time.Millisecond))
		require.LessOrEqual(t, last, bound, "%s got a new request", e.Name)
	}
}

// TestDataCentreOut guards against new work in a data centre that operators
// took out (P4), against requests that are lost meanwhile, and against a data
// centre that stays unused after its return.
func TestDataCentreOut(t *testing.T) {
	t.Parallel()
	f := start(t, smallProfile(6, 0))
	dc := f.Profile.DataCentres[1]
	inside := lo.Filter(f.Endpoints, func(e *clharness.StandIn, _ int) bool { return e.DataCentre == dc })
	l := startLoad(f, 12, 8)
	eventually(t, healWithin, "requests in "+dc, func() bool { return requests(t, inside) > 0 })
	r := beginPlan(t, f, departure(dc))
	requireNoneAfter(t, time.Now(), noWorkAfter, inside)
	eventually(t, healWithin, "outcome of the departure", func() bool { return concluded(r.plan()) })
	require.Equal(t, clstate.PlanState_PLAN_STATE_DONE, r.plan().GetState())
	before := requests(t, inside)
	r = beginPlan(t, f, &clstate.Intent{Intent: &clstate.Intent_SetDataCentre{SetDataCentre: &clstate.SetDataCentre{
		DataCentre: dc, State: clstate.DataCentreState_DATA_CENTRE_STATE_IN,
	}}})
	eventually(t, healWithin, "requests in "+dc+" after its return", func() bool { return requests(t, inside) > before })
	l.requireWhole(t)
}

// TestStopWithOpenStreams guards against a planned stop that cuts off a request (P9).
func TestStopWithOpenStreams(t *testing.T) {
	t.Parallel()
	p := smallProfile(4, 0)
	// Capacity is not what this test is about: 4 engines with a batch of 64.
	p.ColdSlots, p.MaxSlots = engineBatch, engineBatch
	f := start(t, p)
	stopped := f.Pairs[1]
	var begun atomic.Int64
	var wg sync.WaitGroup
	faults := make([]error, stoppedStreams)
	for i := range stoppedStreams {
		wg.Go(func() {
			c := &clharness.Caller{
				URL: stopped.URL(), Account: p.Accounts[i%2], Timeout: 2 * healWithin, OnBegin: func() { begun.Add(1) },
			}
			faults[i] = c.Stream(context.Background(), p.EngineService, fmt.Sprintf("roster %d", i), stoppedTokens)
		})
	}
	eventually(t, healWithin, "all streams open", func() bool { return begun.Load() == stoppedStreams })
	require.NoError(t, stopped.Entry.Stop(2*healWithin))
	wg.Wait()
	for i, err := range faults {
		require.NoError(t, err, "stream %d", i)
	}
}

// TestBadVersion guards against a version whose fault has shown and that still
// gets requests (P2), and against a plan that does not say that it is undone.
func TestBadVersion(t *testing.T) {
	t.Parallel()
	f := start(t, smallProfile(3, 0))
	var bad []*clharness.StandIn
	for _, dc := range f.Profile.DataCentres {
		e, err := f.AddEngine(dc, clharness.NewVersion)
		require.NoError(t, err)
		bad = append(bad, e)
	}
	setFaults(t, clstandin.Faults{Routes: []clstandin.RouteFault{{Prefix: "/v1/", FailStatus: 500}}}, bad...)
	l := startLoad(f, 24, 4)
	r := startMove(t, f)
	eventually(t, planDeadline+healWithin, "outcome of the move", func() bool { return concluded(r.plan()) })
	told := time.Now()
	require.Equal(t, clstate.PlanState_PLAN_STATE_UNDONE, r.plan().GetState())
	t.Log(r.plan().GetReason())
	requireNoneAfter(t, told, suspendedAfter, bad)
	l.requireWhole(t)
}

// TestPlanRace guards against a plan that is both confirmed and rejected by
// operators who decide at the same moment through different processes.
func TestPlanRace(t *testing.T) {
	t.Parallel()
	f := start(t, smallProfile(1, 0))
	ctx := context.Background()
	for i := range races {
		resp, err := f.Pairs[0].Operator().StateIntent(ctx, &clwire.StateIntentRequest{Intent: departure(f.Profile.DataCentres[i%2]), Operator: "a"})
		require.NoError(t, err)
		id := resp.GetPlan().GetId()
		errs := make([]error, 2)
		var wg sync.WaitGroup
		for j := range errs {
			wg.Go(func() {
				_, errs[j] = f.Pairs[j].Operator().DecidePlan(ctx, &clwire.DecidePlanRequest{Id: id, Confirm: j == 0, Operator: fmt.Sprint("operator-", j)})
			})
		}
		wg.Wait()
		require.Equal(t, 1, lo.CountBy(errs, func(err error) bool { return err == nil }), "exactly one decision is taken: %v", errs)
		got, err := f.Pairs[2].Operator().GetPlan(ctx, &clwire.GetPlanRequest{Id: id})
		require.NoError(t, err)
		rejected := got.GetPlan().GetState() == clstate.PlanState_PLAN_STATE_REJECTED
		require.Equal(t, errs[1] == nil, rejected, "the accepted decision is the one in force")
	}
}
