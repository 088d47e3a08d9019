// This file defines the HTTP client of endpoints.

package clendpoint

import (
	"context"
	"net"
	"net/netip"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

type (
	// HTTP sends calls to endpoints; exported fields are set before the first
	// call. It never repeats a call.
	//
	// It uses fasthttp's header codec on connections of its own pool, because
	// fasthttp.HostClient does not say whether any byte of a failed request was
	// written, learns of a connection that the endpoint closed only by failing
	// a request on it, and limits a streamed answer as a whole, not its silence.
	HTTP struct {
		// Timeouts are the defaults of calls that set none.
		Timeouts Timeouts
		// IdleTimeout limits how long a connection is kept for reuse, and must be
		// below the endpoints' own limit; 0 means DefaultIdleTimeout.
		IdleTimeout time.Duration
		// MaxIdlePerEndpoint limits the connections kept for each endpoint; 0
		// means DefaultMaxIdlePerEndpoint.
		MaxIdlePerEndpoint int
		// Connected, unless nil, is told for each call which connection it goes over.
		// It must not block.
		Connected func(ConnChoice)

		pool pool
		// lastReport is the number of the latest call that exchange has sent.
		lastReport atomic.Uint64
	}
)

const (
	// DefaultIdleTimeout is below the keep-alive limits of common HTTP servers.
	DefaultIdleTimeout = 4 * time.Second
	// DefaultMaxIdlePerEndpoint covers the requests that an engine usually runs at once.
	DefaultMaxIdlePerEndpoint = 64
	// DefaultConnectTimeout suits endpoints a few milliseconds away.
	DefaultConnectTimeout = 250 * time.Millisecond
	// DefaultFirstByteTimeout leaves room for queueing and a long prefill.
	DefaultFirstByteTimeout = 10 * time.Second
	// DefaultBetweenReadsTimeout is many times the usual time between tokens.
	DefaultBetweenReadsTimeout = 2 * time.Second

	// maxInformational limits the 1xx answers before the final one.
	maxInformational = 8
	// oneWriteBytes is the largest body that is copied behind the header, so
	// that the request goes out in one write.
	oneWriteBytes = 16 << 10
)

var _ Client = (*HTTP)(nil)

// Do sends one attempt and returns when the status and header have arrived.
// ctx governs the whole attempt, also while the body is read.
func (h *HTTP) Do(ctx context.Context, call Call) (*Answer, error) {
	if err := validate(call); err != nil {
		return nil, &Error{Kind: KindNotSent, Err: err}
	}
	if err := ctx.Err(); err != nil {
		return nil, &Error{Kind: KindNotSent, Err: err}
	}
	t := h.timeouts(call.Timeouts)
	c, err := h.connect(ctx, call, t)
	if err != nil {
		return nil, &Error{Kind: KindNotSent, Err: err}
	}
	if !call.SendBefore.IsZero() && time.Now().After(call.SendBefore) {
		_ = c.Conn.Close()
		return nil, &Error{Kind: KindNotSent, Err: errors.New("it took too long to connect")}
	}
	c.begin(ctx, t)
	c.keepWaiting = call.KeepWaiting
	c.record(call)
	n, err := c.send(call)
	if err != nil {
		err = c.classify(err, n > 0)
		c.abandon()
		return nil, err
	}
	a, err := c.readAnswer(call, h)
	if err != nil {
		err = c.classify(err, true)
		c.abandon()
		return nil, err
	}
	return a, nil
}

// CloseIdle closes the idle connections to an address.
func (h *HTTP) CloseIdle(addr netip.AddrPort) { h.pool.closeAddr(addr) }

// Close closes all idle connections.
func (h *HTTP) Close() { h.pool.closeAll() }

func (h *HTTP) timeouts(t Timeouts) Timeouts {
	return Timeouts{
		Connect:      or(t.Connect, h.Timeouts.Connect, DefaultConnectTimeout),
		FirstByte:    or(t.FirstByte, h.Timeouts.FirstByte, DefaultFirstByteTimeout),
		BetweenReads: or(t.BetweenReads, h.Timeouts.BetweenReads, DefaultBetweenReadsTimeout),
	}
}

// connect returns an idle connection that is still open and has not carried a request
// with the same ID, or a new one. On a connection that has, the answer could not be told
// from a copy of the earlier one.
func (h *HTTP) connect(ctx context.Context, call Call, t Timeouts) (*conn, error) {
	choice := ConnAsked
	if !call.NewConnection {
		var c *conn
		if c, choice = h.pool.take(poolKey{call.Endpoint, call.BootID}, time.Now().Add(-or(h.IdleTimeout, DefaultIdleTimeout)), call.idHash()); c != nil {
			h.connected(ConnKept)
			return c, nil
		}
	}
	h.connected(choice)
	c, err := dial(ctx, call.Endpoint, t)
	if err != nil || call.BootID == "" {
		return c, err
	}
	return identify(ctx, c, call, t)
}

func (h *HTTP) connected(c ConnChoice) {
	if h.Connected != nil {
		h.Connected(c)
	}
}

func dial(ctx context.Context, addr netip.AddrPort, t Timeouts) (*conn, error) {
	d := net.Dialer{Timeout: t.Connect}
	nc, err := d.DialContext(ctx, "tcp", addr.String())
	if err != nil {
		return nil, err
	}
	return newConn(nc, addr), nil
}

// release keeps the connection of a completely read answer.
func (h *HTTP) release(c *conn) {
	maxIdle := h.MaxIdlePerEndpoint
	if maxIdle <= 0 {
		maxIdle = DefaultMaxIdlePerEndpoint
	}
	h.pool.put(c, maxIdle, or(h.IdleTimeout, DefaultIdleTimeout))
}

// send writes the request and returns the number of bytes that were handed to the kernel.
func (c *conn) send(call Call) (int64, error) {
	c.armWrite()
	c.check.Expect(call.Method == fasthttp.MethodHead)
	hdr := requestHeaders.Get().(*fasthttp.RequestHeader)
	defer requestHeaders.Put(hdr)
	hdr.Reset()
	hdr.DisableNormalizing()
	hdr.SetNoDefaultContentType(true)
	hdr.SetMethod(call.Method)
	hdr.SetRequestURI(call.Path)
	hdr.SetHost(call.Endpoint.String())
	hdr.SetUserAgent("chestnutlead")
	for _, f := range call.Header {
		if !ownedHeader(f.Name) {
			hdr.Add(f.Name, f.Value)
		}
	}
	if call.AttemptID != "" {
		hdr.Set(AttemptHeader, call.AttemptID)
	}
	if len(call.Body) > 0 || call.Method != fasthttp.MethodGet && call.Method != fasthttp.MethodHead {
		hdr.SetContentLength(len(call.Body))
	}
	c.out = hdr.AppendBytes(c.out[:0])
	if len(call.Body) <= oneWriteBytes {
		c.out = append(c.out, call.Body...)
		n, err := c.Conn.Write(c.out)
		return int64(n), err
	}
	bufs := net.Buffers{c.out, call.Body}
	return bufs.WriteTo(c.Conn)
}

// readAnswer reads up to the end of the header of the final answer.
func (c *conn) readAnswer(call Call, h *HTTP) (*Answer, error) {
	hdr := responseHeaders.Get().(*fasthttp.ResponseHeader)
	defer responseHeaders.Put(hdr)
	for i := 0; ; i++ {
		hdr.Reset()
		hdr.DisableNormalizing()
		hdr.SetNoDefaultContentType(true)
		if err := hdr.Read(c.br); err != nil {
			return nil, errors.Wrap(err, "read answer header")
		}
		if s := hdr.StatusCode(); s >= 200 {
			break
		} else if s == fasthttp.StatusSwitchingProtocols || i == maxInformational {
			return nil, errors.Errorf("unexpected answer %d", s)
		}
	}
	c.headBefore = time.Time{}
	a := &Answer{Status: hdr.StatusCode(), Conn: c.use}
	for k, v := range hdr.All() {
		if name := string(k); !ownedHeader(name) {
			a.Header = append(a.Header, Header{Name: name, Value: string(v)})
		}
	}
	if err := c.checkEcho(call, a.Value(AttemptHeader)); err != nil {
		return nil, err
	}
	length := bodyLength(call.Method, hdr)
	// A failure that names no attempt may be a proxy's; nothing would tell its copy from
	// the next answer.
	unnamed := call.AttemptID != "" && a.Status >= fasthttp.StatusBadRequest && a.Value(AttemptHeader) == ""
	a.Body, a.UntilClose = newBody(c, h, length, unnamed || hdr.ConnectionClose()), length == lengthUntilClose
	return a, nil
}

// checkEcho returns an error if an answer that echoes the given attempt ID belongs to
// another call. An answer without an ID is accepted as long as no earlier one on the
// connection has had one: not all endpoints echo it, but those that do always do, except
// in reports.
func (c *conn) checkEcho(call Call, echoed string) error {
	if call.AttemptID == "" || echoed == "" && (call.report || !c.echoes) {
		return nil
	}
	if echoed != call.AttemptID {
		return errors.Errorf("answer is for attempt %q", echoed)
	}
	c.echoes = true
	return nil
}

// bodyLength returns the length of the answer's body, lengthChunked or lengthUntilClose.
func bodyLength(method string, hdr *fasthttp.ResponseHeader) int64 {
	s := hdr.StatusCode()
	if method == fasthttp.MethodHead || s == fasthttp.StatusNoContent || s == fasthttp.StatusNotModified {
		return 0
	}
	return int64(hdr.ContentLength())
}

// Value returns the first header of the name, in any case, or "".
func (a *Answer) Value(name string) string {
	for _, h := range a.Header {
		if strings.EqualFold(h.Name, name) {
			return h.Value
		}
	}
	return ""
}

// ownedHeader reports whether the client itself decides on a header, because
// it concerns a single connection or the framing of the body.
func ownedHeader(name string) bool {
	switch strings.ToLower(name) {
	case "connection", "content-length", "expect", "host", "keep-alive", "proxy-authenticate", "proxy-authorization",
		"proxy-connection", "te", "trailer", "transfer-encoding", "upgrade":
		return true
	}
	return false
}

// validate rejects calls that would not arrive as one request.
func validate(call Call) error {
	if !call.Endpoint.IsValid() {
		return errors.New("endpoint address is missing")
	}
	if !isToken(call.Method) || !strings.HasPrefix(call.Path, "/") || !isField(call.Path) || strings.Contains(call.Path, " ") {
		return errors.Errorf("method %q or path %q is invalid", call.Method, call.Path)
	}
	for _, f := range call.Header {
		if !isToken(f.Name) || !isField(f.Value) {
			return errors.Errorf("header %q is invalid", f.Name)
		}
	}
	if !isField(call.AttemptID) {
		return errors.New("attempt ID is invalid")
	}
	return nil
}

func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		alnum := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		if !alnum && strings.IndexByte("!#$%&'*+-.^_`|~", c) < 0 {
			return false
		}
	}
	return s != ""
}

// isField reports whether s is free of control characters, which could end the field.
func isField(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

func or(durations ...time.Duration) time.Duration {
	for _, d := range durations {
		if d > 0 {
			return d
		}
	}
	return 0
}
