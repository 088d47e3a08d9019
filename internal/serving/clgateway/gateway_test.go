// This file tests the gateway against endpoints that fail in various ways.

package clgateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// For each way in which an endpoint can end an attempt, checks the status and the
// body that the caller gets and the number of attempts. Guards against wrong or
// incomplete responses, and against requests that are run twice.
func TestAttemptOutcomes(t *testing.T) {
	respondOK := respond(signedOK+"Content-Length: 2\r\n\r\nok", true)
	notRun := respond("HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true)
	failed := respond("HTTP/1.1 500 Internal Server Error\r\nX-Seal: s\r\nContent-Length: 3\r\n\r\nbad", true)
	hang := func(net.Conn, *http.Request) bool { time.Sleep(3 * time.Second); return false }
	disconnect := respond("", false)
	halfBody := respond(signedOK+"Content-Length: 10\r\n\r\nhalf", false)
	unsigned := respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", true)
	otherID := respond(signedOK+"X-Id: other\r\nContent-Length: 2\r\n\r\nno", true)
	notHTTP := respond("garbage\r\n\r\n", false)
	for _, tc := range []struct {
		name      string
		path      string
		endpoints []script
		// status is not checked if it is 0, body if it is empty, and sends, the
		// number of requests that endpoints get, if it is -1.
		status int
		body   string
		sends  int
	}{
		{"answered", "/book/1", []script{respondOK}, 200, "ok", 1},
		{"failure of a booking is relayed", "/book/1", []script{failed, failed}, 500, "bad", 1},
		{"failure of a repeatable request is retried at another endpoint", "/get/1", []script{failed, failed}, 500, "bad", 2},
		{"failure without another endpoint is relayed", "/get/1", []script{failed}, 500, "bad", 1},
		{"failure, then a broken connection", "/get/1", []script{failed, disconnect}, 0, "", -1},
		{"request that two endpoints do not run is refused", "/book/1", []script{notRun, notRun, notRun}, 503, "", 2},
		{"endpoint that does not run the request, then another", "/book/1", []script{notRun, respondOK}, 200, "ok", -1},
		{"booking whose connection breaks is not retried", "/book/1", []script{disconnect, disconnect}, 502, "", 1},
		{"booking with a truncated response", "/book/1", []script{halfBody, halfBody}, 502, "", 1},
		{"booking with an unsigned response", "/book/1", []script{unsigned, unsigned}, 502, "", 1},
		{"booking with the response to another request", "/book/1", []script{otherID, otherID}, 502, "", 1},
		{"booking with a response that is not HTTP", "/book/1", []script{notHTTP, notHTTP}, 502, "", 1},
		{"booking without a response in time", "/book/1", []script{hang, hang}, 504, "", 1},
		{"repeatable request whose connection breaks is retried", "/get/1", []script{disconnect, disconnect}, 502, "", 2},
		{"repeatable request without a response is retried at another endpoint", "/get/1", []script{hang, hang}, 504, "", 2},
		{"no endpoint", "/book/1", nil, 503, "", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, tc.endpoints...)
			begin := time.Now()
			resp, err := http.DefaultClient.Do(env.request(tc.path, "f", "body"))
			require.NoError(t, err)
			b, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			if tc.status != 0 {
				require.Equal(t, tc.status, resp.StatusCode, "%s", b)
			}
			require.False(t, resp.StatusCode == 500 && string(b) != "bad", "a failure that no endpoint has sent")
			require.Less(t, time.Since(begin), 2250*time.Millisecond, "held longer than the route's timeout")
			if tc.body != "" {
				require.Equal(t, tc.body, string(b))
			}
			if tc.sends >= 0 {
				require.Len(t, env.requests(), tc.sends)
			}
			if tc.status == http.StatusServiceUnavailable {
				require.NotEmpty(t, resp.Header.Get("Retry-After"))
			}
		})
	}
}

