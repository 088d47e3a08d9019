// This file defines the collection of outcomes during version moves.

package clentry

import (
	"context"
	"maps"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
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
	// evaluateEvery is the time between two evaluations of the own evidence. They
	// need nobody else, so that an entry suspends a bad version whatever happens to
	// its reports.
	evaluateEvery         = 200 * time.Millisecond
	suspendedFactLifetime = 24 * time.Hour

	// retryEvidence is the pause before a batch is sent elsewhere.
	retryEvidence = 50 * time.Millisecond
	// reportersPerSum is the number of entries of a data centre for which one of
	// them sums evidence. With more entries in it they report half as often, so
	// that the reports of 22 (hashing shares them out unevenly), of about 900 B,
	// are 10 KB/s for the process that sums, and the sums of 5 data centres with
	// 78 entries each 14 KB/s for the one that evaluates.
	reportersPerSum = 16
	// summingCandidates entries may sum an entry's evidence, the first in its
	// order that has not failed within failedFor. If all have failed, an entry
	// reports to the evaluating process itself.
	summingCandidates = 3
	failedFor         = 10 * time.Second
)

// evidence sums the outcomes of services whose version moves, sends them to
// the process that evaluates the rollout, and suspends a version on the
// entry's own evidence.
type evidence struct {
	self clmember.Member
	// rank returns the entries of this data centre, first the one that sums its evidence.
	rank func() []clmember.Member
	// peer returns a process to report to; calls to one that sums take longer.
	peer func(addr netip.AddrPort, sums bool) clpeer.Evidence
	// sums is this process's own sum.
	sums    clpeer.Evidence
	views   *views
	timeout time.Duration
	log     *zap.Logger
	// onSuspend is called when the own evidence condemns a version, and addFact
	// tells the others.
	onSuspend func(queueKey)
	addFact   func(clmember.Fact)

	mu sync.Mutex
	// own collects for the evaluation here and reported for the one of all
	// entries, which waits for acknowledgements.
	own, reported clrollout.Collector
	locals        map[string]*localRollout
	control       grantorAddress
	// failed has when processes that sum evidence failed last.
	failed map[string]time.Time
}

// localRollout evaluates the entry's own evidence of one move.
type localRollout struct {
	planID string
	share  uint32
	local  *clrollout.Local
}

func (e *evidence) init() {
	e.locals, e.failed = make(map[string]*localRollout), make(map[string]time.Time)
}

// reportTimeout is the longest wait for an answer to a report: for the sum's
// turn, and for the evaluating process, with one repetition.
func reportTimeout(call time.Duration) time.Duration {
	return clpeer.EvidenceInterval + clpeer.EvidenceGather + 2*call
}

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
	e.observe(now, clrollout.Outcome{
		Service: a.p.endpoint.service, Version: a.p.endpoint.version, Route: a.route,
		Latency: latency, Failed: failed, Cold: a.cold, Broken: broken,
		Endpoint: a.p.endpoint.id, Fingerprint: a.w.fingerprint.String(),
	})
}

func (e *evidence) observe(now time.Time, o clrollout.Outcome) {
	e.own.Observe(now, o)
	e.reported.Observe(now, o)
}

// restarted excludes the requests that an endpoint ran when it restarted.
func (e *evidence) restarted(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.own.EndpointRestarted(now, id)
	e.reported.EndpointRestarted(now, id)
}

// learnControl takes a fact that names the holder of the control lease.
func (e *evidence) learnControl(f clmember.Fact) {
	g, ok := parseGrantor(f.Detail)
	e.mu.Lock()
	defer e.mu.Unlock()
	if !ok || g.fencing < e.control.fencing {
		return
	}
	if g.fencing > e.control.fencing {
		// The failures may have been those of the former holder.
		clear(e.failed)
	}
	e.control = g
}

// holder returns the address of the evaluating process.
func (e *evidence) holder() netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.control.addr
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

// loop evaluates the own evidence until ctx ends.
func (e *evidence) loop(ctx context.Context) error {
	return clwait.Every(ctx, evaluateEvery, e.evaluateOwn)
}

