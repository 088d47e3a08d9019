// This file defines the subcommand that runs experiments.

package clbench

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/samber/lo"
	"github.com/urfave/cli/v3"
)

type (
	// Options are what experiments need from the command line.
	Options struct {
		// BinDir holds the built commands.
		BinDir string
		// Profiles is the folder that gets profiles of the measured process; none
		// are written if it is empty.
		Profiles string
	}

	experiment struct {
		name, usage string
		run         func(context.Context, Options) (*Result, error)
	}
)

// runLimit bounds each experiment.
const runLimit = 4 * time.Minute

var experiments = []experiment{
	{"connections", "memory of idle connections between peers", runConnections},
	{"control", "membership, facts and configuration at 25 to 390 nodes", runControl},
	{"booking", "object API calls and latency of booking records", runBooking},
	{"slots", "demands, grants and their memory", runSlots},
	{"entry", "latency, CPU and memory of an entry process", runEntry},
	{"entry_path", "CPU per request and per token of an entry, in under 60 s, with profiles", runEntryPath},
	{"routing", "choice of an endpoint among 15, 150 and 600", runRouting},
	{"failure", "loss of a data centre, in virtual time", runFailure},
	{"control_process", "plan sweeps and evidence reports", runControlProcess},
	{"duties", "store calls of the duties of gateways, in calm and after a return from an older copy", runDuties},
}

// Command returns the subcommand `experiment`.
func Command() *cli.Command {
	names := strings.Join(lo.Map(experiments, func(e experiment, _ int) string { return e.name }), ", ")
	return &cli.Command{
		Name: "experiment", Usage: "measure what the system costs: all, " + names, ArgsUsage: "NAME...",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "report", Usage: "`FILE` that gets the report as JSON; the table goes beside it as .txt"},
			&cli.StringFlag{Name: "bin", Usage: "`FOLDER` of the built commands; that of chestnutload if empty"},
			&cli.StringFlag{Name: "profiles", Usage: "`FOLDER` that gets profiles of the entry that entry_path measures"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			o := Options{BinDir: cmd.String("bin"), Profiles: cmd.String("profiles")}
			return runNamed(ctx, cmd.Args().Slice(), o, cmd.String("report"))
		},
	}
}

func runNamed(ctx context.Context, names []string, o Options, reportPath string) error {
	if o.BinDir == "" {
		self, err := os.Executable()
		if err != nil {
			return errors.Wrap(err, "name the commands' folder with --bin")
		}
		o.BinDir = filepath.Dir(self)
	}
	chosen := lo.Filter(experiments, func(e experiment, _ int) bool {
		return lo.Contains(names, "all") || lo.Contains(names, e.name)
	})
	if len(chosen) == 0 {
		return errors.New("name an experiment, or all; --help lists them")
	}
	report := newReport("chestnutload experiment " + strings.Join(names, " "))
	var table strings.Builder
	out := io.MultiWriter(os.Stdout, &table)
	var failed error
	for _, e := range chosen {
		result, err := e.measure(ctx, o)
		if err != nil {
			result.note("FAILED: %v", err)
			failed = errors.Join(failed, errors.Wrap(err, e.name))
		}
		report.Results = append(report.Results, result)
		if err := result.WriteTable(out); err != nil {
			return err
		}
	}
	if reportPath != "" {
		if err := writeReport(reportPath, report, table.String()); err != nil {
			return err
		}
	}
	return failed
}

func (e experiment) measure(ctx context.Context, o Options) (*Result, error) {
	ctx, cancel := context.WithTimeout(ctx, runLimit)
	defer cancel()
	started, cpu := time.Now(), cpuSeconds()
	r, err := e.run(ctx, o)
	r.finish(started, cpuSeconds()-cpu)
	return r, err
}

func writeReport(path string, r *Report, table string) error {
	f, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "name a writable report file")
	}
	if err := errors.Join(r.WriteJSON(f), f.Close()); err != nil {
		return errors.Wrap(err, "write the report")
	}
	head := fmt.Sprintf("%s, %s, %d CPUs, %s\n", r.Command, r.Started.UTC().Format(time.RFC3339), r.CPUs, r.Go)
	return os.WriteFile(strings.TrimSuffix(path, filepath.Ext(path))+".txt", []byte(head+table), 0o644)
}

// drain reads a body to its end, so that its connection can be reused.
func drain(body io.ReadCloser) {
	_, _ = io.Copy(io.Discard, body) // A broken connection is not reused.
	_ = body.Close()                 // Nothing of the body is left.
}
