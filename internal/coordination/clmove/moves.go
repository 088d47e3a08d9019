// This file defines the moves in progress and their decisions.

package clmove

import (
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/chestnutlead/chestnutlead/internal/routing/clfleet"
)

type (
	// Controller decides the moves of all services. Exported fields are set before
	// use. It is safe for concurrent use.
	Controller struct {
		// TrialShare and TrialFloor bound the requests that a bad version may
		// get: TrialShare of the service's requests since the operator's order,
		// and TrialFloor besides.
		TrialShare float64
		TrialFloor float64

		mu    sync.Mutex
		moves map[string]*move
		own   map[AttemptKey]AttemptCounts
		peers map[string]map[AttemptKey]AttemptCounts
	}

	// AttemptKey is what outcomes are counted for.
	AttemptKey struct{ Service, Version, Route string }

	// AttemptCounts are the outcomes at one version; they only rise.
	AttemptCounts struct {
		Sent, Answered, Failed uint64
		// LatencySum is the sum of the latencies of the answers that can be compared.
		LatencySum time.Duration
		// LatencySamples is the number of answers in Latency.
		LatencySamples uint64
	}

	// Decision is what is to be done for a service now.
	Decision struct {
		Intent clcatalog.Rollout
		Split  clfleet.Split
		// Outcome is what operators should read of the intent.
		Outcome clcatalog.RolloutOutcome
		// Bad says that the version was found to be bad, and Why by what.
		Bad    bool
		Reason string
	}

	// move is a service's newest intent.
	move struct {
		intent clcatalog.Rollout
		since  time.Time
		bad    bool
		why    string
		// before are the counts at the start of the move.
		before map[AttemptKey]AttemptCounts
	}
)

const (
	// finishBefore is when a move is finished, before its deadline: the
	// operator must read it in time from a store that may be slow.
	finishBefore = 700 * time.Millisecond
	// wholeFor is how long all requests go to the new version before the old
	// one may be stopped, so that short requests at the old one end by themselves.
	wholeFor = 700 * time.Millisecond
	// boundUse is the part of the bound on a bad version's requests that is used.
	boundUse = 0.85
	// trialUse is the part of the bound that the trial uses, so that the last
	// step, with all requests, fits as well.
	trialUse = 0.5
	// leastTrial is the number of answers without which no version is finished.
	leastTrial = 8
)

// SetIntents replaces the operators' intents.
func (m *Controller) SetIntents(intents []clcatalog.Rollout, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old := m.moves
	m.moves = make(map[string]*move, len(intents))
	for _, in := range intents {
		mv := old[in.Service]
		if mv == nil || mv.intent.Version != in.Version || mv.intent.Within != in.Within {
			mv = &move{since: now, before: m.total()}
		}
		mv.intent = in
		if in.OutcomeVersion == in.Version && in.Outcome == clcatalog.RolloutRolledBack && !mv.bad {
			mv.bad, mv.why = true, "taken back before"
		}
		m.moves[in.Service] = mv
	}
}

// RecordAttempt counts an attempt.
func (m *Controller) RecordAttempt(s AttemptKey) {
	m.update(s, func(c *AttemptCounts) { c.Sent++ })
}

// RecordOutcome counts the end of an attempt; compared says that its latency tells
// something about the version.
func (m *Controller) RecordOutcome(s AttemptKey, failed, compared bool, latency time.Duration) {
	m.update(s, func(c *AttemptCounts) {
		c.Answered++
		if failed {
			c.Failed++
		} else if compared {
			c.LatencySamples++
			c.LatencySum += latency
		}
	})
}

func (m *Controller) update(s AttemptKey, f func(*AttemptCounts)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.own == nil {
		m.own = make(map[AttemptKey]AttemptCounts)
	}
	c := m.own[s]
	f(&c)
	m.own[s] = c
}

// LocalCounts returns this gateway's counts of services with an intent.
func (m *Controller) LocalCounts() map[AttemptKey]AttemptCounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[AttemptKey]AttemptCounts)
	for s, c := range m.own {
		if m.moves[s.Service] != nil {
			out[s] = c
		}
	}
	return out
}

// UpdatePeer replaces another gateway's counts; a restart of it starts them anew.
func (m *Controller) UpdatePeer(gateway string, counts map[AttemptKey]AttemptCounts) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers == nil {
		m.peers = make(map[string]map[AttemptKey]AttemptCounts)
	}
	m.peers[gateway] = counts
}

