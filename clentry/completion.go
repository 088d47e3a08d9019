// This file defines the completion API.

package clentry

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/gofiber/fiber/v2"
)

const (
	headerLastEventID = "Last-Event-ID"
	streamSeparator   = "~"
	defaultMaxTokens  = 256
)

type (
	// completionBody holds the fields that the entry reads of a completion request.
	completionBody struct {
		clendpoint.PromptFields
		Model       string   `json:"model"`
		Stream      bool     `json:"stream"`
		MaxTokens   int      `json:"max_tokens"`
		Temperature *float64 `json:"temperature"`
		Seed        *int64   `json:"seed"`
	}

	// streamPosition names a point in a stream, as in the events' IDs.
	streamPosition struct {
		endpointID string
		streamID   string
		position   int
	}
)

func (p streamPosition) String() string { return string(p.append(nil)) }

func (p streamPosition) append(b []byte) []byte {
	b = append(append(append(b, p.endpointID...), streamSeparator...), p.streamID...)
	return strconv.AppendInt(append(b, ':'), int64(p.position), 10)
}

func parseStreamPosition(s string) (streamPosition, bool) {
	stream, position, ok := cutLast(s, ":")
	endpointID, streamID, ok2 := strings.Cut(stream, streamSeparator)
	n, err := strconv.Atoi(position)
	return streamPosition{endpointID, streamID, n}, ok && ok2 && err == nil && n >= 0
}

func cutLast(s, sep string) (before, after string, found bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}

// completion answers a completion request.
func (h *handler) completion(cl *call) error {
	body := append([]byte(nil), cl.c.Body()...) // The request's buffer is reused when the handler returns.
	var b completionBody
	if err := json.Unmarshal(body, &b); err != nil {
		return refuseInvalid("the body is not a completion request: "+err.Error(), "send a JSON object with model and messages or prompt")
	}
	svc, err := cl.service(b.Model, clstate.ServiceKind_SERVICE_KIND_ENGINE)
	if err != nil {
		return err
	}
	g := h.newGeneration(cl, svc, &b, body)
	if last := cl.c.Get(headerLastEventID); last != "" {
		if err := g.setPosition(last); err != nil {
			g.cancel()
			return err
		}
	}
	if !b.Stream {
		defer g.cancel()
		return h.wholeCompletion(cl, g)
	}
	return h.streamCompletion(cl, g)
}

func (h *handler) newGeneration(cl *call, svc *clstate.Service, b *completionBody, body []byte) *generation {
	w := h.newWork(cl, svc, body)
	prompt := b.Text()
	maxTokens := b.MaxTokens
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	w.route.Prefix = clendpoint.AppendBlocks(nil, prompt)
	w.route.BlockTokens = clendpoint.BlockTokens
	w.route.Tokens = clendpoint.TokenCount(prompt)
	w.cost = float64(w.route.Tokens + maxTokens)
	ctx, cancel := context.WithTimeout(h.base, requestTimeout(svc))
	return &generation{
		h: h, w: w, ctx: ctx, cancel: cancel, path: cl.c.Path(), body: body, headers: passHeaders(cl.c),
		stream: b.Stream, maxTokens: maxTokens,
		deterministic: b.Seed != nil || b.Temperature != nil && *b.Temperature == 0,
	}
}

func (h *handler) wholeCompletion(cl *call, g *generation) error {
	for {
		if r := g.open(); r != nil {
			return r
		}
		body, err := g.cur.readAll(maxAnswerBytes)
		g.cur.settle(err)
		if err != nil {
			if r := g.retry(err); r != nil {
				return r
			}
			g.fail(g.cur.p.endpoint.id)
			continue
		}
		answerHeaders(cl.c, g.cur.answer.Header)
		h.metrics.observe(g.w.service.GetName(), g.cur.first, time.Since(cl.started))
		h.tracker.end()
		return cl.c.Status(g.cur.answer.Status).Send(body)
	}
}

func (h *handler) streamCompletion(cl *call, g *generation) error {
	if r := g.openStream(); r != nil {
		g.cancel()
		return r
	}
	if !g.streaming() {
		defer g.cancel()
		return h.passAnswer(cl, g.cur)
	}
	cl.c.Set(fiber.HeaderContentType, "text/event-stream")
	cl.c.Set(fiber.HeaderCacheControl, "no-store")
	g.started = cl.started
	ctx := cl.c.Context()
	ctx.SetBodyStream(&streamBody{source: g, arm: ctx.SetWriteDeadline, writeTimeout: h.writeTimeout}, -1)
	return nil
}

// passAnswer passes an endpoint's refusal on as it is.
func (h *handler) passAnswer(cl *call, a *attempt) error {
	body, err := a.readAll(maxAnswerBytes)
	a.settle(err)
	if err != nil {
		return refuseUnavailable(RunUnknown, "the endpoint's answer broke off", time.Second)
	}
	h.tracker.end()
	answerHeaders(cl.c, a.answer.Header)
	return cl.c.Status(a.answer.Status).Send(body)
}
