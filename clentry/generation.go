// This file defines generation, which completes one request over any number of attempts.

package clentry

import (
	"context"
	"io"
	"strings"
	"time"

	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/clroute"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

const (
	// resumeSlotWait bounds the wait for a slot at the endpoint that holds a stream.
	resumeSlotWait = 2 * time.Second
	// defaultTokenTime is assumed until a stream's own pace is known.
	defaultTokenTime = 77 * time.Millisecond
)

// generation runs one completion request. Tokens that were sent to the caller
// are kept, so that another endpoint can go on after them.
type generation struct {
	h       *handler
	w       *work
	ctx     context.Context
	cancel  context.CancelFunc
	path    string
	body    []byte
	headers []clendpoint.Header
	stream  bool
	started time.Time
	// deterministic says that another run of the request gives the same tokens.
	deterministic bool
	maxTokens     int

	cur *attempt
	// events reads the current attempt's stream; nil until the first event is wanted.
	events     *eventReader
	streamID   string
	attempts   int
	sent       bool
	firstToken time.Duration
	// tokens are those sent by this entry; base counts those that the caller
	// had before, whose text this entry does not know.
	tokens tokenLog
	base   int
	// skip counts events that the caller has already, in a repeated run.
	skip   int
	resume *streamPosition
	began  time.Time
	// handover is what is to be done while the endpoint leaves.
	handover clroute.HandoverOption
	moved    bool
}

// setPosition prepares to go on with a stream after the caller's last event.
func (g *generation) setPosition(lastEventID string) error {
	p, ok := parseStreamPosition(lastEventID)
	if !ok {
		return refuseInvalid("Last-Event-ID is not an event ID of this system", "send the id of the last event received")
	}
	g.resume, g.base = &p, p.position
	return nil
}

// openStream starts the stream, at the endpoint that holds it if the caller
// resumes one.
func (g *generation) openStream() *Refusal {
	if g.resume == nil {
		return g.open()
	}
	if e, ok := g.h.runner.fleet.get(g.resume.endpointID); ok {
		ctx, cancel := context.WithTimeout(g.ctx, resumeSlotWait)
		defer cancel()
		if p, ok := g.h.gate.acquireAt(ctx, g.w, e); ok && g.resumeAt(p, g.resume.streamID) {
			return nil
		}
	}
	return g.openAgain()
}

// openAgain runs the request elsewhere, after the tokens that the caller has.
func (g *generation) openAgain() *Refusal {
	if g.base > 0 {
		if !g.deterministic {
			return &Refusal{
				Status: 410, Code: "stream_lost", Title: "Stream lost",
				Detail: "the endpoint that held the stream is gone, and another run may give other tokens",
				Remedy: "send the request again without Last-Event-ID, or set seed or temperature 0 to make streams resumable",
				Run:    RunUnknown,
			}
		}
		g.skip = g.base + g.tokens.len()
	}
	return g.open()
}

// open finds a place and starts an attempt, again elsewhere while that may help.
func (g *generation) open() *Refusal {
	for {
		p, r := g.h.gate.acquire(g.ctx, g.w)
		if r != nil {
			if g.sent {
				r.Run = RunUnknown
			}
			return r
		}
		retry, r := g.startAt(p)
		if !retry {
			return r
		}
	}
}

// startAt starts an attempt at the place; it reports whether to try another.
func (g *generation) startAt(p *place) (bool, *Refusal) {
	c, err := g.call()
	if err != nil {
		g.h.gate.giveBack(p)
		return false, refuseInvalid(err.Error(), "send a JSON object")
	}
	a, err := g.h.runner.start(g.ctx, g.w, p, g.path, c)
	g.attempts++
	if err != nil {
		g.sent = g.sent || kindOf(err) != clendpoint.KindNotSent
		g.fail(p.endpoint.id)
		return true, g.retry(err)
	}
	g.sent = true
	if a.answer.Status >= 500 {
		a.settle(nil)
		g.fail(p.endpoint.id)
		r := g.retry(errors.Errorf("endpoint answered with status %d", a.answer.Status))
		return r == nil, r
	}
	g.attach(a)
	return false, nil
}

func (g *generation) attach(a *attempt) {
	g.cur = a
	g.streamID = headerOf(a.answer, headerStreamID)
	g.events = nil
	g.began = time.Now()
}

// headerStreamID carries the engine's name of a stream.
const headerStreamID = "X-Stream-ID"

func headerOf(a *clendpoint.Answer, name string) string {
	for _, h := range a.Header {
		if strings.EqualFold(h.Name, name) {
			return h.Value
		}
	}
	return ""
}

func (g *generation) streaming() bool { return g.cur.answer.Status == 200 }

// retry says whether another attempt may be made; a nil refusal means yes.
func (g *generation) retry(cause error) *Refusal {
	return g.h.mayRetry(g.ctx, g.w, g.attempts, g.sent, cause)
}

// fail excludes the endpoint of a failed attempt. A stream whose tokens were
// sent goes on with its version, because another one may continue differently.
func (g *generation) fail(id string) {
	if g.position() > 0 {
		g.exclude(id)
		return
	}
	g.w.failedAt(id)
}

func (g *generation) exclude(id string) {
	g.w.route.Excluded = append(g.w.route.Excluded, id)
}

// call returns the next attempt's call, which goes on after the tokens sent.
func (g *generation) call() (clendpoint.Call, error) {
	body := g.body
	if g.tokens.len() > 0 && g.base == 0 {
		var err error
		if body, err = clendpoint.ContinueBody(g.body, g.tokens.list()); err != nil {
			return clendpoint.Call{}, err
		}
	}
	return clendpoint.Call{
		Method: "POST", Path: g.path, Header: append([]clendpoint.Header(nil), g.headers...), Body: body,
		Timeouts: g.h.timeouts,
	}, nil
}

// resumeAt goes on with an engine's stream over a new connection. The attempt
// is given up if the engine does not know the stream.
func (g *generation) resumeAt(p *place, streamID string) bool {
	c := clendpoint.ResumeCall(streamID, g.position())
	c.Timeouts = g.h.timeouts
	a, err := g.h.runner.start(g.ctx, g.w, p, g.path, c)
	if err != nil {
		return false
	}
	if a.answer.Status != 200 {
		a.settle(errHandedOver)
		return false
	}
	g.sent = true
	g.attach(a)
	if g.streamID == "" {
		g.streamID = streamID
	}
	return true
}

func (g *generation) position() int { return g.base + g.tokens.len() }

var _ eventSource = (*generation)(nil)

// appendEvents implements eventSource; a stream that cannot be finished ends
// with an error event.
func (g *generation) appendEvents(b []byte) ([]byte, bool) {
	for {
		var done bool
		var err error
		b, done, err = g.forward(b)
		switch {
		case done:
			g.cur.settle(nil)
			return b, true
		case err != nil:
			if r := g.recoverFrom(err); r != nil {
				return g.appendError(b, r), true
			}
		case len(b) >= maxBatchBytes || g.events.r.Buffered() == 0:
			return b, false // Events that have arrived together are sent together.
		}
	}
}

// end implements eventSource.
func (g *generation) end(callerGone bool) {
	if callerGone {
		g.cur.settle(errCallerGone)
	}
	g.h.metrics.observe(g.w.service.GetName(), g.firstToken, time.Since(g.started))
	g.cancel()
	g.h.tracker.end()
}

// forward appends one event to b; it reports the end of the stream.
func (g *generation) forward(b []byte) ([]byte, bool, error) {
	if leavesAt, ok := g.h.runner.fleet.isLeaving(g.cur.p.endpoint.id); ok && g.shouldMove(leavesAt, time.Now()) {
		if err := g.move(); err != nil {
			return b, false, err
		}
	}
	if g.events == nil {
		g.events = newEventReader(bodyOf(g.cur))
	}
	ev, err := g.events.next()
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = &clendpoint.Error{Kind: clendpoint.KindBroken, Err: errors.New("the stream ended before its last event")}
		}
		return b, false, err
	}
	if g.firstToken == 0 {
		g.firstToken = time.Since(g.cur.sent)
	}
	if string(ev.data) == string(doneData) {
		return appendData(b, ev.data), true, nil
	}
	token, isToken := tokenOf(ev.data)
	if isToken && g.skip > 0 {
		g.skip--
		return b, false, nil
	}
	if isToken {
		g.tokens.add(token)
		b = append(b, "id: "...)
		b = streamPosition{g.cur.p.endpoint.id, g.streamID, g.position()}.append(b)
		b = append(b, '\n')
	}
	return appendData(b, ev.data), false, nil
}

