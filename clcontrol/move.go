// This file defines the execution of version moves.

package clcontrol

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/clmember"
	"github.com/chestnutlead/chestnutlead/clpeer"
	"github.com/chestnutlead/chestnutlead/clrollout"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/samber/lo"
	"github.com/twitchtv/twirp"
)

type (
	// rollouts evaluates the moves of the running plans.
	rollouts struct {
		mu     sync.Mutex
		byPlan map[string]*rollout
		// received has the batches that have been counted, in whatever sums they came.
		received clrollout.Receiver
		// open says that this process evaluates the moves.
		open bool
		// suspended has versions that an entry suspended on its own evidence.
		suspended map[string]string
		// onBad wakes the executor.
		onBad func()
		pace  pace
	}

	rollout struct {
		service string
		version string
		core    *clrollout.Rollout
		// share is in force once every live process applies revision.
		share    uint32
		revision uint64
		applied  bool
	}
)

var _ clpeer.Evidence = (*rollouts)(nil)

func newRollouts(pc pace, onBad func()) *rollouts {
	return &rollouts{byPlan: make(map[string]*rollout), suspended: make(map[string]string), onBad: onBad, pace: pc}
}

// ReportEvidence implements clpeer.Evidence. It takes single batches and sums.
func (r *rollouts) ReportEvidence(_ context.Context, req *clwire.ReportEvidenceRequest) (*clwire.ReportEvidenceResponse, error) {
	parts, ok := clpeer.PartsFromWire(req)
	if !ok {
		return nil, twirp.InvalidArgumentError("sequences", "must have as many elements as reporters")
	}
	batch := clpeer.EvidenceFromWire(req.GetEvidence())
	now := time.Now()
	bad := false
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.open {
		return nil, twirp.NewError(twirp.Unavailable, "this process does not evaluate rollouts now; repeat the report to the holder of the control lease")
	}
	if counted := r.received.Receive(parts); len(counted) > 0 {
		return &clwire.ReportEvidenceResponse{Counted: lo.Map(counted, func(p clrollout.Part, _ int) uint64 { return p.From })}, nil
	}
	for _, ro := range r.byPlan {
		ro.core.Add(batch)
		bad = bad || ro.core.Decide(now).Action == clrollout.Suspend
	}
	if bad {
		r.onBad()
	}
	return &clwire.ReportEvidenceResponse{}, nil
}

// learnSuspended takes the fact that an entry suspended a version.
func (r *rollouts) learnSuspended(f clmember.Fact) {
	r.mu.Lock()
	r.suspended[f.Subject] = f.Detail
	r.mu.Unlock()
	r.onBad()
}

func (r *rollouts) clear() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.byPlan)
	r.open, r.received = false, clrollout.Receiver{}
}

// accept takes reports from now on. Before the running plans have been read, a
// report would be taken as counted although no rollout has it.
func (r *rollouts) accept() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open = true
}

func (r *rollouts) remove(planID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byPlan, planID)
}

// get returns the plan's rollout, which starts without evidence if this
// process did not evaluate it before.
func (r *rollouts) get(planID string, mv *clstate.Move, start, now time.Time) *rollout {
	r.mu.Lock()
	defer r.mu.Unlock()
	ro := r.byPlan[planID]
	if ro == nil {
		ro = &rollout{service: mv.GetService(), version: mv.GetToVersion(), core: clrollout.New(clrollout.Config{
			Service: mv.GetService(), From: mv.GetFromVersion(), To: mv.GetToVersion(), Start: start,
			Deadline: mv.GetDeadline().AsTime(), SharePermille: mv.GetSharePermille(),
			MinDwell: r.pace.dwell, RollBackMargin: r.pace.margin,
		}, now)}
		r.byPlan[planID] = ro
	}
	return ro
}

