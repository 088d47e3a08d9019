// This file defines how responses of endpoints are relayed to callers.

package clgateway

import (
	"context"
	"io"
	"net/http"
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
	// callerWriteTimeout is the maximum time for writing events to the caller.
	// The stream of a caller that leaves events unread for longer is aborted.
	callerWriteTimeout = 5 * time.Second
)

// relayResponse reads a response that is not a stream and sends it to the caller.
// A response with a failure status is kept in heldFailure instead if a retry may
// still replace it and the body does not exceed maxBufferedBytes. The part of a body
// that exceeds maxBufferedBytes is copied as it arrives.
func (g *Gateway) relayResponse(ctx context.Context, a *attempt, p *responseProgress) attemptResult {
	body, err := io.ReadAll(io.LimitReader(a.response.Body, maxBufferedBytes+1))
	if err != nil {
		return g.failAttempt(ctx, a, err)
	}
	failed := a.response.Status >= http.StatusInternalServerError
	g.recordSample(a, failed)
	if failed && p.started {
		// The stream has already begun, so this status can no longer be sent.
		return attemptResult{outcome: clfleet.OutcomeFailed, err: errors.Errorf("endpoint responded to a resumed stream with status %d", a.response.Status)}
	}
	if failed && a.mayReplaceFailure() && len(body) <= maxBufferedBytes {
		a.heldFailure = &heldFailure{attempt: a, body: body}
		return attemptResult{outcome: clfleet.OutcomeFailed, err: errors.Errorf("endpoint responded with status %d", a.response.Status)}
	}
	g.recordStart(a)
	if len(body) <= maxBufferedBytes {
		a.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	a.writeHeader()
	p.started = true
	_, err = a.w.Write(body)
	if err == nil && len(body) > maxBufferedBytes {
		_, err = io.Copy(a.w, a.response.Body)
		if err != nil {
			_ = a.response.Body.Close()
			return g.failAttempt(ctx, a, err)
		}
	}
	if err != nil {
		g.Logger.Info("writing the response to the caller failed", zap.String("request", a.reqInfo.ID), zap.Error(err))
	}
	g.recordCompletion(a, 0)
	if failed {
		return attemptResult{outcome: clfleet.OutcomeFailed, done: true}
	}
	return attemptResult{outcome: clfleet.OutcomeAnswered, done: true}
}

// relayFailure sends the caller a failure that was held back, after no retry has
// given a better response.
func (g *Gateway) relayFailure(f *heldFailure) {
	g.recordStart(f.attempt)
	f.w.Header().Set("Content-Length", strconv.Itoa(len(f.body)))
	f.writeHeader()
	if _, err := f.w.Write(f.body); err != nil {
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
	for {
		n, err := a.response.Body.Read(buf)
		s.Write(buf[:n])
		written, writeErr := g.relayEvents(a, p, &s, rc)
		if events == 0 && written > 0 {
			g.recordStart(a)
			g.recordSample(a, false)
		}
		events += written
		if writeErr != nil {
			_ = a.response.Body.Close()
			return attemptResult{outcome: clfleet.OutcomeAbandoned, err: errors.Wrap(writeErr, "write events to the caller")}
		}
		// If the connection closes within the body, err wraps io.EOF; only a plain
		// io.EOF means that the body is complete.
		switch {
		case err == nil:
		case err == io.EOF && len(s.Remaining()) == 0:
			return g.finishStream(a, p, events)
		case err == io.EOF:
			return g.failAttempt(ctx, a, &clendpoint.Error{Kind: clendpoint.KindBroken, Err: errors.New("stream ended within an event")})
		default:
			return g.failAttempt(ctx, a, err)
		}
	}
}

// relayEvents writes the complete events in s to the caller and returns the number
// of events written. It skips events whose ID is not above that of the last event
// sent, which a resumed stream may repeat.
func (g *Gateway) relayEvents(a *attempt, p *responseProgress, s *clstream.Splitter, rc *http.ResponseController) (int, error) {
	written := 0
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
				return written, err
			}
		}
		if _, err := a.w.Write(e.Raw); err != nil {
			return written, err
		}
		if e.HasID {
			p.lastEventID, p.hasLastEventID = e.ID, true
		}
		written++
	}
	if written == 0 {
		return 0, nil
	}
	return written, rc.Flush()
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
	g.recordCompletion(a, events)
	return attemptResult{outcome: clfleet.OutcomeAnswered, done: true}
}
