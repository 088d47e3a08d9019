// This file defines the exit codes and the errors that carry them.

package clcommand

import (
	"context"
	"fmt"
	"net"

	"github.com/go-faster/errors"
	"github.com/twitchtv/twirp"
)

type (
	// ExitCode is the exit code of the process.
	ExitCode int

	// Error is a failed command; Remedy says what to do next.
	Error struct {
		Code   ExitCode
		Reason string
		Remedy string
		Err    error
	}

	// call says what a failed call to the operators' API means.
	call struct {
		// what names the call in messages, as "confirm plan p1".
		what string
		// readBack is the command that shows whether a change took effect; empty for calls that change nothing.
		readBack string
	}
)

// Exit codes, which --help documents.
const (
	ExitSuccess  ExitCode = 0
	ExitFailure  ExitCode = 1
	ExitUsage    ExitCode = 2
	ExitUndone   ExitCode = 3
	ExitRejected ExitCode = 4
	ExitConflict ExitCode = 5
	ExitUnknown  ExitCode = 6
)

const exitCodesHelp = `Exit codes:
   0  success
   1  failure; nothing was changed
   2  wrong usage
   3  the plan is undone
   4  the plan was rejected
   5  conflict with another change; nothing was changed
   6  unknown outcome: the change may have taken effect`

var _ error = (*Error)(nil)

// Error returns the reason, the cause and the remedy.
func (e *Error) Error() string {
	text := e.Reason
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	if e.Remedy != "" {
		text += "; " + e.Remedy
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func usagef(format string, args ...any) error {
	return &Error{Code: ExitUsage, Reason: fmt.Sprintf(format, args...)}
}

// fail turns the error of a call into an Error whose code tells scripts
// whether the change was refused or may have taken effect.
func (c call) fail(err error) error {
	var te twirp.Error
	if !errors.As(err, &te) {
		te = twirp.InternalErrorWith(err)
	}
	e := &Error{Code: ExitFailure, Reason: c.what, Err: errors.New(te.Msg())}
	switch te.Code() {
	case twirp.Aborted, twirp.AlreadyExists, twirp.FailedPrecondition:
		e.Code = ExitConflict
		e.Remedy = "nothing was changed; read the current state and decide again"
	case twirp.Unauthenticated, twirp.PermissionDenied:
		e.Remedy = "pass an operator's token with --token-file"
	case twirp.InvalidArgument, twirp.OutOfRange, twirp.Malformed:
		e.Remedy = "correct the request; nothing was changed"
	case twirp.NotFound:
		e.Remedy = "list the existing ones with `chestnutlead plan list` or `chestnutlead config get`"
	case twirp.BadRoute:
		e.Remedy = "check that --server is the operator address of a control process"
	default:
		c.failOutcome(e, te, err)
	}
	return e
}

// failOutcome handles failures after which a change may have taken effect.
func (c call) failOutcome(e *Error, te twirp.Error, err error) {
	var op *net.OpError
	switch {
	case errors.As(err, &op) && op.Op == "dial":
		e.Remedy = "nothing was sent; check --server, or name another control process"
	case te.Code() == twirp.Unavailable && te.Meta("http_error_from_intermediary") != "true",
		te.Code() == twirp.ResourceExhausted, te.Code() == twirp.Unimplemented:
		e.Remedy = "nothing was changed; try again later or name another control process with --server"
	case c.readBack != "":
		e.Code = ExitUnknown
		e.Remedy = "the change may have taken effect; see `" + c.readBack + "` before you repeat it"
	case errors.Is(err, context.DeadlineExceeded):
		e.Remedy = "try again, or raise --timeout"
	default:
		e.Remedy = "try again, or name another control process with --server"
	}
}
