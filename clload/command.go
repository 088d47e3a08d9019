// This file defines the commands of chestnutload.

package clload

import (
	"context"
	"fmt"
	"os"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// Commands returns the subcommands `run` and `compare`.
func Commands() []*cli.Command {
	return []*cli.Command{
		{
			Name:  "run",
			Usage: "offers a scenario's load to entries and prints a report",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "scenario", Usage: "scenario `FILE`; settings/load.json is a sample", Required: true},
				&cli.StringSliceFlag{Name: "target", Usage: "base `URL` of an entry; more take turns", Required: true},
				&cli.StringFlag{Name: "report", Usage: "`FILE` that gets the report as JSON"},
				&cli.Uint64Flag{Name: "seed", Usage: "seed in place of the scenario's"},
				&cli.DurationFlag{Name: "duration", Usage: "duration in place of the scenario's"},
				&cli.Float64Flag{Name: "scale", Usage: "factor on all rates", Value: 1},
				&cli.BoolFlag{Name: "allow-remote", Usage: "allow targets that are no loopback addresses"},
			},
			Action: runCommand,
		},
		{
			Name:      "compare",
			Usage:     "compares two reports; fails if a figure got worse by more than --limit",
			ArgsUsage: "A.json B.json",
			Flags: []cli.Flag{
				&cli.Float64Flag{Name: "limit", Usage: "share by which a figure may get worse, as 0.1; without it nothing fails"},
			},
			Action: compareCommand,
		},
	}
}

func runCommand(ctx context.Context, cmd *cli.Command) error {
	s, err := LoadScenario(cmd.String("scenario"))
	if err != nil {
		return err
	}
	if cmd.IsSet("seed") {
		s.Seed = cmd.Uint64("seed")
	}
	if cmd.IsSet("duration") {
		s.Duration = Duration(cmd.Duration("duration"))
	}
	for i := range s.Flows {
		s.Flows[i].Rate *= cmd.Float64("scale")
	}
	r := &Runner{Scenario: s, Targets: cmd.StringSlice("target"), AllowRemote: cmd.Bool("allow-remote")}
	report, runErr := r.Run(ctx)
	if report == nil {
		return runErr
	}
	if err := report.WriteTable(cmd.Root().Writer); err != nil {
		return err
	}
	if path := cmd.String("report"); path != "" {
		if err := writeReport(path, report); err != nil {
			return err
		}
	}
	return runErr
}

func writeReport(path string, report *Report) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "name a writable file with --report")
	}
	err = report.WriteJSON(f)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return errors.Wrap(err, "the report is not complete")
	}
	return nil
}

func compareCommand(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 2 {
		return errors.New("name two reports, the earlier one first")
	}
	before, err := ReadReport(cmd.Args().Get(0))
	if err != nil {
		return err
	}
	after, err := ReadReport(cmd.Args().Get(1))
	if err != nil {
		return err
	}
	c := Compare(before, after)
	if err := c.WriteTable(cmd.Root().Writer); err != nil {
		return err
	}
	if !cmd.IsSet("limit") {
		return nil
	}
	if worse := c.Worse(cmd.Float64("limit")); len(worse) > 0 {
		return errors.Errorf("%d figures got worse by more than %.0f%%, the first is %s of flow %s",
			len(worse), cmd.Float64("limit")*100, worse[0].Figure, worse[0].Flow)
	}
	fmt.Fprintln(cmd.Root().Writer, "no figure got worse by more than the limit")
	return nil
}
