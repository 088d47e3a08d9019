// This file defines the experiments on shared admission.

package clbench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/chestnutlead/chestnutlead/clpeer"
	"github.com/chestnutlead/chestnutlead/clroute"
	"github.com/chestnutlead/chestnutlead/clslot"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"
)

const (
	slotGroups = 8
	// slotLifetime is the default of the setting slots.lifetime.
	slotLifetime = 2 * time.Second
	demandEvery  = 20 * time.Millisecond
	reportEvery  = 500 * time.Millisecond
	slotLimit    = 256
	// requestTakes is 264 tokens, the design page's mean, at 50 ms each.
	requestTakes = 13200 * time.Millisecond
	// requestsPerWorker is the design page's peak of 5,300 requests a second on 600 workers.
	requestsPerWorker = 5300.0 / 600
	virtualTime       = 6 * time.Second
	virtualWarmUp     = 3 * time.Second
	prefixBlocks      = 1 << 16
)

type (
	// slotWorld runs holders and grantors in virtual time under Poisson load.
	slotWorld struct {
		rnd      *rand.Rand
		now      time.Time
		ids      []string
		grantors []*clslot.Grantor
		holders  []*clslot.Holder
		// tickets are running requests by the tick in which they end.
		tickets map[int64][]slotRequest
		running map[string]int
		waiting []map[string]int
		// parts has the endpoints that each entry uses while they have slots.
		parts  [][]string
		counts slotCounts
	}

	slotRequest struct {
		entry  int
		ticket clslot.Ticket
	}

	slotCounts struct {
		calls, demands, bytes, denied, started, waited int
	}

	// slotStub answers demands as the entry's grantor does.
	slotStub struct{}
)

var _ clpeer.Slots = (*slotStub)(nil)

// GrantSlots implements clpeer.Slots.
func (*slotStub) GrantSlots(_ context.Context, r *clwire.GrantSlotsRequest) (*clwire.GrantSlotsResponse, error) {
	return grantsFor(r), nil
}

// ReturnSlots implements clpeer.Slots.
func (*slotStub) ReturnSlots(context.Context, *clwire.ReturnSlotsRequest) (*clwire.ReturnSlotsResponse, error) {
	return &clwire.ReturnSlotsResponse{}, nil
}

func grantsFor(r *clwire.GrantSlotsRequest) *clwire.GrantSlotsResponse {
	return &clwire.GrantSlotsResponse{Grants: lo.Map(r.GetDemands(), func(d *clwire.SlotDemand, _ int) *clwire.SlotGrant {
		return &clwire.SlotGrant{
			EndpointId: d.GetEndpointId(), Sequence: d.GetSequence(), Slots: d.GetWanted(), LifetimeMs: slotLifetime.Milliseconds(), Fencing: 12,
			Load: &clwire.EndpointLoad{Running: 100, Waiting: 2, KvUsedRatio: 0.5, AgeMs: 700, BootId: "b-0123456789abcdef"},
		}
	})}
}

// runSlots measures demands and grants.
func runSlots(ctx context.Context, _ Options) (*Result, error) {
	r := newResult("slots")
	for _, c := range []struct{ entries, endpoints int }{{9, 15}, {100, 150}, {390, 600}} {
		w := newSlotWorld(c.entries, c.endpoints)
		cpu := cpuSeconds()
		w.run()
		w.report(r, cpuSeconds()-cpu)
	}
	slotMemory(r)
	r.note("Steady state in virtual time: %.2f requests a second per endpoint of %s each, demands every %s, lifetime of grants %s.", requestsPerWorker, requestTakes, demandEvery, slotLifetime)
	return r, grantCalls(ctx, r)
}

