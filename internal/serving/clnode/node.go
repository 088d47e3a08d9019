// This file defines the gateway process and its control loops.

package clnode

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/clobserve"
	"github.com/chestnutlead/chestnutlead/clstore"
	"github.com/chestnutlead/chestnutlead/clwait"
	"github.com/chestnutlead/chestnutlead/internal/coordination/clduty"
	"github.com/chestnutlead/chestnutlead/internal/coordination/clgossip"
	"github.com/chestnutlead/chestnutlead/internal/coordination/clmirror"
	"github.com/chestnutlead/chestnutlead/internal/coordination/clmove"
	"github.com/chestnutlead/chestnutlead/internal/limits/clcrash"
	"github.com/chestnutlead/chestnutlead/internal/limits/clquota"
	"github.com/chestnutlead/chestnutlead/internal/limits/clretry"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/chestnutlead/chestnutlead/internal/routing/clfleet"
	"github.com/chestnutlead/chestnutlead/internal/serving/clgateway"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

type (
	// Store gives access to the platform's store. It holds the configuration, the
	// registered endpoints and gateways, the rollouts and evacuations that
	// operators have requested, and the state of the duties.
	Store interface {
		// The embedded Store holds the lease and the state of the duties.
		clstore.Store
		// Configuration, Endpoints, Rollouts, Evacuations and Gateways return the
		// sources from which the mirrors read the store's objects.
		Configuration() clmirror.Source[*clcatalog.Catalog]
		Endpoints() clmirror.Source[clcatalog.Endpoint]
		Rollouts() clmirror.Source[clcatalog.Rollout]
		Evacuations() clmirror.Source[clcatalog.Evacuation]
		Gateways() clmirror.Source[clcatalog.Member]
		// Register writes a gateway's entry. It replaces the entry of an earlier run
		// of the gateway.
		Register(ctx context.Context, m clcatalog.Member) error
		// Unregister removes the entry of the gateway with the given name.
		Unregister(ctx context.Context, name string) error
		blockStore
		// ReportRollout writes the outcome of a rollout for operators to read. Its
		// errors are classified like those of the embedded Store.
		ReportRollout(ctx context.Context, r clcatalog.Rollout, outcome clcatalog.RolloutOutcome) error
	}

	// Node is a gateway process. Exported fields are set before Run.
	Node struct {
		// Settings are the settings at the start. Run adds the defaults.
		Settings Settings
		Store    Store
		// Cloud receives the usage reports and the orders for endpoints. It is used
		// only if Settings.CloudAddress is valid.
		Cloud clduty.Cloud
		// HeaderCodec parses and builds the headers of requests and responses.
		HeaderCodec clgateway.HeaderCodec
		// IdentifyEndpoint is Gateway.Identify; see there.
		IdentifyEndpoint func(ctx context.Context, s *clcatalog.Service, addr netip.AddrPort, born int64) (clgateway.Identity, error)
		// LoadSettings reads the settings again while the process runs.
		LoadSettings func() (Settings, error)
		// ReloadSignal receives a value when the settings may have changed.
		ReloadSignal <-chan os.Signal
		Logger       *zap.Logger
		Metrics      *clobserve.Metrics

		fleet             *clfleet.Fleet
		quotaLimiter      *clquota.Limiter
		retryBudget       *clretry.Budget
		crashTracker      *clcrash.Tracker
		blockKeeper       *blockKeeper
		rolloutController *clmove.Controller
		usageCounter      *clduty.UsageCounter
		coordinator       *clduty.Coordinator
		exchange          *clgossip.Exchange
		gateway           *clgateway.Gateway
		clock             *clclock.MedianClock
		readiness         *clobserve.Readiness

		replicator       *clmirror.Replicator
		configMirror     *clmirror.Mirror[*clcatalog.Catalog]
		endpointMirror   *clmirror.Mirror[clcatalog.Endpoint]
		rolloutMirror    *clmirror.Mirror[clcatalog.Rollout]
		evacuationMirror *clmirror.Mirror[clcatalog.Evacuation]
		gatewayMirror    *clmirror.Mirror[clcatalog.Member]

		// mu guards the five maps that follow it.
		mu sync.Mutex
		// gatewayEntries holds the store's entries of the registered gateways, by
		// name.
		gatewayEntries map[string]clcatalog.Member
		// silenceStart holds, by name of a registered gateway, the earliest time from
		// which the gateway's silence is counted: when this process first checked
		// for its digests, or last tried to unregister it.
		silenceStart map[string]time.Time
		// requestedRollouts holds the rollouts that operators have requested, by
		// service.
		requestedRollouts map[string]clcatalog.Rollout
		// evacuatedDataCentres is the set of data centres that are evacuated.
		evacuatedDataCentres map[string]bool
		// rejectedEntries holds why entries of endpoints can't be used, by name. It is
		// written from the goroutine that reads the store and from the one that
		// follows a reader.
		rejectedEntries map[string]string

		// rejections counts the entries of endpoints that can't be used.
		rejections prometheus.Counter
		// connections counts the requests to endpoints by the choice of a connection.
		connections *prometheus.CounterVec

		// eraBegun receives a value when the store has returned from an older copy.
		eraBegun chan struct{}
		// rolloutsReceived is set once a complete copy of the rollouts was received.
		rolloutsReceived atomic.Bool

		loadEstimator loadEstimator
		// partitionDetector, grantedGatewayCount and rolloutReports are used only by the
		// control loop.
		// grantedGatewayCount is the number of gateways for which the control loop last
		// applied the quotas.
		partitionDetector   partitionDetector
		grantedGatewayCount int
		// rolloutReports holds the reports that failed last, by service.
		rolloutReports map[string]failedReport
	}
)

