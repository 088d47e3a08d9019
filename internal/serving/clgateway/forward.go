// This file defines the attempts of a request and the retries at other endpoints.

package clgateway

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/chestnutlead/chestnutlead/internal/routing/clfleet"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

type (
	// attempt is one attempt to run a request at an endpoint.
	attempt struct {
		*call
		choice *clfleet.Choice
		// response and respInfo are set once the endpoint has sent the header of
		// its response.
		response *clendpoint.Answer
		respInfo ResponseInfo
		// startedAt is the time at which the attempt began, before connecting.
		startedAt time.Time
		// beganAt is the time of the first event, or of a response that is not a
		// stream, on the clock since boot; it is zero until then.
		beganAt time.Time
		// foundSound is set once the attempt has been recorded as one that does not
		// crash its endpoint.
		foundSound bool
		// resumeAfter is the ID of the last event sent to the caller, if isResume
		// is set: the attempt then resumes a stream that an earlier attempt has
		// begun.
		resumeAfter int64
		isResume    bool
		// sendBefore is the time before which the request must be sent, or zero.
		sendBefore time.Time
		// retryCounted is set when the attempt is given up for another one that the
		// retry budget has counted.
		retryCounted bool
	}

	// attemptResult tells how an attempt ended, and whether the request has ended
	// with it or may be sent to another endpoint.
	attemptResult struct {
		// outcome is how the attempt ended, as it is reported to the fleet.
		outcome clfleet.Outcome
		// done reports whether the request has ended because the attempt has sent
		// the final response. It is also set if writing a body that is not a
		// stream to the caller fails at the first write.
		done bool
		// notRun reports that the request was certainly not run, because the
		// endpoint said so or no byte of the request was sent.
		notRun bool
		// retryCounted reports that the retry budget has counted the next attempt.
		retryCounted bool
		// err is the reason why the attempt did not complete the response, or nil
		// if done is set.
		err error
	}

	// responseProgress tracks, over all attempts of a request, how much of the
	// response has been sent to the caller.
	responseProgress struct {
		// started reports whether the status line and the header have been sent.
		started bool
		// lastEventID is the ID of the last event sent, if hasLastEventID is set.
		lastEventID    int64
		hasLastEventID bool
		// final is set once a part of the response has been sent that another attempt
		// can't continue: a body that is not a stream, or an event without an ID.
		final bool
	}
)

const (
	// maxConnectFailures is the number of failures to connect after which a
	// request is not sent to further endpoints. The failures, each at another
	// endpoint, don't count toward the route's MaxAttempts.
	maxConnectFailures = 4
	// connectTimeout is the maximum time for connecting to an endpoint. It is many
	// times the network latency. TCP retransmits a lost connection request only
	// after a second, so waiting a little longer hardly helps.
	connectTimeout = 400 * time.Millisecond
	// firstByteFraction is the fraction of the time until the deadline for which
	// an endpoint may stay silent, before the first byte of the response or within
	// it, before a request that may be retried, and whose response is not a stream,
	// is sent to another endpoint.
	firstByteFraction = 0.4
	// streamSilenceTimeout is the time without data after which a resumable
	// stream is continued at another endpoint. It is several times the gap
	// between events that callers accept as on time, and shorter than the time
	// that callers wait. Before the first byte, the expected latency of the
	// endpoint is added to it.
	streamSilenceTimeout = 1700 * time.Millisecond
	// maxBufferedBytes is the size up to which a response body is read in full
	// before it is sent to the caller.
	maxBufferedBytes = 1 << 20
	// notRunRetryAfter is the Retry-After of the response to a request that no
	// endpoint has run, unless the fleet states another one.
	notRunRetryAfter = 300 * time.Millisecond

	// outdatedRetryAfter is the Retry-After of the response of a gateway whose copies
	// are outdated. It is the time in which the gateway reads the store.
	outdatedRetryAfter = 250 * time.Millisecond

	// reasonRetryBudget, reasonConfigUnconfirmed and reasonCopiesOutdated are reasons
	// for not sending a request to an endpoint, in addition to those that clfleet
	// defines.
	reasonRetryBudget       clfleet.Reason = "retry_budget"
	reasonConfigUnconfirmed clfleet.Reason = "configuration_unconfirmed"
	reasonCopiesOutdated    clfleet.Reason = "copies_outdated"
)

