// This file drives many cores in simulated time over a lossy network.

package clmember_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"github.com/chestnutlead/chestnutlead/clmember"
	"github.com/chestnutlead/chestnutlead/clwire"
)

const (
	// A twirp call over a kept HTTP/1.1 connection carries about 330 bytes of
	// request and 130 of response header; two TCP/IP headers and an acknowledgement add 120.
	requestOverhead, responseOverhead = 450, 250
	// Headers of one TCP/IP segment, for each full one.
	segment, segmentHeader = 1400, 52
)

type (
	event struct {
		at  time.Time
		seq int
		run func()
	}
	events []event

	network struct {
		now   time.Time
		seq   int
		queue events
		rng   *rand.Rand
		loss  float64
		// cut is a data centre that no message enters or leaves.
		cut     string
		nodes   []*node
		byAddr  map[netip.AddrPort]*node
		measure bool
	}

	node struct {
		*clmember.Core
		self         clmember.Member
		net          *network
		down, paused bool
		tickAt       time.Time
		bytes, calls int
		factAt       map[string]time.Time
		revisionAt   time.Time
	}
)

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { x := (*e)[len(*e)-1]; *e = (*e)[:len(*e)-1]; return x }

// newNetwork starts n processes in up to 5 data centres and lets them join for a minute.
func newNetwork(n int, loss float64, seed uint64) *network {
	s := &network{
		now: time.Unix(1_800_000_000, 0), rng: rand.New(rand.NewPCG(seed, 0)), byAddr: make(map[netip.AddrPort]*node),
	}
	places := []string{"ahmedabad", "surat", "vadodara", "tbilisi-a", "tbilisi-b"}
	if n < 300 {
		places = places[:3]
	}
	for i := range n {
		s.start(i, places[i%len(places)], seed)
	}
	s.run(10 * time.Second)
	s.loss = loss
	s.run(50 * time.Second)
	return s
}

func (s *network) start(i int, place string, seed uint64) *node {
	addr := func(i int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
	}
	n := &node{net: s, factAt: make(map[string]time.Time), self: clmember.Member{
		ID: fmt.Sprintf("entry-%04d-%08x", i, s.rng.Uint32()), Address: addr(i), DataCentre: place,
		Region: lo.Ternary(strings.HasPrefix(place, "tbilisi"), "georgia", "gujarat"), Role: "entry",
	}}
	n.Core = clmember.New(clmember.Config{
		Self: n.self, Seeds: []netip.AddrPort{addr(0), addr(1), addr(2)}, Rand: rand.New(rand.NewPCG(seed, uint64(len(s.nodes)+1))),
	}, s.now)
	s.nodes = append(s.nodes, n)
	s.byAddr[n.self.Address] = n
	n.schedule()
	return n
}

func (s *network) after(d time.Duration, run func()) {
	s.seq++
	heap.Push(&s.queue, event{s.now.Add(d), s.seq, run})
}

func (s *network) run(d time.Duration) { s.until(d, func() bool { return false }) }

// until runs for at most d, or until done says so, and returns the time passed.
func (s *network) until(d time.Duration, done func() bool) time.Duration {
	const grain = 50 * time.Millisecond
	start := s.now
	for t := start; t.Before(start.Add(d)); {
		for t = t.Add(grain); s.queue[0].at.Before(t); {
			e := heap.Pop(&s.queue).(event)
			s.now = e.at
			e.run()
		}
		s.now = t
		if done() {
			return t.Sub(start)
		}
	}
	return d
}

// deliver runs the handler at the destination unless the message is lost.
func (s *network) deliver(from, to *node, run func()) {
	delay := 500 * time.Microsecond
	if from.self.Region != to.self.Region {
		delay = 15 * time.Millisecond
	}
	if s.rng.Float64() < s.loss || from.self.DataCentre != to.self.DataCentre && lo.Contains([]string{from.self.DataCentre, to.self.DataCentre}, s.cut) {
		return
	}
	s.after(delay+time.Duration(s.rng.IntN(500))*time.Microsecond, func() {
		if !to.down && !to.paused {
			run()
		}
	})
}

// count adds a message to both ends' traffic.
func (s *network) count(from, to *node, overhead int, message func() proto.Message) {
	if !s.measure {
		return
	}
	size := overhead + proto.Size(message())
	size += size / segment * segmentHeader
	for _, n := range []*node{from, to} {
		n.bytes, n.calls = n.bytes+size, n.calls+1
	}
}

func (n *node) schedule() {
	at := n.NextTick()
	if at.Before(n.net.now) {
		at = n.net.now
	}
	if !n.tickAt.IsZero() && !at.Before(n.tickAt) {
		return
	}
	n.tickAt = at
	n.net.after(at.Sub(n.net.now), func() {
		if n.tickAt.Equal(at) && !n.down && !n.paused {
			n.tickAt = time.Time{}
			n.act(n.Tick(n.net.now))
		}
	})
}

func (n *node) act(out clmember.Output) {
	for _, f := range out.Facts {
		n.factAt[f.ID] = n.net.now
	}
	for _, c := range out.Calls {
		n.call(c)
	}
	n.schedule()
}

