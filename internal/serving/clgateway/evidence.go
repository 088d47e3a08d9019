// This file defines what is known about whether a request was run, as it is logged and
// counted.

package clgateway

import (
	"net/http"
	"strconv"
	"time"

	"go.uber.org/zap"
)

// Bases of a response whose status promises that the request was not run, as values of
// the label "basis" of collectors.promises and of the log field "basis".
const (
	// basisNotSent says that no endpoint can have received the request.
	basisNotSent = "not_sent"
	// basisStated says that every endpoint that received the request has stated that
	// it did not run it.
	basisStated = "stated"
	// basisRelayed says that an endpoint's response was relayed as it came, which must
	// not happen: its status is not a statement.
	basisRelayed = "relayed"
)

// promisesNotRun reports whether callers take the status as a promise that the request
// was not run and never will be.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// basis returns on what the promise of a response of the gateway itself rests, or ""
// if its status is none.
func (c *call) basis(status int) string {
	switch {
	case !promisesNotRun(status):
		return ""
	case c.statedNotRun:
		return basisStated
	}
	return basisNotSent
}

// recordPromise counts a response to the caller if its status is a promise.
func (g *Gateway) recordPromise(status int, basis string) {
	if promisesNotRun(status) {
		g.collectors.promises.WithLabelValues(strconv.Itoa(status), basis).Inc()
	}
}

// recordStatements records what the endpoint says of itself in its response. A response
// with 421 is from another endpoint than the chosen one.
func (g *Gateway) recordStatements(a *attempt) {
	if a.response.Status == http.StatusMisdirectedRequest {
		return
	}
	now := time.Now()
	if a.respInfo.Load != nil {
		g.Fleet.RecordStatedLoad(a.choice, *a.respInfo.Load, now)
	}
	if a.respInfo.Leaving && g.Fleet.MarkLeaving(a.choice, now) {
		g.Logger.Info("endpoint says that it leaves", zap.String("request", a.reqInfo.ID), zap.String("endpoint", a.choice.Endpoint))
		g.collectors.statements.WithLabelValues(a.service, "leaving").Inc()
		g.Client.CloseIdle(a.choice.Address)
	}
	if a.respInfo.QuietFor > 0 {
		until := g.Fleet.MarkQuiet(a.choice, a.respInfo.QuietFor, now)
		g.Logger.Info("endpoint asks for quiet", zap.String("request", a.reqInfo.ID), zap.String("endpoint", a.choice.Endpoint),
			zap.Duration("asked_for", a.respInfo.QuietFor), zap.Duration("quiet_for", until.Sub(now)))
		g.collectors.statements.WithLabelValues(a.service, "quiet").Inc()
	}
}

// namedRequest returns which request the header of the endpoint's response names.
func (a *attempt) namedRequest() string {
	switch a.respInfo.ID {
	case "":
		return "none"
	case a.reqInfo.ID:
		return "own"
	}
	return "other"
}

// countResponse counts the header of a response by what it rests on.
func (g *Gateway) countResponse(a *attempt) {
	use := "first"
	switch {
	case a.response.Conn.SameID:
		use = "had_id"
	case a.response.Conn.Requests > 0:
		use = "kept"
	}
	g.collectors.responses.WithLabelValues(a.namedRequest(), strconv.FormatBool(a.respInfo.NotRun), use).Inc()
}

// responseFields returns the log fields that tell what the header of the endpoint's
// response proves, or nil if there is none.
func (a *attempt) responseFields() []zap.Field {
	if a.response == nil {
		return nil
	}
	return []zap.Field{
		zap.Int("response_status", a.response.Status), zap.String("response_request", a.namedRequest()), zap.Bool("signed", a.respInfo.Signed),
		zap.Bool("states_not_run", a.respInfo.NotRun), zap.Bool("connection_reused", a.response.Conn.Requests > 0),
		zap.Uint64("connection", a.response.Conn.Number), zap.Int("connection_requests", a.response.Conn.Requests),
		zap.Bool("connection_had_id", a.response.Conn.SameID),
	}
}
