// This file defines the transitions of a plan.

package clcontrol

import (
	"fmt"
	"slices"
	"time"

	"github.com/chestnutlead/chestnutlead/clrollout"
	"github.com/chestnutlead/chestnutlead/clstate"
	"google.golang.org/protobuf/types/known/timestamppb"
)

type (
	// TransitionError says that a plan cannot take a step from its current state.
	TransitionError struct {
		PlanID string
		From   clstate.PlanState
		To     clstate.PlanState
		By     string
	}

	// pace is how fast version moves may go.
	pace struct {
		dwell  time.Duration
		margin time.Duration
	}

	// IntentError says why no plan can be made for an intent.
	IntentError struct {
		Reason string
		Remedy string
	}
)

var (
	_ error = (*TransitionError)(nil)
	_ error = (*IntentError)(nil)

	// allowedTransitions has every step of a plan's life.
	allowedTransitions = map[clstate.PlanState][]clstate.PlanState{
		clstate.PlanState_PLAN_STATE_PROPOSED: {
			clstate.PlanState_PLAN_STATE_CONFIRMED, clstate.PlanState_PLAN_STATE_REJECTED,
		},
		clstate.PlanState_PLAN_STATE_CONFIRMED: {
			clstate.PlanState_PLAN_STATE_RUNNING, clstate.PlanState_PLAN_STATE_UNDONE,
		},
		clstate.PlanState_PLAN_STATE_RUNNING: {
			clstate.PlanState_PLAN_STATE_DONE, clstate.PlanState_PLAN_STATE_UNDONE,
		},
	}
)

// Error names the plan's state, who brought it there, and the remedy.
func (e *TransitionError) Error() string {
	by := ""
	if e.By != "" {
		by = " by " + e.By
	}
	return fmt.Sprintf("plan %s is already %s%s and cannot become %s; show the plan and state a new intent if needed",
		e.PlanID, planStateName(e.From), by, planStateName(e.To))
}

// Error returns the reason and the remedy.
func (e *IntentError) Error() string { return e.Reason + "; " + e.Remedy }

func planStateName(s clstate.PlanState) string {
	switch s {
	case clstate.PlanState_PLAN_STATE_PROPOSED:
		return "proposed"
	case clstate.PlanState_PLAN_STATE_CONFIRMED:
		return "confirmed"
	case clstate.PlanState_PLAN_STATE_REJECTED:
		return "rejected"
	case clstate.PlanState_PLAN_STATE_RUNNING:
		return "running"
	case clstate.PlanState_PLAN_STATE_DONE:
		return "done"
	case clstate.PlanState_PLAN_STATE_UNDONE:
		return "undone"
	default:
		return "unspecified"
	}
}

// transition moves p to the state, or fails without a change.
func transition(p *clstate.Plan, to clstate.PlanState, updateID string, now time.Time) error {
	if !slices.Contains(allowedTransitions[p.GetState()], to) && !(to == clstate.PlanState_PLAN_STATE_REJECTED && waiting(p, now)) {
		return &TransitionError{PlanID: p.GetId(), From: p.GetState(), To: to, By: p.GetDecidedBy()}
	}
	p.State = to
	p.ChangedAt = timestamppb.New(now)
	p.UpdateId = updateID
	return nil
}

// waiting reports whether a confirmed plan waits for its time, so that it can
// still be rejected. A data centre's plan is set to running before its first change.
func waiting(p *clstate.Plan, now time.Time) bool {
	at := p.GetIntent().GetSetDataCentre().GetAt()
	return p.GetState() == clstate.PlanState_PLAN_STATE_CONFIRMED && at != nil && now.Before(at.AsTime())
}

// finishStep marks the step as finished; it reports whether that changed the plan.
func finishStep(p *clstate.Plan, i int, updateID string, now time.Time) bool {
	if i >= len(p.GetSteps()) || p.GetSteps()[i].GetFinished() {
		return false
	}
	p.Steps[i].Finished = true
	p.Steps[i].FinishedAt = timestamppb.New(now)
	p.ChangedAt = timestamppb.New(now)
	p.UpdateId = updateID
	return true
}

func (p pace) config() clrollout.Config {
	return clrollout.Config{MinDwell: p.dwell, RollBackMargin: p.margin}
}

func (p pace) shortest() time.Duration { return p.config().Shortest() }

// planFor answers an intent with a proposed plan under the configuration.
func planFor(cfg *clstate.ConfigSnapshot, in *clstate.Intent, pc pace, now time.Time) (*clstate.Plan, error) {
	p := &clstate.Plan{
		Intent: in, State: clstate.PlanState_PLAN_STATE_PROPOSED,
		CreatedAt: timestamppb.New(now), ChangedAt: timestamppb.New(now),
	}
	var steps []string
	var err error
	switch v := in.GetIntent().(type) {
	case *clstate.Intent_MoveVersion:
		steps, err = moveSteps(cfg, v.MoveVersion, pc, now)
	case *clstate.Intent_SetDataCentre:
		steps, err = dataCentreSteps(cfg, v.SetDataCentre)
	default:
		err = &IntentError{Reason: "the intent is empty", Remedy: "state a version move or a data centre change"}
	}
	if err != nil {
		return nil, err
	}
	for _, s := range steps {
		p.Steps = append(p.Steps, &clstate.PlanStep{Description: s})
	}
	return p, nil
}

