// This file defines the comparison of two reports.

package clload

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/samber/lo"
)

type (
	// Difference is one figure in two reports.
	Difference struct {
		Flow   string
		Figure string
		Before float64
		After  float64
		// HigherIsBetter holds for shares of good outcomes.
		HigherIsBetter bool
	}

	// Comparison holds the differences of two reports' flows.
	Comparison struct {
		Differences []Difference
		// Warnings say why the reports may not be comparable.
		Warnings []string
	}
)

// Compare compares the flows that both reports have.
func Compare(before, after *Report) *Comparison {
	c := &Comparison{}
	if before.Scenario.Name != after.Scenario.Name || before.Scenario.Seed != after.Scenario.Seed ||
		before.Scenario.Duration != after.Scenario.Duration {
		c.Warnings = append(c.Warnings, "the reports have different scenarios, seeds or durations")
	}
	for _, r := range []*Report{before, after} {
		if r.Lag.P99MS > maxLagMS {
			c.Warnings = append(c.Warnings, fmt.Sprintf("the generator of run %s sent 1%% of its requests more than %.1f ms late", r.RunID, r.Lag.P99MS))
		}
	}
	for _, b := range before.Flows {
		a, found := lo.Find(after.Flows, func(g GroupReport) bool { return g.Name == b.Name })
		if !found {
			c.Warnings = append(c.Warnings, "flow "+b.Name+" is in the first report only")
			continue
		}
		c.addFlow(b, a)
	}
	return c
}

// maxLagMS is the lag above which the generator itself distorts the latencies.
const maxLagMS = 10

func (c *Comparison) addFlow(b, a GroupReport) {
	c.Differences = append(c.Differences,
		Difference{b.Name, "whole answers, share", share(b, OutcomeWhole), share(a, OutcomeWhole), true},
		Difference{b.Name, "in target, share", b.InTarget, a.InTarget, true},
		Difference{b.Name, "wrong answers, share", share(b, OutcomeWrong), share(a, OutcomeWrong), false})
	for _, l := range []struct {
		name          string
		before, after Latency
	}{{"first token", b.FirstToken, a.FirstToken}, {"between tokens", b.BetweenTokens, a.BetweenTokens}, {"total", b.Total, a.Total}} {
		if l.before.Count == 0 && l.after.Count == 0 {
			continue
		}
		c.Differences = append(c.Differences,
			Difference{b.Name, l.name + " p50, ms", l.before.P50MS, l.after.P50MS, false},
			Difference{b.Name, l.name + " p95, ms", l.before.P95MS, l.after.P95MS, false},
			Difference{b.Name, l.name + " p99, ms", l.before.P99MS, l.after.P99MS, false})
	}
}

func share(g GroupReport, o Outcome) float64 {
	if g.Scheduled == 0 {
		return 0
	}
	return float64(g.Outcomes[o]) / float64(g.Scheduled)
}

// Change returns the relative change; 0 if both figures are 0, and 1 if only the former is.
func (d Difference) Change() float64 {
	if d.Before == 0 {
		return lo.Ternary(d.After == 0, 0.0, 1.0)
	}
	return (d.After - d.Before) / d.Before
}

// Worse returns the differences that got worse by more than limit, as 0.1 for 10%.
func (c *Comparison) Worse(limit float64) []Difference {
	return lo.Filter(c.Differences, func(d Difference, _ int) bool {
		return lo.Ternary(d.HigherIsBetter, -d.Change(), d.Change()) > limit
	})
}

// WriteTable writes the comparison for readers.
func (c *Comparison) WriteTable(w io.Writer) error {
	for _, warning := range c.Warnings {
		fmt.Fprintln(w, "warning:", warning)
	}
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "FLOW\tFIGURE\tBEFORE\tAFTER\tCHANGE")
	for _, d := range c.Differences {
		fmt.Fprintf(tw, "%s\t%s\t%.3f\t%.3f\t%+.1f%%\n", d.Flow, d.Figure, d.Before, d.After, d.Change()*100)
	}
	return tw.Flush()
}
