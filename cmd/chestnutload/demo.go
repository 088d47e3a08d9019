// This file defines the subcommand that runs the demo.

package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/chestnutlead/chestnutlead/cldemo"
	"github.com/go-faster/errors"
	"github.com/urfave/cli/v3"
)

// demoLimit bounds the whole demo.
const demoLimit = 3 * time.Minute

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run the main job on two deployments with real processes and compare promises with observations",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "bin", Usage: "`FOLDER` of the built commands; that of chestnutload if empty"},
			&cli.StringFlag{Name: "keep", Usage: "keep logs, settings and load reports in `FOLDER`"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return demo(ctx, cmd.String("bin"), cmd.String("keep"))
		},
	}
}

func demo(ctx context.Context, bin, keep string) error {
	if bin == "" {
		self, err := os.Executable()
		if err != nil {
			return errors.Wrap(err, "name the commands' folder with --bin")
		}
		bin = filepath.Dir(self)
	}
	work := keep
	if work == "" {
		dir, err := os.MkdirTemp("", "chestnutlead-demo-")
		if err != nil {
			return errors.Wrap(err, "make a work folder")
		}
		defer os.RemoveAll(dir)
		work = dir
	}
	ctx, cancel := context.WithTimeout(ctx, demoLimit)
	defer cancel()
	t, err := cldemo.Run(ctx, bin, work)
	if err := t.Write(os.Stdout); err != nil {
		return err
	}
	if err != nil {
		return errors.Wrap(err, "the demo did not finish")
	}
	if !t.Kept() {
		return errors.New("a promise was not kept; run it again with --keep FOLDER and read the logs there")
	}
	fmt.Println("every promise was kept")
	return nil
}