func (r *rollouts) decide(ro *rollout, now time.Time) clrollout.Decision {
	r.mu.Lock()
	defer r.mu.Unlock()
	if detail, ok := r.suspended[ro.service+"/"+ro.version]; ok {
		return clrollout.Decision{Action: clrollout.Suspend, Verdict: clrollout.Bad, Reason: "suspended on the " + detail}
	}
	return ro.core.Decide(now)
}

func (r *rollouts) shareApplied(ro *rollout, now time.Time, share uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ro.core.ShareApplied(now, share)
}

// advanceMove carries a version move one step on.
func (x *executor) advanceMove(ctx context.Context, p *clstate.Plan, m *clstate.MoveVersion, now time.Time) error {
	if p.GetState() == clstate.PlanState_PLAN_STATE_CONFIRMED {
		if err := x.startMove(ctx, p, m, now); err != nil || p.GetState() != clstate.PlanState_PLAN_STATE_RUNNING {
			return err
		}
	}
	cfg := x.node.Configs.Current()
	mv := findMoveOf(cfg, p.GetId())
	if mv == nil {
		return x.endMove(ctx, p, m, cfg)
	}
	ro := x.rollouts.get(p.GetId(), mv, p.GetChangedAt().AsTime(), now)
	x.confirmShare(ctx, ro, mv, cfg, now)
	d := x.rollouts.decide(ro, now)
	switch d.Action {
	case clrollout.Raise:
		return x.raise(ctx, p, ro, d)
	case clrollout.Finish:
		return x.finishMove(ctx, p, m)
	case clrollout.Suspend:
		return x.suspendMove(ctx, p, m, d.Reason)
	case clrollout.RollBack:
		return x.rollBack(ctx, p, d.Reason)
	}
	if d.SharePermille != mv.GetSharePermille() && d.SharePermille > 0 {
		return x.raise(ctx, p, ro, d)
	}
	return nil
}

// confirmShare tells the rollout when the configured share is in force.
func (x *executor) confirmShare(ctx context.Context, ro *rollout, mv *clstate.Move, cfg *clstate.ConfigSnapshot, now time.Time) {
	if ro.share != mv.GetSharePermille() {
		ro.share, ro.revision, ro.applied = mv.GetSharePermille(), cfg.GetRevision(), false
	}
	if !ro.applied && x.inForce(ctx, ro.revision) {
		ro.applied = true
		x.rollouts.shareApplied(ro, now, ro.share)
	}
}

// startMove enters the move into the configuration at the first share.
func (x *executor) startMove(ctx context.Context, p *clstate.Plan, m *clstate.MoveVersion, now time.Time) error {
	reason := ""
	_, err := x.editor.change(ctx, "plan "+p.GetId(), func(s *clstate.ConfigSnapshot) (bool, error) {
		if findMoveOf(s, p.GetId()) != nil {
			return false, nil
		}
		// The plan was made under an earlier configuration.
		if _, err := moveSteps(s, m, x.rollouts.pace, now); err != nil {
			reason = err.Error()
			return false, nil
		}
		svc := findService(s, m.GetService())
		s.Moves = append(s.Moves, &clstate.Move{
			Service: m.GetService(), FromVersion: svc.GetActiveVersion(), ToVersion: m.GetToVersion(),
			Deadline: m.GetDeadline(), PlanId: p.GetId(), SharePermille: clrollout.Steps[0],
		})
		return true, nil
	})
	if err != nil {
		return err
	}
	if reason != "" {
		return x.toState(ctx, p, clstate.PlanState_PLAN_STATE_UNDONE, reason)
	}
	return x.toState(ctx, p, clstate.PlanState_PLAN_STATE_RUNNING, "")
}