func moveSteps(cfg *clstate.ConfigSnapshot, m *clstate.MoveVersion, pc pace, now time.Time) ([]string, error) {
	s := findService(cfg, m.GetService())
	if s == nil {
		return nil, &IntentError{Reason: "service " + m.GetService() + " does not exist", Remedy: "apply it first"}
	}
	v := findVersion(s, m.GetToVersion())
	switch {
	case v == nil:
		return nil, &IntentError{
			Reason: "service " + s.GetName() + " has no version " + m.GetToVersion(),
			Remedy: "add the version with apply first",
		}
	case s.GetActiveVersion() == m.GetToVersion():
		return nil, &IntentError{
			Reason: "version " + m.GetToVersion() + " is already active", Remedy: "nothing is to be done",
		}
	case v.GetSuspended():
		return nil, &IntentError{
			Reason: "version " + m.GetToVersion() + " is suspended: " + v.GetSuspendedReason(),
			Remedy: "add a repaired version under a new name",
		}
	case findMove(cfg, s.GetName()) != nil:
		return nil, &IntentError{
			Reason: "service " + s.GetName() + " is already moving to " + findMove(cfg, s.GetName()).GetToVersion(),
			Remedy: "wait until that plan is done or undone",
		}
	case m.GetDeadline().AsTime().Sub(now) < pc.shortest():
		return nil, &IntentError{
			Reason: fmt.Sprintf("a move needs at least %s, for its steps to be evaluated and taken back if need be", pc.shortest()),
			Remedy: "state a later deadline",
		}
	}
	steps := make([]string, 0, len(clrollout.Steps)+1)
	for _, share := range clrollout.Steps {
		steps = append(steps, fmt.Sprintf("send %d%% of %s to version %s and evaluate it",
			share/10, s.GetName(), m.GetToVersion()))
	}
	steps[0] += fmt.Sprintf("; %s needs %.2g requests a second until the deadline, with fewer the move may be taken back undecided",
		s.GetName(), pc.config().LowestRate(m.GetDeadline().AsTime().Sub(now)))
	return append(steps, "make version "+m.GetToVersion()+" active in every process"), nil
}

func dataCentreSteps(cfg *clstate.ConfigSnapshot, d *clstate.SetDataCentre) ([]string, error) {
	dc := findDataCentre(cfg, d.GetDataCentre())
	if dc == nil {
		return nil, &IntentError{
			Reason: "data centre " + d.GetDataCentre() + " does not exist", Remedy: "apply it first",
		}
	}
	switch d.GetState() {
	case clstate.DataCentreState_DATA_CENTRE_STATE_OUT:
		if countIn(cfg) <= 1 && dc.GetState() != clstate.DataCentreState_DATA_CENTRE_STATE_OUT {
			return nil, &IntentError{
				Reason: "data centre " + dc.GetName() + " is the last one in service",
				Remedy: "bring another one in first",
			}
		}
		return []string{
			"set " + dc.GetName() + " out of service",
			"wait until every live process applies the change",
			"wait until the requests running in " + dc.GetName() + " have ended",
		}, nil
	case clstate.DataCentreState_DATA_CENTRE_STATE_IN:
		return []string{
			"bring " + dc.GetName() + " into service",
			"wait until every live process applies the change",
		}, nil
	default:
		return nil, &IntentError{Reason: "the state is missing", Remedy: "state in or out"}
	}
}

func findService(cfg *clstate.ConfigSnapshot, name string) *clstate.Service {
	for _, s := range cfg.GetServices() {
		if s.GetName() == name {
			return s
		}
	}
	return nil
}

func findVersion(s *clstate.Service, name string) *clstate.Version {
	for _, v := range s.GetVersions() {
		if v.GetName() == name {
			return v
		}
	}
	return nil
}

func findMove(cfg *clstate.ConfigSnapshot, service string) *clstate.Move {
	for _, m := range cfg.GetMoves() {
		if m.GetService() == service {
			return m
		}
	}
	return nil
}

func findDataCentre(cfg *clstate.ConfigSnapshot, name string) *clstate.DataCentre {
	for _, d := range cfg.GetDataCentres() {
		if d.GetName() == name {
			return d
		}
	}
	return nil
}

func countIn(cfg *clstate.ConfigSnapshot) int {
	n := 0
	for _, d := range cfg.GetDataCentres() {
		if d.GetState() != clstate.DataCentreState_DATA_CENTRE_STATE_OUT {
			n++
		}
	}
	return n
}
