// This file defines the gateway process and its control loops.

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
	// Store is the interface to the platform's store.
	Store interface {
		clstore.Store
		Configuration() clmirror.Source[*clcatalog.Catalog]
		Endpoints() clmirror.Source[clcatalog.Endpoint]
		Rollouts() clmirror.Source[clcatalog.Rollout]
		Evacuations() clmirror.Source[clcatalog.Evacuation]
		Gateways() clmirror.Source[clcatalog.Member]
		// Register records a gateway under its name.
		Register(ctx context.Context, m clcatalog.Member) error
		// Unregister removes the entry of a gateway that no longer runs.
		Unregister(ctx context.Context, name string) error
		// ReportRollout writes the outcome of a rollout.
		ReportRollout(ctx context.Context, r clcatalog.Rollout, outcome clcatalog.RolloutOutcome) error
	}

	// Node is a gateway process. Exported fields are set before Run.
	Node struct {
		Settings    Settings
		Store       Store
		Cloud       clduty.Cloud
		HeaderCodec clgateway.HeaderCodec
		// LoadSettings reads the current settings.
		LoadSettings func() (Settings, error)
		// ReloadSignal receives a value when the settings may have changed.
		ReloadSignal <-chan os.Signal
		Logger       *zap.Logger
		Metrics      *clobserve.Metrics

		fleet       *clfleet.Fleet
		quotas      *clquota.Limiter
		retryBudget *clretry.Budget
		crashes     *clretry.CrashTracker
		rollouts    *clmove.Controller
		usage       *clduty.UsageCounter
		coordinator *clduty.Coordinator
		exchange    *clgossip.Exchange
		gateway     *clgateway.Gateway
		clock       *clclock.MedianClock
		readiness   *clobserve.Readiness

		replicator       *clmirror.Replicator
		configMirror     *clmirror.Mirror[*clcatalog.Catalog]
		endpointMirror   *clmirror.Mirror[clcatalog.Endpoint]
		rolloutMirror    *clmirror.Mirror[clcatalog.Rollout]
		evacuationMirror *clmirror.Mirror[clcatalog.Evacuation]
		memberMirror     *clmirror.Mirror[clcatalog.Member]

		mu sync.Mutex
		// members holds the registered gateways by name.
		members map[string]clcatalog.Member
		// observedSince is the time from which the silence of a registered gateway
		// counts, by name: when this process first checked for digests of it, or
		// last tried to unregister it.
		observedSince map[string]time.Time
		// intents holds the requested rollouts by service.
		intents map[string]clcatalog.Rollout
		// evacuated is the set of evacuated data centres.
		evacuated    map[string]bool
		loadEstimate loadEstimator
		partition    partitionDetector
	}
)

const (
	// configPollInterval is the time between two reads of the configuration, which
	// confirm that the API keys are still valid. The watches of the other objects
	// are restarted when such a read fails, so they may wait longer.
	configPollInterval = 400 * time.Millisecond
	watchWait          = 15 * time.Second
	// keyTrustShare is the fraction of the revocation time for which a confirmed
	// key is accepted. The rest covers the confirming call and the transit time of
	// a request.
	keyTrustShare = 0.82
	// ingressDrainDelay is the time after which the ingress no longer sends
	// connections to a stopping gateway. The ingress checks readiness once per
	// second and removes a gateway after two failed checks.
	ingressDrainDelay = 3200 * time.Millisecond
	// controlInterval is the interval of the control loop, which decides on
	// rollouts and on this gateway's shares of the common limits.
	controlInterval = 100 * time.Millisecond
	// probeTimeout is the time after which an endpoint that has not accepted a
	// connection counts as unreachable.
	probeTimeout = 300 * time.Millisecond
	// idleConnTimeout is how long idle connections to endpoints are kept. It is
	// below the usual idle timeouts of servers.
	idleConnTimeout = 3 * time.Second
)

// Readiness conditions of a gateway.
const (
	conditionConfig    = "configuration"
	conditionEndpoints = "endpoints"
	conditionServing   = "serving"
)

