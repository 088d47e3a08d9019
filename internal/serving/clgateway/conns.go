// This file defines the limits on callers' connections and on request heads.

package clgateway

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/limits/clmemory"
	"go.uber.org/zap"
)

type (
	// connState is what a caller's connection is doing.
	connState int32

	// callerConns holds the connections of callers.
	callerConns struct {
		g *Gateway
		// limit is the largest number of connections.
		limit int

		mu    sync.Mutex
		conns map[*callerConn]struct{}
		// counts holds the number of connections by state.
		counts [connStates]int
	}

	// limitLog tells when to log that a limit was reached. The zero value is ready to use.
	limitLog struct {
		mu sync.Mutex
		// events counts the events since loggedAt, by cause.
		events   map[string]int
		loggedAt map[string]time.Time
	}

	// callerListener accepts connections within the limits of callerConns.
	callerListener struct {
		net.Listener
		conns *callerConns
	}

	// callerConn is a caller's connection. It limits the head of a request.
	callerConn struct {
		net.Conn
		conns *callerConns
		state atomic.Int32
		// linger delays closing, so that a caller that is still sending a body can read
		// why it was refused. Closing at once would discard the response.
		linger atomic.Bool
		// headBytes is the number of bytes read since the previous request. Only the
		// goroutine that reads uses it.
		headBytes int
		// since is when the state began. It and the fields below are guarded by conns.mu.
		since time.Time
		// timer closes the connection if the state lasts until expiresAt.
		timer     *time.Timer
		expiresAt time.Time
		removed   bool
	}

	// connKey is the key of the callerConn in the context of a request.
	connKey struct{}
)

// States of connections.
const (
	// connNew has sent nothing yet.
	connNew connState = iota
	// connIdle waits for the next request.
	connIdle
	// connHead has sent a part of a request head.
	connHead
	// connActive has a request that is read or served.
	connActive
	// connClosing has been refused and is closed soon.
	connClosing
	connStates
)

// String returns the name of the state in metrics.
func (s connState) String() string { return [...]string{"new", "idle", "head", "active", "closing"}[s] }

const (
	// defaultHeaderTimeout and defaultHeaderBytes limit request heads while no
	// configuration is in force, or if the one in force sets no limit. Deployments set 3 s
	// and 16 KiB. A new connection may also stay silent for defaultHeaderTimeout.
	defaultHeaderTimeout = 10 * time.Second
	defaultHeaderBytes   = 64 << 10
	// headTolerance is the factor by which a head may exceed the configured limits, so
	// that a caller which measures them in another way is not cut off.
	headTolerance = 1.5
	// readAheadBytes is how much of a body the server may read together with the head: the
	// size of its read buffer.
	readAheadBytes = 4 << 10
	// serverMaxHeaderBytes disables the limit of net/http, which can't be changed while
	// the server runs, for all limits that a configuration may sensibly set.
	serverMaxHeaderBytes = 16 << 20
	// defaultIdleTimeout is used while no configuration is in force, or if the
	// one in force sets no idle timeout.
	defaultIdleTimeout = 15 * time.Second
	// idleTimeoutSlack is added to the idle timeout, so that the gateway does
	// not close a connection that a caller may still use.
	idleTimeoutSlack = 500 * time.Millisecond
	// connectionBytes is what a connection is counted with: read and write buffers of
	// 4 KiB and two stacks of 8 KiB towards the caller, a head of 16 KiB as parsed, and
	// buffers of 8 and 16 KiB towards an endpoint.
	connectionBytes = 64 << 10
	// connectionFraction is the part of the memory budget that connections may use. With it,
	// bodies that hold firstReadBytes on all connections just fit in the part of the budget
	// for small reservations.
	connectionFraction = 0.5
	// otherDescriptors is the number of descriptors that are not for callers and
	// endpoints: files, listeners, other gateways and the store.
	otherDescriptors = 200
	// descriptorsPerRequest are the connections to the caller and to an endpoint.
	descriptorsPerRequest = 2
	// minConnections lets a gateway with very few descriptors serve at all.
	minConnections = 16
	// lingerTimeout is how long a refused caller that is still sending may read the
	// response. It is the time that net/http uses for the same purpose.
	lingerTimeout = 500 * time.Millisecond
	// settledAfter is the time after which a silent connection is closed for a new one
	// before others. It is longer than a round trip within a continent, so that a caller
	// has had the time to send its request.
	settledAfter = 100 * time.Millisecond
	// limitLogInterval is the time between two log lines about the same cause, so that an
	// attack does not displace other lines.
	limitLogInterval = 10 * time.Second
)

