// This file defines Node, one process's part in the fleet.

package clpeer

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/clmember"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clwait"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const (
	callWorkers     = 8
	callQueueLength = 1024
	tickInterval    = 50 * time.Millisecond
	leaveTimeout    = time.Second
	tellParallel    = 64
	// drainingLifetime outlasts the longest drain.
	drainingLifetime = 2 * time.Hour
)

// Bounds of what an Exchange carries, about 6 KB. With 8 of each, the default of
// clmember, the facts on 120 workers took 16 s to reach 390 members when a fifth
// of both was lost, and the deaths 51 s.
const (
	MaxChanges = 32
	MaxFacts   = 32
)

// Kinds of facts beside those of clmember.
const (
	// SlotGrantor names the process that leases the slots of a slot group.
	SlotGrantor = clmember.FactKind(clwire.FactKind_FACT_KIND_SLOT_GRANTOR)
	// ControlHolder names the process that holds the control lease.
	ControlHolder = clmember.FactKind(clwire.FactKind_FACT_KIND_CONTROL_HOLDER)
	// PlanDecided names a plan that an operator has confirmed or rejected.
	PlanDecided = clmember.FactKind(clwire.FactKind_FACT_KIND_PLAN_DECIDED)
	// Draining names a process that is shutting down; it owns no key any more.
	Draining = clmember.FactKind(clwire.FactKind_FACT_KIND_DRAINING)
	// SlotsReleased names a slot group whose lease was released.
	SlotsReleased = clmember.FactKind(clwire.FactKind_FACT_KIND_SLOTS_RELEASED)
)

type (
	// Configs holds the configuration that the process applies.
	Configs interface {
		// Current returns the applied snapshot, or nil if there is none.
		Current() *clstate.ConfigSnapshot
		// Apply takes a snapshot of a higher revision and reports whether it did.
		Apply(*clstate.ConfigSnapshot) bool
	}

	// Bookings writes other processes' booking records.
	Bookings interface {
		ClaimBookings(context.Context, *clwire.ClaimBookingsRequest) (*clwire.ClaimBookingsResponse, error)
	}

	// Slots leases endpoints' slots to entries.
	Slots interface {
		GrantSlots(context.Context, *clwire.GrantSlotsRequest) (*clwire.GrantSlotsResponse, error)
		ReturnSlots(context.Context, *clwire.ReturnSlotsRequest) (*clwire.ReturnSlotsResponse, error)
	}

	// Evidence takes entries' outcomes of versions.
	Evidence interface {
		ReportEvidence(context.Context, *clwire.ReportEvidenceRequest) (*clwire.ReportEvidenceResponse, error)
	}

	// Endpoints tells peers which endpoints this process knows.
	Endpoints interface {
		ListEndpoints() *clwire.ListEndpointsResponse
	}

	// Node runs the membership core over twirp. Fields are set before Run;
	// Bookings, Slots, Evidence and Endpoints are nil in processes that do not
	// offer them.
	Node struct {
		Member    clmember.Config
		Transport *Transport
		Listener  net.Listener
		Configs   Configs
		Bookings  Bookings
		Slots     Slots
		Evidence  Evidence
		Endpoints Endpoints
		// OnFacts is called with new and renewed facts, in order, by one goroutine at a time.
		OnFacts func([]clmember.Fact)
		// OnMembers is called with members that are new or changed.
		OnMembers func([]clmember.Member)
		Log       *zap.Logger

		mu        sync.Mutex
		core      *clmember.Core
		calls     chan clmember.Call
		lastHeard time.Time
		// draining has the members that own nothing any more.
		draining  map[string]bool
		callbacks sync.Mutex
	}
)

// Init prepares the core; it is called once, before Run and all other methods.
func (n *Node) Init() {
	n.Member.MaxChanges = cmp.Or(n.Member.MaxChanges, MaxChanges)
	n.Member.MaxFacts = cmp.Or(n.Member.MaxFacts, MaxFacts)
	n.core = clmember.New(n.Member, time.Now())
	n.calls = make(chan clmember.Call, callQueueLength)
	n.draining = make(map[string]bool)
}

