// This file defines the moves in progress and their decisions.

package clmove

import (
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/chestnutlead/chestnutlead/internal/routing/clfleet"
)

type (
	// Moves decides the moves of all services. Exported fields are set before
	// use. It is safe for concurrent use.
	Moves struct {
		// TrialShare and TrialFloor bound the requests that a bad version may
		// get: TrialShare of the service's requests since the operator's order,
		// and TrialFloor besides.
		TrialShare float64
		TrialFloor float64

		mu    sync.Mutex
		moves map[string]*move
		own   map[Subject]Counts
		peers map[string]map[Subject]Counts
	}

	// Subject is what outcomes are counted for.
	Subject struct{ Service, Version, Route string }

	// Counts are the outcomes at one version; they only rise.
	Counts struct {
		Sent, Answered, Failed uint64
		// Latency is the sum of the latencies of the answers that can be compared.
		Latency time.Duration
		// Compared is the number of answers in Latency.
		Compared uint64
	}

	// Step is what is to be done for a service now.
	Step struct {
		Intent clcatalog.Rollout
		Split  clfleet.Split
		// Outcome is what operators should read of the intent.
		Outcome clcatalog.RolloutOutcome
		// Bad says that the version was found to be bad, and Why by what.
		Bad bool
		Why string
	}

	// move is a service's newest intent.
	move struct {
		intent clcatalog.Rollout
		since  time.Time
		bad    bool
		why    string
		// before are the counts at the start of the move.
		before map[Subject]Counts
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
func (m *Moves) SetIntents(intents []clcatalog.Rollout, now time.Time) {
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

// Tried counts an attempt.
func (m *Moves) Tried(s Subject) {
	m.update(s, func(c *Counts) { c.Sent++ })
}

// Outcome counts the end of an attempt; compared says that its latency tells
// something about the version.
func (m *Moves) Outcome(s Subject, failed, compared bool, latency time.Duration) {
	m.update(s, func(c *Counts) {
		c.Answered++
		if failed {
			c.Failed++
		} else if compared {
			c.Compared++
			c.Latency += latency
		}
	})
}

func (m *Moves) update(s Subject, f func(*Counts)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.own == nil {
		m.own = make(map[Subject]Counts)
	}
	c := m.own[s]
	f(&c)
	m.own[s] = c
}

// Own returns this gateway's counts of services with an intent.
func (m *Moves) Own() map[Subject]Counts {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[Subject]Counts)
	for s, c := range m.own {
		if m.moves[s.Service] != nil {
			out[s] = c
		}
	}
	return out
}

// Learn replaces another gateway's counts; a restart of it starts them anew.
func (m *Moves) Learn(gateway string, counts map[Subject]Counts) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.peers == nil {
		m.peers = make(map[string]map[Subject]Counts)
	}
	m.peers[gateway] = counts
}

// Condemn takes a version back because another gateway found it bad.
func (m *Moves) Condemn(service, version string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if mv := m.moves[service]; mv != nil && mv.intent.Version == version && !mv.bad {
		mv.bad, mv.why = true, "found bad by another gateway"
	}
}

// Decide returns the steps of all services with an intent.
func (m *Moves) Decide(now time.Time) []Step {
	m.mu.Lock()
	defer m.mu.Unlock()
	total := m.total()
	steps := make([]Step, 0, len(m.moves))
	for _, mv := range m.moves {
		steps = append(steps, m.step(mv, total, now))
	}
	return steps
}

func (m *Moves) step(mv *move, total map[Subject]Counts, now time.Time) Step {
	in := mv.intent
	s := Step{Intent: in, Split: clfleet.Split{Version: in.Version, Active: true}, Outcome: in.Outcome}
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
	s.Bad, s.Why = mv.bad, mv.why
	switch {
	case mv.bad || s.Outcome == clcatalog.RolloutRolledBack:
		s.Outcome = clcatalog.RolloutRolledBack
	case left <= finishBefore && e.fresh.Answered >= leastTrial:
		s.Split.Share, s.Outcome = 1, clcatalog.RolloutDone
	case left <= finishBefore:
		mv.bad, mv.why = true, "too few answers to judge it by the deadline"
		s.Bad, s.Why, s.Outcome = true, mv.why, clcatalog.RolloutRolledBack
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
func (m *Moves) trialShare(in clcatalog.Rollout, left time.Duration) float64 {
	if left < in.Within/4 {
		return m.TrialShare / 2
	}
	return m.TrialShare
}

// within reports whether the new version's requests are below a part of the
// bound, of which the floor is spent evenly over the service's requests so far.
func (m *Moves) within(e evidence, part float64) bool {
	all := float64(e.fresh.Sent + e.old.Sent)
	return float64(e.fresh.Sent) < part*(m.TrialShare*all+m.TrialFloor)
}

// total sums the counts of all gateways.
func (m *Moves) total() map[Subject]Counts {
	out := make(map[Subject]Counts)
	add := func(counts map[Subject]Counts) {
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

func (c Counts) plus(d Counts) Counts {
	return Counts{
		Sent: c.Sent + d.Sent, Answered: c.Answered + d.Answered, Failed: c.Failed + d.Failed,
		Latency: c.Latency + d.Latency, Compared: c.Compared + d.Compared,
	}
}

// since returns the counts beyond b; a gateway that restarted has lost some.
func (c Counts) since(b Counts) Counts {
	return Counts{
		Sent: beyond(c.Sent, b.Sent), Answered: beyond(c.Answered, b.Answered), Failed: beyond(c.Failed, b.Failed),
		Latency: max(0, c.Latency-b.Latency), Compared: beyond(c.Compared, b.Compared),
	}
}

func beyond(a, b uint64) uint64 {
	if a < b {
		return 0
	}
	return a - b
}
