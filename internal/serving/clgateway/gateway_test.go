// This file tests the gateway against endpoints that fail in each way.

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

// Guards against answers that are false, not whole, or sent twice: for each
// way in which an endpoint ends an attempt, the status that the caller may get
// and the endpoints that may get the request.
func TestOutcomes(t *testing.T) {
	ok := say(seal+"Content-Length: 2\r\n\r\nok", true)
	notRun := say("HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true)
	failed := say("HTTP/1.1 500 Internal Server Error\r\nX-Seal: s\r\nContent-Length: 3\r\n\r\nbad", true)
	hang := func(net.Conn, *http.Request) bool { time.Sleep(3 * time.Second); return false }
	cut := say("", false)
	halfBody := say(seal+"Content-Length: 10\r\n\r\nhalf", false)
	unsealed := say("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", true)
	otherID := say(seal+"X-Id: other\r\nContent-Length: 2\r\n\r\nno", true)
	noHTTP := say("garbage\r\n\r\n", false)
	for _, tc := range []struct {
		name      string
		path      string
		endpoints []script
		status    int
		body      string
		sends     int
	}{
		{"answered", "/book/1", []script{ok}, 200, "ok", 1},
		{"failure of a booking is passed on", "/book/1", []script{failed, failed}, 500, "bad", 1},
		{"failure of a repeatable request is tried elsewhere", "/get/1", []script{failed, failed}, 500, "bad", 2},
		{"failure without another endpoint is passed on", "/get/1", []script{failed}, 500, "bad", 1},
		{"failure, then a broken connection", "/get/1", []script{failed, cut}, 0, "", -1},
		{"full endpoints are tried and then refused", "/book/1", []script{notRun, notRun, notRun}, 503, "", 2},
		{"full endpoint, then another", "/book/1", []script{notRun, ok}, 200, "ok", -1},
		{"booking whose connection breaks may have run", "/book/1", []script{cut, cut}, 502, "", 1},
		{"booking with half an answer", "/book/1", []script{halfBody, halfBody}, 502, "", 1},
		{"booking without a signature", "/book/1", []script{unsealed, unsealed}, 502, "", 1},
		{"booking with another request's answer", "/book/1", []script{otherID, otherID}, 502, "", 1},
		{"booking with bytes that are no answer", "/book/1", []script{noHTTP, noHTTP}, 502, "", 1},
		{"booking without an answer in time", "/book/1", []script{hang, hang}, 504, "", 1},
		{"repeatable request whose connection breaks", "/get/1", []script{cut, cut}, 502, "", 2},
		{"repeatable request without an answer is tried elsewhere", "/get/1", []script{hang, hang}, 504, "", 2},
		{"no endpoint", "/book/1", nil, 503, "", 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			wd := newWorld(t, tc.endpoints...)
			begin := time.Now()
			resp, err := http.DefaultClient.Do(wd.request(tc.path, "f", "body"))
			require.NoError(t, err)
			b, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			if tc.status != 0 {
				require.Equal(t, tc.status, resp.StatusCode, "%s", b)
			}
			require.False(t, resp.StatusCode == 500 && string(b) != "bad", "a failure that no endpoint answered")
			require.Less(t, time.Since(begin), 2250*time.Millisecond, "held past the route's time")
			if tc.body != "" {
				require.Equal(t, tc.body, string(b))
			}
			if tc.sends >= 0 {
				require.Len(t, wd.requests(), tc.sends)
			}
			if tc.status == http.StatusServiceUnavailable {
				require.NotEmpty(t, resp.Header.Get("Retry-After"))
			}
		})
	}
}

// Guards against requests that reach endpoints without a right to.
func TestAdmission(t *testing.T) {
	ok := say(seal+"Content-Length: 2\r\n\r\nok", true)
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
			wd := newWorld(t, ok)
			wd.setFresh(!tc.stale)
			resp, err := http.DefaultClient.Do(wd.request(tc.path, tc.key, tc.body))
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, tc.status, resp.StatusCode)
			if tc.status != 200 {
				require.Empty(t, wd.requests())
			}
		})
	}
}

