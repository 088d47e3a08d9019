// This file tests that no plan is lost, doubled or changed by its move.

package clcontrol

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clplatform"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/timestamppb"
	"pgregory.net/rapid"
)

// manyObjects is an object API in memory; next decides the fate of each write
// as in faultyObjects.
type manyObjects struct {
	clplatform.Objects
	values  map[string]clplatform.Object
	version uint64
	next    func() string
	// listed counts the objects read by lists.
	listed int
}

func newManyObjects() *manyObjects {
	return &manyObjects{values: make(map[string]clplatform.Object), next: func() string { return "" }}
}

func (m *manyObjects) Get(_ context.Context, key string) (clplatform.Object, error) {
	o, ok := m.values[key]
	if !ok {
		return o, fault(clplatform.KindNotFound)
	}
	return o, nil
}

func (m *manyObjects) List(_ context.Context, prefix string) ([]clplatform.Object, error) {
	list := lo.Filter(lo.Values(m.values), func(o clplatform.Object, _ int) bool { return strings.HasPrefix(o.Key, prefix) })
	slices.SortFunc(list, func(a, b clplatform.Object) int { return strings.Compare(a.Key, b.Key) })
	m.listed += len(list)
	return list, nil
}

func (m *manyObjects) write(key string, ifVersion uint64, effect func()) error {
	fate := m.next()
	switch {
	case fate == "down":
		return fault(clplatform.KindUnavailable)
	case fate == "dropped":
		return fault(clplatform.KindUnknown)
	case m.values[key].Version != ifVersion:
		return fault(clplatform.KindConflict)
	}
	effect()
	if fate == "lost" {
		return fault(clplatform.KindUnknown)
	}
	return nil
}

func (m *manyObjects) Update(_ context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	err := m.write(key, ifVersion, func() {
		m.version++
		m.values[key] = clplatform.Object{Key: key, Value: value, Version: m.version}
	})
	return m.version, err
}

func (m *manyObjects) Delete(_ context.Context, key string, ifVersion uint64) error {
	return m.write(key, ifVersion, func() { delete(m.values, key) })
}

func newTestExecutor(m *manyObjects) *executor {
	return &executor{plans: newPlanStore(m), log: zap.NewNop(), rollouts: newRollouts(planPace, func() {})}
}

func putPlan(t require.TestingT, s *planStore, id string, state clstate.PlanState, changed time.Time) {
	require.NoError(t, s.put(context.Background(), planPrefix+id, &clstate.Plan{
		Id: id, State: state, DecidedBy: "operator-a", UpdateId: "u-" + id, ChangedAt: timestamppb.New(changed),
		Steps: []*clstate.PlanStep{{Description: "step"}, {Description: "step"}},
	}, 0))
}

// TestMoveFinished guards against plans that are lost, listed twice, or brought
// back to an earlier state by a crash between the two writes of the move, by
// lost answers, and by two processes that move at the same time.
func TestMoveFinished(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, m := context.Background(), newManyObjects()
		holders := []*executor{newTestExecutor(m), newTestExecutor(m)}
		s, op := holders[0].plans, &operatorServer{plans: holders[0].plans}
		want := make(map[string]clstate.PlanState)
		for i := range rapid.IntRange(1, 8).Draw(t, "plans") {
			state := clstate.PlanState(rapid.IntRange(1, 6).Draw(t, "state"))
			id := fmt.Sprint("p", i)
			putPlan(t, s, id, state, planNow)
			want[id] = state
		}
		check := func() {
			resp, err := op.ListPlans(ctx, &clwire.ListPlansRequest{})
			require.NoError(t, err)
			require.Len(t, resp.GetPlans(), len(want))
			require.True(t, slices.IsSortedFunc(resp.GetPlans(), func(a, b *clstate.Plan) int { return strings.Compare(a.GetId(), b.GetId()) }))
			for _, p := range resp.GetPlans() {
				require.Equal(t, want[p.GetId()], p.GetState())
				got, err := op.GetPlan(ctx, &clwire.GetPlanRequest{Id: p.GetId()})
				require.NoError(t, err)
				require.Equal(t, want[p.GetId()], got.GetPlan().GetState())
			}
		}
		fates := []string{"", "", "", "lost", "dropped", "down"}
		for range 12 {
			m.next = func() string { return rapid.SampledFrom(fates).Draw(t, "fate") }
			x := rapid.SampledFrom(holders).Draw(t, "holder")
			// A sweep may be followed by no move: its process crashes, or is paused
			// and moves later what it saw.
			if rapid.Bool().Draw(t, "sweep") {
				require.True(t, x.sweep(ctx, planNow))
			}
			if rapid.Bool().Draw(t, "move") {
				x.tidy(ctx, planNow)
			}
			check()
		}
		m.next = func() string { return "" }
		for range 4 {
			require.True(t, holders[0].sweep(ctx, planNow))
			holders[0].tidy(ctx, planNow)
			check()
		}
		for id, state := range want {
			_, open := m.values[planPrefix+id]
			_, moved := m.values[finishedPrefix+id]
			final := finished(&clstate.Plan{State: state})
			require.Equal(t, !final, open, "%s is %s", id, state)
			require.Equal(t, final, moved, "%s is %s", id, state)
		}
	})
}

