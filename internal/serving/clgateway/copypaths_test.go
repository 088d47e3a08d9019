// This file tests the paths by which a request ID comes again to an endpoint that sends
// copies of its responses, and what is believed of a response to another request.

package clgateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/stretchr/testify/require"
)

// copier is an endpoint that sends, before each response on a connection, a copy of the
// response before it, and runs and numbers the requests.
type copier struct {
	mu     sync.Mutex
	copies map[net.Conn]string
	n      int
	// text is the response to the request with the given number, from 0, and its
	// connection stays open unless ends is set.
	text func(n int, r *http.Request) (text string, ends bool)
	// gate, unless nil, is called with the number before the response is sent.
	gate func(n int)
}

func (d *copier) serve(c net.Conn, r *http.Request) bool {
	d.mu.Lock()
	n := d.n
	d.n++
	copied := d.copies[c]
	d.mu.Unlock()
	if _, err := io.WriteString(c, copied); err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	if d.gate != nil {
		d.gate(n)
	}
	text, ends := d.text(n, r)
	text = echoID(text, r.Header.Get("X-Id"))
	d.mu.Lock()
	if d.copies == nil {
		d.copies = map[net.Conn]string{}
	}
	d.copies[c] = text
	d.mu.Unlock()
	_, err := io.WriteString(c, text)
	return err == nil && !ends
}

// sealed returns a signed response that names the request's path.
func sealed(r *http.Request) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Seal: %s\r\nContent-Length: 0\r\n\r\n", r.URL.Path)
}

// seal sends the request and returns the status and the path that the response names.
func (env *testEnv) seal(r *http.Request) (status int, path string) {
	resp, err := http.DefaultClient.Do(r)
	require.NoError(env.t, err)
	_, err = io.Copy(io.Discard, resp.Body)
	require.NoError(env.t, err)
	require.NoError(env.t, resp.Body.Close())
	return resp.StatusCode, resp.Header.Get("X-Seal")
}

// Guards against a caller that gets the answer to another request (MIXED): neither has an
// ID, and the copy of the first answer comes with the second one.
func TestRequestsWithoutIDShareNoConnection(t *testing.T) {
	d := &copier{text: func(_ int, r *http.Request) (string, bool) { return sealed(r), false }}
	env := newTestEnv(t, d.serve)
	for i, id := range []string{"", "", "r1", ""} {
		path := fmt.Sprint("/book/", i)
		r := env.request(path, "f", "")
		r.Header.Set("X-Id", id)
		status, got := env.seal(r)
		if id != "" { // It meets the copy of an answer without an ID.
			require.Equal(t, http.StatusBadGateway, status)
			continue
		}
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, path, got)
	}
}

// Guards against a caller that gets the answer to another request with the same ID (MIXED):
// both are in progress at the same time, and copies of earlier answers come with theirs.
func TestRequestsWithOneIDAtTheSameTime(t *testing.T) {
	var both sync.WaitGroup
	d := &copier{text: func(_ int, r *http.Request) (string, bool) { return sealed(r), false }}
	d.gate = func(int) {
		both.Done()
		both.Wait()
	}
	env := newTestEnv(t, d.serve)
	for round := range 4 {
		both.Add(2)
		var callers sync.WaitGroup
		var got [2]string
		for i := range got {
			r := env.request(fmt.Sprint("/book/", round, "-", i), "f", "")
			callers.Go(func() {
				resp, err := http.DefaultClient.Do(r)
				if err == nil {
					got[i] = resp.Header.Get("X-Seal")
					_ = resp.Body.Close()
				}
			})
		}
		callers.Wait()
		both.Wait()
		for i := range got {
			require.Equal(t, fmt.Sprint("/book/", round, "-", i), got[i])
		}
	}
}

