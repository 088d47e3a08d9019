// This file defines Control, the control process.

package clcontrol

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/cllease"
	"github.com/chestnutlead/chestnutlead/clmember"
	"github.com/chestnutlead/chestnutlead/clobserve"
	"github.com/chestnutlead/chestnutlead/clpeer"
	"github.com/chestnutlead/chestnutlead/clplatform"
	"github.com/chestnutlead/chestnutlead/clrevision"
	"github.com/chestnutlead/chestnutlead/clsettings"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const (
	// Role is the role of control processes among the members.
	Role = "control"

	conditionServing = "serving"
	leaseKey         = "lease/control"
)

type (
	// Control is one control process. Exported fields are set before Run.
	Control struct {
		Settings  *clsettings.ControlSettings
		Objects   clplatform.Objects
		Instances clplatform.Instances
		Cloud     clplatform.Cloud
		Observer  clendpoint.Observer
		Orderer   clendpoint.Orderer
		Logger    *zap.Logger
		Metrics   *clobserve.Metrics
		Readiness *clobserve.Readiness

		operator net.Listener
		peer     net.Listener
		log      *zap.Logger
		node     *clpeer.Node
		config   *clpeer.ConfigSource
		lease    *cllease.Runner
		executor *executor
		placing  *placement
		orders   *orders
		server   *http.Server
	}

	// snapshots holds the applied configuration.
	snapshots struct {
		clrevision.Holder[*clstate.ConfigSnapshot]
	}
)

var _ clpeer.Configs = (*snapshots)(nil)

// Conditions are the readiness conditions that a Control meets.
var Conditions = []string{conditionServing}

// Current implements clpeer.Configs.
func (s *snapshots) Current() *clstate.ConfigSnapshot {
	c, _ := s.Holder.Current()
	return c
}

// Listen opens the listeners and returns the operators' and the peers' address.
func (c *Control) Listen() (operator, peer netip.AddrPort, err error) {
	if c.operator, err = net.Listen("tcp", c.Settings.GetListen().OperatorAddr().String()); err != nil {
		return operator, peer, errors.Wrap(err, "listen for operators")
	}
	if c.peer, err = net.Listen("tcp", c.Settings.GetListen().PeerAddr().String()); err != nil {
		return operator, peer, errors.Wrap(err, "listen for peers")
	}
	return clpeer.AddrOf(c.operator), clpeer.AddrOf(c.peer), nil
}

// Run serves until ctx ends; then it releases the control lease and returns.
func (c *Control) Run(ctx context.Context) error {
	if c.operator == nil {
		if _, _, err := c.Listen(); err != nil {
			return err
		}
	}
	c.build()
	g, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context) error{c.node.Run, c.config.Run, c.lease.Run, c.executor.loop, c.placing.loop, c.orders.loop} {
		g.Go(func() error { return loop(ctx) })
	}
	g.Go(c.loopServe)
	g.Go(func() error {
		<-ctx.Done()
		return c.drain()
	})
	c.Readiness.Meet(conditionServing)
	c.log.Info("Control process is ready.")
	return g.Wait()
}

func (c *Control) loopServe() error {
	if err := c.server.Serve(c.operator); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve operators")
	}
	return nil
}

func (c *Control) drain() error {
	sh := c.Settings.GetShutdown()
	c.Readiness.Fail(conditionServing, "the process is shutting down")
	time.Sleep(sh.GetBalancerDelay().AsDuration())
	ctx, cancel := context.WithTimeout(context.Background(), sh.GetDrainTimeout().AsDuration())
	defer cancel()
	if err := c.server.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "shut down")
	}
	return nil
}

