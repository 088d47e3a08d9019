// This file defines the settings of a Core and their defaults.

package clmember

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

type (
	// Config holds the settings of a Core; zero values mean the defaults.
	Config struct {
		// Self is this process; State and Incarnation are ignored.
		Self Member
		// Seeds are addresses to join through; those at which no live member is
		// known are called again from time to time.
		Seeds []netip.AddrPort
		// Rand chooses peers and must not be shared; required.
		Rand *rand.Rand

		ProbeInterval   time.Duration
		ProbeTimeout    time.Duration
		IndirectTimeout time.Duration
		// SuspicionBase times log10 of the number of members (at least 1) is how
		// long a member stays suspected before it is declared dead.
		SuspicionBase time.Duration
		// SyncInterval is the time between two exchanges of the full state.
		SyncInterval time.Duration
		// SyncGap is the shortest time between them when membership hashes differ.
		SyncGap time.Duration
		// RetryDeadInterval is how often one dead member is called again, so that
		// the two sides of a healed partition find each other.
		RetryDeadInterval time.Duration
		// DeadRetention is how long dead members are remembered.
		DeadRetention time.Duration
		// MaxChanges and MaxFacts bound what one Exchange carries.
		MaxChanges, MaxFacts int
		// MaxHeldFacts bounds the facts held, and with them memory and the full state.
		MaxHeldFacts int
	}
)

const (
	indirectProbes = 3
	// joinProbes is the number of probe intervals after the start in which
	// missing seeds are called at each probe.
	joinProbes = 30
	// probeRounds of one direct and several indirect probes must all fail
	// before a member is suspected. With 30% of all messages lost, one round
	// fails in 11% of the cases, and the suspicions of 390 members would fill
	// every message; three rounds fail in 0.2%.
	probeRounds = 3
	// pushFanout peers receive an urgent fact or a new configuration revision.
	pushFanout = 4
	// urgentRounds pushes of each urgent fact, pushGap apart: one round of
	// fan-out 4 reaches 98% of the members, three reach all but 6 in a million.
	urgentRounds = 3
	pushGap      = 200 * time.Millisecond
	// minMismatches consecutive answers with another membership hash cause an
	// exchange of the full state. One alone says that the peer may be the only
	// one that differs, and all others would ask it at once.
	minMismatches = 2
	// heardFallback times the suspicion time passes before a member declares
	// another dead that it did not itself find silent; by then the finder has
	// reported the death, unless it died too.
	heardFallback = 3
	// A fetch is repeated after fetchGap, at the peer then furthest ahead. It
	// is not given up before fetchTimeout, because a configuration may have 1 MB.
	fetchGap     = 500 * time.Millisecond
	fetchTimeout = 2 * time.Second
	syncTimeout  = 5 * time.Second
	// maxFactLifetime bounds how long a mistaken fact can stay.
	maxFactLifetime = 24 * time.Hour
)

// withDefaults fills the zero values.
func (c Config) withDefaults() Config {
	def := func(d *time.Duration, v time.Duration) {
		if *d <= 0 {
			*d = v
		}
	}
	def(&c.ProbeInterval, time.Second)
	def(&c.ProbeTimeout, 500*time.Millisecond)
	def(&c.IndirectTimeout, 800*time.Millisecond)
	def(&c.SuspicionBase, 2500*time.Millisecond)
	def(&c.SyncInterval, 30*time.Second)
	def(&c.SyncGap, 10*time.Second)
	def(&c.RetryDeadInterval, 5*time.Second)
	def(&c.DeadRetention, time.Hour)
	if c.MaxChanges <= 0 {
		c.MaxChanges = 8
	}
	if c.MaxFacts <= 0 {
		c.MaxFacts = 8
	}
	if c.MaxHeldFacts <= 0 {
		c.MaxHeldFacts = 512
	}
	c.Self.State, c.Self.Incarnation = Alive, 1
	c.Seeds = slices.DeleteFunc(slices.Clone(c.Seeds), func(a netip.AddrPort) bool { return a == c.Self.Address })
	return c
}