// Guards against a caller that gets the answer to the request that it gave up (MIXED): it
// sends its ID again, and the endpoint has yet to send the rest of the first answer.
func TestRequestAfterOneThatWasGivenUp(t *testing.T) {
	for _, tc := range []struct {
		name, target, first string
		// begun is set if the caller gives up after the begin of the response.
		begun bool
	}{
		{"before the response", "/book/", "", false},
		{"within the stream", "/stream/", streamHeader + chunk(event(1)), true},
		{"within the body", "/book/", signedOK + "Content-Length: 1500000\r\n\r\n" + strings.Repeat("b", 1200000), true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			arrived := make(chan struct{})
			var mu sync.Mutex
			var owing net.Conn
			env := newTestEnv(t, func(c net.Conn, r *http.Request) bool {
				_, _ = io.Copy(io.Discard, r.Body)
				mu.Lock()
				defer mu.Unlock()
				if r.URL.Path == tc.target+"1" {
					owing = c
					respond(tc.first, true)(c, r)
					close(arrived)
					return true
				}
				if c == owing {
					_, _ = io.WriteString(c, echoID("HTTP/1.1 200 OK\r\nX-Seal: given-up\r\nContent-Length: 0\r\n\r\n", "r1"))
				}
				return respond(sealed(r), true)(c, r)
			})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			done := make(chan struct{})
			go func() {
				defer close(done)
				resp, err := http.DefaultClient.Do(env.request(tc.target+"1", "f", "").WithContext(ctx))
				if err == nil {
					_, _ = io.Copy(io.Discard, resp.Body)
					_ = resp.Body.Close()
				}
			}()
			<-arrived
			if tc.begun {
				time.Sleep(50 * time.Millisecond)
			}
			cancel()
			<-done
			require.Eventually(t, func() bool {
				return env.logs.FilterMessage("attempt failed").Len() > 0
			}, 5*time.Second, time.Millisecond)
			for _, n := range []string{"2", "3"} {
				status, got := env.seal(env.request(tc.target+n, "f", ""))
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, tc.target+n, got)
			}
		})
	}
}

// Guards against a resumed stream that goes on with events of an earlier one (ORDER): the
// connection that carried that one, with the same ID, is still kept.
func TestResumedStreamMeetsNoCopy(t *testing.T) {
	stream := func(word string, first, last int) string {
		text := streamHeader
		for i := first; i <= last; i++ {
			text += chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", i, word))
		}
		return text
	}
	var resumes []string
	d := &copier{text: func(n int, r *http.Request) (string, bool) {
		resumes = append(resumes, r.Header.Get("X-Resume"))
		switch n {
		case 0:
			return stream("old", 1, 3) + "0\r\n\r\n", false
		case 1:
			return stream("new", 1, 1) + "5\r\nid: ", true // breaks off
		}
		return stream("new", 2, 3) + "0\r\n\r\n", false
	}}
	env := newTestEnv(t, d.serve)
	address := env.gateway.Fleet.Endpoints("s")[0].Address
	env.gateway.Fleet.Put(clcatalog.Endpoint{ID: "other", Service: "s", Address: address, DataCentre: "a", Slots: 8}, time.Now())
	for _, want := range []string{"old", "new"} {
		resp, err := http.DefaultClient.Do(env.request("/resume/1", "f", ""))
		require.NoError(t, err)
		b, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprintf("id: 1\ndata: %[1]s\n\nid: 2\ndata: %[1]s\n\nid: 3\ndata: %[1]s\n\n", want), string(b))
	}
	require.Equal(t, []string{"", "", "1"}, resumes)
}

// Guards against a caller that gets a failure although a later attempt has succeeded
// (DENIED): the gateway tries the request at another endpoint ID with the same address, and
// the failure comes again on the same connection.
func TestCopyOfFailureAtTheSameAddress(t *testing.T) {
	for _, way := range copyWays {
		for _, target := range []string{"/get/1", "/resume/1"} {
			t.Run(way.name+" "+target, func(t *testing.T) {
				t.Parallel()
				d := &duplicator{first: answer("500 Internal Server Error", ""), way: way}
				env := newTestEnv(t, d.serve)
				address := env.gateway.Fleet.Endpoints("s")[0].Address
				env.gateway.Fleet.Put(clcatalog.Endpoint{ID: "other", Service: "s", Address: address, DataCentre: "a", Slots: 8}, time.Now())
				status, seal := env.seal(env.request(target, "f", "body"))
				require.Equal(t, http.StatusOK, status)
				require.Equal(t, "s", seal)
				require.EqualValues(t, 1, d.ran.Load())
			})
		}
	}
}

