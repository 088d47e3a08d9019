// This file defines the calls that a node makes to its peers.

package clpeer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/chestnutlead/chestnutlead/clmember"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/go-faster/errors"
	"github.com/samber/lo"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

func (n *Node) call(ctx context.Context, c clmember.Call) {
	if c.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Timeout)
		defer cancel()
	}
	switch c.Kind {
	case clmember.CallExchange:
		n.callExchange(ctx, c)
	case clmember.CallProbeFor:
		n.callProbeFor(ctx, c)
	case clmember.CallSync:
		n.callSync(ctx, c)
	case clmember.CallFetchConfig:
		n.callFetchConfig(ctx, c)
	}
}

func (n *Node) callExchange(ctx context.Context, c clmember.Call) {
	resp, err := n.Transport.Peer(c.To.Address).Exchange(ctx, exchangeToRequest(c.Exchange))
	if err == nil {
		if e, ok := exchangeFromWire(resp); ok {
			n.heard()
			n.do(func(now time.Time) clmember.Output { return n.core.ExchangeAnswered(now, c.To, e) })
			return
		}
	}
	n.Log.Debug("Probe failed.", zap.String("peer", c.To.ID), zap.Error(err))
	n.do(func(now time.Time) clmember.Output { return n.core.ExchangeFailed(now, c.To) })
}

func (n *Node) callProbeFor(ctx context.Context, c clmember.Call) {
	resp, err := n.Transport.Peer(c.To.Address).ProbeFor(ctx, &clwire.ProbeForRequest{Target: memberToWire(c.Target)})
	reached := err == nil && resp.GetReached()
	n.do(func(now time.Time) clmember.Output { return n.core.ProbeForAnswered(now, c.Target, reached) })
}

func (n *Node) callSync(ctx context.Context, c clmember.Call) {
	resp, err := n.Transport.Peer(c.To.Address).Sync(ctx, &clwire.SyncRequest{From: memberToWire(n.Self())})
	if err != nil {
		n.Log.Debug("Exchange of the full state failed.", zap.Stringer("peer", c.To.Address), zap.Error(err))
		return
	}
	n.heard()
	state := clmember.SyncState{
		Members: membersFromWire(resp.GetMembers()), Facts: factsFromWire(resp.GetFacts()),
		ConfigRevision: resp.GetConfigRevision(),
	}
	n.do(func(now time.Time) clmember.Output { return n.core.SyncAnswered(now, c.To, state) })
}

func (n *Node) callFetchConfig(ctx context.Context, c clmember.Call) {
	req := &clwire.FetchConfigRequest{AboveRevision: n.Configs.Current().GetRevision()}
	resp, err := n.Transport.Peer(c.To.Address).FetchConfig(ctx, req)
	if err == nil && resp.GetConfig() != nil {
		n.ApplyConfig(resp.GetConfig())
	}
	if err != nil {
		// The core asks again as long as a peer is known to be ahead.
		n.Log.Debug("Configuration cannot be fetched.", zap.String("peer", c.To.ID), zap.Error(err))
	}
}

// ApplyConfig applies a snapshot of a higher revision and announces it.
func (n *Node) ApplyConfig(s *clstate.ConfigSnapshot) bool {
	applied := n.Configs.Apply(s)
	revision := n.Configs.Current().GetRevision()
	n.do(func(now time.Time) clmember.Output { return n.core.SetRevision(now, revision) })
	return applied
}

// PushConfig sends an accepted snapshot to up to fanout peers and returns how
// many took it. It is called before an operator is told that a change is
// accepted, so that the change spreads even if the platform and this process
// fail at once.
func (n *Node) PushConfig(ctx context.Context, s *clstate.ConfigSnapshot, fanout int) int {
	n.mu.Lock()
	peers := n.core.PushPeers(fanout)
	n.mu.Unlock()
	var g errgroup.Group
	taken := make([]bool, len(peers))
	for i, p := range peers {
		g.Go(func() error {
			_, err := n.Transport.Peer(p.Address).PushConfig(ctx, &clwire.PushConfigRequest{Config: s})
			taken[i] = err == nil
			return nil
		})
	}
	_ = g.Wait() // Failures are counted in taken.
	return lo.Count(taken, true)
}

// Revisions asks every live member for its applied revision; members that do
// not answer are missing from the result.
func (n *Node) Revisions(ctx context.Context) map[string]uint64 {
	members := lo.Filter(n.Members(), func(m clmember.Member, _ int) bool { return m.Live() })
	revisions := make([]uint64, len(members))
	reached := make([]bool, len(members))
	var g errgroup.Group
	g.SetLimit(callWorkers)
	for i, m := range members {
		g.Go(func() error {
			resp, err := n.Transport.Peer(m.Address).FetchConfig(ctx, &clwire.FetchConfigRequest{AboveRevision: maxRevision})
			revisions[i], reached[i] = resp.GetRevision(), err == nil
			return nil
		})
	}
	_ = g.Wait() // Failures are recorded in reached.
	result := map[string]uint64{n.Self().ID: n.Configs.Current().GetRevision()}
	for i, m := range members {
		if reached[i] {
			result[m.ID] = revisions[i]
		}
	}
	return result
}

// CatchUp asks every live member for its applied revision, fetches the highest
// if it is above the own one, and reports whether this process now has the
// highest of those that answered.
func (n *Node) CatchUp(ctx context.Context) bool {
	revisions := n.Revisions(ctx)
	highest, id := n.Configs.Current().GetRevision(), ""
	for member, r := range revisions {
		if r > highest {
			highest, id = r, member
		}
	}
	if id == "" {
		return ctx.Err() == nil
	}
	for _, m := range n.Members() {
		if m.ID == id {
			n.callFetchConfig(ctx, clmember.Call{To: m})
		}
	}
	return n.Configs.Current().GetRevision() >= highest
}

// ListEndpoints asks a random live member of the role which endpoints it knows.
func (n *Node) ListEndpoints(ctx context.Context, role string) (*clwire.ListEndpointsResponse, error) {
	members := lo.Filter(n.Members(), func(m clmember.Member, _ int) bool { return m.Live() && m.Role == role })
	if len(members) == 0 {
		return nil, errors.New("no peer is known that could be asked; check peer.seeds")
	}
	m := members[rand.IntN(len(members))]
	resp, err := n.Transport.Peer(m.Address).ListEndpoints(ctx, &clwire.ListEndpointsRequest{})
	if err != nil {
		return nil, errors.Wrap(err, "ask "+m.ID+" for its endpoints")
	}
	return resp, nil
}

// TellAll sends a fact to every live member of a role and waits until each has
// answered, failed, or ctx has ended. It returns how many have answered. It is
// for facts that must be known before this process acts on; AddFact spreads
// them as well.
func (n *Node) TellAll(ctx context.Context, role string, f clmember.Fact) int {
	members := lo.Filter(n.Members(), func(m clmember.Member, _ int) bool { return m.Live() && m.Role == role })
	n.mu.Lock()
	f.Origin = n.core.Self().ID
	e := clmember.Exchange{From: n.core.Self(), Facts: []clmember.Fact{f}, ConfigRevision: n.core.Revision()}
	n.mu.Unlock()
	req := exchangeToRequest(e)
	answered := make([]bool, len(members))
	var g errgroup.Group
	g.SetLimit(tellParallel)
	for i, m := range members {
		g.Go(func() error {
			_, err := n.Transport.Peer(m.Address).Exchange(ctx, req)
			answered[i] = err == nil
			return nil
		})
	}
	_ = g.Wait() // Failures are counted in answered.
	return lo.Count(answered, true)
}
