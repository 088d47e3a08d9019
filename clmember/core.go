// This file defines the Core and how it handles messages.

package clmember

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

type (
	// Core holds the membership and the facts that one process knows.
	Core struct {
		cfg      Config
		self     Member
		selfHash uint64
		byID     map[string]*entry
		// entries lists byID in a reproducible order.
		entries []*entry
		live    int
		// hash is the XOR of the ID hashes of live members, this process included.
		hash uint64
		// mismatches counts consecutive answers with another hash.
		mismatches int
		interned   map[string]string

		// ring is the shuffled order in which members are probed.
		ring   []string
		probes []probe

		changes  gossip
		facts    factTable
		revision uint64
		// ahead is the peer with the highest revision seen.
		ahead         Member
		aheadRevision uint64
		fetchAgain    time.Time
		// joinUntil is when the seeds without a live member are no longer called at each probe.
		joinUntil time.Time

		lastTick, nextProbe, nextSync, lastSync, nextRetry time.Time
		lastPush                                           time.Time
		pushRounds                                         int

		out Output
	}

	// entry is what is known about another member.
	entry struct {
		Member
		idHash uint64
		// since is when State last changed.
		since time.Time
		// deadline is when a suspected member is declared dead.
		deadline time.Time
		// finder says that this process found the member silent itself.
		finder bool
	}
)

// New returns a Core that knows only itself. It joins at its first Tick.
func New(cfg Config, now time.Time) *Core {
	cfg = cfg.withDefaults()
	c := &Core{
		cfg: cfg, self: cfg.Self, selfHash: xxhash.Sum64String(cfg.Self.ID),
		byID: make(map[string]*entry), interned: make(map[string]string),
		lastTick: now, nextProbe: now,
		// The first regular exchange is spread over the interval, so that
		// processes that start together don't stay in step.
		nextSync:  now.Add(time.Duration(cfg.Rand.Int64N(int64(cfg.SyncInterval)))),
		nextRetry: now.Add(time.Duration(cfg.Rand.Int64N(int64(cfg.RetryDeadInterval)))),
		joinUntil: now.Add(joinProbes * cfg.ProbeInterval),
	}
	c.facts.max = cfg.MaxHeldFacts
	c.hash = c.selfHash
	return c
}

// HandleExchange answers a peer's probe.
func (c *Core) HandleExchange(now time.Time, req Exchange) (Exchange, Output) {
	c.receive(now, req)
	return c.message(req.From.ID, req), c.flush()
}

// ExchangeAnswered takes the answer to a CallExchange to member to.
func (c *Core) ExchangeAnswered(now time.Time, to Member, resp Exchange) Output {
	c.receive(now, resp)
	if resp.From.ID == to.ID {
		c.endProbe(to.ID)
	} else if e := c.byID[to.ID]; e != nil && e.Live() {
		// Another process has the address now, so the one that was called has ended.
		c.declareDead(now, e)
	}
	if resp.MembershipHash == c.hash {
		c.mismatches = 0
	} else if c.mismatches++; c.mismatches >= minMismatches && now.Sub(c.lastSync) >= c.cfg.SyncGap {
		c.sync(now, resp.From)
	}
	return c.flush()
}

// HandleSync answers a peer's request for the full state.
func (c *Core) HandleSync(now time.Time, from Member) (SyncState, Output) {
	c.merge(now, from, false)
	s := SyncState{Members: append(c.Members(), c.self), Facts: c.Facts(now), ConfigRevision: c.revision}
	return s, c.flush()
}

// SyncAnswered takes the full state of a peer.
func (c *Core) SyncAnswered(now time.Time, to Member, s SyncState) Output {
	known := len(c.entries)
	for _, m := range s.Members {
		c.merge(now, m, true)
	}
	// A few unknown members are news to others as well; a whole list is not,
	// and would fill the messages of a process that joins.
	if added := c.entries[known:]; len(added) <= c.cfg.MaxChanges {
		for _, e := range added {
			c.changes.push(e.ID)
		}
	}
	for _, f := range s.Facts {
		c.learn(now, f)
	}
	c.peerRevision(now, to, s.ConfigRevision)
	c.pushUrgent(now)
	return c.flush()
}

// HandleProbeFor returns the call with which this process probes target for a
// peer. The shell reports the call's result here as well as to the peer.
func (c *Core) HandleProbeFor(target Member) Call {
	return Call{Kind: CallExchange, To: target, Exchange: c.message(target.ID, Exchange{}), Timeout: c.cfg.ProbeTimeout}
}

// SetRevision says that this process has the configuration of the given
// revision. A higher revision than before is announced to a few peers, which
// fetch it if they lack it.
func (c *Core) SetRevision(now time.Time, revision uint64) Output {
	if revision > c.revision {
		c.revision = revision
		for _, m := range c.PushPeers(pushFanout) {
			c.exchange(m)
		}
	}
	return c.flush()
}

