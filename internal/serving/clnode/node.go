// This file defines the process and how its parts are put together.

package clnode

import (
	"context"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/clobserve"
	"github.com/chestnutlead/chestnutlead/clstore"
	"github.com/chestnutlead/chestnutlead/clwait"
	"github.com/chestnutlead/chestnutlead/internal/coordination/clduty"
	"github.com/chestnutlead/chestnutlead/internal/coordination/clgossip"
	"github.com/chestnutlead/chestnutlead/internal/coordination/clmirror"
	"github.com/chestnutlead/chestnutlead/internal/coordination/clmove"
	"github.com/chestnutlead/chestnutlead/internal/limits/clquota"
	"github.com/chestnutlead/chestnutlead/internal/limits/clretry"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/chestnutlead/chestnutlead/internal/routing/clfleet"
	"github.com/chestnutlead/chestnutlead/internal/serving/clgateway"
	"github.com/samber/lo"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

type (
	// Store is what a gateway needs of the platform's store.
	Store interface {
		clstore.Store
		Configuration() clmirror.Source[*clcatalog.Catalog]
		Endpoints() clmirror.Source[clcatalog.Endpoint]
		Rollouts() clmirror.Source[clcatalog.Rollout]
		Evacuations() clmirror.Source[clcatalog.Evacuation]
		Gateways() clmirror.Source[clcatalog.Member]
		// Register records a gateway under its name.
		Register(ctx context.Context, m clcatalog.Member) error
		// Unregister removes a gateway that is gone for good.
		Unregister(ctx context.Context, name string) error
		// ReportRollout writes what has become of a rollout.
		ReportRollout(ctx context.Context, r clcatalog.Rollout, outcome clcatalog.RolloutOutcome) error
	}

	// Node is a gateway process. Exported fields are set before Run.
	Node struct {
		Settings    Settings
		Store       Store
		Cloud       clduty.Cloud
		HeaderCodec clgateway.HeaderCodec
		// LoadSettings reads the settings anew.
		LoadSettings func() (Settings, error)
		// ReloadSignal is signalled when the settings may have changed.
		ReloadSignal <-chan os.Signal
		Logger       *zap.Logger
		Metrics      *clobserve.Metrics

		fleet    *clfleet.Fleet
		quotas   *clquota.Limiter
		retries  *clretry.Budget
		crashes  *clretry.CrashTracker
		moves    *clmove.Controller
		usage    *clduty.UsageCounter
		duties   *clduty.Coordinator
		exchange *clgossip.Exchange
		gateway  *clgateway.Gateway
		clock    *clclock.MedianClock
		ready    *clobserve.Readiness

		hub         *clmirror.Replicator
		config      *clmirror.Mirror[*clcatalog.Catalog]
		endpoints   *clmirror.Mirror[clcatalog.Endpoint]
		rollouts    *clmirror.Mirror[clcatalog.Rollout]
		evacuations *clmirror.Mirror[clcatalog.Evacuation]
		members     *clmirror.Mirror[clcatalog.Member]

		mu      sync.Mutex
		known   map[string]clcatalog.Member
		seen    map[string]time.Time
		intents map[string]clcatalog.Rollout
		out     map[string]bool
		load    loadMeter
		reach   reachMeter
	}
)

const (
	// confirmEvery is the time between two reads of the configuration, by which
	// keys are confirmed; the other kinds are read anew when it fails, and
	// their watches may wait longer.
	confirmEvery = 400 * time.Millisecond
	watchWait    = 15 * time.Second
	// trustShare is the part of the revocation time in which a confirmed key
	// is trusted; the rest covers the call that confirms and the way of a request.
	trustShare = 0.82
	// drainAfter is when a stopping gateway has been taken out of the
	// ingress, which asks once a second and takes two misses.
	drainAfter = 3200 * time.Millisecond
	// steps is how often moves and shares are decided anew.
	steps = 100 * time.Millisecond
	// probeTimeout tells an endpoint that is gone from one that answers.
	probeTimeout = 300 * time.Millisecond
	// idleConns is how long connections to endpoints are kept, below usual idle limits.
	idleConns = 3 * time.Second
)

// Conditions of a gateway's readiness.
const (
	conditionConfig    = "configuration"
	conditionEndpoints = "endpoints"
	conditionServing   = "serving"
)

// Run serves until ctx ends and then drains.
func (n *Node) Run(ctx context.Context) error {
	n.Settings = n.Settings.withDefaults()
	n.build()
	n.Logger.Info("started", zap.String("gateway", n.Settings.Name), zap.Uint64("boot", n.exchange.Self.Boot),
		zap.String("data_centre", n.Settings.DataCentre), zap.Stringer("callers", n.Settings.CallerAddress))
	// The parts go on while the gateway drains; the duties do not.
	parts, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var g errgroup.Group
	g.Go(func() error { return n.hub.Run(parts) })
	g.Go(func() error { return n.exchange.Run(parts) })
	g.Go(func() error { return n.runSteps(parts) })
	g.Go(func() error { n.runRegister(parts); return nil })
	g.Go(func() error { n.runReload(parts); return nil })
	g.Go(func() error { return n.runReadiness(parts) })
	if n.Settings.MetricsAddress.IsValid() {
		health := &clobserve.Server{Addr: n.Settings.MetricsAddress, Metrics: n.Metrics, Readiness: n.ready, Logger: n.Logger}
		g.Go(func() error { return health.Run(parts) })
	}
	if n.Settings.CloudAddress.IsValid() {
		g.Go(func() error { return n.duties.Run(ctx) })
	}
	g.Go(func() error {
		<-ctx.Done()
		n.ready.Fail(conditionServing, "draining")
		n.exchange.Leave()
		return nil
	})
	g.Go(func() error {
		defer stop()
		return n.gateway.Run(ctx)
	})
	err := g.Wait()
	n.Logger.Info("stopped", zap.Error(err))
	return err
}

// build makes the parts from the settings.
func (n *Node) build() {
	s := n.Settings
	boot := uint64(time.Now().UnixNano())
	process := s.Name + "/" + strconv.FormatUint(boot, 36)
	component := func(name string) *zap.Logger { return clobserve.Component(n.Logger, name) }
	n.clock = &clclock.MedianClock{}
	n.ready = clobserve.NewReadiness(conditionConfig, conditionEndpoints)
	n.fleet = &clfleet.Fleet{DataCentre: s.DataCentre, Rand: rand.New(rand.NewPCG(boot, rand.Uint64()))}
	n.quotas = &clquota.Limiter{BootTime: boot}
	n.crashes = &clretry.CrashTracker{}
	n.retries = &clretry.Budget{Ratio: s.RetryRatio, Floor: s.RetryFloor, Window: s.RetryWindow}
	n.moves = &clmove.Controller{TrialShare: s.TrialShare, TrialFloor: s.TrialFloor}
	n.usage = &clduty.UsageCounter{WindowLength: s.UsageWindow}
	n.known, n.seen = map[string]clcatalog.Member{}, map[string]time.Time{}
	n.intents, n.out = map[string]clcatalog.Rollout{}, map[string]bool{}
	n.exchange = &clgossip.Exchange{
		Self:     clcatalog.Member{Name: s.Name, Boot: boot, Address: s.PeerAddress, DataCentre: s.DataCentre},
		Gateways: n.peers, FillDigest: n.fill, OnDigest: n.take, Clock: n.clock, Logger: component("exchange"),
	}
	n.duties = &clduty.Coordinator{
		Name: s.Name, ProcessID: process, LeaseTTL: s.LeaseTTL, Store: n.Store, Cloud: n.Cloud, Usage: n.usage, ReportDeadline: s.UsageDue,
		DigestInterval: func() time.Duration { return clgossip.DigestInterval(len(n.peers())) },
		Now:            n.clock.Now, ServiceStates: n.situations, IsCandidate: n.candidate, ReportsUsage: s.ReportsUsage, ScalesEndpoints: s.OrdersEndpoints,
		Logger: component("duty"),
	}
	n.gateway = &clgateway.Gateway{
		Address: s.CallerAddress, Headers: n.HeaderCodec, Fleet: n.fleet, Quotas: n.quotas, RetryBudget: n.retries, Crashes: n.crashes,
		Client: &clendpoint.HTTP{IdleTimeout: idleConns}, Probe: probe, Recorder: n, ConfigFresh: n.fresh,
		ShutdownDelay: min(drainAfter, s.Grace/2), GracePeriod: s.Grace, Logger: component("gateway"), Metrics: n.Metrics,
	}
	n.buildMirrors(component("mirror"))
}

// probe reports whether an endpoint accepts connections.
func probe(addr netip.AddrPort) bool {
	c, err := net.DialTimeout("tcp", addr.String(), probeTimeout)
	if err != nil {
		return false
	}
	// Nothing was sent, so that closing cannot lose anything.
	_ = c.Close()
	return true
}

// fresh says whether keys can be trusted, and otherwise when to come back.
func (n *Node) fresh() (bool, time.Duration) {
	if !n.Settings.StrictRevocation {
		return true, 0
	}
	limit := time.Duration(float64(n.Settings.Revocation) * trustShare)
	if clclock.Now().Sub(n.config.LastConfirmed()) < limit {
		return true, 0
	}
	return false, confirmEvery
}

// candidate reports whether this gateway competes for the duties: the first
// two names that are alive do, so that the others need not look.
func (n *Node) candidate() bool {
	before := 0
	for _, name := range n.exchange.AlivePeers() {
		if name < n.Settings.Name {
			before++
		}
	}
	return before < dutyCandidates
}

// dutyCandidates is the number of gateways that watch the duties' lease.
const dutyCandidates = 2

// peers returns the registered gateways.
func (n *Node) peers() []clcatalog.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]clcatalog.Member, 0, len(n.known))
	for _, m := range n.known {
		out = append(out, m)
	}
	return out
}

