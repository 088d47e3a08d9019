// This file defines the collection of outcomes during version moves.

package clentry

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/clmember"
	"github.com/chestnutlead/chestnutlead/clpeer"
	"github.com/chestnutlead/chestnutlead/clrollout"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clwait"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/samber/lo"
	"go.uber.org/zap"
)

const (
	evidenceEvery         = 200 * time.Millisecond
	suspendedFactLifetime = 24 * time.Hour
)

// evidence sums the outcomes of services whose version moves, sends them to
// the process that evaluates the rollout, and suspends a version on the
// entry's own evidence.
type evidence struct {
	node      *clpeer.Node
	transport *clpeer.Transport
	views     *views
	timeout   time.Duration
	log       *zap.Logger
	// onSuspend is called when the own evidence condemns a version.
	onSuspend func(queueKey)

	mu        sync.Mutex
	collector clrollout.Collector
	locals    map[string]*localRollout
	control   grantorAddress
}

// localRollout evaluates the entry's own evidence of one move.
type localRollout struct {
	planID string
	share  uint32
	local  *clrollout.Local
}

func (e *evidence) init() { e.locals = make(map[string]*localRollout) }

// add counts the end of one attempt.
func (e *evidence) add(a *attempt, failed, broken bool) {
	if e.views.load().moves[a.p.endpoint.service] == nil {
		return
	}
	now := time.Now()
	latency := a.first
	if latency == 0 {
		latency = now.Sub(a.sent)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.collector.Observe(now, clrollout.Outcome{
		Service: a.p.endpoint.service, Version: a.p.endpoint.version, Route: a.route,
		Latency: latency, Failed: failed, Cold: a.cold, Broken: broken,
		Endpoint: a.p.endpoint.id, Fingerprint: a.w.fingerprint.String(),
	})
}

// restarted excludes the requests that an endpoint ran when it restarted.
func (e *evidence) restarted(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.collector.EndpointRestarted(time.Now(), id)
}

// learnControl takes a fact that names the holder of the control lease.
func (e *evidence) learnControl(f clmember.Fact) {
	g, ok := parseGrantor(f.Detail)
	e.mu.Lock()
	defer e.mu.Unlock()
	if ok && g.fencing >= e.control.fencing {
		e.control = g
	}
}

// applyView follows the moves and their shares.
func (e *evidence) applyView(v *view) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for svc, m := range v.moves {
		l := e.locals[svc]
		if l == nil || l.planID != m.GetPlanId() {
			l = newLocalRollout(m, now)
			e.locals[svc] = l
		}
		if l.share != m.GetSharePermille() {
			l.share = m.GetSharePermille()
			l.local.ShareApplied(now, l.share)
		}
	}
	for svc := range e.locals {
		if v.moves[svc] == nil {
			delete(e.locals, svc)
		}
	}
}

func newLocalRollout(m *clstate.Move, now time.Time) *localRollout {
	return &localRollout{planID: m.GetPlanId(), share: m.GetSharePermille(), local: clrollout.NewLocal(clrollout.Config{
		Service: m.GetService(), From: m.GetFromVersion(), To: m.GetToVersion(), Start: now,
		Deadline: m.GetDeadline().AsTime(), SharePermille: m.GetSharePermille(),
	})}
}

// loop evaluates and sends evidence until ctx ends.
func (e *evidence) loop(ctx context.Context) error {
	var last uint64
	return clwait.Every(ctx, evidenceEvery, func(now time.Time) { last = e.step(ctx, now, last) })
}

// step handles the current batch: own evaluation once, sending until it is received.
func (e *evidence) step(ctx context.Context, now time.Time, last uint64) uint64 {
	e.mu.Lock()
	sequence, batch := e.collector.Take(now)
	var bad []queueKey
	if sequence != last && len(batch) > 0 {
		bad = e.evaluate(now, batch)
	}
	control := e.control
	e.mu.Unlock()
	for _, key := range bad {
		e.suspend(key)
	}
	if len(batch) == 0 {
		return sequence
	}
	if !control.addr.IsValid() {
		return sequence
	}
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	_, err := e.transport.Peer(control.addr).ReportEvidence(ctx, &clwire.ReportEvidenceRequest{
		From: e.node.Self().ID, Sequence: sequence, Evidence: lo.Map(batch, func(x clrollout.Evidence, _ int) *clwire.RouteEvidence { return evidenceToWire(x) }),
	})
	if err != nil {
		e.log.Debug("Evidence cannot be sent. It is sent again.", zap.Error(err))
		return sequence
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.collector.Ack(sequence)
	return sequence
}

// evaluate returns the versions that the own evidence condemns.
func (e *evidence) evaluate(now time.Time, batch []clrollout.Evidence) []queueKey {
	var bad []queueKey
	for svc, byService := range lo.GroupBy(batch, func(x clrollout.Evidence) string { return x.Service }) {
		l, m := e.locals[svc], e.views.load().moves[svc]
		if l == nil || m == nil {
			continue
		}
		l.local.Add(byService)
		if finding, ok := l.local.Suspended(now); ok {
			e.log.Info("Own evidence shows a fault of the new version.", zap.String("service", svc),
				zap.String("version", m.GetToVersion()), zap.String("route", finding.Route), zap.String("metric", string(finding.Metric)))
			bad = append(bad, queueKey{svc, m.GetToVersion()})
		}
	}
	return bad
}

// suspend stops new work for the version here and in all entries.
func (e *evidence) suspend(key queueKey) {
	e.onSuspend(key)
	e.node.AddFact(clmember.Fact{
		ID: "suspended/" + key.service + "/" + key.version, Kind: clmember.VersionSuspended,
		Lifetime: suspendedFactLifetime, Subject: key.service + "/" + key.version,
		Detail: "evidence of entry " + e.node.Self().ID, Urgent: true,
	})
}

// parseVersionSubject splits the subject of a VersionSuspended fact.
func parseVersionSubject(subject string) (queueKey, bool) {
	service, version, ok := strings.Cut(subject, "/")
	return queueKey{service, version}, ok
}

func evidenceToWire(x clrollout.Evidence) *clwire.RouteEvidence {
	return &clwire.RouteEvidence{
		Service: x.Service, Version: x.Version, Route: x.Route, MinuteUnix: x.Minute,
		Succeeded: x.Succeeded, Failed: x.Failed, LatencyCounts: x.LatencyCounts,
	}
}
