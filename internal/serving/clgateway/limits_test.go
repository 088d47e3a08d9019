// This file tests the limits on what callers may make the gateway hold.

package clgateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/limits/clmemory"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/stretchr/testify/require"
)

// leastMemory gives a gateway a budget of leastBudget, the smallest one.
const (
	leastMemory = 16 << 20
	leastBudget = 8 << 20
)

// echoLength responds with the length of the request's body.
func echoLength(c net.Conn, r *http.Request) bool {
	n, err := io.Copy(io.Discard, r.Body)
	body := fmt.Sprint(n)
	return err == nil && respond(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", signedOK, len(body), body), true)(c, r)
}

// dial opens a connection to the gateway and sends text.
func (env *testEnv) dial(text string) net.Conn {
	env.t.Helper()
	c, err := net.Dial("tcp", env.gateway.Address.String())
	require.NoError(env.t, err)
	env.t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	require.NoError(env.t, err)
	return c
}

// bodyHead returns the head of a request with a body.
func bodyHead(path, key string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: r1\r\nX-Key: %s\r\nContent-Length: %d\r\n\r\n", path, key, length)
}

// readResponse returns the status, the Connection header and the body of the next
// response, and status 0 if the connection ends without one.
func readResponse(t *testing.T, c net.Conn) (status int, connection, body string) {
	t.Helper()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(12*time.Second)))
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection stays open")
		return 0, "", ""
	}
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	if resp.Close {
		connection = "close"
	}
	return resp.StatusCode, connection, string(b)
}

// Guards against heads that exceed the configured limits, and against limits that refuse a
// head inside them.
func TestHeadLimits(t *testing.T) {
	for _, tc := range []struct {
		name   string
		head   string
		pause  time.Duration
		status int
	}{
		{"as large as configured", "POST /get/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: r1\r\nX-Key: f\r\nX-Filler: " + strings.Repeat("x", 7900) + "\r\nContent-Length: 0\r\n\r\n", 0, 200},
		{"too large", "POST /get/1 HTTP/1.1\r\nX-Filler: " + strings.Repeat("x", 32<<10), 0, 431},
		{"empty lines", strings.Repeat("\r\n", 4), 0, 400},
		{"in time", "POST /get/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: r1\r\nX-Key: f\r\nContent-Length: 0\r\n", time.Second, 200},
		{"too slow", "POST /get/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: r1\r\nX-Key: f\r\nContent-Length: 0\r\n", 6 * time.Second, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, echoLength)
			env.changeLimits(func(l *clcatalog.Limits) { l.HeaderBytes, l.HeaderTimeout = 8<<10, 2*time.Second })
			c := env.dial(tc.head)
			if tc.pause > 0 {
				time.Sleep(tc.pause)
				// The gateway may have closed the connection.
				_, _ = io.WriteString(c, "\r\n")
			}
			status, _, _ := readResponse(t, c)
			require.Equal(t, tc.status, status)
		})
	}
}

// Guards against an unfinished body that holds memory which another request needs, against
// the loss of one that has arrived in full, and against a refusal of the slow body that is
// not true or leaves the connection open.
func TestStalledBodyGivesWay(t *testing.T) {
	t.Parallel()
	env := newLimitedEnv(t, leastMemory, 0, echoLength)
	env.changeLimits(func(l *clcatalog.Limits) { l.BodyBytes = 8 << 20 })
	env.setTimeout("book", 10*time.Second)
	const large = 5 << 20
	stalled := env.dial(bodyHead("/book/stalled", "f", large) + strings.Repeat("x", large-1-minWindowBytes))
	require.Eventually(t, func() bool { return env.gateway.memory.budget.Held(clmemory.Bodies) == large }, 5*time.Second, time.Millisecond)
	time.Sleep(2 * time.Second)
	// This begins another bodyWindow, so that the minimum rate leaves the test 5 s.
	_, err := io.WriteString(stalled, strings.Repeat("x", minWindowBytes))
	require.NoError(t, err)
	other := env.dial(bodyHead("/book/other", "f", large) + strings.Repeat("x", large))
	status, _, body := readResponse(t, other)
	require.Equal(t, 200, status)
	require.Equal(t, fmt.Sprint(large), body)
	status, connection, body := readResponse(t, stalled)
	require.Equal(t, 503, status)
	require.Contains(t, body, "memory_short")
	require.Equal(t, "close", connection)
	require.Len(t, env.requests(), 1)
	require.Eventually(t, func() bool { return env.gateway.memory.budget.Held(clmemory.Bodies) == 0 }, 5*time.Second, time.Millisecond)
}

