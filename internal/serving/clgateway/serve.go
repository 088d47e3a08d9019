// This file defines the admission of requests and the gateway's own error responses.

package clgateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
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
		route   *clcatalog.Route
		account *clcatalog.Account
		service string
		body    []byte
		arrived time.Time
		// deadline is the time by which the response must be complete.
		deadline    time.Time
		cost        float64
		fingerprint uint64
		// startRecorded reports whether the request was counted as started.
		startRecorded bool
		// sends is the number of attempts that may have reached an endpoint.
		sends int
		// mayHaveRun is set once an attempt ends without proof that the request
		// was not run.
		mayHaveRun bool
		// tried holds the IDs of the endpoints of earlier attempts.
		tried []string
		// lastFailure is the last failure with which an endpoint responded.
		lastFailure *failureResponse
	}

	// failureResponse is an endpoint's response with a failure status, held back
	// while a retry may still give a better one.
	failureResponse struct {
		*attempt
		body []byte
	}

	// refusal is an error response of the gateway itself.
	refusal struct {
		status     int
		reason     string
		retryAfter time.Duration
	}
)

const (
	// noConfigRetryAfter is the Retry-After of a gateway that has just started
	// and has no configuration yet.
	noConfigRetryAfter = 500 * time.Millisecond
	// crashRetryAfter is the Retry-After of a request that crashes endpoints.
	crashRetryAfter = time.Minute
	// stoppingRetryAfter is the Retry-After of a draining gateway. It is short
	// because the retry goes to another gateway.
	stoppingRetryAfter = 50 * time.Millisecond
	// defaultTimeout is the timeout of routes that set none.
	defaultTimeout = 30 * time.Second
)

// serve handles a request.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	c := &call{w: w, r: r, reqInfo: g.Headers.ParseRequest(r.Header), arrived: time.Now()}
	if g.draining() {
		w.Header().Set("Connection", "close")
	}
	if refused := g.admit(c); refused != nil {
		g.refuse(c, refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.deadline)
	defer cancel()
	g.forward(ctx, c)
}

// admit finds the route and the account of a request, reads its body, and charges
// its cost to the account's quota. It returns nil if the request is admitted.
func (g *Gateway) admit(c *call) *refusal {
	cat := g.catalog.Load()
	if cat == nil {
		return &refusal{http.StatusServiceUnavailable, "no_configuration", noConfigRetryAfter}
	}
	c.route = cat.MatchRoute(hostName(c.r.Host), c.r.URL.Path)
	if c.route == nil {
		return g.staleConfigOr(&refusal{http.StatusNotFound, "no_route", 0})
	}
	timeout := c.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if c.reqInfo.Timeout > 0 {
		timeout = min(timeout, c.reqInfo.Timeout)
	}
	c.deadline = c.arrived.Add(timeout)
	if refused := g.authenticate(c, cat); refused != nil {
		return refused
	}
	if refused := g.readBody(c, cat); refused != nil {
		return refused
	}
	if g.shutdown.Load().rejects(c.arrived, c.deadline) {
		return &refusal{http.StatusServiceUnavailable, "stopping", stoppingRetryAfter}
	}
	c.service = c.route.ServiceFor(c.reqInfo.ID)
	c.fingerprint = fingerprint(c)
	if g.Crashes.ShouldRefuse(c.fingerprint, c.arrived) {
		return &refusal{http.StatusServiceUnavailable, "ends_endpoints", crashRetryAfter}
	}
	tokens := float64(c.reqInfo.PromptTokens + c.reqInfo.MaxOutputTokens)
	if c.account != nil {
		c.cost = c.account.Cost(tokens)
		if ok, wait := g.Quotas.Admit(c.account.Name, c.cost, clclock.Now()); !ok {
			return &refusal{http.StatusTooManyRequests, "over_quota", wait}
		}
	}
	g.Recorder.RequestAdmitted(c.service)
	return nil
}

// staleConfigOr returns a refusal with reason configuration_unconfirmed if the
// configuration is stale, since a later one could lead to another result. If the
// configuration is fresh, it returns refused.
func (g *Gateway) staleConfigOr(refused *refusal) *refusal {
	if ok, wait := g.ConfigFresh(); !ok {
		return &refusal{http.StatusServiceUnavailable, string(reasonConfigUnconfirmed), wait}
	}
	return refused
}