// Guards against an account's requests beyond its quota, and against refusals
// that count towards it.
func TestQuota(t *testing.T) {
	full := true
	wd := newWorld(t, func(c net.Conn, r *http.Request) bool {
		if full {
			return say("HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true)(c, r)
		}
		return say(seal+"Content-Length: 2\r\n\r\nok", true)(c, r)
	})
	send := func() int {
		resp, err := http.DefaultClient.Do(wd.request("/book/1", "k", ""))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp.StatusCode
	}
	for range 15 {
		require.Equal(t, 503, send(), "nothing is charged for what has not run")
		time.Sleep(5 * time.Millisecond)
	}
	full = false
	time.Sleep(150 * time.Millisecond)
	statuses := map[int]int{}
	for range 40 {
		statuses[send()]++
	}
	require.InDelta(t, 11, statuses[200], 2, "half of the burst of 20 at the start, and 5 a second")
	require.Positive(t, statuses[429])
	require.Len(t, statuses, 2)
	// The quota goes on by the clock of its limits, not by another one.
	time.Sleep(500 * time.Millisecond)
	require.Equal(t, 200, send(), "half a second fills the bucket for two requests")
}

// Guards against a stream that is passed on as complete though its endpoint
// ended within it, also before the first event and within an event.
func TestCutStreamsAreNotComplete(t *testing.T) {
	for _, tc := range []struct{ name, text string }{
		{"before the first event", streamHeader},
		{"after an event", streamHeader + chunk(event(1))},
		{"within an event", streamHeader + chunk(event(1)+"id: 2\nda")},
		{"within an event, whole body", streamHeader + chunk(event(1)+"id: 2\nda") + "0\r\n\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			wd := newWorld(t, say(tc.text, false))
			resp, err := http.DefaultClient.Do(wd.request("/stream/1", "f", ""))
			if err == nil && resp.StatusCode == 200 {
				_, err = io.ReadAll(resp.Body)
				require.Error(t, err)
			} else if err == nil {
				require.Equal(t, 502, resp.StatusCode)
			}
			require.Len(t, wd.requests(), 1)
		})
	}
}

// Guards against a resumed stream with a gap, a repeat, or other headers than
// its first endpoint's, and against a second run of one that may not be resumed.
func TestResume(t *testing.T) {
	cutAt := func(last int) script {
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
				text += "5\r\nid: " // breaks off within an event
			}
			return say(text, last == 6)(c, r)
		}
	}
	runs := 0
	first, second := cutAt(3), cutAt(6)
	either := func(c net.Conn, r *http.Request) bool {
		if runs++; runs == 1 {
			return first(c, r)
		}
		return second(c, r)
	}
	wd := newWorld(t, either, either)
	resp, err := http.DefaultClient.Do(wd.request("/resume/1", "f", ""))
	require.NoError(t, err)
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	want := ""
	for i := 1; i <= 6; i++ {
		want += event(i)
	}
	require.Equal(t, want, string(b))
	require.Equal(t, "from-1", resp.Header.Get("X-Seal"))
	got := wd.requests()
	require.Len(t, got, 2)
	require.Contains(t, got[1], "resume=3")
	require.NotEqual(t, got[0][:2], got[1][:2], "another endpoint")
	require.Equal(t, 1, wd.record.began)
}

