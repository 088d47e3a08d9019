// This file defines how a request is sent to endpoints, one after the other.

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
	// attempt is one send of a request to one endpoint.
	attempt struct {
		*call
		choice *clfleet.Choice
		answer *clendpoint.Answer
		facts  ResponseInfo
		sent   time.Time
		// resume is the last event that the caller has got, if resumes is set.
		resume  int64
		resumes bool
	}

	// verdict is what follows from the end of an attempt.
	verdict struct {
		outcome clfleet.Outcome
		// done says that the caller has got a final answer.
		done bool
		// notRun says that the endpoint has not run the request and will not.
		notRun bool
		err    error
	}

	// progress is how far the answer to the caller has come.
	progress struct {
		// started says that the status has been sent.
		started bool
		// last is the ID of the last event sent, if any was.
		last    int64
		hasLast bool
	}
)

const (
	// unsentTries bounds attempts that never reached an endpoint; each is at another one.
	unsentTries = 4
	// connectTimeout is many times the way to an endpoint; a lost packet is
	// sent again after a second, so that waiting longer hardly helps.
	connectTimeout = 400 * time.Millisecond
	// firstShare is the part of the time left after which a repeatable request
	// without an answer is sent elsewhere, if it may be.
	firstShare = 0.4
	// streamSilence is the pause after which a resumable stream goes on
	// elsewhere: several times what callers accept as on time, and less than
	// they wait.
	streamSilence = 1700 * time.Millisecond
	// answerBytes bounds an answer that is read as a whole before it is passed on.
	answerBytes = 1 << 20
	// shedBytes bounds what is read of the answer of an endpoint that did not
	// run the request.
	shedBytes = 4 << 10
	// cutRetryAfter is when to come back after an attempt that did not run.
	cutRetryAfter = 300 * time.Millisecond

	// reasonBudget and reasonUnconfirmed stand beside the fleet's reasons for
	// not sending a request.
	reasonBudget      clfleet.Reason = "retry_budget"
	reasonUnconfirmed clfleet.Reason = "configuration_unconfirmed"
)

// forward sends the request until an endpoint has answered, and answers the caller.
func (g *Gateway) forward(ctx context.Context, c *call) {
	var p progress
	var last verdict
	g.RetryBudget.RecordRequest(c.service, c.arrived)
	for unsent := 0; unsent < unsentTries; {
		choice, refused, req := g.pick(c)
		if choice == nil {
			g.giveUp(c, &p, last, refused)
			return
		}
		if c.sends > 0 && !g.RetryBudget.AllowRetry(c.service, time.Now()) {
			g.giveUp(c, &p, last, &clfleet.Refusal{Reason: reasonBudget, RetryAfter: cutRetryAfter})
			return
		}
		if refused := g.unlessStale(nil); refused != nil && c.account != nil {
			g.giveUp(c, &p, last, &clfleet.Refusal{Reason: reasonUnconfirmed, RetryAfter: refused.retryAfter})
			return
		}
		last = g.attempt(ctx, c, choice, req, &p)
		if last.done {
			return
		}
		c.mayHaveRun = c.mayHaveRun || !last.notRun
		c.tried = append(c.tried, choice.Endpoint)
		if last.outcome == clfleet.OutcomeUnreachable {
			unsent++
			continue
		}
		if !g.mayRepeat(ctx, c, last) {
			break
		}
	}
	g.giveUp(c, &p, last, nil)
}

// mayRepeat reports whether the request may be sent to one more endpoint.
func (g *Gateway) mayRepeat(ctx context.Context, c *call, v verdict) bool {
	if ctx.Err() != nil {
		return false
	}
	if v.notRun {
		// An endpoint that is full has not used up the attempt, but each
		// further send is a load on the others.
		return c.sends < max(2, c.route.MaxAttempts)
	}
	return c.route.SafeToRetry() && c.sends < c.route.MaxAttempts
}