// Run serves callers until ctx ends, and then drains.
func (n *Node) Run(ctx context.Context) error {
	n.Settings = n.Settings.withDefaults()
	n.buildComponents()
	n.Logger.Info("started", zap.String("gateway", n.Settings.Name), zap.Uint64("boot", n.exchange.Self.Boot),
		zap.String("data_centre", n.Settings.DataCentre), zap.Stringer("callers", n.Settings.CallerAddress))
	// The components continue while the gateway drains; the duties stop.
	componentCtx, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopComponents()
	var g errgroup.Group
	g.Go(func() error { return n.replicator.Run(componentCtx) })
	g.Go(func() error { return n.exchange.Run(componentCtx) })
	g.Go(func() error { return n.runControlLoop(componentCtx) })
	g.Go(func() error { n.register(componentCtx); return nil })
	g.Go(func() error { n.watchSettings(componentCtx); return nil })
	g.Go(func() error { return n.runReadiness(componentCtx) })
	if n.Settings.MetricsAddress.IsValid() {
		health := &clobserve.Server{Addr: n.Settings.MetricsAddress, Metrics: n.Metrics, Readiness: n.readiness, Logger: n.Logger}
		g.Go(func() error { return health.Run(componentCtx) })
	}
	if n.Settings.CloudAddress.IsValid() {
		g.Go(func() error { return n.coordinator.Run(ctx) })
	}
	g.Go(func() error {
		<-ctx.Done()
		n.readiness.Fail(conditionServing, "draining")
		n.exchange.Leave()
		return nil
	})
	g.Go(func() error {
		defer stopComponents()
		return n.gateway.Run(ctx)
	})
	err := g.Wait()
	n.Logger.Info("stopped", zap.Error(err))
	return err
}

// buildComponents creates the components from the settings.
func (n *Node) buildComponents() {
	s := n.Settings
	boot := uint64(time.Now().UnixNano())
	processID := s.Name + "/" + strconv.FormatUint(boot, 36)
	component := func(name string) *zap.Logger { return clobserve.Component(n.Logger, name) }
	n.clock = &clclock.MedianClock{}
	n.readiness = clobserve.NewReadiness(conditionConfig, conditionEndpoints)
	n.fleet = &clfleet.Fleet{DataCentre: s.DataCentre, Rand: rand.New(rand.NewPCG(boot, rand.Uint64()))}
	n.quotas = &clquota.Limiter{BootTime: boot}
	n.crashes = &clretry.CrashTracker{}
	n.retryBudget = &clretry.Budget{Ratio: s.RetryRatio, Floor: s.RetryFloor, Window: s.RetryWindow}
	n.rollouts = &clmove.Controller{TrialShare: s.TrialShare, TrialFloor: s.TrialFloor}
	n.usage = &clduty.UsageCounter{WindowLength: s.UsageWindow}
	n.members, n.observedSince = map[string]clcatalog.Member{}, map[string]time.Time{}
	n.intents, n.evacuated = map[string]clcatalog.Rollout{}, map[string]bool{}
	n.exchange = &clgossip.Exchange{
		Self:     clcatalog.Member{Name: s.Name, Boot: boot, Address: s.PeerAddress, DataCentre: s.DataCentre},
		Gateways: n.registeredGateways, FillDigest: n.fillDigest, OnDigest: n.applyDigest, Clock: n.clock, Logger: component("exchange"),
	}
	n.coordinator = &clduty.Coordinator{
		Name: s.Name, ProcessID: processID, LeaseTTL: s.LeaseTTL, Store: n.Store, Cloud: n.Cloud, Usage: n.usage, ReportDeadline: s.UsageDue,
		DigestInterval: func() time.Duration { return clgossip.DigestInterval(len(n.registeredGateways())) },
		Now:            n.clock.Now, ServiceStates: n.serviceStates, IsCandidate: n.isDutyCandidate, ReportsUsage: s.ReportsUsage, ScalesEndpoints: s.OrdersEndpoints,
		Logger: component("duty"),
	}
	n.gateway = &clgateway.Gateway{
		Address: s.CallerAddress, Headers: n.HeaderCodec, Fleet: n.fleet, Quotas: n.quotas, RetryBudget: n.retryBudget, Crashes: n.crashes,
		Client: &clendpoint.HTTP{IdleTimeout: idleConnTimeout}, Probe: probe, Recorder: n, ConfigFresh: n.configFresh,
		ShutdownDelay: min(ingressDrainDelay, s.Grace/2), GracePeriod: s.Grace, Logger: component("gateway"), Metrics: n.Metrics,
	}
	n.buildMirrors(component("mirror"))
}

