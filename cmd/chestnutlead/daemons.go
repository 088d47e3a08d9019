// This file defines how the daemons are put together from their settings.

package main

import (
	"context"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/chestnutlead/chestnutlead/clcommand"
	"github.com/chestnutlead/chestnutlead/clcontrol"
	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/clentry"
	"github.com/chestnutlead/chestnutlead/clobserve"
	"github.com/chestnutlead/chestnutlead/clplatform"
	"github.com/chestnutlead/chestnutlead/clsettings"
	"github.com/go-faster/errors"
	"github.com/samber/do/v2"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// daemons returns the serving subcommands. The first SIGINT or SIGTERM ends
// their context, upon which they drain and return.
func daemons() []*cli.Command {
	return []*cli.Command{
		clcommand.Daemon("entry", "run an entry process", runEntry),
		clcommand.Daemon("control", "run a control process", runControl),
		gatewayCommand(),
		explainCommand(),
	}
}

// commonSettings are the settings that both daemons have.
type commonSettings interface {
	GetPlatform() *clsettings.PlatformSettings
	GetEndpoint() *clsettings.EndpointSettings
	GetLog() *clsettings.LogSettings
	GetProcess() *clsettings.ProcessSettings
}

// platforms are the adapters of the platform's two APIs.
type platforms struct {
	objects *clplatform.HTTP
	cloud   *clplatform.HTTP
}

// newInjector provides what both daemons are made of.
func newInjector(s commonSettings, conditions []string) *do.RootScope {
	i := do.New()
	do.ProvideValue(i, s)
	do.ProvideValue(i, clobserve.NewAsyncWriter(os.Stderr))
	do.Provide(i, newLogger)
	do.Provide(i, newPlatforms)
	do.Provide(i, newEndpoints)
	do.ProvideValue(i, clobserve.NewMetrics())
	do.ProvideValue(i, clobserve.NewReadiness(conditions...))
	return i
}

func newLogger(i do.Injector) (*zap.Logger, error) {
	s := do.MustInvoke[commonSettings](i)
	l, err := clobserve.NewLogger(do.MustInvoke[*clobserve.AsyncWriter](i), s.GetLog().GetLevel(), s.GetLog().GetFormat())
	if err != nil {
		return nil, err
	}
	return l.With(zap.String("process", s.GetProcess().GetName())), nil
}

func newPlatforms(i do.Injector) (*platforms, error) {
	s := do.MustInvoke[commonSettings](i).GetPlatform()
	objects, err := newPlatform(s.GetObjectApiUrl(), s.GetCallTimeout().AsDuration())
	if err != nil {
		return nil, err
	}
	cloud, err := newPlatform(s.GetCloudApiUrl(), s.GetCallTimeout().AsDuration())
	return &platforms{objects: objects, cloud: cloud}, err
}

func newPlatform(base string, timeout time.Duration) (*clplatform.HTTP, error) {
	u, err := url.Parse(base)
	if err != nil {
		return nil, errors.Wrap(err, "parse platform URL")
	}
	addr, err := netip.ParseAddrPort(u.Host)
	if err != nil {
		return nil, errors.Wrapf(err, "platform URL %s needs an IP address and a port", base)
	}
	return &clplatform.HTTP{
		Address: addr, ConnectTimeout: min(timeout, clplatform.DefaultConnectTimeout),
		ReadTimeout: timeout, WriteTimeout: timeout, CloudTimeout: timeout,
	}, nil
}

func newEndpoints(i do.Injector) (*clendpoint.HTTP, error) {
	s := do.MustInvoke[commonSettings](i).GetEndpoint()
	return &clendpoint.HTTP{Timeouts: clendpoint.Timeouts{
		Connect: s.GetConnectTimeout().AsDuration(), FirstByte: s.GetFirstByteTimeout().AsDuration(),
		BetweenReads: s.GetBetweenReadsTimeout().AsDuration(),
	}}, nil
}

func runEntry(ctx context.Context, file string) error {
	s, err := clsettings.LoadEntry(file)
	if err != nil {
		return err
	}
	return runDaemon(ctx, s, clentry.Conditions, s.GetListen().MetricsAddr(), func(p *parts) daemon {
		return &clentry.Entry{
			Settings: s, Objects: p.platforms.objects, Instances: p.platforms.cloud, Cloud: p.platforms.cloud,
			Client: p.endpoints, Observer: p.endpoints, Logger: p.logger, Metrics: p.metrics, Readiness: p.readiness,
		}
	})
}

func runControl(ctx context.Context, file string) error {
	s, err := clsettings.LoadControl(file)
	if err != nil {
		return err
	}
	return runDaemon(ctx, s, clcontrol.Conditions, s.GetListen().MetricsAddr(), func(p *parts) daemon {
		return &clcontrol.Control{
			Settings: s, Objects: p.platforms.objects, Instances: p.platforms.cloud, Cloud: p.platforms.cloud,
			Observer: p.endpoints, Orderer: p.endpoints, Logger: p.logger, Metrics: p.metrics, Readiness: p.readiness,
		}
	})
}

// daemon serves until its context ends and it has drained.
type daemon interface {
	Run(ctx context.Context) error
}

// parts are what a daemon is made of.
type parts struct {
	platforms *platforms
	endpoints *clendpoint.HTTP
	logger    *zap.Logger
	metrics   *clobserve.Metrics
	readiness *clobserve.Readiness
}

// runDaemon makes the parts, and a daemon of them, and runs it.
func runDaemon(ctx context.Context, s commonSettings, conditions []string, health netip.AddrPort, make func(*parts) daemon) error {
	protectDaemon()
	i := newInjector(s, conditions)
	p, err := do.Invoke[*platforms](i)
	if err != nil {
		return err
	}
	l, err := do.Invoke[*zap.Logger](i)
	if err != nil {
		return err
	}
	d := make(&parts{
		platforms: p, endpoints: do.MustInvoke[*clendpoint.HTTP](i), logger: l,
		metrics: do.MustInvoke[*clobserve.Metrics](i), readiness: do.MustInvoke[*clobserve.Readiness](i),
	})
	logging, stopLog := context.WithCancel(context.WithoutCancel(ctx))
	defer stopLog()
	var log errgroup.Group
	log.Go(func() error { return do.MustInvoke[*clobserve.AsyncWriter](i).Run(logging.Done()) })
	err = runWithHealth(ctx, i, health, d.Run)
	stopLog()
	if logErr := log.Wait(); err == nil {
		err = logErr
	}
	return err
}

// runWithHealth runs a daemon beside its metrics and health server, which
// answers until the daemon has drained.
func runWithHealth(ctx context.Context, i do.Injector, addr netip.AddrPort, run func(context.Context) error) error {
	srv := &clobserve.Server{
		Addr: addr, Metrics: do.MustInvoke[*clobserve.Metrics](i), Readiness: do.MustInvoke[*clobserve.Readiness](i),
		Logger: do.MustInvoke[*zap.Logger](i),
	}
	health, stop := context.WithCancel(context.WithoutCancel(ctx))
	var g errgroup.Group
	g.Go(func() error { return srv.Run(health) })
	g.Go(func() error {
		defer stop()
		return run(ctx)
	})
	return g.Wait()
}