func newSlotWorld(entries, endpoints int) *slotWorld {
	w := &slotWorld{
		rnd: rand.New(rand.NewPCG(uint64(entries), 7)), now: time.Unix(1_800_000_000, 0),
		tickets: map[int64][]slotRequest{}, running: map[string]int{},
	}
	cfg := slotConfig()
	for range slotGroups {
		w.grantors = append(w.grantors, clslot.NewGrantor(cfg))
	}
	for i := range endpoints {
		id := fmt.Sprintf("worker-%04d", i)
		w.ids = append(w.ids, id)
		w.grantor(id).SetEndpoint(id, clslot.Limits{ColdSlots: slotLimit, MaxSlots: slotLimit, WarmAfter: 8})
	}
	for _, g := range w.grantors {
		g.LeaseAcquired(clslot.Lease{Fencing: 1, ExpiresAt: w.now.Add(time.Hour), FormerGrantsEnd: w.now})
	}
	w.now = w.now.Add(time.Second)
	for range entries {
		w.holders = append(w.holders, clslot.NewHolder(cfg))
		w.waiting = append(w.waiting, map[string]int{})
		w.parts = append(w.parts, clroute.Subset(entryID(len(w.parts)), w.ids, clroute.SubsetSize))
	}
	w.load()
	// The requests that run in a steady state are there from the start.
	for range int(requestsPerWorker * requestTakes.Seconds() * float64(endpoints)) {
		w.wait(w.rnd.IntN(entries))
	}
	return w
}

// slotConfig returns the times that an entry has by default.
func slotConfig() clslot.Config {
	cfg := clslot.DefaultConfig()
	cfg.GrantLifetime = slotLifetime
	return cfg
}

func entryID(i int) string { return fmt.Sprintf("entry-%03d-0a1b2c3d", i) }

func groupOf(id string) int { return int(xxhash.Sum64String(id) % slotGroups) }

func (w *slotWorld) grantor(id string) *clslot.Grantor { return w.grantors[groupOf(id)] }

func (w *slotWorld) load() {
	for _, id := range w.ids {
		w.grantor(id).ApplyLoad(id, clslot.Load{BootID: "b1", ProducedAt: w.now, Running: w.running[id]}, w.now)
	}
}

func (w *slotWorld) tick() int64 { return w.now.UnixNano() / int64(demandEvery) }

func (w *slotWorld) run() {
	start := w.now
	perTick := requestsPerWorker * float64(len(w.ids)) * demandEvery.Seconds()
	arrivals := 0.0
	for w.now.Sub(start) < virtualTime {
		if w.now.Sub(start) == virtualWarmUp {
			w.counts = slotCounts{}
		}
		w.now = w.now.Add(demandEvery)
		if w.now.Sub(start)%reportEvery == 0 {
			w.load()
		}
		for _, q := range w.tickets[w.tick()] {
			w.running[q.ticket.Endpoint]--
			w.holders[q.entry].RecordFirstTokenTime(q.ticket.Endpoint, 200*time.Millisecond)
			w.holders[q.entry].Release(q.ticket, clslot.Outcome{Healthy: true}, w.now)
		}
		delete(w.tickets, w.tick())
		for arrivals += w.rnd.ExpFloat64() * perTick; arrivals >= 1; arrivals-- {
			w.arrive(w.rnd.IntN(len(w.holders)))
		}
		for i := range w.holders {
			w.round(i)
		}
	}
}

// arrive starts a request at an endpoint with a free slot here, or lets it wait.
func (w *slotWorld) arrive(entry int) {
	part := w.parts[entry]
	for _, at := range w.rnd.Perm(len(part)) {
		if w.start(entry, part[at]) {
			return
		}
	}
	w.counts.waited++
	w.wait(entry)
}

// wait queues a request for a slot in the entry's part of the endpoints.
func (w *slotWorld) wait(entry int) {
	part := w.parts[entry]
	w.waiting[entry][part[w.rnd.IntN(len(part))]]++
}

func (w *slotWorld) start(entry int, id string) bool {
	t, ok := w.holders[entry].Acquire(id, w.now)
	if ok {
		w.running[id]++
		w.counts.started++
		ends := w.tick() + 1 + int64(w.rnd.ExpFloat64()*float64(requestTakes)/float64(demandEvery))
		w.tickets[ends] = append(w.tickets[ends], slotRequest{entry, t})
	}
	return ok
}

