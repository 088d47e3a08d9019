// This file passes the changes in the store, the digests of the other gateways and
// the events of requests on to the components.

package clnode

import (
	"math"
	"net/netip"
	"time"

	"github.com/chestnutlead/chestnutlead/clobserve"
	"github.com/chestnutlead/chestnutlead/internal/coordination/clgossip"
	"github.com/chestnutlead/chestnutlead/internal/coordination/clmirror"
	"github.com/chestnutlead/chestnutlead/internal/coordination/clmove"
	"github.com/chestnutlead/chestnutlead/internal/limits/clquota"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/chestnutlead/chestnutlead/internal/routing/clfleet"
	"github.com/samber/lo"
	"go.uber.org/zap"
)

// buildMirrors creates the mirrors of the store's objects and the replicator that
// runs them. Gateways that follow each other exchange changes under the mirrors'
// names, so the names must not change.
func (n *Node) buildMirrors(logger *zap.Logger) {
	n.endpointMirror = &clmirror.Mirror[clcatalog.Endpoint]{
		Name: "endpoints", Source: n.Store.Endpoints(), WatchWait: maxWatchWait, Apply: n.applyEndpoints, Recover: recoverEndpoint, Logger: logger,
	}
	n.rolloutMirror = &clmirror.Mirror[clcatalog.Rollout]{
		Name: "version moves", Source: n.Store.Rollouts(), WatchWait: maxWatchWait, Apply: n.applyRollouts, Logger: logger,
	}
	n.evacuationMirror = &clmirror.Mirror[clcatalog.Evacuation]{
		Name: "data centres out", Source: n.Store.Evacuations(), WatchWait: maxWatchWait, Apply: n.applyEvacuations, Logger: logger,
	}
	n.gatewayMirror = &clmirror.Mirror[clcatalog.Member]{
		Name: "gateways", Source: n.Store.Gateways(), WatchWait: maxWatchWait, Apply: n.applyGateways, Recover: recoverMember, Logger: logger,
	}
	// The configuration is polled: its watch returns almost at once.
	n.configMirror = &clmirror.Mirror[*clcatalog.Catalog]{
		Name: "configuration", Source: n.Store.Configuration(), WatchWait: time.Millisecond, WatchPause: n.configPollInterval(), Apply: n.applyConfig, Recover: recoverConfig, ProbesStore: true, Logger: logger,
	}
	n.replicator = &clmirror.Replicator{
		BootID: n.exchange.Self.Boot, ListenAddress: n.Settings.PeerAddress, Readers: n.readerAddresses,
		GatewayCount: func() int { return len(n.registeredGateways()) }, ChangeDeadline: n.Settings.ChangeDeadline,
		OnStoreLostChange: n.exchange.SendToDataCentre, StoreEra: n.storeEra, OnEra: n.beginEra, Logger: logger,
	}
	n.Metrics.GaugeFunc(clobserve.Name{Component: "mirror", What: "new_era", Unit: "seconds"},
		"Time from when the latest return of the store became known until all copies had begun again.", func() float64 {
			_, delay := n.replicator.Era()
			return delay.Seconds()
		})
	clmirror.Add(n.replicator, n.configMirror)
	clmirror.Add(n.replicator, n.endpointMirror)
	clmirror.Add(n.replicator, n.rolloutMirror)
	clmirror.Add(n.replicator, n.evacuationMirror)
	clmirror.Add(n.replicator, n.gatewayMirror)
}

// readerAddresses returns the addresses of the gateways whose mirrors this gateway
// may follow, the preferred one first. If there are none, this gateway reads the
// store itself.
func (n *Node) readerAddresses() []netip.AddrPort {
	var candidates []clmirror.Candidate
	for _, name := range n.exchange.AlivePeers() {
		if m, ok := n.registeredGateway(name); ok && m.DataCentre == n.Settings.DataCentre {
			candidates = append(candidates, clmirror.Candidate{Name: name, Address: m.Address, StoreLost: n.exchange.StoreLost(name)})
		}
	}
	return clmirror.RankReaders(clmirror.Candidate{Name: n.Settings.Name, Address: n.Settings.PeerAddress, StoreLost: n.replicator.StoreLost()}, candidates)
}

// registeredGateway returns the entry of the gateway with the given name, and
// whether the gateway is registered.
func (n *Node) registeredGateway(name string) (clcatalog.Member, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	m, ok := n.gatewayEntries[name]
	return m, ok
}

