// This file defines the entries of endpoints and gateways, operators' requests and the
// gateways' own records.

package clcatalog

import (
	"net/netip"
	"time"
)

type (
	// Endpoint is a registered server process of a service.
	Endpoint struct {
		// ID identifies the endpoint. A restarted process may keep its ID; Born tells
		// the two runs apart.
		ID string
		// Service is the name of the service whose requests the endpoint executes.
		Service string
		// Address is the address on which the endpoint accepts requests.
		Address netip.AddrPort
		// DataCentre is the name of the data centre in which the endpoint runs.
		DataCentre string
		// Version is the version of the software that the endpoint runs.
		Version string
		// Slots is the number of requests that the endpoint executes concurrently.
		Slots int
		// Leaving means that the endpoint is draining and receives no new requests.
		Leaving bool
		// Spot means that the platform may reclaim the endpoint, at short notice.
		Spot bool
		// ColdFor is how long the endpoint stays cold after its entry was written. A
		// cold endpoint tolerates only a limited request rate.
		ColdFor time.Duration
		// Born is the time at which the endpoint's process started, in Unix
		// milliseconds.
		Born int64
	}

	// Rollout is an operator's request to move all requests for a service to the
	// endpoints that run a new version.
	Rollout struct {
		// Service is the name of the service whose requests move to the new version.
		Service string
		// Version is the new version, in the sense of Endpoint.Version.
		Version string
		// Within is the time allowed for the rollout, counted from when the gateways
		// learn of the request.
		Within time.Duration
		// Outcome is the outcome that a gateway last reported to the store; it is
		// empty before the first report.
		Outcome RolloutOutcome
		// OutcomeVersion is the version to which Outcome refers. It differs from
		// Version until an outcome of this request has been reported.
		OutcomeVersion string
		// Revision is the store's revision of the rollout. A report is written only
		// if the rollout still has this revision.
		Revision uint64
	}

	// RolloutOutcome is the state of a rollout that gateways report to operators.
	RolloutOutcome string

	// Evacuation is an operator's request to send no requests to the endpoints of
	// the data centre with the name DataCentre.
	Evacuation struct{ DataCentre string }

	// CrashBlock is the gateways' own record that requests with a trait are refused,
	// because they crash endpoints.
	CrashBlock struct {
		// Trait identifies what the requests have in common, and Depth is its position
		// in their prompts; see clcrash.Trait.
		Trait uint64
		Depth uint8
		// LastCrash is the time of day of the latest crash.
		LastCrash time.Time
	}

	// Member is the entry of a registered gateway.
	Member struct {
		// Name identifies the gateway; it stays the same after a restart.
		Name string
		// Boot is the boot ID, which identifies one run of the gateway's process: its
		// start time in Unix nanoseconds. A later run has a larger boot ID.
		Boot uint64
		// Address is the address on which the gateway listens for other gateways.
		Address netip.AddrPort
		// DataCentre is the name of the data centre in which the gateway runs.
		DataCentre string
	}
)

const (
	// RolloutRunning means that the new version receives a share of the requests, or
	// all of them while the old version must not be stopped yet.
	RolloutRunning RolloutOutcome = "running"
	// RolloutDone means that the new version receives all requests and the old
	// version may be stopped.
	RolloutDone RolloutOutcome = "done"
	// RolloutRolledBack means that the old version receives all requests again and
	// the new version may be stopped.
	RolloutRolledBack RolloutOutcome = "undone"
)
