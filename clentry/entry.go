// This file defines Entry, the entry process.

package clentry

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/chestnutlead/chestnutlead/cladmission"
	"github.com/chestnutlead/chestnutlead/clbooking"
	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/clmember"
	"github.com/chestnutlead/chestnutlead/clobserve"
	"github.com/chestnutlead/chestnutlead/clpeer"
	"github.com/chestnutlead/chestnutlead/clplatform"
	"github.com/chestnutlead/chestnutlead/clroute"
	"github.com/chestnutlead/chestnutlead/clsettings"
	"github.com/chestnutlead/chestnutlead/clslot"
	"github.com/chestnutlead/chestnutlead/clstore"
	"github.com/chestnutlead/chestnutlead/clwait"
	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const (
	// Role is the role of entries among the members.
	Role = "entry"

	conditionConfig   = "configuration"
	conditionServing  = "serving"
	conditionSlots    = "slots"
	flushTimeout      = 5 * time.Second
	readinessInterval = 50 * time.Millisecond
	retryWindow       = 10 * time.Second
	handoverTimeout   = 2 * time.Second
	grantorPatience   = 10 * time.Second
	// evidenceKey is what the entries of a data centre are ranked for to sum its evidence.
	evidenceKey = "evidence"
)

var errNoDelete = errors.New("the store cannot delete")

type (
	// Entry is one entry process. Exported fields are set before Run.
	Entry struct {
		Settings  *clsettings.EntrySettings
		Objects   clplatform.Objects
		Instances clplatform.Instances
		Cloud     clplatform.Cloud
		Client    clendpoint.Client
		Observer  clendpoint.Observer
		Logger    *zap.Logger
		Metrics   *clobserve.Metrics
		Readiness *clobserve.Readiness

		caller   net.Listener
		peer     net.Listener
		log      *zap.Logger
		node     *clpeer.Node
		views    *views
		fleet    *fleet
		gate     *gate
		grantors *grantors
		demander *demander
		evidence *evidence
		sums     *clpeer.EvidenceSums
		caches   *caches
		ledgers  *ledgers
		handler  *handler
		config   *clpeer.ConfigSource
		tracker  *tracker
		app      *fiber.App
	}
)

// Conditions are the readiness conditions that an Entry meets.
var Conditions = []string{conditionConfig, conditionSlots, conditionServing}

// Listen opens the listeners and returns the callers' and the peers' address.
func (e *Entry) Listen() (caller, peer netip.AddrPort, err error) {
	if e.caller, err = net.Listen("tcp", e.Settings.GetListen().CallerAddr().String()); err != nil {
		return caller, peer, errors.Wrap(err, "listen for callers")
	}
	if e.peer, err = net.Listen("tcp", e.Settings.GetListen().PeerAddr().String()); err != nil {
		return caller, peer, errors.Wrap(err, "listen for peers")
	}
	return clpeer.AddrOf(e.caller), clpeer.AddrOf(e.peer), nil
}

// Run serves until ctx ends and all running requests have ended, or the drain
// timeout has passed.
func (e *Entry) Run(ctx context.Context) error {
	if e.caller == nil {
		if _, _, err := e.Listen(); err != nil {
			return err
		}
	}
	// Background work goes on while requests drain.
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	e.build(work)
	g, work := errgroup.WithContext(work)
	e.startLoops(work, g)
	g.Go(e.loopServe)
	g.Go(func() error {
		select {
		case <-ctx.Done():
		case <-work.Done():
		}
		e.drain()
		stop()
		return nil
	})
	err := g.Wait()
	e.ledgers.running.Wait()
	return err
}

func (e *Entry) startLoops(ctx context.Context, g *errgroup.Group) {
	for _, loop := range []func(context.Context) error{
		e.node.Run, e.config.Run, e.fleet.loopList, e.fleet.loopNotices, e.gate.loopExpire, e.grantors.run,
		e.caches.loop,
		e.demander.loop, e.evidence.loop, e.evidence.loopReport, e.sums.Run, e.loopReadiness,
	} {
		g.Go(func() error { return loop(ctx) })
	}
}

