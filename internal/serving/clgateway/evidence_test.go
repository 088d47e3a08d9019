// This file tests what is logged and counted about whether a request was run.

package clgateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a refused request whose log lines don't tell on what the refusal rests.
func TestLogsTellTheBasisOfAPromise(t *testing.T) {
	const stated = "HTTP/1.1 503 Service Unavailable\r\nX-Id: r1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	const failed = "HTTP/1.1 500 Internal Server Error\r\nX-Id: r1\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n"
	for _, tc := range []struct {
		name      string
		endpoints []script
		message   string
		want      map[string]any
	}{
		{"no endpoint", nil, "refused", map[string]any{"basis": basisNotSent, "sends": int64(0)}},
		{"stated", []script{respond(stated, true)}, "refused", map[string]any{"basis": basisStated, "sends": int64(1)}},
		{"stated", []script{respond(stated, true)}, "attempt failed", map[string]any{
			"response_status": int64(503), "response_request": "own", "signed": false, "states_not_run": true, "connection_reused": false,
		}},
		{"lost", []script{respond("", false)}, "refused", map[string]any{"basis": "", "sends": int64(1)}},
		{"failed", []script{respond(failed, true)}, "answered", map[string]any{
			"response_status": int64(500), "response_request": "own", "signed": true, "states_not_run": false,
		}},
	} {
		t.Run(tc.name+" "+tc.message, func(t *testing.T) {
			env := newTestEnv(t, tc.endpoints...)
			resp, err := http.DefaultClient.Do(env.request("/book/1", "f", ""))
			require.NoError(t, err)
			_, err = io.ReadAll(resp.Body)
			require.NoError(t, err)
			lines := env.logs.FilterMessage(tc.message).All()
			require.Len(t, lines, 1)
			for name, value := range tc.want {
				require.Equal(t, value, lines[0].ContextMap()[name], name)
			}
			if basis, ok := tc.want["basis"].(string); ok && basis != "" {
				require.EqualValues(t, 1, env.promises("503", basis))
			}
		})
	}
}

