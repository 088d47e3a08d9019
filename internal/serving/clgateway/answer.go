// This file defines how responses of endpoints are relayed to callers.

package clgateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/internal/limits/clmemory"
	"github.com/chestnutlead/chestnutlead/internal/routing/clfleet"
	"github.com/chestnutlead/chestnutlead/internal/serving/clstream"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

const (
	// readBufferSize is the maximum number of bytes of a stream that are read at
	// once. It is large enough for several events.
	readBufferSize = 16 << 10
	// firstBodyBytes is the size of the buffer for a body that is not a stream, which
	// grows with the body.
	firstBodyBytes = 1 << 10
	// freeResponseBytes is the size up to which responses and incomplete events are not
	// counted apart from the connection. Most of them are smaller.
	freeResponseBytes = 16 << 10
	// eventStepBytes is the step in which memory for an incomplete event is reserved, and
	// eventCopies how often it may be in memory while its buffer grows.
	eventStepBytes = 128 << 10
	eventCopies    = 2
	// eventMemoryTimeout is how long a stream waits for memory. Within that time, streams
	// of callers that don't read have been aborted (callerWriteTimeout).
	eventMemoryTimeout = callerWriteTimeout + time.Second
	// eventPollInterval is the time between two attempts to reserve memory for an event.
	// Many streams may wait for seconds, so it is longer than memoryPollInterval.
	eventPollInterval = 20 * time.Millisecond
	// callerWriteTimeout is the maximum time for writing events to the caller.
	// The stream of a caller that leaves events unread for longer is aborted.
	callerWriteTimeout = 5 * time.Second
	// bodyFraction is the fraction of the time until the deadline after which a body
	// that is still arriving is given up, if another endpoint can answer instead.
	bodyFraction = 0.7
	// maxEventBytes limits the size of an event. A stream with a longer one counts as
	// broken, so that an endpoint can't fill the gateway's memory.
	maxEventBytes = 1 << 20
)

// relayResponse reads a response that is not a stream and sends it to the caller.
// A response with a failure status is kept in heldFailure instead if a retry may
// still replace it and the body does not exceed maxBufferedBytes. The part of a body
// that exceeds maxBufferedBytes, or for which there is no memory, is copied as it arrives,
// until the request's deadline.
func (g *Gateway) relayResponse(ctx context.Context, a *attempt, p *responseProgress) attemptResult {
	body, whole, err := g.readBuffered(a)
	if err == nil && whole {
		err = g.checkEnd(ctx, a)
	}
	if err != nil {
		return g.failAttempt(ctx, a, err)
	}
	failed := a.response.Status >= http.StatusInternalServerError
	g.recordSample(a, failed)
	if failed && a.mayReplaceFailure() && whole {
		a.heldFailure = &heldFailure{attempt: a, body: body}
		return attemptResult{outcome: clfleet.OutcomeFailed, err: errors.Errorf("endpoint responded with status %d", a.response.Status)}
	}
	g.recordStart(a)
	if !failed && whole {
		g.recordSound(a, true)
	}
	if whole {
		a.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	a.writeHeader()
	p.started, p.final = true, true
	err = g.writeBody(a, body)
	if err == nil && !whole {
		var readErr error
		if readErr, err = g.copyRest(ctx, a); readErr != nil {
			return g.failAttempt(ctx, a, readErr)
		}
	}
	if err != nil {
		_ = a.response.Body.Close()
		g.Logger.Info("writing the response to the caller failed", zap.String("request", a.reqInfo.ID), zap.Error(err))
	}
	g.recordCompletion(a, 0)
	if failed {
		return attemptResult{outcome: clfleet.OutcomeFailed, done: true}
	}
	return attemptResult{outcome: clfleet.OutcomeAnswered, done: true}
}

// readBuffered reads the body of a response up to maxBufferedBytes and one byte more, or
// as much as there is memory for, and reports whether that is the whole body. A body that
// arrives so slowly that another attempt would no longer have the time to replace it
// counts as silent, if there can be another attempt.
func (g *Gateway) readBuffered(a *attempt) (body []byte, whole bool, err error) {
	body = make([]byte, 0, firstBodyBytes)
	limited := io.LimitReader(a.response.Body, maxBufferedBytes+1)
	giveUpAt := a.startedAt.Add(time.Duration(bodyFraction * float64(a.deadline.Sub(a.startedAt))))
	for {
		if body, whole = g.growResponse(a, body); !whole {
			return body, false, nil
		}
		n, err := limited.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, len(body) <= maxBufferedBytes, nil
		case err != nil:
			return nil, false, err
		case time.Now().After(giveUpAt) && g.giveUpFor(a):
			_ = a.response.Body.Close()
			return nil, false, &clendpoint.Error{Kind: clendpoint.KindSilent, Err: errors.New("response arrives too slowly")}
		}
	}
}

