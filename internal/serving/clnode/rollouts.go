// This file reports the outcomes of rollouts to operators.

package clnode

import (
	"context"
	"time"

	"github.com/chestnutlead/chestnutlead/clstore"
	"github.com/chestnutlead/chestnutlead/internal/coordination/clgossip"
	"github.com/chestnutlead/chestnutlead/internal/coordination/clmove"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"go.uber.org/zap"
)

// failedReport is a report of a rollout that could not be written.
type failedReport struct {
	// revision is the revision of the request to which the report belonged.
	revision uint64
	// retryAfter is the wait after the failure, which ends at retryAt.
	retryAfter time.Duration
	retryAt    time.Time
}

const (
	// minReportRetry and maxReportRetry bound the wait before a report of the same
	// revision is tried again. Calls of the store are charged, and a request of an
	// earlier era cannot be reported on before the mirror has read it anew. The longest
	// wait leaves operators time to read an outcome that is decided shortly before its
	// deadline.
	minReportRetry = 200 * time.Millisecond
	maxReportRetry = time.Second
	// firstDigestIntervals is the number of digest intervals within which a gateway that
	// learns of a rollout hears what the other gateways know of it.
	firstDigestIntervals = 3
)

// reportRollout writes the outcome of a rollout to the store if there is one and
// it differs from the outcome that operators see there.
func (n *Node) reportRollout(ctx context.Context, decision clmove.Decision, now time.Time) {
	intent := decision.Intent
	reported := intent.Outcome
	if intent.OutcomeVersion != intent.Version {
		reported = ""
	}
	if reported == decision.Outcome || decision.Outcome == "" {
		return
	}
	if decision.Outcome == clcatalog.RolloutRunning && now.Sub(decision.StartedAt) < n.firstDigestDelay() {
		return // others may know that it has ended, although the store has lost that
	}
	failed, ok := n.rolloutReports[intent.Service]
	if ok = ok && failed.revision == intent.Revision; ok && now.Before(failed.retryAt) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeWriteTimeout)
	defer cancel()
	err := n.Store.ReportRollout(ctx, intent, decision.Outcome)
	n.Logger.Info("rollout reported", zap.String("service", intent.Service), zap.String("version", intent.Version),
		zap.String("outcome", string(decision.Outcome)), zap.String("why", decision.Reason), zap.Error(err))
	switch clstore.KindOf(err) {
	case clstore.KindConflict, clstore.KindNotFound, clstore.KindUnavailable:
	default:
		n.rolloutController.Settle(intent, decision.Outcome)
	}
	if err != nil {
		wait := minReportRetry
		if ok {
			wait = min(2*failed.retryAfter, maxReportRetry)
		}
		if n.rolloutReports == nil {
			n.rolloutReports = make(map[string]failedReport)
		}
		n.rolloutReports[intent.Service] = failedReport{intent.Revision, wait, now.Add(wait)}
		return
	}
	delete(n.rolloutReports, intent.Service)
	n.mu.Lock()
	request := n.requestedRollouts[intent.Service]
	if request.Version == intent.Version {
		request.Outcome, request.OutcomeVersion = decision.Outcome, intent.Version
		n.requestedRollouts[intent.Service] = request
	}
	requested := n.listRequestedRollouts()
	n.mu.Unlock()
	n.rolloutController.SetIntents(requested, false, now)
}

// firstDigestDelay returns the time within which digests of the other gateways arrive.
func (n *Node) firstDigestDelay() time.Duration {
	return firstDigestIntervals * clgossip.DigestInterval(len(n.registeredGateways()))
}
