// This file defines the registered endpoints and the operators' intents.

package clcatalog

import (
	"net/netip"
	"time"
)

type (
	// Endpoint is a registered process of a service.
	Endpoint struct {
		// ID names the endpoint; a restart may keep it, with another Born.
		ID         string
		Service    string
		Address    netip.AddrPort
		DataCentre string
		// Version is the version of the endpoint's software.
		Version string
		Slots   int
		// Leaving endpoints get no new requests.
		Leaving bool
		// Spot endpoints may be reclaimed.
		Spot bool
		// ColdFor is how long the endpoint stays cold, from the time of the entry.
		ColdFor time.Duration
		// Born is the start of the endpoint's process in Unix milliseconds.
		Born int64
	}

	// Rollout is an operator's intent to move a service to a version.
	Rollout struct {
		Service string
		Version string
		Within  time.Duration
		// Outcome is what the system has last written of this intent.
		Outcome RolloutOutcome
		// OutcomeVersion is the version that Outcome is about.
		OutcomeVersion string
		// Revision is the store's revision of the intent, for conditional writes.
		Revision uint64
	}

	// RolloutOutcome is the state of a rollout that operators read.
	RolloutOutcome string

	// Evacuation is an operator's intent to keep a data centre's endpoints free of requests.
	Evacuation struct{ DataCentre string }

	// Member is a gateway process.
	Member struct {
		Name       string
		Boot       uint64
		Address    netip.AddrPort
		DataCentre string
	}
)

const (
	// RolloutRunning says that the new version gets a share of the requests.
	RolloutRunning RolloutOutcome = "running"
	// RolloutDone says that the old version may be stopped.
	RolloutDone RolloutOutcome = "done"
	// RolloutRolledBack says that the new version may be stopped.
	RolloutRolledBack RolloutOutcome = "undone"
)
