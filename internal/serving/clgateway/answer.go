// This file defines how answers are passed on to the caller.

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
	// readBytes holds several events.
	readBytes = 16 << 10
	// writeLimit is how long a caller may leave its events unread.
	writeLimit = 5 * time.Second
)

// passAnswer reads a whole answer and passes it on.
func (g *Gateway) passAnswer(ctx context.Context, a *attempt, p *progress) verdict {
	body, err := io.ReadAll(io.LimitReader(a.answer.Body, answerBytes+1))
	if err != nil {
		return g.failed(ctx, a, err)
	}
	failed := a.answer.Status >= http.StatusInternalServerError
	g.count(a, failed)
	if failed && p.started {
		// The stream's status has been sent, so that this one cannot be.
		return verdict{outcome: clfleet.OutcomeFailed, err: errors.Errorf("answer %d to a resumed stream", a.answer.Status)}
	}
	if failed && a.mayRepeatFailure() && len(body) <= answerBytes {
		a.failure = &failure{attempt: a, body: body}
		return verdict{outcome: clfleet.OutcomeFailed, err: errors.Errorf("answer %d", a.answer.Status)}
	}
	g.began(a)
	if len(body) <= answerBytes {
		a.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	a.copyHeader()
	p.started = true
	_, err = a.w.Write(body)
	if err == nil && len(body) > answerBytes {
		_, err = io.Copy(a.w, a.answer.Body)
		if err != nil {
			_ = a.answer.Body.Close()
			return g.failed(ctx, a, err)
		}
	}
	if err != nil {
		g.Logger.Info("caller left before the answer", zap.String("request", a.says.ID), zap.Error(err))
	}
	g.finished(a, 0)
	if failed {
		return verdict{outcome: clfleet.OutcomeFailed, done: true}
	}
	return verdict{outcome: clfleet.OutcomeAnswered, done: true}
}

// passFailure passes a failure on that no other endpoint's answer has replaced.
func (g *Gateway) passFailure(f *failure) {
	g.began(f.attempt)
	f.w.Header().Set("Content-Length", strconv.Itoa(len(f.body)))
	f.copyHeader()
	if _, err := f.w.Write(f.body); err != nil {
		g.Logger.Info("caller left before the answer", zap.String("request", f.says.ID), zap.Error(err))
	}
	g.finished(f.attempt, 0)
}

// mayRepeatFailure reports whether a failure that the endpoint answered may be
// replaced by another endpoint's answer.
func (c *call) mayRepeatFailure() bool {
	return c.route.SafeToRetry() && c.sends+1 < c.route.MaxAttempts
}

// passStream passes events on as they arrive, whole ones only.
func (g *Gateway) passStream(ctx context.Context, a *attempt, p *progress) verdict {
	var s clstream.Splitter
	buf := make([]byte, readBytes)
	rc := http.NewResponseController(a.w)
	events := 0
	for {
		n, err := a.answer.Body.Read(buf)
		s.Write(buf[:n])
		wrote, werr := g.passEvents(a, p, &s, rc)
		if events == 0 && wrote > 0 {
			g.began(a)
			g.count(a, false)
		}
		events += wrote
		if werr != nil {
			_ = a.answer.Body.Close()
			return verdict{outcome: clfleet.OutcomeAbandoned, err: errors.Wrap(werr, "write to the caller")}
		}
		switch {
		case err == nil:
		// A connection that closed within the answer wraps io.EOF; only the
		// plain one says that the answer is whole.
		case err == io.EOF && len(s.Remaining()) == 0:
			return g.endStream(a, p, events)
		case err == io.EOF:
			return g.failed(ctx, a, &clendpoint.Error{Kind: clendpoint.KindBroken, Err: errors.New("the stream ended within an event")})
		default:
			return g.failed(ctx, a, err)
		}
	}
}

// passEvents writes the whole events that have arrived and returns their number.
func (g *Gateway) passEvents(a *attempt, p *progress, s *clstream.Splitter, rc *http.ResponseController) (int, error) {
	wrote := 0
	for {
		e, ok := s.Next()
		if !ok {
			break
		}
		if p.hasLast && e.HasID && e.ID <= p.last {
			continue
		}
		if !p.started {
			a.copyHeader()
			p.started = true
		}
		if wrote == 0 {
			if err := rc.SetWriteDeadline(time.Now().Add(writeLimit)); err != nil {
				return wrote, err
			}
		}
		if _, err := a.w.Write(e.Raw); err != nil {
			return wrote, err
		}
		if e.HasID {
			p.last, p.hasLast = e.ID, true
		}
		wrote++
	}
	if wrote == 0 {
		return 0, nil
	}
	return wrote, rc.Flush()
}

func (g *Gateway) endStream(a *attempt, p *progress, events int) verdict {
	if !p.started {
		a.copyHeader()
		p.started = true
	}
	if err := http.NewResponseController(a.w).SetWriteDeadline(time.Time{}); err != nil {
		g.Logger.Debug("no write deadline", zap.Error(err))
	}
	g.finished(a, events)
	return verdict{outcome: clfleet.OutcomeAnswered, done: true}
}
