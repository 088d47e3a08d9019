// This file defines a fleet of peer nodes in one process.

package clbench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutlead/chestnutlead/clmember"
	"github.com/chestnutlead/chestnutlead/clpeer"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/go-faster/errors"
	"github.com/samber/lo"
	"go.uber.org/zap"
)

const (
	peerToken    = "bench-peer-token-0123"
	dataCentres  = 5
	fleetSeeds   = 3
	convergeTime = 100 * time.Second
	pollTime     = 20 * time.Millisecond
)

type (
	// nodeFleet runs nodes with the settings that a daemon has by default.
	nodeFleet struct {
		traffic traffic
		objects *objects
		nodes   []*benchNode
		cancel  context.CancelFunc
		done    sync.WaitGroup
		// stopped returns an error when the experiment is to end.
		stopped func() error
	}

	benchNode struct {
		clpeer.Node
		current atomic.Pointer[clstate.ConfigSnapshot]
		source  *clpeer.ConfigSource
		facts   sync.Map
	}
)

var _ clpeer.Configs = (*benchNode)(nil)

// Current implements clpeer.Configs.
func (n *benchNode) Current() *clstate.ConfigSnapshot { return n.current.Load() }

// Apply implements clpeer.Configs.
func (n *benchNode) Apply(s *clstate.ConfigSnapshot) bool {
	for {
		cur := n.current.Load()
		if s.GetRevision() <= cur.GetRevision() {
			return false
		}
		if n.current.CompareAndSwap(cur, s) {
			return true
		}
	}
}

// startFleet starts size nodes, spread over stagger, and waits until each
// knows all.
func startFleet(ctx context.Context, size int, stagger, idleLimit time.Duration) (*nodeFleet, error) {
	f := &nodeFleet{objects: newObjects(2 * time.Millisecond)}
	ctx, f.cancel = context.WithCancel(ctx)
	f.stopped = ctx.Err
	var seeds []netip.AddrPort
	for i := range size {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return f, errors.Wrap(err, "listen; start fewer nodes")
		}
		addr := l.Addr().(*net.TCPAddr).AddrPort()
		if i < fleetSeeds {
			seeds = append(seeds, addr)
		}
		f.nodes = append(f.nodes, f.newNode(i, addr, &countingListener{Listener: l, traffic: &f.traffic, idleLimit: idleLimit}))
	}
	for _, n := range f.nodes {
		n.Member.Seeds = seeds
		n.Init()
		f.run(ctx, n)
		time.Sleep(stagger / time.Duration(size))
	}
	return f, f.wait(convergeTime, "membership", func(n *benchNode) bool {
		return lo.CountBy(n.Members(), func(m clmember.Member) bool { return m.Live() }) == size-1
	})
}

func (f *nodeFleet) newNode(i int, addr netip.AddrPort, l net.Listener) *benchNode {
	n := &benchNode{}
	n.Node = clpeer.Node{
		Member: clmember.Config{
			Self: clmember.Member{
				ID: fmt.Sprintf("entry-%03d-0a1b2c3d", i), Address: addr, DataCentre: fmt.Sprintf("dc-%d", i%dataCentres),
				Region: fmt.Sprintf("region-%d", i%dataCentres/3), Role: "entry",
			},
			Rand: rand.New(rand.NewPCG(uint64(i), 1)), ProbeInterval: time.Second, ProbeTimeout: 300 * time.Millisecond,
			SuspicionBase: 3 * time.Second, SyncInterval: 30 * time.Second,
		},
		Transport: &clpeer.Transport{Token: peerToken, Timeout: time.Second}, Listener: l, Configs: n, Log: zap.NewNop(),
	}
	n.OnFacts = func(facts []clmember.Fact) {
		for _, x := range facts {
			n.facts.Store(x.ID, true)
		}
	}
	n.source = &clpeer.ConfigSource{
		Node: &n.Node, Objects: f.objects, Watchers: 2, Wait: 30 * time.Second, PeerSilence: 5 * time.Second,
		Log: zap.NewNop(),
	}
	return n
}

func (f *nodeFleet) run(ctx context.Context, n *benchNode) {
	for _, loop := range []func(context.Context) error{n.Run, n.source.Run} {
		f.done.Add(1)
		go func() {
			defer f.done.Done()
			_ = loop(ctx) // A node that fails shows as missing from the membership.
		}()
	}
}

// wait polls until all nodes meet the condition.
func (f *nodeFleet) wait(limit time.Duration, what string, ok func(*benchNode) bool) error {
	deadline := time.Now().Add(limit)
	for !lo.EveryBy(f.nodes, ok) {
		if err := f.stopped(); err != nil {
			return errors.Wrap(err, what)
		}
		if time.Now().After(deadline) {
			return f.missed(limit, what, lo.Filter(f.nodes, func(n *benchNode, _ int) bool { return !ok(n) }))
		}
		time.Sleep(pollTime)
	}
	return nil
}

// missed returns an error that says how many peers hold the first node that
// was not reached alive.
func (f *nodeFleet) missed(limit time.Duration, what string, nodes []*benchNode) error {
	first := nodes[0].Member.Self.ID
	alive := lo.CountBy(f.nodes, func(n *benchNode) bool {
		return lo.ContainsBy(n.Members(), func(m clmember.Member) bool { return m.ID == first && m.Live() })
	})
	return errors.Errorf("%s did not reach %d of %d nodes within %s; %d peers hold %s alive", what, len(nodes), len(f.nodes), limit, alive, first)
}

func (f *nodeFleet) close() {
	f.cancel()
	f.done.Wait()
}