// probe reports whether an endpoint accepts connections.
func probe(addr netip.AddrPort) bool {
	c, err := net.DialTimeout("tcp", addr.String(), probeTimeout)
	if err != nil {
		return false
	}
	// Nothing was written, so an error on closing loses no data.
	_ = c.Close()
	return true
}

// configFresh reports whether the configuration is recent enough to accept API
// keys, and otherwise how long the caller should wait before it retries.
func (n *Node) configFresh() (bool, time.Duration) {
	if !n.Settings.StrictRevocation {
		return true, 0
	}
	limit := time.Duration(float64(n.Settings.Revocation) * keyTrustShare)
	if clclock.Now().Sub(n.configMirror.LastConfirmed()) < limit {
		return true, 0
	}
	return false, configPollInterval
}

// isDutyCandidate reports whether this gateway competes for the lease of the
// duties. Only the first dutyCandidates live gateways in order of their names
// do, so that the others do not need to read the lease.
func (n *Node) isDutyCandidate() bool {
	lowerNames := 0
	for _, name := range n.exchange.AlivePeers() {
		if name < n.Settings.Name {
			lowerNames++
		}
	}
	return lowerNames < dutyCandidates
}

// dutyCandidates is the number of gateways that compete for the lease.
const dutyCandidates = 2

// registeredGateways returns the registered gateways.
func (n *Node) registeredGateways() []clcatalog.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	out := make([]clcatalog.Member, 0, len(n.members))
	for _, m := range n.members {
		out = append(out, m)
	}
	return out
}

// connectivity returns this gateway's contact with the store and the others.
func (n *Node) connectivity(gateways int, now time.Time) connectivity {
	return connectivity{
		gateways: gateways, alive: len(n.exchange.AlivePeers()),
		configAge: now.Sub(n.configMirror.LastConfirmed()), digestAge: now.Sub(n.exchange.LastDigestTime()),
	}
}

// runControlLoop runs the time-dependent decisions until ctx ends.
func (n *Node) runControlLoop(ctx context.Context) error {
	return clwait.Every(ctx, controlInterval, func(time.Time) { n.runControlStep(ctx) })
}

// runControlStep updates the readiness, the shares of the common limits and the
// traffic splits. The holder of the duties' lease also reports rollouts and
// unregisters lost gateways.
func (n *Node) runControlStep(ctx context.Context) {
	if ok, _ := n.configFresh(); ok && n.gateway.Catalog() != nil {
		n.readiness.Meet(conditionConfig)
	} else {
		n.readiness.Fail(conditionConfig, "not confirmed by the store")
	}
	n.updateShares(n.registeredGateways(), clclock.Now())
	_, holdsLease := n.coordinator.CurrentLease()
	for _, s := range n.rollouts.Decide(clclock.Now()) {
		n.fleet.SetSplit(s.Intent.Service, s.Split)
		if holdsLease {
			n.reportRollout(ctx, s)
		}
	}
	if holdsLease {
		n.unregisterLostGateways(ctx)
	}
}

// updateShares sets this gateway's shares of the limits that all registered
// gateways have in common.
func (n *Node) updateShares(members []clcatalog.Member, now time.Time) {
	gateways, interval := max(1, len(members)), clgossip.DigestInterval(len(members))
	n.fleet.SetGateways(n.Settings.Name, lo.FilterMap(members, func(m clcatalog.Member, _ int) (string, bool) {
		return m.Name, m.Name != n.Settings.Name
	}))
	n.fleet.SetDigestInterval(interval)
	n.retryBudget.SetGateways(gateways)
	n.quotas.SetGateways(gateways, now)
	n.quotas.SetDigestInterval(interval)
	n.quotas.SetReachableShare(n.partition.reachableShare(n.connectivity(gateways, now), now))
}

// reportRollout writes the outcome of a rollout to the store if it differs from
// the one that operators see there.
func (n *Node) reportRollout(ctx context.Context, s clmove.Decision) {
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
		intent := n.intents[s.Intent.Service]
		if intent.Version == s.Intent.Version {
			intent.Outcome, intent.OutcomeVersion = s.Outcome, s.Intent.Version
			n.intents[s.Intent.Service] = intent
		}
		intents := n.rolloutIntents()
		n.mu.Unlock()
		n.rollouts.SetIntents(intents, clclock.Now())
	}
}

