// This file tests schedules, runs against a fake entry, and reports.

package clload

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
)

func scenario(flows ...Flow) *Scenario {
	return &Scenario{Name: "test", Seed: 7, Duration: Duration(time.Second), Timeout: Duration(20 * time.Second),
		Accounts: []Account{{"large", "key-large", 9}, {"small", "key-small", 1}}, Flows: flows}
}

// Guards against samples that no longer load, and against faulty scenarios that run.
func TestScenarioFiles(t *testing.T) {
	s, err := LoadScenario("../settings/load.json")
	require.NoError(t, err)
	require.Equal(t, Duration(2*time.Second), s.Flows[2].Bursts[0].Length)
	text, err := os.ReadFile("../settings/load.json")
	require.NoError(t, err)
	for _, tt := range []struct{ old, new, want string }{
		{`"seed"`, `"seeds"`, "unknown field"},
		{`"30s"`, `30`, "write a duration"},
		{`"stream"`, `"streams"`, "is not stream, completion or booking"},
		{`"rosters"`, `"replies"`, "used twice"},
		{`"/shifts"`, `"shifts"`, "must start with /"},
		{`"share": 5`, `"share": 0`, "a share above 0"},
		{`"factor": 20`, `"factor": 0`, "factor above 0"},
	} {
		path := filepath.Join(t.TempDir(), "load.json")
		require.NoError(t, os.WriteFile(path, bytes.Replace(text, []byte(tt.old), []byte(tt.new), 1), 0o600))
		_, err := LoadScenario(path)
		require.ErrorContains(t, err, tt.want)
	}
}

// Guards against schedules that differ between runs, ignore bursts or shares, or exceed their bound.
func TestSchedule(t *testing.T) {
	burst := Flow{Name: "b", Kind: KindBooking, Service: "s", Path: "/p", Rate: 1000, Bursts: []Burst{{Duration(5 * time.Second), Duration(time.Second), 5}}}
	s := scenario(Flow{Name: "a", Kind: KindStream, Service: "s", Rate: 50}, burst)
	s.Duration = Duration(10 * time.Second)
	require.NoError(t, s.Validate())
	first, err := s.Schedule()
	require.NoError(t, err)
	again, err := s.Schedule()
	require.NoError(t, err)
	require.Equal(t, first, again)

	s.Flows[0].Rate = 100
	changed, err := s.Schedule()
	require.NoError(t, err)
	inFlow := func(flow int) func(Arrival, int) bool { return func(a Arrival, _ int) bool { return a.Flow == flow } }
	require.Equal(t, lo.Filter(first, inFlow(1)), lo.Filter(changed, inFlow(1)))

	inBurst := lo.CountBy(first, func(a Arrival) bool { return a.Flow == 1 && a.At >= 5*time.Second && a.At < 6*time.Second })
	large := lo.CountBy(first, func(a Arrival) bool { return a.Account == 0 })
	// The seed is fixed; the bounds are five standard deviations of the Poisson and binomial counts.
	require.InDelta(t, 5000, inBurst, 5*71)
	require.InDelta(t, 0.9, float64(large)/float64(len(first)), 5*0.3/120)

	s.MaxRequests = 100
	_, err = s.Schedule()
	require.ErrorContains(t, err, "raise max_requests")
}

// fakeEntry answers each sequence of the flow in another way.
type fakeEntry struct {
	mu       sync.Mutex
	attempts map[string]int
	keys     map[string]int
}

func refuse(w http.ResponseWriter, status int, run string) {
	w.Header().Set("Content-Type", "application/problem+json; charset=utf-8")
	if run == "not_run" {
		w.Header().Set("Retry-After", "0")
	}
	w.WriteHeader(status)
	fmt.Fprintf(w, `{"title":"refused","run":%q}`, run)
}

