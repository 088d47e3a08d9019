// This file defines Gateway, its HTTP server and its shutdown.

package clgateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/clobserve"
	"github.com/chestnutlead/chestnutlead/internal/limits/clquota"
	"github.com/chestnutlead/chestnutlead/internal/limits/clretry"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/chestnutlead/chestnutlead/internal/routing/clfleet"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

type (
	// HeaderCodec parses and writes the platform's request and response headers.
	HeaderCodec interface {
		// ParseRequest parses the headers of a caller's request.
		ParseRequest(h http.Header) RequestInfo
		// ForwardHeaders returns the headers of the request that is sent to an
		// endpoint, given the caller's headers.
		ForwardHeaders(h http.Header, info ForwardInfo) []clendpoint.Header
		// ParseResponse parses the headers of an endpoint's response.
		ParseResponse(a *clendpoint.Answer) ResponseInfo
		// SetErrorHeaders adds the headers of a response that the gateway itself
		// generates.
		SetErrorHeaders(h http.Header, requestID string, retryAfter time.Duration)
	}

	// RequestInfo holds the parsed headers of a caller's request.
	RequestInfo struct {
		ID     string
		APIKey string
		// Timeout is how long the caller waits for the response; 0 if unknown.
		Timeout time.Duration
		// PromptTokens is the size of the prompt, and MaxOutputTokens the
		// maximum number of tokens to generate.
		PromptTokens, MaxOutputTokens int
		// PromptParts are the parts of the prompt, in order.
		PromptParts []clfleet.PromptPart
	}

	// ForwardInfo holds the values that the gateway adds to the headers of a
	// forwarded request.
	ForwardInfo struct {
		Endpoint string
		Account  string
		// TimeLeft is the time until the request's deadline.
		TimeLeft time.Duration
		Priority int
		// Resume asks the endpoint to continue a stream after LastEventID.
		Resume      bool
		LastEventID int64
	}

	// ResponseInfo holds the parsed headers of an endpoint's response.
	ResponseInfo struct {
		// ID is the request ID that the endpoint echoes.
		ID string
		// Signed reports whether the response carries the endpoint's signature.
		Signed bool
		// NotRun reports that the endpoint has not run the request and will not.
		NotRun bool
	}

	// Recorder receives what usage reports, rollouts and load figures are
	// computed from.
	Recorder interface {
		// RequestStarted counts a request that has started to run, once for
		// each request.
		RequestStarted(account string)
		// AttemptStarted counts an attempt that is sent to a version of a service.
		AttemptStarted(service, version, route string)
		// AttemptSampled records the result of an attempt at a version of a
		// service. warm is false if the endpoint has just started, in which
		// case latency says nothing about the version.
		AttemptSampled(service, version, route string, failed, warm bool, latency time.Duration)
		// RequestAdmitted counts a request for a service that was admitted.
		RequestAdmitted(service string)
	}

	// Gateway is the HTTP server for callers. Exported fields must be set before
	// Run is called.
	Gateway struct {
		Address     netip.AddrPort
		Headers     HeaderCodec
		Fleet       *clfleet.Fleet
		Quotas      *clquota.Limiter
		RetryBudget *clretry.Budget
		Crashes     *clretry.CrashTracker
		Client      clendpoint.Client
		// Probe reports whether an endpoint accepts connections. It may be nil.
		Probe    func(addr netip.AddrPort) bool
		Recorder Recorder
		// ConfigFresh reports whether the configuration was confirmed recently
		// enough to trust an API key. If not, it returns the delay after which
		// the caller may retry.
		ConfigFresh func() (bool, time.Duration)
		// ShutdownDelay is the time between the start of the shutdown and the
		// closing of the listener and idle connections. Until then the ingress
		// may still open new connections.
		ShutdownDelay time.Duration
		// GracePeriod is the time within which the process must exit after the
		// start of the shutdown.
		GracePeriod time.Duration
		Logger      *zap.Logger
		Metrics     *clobserve.Metrics

		catalog atomic.Pointer[clcatalog.Catalog]
		// shutdown is nil until the gateway starts to drain.
		shutdown    atomic.Pointer[shutdownSchedule]
		instruments *instruments
		idle        idleTimers
	}

	// shutdownSchedule holds the points in time of a shutdown.
	shutdownSchedule struct {
		// acceptLongUntil is the time until which the gateway accepts requests
		// whose deadline is after closeAt. At closeAt, it closes all remaining
		// connections.
		acceptLongUntil, closeAt time.Time
	}

	// idleTimers holds a timer for each idle connection, which closes it.
	idleTimers struct {
		mu     sync.Mutex
		timers map[net.Conn]*time.Timer
	}
)

