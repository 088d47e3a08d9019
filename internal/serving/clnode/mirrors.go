// This file applies changes from the store and digests from the other gateways to the components.

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

// buildMirrors creates the mirrors of the store's objects. Gateways that follow
// each other exchange changes under the mirrors' names, so these must not change.
func (n *Node) buildMirrors(l *zap.Logger) {
	n.endpointMirror = &clmirror.Mirror[clcatalog.Endpoint]{
		Name: "endpoints", Source: n.Store.Endpoints(), WatchWait: watchWait, Apply: n.applyEndpoints, Logger: l,
	}
	n.rolloutMirror = &clmirror.Mirror[clcatalog.Rollout]{
		Name: "version moves", Source: n.Store.Rollouts(), WatchWait: watchWait, Apply: n.applyRollouts, Logger: l,
	}
	n.evacuationMirror = &clmirror.Mirror[clcatalog.Evacuation]{
		Name: "data centres out", Source: n.Store.Evacuations(), WatchWait: watchWait, Apply: n.applyEvacuations, Logger: l,
	}
	n.memberMirror = &clmirror.Mirror[clcatalog.Member]{
		Name: "gateways", Source: n.Store.Gateways(), WatchWait: watchWait, Apply: n.applyMembers, Logger: l,
	}
	n.configMirror = &clmirror.Mirror[*clcatalog.Catalog]{
		Name: "configuration", Source: n.Store.Configuration(), WatchWait: time.Millisecond, WatchPause: configPollInterval, Apply: n.applyConfig, ProbesStore: true, Logger: l,
	}
	n.replicator = &clmirror.Replicator{
		BootID: n.exchange.Self.Boot, ListenAddress: n.Settings.PeerAddress, Readers: n.readerAddresses,
		GatewayCount: func() int { return len(n.registeredGateways()) }, LastConfirmed: n.configMirror.LastConfirmed, Confirm: n.configMirror.Confirm,
		OnStoreLostChange: n.exchange.SendToDataCentre, Logger: l,
	}
	clmirror.Add(n.replicator, n.configMirror)
	clmirror.Add(n.replicator, n.endpointMirror)
	clmirror.Add(n.replicator, n.rolloutMirror)
	clmirror.Add(n.replicator, n.evacuationMirror)
	clmirror.Add(n.replicator, n.memberMirror)
}

const (
	// grantedOvershoot is the fraction of the tolerated overshoot that is added to
	// the rate, so that requests within the quota are not refused because the
	// gateways' counts lag. The rest covers the overshoot that the lag itself
	// causes.
	grantedOvershoot = 0.5
	// overshootGatewayLimit is the number of gateways from which the lag uses up
	// the whole tolerance: each gateway then sends fewer than five digests per
	// second.
	overshootGatewayLimit = 13
)

// grantedQuota returns the rate and the burst granted to an account. The rate is
// increased by a part of the tolerated overshoot, and the burst by a quarter of
// the slack, but at most by a quarter of the burst.
func grantedQuota(a clcatalog.Account, s Settings, gateways int) (rate, burst float64) {
	if a.Rate <= 0 || gateways >= overshootGatewayLimit {
		return a.Rate, a.Burst
	}
	return a.Rate * (1 + grantedOvershoot*s.QuotaOvershoot), a.Burst + min(s.QuotaSlack, a.Burst)/4
}

// readerAddresses returns the addresses of the gateways that this gateway may
// follow. If there are none, it reads the store itself.
func (n *Node) readerAddresses() []netip.AddrPort {
	var others []clmirror.Candidate
	for _, name := range n.exchange.AlivePeers() {
		if m, ok := n.member(name); ok && m.DataCentre == n.Settings.DataCentre {
			others = append(others, clmirror.Candidate{Name: name, Address: m.Address, StoreLost: n.exchange.StoreLost(name)})
		}
	}
	return clmirror.RankReaders(clmirror.Candidate{Name: n.Settings.Name, Address: n.Settings.PeerAddress, StoreLost: n.replicator.StoreLost()}, others)
}

// member returns the registered gateway with the given name.
func (n *Node) member(name string) (clcatalog.Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m, ok := n.members[name]
	return m, ok
}

// applyConfig puts a newer configuration in force.
func (n *Node) applyConfig(changes []clmirror.Change[*clcatalog.Catalog], _ bool) {
	for _, c := range changes {
		if c.Removed {
			n.Logger.Warn("configuration is invalid", zap.String("object", c.Name), zap.String("why", c.Why))
			continue
		}
		if old := n.gateway.Catalog(); old != nil && old.Version >= c.Value.Version {
			continue
		}
		// The indexes are not transferred between gateways.
		c.Value.BuildIndexes()
		now := clclock.Now()
		for _, a := range c.Value.Accounts {
			rate, burst := grantedQuota(a, n.Settings, len(n.registeredGateways()))
			n.quotas.SetLimit(a.Name, rate, burst, now)
		}
		n.fleet.SetCatalog(c.Value)
		n.gateway.SetCatalog(c.Value)
		n.Logger.Info("configuration in force", zap.Uint64("config_version", c.Value.Version), zap.Int("routes", len(c.Value.Routes)),
			zap.Int("accounts", len(c.Value.Accounts)))
	}
}