// Guards against events that are held back until more have come.
func TestEventsArePassedOnAtOnce(t *testing.T) {
	release := make(chan struct{})
	wd := newWorld(t, func(c net.Conn, r *http.Request) bool {
		if !say(streamHeader+chunk(event(1)), true)(c, r) {
			return false
		}
		<-release
		return say(chunk(event(2))+"0\r\n\r\n", true)(c, r)
	})
	resp, err := http.DefaultClient.Do(wd.request("/stream/1", "f", ""))
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

// Guards against an endpoint that works on for a caller who has left, before
// the answer and within a stream.
func TestCallerLeaves(t *testing.T) {
	for _, path := range []string{"/book/1", "/stream/1"} {
		began, dropped := make(chan struct{}), make(chan struct{})
		wd := newWorld(t, func(c net.Conn, r *http.Request) bool {
			if strings.HasPrefix(r.RequestURI, "/stream/") {
				say(streamHeader+chunk(event(1)), true)(c, r)
			}
			close(began)
			_, err := c.Read(make([]byte, 1))
			if err != nil {
				close(dropped)
			}
			return false
		})
		ctx, leave := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			resp, err := http.DefaultClient.Do(wd.request(path, "f", "").WithContext(ctx))
			if err == nil {
				_, _ = io.ReadAll(resp.Body)
			}
		}()
		<-began
		leave()
		select {
		case <-dropped:
		case <-time.After(500 * time.Millisecond):
			require.Fail(t, "the endpoint's connection is still open", path)
		}
		<-done
	}
}

// Guards against a planned stop that cuts requests, and against kept
// connections that learn of it only when they are closed.
func TestDrain(t *testing.T) {
	release := make(chan struct{})
	wd := newWorld(t, func(c net.Conn, r *http.Request) bool {
		if strings.HasSuffix(r.RequestURI, "slow") {
			<-release
		}
		return say(seal+"Content-Length: 2\r\n\r\nok", true)(c, r)
	})
	slow := make(chan error, 1)
	go func() {
		resp, err := http.DefaultClient.Do(wd.request("/book/slow", "f", ""))
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		slow <- err
	}()
	require.Eventually(t, func() bool { return len(wd.requests()) == 1 }, time.Second, time.Millisecond)
	wd.stop()
	require.Eventually(t, wd.g.draining, time.Second, time.Millisecond)
	resp, err := http.DefaultClient.Do(wd.request("/book/1", "f", ""))
	require.NoError(t, err, "new requests are served while the ingress still sends some")
	require.NoError(t, resp.Body.Close())
	require.True(t, resp.Close, "the caller is asked to use another connection")
	time.Sleep(600 * time.Millisecond)
	close(release)
	require.NoError(t, <-slow)
	require.NoError(t, <-wd.stopped)
}

// Guards against a stream that a stopping gateway takes late and cuts at its
// end, although another gateway could have served it whole.
func TestStoppingGatewayRefusesWhatMayOutlastIt(t *testing.T) {
	wd := newWorld(t, say(seal+"Content-Length: 2\r\n\r\nok", true))
	send := func() int {
		resp, err := http.DefaultClient.Do(wd.request("/book/1", "f", ""))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp.StatusCode
	}
	now := time.Now()
	for _, tc := range []struct {
		name string
		stop stopTimes
		want int
	}{
		{"ends in time", stopTimes{lastLong: now.Add(-time.Second), end: now.Add(time.Minute)}, 200},
		{"comes early", stopTimes{lastLong: now.Add(time.Minute), end: now.Add(time.Second)}, 200},
		{"may outlast the gateway", stopTimes{lastLong: now.Add(-time.Second), end: now.Add(time.Second)}, 503},
	} {
		wd.g.stop.Store(&tc.stop)
		require.Equal(t, tc.want, send(), tc.name)
	}
}

// Guards against a later configuration being replaced by an earlier one.
func TestConfigurationNeverGoesBack(t *testing.T) {
	wd := newWorld(t)
	later, earlier := *wd.g.Catalog(), *wd.g.Catalog()
	later.Version, earlier.Version = 9, 5
	wd.g.SetCatalog(&later)
	wd.g.SetCatalog(&earlier)
	require.EqualValues(t, 9, wd.g.Catalog().Version)
}
