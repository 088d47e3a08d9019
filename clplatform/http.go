// This file defines the HTTP adapter's connection handling and its errors.

package clplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/serving/clframing"
	"github.com/go-faster/errors"
)

type (
	// HTTP provides the platform's interfaces over its HTTP API; exported
	// fields are set before the first call. Calls that change something are not
	// repeated once a byte was sent.
	HTTP struct {
		// Address is the platform's address.
		Address netip.AddrPort
		// ConnectTimeout limits the dial; 0 means DefaultConnectTimeout.
		ConnectTimeout time.Duration
		// ReadTimeout limits reads of objects and lists, and a watch beyond its
		// wait; 0 means DefaultCallTimeout.
		ReadTimeout time.Duration
		// WriteTimeout limits updates and deletions; 0 means DefaultCallTimeout.
		WriteTimeout time.Duration
		// CloudTimeout limits calls of the cloud API and the weight store; 0
		// means DefaultCallTimeout.
		CloudTimeout time.Duration

		once   sync.Once
		client *http.Client
	}

	// call is one request to the platform.
	call struct {
		op      string
		method  string
		target  string // path and query
		header  http.Header
		body    []byte
		timeout time.Duration
		// effect says that the call changes something, so that a lost answer is KindUnknown.
		effect   bool
		maxBytes int64
	}

	// answer is a complete answer of the platform.
	answer struct {
		status int
		header http.Header
		body   []byte
	}
)

const (
	// DefaultConnectTimeout suits a platform a few milliseconds away.
	DefaultConnectTimeout = 500 * time.Millisecond
	// DefaultCallTimeout suits an object API that answers in milliseconds.
	DefaultCallTimeout = 2 * time.Second

	// maxIdleConns is small because a process makes few calls at a time.
	maxIdleConns = 16
	idleTimeout  = 30 * time.Second
	// maxAnswerBytes limits lists; maxValueBytes limits one object, with room for the platform's 1 MB.
	maxAnswerBytes = 64 << 20
	maxValueBytes  = 2 << 20
)

var (
	_ Objects   = (*HTTP)(nil)
	_ Cloud     = (*HTTP)(nil)
	_ Instances = (*HTTP)(nil)
	_ Weights   = (*HTTP)(nil)
)

// Close closes idle connections.
func (h *HTTP) Close() { h.http().CloseIdleConnections() }

func (h *HTTP) http() *http.Client {
	h.once.Do(func() {
		d := &net.Dialer{Timeout: or(h.ConnectTimeout, DefaultConnectTimeout)}
		h.client = &http.Client{
			Transport: &http.Transport{
				DialContext: clframing.Dial(d.DialContext), MaxIdleConnsPerHost: maxIdleConns, IdleConnTimeout: idleTimeout,
				DisableCompression: true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
		}
	})
	return h.client
}

// do sends the call and returns a successful answer, or 304 to a read; other
// answers become errors of their kind.
func (h *HTTP) do(ctx context.Context, c call) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		// From here on bytes may reach the platform.
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, c.method, "http://"+h.Address.String()+c.target, bytes.NewReader(c.body))
	if err != nil {
		return answer{}, c.fail(KindInvalid, err)
	}
	for k, v := range c.header {
		req.Header[k] = v
	}
	resp, err := h.http().Do(req)
	if err != nil {
		return answer{}, c.fail(c.lostKind(sent.Load()), err)
	}
	defer resp.Body.Close()
	limit := c.maxBytes
	if limit == 0 {
		limit = maxAnswerBytes
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return answer{}, c.fail(c.lostKind(true), errors.Wrap(err, "read answer"))
	}
	if int64(len(body)) > limit {
		return answer{}, c.fail(c.lostKind(true), errors.Errorf("answer is over %d bytes", limit))
	}
	a := answer{status: resp.StatusCode, header: resp.Header, body: body}
	return a, c.checkStatus(a)
}

// lostKind returns the kind of a call whose answer did not arrive.
func (c *call) lostKind(sent bool) Kind {
	if sent && c.effect {
		return KindUnknown
	}
	return KindUnavailable
}

func (c *call) checkStatus(a answer) error {
	err := errors.Errorf("platform answered %d: %s", a.status, excerpt(a.body))
	switch s := a.status; {
	case s < 300, s == http.StatusNotModified && !c.effect:
		return nil
	case s < 400:
		return c.fail(c.lostKind(true), err) // the platform's API has no redirects
	case s == http.StatusNotFound:
		return c.fail(KindNotFound, err)
	case s == http.StatusPreconditionFailed:
		return c.fail(KindConflict, err)
	case s == http.StatusConflict:
		return c.fail(KindRefused, err)
	case s == http.StatusTooManyRequests, s == http.StatusServiceUnavailable:
		return c.fail(KindUnavailable, err)
	case s >= 500:
		// The platform failed at an unknown point of the call.
		return c.fail(c.lostKind(true), err)
	default:
		return c.fail(KindInvalid, err)
	}
}

// decode unmarshals an answer's body into v.
func (c *call) decode(a answer, v any) error {
	if err := json.Unmarshal(a.body, v); err != nil {
		return c.fail(c.lostKind(true), errors.Wrap(err, "decode answer"))
	}
	return nil
}

func (c *call) fail(k Kind, err error) error {
	return &Error{Kind: k, Op: c.op, Remedy: remedies[k], Err: err}
}

var remedies = map[Kind]string{
	KindNotFound:    "check the key, or create the object",
	KindConflict:    "read the object again and decide on its new content",
	KindUnavailable: "retry later with backoff",
	KindUnknown:     "read back to see whether the change took effect",
	KindTimeout:     "watch again",
	KindRefused:     "try another class or data centre, or later",
	KindInvalid:     "correct the request",
}

// excerpt shortens an error answer for a message.
func excerpt(b []byte) string {
	const maxLen = 200
	return string(b[:min(len(b), maxLen)])
}

func or(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}