const (
	// maxRejectedEntries limits what is remembered of entries that can't be used.
	maxRejectedEntries = 1024
	// configPollFraction is the fraction of Settings.ChangeDeadline between two reads
	// of the configuration. Each read confirms that the API keys are still valid.
	configPollFraction = 0.2
	// maxWatchWait is how long the store may hold a watch that has no changes to
	// return. A watch whose connection has stopped delivering data would miss
	// changes for this time. The time may nevertheless be longer than the interval
	// between reads of the configuration, because a failed read of the configuration restarts the
	// watches.
	maxWatchWait = 15 * time.Second
	// keyAcceptanceFraction is the fraction of Settings.Revocation for which an API
	// key is accepted after the store has confirmed it. The rest covers the
	// confirming call and the transit time of a request.
	keyAcceptanceFraction = 0.82
	// ingressDrainDelay is the time after which the ingress no longer sends
	// connections to a stopping gateway. The ingress checks readiness once per
	// second and removes a gateway after two failed checks.
	ingressDrainDelay = 3200 * time.Millisecond
	// controlInterval is the time between two steps of the control loop.
	controlInterval = 100 * time.Millisecond
	// idleConnTimeout is how long idle connections to endpoints are kept. It is
	// shorter than the usual idle timeouts of servers, so that the endpoint does
	// not close a connection first.
	idleConnTimeout = 3 * time.Second
)

// Readiness conditions of a gateway, under the names that readiness checks return.
const (
	conditionConfig    = "configuration"
	conditionEndpoints = "endpoints"
	conditionServing   = "serving"
)

// Run serves callers until ctx ends. It then accepts connections until the ingress
// has stopped sending them, completes the requests in progress within the grace
// period, and returns.
func (n *Node) Run(ctx context.Context) error {
	n.Settings = n.Settings.withDefaults()
	n.buildComponents()
	// A process that can't serve must not take part in anything, the duties above all.
	if err := n.gateway.Listen(); err != nil {
		return err
	}
	ctx, stopAll := context.WithCancel(ctx)
	defer stopAll()
	n.Logger.Info("started", zap.String("gateway", n.Settings.Name), zap.Uint64("boot", n.exchange.Self.Boot),
		zap.String("data_centre", n.Settings.DataCentre), zap.Stringer("callers", n.Settings.CallerAddress))
	// While the gateway drains, only the duties have stopped; the other components
	// continue.
	componentCtx, stopComponents := context.WithCancel(context.WithoutCancel(ctx))
	defer stopComponents()
	var g errgroup.Group
	g.Go(func() error { return n.replicator.Run(componentCtx) })
	g.Go(func() error { return n.exchange.Run(componentCtx) })
	g.Go(func() error { return n.runControlLoop(componentCtx) })
	g.Go(func() error { n.runRegistration(componentCtx); return nil })
	g.Go(func() error { n.blockKeeper.run(componentCtx); return nil })
	g.Go(func() error { n.runSettingsWatch(componentCtx); return nil })
	g.Go(func() error {
		err := n.runReadinessServer(componentCtx)
		if err != nil {
			stopAll()
		}
		return err
	})
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
		defer stopAll()
		return n.gateway.Run(ctx)
	})
	err := g.Wait()
	n.Logger.Info("stopped", zap.Error(err))
	return err
}

