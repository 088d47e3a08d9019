// This file defines when a partition is written and read.

package clbooking

import "time"

type (
	// Policy says when waiting changes are written.
	Policy struct {
		// Linger is the least time between the end of one batch's write
		// and the start of the next; 0 means 80 ms. With 4 partitions this
		// bounds a service to 50 writes a second.
		Linger time.Duration
		// OutcomeDelay is how long outcomes wait for claims to be written with; 0 means 250 ms.
		OutcomeDelay time.Duration
		// SealBytes is the size of the records in the head and the log above
		// which they are sealed; 0 means 256 KB.
		SealBytes int
	}

	// Backlog describes the changes that wait; zero times mean none.
	Backlog struct {
		LastWrite     time.Time
		OldestClaim   time.Time
		OldestOutcome time.Time
		// Flush asks for a write without delay.
		Flush bool
	}
)

const (
	defaultLinger       = 80 * time.Millisecond
	defaultOutcomeDelay = 250 * time.Millisecond
	defaultSealBytes    = 256 << 10
)

// WriteAt returns when the backlog is to be written; zero if it is empty.
func (p Policy) WriteAt(b Backlog) time.Time {
	var at time.Time
	switch {
	case !b.OldestClaim.IsZero():
		at = b.OldestClaim
	case b.OldestOutcome.IsZero():
		return time.Time{}
	case b.Flush:
		at = b.OldestOutcome
	default:
		at = b.OldestOutcome.Add(p.OutcomeDelay)
	}
	if next := b.LastWrite.Add(p.Linger); !b.Flush && !b.LastWrite.IsZero() && at.Before(next) {
		return next
	}
	return at
}

func (p Policy) withDefaults() Policy {
	if p.Linger == 0 {
		p.Linger = defaultLinger
	}
	if p.OutcomeDelay == 0 {
		p.OutcomeDelay = defaultOutcomeDelay
	}
	if p.SealBytes == 0 {
		p.SealBytes = defaultSealBytes
	}
	return p
}