// Reasons for closing a connection.
const (
	closedHeadTooLarge = "head_too_large"
	closedHeadTooSlow  = "head_too_slow"
	closedDisplaced    = "displaced"
	closedAtLimit      = "too_many_connections"
)

// headTooLarge is the response to a head over the limit.
const headTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"

// setMemory derives the limits from the memory and the descriptors of the process.
func (g *Gateway) setMemory() {
	g.memory.budget.SetLimit(g.MemoryBytes)
	limit := int(connectionFraction * float64(g.memory.budget.Limit) / connectionBytes)
	if g.MaxDescriptors > 0 {
		limit = min(limit, (g.MaxDescriptors-otherDescriptors)/descriptorsPerRequest)
	}
	cs := &g.conns
	cs.g, cs.limit = g, max(limit, minConnections)
	cs.conns = make(map[*callerConn]struct{})
	g.collectors.observeMemory(g.Metrics, &g.memory.budget, cs)
	g.Logger.Info("limits for callers", zap.Int64("memory_bytes", g.memory.budget.Limit), zap.Int("connections", cs.limit))
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if out := l.conns.add(c); out != nil {
			return out, nil
		}
		// Nothing was read or written, so an error on closing loses no data.
		_ = c.Close()
	}
}

// add returns the wrapped connection. If there are too many, another one makes room for it
// (see victim), else the body that has stalled for longest. If there is none of these, add
// returns nil.
func (cs *callerConns) add(nc net.Conn) net.Conn {
	now := time.Now()
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if len(cs.conns) >= cs.limit {
		switch victim := cs.victim(now); {
		case victim != nil:
			cs.recordClosed(closedDisplaced, now)
			cs.remove(victim)
			// An error doesn't matter, because the connection is given up.
			_ = victim.Conn.Close()
		case cs.g.memory.bodies.StopStalled(now):
			// Its connection closes as soon as its request has been refused.
			cs.recordClosed(closedDisplaced, now)
		default:
			cs.recordClosed(closedAtLimit, now)
			return nil
		}
	}
	c := &callerConn{Conn: nc, conns: cs, since: now, expiresAt: now.Add(defaultHeaderTimeout)}
	c.timer = time.AfterFunc(defaultHeaderTimeout, c.expire)
	cs.conns[c] = struct{}{}
	cs.counts[connNew]++
	cs.g.memory.budget.Add(clmemory.Connections, connectionBytes)
	return c
}

// withConn puts a connection into the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// victim returns the connection that is closed for a new one, or nil if all have requests:
// one that is closing, else one that has been silent for settledAfter, else another silent
// one, else one that has begun a head. The oldest of its kind is taken.
func (cs *callerConns) victim(now time.Time) *callerConn {
	const ranks = 4
	var oldest [ranks]*callerConn
	for c := range cs.conns {
		rank := 0
		switch s := connState(c.state.Load()); {
		case s == connActive:
			continue
		case s == connHead:
			rank = 3
		case s != connClosing && now.Sub(c.since) < settledAfter:
			rank = 2
		case s != connClosing:
			rank = 1
		}
		if oldest[rank] == nil || c.since.Before(oldest[rank].since) {
			oldest[rank] = c
		}
	}
	for _, c := range oldest {
		if c != nil {
			return c
		}
	}
	return nil
}

// remove no longer counts a connection. mu must be held.
func (cs *callerConns) remove(c *callerConn) {
	if c.removed {
		return
	}
	c.removed = true
	c.timer.Stop()
	delete(cs.conns, c)
	cs.counts[c.state.Load()]--
	cs.g.memory.budget.Add(clmemory.Connections, -connectionBytes)
}

// setState is the server's ConnState hook. http.Server.IdleTimeout and
// ReadHeaderTimeout can't be used, since they can't be changed while the server runs.
func (cs *callerConns) setState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*callerConn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		c.enter(connActive, 0)
	case http.StateIdle:
		limit := defaultIdleTimeout
		if cat := cs.g.catalog.Load(); cat != nil && cat.Limits.IdleTimeout > 0 {
			limit = cat.Limits.IdleTimeout
		}
		c.headBytes = 0
		c.enter(connIdle, limit+idleTimeoutSlack)
	}
}

