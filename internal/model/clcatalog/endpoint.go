// This file defines registered endpoints and gateways, rollouts and evacuations.

package clcatalog

import (
	"net/netip"
	"time"
)

type (
	// Endpoint is a registered server process of a service.
	Endpoint struct {
		// ID identifies the endpoint. A restarted process may keep the ID; Born
		// tells the two apart.
		ID         string
		Service    string
		Address    netip.AddrPort
		DataCentre string
		// Version is the version of the software that the endpoint runs.
		Version string
		Slots   int
		// Leaving endpoints receive no new requests.
		Leaving bool
		// Spot endpoints may be reclaimed by the platform.
		Spot bool
		// ColdFor is the remaining time for which the endpoint is cold, from the
		// time of its registry entry.
		ColdFor time.Duration
		// Born is the start time of the endpoint's process in Unix milliseconds.
		Born int64
	}

	// Rollout is an operator's request to move a service to a version.
	Rollout struct {
		Service string
		Version string
		// Within is the time allowed for the rollout.
		Within time.Duration
		// Outcome is the outcome that the system last wrote for the rollout.
		Outcome RolloutOutcome
		// OutcomeVersion is the version to which Outcome refers.
		OutcomeVersion string
		// Revision is the store's revision of the rollout, for conditional writes.
		Revision uint64
	}

	// RolloutOutcome is the state of a rollout as reported to operators.
	RolloutOutcome string

	// Evacuation is an operator's request to send no requests to the endpoints of
	// a data centre.
	Evacuation struct{ DataCentre string }

	// Member is a registered gateway process.
	Member struct {
		Name       string
		Boot       uint64
		Address    netip.AddrPort
		DataCentre string
	}
)

const (
	// RolloutRunning means that the new version receives a share of the requests.
	RolloutRunning RolloutOutcome = "running"
	// RolloutDone means that the old version may be stopped.
	RolloutDone RolloutOutcome = "done"
	// RolloutRolledBack means that the new version may be stopped.
	RolloutRolledBack RolloutOutcome = "undone"
)