// TestSweepReadsOpenPlans guards against sweeps whose cost rises with the plans
// that are kept, and against plans that are kept for ever.
func TestSweepReadsOpenPlans(t *testing.T) {
	ctx, m := context.Background(), newManyObjects()
	x := newTestExecutor(m)
	putPlan(t, x.plans, "running", clstate.PlanState_PLAN_STATE_RUNNING, planNow)
	putPlan(t, x.plans, "undecided", clstate.PlanState_PLAN_STATE_PROPOSED, planNow)
	for i := range 3 * maxMoves {
		putPlan(t, x.plans, fmt.Sprint("done", i), clstate.PlanState_PLAN_STATE_DONE, planNow)
	}
	for range 3 {
		require.True(t, x.sweep(ctx, planNow))
		x.tidy(ctx, planNow)
	}
	m.listed = 0
	require.True(t, x.sweep(ctx, planNow.Add(removeEvery/2)))
	x.tidy(ctx, planNow.Add(removeEvery/2))
	require.Equal(t, 2, m.listed)
	require.Len(t, m.values, 3*maxMoves+2)

	later := planNow.Add(planRetention + time.Second)
	require.True(t, x.sweep(ctx, later))
	x.tidy(ctx, later)
	require.Equal(t, []string{planPrefix + "running"}, lo.Keys(m.values), "neither finished nor undecided plans are kept for longer")
}

// TestMovedPlanIsFinal guards against a decision on a finished plan that
// reports it as missing or brings it back, and against a former holder of the
// control lease that crashes or goes on with a plan which its successor has
// finished and moved.
func TestMovedPlanIsFinal(t *testing.T) {
	ctx, m := context.Background(), newManyObjects()
	x := newTestExecutor(m)
	op := &operatorServer{plans: x.plans}
	putPlan(t, x.plans, "p", clstate.PlanState_PLAN_STATE_DONE, planNow)
	require.NoError(t, x.plans.moveFinished(ctx, "p"))
	before := len(m.values)

	var te twirp.Error
	for _, confirm := range []bool{true, false} {
		_, err := op.DecidePlan(ctx, &clwire.DecidePlanRequest{Id: "p", Confirm: confirm, Operator: "operator-b"})
		require.ErrorAs(t, err, &te)
		require.Equal(t, twirp.Aborted, te.Code())
		require.ErrorContains(t, err, "already done by operator-a")
	}
	_, err := op.DecidePlan(ctx, &clwire.DecidePlanRequest{Id: "q", Confirm: true})
	require.ErrorAs(t, err, &te)
	require.Equal(t, twirp.NotFound, te.Code())
	_, err = op.GetPlan(ctx, &clwire.GetPlanRequest{Id: "q"})
	require.ErrorAs(t, err, &te)
	require.Equal(t, twirp.NotFound, te.Code())

	stale := &clstate.Plan{Id: "p", State: clstate.PlanState_PLAN_STATE_RUNNING, Steps: []*clstate.PlanStep{{}, {}}}
	x.active = map[string]*clstate.Plan{"p": stale}
	var transition *TransitionError
	require.ErrorAs(t, x.finish(ctx, stale, 0), &transition)
	require.ErrorAs(t, x.toState(ctx, stale, clstate.PlanState_PLAN_STATE_UNDONE, "late"), &transition)
	require.NoError(t, x.plans.moveFinished(ctx, "p"), "moved again")
	require.Len(t, m.values, before)
	p, ok, err := x.plans.find(ctx, "p")
	require.NoError(t, err)
	require.True(t, ok)
	require.Equal(t, clstate.PlanState_PLAN_STATE_DONE, p.GetState())
}