// recoverFrom goes on with the stream after its attempt failed; a refusal says
// that this is not possible.
func (g *generation) recoverFrom(cause error) *Refusal {
	p, streamID := g.cur.p, g.streamID
	g.cur.settle(cause)
	g.attempts++
	if r := g.retry(cause); r != nil {
		return r
	}
	g.h.log.Info("Stream broke. It goes on over a new attempt.", zap.String("request", g.w.id),
		zap.String("endpoint", p.endpoint.id), zap.Int("position", g.position()), zap.Error(cause))
	if kindOf(cause) == clendpoint.KindSilent && streamID != "" {
		ctx, cancel := context.WithTimeout(g.ctx, resumeSlotWait)
		defer cancel()
		if next, ok := g.h.gate.acquireAt(ctx, g.w, p.endpoint); ok && g.resumeAt(next, streamID) {
			return nil
		}
	}
	g.fail(p.endpoint.id)
	return g.openAgain()
}

// move hands the stream over to another endpoint if a slot is free there now.
func (g *generation) move() error {
	if g.base > 0 && !g.deterministic {
		return nil
	}
	g.exclude(g.cur.p.endpoint.id)
	p, ok := g.h.gate.tryAcquire(g.w)
	if !ok {
		g.w.route.Excluded = g.w.route.Excluded[:len(g.w.route.Excluded)-1]
		return nil
	}
	old := g.cur
	if g.handover == clroute.HandoverExport {
		g.h.transfers.move(g.ctx, g.h.runner.client, g.h.runner.nextID(), old.p.endpoint, p.endpoint, g.streamID, g.w.route.Tokens+g.position())
	}
	if g.base > 0 {
		g.skip = g.position()
	}
	c, err := g.call()
	if err != nil || !g.h.gate.renew(p) {
		g.h.gate.giveBack(p)
		return nil
	}
	a, err := g.h.runner.start(g.ctx, g.w, p, g.path, c)
	if err != nil || a.answer.Status != 200 {
		if err == nil {
			a.settle(errHandedOver)
		}
		return nil
	}
	old.settle(errHandedOver)
	g.attach(a)
	g.h.log.Info("Stream handed over.", zap.String("request", g.w.id), zap.String("from", old.p.endpoint.id),
		zap.String("to", p.endpoint.id), zap.Stringer("handover", g.handover), zap.Int("position", g.position()))
	return nil
}

