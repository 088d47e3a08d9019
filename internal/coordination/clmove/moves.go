// This file contains the controller, which tracks the rollouts in progress and decides
// their next steps.

package clmove

import (
	"maps"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/chestnutlead/chestnutlead/internal/routing/clfleet"
)

type (
	// Controller decides for each rollout what share of the requests the new
	// version gets, and when the rollout is finished or rolled back. It is safe
	// for concurrent use; its exported fields must be set before use.
	Controller struct {
		// TrialShare and TrialFloor bound the requests that a bad version may
		// receive: a fraction TrialShare of the service's requests since the
		// rollout started, plus the number TrialFloor.
		TrialShare float64
		TrialFloor float64

		mu sync.Mutex
		// rollouts holds the rollout of each service with an intent, by its name.
		rollouts map[string]*rollout
		// missing holds the rollouts that a complete copy of the store lacked lately, by
		// the request for them.
		missing map[request]missingRollout
		// returnedAt is when this process learned of the store's latest return.
		returnedAt time.Time
		// local holds this gateway's counts, and peers those of the other gateways,
		// by gateway name.
		local map[AttemptKey]AttemptCounts
		peers map[string]map[AttemptKey]AttemptCounts
	}

	// AttemptKey identifies the attempts that are counted together. An attempt is
	// one try to send a request to an endpoint, even if connecting to the endpoint
	// fails. Each retry of a request is an attempt of its own.
	AttemptKey struct{ Service, Version, Route string }

	// AttemptCounts are the counts of a gateway's attempts and their outcomes since
	// the gateway started, or sums or differences of such counts.
	AttemptCounts struct {
		// Sent counts all attempts, Answered those whose outcome was recorded, and
		// Failed those of them that failed.
		Sent, Answered, Failed uint64
		// LatencySum is the sum of the latencies of the successful attempts whose
		// latency is comparable between versions; see RecordOutcome.
		LatencySum time.Duration
		// LatencySamples is the number of attempts in LatencySum.
		LatencySamples uint64
	}

	// Decision says how a service's requests are to be divided between versions,
	// and what is to be reported of its rollout.
	Decision struct {
		// Intent is the operator's request for the rollout.
		Intent clcatalog.Rollout
		Split  clfleet.Split
		// Outcome is the rollout's state to be reported to operators.
		Outcome clcatalog.RolloutOutcome
		// Bad is set if the new version is to be rolled back because it is bad or
		// could not be tested; Reason then says why.
		Bad    bool
		Reason string
		// Settled is set if Outcome has been reported, so that it does not change.
		Settled bool
		// StartedAt is when this process learned of the rollout.
		StartedAt time.Time
	}

	// rollout is the state of a service's rollout.
	rollout struct {
		intent clcatalog.Rollout
		// startedAt is the time of the SetIntents call that started the rollout.
		startedAt time.Time
		// bad is set once the new version is to be rolled back because it is bad or
		// could not be tested; reason then says why. Decision.Bad and Decision.Reason
		// are copies of them.
		bad    bool
		reason string
		// settled is the last RolloutDone or RolloutRolledBack that operators may have
		// read, whatever the store holds now; it is empty if there is none.
		settled clcatalog.RolloutOutcome
		// baseline holds the counts of all gateways at the start of the rollout.
		baseline map[AttemptKey]AttemptCounts
	}

	// request identifies an operator's request for a rollout.
	request struct {
		service, version string
		within           time.Duration
	}

	// missingRollout is a rollout that a complete copy of the store lacked at a time.
	missingRollout struct {
		rollout *rollout
		since   time.Time
	}
)

const (
	// finishMargin is how long before its deadline a rollout is finished or rolled
	// back, so that the operator can read the outcome in time even from a slow store.
	finishMargin = 700 * time.Millisecond
	// fullShareDuration is the longest time for which all requests go to the new
	// version before the rollout is reported as done and the old version may be
	// stopped. In this time, short requests at the old version complete.
	fullShareDuration = 700 * time.Millisecond
	// TrialShare and TrialFloor allow a bad version a number of requests. The trial
	// may use trialBoundFraction of that number; the rest is left for the time when
	// the new version receives all requests. That time starts fullShareDuration
	// before the rollout is finished, once the new version has used less than
	// fullShareBoundFraction of the number; otherwise it starts when the rollout is
	// finished.
	fullShareBoundFraction = 0.85
	trialBoundFraction     = 0.5
	// minTrialAnswers is the number of answers that the new version needs before it
	// may receive all requests. Without them it is rolled back at the end.
	minTrialAnswers = 8
	// missingLifetime is how long a rollout is remembered that a complete copy lacks. After
	// the store has returned from an older copy, operators write their requests again
	// within a few seconds.
	missingLifetime = 10 * time.Second
	// returnDuration is the time after a return of the store in which the other gateways'
	// knowledge of reported outcomes counts.
	returnDuration = 10 * time.Second
)

