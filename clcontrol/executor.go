// This file defines the execution of confirmed plans by the holder of the control lease.

package clcontrol

import (
	"context"
	"time"

	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/cllease"
	"github.com/chestnutlead/chestnutlead/clmember"
	"github.com/chestnutlead/chestnutlead/clpeer"
	"github.com/chestnutlead/chestnutlead/clplatform"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"github.com/samber/lo"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const (
	planSweepEvery  = 10 * time.Second
	revisionTimeout = time.Second
	loadTimeout     = time.Second
	// removeEvery is the time between two searches for finished plans to remove,
	// which read all of them.
	removeEvery         = time.Hour
	holderFactLifetime  = 2 * time.Minute
	holderFactEvery     = 30 * time.Second
	suspendFactLifetime = 24 * time.Hour
)

// executor carries out plans while this process holds the control lease. All
// its decisions start from the objects, so that a successor goes on from there.
type executor struct {
	plans     *planStore
	editor    *editor
	node      *clpeer.Node
	lease     *cllease.Runner
	instances clplatform.Instances
	observer  clendpoint.Observer
	rollouts  *rollouts
	interval  time.Duration
	log       *zap.Logger
	kick      chan struct{}

	active map[string]*clstate.Plan
	// ended has finished plans that the sweep found among the open ones.
	ended     []string
	sweptAt   time.Time
	removedAt time.Time
	factAt    time.Time
	held      bool
	announced uint64
}

// loop works on plans until ctx ends.
func (x *executor) loop(ctx context.Context) error {
	t := time.NewTicker(x.interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-x.kick:
			x.sweptAt = time.Time{}
		}
		x.round(ctx, time.Now())
	}
}

func (x *executor) wake() {
	select {
	case x.kick <- struct{}{}:
	default:
	}
}

func (x *executor) round(ctx context.Context, now time.Time) {
	state := x.lease.Current(now)
	if !state.Held {
		if x.held {
			x.log.Info("Control lease lost. Plans are left to its holder.", zap.String("holder", state.Holder))
		}
		x.held, x.active = false, nil
		x.rollouts.clear()
		return
	}
	if !x.held {
		x.log.Info("Control lease acquired.", zap.Uint64("fencing", state.Fencing))
		x.held, x.sweptAt, x.factAt = true, time.Time{}, time.Time{}
	}
	x.announce(state, now)
	if now.Sub(x.sweptAt) > planSweepEvery && !x.sweep(ctx, now) {
		return
	}
	for _, p := range x.active {
		x.advance(ctx, p, now)
	}
	x.rollouts.accept()
	x.tidy(ctx, now)
}

// announce tells entries where to send evidence.
func (x *executor) announce(state cllease.State, now time.Time) {
	if now.Sub(x.factAt) < holderFactEvery && x.announced == state.Fencing {
		return
	}
	x.factAt, x.announced = now, state.Fencing
	x.node.AddFact(holderFact(x.node.Member.Self, state.Fencing))
}

// sweep reads the open plans.
func (x *executor) sweep(ctx context.Context, now time.Time) bool {
	plans, err := x.plans.list(ctx, planPrefix)
	if err != nil {
		x.log.Warn("Plans cannot be read. They wait.", zap.Error(err))
		return false
	}
	x.sweptAt = now
	x.active = make(map[string]*clstate.Plan)
	x.ended = nil
	for _, p := range plans {
		switch {
		case finished(p):
			x.ended = append(x.ended, p.GetId())
		case p.GetState() != clstate.PlanState_PLAN_STATE_PROPOSED:
			x.active[p.GetId()] = p
		case now.Sub(p.GetChangedAt().AsTime()) > planRetention:
			x.plans.remove(ctx, planPrefix+p.GetId())
		}
	}
	return true
}

// tidy moves finished plans to their place and removes old ones there. What
// fails is left to a later sweep, because only the cost of sweeps depends on it.
func (x *executor) tidy(ctx context.Context, now time.Time) {
	for range min(len(x.ended), maxMoves) {
		id := x.ended[0]
		x.ended = x.ended[1:]
		if err := x.plans.moveFinished(ctx, id); err != nil {
			x.log.Warn("Finished plan cannot be moved. The next sweep tries again.", zap.String("plan", id), zap.Error(err))
			x.ended = nil
			return
		}
	}
	if now.Sub(x.removedAt) < removeEvery {
		return
	}
	if err := x.plans.removeOld(ctx, now.Add(-planRetention)); err != nil {
		x.log.Warn("Finished plans cannot be read. Old ones are removed later.", zap.Error(err))
		return
	}
	x.removedAt = now
}

func (x *executor) advance(ctx context.Context, p *clstate.Plan, now time.Time) {
	var err error
	switch v := p.GetIntent().GetIntent().(type) {
	case *clstate.Intent_SetDataCentre:
		err = x.advanceDataCentre(ctx, p, v.SetDataCentre, now)
	case *clstate.Intent_MoveVersion:
		err = x.advanceMove(ctx, p, v.MoveVersion, now)
	}
	var stale *TransitionError
	if errors.As(err, &stale) {
		// Somebody else has decided or concluded the plan.
		delete(x.active, p.GetId())
		return
	}
	if err != nil {
		x.log.Warn("Plan waits.", zap.String("plan", p.GetId()), zap.Error(err))
	}
}

