// This file defines the attempts of a request and the retries at other endpoints.

package clgateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/chestnutlead/chestnutlead/internal/routing/clfleet"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

type (
	// attempt is one attempt to run a request at an endpoint.
	attempt struct {
		*call
		choice   *clfleet.Choice
		response *clendpoint.Answer
		respInfo ResponseInfo
		sentAt   time.Time
		// resumeAfter is the ID of the last event sent to the caller, if
		// isResume is set.
		resumeAfter int64
		isResume    bool
	}

	// attemptResult is the result of an attempt.
	attemptResult struct {
		outcome clfleet.Outcome
		// done reports whether the final response was sent to the caller.
		done bool
		// notRun reports that the endpoint has not run the request and will not.
		notRun bool
		err    error
	}

	// responseProgress tracks how much of the response the caller has been sent.
	responseProgress struct {
		// started reports whether the status line has been sent.
		started bool
		// lastEventID is the ID of the last event sent, if hasLastEventID is set.
		lastEventID    int64
		hasLastEventID bool
	}
)

const (
	// maxUnreachable limits the attempts of a request that fail to connect,
	// each of which is at another endpoint.
	maxUnreachable = 4
	// connectTimeout is many times the network latency to an endpoint. TCP
	// retransmits a lost packet only after a second, so waiting a little longer
	// hardly helps.
	connectTimeout = 400 * time.Millisecond
	// firstByteFraction is the fraction of the remaining time after which a
	// request that may be retried is sent to another endpoint if the first one
	// has not responded.
	firstByteFraction = 0.4
	// streamSilenceTimeout is the time without data after which a resumable
	// stream is continued at another endpoint. It is several times the gap that
	// callers accept as on time, and shorter than the time they wait.
	streamSilenceTimeout = 1700 * time.Millisecond
	// maxBufferedBody limits the size of a response body that is read in full
	// before it is sent to the caller.
	maxBufferedBody = 1 << 20
	// maxDiscardedBody limits how much is read of the response of an endpoint
	// that did not run the request.
	maxDiscardedBody = 4 << 10
	// notRunRetryAfter is the Retry-After of a request that no endpoint has run.
	notRunRetryAfter = 300 * time.Millisecond

	// reasonRetryBudget and reasonConfigUnconfirmed are the gateway's own
	// reasons for not sending a request, besides those of clfleet.
	reasonRetryBudget       clfleet.Reason = "retry_budget"
	reasonConfigUnconfirmed clfleet.Reason = "configuration_unconfirmed"
)

// forward sends the request to one endpoint after another until one responds or
// no further attempt is allowed, and responds to the caller.
func (g *Gateway) forward(ctx context.Context, c *call) {
	var p responseProgress
	var last attemptResult
	g.RetryBudget.RecordRequest(c.service, c.arrived)
	for unreachable := 0; unreachable < maxUnreachable; {
		choice, refused, req := g.pickEndpoint(c)
		if choice == nil {
			g.failRequest(c, &p, last, refused)
			return
		}
		if c.sends > 0 && !g.RetryBudget.AllowRetry(c.service, time.Now()) {
			g.failRequest(c, &p, last, &clfleet.Refusal{Reason: reasonRetryBudget, RetryAfter: notRunRetryAfter})
			return
		}
		if refused := g.staleConfigOr(nil); refused != nil && c.account != nil {
			g.failRequest(c, &p, last, &clfleet.Refusal{Reason: reasonConfigUnconfirmed, RetryAfter: refused.retryAfter})
			return
		}
		last = g.runAttempt(ctx, c, choice, req, &p)
		if last.done {
			return
		}
		c.mayHaveRun = c.mayHaveRun || !last.notRun
		c.tried = append(c.tried, choice.Endpoint)
		if last.outcome == clfleet.OutcomeUnreachable {
			unreachable++
			continue
		}
		if !g.mayRetry(ctx, c, last) {
			break
		}
	}
	g.failRequest(c, &p, last, nil)
}

// mayRetry reports whether the request may be sent to another endpoint after an
// attempt with the given result.
func (g *Gateway) mayRetry(ctx context.Context, c *call, result attemptResult) bool {
	if ctx.Err() != nil {
		return false
	}
	if result.notRun {
		// An endpoint that is full has not run the request, so a second send is
		// allowed even if MaxAttempts is 1. The number of sends stays limited
		// because each adds to the load of the other endpoints.
		return c.sends < max(2, c.route.MaxAttempts)
	}
	return c.route.SafeToRetry() && c.sends < c.route.MaxAttempts
}

