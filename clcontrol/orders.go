// This file defines the orders that the holder of the control lease gives to engines.

package clcontrol

import (
	"context"
	"time"

	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/cllease"
	"github.com/chestnutlead/chestnutlead/clorder"
	"github.com/chestnutlead/chestnutlead/clpeer"
	"github.com/chestnutlead/chestnutlead/clplatform"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clwait"
	"github.com/samber/lo"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const (
	orderEvery       = 2 * time.Second
	orderSendTimeout = 500 * time.Millisecond
	orderMargin      = 500 * time.Millisecond
	orderParallel    = 32
	actionLoad       = "load"
)

type (
	// orders makes engines load the version that the platform started them for.
	orders struct {
		node     *clpeer.Node
		lease    *cllease.Runner
		list     clplatform.Instances
		observer clendpoint.Observer
		orderer  clendpoint.Orderer
		log      *zap.Logger

		ledger clorder.Ledger
		known  map[string]engineState
	}

	// engineState is what an engine's last report said.
	engineState struct {
		instance clplatform.Instance
		bootID   string
		version  string
	}
)

// loop looks at the engines in regular intervals until ctx ends.
func (o *orders) loop(ctx context.Context) error {
	o.known = make(map[string]engineState)
	return clwait.Every(ctx, orderEvery, func(now time.Time) {
		if state := o.lease.Current(now); state.Held {
			o.ledger.Begin(state.Fencing)
			o.observe(ctx)
			o.send(ctx)
		}
	})
}

// observe reads the engines' reports and notes which of them run another
// version than the one they were started for.
func (o *orders) observe(ctx context.Context) {
	list, err := o.list.ListInstances(ctx)
	if err != nil {
		return // The next round reads it again.
	}
	cfg := o.node.Configs.Current()
	engines := lo.Filter(list, func(in clplatform.Instance, _ int) bool {
		svc := findService(cfg, in.Service)
		return svc.GetKind() == clstate.ServiceKind_SERVICE_KIND_ENGINE && in.Endpoint.IsValid() && in.State == clplatform.InstanceLive
	})
	loads := make([]clendpoint.Load, len(engines))
	var g errgroup.Group
	g.SetLimit(orderParallel)
	for i, in := range engines {
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, loadTimeout)
			defer cancel()
			l, err := o.observer.Load(ctx, in.Endpoint)
			if err == nil {
				loads[i] = l
			}
			return nil
		})
	}
	_ = g.Wait() // Engines that do not answer keep their former state.
	seen := make(map[string]bool, len(engines))
	for i, in := range engines {
		seen[in.ID] = true
		if loads[i].BootID != "" {
			o.note(in, loads[i])
		}
	}
	for id := range o.known {
		if !seen[id] {
			o.ledger.Forget(id)
			delete(o.known, id)
		}
	}
}

func (o *orders) note(in clplatform.Instance, l clendpoint.Load) {
	former, ok := o.known[in.ID]
	if ok && (former.bootID != l.BootID || former.version != l.Version) {
		// A version that changes to another one than ordered comes from a former
		// holder's order that arrived late at an engine that ignores its number.
		o.ledger.Forget(in.ID)
	}
	o.known[in.ID] = engineState{instance: in, bootID: l.BootID, version: l.Version}
	if l.Version == in.Version {
		o.ledger.Forget(in.ID)
		return
	}
	o.ledger.Want(in.ID, clorder.Order{Action: actionLoad, Version: in.Version})
}

// send gives the owed orders, each after a check of the lease directly before.
func (o *orders) send(ctx context.Context) {
	cfg := o.node.Configs.Current()
	policy := clorder.Policy{SendTimeout: orderSendTimeout, Margin: orderMargin}
	for _, owed := range o.ledger.Owed() {
		e := o.known[owed.Endpoint]
		now := time.Now()
		permit, err := policy.Check(o.lease.Current(now), now, findService(cfg, e.instance.Service).GetChecksFencing())
		if err != nil {
			o.log.Info("Order is not given.", zap.String("endpoint", owed.Endpoint), zap.Error(err))
			return
		}
		o.give(ctx, owed, e, permit)
	}
}

func (o *orders) give(ctx context.Context, owed clorder.Owed, e engineState, permit clorder.Permit) {
	ctx, cancel := context.WithDeadline(ctx, permit.Before)
	defer cancel()
	sent := o.ledger.Sending(owed.Endpoint, owed.Order)
	err := o.orderer.Order(ctx, e.instance.Endpoint, clendpoint.Order{
		Fencing: permit.Fencing, Action: owed.Order.Action, Version: owed.Order.Version, Role: owed.Order.Role,
	})
	fields := []zap.Field{
		zap.String("endpoint", owed.Endpoint), zap.String("action", owed.Order.Action), zap.String("version", owed.Order.Version),
		zap.Uint64("fencing", permit.Fencing),
	}
	if err != nil {
		o.log.Warn("Order failed. It is owed.", append(fields, zap.Error(err))...)
		return
	}
	o.ledger.Confirmed(owed.Endpoint, sent)
	o.log.Info("Order given.", fields...)
}