// applyConfig puts a configuration in force if it is newer than the current one.
// An invalid configuration is logged, and the current one stays in force.
func (n *Node) applyConfig(changes []clmirror.Change[*clcatalog.Catalog], _ bool) {
	for _, c := range changes {
		if c.Removed {
			n.Logger.Warn("configuration is invalid", zap.String("object", c.Name), zap.String("why", c.Why))
			continue
		}
		if old := n.gateway.Catalog(); old != nil && old.Version >= c.Value.Version {
			continue
		}
		// A configuration that was received from another gateway has no indexes.
		c.Value.BuildIndexes()
		n.applyQuotas(c.Value, len(n.registeredGateways()))
		n.applyShareConfig(c.Value)
		n.fleet.SetCatalog(c.Value)
		n.gateway.SetCatalog(c.Value)
		n.Logger.Info("configuration in force", zap.Uint64("config_version", c.Value.Version), zap.Int("routes", len(c.Value.Routes)),
			zap.Int("accounts", len(c.Value.Accounts)))
	}
}

// updateQuotaGrants applies the quotas again when the number of gateways has changed,
// since what is granted depends on it. The configuration usually arrives before the list
// of gateways.
func (n *Node) updateQuotaGrants(gatewayCount int) {
	catalog := n.gateway.Catalog()
	if catalog == nil || gatewayCount == n.grantedGatewayCount {
		return
	}
	n.grantedGatewayCount = gatewayCount
	n.applyQuotas(catalog, gatewayCount)
}

// applyQuotas sets the quotas of the accounts of a configuration, as they are granted
// with the given number of gateways.
func (n *Node) applyQuotas(c *clcatalog.Catalog, gatewayCount int) {
	now, tolerance := clclock.Now(), clquota.Tolerance{Overshoot: n.Settings.QuotaOvershoot, Slack: n.Settings.QuotaSlack}
	for _, a := range c.Accounts {
		rate, burst := tolerance.Grant(a.Rate, a.Burst, gatewayCount, clgossip.DigestInterval(gatewayCount))
		n.quotaLimiter.SetLimit(a.Name, rate, burst, now)
	}
}

// applyEndpoints applies changes of the registered endpoints to the fleet. If
// complete is set, changes contains all registered endpoints, and endpoints that it
// does not contain are removed from the fleet.
func (n *Node) applyEndpoints(changes []clmirror.Change[clcatalog.Endpoint], complete bool) {
	now := time.Now()
	if complete {
		registeredIDs := map[string]bool{}
		for _, c := range changes {
			registeredIDs[c.Name] = !c.Removed
		}
		n.fleet.Retain(registeredIDs)
	}
	for _, c := range changes {
		n.recordRejection(c.Name, c.Why)
		if c.Removed {
			n.fleet.Remove(c.Name)
			if c.Why != "" {
				continue
			}
			n.Logger.Info("endpoint removed", zap.String("endpoint", c.Name), zap.Uint64("revision", c.Revision))
			continue
		}
		n.fleet.Put(c.Value, now)
		e := c.Value
		n.Logger.Info("endpoint registered", zap.String("endpoint", e.ID), zap.String("service", e.Service), zap.String("data_centre", e.DataCentre),
			zap.String("version", e.Version), zap.Bool("leaving", e.Leaving), zap.Bool("spot", e.Spot), zap.Duration("cold_for", e.ColdFor),
			zap.Int64("born", e.Born), zap.Stringer("address", e.Address), zap.Uint64("revision", c.Revision))
	}
	if complete {
		n.fleet.MarkSynced()
		n.readiness.Meet(conditionEndpoints)
	}
}

// recordRejection counts an entry of an endpoint that can't be used, and logs it unless it
// was rejected for the same reason before. An empty reason means that the entry is usable
// or gone.
func (n *Node) recordRejection(name, why string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if why == "" {
		delete(n.rejectedEntries, name)
		return
	}
	n.rejections.Inc()
	if n.rejectedEntries[name] == why || len(n.rejectedEntries) >= maxRejectedEntries {
		return
	}
	n.rejectedEntries[name] = why
	n.Logger.Warn("endpoint's entry cannot be used", zap.String("endpoint", name), zap.String("why", why))
}

