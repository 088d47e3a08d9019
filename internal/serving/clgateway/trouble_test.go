// This file tests the gateway against endpoints that send wrong, late, slow or endless
// bytes.

package clgateway

import (
	"io"
	"net"
	"net/http"
	"path"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// pathID returns the last element of the request's path, which the tests use as its ID.
func pathID(r *http.Request) string { return path.Base(r.RequestURI) }

// Guards against a body that is put together from two runs: once a part of a response
// that is not a stream has been sent to the caller, a retry can't replace it.
func TestLargeResponseIsNotContinuedByARetry(t *testing.T) {
	const size = 3 * maxBufferedBytes
	head := signedOK + "Content-Length: " + strconv.Itoa(size) + "\r\n\r\n"
	for _, target := range []string{"/get/1", "/book/1"} {
		broken := respond(head+strings.Repeat("a", size/2), false)
		env := newTestEnv(t, broken, broken)
		resp, err := http.DefaultClient.Do(env.request(target, "f", ""))
		require.NoError(t, err)
		b, err := io.ReadAll(resp.Body)
		require.Error(t, err, "an incomplete response must not look complete")
		require.LessOrEqual(t, len(b), size/2, target)
		require.Len(t, env.requests(), 1, target)
	}
}

// Guards against a stream that takes up the body of an error response: an endpoint
// that can't resume the stream answers with a status of its own.
func TestErrorResponseIsNotPartOfAResumedStream(t *testing.T) {
	for _, status := range []string{"404 Not Found", "409 Conflict", "302 Found", "500 Internal Server Error"} {
		resumed := "HTTP/1.1 " + status + "\r\nX-Seal: s\r\nContent-Length: 5\r\n\r\nsorry"
		s := func(c net.Conn, r *http.Request) bool {
			if r.Header.Get("X-Resume") != "" {
				return respond(resumed, true)(c, r)
			}
			return respond(streamHeader+chunk(event(1)), false)(c, r)
		}
		env := newTestEnv(t, s, s)
		resp, err := http.DefaultClient.Do(env.request("/resume/1", "f", ""))
		require.NoError(t, err, status)
		b, err := io.ReadAll(resp.Body)
		require.Error(t, err, "the stream is not complete: %s", status)
		require.Equal(t, event(1), string(b), status)
	}
}

// Guards against events that reach the caller twice: a stream whose events carry no
// integer ID can't be resumed, since the gateway can't tell which events it has sent.
func TestStreamWithoutEventIDsIsNotResumed(t *testing.T) {
	s := respond(streamHeader+chunk("data: a\n\n")+chunk("data: b\n\n"), false)
	env := newTestEnv(t, s, s)
	resp, err := http.DefaultClient.Do(env.request("/resume/1", "f", ""))
	require.NoError(t, err)
	b, err := io.ReadAll(resp.Body)
	require.Error(t, err)
	require.Equal(t, "data: a\n\ndata: b\n\n", string(b))
	require.Len(t, env.requests(), 1)
}

// Guards against a response that belongs to another request: an endpoint sends a
// second copy of its response on a kept connection, at once, just before the next
// request on it, or as the answer to that one.
func TestSecondCopyOfAResponse(t *testing.T) {
	for _, delay := range []time.Duration{0, 20 * time.Millisecond, 80 * time.Millisecond} {
		env := newTestEnv(t, func(c net.Conn, r *http.Request) bool {
			text := signedOK + "X-Id: " + pathID(r) + "\r\nContent-Length: 2\r\n\r\n" + pathID(r)
			if !respond(text, true)(c, r) {
				return false
			}
			go func() {
				time.Sleep(delay)
				respond(text, true)(c, r)
			}()
			return true
		})
		for i := range 20 {
			id := strconv.Itoa(10 + i)
			request := env.request("/get/"+id, "f", "")
			request.Header.Set("X-Id", id)
			resp, err := http.DefaultClient.Do(request)
			require.NoError(t, err)
			b, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			if resp.StatusCode == 200 {
				require.Equal(t, id, string(b))
				require.Equal(t, id, resp.Header.Get("X-Id"))
			}
			time.Sleep(time.Duration(i%5) * 20 * time.Millisecond)
		}
	}
}

// endless returns a script that writes head and then text until the connection closes,
// with a pause between the writes. The channel receives a value when it has closed.
func endless(head, text string, pause time.Duration) (script, chan struct{}) {
	closed := make(chan struct{}, 16)
	return func(c net.Conn, r *http.Request) bool {
		if !respond(head, true)(c, r) {
			return false
		}
		for {
			if _, err := c.Write([]byte(text)); err != nil {
				closed <- struct{}{}
				return false
			}
			time.Sleep(pause)
		}
	}, closed
}

// Guards against bytes without end, at full speed or one by one: the caller gets a
// true answer within the route's timeout, the gateway closes the connection, memory
// stays bounded, and bookings are sent once.
func TestEndlessBytes(t *testing.T) {
	long := strings.Repeat("x", 64<<10)
	heads := []struct{ name, head, text string }{
		{"status line", "HTTP/1.1 200 ", long},
		{"informational responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"header", signedOK + "X-Long: ", long},
		{"headers", signedOK, "X-More: 1\r\n"},
		{"chunk extension", signedOK + "Transfer-Encoding: chunked\r\n\r\n1;", long},
		{"trailer", signedOK + "Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\nX-Trailer: ", long},
		{"body until the connection closes", signedOK + "\r\n", long},
		{"body of a response that was not run", "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 99999999999\r\n\r\n", long},
		{"event", streamHeader, chunk(long)},
		{"comments", streamHeader, chunk(": still here\n\n")},
	}
	for _, target := range []string{"/book/1", "/get/1", "/stream/1", "/resume/1"} {
		for _, tc := range heads {
			for _, pause := range []time.Duration{time.Millisecond, 100 * time.Millisecond} {
				t.Run(target+" "+tc.name+" "+pause.String(), func(t *testing.T) {
					t.Parallel()
					text := tc.text
					if pause > time.Millisecond && !strings.HasPrefix(text, "HTTP") && tc.name != "comments" && tc.name != "headers" {
						text = text[:min(len(text), 1)]
						if tc.name == "event" {
							text = chunk("x")
						}
					}
					s, closed := endless(tc.head, text, pause)
					env := newTestEnv(t, s)
					begin := time.Now()
					resp, err := http.DefaultClient.Do(env.request(target, "f", ""))
					require.NoError(t, err)
					b, err := io.Copy(io.Discard, resp.Body)
					require.Less(t, time.Since(begin), 2500*time.Millisecond)
					if resp.StatusCode == 200 {
						require.Error(t, err, "an endless response must not look complete")
					} else {
						require.Less(t, b, int64(1000))
						require.Equal(t, tc.name == "body of a response that was not run", resp.StatusCode == 503, "503 says that the request has not run")
					}
					select {
					case <-closed:
					case <-time.After(time.Second):
						require.Fail(t, "the endpoint's connection is still open")
					}
					require.Len(t, env.requests(), 1)
				})
			}
		}
	}
}

// Guards against memory that grows with an event without end.
func TestEndlessEventIsCutAtItsLimit(t *testing.T) {
	s, closed := endless(streamHeader, chunk(strings.Repeat("x", 1<<20)), 0)
	env := newTestEnv(t, s)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	resp, err := http.DefaultClient.Do(env.request("/stream/1", "f", ""))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	<-closed
	runtime.ReadMemStats(&after)
	require.Equal(t, 502, resp.StatusCode)
	require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(64<<20))
}

// Guards against a stalled stream that sends bytes but no event and is therefore
// never continued, and against a resumable stream that is given up although its
// endpoint is only slow.
func TestStalledAndSlowStreams(t *testing.T) {
	stalled := func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("X-Resume") != "" {
			return respond(streamHeader+chunk(event(2))+"0\r\n\r\n", true)(c, r)
		}
		s, _ := endless(streamHeader+chunk(event(1)), chunk(" "), 100*time.Millisecond)
		return s(c, r)
	}
	env := newTestEnv(t, stalled, stalled)
	env.setTimeout("resume", 6*time.Second)
	resp, err := http.DefaultClient.Do(env.request("/resume/1", "f", ""))
	require.NoError(t, err)
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err, "the stream continues at another endpoint")
	require.Equal(t, event(1)+event(2), string(b))

	slow := func(c net.Conn, r *http.Request) bool {
		respond(streamHeader+chunk(event(1)), true)(c, r)
		time.Sleep(2500 * time.Millisecond)
		return respond(chunk(event(2))+"0\r\n\r\n", true)(c, r)
	}
	for _, target := range []string{"/stream/1", "/resume/1"} {
		env := newTestEnv(t, slow)
		env.setTimeout("stream", 6*time.Second)
		env.setTimeout("resume", 6*time.Second)
		resp, err := http.DefaultClient.Do(env.request(target, "f", ""))
		require.NoError(t, err)
		b, err := io.ReadAll(resp.Body)
		require.NoError(t, err, "a slow stream is not given up as long as no other endpoint can continue it: %s", target)
		require.Equal(t, event(1)+event(2), string(b))
	}
}