// applyEndpoints updates the fleet from the endpoint registry.
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
		n.readiness.Meet(conditionEndpoints)
	}
}

// applyRollouts passes the rollouts that operators requested to the rollout
// controller.
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
		n.Logger.Info("rollout requested", zap.String("service", c.Value.Service), zap.String("version", c.Value.Version),
			zap.Duration("within", c.Value.Within), zap.String("outcome", string(c.Value.Outcome)))
	}
	intents := n.rolloutIntents()
	n.mu.Unlock()
	n.rollouts.SetIntents(intents, clclock.Now())
	for _, service := range removed {
		n.fleet.SetSplit(service, clfleet.Split{})
	}
}

// applyEvacuations excludes the endpoints of evacuated data centres.
func (n *Node) applyEvacuations(changes []clmirror.Change[clcatalog.Evacuation], complete bool) {
	n.mu.Lock()
	if complete {
		clear(n.evacuated)
	}
	for _, c := range changes {
		if c.Removed {
			delete(n.evacuated, c.Name)
		} else {
			n.evacuated[c.Value.DataCentre] = true
		}
		n.Logger.Info("evacuation", zap.String("data_centre", c.Name), zap.Bool("ended", c.Removed))
	}
	excluded := lo.Keys(n.evacuated)
	n.mu.Unlock()
	n.fleet.SetExcludedDataCentres(excluded, time.Now())
}

// applyMembers updates the registered gateways.
func (n *Node) applyMembers(changes []clmirror.Change[clcatalog.Member], complete bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if complete {
		clear(n.members)
	}
	for _, c := range changes {
		if c.Removed {
			delete(n.members, c.Name)
			delete(n.observedSince, c.Name)
		} else {
			n.members[c.Name] = c.Value
		}
	}
}

// fillDigest adds the state of this process's components to a digest.
func (n *Node) fillDigest(d *clgossip.Digest) {
	d.StoreLost = n.replicator.StoreLost()
	for account, cost := range n.quotas.Spent() {
		d.Spending = append(d.Spending, &clgossip.Spending{Account: account, Cost: cost})
	}
	for _, w := range n.fleet.LocalLoad() {
		d.Busy = append(d.Busy, &clgossip.Busy{Endpoint: w.EndpointHash, Running: uint32(w.Running), PendingTokens: w.Pending.Encode()})
	}
	for number, counts := range n.usage.LocalCounts() {
		d.Windows = append(d.Windows, &clgossip.Window{Number: number, Counts: counts})
	}
	for s, c := range n.rollouts.LocalCounts() {
		d.Trials = append(d.Trials, &clgossip.Trial{
			Service: s.Service, Version: s.Version, Route: s.Route, Sent: c.Sent, Answered: c.Answered, Failed: c.Failed,
			LatencyUs: uint64(c.LatencySum.Microseconds()), Compared: c.LatencySamples,
		})
	}
	for _, s := range n.rollouts.Decide(clclock.Now()) {
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

// applyDigest passes the content of another gateway's digest to the components.
func (n *Node) applyDigest(d *clgossip.Digest) {
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
	n.rollouts.UpdatePeer(d.GetName(), lo.SliceToMap(d.GetTrials(), func(t *clgossip.Trial) (clmove.AttemptKey, clmove.AttemptCounts) {
		return clmove.AttemptKey{Service: t.GetService(), Version: t.GetVersion(), Route: t.GetRoute()}, clmove.AttemptCounts{
			Sent: t.GetSent(), Answered: t.GetAnswered(), Failed: t.GetFailed(),
			LatencySum: time.Duration(t.GetLatencyUs()) * time.Microsecond, LatencySamples: t.GetCompared(),
		}
	}))
	for _, v := range d.GetVerdicts() {
		n.rollouts.MarkBad(v.GetService(), v.GetVersion())
	}
	n.crashes.SetPeerCounts(d.GetName(), lo.SliceToMap(d.GetCrashes(), func(c *clgossip.Crash) (uint64, uint32) {
		return c.GetFingerprint(), c.GetCount()
	}))
	for _, demand := range d.GetDemand() {
		n.loadEstimate.record(demand.GetService(), d.GetName(), d.GetBoot(), demand.GetSeconds(), now)
	}
}

// RequestStarted counts a request that an endpoint has started to execute. An
// empty account is not counted.
func (n *Node) RequestStarted(account string) {
	if account != "" {
		n.usage.RecordStart(account, n.clock.Now())
	}
}

// AttemptStarted counts an attempt to execute a request on a version of a
// service.
func (n *Node) AttemptStarted(service, version, route string) {
	n.rollouts.RecordAttempt(clmove.AttemptKey{Service: service, Version: version, Route: route})
}

// AttemptSampled records the outcome of an attempt. warm means that its latency is
// comparable with that of other attempts.
func (n *Node) AttemptSampled(service, version, route string, failed, warm bool, latency time.Duration) {
	n.rollouts.RecordOutcome(clmove.AttemptKey{Service: service, Version: version, Route: route}, failed, warm, latency)
}

// RequestAdmitted updates the load estimate of a service after a request was
// admitted.
func (n *Node) RequestAdmitted(service string) {
	n.loadEstimate.record(service, n.Settings.Name, n.exchange.Self.Boot, n.fleet.Demand()[service].PrefillSeconds, clclock.Now())
}