const (
	// headerTimeout and maxHeaderBytes limit the time to read a request's
	// header and its size. They are fixed for the lifetime of the server and
	// higher than the limits that configurations set.
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	// defaultIdleTimeout is used until a configuration is in force, and if it
	// sets no idle timeout.
	defaultIdleTimeout = 15 * time.Second
	// idleTimeoutSlack is added to the idle timeout, so that the gateway does
	// not close a connection that a caller may still use.
	idleTimeoutSlack = 500 * time.Millisecond
	// exitMargin is the part of the grace period that remains for the process
	// to exit by itself after the last connections are closed.
	exitMargin = 400 * time.Millisecond
	// longRequestFraction is the fraction of ShutdownDelay during which a
	// draining gateway accepts requests that could outlast it. Most of them
	// end in time, and later ones can go to another gateway instead.
	longRequestFraction = 0.85
)

// SetCatalog puts a configuration in force, unless the current one has the same
// version or a later one.
func (g *Gateway) SetCatalog(c *clcatalog.Catalog) {
	for {
		old := g.catalog.Load()
		if old != nil && old.Version >= c.Version {
			return
		}
		if g.catalog.CompareAndSwap(old, c) {
			return
		}
	}
}

// Catalog returns the configuration in force, or nil if there is none yet.
func (g *Gateway) Catalog() *clcatalog.Catalog { return g.catalog.Load() }

// Run serves requests until ctx is done, then drains and returns.
func (g *Gateway) Run(ctx context.Context) error {
	g.instruments = newInstruments(g.Metrics)
	ln, err := net.Listen("tcp", g.Address.String())
	if err != nil {
		return errors.Wrap(err, "listen on the gateway's address, which must be a free port")
	}
	srv := &http.Server{
		Handler: http.HandlerFunc(g.serve), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: g.connState, ErrorLog: zap.NewStdLog(g.Logger),
	}
	serveErr := make(chan error, 1)
	go g.serveListener(srv, ln, serveErr)
	select {
	case err := <-serveErr:
		return errors.Wrap(err, "serve HTTP for callers")
	case <-ctx.Done():
	}
	return g.drain(srv, serveErr)
}

func (g *Gateway) serveListener(srv *http.Server, ln net.Listener, serveErr chan<- error) {
	serveErr <- srv.Serve(ln)
}

// drain shuts the server down. During ShutdownDelay it keeps serving, since the
// ingress may still open connections, and asks callers to close theirs. Then it
// closes the listener and idle connections and waits for the requests in
// progress, until closeAt at the latest.
func (g *Gateway) drain(srv *http.Server, serveErr <-chan error) error {
	now := time.Now()
	closeAt := now.Add(g.GracePeriod - exitMargin)
	g.shutdown.Store(&shutdownSchedule{acceptLongUntil: now.Add(time.Duration(longRequestFraction * float64(g.ShutdownDelay))), closeAt: closeAt})
	g.Logger.Info("draining", zap.Duration("grace", g.GracePeriod))
	time.Sleep(g.ShutdownDelay)
	ctx, cancel := context.WithDeadline(context.Background(), closeAt)
	defer cancel()
	err := srv.Shutdown(ctx)
	if err != nil {
		g.Logger.Warn("grace period ended, closing connections with requests in progress", zap.Error(err))
		err = srv.Close()
	}
	<-serveErr
	return err
}

// draining reports whether the gateway is shutting down.
func (g *Gateway) draining() bool { return g.shutdown.Load() != nil }

// rejects reports whether a request must be refused because it could outlast the
// gateway and arrived after acceptLongUntil. A nil schedule rejects nothing.
func (s *shutdownSchedule) rejects(arrived, deadline time.Time) bool {
	return s != nil && arrived.After(s.acceptLongUntil) && deadline.After(s.closeAt)
}

// connState is the server's ConnState hook. It closes connections that stay idle
// longer than the configuration in force allows; http.Server.IdleTimeout can't
// be changed while the server runs.
func (g *Gateway) connState(c net.Conn, s http.ConnState) {
	g.idle.mu.Lock()
	defer g.idle.mu.Unlock()
	if t := g.idle.timers[c]; t != nil {
		t.Stop()
		delete(g.idle.timers, c)
	}
	if s != http.StateIdle {
		return
	}
	if g.idle.timers == nil {
		g.idle.timers = make(map[net.Conn]*time.Timer)
	}
	limit := defaultIdleTimeout
	if cat := g.catalog.Load(); cat != nil && cat.Limits.IdleTimeout > 0 {
		limit = cat.Limits.IdleTimeout
	}
	// Close fails only if the caller has already closed the connection.
	g.idle.timers[c] = time.AfterFunc(limit+idleTimeoutSlack, func() { _ = c.Close() })
}
