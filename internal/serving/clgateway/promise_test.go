// This file tests what a caller may conclude from a response, whatever the endpoints
// do, and that nothing that was accepted is given up.

package clgateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// behaviour is what a scripted endpoint does with a request. ran says whether it has
// run the request as far as the caller may know.
type behaviour struct {
	name string
	run  script
	ran  bool
}

// behaviours returns all ways in which an endpoint can end an attempt.
func behaviours() []behaviour {
	const notRun = "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	return []behaviour{
		{"answers", respond(signedOK+"Content-Length: 2\r\n\r\nok", true), true},
		{"does not run it", respond(notRun, true), false},
		{"does not run it and closes", respond(notRun, false), false},
		{"fails", respond("HTTP/1.1 500 Internal Server Error\r\nX-Seal: s\r\nContent-Length: 3\r\n\r\nbad", true), true},
		{"refuses after running it", respond("HTTP/1.1 503 Service Unavailable\r\nX-Seal: s\r\nContent-Length: 3\r\n\r\nbad", true), true},
		{"asks for patience after running it", respond("HTTP/1.1 429 Too Many Requests\r\nX-Seal: s\r\nContent-Length: 3\r\n\r\nbad", true), true},
		{"times out after running it", respond("HTTP/1.1 408 Request Timeout\r\nContent-Length: 3\r\n\r\nbad", false), true},
		{"runs it, answer lost", respond("", false), true},
		{"runs it, half an answer", respond(signedOK+"Content-Length: 9\r\n\r\nok", false), true},
		{"answers another request", respond(signedOK+"X-Id: other\r\nContent-Length: 2\r\n\r\nno", true), true},
		{"refuses another request", respond("HTTP/1.1 503 Service Unavailable\r\nX-Id: other\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true), true},
		{"refuses no request in particular", respondRaw("HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true), true},
		{"answers no request in particular", respondRaw(signedOK+"Content-Length: 2\r\n\r\nno", true), true},
		{"unsigned answer", respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno", true), true},
		{"no HTTP", respond("garbage\r\n\r\n", false), true},
		{"stays silent", func(net.Conn, *http.Request) bool { time.Sleep(700 * time.Millisecond); return false }, true},
	}
}

// Guards against a status that promises "not run" for a request that an endpoint may
// have run, against unrepeatable requests that reach a second endpoint after one that
// may have run them, and against answers that are not the request's own. Endpoints
// behave at random, each in its own way.
func TestPromisesToCallers(t *testing.T) {
	all := behaviours()
	rapid.Check(t, func(rt *rapid.T) {
		target := rapid.SampledFrom([]string{"/get/1", "/book/1", "/stream/1", "/resume/1"}).Draw(rt, "path")
		drawn := rapid.SliceOfN(rapid.IntRange(0, len(all)-1), 1, 3).Draw(rt, "behaviours")
		var ran, received atomic.Int64
		var scripts []script
		for _, i := range drawn {
			scripts = append(scripts, func(c net.Conn, r *http.Request) bool {
				received.Add(1)
				if all[i].ran {
					ran.Add(1)
				}
				return all[i].run(c, r)
			})
		}
		env := newTestEnv(t, scripts...)
		request := env.request(target, "f", "body")
		request.Header.Set("X-Deadline", "500")
		resp, err := http.DefaultClient.Do(request)
		require.NoError(rt, err, "a request that was read gets an answer")
		b, err := io.ReadAll(resp.Body)
		require.NoError(rt, resp.Body.Close())
		switch resp.StatusCode {
		case http.StatusOK:
			if err == nil && strings.HasPrefix(target, "/get") || strings.HasPrefix(target, "/book") {
				require.Equal(rt, "ok", string(b))
			}
		case http.StatusServiceUnavailable:
			require.Zero(rt, ran.Load(), "503 says that the request has not run: %v", drawn)
			require.NotEmpty(rt, resp.Header.Get("Retry-After"))
		case http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			require.Zero(rt, ran.Load())
		}
		if !strings.HasPrefix(target, "/get") && !strings.HasPrefix(target, "/resume") {
			require.LessOrEqual(rt, ran.Load(), int64(1), "an unrepeatable request ran twice: %v", drawn)
		}
		require.LessOrEqual(rt, received.Load(), int64(2), "the route allows two attempts")
		env.stop()
	})
}

// Guards against running work that is started again or given up because its endpoint
// was not heard of for a while: the registry loses the endpoint's entry, and gets it
// back, while the endpoint still works.
func TestUnregisteredEndpointKeepsItsWork(t *testing.T) {
	for _, target := range []string{"/get/1", "/book/1", "/stream/1", "/resume/1"} {
		began, release := make(chan struct{}), make(chan struct{})
		slow := func(c net.Conn, r *http.Request) bool {
			close(began)
			<-release
			if strings.HasPrefix(r.RequestURI, "/get") || strings.HasPrefix(r.RequestURI, "/book") {
				return respond(signedOK+"Content-Length: 2\r\n\r\nok", true)(c, r)
			}
			return respond(streamHeader+chunk(event(1))+"0\r\n\r\n", true)(c, r)
		}
		env := newTestEnv(t, slow)
		answered := make(chan error, 1)
		go func() {
			resp, err := http.DefaultClient.Do(env.request(target, "f", ""))
			if err == nil {
				_, err = io.ReadAll(resp.Body)
			}
			if err == nil && resp.StatusCode != http.StatusOK {
				err = fmt.Errorf("status %d", resp.StatusCode)
			}
			answered <- err
		}()
		<-began
		env.gateway.Fleet.Remove("e0")
		time.Sleep(300 * time.Millisecond)
		close(release)
		require.NoError(t, <-answered, target)
		require.Len(t, env.requests(), 1, target)
	}
}

// Guards against requests that are cut off without an answer at a planned stop under
// load: on new connections, on kept ones, and with the stop between the connection and
// the first byte, or between the header and the body. Only a connection that has
// carried no byte of a request when the listener closes may end.
func TestStopUnderLoad(t *testing.T) {
	env := newTestEnv(t, func(c net.Conn, r *http.Request) bool {
		time.Sleep(20 * time.Millisecond)
		return respond(signedOK+"Content-Length: 2\r\n\r\nok", true)(c, r)
	})
	addr := env.gateway.Address.String()
	// All requests begin before the listener closes, with a margin for a busy machine.
	const lastBegin = 200 * time.Millisecond
	var stoppedAt atomic.Int64
	var cut, served atomic.Int64
	var wg sync.WaitGroup
	ask := func(c net.Conn, br *bufio.Reader, afterConnect, afterHead time.Duration) (keep bool) {
		time.Sleep(afterConnect)
		_, err := io.WriteString(c, "POST /book/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: r\r\nX-Key: f\r\nContent-Length: 4\r\n\r\nbo")
		if err == nil {
			time.Sleep(afterHead)
			_, err = io.WriteString(c, "dy")
		}
		if err != nil {
			cut.Add(1)
			return false
		}
		resp, err := http.ReadResponse(br, nil)
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		if err != nil {
			cut.Add(1)
			return false
		}
		served.Add(1)
		return !resp.Close
	}
	mayBegin := func() bool {
		at := stoppedAt.Load()
		return at == 0 || time.Since(time.Unix(0, at)) < lastBegin
	}
	for i := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for mayBegin() {
				c, err := net.Dial("tcp", addr)
				if err != nil {
					cut.Add(1)
					return
				}
				br := bufio.NewReader(c)
				for keep := true; keep && mayBegin(); {
					keep = ask(c, br, time.Duration(i%3)*5*time.Millisecond, time.Duration(i%4)*30*time.Millisecond)
				}
				_ = c.Close()
			}
		}()
	}
	time.Sleep(300 * time.Millisecond)
	stoppedAt.Store(time.Now().UnixNano())
	env.stop()
	wg.Wait()
	require.NoError(t, <-env.stopped)
	require.Zero(t, cut.Load())
	require.Greater(t, served.Load(), int64(200))
}
