// This file tracks the rollouts in progress and decides their next steps.

package clmove

import (
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/chestnutlead/chestnutlead/internal/routing/clfleet"
)

type (
	// Controller decides the rollouts of all services. It is safe for
	// concurrent use; its exported fields must be set before use.
	Controller struct {
		// TrialShare and TrialFloor bound the requests that a bad version may
		// receive: TrialShare of the service's requests since the operator's
		// intent, plus TrialFloor.
		TrialShare float64
		TrialFloor float64

		mu       sync.Mutex
		rollouts map[string]*rollout
		local    map[AttemptKey]AttemptCounts
		peers    map[string]map[AttemptKey]AttemptCounts
	}

	// AttemptKey identifies the attempts that are counted together.
	AttemptKey struct{ Service, Version, Route string }

	// AttemptCounts are cumulative counts of attempts and their outcomes; one
	// process never decreases them.
	AttemptCounts struct {
		Sent, Answered, Failed uint64
		// LatencySum is the sum of the latencies of comparable answers.
		LatencySum time.Duration
		// LatencySamples is the number of answers in LatencySum.
		LatencySamples uint64
	}

	// Decision is the present state of a service's rollout.
	Decision struct {
		Intent clcatalog.Rollout
		Split  clfleet.Split
		// Outcome is the rollout's state to be reported to operators.
		Outcome clcatalog.RolloutOutcome
		// Bad reports whether the version was found to be bad, and Reason says why.
		Bad    bool
		Reason string
	}

	// rollout is the state of a service's latest intent.
	rollout struct {
		intent    clcatalog.Rollout
		startedAt time.Time
		bad       bool
		reason    string
		// baseline holds the counts at the start of the rollout.
		baseline map[AttemptKey]AttemptCounts
	}
)

const (
	// finishMargin is how long before its deadline a rollout is finished, so
	// that the operator can read the outcome in time even from a slow store.
	finishMargin = 700 * time.Millisecond
	// fullShareTime is how long all requests go to the new version before the
	// old one may be stopped, so that short requests at the old one complete.
	fullShareTime = 700 * time.Millisecond
	// fullShareBoundFraction is the fraction of the bound on a bad version's
	// requests below which the new version may receive all requests.
	fullShareBoundFraction = 0.85
	// trialBoundFraction is the fraction of the bound that the trial may use;
	// the rest is left for the last step, with all requests.
	trialBoundFraction = 0.5
	// minTrialAnswers is the number of answers that a version needs before its
	// rollout can be finished.
	minTrialAnswers = 8
)

// SetIntents replaces the operators' intents. A changed version or deadline
// starts a new rollout.
func (ctl *Controller) SetIntents(intents []clcatalog.Rollout, now time.Time) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	old := ctl.rollouts
	ctl.rollouts = make(map[string]*rollout, len(intents))
	for _, in := range intents {
		r := old[in.Service]
		if r == nil || r.intent.Version != in.Version || r.intent.Within != in.Within {
			r = &rollout{startedAt: now, baseline: ctl.total()}
		}
		r.intent = in
		if in.OutcomeVersion == in.Version && in.Outcome == clcatalog.RolloutRolledBack && !r.bad {
			r.bad, r.reason = true, "already rolled back"
		}
		ctl.rollouts[in.Service] = r
	}
}

// RecordAttempt counts an attempt that was sent.
func (ctl *Controller) RecordAttempt(key AttemptKey) {
	ctl.update(key, func(c *AttemptCounts) { c.Sent++ })
}

// RecordOutcome counts the end of an attempt. compared reports whether its
// latency is comparable between versions.
func (ctl *Controller) RecordOutcome(key AttemptKey, failed, compared bool, latency time.Duration) {
	ctl.update(key, func(c *AttemptCounts) {
		c.Answered++
		if failed {
			c.Failed++
		} else if compared {
			c.LatencySamples++
			c.LatencySum += latency
		}
	})
}

func (ctl *Controller) update(key AttemptKey, f func(*AttemptCounts)) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	if ctl.local == nil {
		ctl.local = make(map[AttemptKey]AttemptCounts)
	}
	c := ctl.local[key]
	f(&c)
	ctl.local[key] = c
}

// LocalCounts returns this gateway's counts for services with an intent.
func (ctl *Controller) LocalCounts() map[AttemptKey]AttemptCounts {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	out := make(map[AttemptKey]AttemptCounts)
	for key, c := range ctl.local {
		if ctl.rollouts[key.Service] != nil {
			out[key] = c
		}
	}
	return out
}

// UpdatePeer replaces another gateway's counts. They restart from zero when that
// gateway restarts.
func (ctl *Controller) UpdatePeer(gateway string, counts map[AttemptKey]AttemptCounts) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	if ctl.peers == nil {
		ctl.peers = make(map[string]map[AttemptKey]AttemptCounts)
	}
	ctl.peers[gateway] = counts
}