// advanceDataCentre takes a data centre out or back in.
func (x *executor) advanceDataCentre(ctx context.Context, p *clstate.Plan, d *clstate.SetDataCentre, now time.Time) error {
	if d.GetAt() != nil && now.Before(d.GetAt().AsTime()) {
		return nil
	}
	if p.GetState() == clstate.PlanState_PLAN_STATE_CONFIRMED {
		if err := x.toState(ctx, p, clstate.PlanState_PLAN_STATE_RUNNING, ""); err != nil {
			return err
		}
	}
	if !p.GetSteps()[0].GetFinished() {
		missing := false
		_, err := x.editor.change(ctx, "plan "+p.GetId(), func(s *clstate.ConfigSnapshot) (bool, error) {
			dc := findDataCentre(s, d.GetDataCentre())
			missing = dc == nil
			if missing || dc.GetState() == d.GetState() {
				return false, nil
			}
			dc.State = d.GetState()
			return true, nil
		})
		if err != nil {
			return err
		}
		if missing {
			return x.toState(ctx, p, clstate.PlanState_PLAN_STATE_UNDONE, "the data centre has been removed")
		}
		if err := x.finish(ctx, p, 0); err != nil {
			return err
		}
	}
	if findDataCentre(x.node.Configs.Current(), d.GetDataCentre()).GetState() != d.GetState() {
		return x.toState(ctx, p, clstate.PlanState_PLAN_STATE_UNDONE, "another change has set the data centre otherwise")
	}
	return x.settleDataCentre(ctx, p, d)
}

// settleDataCentre waits until the change is in force and, for a departure,
// until nothing runs in the data centre.
func (x *executor) settleDataCentre(ctx context.Context, p *clstate.Plan, d *clstate.SetDataCentre) error {
	if !p.GetSteps()[1].GetFinished() {
		if !x.inForce(ctx, x.node.Configs.Current().GetRevision()) {
			return nil
		}
		if err := x.finish(ctx, p, 1); err != nil {
			return err
		}
	}
	if len(p.GetSteps()) > 2 && !p.GetSteps()[2].GetFinished() {
		idle, err := x.idle(ctx, d.GetDataCentre(), p.GetSteps()[1].GetFinishedAt().AsTime())
		if err != nil || !idle {
			return err
		}
		if err := x.finish(ctx, p, 2); err != nil {
			return err
		}
	}
	return x.toState(ctx, p, clstate.PlanState_PLAN_STATE_DONE, "")
}

// inForce reports whether every live process applies the revision.
func (x *executor) inForce(ctx context.Context, revision uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, revisionTimeout)
	defer cancel()
	live := lo.CountBy(x.node.Members(), func(m clmember.Member) bool { return m.Live() }) + 1
	revisions := x.node.Revisions(ctx)
	return len(revisions) >= live && lo.EveryBy(lo.Values(revisions), func(r uint64) bool { return r >= revision })
}

// idle reports whether the endpoints of a data centre run nothing, by reports
// that were produced after the given time.
func (x *executor) idle(ctx context.Context, dataCentre string, after time.Time) (bool, error) {
	list, err := x.instances.ListInstances(ctx)
	if err != nil {
		return false, err
	}
	list = lo.Filter(list, func(in clplatform.Instance, _ int) bool {
		return in.DataCentre == dataCentre && in.Endpoint.IsValid() && in.State != clplatform.InstanceGone
	})
	busy := make([]bool, len(list))
	var g errgroup.Group
	for i, in := range list {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, loadTimeout)
			defer cancel()
			l, err := x.observer.Load(ctx, in.Endpoint)
			// An endpoint that does not answer runs nothing that could still be waited for.
			busy[i] = err == nil && (l.Running+l.Waiting > 0 || !l.ProducedAt.After(after))
			return nil
		})
	}
	_ = g.Wait() // Failed reads count as not busy.
	return !lo.Contains(busy, true), nil
}

func (x *executor) finish(ctx context.Context, p *clstate.Plan, step int) error {
	next, err := x.plans.change(ctx, p.GetId(), clstate.PlanState_PLAN_STATE_RUNNING, func(p *clstate.Plan) (bool, error) {
		return finishStep(p, step, uuid.NewString(), time.Now()), nil
	})
	if err != nil {
		return err
	}
	x.active[p.GetId()] = next
	p.Steps, p.State = next.GetSteps(), next.GetState()
	x.log.Info("Plan step finished.", zap.String("plan", p.GetId()), zap.String("step", p.GetSteps()[step].GetDescription()))
	return nil
}

func (x *executor) toState(ctx context.Context, p *clstate.Plan, to clstate.PlanState, reason string) error {
	updateID := uuid.NewString()
	next, err := x.plans.change(ctx, p.GetId(), to, func(p *clstate.Plan) (bool, error) {
		if p.GetState() == to {
			return false, nil
		}
		if err := transition(p, to, updateID, time.Now()); err != nil {
			return false, err
		}
		if reason != "" {
			p.Reason = reason
		}
		return true, nil
	})
	if err != nil {
		return err
	}
	p.State, p.Reason = next.GetState(), next.GetReason()
	x.log.Info("Plan changed.", zap.String("plan", p.GetId()), zap.String("state", planStateName(to)), zap.String("reason", reason))
	if to == clstate.PlanState_PLAN_STATE_DONE || to == clstate.PlanState_PLAN_STATE_UNDONE {
		delete(x.active, p.GetId())
		x.rollouts.remove(p.GetId())
	}
	return nil
}
