// This file defines the subcommands and their flags.

package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/chestnutlead/chestnutlead/clstandin"
)

func platformCommand() *cli.Command {
	return &cli.Command{
		Name: "platform", Usage: "object API, cloud API, list of instances, weight store",
		Flags: append(commonFlags(),
			&cli.Float64Flag{Name: "reads-per-second", Usage: "rate of object reads; 0 means no limit"},
			&cli.Float64Flag{Name: "writes-per-second", Usage: "rate of object writes; 0 means no limit"},
			&cli.DurationFlag{Name: "instances-lag", Usage: "age of the list of instances"},
			&cli.StringFlag{Name: "offers", Usage: "JSON list of offers (data_centre, class, reclaimable, price_per_hour)"},
			&cli.Float64Flag{Name: "weight-bytes-per-second", Usage: "rate of the weight store; 0 means no limit"},
			&cli.Int64Flag{Name: "weight-bytes", Value: 1 << 30, Usage: "size of each model's weights"},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			p := &clstandin.Platform{
				ReadsPerSecond: cmd.Float64("reads-per-second"), WritesPerSecond: cmd.Float64("writes-per-second"),
				InstancesLag: cmd.Duration("instances-lag"), WeightBytesPerSecond: cmd.Float64("weight-bytes-per-second"),
				WeightBytes: cmd.Int64("weight-bytes"),
			}
			if err := configure(cmd, &p.Server); err != nil {
				return err
			}
			if err := parseJSON(cmd, "offers", &p.Offers); err != nil {
				return err
			}
			return run(ctx, "platform", p)
		},
	}
}

func engineCommand() *cli.Command {
	d := clstandin.NewEngine()
	return &cli.Command{
		Name: "engine", Usage: "model engine with the completion API",
		Flags: append(append(commonFlags(), engineSpeedFlags(d)...),
			&cli.StringFlag{Name: "service", Value: d.Service, Usage: "service in load reports"},
			&cli.StringFlag{Name: "version", Value: d.Version, Usage: "version in load reports"},
			&cli.DurationFlag{Name: "load-lag", Value: d.LoadLag, Usage: "age of load reports"},
			&cli.DurationFlag{Name: "load-every", Value: d.LoadEvery, Usage: "interval of load reports"},
			&cli.DurationFlag{Name: "cache-event-lag", Value: d.CacheEventLag, Usage: "delay of cache events"},
			&cli.Float64Flag{Name: "cache-event-loss", Usage: "probability that a cache event is lost"},
			&cli.IntFlag{Name: "kv-bytes-per-token", Value: d.KVBytesPerToken, Usage: "size of an exported KV cache"},
			&cli.Float64Flag{Name: "kv-bytes-per-second", Usage: "rate of export and import; 0 means no limit"},
			&cli.BoolFlag{Name: "checks-fencing", Usage: "refuse orders with an old fencing number"},
			&cli.DurationFlag{Name: "resume-window", Value: d.ResumeWindow, Usage: "how long a broken stream can be resumed"},
			&cli.DurationFlag{Name: "load-time", Usage: "how long an order to load a version takes"},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			e := clstandin.NewEngine()
			if err := configure(cmd, &e.Server); err != nil {
				return err
			}
			setEngine(cmd, e)
			return run(ctx, "engine", e)
		},
	}
}

func engineSpeedFlags(d *clstandin.Engine) []cli.Flag {
	return []cli.Flag{
		&cli.Float64Flag{Name: "tokens-per-second", Value: d.TokensPerSecond, Usage: "rate of a stream that runs alone"},
		&cli.Float64Flag{Name: "prefill-per-second", Value: d.PrefillPerSecond, Usage: "prompt tokens computed in a second"},
		&cli.Float64Flag{Name: "slowdown", Value: d.Slowdown, Usage: "share by which each further running request slows all"},
		&cli.IntFlag{Name: "max-running", Value: d.MaxRunning, Usage: "size of the batch; further requests wait"},
		&cli.IntFlag{Name: "cold-slots", Value: d.ColdSlots, Usage: "requests that a cold engine bears at once"},
		&cli.DurationFlag{Name: "cold-time", Usage: "how long the engine is cold after a boot"},
		&cli.DurationFlag{Name: "cold-grace", Usage: "time after turn_cold in which more than cold-slots are borne"},
		&cli.Float64Flag{Name: "cold-factor", Value: d.ColdFactor, Usage: "factor by which a cold engine is slower"},
		&cli.IntFlag{Name: "cache-blocks", Value: d.CacheBlocks, Usage: "blocks of 16 tokens in the prefix cache"},
	}
}

func setEngine(cmd *cli.Command, e *clstandin.Engine) {
	e.Service, e.Version = cmd.String("service"), cmd.String("version")
	e.TokensPerSecond, e.PrefillPerSecond = cmd.Float64("tokens-per-second"), cmd.Float64("prefill-per-second")
	e.Slowdown, e.MaxRunning = cmd.Float64("slowdown"), cmd.Int("max-running")
	e.ColdSlots, e.ColdTime = cmd.Int("cold-slots"), cmd.Duration("cold-time")
	e.ColdGrace, e.ColdFactor = cmd.Duration("cold-grace"), cmd.Float64("cold-factor")
	e.CacheBlocks = cmd.Int("cache-blocks")
	e.LoadLag, e.LoadEvery = cmd.Duration("load-lag"), cmd.Duration("load-every")
	e.CacheEventLag, e.CacheEventLoss = cmd.Duration("cache-event-lag"), cmd.Float64("cache-event-loss")
	e.KVBytesPerToken, e.KVBytesPerSecond = cmd.Int("kv-bytes-per-token"), cmd.Float64("kv-bytes-per-second")
	e.ChecksFencing, e.ResumeWindow = cmd.Bool("checks-fencing"), cmd.Duration("resume-window")
	e.LoadTime = cmd.Duration("load-time")
}

func bookingCommand() *cli.Command {
	return &cli.Command{
		Name: "booking", Usage: "plain service that counts how often each booking ran",
		Flags: append(commonFlags(),
			&cli.StringFlag{Name: "service", Value: "booking", Usage: "service in load reports"},
			&cli.StringFlag{Name: "version", Value: "v1", Usage: "version in load reports"},
			&cli.DurationFlag{Name: "delay", Usage: "how long a booking takes"},
			&cli.BoolFlag{Name: "deduplicate", Usage: "answer a repeated Idempotency-Key with the first answer"},
		),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			b := &clstandin.Booking{
				Service: cmd.String("service"), Version: cmd.String("version"),
				Delay: cmd.Duration("delay"), Deduplicate: cmd.Bool("deduplicate"),
			}
			if err := configure(cmd, &b.Server); err != nil {
				return err
			}
			return run(ctx, "booking", b)
		},
	}
}