// Guards against requests that reach an endpoint although the gateway must refuse
// them, and against admissible requests that are refused.
func TestAdmission(t *testing.T) {
	respondOK := respond(signedOK+"Content-Length: 2\r\n\r\nok", true)
	for _, tc := range []struct {
		name, path, key, body string
		stale                 bool
		status                int
	}{
		{"no route", "/none/1", "f", "", false, 404},
		{"no key", "/get/1", "", "", false, 401},
		{"unknown key", "/get/1", "x", "", false, 401},
		{"anonymous route", "/open/1", "", "", false, 200},
		{"anonymous route with a stale configuration", "/open/1", "", "", true, 200},
		{"key that may have been revoked", "/get/1", "f", "", true, 503},
		{"unknown key that may have been added", "/get/1", "x", "", true, 503},
		{"route that may have been added", "/none/1", "f", "", true, 503},
		{"body above the limit", "/get/1", "f", strings.Repeat("x", 1001), false, 413},
		{"body at the limit", "/get/1", "f", strings.Repeat("x", 1000), false, 200},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, respondOK)
			env.setConfigFresh(!tc.stale)
			resp, err := http.DefaultClient.Do(env.request(tc.path, tc.key, tc.body))
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, tc.status, resp.StatusCode)
			if tc.status != 200 {
				require.Empty(t, env.requests())
			}
		})
	}
}

// Guards against requests that are sent by a list of endpoints that may lack one that
// has left: none may be sent while the copies are outdated, nor if they become outdated
// while the gateway connects. The refusal says when to come back.
func TestOutdatedCopies(t *testing.T) {
	respondOK := respond(signedOK+"Content-Length: 2\r\n\r\nok", true)
	for _, tc := range []struct {
		name   string
		usable []time.Duration
		status int
	}{
		{"recent", []time.Duration{time.Second}, 200},
		{"outdated", []time.Duration{0}, 503},
		{"outdated before the request is sent", []time.Duration{time.Nanosecond}, 503},
		{"outdated, then recent", []time.Duration{time.Nanosecond, time.Second}, 200},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, respondOK, respondOK)
			asked := 0
			env.mu.Lock()
			env.copiesUsableFor = func() time.Duration {
				asked++
				return tc.usable[min(asked, len(tc.usable))-1]
			}
			env.mu.Unlock()
			resp, err := http.DefaultClient.Do(env.request("/open/1", "", ""))
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, tc.status, resp.StatusCode)
			if tc.status != 200 {
				require.Empty(t, env.requests())
				require.NotEmpty(t, resp.Header.Get("Retry-After"))
			}
		})
	}
}

// Guards against accounts that exceed their quota, and against requests that are
// charged to the quota although no endpoint has run them.
func TestQuota(t *testing.T) {
	refuseAll := true
	env := newTestEnv(t, func(c net.Conn, r *http.Request) bool {
		if refuseAll {
			return respond("HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true)(c, r)
		}
		return respond(signedOK+"Content-Length: 2\r\n\r\nok", true)(c, r)
	})
	send := func() int {
		resp, err := http.DefaultClient.Do(env.request("/book/1", "k", ""))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp.StatusCode
	}
	for range 15 {
		require.Equal(t, 503, send(), "a request that was not run is not charged")
		time.Sleep(5 * time.Millisecond)
	}
	refuseAll = false
	// For 100 ms, the fleet sends no requests to an endpoint that has not run one.
	time.Sleep(150 * time.Millisecond)
	statuses := map[int]int{}
	for range 40 {
		statuses[send()]++
	}
	require.InDelta(t, 11, statuses[200], 2, "half of the burst of 20 at startup, and 5 a second")
	require.Positive(t, statuses[429])
	require.Len(t, statuses, 2)
	time.Sleep(500 * time.Millisecond)
	// The gateway passes a time to Admit, and newTestEnv passes one to SetLimit. If
	// they came from different clocks, the quota would not be replenished.
	require.Equal(t, 200, send(), "half a second replenishes the quota for two requests")
}

// Guards against a truncated stream that looks complete to the caller, whether the
// endpoint stops before the first event, between events or within an event, and
// against a second run of the request on a route that is not resumable.
func TestTruncatedStreamIsNotComplete(t *testing.T) {
	for _, tc := range []struct{ name, text string }{
		{"before the first event", streamHeader},
		{"after an event", streamHeader + chunk(event(1))},
		{"within an event", streamHeader + chunk(event(1)+"id: 2\nda")},
		{"within an event, with the last chunk of the body", streamHeader + chunk(event(1)+"id: 2\nda") + "0\r\n\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t, respond(tc.text, false))
			resp, err := http.DefaultClient.Do(env.request("/stream/1", "f", ""))
			if err == nil && resp.StatusCode == 200 {
				_, err = io.ReadAll(resp.Body)
				require.Error(t, err)
			} else if err == nil {
				require.Equal(t, 502, resp.StatusCode)
			}
			require.Len(t, env.requests(), 1)
		})
	}
}

