// This file defines the entry's part as grantor of slot groups.

package clentry

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/cllease"
	"github.com/chestnutlead/chestnutlead/clmember"
	"github.com/chestnutlead/chestnutlead/clpeer"
	"github.com/chestnutlead/chestnutlead/clslot"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clstore"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/samber/lo"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
)

const (
	grantorTick = 100 * time.Millisecond
	// grantorFactLifetime outlasts the gaps between renewals of the fact.
	grantorFactLifetime = 2 * time.Minute
	grantorFactEvery    = 30 * time.Second
	loadTimeout         = time.Second
	loadPollLimit       = 64
	firstFencing        = 1
)

type (
	// group is one slot group of which this process may be the grantor.
	group struct {
		number  uint32
		runner  *cllease.Runner
		grantor *clslot.Grantor
		state   cllease.State
		factAt  time.Time
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

		mu    sync.Mutex
		table []*group
	}
)

var _ clpeer.Slots = (*grantors)(nil)

func (s *grantors) init() {
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
	t := time.NewTicker(grantorTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			for _, gr := range s.table {
				s.step(gr, now)
			}
		}
	}
}

func (s *grantors) step(gr *group, now time.Time) {
	owner, ok := s.node.Owner("slots-"+strconv.Itoa(int(gr.number)), clmember.Filter{Role: s.node.Member.Self.Role})
	gr.runner.SetWanted(ok && owner.ID == s.node.Member.Self.ID)
	state := gr.runner.Current(now)
	s.mu.Lock()
	s.transition(gr, state, now)
	s.mu.Unlock()
	if (state.Held || state.Lapsed) && now.Sub(gr.factAt) > grantorFactEvery {
		gr.factAt = now
		s.announce(gr, state)
	}
}

// transition passes a change of the lease to the grantor.
func (s *grantors) transition(gr *group, state cllease.State, now time.Time) {
	was := gr.state
	gr.state = state
	switch {
	case state.Held && (!was.Held && !was.Lapsed || was.Fencing != state.Fencing):
		formerLapsed := now.Add(s.slotCfg.GrantLifetime)
		if state.Fencing == firstFencing {
			formerLapsed = now // There was no former holder.
		}
		gr.grantor.Acquired(clslot.Lease{
			Fencing: state.Fencing, Until: state.Until, Halvings: int(state.AllowanceHalvings),
			FormerLapsed: formerLapsed,
		})
		gr.factAt = time.Time{}
		s.setEndpoints(gr)
		gr.grantor.Recall(recalledLimits(gr.runner.Payload()))
		s.log.Info("Slot group acquired.", zap.Uint32("group", gr.number), zap.Uint64("fencing", state.Fencing))
	case state.Held:
		gr.grantor.Renewed(state.Fencing, state.Until)
		s.setEndpoints(gr)
		if list := gr.grantor.Remember(); len(list) > 0 {
			gr.runner.SetPayload(limitsPayload(list))
		}
	case state.Lapsed:
		if !was.Lapsed {
			s.log.Warn("Slot lease lapsed because the object API is unavailable. Granting continues at half.",
				zap.Uint32("group", gr.number))
		}
		gr.grantor.Unavailable()
		s.setEndpoints(gr)
	case was.Held || was.Lapsed:
		gr.grantor.Lost()
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

// limitsPayload encodes limits for the lease's payload.
func limitsPayload(list []clslot.Remembered) []byte {
	m := &clstate.SlotLimits{Limits: lo.Map(list, func(r clslot.Remembered, _ int) *clstate.SlotLimit {
		return &clstate.SlotLimit{EndpointId: r.Endpoint, BootId: r.BootID, Limit: uint32(r.Limit)}
	})}
	b, err := proto.Marshal(m)
	if err != nil { // Strings from JSON are valid UTF-8, so this cannot fail.
		return nil
	}
	return b
}

// recalledLimits decodes a former holder's payload; one that cannot be decoded
// costs a ramp-up from the cold limit.
func recalledLimits(payload []byte) []clslot.Remembered {
	m := &clstate.SlotLimits{}
	if proto.Unmarshal(payload, m) != nil {
		return nil
	}
	return lo.Map(m.GetLimits(), func(l *clstate.SlotLimit, _ int) clslot.Remembered {
		return clslot.Remembered{Endpoint: l.GetEndpointId(), BootID: l.GetBootId(), Limit: int(l.GetLimit())}
	})
}

func limitsOf(svc *clstate.Service) clslot.Limits {
	l := clslot.Limits{Cold: int(svc.GetColdSlots()), Max: int(svc.GetMaxSlots()), WarmAfter: int(svc.GetWarmAfter())}
	l.Cold = max(l.Cold, 1)
	l.Max = max(l.Max, l.Cold)
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
		g := grantToWire(gr.grantor.Demand(r.GetFrom(), demandFromWire(d), now))
		if l := s.fleet.load(d.GetEndpointId()); l.BootID != "" {
			g.Load = loadToWire(l, now)
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
		s.table[groupOf(d.GetEndpointId(), s.groups)].grantor.Return(r.GetFrom(), demandFromWire(d), now)
	}
	return &clwire.ReturnSlotsResponse{}, nil
}

// loopLoads reads the load reports of the endpoints whose slots this process grants.
func (s *grantors) loopLoads(ctx context.Context) error {
	t := time.NewTicker(s.interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		var g errgroup.Group
		g.SetLimit(loadPollLimit)
		for _, e := range s.granted() {
			g.Go(func() error {
				s.pollLoad(ctx, e.id, e.addr)
				return nil
			})
		}
		_ = g.Wait() // pollLoad logs its failures.
	}
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
	gr.grantor.Report(id, clslot.Load{
		BootID: l.BootID, ProducedAt: l.ProducedAt, Running: l.Running + l.Waiting, Cold: l.Cold,
	}, now)
	s.metrics.limit.WithLabelValues(id).Set(float64(gr.grantor.Limit(id)))
	s.metrics.counted.WithLabelValues(id).Set(float64(gr.grantor.Counted(id, now)))
	s.mu.Unlock()
	s.onLoad(id, l)
}