// forward sends the request to one endpoint after another until an attempt has sent
// the final response to the caller, or no further attempt is possible or allowed. In
// the latter case it calls failRequest to end the request.
func (g *Gateway) forward(ctx context.Context, c *call) {
	var p responseProgress
	var last attemptResult
	g.RetryBudget.RecordRequest(c.service, c.arrived)
	for connectFailures := 0; connectFailures < maxConnectFailures; {
		// The latest of the crashes may be that of the attempt before.
		if reason := g.crashRefusal(c); reason != "" {
			g.failRequest(c, &p, last, &clfleet.Refusal{Reason: reason, RetryAfter: crashRetryAfter})
			return
		}
		choice, refusal, req := g.pickEndpoint(c)
		if choice == nil {
			g.failRequest(c, &p, last, refusal)
			return
		}
		if c.sends > 0 && !last.retryCounted && !g.RetryBudget.AllowRetry(c.service, time.Now()) {
			g.failRequest(c, &p, last, &clfleet.Refusal{Reason: reasonRetryBudget, RetryAfter: notRunRetryAfter})
			return
		}
		// The API key may have been revoked since the request was admitted.
		if errResp := g.staleConfigOr(nil); errResp != nil && c.account != nil {
			g.failRequest(c, &p, last, &clfleet.Refusal{Reason: reasonConfigUnconfirmed, RetryAfter: errResp.retryAfter})
			return
		}
		sendBefore, usable := g.sendBefore()
		if !usable {
			g.failRequest(c, &p, last, &clfleet.Refusal{Reason: reasonCopiesOutdated, RetryAfter: outdatedRetryAfter})
			return
		}
		c.shed = false
		last = g.runAttempt(ctx, c, choice, req, &p, sendBefore)
		if last.done {
			return
		}
		c.mayHaveRun = c.mayHaveRun || !last.notRun
		c.tried = append(c.tried, choice.Endpoint)
		if last.outcome == clfleet.OutcomeUnreachable {
			connectFailures++
			continue
		}
		if p.final || !g.mayRetry(ctx, c, last) {
			break
		}
	}
	g.failRequest(c, &p, last, nil)
}

// sendBefore returns the time before which an attempt must be sent, or zero if there
// is none, and whether the gateway's copies are recent enough to send it at all.
func (g *Gateway) sendBefore() (at time.Time, usable bool) {
	if g.CopiesUsableFor == nil {
		return time.Time{}, true
	}
	left, limited := g.CopiesUsableFor()
	if !limited {
		return time.Time{}, true
	}
	return time.Now().Add(left), left > 0
}

// mayRetry reports whether the request may be sent to another endpoint after an
// attempt with the given result that did not fail to connect.
func (g *Gateway) mayRetry(ctx context.Context, c *call, result attemptResult) bool {
	if ctx.Err() != nil {
		return false
	}
	if result.notRun {
		// This attempt did not run the request, so a second send is allowed even if
		// MaxAttempts is 1. The number of sends stays limited, because endpoints
		// refuse requests when they are full, and each send adds to the load of
		// the other endpoints.
		return c.sends < max(2, c.route.MaxAttempts)
	}
	return c.route.SafeToRetry() && c.sends < c.route.MaxAttempts
}

// failRequest ends a request for which no attempt has sent a final response. It cuts
// off a response that has begun, relays a failure that was held back, or sends an
// error of the gateway itself. last is the result of the last attempt, if there was
// one. refusal says why no further attempt was made, or is nil if the result of the
// last attempt or the number of failures to connect did not permit any.
func (g *Gateway) failRequest(c *call, p *responseProgress, last attemptResult, refusal *clfleet.Refusal) {
	switch {
	case p.started:
		g.Logger.Info("stream cut", zap.String("request", c.reqInfo.ID), zap.Int("sends", c.sends), zap.Int64("last_event", p.lastEventID),
			zap.Bool("caller_gone", callerGone(c.r)), zap.Duration("after", time.Since(c.arrived)), zap.NamedError("last", last.err))
		g.collectors.requests.WithLabelValues(string(c.route.Kind), "cut").Inc()
		// Closes the connection without terminating the body, so that the
		// response can't be taken for a complete one.
		panic(http.ErrAbortHandler)
	case c.heldFailure != nil:
		g.relayFailure(c.heldFailure)
	case !c.mayHaveRun:
		// Accounts are charged only for requests that may have run.
		if c.account != nil {
			g.Quotas.Refund(c.account.Name, c.cost)
		}
		earliestRetry := g.recordShareRefusal(c, refusal)
		errResp := &errorResponse{http.StatusServiceUnavailable, "not_run", notRunRetryAfter}
		if refusal != nil {
			errResp.reason, errResp.retryAfter = string(refusal.Reason), refusal.RetryAfter
			g.Logger.Debug("no further attempt", zap.String("request", c.reqInfo.ID), zap.Any("excluded", refusal.Excluded))
		}
		errResp.retryAfter = max(errResp.retryAfter, earliestRetry)
		g.sendError(c, errResp)
	case time.Now().Before(c.deadline):
		g.recordNoAnswer(c)
		g.sendError(c, &errorResponse{http.StatusBadGateway, "endpoint_failed", 0})
	default:
		g.recordNoAnswer(c)
		g.sendError(c, &errorResponse{http.StatusGatewayTimeout, "timeout", 0})
	}
}