// Guards against a repeatable request that waits until its deadline for a body that
// arrives byte by byte, or for an error body that never ends, although another endpoint
// would answer at once.
func TestStalledResponseIsReplaced(t *testing.T) {
	respondOK := respond(signedOK+"Content-Length: 2\r\n\r\nok", true)
	for _, tc := range []struct {
		name, path, head string
		within           time.Duration
	}{
		{"header byte by byte", "/get/1", signedOK + "X-Slow: ", 1200 * time.Millisecond},
		{"body byte by byte", "/get/1", signedOK + "Content-Length: 5000\r\n\r\n", 1800 * time.Millisecond},
		{"body of a response that was not run", "/book/1", "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 5000\r\n\r\n", 500 * time.Millisecond},
	} {
		stalled, _ := endless(tc.head, "x", 50*time.Millisecond)
		sent := atomic.Int64{}
		either := func(c net.Conn, r *http.Request) bool {
			if sent.Add(1) == 1 {
				return stalled(c, r)
			}
			return respondOK(c, r)
		}
		env := newTestEnv(t, either, either)
		begin := time.Now()
		resp, err := http.DefaultClient.Do(env.request(tc.path, "f", ""))
		require.NoError(t, err)
		b, err := io.ReadAll(resp.Body)
		require.NoError(t, err, tc.name)
		require.Equal(t, "ok", string(b), tc.name)
		require.Less(t, time.Since(begin), tc.within, tc.name)
	}
}

// Guards against a response that is held for ever, with its endpoint's connection, for
// a caller that reads nothing.
func TestCallerThatReadsNothing(t *testing.T) {
	t.Parallel()
	const size = 64 << 20
	closed := make(chan struct{})
	env := newTestEnv(t, func(c net.Conn, r *http.Request) bool {
		respond(signedOK+"Content-Length: "+strconv.Itoa(size)+"\r\n\r\n"+strings.Repeat("x", size), true)(c, r)
		close(closed)
		return false
	})
	env.setTimeout("get", time.Minute)
	c, err := net.Dial("tcp", env.gateway.Address.String())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "POST /get/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Key: f\r\nContent-Length: 0\r\n\r\n")
	require.NoError(t, err)
	select {
	case <-closed:
	case <-time.After(callerWriteTimeout + 3*time.Second):
		require.Fail(t, "the endpoint's connection is still open")
	}
}
