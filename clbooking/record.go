// This file defines the rules for changes of one record.

package clbooking

import (
	"bytes"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutlead/chestnutlead/clstate"
)

type (
	// Verdict is what a stored record means for the caller of an attempt.
	Verdict int

	// change is what a submitted record does to a stored one.
	change int
)

// Verdicts.
const (
	// VerdictProceed allows the attempt to send its call, once.
	VerdictProceed Verdict = iota
	// VerdictReplay says that the first run is done; its answer is in the record.
	VerdictReplay
	// VerdictRunning says that another attempt holds the claim.
	VerdictRunning
	// VerdictUnknown says that the outcome of the first run is unknown, or its answer was too large to keep.
	VerdictUnknown
	// VerdictMismatch says that the key was used for a call with another body.
	VerdictMismatch
	// VerdictWithdrawn says that the claim was released; another attempt may claim the key.
	VerdictWithdrawn
)

const (
	// changeNone leaves the stored record, which answers the operation if it is current.
	changeNone change = iota
	// changeFinal leaves the stored record, which no later change contradicts.
	changeFinal
	// changeWrite stores the submitted record.
	changeWrite
)

// Judge returns what the stored record of the key means for the attempt that submitted own.
func Judge(own, stored *clstate.BookingRecord) Verdict {
	switch {
	case !bytes.Equal(own.GetBodyDigest(), stored.GetBodyDigest()):
		return VerdictMismatch
	case stored.State == clstate.BookingState_BOOKING_STATE_RELEASED:
		return VerdictWithdrawn
	case stored.State == clstate.BookingState_BOOKING_STATE_CLAIMED:
		if stored.AttemptId == own.GetAttemptId() {
			return VerdictProceed
		}
		return VerdictRunning
	case stored.State == clstate.BookingState_BOOKING_STATE_DONE && !stored.GetAnswer().GetOmitted():
		return VerdictReplay
	default:
		return VerdictUnknown
	}
}

// changeOf returns what r does to the stored record (nil: none). It is the
// only place that decides about a claim:
//   - a key is claimed if it has no record or its record was released by another attempt;
//   - an outcome changes only a claim of its own attempt;
//   - a release changes only a claim of its own attempt, and leaves a mark
//     where no claim is stored, so that a claim that is still on its way has no effect.
func changeOf(stored, r *clstate.BookingRecord) change {
	const (
		claimed  = clstate.BookingState_BOOKING_STATE_CLAIMED
		unknown  = clstate.BookingState_BOOKING_STATE_UNKNOWN
		released = clstate.BookingState_BOOKING_STATE_RELEASED
	)
	own := stored != nil && stored.AttemptId == r.AttemptId
	free := stored == nil || stored.State == released && !own
	switch {
	case own && stored.State == r.State, stored != nil && stored.State == clstate.BookingState_BOOKING_STATE_DONE:
		return changeFinal
	case r.State == claimed:
		if free {
			return changeWrite
		}
		if own {
			return changeFinal
		}
	case r.State == released:
		if free || own && stored.State == claimed {
			return changeWrite
		}
	default:
		if own && (stored.State == claimed || stored.State == unknown) {
			return changeWrite
		}
	}
	return changeNone
}

// merged returns the record to store for r. An outcome keeps the fields of its claim.
func merged(stored, r *clstate.BookingRecord) *clstate.BookingRecord {
	if stored == nil || stored.AttemptId != r.AttemptId {
		return r
	}
	m := proto.CloneOf(stored)
	m.State, m.Answer = r.State, r.Answer
	return m
}

// check returns an Error of KindInvalid if r cannot be stored.
func check(r *clstate.BookingRecord) error {
	switch {
	case len(r.GetKey()) != keyBytes:
		return newError(KindInvalid, "the record's key is not 16 bytes long", nil)
	case r.AttemptId == "":
		return newError(KindInvalid, "the record has no attempt ID", nil)
	case r.State == clstate.BookingState_BOOKING_STATE_UNSPECIFIED:
		return newError(KindInvalid, "the record has no state", nil)
	}
	return nil
}

func keyOf(r *clstate.BookingRecord) Key { return Key(r.Key) }
