// This file defines the gateway daemon, which runs on the users' platform.

package main

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/chestnutlead/chestnutlead/clobserve"
	"github.com/chestnutlead/chestnutlead/internal/limits/clmemory"
	"github.com/chestnutlead/chestnutlead/internal/serving/clnode"
	"github.com/chestnutlead/chestnutlead/platform/cladapter"
	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"
)

// gatewayCommand returns the subcommand `gateway`.
func gatewayCommand() *cli.Command {
	return &cli.Command{
		Name:  "gateway",
		Usage: "run a gateway process on the users' platform",
		Description: "Reads the platform's settings file from --settings, or from where the platform says it lies.\n" +
			"docs/platform.md tells what the process does.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE` in the platform's format", Value: cladapter.SettingsPath()},
			&cli.StringFlag{Name: "log-level", Usage: "`LEVEL` debug, info, warn or error", Value: "info"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings file and exit"},
			&cli.BoolFlag{Name: "cost-aware", Usage: "choose endpoints by the likely cost of requests, for services whose endpoints state their pace"},
			&cli.BoolFlag{Name: "fair-shares", Usage: "divide the capacity of a service in shortage among the client accounts by their quotas"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s, err := cladapter.LoadSettings(cmd.String("settings"))
			if err != nil || cmd.Bool("check") {
				return err
			}
			s.CostAware, s.FairShares = cmd.Bool("cost-aware"), cmd.Bool("fair-shares")
			return runGateway(ctx, s, cmd.String("settings"), cmd.String("log-level"))
		},
	}
}

// runGateway serves until ctx ends and the process has drained.
func runGateway(ctx context.Context, s clnode.Settings, path, level string) error {
	if s.MemoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(s.MemoryBytes) * clmemory.HeapFraction))
	}
	protectDaemon()
	out := clobserve.NewAsyncWriter(os.Stdout)
	logger, err := clobserve.NewLogger(out, level, "json")
	if err != nil {
		return err
	}
	metrics := clobserve.NewMetrics()
	metrics.GaugeFunc(clobserve.Name{Component: "log", What: "dropped_lines", Unit: "count"},
		"Log lines that were dropped because nobody read them fast enough.", func() float64 { return float64(out.Dropped()) })
	// A hang-up says that the settings file has changed. It stays caught until the
	// process exits, since its default is to end it.
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	n := &clnode.Node{
		Settings: s, Store: cladapter.NewStore(s.StoreAddress), Cloud: cladapter.NewCloud(s.CloudAddress), HeaderCodec: cladapter.Headers{},
		IdentifyEndpoint: cladapter.Identify,
		LoadSettings:     func() (clnode.Settings, error) { return cladapter.LoadSettings(path) },
		ReloadSignal:     hangUp, Logger: logger, Metrics: metrics,
	}
	done := make(chan struct{})
	var g errgroup.Group
	g.Go(func() error { return out.Run(done) })
	err = n.Run(ctx)
	close(done)
	if werr := g.Wait(); err == nil {
		err = werr
	}
	return err
}