// runAttempt sends the request to the chosen endpoint, relays the response to the
// caller, and records how the attempt ended. req is the request for which the fleet
// has made the choice. If sendBefore is not zero, nothing is sent from then on.
func (g *Gateway) runAttempt(ctx context.Context, c *call, choice *clfleet.Choice, req clfleet.Request, p *responseProgress, sendBefore time.Time) attemptResult {
	a := &attempt{call: c, choice: choice, startedAt: time.Now(), isResume: p.hasLastEventID, resumeAfter: p.lastEventID, sendBefore: sendBefore}
	g.Fleet.Begin(choice, req, a.startedAt)
	g.Recorder.AttemptStarted(c.service, choice.Version, c.route.Name)
	g.Logger.Info("sent", zap.String("request", c.reqInfo.ID), zap.String("endpoint", choice.Endpoint), zap.String("version", choice.Version),
		zap.String("data_centre", choice.DataCentre), zap.Int("candidates", choice.Candidates), zap.Int("running", choice.Running),
		zap.Float64("unread_tokens", choice.UncachedTokens), zap.Int("home", choice.AffinityRank), zap.Duration("expected", choice.ExpectedLatency), zap.Float64("pace", choice.Pace),
		zap.Duration("prompt_work", choice.PromptWork), zap.Duration("work_ahead", choice.WorkAhead), zap.Duration("stream_time", choice.StreamTime), zap.Duration("harm", choice.Harm),
		zap.Int("send", c.sends+1),
		zap.Duration("left", time.Until(c.deadline)), zap.Bool("resumes", a.isResume))
	result := g.send(ctx, a, p)
	g.Fleet.Finish(choice, result.outcome, time.Now())
	if predicted, observed := choice.Work(); observed > 0 {
		g.collectors.work.WithLabelValues(c.route.Name, "predicted").Add(predicted.Seconds())
		g.collectors.work.WithLabelValues(c.route.Name, "observed").Add(observed.Seconds())
	}
	g.collectors.attempts.WithLabelValues(c.service, outcomeLabels[result.outcome]).Inc()
	if result.outcome != clfleet.OutcomeUnreachable {
		c.sends++
	}
	if !result.done || result.err != nil {
		g.Logger.Info("attempt failed", append(a.responseFields(), zap.String("request", c.reqInfo.ID), zap.String("endpoint", choice.Endpoint),
			zap.String("outcome", outcomeLabels[result.outcome]), zap.Bool("not_run", result.notRun), zap.Bool("caller_gone", callerGone(c.r)),
			zap.Duration("after", time.Since(a.startedAt)), zap.Error(result.err))...)
	}
	return result
}

// outcomeLabels maps outcomes to their names in metrics and logs.
var outcomeLabels = map[clfleet.Outcome]string{
	clfleet.OutcomeAnswered: "answered", clfleet.OutcomeFailed: "failed", clfleet.OutcomeConnectionBroken: "broken", clfleet.OutcomeTimedOut: "silent",
	clfleet.OutcomeUnreachable: "unreachable", clfleet.OutcomeUnconfirmed: "unconfirmed", clfleet.OutcomeShed: "shed", clfleet.OutcomeAbandoned: "abandoned",
}

