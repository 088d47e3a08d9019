// This file defines the typed errors of the platform interfaces.

package clplatform

import (
	"fmt"

	"github.com/go-faster/errors"
)

type (
	// Kind classifies a failure of the platform.
	Kind string

	// Error is a failure of a platform call; its message names the remedy.
	Error struct {
		Kind   Kind
		Op     string
		Remedy string
		Err    error
	}
)

// Kinds of failure.
const (
	// KindNotFound says that the object or instance does not exist.
	KindNotFound Kind = "not_found"
	// KindConflict says that another writer changed the object first; nothing was written.
	KindConflict Kind = "conflict"
	// KindUnavailable says that the call had no effect because the platform cannot be reached or refused it.
	KindUnavailable Kind = "unavailable"
	// KindUnknown says that the answer was lost; the call may have taken effect.
	KindUnknown Kind = "unknown"
	// KindTimeout says that a watch ended without a change.
	KindTimeout Kind = "timeout"
	// KindRefused says that the platform has no capacity for a new instance.
	KindRefused Kind = "refused"
	// KindInvalid says that the request can never succeed.
	KindInvalid Kind = "invalid"
)

var _ error = (*Error)(nil)

// Error returns the operation, the kind, the cause and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s: %v; %s", e.Op, e.Kind, e.Err, e.Remedy)
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