func (e *Entry) loopServe() error {
	if err := e.app.Listener(e.caller); err != nil {
		return errors.Wrap(err, "serve callers")
	}
	return nil
}

// loopReadiness reports ready when the entry has the highest revision of the
// peers that answer and knows the endpoints and who grants the endpoints' slots. After a while it does
// so without grantors, so that callers get refusals from it and not silence.
func (e *Entry) loopReadiness(ctx context.Context) error {
	e.Readiness.Meet(conditionServing)
	started := time.Now()
	configured := false
	for {
		configured = configured || e.views.load() != nil && e.node.CatchUp(ctx)
		if configured {
			e.Readiness.Meet(conditionConfig)
		}
		if configured && (e.demander.grantorsKnown() || time.Since(started) > grantorPatience) {
			e.Readiness.Meet(conditionSlots)
			e.log.Info("Entry is ready.", zap.Uint64("revision", e.views.Current().GetRevision()))
			return nil
		}
		if clwait.Pause(ctx, readinessInterval) != nil {
			return nil
		}
	}
}

// drain makes the balancer look elsewhere, then waits for running requests.
func (e *Entry) drain() {
	sh := e.Settings.GetShutdown()
	e.Readiness.Fail(conditionServing, "the process is shutting down")
	e.log.Info("Shutdown starts. New requests are served until the balancer has noticed.",
		zap.Duration("balancer_delay", sh.GetBalancerDelay().AsDuration()), zap.Int("running", e.tracker.running()))
	handover, done := context.WithTimeout(context.Background(), handoverTimeout)
	e.grantors.drain(handover)
	done()
	time.Sleep(sh.GetBalancerDelay().AsDuration())
	ctx, cancel := context.WithTimeout(context.Background(), sh.GetDrainTimeout().AsDuration())
	defer cancel()
	e.handler.closing.Store(true)
	if err := e.tracker.wait(ctx); err != nil {
		e.log.Warn("Drain timeout has passed. Running requests are cut off.", zap.Int("running", e.tracker.running()))
	}
	e.ledgers.flush(flushTimeout)
	if err := e.app.ShutdownWithTimeout(flushTimeout); err != nil {
		e.log.Warn("Connections of callers were closed.", zap.Error(err))
	}
	e.log.Info("Shutdown is complete.")
}

func (e *Entry) build(ctx context.Context) {
	s := e.Settings
	e.log = clobserve.Component(e.Logger, "entry")
	m := newMetrics(e.Metrics)
	store := &watchedStore{next: &clplatform.Store{Objects: e.Objects}, calls: m.storeCalls}
	transport := &clpeer.Transport{Token: s.GetPeer().GetToken(), Timeout: s.GetPeer().GetCallTimeout().AsDuration()}
	e.views = &views{}
	e.buildNode(transport)
	e.fleet = &fleet{
		node: e.node, instances: e.Instances, cloud: e.Cloud, interval: s.GetPlatform().GetInstancesInterval().AsDuration(),
		wait: s.GetPlatform().GetNoticeWait().AsDuration(), log: clobserve.Component(e.Logger, "fleet"),
	}
	e.fleet.init()
	e.buildSlots(store, transport, m)
	e.buildEvidence(transport)
	e.caches = &caches{
		gate: e.gate, fleet: e.fleet, observer: e.Observer, interval: s.GetEndpoint().GetLoadInterval().AsDuration(),
		log: clobserve.Component(e.Logger, "cache"),
	}
	b := s.GetBooking()
	e.ledgers = &ledgers{
		node: e.node, transport: transport, store: store, partitions: b.GetPartitions(), maxAnswer: int(b.GetAnswerLimit()),
		policy: clbooking.Policy{
			Linger: b.GetLinger().AsDuration(), OutcomeDelay: b.GetOutcomeDelay().AsDuration(), SealBytes: int(b.GetHeadLimit()),
		},
		ids: &clbooking.AttemptIDs{Boot: e.node.Member.Self.ID}, log: clobserve.Component(e.Logger, "booking"),
	}
	e.ledgers.init(ctx)
	e.buildHandler(ctx, m)
	e.connect()
}