// Guards against bodies that stall until the timeout of their route, and against a minimum
// rate that refuses callers on slow links.
func TestMinimumBodyRate(t *testing.T) {
	const size = 300 << 10
	for _, tc := range []struct {
		name        string
		first, then int
		status      int
	}{
		{"stalls", size - 1, 0, 408},
		{"slow", 100 << 10, 20 << 10, 200},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, echoLength)
			env.changeLimits(func(l *clcatalog.Limits) { l.BodyBytes = 1 << 20 })
			env.setTimeout("book", 30*time.Second)
			c := env.dial(bodyHead("/book/1", "f", size) + strings.Repeat("x", tc.first))
			for sent := tc.first; tc.then > 0 && sent < size; sent += tc.then {
				time.Sleep(time.Second)
				_, err := io.WriteString(c, strings.Repeat("x", min(tc.then, size-sent)))
				require.NoError(t, err)
			}
			status, connection, body := readResponse(t, c)
			require.Equal(t, tc.status, status)
			if status != 200 {
				require.Contains(t, body, "body_too_slow")
				require.Equal(t, "close", connection)
				require.Empty(t, env.requests())
			}
		})
	}
}

// Guards against a refused caller that keeps its connection by never sending the body.
func TestRefusalDoesNotWaitForBody(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, echoLength)
	c := env.dial(bodyHead("/get/1", "unknown", 100))
	status, _, _ := readResponse(t, c)
	require.Equal(t, 401, status)
	_, err := c.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

// Guards against more connections than there are descriptors, and against a new connection
// that is refused while idle ones are open.
func TestConnectionLimit(t *testing.T) {
	t.Parallel()
	env := newLimitedEnv(t, 0, otherDescriptors+descriptorsPerRequest*minConnections, echoLength)
	cs := &env.gateway.conns
	busy := env.dial(bodyHead("/get/1", "f", 10) + "x")
	idle := env.dial("")
	require.Eventually(t, func() bool { return cs.count(connActive) == 1 && cs.count(connNew) >= 1 }, 5*time.Second, time.Millisecond)
	for range 2 * minConnections {
		c := env.dial(bodyHead("/get/1", "f", 1) + "x")
		status, _, _ := readResponse(t, c)
		require.Equal(t, 200, status)
	}
	require.LessOrEqual(t, cs.count(connNew)+cs.count(connIdle)+cs.count(connHead)+cs.count(connActive), minConnections)
	status, _, _ := readResponse(t, idle)
	require.Zero(t, status, "the idle connection is closed")
	_, err := io.WriteString(busy, strings.Repeat("x", 9))
	require.NoError(t, err)
	status, _, _ = readResponse(t, busy)
	require.Equal(t, 200, status, "the connection with a request stays")
}

// Guards against a response that is lost or truncated because there is no memory to buffer
// it.
func TestResponseWithoutMemory(t *testing.T) {
	t.Parallel()
	large := strings.Repeat("y", 512<<10)
	env := newLimitedEnv(t, leastMemory, 0, respond(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", signedOK, len(large), large), false))
	budget := &env.gateway.memory.budget
	budget.Add(clmemory.Bodies, leastBudget)
	resp, err := http.DefaultClient.Do(env.request("/book/1", "f", ""))
	require.NoError(t, err)
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, 200, resp.StatusCode)
	require.Equal(t, large, string(b))
	require.Eventually(t, func() bool { return budget.Held(clmemory.Responses) == 0 }, 5*time.Second, time.Millisecond)
}