// Leave announces that this process ends. The shell makes the returned calls
// before it stops answering.
func (c *Core) Leave(_ time.Time) Output {
	if c.self.State != Left {
		c.self.State = Left
		c.hash ^= c.selfHash
		c.probes = nil
		for _, m := range c.PushPeers(pushFanout) {
			c.exchange(m)
		}
	}
	return c.flush()
}

// receive merges what a peer's message carries.
func (c *Core) receive(now time.Time, x Exchange) {
	c.merge(now, x.From, false)
	for _, m := range x.Changes {
		c.merge(now, m, false)
	}
	for _, f := range x.Facts {
		c.learn(now, f)
	}
	c.peerRevision(now, x.From, x.ConfigRevision)
	c.pushUrgent(now)
}

// peerRevision asks the peer for its configuration if it has a higher
// revision.
func (c *Core) peerRevision(now time.Time, peer Member, revision uint64) {
	if revision <= c.revision {
		return
	}
	if revision >= c.aheadRevision {
		c.ahead, c.aheadRevision = peer, revision
	}
	c.fetch(now)
}

// fetch asks the peer that is known to be furthest ahead for its configuration.
func (c *Core) fetch(now time.Time) {
	if c.aheadRevision <= c.revision || now.Before(c.fetchAgain) {
		return
	}
	c.fetchAgain = now.Add(fetchGap)
	c.out.Calls = append(c.out.Calls, Call{Kind: CallFetchConfig, To: c.ahead, Timeout: fetchTimeout})
}

// message builds a probe of the given peer, or the answer to its probe. What
// the peer has just sent is left out and keeps its number of sends.
func (c *Core) message(peer string, received Exchange) Exchange {
	x := Exchange{From: c.self, ConfigRevision: c.revision, MembershipHash: c.hash}
	// A peer that is not alive here must learn so to be able to refute it.
	if e := c.byID[peer]; e != nil && e.State != Alive {
		x.Changes = append(x.Changes, e.Member)
	}
	skip := func(id string) bool {
		e := c.byID[id]
		return id == peer || slices.ContainsFunc(received.Changes, func(m Member) bool {
			return m.ID == id && e != nil && m.State == e.State && m.Incarnation == e.Incarnation
		})
	}
	for _, id := range c.changes.take(c.cfg.MaxChanges-len(x.Changes), c.sendLimit(), skip) {
		if e := c.byID[id]; e != nil {
			x.Changes = append(x.Changes, e.Member)
		} else if id == c.self.ID {
			x.Changes = append(x.Changes, c.self)
		}
	}
	x.Facts = c.facts.take(c.cfg.MaxFacts, c.sendLimit(), received.Facts)
	return x
}

// sendLimit is how often each change is sent. Each member needs a multiple of
// log(n) sends for all n to learn a change; the constant makes up for lost
// messages in a small fleet.
func (c *Core) sendLimit() int { return 4 + 4*digits(c.live+1) }

// exchange calls the member with a fresh message.
func (c *Core) exchange(to Member) {
	c.out.Calls = append(c.out.Calls,
		Call{Kind: CallExchange, To: to, Exchange: c.message(to.ID, Exchange{}), Timeout: c.cfg.ProbeTimeout})
}

// sync asks the member for its full state.
func (c *Core) sync(now time.Time, to Member) {
	c.lastSync = now
	c.out.Calls = append(c.out.Calls, Call{Kind: CallSync, To: to, Timeout: syncTimeout})
}

// flush returns the decisions collected since the last call.
func (c *Core) flush() Output {
	out := c.out
	c.out = Output{}
	return out
}

// Member returns what is known about another process.
func (c *Core) Member(id string) (Member, bool) {
	if e := c.byID[id]; e != nil {
		return e.Member, true
	}
	return Member{}, false
}

// Members returns all known members but this process, the dead ones included.
func (c *Core) Members() []Member {
	ms := make([]Member, 0, len(c.entries)+1)
	for _, e := range c.entries {
		ms = append(ms, e.Member)
	}
	return ms
}

// Self returns this process as its peers shall see it.
func (c *Core) Self() Member { return c.self }

// Revision returns the configuration revision last set.
func (c *Core) Revision() uint64 { return c.revision }

// PushPeers returns up to n random live peers for an epidemic push.
func (c *Core) PushPeers(n int) []Member {
	var peers []Member
	n = min(n, c.live)
	var drawn []int
	for len(peers) < n {
		i := c.cfg.Rand.IntN(len(c.entries))
		if !slices.Contains(drawn, i) {
			drawn = append(drawn, i)
			if c.entries[i].Live() {
				peers = append(peers, c.entries[i].Member)
			}
		}
	}
	return peers
}

// digits returns the number of decimal digits of n, which is log10 rounded up.
func digits(n int) int {
	d := 1
	for ; n >= 10; n /= 10 {
		d++
	}
	return d
}