func writeEvents(w http.ResponseWriter, from, to int, end string) {
	for i := from; i <= to; i++ {
		fmt.Fprintf(w, "id: s1:%d\ndata: {\"choices\":[{\"delta\":{\"content\":\"t%d \"}}]}\n\n", i, i)
	}
	fmt.Fprint(w, end)
	w.(http.Flusher).Flush()
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body completionBody
	_ = json.NewDecoder(r.Body).Decode(&body)
	f.mu.Lock()
	f.attempts[body.Model]++
	attempt := f.attempts[body.Model]
	f.keys[r.Header.Get("Idempotency-Key")]++
	f.mu.Unlock()
	resumed := r.Header.Get("Last-Event-ID") == "s1:2"
	switch body.Model {
	case "whole":
		writeEvents(w, 1, 4, "data: [DONE]\n\n")
	case "resumed":
		if !resumed {
			writeEvents(w, 1, 2, "id: s1:3\ndata: {\"cut\"")
			panic(http.ErrAbortHandler)
		}
		writeEvents(w, 3, 4, "data: [DONE]\n\n")
	case "gap":
		writeEvents(w, lo.Ternary(resumed, 4, 1), lo.Ternary(resumed, 5, 2), lo.Ternary(resumed, "data: [DONE]\n\n", ""))
	case "silent-end":
		writeEvents(w, 1, 3, "")
	case "error-event":
		writeEvents(w, 1, 3, "event: error\ndata: {\"run\":\"unknown\"}\n\n")
	case "completion":
		fmt.Fprint(w, `{"choices":[{"message":{"role":"assistant","content":"x"}}]}`)
	case "refused":
		refuse(w, http.StatusServiceUnavailable, lo.Ternary(attempt == 1, "not_run", "unknown"))
	case "no-document":
		http.Error(w, "bad gateway", http.StatusBadGateway)
	default:
		if f.keys[r.Header.Get("Idempotency-Key")] == 1 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Idempotency-Replayed", "true")
		fmt.Fprint(w, `{"booked":true}`)
	}
}

// Guards against incomplete or foreign answers that count as whole, and against truthful refusals that count as faults.
func TestOutcomes(t *testing.T) {
	tests := []struct {
		service  string
		kind     Kind
		attempts int
		want     Outcome
		resent   int64
	}{
		{"whole", KindStream, 1, OutcomeWhole, 0},
		{"resumed", KindStream, 2, OutcomeWhole, 1},
		{"resumed", KindStream, 1, OutcomeBroken, 0},
		{"gap", KindStream, 2, OutcomeWrong, 1},
		{"silent-end", KindStream, 1, OutcomeBroken, 0},
		{"error-event", KindStream, 2, OutcomeStreamError, 0},
		{"completion", KindCompletion, 1, OutcomeWhole, 0},
		{"completion", KindStream, 1, OutcomeBroken, 0},
		{"refused", KindCompletion, 1, OutcomeNotRun, 0},
		{"refused", KindCompletion, 5, OutcomeUnknown, 1},
		{"no-document", KindCompletion, 2, OutcomeWrong, 0},
		{"booking", KindBooking, 3, OutcomeWhole, 1},
		{"booking", KindBooking, 1, OutcomeBroken, 0},
	}
	for _, tt := range tests {
		entry := &fakeEntry{attempts: map[string]int{}, keys: map[string]int{}}
		server := httptest.NewServer(entry)
		s := scenario(Flow{Name: "f", Kind: tt.kind, Service: tt.service, Path: "/shifts", Rate: 1000, Attempts: tt.attempts})
		s.MaxRequests = 1
		require.NoError(t, s.Validate())
		r := &Runner{Scenario: s, Targets: []string{server.URL}, RunID: "run"}
		require.NoError(t, r.prepare())
		r.rec = newRecorder(s)
		r.loop(t.Context(), time.Now(), []Arrival{{}})
		r.open.Wait()
		server.Close()
		g := r.rec.flows["f"].finish()
		require.Equal(t, map[Outcome]int64{tt.want: 1}, g.Outcomes, "%s: %v", tt.service, r.rec.faults)
		require.Equal(t, tt.resent, g.Resent, tt.service)
		if tt.service == "booking" && tt.want == OutcomeWhole {
			require.Equal(t, map[string]int{"run-f-0": 2}, entry.keys)
			require.EqualValues(t, 1, g.Replayed)
		}
	}
}

// Guards against a generator that waits for answers, and thereby offers less load to a slow system.
func TestOpenLoop(t *testing.T) {
	const limit = 20
	release, reached := make(chan struct{}), make(chan struct{})
	var mu sync.Mutex
	open := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		if open++; open == limit {
			close(reached)
		}
		mu.Unlock()
		<-release
		writeEvents(w, 1, 1, "data: [DONE]\n\n")
	}))
	defer server.Close()
	s := scenario(Flow{Name: "f", Kind: KindStream, Service: "whole", Rate: 2000})
	s.Duration, s.MaxInFlight = Duration(100*time.Millisecond), limit
	require.NoError(t, s.Validate())
	arrivals, err := s.Schedule()
	require.NoError(t, err)
	r := &Runner{Scenario: s, Targets: []string{server.URL}}
	var observed sync.WaitGroup
	observed.Add(len(arrivals) - limit)
	r.Observe = func(res Result) {
		if res.Outcome == OutcomeNotSent {
			observed.Done()
		}
	}
	go func() {
		<-reached
		// All other arrivals end as not sent while the first ones still wait.
		observed.Wait()
		close(release)
	}()
	report, err := r.Run(t.Context())
	require.NoError(t, err)
	require.Equal(t, map[Outcome]int64{OutcomeWhole: limit, OutcomeNotSent: int64(len(arrivals) - limit)}, report.Flows[0].Outcomes)
	require.EqualValues(t, len(arrivals), report.Accounts[0].Scheduled+report.Accounts[1].Scheduled)
}

