// This file tests responses that an endpoint sends twice.

package clgateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/stretchr/testify/require"
)

// copyWay is how a second copy of a response reaches the gateway.
type copyWay struct {
	name string
	// idle is set if the copy comes while the connection is idle, and otherwise with the
	// next request on it.
	idle bool
	send func(c net.Conn, response string) error
}

// copyWays are the ways in which a copy may come.
var copyWays = []copyWay{
	{"at once", true, func(c net.Conn, response string) error {
		_, err := io.WriteString(c, response)
		return err
	}},
	{"while the connection rests", true, func(c net.Conn, response string) error {
		time.Sleep(50 * time.Millisecond)
		_, err := io.WriteString(c, response)
		return err
	}},
	{"with the next request", false, func(c net.Conn, response string) error {
		_, err := io.WriteString(c, response)
		return err
	}},
	{"in pieces", false, func(c net.Conn, response string) error {
		for _, part := range []string{response[:9], response[9 : len(response)/2], response[len(response)/2:]} {
			if _, err := io.WriteString(c, part); err != nil {
				return err
			}
			time.Sleep(10 * time.Millisecond)
		}
		return nil
	}},
}

// duplicator is an endpoint that responds to the first request with a given text, of
// which a copy follows on the same connection. It runs all later requests, and answers
// them after delay.
type duplicator struct {
	first func(id string) string
	way   copyWay
	delay time.Duration

	mu     sync.Mutex
	doubly net.Conn
	copy   string
	ran    atomic.Int64
}

// serve is the script of the endpoint. The body of a request is read after the copy was
// sent.
func (d *duplicator) serve(c net.Conn, r *http.Request) bool {
	d.mu.Lock()
	first, copied := d.doubly == nil, ""
	switch {
	case first:
		d.doubly, d.copy = c, d.first(r.Header.Get("X-Id"))
	case c == d.doubly && !d.way.idle:
		copied, d.copy = d.copy, ""
	}
	d.mu.Unlock()
	if copied != "" && d.way.send(c, copied) != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	if first {
		if _, err := io.WriteString(c, d.copy); err != nil {
			return false
		}
		return !d.way.idle || d.way.send(c, d.copy) == nil
	}
	d.ran.Add(1)
	time.Sleep(d.delay)
	if strings.HasPrefix(r.RequestURI, "/stream") || strings.HasPrefix(r.RequestURI, "/resume") {
		return respond(streamHeader+chunk(event(1))+"0\r\n\r\n", true)(c, r)
	}
	return respond(signedOK+"Content-Length: 2\r\n\r\nok", true)(c, r)
}

// answer returns a function that builds a signed response with an empty body and the given
// header lines to the request with the given ID.
func answer(status, header string) func(id string) string {
	return func(id string) string {
		return "HTTP/1.1 " + status + "\r\nX-Id: " + id + "\r\nX-Seal: first\r\n" + header + "Content-Length: 0\r\n\r\n"
	}
}

