// This file defines how a request is checked and admitted.

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
	// call is one request of a caller.
	call struct {
		w       http.ResponseWriter
		r       *http.Request
		says    RequestInfo
		route   *clcatalog.Route
		account *clcatalog.Account
		service string
		body    []byte
		arrived time.Time
		// end is when the request must have been answered.
		end         time.Time
		cost        float64
		fingerprint uint64
		// began says that the request has been counted as running.
		began bool
		// sends is the number of endpoints that may have got the request.
		sends int
		// mayHaveRun says that an attempt ended without proof that it did not run.
		mayHaveRun bool
		tried      []string
		// failure is the last failure that an endpoint has answered.
		failure *failure
	}

	// failure is an endpoint's whole answer that another one's may replace.
	failure struct {
		*attempt
		body []byte
	}

	// refusal is an answer of the gateway's own.
	refusal struct {
		status     int
		reason     string
		retryAfter time.Duration
	}
)

const (
	// unknownConfig is when to come back to a gateway that has just started.
	unknownConfig = 500 * time.Millisecond
	// crashRetryAfter is when to come back with a request that ends endpoints.
	crashRetryAfter = time.Minute
	// stoppingRetryAfter is when to come back to another gateway.
	stoppingRetryAfter = 50 * time.Millisecond
	// defaultTimeout holds for routes without one.
	defaultTimeout = 30 * time.Second
)

// serve answers one request.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	c := &call{w: w, r: r, says: g.Headers.ParseRequest(r.Header), arrived: time.Now()}
	if g.draining() {
		w.Header().Set("Connection", "close")
	}
	if refused := g.check(c); refused != nil {
		g.refuse(c, refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.end)
	defer cancel()
	g.forward(ctx, c)
}

// check finds the route and the account, reads the body, and takes the
// request's cost from the account's quota.
func (g *Gateway) check(c *call) *refusal {
	cat := g.catalog.Load()
	if cat == nil {
		return &refusal{http.StatusServiceUnavailable, "no_configuration", unknownConfig}
	}
	c.route = cat.MatchRoute(hostName(c.r.Host), c.r.URL.Path)
	if c.route == nil {
		return g.unlessStale(&refusal{http.StatusNotFound, "no_route", 0})
	}
	timeout := c.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if c.says.Timeout > 0 {
		timeout = min(timeout, c.says.Timeout)
	}
	c.end = c.arrived.Add(timeout)
	if refused := g.authenticate(c, cat); refused != nil {
		return refused
	}
	if refused := g.readBody(c, cat); refused != nil {
		return refused
	}
	if g.stop.Load().outlasts(c.arrived, c.end) {
		return &refusal{http.StatusServiceUnavailable, "stopping", stoppingRetryAfter}
	}
	c.service = c.route.ServiceFor(c.says.ID)
	c.fingerprint = fingerprint(c)
	if g.Crashes.ShouldRefuse(c.fingerprint, c.arrived) {
		return &refusal{http.StatusServiceUnavailable, "ends_endpoints", crashRetryAfter}
	}
	tokens := float64(c.says.PromptTokens + c.says.MaxOutputTokens)
	if c.account != nil {
		c.cost = c.account.Cost(tokens)
		if ok, wait := g.Quotas.Admit(c.account.Name, c.cost, clclock.Now()); !ok {
			return &refusal{http.StatusTooManyRequests, "over_quota", wait}
		}
	}
	g.Recorder.RequestAdmitted(c.service)
	return nil
}

// unlessStale replaces a refusal that a later configuration may not contain.
func (g *Gateway) unlessStale(refused *refusal) *refusal {
	if ok, wait := g.ConfigFresh(); !ok {
		return &refusal{http.StatusServiceUnavailable, string(reasonUnconfirmed), wait}
	}
	return refused
}

func (g *Gateway) authenticate(c *call, cat *clcatalog.Catalog) *refusal {
	if !cat.HasAccounts() || c.route.Anonymous {
		return nil
	}
	c.account = cat.AccountByKey(c.says.APIKey)
	if c.account == nil {
		return g.unlessStale(&refusal{http.StatusUnauthorized, "unknown_key", 0})
	}
	return g.unlessStale(nil)
}

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
	if err := rc.SetReadDeadline(c.end); err != nil {
		g.Logger.Debug("no read deadline", zap.Error(err))
	}
	b, err := io.ReadAll(body)
	if err != nil {
		return &refusal{http.StatusRequestTimeout, "body_incomplete", 0}
	}
	if err := rc.SetReadDeadline(time.Time{}); err != nil {
		g.Logger.Debug("no read deadline", zap.Error(err))
	}
	if limit > 0 && int64(len(b)) > limit {
		return &refusal{http.StatusRequestEntityTooLarge, "body_too_large", 0}
	}
	c.body = b
	return nil
}

// refuse answers with a status of the gateway's own.
func (g *Gateway) refuse(c *call, r *refusal) {
	kind := ""
	if c.route != nil {
		kind = string(c.route.Kind)
	}
	g.m.refusals.WithLabelValues(r.reason).Inc()
	g.m.requests.WithLabelValues(kind, strconv.Itoa(r.status)).Inc()
	g.Headers.SetErrorHeaders(c.w.Header(), c.says.ID, r.retryAfter)
	c.w.Header().Set("Content-Type", "application/problem+json")
	version := uint64(0)
	if cat := g.catalog.Load(); cat != nil {
		version = cat.Version
	}
	g.Logger.Info("refused", zap.String("request", c.says.ID), zap.Int("status", r.status), zap.String("reason", r.reason),
		zap.Duration("retry_after", r.retryAfter), zap.String("account", accountName(c.account)), zap.String("route", routeName(c.route)),
		zap.Uint64("config_version", version), zap.Duration("after", time.Since(c.arrived)), zap.Int("sends", c.sends))
	c.w.WriteHeader(r.status)
	if _, err := c.w.Write([]byte(`{"title":"` + r.reason + `","status":` + strconv.Itoa(r.status) + "}\n")); err != nil {
		g.Logger.Debug("caller left before the refusal", zap.String("request", c.says.ID), zap.Error(err))
	}
}

// pick chooses an endpoint for the next attempt.
func (g *Gateway) pick(c *call) (*clfleet.Choice, *clfleet.Refusal, clfleet.Request) {
	req := clfleet.Request{
		ID: c.says.ID, Service: c.service, Parts: c.says.PromptParts, Tried: c.tried, TimeLeft: time.Until(c.end),
		TargetLatency: c.route.TargetLatency, Priority: c.route.RequestPriority(c.account),
	}
	if len(req.Parts) == 0 && c.says.PromptTokens > 0 {
		req.Parts = []clfleet.PromptPart{{ID: c.fingerprint, Tokens: c.says.PromptTokens}}
	}
	choice, refused := g.Fleet.Pick(req, time.Now())
	return choice, refused, req
}

// fingerprint identifies a request that comes again by its path, caller and body.
func fingerprint(c *call) uint64 {
	d := xxhash.New()
	for _, s := range []string{c.r.Method, c.r.RequestURI, accountName(c.account)} {
		// A hash's Write returns no error.
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(c.body)
	return d.Sum64()
}

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

// gone says that the caller has left.
func gone(r *http.Request) bool { return errors.Is(r.Context().Err(), context.Canceled) }