// rolloutIntents returns the requested rollouts. The caller must hold mu.
func (n *Node) rolloutIntents() []clcatalog.Rollout {
	out := make([]clcatalog.Rollout, 0, len(n.intents))
	for _, in := range n.intents {
		out = append(out, in)
	}
	return out
}

const (
	// storeTimeout is the timeout of a write to the store.
	storeTimeout = 900 * time.Millisecond
	// gatewayExpiry is the time without digests after which a registered gateway's
	// entry is removed. It is longer than any restart takes.
	gatewayExpiry = 40 * time.Second
)

// unregisterLostGateways removes the entries of gateways that no longer run.
func (n *Node) unregisterLostGateways(ctx context.Context) {
	now := clclock.Now()
	for _, m := range n.registeredGateways() {
		n.mu.Lock()
		if n.observedSince[m.Name].IsZero() {
			n.observedSince[m.Name] = now
		}
		last := n.observedSince[m.Name]
		n.mu.Unlock()
		if heard := n.exchange.LastDigestTimeFrom(m.Name); heard.After(last) {
			last = heard
		}
		if m.Name == n.Settings.Name || now.Sub(last) < gatewayExpiry {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := n.Store.Unregister(ctx, m.Name)
		cancel()
		n.mu.Lock()
		n.observedSince[m.Name] = now
		n.mu.Unlock()
		n.Logger.Info("lost gateway unregistered", zap.String("gateway", m.Name), zap.Duration("silent", now.Sub(last)), zap.Error(err))
	}
}

// register registers this process in the store; it retries until it succeeds or
// ctx ends.
func (n *Node) register(ctx context.Context) {
	for backoff := minRegisterBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxRegisterBackoff) {
		callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := n.Store.Register(callCtx, n.exchange.Self)
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
	minRegisterBackoff = 100 * time.Millisecond
	maxRegisterBackoff = time.Second
	// reloadInterval is the time between two reads of the settings without a signal.
	reloadInterval = 2 * time.Second
)

// watchSettings applies changed retry limits while the process runs, on a signal
// or at the next interval. Other settings take effect at the next start.
func (n *Node) watchSettings(ctx context.Context) {
	t := time.NewTicker(reloadInterval)
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
			n.Logger.Warn("settings cannot be read; keeping the previous settings", zap.Error(err))
			continue
		}
		if s = s.withDefaults(); s != last {
			last = s
			n.Logger.Info("settings changed; settings other than the retry limits take effect after a restart", zap.Any("settings", s))
			n.retryBudget.SetLimits(s.RetryRatio, s.RetryFloor)
		}
	}
}

// runReadiness serves the ingress's readiness checks.
func (n *Node) runReadiness(ctx context.Context) error {
	return serveReadiness(ctx, n.Settings.ReadinessAddress, n.readiness)
}

// serviceStates returns the state of each service with scaling, or nil until the
// configuration is known.
func (n *Node) serviceStates() []clduty.ServiceState {
	cat := n.gateway.Catalog()
	if cat == nil || slices.Contains(n.readiness.Reasons(), conditionEndpoints) {
		return nil
	}
	var out []clduty.ServiceState
	n.mu.Lock()
	evacuated := maps.Clone(n.evacuated)
	n.mu.Unlock()
	for _, s := range cat.Services {
		if s.Scaling == nil {
			continue
		}
		endpoints := n.fleet.Endpoints(s.Name)
		endpoints = slices.DeleteFunc(endpoints, func(e clcatalog.Endpoint) bool { return e.Leaving })
		peak, current := n.loadEstimate.busyEndpoints(s.Name, n.fleet.OccupiedEndpoints(s.Name), clclock.Now())
		out = append(out, clduty.ServiceState{
			Service: s.Name, Scaling: *s.Scaling, Endpoints: endpoints, PeakLoad: peak, CurrentLoad: current, NeverRequested: n.loadEstimate.idle(s.Name), Evacuated: evacuated,
		})
	}
	return out
}