// applyRollouts applies changes of the requested rollouts to the rollout
// controller. If complete is set, changes contains all requested rollouts and
// replaces the known ones. The traffic split of a service is reset when changes
// reports that its rollout was removed.
func (n *Node) applyRollouts(changes []clmirror.Change[clcatalog.Rollout], complete bool) {
	if complete {
		n.noteFirstRollouts()
	}
	n.mu.Lock()
	removed := []string{}
	if complete {
		// A complete copy says nothing of the rollouts that it no longer contains.
		removed = lo.Keys(n.requestedRollouts)
		clear(n.requestedRollouts)
	}
	for _, c := range changes {
		if c.Removed {
			delete(n.requestedRollouts, c.Name)
			removed = append(removed, c.Name)
			continue
		}
		n.requestedRollouts[c.Value.Service] = c.Value
		n.Logger.Info("rollout requested", zap.String("service", c.Value.Service), zap.String("version", c.Value.Version),
			zap.Duration("within", c.Value.Within), zap.String("outcome", string(c.Value.Outcome)))
	}
	requested := n.listRequestedRollouts()
	removed = lo.Reject(removed, func(service string, _ int) bool { _, ok := n.requestedRollouts[service]; return ok })
	n.mu.Unlock()
	n.rolloutController.SetIntents(requested, complete, clclock.Now())
	for _, service := range removed {
		n.fleet.SetSplit(service, clfleet.Split{})
	}
}

// applyEvacuations applies changes of the evacuations to the fleet, which sends no
// requests to evacuated data centres. If complete is set, changes contains all
// evacuations and replaces the known ones.
func (n *Node) applyEvacuations(changes []clmirror.Change[clcatalog.Evacuation], complete bool) {
	n.mu.Lock()
	if complete {
		clear(n.evacuatedDataCentres)
	}
	for _, c := range changes {
		if c.Removed {
			delete(n.evacuatedDataCentres, c.Name)
		} else {
			n.evacuatedDataCentres[c.Value.DataCentre] = true
		}
		n.Logger.Info("evacuation", zap.String("data_centre", c.Name), zap.Bool("ended", c.Removed))
	}
	excluded := lo.Keys(n.evacuatedDataCentres)
	n.mu.Unlock()
	n.fleet.SetExcludedDataCentres(excluded, time.Now())
}

// applyGateways updates the entries of the registered gateways. If complete is set,
// changes contains the entries of all registered gateways and replaces the known
// entries.
func (n *Node) applyGateways(changes []clmirror.Change[clcatalog.Member], complete bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if complete {
		clear(n.gatewayEntries)
	}
	for _, c := range changes {
		if c.Removed {
			delete(n.gatewayEntries, c.Name)
			delete(n.silenceStart, c.Name)
			n.gateway.Shares.ForgetPeer(c.Name)
		} else {
			n.gatewayEntries[c.Name] = c.Value
		}
	}
}

// fillDigest adds the counts and the state of this gateway's components to a
// digest that is about to be sent.
func (n *Node) fillDigest(d *clgossip.Digest) {
	d.StoreLost = n.replicator.StoreLost()
	for account, cost := range n.quotaLimiter.Spent() {
		d.Spending = append(d.Spending, &clgossip.Spending{Account: account, Cost: cost})
	}
	for _, load := range n.fleet.LocalLoad() {
		d.Busy = append(d.Busy, &clgossip.Busy{Endpoint: load.EndpointHash, Running: uint32(load.Running), PendingTokens: load.Pending.Encode(), MemoryTokens: uint32(min(math.MaxUint32, max(0, load.Memory)))})
	}
	d.Statements = encodeStatements(n.fleet.Statements(time.Now()))
	for windowNumber, counts := range n.usageCounter.LocalCounts() {
		d.Windows = append(d.Windows, &clgossip.Window{Number: windowNumber, Counts: counts})
	}
	for windowNumber, counts := range n.coordinator.UnacceptedReports() {
		d.Reports = append(d.Reports, &clgossip.Window{Number: windowNumber, Counts: counts})
	}
	for key, c := range n.rolloutController.LocalCounts() {
		d.Trials = append(d.Trials, &clgossip.Trial{
			Service: key.Service, Version: key.Version, Route: key.Route, Sent: c.Sent, Answered: c.Answered, Failed: c.Failed,
			LatencyUs: uint64(c.LatencySum.Microseconds()), Compared: c.LatencySamples,
		})
	}
	for _, decision := range n.rolloutController.Decide(clclock.Now()) {
		if decision.Bad {
			d.Verdicts = append(d.Verdicts, &clgossip.Verdict{Service: decision.Intent.Service, Version: decision.Intent.Version})
		}
		if decision.Settled && decision.Outcome == clcatalog.RolloutDone {
			d.Completions = append(d.Completions, &clgossip.Completion{
				Service: decision.Intent.Service, Version: decision.Intent.Version, WithinNs: uint64(decision.Intent.Within),
			})
		}
	}
	n.fillCrashEvidence(d)
	n.fillServiceCosts(d, clclock.Now())
	for service, demand := range n.fleet.Demand() {
		d.Demand = append(d.Demand, &clgossip.Demand{Service: service, Requests: demand.Requests, Seconds: demand.PrefillSeconds})
	}
}

