package clcontrol

import (
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/types/known/timestamppb"
	"pgregory.net/rapid"
)

var (
	planNow  = time.Unix(1_700_000_000, 0)
	planPace = pace{dwell: time.Second, margin: time.Second}
)

func planConfig() *clstate.ConfigSnapshot {
	in, out := clstate.DataCentreState_DATA_CENTRE_STATE_IN, clstate.DataCentreState_DATA_CENTRE_STATE_OUT
	return &clstate.ConfigSnapshot{
		Services: []*clstate.Service{
			{Name: "brew", ActiveVersion: "v1", Versions: []*clstate.Version{{Name: "v1"}, {Name: "v2"}, {Name: "v3", Suspended: true}}},
			{Name: "moving", ActiveVersion: "v1", Versions: []*clstate.Version{{Name: "v1"}, {Name: "v2"}}},
		},
		DataCentres: []*clstate.DataCentre{{Name: "a", State: in}, {Name: "b", State: out}},
		Moves:       []*clstate.Move{{Service: "moving", ToVersion: "v2"}},
	}
}

func moveOf(service, version string, in time.Duration) *clstate.Intent {
	return &clstate.Intent{Intent: &clstate.Intent_MoveVersion{MoveVersion: &clstate.MoveVersion{
		Service: service, ToVersion: version, Deadline: timestamppb.New(planNow.Add(in)),
	}}}
}

func dataCentreOf(name string, state clstate.DataCentreState) *clstate.Intent {
	return &clstate.Intent{Intent: &clstate.Intent_SetDataCentre{SetDataCentre: &clstate.SetDataCentre{DataCentre: name, State: state}}}
}

// TestPlanFor guards against plans that cannot be carried out, and against
// refusals that name no remedy.
func TestPlanFor(t *testing.T) {
	in, out := clstate.DataCentreState_DATA_CENTRE_STATE_IN, clstate.DataCentreState_DATA_CENTRE_STATE_OUT
	tests := []struct {
		name   string
		intent *clstate.Intent
		steps  int
		reason string
	}{
		{"move", moveOf("brew", "v2", time.Minute), 5, ""},
		{"unknown service", moveOf("tea", "v2", time.Minute), 0, "does not exist"},
		{"unknown version", moveOf("brew", "v9", time.Minute), 0, "has no version v9"},
		{"active version", moveOf("brew", "v1", time.Minute), 0, "already active"},
		{"suspended version", moveOf("brew", "v3", time.Minute), 0, "is suspended"},
		{"second move", moveOf("moving", "v2", time.Minute), 0, "already moving"},
		{"deadline too near", moveOf("brew", "v2", time.Second), 0, "needs at least 5s"},
		{"last data centre out", dataCentreOf("a", out), 0, "last one in service"},
		{"data centre in", dataCentreOf("b", in), 2, ""},
		{"out again", dataCentreOf("b", out), 3, ""},
		{"unknown data centre", dataCentreOf("z", out), 0, "does not exist"},
		{"no state", dataCentreOf("a", 0), 0, "state is missing"},
		{"empty", &clstate.Intent{}, 0, "intent is empty"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, err := planFor(planConfig(), tt.intent, planPace, planNow)
			if tt.reason != "" {
				require.ErrorContains(t, err, tt.reason)
				require.ErrorContains(t, err, "; ")
				return
			}
			require.NoError(t, err)
			require.Len(t, p.GetSteps(), tt.steps)
			require.Equal(t, clstate.PlanState_PLAN_STATE_PROPOSED, p.GetState())
		})
	}
}

// TestPlanStatesRate guards against a move that is confirmed without the
// operator being told the rate of requests below which it cannot be judged.
func TestPlanStatesRate(t *testing.T) {
	p, err := planFor(planConfig(), moveOf("brew", "v2", 2*time.Hour), pace{}, planNow)
	require.NoError(t, err)
	require.Contains(t, p.GetSteps()[0].GetDescription(), "brew needs 1.9 requests a second until the deadline")
}

// TestTransitions guards against plans that leave a final state, are carried
// out without a confirmation, or are both done and undone.
func TestTransitions(t *testing.T) {
	final := map[clstate.PlanState]bool{
		clstate.PlanState_PLAN_STATE_REJECTED: true, clstate.PlanState_PLAN_STATE_DONE: true, clstate.PlanState_PLAN_STATE_UNDONE: true,
	}
	rapid.Check(t, func(t *rapid.T) {
		p := &clstate.Plan{Id: "p", State: clstate.PlanState_PLAN_STATE_PROPOSED}
		confirmed := false
		for range 20 {
			to := clstate.PlanState(rapid.IntRange(0, 6).Draw(t, "to"))
			before := p.GetState()
			if err := transition(p, to, "u", planNow); err != nil {
				require.Equal(t, before, p.GetState())
				continue
			}
			require.False(t, final[before], "left the final state %s", before)
			confirmed = confirmed || to == clstate.PlanState_PLAN_STATE_CONFIRMED
			if to == clstate.PlanState_PLAN_STATE_RUNNING || to == clstate.PlanState_PLAN_STATE_DONE {
				require.True(t, confirmed)
			}
		}
	})
}

// TestRejectConfirmed guards against a departure that is confirmed for the
// night and cannot be called off, and against a move that is called off while
// the configuration already has it.
func TestRejectConfirmed(t *testing.T) {
	confirmed, running := clstate.PlanState_PLAN_STATE_CONFIRMED, clstate.PlanState_PLAN_STATE_RUNNING
	atNight := func(in time.Duration) *clstate.Intent {
		i := dataCentreOf("a", clstate.DataCentreState_DATA_CENTRE_STATE_OUT)
		i.GetSetDataCentre().At = timestamppb.New(planNow.Add(in))
		return i
	}
	tests := []struct {
		name   string
		intent *clstate.Intent
		state  clstate.PlanState
		ok     bool
	}{
		{"confirmed departure", atNight(time.Hour), confirmed, true},
		{"its time has come", atNight(-time.Second), confirmed, false},
		{"running departure", atNight(time.Hour), running, false},
		{"departure at once", dataCentreOf("a", clstate.DataCentreState_DATA_CENTRE_STATE_OUT), confirmed, false},
		{"confirmed move", moveOf("brew", "v2", time.Minute), confirmed, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p := &clstate.Plan{Id: "p", Intent: tt.intent, State: tt.state}
			err := transition(p, clstate.PlanState_PLAN_STATE_REJECTED, "u", planNow)
			require.Equal(t, tt.ok, err == nil, "%v", err)
		})
	}
}
