// This file defines the entry's part as grantor of slot groups.

package clentry

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/cllease"
	"github.com/chestnutlead/chestnutlead/clmember"
	"github.com/chestnutlead/chestnutlead/clpeer"
	"github.com/chestnutlead/chestnutlead/clslot"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clstore"
	"github.com/chestnutlead/chestnutlead/clwait"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/samber/lo"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const (
	grantorTick = 100 * time.Millisecond
	// rankEvery bounds how often a process ranks the members for each group: one
	// ranking of 390 members takes 0.27 ms.
	rankEvery = time.Second
	// grantorFactLifetime outlasts the gaps between renewals of the fact.
	grantorFactLifetime = 2 * time.Minute
	grantorFactEvery    = 30 * time.Second
	loadTimeout         = time.Second
	// joinSettle lets processes that start together find each other before they
	// take leases, which they would otherwise have to hand on at once.
	joinSettle           = 1500 * time.Millisecond
	releasePoll          = 5 * time.Millisecond
	releasedFactLifetime = time.Minute
	loadPollLimit        = 64
	// candidates of each group watch its lease, so that one of them notices its
	// expiry as soon as it happens.
	candidates = 2
)

type (
	// group is one slot group of which this process may be the grantor.
	group struct {
		number  uint32
		runner  *cllease.Runner
		grantor *clslot.Grantor
		state   cllease.State
		// granting says that the grantor has a term, which a lease that lapsed
		// after it was lost does not bring back.
		granting bool
		factAt   time.Time
		// candidate is the result of the ranking at rankedAt.
		candidate bool
		rankedAt  time.Time
	}

	// grantors runs the groups that this process holds the leases of.
	grantors struct {
		node     *clpeer.Node
		fleet    *fleet
		views    *views
		observer clendpoint.Observer
		store    clstore.Store
		slotCfg  clslot.Config
		ttl      time.Duration
		margin   time.Duration
		groups   uint32
		interval time.Duration
		log      *zap.Logger
		// onLoad is called with each load report.
		onLoad  func(id string, l clendpoint.Load)
		metrics *metrics

		started  time.Time
		draining atomic.Bool
		mu       sync.Mutex
		table    []*group
	}
)

var _ clpeer.Slots = (*grantors)(nil)

func (s *grantors) init() {
	s.started = time.Now()
	for n := range s.groups {
		s.table = append(s.table, &group{
			number:  n,
			grantor: clslot.NewGrantor(s.slotCfg),
			runner: &cllease.Runner{
				Config: cllease.Config{
					Key: "lease/slots-" + strconv.Itoa(int(n)), Holder: s.node.Member.Self.ID,
					TTL: s.ttl, Margin: s.margin,
				},
				Store: s.store,
			},
		})
	}
}

// run keeps the leases of the groups for which this process ranks first.
func (s *grantors) run(ctx context.Context) error {
	g, ctx := errgroup.WithContext(ctx)
	for _, gr := range s.table {
		gr.runner.SetWanted(false)
		g.Go(func() error { return gr.runner.Run(ctx) })
	}
	g.Go(func() error { return s.loop(ctx) })
	g.Go(func() error { return s.loopLoads(ctx) })
	return g.Wait()
}

func (s *grantors) loop(ctx context.Context) error {
	return clwait.Every(ctx, grantorTick, func(now time.Time) {
		for _, gr := range s.table {
			s.step(gr, now)
		}
	})
}

func (s *grantors) step(gr *group, now time.Time) {
	state := gr.runner.Current(now)
	// A holder keeps its groups when another process ranks higher, because each
	// change of the grantor holds up grants.
	wanted := state.Held || state.Lapsed || s.candidate(gr, now) && time.Since(s.started) >= joinSettle
	if s.draining.Load() {
		wanted = false
	}
	gr.runner.SetWanted(wanted)
	s.mu.Lock()
	s.transition(gr, state, now)
	s.mu.Unlock()
	if (state.Held || state.Lapsed) && now.Sub(gr.factAt) > grantorFactEvery {
		gr.factAt = now
		s.announce(gr, state)
	}
}

