// This file defines what Pick is asked and what it returns.

package clfleet

import (
	"fmt"
	"net/netip"
	"time"
)

type (
	// Request describes a request for which an endpoint is to be selected.
	Request struct {
		// ID identifies the request at all gateways and in all its attempts.
		ID string
		// Service is the name of the service that the request is for.
		Service string
		// Parts are the parts of the prompt in order. All but the last one may be
		// shared with other requests.
		Parts []PromptPart
		// Tried holds the IDs of the endpoints of earlier attempts, which must not
		// be selected again. It is empty for the first attempt.
		Tried []string
		// TimeLeft is the time until the request's deadline.
		TimeLeft time.Duration
		// TargetLatency is the longest time to the first event that callers
		// accept as on time; 0 means that there is no target.
		TargetLatency time.Duration
		// Priority is 0 for the most urgent requests and greater for less urgent
		// ones.
		Priority int
		// Route is the name of the request's route, whose requests cost about the same.
		Route string
		// OutputTokens is the caller's estimate of the tokens that will be generated,
		// and MaxOutputTokens the most that may be; 0 means that it is not stated.
		OutputTokens, MaxOutputTokens int

		// cost is the likely cost of the request; nil if the choice is not to depend on
		// it. Pick sets it.
		cost *requestCost
	}

	// PromptPart is a section of a prompt that several requests may share.
	PromptPart struct {
		// ID is the same for equal parts of different prompts.
		ID uint64
		// Tokens is the number of tokens of the part.
		Tokens int
	}

	// Choice is the endpoint selected for an attempt, with the figures that led to
	// the selection.
	Choice struct {
		// Endpoint is the ID of the endpoint; Born, Address, DataCentre and Version
		// are those of the endpoint.
		Endpoint   string
		Born       int64
		Address    netip.AddrPort
		DataCentre string
		Version    string
		// ExpectedLatency is the estimated time to the first event.
		ExpectedLatency time.Duration
		// UncachedTokens is the number of prompt tokens that the endpoint must
		// process because it has probably not cached them; 0 for a plain service.
		UncachedTokens float64
		// Running is the known number of requests running at the endpoint,
		// without the one that the choice is for.
		Running int
		// Candidates is the number of endpoints that no filter has excluded.
		Candidates int
		// Pace is how many times as long as usual work is expected to take at the
		// endpoint; 0 if it does not state a pace.
		Pace float64
		// AffinityRank is 1 or 2 if the endpoint is the first or second affinity
		// endpoint of the request, and 0 otherwise.
		AffinityRank int
		// RecentlyStarted is set if the endpoint was first seen so recently that
		// its latency does not reflect its version.
		RecentlyStarted bool

		// endpoint is the state of the selected endpoint, and service the name of
		// the request's service. priority is the request's priority level, at
		// which Begin adds UncachedTokens to the endpoint's pending tokens.
		endpoint *endpoint
		service  string
		priority int
		// idleLatency is the expected time to the first event if the endpoint
		// were idle.
		idleLatency time.Duration
		// PromptWork is the time that the endpoint probably needs for the prompt,
		// WorkAhead that for the prompts which it processes first, StreamTime the time
		// from the first event to the end of the output, and Harm what the choice costs
		// other callers, as an addition to the score. They are 0 if the choice does not
		// depend on costs.
		PromptWork, WorkAhead, StreamTime, Harm time.Duration

		// trusted is ExpectedLatency as far as it is trusted for the score; 0 means in
		// full. cost is the likely cost of the request, or nil. firstAttempt is set for its
		// first attempt; firstEventAfter is the time from the begin of the attempt to its
		// first event, or 0; predicted and observed are what Work returns.
		trusted         time.Duration
		cost            *requestCost
		firstAttempt    bool
		firstEventAfter time.Duration
		// showsPromptTime is set if the time to the first event is not expected to contain
		// a wait, and crowding is the factor by which the batch is expected to slow it.
		showsPromptTime     bool
		crowding            float64
		predicted, observed time.Duration
		// statedPace is the pace that the endpoint has stated in its response to the
		// attempt; 0 if it has stated none.
		statedPace float64
		// begunAt is when the attempt began.
		begunAt time.Time
		// pendingCleared is set once UncachedTokens is no longer part of the
		// endpoint's pending tokens.
		pendingCleared bool
	}

	// Refusal tells why no endpoint was selected and when to retry.
	Refusal struct {
		// Reason is the filter that excluded the endpoint examined last, or
		// ReasonNoEndpoint or ReasonNoTimeLeft.
		Reason Reason
		// AfterShed is set if Reason is ReasonBlocked because the endpoint has shed a
		// request, and has not been unreachable since its latest complete answer.
		AfterShed bool
		// RetryAfter is the time after which the caller may retry.
		RetryAfter time.Duration
		// Excluded holds the number of endpoints that each filter has excluded.
		Excluded map[Reason]int
	}

	// Reason is a cause of a refusal: a filter that excludes endpoints, or another
	// cause. Other packages may define further reasons.
	Reason string
)

// Reasons for refusals. ReasonDataCentreOut to ReasonFull name the filters, in the
// order in which the filters are applied to an endpoint.
const (
	// ReasonNoEndpoint means that the service is not configured or has no
	// endpoints.
	ReasonNoEndpoint Reason = "no_endpoint"
	// ReasonDataCentreOut excludes the endpoints of excluded data centres.
	ReasonDataCentreOut Reason = "data_centre_out"
	// ReasonLeaving excludes endpoints that are draining, by the registry or by their
	// own word.
	ReasonLeaving Reason = "leaving"
	// ReasonQuiet excludes endpoints that want no requests from this gateway for some
	// time.
	ReasonQuiet Reason = "quiet"
	// ReasonVersion excludes versions to which the request may not go.
	ReasonVersion Reason = "version"
	// ReasonBlocked excludes endpoints shortly after they could not be reached or
	// have shed a request.
	ReasonBlocked Reason = "blocked"
	// ReasonTried excludes the endpoints of earlier attempts.
	ReasonTried Reason = "tried"
	// ReasonCold excludes cold endpoints that tolerate no further request from
	// this gateway now.
	ReasonCold Reason = "cold"
	// ReasonReturning excludes endpoints that were quiet until recently and already run
	// as many requests of this gateway as they are to get for the time being.
	ReasonReturning Reason = "returning"
	// ReasonFull excludes endpoints to which this gateway has as many connections
	// as its share of the endpoint's connection limit allows.
	ReasonFull Reason = "full"
	// ReasonNoTimeLeft means that the first event of the best choice is expected
	// too late.
	ReasonNoTimeLeft Reason = "no_time_left"
)

// Error returns why no endpoint was selected and what to do about it.
func (r *Refusal) Error() string {
	return fmt.Sprintf("no endpoint available: %s (endpoints excluded: %v); retry after %s or add endpoints", r.Reason, r.Excluded, r.RetryAfter)
}
