// This file defines a listener that counts bytes, calls and connections.

package clbench

import (
	"bytes"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

type (
	// traffic counts what the listeners of a fleet receive and send. Every
	// byte is sent by one process of the fleet and received by another, so
	// each process sends and receives twice the total divided by the processes.
	traffic struct {
		received, sent, accepted, open atomic.Int64
		mu                             sync.Mutex
		calls                          map[string]int
	}

	// countingListener counts the traffic of its connections.
	countingListener struct {
		net.Listener
		traffic *traffic
		// idleLimit bounds the time that an idle connection stays open, so that
		// a large fleet in one process stays within its open files; 0 means no bound.
		idleLimit time.Duration
	}

	countingConn struct {
		net.Conn
		l      *countingListener
		closed sync.Once
	}

	// trafficCount is the state of a traffic at one time.
	trafficCount struct {
		received, sent, accepted, open int64
		calls                          map[string]int
	}
)

var (
	_ net.Listener = (*countingListener)(nil)
	_ net.Conn     = (*countingConn)(nil)

	requestStart = []byte("POST ")
)

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.traffic.accepted.Add(1)
	l.traffic.open.Add(1)
	return &countingConn{Conn: c, l: l}, nil
}

// Read implements net.Conn; a call is counted where a request starts.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.l.traffic.received.Add(int64(n))
	if bytes.HasPrefix(b[:n], requestStart) {
		line, _, _ := strings.Cut(string(b[:min(n, 200)]), " HTTP/")
		c.l.traffic.called(line[strings.LastIndexByte(line, '/')+1:])
	}
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.l.traffic.sent.Add(int64(n))
	return n, err
}

// SetReadDeadline implements net.Conn.
func (c *countingConn) SetReadDeadline(t time.Time) error {
	if limit := time.Now().Add(c.l.idleLimit); c.l.idleLimit > 0 && t.After(limit) {
		t = limit
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *countingConn) Close() error {
	c.closed.Do(func() { c.l.traffic.open.Add(-1) })
	return c.Conn.Close()
}

func (t *traffic) called(method string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.calls == nil {
		t.calls = map[string]int{}
	}
	t.calls[method]++
}

func (t *traffic) count() trafficCount {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := trafficCount{
		received: t.received.Load(), sent: t.sent.Load(), accepted: t.accepted.Load(), open: t.open.Load(),
		calls: make(map[string]int, len(t.calls)),
	}
	for m, n := range t.calls {
		c.calls[m] = n
	}
	return c
}