// send sends the request to the endpoint of the attempt and relays the response,
// unless its headers show that the request was not run, that the response belongs to
// another request, or that it is not signed by an endpoint. Callers take the
// status alone as a promise that the request was not run, so a response with such a
// status is not relayed either: only the statement shows it.
func (g *Gateway) send(ctx context.Context, a *attempt, p *responseProgress) attemptResult {
	timeLeft := time.Until(a.deadline)
	info := ForwardInfo{
		Endpoint: a.choice.Endpoint, Account: accountName(a.account), TimeLeft: timeLeft, Priority: a.route.RequestPriority(a.account),
		Resume: a.isResume, LastEventID: a.resumeAfter,
	}
	resp, err := g.Client.Do(ctx, clendpoint.Call{
		Endpoint: a.choice.Address, Method: a.r.Method, Path: a.r.RequestURI,
		Header: g.Headers.ForwardHeaders(a.r.Header, info), Body: a.body, Timeouts: g.timeouts(a, timeLeft), SendBefore: a.sendBefore,
		KeepWaiting: func() bool { return !g.giveUpFor(a) }, RequestID: a.reqInfo.ID,
		// Without an ID, only a connection that no other request has used tells
		// whose response arrives.
		NewConnection: a.reqInfo.ID == "",
	})
	if err != nil {
		return g.failAttempt(ctx, a, err)
	}
	a.response, a.respInfo = resp, g.Headers.ParseResponse(resp)
	g.countResponse(a)
	if a.respInfo.ID == a.reqInfo.ID {
		g.recordStatements(a)
	}
	switch {
	case a.respInfo.ID != a.reqInfo.ID:
		return g.discardResponse(a, clfleet.OutcomeConnectionBroken, errors.Errorf("response is for request %q", a.respInfo.ID))
	case a.respInfo.NotRun && resp.Status < http.StatusBadRequest:
		return g.discardResponse(a, clfleet.OutcomeConnectionBroken, errors.Errorf("response with status %d contradicts its statement that the request was not run", resp.Status))
	case a.respInfo.NotRun:
		g.discardBody(a)
		result := g.discardResponse(a, clfleet.OutcomeShed, errors.Errorf("endpoint responded with status %d without running the request", resp.Status))
		result.notRun, a.statedNotRun = true, true
		a.shed = !a.respInfo.Leaving && a.respInfo.QuietFor == 0
		return result
	case promisesNotRun(resp.Status):
		g.discardBody(a)
		return g.discardResponse(a, clfleet.OutcomeFailed, errors.Errorf("endpoint responded with status %d without stating that it did not run the request", resp.Status))
	case p.started && (a.route.Kind != clcatalog.Streaming || resp.Status >= 300):
		// The stream has already begun, so that this response can't be relayed.
		return g.discardResponse(a, clfleet.OutcomeFailed, errors.Errorf("endpoint responded to a resumed stream with status %d", resp.Status))
	case !a.respInfo.Signed:
		return g.discardResponse(a, clfleet.OutcomeConnectionBroken, errors.Errorf("response with status %d has no signature", resp.Status))
	}
	if a.route.Kind == clcatalog.Streaming && resp.Status < 300 {
		return g.relayStream(ctx, a, p)
	}
	return g.relayResponse(ctx, a, p)
}

// timeouts returns the inactivity limits of an attempt. If the request may be retried
// after it was sent, the endpoint may stay silent for only a part of timeLeft, the
// time until the deadline, and otherwise for all of it. The time for connecting is
// limited in both cases, since a request that was not sent can always be sent to
// another endpoint.
func (g *Gateway) timeouts(a *attempt, timeLeft time.Duration) clendpoint.Timeouts {
	t := clendpoint.Timeouts{Connect: min(timeLeft, connectTimeout), FirstByte: timeLeft, BetweenReads: timeLeft}
	if a.route.SafeToRetry() && a.sends+1 < a.route.MaxAttempts {
		if a.route.Kind == clcatalog.Streaming {
			t.FirstByte, t.BetweenReads = min(timeLeft, streamSilenceTimeout+a.choice.ExpectedLatency), min(timeLeft, streamSilenceTimeout)
		} else {
			t.FirstByte = time.Duration(float64(timeLeft) * firstByteFraction)
			t.BetweenReads = t.FirstByte
		}
	}
	return t
}

// giveUpFor reports whether an attempt whose endpoint has been silent, or has made no
// progress, for as long as an attempt may, is to be given up for another one. It is not
// if the request can't be sent to another endpoint: the silent one may only be slow.
// If it is, the retry budget has counted the next attempt.
func (g *Gateway) giveUpFor(a *attempt) bool {
	if a.retryCounted {
		return true
	}
	if !a.mayReplaceFailure() {
		return false
	}
	others := *a.call
	others.tried = append(slices.Clone(a.tried), a.choice.Endpoint)
	if choice, _, _ := g.pickEndpoint(&others); choice == nil {
		return false
	}
	a.retryCounted = g.RetryBudget.AllowRetry(a.service, time.Now())
	return a.retryCounted
}

