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

const (
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
		return
	}
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
