// This file defines placement: which instances the holder of the control lease
// starts and stops.

package clcontrol

import (
	"context"
	"math"
	"time"

	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/cllease"
	"github.com/chestnutlead/chestnutlead/clmember"
	"github.com/chestnutlead/chestnutlead/clpeer"
	"github.com/chestnutlead/chestnutlead/clplacement"
	"github.com/chestnutlead/chestnutlead/clplatform"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clwait"
	"github.com/samber/lo"
	"go.uber.org/zap"
)

const (
	// stopDrain bounds the wait for the requests that run on an instance which
	// is to be stopped; it exceeds the usual request timeout.
	stopDrain = 2 * time.Minute
	// stopNotice lets every entry learn that the endpoint leaves before its
	// load report can count as idle.
	stopNotice          = 5 * time.Second
	placementMinBackoff = time.Second
	leavingLifetime     = 10 * time.Minute
)

type (
	// placement buys and releases instances.
	placement struct {
		node     *clpeer.Node
		lease    *cllease.Runner
		cloud    clplatform.Cloud
		list     clplatform.Instances
		observer clendpoint.Observer
		interval time.Duration
		backoff  time.Duration
		log      *zap.Logger

		planner  *clplacement.Planner
		fencing  uint64
		stopping map[string]stopping
	}

	// stopping is an instance that drains before it is stopped.
	stopping struct {
		since    time.Time
		instance clplatform.Instance
		reason   string
	}
)

// loop decides in regular intervals until ctx ends.
func (p *placement) loop(ctx context.Context) error {
	return clwait.Every(ctx, p.interval, func(now time.Time) { p.round(ctx, now) })
}

func (p *placement) round(ctx context.Context, now time.Time) {
	state := p.lease.Current(now)
	cfg := p.node.Configs.Current()
	targets := targetsOf(cfg)
	if !state.Held || len(targets) == 0 {
		p.planner = nil
		return
	}
	if p.planner == nil || p.fencing != state.Fencing {
		p.planner = clplacement.New(clplacement.Config{Rand: clpeer.NewRand(), MinBackoff: max(p.backoff, placementMinBackoff)})
		p.fencing, p.stopping = state.Fencing, make(map[string]stopping)
	}
	offers, err := p.cloud.Offers(ctx)
	if err != nil {
		p.log.Warn("Offers cannot be read. Placement waits.", zap.Error(err))
		return
	}
	list, err := p.list.ListInstances(ctx)
	if err != nil {
		p.log.Warn("List of instances cannot be read. Placement waits.", zap.Error(err))
		return
	}
	for i := range targets {
		targets[i].Classes = lo.Uniq(lo.Map(offers, func(o clplatform.Offer, _ int) string { return o.Class }))
	}
	plan := p.planner.Plan(now, offersOf(offers), p.instancesOf(list), targets)
	for _, s := range plan.Starts {
		p.start(ctx, s, now)
	}
	for _, s := range plan.Stops {
		p.drain(s, list, now)
	}
	p.stopIdle(ctx, now)
}

// targetsOf returns the capacity that the configuration asks for. During a move
// the new version gets the same capacity beside the old one.
func targetsOf(cfg *clstate.ConfigSnapshot) []clplacement.Target {
	var targets []clplacement.Target
	for _, svc := range cfg.GetServices() {
		needed := neededOf(svc.GetPlacement())
		if needed == 0 {
			continue
		}
		in := lo.Filter(svc.GetDataCentres(), func(name string, _ int) bool {
			return findDataCentre(cfg, name).GetState() != clstate.DataCentreState_DATA_CENTRE_STATE_OUT
		})
		versions := []string{svc.GetActiveVersion()}
		if m := findMove(cfg, svc.GetName()); m != nil {
			versions = []string{m.GetFromVersion(), m.GetToVersion()}
		}
		for _, v := range svc.GetVersions() {
			targets = append(targets, clplacement.Target{
				Service: svc.GetName(), Version: v.GetName(), DataCentres: in, OnDemandShare: svc.GetPlacement().GetOnDemandShare(),
				Needed: lo.Ternary(lo.Contains(versions, v.GetName()), needed, 0),
			})
		}
	}
	return targets
}

func neededOf(t *clstate.PlacementTarget) int {
	n := int(t.GetMinEndpoints())
	if per := t.GetRequestsPerSecondPerEndpoint(); per > 0 {
		n = max(n, int(math.Ceil(t.GetRequestsPerSecond()/per)))
	}
	return n
}

