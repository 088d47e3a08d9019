// This file defines a connection to an endpoint, which carries one attempt at a time.

package clendpoint

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

type (
	// conn is a connection; between begin and finish it belongs to one attempt.
	conn struct {
		net.Conn
		addr netip.AddrPort
		boot string        // boot ID of the process that accepted the connection, if asked for
		br   *bufio.Reader // reads through readLimited
		out  []byte        // request buffer

		ctx       context.Context
		stop      func() bool // ends the watch on ctx
		cancelled atomic.Bool
		timeouts  Timeouts
		answered  bool  // a byte of the answer has arrived
		readErr   error // last error of the socket
		idleSince time.Time
	}

	// readLimited reads from the socket within the attempt's inactivity limits.
	readLimited struct{ c *conn }
)

// readBufferBytes also limits the header of an answer.
const readBufferBytes = 8 << 10

var (
	requestHeaders  = sync.Pool{New: func() any { return new(fasthttp.RequestHeader) }}
	responseHeaders = sync.Pool{New: func() any { return new(fasthttp.ResponseHeader) }}

	// past is a deadline that ends blocked reads and writes at once.
	past = time.Unix(1, 0)
)

func newConn(nc net.Conn, addr netip.AddrPort) *conn {
	c := &conn{Conn: nc, addr: addr}
	c.br = bufio.NewReaderSize(readLimited{c}, readBufferBytes)
	return c
}

// begin gives the connection to an attempt.
func (c *conn) begin(ctx context.Context, t Timeouts) {
	c.ctx, c.timeouts, c.answered, c.readErr = ctx, t, false, nil
	c.stop = context.AfterFunc(ctx, c.cancel)
}

func (c *conn) cancel() {
	c.cancelled.Store(true)
	_ = c.SetDeadline(past)
}

// finish ends the attempt and reports whether the connection may be reused:
// cancel has not run and never will.
func (c *conn) finish() bool {
	ok := c.stop()
	c.ctx, c.stop = nil, nil
	return ok
}

// abandon ends the attempt and closes the connection.
func (c *conn) abandon() {
	c.stop()
	_ = c.Conn.Close()
}

// armWrite limits the time for the whole request to be taken by the endpoint.
func (c *conn) armWrite() {
	_ = c.SetWriteDeadline(time.Now().Add(c.timeouts.FirstByte))
	c.keepCancelled()
}

// keepCancelled restores the deadline of cancel if it was just overwritten.
func (c *conn) keepCancelled() {
	if c.cancelled.Load() {
		_ = c.SetDeadline(past)
	}
}

// Read reads within the first-byte limit, then within the limit between reads.
func (r readLimited) Read(p []byte) (int, error) {
	c := r.c
	limit := c.timeouts.FirstByte
	if c.answered {
		limit = c.timeouts.BetweenReads
	}
	_ = c.SetReadDeadline(time.Now().Add(limit))
	c.keepCancelled()
	n, err := c.Conn.Read(p)
	c.answered = c.answered || n > 0
	if err != nil {
		c.readErr = err
	}
	return n, err
}

// classify returns the typed error of an attempt of which sent says whether
// any byte can have reached the endpoint.
func (c *conn) classify(err error, sent bool) error {
	kind := KindBroken
	switch {
	case !sent:
		kind = KindNotSent
	case c.cancelled.Load():
	case errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(c.readErr, os.ErrDeadlineExceeded):
		kind = KindSilent
	}
	if c.cancelled.Load() && c.ctx.Err() != nil {
		err = c.ctx.Err()
	} else if c.readErr != nil && !errors.Is(err, c.readErr) {
		// The header codec replaces the socket's error by its own.
		err = errors.Wrap(c.readErr, err.Error())
	}
	return &Error{Kind: kind, Err: err}
}

// usable reports whether the endpoint has neither closed an idle connection
// nor sent anything on it.
func (c *conn) usable() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && open
}
