// This file defines the reasons of decisions.

package clroute

// Reason explains a decision of Pick.
type Reason uint8

// Reasons of a choice, and of a refusal in the order of the filters.
const (
	// ReasonNone is the zero value and never returned by Pick.
	ReasonNone Reason = iota
	// ReasonOnly says that one candidate passed the filters.
	ReasonOnly
	// ReasonCached says that the endpoint has most of the prompt's prefix cached.
	ReasonCached
	// ReasonFastest says that the endpoint had the lowest expected first-token time.
	ReasonFastest
	// ReasonTie says that it was the less loaded of two candidates with nearly equal times.
	ReasonTie
	// RefusedNoVersion says that no endpoint runs the version of the service.
	RefusedNoVersion
	// RefusedDataCentreOut says that the data centres of all endpoints are out.
	RefusedDataCentreOut
	// RefusedLeaving says that all endpoints left are leaving.
	RefusedLeaving
	// RefusedCircuitOpen says that the circuits of all endpoints left are open.
	RefusedCircuitOpen
	// RefusedExcluded says that the request excludes all endpoints left.
	RefusedExcluded
	// RefusedBusy says that a request that must run alone found no idle endpoint.
	RefusedBusy
	// RefusedNoSlot says that no slot is held at any endpoint left.
	RefusedNoSlot
	reasonCount
)

var reasonNames = [reasonCount]string{
	"none", "only", "cached", "fastest", "tie", "no_version", "data_centre_out", "leaving",
	"circuit_open", "excluded", "busy", "no_slot",
}

// String returns the reason as it appears in logs and metrics.
func (r Reason) String() string {
	if r >= reasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// Refused reports whether the reason is one of a refusal.
func (r Reason) Refused() bool { return r >= RefusedNoVersion }