// contact returns what this gateway sees of the store and of the others.
func (n *Node) contact(gateways int, now time.Time) contact {
	return contact{
		gateways: gateways, alive: len(n.exchange.AlivePeers()),
		storeAge: now.Sub(n.config.LastConfirmed()), digestAge: now.Sub(n.exchange.LastDigestTime()),
	}
}

// runSteps decides again and again what depends on time.
func (n *Node) runSteps(ctx context.Context) error {
	return clwait.Every(ctx, steps, func(time.Time) { n.step(ctx) })
}

func (n *Node) step(ctx context.Context) {
	if ok, _ := n.fresh(); ok && n.gateway.Catalog() != nil {
		n.ready.Meet(conditionConfig)
	} else {
		n.ready.Fail(conditionConfig, "not confirmed by the store")
	}
	n.shareAmong(n.peers(), clclock.Now())
	_, leads := n.duties.CurrentLease()
	for _, s := range n.moves.Decide(clclock.Now()) {
		n.fleet.SetSplit(s.Intent.Service, s.Split)
		if leads {
			n.reportMove(ctx, s)
		}
	}
	if leads {
		n.forgetMembers(ctx)
	}
}

// shareAmong divides among the registered gateways what all have together.
func (n *Node) shareAmong(members []clcatalog.Member, now time.Time) {
	gateways, interval := max(1, len(members)), clgossip.DigestInterval(len(members))
	n.fleet.SetGateways(n.Settings.Name, lo.FilterMap(members, func(m clcatalog.Member, _ int) (string, bool) {
		return m.Name, m.Name != n.Settings.Name
	}))
	n.fleet.SetDigestInterval(interval)
	n.retries.SetGateways(gateways)
	n.quotas.SetGateways(gateways, now)
	n.quotas.SetDigestInterval(interval)
	n.quotas.SetReachableShare(n.reach.part(n.contact(gateways, now), now))
}