// growResponse makes room for at least one more byte of a response. It reports whether
// there is memory for it. Up to freeResponseBytes are part of connectionBytes.
func (g *Gateway) growResponse(a *attempt, body []byte) ([]byte, bool) {
	switch {
	case len(body) > maxBufferedBytes:
		return body, false
	case len(body) < cap(body):
		return body, true
	}
	size := int64(min(2*cap(body), maxBufferedBytes+1))
	if size <= freeResponseBytes {
		return slices.Grow(body, cap(body)), true
	}
	// It does not wait for memory, which would count as the endpoint's silence.
	if !g.memory.budget.Reserve(clmemory.Responses, size, a.held.bytes(), false) {
		g.recordShortage("response_not_buffered")
		return body, false
	}
	bigger := make([]byte, len(body), size)
	copy(bigger, body)
	if cap(body) > freeResponseBytes {
		g.memory.budget.Add(clmemory.Responses, -int64(cap(body)))
		a.held.responseBytes -= int64(cap(body))
	}
	a.held.responseBytes += size
	return bigger, true
}

// copyRest copies the rest of a response that was not buffered whole to the caller. It
// returns the error of the endpoint and that of the caller, of which at least one is
// nil.
func (g *Gateway) copyRest(ctx context.Context, a *attempt) (readErr, writeErr error) {
	buf := make([]byte, readBufferSize)
	for {
		n, err := a.response.Body.Read(buf)
		if writeErr := g.writeBody(a, buf[:n]); writeErr != nil {
			return nil, writeErr
		}
		if err == io.EOF {
			return g.checkEnd(ctx, a), nil
		}
		if err != nil {
			return err, nil
		}
	}
}

// writeBody writes a part of a response that is not a stream. It fails if the caller
// reads nothing for callerWriteTimeout.
func (g *Gateway) writeBody(a *attempt, part []byte) error {
	rc := http.NewResponseController(a.w)
	if err := rc.SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil {
		return err
	}
	_, err := a.w.Write(part)
	return err
}

// relayFailure sends the caller a failure that was held back, after no retry has
// given a better response.
func (g *Gateway) relayFailure(f *heldFailure) {
	g.recordStart(f.attempt)
	f.w.Header().Set("Content-Length", strconv.Itoa(len(f.body)))
	f.writeHeader()
	if err := g.writeBody(f.attempt, f.body); err != nil {
		g.Logger.Info("writing the response to the caller failed", zap.String("request", f.reqInfo.ID), zap.Error(err))
	}
	g.recordCompletion(f.attempt, 0)
}

// mayReplaceFailure reports whether the request may be retried at another endpoint
// if the current attempt ends with a failure. sends does not yet count the current
// attempt.
func (c *call) mayReplaceFailure() bool {
	return c.route.SafeToRetry() && c.sends+1 < c.route.MaxAttempts
}

