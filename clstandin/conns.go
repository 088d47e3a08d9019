// This file defines the listener whose connections can be aborted or silenced.

package clstandin

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

type (
	// trackedListener keeps its open connections and can be closed and reopened
	// on the same address while the HTTP server keeps calling Accept.
	trackedListener struct {
		addr net.Addr

		mu     sync.Mutex
		cond   *sync.Cond
		ln     net.Listener // nil while suspended
		closed bool
		conns  map[*trackedConn]struct{}
	}

	// trackedConn discards what is written to it once it is silent.
	trackedConn struct {
		net.Conn
		owner    *trackedListener
		silent   atomic.Bool
		aborted  atomic.Bool
		peerGone atomic.Bool
	}
)

// relistenRetry is the pause between attempts to reopen an address that is briefly in use.
const relistenRetry = 5 * time.Millisecond

var (
	_ net.Listener = (*trackedListener)(nil)
	_ net.Conn     = (*trackedConn)(nil)
)

func listenTracked(addr string) (*trackedListener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	t := &trackedListener{addr: ln.Addr(), ln: ln, conns: make(map[*trackedConn]struct{})}
	t.cond = sync.NewCond(&t.mu)
	return t, nil
}

// Accept waits while the listener is suspended.
func (t *trackedListener) Accept() (net.Conn, error) {
	for {
		t.mu.Lock()
		for t.ln == nil && !t.closed {
			t.cond.Wait()
		}
		ln, closed := t.ln, t.closed
		t.mu.Unlock()
		if closed {
			return nil, net.ErrClosed
		}
		c, err := ln.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) { // such as a lack of file descriptors
				time.Sleep(relistenRetry)
			}
			continue
		}
		tc := &trackedConn{Conn: c, owner: t}
		t.mu.Lock()
		if t.ln != ln { // accepted in the moment of suspension
			t.mu.Unlock()
			tc.abort()
			continue
		}
		t.conns[tc] = struct{}{}
		t.mu.Unlock()
		return tc, nil
	}
}

// Addr returns the address, also while suspended.
func (t *trackedListener) Addr() net.Addr { return t.addr }

// Close ends Accept and aborts all silent connections.
func (t *trackedListener) Close() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	if t.ln != nil {
		t.ln.Close()
		t.ln = nil
	}
	for c := range t.conns {
		if c.silent.Load() {
			c.abort()
		}
	}
	t.cond.Broadcast()
	return nil
}

// suspend makes the kernel refuse new connections.
func (t *trackedListener) suspend() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ln != nil {
		t.ln.Close()
		t.ln = nil
	}
}

func (t *trackedListener) resume() {
	for {
		t.mu.Lock()
		if t.ln != nil || t.closed {
			t.mu.Unlock()
			return
		}
		ln, err := net.Listen("tcp", t.addr.String())
		if err == nil {
			t.ln = ln
			t.cond.Broadcast()
		}
		t.mu.Unlock()
		if err == nil {
			return
		}
		time.Sleep(relistenRetry)
	}
}

// each calls f for all open connections but except.
func (t *trackedListener) each(except net.Conn, f func(*trackedConn)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c := range t.conns {
		if net.Conn(c) != except {
			f(c)
		}
	}
}

func (t *trackedListener) forget(c *trackedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// Read notes when the peer has closed, after which Close really closes.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.peerGone.Store(true)
	}
	return n, err
}

// Write discards p if the connection is silent.
func (c *trackedConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close leaves a silent connection open, because a close would be seen by the
// peer; it is aborted when the stand-in is closed.
func (c *trackedConn) Close() error {
	if c.silent.Load() && !c.peerGone.Load() {
		return nil
	}
	c.owner.forget(c)
	return c.Conn.Close()
}

// abort resets the connection.
func (c *trackedConn) abort() {
	c.aborted.Store(true)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}
