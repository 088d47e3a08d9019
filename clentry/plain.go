// This file defines the passage of plain services' calls.

package clentry

import (
	"context"
	"strings"
	"time"

	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/gofiber/fiber/v2"
)

const headerIdempotencyKey = "Idempotency-Key"

// passage is one call of a plain service.
type passage struct {
	h    *handler
	cl   *call
	svc  *clstate.Service
	w    *work
	ctx  context.Context
	call clendpoint.Call
	// route groups calls for the evaluation of versions.
	route    string
	attempts int
}

// plain answers a call of a plain service.
func (h *handler) plain(cl *call) error {
	svc, err := cl.service(cl.c.Params("service"), clstate.ServiceKind_SERVICE_KIND_PLAIN)
	if err != nil {
		return err
	}
	path := strings.TrimPrefix(string(cl.c.Request().URI().PathOriginal()), servicesPrefix+svc.GetName())
	if path == "" {
		path = "/"
	}
	body := append([]byte(nil), cl.c.Body()...) // The request's buffer is reused when the handler returns.
	ctx, cancel := context.WithTimeout(h.base, requestTimeout(svc))
	defer cancel()
	p := &passage{
		h: h, cl: cl, svc: svc, ctx: ctx, w: h.newWork(cl, svc, append([]byte(cl.c.Method()+" "+path+"\n"), body...)),
		route: routeName(cl.c.Method(), path),
		call: clendpoint.Call{
			Method: cl.c.Method(), Path: withQuery(path, cl.c.Request().URI().QueryString()), Header: passHeaders(cl.c),
			Body: body, Timeouts: h.timeouts,
		},
	}
	if nonRepeatable(svc, cl.c.Method(), path) {
		return p.runOnce()
	}
	return p.run()
}

func withQuery(path string, query []byte) string {
	if len(query) == 0 {
		return path
	}
	return path + "?" + string(query)
}

// routeName is the method and the first segment of the path, so that paths
// with identifiers make no routes of their own.
func routeName(method, path string) string {
	first, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return method + " /" + first
}

// run answers a call that may be repeated.
func (p *passage) run() error {
	sent := false
	for {
		pl, r := p.h.gate.acquire(p.ctx, p.w)
		if r != nil {
			if sent {
				r.Run = RunUnknown
			}
			return r
		}
		answer, err := p.send(pl, p.call)
		if err == nil {
			return p.reply(answer)
		}
		sent = sent || kindOf(err) != clendpoint.KindNotSent
		p.w.failedAt(pl.endpoint.id)
		if r := p.mayRetry(err, sent); r != nil {
			return r
		}
	}
}

// wholeAnswer is an endpoint's complete answer.
type wholeAnswer struct {
	status int
	header []clendpoint.Header
	body   []byte
	first  time.Duration
}

// send makes one attempt and reads the whole answer.
func (p *passage) send(pl *place, c clendpoint.Call) (*wholeAnswer, error) {
	p.attempts++
	c.Header = append([]clendpoint.Header(nil), c.Header...)
	a, err := p.h.runner.start(p.ctx, p.w, pl, p.route, c)
	if err != nil {
		return nil, err
	}
	body, err := a.readAll(maxAnswerBytes)
	a.firstByte()
	a.settle(err)
	if err != nil {
		return nil, err
	}
	return &wholeAnswer{status: a.answer.Status, header: a.answer.Header, body: body, first: a.first}, nil
}

func (p *passage) mayRetry(cause error, sent bool) *Refusal {
	return p.h.mayRetry(p.ctx, p.w, p.attempts, sent, cause)
}

func (p *passage) reply(a *wholeAnswer) error {
	answerHeaders(p.cl.c, a.header)
	p.h.metrics.observe(p.svc.GetName(), a.first, time.Since(p.cl.started))
	p.h.tracker.end()
	return p.cl.c.Status(a.status).Send(a.body)
}

func contentType(hs []clendpoint.Header) string {
	for _, h := range hs {
		if strings.EqualFold(h.Name, fiber.HeaderContentType) {
			return h.Value
		}
	}
	return ""
}