func offersOf(offers []clplatform.Offer) []clplacement.Offer {
	return lo.Map(offers, func(o clplatform.Offer, _ int) clplacement.Offer {
		return clplacement.Offer{
			OfferKey:     clplacement.OfferKey{DataCentre: o.DataCentre, Class: o.Class, Reclaimable: o.Reclaimable},
			PricePerHour: o.PricePerHour,
		}
	})
}

// instancesOf converts the list; an instance that drains counts as leaving.
func (p *placement) instancesOf(list []clplatform.Instance) []clplacement.Instance {
	return lo.FilterMap(list, func(in clplatform.Instance, _ int) (clplacement.Instance, bool) {
		_, drains := p.stopping[in.ID]
		return clplacement.Instance{
			OfferKey: clplacement.OfferKey{DataCentre: in.DataCentre, Class: in.Class, Reclaimable: in.Reclaimable},
			ID:       in.ID, Service: in.Service, Version: in.Version,
			Serving: in.State == clplatform.InstanceLive,
			Leaving: drains || in.State == clplatform.InstanceLeaving,
		}, in.State != clplatform.InstanceGone
	})
}

func (p *placement) start(ctx context.Context, s clplacement.Start, now time.Time) {
	in, err := p.cloud.StartInstance(ctx, clplatform.InstanceRequest{
		DataCentre: s.Offer.DataCentre, Class: s.Offer.Class, Reclaimable: s.Offer.Reclaimable,
		Service: s.Service, Version: s.Version,
	})
	fields := []zap.Field{
		zap.String("service", s.Service), zap.String("version", s.Version), zap.String("data_centre", s.Offer.DataCentre),
		zap.String("class", s.Offer.Class), zap.Bool("reclaimable", s.Offer.Reclaimable), zap.String("reason", s.Reason),
	}
	switch clplatform.KindOf(err) {
	case "":
		p.planner.StartAnswered(s.Number, in.ID)
		p.log.Info("Instance started.", append(fields, zap.String("instance", in.ID))...)
	case clplatform.KindRefused, clplatform.KindUnavailable, clplatform.KindInvalid:
		p.planner.StartRefused(now, s.Number)
		p.log.Info("Start of an instance refused.", append(fields, zap.Error(err))...)
	default:
		// The instance may have been started; the planner counts it until the list shows it.
		p.log.Warn("Answer to the start of an instance was lost.", append(fields, zap.Error(err))...)
	}
}

// drain announces that the endpoint leaves; stopIdle stops it later.
func (p *placement) drain(s clplacement.Stop, list []clplatform.Instance, now time.Time) {
	in, ok := lo.Find(list, func(in clplatform.Instance) bool { return in.ID == s.InstanceID })
	if _, known := p.stopping[s.InstanceID]; known || !ok {
		return
	}
	p.stopping[s.InstanceID] = stopping{since: now, instance: in, reason: s.Reason}
	at := now.Add(stopDrain)
	p.node.AddFact(clmember.Fact{
		ID: "leaving/" + in.ID, Kind: clmember.EndpointLeaving, Lifetime: stopDrain + leavingLifetime, Subject: in.ID,
		Detail: at.UTC().Format(time.RFC3339Nano), Urgent: true,
	})
	p.log.Info("Instance is no longer needed. It drains.", zap.String("instance", in.ID), zap.String("reason", s.Reason))
}

// stopIdle stops the instances that have drained.
func (p *placement) stopIdle(ctx context.Context, now time.Time) {
	for id, s := range p.stopping {
		if now.Sub(s.since) < stopNotice || now.Sub(s.since) < stopDrain && !p.idle(ctx, s) {
			continue
		}
		if err := p.cloud.StopInstance(ctx, id); err != nil && clplatform.KindOf(err) != clplatform.KindNotFound {
			p.log.Warn("Instance cannot be stopped. It is tried again.", zap.String("instance", id), zap.Error(err))
			continue
		}
		delete(p.stopping, id)
		p.log.Info("Instance stopped.", zap.String("instance", id), zap.String("reason", s.reason))
	}
}

// idle reports whether nothing runs at the instance, by a report that was
// produced after all entries had learnt that it leaves.
func (p *placement) idle(ctx context.Context, s stopping) bool {
	if !s.instance.Endpoint.IsValid() {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	l, err := p.observer.Load(ctx, s.instance.Endpoint)
	return err == nil && l.Running+l.Waiting == 0 && l.ProducedAt.After(s.since.Add(stopNotice))
}