// Guards against a request that meets the connections of an earlier start of the gateway
// (REFUSED): its caller sends the ID again to a gateway that has started since.
func TestRequestAfterARestartOfTheGateway(t *testing.T) {
	d := &copier{text: func(n int, r *http.Request) (string, bool) {
		if n == 0 {
			return refusal("503 Service Unavailable")("r1"), false
		}
		return sealed(r), false
	}}
	before, after := newTestEnv(t, d.serve), newTestEnv(t)
	require.Equal(t, http.StatusServiceUnavailable, before.status(before.request("/book/1", "f", "")))
	address := before.gateway.Fleet.Endpoints("s")[0].Address
	after.gateway.Fleet.Put(clcatalog.Endpoint{ID: "e0", Service: "s", Address: address, DataCentre: "a", Slots: 8}, time.Now())
	status, got := after.seal(after.request("/book/2", "f", ""))
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "/book/2", got)
}

// Guards against facts that are taken from the response to another request: what it states
// of its endpoint, that the request did not run, that it runs well, or that it crashes.
func TestCopyProvesNothing(t *testing.T) {
	for _, tc := range []struct{ name, target, first string }{
		{"refusal", "/book/", "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n"},
		{"wants quiet", "/book/", "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nX-Quiet: 60000\r\n"},
		{"leaves", "/book/", signedOK + "X-Leaving: 1\r\n"},
		{"states its load", "/book/", signedOK + "X-Pace: 2.5\r\n"},
		{"success", "/get/", signedOK},
		{"failure", "/get/", "HTTP/1.1 500 Internal Server Error\r\nX-Seal: s\r\n"},
		{"stream", "/stream/", signedOK + "Content-Type: text/event-stream\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			d := &copier{text: func(n int, r *http.Request) (string, bool) {
				if n == 0 {
					return tc.first + "Content-Length: 0\r\n\r\n", false
				}
				return sealed(r), false
			}}
			env := newTestEnv(t, d.serve)
			env.gateway.Probe = func(context.Context, netip.AddrPort) bool { return false }
			env.status(env.request(tc.target+"1", "f", ""))
			stated := env.counter("chestnutlead_gateway_promises_total", map[string]string{"status": "503", "basis": basisStated})
			failed, started := env.recorder.failedAttempts, env.recorder.startedRequests
			// Another endpoint at the address gets the next request, and the copy with it.
			address := env.gateway.Fleet.Endpoints("s")[0].Address
			env.gateway.Fleet.Remove("e0")
			env.gateway.Fleet.Put(clcatalog.Endpoint{ID: "other", Service: "s", Address: address, DataCentre: "a", Slots: 8}, time.Now())
			r := env.request(tc.target+"2", "f", "")
			r.Header.Set("X-Id", "r2")
			require.Equal(t, http.StatusBadGateway, env.status(r), "the request has run")
			require.Equal(t, stated, env.promises("503", basisStated))
			require.Equal(t, failed+1, env.recorder.failedAttempts)
			require.Equal(t, started, env.recorder.startedRequests)
			require.Zero(t, env.logs.FilterMessage("endpoint crashed while running the request").Len())
			lines := env.logs.FilterMessage("attempt failed").All()
			require.Equal(t, "other", lines[len(lines)-1].ContextMap()["response_request"])

			time.Sleep(150 * time.Millisecond) // The endpoint may get no requests for 100 ms.
			r = env.request(tc.target+"3", "f", "")
			r.Header.Set("X-Id", "r3")
			status, got := env.seal(r)
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, tc.target+"3", got)
			lines = env.logs.FilterMessage("sent").All()
			require.Equal(t, 0.0, lines[len(lines)-1].ContextMap()["pace"])
		})
	}
}

// Guards against a new connection for each refusal, with the statement that the request
// was not run or without it, although the connection is in order.
func TestRefusalsKeepTheirConnection(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 503 Service Unavailable\r\nX-Seal: s\r\n",
		"HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n",
	} {
		for _, body := range []string{"Content-Length: 0\r\n\r\n", "Content-Length: 4\r\n\r\nbusy", "Transfer-Encoding: chunked\r\n\r\n" + chunk("busy") + "0\r\n\r\n"} {
			env := newTestEnv(t, respond(head+body, true))
			for i := range 3 {
				r := env.request("/book/1", "f", "")
				r.Header.Set("X-Id", fmt.Sprint("r", i))
				require.NotEqual(t, http.StatusOK, env.status(r))
				time.Sleep(120 * time.Millisecond) // An endpoint that sheds gets no requests for 100 ms.
			}
			for i, l := range env.logs.FilterMessage("attempt failed").All() {
				require.EqualValues(t, i, l.ContextMap()["connection_requests"], "%s%s", head, body)
			}
		}
	}
}