// round does what an entry does every demandEvery: one call to each grantor
// from which something is due.
func (w *slotWorld) round(entry int) {
	h, waiting := w.holders[entry], w.waiting[entry]
	wanted := lo.Keys(waiting)
	for _, id := range h.EndpointsDue(w.now) {
		if waiting[id] == 0 {
			wanted = append(wanted, id)
		}
	}
	for group, ids := range lo.GroupBy(wanted, groupOf) {
		req := &clwire.GrantSlotsRequest{From: entryID(entry)}
		for _, id := range ids {
			d := h.BuildDemand(id, waiting[id], w.now)
			g := w.grantors[group].HandleDemand(entryID(entry), d, w.now)
			h.ApplyGrant(g, w.now)
			req.Demands = append(req.Demands, &clwire.SlotDemand{
				EndpointId: id, Sequence: d.Sequence, InUse: uint32(d.InUse), Held: uint32(d.Held), Fencing: d.Fencing, Wanted: uint32(d.Wanted),
			})
			if waiting[id] > 0 && h.Available(id, w.now) == 0 {
				w.counts.denied++
			}
			for waiting[id] > 0 && w.start(entry, id) {
				waiting[id]--
			}
			if n := waiting[id]; n > 0 && h.Available(id, w.now) == 0 {
				// The endpoint is full; any other is the reserve.
				delete(waiting, id)
				waiting[w.ids[w.rnd.IntN(len(w.ids))]] += n
			}
			if waiting[id] == 0 {
				delete(waiting, id)
			}
		}
		w.counts.calls++
		w.counts.demands += len(ids)
		w.counts.bytes += proto.Size(req) + proto.Size(grantsFor(req))
	}
}

func (w *slotWorld) report(r *Result, cpu float64) {
	const size = "entries, with 15, 150 and 600 endpoints"
	x := float64(len(w.holders))
	t := (virtualTime - virtualWarmUp).Seconds()
	r.add("grant calls per entry", "1/s", size, x, float64(w.counts.calls)/t/x)
	r.add("demands per call", "1", size, x, float64(w.counts.demands)/float64(max(w.counts.calls, 1)))
	r.add("message bytes of grant calls per entry, without HTTP", "KB/s", size, x, float64(w.counts.bytes)/t/x/1e3)
	r.add("grant calls served by each of 8 grantors", "1/s", size, x, float64(w.counts.calls)/t/slotGroups)
	r.add("requests that found no slot held", "%", size, x, 100*float64(w.counts.waited)/float64(max(w.counts.started, 1)))
	cpuBefore := cpuSeconds()
	released := w.stateBytes((*clslot.Grantor).State)
	cpuReleased := cpuSeconds()
	renewed := w.stateBytes((*clslot.Grantor).LimitState)
	r.add("state that each grantor leaves with the release of its lease", "KB", size, x, released/1e3)
	r.add("CPU of encoding that state", "ms", size, x, 1e3*(cpuReleased-cpuBefore)/slotGroups)
	r.add("limits that each grantor leaves with a renewal", "KB", size, x, renewed/1e3)
	r.add("CPU of encoding those limits", "ms", size, x, 1e3*(cpuSeconds()-cpuReleased)/slotGroups)
	r.add("CPU of the simulated slots of all, per entry", "ms/s", size, x, 1e3*cpu/virtualTime.Seconds()/x)
}

// stateBytes returns the mean size of what an entry writes with the lease of a
// slot group; the encoding is that of package clentry.
func (w *slotWorld) stateBytes(states func(*clslot.Grantor) []clslot.EndpointState) float64 {
	sum := 0
	for _, g := range w.grantors {
		m := &clstate.SlotLedger{Endpoints: lo.Map(states(g), func(s clslot.EndpointState, _ int) *clstate.SlotLedgerEndpoint {
			return &clstate.SlotLedgerEndpoint{
				EndpointId: s.Endpoint, BootId: s.BootID, Limit: uint32(s.Limit), Unattributed: uint32(s.Unattributed),
				Charges: lo.Map(s.Charges, func(c clslot.EntryCharge, _ int) *clstate.SlotLedgerCharge {
					return &clstate.SlotLedgerCharge{Entry: c.Entry, Slots: uint32(c.Slots), InUse: uint32(c.InUse), Sequence: c.Sequence}
				}),
			}
		})}
		b, _ := proto.Marshal(m) // Strings made here are valid.
		sum += len(b)
	}
	return float64(sum) / float64(len(w.grantors))
}

