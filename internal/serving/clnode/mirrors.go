// This file defines what follows from changes in the store and from the other gateways' digests.

package clnode

import (
	"net/netip"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/coordination/clgossip"
	"github.com/chestnutlead/chestnutlead/internal/coordination/clmirror"
	"github.com/chestnutlead/chestnutlead/internal/coordination/clmove"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/chestnutlead/chestnutlead/internal/routing/clfleet"
	"github.com/samber/lo"
	"go.uber.org/zap"
)

func (n *Node) buildMirrors(l *zap.Logger) {
	n.endpoints = &clmirror.Mirror[clcatalog.Endpoint]{
		Name: "endpoints", Source: n.Store.Endpoints(), WatchWait: watchWait, Apply: n.applyEndpoints, Logger: l,
	}
	n.rollouts = &clmirror.Mirror[clcatalog.Rollout]{
		Name: "version moves", Source: n.Store.Rollouts(), WatchWait: watchWait, Apply: n.applyRollouts, Logger: l,
	}
	n.evacuations = &clmirror.Mirror[clcatalog.Evacuation]{
		Name: "data centres out", Source: n.Store.Evacuations(), WatchWait: watchWait, Apply: n.applyEvacuations, Logger: l,
	}
	n.members = &clmirror.Mirror[clcatalog.Member]{
		Name: "gateways", Source: n.Store.Gateways(), WatchWait: watchWait, Apply: n.applyMembers, Logger: l,
	}
	n.config = &clmirror.Mirror[*clcatalog.Catalog]{
		Name: "configuration", Source: n.Store.Configuration(), WatchWait: time.Millisecond, WatchPause: confirmEvery, Apply: n.applyConfig, ProbesStore: true, Logger: l,
	}
	n.hub = &clmirror.Replicator{
		BootID: n.exchange.Self.Boot, ListenAddress: n.Settings.PeerAddress, Readers: n.readers,
		GatewayCount: func() int { return len(n.peers()) }, LastConfirmed: n.config.LastConfirmed, Confirm: n.config.Confirm,
		OnStoreLostChange: n.exchange.SendToDataCentre, Logger: l,
	}
	clmirror.Add(n.hub, n.config)
	clmirror.Add(n.hub, n.endpoints)
	clmirror.Add(n.hub, n.rollouts)
	clmirror.Add(n.hub, n.evacuations)
	clmirror.Add(n.hub, n.members)
}

const (
	// overshootUse is the part of the tolerated overshoot that is granted, so
	// that requests within the quota are not refused because the gateways'
	// counts lag; the rest covers the lag itself.
	overshootUse = 0.5
	// lagGateways is the number of gateways from which the lag takes all of
	// the tolerance: their digests come less than five times a second.
	lagGateways = 13
)

// quotaOf returns the rate and the burst that an account is granted: a part of
// the tolerated overshoot, and of the slack at most a quarter of its own burst.
func quotaOf(a clcatalog.Account, s Settings, gateways int) (rate, burst float64) {
	if a.Rate <= 0 || gateways >= lagGateways {
		return a.Rate, a.Burst
	}
	return a.Rate * (1 + overshootUse*s.QuotaOvershoot), a.Burst + min(s.QuotaSlack, a.Burst)/4
}

// readers returns the gateways that this one may follow; none means that it
// reads the store itself.
func (n *Node) readers() []netip.AddrPort {
	var others []clmirror.Candidate
	for _, name := range n.exchange.AlivePeers() {
		if m, ok := n.member(name); ok && m.DataCentre == n.Settings.DataCentre {
			others = append(others, clmirror.Candidate{Name: name, Address: m.Address, StoreLost: n.exchange.StoreLost(name)})
		}
	}
	return clmirror.RankReaders(clmirror.Candidate{Name: n.Settings.Name, Address: n.Settings.PeerAddress, StoreLost: n.hub.StoreLost()}, others)
}

func (n *Node) member(name string) (clcatalog.Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m, ok := n.known[name]
	return m, ok
}