// failRequest ends a request for which no attempt gave a final response. last is
// the result of the last attempt, and refused why no endpoint was chosen, or nil.
func (g *Gateway) failRequest(c *call, p *responseProgress, last attemptResult, refused *clfleet.Refusal) {
	switch {
	case p.started:
		g.Logger.Info("stream cut", zap.String("request", c.reqInfo.ID), zap.Int("sends", c.sends), zap.Int64("last_event", p.lastEventID),
			zap.Bool("caller_gone", callerGone(c.r)), zap.Duration("after", time.Since(c.arrived)), zap.NamedError("last", last.err))
		g.instruments.requests.WithLabelValues(string(c.route.Kind), "cut").Inc()
		// Closes the connection without terminating the body, so that the
		// response can't be taken for a complete one.
		panic(http.ErrAbortHandler)
	case c.lastFailure != nil:
		g.relayFailure(c.lastFailure)
	case !c.mayHaveRun:
		if c.account != nil {
			g.Quotas.Refund(c.account.Name, c.cost)
		}
		out := &refusal{http.StatusServiceUnavailable, "not_run", notRunRetryAfter}
		if refused != nil {
			out.reason, out.retryAfter = string(refused.Reason), refused.RetryAfter
			g.Logger.Debug("no eligible endpoint", zap.String("request", c.reqInfo.ID), zap.Any("excluded", refused.Excluded))
		}
		g.refuse(c, out)
	case time.Now().Before(c.deadline):
		g.refuse(c, &refusal{http.StatusBadGateway, "endpoint_failed", 0})
	default:
		g.refuse(c, &refusal{http.StatusGatewayTimeout, "timeout", 0})
	}
}

// runAttempt sends the request to one endpoint, relays its response to the
// caller, and records the outcome.
func (g *Gateway) runAttempt(ctx context.Context, c *call, choice *clfleet.Choice, req clfleet.Request, p *responseProgress) attemptResult {
	a := &attempt{call: c, choice: choice, sentAt: time.Now(), isResume: p.hasLastEventID, resumeAfter: p.lastEventID}
	g.Fleet.Begin(choice, req, a.sentAt)
	g.Recorder.AttemptStarted(c.service, choice.Version, c.route.Name)
	g.Logger.Info("sent", zap.String("request", c.reqInfo.ID), zap.String("endpoint", choice.Endpoint), zap.String("version", choice.Version),
		zap.String("data_centre", choice.DataCentre), zap.Int("candidates", choice.Candidates), zap.Int("running", choice.Running),
		zap.Float64("unread_tokens", choice.UncachedTokens), zap.Int("home", choice.AffinityRank), zap.Duration("expected", choice.ExpectedLatency), zap.Int("send", c.sends+1),
		zap.Duration("left", time.Until(c.deadline)), zap.Bool("resumes", a.isResume))
	result := g.send(ctx, a, p)
	g.Fleet.Finish(choice, result.outcome, time.Now())
	g.instruments.attempts.WithLabelValues(c.service, outcomeLabels[result.outcome]).Inc()
	if result.outcome != clfleet.OutcomeUnreachable {
		c.sends++
	}
	if !result.done || result.err != nil {
		g.Logger.Info("attempt failed", zap.String("request", c.reqInfo.ID), zap.String("endpoint", choice.Endpoint),
			zap.String("outcome", outcomeLabels[result.outcome]), zap.Bool("not_run", result.notRun), zap.Bool("caller_gone", callerGone(c.r)),
			zap.Duration("after", time.Since(a.sentAt)), zap.Error(result.err))
	}
	return result
}

// outcomeLabels are the names of outcomes in metrics and logs.
var outcomeLabels = map[clfleet.Outcome]string{
	clfleet.OutcomeAnswered: "answered", clfleet.OutcomeFailed: "failed", clfleet.OutcomeConnectionBroken: "broken", clfleet.OutcomeTimedOut: "silent",
	clfleet.OutcomeUnreachable: "unreachable", clfleet.OutcomeShed: "shed", clfleet.OutcomeAbandoned: "abandoned",
}

// send sends the request to the endpoint of the attempt, checks the headers of
// the response and relays it.
func (g *Gateway) send(ctx context.Context, a *attempt, p *responseProgress) attemptResult {
	left := time.Until(a.deadline)
	info := ForwardInfo{
		Endpoint: a.choice.Endpoint, Account: accountName(a.account), TimeLeft: left, Priority: a.route.RequestPriority(a.account),
		Resume: a.isResume, LastEventID: a.resumeAfter,
	}
	resp, err := g.Client.Do(ctx, clendpoint.Call{
		Endpoint: a.choice.Address, Method: a.r.Method, Path: a.r.RequestURI,
		Header: g.Headers.ForwardHeaders(a.r.Header, info), Body: a.body, Timeouts: g.timeouts(a, left),
	})
	if err != nil {
		return g.failAttempt(ctx, a, err)
	}
	a.response, a.respInfo = resp, g.Headers.ParseResponse(resp)
	switch {
	case a.respInfo.ID != "" && a.respInfo.ID != a.reqInfo.ID:
		return g.discardResponse(a, clfleet.OutcomeConnectionBroken, errors.Errorf("response is for request %s", a.respInfo.ID))
	case a.respInfo.NotRun:
		// The connection can be reused only if the body is read to its end.
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscardedBody)); err != nil {
			g.Logger.Debug("reading the response of an endpoint that did not run the request failed", zap.String("request", a.reqInfo.ID), zap.Error(err))
		}
		result := g.discardResponse(a, clfleet.OutcomeShed, errors.Errorf("endpoint responded with status %d without running the request", resp.Status))
		result.notRun = true
		return result
	case resp.Status < 300 && !a.respInfo.Signed:
		return g.discardResponse(a, clfleet.OutcomeConnectionBroken, errors.Errorf("response with status %d has no signature", resp.Status))
	}
	if a.route.Kind == clcatalog.Streaming && resp.Status < 300 {
		return g.relayStream(ctx, a, p)
	}
	return g.relayResponse(ctx, a, p)
}