// SetIntents replaces the operators' intents. A changed version or deadline
// starts a new rollout. A version that is already reported as rolled back is bad. If
// complete is set, the intents come from a complete copy of the store, which may lack
// recent requests because the store has returned from an older copy: a rollout that is
// not among them goes on if its request is back soon.
func (ctl *Controller) SetIntents(intents []clcatalog.Rollout, complete bool, now time.Time) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	maps.DeleteFunc(ctl.missing, func(_ request, m missingRollout) bool { return now.Sub(m.since) > missingLifetime })
	previous := ctl.rollouts
	ctl.rollouts = make(map[string]*rollout, len(intents))
	for _, intent := range intents {
		key := requestOf(intent)
		r := previous[intent.Service]
		if r == nil || requestOf(r.intent) != key {
			r = ctl.missing[key].rollout
		}
		if r == nil {
			r = &rollout{startedAt: now, baseline: ctl.total()}
		}
		r.intent = intent
		if intent.OutcomeVersion == intent.Version {
			r.settle(intent.Outcome)
		}
		ctl.rollouts[intent.Service] = r
		delete(ctl.missing, key)
	}
	for service, r := range previous {
		if complete && r != ctl.rollouts[service] {
			if ctl.missing == nil {
				ctl.missing = make(map[request]missingRollout)
			}
			ctl.missing[requestOf(r.intent)] = missingRollout{r, now}
		}
	}
}

func requestOf(intent clcatalog.Rollout) request {
	return request{intent.Service, intent.Version, intent.Within}
}

// settle records an outcome that operators may have read, unless it is RolloutRunning or
// empty.
func (r *rollout) settle(outcome clcatalog.RolloutOutcome) {
	switch outcome {
	case clcatalog.RolloutDone:
		r.settled, r.bad, r.reason = outcome, false, ""
	case clcatalog.RolloutRolledBack:
		r.settled = outcome
		if !r.bad {
			r.bad, r.reason = true, "already rolled back"
		}
	}
}

// Settle records that the outcome of a rollout has been reported, or may have been: the
// outcome stays even if the store loses it.
func (ctl *Controller) Settle(intent clcatalog.Rollout, outcome clcatalog.RolloutOutcome) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	if r := ctl.rollouts[intent.Service]; r != nil && requestOf(r.intent) == requestOf(intent) {
		r.settle(outcome)
	}
}

// StoreReturned records when this process learned that the store has returned from an
// older copy, which may lack outcomes that have been reported.
func (ctl *Controller) StoreReturned(now time.Time) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	ctl.returnedAt = now
}

// MarkDone records that another gateway knows the rollout to a version within a time to
// have been reported as done. It does nothing if the service has another rollout, if
// another outcome of it is known, or unless the store has returned lately: otherwise the
// store has the outcome, and the other gateway may mean an earlier request for the same.
func (ctl *Controller) MarkDone(service, version string, within time.Duration, now time.Time) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	if ctl.returnedAt.IsZero() || now.Sub(ctl.returnedAt) > returnDuration {
		return
	}
	if r := ctl.rollouts[service]; r != nil && requestOf(r.intent) == (request{service, version, within}) && r.settled == "" {
		r.settle(clcatalog.RolloutDone)
	}
}

// RecordAttempt counts an attempt that is sent to an endpoint.
func (ctl *Controller) RecordAttempt(key AttemptKey) {
	ctl.update(key, func(c *AttemptCounts) { c.Sent++ })
}

// RecordOutcome counts the outcome of an attempt that RecordAttempt has counted. The
// latency counts only if the attempt did not fail and latencyComparable is set, which
// means that the latency may be compared between versions.
func (ctl *Controller) RecordOutcome(key AttemptKey, failed, latencyComparable bool, latency time.Duration) {
	ctl.update(key, func(c *AttemptCounts) {
		c.Answered++
		if failed {
			c.Failed++
		} else if latencyComparable {
			c.LatencySamples++
			c.LatencySum += latency
		}
	})
}