// authenticate finds the account by the request's API key, unless the route is
// anonymous or the configuration has no accounts.
func (g *Gateway) authenticate(c *call, cat *clcatalog.Catalog) *refusal {
	if !cat.HasAccounts() || c.route.Anonymous {
		return nil
	}
	c.account = cat.AccountByKey(c.reqInfo.APIKey)
	if c.account == nil {
		return g.staleConfigOr(&refusal{http.StatusUnauthorized, "unknown_key", 0})
	}
	return g.staleConfigOr(nil)
}

// readBody reads the request body up to the configured limit, until the request's
// deadline at the latest.
func (g *Gateway) readBody(c *call, cat *clcatalog.Catalog) *refusal {
	limit := int64(cat.Limits.BodyBytes)
	if limit > 0 && c.r.ContentLength > limit {
		return &refusal{http.StatusRequestEntityTooLarge, "body_too_large", 0}
	}
	body := io.Reader(c.r.Body)
	if limit > 0 {
		body = io.LimitReader(body, limit+1)
	}
	rc := http.NewResponseController(c.w)
	if err := rc.SetReadDeadline(c.deadline); err != nil {
		g.Logger.Debug("setting the read deadline failed", zap.Error(err))
	}
	b, err := io.ReadAll(body)
	if err != nil {
		return &refusal{http.StatusRequestTimeout, "body_incomplete", 0}
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		g.Logger.Debug("clearing the read deadline failed", zap.Error(err))
	}
	if limit > 0 && int64(len(b)) > limit {
		return &refusal{http.StatusRequestEntityTooLarge, "body_too_large", 0}
	}
	c.body = b
	return nil
}

// refuse sends an error response of the gateway itself and logs and counts it.
func (g *Gateway) refuse(c *call, r *refusal) {
	kind := ""
	if c.route != nil {
		kind = string(c.route.Kind)
	}
	g.instruments.refusals.WithLabelValues(r.reason).Inc()
	g.instruments.requests.WithLabelValues(kind, strconv.Itoa(r.status)).Inc()
	g.Headers.SetErrorHeaders(c.w.Header(), c.reqInfo.ID, r.retryAfter)
	c.w.Header().Set("Content-Type", "application/problem+json")
	version := uint64(0)
	if cat := g.catalog.Load(); cat != nil {
		version = cat.Version
	}
	g.Logger.Info("refused", zap.String("request", c.reqInfo.ID), zap.Int("status", r.status), zap.String("reason", r.reason),
		zap.Duration("retry_after", r.retryAfter), zap.String("account", accountName(c.account)), zap.String("route", routeName(c.route)),
		zap.Uint64("config_version", version), zap.Duration("after", time.Since(c.arrived)), zap.Int("sends", c.sends))
	c.w.WriteHeader(r.status)
	if _, err := c.w.Write([]byte(`{"title":"` + r.reason + `","status":` + strconv.Itoa(r.status) + "}\n")); err != nil {
		g.Logger.Debug("writing the refusal to the caller failed", zap.String("request", c.reqInfo.ID), zap.Error(err))
	}
}

// pickEndpoint chooses the endpoint of the next attempt. It returns a refusal if
// there is none, and the request as it was passed to the fleet.
func (g *Gateway) pickEndpoint(c *call) (*clfleet.Choice, *clfleet.Refusal, clfleet.Request) {
	req := clfleet.Request{
		ID: c.reqInfo.ID, Service: c.service, Parts: c.reqInfo.PromptParts, Tried: c.tried, TimeLeft: time.Until(c.deadline),
		TargetLatency: c.route.TargetLatency, Priority: c.route.RequestPriority(c.account),
	}
	if len(req.Parts) == 0 && c.reqInfo.PromptTokens > 0 {
		req.Parts = []clfleet.PromptPart{{ID: c.fingerprint, Tokens: c.reqInfo.PromptTokens}}
	}
	choice, refused := g.Fleet.Pick(req, time.Now())
	return choice, refused, req
}

// fingerprint returns a hash of the method, path, account and body, which are the
// same when a caller repeats a request.
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

func accountName(a *clcatalog.Account) string {
	if a == nil {
		return ""
	}
	return a.Name
}

func routeName(r *clcatalog.Route) string {
	if r == nil {
		return ""
	}
	return r.Name
}

// callerGone reports whether the caller has closed its connection.
func callerGone(r *http.Request) bool { return errors.Is(r.Context().Err(), context.Canceled) }
