// This file defines how the entry asks grantors for slots.

package clentry

import (
	"cmp"
	"context"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/clmember"
	"github.com/chestnutlead/chestnutlead/clpeer"
	"github.com/chestnutlead/chestnutlead/clroute"
	"github.com/chestnutlead/chestnutlead/clslot"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/samber/lo"
	"go.uber.org/zap"
)

const (
	demandEvery = 20 * time.Millisecond
	// deniedPause is how long an endpoint that granted nothing is not asked again.
	deniedPause = 40 * time.Millisecond
	// exploreEvery is the time between two looks at endpoints that are not used,
	// and exploreWhile how long after a request a version is looked after.
	exploreEvery = 250 * time.Millisecond
	exploreWhile = 2 * time.Second
)

type (
	// grantorAddress is who grants the slots of a group.
	grantorAddress struct {
		addr    netip.AddrPort
		fencing uint64
	}

	// demander asks grantors for slots and applies their answers.
	demander struct {
		gate      *gate
		fleet     *fleet
		node      *clpeer.Node
		transport *clpeer.Transport
		// local is this process's own grantor.
		local   clpeer.Slots
		groups  uint32
		timeout time.Duration
		log     *zap.Logger

		mu       sync.Mutex
		grantors map[uint32]grantorAddress
		asking   map[uint32]bool
		denied   map[string]time.Time
		calls    sync.WaitGroup
	}
)

func (d *demander) init() {
	d.grantors = make(map[uint32]grantorAddress)
	d.asking = make(map[uint32]bool)
	d.denied = make(map[string]time.Time)
}

func groupOf(endpointID string, groups uint32) uint32 {
	return uint32(xxhash.Sum64String(endpointID) % uint64(groups))
}

// learnGrantor takes a fact that names a group's grantor; a higher fencing
// number replaces a lower one.
func (d *demander) learnGrantor(f clmember.Fact) {
	group, err := strconv.ParseUint(f.Subject, 10, 32)
	if err != nil {
		return
	}
	g, ok := parseGrantor(f.Detail)
	if !ok {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if g.fencing >= d.grantors[uint32(group)].fencing {
		d.grantors[uint32(group)] = g
	}
}

func parseGrantor(detail string) (grantorAddress, bool) {
	addrText, fencingText, _ := strings.Cut(detail, " ")
	addr, err := netip.ParseAddrPort(addrText)
	if err != nil {
		return grantorAddress{}, false
	}
	fencing, err := strconv.ParseUint(fencingText, 10, 64)
	return grantorAddress{addr: addr, fencing: fencing}, err == nil
}

// grantorsKnown reports whether every group with an endpoint has a grantor.
func (d *demander) grantorsKnown() bool {
	endpoints := d.fleet.all()
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(endpoints) > 0 && lo.EveryBy(endpoints, func(e endpoint) bool {
		_, ok := d.grantors[groupOf(e.id, d.groups)]
		return ok
	})
}

// loop sends demands that are due, and at once when requests wait.
func (d *demander) loop(ctx context.Context) error {
	t := time.NewTicker(demandEvery)
	defer t.Stop()
	defer d.calls.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		case <-d.gate.kick:
		}
		d.round(ctx)
	}
}

func (d *demander) round(ctx context.Context) {
	now := time.Now()
	wanted := d.gate.wanted(now, d.deniedRecently(now))
	byGroup := lo.GroupBy(lo.Keys(wanted), func(id string) uint32 { return groupOf(id, d.groups) })
	for group, ids := range byGroup {
		addr, ok := d.begin(group)
		if !ok {
			continue
		}
		demands := d.gate.demands(ids, wanted, now)
		d.calls.Add(1)
		go d.run(ctx, group, addr, demands)
	}
}

// begin reserves the group's one outstanding call.
func (d *demander) begin(group uint32) (netip.AddrPort, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	g, ok := d.grantors[group]
	if !ok || d.asking[group] {
		return netip.AddrPort{}, false
	}
	d.asking[group] = true
	return g.addr, true
}