// enter changes the state of the connection, which is closed if the state lasts longer
// than limit; 0 is no limit.
func (c *callerConn) enter(s connState, limit time.Duration) {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.removed {
		return
	}
	c.conns.counts[c.state.Load()]--
	c.conns.counts[s]++
	c.state.Store(int32(s))
	c.since = time.Now()
	c.timer.Stop()
	if limit > 0 {
		c.expiresAt = c.since.Add(limit)
		c.timer.Reset(limit)
	}
}

// isRemoved reports whether the connection was closed because of a limit. Once the state is
// connActive, only the server closes it, so the result is final for a request.
func (c *callerConn) isRemoved() bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	return c.removed
}

// expire closes the connection because its state has lasted too long.
func (c *callerConn) expire() {
	c.conns.mu.Lock()
	s := connState(c.state.Load())
	// The state may have changed while the timer fired.
	expired := !c.removed && s != connActive && !time.Now().Before(c.expiresAt)
	if expired {
		c.conns.remove(c)
		if s == connHead {
			c.conns.recordClosed(closedHeadTooSlow, time.Now())
		}
	}
	c.conns.mu.Unlock()
	if expired {
		// An error doesn't matter, because the connection is given up.
		_ = c.Conn.Close()
	}
}

// Read implements net.Conn. It limits the bytes of a request head, to which empty lines
// before the head count.
func (c *callerConn) Read(p []byte) (int, error) {
	s := connState(c.state.Load())
	n, err := c.Conn.Read(p)
	if n == 0 || s == connActive {
		return n, err
	}
	maxBytes, maxTime := c.conns.g.headLimits()
	// Some callers send an empty line after a body. It begins no head, so that the
	// connection keeps its state and its deadline.
	if s != connHead && len(bytes.Trim(p[:n], "\r\n")) > 0 {
		c.enter(connHead, maxTime)
	}
	c.headBytes += n
	if c.headBytes <= maxBytes {
		return n, err
	}
	c.conns.mu.Lock()
	c.conns.recordClosed(closedHeadTooLarge, time.Now())
	c.conns.mu.Unlock()
	if err := c.Conn.SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err == nil {
		// The caller may have gone.
		_, _ = io.WriteString(c.Conn, headTooLarge)
	}
	// The server closes the connection without a response of its own. Closing it at once
	// would discard the response if the caller is still sending.
	c.linger.Store(true)
	return 0, io.EOF
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if c.linger.CompareAndSwap(true, false) && c.CloseWrite() == nil {
		c.enter(connClosing, lingerTimeout)
		return nil
	}
	c.conns.mu.Lock()
	c.conns.remove(c)
	c.conns.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite lets the server end a response whose request it has not read in full.
func (c *callerConn) CloseWrite() error {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// headLimits returns the limits of the configuration in force on the size of a request
// head and on its time, with tolerance.
func (g *Gateway) headLimits() (int, time.Duration) {
	size, timeout := defaultHeaderBytes, defaultHeaderTimeout
	if cat := g.catalog.Load(); cat != nil {
		if n := cat.Limits.HeaderBytes; n > 0 {
			size = int(headTolerance * float64(n))
		}
		if d := cat.Limits.HeaderTimeout; d > 0 {
			timeout = time.Duration(headTolerance * float64(d))
		}
	}
	return size + readAheadBytes, timeout
}

// recordClosed counts a connection that is closed because of a limit, and logs the number
// of them once in limitLogInterval. mu must be held.
func (cs *callerConns) recordClosed(reason string, now time.Time) {
	cs.g.collectors.closed.WithLabelValues(reason).Inc()
	if n := cs.g.limitLog.record(reason, now); n > 0 {
		cs.g.Logger.Warn("connections closed", zap.String("reason", reason), zap.Int("count", n), zap.Int("open", len(cs.conns)), zap.Int("limit", cs.limit))
	}
}

// record counts an event and returns how many are to be logged now; 0 if none.
func (l *limitLog) record(cause string, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.events == nil {
		l.events, l.loggedAt = make(map[string]int), make(map[string]time.Time)
	}
	l.events[cause]++
	if now.Sub(l.loggedAt[cause]) < limitLogInterval {
		return 0
	}
	n := l.events[cause]
	l.loggedAt[cause], l.events[cause] = now, 0
	return n
}

// count returns the number of connections in a state.
func (cs *callerConns) count(s connState) int {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.counts[s]
}
