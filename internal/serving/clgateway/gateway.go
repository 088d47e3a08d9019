// This file defines Gateway, its HTTP server and its shutdown.

package clgateway

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/clobserve"
	"github.com/chestnutlead/chestnutlead/internal/limits/clcrash"
	"github.com/chestnutlead/chestnutlead/internal/limits/clquota"
	"github.com/chestnutlead/chestnutlead/internal/limits/clretry"
	"github.com/chestnutlead/chestnutlead/internal/limits/clshare"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/chestnutlead/chestnutlead/internal/routing/clfleet"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

type (
	// HeaderCodec translates between HTTP headers and the values that the gateway
	// works with. Its implementation decides which headers carry the request ID,
	// the API key, timeouts and the other values below.
	HeaderCodec interface {
		// ParseRequest parses the headers of a caller's request.
		ParseRequest(h http.Header) RequestInfo
		// ForwardHeaders returns the headers of the request that is sent to an
		// endpoint: those of h, the headers of the caller's request, that may be
		// forwarded, and those that carry info.
		ForwardHeaders(h http.Header, info ForwardInfo) []clendpoint.Header
		// ParseResponse parses the headers of an endpoint's response.
		ParseResponse(a *clendpoint.Answer) ResponseInfo
		// SetErrorHeaders adds the headers of an error response that the gateway
		// itself generates. An empty requestID and a retryAfter of 0 are left out.
		SetErrorHeaders(h http.Header, requestID string, retryAfter time.Duration)
	}

	// RequestInfo holds the parsed headers of a caller's request.
	RequestInfo struct {
		// ID is the request ID, and APIKey the key of the client account. Both
		// are empty if the caller sent none.
		ID     string
		APIKey string
		// Timeout is how long the caller waits for the response; 0 if unknown.
		Timeout time.Duration
		// PromptTokens is the size of the prompt, and MaxOutputTokens the
		// maximum number of tokens to generate; 0 if unknown.
		PromptTokens, MaxOutputTokens int
		// OutputTokensHint is the caller's estimate of the tokens to generate; 0 if it
		// states none.
		OutputTokensHint int
		// PromptParts are the parts of the prompt, in order.
		PromptParts []clfleet.PromptPart
	}

	// ForwardInfo holds the values that the gateway adds to the headers of a
	// forwarded request.
	ForwardInfo struct {
		// Endpoint is the ID of the endpoint.
		Endpoint string
		// Account is the name of the client account, or empty if there is none.
		Account string
		// TimeLeft is the time until the request's deadline.
		TimeLeft time.Duration
		// Priority 0 is the highest.
		Priority int
		// Resume asks the endpoint to continue a stream after LastEventID.
		Resume      bool
		LastEventID int64
	}

	// ResponseInfo holds the parsed headers of an endpoint's response.
	ResponseInfo struct {
		// ID is the request ID that the endpoint echoes, or empty. A response that
		// does not echo the ID of the request is not used.
		ID string
		// Signed reports whether the response carries the endpoint's signature.
		Signed bool
		// NotRun reports that the endpoint has not run the request and will not.
		NotRun bool
		// Leaving reports that the endpoint says that it leaves.
		Leaving bool
		// QuietFor is for how long the endpoint wants no requests from this gateway; 0
		// if it does not say so.
		QuietFor time.Duration
		// Load is the load that the endpoint states; nil if it states none.
		Load *clfleet.StatedLoad
	}

	// Identity is what the process at the address of an endpoint says of itself.
	Identity struct {
		// Endpoint is the ID of the endpoint, or empty if the process did not say it.
		Endpoint string
		// Born is the start of the process, as in clcatalog.Endpoint.Born, or 0 if the
		// process did not say it.
		Born int64
	}

	// Recorder is notified of the progress of requests and attempts. The usage of
	// accounts, the failure rates and latencies of versions, and the load of
	// services are computed from its calls.
	Recorder interface {
		// RequestStarted counts a request of an account when the first event of a
		// stream, or a response that is not a stream, is relayed to the caller. It
		// is called at most once for each request. account is empty for a request
		// without an account.
		RequestStarted(account string)
		// AttemptStarted counts an attempt at a version of a service before the
		// endpoint is connected to, so that attempts that fail to connect are
		// counted as well. route is the name of the request's route.
		AttemptStarted(service, version, route string)
		// AttemptSampled records whether an attempt at a version of a service
		// failed, and its latency until then. It is called at the first stream
		// event or the response, and at a failure, also if that follows the first
		// event. It is not called for attempts that fail to connect, that the
		// endpoint does not run, or that end because the caller is gone or the
		// deadline has passed. warm is false if the endpoint has just started, in
		// which case latency says nothing about the version; it is the negation of
		// clfleet.Choice.RecentlyStarted.
		AttemptSampled(service, version, route string, failed, warm bool, latency time.Duration)
		// RequestAdmitted is called for each admitted request, before its first
		// attempt at an endpoint of the service.
		RequestAdmitted(service string)
	}

	// Gateway is the HTTP server for callers. Exported fields must be set before
	// Run is called.
	Gateway struct {
		// Address is the address to listen on.
		Address netip.AddrPort
		Headers HeaderCodec
		// Fleet chooses the endpoint of each attempt.
		Fleet *clfleet.Fleet
		// Quotas limits the requests that each account may have admitted.
		Quotas *clquota.Limiter
		// RetryBudget limits the attempts of a service beyond the first one of
		// each request.
		RetryBudget *clretry.Budget
		// Crashes decides which requests are refused because they, or others that
		// have a part of the prompt in common with them, crash endpoints.
		Crashes *clcrash.Tracker
		// Shares decides which requests are refused while a service is in shortage. If
		// it is nil, none are.
		Shares *clshare.Allocator
		// Client sends requests to endpoints.
		Client clendpoint.Client
		// Probe reports whether an endpoint accepts connections, before ctx ends. If it is
		// nil, no crashes are counted.
		Probe func(ctx context.Context, addr netip.AddrPort) bool
		// Identify asks the process at addr, over a new connection and before ctx ends,
		// which endpoint of the service and which start of it it is. born is the start
		// that the endpoint's entry states, or 0. Each call is charged, so that it is
		// made only for responses that end with their connection. It must hold at most
		// IdentifyBytes of what the process sends. It is not called for
		// a service without a HealthPath. If it is nil, Probe takes its place.
		Identify func(ctx context.Context, s *clcatalog.Service, addr netip.AddrPort, born int64) (Identity, error)
		Recorder Recorder
		// ConfigFresh reports whether the configuration was confirmed recently
		// enough to trust an API key. If not, it also returns the delay after
		// which the caller may retry.
		ConfigFresh func() (bool, time.Duration)
		// CopiesUsableFor returns for how long requests may still be sent by what the
		// gateway knows of the configuration and the endpoints; the result is not
		// positive if that may lack changes that must be in force by now. limited is
		// false if there is no such limit. If CopiesUsableFor is nil, there is none.
		CopiesUsableFor func() (left time.Duration, limited bool)
		// ShutdownDelay is the time between the start of the shutdown and the
		// closing of the listener and idle connections. During that time the
		// ingress, which distributes connections among gateways, may still open
		// new ones.
		ShutdownDelay time.Duration
		// GracePeriod is the time within which the process must exit after the
		// start of the shutdown.
		GracePeriod time.Duration
		// MemoryBytes is the memory limit of the process, and MaxDescriptors its limit of
		// file descriptors; 0 means that they are not known.
		MemoryBytes    int64
		MaxDescriptors int
		Logger         *zap.Logger
		// Metrics is the registry for the gateway's metrics.
		Metrics *clobserve.Metrics

		// catalog is nil until SetCatalog is called.
		catalog atomic.Pointer[clcatalog.Catalog]
		// shutdown is nil until the gateway starts to drain.
		shutdown atomic.Pointer[shutdownSchedule]
		// listener is nil until Listen is called.
		listener   net.Listener
		collectors *collectors
		memory     memory
		questions  questions
		conns      callerConns
		limitLog   limitLog
	}

	// shutdownSchedule holds the times of the steps of a shutdown.
	shutdownSchedule struct {
		// acceptLongRequestsUntil is the time until which the gateway accepts
		// requests whose deadline is after closeAt. closeAt is the time at which
		// it closes all remaining connections, even if requests are in progress.
		acceptLongRequestsUntil, closeAt time.Time
	}
)