// relayStream sends events to the caller as they arrive. It sends only complete
// events, so that the stream can be resumed at another endpoint. A stream that ends
// within an event counts as broken.
func (g *Gateway) relayStream(ctx context.Context, a *attempt, p *responseProgress) attemptResult {
	var s clstream.Splitter
	buf := make([]byte, readBufferSize)
	rc := http.NewResponseController(a.w)
	events := 0
	// progressAt is when the last event with data arrived, or the beginning.
	progressAt, patience := time.Now(), g.timeouts(a, time.Until(a.deadline)).BetweenReads
	for {
		waitFrom := time.Now()
		granted := g.growEvent(ctx, a, len(s.Remaining())+readBufferSize)
		// The time without memory is not the endpoint's silence.
		progressAt = progressAt.Add(time.Since(waitFrom))
		if !granted {
			_ = a.response.Body.Close()
			// A stream that continues elsewhere would need the same memory.
			p.final = true
			return attemptResult{outcome: clfleet.OutcomeAbandoned, err: errors.New("no memory for an event")}
		}
		n, err := a.response.Body.Read(buf)
		s.Write(buf[:n])
		written, progressed, writeErr := g.relayEvents(a, p, &s, rc)
		if progressed {
			progressAt = time.Now()
		}
		if events == 0 && written > 0 {
			g.recordStart(a)
			g.recordSample(a, false)
		}
		events += written
		if progressed {
			g.recordSound(a, false)
		}
		if writeErr != nil {
			_ = a.response.Body.Close()
			return attemptResult{outcome: clfleet.OutcomeAbandoned, err: errors.Wrap(writeErr, "write events to the caller")}
		}
		// If the connection closes within the body, err wraps io.EOF; only a plain
		// io.EOF means that the body is complete.
		switch {
		case err == nil && len(s.Remaining()) > maxEventBytes:
			_ = a.response.Body.Close()
			return g.failAttempt(ctx, a, &clendpoint.Error{Kind: clendpoint.KindBroken, Err: errors.Errorf("event exceeds %d bytes", maxEventBytes)})
		case err == nil && time.Since(progressAt) > patience && g.giveUpFor(a):
			_ = a.response.Body.Close()
			return g.failAttempt(ctx, a, &clendpoint.Error{Kind: clendpoint.KindSilent, Err: errors.New("stream sends bytes but no events")})
		case err == nil:
		case err == io.EOF && len(s.Remaining()) == 0 && a.response.UntilClose && !p.started:
			return g.failAttempt(ctx, a, &clendpoint.Error{Kind: clendpoint.KindBroken, Err: errors.New("stream without a length ended before the first event")})
		case err == io.EOF && len(s.Remaining()) == 0:
			if err := g.checkEnd(ctx, a); err != nil {
				return g.failAttempt(ctx, a, err)
			}
			return g.finishStream(a, p, events)
		case err == io.EOF:
			return g.failAttempt(ctx, a, &clendpoint.Error{Kind: clendpoint.KindBroken, Err: errors.New("stream ended within an event")})
		default:
			return g.failAttempt(ctx, a, err)
		}
	}
}

// growEvent reserves memory for an incomplete event of up to size bytes, or releases what
// is no longer needed. If there is none, it waits, which delays the endpoint; it reports
// false if there is none for eventMemoryTimeout.
func (g *Gateway) growEvent(ctx context.Context, a *attempt, size int) bool {
	needed := int64(0)
	if size > readBufferSize+freeResponseBytes {
		needed = int64((eventCopies*size + eventStepBytes - 1) / eventStepBytes * eventStepBytes)
	}
	more := needed - a.held.eventBytes
	if more <= 0 {
		if more < 0 {
			g.memory.budget.Add(clmemory.Events, more)
			a.held.eventBytes = needed
		}
		return true
	}
	for end := time.Now().Add(eventMemoryTimeout); !g.reserveEvent(a, more); time.Sleep(eventPollInterval) {
		if ctx.Err() != nil || time.Now().After(end) {
			g.recordShortage("stream_cut")
			return false
		}
	}
	a.held.eventBytes = needed
	return true
}

// relayEvents writes the complete events in s to the caller and returns the number
// of events written, and whether one of them had data. It skips events whose ID is not
// above that of the last event sent, which a resumed stream may repeat.
func (g *Gateway) relayEvents(a *attempt, p *responseProgress, s *clstream.Splitter, rc *http.ResponseController) (written int, progressed bool, err error) {
	for {
		e, ok := s.Next()
		if !ok {
			break
		}
		if p.hasLastEventID && e.HasID && e.ID <= p.lastEventID {
			continue
		}
		if !p.started {
			a.writeHeader()
			p.started = true
		}
		if written == 0 {
			if err := rc.SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil {
				return written, progressed, err
			}
		}
		if _, err := a.w.Write(e.Raw); err != nil {
			return written, progressed, err
		}
		if e.HasID {
			p.lastEventID, p.hasLastEventID = e.ID, true
		}
		p.final = p.final || e.HasData && !e.HasID
		progressed = progressed || e.HasData
		written++
	}
	if written == 0 {
		return 0, false, nil
	}
	return written, progressed, rc.Flush()
}

// finishStream ends a stream that the endpoint has completed. It sends the header
// if there was no event to relay, and extends the write deadline that relayEvents has
// set, so that the end of the stream can't wait for the caller without limit. net/http
// clears the deadline before the next request. events is the number of events that this
// attempt has relayed.
func (g *Gateway) finishStream(a *attempt, p *responseProgress, events int) attemptResult {
	if !p.started {
		a.writeHeader()
		p.started = true
	}
	if err := http.NewResponseController(a.w).SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil {
		g.Logger.Debug("setting the write deadline failed", zap.Error(err))
	}
	g.recordSound(a, true)
	g.recordCompletion(a, events)
	return attemptResult{outcome: clfleet.OutcomeAnswered, done: true}
}
