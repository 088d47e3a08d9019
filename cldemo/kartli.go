// This file defines the demo's steps on the fitters' co-operative's shape.

package cldemo

import (
	"context"
	"fmt"
	"time"

	"github.com/chestnutlead/chestnutlead/clharness"
	"github.com/chestnutlead/chestnutlead/clload"
	"github.com/chestnutlead/chestnutlead/clstandin"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/go-faster/errors"
	"github.com/samber/lo"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/types/known/timestamppb"
)

const (
	badVersion   = "v3"
	moveDeadline = 60 * time.Second
	planPoll     = 50 * time.Millisecond
	// outLimit is the promise for a data centre taken out: no new work after 5 s.
	outLimit     = 5 * time.Second
	suspendLimit = time.Second
	moveRate     = 150
	loadLimit    = 80 * time.Second
	settleTime   = 2 * time.Second
)

type kartli struct {
	f *clharness.Fleet
	t *Table
}

// run does the steps one after the other, under one load.
func (k *kartli) run(ctx context.Context) error {
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	var g errgroup.Group
	var r *clload.Report
	started := time.Now()
	g.Go(func() error {
		var err error
		r, err = offer(loadCtx, k.f, scenario(k.f.Profile, loadLimit, 5, moveRate, 5), "move")
		if loadCtx.Err() != nil {
			return nil // The load ends with the last step.
		}
		return err
	})
	for _, step := range []func(context.Context) error{k.move, k.bad, k.outAndBack} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	stop()
	if err := g.Wait(); err != nil {
		return err
	}
	c := flow(r, "completions")
	wrong := c.Outcomes[clload.OutcomeWrong]
	k.add("short answers throughout", started, "no caller gets another's or half an answer",
		fmt.Sprintf("%d whole, %d refused, %d cut at the end, %d wrong of %d", c.Outcomes[clload.OutcomeWhole],
			c.Outcomes[clload.OutcomeNotRun]+c.Outcomes[clload.OutcomeUnknown], c.Outcomes[clload.OutcomeCut], wrong, c.Scheduled),
		wrong == 0 && c.Outcomes[clload.OutcomeWhole] > 0)
	return nil
}

func (k *kartli) add(done string, started time.Time, promised, seen string, kept bool) {
	k.t.add(Row{k.f.Profile.Name, done, time.Since(started), promised, seen, kept})
}

func (k *kartli) operator() clwire.Operator { return k.f.Pairs[0].Operator() }

// carryOut states and confirms an intent.
func (k *kartli) carryOut(ctx context.Context, in *clstate.Intent) (string, error) {
	resp, err := k.operator().StateIntent(ctx, &clwire.StateIntentRequest{Intent: in, Operator: "demo"})
	if err != nil {
		return "", errors.Wrap(err, "state intent")
	}
	id := resp.GetPlan().GetId()
	_, err = k.operator().DecidePlan(ctx, &clwire.DecidePlanRequest{Id: id, Confirm: true, Operator: "demo"})
	if err != nil {
		return "", errors.Wrap(err, "confirm plan")
	}
	return id, nil
}

// follow waits until the plan is done or undone.
func (k *kartli) follow(ctx context.Context, id string, limit time.Duration) (*clstate.Plan, error) {
	deadline := time.Now().Add(limit)
	for time.Now().Before(deadline) {
		resp, err := k.operator().GetPlan(ctx, &clwire.GetPlanRequest{Id: id})
		if err == nil {
			switch resp.GetPlan().GetState() {
			case clstate.PlanState_PLAN_STATE_DONE, clstate.PlanState_PLAN_STATE_UNDONE:
				return resp.GetPlan(), nil
			}
		}
		time.Sleep(planPoll)
	}
	return nil, errors.Errorf("plan %s is neither done nor undone after %s", id, limit)
}

func moveIntent(service, version string) *clstate.Intent {
	return &clstate.Intent{Intent: &clstate.Intent_MoveVersion{MoveVersion: &clstate.MoveVersion{
		Service: service, ToVersion: version, Deadline: timestamppb.New(time.Now().Add(moveDeadline)),
	}}}
}