// timeouts returns the inactivity limits of an attempt. For a request that can't be
// retried, they allow the endpoint all the time that the caller waits.
func (g *Gateway) timeouts(a *attempt, left time.Duration) clendpoint.Timeouts {
	t := clendpoint.Timeouts{Connect: min(left, connectTimeout), FirstByte: left, BetweenReads: left}
	if a.route.SafeToRetry() && a.sends+1 < a.route.MaxAttempts {
		if a.route.Kind == clcatalog.Streaming {
			t.FirstByte, t.BetweenReads = min(left, streamSilenceTimeout+a.choice.ExpectedLatency), min(left, streamSilenceTimeout)
		} else {
			t.FirstByte = time.Duration(float64(left) * firstByteFraction)
			t.BetweenReads = t.FirstByte
		}
	}
	return t
}

// discardResponse ends an attempt whose response can't be used, and records a
// failure unless the endpoint was only full.
func (g *Gateway) discardResponse(a *attempt, outcome clfleet.Outcome, err error) attemptResult {
	// The error doesn't matter: nothing more is read from the connection.
	_ = a.response.Body.Close()
	if outcome != clfleet.OutcomeShed {
		g.recordOutcome(a, true)
	}
	return attemptResult{outcome: outcome, err: err}
}

// failAttempt classifies the error of an attempt that failed before or during its
// response, and records the failure.
func (g *Gateway) failAttempt(ctx context.Context, a *attempt, err error) attemptResult {
	var e *clendpoint.Error
	result := attemptResult{outcome: clfleet.OutcomeConnectionBroken, err: err}
	switch {
	case errors.As(err, &e) && e.Kind == clendpoint.KindNotSent:
		result.outcome, result.notRun = clfleet.OutcomeUnreachable, true
		if ctx.Err() != nil {
			result.outcome = clfleet.OutcomeAbandoned
		}
		return result
	case ctx.Err() != nil:
		result.outcome = clfleet.OutcomeAbandoned
		return result
	case errors.As(err, &e) && e.Kind == clendpoint.KindSilent:
		result.outcome = clfleet.OutcomeTimedOut
	default:
		g.recordCrash(a)
	}
	g.recordOutcome(a, true)
	return result
}

// recordCrash counts a crash against the request if its endpoint no longer accepts
// connections. If it does, only the connection or the response was lost.
func (g *Gateway) recordCrash(a *attempt) {
	if g.Probe == nil || g.Probe(a.choice.Address) {
		return
	}
	n := g.Crashes.Record(a.fingerprint, time.Now())
	g.Logger.Info("endpoint crashed while running the request", zap.String("request", a.reqInfo.ID),
		zap.String("endpoint", a.choice.Endpoint), zap.Uint64("fingerprint", a.fingerprint), zap.Uint32("crashes", n))
}

// recordOutcome records the outcome of an attempt, from which the version of the
// endpoint is evaluated.
func (g *Gateway) recordOutcome(a *attempt, failed bool) {
	g.Recorder.AttemptSampled(a.service, a.choice.Version, a.route.Name, failed, !a.choice.RecentlyStarted, time.Since(a.sentAt))
}

// recordStart records the first event or the response of an attempt, and counts
// the request as started if no earlier attempt has done so.
func (g *Gateway) recordStart(a *attempt) {
	g.Fleet.RecordFirstEvent(a.choice, time.Since(a.sentAt))
	if !a.startRecorded {
		a.startRecorded = true
		g.Recorder.RequestStarted(accountName(a.account))
		g.instruments.firstEvent.WithLabelValues(string(a.route.Kind)).Observe(time.Since(a.arrived).Seconds())
	}
}

// writeHeader sends the status and headers of the response to the caller.
func (a *attempt) writeHeader() {
	h := a.w.Header()
	for _, f := range a.response.Header {
		h.Add(f.Name, f.Value)
	}
	if h.Get("Content-Type") == "" {
		// A nil value keeps net/http from sniffing the content type.
		h["Content-Type"] = nil
	}
	a.w.WriteHeader(a.response.Status)
}

// recordAnswered logs and counts a request that ended with an endpoint's response.
func (g *Gateway) recordAnswered(a *attempt, events int) {
	g.instruments.requests.WithLabelValues(string(a.route.Kind), strconv.Itoa(a.response.Status)).Inc()
	g.Logger.Info("answered", zap.String("request", a.reqInfo.ID), zap.Int("status", a.response.Status), zap.String("endpoint", a.choice.Endpoint),
		zap.Int("events", events), zap.Duration("after", time.Since(a.arrived)), zap.Int("sends", a.sends+1))
}
