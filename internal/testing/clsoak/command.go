// This file defines the command line of the soak.

package clsoak

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
)

// Command returns the command that runs the soak with one seed after the other.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run gateways as processes under random faults and check the promises",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "binary", Value: "bin/chestnutlead", Usage: "the program under test"},
			&cli.StringFlag{Name: "dir", Value: "", Usage: "where logs go; a new temporary folder if it is empty"},
			&cli.Uint64Flag{Name: "seed", Value: 0, Usage: "the first seed; 0 takes one from the clock"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "how many seeds are run"},
			&cli.IntFlag{Name: "gateways", Value: 4, Usage: "gateway processes"},
			&cli.IntFlag{Name: "endpoints", Value: 5, Usage: "endpoints"},
			&cli.IntFlag{Name: "callers", Value: 12, Usage: "callers"},
			&cli.StringSliceFlag{Name: "fault", Usage: "the name of a fault, to inject only those that are named, each as often as it is named"},
			&cli.DurationFlag{Name: "length", Value: 20 * time.Second, Usage: "how long faults are injected"},
			&cli.DurationFlag{Name: "away", Value: DefaultReturnConfig.Away, Usage: "how long the store is away at most before it returns from an older copy"},
			&cli.DurationFlag{Name: "age", Value: DefaultReturnConfig.Age, Usage: "the age of that copy at most"},
			&cli.Float64Flag{Name: "again", Value: DefaultReturnConfig.Again, Usage: "part of these returns that another one follows at once"},
			&cli.Float64Flag{Name: "no-lease", Value: DefaultReturnConfig.NoLease, Usage: "part of these copies that hold no lease"},
			&cli.Float64Flag{Name: "end-holder", Value: DefaultReturnConfig.EndHolder, Usage: "part of these returns around which the holder of the duties ends or is paused"},
		},
		Action: runCommand,
	}
}

// runCommand prints a line of JSON for each seed, and fails if any broke a promise.
func runCommand(ctx context.Context, cmd *cli.Command) error {
	seed := cmd.Uint64("seed")
	if seed == 0 {
		seed = uint64(time.Now().UnixNano()) % 1e9
	}
	dir := cmd.String("dir")
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "chestnutlead-soak"); err != nil {
			return errors.Wrap(err, "name a folder with --dir")
		}
	}
	broken := 0
	for i := range cmd.Int("seeds") {
		s := &Soak{
			Binary: cmd.String("binary"), Dir: filepath.Join(dir, fmt.Sprint("seed-", seed+uint64(i))), Seed: seed + uint64(i),
			Gateways: cmd.Int("gateways"), Endpoints: cmd.Int("endpoints"), Callers: cmd.Int("callers"), Length: cmd.Duration("length"),
			Faults: cmd.StringSlice("fault"), ReturnConfig: returnConfigOf(cmd), Logger: zap.NewNop(),
		}
		if err := os.MkdirAll(s.Dir, 0o700); err != nil {
			return errors.Wrap(err, "name a folder that can be written with --dir")
		}
		report, err := s.Run(ctx)
		if err != nil {
			return errors.Wrapf(err, "seed %d; logs are in %s", s.Seed, s.Dir)
		}
		b, err := json.Marshal(report)
		if err != nil {
			return err
		}
		fmt.Println(string(b))
		if len(report.Violations) > 0 {
			broken++
			fmt.Fprintf(os.Stderr, "seed %d broke promises; logs are in %s\n", s.Seed, s.Dir)
			continue
		}
		if err := os.RemoveAll(s.Dir); err != nil {
			return err
		}
	}
	if broken > 0 {
		return errors.Errorf("%d of %d seeds broke promises", broken, cmd.Int("seeds"))
	}
	return nil
}

func returnConfigOf(cmd *cli.Command) ReturnConfig {
	share := func(name string) float64 {
		if p := cmd.Float64(name); p > 0 {
			return p
		}
		return -1
	}
	return ReturnConfig{
		Away: cmd.Duration("away"), Age: cmd.Duration("age"), Again: share("again"), NoLease: share("no-lease"), EndHolder: share("end-holder"),
	}
}