func (n *Node) applyConfig(changes []clmirror.Change[*clcatalog.Catalog], _ bool) {
	for _, c := range changes {
		if c.Removed {
			n.Logger.Warn("configuration cannot be used", zap.String("object", c.Name), zap.String("why", c.Why))
			continue
		}
		if old := n.gateway.Catalog(); old != nil && old.Version >= c.Value.Version {
			continue
		}
		// A copy that came from another gateway lacks the look-ups.
		c.Value.BuildIndexes()
		now := clclock.Now()
		for _, a := range c.Value.Accounts {
			rate, burst := quotaOf(a, n.Settings, len(n.peers()))
			n.quotas.SetLimit(a.Name, rate, burst, now)
		}
		n.fleet.SetCatalog(c.Value)
		n.gateway.SetCatalog(c.Value)
		n.Logger.Info("configuration in force", zap.Uint64("config_version", c.Value.Version), zap.Int("routes", len(c.Value.Routes)),
			zap.Int("accounts", len(c.Value.Accounts)))
	}
}

func (n *Node) applyEndpoints(changes []clmirror.Change[clcatalog.Endpoint], complete bool) {
	now := time.Now()
	if complete {
		ids := map[string]bool{}
		for _, c := range changes {
			ids[c.Name] = !c.Removed
		}
		n.fleet.Retain(ids)
	}
	for _, c := range changes {
		if c.Removed {
			n.fleet.Remove(c.Name)
			n.Logger.Info("endpoint removed", zap.String("endpoint", c.Name), zap.String("why", c.Why))
			continue
		}
		n.fleet.Put(c.Value, now)
		e := c.Value
		n.Logger.Info("endpoint registered", zap.String("endpoint", e.ID), zap.String("service", e.Service), zap.String("data_centre", e.DataCentre),
			zap.String("version", e.Version), zap.Bool("leaving", e.Leaving), zap.Bool("spot", e.Spot), zap.Duration("cold_for", e.ColdFor),
			zap.Int64("born", e.Born), zap.Stringer("address", e.Address))
	}
	if complete {
		n.fleet.MarkSynced()
		n.ready.Meet(conditionEndpoints)
	}
}

func (n *Node) applyRollouts(changes []clmirror.Change[clcatalog.Rollout], complete bool) {
	n.mu.Lock()
	if complete {
		clear(n.intents)
	}
	removed := []string{}
	for _, c := range changes {
		if c.Removed {
			delete(n.intents, c.Name)
			removed = append(removed, c.Name)
			continue
		}
		n.intents[c.Value.Service] = c.Value
		n.Logger.Info("rollout intended", zap.String("service", c.Value.Service), zap.String("version", c.Value.Version),
			zap.Duration("within", c.Value.Within), zap.String("outcome", string(c.Value.Outcome)))
	}
	intents := n.intentList()
	n.mu.Unlock()
	n.moves.SetIntents(intents, clclock.Now())
	for _, service := range removed {
		n.fleet.SetSplit(service, clfleet.Split{})
	}
}

func (n *Node) applyEvacuations(changes []clmirror.Change[clcatalog.Evacuation], complete bool) {
	n.mu.Lock()
	if complete {
		clear(n.out)
	}
	for _, c := range changes {
		if c.Removed {
			delete(n.out, c.Name)
		} else {
			n.out[c.Value.DataCentre] = true
		}
		n.Logger.Info("evacuation", zap.String("data_centre", c.Name), zap.Bool("ended", c.Removed))
	}
	out := lo.Keys(n.out)
	n.mu.Unlock()
	n.fleet.SetExcludedDataCentres(out, time.Now())
}

func (n *Node) applyMembers(changes []clmirror.Change[clcatalog.Member], complete bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if complete {
		clear(n.known)
	}
	for _, c := range changes {
		if c.Removed {
			delete(n.known, c.Name)
			delete(n.seen, c.Name)
		} else {
			n.known[c.Name] = c.Value
		}
	}
}