// evaluateOwn suspends the versions that the own evidence condemns.
func (e *evidence) evaluateOwn(now time.Time) {
	e.mu.Lock()
	sequence, batch := e.own.Take(now)
	e.own.Ack(sequence)
	bad := e.evaluate(now, batch)
	e.mu.Unlock()
	for _, key := range bad {
		e.suspend(key)
	}
}

// loopReport sends evidence until ctx ends.
func (e *evidence) loopReport(ctx context.Context) error {
	for {
		if clwait.Pause(ctx, e.report(ctx, time.Now())) != nil {
			return nil
		}
	}
}

// report sends the current batch, the same one until it has been counted, and
// returns the pause before the next report.
func (e *evidence) report(ctx context.Context, now time.Time) time.Duration {
	e.mu.Lock()
	sequence, batch := e.reported.Take(now)
	holder := e.control.addr
	e.mu.Unlock()
	if len(batch) == 0 || !holder.IsValid() {
		return clpeer.EvidenceGather
	}
	rank := e.rank()
	interval := reportInterval(len(rank))
	e.mu.Lock()
	to, found := chooseSummer(summersOf(e.self.ID, rank), e.failed, now)
	e.mu.Unlock()
	err := e.send(ctx, to, found, holder, &clwire.ReportEvidenceRequest{
		From: e.self.ID, Sequence: sequence, Evidence: clpeer.EvidenceToWire(batch),
	})
	if err != nil {
		e.log.Debug("Evidence cannot be sent. It is sent again.", zap.String("to", to.ID), zap.Error(err))
		if !found {
			return interval
		}
		e.mu.Lock()
		maps.DeleteFunc(e.failed, func(_ string, at time.Time) bool { return now.Sub(at) >= failedFor })
		e.failed[to.ID] = now
		e.mu.Unlock()
		return retryEvidence
	}
	e.mu.Lock()
	e.reported.Ack(sequence)
	e.mu.Unlock()
	return interval - clpeer.EvidenceGather
}

// send reports to the process that sums, or to the evaluating process if none is left.
func (e *evidence) send(ctx context.Context, to clmember.Member, found bool, holder netip.AddrPort, r *clwire.ReportEvidenceRequest) error {
	timeout, addr := e.timeout, holder
	if found {
		timeout, addr = reportTimeout(e.timeout), to.Address
	}
	peer := e.sums
	if to.ID != e.self.ID {
		peer = e.peer(addr, found)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// A batch that had been counted before has been delivered, too.
	_, err := peer.ReportEvidence(ctx, r)
	return err
}

// reportInterval returns the time between two reports of an entry.
func reportInterval(entries int) time.Duration {
	if entries > reportersPerSum {
		return 2 * clpeer.EvidenceInterval
	}
	return clpeer.EvidenceInterval
}

// summersOf returns the entries that may sum the evidence of an entry, given
// all of its data centre in their rank. Each of the first ones sums for a part.
func summersOf(id string, rank []clmember.Member) []clmember.Member {
	if len(rank) == 0 {
		return nil
	}
	parts := (len(rank) + reportersPerSum - 1) / reportersPerSum
	own := int(xxhash.Sum64String(id) % uint64(parts))
	return lo.Times(min(len(rank), summingCandidates), func(i int) clmember.Member { return rank[(own+i)%len(rank)] })
}

// chooseSummer returns the first of the candidates that has not failed lately.
func chooseSummer(candidates []clmember.Member, failed map[string]time.Time, now time.Time) (clmember.Member, bool) {
	return lo.Find(candidates, func(m clmember.Member) bool {
		at, ok := failed[m.ID]
		return !ok || now.Sub(at) >= failedFor
	})
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
	e.addFact(clmember.Fact{
		ID: "suspended/" + key.service + "/" + key.version, Kind: clmember.VersionSuspended,
		Lifetime: suspendedFactLifetime, Subject: key.service + "/" + key.version,
		Detail: "evidence of entry " + e.self.ID, Urgent: true,
	})
}

// parseVersionSubject splits the subject of a VersionSuspended fact.
func parseVersionSubject(subject string) (queueKey, bool) {
	service, version, ok := strings.Cut(subject, "/")
	return queueKey{service, version}, ok
}
