// This file defines the HTTP server for metrics and health.

package clobserve

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/adaptor"
	"github.com/gofiber/fiber/v2/middleware/pprof"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.uber.org/zap"
)

type (
	// Server serves /metrics, /livez and /readyz.
	Server struct {
		// Addr is the listen address; port 0 takes any free port.
		Addr      netip.AddrPort
		Metrics   *Metrics
		Readiness *Readiness
		Logger    *zap.Logger

		ln net.Listener
	}

	// health is the answer of /readyz.
	health struct {
		Ready   bool     `json:"ready"`
		Reasons []string `json:"reasons,omitempty"`
	}
)

const (
	readTimeout = 5 * time.Second
	idleTimeout = time.Minute
	// maxBodyBytes limits the bodies of requests, which no path uses. The default of fiber,
	// 4 MiB for each connection, would let peers fill the memory.
	maxBodyBytes    = 4 << 10
	shutdownTimeout = 2 * time.Second
)

// Listen opens the listener and returns its address. Run does so if Listen was not called.
func (s *Server) Listen() (netip.AddrPort, error) {
	ln, err := net.Listen("tcp", s.Addr.String())
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "set listen.metrics to a free address")
	}
	s.ln = ln
	return netip.MustParseAddrPort(ln.Addr().String()), nil
}

// Run serves until ctx is done, then returns nil.
func (s *Server) Run(ctx context.Context) error {
	if s.ln == nil {
		if _, err := s.Listen(); err != nil {
			return err
		}
	}
	app := s.app()
	served := make(chan error, 1)
	go s.run(app, served)
	select {
	case err := <-served:
		// Wrap returns an error even for nil, as a server that stops on its own is a failure.
		return errors.Wrap(err, "the metrics server stopped")
	case <-ctx.Done():
	}
	if err := app.ShutdownWithTimeout(shutdownTimeout); err != nil {
		Component(s.Logger, "observe").Warn("open connections were cut at shutdown", zap.Error(err))
	}
	// A shutdown that comes before the server has started leaves the listener open.
	_ = s.ln.Close()
	<-served
	return nil
}

func (s *Server) run(app *fiber.App, served chan<- error) { served <- app.Listener(s.ln) }

func (s *Server) app() *fiber.App {
	app := fiber.New(fiber.Config{DisableStartupMessage: true, ReadTimeout: readTimeout, IdleTimeout: idleTimeout, BodyLimit: maxBodyBytes})
	handler := promhttp.HandlerFor(s.Metrics.Registry, promhttp.HandlerOpts{Registry: s.Metrics.Registry})
	app.Get("/metrics", adaptor.HTTPHandler(handler))
	app.Get("/livez", s.livez)
	app.Get("/readyz", s.readyz)
	// Profiles of the running process, under /debug/pprof/.
	app.Use(pprof.New())
	return app
}

// livez answers as long as the process runs; readiness has no part in it,
// because a restart does not help a process that waits for the platform.
func (s *Server) livez(c *fiber.Ctx) error { return c.SendString("ok\n") }

func (s *Server) readyz(c *fiber.Ctx) error {
	reasons := s.Readiness.Reasons()
	if len(reasons) > 0 {
		c.Status(fiber.StatusServiceUnavailable)
	}
	return c.JSON(health{Ready: len(reasons) == 0, Reasons: reasons})
}
