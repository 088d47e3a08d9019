// This file defines the fault switches that all stand-ins share.

package clstandin

import (
	"bytes"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

type (
	// Outage is a way in which a stand-in is down for all routes but the admin API.
	Outage string

	// Faults are the standing fault switches; POST /admin/faults replaces all of them.
	Faults struct {
		// Outage is empty while the stand-in is up.
		Outage Outage `json:"outage,omitempty"`
		// OutageMs ends the outage after this time; 0 keeps it until the next change.
		OutageMs int `json:"outage_ms,omitempty"`
		// SlowMs delays each request before it takes effect.
		SlowMs int `json:"slow_ms,omitempty"`
		// LateWrites lets delayed writes take effect although the caller has gone.
		LateWrites bool `json:"late_writes,omitempty"`
		// LoseAnswers closes the connections of the next writes after they took effect.
		LoseAnswers int `json:"lose_answers,omitempty"`
		// LoseAnswerRate is the probability that a write's answer is lost.
		LoseAnswerRate float64 `json:"lose_answer_rate,omitempty"`
		// Refuse answers the next requests with 503 before they take effect.
		Refuse int `json:"refuse,omitempty"`
		// RefuseRate is the probability that a request is refused.
		RefuseRate float64 `json:"refuse_rate,omitempty"`
		// CrashMarker crashes the stand-in on a request whose body contains it.
		CrashMarker string `json:"crash_marker,omitempty"`
		// RestartMs is how long connections are refused after a crash.
		RestartMs int `json:"restart_ms,omitempty"`
		// SilenceRate is the probability that a request's connection goes silent.
		SilenceRate float64 `json:"silence_rate,omitempty"`
		// Routes fail or slow down some requests.
		Routes []RouteFault `json:"routes,omitempty"`

		// HideCold keeps the cold state out of an engine's load reports.
		HideCold bool `json:"hide_cold,omitempty"`
		// Leaving is shown in the load reports of an engine or booking service.
		Leaving bool `json:"leaving,omitempty"`
		// RefuseStarts lists the instance classes the platform has no capacity for.
		RefuseStarts []StartRefusal `json:"refuse_starts,omitempty"`
	}

	// RouteFault fails or slows down requests that match all of its conditions.
	RouteFault struct {
		// Method is empty for all methods.
		Method string `json:"method,omitempty"`
		// Prefix is the start of the path; empty for all paths.
		Prefix string `json:"prefix,omitempty"`
		// Rate is the probability that the fault applies; 0 means always.
		Rate float64 `json:"rate,omitempty"`
		// AfterMs is how long after the switch was set the fault begins.
		AfterMs int `json:"after_ms,omitempty"`
		// AboveRunning limits the fault to times with more running requests.
		AboveRunning int `json:"above_running,omitempty"`
		// FailStatus answers with this status; 0 lets the request pass.
		FailStatus int `json:"fail_status,omitempty"`
		SlowMs     int `json:"slow_ms,omitempty"`
		// Hold keeps requests back until the switches change; then they pass.
		Hold bool `json:"hold,omitempty"`
		// First limits the fault to the first matching requests; 0 means all.
		First int `json:"first,omitempty"`
	}

	// StartRefusal matches starts of instances; empty fields match all.
	StartRefusal struct {
		DataCentre string `json:"data_centre,omitempty"`
		Class      string `json:"class,omitempty"`
		// ReclaimableOnly leaves on-demand starts alone.
		ReclaimableOnly bool `json:"reclaimable_only,omitempty"`
	}

	// faultState decides which faults apply to a request.
	faultState struct {
		mu     sync.Mutex
		rng    *rand.Rand
		faults Faults
		since  time.Time
		lose   int
		refuse int
		// matched counts the requests that each route fault was applied to.
		matched []int
		changed chan struct{}
	}

	// verdict lists the faults that apply to one request.
	verdict struct {
		outage  Outage
		delay   time.Duration
		refuse  bool
		crash   bool
		silence bool
		late    bool
		// held is closed when the request may go on; nil if it is not held.
		held       <-chan struct{}
		loseAnswer bool
		failStatus int
	}
)

// Ways of an outage.
const (
	// OutageRefuse closes the listener, so that connections are refused.
	OutageRefuse Outage = "refuse_connections"
	// OutageUnavailable answers 503.
	OutageUnavailable Outage = "unavailable"
	// OutageReset closes the connection without an answer and without effect.
	OutageReset Outage = "reset"
	// OutageHang accepts requests and never answers.
	OutageHang Outage = "hang"
)

func newFaultState(f Faults, seed uint64) *faultState {
	s := &faultState{rng: rand.New(rand.NewPCG(seed, 1)), changed: make(chan struct{})}
	s.set(f)
	return s
}

func (s *faultState) set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults, s.since, s.lose, s.refuse = f, time.Now(), f.LoseAnswers, f.Refuse
	s.matched = make([]int, len(f.Routes))
	close(s.changed)
	s.changed = make(chan struct{})
}

// get returns the switches with the counts that are left.
func (s *faultState) get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	f.Outage, f.LoseAnswers, f.Refuse = s.outage(), s.lose, s.refuse
	return f
}

// outage returns the outage in force; the caller holds mu.
func (s *faultState) outage() Outage {
	if s.faults.OutageMs > 0 && time.Since(s.since) >= millis(s.faults.OutageMs) {
		return ""
	}
	return s.faults.Outage
}

// changes returns a channel that is closed at the next change of the switches.
func (s *faultState) changes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

func (s *faultState) decide(r *http.Request, body []byte, running int) verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := &s.faults
	if o := s.outage(); o != "" {
		return verdict{outage: o}
	}
	v := verdict{delay: millis(f.SlowMs)}
	if s.take(&s.refuse) || s.chance(f.RefuseRate) {
		v.refuse = true
		return v
	}
	v.crash = f.CrashMarker != "" && bytes.Contains(body, []byte(f.CrashMarker))
	v.silence = s.chance(f.SilenceRate)
	for i, rt := range f.Routes {
		if !rt.matches(r, running, time.Since(s.since)) || (rt.Rate > 0 && !s.chance(rt.Rate)) || (rt.First > 0 && s.matched[i] >= rt.First) {
			continue
		}
		s.matched[i]++
		if rt.Hold {
			v.held = s.changed
		}
		v.delay += millis(rt.SlowMs)
		if rt.FailStatus != 0 {
			v.failStatus = rt.FailStatus
			return v
		}
	}
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		v.late = f.LateWrites
		v.loseAnswer = s.take(&s.lose) || s.chance(f.LoseAnswerRate)
	}
	return v
}

func (s *faultState) take(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

func (s *faultState) chance(p float64) bool { return p > 0 && s.rng.Float64() < p }

// draw is chance for callers that don't hold mu.
func (s *faultState) draw(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.chance(p)
}

func (f *RouteFault) matches(r *http.Request, running int, age time.Duration) bool {
	return (f.Method == "" || f.Method == r.Method) && strings.HasPrefix(r.URL.Path, f.Prefix) &&
		age >= millis(f.AfterMs) && (f.AboveRunning == 0 || running > f.AboveRunning)
}

func millis(n int) time.Duration { return time.Duration(n) * time.Millisecond }