// update applies f to this gateway's counts for key.
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

// UpdatePeer replaces all counts of another gateway, which restart from zero when
// that gateway restarts.
func (ctl *Controller) UpdatePeer(gateway string, counts map[AttemptKey]AttemptCounts) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	if ctl.peers == nil {
		ctl.peers = make(map[string]map[AttemptKey]AttemptCounts)
	}
	ctl.peers[gateway] = counts
}

// MarkBad marks the new version of a service as bad because another gateway has
// found it bad, so that it is rolled back. It does nothing if the service's rollout
// is to another version, or its outcome has been reported.
func (ctl *Controller) MarkBad(service, version string) {
	ctl.mu.Lock()
	defer ctl.mu.Unlock()
	if r := ctl.rollouts[service]; r != nil && r.intent.Version == version && !r.bad && r.settled == "" {
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

// decide returns the decision for one rollout. A reported outcome stays, and a bad
// version gets no requests, until the rollout is replaced by a new one.
func (ctl *Controller) decide(r *rollout, total map[AttemptKey]AttemptCounts, now time.Time) Decision {
	intent := r.intent
	d := Decision{
		Intent: intent, Split: clfleet.Split{Version: intent.Version, Active: true}, Outcome: r.settled,
		Settled: r.settled != "", StartedAt: r.startedAt,
	}
	if d.Outcome == clcatalog.RolloutDone {
		d.Split.Share = 1
		return d
	}
	e := gatherEvidence(intent, total, r.baseline)
	remaining := r.startedAt.Add(intent.Within).Sub(now)
	if !r.bad {
		r.reason = e.badReason()
		r.bad = r.reason != ""
	}
	d.Bad, d.Reason = r.bad, r.reason
	switch {
	case r.bad || d.Outcome == clcatalog.RolloutRolledBack:
		d.Outcome = clcatalog.RolloutRolledBack
	case remaining <= finishMargin && e.newVersion.Answered >= minTrialAnswers:
		d.Split.Share, d.Outcome = 1, clcatalog.RolloutDone
	case remaining <= finishMargin:
		r.bad, r.reason = true, "too few answers before the deadline"
		d.Bad, d.Reason, d.Outcome = true, r.reason, clcatalog.RolloutRolledBack
	case remaining <= finishMargin+fullShareDuration && e.newVersion.Answered >= minTrialAnswers && ctl.withinBound(e, fullShareBoundFraction):
		d.Split.Share, d.Outcome = 1, clcatalog.RolloutRunning
	default:
		d.Outcome = clcatalog.RolloutRunning
		if ctl.withinBound(e, trialBoundFraction) {
			d.Split.Share = ctl.trialShare(intent, remaining)
		}
	}
	return d
}

// trialShare returns the new version's share of the requests during the trial.
// It is TrialShare, halved in the last quarter of the rollout's time, so that the
// bound on a bad version's requests is used evenly.
func (ctl *Controller) trialShare(intent clcatalog.Rollout, remaining time.Duration) float64 {
	if remaining < intent.Within/4 {
		return ctl.TrialShare / 2
	}
	return ctl.TrialShare
}

// withinBound reports whether the new version has received less than a fraction of
// the requests that TrialShare and TrialFloor allow. The allowed number grows with
// the service's requests.
func (ctl *Controller) withinBound(e evidence, fraction float64) bool {
	all := float64(e.newVersion.Sent + e.oldVersion.Sent)
	return float64(e.newVersion.Sent) < fraction*(ctl.TrialShare*all+ctl.TrialFloor)
}

// total returns the sums of the counts of all gateways. ctl.mu must be held.
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

// add returns the field-by-field sum of both counts.
func (c AttemptCounts) add(other AttemptCounts) AttemptCounts {
	return AttemptCounts{
		Sent: c.Sent + other.Sent, Answered: c.Answered + other.Answered, Failed: c.Failed + other.Failed,
		LatencySum: c.LatencySum + other.LatencySum, LatencySamples: c.LatencySamples + other.LatencySamples,
	}
}

// subtract returns by how much the counts exceed earlier ones. Differences below
// zero, which occur after a gateway has restarted and lost its counts, become zero.
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
