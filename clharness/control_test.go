// This file tests that confirmed plans are concluded once when the holder of
// the control lease is killed or paused.

package clharness_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clharness"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"
)

const (
	planDeadline = 20 * time.Second
	// stillFor is how long a concluded plan is watched for changes: a paused
	// former holder that acts does so in its next round, after 100 ms.
	stillFor = 3 * time.Second
)

// planRun is one plan under way and the control pairs around it.
type planRun struct {
	t      *testing.T
	f      *clharness.Fleet
	holder *clharness.Pair
	other  *clharness.Pair
	id     string
}

// beginPlan states and confirms an intent through a process that does not hold
// the control lease.
func beginPlan(t *testing.T, f *clharness.Fleet, in *clstate.Intent) *planRun {
	t.Helper()
	r := &planRun{t: t, f: f}
	eventually(t, healWithin, "a holder of the control lease", r.findHolder)
	ctx := context.Background()
	resp, err := r.other.Operator().StateIntent(ctx, &clwire.StateIntentRequest{Intent: in, Operator: "test"})
	require.NoError(t, err)
	r.id = resp.GetPlan().GetId()
	_, err = r.other.Operator().DecidePlan(ctx, &clwire.DecidePlanRequest{Id: r.id, Confirm: true, Operator: "test"})
	require.NoError(t, err)
	return r
}

func (r *planRun) findHolder() bool {
	running := lo.Filter(r.f.Pairs, func(p *clharness.Pair, _ int) bool { return p.Control.Running() })
	resp, err := running[0].Operator().GetStatus(context.Background(), &clwire.GetStatusRequest{})
	if err != nil {
		return false
	}
	lease, _ := lo.Find(resp.GetLeases(), func(l *clwire.LeaseStatus) bool { return l.GetName() == "control" })
	for _, p := range running {
		if strings.HasPrefix(lease.GetLease().GetHolder(), p.Control.Name+"-") {
			r.holder = p
		} else {
			r.other = p
		}
	}
	return r.holder != nil && r.other != nil
}

func (r *planRun) plan() *clstate.Plan {
	resp, err := r.other.Operator().GetPlan(context.Background(), &clwire.GetPlanRequest{Id: r.id})
	if err != nil {
		return nil
	}
	return resp.GetPlan()
}

func (r *planRun) config() *clstate.ConfigSnapshot {
	resp, err := r.other.Operator().GetConfig(context.Background(), &clwire.GetConfigRequest{})
	require.NoError(r.t, err)
	return resp.GetConfig()
}

func concluded(p *clstate.Plan) bool {
	return p.GetState() == clstate.PlanState_PLAN_STATE_DONE || p.GetState() == clstate.PlanState_PLAN_STATE_UNDONE
}

// conclude waits for the outcome, lets a paused former holder go on, and
// requires that nothing changes any more.
func (r *planRun) conclude() *clstate.Plan {
	r.t.Helper()
	eventually(r.t, planDeadline+healWithin, "outcome of the plan", func() bool { return concluded(r.plan()) })
	p, cfg := r.plan(), r.config()
	r.holder.Control.Continue()
	for end := time.Now().Add(stillFor); time.Now().Before(end); time.Sleep(pollEvery) {
		if q := r.plan(); q != nil {
			require.True(r.t, proto.Equal(p, q), "the outcome changed from %v to %v", p, q)
		}
	}
	require.Equal(r.t, cfg.GetRevision(), r.config().GetRevision(), "a concluded plan changes the configuration no more")
	require.Empty(r.t, lo.Filter(cfg.GetMoves(), func(m *clstate.Move, _ int) bool { return m.GetPlanId() == r.id }))
	r.t.Logf("plan %s: %s %s", r.id, p.GetState(), p.GetReason())
	return p
}

// requireMoved requires that the active version fits the told outcome.
func requireMoved(t *testing.T, r *planRun, p *clstate.Plan) {
	t.Helper()
	svc, _ := lo.Find(r.config().GetServices(), func(s *clstate.Service) bool { return s.GetName() == r.f.Profile.EngineService })
	want := lo.Ternary(p.GetState() == clstate.PlanState_PLAN_STATE_DONE, clharness.NewVersion, clharness.OldVersion)
	require.Equal(t, want, svc.GetActiveVersion(), "the told outcome is the one in force")
}

// startMove begins a version move and waits until it has a share of the traffic.
func startMove(t *testing.T, f *clharness.Fleet) *planRun {
	t.Helper()
	for _, dc := range f.Profile.DataCentres {
		_, err := f.AddEngine(dc, clharness.NewVersion)
		require.NoError(t, err)
	}
	r := beginPlan(t, f, &clstate.Intent{Intent: &clstate.Intent_MoveVersion{MoveVersion: &clstate.MoveVersion{
		Service: f.Profile.EngineService, ToVersion: clharness.NewVersion, Deadline: timestamppb.New(time.Now().Add(planDeadline)),
	}}})
	eventually(t, healWithin, "begin of the move", func() bool { return len(r.config().GetMoves()) > 0 })
	return r
}

func departure(dc string) *clstate.Intent {
	return &clstate.Intent{Intent: &clstate.Intent_SetDataCentre{SetDataCentre: &clstate.SetDataCentre{
		DataCentre: dc, State: clstate.DataCentreState_DATA_CENTRE_STATE_OUT,
	}}}
}

func requireOut(t *testing.T, r *planRun, dc string) {
	t.Helper()
	require.Equal(t, clstate.PlanState_PLAN_STATE_DONE, r.conclude().GetState())
	d, _ := lo.Find(r.config().GetDataCentres(), func(d *clstate.DataCentre) bool { return d.GetName() == dc })
	require.Equal(t, clstate.DataCentreState_DATA_CENTRE_STATE_OUT, d.GetState())
}

// TestControlHolderKilled guards against plans that stay open, or get two
// outcomes, because the process that carries them out died.
func TestControlHolderKilled(t *testing.T) {
	t.Parallel()
	f := start(t, smallProfile(3, 0))
	watchRevisions(t, f)
	l := startLoad(f, 24, 4)
	r := startMove(t, f)
	r.holder.Control.Kill()
	requireMoved(t, r, r.conclude())
	dc := f.Profile.DataCentres[1]
	r = beginPlan(t, f, departure(dc))
	r.holder.Control.Kill()
	requireOut(t, r, dc)
	l.requireWhole(t)
}

// TestControlHolderPaused guards against a former holder of the control lease
// that goes on with a plan after its successor has concluded it.
func TestControlHolderPaused(t *testing.T) {
	t.Parallel()
	f := start(t, smallProfile(3, 0))
	watchRevisions(t, f)
	l := startLoad(f, 24, 4)
	r := startMove(t, f)
	r.holder.Control.Pause()
	requireMoved(t, r, r.conclude())
	dc := f.Profile.DataCentres[1]
	r = beginPlan(t, f, departure(dc))
	r.holder.Control.Pause()
	requireOut(t, r, dc)
	l.requireWhole(t)
}
