// This file defines the HTTP interface to callers.

package clentry

import (
	"context"
	"crypto/sha256"
	"strings"
	"sync/atomic"
	"time"

	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/clroute"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/go-faster/errors"
	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"
	"go.uber.org/zap"
)

const (
	headerRequestID = "X-Request-ID"
	servicesPrefix  = "/services/"
	// maxAnswerBytes bounds an answer that is held in memory as a whole.
	maxAnswerBytes = 16 << 20
)

// handler answers callers.
type handler struct {
	views   *views
	gate    *gate
	runner  *runner
	ledgers *ledgers
	metrics *metrics
	log     *zap.Logger
	// base ends when running requests must end.
	base        context.Context
	maxAttempts int
	timeouts    clendpoint.Timeouts
	// writeTimeout bounds the time for which a caller that reads nothing holds up
	// its stream.
	writeTimeout time.Duration
	ready        func() bool
	tracker      *tracker
	transfers    *transfers
	resendWait   time.Duration
	// closing refuses new requests on connections that stay open.
	closing atomic.Bool
}

// detached returns a context for work that must go on after the caller's
// request has ended.
func (h *handler) detached(timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(h.base), timeout)
}

func (h *handler) register(app *fiber.App) {
	app.Get("/livez", func(c *fiber.Ctx) error { return c.SendString("ok\n") })
	app.Get("/readyz", h.readyz)
	app.Post("/v1/chat/completions", h.guard(h.completion))
	app.Post("/v1/completions", h.guard(h.completion))
	app.All(servicesPrefix+":service/*", h.guard(h.plain))
	app.Use(func(c *fiber.Ctx) error {
		return (&Refusal{
			Status: fiber.StatusNotFound, Code: "unknown_path", Title: "Unknown path",
			Detail: c.Method() + " " + c.Path() + " is not served",
			Remedy: "use /v1/chat/completions, /v1/completions or /services/<service>/<path>", Run: RunNot,
		}).send(c)
	})
}

func (h *handler) readyz(c *fiber.Ctx) error {
	if !h.ready() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
	}
	return c.SendString("ready\n")
}

// call is one authenticated request of a caller.
type call struct {
	c       *fiber.Ctx
	account *clstate.Account
	view    *view
	id      string
	started time.Time
}

// guard authenticates the caller, counts the request and answers refusals.
func (h *handler) guard(next func(*call) error) fiber.Handler {
	return func(c *fiber.Ctx) error {
		if h.closing.Load() {
			c.Set(fiber.HeaderConnection, "close")
			return refuseUnavailable(RunNot, "the entry is shutting down", time.Second).send(c)
		}
		v := h.views.load()
		if v == nil {
			return refuseUnavailable(RunNot, "the entry has no configuration yet", time.Second).send(c)
		}
		account, ok := v.accounts.find(c.Get(fiber.HeaderAuthorization))
		if !ok {
			return refuseUnauthorized().send(c)
		}
		id := uuid.NewString()
		c.Set(headerRequestID, id)
		h.tracker.begin()
		cl := &call{c: c, account: account, view: v, id: id, started: time.Now()}
		err := next(cl)
		var r *Refusal
		if errors.As(err, &r) {
			h.tracker.end()
			h.metrics.refusals.WithLabelValues(r.Code, string(r.Run)).Inc()
			h.log.Info("Request refused.", zap.String("request", id), zap.String("account", account.GetName()),
				zap.String("code", r.Code), zap.String("run", string(r.Run)), zap.String("detail", r.Detail))
			return r.send(c)
		}
		return err
	}
}

// newWork describes a request to the gate.
func (h *handler) newWork(cl *call, svc *clstate.Service, body []byte) *work {
	digest := sha256.Sum256(body)
	wait := min(requestTimeout(svc)/2, maxQueueWait)
	h.gate.countRequest(svc.GetName())
	return &work{
		id: cl.id, account: cl.account, service: svc,
		fingerprint: clroute.NewFingerprint(cl.account.GetName(), svc.GetName(), digest[:]),
		route:       clroute.Request{Service: svc.GetName()},
		startBy:     cl.started.Add(wait),
	}
}

// service returns the service of the given kind, or a refusal.
func (cl *call) service(name string, kind clstate.ServiceKind) (*clstate.Service, error) {
	svc := cl.view.services[name]
	if svc == nil || svc.GetKind() != kind {
		return nil, refuseUnknownService(name)
	}
	return svc, nil
}

// hopHeaders belong to one connection and are not passed on.
var hopHeaders = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-authenticate": true, "proxy-authorization": true, "te": true,
	"trailer": true, "transfer-encoding": true, "upgrade": true, "host": true, "content-length": true,
	"authorization": true, "x-attempt-id": true, "x-request-id": true, "expect": true,
}

// passHeaders returns the request's headers that an endpoint gets; the
// caller's credential is not among them.
func passHeaders(c *fiber.Ctx) []clendpoint.Header {
	var hs []clendpoint.Header
	for name, value := range c.Request().Header.All() {
		if !hopHeaders[strings.ToLower(string(name))] {
			hs = append(hs, clendpoint.Header{Name: string(name), Value: string(value)})
		}
	}
	return hs
}

// answerHeaders copies an endpoint's headers to the caller's answer.
func answerHeaders(c *fiber.Ctx, hs []clendpoint.Header) {
	for _, h := range hs {
		if !hopHeaders[strings.ToLower(h.Name)] {
			c.Response().Header.Add(h.Name, h.Value)
		}
	}
}

// mayRetry says whether another attempt may be made after some, of which sent
// says that a byte may have reached an endpoint; a nil refusal means yes.
func (h *handler) mayRetry(ctx context.Context, w *work, attempts int, sent bool, cause error) *Refusal {
	run := RunNot
	if sent {
		run = RunUnknown
	}
	switch {
	case ctx.Err() != nil:
		return refuseUnavailable(run, "the request's time is over: "+cause.Error(), time.Second)
	case attempts >= h.maxAttempts:
		return refuseUnavailable(run, "all attempts failed: "+cause.Error(), time.Second)
	case !h.gate.retryAllowed(w.service.GetName()):
		return refuseUnavailable(run, "the retry budget is used up: "+cause.Error(), time.Second)
	}
	w.startBy = time.Now().Add(maxQueueWait)
	return nil
}