// Guards against latency that counts from the sending instead of the scheduled time.
func TestLatencyFromScheduledTime(t *testing.T) {
	server := httptest.NewServer(&fakeEntry{attempts: map[string]int{}, keys: map[string]int{}})
	defer server.Close()
	s := scenario(Flow{Name: "f", Kind: KindStream, Service: "whole", Rate: 1})
	var got Result
	r := &Runner{Scenario: s, Targets: []string{server.URL}, Observe: func(res Result) { got = res }}
	require.NoError(t, r.prepare())
	r.rec = newRecorder(s)
	r.loop(t.Context(), time.Now().Add(-3*time.Second), []Arrival{{}})
	r.open.Wait()
	require.Equal(t, OutcomeWhole, got.Outcome)
	require.GreaterOrEqual(t, got.FirstToken, 3*time.Second)
	require.GreaterOrEqual(t, got.Total, got.FirstToken)
	require.Len(t, got.Gaps, 3)
	require.Zero(t, r.rec.flows["f"].finish().InTarget)
}

// Guards against load on machines that nobody meant, and against runs that cannot be stopped.
func TestBounds(t *testing.T) {
	for _, target := range []string{"http://192.0.2.1:80", "http://example.com", "127.0.0.1:80", "http://127.0.0.1:80/path"} {
		r := &Runner{Scenario: scenario(Flow{Name: "f", Kind: KindStream, Service: "s", Rate: 1}), Targets: []string{target}}
		_, err := r.Run(t.Context())
		require.ErrorContains(t, err, "target", target)
	}
	ctx, cancel := context.WithCancel(t.Context())
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		// The server notices the closed connection only after the body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		cancel()
		<-r.Context().Done()
	}))
	defer server.Close()
	s := scenario(Flow{Name: "f", Kind: KindBooking, Path: "/p", Service: "s", Rate: 100})
	s.Duration = Duration(time.Hour)
	report, err := (&Runner{Scenario: s, Targets: []string{server.URL}}).Run(ctx)
	require.ErrorContains(t, err, "partial")
	require.Equal(t, report.Flows[0].Scheduled, report.Flows[0].Outcomes[OutcomeCut])
}

// Guards against reports that carry keys or do not survive a file, and against a comparison that misses what got worse.
func TestReportAndCompare(t *testing.T) {
	s := scenario(Flow{Name: "f", Kind: KindStream, Service: "s", Rate: 1})
	require.NoError(t, s.Validate())
	report := func(first time.Duration, outcome Outcome) *Report {
		rec := newRecorder(s)
		for i := range 100 {
			res := Result{Request: &Request{Flow: "f", Account: "large", Kind: KindStream}, Answer: &Answer{}, Outcome: OutcomeWhole, FirstToken: first, Total: first}
			if i == 0 {
				res.Outcome = outcome
			}
			rec.record(res)
		}
		return rec.report("run", time.Unix(0, 0), time.Second)
	}
	before, after := report(100*time.Millisecond, OutcomeWhole), report(150*time.Millisecond, OutcomeWrong)
	path := filepath.Join(t.TempDir(), "a.json")
	require.NoError(t, writeReport(path, before))
	text, err := os.ReadFile(path)
	require.NoError(t, err)
	require.NotContains(t, string(text), "key-large")
	read, err := ReadReport(path)
	require.NoError(t, err)
	require.Equal(t, before, read)
	require.InDelta(t, 100, read.Flows[0].FirstToken.P95MS, 0.1)

	require.Empty(t, Compare(before, read).Worse(0))
	worse := lo.Map(Compare(before, after).Worse(0.1), func(d Difference, _ int) string { return d.Figure })
	require.Contains(t, worse, "first token p95, ms")
	require.Contains(t, worse, "wrong answers, share")
	require.NotContains(t, worse, "whole answers, share")
	require.Empty(t, Compare(after, before).Worse(0))
	var b strings.Builder
	require.NoError(t, Compare(before, after).WriteTable(&b))
	require.NoError(t, after.WriteTable(&b))
	require.Contains(t, b.String(), "whole 99, wrong 1")
}