// buildComponents creates the components from the settings and connects them.
func (n *Node) buildComponents() {
	settings := n.Settings
	bootID := uint64(time.Now().UnixNano())
	processID := settings.Name + "/" + strconv.FormatUint(bootID, 36)
	component := func(name string) *zap.Logger { return clobserve.Component(n.Logger, name) }
	n.clock = &clclock.MedianClock{}
	n.readiness = clobserve.NewReadiness(conditionConfig, conditionEndpoints)
	n.fleet = &clfleet.Fleet{DataCentre: settings.DataCentre, Rand: rand.New(rand.NewPCG(bootID, rand.Uint64()))}
	if settings.CostAware {
		n.fleet.CostAware = n.fleet.StatesPace
	}
	n.quotaLimiter = &clquota.Limiter{
		BootTime: bootID, Tolerance: clquota.Tolerance{Overshoot: settings.QuotaOvershoot, Slack: settings.QuotaSlack},
	}
	n.crashTracker = &clcrash.Tracker{OnChange: n.logBlock}
	n.blockKeeper = &blockKeeper{
		store: n.Store, tracker: n.crashTracker, follows: n.followsBlocks, writes: func() bool { return n.isAmongFirst(blockWriterCount) },
		now: n.clock.Now, logger: component("crash"),
	}
	n.retryBudget = &clretry.Budget{Ratio: settings.RetryRatio, Floor: settings.RetryFloor, Window: settings.RetryWindow}
	n.rolloutController = &clmove.Controller{TrialShare: settings.TrialShare, TrialFloor: settings.TrialFloor}
	n.usageCounter = &clduty.UsageCounter{WindowLength: settings.UsageWindow}
	n.rejectedEntries, n.eraBegun = map[string]string{}, make(chan struct{}, 1)
	n.rejections = n.Metrics.Counter(clobserve.Name{Component: "node", What: "rejected_entries", Unit: "total"},
		"Entries of endpoints that were read and can't be used.").WithLabelValues()
	n.connections = n.Metrics.Counter(clobserve.Name{Component: "node", What: "endpoint_connections", Unit: "total"},
		"Requests to endpoints by connection: kept, or new because none was idle (none_idle), all idle ones were closed, too old or had unread bytes (unusable), they had carried a request with the same ID (had_id), or the request needs one of its own (asked_for).", "choice")
	n.Metrics.GaugeFunc(clobserve.Name{Component: "node", What: "store_era", Unit: "count"},
		"How often the store has returned from an older copy, as its latest answer to this process states.", func() float64 { return float64(clstore.EraOf(n.Store)) })
	n.gatewayEntries, n.silenceStart = map[string]clcatalog.Member{}, map[string]time.Time{}
	n.requestedRollouts, n.evacuatedDataCentres = map[string]clcatalog.Rollout{}, map[string]bool{}
	n.exchange = &clgossip.Exchange{
		Self:     clcatalog.Member{Name: settings.Name, Boot: bootID, Address: settings.PeerAddress, DataCentre: settings.DataCentre},
		Gateways: n.registeredGateways, FillDigest: n.fillDigest, OnDigest: n.applyDigest, Clock: n.clock, Logger: component("exchange"),
	}
	n.coordinator = &clduty.Coordinator{
		Name: settings.Name, ProcessID: processID, LeaseTTL: settings.LeaseTTL, Store: n.Store, Cloud: n.Cloud, Usage: n.usageCounter, ReportDeadline: settings.UsageDue,
		DigestInterval: func() time.Duration { return clgossip.DigestInterval(len(n.registeredGateways())) },
		Now:            n.clock.Now, ServiceStates: n.serviceStates, IsCandidate: n.isDutyCandidate, Metrics: n.Metrics, ReportsUsage: settings.ReportsUsage, ScalesEndpoints: settings.OrdersEndpoints,
		UnreportedWindows: n.Metrics.Counter(clobserve.Name{Component: "duty", What: "unreported_windows", Unit: "total"},
			"Usage windows that this process did not report, because the store may have lost a report of them.").WithLabelValues(),
		Logger: component("duty"),
	}
	n.gateway = &clgateway.Gateway{
		Address: settings.CallerAddress, Headers: n.HeaderCodec, Fleet: n.fleet, Quotas: n.quotaLimiter, RetryBudget: n.retryBudget, Crashes: n.crashTracker, Shares: n.newShareAllocator(bootID),
		Client: &clendpoint.HTTP{IdleTimeout: idleConnTimeout, Connected: n.countConnection}, Probe: acceptsConnections, Identify: n.IdentifyEndpoint, Recorder: n, ConfigFresh: n.configFresh, CopiesUsableFor: func() (time.Duration, bool) { return n.replicator.UsableFor() },
		ShutdownDelay: min(ingressDrainDelay, settings.Grace/2), GracePeriod: settings.Grace,
		MemoryBytes: settings.MemoryBytes, MaxDescriptors: settings.MaxDescriptors, Logger: component("gateway"), Metrics: n.Metrics,
	}
	n.partitionDetector.changeDeadline = settings.ChangeDeadline
	n.buildMirrors(component("mirror"))
}