func (e *Entry) buildNode(t *clpeer.Transport) {
	s := e.Settings
	e.node = &clpeer.Node{
		Member:    clpeer.MemberConfig(s.GetProcess(), s.GetPeer(), Role, clpeer.AddrOf(e.peer)),
		Transport: t, Listener: e.peer, Configs: e.views, Log: clobserve.Component(e.Logger, "peer"),
	}
	c := s.GetConfig()
	e.config = &clpeer.ConfigSource{
		Node: e.node, Objects: e.Objects, Watchers: int(c.GetWatchersPerDataCentre()), Wait: c.GetWatchWait().AsDuration(),
		PeerSilence: c.GetPeerSilence().AsDuration(), Log: clobserve.Component(e.Logger, "config"),
	}
}

func (e *Entry) buildSlots(store clstore.Store, t *clpeer.Transport, m *metrics) {
	s := e.Settings
	slotCfg := clslot.DefaultConfig()
	slotCfg.GrantLifetime = s.GetSlots().GetLifetime().AsDuration()
	slotCfg.IdleTimeout = s.GetSlots().GetIdleReturn().AsDuration()
	a := s.GetAdmission()
	e.gate = &gate{
		self: e.node.Member.Self.ID, fleet: e.fleet, views: e.views, log: clobserve.Component(e.Logger, "route"),
		kick: make(chan struct{}, 1), table: clroute.NewTable(clroute.Config{}), holder: clslot.NewHolder(slotCfg),
		crashes: clroute.NewCrashes(), queues: make(map[queueKey]*cladmission.Queue[*waiter]),
		budget: cladmission.NewBudget(cladmission.BudgetConfig{
			Ratio: float64(a.GetRetryBudgetPercent()) / 100, Window: retryWindow,
			Floor: int(a.GetRetryFloorPerSecond()) * int(retryWindow/time.Second),
		}),
		suspended: make(map[queueKey]bool), pinned: make(map[string]int), usedAt: make(map[queueKey]time.Time),
		exploredAt: make(map[queueKey]time.Time), explored: make(map[queueKey]int),
		rnd:      clpeer.NewRand(),
		queueCfg: cladmission.Config{MaxQueued: int(a.GetAccountQueueLimit())},
	}
	e.grantors = &grantors{
		node: e.node, fleet: e.fleet, views: e.views, observer: e.Observer, store: store, slotCfg: slotCfg,
		ttl: s.GetLease().GetTtl().AsDuration(), margin: s.GetLease().GetMargin().AsDuration(),
		groups: s.GetSlots().GetSlotGroups(), interval: s.GetEndpoint().GetLoadInterval().AsDuration(),
		log: clobserve.Component(e.Logger, "slots"), onLoad: e.gate.report, metrics: m,
	}
	e.grantors.init()
	e.demander = &demander{
		gate: e.gate, fleet: e.fleet, node: e.node, transport: t, local: e.grantors, groups: s.GetSlots().GetSlotGroups(),
		timeout: t.Timeout, log: clobserve.Component(e.Logger, "slots"),
	}
	e.demander.init()
}

func (e *Entry) buildEvidence(t *clpeer.Transport) {
	log, self := clobserve.Component(e.Logger, "rollout"), e.node.Member.Self
	patient := &clpeer.Transport{Token: t.Token, Timeout: reportTimeout(t.Timeout)}
	e.evidence = &evidence{
		self: self, views: e.views, timeout: t.Timeout, log: log, onSuspend: e.gate.suspend, addFact: e.node.AddFact,
		rank: func() []clmember.Member {
			return e.node.Rank(evidenceKey, clmember.Filter{Role: Role, DataCentre: self.DataCentre})
		},
		peer: func(addr netip.AddrPort, sums bool) clpeer.Evidence { return lo.Ternary(sums, patient, t).Peer(addr) },
	}
	e.evidence.init()
	e.sums = &clpeer.EvidenceSums{
		Self: self.ID, Holder: e.evidence.holder, Log: log,
		Peer: func(addr netip.AddrPort) clpeer.Evidence { return t.Peer(addr) },
	}
	e.sums.Init()
	e.evidence.sums = e.sums
}

