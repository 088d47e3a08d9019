// This file defines the HTTP handler, the admission of requests and the gateway's
// own error responses.

package clgateway

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/chestnutlead/chestnutlead/internal/limits/clcrash"
	"github.com/chestnutlead/chestnutlead/internal/limits/clquota"
	"github.com/chestnutlead/chestnutlead/internal/limits/clshare"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/chestnutlead/chestnutlead/internal/routing/clfleet"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

type (
	// call is the state of a caller's request over all its attempts.
	call struct {
		w       http.ResponseWriter
		r       *http.Request
		reqInfo RequestInfo
		// route is nil until a route is found.
		route *clcatalog.Route
		// account is nil if the request needs no API key, or until the account
		// is found.
		account *clcatalog.Account
		// service is the name of the service that runs the request.
		service string
		body    []byte
		// bodyRead is set once the whole body has been read.
		bodyRead bool
		arrived  time.Time
		// deadline is the time by which the response must be complete.
		deadline time.Time
		// cost is the amount to charge to the account's quota. It stays set if the
		// quota refuses the request.
		cost float64
		// quota is the decision of the account's quota, if there has been one.
		quota clquota.Decision
		// shareRequest is what the account's share of the service is counted by; its
		// cost is 0 if the request is not counted. shareDecision tells whether the
		// request was refused because of the share.
		shareRequest  clshare.Request
		shareDecision clshare.Decision
		// fingerprint is the same for repetitions of the request by the caller.
		fingerprint uint64
		// traits are what the request may have in common with others that crash
		// endpoints.
		traits []clcrash.Trait
		// startRecorded reports whether the request was counted as started.
		startRecorded bool
		// sends is the number of earlier attempts that did not fail to connect.
		sends int
		// mayHaveRun is set once an attempt ends without proof that the request
		// was not run.
		mayHaveRun bool
		// timeout is the time limit: that of the route, or a shorter one that the caller
		// states.
		timeout time.Duration
		// statedNotRun is set once an endpoint has stated that it did not run the
		// request.
		statedNotRun bool
		// shed is set if the endpoint of the latest attempt has stated that it did not
		// run the request, and not that it leaves or wants quiet.
		shed bool
		// tried holds the IDs of the endpoints of earlier attempts.
		tried []string
		// heldFailure is the latest of the failures that were held back, or nil.
		heldFailure *heldFailure
		// held is what the call holds of the memory budget.
		held heldMemory
	}

	// heldFailure is an endpoint's response with a failure status that is not sent
	// to the caller as long as a retry may give a better response.
	heldFailure struct {
		// attempt is the attempt that failed.
		*attempt
		// body is the whole body of the response.
		body []byte
	}

	// errorResponse is an error response that the gateway itself generates.
	errorResponse struct {
		status int
		// reason is the title in the response body, and the value of the label
		// "reason" of collectors.refusals.
		reason string
		// retryAfter is the value of the Retry-After header; 0 leaves it out.
		retryAfter time.Duration
	}
)

const (
	// noConfigRetryAfter is the Retry-After of the responses of a gateway that has
	// just started and has no configuration yet.
	noConfigRetryAfter = 500 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of the response with which a draining
	// gateway refuses a request. It is short because the retry goes to another
	// gateway.
	stoppingRetryAfter = 50 * time.Millisecond
	// defaultMaxBodyBytes limits request bodies if the configuration does not.
	defaultMaxBodyBytes = 32 << 20
	// unreadBodyTimeout limits the time for reading the rest of a body that is not used, so
	// that the connection can be used again. If it is too short, the connection is closed.
	unreadBodyTimeout = time.Second
	// defaultRouteTimeout is the timeout of requests to routes that set none.
	defaultRouteTimeout = 30 * time.Second
)

// serve is the HTTP handler for callers. It forwards the request if it is admitted,
// and otherwise sends the error response that admit returns. It sends nothing if the
// connection was closed before the request was complete.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	if conn, ok := r.Context().Value(connKey{}).(*callerConn); ok && conn.isRemoved() {
		panic(http.ErrAbortHandler)
	}
	c := &call{w: w, r: r, reqInfo: g.Headers.ParseRequest(r.Header), arrived: time.Now()}
	if g.draining() {
		w.Header().Set("Connection", "close")
	}
	defer c.releaseMemory(g)
	if errResp := g.admit(c); errResp != nil {
		g.sendError(c, errResp)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	g.forward(ctx, c)
}

