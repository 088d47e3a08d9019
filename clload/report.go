// This file defines the record of results and the report made of it.

package clload

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
	"github.com/samber/lo"
)

type (
	// Latency sums up a histogram, in milliseconds.
	Latency struct {
		Count  int64   `json:"count"`
		MeanMS float64 `json:"mean_ms"`
		P50MS  float64 `json:"p50_ms"`
		P95MS  float64 `json:"p95_ms"`
		P99MS  float64 `json:"p99_ms"`
		P999MS float64 `json:"p999_ms"`
		MaxMS  float64 `json:"max_ms"`
	}

	// GroupReport sums up the requests of a flow or of an account. Latencies
	// are those of whole answers and count from the scheduled time.
	GroupReport struct {
		Name      string            `json:"name"`
		Scheduled int64             `json:"scheduled"`
		Outcomes  map[Outcome]int64 `json:"outcomes"`
		// Resent counts attempts beyond each request's first.
		Resent int64 `json:"resent"`
		// Replayed counts answers that repeat the first run's.
		Replayed int64 `json:"replayed"`
		Tokens   int64 `json:"tokens"`
		// InTarget is the share of all scheduled requests with a whole answer
		// whose first token, and 95% of whose gaps, were in target.
		InTarget      float64 `json:"in_target"`
		FirstToken    Latency `json:"first_token"`
		BetweenTokens Latency `json:"between_tokens"`
		Total         Latency `json:"total"`
	}

	// Report is the result of a run.
	Report struct {
		Scenario *Scenario `json:"scenario"`
		RunID    string    `json:"run_id"`
		Started  time.Time `json:"started"`
		Seconds  float64   `json:"seconds"`
		// Lag is how much later than scheduled the generator sent requests; it
		// is part of the latencies.
		Lag      Latency       `json:"lag"`
		Flows    []GroupReport `json:"flows"`
		Accounts []GroupReport `json:"accounts"`
		// Faults are the first causes of outcomes that should not occur.
		Faults []string `json:"faults"`
	}

	group struct {
		report        GroupReport
		inTarget      int64
		firstToken    *hdrhistogram.Histogram
		betweenTokens *hdrhistogram.Histogram
		total         *hdrhistogram.Histogram
	}

	recorder struct {
		mu       sync.Mutex
		scenario *Scenario
		flows    map[string]*group
		accounts map[string]*group
		lags     *hdrhistogram.Histogram
		faults   []string
	}
)

const (
	// Histograms hold microseconds up to highestMicros with three digits.
	highestMicros = int64(time.Hour / time.Microsecond)
	digits        = 3
	maxFaults     = 20
	gapQuantile   = 0.95
)

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, highestMicros, digits) }

func newGroup(name string) *group {
	return &group{report: GroupReport{Name: name, Outcomes: map[Outcome]int64{}},
		firstToken: newHistogram(), betweenTokens: newHistogram(), total: newHistogram()}
}

func newRecorder(s *Scenario) *recorder {
	rec := &recorder{scenario: s, lags: newHistogram(), flows: map[string]*group{}, accounts: map[string]*group{}}
	for _, f := range s.Flows {
		rec.flows[f.Name] = newGroup(f.Name)
	}
	for _, a := range s.Accounts {
		rec.accounts[a.Name] = newGroup(a.Name)
	}
	return rec
}

// recordDuration clamps to the histogram's range, so that no value is lost.
func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), highestMicros))
}

func (rec *recorder) lag(d time.Duration) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	recordDuration(rec.lags, d)
}

func (rec *recorder) record(res Result) {
	inTarget := rec.inTarget(res)
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.flows[res.Request.Flow].add(res, inTarget)
	rec.accounts[res.Request.Account].add(res, inTarget)
	if res.Err != nil && res.Outcome != OutcomeNotRun && len(rec.faults) < maxFaults {
		rec.faults = append(rec.faults, fmt.Sprintf("%s of %s: %s: %v", res.Request.Flow, res.Request.Account, res.Outcome, res.Err))
	}
}

// inTarget compares the first token, or the whole answer if it is no stream.
func (rec *recorder) inTarget(res Result) bool {
	if res.Outcome != OutcomeWhole {
		return false
	}
	first := lo.Ternary(res.Request.Kind == KindStream, res.FirstToken, res.Total)
	slow := lo.CountBy(res.Gaps, func(d time.Duration) bool { return d > time.Duration(rec.scenario.BetweenTokensTarget) })
	return first <= time.Duration(rec.scenario.FirstTokenTarget) && float64(slow) <= (1-gapQuantile)*float64(len(res.Gaps))
}

