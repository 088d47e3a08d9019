// This file defines the store interface and its typed errors.

package clstore

import (
	"context"
	"fmt"

	"github.com/go-faster/errors"
)

type (
	// Object is one value of the store at one version.
	Object struct {
		Key   string
		Value []byte
		// Version is positive and rises with each change of the object.
		Version uint64
	}

	// Store keeps versioned values. Its errors are classified by KindOf.
	Store interface {
		// Get returns the object, or an error of KindNotFound.
		Get(ctx context.Context, key string) (Object, error)
		// Update stores value if the current version is ifVersion (0: the key
		// does not exist) and returns the new version.
		Update(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error)
	}

	// Deleter is the optional ability of a Store to remove objects.
	Deleter interface {
		// Delete removes the object if its current version is ifVersion.
		Delete(ctx context.Context, key string, ifVersion uint64) error
	}

	// Kind classifies a failure of a store call.
	Kind string

	// Error is a failed store call; its message names the remedy.
	Error struct {
		Kind Kind
		Op   string
		Key  string
		Err  error
	}
)

// Kinds of failure.
const (
	// KindNone says that the call succeeded.
	KindNone Kind = ""
	// KindNotFound says that the object does not exist.
	KindNotFound Kind = "not_found"
	// KindConflict says that the version differs; nothing was written.
	KindConflict Kind = "conflict"
	// KindUnavailable says that the call had no effect because the store cannot be reached or refused it.
	KindUnavailable Kind = "unavailable"
	// KindUnknown says that the answer was lost; the call may have taken effect, or may still do so.
	KindUnknown Kind = "unknown"
	// KindInvalid says that the call can never succeed.
	KindInvalid Kind = "invalid"
)

var (
	_ error = (*Error)(nil)

	remedies = map[Kind]string{
		KindNotFound:    "create it with version 0",
		KindConflict:    "read it again and repeat the change on its new version",
		KindUnavailable: "retry when the store answers",
		KindUnknown:     "read it back to learn whether the call took effect",
		KindInvalid:     "correct the call",
	}
)

// Error returns the operation, the key, the kind, the cause and the remedy.
func (e *Error) Error() string {
	return fmt.Sprintf("%s %q: %s: %v; %s", e.Op, e.Key, e.Kind, e.Err, remedies[e.Kind])
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns KindNone for nil, the kind of the first Error in err's chain,
// or KindUnknown, because nothing is known about the effect of a call that
// failed in an unclassified way.
func KindOf(err error) Kind {
	if err == nil {
		return KindNone
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return KindUnknown
}