// remainder estimates the time until the stream's end at the present pace.
func (g *generation) remainder(now time.Time) time.Duration {
	n := g.tokens.len()
	if n == 0 {
		return time.Duration(g.maxTokens) * defaultTokenTime
	}
	perToken := now.Sub(g.began) / time.Duration(n)
	return time.Duration(max(g.maxTokens-g.position(), 0)) * perToken
}

// shouldMove decides what becomes of the stream while its endpoint leaves.
func (g *generation) shouldMove(leavesAt, now time.Time) bool {
	if leavesAt.IsZero() {
		return false
	}
	tokens := g.w.route.Tokens + g.position()
	option, recomputed := clroute.ChooseHandover(clroute.Handover{
		Left: leavesAt.Sub(now), Remainder: g.remainder(now), Tokens: tokens,
		CanExport: g.streamID != "", Transfer: g.h.transfers.expected(tokens),
	})
	g.handover = option
	if option == clroute.HandoverFinish {
		return false
	}
	if !g.moved {
		g.moved = true
		g.h.log.Info("Endpoint leaves before the stream ends.", zap.String("request", g.w.id), zap.Stringer("handover", option),
			zap.Int("tokens_recomputed", recomputed), zap.Duration("left", leavesAt.Sub(now)))
	}
	return true
}

func (g *generation) appendError(b []byte, r *Refusal) []byte {
	g.h.metrics.refusals.WithLabelValues(r.Code, string(r.Run)).Inc()
	g.h.log.Info("Stream cannot be finished.", zap.String("request", g.w.id), zap.String("code", r.Code), zap.String("detail", r.Detail))
	return appendData(append(b, "event: error\n"...), r.document())
}