// MarkBad marks a version as bad because another gateway has found it bad, so
// that it is rolled back.
func (ctl *Controller) MarkBad(service, version string) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	if r := ctl.rollouts[service]; r != nil && r.intent.Version == version && !r.bad {
		r.bad, r.reason = true, "found bad by another gateway"
	}
}

// Decide returns the decisions for all services with an intent.
func (ctl *Controller) Decide(now time.Time) []Decision {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	total := ctl.total()
	decisions := make([]Decision, 0, len(ctl.rollouts))
	for _, r := range ctl.rollouts {
		decisions = append(decisions, ctl.decide(r, total, now))
	}
	return decisions
}

// decide returns the decision for one rollout. A rollout reported as done stays
// so unless its version is marked bad, and a bad version gets no requests under
// the same intent.
func (ctl *Controller) decide(r *rollout, total map[AttemptKey]AttemptCounts, now time.Time) Decision {
	in := r.intent
	d := Decision{Intent: in, Split: clfleet.Split{Version: in.Version, Active: true}, Outcome: in.Outcome}
	if in.OutcomeVersion != in.Version {
		d.Outcome = ""
	}
	if d.Outcome == clcatalog.RolloutDone && !r.bad {
		d.Split.Share = 1
		return d
	}
	e := gatherEvidence(in, total, r.baseline)
	remaining := r.startedAt.Add(in.Within).Sub(now)
	if !r.bad {
		r.reason = e.badReason()
		r.bad = r.reason != ""
	}
	d.Bad, d.Reason = r.bad, r.reason
	switch {
	case r.bad || d.Outcome == clcatalog.RolloutRolledBack:
		d.Outcome = clcatalog.RolloutRolledBack
	case remaining <= finishMargin && e.candidate.Answered >= minTrialAnswers:
		d.Split.Share, d.Outcome = 1, clcatalog.RolloutDone
	case remaining <= finishMargin:
		r.bad, r.reason = true, "too few answers before the deadline"
		d.Bad, d.Reason, d.Outcome = true, r.reason, clcatalog.RolloutRolledBack
	case remaining <= finishMargin+fullShareTime && e.candidate.Answered >= minTrialAnswers && ctl.withinBound(e, fullShareBoundFraction):
		d.Split.Share, d.Outcome = 1, clcatalog.RolloutRunning
	default:
		d.Outcome = clcatalog.RolloutRunning
		if ctl.withinBound(e, trialBoundFraction) {
			d.Split.Share = ctl.trialShare(in, remaining)
		}
	}
	return d
}

// trialShare returns the new version's share of the requests during the trial.
// It halves the share in the last quarter of the time, so that the bound on a
// bad version's requests is used evenly.
func (ctl *Controller) trialShare(in clcatalog.Rollout, remaining time.Duration) float64 {
	if remaining < in.Within/4 {
		return ctl.TrialShare / 2
	}
	return ctl.TrialShare
}

// withinBound reports whether the new version's requests are below a fraction of
// their bound, which grows with the service's requests so far.
func (ctl *Controller) withinBound(e evidence, fraction float64) bool {
	all := float64(e.candidate.Sent + e.old.Sent)
	return float64(e.candidate.Sent) < fraction*(ctl.TrialShare*all+ctl.TrialFloor)
}

// total sums the counts of all gateways.
func (ctl *Controller) total() map[AttemptKey]AttemptCounts {
	sum := make(map[AttemptKey]AttemptCounts)
	add := func(counts map[AttemptKey]AttemptCounts) {
		for key, c := range counts {
			sum[key] = sum[key].add(c)
		}
	}
	add(ctl.local)
	for _, counts := range ctl.peers {
		add(counts)
	}
	return sum
}

// add returns the sum of both counts.
func (c AttemptCounts) add(other AttemptCounts) AttemptCounts {
	return AttemptCounts{
		Sent: c.Sent + other.Sent, Answered: c.Answered + other.Answered, Failed: c.Failed + other.Failed,
		LatencySum: c.LatencySum + other.LatencySum, LatencySamples: c.LatencySamples + other.LatencySamples,
	}
}

// subtract returns the counts since earlier. Differences below zero, which occur
// after a gateway has restarted and lost its counts, become zero.
func (c AttemptCounts) subtract(earlier AttemptCounts) AttemptCounts {
	return AttemptCounts{
		Sent: saturatingSub(c.Sent, earlier.Sent), Answered: saturatingSub(c.Answered, earlier.Answered), Failed: saturatingSub(c.Failed, earlier.Failed),
		LatencySum: max(0, c.LatencySum-earlier.LatencySum), LatencySamples: saturatingSub(c.LatencySamples, earlier.LatencySamples),
	}
}

// saturatingSub returns a-b, or 0 if b is greater.
func saturatingSub(a, b uint64) uint64 {
	if a < b {
		return 0
	}
	return a - b
}