// Guards against a refused request whose log lines don't tell what its connection had
// carried before, by which a copy of an earlier refusal is known.
func TestLogsTellTheConnectionOfAResponse(t *testing.T) {
	env := newTestEnv(t, respond("HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true))
	for _, id := range []string{"r1", "r2"} {
		r := env.request("/book/1", "f", "")
		r.Header.Set("X-Id", id)
		require.Equal(t, http.StatusServiceUnavailable, env.status(r))
		time.Sleep(150 * time.Millisecond) // The endpoint gets no requests for 100 ms.
	}
	lines := env.logs.FilterMessage("attempt failed").All()
	require.Len(t, lines, 2)
	for i, l := range lines {
		fields := l.ContextMap()
		require.Equal(t, i > 0, fields["connection_reused"])
		require.EqualValues(t, i, fields["connection_requests"])
		require.Equal(t, false, fields["connection_had_id"])
		require.Equal(t, lines[0].ContextMap()["connection"], fields["connection"])
	}
	require.EqualValues(t, 1, env.counter("chestnutlead_gateway_endpoint_responses_total", map[string]string{"names": "own", "not_run": "true", "connection": "first"}))
	require.EqualValues(t, 1, env.counter("chestnutlead_gateway_endpoint_responses_total", map[string]string{"names": "own", "not_run": "true", "connection": "kept"}))
}

// runs returns a script that runs each request and responds with head, to which it adds
// an empty body, and the number of requests that it has run.
func runs(head string) (script, *atomic.Int64) {
	ran := &atomic.Int64{}
	return func(c net.Conn, r *http.Request) bool {
		ran.Add(1)
		return respondRaw(head+"Content-Length: 0\r\n\r\n", true)(c, r)
	}, ran
}

// Guards against a request that runs although it was refused (REFUSED): an endpoint
// that fails with a status of refusals has not stated that it did not run the request.
func TestStatusWithoutStatementIsNoPromise(t *testing.T) {
	for _, target := range []string{"/book/1", "/stream/1", "/get/1", "/resume/1"} {
		for _, status := range []string{"408 Request Timeout", "421 Misdirected Request", "429 Too Many Requests", "503 Service Unavailable"} {
			for _, seal := range []string{"X-Seal: s\r\n", ""} {
				t.Run(target+" "+status+" "+seal, func(t *testing.T) {
					s, ran := runs("HTTP/1.1 " + status + "\r\nX-Id: r1\r\n" + seal)
					env := newTestEnv(t, s)
					resp, err := http.DefaultClient.Do(env.request(target, "f", ""))
					require.NoError(t, err)
					require.NoError(t, resp.Body.Close())
					require.EqualValues(t, 1, ran.Load())
					require.Equal(t, http.StatusBadGateway, resp.StatusCode)
					require.Empty(t, resp.Header.Get("X-Seal"), "the seal is that of another status")
					require.Zero(t, env.promises(status[:3], basisRelayed))
				})
			}
		}
	}
}

// Guards against a request that runs although it was refused (REFUSED): a statement that
// names no request, or another one, is not about the request that is in progress on the
// connection.
func TestStatementMustNameItsRequest(t *testing.T) {
	for _, tc := range []struct{ name, head string }{
		{"none", "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n"},
		{"none, end of an idle connection", "HTTP/1.1 408 Request Timeout\r\nX-Not-Run: 1\r\nConnection: close\r\n"},
		{"another one", "HTTP/1.1 503 Service Unavailable\r\nX-Id: r0\r\nX-Not-Run: 1\r\n"},
	} {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s kept=%t", tc.name, kept), func(t *testing.T) {
				s, ran := runs(tc.head)
				first := true
				env := newTestEnv(t, func(c net.Conn, r *http.Request) bool {
					if kept && first {
						first = false
						return respond(signedOK+"X-Id: r1\r\nContent-Length: 2\r\n\r\nok", true)(c, r)
					}
					return s(c, r)
				})
				if kept {
					resp, err := http.DefaultClient.Do(env.request("/book/1", "f", ""))
					require.NoError(t, err)
					require.NoError(t, resp.Body.Close())
					require.Equal(t, http.StatusOK, resp.StatusCode)
				}
				resp, err := http.DefaultClient.Do(env.request("/book/1", "f", ""))
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				require.EqualValues(t, 1, ran.Load())
				require.Equal(t, http.StatusBadGateway, resp.StatusCode)
			})
		}
	}
}

// Guards against a failure that the caller takes for its endpoint's, or for the
// gateway's own verdict on the request (MIXED, DENIED): a response without a signature,
// whatever its status, is from neither.
func TestUnsignedResponseIsNotRelayed(t *testing.T) {
	for _, target := range []string{"/book/1", "/stream/1", "/get/1", "/resume/1"} {
		for _, status := range []string{"200 OK", "302 Found", "400 Bad Request", "401 Unauthorized", "404 Not Found", "500 Internal Server Error", "504 Gateway Timeout"} {
			t.Run(target+" "+status, func(t *testing.T) {
				s, ran := runs("HTTP/1.1 " + status + "\r\nX-Id: r1\r\n")
				env := newTestEnv(t, s)
				resp, err := http.DefaultClient.Do(env.request(target, "f", ""))
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				require.EqualValues(t, 1, ran.Load())
				require.Equal(t, http.StatusBadGateway, resp.StatusCode)
			})
		}
	}
}

// Guards against a promise that rests on a response which contradicts itself (REFUSED):
// a success that also states that the request was not run.
func TestSuccessIsNoStatement(t *testing.T) {
	for _, target := range []string{"/book/1", "/stream/1"} {
		s, ran := runs(signedOK + "X-Id: r1\r\nX-Not-Run: 1\r\n")
		env := newTestEnv(t, s)
		resp, err := http.DefaultClient.Do(env.request(target, "f", ""))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.EqualValues(t, 1, ran.Load())
		require.Equal(t, http.StatusBadGateway, resp.StatusCode, target)
	}
}