// slotMemory measures what grantors, holders and tables keep.
func slotMemory(r *Result) {
	cfg, now := slotConfig(), time.Unix(1_800_000_000, 0)
	for _, entries := range []int{9, 100, 390} {
		const endpoints = 75
		names := lo.Times(entries, entryID)
		before := heapBytes()
		g := clslot.NewGrantor(cfg)
		for i := range endpoints {
			g.SetEndpoint(strconv.Itoa(i), clslot.Limits{ColdSlots: 1024, MaxSlots: 1024, WarmAfter: 8})
		}
		g.LeaseAcquired(clslot.Lease{Fencing: 1, ExpiresAt: now.Add(time.Hour), FormerGrantsEnd: now.Add(-time.Hour)})
		for i := range endpoints {
			g.ApplyLoad(strconv.Itoa(i), clslot.Load{BootID: "b1", ProducedAt: now}, now)
		}
		cpu := cpuSeconds()
		const rounds = 5
		for round := range rounds {
			for _, n := range names {
				for i := range endpoints {
					g.HandleDemand(n, clslot.Demand{Endpoint: strconv.Itoa(i), Sequence: uint64(round + 1), Wanted: 2, InUse: 1, Held: 1, Fencing: 1}, now)
				}
			}
		}
		cpu = cpuSeconds() - cpu
		r.add("CPU of one demand in the grantor", "us", "entries", float64(entries), 1e6*cpu/float64(rounds*entries*endpoints))
		r.add("grantor's memory of 75 endpoints", "KB", "entries", float64(entries), (heapBytes()-before)/1e3)
		runtime.KeepAlive(g)
	}
	for _, endpoints := range []int{15, 150, 600} {
		x := float64(endpoints)
		before := heapBytes()
		h := clslot.NewHolder(cfg)
		for i := range endpoints {
			h.BuildDemand(strconv.Itoa(i), 1, now)
		}
		r.add("holder's memory", "KB", "endpoints", x, (heapBytes()-before)/1e3)
		runtime.KeepAlive(h)
		before = heapBytes()
		t := filledTable(endpoints, now)
		r.add("routing table's memory without prefix index", "KB", "endpoints", x, (heapBytes()-before)/1e3)
		runtime.KeepAlive(t)
	}
	for _, blocks := range []int{prefixBlocks / 4, prefixBlocks / 2, prefixBlocks} {
		t := clroute.NewTable(clroute.Config{PrefixBlocks: blocks})
		t.Set(clroute.Endpoint{ID: "worker-0000", Service: "s", Version: "v1", DataCentre: "dc-0"})
		before := heapBytes()
		for b := range uint64(blocks) {
			t.Sent("worker-0000", []uint64{xxhash.Sum64String(strconv.FormatUint(b, 10))}, now)
		}
		r.add("prefix index's memory", "KB", "blocks", float64(blocks), (heapBytes()-before)/1e3)
		runtime.KeepAlive(t)
	}
}

// grantCalls measures the call that carries demands, over loopback.
func grantCalls(ctx context.Context, r *Result) error {
	f, err := startFleet(ctx, 1, 0, 0)
	if f != nil {
		defer f.close()
	}
	if err != nil {
		return err
	}
	f.nodes[0].Slots = &slotStub{}
	t := &clpeer.Transport{Token: peerToken, Timeout: time.Second}
	for _, demands := range []int{1, 5, 15, 75} {
		req := &clwire.GrantSlotsRequest{From: "entry-000-0a1b2c3d", Demands: lo.Times(demands, func(i int) *clwire.SlotDemand {
			return &clwire.SlotDemand{EndpointId: fmt.Sprintf("worker-%04d", i), Sequence: 70000, InUse: 2, Held: 3, Fencing: 12, Wanted: 3}
		})}
		const calls = 3000
		cpu, before := cpuSeconds(), f.traffic.count()
		for range calls {
			if _, err := t.Peer(f.nodes[0].Member.Self.Address).GrantSlots(ctx, req); err != nil {
				return err
			}
		}
		now := f.traffic.count()
		r.add("CPU of a grant call, both ends", "us", "demands in the call", float64(demands), 1e6*(cpuSeconds()-cpu)/calls)
		r.add("bytes of a grant call, both ways", "B", "demands in the call", float64(demands), float64(now.sent+now.received-before.sent-before.received)/calls)
	}
	return nil
}