func (g *group) add(res Result, inTarget bool) {
	g.report.Scheduled++
	g.report.Outcomes[res.Outcome]++
	g.report.Resent += int64(max(0, res.Attempts-1))
	if res.Answer.Header.Get("Idempotency-Replayed") == "true" {
		g.report.Replayed++
	}
	if res.FirstToken > 0 {
		g.report.Tokens += int64(1 + len(res.Gaps))
	}
	if res.Outcome != OutcomeWhole {
		return
	}
	if inTarget {
		g.inTarget++
	}
	if res.FirstToken > 0 {
		recordDuration(g.firstToken, res.FirstToken)
	}
	for _, gap := range res.Gaps {
		recordDuration(g.betweenTokens, gap)
	}
	recordDuration(g.total, res.Total)
}

func (g *group) finish() GroupReport {
	r := g.report
	if r.Scheduled > 0 {
		r.InTarget = float64(g.inTarget) / float64(r.Scheduled)
	}
	r.FirstToken, r.BetweenTokens, r.Total = latency(g.firstToken), latency(g.betweenTokens), latency(g.total)
	return r
}

func latency(h *hdrhistogram.Histogram) Latency {
	const microsPerMilli = 1000
	at := func(percentile float64) float64 { return float64(h.ValueAtQuantile(percentile)) / microsPerMilli }
	return Latency{Count: h.TotalCount(), MeanMS: h.Mean() / microsPerMilli, P50MS: at(50), P95MS: at(95), P99MS: at(99),
		P999MS: at(99.9), MaxMS: float64(h.Max()) / microsPerMilli}
}

func (rec *recorder) report(runID string, start time.Time, took time.Duration) *Report {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	scenario := *rec.scenario
	// Reports are passed around; the accounts' keys stay out of them.
	scenario.Accounts = lo.Map(scenario.Accounts, func(a Account, _ int) Account {
		a.Key = ""
		return a
	})
	return &Report{Scenario: &scenario, RunID: runID, Started: start.UTC(), Seconds: took.Seconds(), Lag: latency(rec.lags),
		Flows:    lo.Map(scenario.Flows, func(f Flow, _ int) GroupReport { return rec.flows[f.Name].finish() }),
		Accounts: lo.Map(scenario.Accounts, func(a Account, _ int) GroupReport { return rec.accounts[a.Name].finish() }),
		Faults:   rec.faults}
}

// ReadReport reads a report that was written as JSON.
func ReadReport(path string) (*Report, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "name a report that `chestnutload run` wrote")
	}
	r := &Report{}
	if err := json.Unmarshal(text, r); err != nil || r.Scenario == nil {
		return nil, errors.Errorf("%s is no report of `chestnutload run`", path)
	}
	return r, nil
}

// WriteJSON writes the report for ReadReport.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteTable writes the report for readers.
func (r *Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "%s, seed %d: %.1f s; generator lag p99 %.2f ms, max %.2f ms\n\n", r.Scenario.Name, r.Scenario.Seed, r.Seconds, r.Lag.P99MS, r.Lag.MaxMS)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "GROUP\tSCHEDULED\tOUTCOMES\tRESENT\tTOKENS\tIN TARGET\tFIRST p50/p95/p99\tBETWEEN p50/p95/p99\tTOTAL p50/p95/p99 ms")
	for _, g := range append(append([]GroupReport{}, r.Flows...), r.Accounts...) {
		fmt.Fprintf(tw, "%s\t%d\t%s\t%d\t%d\t%.1f%%\t%s\t%s\t%s\n", g.Name, g.Scheduled, outcomesText(g.Outcomes), g.Resent, g.Tokens,
			g.InTarget*100, latencyText(g.FirstToken), latencyText(g.BetweenTokens), latencyText(g.Total))
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	if len(r.Faults) > 0 {
		fmt.Fprintf(w, "\nfirst faults:\n  %s\n", strings.Join(r.Faults, "\n  "))
	}
	return nil
}

// outcomesText lists the outcomes in a fixed order.
func outcomesText(counts map[Outcome]int64) string {
	order := []Outcome{OutcomeWhole, OutcomeNotRun, OutcomeUnknown, OutcomeStreamError, OutcomeBroken, OutcomeTimeout, OutcomeCut, OutcomeWrong, OutcomeNotSent}
	parts := lo.FilterMap(order, func(o Outcome, _ int) (string, bool) { return fmt.Sprintf("%s %d", o, counts[o]), counts[o] > 0 })
	return strings.Join(parts, ", ")
}

func latencyText(l Latency) string {
	if l.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f/%.1f/%.1f", l.P50MS, l.P95MS, l.P99MS)
}
