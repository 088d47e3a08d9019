// This file defines how one request is sent, with its attempts.

package clload

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/samber/lo"
)

// exchange is one request under way.
type exchange struct {
	runner    *Runner
	request   *Request
	scheduled time.Time
	answer    *Answer
	result    Result
	lastToken time.Time
	// ended is when a stream's end mark arrived.
	ended time.Time
}

const (
	// maxAnswer bounds the memory that one answer can take.
	maxAnswer = 16 << 20
	// maxTrailer bounds what is read after a stream's end mark.
	maxTrailer = 4 << 10
	// resendPause is the pause before a broken request is sent again.
	resendPause = 20 * time.Millisecond
)

// run sends the request until it ends or no attempt or time remains.
func (x *exchange) run(ctx context.Context) Result {
	ctx, cancel := context.WithDeadline(ctx, x.request.deadline)
	defer cancel()
	x.answer = &Answer{}
	x.result = Result{Request: x.request, Answer: x.answer}
	for {
		x.result.Attempts++
		x.result.Outcome, x.result.Err = x.attempt(ctx)
		if x.result.Outcome == OutcomeBroken && ctx.Err() != nil {
			x.result.Outcome = lo.Ternary(errors.Is(ctx.Err(), context.Canceled), OutcomeCut, OutcomeTimeout)
		}
		if x.result.Attempts >= x.request.attempts || !x.mayResend() || !x.pause(ctx) {
			break
		}
	}
	if x.ended.IsZero() {
		x.ended = time.Now()
	}
	x.result.Total = x.ended.Sub(x.scheduled)
	return x.result
}

// mayResend allows what a careful caller does: a booking keeps its key, a
// stream continues from its last event, and a completion has no effect. A
// refusal is repeated only if Retry-After says that this can help.
func (x *exchange) mayResend() bool {
	return x.result.Outcome == OutcomeBroken ||
		(x.result.Outcome == OutcomeNotRun && x.answer.Header.Get("Retry-After") != "")
}

// pause waits as long as the refusal asks; false means that the time does not suffice.
func (x *exchange) pause(ctx context.Context) bool {
	wait := resendPause
	if s, err := strconv.Atoi(x.answer.Header.Get("Retry-After")); err == nil && x.result.Outcome == OutcomeNotRun {
		wait = max(wait, time.Duration(s)*time.Second)
	}
	if time.Until(x.request.deadline) <= wait {
		return false
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// attempt sends the request once. Events of former attempts are kept, because
// a resumed stream continues after them.
func (x *exchange) attempt(ctx context.Context) (Outcome, error) {
	lastEventID := ""
	if n := len(x.answer.Events); n > 0 {
		lastEventID = x.answer.Events[n-1].ID
	}
	h, err := x.request.http(ctx, x.runner.target(), lastEventID)
	if err != nil {
		return OutcomeBroken, err
	}
	resp, err := x.runner.transport().RoundTrip(h)
	if err != nil {
		return OutcomeBroken, err
	}
	defer resp.Body.Close()
	x.answer.Status, x.answer.Header = resp.StatusCode, resp.Header
	if resp.StatusCode < http.StatusBadRequest && x.request.Kind == KindStream {
		return x.readStream(resp.Body)
	}
	x.answer.Body, err = io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return OutcomeBroken, err
	}
	if resp.StatusCode >= http.StatusBadRequest && !x.fromService(resp) {
		return refusal(x.answer)
	}
	if x.request.Kind == KindCompletion {
		x.answer.Text = tokenText(x.answer.Body)
	}
	return x.check()
}

// fromService says whether an error status is the booking service's own
// answer, which the entry passes on unchanged.
func (x *exchange) fromService(resp *http.Response) bool {
	return x.request.Kind == KindBooking && !strings.HasPrefix(resp.Header.Get("Content-Type"), problemType)
}

func (x *exchange) readStream(body io.Reader) (Outcome, error) {
	events := newEventReader(body)
	for {
		ev, err := events.read()
		now := time.Now()
		if err != nil {
			return OutcomeBroken, errors.Wrapf(err, "stream ended after %d events", len(x.answer.Events))
		}
		if ev.Data == endOfStream {
			x.answer.Ended, x.ended = true, now
			// A body that is read to its end leaves the connection reusable.
			_, _ = io.CopyN(io.Discard, events.r, maxTrailer)
			return x.check()
		}
		x.answer.Events = append(x.answer.Events, ev)
		if ev.Type == errorEvent {
			return OutcomeStreamError, errors.Errorf("stream ended with %s", ev.Data)
		}
		if text := tokenText([]byte(ev.Data)); text != "" {
			x.answer.Text += text
			x.recordToken(now)
		}
	}
}

func (x *exchange) recordToken(now time.Time) {
	if x.lastToken.IsZero() {
		x.result.FirstToken = now.Sub(x.scheduled)
	} else {
		x.result.Gaps = append(x.result.Gaps, now.Sub(x.lastToken))
	}
	x.lastToken = now
}

func (x *exchange) check() (Outcome, error) {
	if err := x.runner.Check(x.request, x.answer); err != nil {
		return OutcomeWrong, err
	}
	return OutcomeWhole, nil
}