// admit finds the route and the account of a request, reads its body, and charges
// its cost to the account's quota. It returns nil if the request is admitted, and
// an error response if there is no configuration or no route for the request, if its
// API key or its body is not accepted, if the shutdown could cut it off, if it would
// crash an endpoint, if the account has used up its share of a service in shortage, or if
// the quota is exhausted.
func (g *Gateway) admit(c *call) *errorResponse {
	cat := g.catalog.Load()
	if cat == nil {
		return &errorResponse{http.StatusServiceUnavailable, "no_configuration", noConfigRetryAfter}
	}
	c.route = cat.MatchRoute(hostName(c.r.Host), c.r.URL.Path)
	if c.route == nil {
		return g.staleConfigOr(&errorResponse{http.StatusNotFound, "no_route", 0})
	}
	c.timeout = c.route.Timeout
	if c.timeout <= 0 {
		c.timeout = defaultRouteTimeout
	}
	if c.reqInfo.Timeout > 0 {
		c.timeout = min(c.timeout, c.reqInfo.Timeout)
	}
	c.deadline = c.arrived.Add(c.timeout)
	if errResp := g.authenticate(c, cat); errResp != nil {
		return errResp
	}
	if errResp := g.readBody(c, cat); errResp != nil {
		return errResp
	}
	if g.shutdown.Load().refuses(c.arrived, c.deadline) {
		return &errorResponse{http.StatusServiceUnavailable, "stopping", stoppingRetryAfter}
	}
	c.service = c.route.ServiceFor(c.reqInfo.ID)
	c.fingerprint = fingerprint(c)
	c.traits = traits(c)
	if reason := g.crashRefusal(c); reason != "" {
		return &errorResponse{http.StatusServiceUnavailable, string(reason), crashRetryAfter}
	}
	tokens := float64(c.reqInfo.PromptTokens + c.reqInfo.MaxOutputTokens)
	// The quota is not charged for a request that the share refuses: at a gateway that
	// reaches only a part of the others, a refund returns less than was charged.
	if errResp := g.decideShare(c, cat, tokens); errResp != nil {
		return errResp
	}
	if c.account != nil {
		c.cost = c.account.Cost(tokens)
		if c.quota = g.Quotas.Decide(c.account.Name, c.cost, clclock.Now()); !c.quota.Admitted {
			g.collectors.quotaRefusals.WithLabelValues(string(c.quota.Basis)).Inc()
			return &errorResponse{http.StatusTooManyRequests, "over_quota", c.quota.RetryAfter}
		}
	}
	g.countShare(c)
	g.Recorder.RequestAdmitted(c.service)
	return nil
}

// staleConfigOr returns an error response with reason configuration_unconfirmed if the
// configuration is stale, since a later one could lead to another result. If the
// configuration is fresh, it returns errResp, which may be nil.
func (g *Gateway) staleConfigOr(errResp *errorResponse) *errorResponse {
	if fresh, wait := g.ConfigFresh(); !fresh {
		return &errorResponse{http.StatusServiceUnavailable, string(reasonConfigUnconfirmed), wait}
	}
	return errResp
}

// authenticate finds the account by the request's API key, unless the route is
// anonymous or the configuration has no accounts. It returns an error response if
// no account has the key, or if the configuration is too old to tell.
func (g *Gateway) authenticate(c *call, cat *clcatalog.Catalog) *errorResponse {
	if !cat.HasAccounts() || c.route.Anonymous {
		return nil
	}
	c.account = cat.AccountByKey(c.reqInfo.APIKey)
	if c.account == nil {
		return g.staleConfigOr(&errorResponse{http.StatusUnauthorized, "unknown_key", 0})
	}
	return g.staleConfigOr(nil)
}

