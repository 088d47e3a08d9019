// This file defines the settings and the observable state of a lease.

package cllease

import (
	"fmt"
	"time"
)

type (
	// Config holds the settings of one process for one lease.
	Config struct {
		// Key names the object, such as "lease/control".
		Key string
		// Holder identifies this process and must be unique for each start.
		Holder string
		// TTL is how long the lease lasts without a renewal.
		TTL time.Duration
		// RenewEvery is the time between renewals; 0 means TTL/3.
		RenewEvery time.Duration
		// Margin is how long before the TTL's end the holder stops trusting
		// its lease; 0 means TTL/6.
		Margin time.Duration
		// ObserveEvery is the time between reads while another process holds
		// the lease; 0 means TTL/2.
		ObserveEvery time.Duration
		// RetryAfter is the wait after a call that failed; 0 means TTL/12.
		RetryAfter time.Duration
	}

	// State is what a process knows of the lease at one moment.
	State struct {
		// Held says that this process holds the lease and may trust it.
		Held bool
		// Fencing is this process's number while it holds the lease or when it
		// lapsed without a known successor, and else the last number seen.
		Fencing uint64
		// Era is the latest era of the store that is known.
		Era uint64
		// Until is when this process stops trusting its lease; zero if it never held it.
		Until time.Time
		// Lapsed says that the lease was held, could not be renewed because
		// the store did not answer, and that no successor is known.
		Lapsed bool
		// Holder is the holder last seen in the store; empty if released or unknown.
		Holder string
		// AllowanceHalvings is the count stored with the lease: how many
		// holders in a row were succeeded without a release.
		AllowanceHalvings uint32
		// Origin says where this process's number comes from; zero if it never held the lease.
		Origin Origin
	}

	// Origin says on which content of the object a lease was acquired and last
	// confirmed, to tell in a log why two processes could get one number.
	Origin struct {
		// Version is that of the update last confirmed.
		Version uint64
		// ConfirmedFrom is when that update was first sent.
		ConfirmedFrom time.Time
		// Replaced is the version of the content on which the lease was acquired, 0 if
		// there was none; ReplacedHolder and ReplacedFencing are its holder and number.
		Replaced        uint64
		ReplacedHolder  string
		ReplacedFencing uint64
	}

	// Kind classifies an Error.
	Kind string

	// Error is a lease that cannot be kept; its message names the remedy.
	Error struct {
		Kind   Kind
		Key    string
		Detail string
	}
)

// Kinds of Error.
const (
	// KindConfig says that the settings contradict each other.
	KindConfig Kind = "config"
	// KindCorrupt says that the object holds no lease.
	KindCorrupt Kind = "corrupt"
)

var _ error = (*Error)(nil)

// Error returns the key, the kind and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("lease %q: %s: %s", e.Key, e.Kind, e.Detail)
}

// Left returns how long the lease may still be trusted at now; 0 if it is not held.
func (s State) Left(now time.Time) time.Duration {
	if !s.Held {
		return 0
	}
	return s.Until.Sub(now)
}

func (c Config) withDefaults() (Config, error) {
	fill := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	fill(&c.RenewEvery, c.TTL/3)
	fill(&c.Margin, c.TTL/6)
	fill(&c.ObserveEvery, c.TTL/2)
	fill(&c.RetryAfter, c.TTL/12)
	switch {
	case c.Key == "" || c.Holder == "":
		return c, &Error{Kind: KindConfig, Key: c.Key, Detail: "key or holder is empty; set both"}
	case c.TTL <= 0 || c.RenewEvery <= 0 || c.Margin <= 0 || c.ObserveEvery <= 0 || c.RetryAfter <= 0:
		return c, &Error{Kind: KindConfig, Key: c.Key, Detail: "a duration is not positive; set a positive TTL"}
	case c.RenewEvery+c.Margin >= c.TTL:
		return c, &Error{Kind: KindConfig, Key: c.Key,
			Detail: "the lease would lapse between renewals; make renew_every + margin smaller than the TTL"}
	}
	return c, nil
}
