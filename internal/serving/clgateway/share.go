// This file applies the accounts' shares of services in shortage.

package clgateway

import (
	"net/http"
	"slices"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/limits/clshare"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/chestnutlead/chestnutlead/internal/routing/clfleet"
	"go.uber.org/zap"
)

// Values of the label "outcome" of collectors.costs.
const (
	costOffered = "offered"
	costServed  = "served"
	costRefused = "refused"
)

// maxShareCost limits the cost of one request, in tokens, since callers may state any
// number: the largest prompt has 54,600 tokens, and the rest is for the output.
const maxShareCost = 65_536

// shortageReasons are the reasons for refusals that mean that no endpoint could begin
// the request in time, although there are endpoints for it.
var shortageReasons = []clfleet.Reason{clfleet.ReasonNoTimeLeft, clfleet.ReasonFull, clfleet.ReasonCold, clfleet.ReasonReturning}

// decideShare decides whether a request is within its account's share of the service. It
// counts nothing, since the quota may still refuse the request, and returns an error
// response if the share is used up. Requests without an account have no share.
func (g *Gateway) decideShare(c *call, cat *clcatalog.Catalog, tokens float64) *errorResponse {
	if g.Shares == nil || c.account == nil || !g.Shares.Enabled() {
		return nil
	}
	c.shareRequest = clshare.Request{
		Service: c.service, Route: c.route.Name, Account: c.account.Name, Priority: c.route.RequestPriority(c.account),
		// A stated timeout above the route's is without effect, and would make those of
		// all others look like returning callers.
		Timeout: min(c.reqInfo.Timeout, c.timeout), TimeLeft: time.Until(c.deadline), Cost: shareCost(cat.Service(c.service), c.account, tokens),
	}
	c.shareDecision = g.Shares.Decide(c.shareRequest, clclock.Now())
	if !c.shareDecision.Refused {
		return nil
	}
	g.countShare(c)
	g.countCost(c, costRefused)
	g.Fleet.RecordRefused(c.service, unsharedTokens(c.reqInfo))
	return &errorResponse{http.StatusServiceUnavailable, "over_share", c.shareDecision.RetryAfter}
}

// countShare counts a request toward its account's share, as decideShare has decided.
func (g *Gateway) countShare(c *call) {
	if c.shareRequest.Cost == 0 {
		return
	}
	g.Shares.Count(c.shareRequest, c.shareDecision, clclock.Now())
	g.countCost(c, costOffered)
}

// shareCost returns the cost of a request for the share of its account: 1 at a plain
// service, and otherwise its tokens, also if the account's quota counts requests, but at
// most maxShareCost.
func shareCost(s *clcatalog.Service, a *clcatalog.Account, tokens float64) float64 {
	if s == nil || s.Engine == nil {
		return 1
	}
	if a.InTokens {
		tokens = a.Cost(tokens)
	}
	return min(max(1, tokens), maxShareCost)
}

// unsharedTokens returns the size of the last part of a prompt, which other requests
// don't share, or of the whole prompt if its parts are not stated.
func unsharedTokens(r RequestInfo) int {
	if len(r.PromptParts) == 0 {
		return r.PromptTokens
	}
	return r.PromptParts[len(r.PromptParts)-1].Tokens
}

// recordShareRefusal records that a request which was counted toward its account's
// share has not run. refusal is why no further attempt was made, or nil. In a shortage it
// returns after which time the caller may come back, at the earliest, and otherwise 0:
// the time that the fleet states is then that of a queue which stays full.
func (g *Gateway) recordShareRefusal(c *call, refusal *clfleet.Refusal) time.Duration {
	if g.Shares == nil || c.shareRequest.Cost == 0 {
		return 0
	}
	shortage := isShortage(c, refusal) && !callerGone(c.r)
	r := c.shareRequest
	r.TimeLeft = time.Until(c.deadline)
	if shortage {
		g.countCost(c, costRefused)
	}
	return g.Shares.RecordRefusal(r, shortage, clclock.Now())
}

// recordNoAnswer records that a request which was counted toward its account's share may
// have run, but got no answer, so that its cost is not taken for served.
func (g *Gateway) recordNoAnswer(c *call) {
	if g.Shares != nil && c.shareRequest.Cost > 0 {
		g.Shares.RecordRefusal(c.shareRequest, false, clclock.Now())
	}
}

// isShortage reports whether a request has not run because no endpoint could begin it in
// time. refusal is why no further attempt was made, or nil. An endpoint that could not be
// reached, or that leaves or wants quiet, says nothing of the capacity.
func isShortage(c *call, refusal *clfleet.Refusal) bool {
	switch {
	case refusal == nil || refusal.Reason == clfleet.ReasonTried:
		return c.shed
	case refusal.Reason == clfleet.ReasonBlocked:
		return refusal.AfterShed
	}
	return slices.Contains(shortageReasons, refusal.Reason)
}

// countCost adds the cost of a request to the metric, if the request is counted toward
// its account's share.
func (g *Gateway) countCost(c *call, outcome string) {
	if c.shareRequest.Cost > 0 {
		g.collectors.costs.WithLabelValues(c.service, c.shareRequest.Account, outcome).Add(c.shareRequest.Cost)
	}
}

// shareFields returns the log fields of a request that was refused because of its
// account's share: the share and what the account offers, in cost per second.
func (c *call) shareFields() []zap.Field {
	if !c.shareDecision.Refused {
		return nil
	}
	return []zap.Field{zap.Float64("share", c.shareDecision.Share), zap.Float64("offered", c.shareDecision.Offered), zap.Float64("cost", c.shareRequest.Cost)}
}