// giveUp ends a request that no endpoint has answered.
func (g *Gateway) giveUp(c *call, p *progress, last verdict, refused *clfleet.Refusal) {
	switch {
	case p.started:
		g.Logger.Info("stream cut", zap.String("request", c.says.ID), zap.Int("sends", c.sends), zap.Int64("last_event", p.last),
			zap.Bool("caller_gone", gone(c.r)), zap.Duration("after", time.Since(c.arrived)), zap.NamedError("last", last.err))
		g.m.requests.WithLabelValues(string(c.route.Kind), "cut").Inc()
		// Ends the connection without the end of the body, so that the answer
		// does not look complete.
		panic(http.ErrAbortHandler)
	case c.failure != nil:
		g.passFailure(c.failure)
	case !c.mayHaveRun:
		if c.account != nil {
			g.Quotas.Refund(c.account.Name, c.cost)
		}
		out := &refusal{http.StatusServiceUnavailable, "not_run", cutRetryAfter}
		if refused != nil {
			out.reason, out.retryAfter = string(refused.Reason), refused.RetryAfter
			g.Logger.Debug("no endpoint", zap.String("request", c.says.ID), zap.Any("excluded", refused.Excluded))
		}
		g.refuse(c, out)
	case time.Now().Before(c.end):
		g.refuse(c, &refusal{http.StatusBadGateway, "endpoint_failed", 0})
	default:
		g.refuse(c, &refusal{http.StatusGatewayTimeout, "timeout", 0})
	}
}

// attempt sends the request to one endpoint and passes its answer on.
func (g *Gateway) attempt(ctx context.Context, c *call, choice *clfleet.Choice, req clfleet.Request, p *progress) verdict {
	a := &attempt{call: c, choice: choice, sent: time.Now(), resumes: p.hasLast, resume: p.last}
	g.Fleet.Begin(choice, req, a.sent)
	g.Recorder.AttemptStarted(c.service, choice.Version, c.route.Name)
	g.Logger.Info("sent", zap.String("request", c.says.ID), zap.String("endpoint", choice.Endpoint), zap.String("version", choice.Version),
		zap.String("data_centre", choice.DataCentre), zap.Int("candidates", choice.Candidates), zap.Int("running", choice.Running),
		zap.Float64("unread_tokens", choice.UncachedTokens), zap.Int("home", choice.AffinityRank), zap.Duration("expected", choice.ExpectedLatency), zap.Int("send", c.sends+1),
		zap.Duration("left", time.Until(c.end)), zap.Bool("resumes", a.resumes))
	v := g.send(ctx, a, p)
	g.Fleet.Finish(choice, v.outcome, time.Now())
	g.m.attempts.WithLabelValues(c.service, outcomeNames[v.outcome]).Inc()
	if v.outcome != clfleet.OutcomeUnreachable {
		c.sends++
	}
	if !v.done || v.err != nil {
		g.Logger.Info("attempt failed", zap.String("request", c.says.ID), zap.String("endpoint", choice.Endpoint),
			zap.String("outcome", outcomeNames[v.outcome]), zap.Bool("not_run", v.notRun), zap.Bool("caller_gone", gone(c.r)),
			zap.Duration("after", time.Since(a.sent)), zap.Error(v.err))
	}
	return v
}

var outcomeNames = map[clfleet.Outcome]string{
	clfleet.OutcomeAnswered: "answered", clfleet.OutcomeFailed: "failed", clfleet.OutcomeConnectionBroken: "broken", clfleet.OutcomeTimedOut: "silent",
	clfleet.OutcomeUnreachable: "unreachable", clfleet.OutcomeShed: "shed", clfleet.OutcomeAbandoned: "abandoned",
}

func (g *Gateway) send(ctx context.Context, a *attempt, p *progress) verdict {
	left := time.Until(a.end)
	stamp := ForwardInfo{
		Endpoint: a.choice.Endpoint, Account: accountName(a.account), TimeLeft: left, Priority: a.route.RequestPriority(a.account),
		Resume: a.resumes, LastEventID: a.resume,
	}
	answer, err := g.Client.Do(ctx, clendpoint.Call{
		Endpoint: a.choice.Address, Method: a.r.Method, Path: a.r.RequestURI,
		Header: g.Headers.ForwardHeaders(a.r.Header, stamp), Body: a.body, Timeouts: g.timeouts(a, left),
	})
	if err != nil {
		return g.failed(ctx, a, err)
	}
	a.answer, a.facts = answer, g.Headers.ParseResponse(answer)
	switch {
	case a.facts.ID != "" && a.facts.ID != a.says.ID:
		return g.abandon(a, clfleet.OutcomeConnectionBroken, errors.Errorf("answer to request %s", a.facts.ID))
	case a.facts.NotRun:
		// A short answer that is read whole leaves the connection for others.
		if _, err := io.Copy(io.Discard, io.LimitReader(answer.Body, shedBytes)); err != nil {
			g.Logger.Debug("answer of a full endpoint broke off", zap.String("request", a.says.ID), zap.Error(err))
		}
		v := g.abandon(a, clfleet.OutcomeShed, errors.Errorf("endpoint answered %d without running the request", answer.Status))
		v.notRun = true
		return v
	case answer.Status < 300 && !a.facts.Signed:
		return g.abandon(a, clfleet.OutcomeConnectionBroken, errors.Errorf("answer %d without a signature", answer.Status))
	}
	if a.route.Kind == clcatalog.Streaming && answer.Status < 300 {
		return g.passStream(ctx, a, p)
	}
	return g.passAnswer(ctx, a, p)
}