func (x *executor) raise(ctx context.Context, p *clstate.Plan, ro *rollout, d clrollout.Decision) error {
	cfg, err := x.editor.change(ctx, fmt.Sprintf("plan %s: %s", p.GetId(), d.Reason), func(s *clstate.ConfigSnapshot) (bool, error) {
		mv := findMoveOf(s, p.GetId())
		if mv == nil || mv.GetSharePermille() == d.SharePermille {
			return false, nil
		}
		mv.SharePermille = d.SharePermille
		return true, nil
	})
	if err != nil {
		return err
	}
	ro.share, ro.revision, ro.applied = d.SharePermille, cfg.GetRevision(), false
	for i, share := range clrollout.Steps {
		if share < d.SharePermille && !p.GetSteps()[i].GetFinished() {
			if err := x.finish(ctx, p, i); err != nil {
				return err
			}
		}
	}
	return nil
}

// finishMove makes the new version the active one.
func (x *executor) finishMove(ctx context.Context, p *clstate.Plan, m *clstate.MoveVersion) error {
	_, err := x.editor.change(ctx, "plan "+p.GetId(), func(s *clstate.ConfigSnapshot) (bool, error) {
		if !removeMove(s, p.GetId()) {
			return false, nil
		}
		findService(s, m.GetService()).ActiveVersion = m.GetToVersion()
		return true, nil
	})
	return err
}

// suspendMove stops all traffic of the new version: at once by a fact, then
// durably by the configuration.
func (x *executor) suspendMove(ctx context.Context, p *clstate.Plan, m *clstate.MoveVersion, reason string) error {
	x.node.AddFact(clmember.Fact{
		ID: "suspended/" + m.GetService() + "/" + m.GetToVersion(), Kind: clmember.VersionSuspended,
		Lifetime: suspendFactLifetime, Subject: m.GetService() + "/" + m.GetToVersion(), Detail: "evidence of all entries", Urgent: true,
	})
	_, err := x.editor.change(ctx, "plan "+p.GetId()+": "+reason, func(s *clstate.ConfigSnapshot) (bool, error) {
		removed := removeMove(s, p.GetId())
		if svc := findService(s, m.GetService()); svc != nil {
			if v := findVersion(svc, m.GetToVersion()); v != nil && !v.GetSuspended() {
				v.Suspended, v.SuspendedReason = true, reason
				return true, nil
			}
		}
		return removed, nil
	})
	if err != nil {
		return err
	}
	return x.toState(ctx, p, clstate.PlanState_PLAN_STATE_UNDONE, reason)
}

func (x *executor) rollBack(ctx context.Context, p *clstate.Plan, reason string) error {
	_, err := x.editor.change(ctx, "plan "+p.GetId()+": "+reason, func(s *clstate.ConfigSnapshot) (bool, error) {
		return removeMove(s, p.GetId()), nil
	})
	if err != nil {
		return err
	}
	return x.toState(ctx, p, clstate.PlanState_PLAN_STATE_UNDONE, reason)
}

// endMove concludes a plan whose move is no longer in the configuration, also
// one that a former holder ended before it could say so.
func (x *executor) endMove(ctx context.Context, p *clstate.Plan, m *clstate.MoveVersion, cfg *clstate.ConfigSnapshot) error {
	svc := findService(cfg, m.GetService())
	if svc.GetActiveVersion() != m.GetToVersion() {
		reason := "the move was ended by another change"
		if svc != nil {
			if v := findVersion(svc, m.GetToVersion()); v.GetSuspended() {
				reason = v.GetSuspendedReason()
			}
		}
		return x.toState(ctx, p, clstate.PlanState_PLAN_STATE_UNDONE, reason)
	}
	if !x.inForce(ctx, cfg.GetRevision()) {
		return nil
	}
	for i := range p.GetSteps() {
		if !p.GetSteps()[i].GetFinished() {
			if err := x.finish(ctx, p, i); err != nil {
				return err
			}
		}
	}
	return x.toState(ctx, p, clstate.PlanState_PLAN_STATE_DONE, "")
}

func findMoveOf(s *clstate.ConfigSnapshot, planID string) *clstate.Move {
	for _, m := range s.GetMoves() {
		if m.GetPlanId() == planID {
			return m
		}
	}
	return nil
}