func (e *Entry) buildHandler(ctx context.Context, m *metrics) {
	s := e.Settings
	e.tracker = &tracker{}
	e.handler = &handler{
		views: e.views, gate: e.gate, ledgers: e.ledgers, metrics: m, log: clobserve.Component(e.Logger, "entry"), base: ctx,
		maxAttempts: int(s.GetResume().GetAttempts()), ready: e.Readiness.Ready, tracker: e.tracker,
		transfers:    &transfers{log: clobserve.Component(e.Logger, "entry")},
		writeTimeout: s.GetRequests().GetWriteTimeout().AsDuration(),
		resendWait:   s.GetBooking().GetResendWait().AsDuration(),
		timeouts: clendpoint.Timeouts{
			Connect: s.GetEndpoint().GetConnectTimeout().AsDuration(), FirstByte: s.GetEndpoint().GetFirstByteTimeout().AsDuration(),
			BetweenReads: s.GetEndpoint().GetBetweenReadsTimeout().AsDuration(),
		},
		runner: &runner{
			gate: e.gate, fleet: e.fleet, client: e.Client, observer: e.Observer, node: e.node, evidence: e.evidence,
			log: clobserve.Component(e.Logger, "route"), boot: e.node.Member.Self.ID,
		},
	}
	r := s.GetRequests()
	e.app = fiber.New(fiber.Config{
		// Strings of a request are kept past its handler, by streams for instance.
		Immutable:             true,
		DisableStartupMessage: true, BodyLimit: int(r.GetBodyLimit()), ReadBufferSize: int(r.GetHeaderLimit()),
		IdleTimeout: r.GetIdleTimeout().AsDuration(), ReadTimeout: r.GetReadTimeout().AsDuration(),
		Concurrency: int(r.GetMaxConnections()), ErrorHandler: sendFiberError,
		// The buffer for a request's header goes back while its answer is a stream or its connection is idle.
		ReduceMemoryUsage: true,
	})
	e.handler.register(e.app)
}

// connect wires what the parts tell each other.
func (e *Entry) connect() {
	e.node.Bookings, e.node.Slots, e.node.Endpoints, e.node.Evidence = e.ledgers, e.grantors, e.fleet, e.sums
	e.node.OnFacts = e.learn
	e.node.OnMembers = func([]clmember.Member) {}
	e.fleet.onChange = func(set []endpoint, removed []string) {
		e.gate.setEndpoints(set, removed)
		e.grantors.removeEndpoints(removed)
	}
	e.fleet.onLeaving = e.gate.setLeaving
	e.views.onApply = func(v *view) {
		e.log.Info("Configuration applied.", zap.Uint64("revision", v.snapshot.GetRevision()))
		e.gate.applyView(v)
		e.evidence.applyView(v)
		e.ledgers.applyView(v)
	}
	e.node.Init()
}

// learn takes facts of peers and of this process.
func (e *Entry) learn(facts []clmember.Fact) {
	for _, f := range facts {
		switch f.Kind {
		case clmember.EndpointLeaving:
			e.fleet.learnLeaving(f)
		case clmember.VersionSuspended:
			if key, ok := parseVersionSubject(f.Subject); ok {
				e.gate.suspend(key)
			}
		case clmember.CrashFingerprint:
			e.gate.learnCrash(f)
		case clpeer.SlotGrantor:
			e.demander.learnGrantor(f)
		case clpeer.SlotsReleased:
			e.grantors.learnReleased(f)
		case clpeer.ControlHolder:
			e.evidence.learnControl(f)
		}
	}
}

// sendFiberError turns errors of the HTTP library into problem documents.
func sendFiberError(c *fiber.Ctx, err error) error {
	status := fiber.StatusInternalServerError
	var fe *fiber.Error
	if errors.As(err, &fe) {
		status = fe.Code
	}
	return (&Refusal{
		Status: status, Code: "http", Title: "Request refused", Detail: err.Error(),
		Remedy: "check the request's method, path, header size and body size", Run: RunNot,
	}).send(c)
}