// Run serves peers and probes them until ctx ends; then it announces that the
// process leaves.
func (n *Node) Run(ctx context.Context) error {
	srv := NewServer(n.Transport.Guard(clwire.NewPeerServer(&server{n: n})))
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return n.loopServe(srv) })
	g.Go(func() error { return n.loopTick(ctx) })
	for range callWorkers {
		g.Go(func() error { return n.loopCalls(ctx) })
	}
	g.Go(func() error {
		<-ctx.Done()
		n.leave()
		return srv.Close()
	})
	if err := g.Wait(); err != nil && !errors.Is(err, context.Canceled) {
		return errors.Wrap(err, "peer node")
	}
	return nil
}

func (n *Node) loopServe(srv *http.Server) error {
	if err := srv.Serve(n.Listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve peers")
	}
	return nil
}

func (n *Node) loopTick(ctx context.Context) error {
	tick := func(time.Time) { n.do(func(now time.Time) clmember.Output { return n.core.Tick(now) }) }
	tick(time.Now())
	return clwait.Every(ctx, tickInterval, tick)
}

func (n *Node) loopCalls(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case c := <-n.calls:
			n.call(ctx, c)
		}
	}
}

// do runs one event on the core and carries out its output.
func (n *Node) do(event func(now time.Time) clmember.Output) {
	n.mu.Lock()
	out := event(time.Now())
	n.mu.Unlock()
	n.carryOut(out)
}

func (n *Node) carryOut(out clmember.Output) {
	for _, c := range out.Calls {
		select {
		case n.calls <- c:
		default:
			// The core takes an unreported call as lost after its timeout.
			n.Log.Warn("Call queue is full. A call to a peer is dropped.", zap.String("peer", c.To.ID))
		}
	}
	if len(out.Facts) == 0 && len(out.Changed) == 0 {
		return
	}
	n.callbacks.Lock()
	defer n.callbacks.Unlock()
	n.noteDraining(out)
	for _, m := range out.Changed {
		n.Log.Info("Member changed.", zap.String("member", m.ID), zap.Stringer("state", m.State))
		if !m.Live() {
			n.Transport.Forget(m.Address)
		}
	}
	if len(out.Changed) > 0 && n.OnMembers != nil {
		n.OnMembers(out.Changed)
	}
	if len(out.Facts) > 0 && n.OnFacts != nil {
		n.OnFacts(out.Facts)
	}
}

func (n *Node) noteDraining(out clmember.Output) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, f := range out.Facts {
		if f.Kind == Draining {
			n.draining[f.Subject] = true
		}
	}
	for _, m := range out.Changed {
		if !m.Live() {
			delete(n.draining, m.ID)
		}
	}
}

func (n *Node) leave() {
	n.mu.Lock()
	out := n.core.Leave(time.Now())
	n.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	var g errgroup.Group
	for _, c := range out.Calls {
		g.Go(func() error {
			n.call(ctx, c)
			return nil
		})
	}
	_ = g.Wait() // Calls report their failures to the core.
}

// heard notes that a peer was heard.
func (n *Node) heard() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastHeard = time.Now()
}

// LastHeard returns when a peer was last heard; zero if never.
func (n *Node) LastHeard() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastHeard
}

// AddFact spreads a fact of this process.
func (n *Node) AddFact(f clmember.Fact) {
	n.do(func(now time.Time) clmember.Output { return n.core.AddFact(now, f) })
}

// Facts returns the facts that hold.
func (n *Node) Facts() []clmember.Fact {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Facts(time.Now())
}

// Members returns all other members that are known.
func (n *Node) Members() []clmember.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Members()
}

// Owner returns the first of Rank.
func (n *Node) Owner(key string, f clmember.Filter) (clmember.Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.draining) == 0 {
		return n.core.Owner(key, f)
	}
	rank := n.rank(key, f)
	if len(rank) == 0 {
		return clmember.Member{}, false
	}
	return rank[0], true
}

// Rank returns the live members that are not draining, in the order in which
// they should own the key.
func (n *Node) Rank(key string, f clmember.Filter) []clmember.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.rank(key, f)
}

func (n *Node) rank(key string, f clmember.Filter) []clmember.Member {
	return slices.DeleteFunc(n.core.Rank(key, f), func(m clmember.Member) bool { return n.draining[m.ID] })
}

// Drain announces that this process is shutting down. It goes on answering,
// but owns no key any more.
func (n *Node) Drain() {
	id := n.Self().ID
	n.AddFact(clmember.Fact{ID: "draining/" + id, Kind: Draining, Lifetime: drainingLifetime, Subject: id, Urgent: true})
}

// Self returns this process as a member.
func (n *Node) Self() clmember.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.core.Self()
}