// run makes one call to a grantor.
func (d *demander) run(ctx context.Context, group uint32, addr netip.AddrPort, demands []clslot.Demand) {
	defer d.calls.Done()
	ctx, cancel := context.WithTimeout(ctx, d.timeout)
	defer cancel()
	self := d.node.Self()
	req := &clwire.GrantSlotsRequest{From: self.ID, Demands: lo.Map(demands, func(x clslot.Demand, _ int) *clwire.SlotDemand { return demandToWire(x) })}
	var resp *clwire.GrantSlotsResponse
	var err error
	if addr == self.Address {
		resp, err = d.local.GrantSlots(ctx, req)
	} else {
		resp, err = d.transport.Peer(addr).GrantSlots(ctx, req)
	}
	d.mu.Lock()
	d.asking[group] = false
	d.mu.Unlock()
	if err != nil {
		d.log.Debug("Grantor cannot be reached.", zap.Uint32("group", group), zap.Stringer("grantor", addr), zap.Error(err))
		return
	}
	d.apply(resp)
}

func (d *demander) apply(resp *clwire.GrantSlotsResponse) {
	now := time.Now()
	for _, g := range resp.GetGrants() {
		if l := g.GetLoad(); l != nil {
			d.gate.report(g.GetEndpointId(), loadFromWire(l, now))
		}
		if !d.gate.applyGrant(grantFromWire(g), now) {
			d.mu.Lock()
			d.denied[g.GetEndpointId()] = now
			d.mu.Unlock()
		}
	}
}

func (d *demander) deniedRecently(now time.Time) map[string]bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	recent := make(map[string]bool, len(d.denied))
	for id, at := range d.denied {
		if now.Sub(at) > deniedPause {
			delete(d.denied, id)
			continue
		}
		recent[id] = true
	}
	return recent
}

// wanted returns the endpoints to ask for slots, with the requests that wait for each.
func (g *gate) wanted(now time.Time, denied map[string]bool) map[string]int {
	g.mu.Lock()
	defer g.mu.Unlock()
	wanted := make(map[string]int)
	for _, id := range g.holder.EndpointsDue(now) {
		wanted[id] = 0
	}
	for id, n := range g.pinned {
		wanted[id] += n
	}
	for key, q := range g.queues {
		if n := q.Len(); n > 0 {
			g.spread(key, n, denied, wanted)
		}
		g.explore(key, denied, wanted, now)
	}
	return wanted
}

// explore asks for a slot at one endpoint after the other that this entry does
// not use. Requests go to endpoints with slots, so one that has become live, or
// whose data centre is back, would otherwise get none until the others are full.
func (g *gate) explore(key queueKey, denied map[string]bool, wanted map[string]int, now time.Time) {
	if now.Sub(g.usedAt[key]) > exploreWhile || now.Sub(g.exploredAt[key]) < exploreEvery {
		return
	}
	g.exploredAt[key] = now
	ids := g.ownPart(g.candidates(key))
	for range ids {
		g.explored[key]++
		id := ids[g.explored[key]%len(ids)]
		if !denied[id] && g.holder.Available(id, now) == 0 && g.holder.InUse(id) == 0 {
			wanted[id]++
			return
		}
	}
}

// spread divides n waiting requests among the endpoints of a version, the
// least loaded first.
func (g *gate) spread(key queueKey, n int, denied map[string]bool, wanted map[string]int) {
	free := func(id string, _ int) bool { return !denied[id] }
	all := g.candidates(key)
	own := g.ownPart(all)
	ids := lo.Filter(own, free)
	if len(ids) == 0 && len(own) < len(all) {
		// The entry's own part is full; the others are its reserve.
		ids = lo.Filter(all, free)
	}
	if len(ids) == 0 {
		return
	}
	share := (n + len(ids) - 1) / len(ids)
	for _, id := range ids {
		if n <= 0 {
			return
		}
		wanted[id] += min(share, n)
		n -= share
	}
}

// ownPart keeps the order of the endpoints, but only those of the entry's part.
func (g *gate) ownPart(ids []string) []string {
	if len(ids) <= clroute.SubsetSize {
		return ids
	}
	part := lo.Keyify(clroute.Subset(g.self, ids, clroute.SubsetSize))
	return lo.Filter(ids, func(id string, _ int) bool { return lo.HasKey(part, id) })
}

// candidates returns the endpoints of a version that may get new work, the
// least loaded first. Endpoints with equal loads come in an order that differs
// between entries, so that entries do not ask for the same slots first.
func (g *gate) candidates(key queueKey) []string {
	type candidate struct {
		id   string
		load int
		rank uint64
	}
	v := g.views.load()
	var list []candidate
	for _, e := range g.fleet.all() {
		if _, leaving := g.fleet.isLeaving(e.id); leaving || e.service != key.service || e.version != key.version || v.out[e.dataCentre] || !v.admits(e) {
			continue
		}
		l := g.fleet.load(e.id)
		list = append(list, candidate{e.id, l.Running + l.Waiting, xxhash.Sum64String(g.self + e.id)})
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(a.rank, b.rank))
	})
	return lo.Map(list, func(c candidate, _ int) string { return c.id })
}

