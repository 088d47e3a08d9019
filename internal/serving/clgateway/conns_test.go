// This file tests which connections are closed, and that their requests are not sent.

package clgateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/limits/clmemory"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/stretchr/testify/require"
)

// onlyConn waits until the gateway has one connection, and returns it.
func (env *testEnv) onlyConn() *callerConn {
	env.t.Helper()
	cs := &env.gateway.conns
	require.Eventually(env.t, func() bool { return cs.count(connNew) == 1 }, 5*time.Second, time.Millisecond)
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.victim(time.Now())
}

// Guards against a request that is sent to an endpoint although its connection was closed
// for a newer one between the arrival of the head and the call of the handler.
func TestDisplacedRequestIsNotSent(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, echoLength)
	env.dial("")
	c := env.onlyConn()
	c.conns.mu.Lock()
	c.conns.remove(c)
	c.conns.mu.Unlock()
	c.enter(connActive, 0)
	r := env.request("/get/1", "f", "")
	r = r.WithContext(context.WithValue(r.Context(), connKey{}, c))
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { env.gateway.serve(httptest.NewRecorder(), r) })
	require.Empty(t, env.requests())
}

// Guards against a connection with an ordinary request that is closed for a new one, and
// against one that may be about to send a request and is closed before a settled one.
func TestVictim(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		name   string
		states []connState
		ages   []time.Duration
		victim int
	}{
		{"only requests", []connState{connActive}, []time.Duration{time.Hour}, -1},
		{"closing first", []connState{connIdle, connClosing}, []time.Duration{time.Minute, time.Millisecond}, 1},
		{"oldest settled", []connState{connIdle, connNew, connHead}, []time.Duration{time.Second, 2 * time.Second, time.Minute}, 1},
		{"unsettled", []connState{connNew, connHead}, []time.Duration{time.Millisecond, time.Minute}, 0},
		{"head last", []connState{connActive, connHead}, []time.Duration{time.Hour, time.Millisecond}, 1},
	} {
		cs := &callerConns{conns: make(map[*callerConn]struct{})}
		var all []*callerConn
		for i, s := range tc.states {
			c := &callerConn{since: now.Add(-tc.ages[i])}
			c.state.Store(int32(s))
			cs.conns[c], all = struct{}{}, append(all, c)
		}
		if tc.victim < 0 {
			require.Nil(t, cs.victim(now), tc.name)
			continue
		}
		require.Same(t, all[tc.victim], cs.victim(now), tc.name)
	}
}

// Guards against a body that is arriving and is stopped for a new connection, and against
// one that has stalled and is not.
func TestStalledBodyMakesRoom(t *testing.T) {
	t.Parallel()
	env := newLimitedEnv(t, 0, otherDescriptors+descriptorsPerRequest*minConnections, echoLength)
	env.setTimeout("get", 20*time.Second)
	var conns []net.Conn
	for range minConnections {
		conns = append(conns, env.dial(bodyHead("/get/1", "f", 10)+"x"))
	}
	cs := &env.gateway.conns
	require.Eventually(t, func() bool { return cs.count(connActive) == minConnections }, 5*time.Second, time.Millisecond)
	for _, c := range conns {
		_, err := io.WriteString(c, "x")
		require.NoError(t, err)
	}
	status, _, _ := readResponse(t, env.dial(bodyHead("/get/1", "f", 0)))
	require.Zero(t, status, "the new connection is refused")
	time.Sleep(clmemory.StalledAfter + 200*time.Millisecond)
	// The newcomer is counted beyond the limit until the stalled body has ended.
	status, _, _ = readResponse(t, env.dial(bodyHead("/get/1", "f", 0)))
	require.Equal(t, 200, status)
}

// Guards against a 431 that is discarded because the caller is still sending its head.
func TestHeadRefusalLingers(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, echoLength)
	env.changeLimits(func(l *clcatalog.Limits) { l.HeaderBytes = 8 << 10 })
	c := env.dial("POST / HTTP/1.1\r\nX-Filler: " + strings.Repeat("x", 64<<10))
	require.Eventually(t, func() bool { return env.gateway.conns.count(connClosing) == 1 }, 300*time.Millisecond, time.Millisecond)
	status, _, _ := readResponse(t, c)
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, status)
	require.Eventually(t, func() bool { return env.gateway.conns.count(connClosing) == 0 }, 5*time.Second, time.Millisecond)
}

// Guards against an empty line after a body that closes an idle connection, and against
// heads on one connection that add up.
func TestHeadsOnOneConnection(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, echoLength)
	env.changeLimits(func(l *clcatalog.Limits) { l.HeaderBytes, l.HeaderTimeout = 8<<10, 200*time.Millisecond })
	request := "POST /get/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: r1\r\nX-Key: f\r\nX-Filler: " + strings.Repeat("x", 7900) + "\r\nContent-Length: 1\r\n\r\nx"
	c := env.dial("")
	for range 4 {
		_, err := io.WriteString(c, request)
		require.NoError(t, err)
		status, _, _ := readResponse(t, c)
		require.Equal(t, 200, status)
	}
	_, err := io.WriteString(c, "\r\n")
	require.NoError(t, err)
	time.Sleep(time.Second)
	_, err = io.WriteString(c, request)
	require.NoError(t, err)
	status, _, _ := readResponse(t, c)
	require.Equal(t, 200, status, "after an empty line")
}

// Guards against empty lines without end, which begin no head. The server refuses the second
// one by itself, so the connection is read without it.
func TestEmptyLinesCount(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, echoLength)
	// Run sets the limits before it accepts this connection.
	env.dial("")
	env.onlyConn()
	near, far := net.Pipe()
	c, ok := env.gateway.conns.add(near).(*callerConn)
	require.True(t, ok)
	t.Cleanup(func() { _, _ = c.Close(), far.Close() })
	sent, response := make(chan struct{}), make(chan string, 1)
	go func() {
		defer close(sent)
		for err := error(nil); err == nil; {
			_, err = io.WriteString(far, "\r\n")
		}
	}()
	go func() {
		b := make([]byte, len(headTooLarge))
		_, _ = io.ReadFull(far, b)
		response <- string(b)
	}()
	total, err := 0, error(nil)
	for n := 0; err == nil; total += n {
		n, err = c.Read(make([]byte, 2))
		require.Equal(t, int32(connNew), c.state.Load())
	}
	require.ErrorIs(t, err, io.EOF)
	maxBytes, _ := env.gateway.headLimits()
	require.Equal(t, maxBytes, total)
	require.Equal(t, headTooLarge, <-response)
	require.NoError(t, far.Close())
	<-sent
}