// move starts a good version beside the old one and moves the traffic over.
func (k *kartli) move(ctx context.Context) error {
	for i := range k.f.Profile.Engines {
		if _, err := k.f.AddEngine(k.f.Profile.DataCentres[i%len(k.f.Profile.DataCentres)], clharness.NewVersion); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	started := time.Now()
	id, err := k.carryOut(ctx, moveIntent(k.f.Profile.EngineService, clharness.NewVersion))
	if err != nil {
		return err
	}
	p, err := k.follow(ctx, id, moveDeadline+5*time.Second)
	if err != nil {
		return err
	}
	took := time.Since(started)
	k.add("a good version moved in", started, fmt.Sprintf("done within %.0f s", moveDeadline.Seconds()),
		fmt.Sprintf("%s after %.1f s%s", planState(p), took.Seconds(), reason(p)),
		p.GetState() == clstate.PlanState_PLAN_STATE_DONE && took <= moveDeadline)
	return nil
}

// bad starts a version that fails half of its requests and moves to it.
func (k *kartli) bad(ctx context.Context) error {
	cfg := k.f.Profile.Config()
	engine := cfg.GetServices()[0]
	engine.ActiveVersion = clharness.NewVersion
	engine.Versions = append(engine.Versions, &clstate.Version{Name: badVersion})
	if _, err := k.operator().Apply(ctx, &clwire.ApplyRequest{Services: cfg.GetServices()[:1]}); err != nil {
		return errors.Wrap(err, "add version")
	}
	var engines []*clharness.StandIn
	for _, dc := range k.f.Profile.DataCentres {
		e, err := k.f.AddEngine(dc, badVersion)
		if err != nil {
			return err
		}
		if err := e.SetFaults(clstandin.Faults{Routes: []clstandin.RouteFault{{Prefix: "/v1/", Rate: 0.5, FailStatus: 500}}}); err != nil {
			return err
		}
		engines = append(engines, e)
	}
	time.Sleep(settleTime)
	started := time.Now()
	id, err := k.carryOut(ctx, moveIntent(k.f.Profile.EngineService, badVersion))
	if err != nil {
		return err
	}
	p, err := k.follow(ctx, id, moveDeadline+5*time.Second)
	if err != nil {
		return err
	}
	time.Sleep(suspendLimit)
	before := requests(engines)
	time.Sleep(settleTime)
	after := requests(engines)
	k.add("a bad version moved in", started, "taken back; nothing new 1 s after the fault shows",
		fmt.Sprintf("%s, %d requests reached it, %d after the limit%s", planState(p), before, after-before, reason(p)),
		p.GetState() == clstate.PlanState_PLAN_STATE_UNDONE && after == before)
	return nil
}

func requests(engines []*clharness.StandIn) uint64 {
	return lo.SumBy(engines, func(e *clharness.StandIn) uint64 {
		st, err := e.EngineStats()
		if err != nil {
			return 0
		}
		return st.Boot.Requests + lo.SumBy(st.Past, func(b clstandin.BootStats) uint64 { return b.Requests })
	})
}

// outAndBack takes a data centre out and brings it back.
func (k *kartli) outAndBack(ctx context.Context) error {
	dc := k.f.Profile.DataCentres[1]
	engines := lo.Filter(k.f.Endpoints, func(e *clharness.StandIn, _ int) bool {
		return e.DataCentre == dc && e.Service == k.f.Profile.EngineService && e.Version == clharness.NewVersion
	})
	started := time.Now()
	id, err := k.carryOut(ctx, dataCentreIntent(dc, clstate.DataCentreState_DATA_CENTRE_STATE_OUT))
	if err != nil {
		return err
	}
	last, n := started, requests(engines)
	for time.Since(started) < outLimit+settleTime {
		time.Sleep(planPoll)
		if m := requests(engines); m != n {
			last, n = time.Now(), m
		}
	}
	p, err := k.follow(ctx, id, moveDeadline)
	if err != nil {
		return err
	}
	k.add(dc+" taken out", started, fmt.Sprintf("no new work after %.0f s; told when done", outLimit.Seconds()),
		fmt.Sprintf("last new request %.2f s after the confirmation; %s%s", last.Sub(started).Seconds(), planState(p), reason(p)),
		last.Sub(started) <= outLimit && p.GetState() == clstate.PlanState_PLAN_STATE_DONE)
	return k.back(ctx, dc, engines, n)
}

func (k *kartli) back(ctx context.Context, dc string, engines []*clharness.StandIn, before uint64) error {
	started := time.Now()
	id, err := k.carryOut(ctx, dataCentreIntent(dc, clstate.DataCentreState_DATA_CENTRE_STATE_IN))
	if err != nil {
		return err
	}
	p, err := k.follow(ctx, id, moveDeadline)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(outLimit)
	for requests(engines) == before && time.Now().Before(deadline) {
		time.Sleep(planPoll)
	}
	n := requests(engines) - before
	k.add(dc+" brought back", started, "serves again within seconds", fmt.Sprintf("%s; serves again after %.2f s", planState(p), time.Since(started).Seconds()),
		n > 0 && p.GetState() == clstate.PlanState_PLAN_STATE_DONE)
	return nil
}

func dataCentreIntent(dc string, state clstate.DataCentreState) *clstate.Intent {
	return &clstate.Intent{Intent: &clstate.Intent_SetDataCentre{SetDataCentre: &clstate.SetDataCentre{DataCentre: dc, State: state}}}
}

func planState(p *clstate.Plan) string {
	if p.GetState() == clstate.PlanState_PLAN_STATE_DONE {
		return "done"
	}
	return "undone"
}

func reason(p *clstate.Plan) string {
	if p.GetReason() == "" {
		return ""
	}
	return " (" + p.GetReason() + ")"
}
