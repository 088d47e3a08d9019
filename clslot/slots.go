// This file defines the values that grantors and holders exchange.

package clslot

import "time"

type (
	// Config holds the times that grantors and holders of one system share.
	Config struct {
		// GrantLifetime is the longest time for which slots are leased.
		GrantLifetime time.Duration
		// SettleTime is the longest time from a request's start at its entry until
		// the endpoint's load report counts it, and covers clock drift.
		SettleTime time.Duration
		// RequestTimeout is the longest time that a request runs.
		RequestTimeout time.Duration
		// IdleTimeout is the time after which an unused slot is returned.
		IdleTimeout time.Duration
		// SpareSlots is the number of slots that an active entry holds ahead of demand.
		SpareSlots int
		// SlowFactor is the ratio to the usual first-token time that counts as cold.
		SlowFactor float64
		// MinSlowFirstTokenTime is the first-token time below which none counts as cold, so that
		// quick endpoints are not taken for cold by the scheduling of either end.
		MinSlowFirstTokenTime time.Duration
		// MaxSlowPeriod is how long an endpoint counts as cold because of its
		// first-token times alone; after that they are its usual ones.
		MaxSlowPeriod time.Duration
	}

	// Limits are the bounds of an endpoint's limit, in requests at once.
	Limits struct {
		// ColdSlots is the limit after a start.
		ColdSlots int
		// MaxSlots is the limit when warm.
		MaxSlots int
		// WarmAfter is the number of healthy answers that doubles the limit.
		WarmAfter int
	}

	// Load is an endpoint's load report.
	Load struct {
		BootID string
		// ProducedAt is the report's production in the grantor's clock, rounded down.
		ProducedAt time.Time
		// Running counts requests at the endpoint, waiting ones included.
		Running int
		Cold    bool
	}

	// Demand is what an entry tells the grantor about one endpoint.
	Demand struct {
		Endpoint string
		// Sequence rises with each demand of a Holder.
		Sequence uint64
		// InUse counts running requests.
		InUse int
		// Held counts the slots that the entry may use from now on without an answer.
		Held int
		// Carried counts those of InUse that started under another fencing number than Fencing.
		Carried int
		// Fencing is the number in the last answer that the entry applied.
		Fencing uint64
		// Wanted counts slots asked for in all, those in use included.
		Wanted int
		// Healthy and Failed count answers since the former demand.
		Healthy, Failed int
		// FirstTokenTime is the lower of the last two first-token times, or 0 if there
		// was none since the former demand. A single slow one may be a pause of
		// either end; at a cold endpoint all are slow.
		FirstTokenTime time.Duration
		// Exclusive asks for the endpoint alone; see Holder.Reserve.
		Exclusive bool
	}

	// Grant is the grantor's answer to a demand.
	Grant struct {
		Endpoint string
		// Sequence is the one of the demand.
		Sequence uint64
		// Slots is the number that the entry may use, those in use included.
		Slots int
		// Lifetime counts from the time at which the entry built the demand.
		Lifetime time.Duration
		Fencing  uint64
		// Exclusive says that nobody else may have a request at the endpoint.
		Exclusive bool
		// BootID is the start of the endpoint for which the slots were counted.
		BootID string
		// Refused says why the grantor does not answer for the endpoint.
		Refused Refusal
	}

	// Refusal is a reason for which a demand is not considered.
	Refusal uint8
)

// Reasons for which a demand is not considered.
const (
	NotRefused Refusal = iota
	// RefusedNotGrantor says that this process may grant nothing at present.
	RefusedNotGrantor
	// RefusedUnknownEndpoint says that the endpoint is not in the grantor's table.
	RefusedUnknownEndpoint
	// RefusedStale says that a later demand of the entry was considered already.
	RefusedStale
	// RefusedNotReady says that no load report newer than the former term is known.
	RefusedNotReady
)

// DefaultConfig returns the times used with a lease of 9 s.
func DefaultConfig() Config {
	return Config{
		GrantLifetime:         3 * time.Second,
		SettleTime:            500 * time.Millisecond,
		RequestTimeout:        time.Minute,
		IdleTimeout:           time.Second,
		SpareSlots:            1,
		SlowFactor:            4,
		MinSlowFirstTokenTime: 200 * time.Millisecond,
		MaxSlowPeriod:         time.Minute,
	}
}

// String returns the reason as it appears on the wire; it is empty for NotRefused.
func (r Refusal) String() string {
	switch r {
	case NotRefused:
		return ""
	case RefusedNotGrantor:
		return "not_grantor"
	case RefusedUnknownEndpoint:
		return "unknown_endpoint"
	case RefusedStale:
		return "stale"
	case RefusedNotReady:
		return "not_ready"
	}
	return "unknown"
}