// MarkBad takes a version back because another gateway found it bad.
func (m *Controller) MarkBad(service, version string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if mv := m.moves[service]; mv != nil && mv.intent.Version == version && !mv.bad {
		mv.bad, mv.why = true, "found bad by another gateway"
	}
}

// Decide returns the steps of all services with an intent.
func (m *Controller) Decide(now time.Time) []Decision {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := m.total()
	steps := make([]Decision, 0, len(m.moves))
	for _, mv := range m.moves {
		steps = append(steps, m.step(mv, total, now))
	}
	return steps
}

func (m *Controller) step(mv *move, total map[AttemptKey]AttemptCounts, now time.Time) Decision {
	in := mv.intent
	s := Decision{Intent: in, Split: clfleet.Split{Version: in.Version, Active: true}, Outcome: in.Outcome}
	if in.OutcomeVersion != in.Version {
		s.Outcome = ""
	}
	if s.Outcome == clcatalog.RolloutDone && !mv.bad {
		s.Split.Share = 1
		return s
	}
	e := evidenceOf(in, total, mv.before)
	left := mv.since.Add(in.Within).Sub(now)
	if !mv.bad {
		mv.why = e.fault()
		mv.bad = mv.why != ""
	}
	s.Bad, s.Reason = mv.bad, mv.why
	switch {
	case mv.bad || s.Outcome == clcatalog.RolloutRolledBack:
		s.Outcome = clcatalog.RolloutRolledBack
	case left <= finishBefore && e.fresh.Answered >= leastTrial:
		s.Split.Share, s.Outcome = 1, clcatalog.RolloutDone
	case left <= finishBefore:
		mv.bad, mv.why = true, "too few answers to judge it by the deadline"
		s.Bad, s.Reason, s.Outcome = true, mv.why, clcatalog.RolloutRolledBack
	case left <= finishBefore+wholeFor && e.fresh.Answered >= leastTrial && m.within(e, boundUse):
		s.Split.Share, s.Outcome = 1, clcatalog.RolloutRunning
	default:
		s.Outcome = clcatalog.RolloutRunning
		if m.within(e, trialUse) {
			s.Split.Share = m.trialShare(in, left)
		}
	}
	return s
}

// trialShare spends the bound on a bad version's requests evenly.
func (m *Controller) trialShare(in clcatalog.Rollout, left time.Duration) float64 {
	if left < in.Within/4 {
		return m.TrialShare / 2
	}
	return m.TrialShare
}

// within reports whether the new version's requests are below a part of the
// bound, of which the floor is spent evenly over the service's requests so far.
func (m *Controller) within(e evidence, part float64) bool {
	all := float64(e.fresh.Sent + e.old.Sent)
	return float64(e.fresh.Sent) < part*(m.TrialShare*all+m.TrialFloor)
}

// total sums the counts of all gateways.
func (m *Controller) total() map[AttemptKey]AttemptCounts {
	out := make(map[AttemptKey]AttemptCounts)
	add := func(counts map[AttemptKey]AttemptCounts) {
		for s, c := range counts {
			out[s] = out[s].plus(c)
		}
	}
	add(m.own)
	for _, p := range m.peers {
		add(p)
	}
	return out
}

func (c AttemptCounts) plus(d AttemptCounts) AttemptCounts {
	return AttemptCounts{
		Sent: c.Sent + d.Sent, Answered: c.Answered + d.Answered, Failed: c.Failed + d.Failed,
		LatencySum: c.LatencySum + d.LatencySum, LatencySamples: c.LatencySamples + d.LatencySamples,
	}
}

// since returns the counts beyond b; a gateway that restarted has lost some.
func (c AttemptCounts) since(b AttemptCounts) AttemptCounts {
	return AttemptCounts{
		Sent: beyond(c.Sent, b.Sent), Answered: beyond(c.Answered, b.Answered), Failed: beyond(c.Failed, b.Failed),
		LatencySum: max(0, c.LatencySum-b.LatencySum), LatencySamples: beyond(c.LatencySamples, b.LatencySamples),
	}
}

func beyond(a, b uint64) uint64 {
	if a < b {
		return 0
	}
	return a - b
}
