// This file defines members, facts and the messages that carry them.

package clmember

import (
	"net/netip"
	"time"
)

type (
	// State is what a process believes about a member. At the same
	// incarnation a higher state replaces a lower one.
	State uint8

	// Member is one process of the fleet.
	Member struct {
		// ID is unique for each start of a process.
		ID string
		// Address is the peer listener.
		Address    netip.AddrPort
		DataCentre string
		Region     string
		// Role is "entry" or "control".
		Role string
		// Incarnation is raised only by the member itself, to refute a suspicion.
		Incarnation uint64
		State       State
	}

	// FactKind classifies a fact; the values are those of clwire.FactKind.
	FactKind uint8

	// Fact is a short-lived statement that spreads to every process.
	Fact struct {
		// ID identifies the statement; a later Time under the same ID renews it.
		ID string
		// Origin is the ID of the member that made the statement.
		Origin   string
		Kind     FactKind
		Time     time.Time
		Lifetime time.Duration
		// Subject is an endpoint ID, "service/version", or a fingerprint in hex.
		Subject string
		Detail  string
		// Urgent facts are pushed at once and not only piggybacked on probes.
		Urgent bool
	}

	// Exchange is a probe or its answer.
	Exchange struct {
		From           Member
		Changes        []Member
		Facts          []Fact
		ConfigRevision uint64
		// MembershipHash differs if the two processes hold different sets of live members.
		MembershipHash uint64
	}

	// SyncState is the full state of a process.
	SyncState struct {
		Members        []Member
		Facts          []Fact
		ConfigRevision uint64
	}

	// CallKind says which remote call the shell has to make.
	CallKind uint8

	// Call is a remote call that the shell makes.
	Call struct {
		Kind CallKind
		// To is the process to call; only its address is known for a seed.
		To Member
		// Target is the process that To is asked to probe; set for CallProbeFor.
		Target Member
		// Exchange is the message to send; set for CallExchange.
		Exchange Exchange
		// Timeout is after how long the shell gives the call up and reports its failure.
		Timeout time.Duration
	}

	// Output holds the decisions taken on one event.
	Output struct {
		Calls []Call
		// Changed lists members that are new or whose state changed.
		Changed []Member
		// Facts lists facts that are new or renewed, those of this process included.
		Facts []Fact
	}
)

// States of a member.
const (
	Alive State = iota + 1
	Suspect
	Dead
	// Left is final, because the ID is never used again.
	Left
)

// Kinds of facts.
const (
	EndpointLeaving FactKind = iota + 1
	EndpointCold
	VersionSuspended
	CrashFingerprint
)

// Kinds of calls.
const (
	// CallExchange sends the Exchange; report ExchangeAnswered or ExchangeFailed.
	CallExchange CallKind = iota + 1
	// CallProbeFor asks To to probe Target; report ProbeForAnswered.
	CallProbeFor
	// CallSync asks for the full state; report SyncAnswered if it succeeds.
	CallSync
	// CallFetchConfig asks To for its configuration, whose revision is higher
	// than this process's; report SetRevision. It is repeated while no answer comes.
	CallFetchConfig
)

// Live reports whether the member is taken to be running. A suspected member
// is, so that a lost probe moves no ownership.
func (m Member) Live() bool { return m.State == Alive || m.State == Suspect }

// String returns the name of the state.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	}
	return "unknown"
}