// candidate reports whether this process is among those that take the group's
// lease when it is free.
func (s *grantors) candidate(gr *group, now time.Time) bool {
	if now.Sub(gr.rankedAt) < rankEvery {
		return gr.candidate
	}
	gr.rankedAt = now
	self := s.node.Member.Self
	rank := s.node.Rank("slots-"+strconv.Itoa(int(gr.number)), clmember.Filter{Role: self.Role})
	gr.candidate = slices.ContainsFunc(rank[:min(candidates, len(rank))], func(m clmember.Member) bool { return m.ID == self.ID })
	return gr.candidate
}

// drain hands all groups over to successors: it stops granting, leaves the
// complete state with the released lease and tells the peers.
func (s *grantors) drain(ctx context.Context) {
	s.draining.Store(true)
	s.node.Drain()
	now := time.Now()
	var held []*group
	s.mu.Lock()
	for _, gr := range s.table {
		if !gr.runner.Current(now).Held {
			continue
		}
		held = append(held, gr)
		gr.grantor.LeaseLost()
		gr.state, gr.granting = cllease.State{}, false
		gr.runner.SetPayload(encodeStates(gr.grantor.State(), true))
		gr.runner.SetWanted(false)
	}
	s.mu.Unlock()
	for _, gr := range held {
		for !gr.runner.Released() && clwait.Pause(ctx, releasePoll) == nil {
		}
		n := strconv.Itoa(int(gr.number))
		s.node.AddFact(clmember.Fact{
			ID: "released/" + n + "/" + s.node.Member.Self.ID, Kind: clpeer.SlotsReleased,
			Lifetime: releasedFactLifetime, Subject: n, Urgent: true,
		})
	}
	s.log.Info("Slot groups handed over.", zap.Int("groups", len(held)))
}

// learnReleased looks at once at a lease that was released.
func (s *grantors) learnReleased(f clmember.Fact) {
	n, err := strconv.ParseUint(f.Subject, 10, 32)
	if err != nil || n >= uint64(len(s.table)) {
		return
	}
	s.table[n].runner.Reread()
}

// transition passes a change of the lease to the grantor.
func (s *grantors) transition(gr *group, state cllease.State, now time.Time) {
	was := gr.state
	gr.state = state
	switch {
	case state.Held && (!gr.granting || was.Fencing != state.Fencing):
		gr.granting = true
		formerLapsed := now // No grant outlives its grantor's lease.
		if _, released := gr.runner.Inherited(); released {
			formerLapsed = now.Add(s.slotCfg.GrantLifetime)
		}
		gr.grantor.LeaseAcquired(clslot.Lease{
			Fencing: state.Fencing, ExpiresAt: state.Until, Halvings: int(state.AllowanceHalvings),
			FormerGrantsEnd: formerLapsed,
		})
		gr.factAt = time.Time{}
		s.setEndpoints(gr)
		inherit(gr, now)
		s.log.Info("Slot group acquired.", zap.Uint32("group", gr.number), zap.Uint64("fencing", state.Fencing))
	case state.Held:
		gr.grantor.LeaseRenewed(state.Fencing, state.Until)
		s.setEndpoints(gr)
		// Only the limits hold for a successor to a grantor that did not stop. The
		// charges of hundreds of entries would make each renewal large.
		gr.runner.SetPayload(encodeStates(gr.grantor.LimitState(), false))
	case state.Lapsed && gr.granting:
		if !was.Lapsed {
			s.log.Warn("Slot lease lapsed because the object API is unavailable. Granting continues at half.",
				zap.Uint32("group", gr.number))
		}
		gr.grantor.LeaseStoreUnavailable()
		s.setEndpoints(gr)
	case gr.granting:
		gr.granting = false
		gr.grantor.LeaseLost()
		s.log.Info("Slot group given up.", zap.Uint32("group", gr.number), zap.String("holder", state.Holder))
	}
}

// setEndpoints keeps the grantor's endpoints equal to the fleet's part of the group.
func (s *grantors) setEndpoints(gr *group) {
	v := s.views.load()
	if v == nil {
		return
	}
	for _, e := range s.fleet.all() {
		if groupOf(e.id, s.groups) != gr.number {
			continue
		}
		if svc := v.services[e.service]; svc != nil {
			gr.grantor.SetEndpoint(e.id, limitsOf(svc))
		}
	}
}