func (g *gate) demands(ids []string, waiting map[string]int, now time.Time) []clslot.Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	demands := make([]clslot.Demand, 0, len(ids))
	for _, id := range ids {
		demands = append(demands, g.holder.BuildDemand(id, waiting[id], now))
		g.refreshSlots(id, now)
	}
	return demands
}

// applyGrant takes an answer; it reports whether slots became available.
func (g *gate) applyGrant(gr clslot.Grant, now time.Time) bool {
	e, ok := g.fleet.get(gr.Endpoint)
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.holder.Available(gr.Endpoint, now)
	if !g.holder.ApplyGrant(gr, now) {
		return false
	}
	if _, leaving := g.fleet.isLeaving(gr.Endpoint); leaving {
		g.holder.DropIdleSlots(gr.Endpoint)
	}
	after := g.holder.Available(gr.Endpoint, now)
	g.refreshSlots(gr.Endpoint, now)
	if ok {
		g.pump(queueKey{e.service, e.version}, now)
	}
	return after > before
}

func demandToWire(d clslot.Demand) *clwire.SlotDemand {
	return &clwire.SlotDemand{
		EndpointId: d.Endpoint, Sequence: d.Sequence, InUse: uint32(d.InUse), Held: uint32(d.Held),
		Carried: uint32(d.Carried), Fencing: d.Fencing, Wanted: uint32(d.Wanted),
		Healthy: uint32(d.Healthy), Failed: uint32(d.Failed),
		FirstTokenMs: uint32(d.FirstTokenTime.Milliseconds()), Exclusive: d.Exclusive,
	}
}

func demandFromWire(d *clwire.SlotDemand) clslot.Demand {
	return clslot.Demand{
		Endpoint: d.GetEndpointId(), Sequence: d.GetSequence(), InUse: int(d.GetInUse()), Held: int(d.GetHeld()),
		Carried: int(d.GetCarried()), Fencing: d.GetFencing(), Wanted: int(d.GetWanted()),
		Healthy: int(d.GetHealthy()), Failed: int(d.GetFailed()),
		FirstTokenTime: time.Duration(d.GetFirstTokenMs()) * time.Millisecond, Exclusive: d.GetExclusive(),
	}
}

func grantToWire(g clslot.Grant) *clwire.SlotGrant {
	return &clwire.SlotGrant{
		EndpointId: g.Endpoint, Sequence: g.Sequence, Slots: uint32(g.Slots), LifetimeMs: g.Lifetime.Milliseconds(),
		Fencing: g.Fencing, Refused: uint32(g.Refused), Exclusive: g.Exclusive, BootId: g.BootID,
	}
}

func grantFromWire(g *clwire.SlotGrant) clslot.Grant {
	return clslot.Grant{
		Endpoint: g.GetEndpointId(), Sequence: g.GetSequence(), Slots: int(g.GetSlots()),
		Lifetime: time.Duration(g.GetLifetimeMs()) * time.Millisecond, Fencing: g.GetFencing(),
		Refused: clslot.Refusal(g.GetRefused()), Exclusive: g.GetExclusive(),
		BootID: cmp.Or(g.GetBootId(), g.GetLoad().GetBootId()),
	}
}

func loadToWire(l clendpoint.Load, now time.Time) *clwire.EndpointLoad {
	return &clwire.EndpointLoad{
		Running: uint32(l.Running), Waiting: uint32(l.Waiting), KvUsedRatio: l.KVUsedRatio,
		AgeMs: now.Sub(l.ProducedAt).Milliseconds(), BootId: l.BootID, Cold: l.Cold, Leaving: l.Leaving,
	}
}

func loadFromWire(l *clwire.EndpointLoad, now time.Time) clendpoint.Load {
	return clendpoint.Load{
		Running: int(l.GetRunning()), Waiting: int(l.GetWaiting()), KVUsedRatio: l.GetKvUsedRatio(),
		ProducedAt: now.Add(-time.Duration(l.GetAgeMs()) * time.Millisecond), BootID: l.GetBootId(),
		Cold: l.GetCold(), Leaving: l.GetLeaving(),
	}
}