// rpc calls the handler at the destination, which returns how the caller takes the answer.
func (n *node) rpc(c clmember.Call, req func() proto.Message, failed func(), handle func(to *node) (func() proto.Message, func())) {
	answered := false
	if to := n.net.byAddr[c.To.Address]; to != nil {
		n.net.count(n, to, requestOverhead, req)
		n.net.deliver(n, to, func() {
			resp, take := handle(to)
			n.net.count(to, n, responseOverhead, resp)
			n.net.deliver(to, n, func() { answered = true; take() })
		})
	}
	n.net.after(c.Timeout, func() {
		if !answered && !n.down && !n.paused && failed != nil {
			failed()
		}
	})
}

func (n *node) call(c clmember.Call) {
	s := n.net
	switch c.Kind {
	case clmember.CallExchange:
		n.exchange(c, func(bool) {})
	case clmember.CallProbeFor:
		report := func(reached bool) { n.act(n.ProbeForAnswered(s.now, c.Target, reached)) }
		req := func() proto.Message { return &clwire.ProbeForRequest{Target: wireMember(c.Target)} }
		// The relay's own probe takes its time, so the answer is sent apart.
		n.rpc(clmember.Call{To: c.To}, req, nil, func(to *node) (func() proto.Message, func()) {
			to.exchange(to.HandleProbeFor(c.Target), func(reached bool) { s.deliver(to, n, func() { report(reached) }) })
			return func() proto.Message { return &clwire.ProbeForResponse{Reached: true} }, func() {}
		})
	case clmember.CallSync:
		req := func() proto.Message { return &clwire.SyncRequest{From: wireMember(n.self)} }
		n.rpc(c, req, nil, func(to *node) (func() proto.Message, func()) {
			state, out := to.HandleSync(s.now, n.Self())
			to.act(out)
			return func() proto.Message {
				return &clwire.SyncResponse{Members: lo.Map(state.Members, toWire), Facts: lo.Map(state.Facts, toWireFact)}
			}, func() { n.act(n.SyncAnswered(s.now, to.self, state)) }
		})
	case clmember.CallFetchConfig:
		req := func() proto.Message { return &clwire.FetchConfigRequest{AboveRevision: n.Revision()} }
		n.rpc(c, req, nil, func(to *node) (func() proto.Message, func()) {
			revision := to.Revision()
			return func() proto.Message { return &clwire.FetchConfigResponse{Revision: revision} }, func() { n.setRevision(revision) }
		})
	}
}

func (n *node) exchange(c clmember.Call, done func(reached bool)) {
	req := func() proto.Message {
		return &clwire.ExchangeRequest{
			From: wireMember(c.Exchange.From), Changes: lo.Map(c.Exchange.Changes, toWire),
			Facts: lo.Map(c.Exchange.Facts, toWireFact), ConfigRevision: c.Exchange.ConfigRevision, MembershipHash: c.Exchange.MembershipHash,
		}
	}
	failed := func() { n.act(n.ExchangeFailed(n.net.now, c.To)); done(false) }
	n.rpc(c, req, failed, func(to *node) (func() proto.Message, func()) {
		resp, out := to.HandleExchange(n.net.now, c.Exchange)
		to.act(out)
		return func() proto.Message {
			return &clwire.ExchangeResponse{
				From: wireMember(resp.From), Changes: lo.Map(resp.Changes, toWire), Facts: lo.Map(resp.Facts, toWireFact),
				ConfigRevision: resp.ConfigRevision, MembershipHash: resp.MembershipHash,
			}
		}, func() { n.act(n.ExchangeAnswered(n.net.now, c.To, resp)); done(true) }
	})
}

func (n *node) setRevision(revision uint64) {
	if revision > n.Revision() {
		n.revisionAt = n.net.now
	}
	n.act(n.SetRevision(n.net.now, max(revision, n.Revision())))
}

func wireMember(m clmember.Member) *clwire.Member {
	return &clwire.Member{
		Id: m.ID, Address: m.Address.String(), DataCentre: m.DataCentre, Region: m.Region, Role: m.Role,
		Incarnation: m.Incarnation, State: clwire.MemberState(m.State),
	}
}

func toWire(m clmember.Member, _ int) *clwire.Member { return wireMember(m) }

func toWireFact(f clmember.Fact, _ int) *clwire.Fact {
	return &clwire.Fact{
		Id: f.ID, Kind: clwire.FactKind(f.Kind), Origin: f.Origin, TimeUnixMs: f.Time.UnixMilli(),
		LifetimeMs: f.Lifetime.Milliseconds(), Subject: f.Subject, Detail: f.Detail, Urgent: f.Urgent,
	}
}

// up returns the processes that run.
func (s *network) up() []*node {
	return lo.Filter(s.nodes, func(n *node, _ int) bool { return !n.down && !n.paused })
}

// holdLive counts, over the processes for which in holds, how many take the member for live.
func (s *network) holdLive(id string, in func(*node) bool) (live, all int) {
	for _, n := range s.nodes {
		if n.down || n.paused {
			continue
		}
		if n.self.ID == id || !in(n) {
			continue
		}
		all++
		if m, _ := n.Member(id); m.Live() {
			live++
		}
	}
	return live, all
}

// wrong counts pairs of running processes of which one doesn't hold the other live.
func (s *network) wrong() int {
	wrong := 0
	for _, n := range s.up() {
		live, all := s.holdLive(n.self.ID, anyNode)
		wrong += all - live
	}
	return wrong
}