// refusal returns a function that builds an endpoint's statement that it did not run the
// request with the given ID.
func refusal(status string) func(id string) string {
	return func(id string) string {
		return "HTTP/1.1 " + status + "\r\nX-Id: " + id + "\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	}
}

// Guards against a request that runs although it was refused (REFUSED): its caller sends
// the ID of a refused request again, and the endpoint sends a copy of the refusal on the
// connection that has carried it.
func TestCopyOfRefusalWhenCallerSendsIDAgain(t *testing.T) {
	for _, way := range copyWays {
		for _, status := range []string{"503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request"} {
			for _, target := range []string{"/book/1", "/get/1", "/stream/1", "/resume/1"} {
				// A long body is still being written when the copy comes.
				for _, size := range []int{4, 300_000} {
					t.Run(fmt.Sprint(way.name, " ", status[:3], " ", target, " ", size), func(t *testing.T) {
						t.Parallel()
						d := &duplicator{first: refusal(status), way: way}
						env := newTestEnv(t, d.serve)
						env.changeLimits(func(l *clcatalog.Limits) { l.BodyBytes = 1 << 20 })
						body := strings.Repeat("b", size)
						require.Equal(t, http.StatusServiceUnavailable, env.status(env.request(target, "f", body)))
						require.EqualValues(t, 1, env.promises("503", basisStated), "a true refusal reaches the caller")
						time.Sleep(150 * time.Millisecond) // The endpoint gets no requests for 100 ms.
						got := env.status(env.request(target, "f", body))
						require.EqualValues(t, 1, d.ran.Load())
						require.Equal(t, http.StatusOK, got, "%v", env.logs.FilterMessage("attempt failed").All())
					})
				}
			}
		}
	}
}

// Guards against a request that runs although it was refused (REFUSED): the gateway tries
// it at another endpoint ID with the same address, and the refusal of the first one comes
// again on the same connection.
func TestCopyOfRefusalAtTheSameAddress(t *testing.T) {
	for _, way := range copyWays {
		for _, status := range []string{"503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request"} {
			t.Run(way.name+" "+status[:3], func(t *testing.T) {
				t.Parallel()
				d := &duplicator{first: refusal(status), way: way}
				env := newTestEnv(t, d.serve)
				address := env.gateway.Fleet.Endpoints("s")[0].Address
				env.gateway.Fleet.Put(clcatalog.Endpoint{ID: "other", Service: "s", Address: address, DataCentre: "a", Slots: 8}, time.Now())
				got := env.status(env.request("/book/1", "f", "body"))
				require.EqualValues(t, 1, d.ran.Load())
				require.Equal(t, http.StatusOK, got, "%v", env.logs.FilterMessage("attempt failed").All())
			})
		}
	}
}

// Guards against a caller that gets the answer to an earlier request with the same ID
// (MIXED, ORDER): a copy of a success or of a failure comes on the connection that has
// carried both.
func TestCopyOfAnswerIsNoAnswer(t *testing.T) {
	for _, way := range copyWays {
		for _, status := range []string{"200 OK", "404 Not Found", "500 Internal Server Error"} {
			for _, target := range []string{"/book/1", "/get/1", "/stream/1", "/resume/1"} {
				t.Run(fmt.Sprint(way.name, " ", status[:3], " ", target), func(t *testing.T) {
					t.Parallel()
					d := &duplicator{first: answer(status, ""), way: way}
					env := newTestEnv(t, d.serve)
					require.NotEqual(t, http.StatusBadGateway, env.status(env.request(target, "f", "first")))
					resp, err := http.DefaultClient.Do(env.request(target, "f", "second"))
					require.NoError(t, err)
					require.NoError(t, resp.Body.Close())
					require.EqualValues(t, 1, d.ran.Load())
					require.Equal(t, http.StatusOK, resp.StatusCode)
					require.Equal(t, "s", resp.Header.Get("X-Seal"), "the answer is that to the first request")
				})
			}
		}
	}
}

// Guards against an endpoint that gets no requests although it takes them (BUDGET, DRAIN):
// the copy of a response in which another endpoint at its address wanted none, or left, is
// taken for its own.
func TestCopyOfStatementIsNoStatement(t *testing.T) {
	for _, way := range copyWays {
		for _, tc := range []struct {
			name  string
			first func(id string) string
		}{
			{"wants quiet", answer("503 Service Unavailable", "X-Not-Run: 1\r\nX-Quiet: 60000\r\n")},
			{"leaves", answer("503 Service Unavailable", "X-Not-Run: 1\r\nX-Leaving: 1\r\n")},
		} {
			t.Run(way.name+" "+tc.name, func(t *testing.T) {
				t.Parallel()
				d := &duplicator{first: tc.first, way: way}
				env := newTestEnv(t, d.serve)
				address := env.gateway.Fleet.Endpoints("s")[0].Address
				require.Equal(t, http.StatusServiceUnavailable, env.status(env.request("/book/1", "f", "")))
				env.gateway.Fleet.Put(clcatalog.Endpoint{ID: "other", Service: "s", Address: address, DataCentre: "a", Slots: 8}, time.Now())
				for range 3 {
					require.Equal(t, http.StatusOK, env.status(env.request("/book/1", "f", "")))
				}
				require.EqualValues(t, 3, d.ran.Load())
			})
		}
	}
}

// Guards against a connection that is used again while the endpoint still owes a response
// on it (LOST): its request was given up because the copy of a response to another request
// came first, and each later request would get the response to the one before.
func TestConnectionWithForeignResponseIsNotUsedAgain(t *testing.T) {
	for _, tc := range []struct {
		name  string
		first func(id string) string
	}{
		{"refusal", refusal("503 Service Unavailable")}, {"success", answer("200 OK", "")}, {"failure", answer("500 Internal Server Error", "")},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			d := &duplicator{first: tc.first, way: copyWays[2], delay: 50 * time.Millisecond}
			env := newTestEnv(t, d.serve)
			for i, want := range []bool{false, false, true, true} {
				r := env.request("/book/1", "f", "")
				r.Header.Set("X-Id", fmt.Sprint("r", i))
				got := env.status(r)
				if want {
					require.Equal(t, http.StatusOK, got, "request %d", i)
				}
				if i == 0 {
					time.Sleep(150 * time.Millisecond) // The endpoint gets no requests for 100 ms.
				}
			}
		})
	}
}
