// This file defines the command line of the patterns.

package clpattern

import (
	"context"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
)

// Command returns the command that compares policies by patterns, as a table.
func Command() *cli.Command {
	return &cli.Command{
		Name: "patterns", Usage: "compare the choice of endpoints with simple ones, by named patterns of load",
		Flags:  []cli.Flag{&cli.IntFlag{Name: "seeds", Value: 5, Usage: "plays of each"}, &cli.BoolFlag{Name: "hard", Usage: "play the patterns of uneven cost and pace instead"}},
		Action: runCommand,
	}
}

func runCommand(_ context.Context, cmd *cli.Command) error {
	if cmd.Bool("hard") {
		return compareHard(cmd.Int("seeds"))
	}
	seeds := cmd.Int("seeds")
	if seeds < 1 {
		return fmt.Errorf("set --seeds to 1 or more, not %d", seeds)
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "pattern\tpolicy\ton time\tlate\trefused\tlarge\tread\tshared read\tp95\t")
	for _, p := range Patterns() {
		for _, policy := range []Policy{Fleet, Random, RoundRobin} {
			o := Mean(p, policy, seeds)
			fmt.Fprintf(t, "%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%s\t\n", p.Name, policy, o.OnTime, o.Late, o.Refused,
				o.LargeOnTime, o.Read, o.SharedRead, o.P95.Round(time.Millisecond))
		}
	}
	return t.Flush()
}

// compareHard prints how policies do on the patterns of uneven cost and pace.
func compareHard(seeds int) error {
	if seeds < 1 {
		return fmt.Errorf("set --seeds to 1 or more, not %d", seeds)
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "pattern\tpolicy\tp50\tp95\ton time\tlate\trefused\tlarge\tshared read\tpause\tpreempted\t")
	for _, p := range HardPatterns() {
		for _, policy := range []Policy{Fleet, Stated, CostAware, Random} {
			o := Mean(p, policy, seeds)
			fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%s\t%.3f\t\n", p.Name, policy, o.P50.Round(time.Millisecond),
				o.P95.Round(time.Millisecond), o.OnTime, o.Late, o.Refused, o.LargeOnTime, o.SharedRead, o.Pause.Round(time.Millisecond), o.Preempted)
		}
	}
	return t.Flush()
}

// Mean plays a pattern with seeds 1 to n and returns the means.
func Mean(p Pattern, policy Policy, n int) Outcome {
	var sum Outcome
	for seed := range n {
		o := Play(p, policy, uint64(seed)+1)
		sum.Requests += o.Requests
		sum.OnTime += o.OnTime / float64(n)
		sum.Late += o.Late / float64(n)
		sum.Refused += o.Refused / float64(n)
		sum.LargeOnTime += o.LargeOnTime / float64(n)
		sum.LastOnTime += o.LastOnTime / float64(n)
		sum.Read += o.Read / float64(n)
		sum.SharedRead += o.SharedRead / float64(n)
		sum.P50 += o.P50 / time.Duration(n)
		sum.P95 += o.P95 / time.Duration(n)
		sum.Preempted += o.Preempted / float64(n)
		sum.Pause += o.Pause / time.Duration(n)
	}
	return sum
}