// timeouts limit how long an endpoint may be silent. A request that cannot be
// repeated waits as long as its caller does.
func (g *Gateway) timeouts(c *attempt, left time.Duration) clendpoint.Timeouts {
	t := clendpoint.Timeouts{Connect: min(left, connectTimeout), FirstByte: left, BetweenReads: left}
	if c.route.SafeToRetry() && c.sends+1 < c.route.MaxAttempts {
		if c.route.Kind == clcatalog.Streaming {
			t.FirstByte, t.BetweenReads = min(left, streamSilence+c.choice.ExpectedLatency), min(left, streamSilence)
		} else {
			t.FirstByte = time.Duration(float64(left) * firstShare)
			t.BetweenReads = t.FirstByte
		}
	}
	return t
}

// abandon ends an attempt whose answer is of no use.
func (g *Gateway) abandon(a *attempt, o clfleet.Outcome, err error) verdict {
	// Close returns no error that matters: the connection is given up.
	_ = a.answer.Body.Close()
	if o != clfleet.OutcomeShed {
		g.count(a, true)
	}
	return verdict{outcome: o, err: err}
}

// failed classifies an attempt that broke before or within its answer.
func (g *Gateway) failed(ctx context.Context, a *attempt, err error) verdict {
	var e *clendpoint.Error
	v := verdict{outcome: clfleet.OutcomeConnectionBroken, err: err}
	switch {
	case errors.As(err, &e) && e.Kind == clendpoint.KindNotSent:
		v.outcome, v.notRun = clfleet.OutcomeUnreachable, true
		if ctx.Err() != nil {
			v.outcome = clfleet.OutcomeAbandoned
		}
		return v
	case ctx.Err() != nil:
		v.outcome = clfleet.OutcomeAbandoned
		return v
	case errors.As(err, &e) && e.Kind == clendpoint.KindSilent:
		v.outcome = clfleet.OutcomeTimedOut
	default:
		g.suspect(a)
	}
	g.count(a, true)
	return v
}

// suspect counts a request whose connection broke if its endpoint no longer
// accepts any, which tells a crash from a lost answer.
func (g *Gateway) suspect(a *attempt) {
	if g.Probe == nil || g.Probe(a.choice.Address) {
		return
	}
	n := g.Crashes.Record(a.fingerprint, time.Now())
	g.Logger.Info("endpoint ended while it ran the request", zap.String("request", a.says.ID),
		zap.String("endpoint", a.choice.Endpoint), zap.Uint64("fingerprint", a.fingerprint), zap.Uint32("crashes", n))
}

// count records the outcome for the evaluation of the endpoint's version.
func (g *Gateway) count(a *attempt, failed bool) {
	g.Recorder.AttemptSampled(a.service, a.choice.Version, a.route.Name, failed, !a.choice.RecentlyStarted, time.Since(a.sent))
}

// began counts the request as running, once.
func (g *Gateway) began(a *attempt) {
	g.Fleet.RecordFirstEvent(a.choice, time.Since(a.sent))
	if !a.began {
		a.began = true
		g.Recorder.RequestStarted(accountName(a.account))
		g.m.firstEvent.WithLabelValues(string(a.route.Kind)).Observe(time.Since(a.arrived).Seconds())
	}
}

// copyHeader sends the endpoint's status and headers to the caller.
func (a *attempt) copyHeader() {
	h := a.w.Header()
	for _, f := range a.answer.Header {
		h.Add(f.Name, f.Value)
	}
	if h.Get("Content-Type") == "" {
		// Keeps the server from guessing one.
		h["Content-Type"] = nil
	}
	a.w.WriteHeader(a.answer.Status)
}

// finished logs the end of a request that an endpoint has answered.
func (g *Gateway) finished(a *attempt, events int) {
	g.m.requests.WithLabelValues(string(a.route.Kind), strconv.Itoa(a.answer.Status)).Inc()
	g.Logger.Info("answered", zap.String("request", a.says.ID), zap.Int("status", a.answer.Status), zap.String("endpoint", a.choice.Endpoint),
		zap.Int("events", events), zap.Duration("after", time.Since(a.arrived)), zap.Int("sends", a.sends+1))
}