func (c *Control) build() {
	s := c.Settings
	c.log = clobserve.Component(c.Logger, "control")
	transport := &clpeer.Transport{Token: s.GetPeer().GetToken(), Timeout: s.GetPeer().GetCallTimeout().AsDuration()}
	c.buildNode(transport)
	c.lease = &cllease.Runner{
		Config: cllease.Config{
			Key: leaseKey, Holder: c.node.Member.Self.ID,
			TTL: s.GetLease().GetTtl().AsDuration(), Margin: s.GetLease().GetMargin().AsDuration(),
		},
		Store: &clplatform.Store{Objects: c.Objects},
	}
	configs := &store[*clstate.ConfigSnapshot]{
		objects: c.Objects, newT: func() *clstate.ConfigSnapshot { return new(clstate.ConfigSnapshot) },
		mark: (*clstate.ConfigSnapshot).GetProposalId,
	}
	plans := newPlanStore(c.Objects)
	leases := &store[*clstate.Lease]{
		objects: c.Objects, newT: func() *clstate.Lease { return new(clstate.Lease) }, mark: (*clstate.Lease).GetHolder,
	}
	ed := &editor{proposer: &clrevision.Proposer{Store: c.lease.Store}, node: c.node, log: clobserve.Component(c.Logger, "config")}
	c.executor = &executor{
		plans: plans, editor: ed, node: c.node, lease: c.lease, instances: c.Instances, observer: c.Observer,
		interval: s.GetPlans().GetInterval().AsDuration(), log: clobserve.Component(c.Logger, "plan"), kick: make(chan struct{}, 1),
	}
	pc := pace{dwell: s.GetPlans().GetRolloutDwell().AsDuration(), margin: s.GetPlans().GetRolloutMargin().AsDuration()}
	c.executor.rollouts = newRollouts(pc, c.executor.wake)
	c.placing = &placement{
		node: c.node, lease: c.lease, cloud: c.Cloud, list: c.Instances, observer: c.Observer,
		interval: s.GetPlans().GetPlacementInterval().AsDuration(), backoff: s.GetPlans().GetRefusedBackoff().AsDuration(),
		log: clobserve.Component(c.Logger, "placement"),
	}
	c.orders = &orders{
		node: c.node, lease: c.lease, list: c.Instances, observer: c.Observer, orderer: c.Orderer,
		log: clobserve.Component(c.Logger, "order"),
	}
	c.node.Evidence = c.executor.rollouts
	c.node.OnFacts = c.learn
	c.node.Init()
	op := &operatorServer{
		plans: plans, leases: leases, configs: configs, editor: ed, node: c.node, instances: c.Instances, pace: pc,
	}
	c.server = clpeer.NewServer(guardOperators(s.GetOperator().GetTokens(), clwire.NewOperatorServer(op)))
}

func (c *Control) buildNode(t *clpeer.Transport) {
	s := c.Settings
	c.node = &clpeer.Node{
		Member:    clpeer.MemberConfig(s.GetProcess(), s.GetPeer(), Role, clpeer.AddrOf(c.peer)),
		Transport: t, Listener: c.peer, Configs: &snapshots{}, Log: clobserve.Component(c.Logger, "peer"),
	}
	cfg := s.GetConfig()
	c.config = &clpeer.ConfigSource{
		Node: c.node, Objects: c.Objects, Watchers: int(cfg.GetWatchersPerDataCentre()), Wait: cfg.GetWatchWait().AsDuration(),
		PeerSilence: cfg.GetPeerSilence().AsDuration(), Log: clobserve.Component(c.Logger, "config"),
	}
}

// learn takes facts of peers and of this process.
func (c *Control) learn(facts []clmember.Fact) {
	for _, f := range facts {
		switch f.Kind {
		case clmember.VersionSuspended:
			c.executor.rollouts.learnSuspended(f)
		case clpeer.PlanDecided:
			c.executor.wake()
		}
	}
}

func holderFact(self clmember.Member, fencing uint64) clmember.Fact {
	return clmember.Fact{
		ID: fmt.Sprintf("control/%d", fencing), Kind: clpeer.ControlHolder, Lifetime: holderFactLifetime,
		Subject: "control", Detail: fmt.Sprintf("%s %d", self.Address, fencing), Urgent: true,
	}
}
