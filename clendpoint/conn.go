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

	"github.com/chestnutlead/chestnutlead/internal/serving/clframing"
	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

type (
	// conn is a connection; between begin and finish it belongs to one attempt.
	conn struct {
		net.Conn
		addr   netip.AddrPort
		boot   string           // boot ID of the process that accepted the connection, if asked for
		echoes bool             // an answer on it has carried an attempt ID
		use    ConnUse          // what it had carried before the present attempt
		sent   int              // requests that it has carried, with the present one
		ids    idSet            // IDs of these requests
		check  clframing.Reader // reads through readLimited
		br     *bufio.Reader    // reads through check
		out    []byte           // request buffer

		ctx       context.Context
		stop      func() bool // ends the watch on ctx
		cancelled atomic.Bool
		timeouts  Timeouts
		// headBefore is the time by which the answer's header must be complete; zero
		// once it is.
		headBefore  time.Time
		keepWaiting func() bool // Call.KeepWaiting
		readErr     error       // last error of the socket
		idleSince   time.Time
	}

	// readLimited reads from the socket within the attempt's inactivity limits.
	readLimited struct{ c *conn }
)

// readBufferBytes also limits the header of an answer.
const readBufferBytes = clframing.MaxHeadBytes

var (
	requestHeaders  = sync.Pool{New: func() any { return new(fasthttp.RequestHeader) }}
	responseHeaders = sync.Pool{New: func() any { return new(fasthttp.ResponseHeader) }}

	// lastConn is the number of the connection that was opened last.
	lastConn atomic.Uint64

	// past is a deadline that ends blocked reads and writes at once.
	past = time.Unix(1, 0)
)

func newConn(nc net.Conn, addr netip.AddrPort) *conn {
	c := &conn{Conn: nc, addr: addr, use: ConnUse{Number: lastConn.Add(1)}}
	c.check.R = readLimited{c}
	c.br = bufio.NewReaderSize(&c.check, readBufferBytes)
	return c
}

// begin gives the connection to an attempt.
func (c *conn) begin(ctx context.Context, t Timeouts) {
	c.ctx, c.timeouts, c.keepWaiting, c.readErr = ctx, t, nil, nil
	c.headBefore = time.Now().Add(t.FirstByte)
	c.stop = context.AfterFunc(ctx, c.cancel)
}

func (c *conn) cancel() {
	c.cancelled.Store(true)
	_ = c.SetDeadline(past)
}

// record adds the request of a call to what the connection has carried.
func (c *conn) record(call Call) {
	c.use.Requests, c.use.SameID = c.sent, c.ids.add(call.idHash())
	c.sent++
}

// finish ends the attempt and reports whether the connection may be reused:
// cancel has not run and never will.
func (c *conn) finish() bool {
	ok := c.stop()
	c.ctx, c.stop = nil, nil
	return ok
}

// abandon ends the attempt and resets the connection. A usual close would still deliver
// what lies in the kernel's queue, after a partition even seconds later, when the endpoint
// may have left and the caller has its answer from another one.
func (c *conn) abandon() {
	c.stop()
	if t, ok := c.Conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // fails only if the connection has ended
	}
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

// Read reads within the limit of the header, then within the limit between reads.
func (r readLimited) Read(p []byte) (int, error) {
	c := r.c
	for {
		deadline := c.headBefore
		if deadline.IsZero() {
			deadline = time.Now().Add(c.timeouts.BetweenReads)
		}
		_ = c.SetReadDeadline(deadline)
		c.keepCancelled()
		n, err := c.Conn.Read(p)
		if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && !c.cancelled.Load() && c.keepWaiting != nil && c.keepWaiting() {
			if !c.headBefore.IsZero() {
				c.headBefore = time.Now().Add(c.timeouts.FirstByte)
			}
			continue
		}
		if err != nil {
			c.readErr = err
		}
		return n, err
	}
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

// unread reports whether the endpoint has sent bytes that belong to no answer so far.
func (c *conn) unread() bool { return c.br.Buffered()+c.check.Buffered() > 0 }

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
