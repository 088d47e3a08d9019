// This file defines the interface to endpoints and the values it carries.

package clendpoint

import (
	"context"
	"net/netip"
	"time"
)

type (
	// Call is one attempt to run a request at an endpoint.
	Call struct {
		Endpoint netip.AddrPort
		// AttemptID is sent, and the endpoint echoes it. No other call on the connection
		// has it.
		AttemptID string
		// RequestID is the ID by which the caller recognizes the answer, if that is
		// not AttemptID. It is neither sent nor compared here, but decides over which
		// connection the call goes: none carries two calls with the same ID.
		RequestID string
		Method    string
		// Path includes the query.
		Path   string
		Header []Header
		Body   []byte
		// Timeouts are the inactivity limits of this attempt.
		Timeouts Timeouts
		// NewConnection forbids a kept-alive connection, which the endpoint may
		// close in the moment the request is sent; set it for calls that may not
		// be repeated.
		NewConnection bool
		// BootID, unless empty, is the only start of the endpoint that may get the
		// request. Each new connection is asked for its boot ID once: a connection
		// does not outlive the process that accepted it.
		BootID string
		// SendBefore, unless zero, is the time from which no byte may be sent.
		SendBefore time.Time
		// KeepWaiting, unless nil, is asked each time the endpoint has been silent for
		// the limit of FirstByte or BetweenReads; if it returns true, the attempt goes
		// on for that long again.
		KeepWaiting func() bool

		// report says that the answer need not echo the attempt ID: some endpoints echo
		// it in answers to callers' requests only.
		report bool
	}

	// Header is one header field of a call or an answer.
	Header struct {
		Name, Value string
	}

	// Timeouts are inactivity limits; zero means the client's default.
	Timeouts struct {
		Connect time.Duration
		// FirstByte limits the time from the request to the end of the answer's header.
		FirstByte time.Duration
		// BetweenReads limits the silence inside an answer's body.
		BetweenReads time.Duration
	}

	// Answer is an endpoint's answer, whose body is read as it arrives.
	Answer struct {
		Status int
		Header []Header
		Body   BodyReader
		// Conn tells what the connection had carried before, so that bytes which
		// belong to that may have come first.
		Conn ConnUse
		// UntilClose says that the body has neither a length nor chunks and ends with
		// its connection. It then cannot tell a whole body from one whose endpoint
		// ended.
		UntilClose bool
	}

	// ConnUse tells what a connection had carried before an attempt.
	ConnUse struct {
		// Number tells the connections of a process apart.
		Number uint64
		// Requests is the number of requests, reports included, that the connection
		// had carried.
		Requests int
		// SameID says that one of them had the ID of this attempt, which must not happen.
		SameID bool
	}

	// ConnChoice says why a call goes over a kept connection or a new one.
	ConnChoice string

	// BodyReader reads an answer's body; Close before Read has returned the end of
	// a body, an empty one included, abandons the attempt and closes its connection,
	// which is never reused. A caller that does not recognize the answer as its own
	// must close the body unread.
	BodyReader interface {
		Read(p []byte) (int, error)
		Close() error
	}

	// Client sends calls to endpoints.
	Client interface {
		// Do returns when the status and header have arrived.
		Do(ctx context.Context, c Call) (*Answer, error)
		// CloseIdle closes the idle connections to an address.
		CloseIdle(addr netip.AddrPort)
	}

	// Load is an endpoint's load report, which lags.
	Load struct {
		BootID      string    `json:"boot_id"`
		ProducedAt  time.Time `json:"produced_at"`
		Running     int       `json:"running"`
		Waiting     int       `json:"waiting"`
		KVUsedRatio float64   `json:"kv_used_ratio"`
		Cold        bool      `json:"cold"`
		Leaving     bool      `json:"leaving"`
		Service     string    `json:"service"`
		Version     string    `json:"version"`
	}

	// CacheEvent says that an endpoint's prefix cache gained or lost a block.
	CacheEvent struct {
		Sequence uint64 `json:"sequence"`
		// Block is the hash of a prompt prefix up to the end of the block.
		Block uint64 `json:"block"`
		Added bool   `json:"added"`
	}

	// Observer reads an endpoint's reports.
	Observer interface {
		Load(ctx context.Context, addr netip.AddrPort) (Load, error)
		// CacheEvents returns events with a sequence above after; gaps are possible.
		CacheEvents(ctx context.Context, addr netip.AddrPort, after uint64) ([]CacheEvent, error)
	}

	// Order tells an engine to load a model version or to change its role.
	Order struct {
		// Fencing is the fencing number of the lease under which the order is given.
		Fencing uint64 `json:"fencing"`
		Action  string `json:"action"`
		Version string `json:"version"`
		Role    string `json:"role"`
	}

	// Orderer gives orders to engines.
	Orderer interface {
		Order(ctx context.Context, addr netip.AddrPort, o Order) error
	}

	// Kind classifies the failure of a call.
	Kind string

	// RestartedError says that the endpoint has another boot ID than the call
	// asked for; the request can be sent to another endpoint.
	RestartedError struct {
		// Want is the boot ID of the call, and Load the report of the present start.
		Want string
		Load Load
	}

	// Error is a failed call; Kind says whether the request can have run.
	Error struct {
		Kind Kind
		Err  error
	}
)

// Choices of a connection.
const (
	// ConnKept is a kept connection.
	ConnKept ConnChoice = "kept"
	// ConnNoneIdle is a new connection, because none was idle.
	ConnNoneIdle ConnChoice = "none_idle"
	// ConnHadID is a new connection in place of an idle one, because each usable one
	// had carried a request with the same ID.
	ConnHadID ConnChoice = "had_id"
	// ConnAsked is a new connection, because the call asked for it.
	ConnAsked ConnChoice = "asked_for"
	// ConnUnusable is a new connection, because each idle one was closed, had been
	// idle for too long or had unread bytes.
	ConnUnusable ConnChoice = "unusable"
)

// Kinds of failure of a call.
const (
	// KindNotSent says that no byte of the request can have reached the endpoint.
	KindNotSent Kind = "not_sent"
	// KindBroken says that the connection ended before the whole answer.
	KindBroken Kind = "broken"
	// KindSilent says that the connection stayed silent past its limit.
	KindSilent Kind = "silent"
	// KindFenced says that the engine refused an order with an old fencing number.
	KindFenced Kind = "fenced"
	// KindStatus says that a report or an order was answered with an error status.
	KindStatus Kind = "status"
)

var (
	_ error = (*Error)(nil)
	_ error = (*RestartedError)(nil)
)

// Error returns both boot IDs.
func (e *RestartedError) Error() string {
	return "the endpoint restarted: boot ID " + e.Load.BootID + " in place of " + e.Want
}

// Error returns the kind and the cause.
func (e *Error) Error() string { return string(e.Kind) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
