// This file defines the typed errors of configuration changes.

package clrevision

import (
	"fmt"
	"strings"

	"github.com/go-faster/errors"
)

type (
	// Kind classifies an Error.
	Kind string

	// Problem is one fault of a snapshot.
	Problem struct {
		// Path names the field, such as services["brew"].on_outage.
		Path string
		// Detail says what is wrong, Remedy what to do.
		Detail string
		Remedy string
	}

	// InvalidError lists all faults of a snapshot.
	InvalidError struct {
		Problems []Problem
	}

	// Error is a change that was not, or not certainly, accepted.
	Error struct {
		Kind Kind
		// Revision is the revision last seen, 0 if none.
		Revision uint64
		// ProposalID is the proposal that made that revision.
		ProposalID string
		Err        error
	}
)

// Kinds of Error.
const (
	// KindUnavailable says that the change was not stored.
	KindUnavailable Kind = "unavailable"
	// KindUnknown says that the change may have been stored, or may still be.
	KindUnknown Kind = "unknown"
	// KindConflict says that another change came first; this one was not stored.
	KindConflict Kind = "conflict"
	// KindCorrupt says that the object holds no configuration.
	KindCorrupt Kind = "corrupt"
)

var (
	_ error = (*Error)(nil)
	_ error = (*InvalidError)(nil)

	remedies = map[Kind]string{
		KindUnavailable: "apply the change again when the object API answers",
		KindUnknown:     "read the configuration when the object API answers, and apply the change again if it lacks it",
		KindConflict:    "read the new revision and apply the change to it",
		KindCorrupt:     "restore the object from a backup",
	}
)

// Error returns the kind, the revision last seen and the remedy.
func (e *Error) Error() string {
	s := fmt.Sprintf("configuration change: %s: last seen revision %d by proposal %q", e.Kind, e.Revision, e.ProposalID)
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s + "; " + remedies[e.Kind]
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Error returns all problems with their remedies.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, fmt.Sprintf("%s: %s; %s", p.Path, p.Detail, p.Remedy))
	}
	return "invalid configuration: " + strings.Join(lines, "\n")
}

// KindOf returns the kind of the first Error in err's chain, or "" if there is none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
