// This file defines the typed errors of bookings.

package clbooking

import "github.com/go-faster/errors"

type (
	// Kind classifies an Error.
	Kind string

	// Error is a booking operation that failed; its message names the remedy.
	Error struct {
		Kind   Kind
		Detail string
		Err    error
		// Sent says that the change was sent to a writer or the store and may still take effect.
		Sent bool
	}
)

// Kinds of Error.
const (
	// KindUnavailable says that the store did not answer in time; a claim that
	// failed so was not and will not be run by this process.
	KindUnavailable Kind = "unavailable"
	// KindExpired says that the key is older than the resend window, so that
	// it is unknown whether the call was run.
	KindExpired Kind = "expired"
	// KindFuture says that the key's time is ahead of the clock.
	KindFuture Kind = "future"
	// KindNotClaimed says that an outcome has no claim, or its record has expired.
	KindNotClaimed Kind = "not_claimed"
	// KindBacklog says that too many changes wait for the store.
	KindBacklog Kind = "backlog"
	// KindCorrupt says that an object of the partition cannot be decoded.
	KindCorrupt Kind = "corrupt"
	// KindInvalid says that a record lacks a field or names another partition.
	KindInvalid Kind = "invalid"
)

var (
	_ error = (*Error)(nil)

	remedies = map[Kind]string{
		KindUnavailable: "resend with the same key when the store answers",
		KindExpired:     "check whether the call was run, then use a new key",
		KindFuture:      "correct the client's clock and use a new key",
		KindNotClaimed:  "claim the key before reporting its outcome",
		KindBacklog:     "resend with the same key later",
		KindCorrupt:     "restore the object from a backup",
		KindInvalid:     "correct the record",
	}
)

func newError(k Kind, detail string, err error) *Error {
	return &Error{Kind: k, Detail: detail, Err: err}
}

// Error returns the detail, the cause and the remedy.
func (e *Error) Error() string {
	s := "booking: " + e.Detail
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s + "; " + remedies[e.Kind]
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of the first Error in err's chain, or "" if there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