// countConnection counts a request to an endpoint.
func (n *Node) countConnection(c clendpoint.ConnChoice) {
	n.connections.WithLabelValues(string(c)).Inc()
}

// acceptsConnections reports whether the endpoint at addr accepts a connection before ctx
// ends.
func acceptsConnections(ctx context.Context, addr netip.AddrPort) bool {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return false
	}
	// Nothing was written, so an error on closing loses no data.
	_ = c.Close()
	return true
}

// configFresh reports whether the store has confirmed the configuration recently
// enough to accept API keys, and otherwise how long the caller should wait before
// it retries. Without StrictRevocation any configuration is recent enough that is not
// outdated: one that may lack a version which must be in force by now, although the
// store is not lost.
func (n *Node) configFresh() (bool, time.Duration) {
	if left, limited := n.replicator.UsableFor(); limited && left <= 0 {
		return false, n.configPollInterval()
	}
	if !n.Settings.StrictRevocation {
		return true, 0
	}
	limit := time.Duration(float64(n.Settings.Revocation) * keyAcceptanceFraction)
	if clclock.Now().Sub(n.configMirror.LastConfirmed()) < limit {
		return true, 0
	}
	return false, n.configPollInterval()
}

// configPollInterval returns the time between two reads of the configuration.
func (n *Node) configPollInterval() time.Duration {
	return time.Duration(configPollFraction * float64(n.Settings.ChangeDeadline))
}

// isDutyCandidate reports whether this gateway competes for the lease of the
// duties. Only the first dutyCandidateCount live gateways in the order of their
// names do, so that the remaining gateways do not need to read the lease.
func (n *Node) isDutyCandidate() bool { return n.isAmongFirst(dutyCandidateCount) }

// isAmongFirst reports whether this gateway is one of the first count live gateways in
// the order of their names.
func (n *Node) isAmongFirst(count int) bool {
	precedingPeers := 0
	for _, name := range n.exchange.AlivePeers() {
		if name < n.Settings.Name {
			precedingPeers++
		}
	}
	return precedingPeers < count
}

// dutyCandidateCount is the number of gateways that compete for the lease of the
// duties.
const dutyCandidateCount = 2

// registeredGateways returns the gateways that have an entry in the store, as far
// as the mirror knows them, in no particular order. They include this gateway
// once the mirror has received its entry, and lost gateways until their entries
// are removed.
func (n *Node) registeredGateways() []clcatalog.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	gateways := make([]clcatalog.Member, 0, len(n.gatewayEntries))
	for _, m := range n.gatewayEntries {
		gateways = append(gateways, m)
	}
	return gateways
}

