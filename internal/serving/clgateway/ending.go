// This file decides whether a response that ended with its connection is whole.

package clgateway

import (
	"context"
	"time"

	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/internal/routing/clfleet"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// answerMargin is the part of a request's time that remains for its answer.
const answerMargin = 10 * time.Millisecond

var (
	errOtherStart = errors.New("another start of the endpoint answers at its address")
	errOtherID    = errors.New("another endpoint answers at the address")
	errEntry      = errors.New("endpoint's entry has changed since the request was sent")
	errUnnamed    = errors.New("endpoint says neither its ID nor its start")
	// errUnconfirmed means that the endpoint did not say in time that it lives.
	errUnconfirmed = errors.New("endpoint does not say in time which start of it lives")
)

// checkEnd returns an error if the body of a response that has just ended is not known
// to be whole. A body that ended with its connection is whole only if the process that
// sent it still lives: the connections of a process that crashes end in the same way. A
// later start of the endpoint may already accept connections at the same address.
//
// The endpoint has until the request's deadline to show that it lives, or less if another
// endpoint could still answer. A body whose end it does not confirm by then is not passed
// on as complete: the caller gets a failure, which promises nothing.
func (g *Gateway) checkEnd(ctx context.Context, a *attempt) error {
	if !a.response.UntilClose {
		return nil
	}
	s := g.Catalog().Service(a.service)
	if g.Identify == nil || s == nil || s.HealthPath == "" {
		if g.Probe == nil {
			return nil
		}
		accepts, err := g.accepts(ctx, a)
		if err == nil && !accepts {
			err = errors.New("endpoint ended with a body that has no length")
		}
		if err != nil {
			return &clendpoint.Error{Kind: clendpoint.KindBroken, Err: err}
		}
		return nil
	}
	askedAt := time.Now()
	said, err := g.identify(ctx, a, g.confirmBefore(a, askedAt))
	if err == nil {
		err = judgeIdentity(a.choice, said, g.Fleet.EntryUnchanged(a.choice))
	}
	result := "whole"
	switch {
	case errors.Is(err, errOtherStart), errors.Is(err, errOtherID):
		result = "other_start"
	case errors.Is(err, errNotAsked):
		result = "not_asked"
	case errors.Is(err, context.DeadlineExceeded):
		// A crashed endpoint refuses connections at once.
		result, err = "timed_out", errUnconfirmed
	case err != nil:
		result = "unknown"
	}
	g.collectors.ends.WithLabelValues(a.service, result).Inc()
	if err == nil {
		return nil
	}
	g.Logger.Info("response without a length is not known to be whole", zap.String("request", a.reqInfo.ID), zap.String("endpoint", a.choice.Endpoint),
		zap.Int64("born", a.choice.Born), zap.Int64("said_born", said.Born), zap.String("said_endpoint", said.Endpoint),
		zap.Duration("asked_for", time.Since(askedAt)), zap.Duration("left", time.Until(a.deadline)), zap.Error(err))
	return &clendpoint.Error{Kind: clendpoint.KindBroken, Err: errors.Wrap(err, "body without a length is not known to be whole")}
}

// confirmBefore returns the time until which an endpoint that is asked now may confirm the
// end of its response.
func (g *Gateway) confirmBefore(a *attempt, now time.Time) time.Time {
	left := a.deadline.Add(-answerMargin).Sub(now)
	if a.mayReplaceFailure() {
		left = time.Duration(float64(left) * firstByteFraction)
	}
	return now.Add(left)
}

// judgeIdentity returns an error unless the process that says said of itself is known to
// be the start of the endpoint to which the choice refers. entryUnchanged reports whether
// the endpoint's entry is still the one of the choice; it counts only if the process or
// the entry doesn't say the start.
func judgeIdentity(c *clfleet.Choice, said Identity, entryUnchanged bool) error {
	switch {
	case said.Endpoint != "" && said.Endpoint != c.Endpoint:
		return errOtherID
	case said.Born != 0 && c.Born != 0 && said.Born != c.Born:
		return errOtherStart
	case said.Born != 0 && c.Born != 0:
		return nil
	case said.Endpoint == "":
		return errUnnamed
	case !entryUnchanged:
		return errEntry
	}
	return nil
}
