// This file defines the configuration and the messages of grantors and holders.

package clslot

import "time"

type (
	// Config holds the parameters that all grantors and holders of one system share.
	Config struct {
		// GrantLifetime is the longest time for which slots are granted.
		GrantLifetime time.Duration
		// SettleTime is the minimum age of the requests that a load report is sure to count:
		// it counts every request that its entry started at least SettleTime before the
		// report was produced and that is still running. It includes an allowance for clock
		// drift.
		SettleTime time.Duration
		// RequestTimeout is the longest time that a request runs.
		RequestTimeout time.Duration
		// IdleTimeout is the time after which an entry gives up a slot that it has not needed.
		IdleTimeout time.Duration
		// SpareSlots is the number of slots that an entry requests at an endpoint in use,
		// beyond those it needs there.
		SpareSlots int
		// SlowFactor is the multiple of an endpoint's typical first-token time above which a
		// first-token time counts as slow, and the endpoint as cold.
		SlowFactor float64
		// MinSlowFirstTokenTime is the value up to which a first-token time never counts as
		// slow. Otherwise scheduling delays of the entry or the endpoint would make fast endpoints
		// look cold.
		MinSlowFirstTokenTime time.Duration
		// MaxSlowPeriod is the longest time for which an endpoint counts as cold because of
		// its first-token times alone. The first slow time after that becomes the typical one.
		MaxSlowPeriod time.Duration
	}

	// Limits are the parameters of an endpoint's limit on concurrent requests.
	Limits struct {
		// ColdSlots is the limit of a cold endpoint.
		ColdSlots int
		// MaxSlots is the limit of a warm endpoint.
		MaxSlots int
		// WarmAfter is the number of healthy answers, without a failed one among them, after
		// which the limit doubles.
		WarmAfter int
	}

	// Load is an endpoint's load report.
	Load struct {
		// BootID identifies the endpoint's boot, its present run, and changes with each
		// start. It is empty if unknown.
		BootID string
		// ProducedAt is when the endpoint produced the report, on the grantor's clock. If the
		// time is not known exactly it must be too early, never too late.
		ProducedAt time.Time
		// Running is the number of requests at the endpoint, including those that wait
		// there.
		Running int
		// Cold is set if the endpoint reports that it is cold.
		Cold bool
	}

	// Demand reports an entry's use of one endpoint to the grantor and requests slots.
	Demand struct {
		Endpoint string
		// Sequence increases with each demand of a Holder.
		Sequence uint64
		// InUse is the number of the entry's running requests at the endpoint.
		InUse int
		// Held is the number of slots that the entry may use from now on without a further
		// grant.
		Held int
		// Carried is the number of requests in InUse that started under another fencing
		// number than Fencing.
		Carried int
		// Fencing is the fencing number of the last grant that the entry applied for the
		// endpoint.
		Fencing uint64
		// Wanted is the total number of slots requested, including those in use.
		Wanted int
		// Healthy and Failed are the numbers of complete answers and of requests that failed
		// because of the endpoint, since the previous demand.
		Healthy, Failed int
		// FirstTokenTime is the lower of the last two first-token times, or 0 if there was
		// none since the previous demand. A single slow time may be due to a pause of the
		// entry or the endpoint; at a cold endpoint every time is slow.
		FirstTokenTime time.Duration
		// Exclusive requests exclusive use of the endpoint; see Holder.Reserve.
		Exclusive bool
	}

	// Grant is the grantor's answer to a demand.
	Grant struct {
		Endpoint string
		// Sequence is the sequence number of the demand.
		Sequence uint64
		// Slots is the number of slots that the entry may use, including those in use.
		Slots int
		// Lifetime is how long the entry may start requests on the slots, counted from the
		// time at which it built the demand.
		Lifetime time.Duration
		// Fencing is the fencing number of the grantor's lease.
		Fencing uint64
		// Exclusive is set if the demand requested exclusive use and no other entry can have
		// a request at the endpoint.
		Exclusive bool
		// BootID is the boot ID of the endpoint for which the slots were counted. It is empty
		// if the grantor does not know it.
		BootID string
		// Refused is the reason for refusing the demand, or NotRefused.
		Refused Refusal
	}

	// Refusal is the reason for which the grantor refuses a demand. Its values are sent
	// between processes.
	Refusal uint8
)

// The reasons for refusing a demand.
const (
	NotRefused Refusal = iota
	// RefusedNotGrantor means that this process does not hold the lease, or that the lease
	// has expired while the object API was available.
	RefusedNotGrantor
	// RefusedUnknownEndpoint means that the endpoint was never added or has been removed.
	RefusedUnknownEndpoint
	// RefusedStale means that the grantor has already handled this demand or a later one of
	// the entry for the endpoint.
	RefusedStale
	// RefusedNotReady means that no load report has arrived yet that was produced at least
	// SettleTime after Lease.FormerGrantsEnd.
	RefusedNotReady
)

// DefaultConfig returns the parameters for a [Lease] that expires 9 s after each renewal.
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

// String returns the name of the reason. It is empty for NotRefused.
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