// sendError sends errResp to the caller, and logs and counts it.
func (g *Gateway) sendError(c *call, errResp *errorResponse) {
	kind := ""
	if c.route != nil {
		kind = string(c.route.Kind)
	}
	g.collectors.refusals.WithLabelValues(errResp.reason).Inc()
	g.collectors.requests.WithLabelValues(kind, strconv.Itoa(errResp.status)).Inc()
	g.Headers.SetErrorHeaders(c.w.Header(), c.reqInfo.ID, errResp.retryAfter)
	c.w.Header().Set("Content-Type", "application/problem+json")
	version := uint64(0)
	if cat := g.catalog.Load(); cat != nil {
		version = cat.Version
	}
	fields := []zap.Field{
		zap.String("request", c.reqInfo.ID), zap.Int("status", errResp.status), zap.String("reason", errResp.reason),
		zap.Duration("retry_after", errResp.retryAfter), zap.String("account", accountName(c.account)), zap.String("route", routeName(c.route)),
		zap.Uint64("config_version", version), zap.Duration("after", time.Since(c.arrived)), zap.Int("sends", c.sends), zap.String("basis", c.basis(errResp.status)),
	}
	if c.quota.Basis != "" {
		fields = append(fields, zap.String("quota_basis", string(c.quota.Basis)), zap.Float64("quota_level", c.quota.Level),
			zap.Float64("quota_needed", c.quota.Needed), zap.Float64("quota_unreported", c.quota.Unreported))
	}
	g.Logger.Info("refused", append(fields, c.shareFields()...)...)
	g.recordPromise(errResp.status, c.basis(errResp.status))
	g.limitErrorResponse(c)
	c.w.WriteHeader(errResp.status)
	if _, err := c.w.Write([]byte(`{"title":"` + errResp.reason + `","status":` + strconv.Itoa(errResp.status) + "}\n")); err != nil {
		g.Logger.Debug("writing the error response to the caller failed", zap.String("request", c.reqInfo.ID), zap.Error(err))
	}
}

// limitErrorResponse limits the time for writing an error response, and for reading the
// part of the body that the gateway has not read: net/http reads up to 256 KiB of it before
// it sends the response, and would wait for them without limit.
func (g *Gateway) limitErrorResponse(c *call) {
	rc := http.NewResponseController(c.w)
	err := rc.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if c.r.ContentLength != 0 && !c.bodyRead {
		err = errors.Join(err, rc.SetReadDeadline(time.Now().Add(unreadBodyTimeout)))
	}
	if err != nil {
		g.Logger.Debug("setting the deadlines of an error response failed", zap.Error(err))
	}
}

// pickEndpoint chooses the endpoint of the next attempt. If no endpoint can be used,
// the choice is nil and the refusal says why. In both cases it also returns the
// request that it passed to the fleet.
func (g *Gateway) pickEndpoint(c *call) (*clfleet.Choice, *clfleet.Refusal, clfleet.Request) {
	req := clfleet.Request{
		ID: c.reqInfo.ID, Service: c.service, Parts: c.reqInfo.PromptParts, Tried: c.tried, TimeLeft: time.Until(c.deadline),
		TargetLatency: c.route.TargetLatency, Priority: c.route.RequestPriority(c.account),
		Route: c.route.Name, OutputTokens: c.reqInfo.OutputTokensHint, MaxOutputTokens: c.reqInfo.MaxOutputTokens,
	}
	// A prompt whose parts are not stated counts as a single part, which only
	// repetitions of the request share.
	if len(req.Parts) == 0 && c.reqInfo.PromptTokens > 0 {
		req.Parts = []clfleet.PromptPart{{ID: c.fingerprint, Tokens: c.reqInfo.PromptTokens}}
	}
	choice, refusal := g.Fleet.Pick(req, time.Now())
	return choice, refusal, req
}

// fingerprint returns a hash of the method, the path with its query, the account
// and the body, all of which stay the same when a caller repeats a request.
func fingerprint(c *call) uint64 {
	d := xxhash.New()
	for _, s := range []string{c.r.Method, c.r.RequestURI, accountName(c.account)} {
		// Writes to a hash never return an error.
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(c.body)
	return d.Sum64()
}

// hostName returns the host of a Host header in lower case and without the port.
func hostName(host string) string {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	return strings.ToLower(host)
}

// accountName returns the account's name, or "" for nil.
func accountName(a *clcatalog.Account) string {
	if a == nil {
		return ""
	}
	return a.Name
}

// routeName returns the route's name, or "" for nil.
func routeName(r *clcatalog.Route) string {
	if r == nil {
		return ""
	}
	return r.Name
}

// callerGone reports whether the caller's connection is closed.
func callerGone(r *http.Request) bool { return errors.Is(r.Context().Err(), context.Canceled) }