// reportMove writes a move's outcome, once it differs from what operators read.
func (n *Node) reportMove(ctx context.Context, s clmove.Decision) {
	current := s.Intent.Outcome
	if s.Intent.OutcomeVersion != s.Intent.Version {
		current = ""
	}
	if current == s.Outcome || s.Outcome == "" {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := n.Store.ReportRollout(ctx, s.Intent, s.Outcome)
	n.Logger.Info("rollout reported", zap.String("service", s.Intent.Service), zap.String("version", s.Intent.Version),
		zap.String("outcome", string(s.Outcome)), zap.String("why", s.Reason), zap.Error(err))
	if err == nil {
		n.mu.Lock()
		in := n.intents[s.Intent.Service]
		if in.Version == s.Intent.Version {
			in.Outcome, in.OutcomeVersion = s.Outcome, s.Intent.Version
			n.intents[s.Intent.Service] = in
		}
		intents := n.intentList()
		n.mu.Unlock()
		n.moves.SetIntents(intents, clclock.Now())
	}
}

// intentList returns the intents; the caller holds mu.
func (n *Node) intentList() []clcatalog.Rollout {
	out := make([]clcatalog.Rollout, 0, len(n.intents))
	for _, in := range n.intents {
		out = append(out, in)
	}
	return out
}

const (
	// storeTimeout bounds a write to the store.
	storeTimeout = 900 * time.Millisecond
	// forgetAfter is how long a registered gateway is silent before its entry
	// is removed: longer than any restart.
	forgetAfter = 40 * time.Second
)

// forgetMembers removes the entries of gateways that are gone for good.
func (n *Node) forgetMembers(ctx context.Context) {
	now := clclock.Now()
	for _, m := range n.peers() {
		n.mu.Lock()
		if n.seen[m.Name].IsZero() {
			n.seen[m.Name] = now
		}
		last := n.seen[m.Name]
		n.mu.Unlock()
		if heard := n.exchange.LastDigestTimeFrom(m.Name); heard.After(last) {
			last = heard
		}
		if m.Name == n.Settings.Name || now.Sub(last) < forgetAfter {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := n.Store.Unregister(ctx, m.Name)
		cancel()
		n.mu.Lock()
		n.seen[m.Name] = now
		n.mu.Unlock()
		n.Logger.Info("gateway forgotten", zap.String("gateway", m.Name), zap.Duration("silent", now.Sub(last)), zap.Error(err))
	}
}

// runRegister records this process in the store.
func (n *Node) runRegister(ctx context.Context) {
	for backoff := registerBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxRegisterBackoff) {
		call, cancel := context.WithTimeout(ctx, storeTimeout)
		err := n.Store.Register(call, n.exchange.Self)
		cancel()
		if err == nil {
			n.Logger.Info("registered", zap.Stringer("peer_address", n.Settings.PeerAddress))
			return
		}
		n.Logger.Warn("registration failed", zap.Error(err))
		if clwait.Pause(ctx, backoff/2+rand.N(backoff)) != nil {
			return
		}
	}
}

const (
	registerBackoff    = 100 * time.Millisecond
	maxRegisterBackoff = time.Second
	// reloadEvery is how often the settings file is looked at without a signal.
	reloadEvery = 2 * time.Second
)

// runReload applies settings that have changed, with or without a signal.
func (n *Node) runReload(ctx context.Context) {
	t := time.NewTicker(reloadEvery)
	defer t.Stop()
	last := n.Settings
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.ReloadSignal:
		case <-t.C:
		}
		s, err := n.LoadSettings()
		if err != nil {
			n.Logger.Warn("settings cannot be read; the former ones stay in force", zap.Error(err))
			continue
		}
		if s = s.withDefaults(); s != last {
			last = s
			n.Logger.Info("settings changed; what concerns this start applies from the next one", zap.Any("settings", s))
			n.retries.SetLimits(s.RetryRatio, s.RetryFloor)
		}
	}
}

// runReadiness answers the ingress.
func (n *Node) runReadiness(ctx context.Context) error {
	return serveReadiness(ctx, n.Settings.ReadinessAddress, n.ready)
}

// situations returns the services whose endpoints are ordered.
func (n *Node) situations() []clduty.ServiceState {
	cat := n.gateway.Catalog()
	if cat == nil || slices.Contains(n.ready.Reasons(), conditionEndpoints) {
		return nil
	}
	var out []clduty.ServiceState
	n.mu.Lock()
	evacuated := maps.Clone(n.out)
	n.mu.Unlock()
	for _, s := range cat.Services {
		if s.Scaling == nil {
			continue
		}
		have := n.fleet.Endpoints(s.Name)
		have = slices.DeleteFunc(have, func(e clcatalog.Endpoint) bool { return e.Leaving })
		highest, current := n.load.busy(s.Name, n.fleet.OccupiedEndpoints(s.Name), clclock.Now())
		out = append(out, clduty.ServiceState{
			Service: s.Name, Scaling: *s.Scaling, Endpoints: have, PeakLoad: highest, CurrentLoad: current, NeverRequested: n.load.idle(s.Name), Evacuated: evacuated,
		})
	}
	return out
}