// inherit takes over what the former holder left with the lease.
func inherit(gr *group, now time.Time) {
	payload, released := gr.runner.Inherited()
	states, complete := decodeStates(payload)
	if released && complete {
		gr.grantor.RestoreState(states, now)
	} else {
		gr.grantor.RestoreLimits(states)
	}
}

func limitsOf(svc *clstate.Service) clslot.Limits {
	l := clslot.Limits{ColdSlots: int(svc.GetColdSlots()), MaxSlots: int(svc.GetMaxSlots()), WarmAfter: int(svc.GetWarmAfter())}
	l.ColdSlots = max(l.ColdSlots, 1)
	l.MaxSlots = max(l.MaxSlots, l.ColdSlots)
	l.WarmAfter = max(l.WarmAfter, 1)
	return l
}

// removeEndpoints drops endpoints that the platform no longer lists.
func (s *grantors) removeEndpoints(ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.table[groupOf(id, s.groups)].grantor.RemoveEndpoint(id)
	}
}

func (s *grantors) announce(gr *group, state cllease.State) {
	s.node.AddFact(clmember.Fact{
		ID: fmt.Sprintf("slots/%d/%d", gr.number, state.Fencing), Kind: clpeer.SlotGrantor,
		Lifetime: grantorFactLifetime, Subject: strconv.Itoa(int(gr.number)),
		Detail: fmt.Sprintf("%s %d", s.node.Member.Self.Address, state.Fencing), Urgent: true,
	})
}

// GrantSlots implements clpeer.Slots.
func (s *grantors) GrantSlots(_ context.Context, r *clwire.GrantSlotsRequest) (*clwire.GrantSlotsResponse, error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	resp := &clwire.GrantSlotsResponse{}
	for _, d := range r.GetDemands() {
		gr := s.table[groupOf(d.GetEndpointId(), s.groups)]
		g := grantToWire(gr.grantor.HandleDemand(r.GetFrom(), demandFromWire(d), now))
		if l := s.fleet.load(d.GetEndpointId()); l.BootID != "" {
			g.Load = loadToWire(l, now)
			if g.BootId == l.BootID {
				g.BootId = ""
			}
		}
		resp.Grants = append(resp.Grants, g)
	}
	return resp, nil
}

// ReturnSlots implements clpeer.Slots.
func (s *grantors) ReturnSlots(_ context.Context, r *clwire.ReturnSlotsRequest) (*clwire.ReturnSlotsResponse, error) {
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, d := range r.GetDemands() {
		s.table[groupOf(d.GetEndpointId(), s.groups)].grantor.HandleReturn(r.GetFrom(), demandFromWire(d), now)
	}
	return &clwire.ReturnSlotsResponse{}, nil
}

// loopLoads reads the load reports of the endpoints whose slots this process grants.
func (s *grantors) loopLoads(ctx context.Context) error {
	return clwait.Every(ctx, s.interval, func(time.Time) {
		var g errgroup.Group
		g.SetLimit(loadPollLimit)
		for _, e := range s.granted() {
			g.Go(func() error {
				s.pollLoad(ctx, e.id, e.addr)
				return nil
			})
		}
		_ = g.Wait() // pollLoad logs its failures.
	})
}

func (s *grantors) granted() []endpoint {
	s.mu.Lock()
	held := lo.Map(s.table, func(gr *group, _ int) bool { return gr.state.Held || gr.state.Lapsed })
	s.mu.Unlock()
	return lo.Filter(s.fleet.all(), func(e endpoint, _ int) bool { return held[groupOf(e.id, s.groups)] })
}

func (s *grantors) pollLoad(ctx context.Context, id string, addr netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	l, err := s.observer.Load(ctx, addr)
	if err != nil {
		s.log.Debug("Load report cannot be read.", zap.String("endpoint", id), zap.Error(err))
		return
	}
	now := time.Now()
	s.mu.Lock()
	gr := s.table[groupOf(id, s.groups)]
	gr.grantor.ApplyLoad(id, clslot.Load{
		BootID: l.BootID, ProducedAt: l.ProducedAt, Running: l.Running + l.Waiting, Cold: l.Cold,
	}, now)
	s.metrics.limit.WithLabelValues(id).Set(float64(gr.grantor.Limit(id)))
	s.metrics.counted.WithLabelValues(id).Set(float64(gr.grantor.CountedRequests(id, now)))
	s.mu.Unlock()
	s.onLoad(id, l)
}