// fill adds what this process knows to a digest.
func (n *Node) fill(d *clgossip.Digest) {
	d.StoreLost = n.hub.StoreLost()
	for account, cost := range n.quotas.Spent() {
		d.Spending = append(d.Spending, &clgossip.Spending{Account: account, Cost: cost})
	}
	for _, w := range n.fleet.LocalLoad() {
		d.Busy = append(d.Busy, &clgossip.Busy{Endpoint: w.EndpointHash, Running: uint32(w.Running), PendingTokens: w.Pending.Encode()})
	}
	for number, counts := range n.usage.LocalCounts() {
		d.Windows = append(d.Windows, &clgossip.Window{Number: number, Counts: counts})
	}
	for s, c := range n.moves.LocalCounts() {
		d.Trials = append(d.Trials, &clgossip.Trial{
			Service: s.Service, Version: s.Version, Route: s.Route, Sent: c.Sent, Answered: c.Answered, Failed: c.Failed,
			LatencyUs: uint64(c.LatencySum.Microseconds()), Compared: c.LatencySamples,
		})
	}
	for _, s := range n.moves.Decide(clclock.Now()) {
		if s.Bad {
			d.Verdicts = append(d.Verdicts, &clgossip.Verdict{Service: s.Intent.Service, Version: s.Intent.Version})
		}
	}
	for f, count := range n.crashes.LocalCounts(time.Now()) {
		d.Crashes = append(d.Crashes, &clgossip.Crash{Fingerprint: f, Count: count})
	}
	for service, total := range n.fleet.Demand() {
		d.Demand = append(d.Demand, &clgossip.Demand{Service: service, Requests: total.Requests, Seconds: total.PrefillSeconds})
	}
}

// take learns from another gateway's digest.
func (n *Node) take(d *clgossip.Digest) {
	now := clclock.Now()
	if d.GetLeaving() {
		n.quotas.ForgetPeer(d.GetName())
	} else {
		n.quotas.RecordPeerSpending(d.GetName(), d.GetBoot(), lo.SliceToMap(d.GetSpending(), func(s *clgossip.Spending) (string, float64) {
			return s.GetAccount(), s.GetCost()
		}), now)
	}
	n.fleet.SetPeerLoad(d.GetName(), lo.Map(d.GetBusy(), func(b *clgossip.Busy, _ int) clfleet.EndpointLoad {
		return clfleet.EndpointLoad{EndpointHash: b.GetEndpoint(), Load: clfleet.Load{Running: int(b.GetRunning()), Pending: clfleet.DecodePendingTokens(b.GetPendingTokens())}}
	}))
	n.usage.UpdatePeer(d.GetName(), d.GetBoot(), lo.SliceToMap(d.GetWindows(), func(w *clgossip.Window) (int64, map[string]uint64) {
		return w.GetNumber(), w.GetCounts()
	}))
	n.moves.UpdatePeer(d.GetName(), lo.SliceToMap(d.GetTrials(), func(t *clgossip.Trial) (clmove.AttemptKey, clmove.AttemptCounts) {
		return clmove.AttemptKey{Service: t.GetService(), Version: t.GetVersion(), Route: t.GetRoute()}, clmove.AttemptCounts{
			Sent: t.GetSent(), Answered: t.GetAnswered(), Failed: t.GetFailed(),
			LatencySum: time.Duration(t.GetLatencyUs()) * time.Microsecond, LatencySamples: t.GetCompared(),
		}
	}))
	for _, v := range d.GetVerdicts() {
		n.moves.MarkBad(v.GetService(), v.GetVersion())
	}
	n.crashes.SetPeerCounts(d.GetName(), lo.SliceToMap(d.GetCrashes(), func(c *clgossip.Crash) (uint64, uint32) {
		return c.GetFingerprint(), c.GetCount()
	}))
	for _, dm := range d.GetDemand() {
		n.load.learn(dm.GetService(), d.GetName(), d.GetBoot(), dm.GetSeconds(), now)
	}
}

// RequestStarted counts a request that began to run.
func (n *Node) RequestStarted(account string) {
	if account != "" {
		n.usage.RecordStart(account, n.clock.Now())
	}
}

// AttemptStarted counts an attempt at a version of a service.
func (n *Node) AttemptStarted(service, version, route string) {
	n.moves.RecordAttempt(clmove.AttemptKey{Service: service, Version: version, Route: route})
}

// AttemptSampled counts the end of an attempt at a version of a service.
func (n *Node) AttemptSampled(service, version, route string, failed, warm bool, latency time.Duration) {
	n.moves.RecordOutcome(clmove.AttemptKey{Service: service, Version: version, Route: route}, failed, warm, latency)
}

// RequestAdmitted counts a request that arrived for a service.
func (n *Node) RequestAdmitted(service string) {
	n.load.learn(service, n.Settings.Name, n.exchange.Self.Boot, n.fleet.Demand()[service].PrefillSeconds, clclock.Now())
}