// measureConnectivity determines how recently the store and the other gateways
// were heard from. gatewayCount is the number of registered gateways.
func (n *Node) measureConnectivity(gatewayCount int, now time.Time) connectivity {
	return connectivity{
		gatewayCount: gatewayCount, alivePeers: len(n.exchange.AlivePeers()),
		configAge: now.Sub(n.configMirror.LastConfirmed()), digestAge: now.Sub(n.exchange.LastDigestTime()),
	}
}

// runControlLoop runs a control step every controlInterval until ctx ends.
func (n *Node) runControlLoop(ctx context.Context) error {
	return clwait.Every(ctx, controlInterval, func(time.Time) { n.runControlStep(ctx) })
}

// runControlStep updates the readiness, this gateway's shares of the common limits
// and the traffic splits of the rollouts. If this gateway holds the lease of the
// duties, the step also reports the outcomes of rollouts and unregisters lost
// gateways.
func (n *Node) runControlStep(ctx context.Context) {
	if ok, _ := n.configFresh(); ok && n.gateway.Catalog() != nil {
		n.readiness.Meet(conditionConfig)
	} else {
		n.readiness.Fail(conditionConfig, "not confirmed by the store")
	}
	n.updateShares(n.registeredGateways(), clclock.Now())
	_, holdsLease := n.coordinator.CurrentLease()
	now := clclock.Now()
	for _, decision := range n.rolloutController.Decide(now) {
		n.fleet.SetSplit(decision.Intent.Service, decision.Split)
		if holdsLease {
			n.reportRollout(ctx, decision, now)
		}
	}
	if holdsLease {
		n.unregisterLostGateways(ctx)
	}
}

// updateShares adjusts this gateway's shares of the limits that apply to all
// gateways combined: the endpoints' connections and cold request rates, the retry
// budget and the quotas.
func (n *Node) updateShares(gateways []clcatalog.Member, now time.Time) {
	gatewayCount, digestInterval := max(1, len(gateways)), clgossip.DigestInterval(len(gateways))
	n.updateQuotaGrants(gatewayCount)
	n.fleet.SetGateways(n.Settings.Name, lo.FilterMap(gateways, func(m clcatalog.Member, _ int) (string, bool) {
		return m.Name, m.Name != n.Settings.Name
	}))
	n.fleet.SetDigestInterval(digestInterval)
	n.retryBudget.SetGateways(gatewayCount)
	n.quotaLimiter.SetGateways(gatewayCount, now)
	n.quotaLimiter.SetDigestInterval(digestInterval)
	n.quotaLimiter.SetReachableShare(n.partitionDetector.reachableShare(n.measureConnectivity(gatewayCount, now), now))
}

// listRequestedRollouts returns the rollouts that operators have requested, in no
// particular order. n.mu must be held.
func (n *Node) listRequestedRollouts() []clcatalog.Rollout {
	requested := make([]clcatalog.Rollout, 0, len(n.requestedRollouts))
	for _, r := range n.requestedRollouts {
		requested = append(requested, r)
	}
	return requested
}

const (
	// settingsReloadInterval is the time between two reads of the settings if no
	// signal arrives.
	settingsReloadInterval = 2 * time.Second
)

// runSettingsWatch reads the settings when a reload signal arrives and every
// settingsReloadInterval, until ctx ends. It applies changes of RetryRatio and
// RetryFloor; other changes take effect at the next start.
func (n *Node) runSettingsWatch(ctx context.Context) {
	ticker := time.NewTicker(settingsReloadInterval)
	defer ticker.Stop()
	previous := n.Settings
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.ReloadSignal:
		case <-ticker.C:
		}
		s, err := n.LoadSettings()
		if err != nil {
			n.Logger.Warn("settings cannot be read; keeping the previous settings", zap.Error(err))
			continue
		}
		if s = s.withDefaults(); s != previous {
			previous = s
			n.Logger.Info("settings changed; settings other than the retry limits take effect after a restart", zap.Any("settings", s))
			n.retryBudget.SetLimits(s.RetryRatio, s.RetryFloor)
		}
	}
}

// runReadinessServer answers the readiness checks of the ingress until ctx ends.
func (n *Node) runReadinessServer(ctx context.Context) error {
	return serveReadiness(ctx, n.Settings.ReadinessAddress, n.readiness)
}