// Guards against a resumed stream with missing or repeated events or with headers
// of the second endpoint, against a resume at the endpoint that failed, and against
// a request that is counted as started twice.
func TestResume(t *testing.T) {
	// sendEventsUntil returns a script that sends the events that follow the one to
	// resume after, or all events, up to last. The stream ends with event 6; a
	// stream up to an earlier event is broken off within the next one.
	sendEventsUntil := func(last int) script {
		return func(c net.Conn, r *http.Request) bool {
			first := 1
			if v := r.Header.Get("X-Resume"); v != "" {
				n, err := strconv.Atoi(v)
				if err != nil {
					return false
				}
				first = n + 1
			}
			text := strings.Replace(streamHeader, "X-Seal: s", "X-Seal: from-"+strconv.Itoa(first), 1)
			for i := first; i <= last; i++ {
				text += chunk(event(i))
			}
			if last == 6 {
				text += "0\r\n\r\n"
			} else {
				text += "5\r\nid: " // the beginning of an event and of its chunk
			}
			return respond(text, last == 6)(c, r)
		}
	}
	runs := 0
	first, second := sendEventsUntil(3), sendEventsUntil(6)
	either := func(c net.Conn, r *http.Request) bool {
		if runs++; runs == 1 {
			return first(c, r)
		}
		return second(c, r)
	}
	env := newTestEnv(t, either, either)
	resp, err := http.DefaultClient.Do(env.request("/resume/1", "f", ""))
	require.NoError(t, err)
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	want := ""
	for i := 1; i <= 6; i++ {
		want += event(i)
	}
	require.Equal(t, want, string(b))
	require.Equal(t, "from-1", resp.Header.Get("X-Seal"))
	got := env.requests()
	require.Len(t, got, 2)
	require.Contains(t, got[1], "resume=3")
	require.NotEqual(t, got[0][:2], got[1][:2], "the stream is resumed at another endpoint")
	require.Equal(t, 1, env.recorder.startedRequests)
}

// Guards against events that are not sent to the caller until later events arrive.
func TestEventsAreForwardedImmediately(t *testing.T) {
	release := make(chan struct{})
	env := newTestEnv(t, func(c net.Conn, r *http.Request) bool {
		if !respond(streamHeader+chunk(event(1)), true)(c, r) {
			return false
		}
		<-release
		return respond(chunk(event(2))+"0\r\n\r\n", true)(c, r)
	})
	resp, err := http.DefaultClient.Do(env.request("/stream/1", "f", ""))
	require.NoError(t, err)
	buf := make([]byte, len(event(1)))
	_, err = io.ReadFull(resp.Body, buf)
	require.NoError(t, err)
	require.Equal(t, event(1), string(buf))
	close(release)
	rest, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, event(2), string(rest))
}