// discardResponse ends an attempt whose response can't be used. It records a failure
// unless the outcome is OutcomeShed: an endpoint that does not run a request has not
// failed.
func (g *Gateway) discardResponse(a *attempt, outcome clfleet.Outcome, err error) attemptResult {
	// An error of Close doesn't matter, because the response is not used.
	_ = a.response.Body.Close()
	if outcome != clfleet.OutcomeShed {
		g.recordSample(a, true)
	}
	return attemptResult{outcome: outcome, err: err}
}

// discardBody reads the rest of a response to the request, so that the client can use its
// connection again.
func (g *Gateway) discardBody(a *attempt) {
	if err := clendpoint.Discard(a.response.Body, clendpoint.MaxDiscardedBytes, clendpoint.DiscardTimeout); err != nil {
		g.Logger.Debug("reading the body of a refusal failed", zap.String("request", a.reqInfo.ID), zap.Error(err))
	}
}

// failAttempt returns the result of an attempt that ended with err before or during
// the response. It records a failure of the endpoint, except if no byte of the request
// was sent, if the caller is gone, or if the deadline has passed.
func (g *Gateway) failAttempt(ctx context.Context, a *attempt, err error) attemptResult {
	var e *clendpoint.Error
	result := attemptResult{outcome: clfleet.OutcomeConnectionBroken, err: err, retryCounted: a.retryCounted}
	switch {
	case errors.As(err, &e) && e.Kind == clendpoint.KindNotSent:
		result.outcome, result.notRun = clfleet.OutcomeUnreachable, true
		if ctx.Err() != nil {
			result.outcome = clfleet.OutcomeAbandoned
		}
		return result
	case ctx.Err() != nil, errors.Is(err, errNotAsked):
		result.outcome = clfleet.OutcomeAbandoned
		return result
	case errors.Is(err, errUnconfirmed):
		result.outcome = clfleet.OutcomeUnconfirmed
	case errors.As(err, &e) && e.Kind == clendpoint.KindSilent:
		result.outcome = clfleet.OutcomeTimedOut
	default:
		g.recordCrash(ctx, a)
	}
	g.recordSample(a, true)
	return result
}

// recordSample records for the version of the endpoint whether the attempt failed,
// and its latency so far.
func (g *Gateway) recordSample(a *attempt, failed bool) {
	g.Recorder.AttemptSampled(a.service, a.choice.Version, a.route.Name, failed, !a.choice.RecentlyStarted, time.Since(a.startedAt))
}

// recordStart records the time to the first event or the response of an attempt, and
// counts the request as started unless it was counted at an earlier attempt.
func (g *Gateway) recordStart(a *attempt) {
	if a.beganAt.IsZero() {
		a.beganAt = clclock.Now()
	}
	g.Fleet.RecordFirstEvent(a.choice, time.Since(a.startedAt))
	if !a.startRecorded {
		a.startRecorded = true
		g.Recorder.RequestStarted(accountName(a.account))
		g.countCost(a.call, costServed)
		g.collectors.firstEvent.WithLabelValues(string(a.route.Kind)).Observe(time.Since(a.arrived).Seconds())
	}
}

// writeHeader sends the status and headers of the endpoint's response to the caller.
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

// recordCompletion logs and counts a request that ended with an endpoint's response.
// events is the number of events that the attempt has relayed; 0 if the response is
// not a stream.
func (g *Gateway) recordCompletion(a *attempt, events int) {
	g.collectors.requests.WithLabelValues(string(a.route.Kind), strconv.Itoa(a.response.Status)).Inc()
	g.recordPromise(a.response.Status, basisRelayed)
	fields := []zap.Field{
		zap.String("request", a.reqInfo.ID), zap.Int("status", a.response.Status), zap.String("endpoint", a.choice.Endpoint),
		zap.Int("events", events), zap.Duration("after", time.Since(a.arrived)), zap.Int("sends", a.sends+1), zap.Uint64("connection", a.response.Conn.Number),
	}
	if a.response.Status >= http.StatusBadRequest {
		fields = append(fields, a.responseFields()...)
	}
	g.Logger.Info("answered", fields...)
}