const (
	// exitMargin is the part of the grace period that remains for the process
	// to exit by itself after the last connections are closed.
	exitMargin = 400 * time.Millisecond
	// longRequestFraction is the fraction of ShutdownDelay during which a
	// draining gateway accepts requests whose deadline is after closeAt. Most
	// of them end in time, and requests that arrive later than that can go to
	// another gateway instead.
	longRequestFraction = 0.85
)

// SetCatalog puts a configuration in force, unless the one in force has the same
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

// Listen opens the listener for callers, who wait until Run is called.
func (g *Gateway) Listen() error {
	ln, err := net.Listen("tcp", g.Address.String())
	if err != nil {
		return errors.Wrap(err, "listen on the gateway's address, which must be a free port")
	}
	g.listener = ln
	return nil
}

// Run serves requests until ctx is done, then drains and returns. If it can't listen
// or serve, it returns an error before that.
func (g *Gateway) Run(ctx context.Context) error {
	g.collectors = newCollectors(g.Metrics)
	if g.listener == nil {
		if err := g.Listen(); err != nil {
			return err
		}
	}
	g.setMemory()
	g.setQuestions()
	srv := &http.Server{
		Handler: http.HandlerFunc(g.serve), MaxHeaderBytes: serverMaxHeaderBytes, ConnState: g.conns.setState, ConnContext: withConn,
		ErrorLog: zap.NewStdLog(g.Logger),
	}
	serveErr := make(chan error, 1)
	go g.serveListener(srv, callerListener{Listener: g.listener, conns: &g.conns}, serveErr)
	select {
	case err := <-serveErr:
		return errors.Wrap(err, "serve HTTP for callers")
	case <-ctx.Done():
	}
	return g.drain(srv, serveErr)
}

// serveListener serves connections until the server is shut down and then sends
// the error of Serve.
func (g *Gateway) serveListener(srv *http.Server, ln net.Listener, serveErr chan<- error) {
	serveErr <- srv.Serve(ln)
}

// drain shuts the server down. During ShutdownDelay the gateway keeps serving,
// since the ingress may still open connections, and closes the connection of each
// request after the response, which announces that by the header
// "Connection: close". Then drain closes the listener and idle connections and
// waits for the requests in progress to end. If some are still in progress at
// closeAt, it closes their connections. serveErr receives the error of Serve.
func (g *Gateway) drain(srv *http.Server, serveErr <-chan error) error {
	now := time.Now()
	closeAt := now.Add(g.GracePeriod - exitMargin)
	g.shutdown.Store(&shutdownSchedule{acceptLongRequestsUntil: now.Add(time.Duration(longRequestFraction * float64(g.ShutdownDelay))), closeAt: closeAt})
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

// refuses reports whether a request must be refused because it arrived after
// acceptLongRequestsUntil and its deadline is after closeAt. A nil schedule, that of
// a gateway that is not draining, refuses nothing.
func (s *shutdownSchedule) refuses(arrived, deadline time.Time) bool {
	return s != nil && arrived.After(s.acceptLongRequestsUntil) && deadline.After(s.closeAt)
}
