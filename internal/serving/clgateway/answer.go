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
// that exceeds maxBufferedBytes is copied as it arrives, until the request's deadline.
func (g *Gateway) relayResponse(ctx context.Context, a *attempt, p *responseProgress) attemptResult {
	body, err := g.readBuffered(a)
	if err == nil && len(body) <= maxBufferedBytes {
		err = g.checkEnd(ctx, a)
	}
	if err != nil {
		return g.failAttempt(ctx, a, err)
	}
	failed := a.response.Status >= http.StatusInternalServerError
	g.recordSample(a, failed)
	if failed && a.mayReplaceFailure() && len(body) <= maxBufferedBytes {
		a.heldFailure = &heldFailure{attempt: a, body: body}
		return attemptResult{outcome: clfleet.OutcomeFailed, err: errors.Errorf("endpoint responded with status %d", a.response.Status)}
	}
	g.recordStart(a)
	if !failed && len(body) <= maxBufferedBytes {
		g.recordSound(a, true)
	}
	if len(body) <= maxBufferedBytes {
		a.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	a.writeHeader()
	p.started, p.final = true, true
	err = g.writeBody(a, body)
	if err == nil && len(body) > maxBufferedBytes {
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

// readBuffered reads the body of a response up to maxBufferedBytes and one byte more. A
// body that arrives so slowly that another attempt would no longer have the time to
// replace it counts as silent, if there can be another attempt.
func (g *Gateway) readBuffered(a *attempt) ([]byte, error) {
	body := make([]byte, 0, firstBodyBytes)
	limited := io.LimitReader(a.response.Body, maxBufferedBytes+1)
	giveUpAt := a.startedAt.Add(time.Duration(bodyFraction * float64(a.deadline.Sub(a.startedAt))))
	for {
		body = slices.Grow(body, 1)
		n, err := limited.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		case time.Now().After(giveUpAt) && g.giveUpFor(a):
			_ = a.response.Body.Close()
			return nil, &clendpoint.Error{Kind: clendpoint.KindSilent, Err: errors.New("response arrives too slowly")}
		}
	}
}

// copyRest copies the rest of a response that exceeds maxBufferedBytes to the caller. It
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
// if there was no event to relay, and clears the write deadline that relayEvents has
// set, which would otherwise apply to later requests on the same connection. events
// is the number of events that this attempt has relayed.
func (g *Gateway) finishStream(a *attempt, p *responseProgress, events int) attemptResult {
	if !p.started {
		a.writeHeader()
		p.started = true
	}
	if err := http.NewResponseController(a.w).SetWriteDeadline(time.Time{}); err != nil {
		g.Logger.Debug("clearing the write deadline failed", zap.Error(err))
	}
	g.recordSound(a, true)
	g.recordCompletion(a, events)
	return attemptResult{outcome: clfleet.OutcomeAnswered, done: true}
}