// applyDigest passes the content of a digest from another gateway to the
// components. A gateway that is leaving goes on admitting requests until the ingress
// has noticed, so its spending counts as well.
func (n *Node) applyDigest(d *clgossip.Digest) {
	now := clclock.Now()
	n.quotaLimiter.RecordPeerSpending(d.GetName(), d.GetBoot(), lo.SliceToMap(d.GetSpending(), func(s *clgossip.Spending) (string, float64) {
		return s.GetAccount(), s.GetCost()
	}), now)
	if d.GetLeaving() {
		n.quotaLimiter.SetPeerLeaving(d.GetName())
	}
	n.fleet.SetPeerLoad(d.GetName(), lo.Map(d.GetBusy(), func(b *clgossip.Busy, _ int) clfleet.EndpointLoad {
		return clfleet.EndpointLoad{EndpointHash: b.GetEndpoint(), Load: clfleet.Load{Running: int(b.GetRunning()), Pending: clfleet.DecodePendingTokens(b.GetPendingTokens()), Memory: float64(b.GetMemoryTokens())}}
	}))
	n.fleet.RecordPeerStatements(decodeStatements(d.GetStatements()), time.Now())
	windowCounts := func(w *clgossip.Window) (int64, map[string]uint64) { return w.GetNumber(), w.GetCounts() }
	n.usageCounter.UpdatePeer(d.GetName(), d.GetBoot(), lo.SliceToMap(d.GetWindows(), windowCounts))
	n.coordinator.RecordPeerReports(lo.SliceToMap(d.GetReports(), windowCounts))
	n.rolloutController.UpdatePeer(d.GetName(), lo.SliceToMap(d.GetTrials(), func(t *clgossip.Trial) (clmove.AttemptKey, clmove.AttemptCounts) {
		return clmove.AttemptKey{Service: t.GetService(), Version: t.GetVersion(), Route: t.GetRoute()}, clmove.AttemptCounts{
			Sent: t.GetSent(), Answered: t.GetAnswered(), Failed: t.GetFailed(),
			LatencySum: time.Duration(t.GetLatencyUs()) * time.Microsecond, LatencySamples: t.GetCompared(),
		}
	}))
	for _, v := range d.GetVerdicts() {
		n.rolloutController.MarkBad(v.GetService(), v.GetVersion())
	}
	for _, c := range d.GetCompletions() {
		n.rolloutController.MarkDone(c.GetService(), c.GetVersion(), time.Duration(c.GetWithinNs()), now)
	}
	n.mergeCrashEvidence(d)
	n.applyServiceCosts(d, now)
	for _, demand := range d.GetDemand() {
		n.loadEstimator.record(demand.GetService(), d.GetName(), d.GetBoot(), demand.GetSeconds(), now)
	}
}

// RequestStarted counts, towards the account's usage, a request that an endpoint
// has started to execute. A request without an account is not counted.
func (n *Node) RequestStarted(account string) {
	if account != "" {
		n.usageCounter.RecordStart(account, n.clock.Now())
	}
}

// AttemptStarted counts an attempt to execute a request of a route on an endpoint
// that runs the given version of a service.
func (n *Node) AttemptStarted(service, version, route string) {
	n.rolloutController.RecordAttempt(clmove.AttemptKey{Service: service, Version: version, Route: route})
}

// AttemptSampled records the outcome of an attempt that AttemptStarted has counted.
// latency is the time since the request was sent to the endpoint. warm is false if
// this gateway first saw the endpoint so recently that the latency may not be
// characteristic of the endpoint's version; such latencies are not compared between
// versions.
func (n *Node) AttemptSampled(service, version, route string, failed, warm bool, latency time.Duration) {
	n.rolloutController.RecordOutcome(clmove.AttemptKey{Service: service, Version: version, Route: route}, failed, warm, latency)
}

// RequestAdmitted updates the load of a service from this gateway's requests. It
// is called for each request that is admitted to the service.
func (n *Node) RequestAdmitted(service string) {
	n.loadEstimator.record(service, n.Settings.Name, n.exchange.Self.Boot, n.fleet.Demand()[service].PrefillSeconds, clclock.Now())
}