// Guards against endpoints that go on working for a caller that has disconnected
// before the response or during a stream, because the gateway keeps its connection to
// the endpoint open.
func TestCallerDisconnects(t *testing.T) {
	for _, path := range []string{"/book/1", "/stream/1"} {
		began, connClosed := make(chan struct{}), make(chan struct{})
		env := newTestEnv(t, func(c net.Conn, r *http.Request) bool {
			if strings.HasPrefix(r.RequestURI, "/stream/") {
				respond(streamHeader+chunk(event(1)), true)(c, r)
			}
			close(began)
			_, err := c.Read(make([]byte, 1))
			if err != nil {
				close(connClosed)
			}
			return false
		})
		ctx, disconnect := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			resp, err := http.DefaultClient.Do(env.request(path, "f", "").WithContext(ctx))
			if err == nil {
				_, _ = io.ReadAll(resp.Body)
			}
		}()
		<-began
		disconnect()
		select {
		case <-connClosed:
		case <-time.After(500 * time.Millisecond):
			require.Fail(t, "the endpoint's connection is still open", path)
		}
		<-done
	}
}

// Guards against a shutdown that aborts requests in progress, and against keep-alive
// connections that are closed without the header "Connection: close" in the last
// response.
func TestDrain(t *testing.T) {
	release := make(chan struct{})
	env := newTestEnv(t, func(c net.Conn, r *http.Request) bool {
		if strings.HasSuffix(r.RequestURI, "slow") {
			<-release
		}
		return respond(signedOK+"Content-Length: 2\r\n\r\nok", true)(c, r)
	})
	slowRequestErr := make(chan error, 1)
	go func() {
		resp, err := http.DefaultClient.Do(env.request("/book/slow", "f", ""))
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		slowRequestErr <- err
	}()
	require.Eventually(t, func() bool { return len(env.requests()) == 1 }, time.Second, time.Millisecond)
	env.stop()
	require.Eventually(t, env.gateway.draining, time.Second, time.Millisecond)
	resp, err := http.DefaultClient.Do(env.request("/book/1", "f", ""))
	require.NoError(t, err, "new requests are served until the shutdown delay ends")
	require.NoError(t, resp.Body.Close())
	require.True(t, resp.Close, "the caller is asked to close its connection")
	// The slow request must outlast the shutdown delay of 300 ms, after which the
	// gateway closes its listener and idle connections.
	time.Sleep(600 * time.Millisecond)
	close(release)
	require.NoError(t, <-slowRequestErr)
	require.NoError(t, <-env.stopped)
}

// Guards against a request that a draining gateway accepts late and aborts when it
// closes its connections, although another gateway could have completed it.
func TestDrainingGatewayRefusesLongRequests(t *testing.T) {
	env := newTestEnv(t, respond(signedOK+"Content-Length: 2\r\n\r\nok", true))
	send := func() int {
		resp, err := http.DefaultClient.Do(env.request("/book/1", "f", ""))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp.StatusCode
	}
	now := time.Now()
	for _, tc := range []struct {
		name     string
		schedule shutdownSchedule
		want     int
	}{
		{"deadline before the gateway closes", shutdownSchedule{acceptLongRequestsUntil: now.Add(-time.Second), closeAt: now.Add(time.Minute)}, 200},
		{"arrives while long requests are accepted", shutdownSchedule{acceptLongRequestsUntil: now.Add(time.Minute), closeAt: now.Add(time.Second)}, 200},
		{"deadline after the gateway closes", shutdownSchedule{acceptLongRequestsUntil: now.Add(-time.Second), closeAt: now.Add(time.Second)}, 503},
	} {
		env.gateway.shutdown.Store(&tc.schedule)
		require.Equal(t, tc.want, send(), tc.name)
	}
}

// Guards against a configuration that is replaced by one with a lower version.
func TestOlderCatalogIsIgnored(t *testing.T) {
	env := newTestEnv(t)
	later, earlier := *env.gateway.Catalog(), *env.gateway.Catalog()
	later.Version, earlier.Version = 9, 5
	env.gateway.SetCatalog(&later)
	env.gateway.SetCatalog(&earlier)
	require.EqualValues(t, 9, env.gateway.Catalog().Version)
}
