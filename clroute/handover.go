// This file defines what becomes of work on an endpoint that is leaving.

package clroute

import "time"

type (
	// Handover describes one running request on a leaving endpoint.
	Handover struct {
		// Left is the time until the endpoint stops.
		Left time.Duration
		// Remainder is the expected time until the answer ends there.
		Remainder time.Duration
		// Transfer is the expected time to export the cache to another endpoint,
		// and CanExport says whether such an endpoint exists.
		Transfer  time.Duration
		CanExport bool
		// Tokens counts the prompt and the tokens sent so far; CachedElsewhere
		// counts those that the other endpoint has cached.
		Tokens, CachedElsewhere int
	}

	// HandoverOption is what to do with the request.
	HandoverOption uint8
)

// Options for work on a leaving endpoint.
const (
	// HandoverFinish lets the request finish where it is.
	HandoverFinish HandoverOption = iota
	// HandoverExport moves the cache to another endpoint and continues there.
	HandoverExport
	// HandoverResume starts again elsewhere from the tokens already sent.
	HandoverResume
)

// handoverMargin is the part of the time left that estimates may use. A request
// cut off at the end has to be recomputed with less time.
const handoverMargin = 0.8

// String returns the option as it appears in logs.
func (o HandoverOption) String() string {
	switch o {
	case HandoverFinish:
		return "finish"
	case HandoverExport:
		return "export"
	case HandoverResume:
		return "resume"
	}
	return "unknown"
}

// ChooseHandover returns the option with the fewest tokens to recompute in the
// time left, and that number.
func ChooseHandover(h Handover) (HandoverOption, int) {
	usable := time.Duration(handoverMargin * float64(h.Left))
	if h.Remainder <= usable {
		return HandoverFinish, 0
	}
	recompute := max(0, h.Tokens-h.CachedElsewhere)
	if h.CanExport && h.Transfer <= usable && recompute > 0 {
		return HandoverExport, 0
	}
	return HandoverResume, recompute
}
