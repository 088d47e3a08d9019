// This file tests what follows from what endpoints say of themselves.

package clgateway

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// post sends a request and returns the response, whose body has been closed.
func post(t *testing.T, env *testEnv, target string) *http.Response {
	t.Helper()
	resp, err := http.DefaultClient.Do(env.request(target, "f", ""))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	return resp
}

// Guards against requests to an endpoint that has said in any of its responses that it
// leaves (DRAIN), and against one that is taken out by the word of another endpoint.
func TestEndpointThatSaysItLeaves(t *testing.T) {
	const leaving = "X-Leaving: 1\r\n"
	for _, tc := range []struct {
		name, target, text string
		status             int
		out                bool
	}{
		{"response", "/book/1", signedOK + leaving + "Content-Length: 2\r\n\r\nok", 200, true},
		{"stream", "/stream/1", strings.TrimSuffix(streamHeader, "\r\n") + leaving + "\r\n" + chunk(event(1)) + "0\r\n\r\n", 200, true},
		{"failure", "/book/1", "HTTP/1.1 500 Internal Server Error\r\nX-Seal: s\r\n" + leaving + "Content-Length: 0\r\n\r\n", 500, true},
		{"refusal", "/book/1", "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n" + leaving + "Content-Length: 0\r\n\r\n", 503, true},
		{"another endpoint at the address", "/book/1", "HTTP/1.1 421 Misdirected Request\r\nX-Not-Run: 1\r\n" + leaving + "Content-Length: 0\r\n\r\n", 503, false},
		{"another request", "/book/1", signedOK + "X-Id: r0\r\n" + leaving + "Content-Length: 2\r\n\r\nok", 502, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			env := newTestEnv(t, respond(tc.text, true))
			require.Equal(t, tc.status, post(t, env, tc.target).StatusCode)
			// The time for which an endpoint is avoided after a refusal.
			time.Sleep(150 * time.Millisecond)
			resp := post(t, env, tc.target)
			if !tc.out {
				require.Len(t, env.requests(), 2)
				return
			}
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
			require.Len(t, env.requests(), 1)
			require.Len(t, env.logs.FilterMessage("endpoint says that it leaves").All(), 1)
			lines := env.logs.FilterMessage("refused").All()
			require.Equal(t, "leaving", lines[len(lines)-1].ContextMap()["reason"])
		})
	}
}

// Guards against requests to an endpoint that has asked for quiet (BUDGET), while others
// are tried first and callers learn at once when to come back.
func TestEndpointThatAsksForQuiet(t *testing.T) {
	const quiet = 700 * time.Millisecond
	text := "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Quiet: " + strconv.FormatInt(quiet.Milliseconds(), 10) + "\r\nContent-Length: 0\r\n\r\n"
	env := newTestEnv(t, respond(text, true))
	begin := time.Now()
	for time.Since(begin) < quiet-50*time.Millisecond {
		resp := post(t, env, "/get/1")
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		wait, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		require.Greater(t, time.Duration(wait*float64(time.Second)), quiet-time.Since(begin)-20*time.Millisecond, "callers would come back too early")
	}
	require.Len(t, env.requests(), 1)
	lines := env.logs.FilterMessage("refused").All()
	require.Equal(t, "quiet", lines[len(lines)-1].ContextMap()["reason"])
	time.Sleep(2 * (quiet - time.Since(begin)))
	time.Sleep(100 * time.Millisecond)
	post(t, env, "/get/1")
	require.Len(t, env.requests(), 2, "the endpoint is tried again")

	both := newTestEnv(t, respond(text, true), respond(signedOK+"Content-Length: 2\r\n\r\nok", true))
	for range 20 {
		require.Equal(t, http.StatusOK, post(t, both, "/book/1").StatusCode)
	}
}

// Guards against stated loads that do not reach the choice, and against those of another
// endpoint or of another request that do.
func TestEndpointThatStatesItsPace(t *testing.T) {
	for _, tc := range []struct {
		name, text string
		want       bool
	}{
		{"response", signedOK + "X-Pace: 2.5\r\nContent-Length: 2\r\n\r\nok", true},
		{"another endpoint at the address", "HTTP/1.1 421 Misdirected Request\r\nX-Not-Run: 1\r\nX-Pace: 2.5\r\nContent-Length: 0\r\n\r\n", false},
		{"another request", signedOK + "X-Id: r0\r\nX-Pace: 2.5\r\nContent-Length: 2\r\n\r\nok", false},
	} {
		env := newTestEnv(t, respond(tc.text, true))
		post(t, env, "/book/1")
		// The time for which an endpoint is avoided after a refusal.
		time.Sleep(150 * time.Millisecond)
		post(t, env, "/book/1")
		lines := env.logs.FilterMessage("sent").All()
		require.Len(t, lines, 2, tc.name)
		pace, ok := lines[1].ContextMap()["pace"].(float64)
		require.True(t, ok)
		require.Equal(t, tc.want, pace > 0, tc.name)
	}
}
