package clendpoint

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// TestReuse guards against reuse of a connection that the endpoint closed or
// dirtied, that was abandoned, or whose answer forbids it.
func TestReuse(t *testing.T) {
	tests := []struct {
		name  string
		first string // first connection's first answer
		// after runs on the first connection when the answer is out.
		after func(c net.Conn)
		read  bool // read the first answer to its end
		fresh bool // second call asks for a new connection
		conns int
	}{
		{"kept alive", okAnswer, nil, true, false, 1},
		{"chunked kept alive", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", nil, true, false, 1},
		{"closed meanwhile", okAnswer, func(c net.Conn) { c.Close() }, true, false, 2},
		{"reset meanwhile", okAnswer, func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); c.Close() }, true, false, 2},
		{"bytes after the answer", okAnswer, func(c net.Conn) { _, _ = io.WriteString(c, okAnswer) }, true, false, 2},
		{"bytes with the answer", okAnswer + okAnswer, nil, true, false, 2},
		{"abandoned", okAnswer, nil, false, false, 2},
		{"connection: close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", nil, true, false, 2},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", nil, true, false, 2},
		{"new connection asked for", okAnswer, nil, true, true, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var conns atomic.Int32
			settled := make(chan struct{})
			addr := listen(t, func(n int, c net.Conn) {
				conns.Add(1)
				br := bufio.NewReader(c)
				for i := 0; readRequest(br); i++ {
					if n > 0 || i > 0 {
						_, _ = io.WriteString(c, okAnswer)
						continue
					}
					_, _ = io.WriteString(c, tt.first)
					if tt.after != nil {
						<-settled
						tt.after(c)
						settled <- struct{}{}
					}
				}
			})
			h := newClient(t)
			a, err := h.Do(context.Background(), post(addr))
			require.NoError(t, err)
			if tt.read {
				b, err := io.ReadAll(a.Body)
				require.NoError(t, err)
				require.Equal(t, "ok", string(b))
			}
			require.NoError(t, a.Body.Close())
			if tt.after != nil {
				settled <- struct{}{}
				<-settled
				// Loopback delivers before the close returns, but a margin costs little.
				time.Sleep(10 * time.Millisecond)
			}
			second := post(addr)
			second.NewConnection = tt.fresh
			body, err := readAll(h, second)
			require.NoError(t, err)
			require.Equal(t, "ok", body)
			require.EqualValues(t, tt.conns, conns.Load())
		})
	}
}

// TestNoRetry guards against a silent repetition of a request whose kept-alive
// connection broke after the request was sent.
func TestNoRetry(t *testing.T) {
	var requests atomic.Int32
	addr := listen(t, func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		for i := 0; readRequest(br); i++ {
			requests.Add(1)
			if i > 0 {
				return // closes without an answer
			}
			_, _ = io.WriteString(c, okAnswer)
		}
	})
	for _, method := range []string{"POST", "GET", "PUT"} {
		requests.Store(0)
		h := newClient(t)
		call := post(addr)
		call.Method = method
		_, err := readAll(h, call)
		require.NoError(t, err)
		call.AttemptID += "-second"
		_, err = readAll(h, call)
		require.Equal(t, KindBroken, kindOf(err), "%v", err)
		require.EqualValues(t, 2, requests.Load(), method)
	}
}

// TestIdleExpiry guards against a connection that is kept longer than the
// endpoint's own limit, and against idle connections that are never closed.
func TestIdleExpiry(t *testing.T) {
	var conns atomic.Int32
	addr := listen(t, func(_ int, c net.Conn) {
		conns.Add(1)
		for br := bufio.NewReader(c); readRequest(br); {
			_, _ = io.WriteString(c, okAnswer)
		}
	})
	h := newClient(t)
	h.IdleTimeout = time.Nanosecond
	for range 3 {
		_, err := readAll(h, post(addr))
		require.NoError(t, err)
	}
	require.EqualValues(t, 3, conns.Load())
	require.LessOrEqual(t, len(h.pool.idle[poolKey{addr: addr}]), 1)
}

// TestWriteFailures guards against "not sent" after a byte was written, and
// "unknown" when none was.
func TestWriteFailures(t *testing.T) {
	client, server := net.Pipe()
	require.NoError(t, server.Close())
	c := newConn(client, netip.MustParseAddrPort("127.0.0.1:1"))
	c.begin(context.Background(), Timeouts{FirstByte: time.Second})
	n, err := c.send(post(c.addr))
	require.Error(t, err)
	require.Equal(t, KindNotSent, kindOf(c.classify(err, n > 0)))

	block := make(chan struct{})
	defer close(block)
	addr := listen(t, func(int, net.Conn) { <-block })
	call := post(addr)
	call.Body = make([]byte, 32<<20) // more than the socket buffers hold
	call.Timeouts.FirstByte = 100 * time.Millisecond
	_, err = readAll(newClient(t), call)
	require.Equal(t, KindSilent, kindOf(err), "%v", err)

	addr = listen(t, func(_ int, c net.Conn) { _, _ = io.ReadFull(c, make([]byte, 100)) })
	call.Endpoint, call.Timeouts = addr, Timeouts{}
	_, err = readAll(newClient(t), call)
	require.Equal(t, KindBroken, kindOf(err), "%v", err)
}

// TestInvalidCalls guards against requests that an endpoint would read as two.
func TestInvalidCalls(t *testing.T) {
	var conns atomic.Int32
	addr := listen(t, func(int, net.Conn) { conns.Add(1) })
	for _, change := range []func(*Call){
		func(c *Call) { c.Path = "/x HTTP/1.1\r\nA: b" },
		func(c *Call) { c.Path = "x" },
		func(c *Call) { c.Method = "GET /" },
		func(c *Call) { c.Header = []Header{{"A", "b\r\nC: d"}} },
		func(c *Call) { c.Header = []Header{{"A b", "c"}} },
		func(c *Call) { c.AttemptID = "a\nb" },
		func(c *Call) { c.Endpoint = netip.AddrPort{} },
	} {
		call := post(addr)
		change(&call)
		_, err := readAll(newClient(t), call)
		require.Equal(t, KindNotSent, kindOf(err), "%v", err)
	}
	require.Zero(t, conns.Load())
}

// TestCancel guards against a call that outlives its context, before the
// header or inside the body, and against reuse of its connection.
func TestCancel(t *testing.T) {
	for _, answer := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab"} {
		addr := listen(t, func(_ int, c net.Conn) {
			br := bufio.NewReader(c)
			if readRequest(br) {
				_, _ = io.WriteString(c, answer)
			}
			readRequest(br) // returns when the client closes
		})
		h := newClient(t)
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(30*time.Millisecond, cancel)
		a, err := h.Do(ctx, post(addr))
		if err == nil {
			_, err = io.ReadAll(a.Body)
		}
		require.Equal(t, KindBroken, kindOf(err), "%v", err)
		require.ErrorIs(t, err, context.Canceled)
		require.Empty(t, h.pool.idle[poolKey{addr: addr}])
		_, err = h.Do(ctx, post(addr))
		require.Equal(t, KindNotSent, kindOf(err), "a cancelled context before the call")
	}
}

// TestOwnAnswers guards against an answer that reaches another caller when
// attempts are abandoned or cancelled at random moments.
func TestOwnAnswers(t *testing.T) {
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for range 5 {
			_, _ = io.WriteString(w, r.Header.Get(AttemptHeader)+"\n")
			w.(http.Flusher).Flush()
			time.Sleep(100 * time.Microsecond)
		}
	})}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = srv.Serve(ln) }()
	defer srv.Close()
	h := newClient(t)
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for i := range 60 {
				id := fmt.Sprintf("%d-%d", g, i)
				ctx, cancel := context.WithCancel(context.Background())
				if i%3 == 0 {
					time.AfterFunc(time.Duration(i*20)*time.Microsecond, cancel)
				}
				call := Call{Endpoint: netip.MustParseAddrPort(ln.Addr().String()), Method: "GET", Path: "/", AttemptID: id}
				a, err := h.Do(ctx, call)
				if err != nil {
					cancel()
					continue
				}
				if i%3 == 1 {
					_, _ = a.Body.Read(make([]byte, 1))
					a.Body.Close()
					cancel()
					continue
				}
				b, err := io.ReadAll(a.Body)
				want := id + "\n"
				want = want + want + want + want + want
				if err == nil && string(b) != want || len(b) > len(want) || want[:len(b)] != string(b) || i%3 == 2 && err != nil {
					t.Errorf("attempt %s got %q, %v", id, b, err)
				}
				cancel()
			}
		})
	}
	wg.Wait()
}

// Guards against a response that belongs to an earlier attempt on the connection (MIXED):
// a second copy of it arrives where the next response is expected.
func TestResponseOfAnotherAttempt(t *testing.T) {
	for _, tc := range []struct {
		name string
		// second is the attempt ID that the second response carries, or "" for none.
		second string
		echoes bool
		ok     bool
	}{
		{"own", "b", true, true},
		{"second copy", "a", true, false},
		{"second copy without an ID", "", true, false},
		{"endpoint that does not echo", "", false, true},
		{"ID of nobody, from an endpoint that does not echo", "x", false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			answer := func(id string) string {
				if id != "" {
					id = AttemptHeader + ": " + id + "\r\n"
				}
				return "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 2\r\n\r\nok"
			}
			addr := listen(t, func(_ int, c net.Conn) {
				br := bufio.NewReader(c)
				for _, id := range []string{map[bool]string{true: "a"}[tc.echoes], tc.second} {
					if !readRequest(br) {
						return
					}
					_, _ = io.WriteString(c, answer(id))
				}
				readRequest(br)
			})
			h := newClient(t)
			call := post(addr)
			call.AttemptID = "a"
			_, err := readAll(h, call)
			require.NoError(t, err)
			call.AttemptID = "b"
			_, err = readAll(h, call)
			if tc.ok {
				require.NoError(t, err)
			} else {
				require.Equal(t, KindBroken, kindOf(err), "%v", err)
			}
		})
	}
}

// TestConnectionCarriesEachIDOnce guards against an answer that can't be told from the
// copy of an earlier one, because its connection has carried a request with the same ID;
// and against new connections for requests with IDs of their own.
func TestConnectionCarriesEachIDOnce(t *testing.T) {
	addr := listen(t, func(_ int, c net.Conn) {
		for br := bufio.NewReader(c); readRequest(br); {
			_, _ = io.WriteString(c, okAnswer)
		}
	})
	var choices []ConnChoice
	var numbers []uint64
	h := newClient(t)
	h.Connected = func(c ConnChoice) { choices = append(choices, c) }
	for _, tc := range []struct {
		request, attempt string
		want             ConnChoice
		conn             int
	}{
		{"r1", "", ConnNoneIdle, 0},
		{"r2", "", ConnKept, 0},
		{"r1", "", ConnHadID, 1},
		{"r3", "", ConnKept, 1},
		{"r2", "", ConnKept, 1},
		{"r1", "", ConnHadID, 2},
		{"", "r1", ConnHadID, 3},
		{"r3", "r1", ConnKept, 3},
		{"", "", ConnKept, 3},
		{"", "", ConnKept, 3},
		{"r4", "", ConnKept, 3},
	} {
		call := post(addr)
		call.RequestID, call.AttemptID = tc.request, tc.attempt
		a, err := h.Do(t.Context(), call)
		require.NoError(t, err)
		_, err = io.ReadAll(a.Body)
		require.NoError(t, err)
		require.Equal(t, tc.want, choices[len(choices)-1], "%+v", tc)
		require.False(t, a.Conn.SameID)
		if tc.conn == len(numbers) {
			numbers = append(numbers, a.Conn.Number)
		}
		require.Equal(t, numbers[tc.conn], a.Conn.Number, "%+v", tc)
	}
}

// TestConnectionEndsWithItsIDs guards against a connection whose memory of IDs grows
// without bound.
func TestConnectionEndsWithItsIDs(t *testing.T) {
	addr := listen(t, func(_ int, c net.Conn) {
		for br := bufio.NewReader(c); readRequest(br); {
			_, _ = io.WriteString(c, okAnswer)
		}
	})
	opened := 0
	h := newClient(t)
	h.Connected = func(c ConnChoice) {
		if c != ConnKept {
			opened++
		}
	}
	for range 2*maxIDs + 1 {
		_, err := readAll(h, post(addr))
		require.NoError(t, err)
	}
	require.Equal(t, 3, opened)
}

// TestRepeatedIDKeepsNumberOfConnections guards against a caller that takes all
// connections of an endpoint by requests with the same ID, and against a choice that
// blames the ID for connections that the endpoint has closed.
func TestRepeatedIDKeepsNumberOfConnections(t *testing.T) {
	for _, tc := range []struct {
		name   string
		closes bool
		want   ConnChoice
		idle   int
	}{
		{"kept", false, ConnHadID, 1},
		{"closed by the endpoint", true, ConnUnusable, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			closed := make(chan struct{}, 1)
			addr := listen(t, func(_ int, c net.Conn) {
				for br := bufio.NewReader(c); readRequest(br); {
					_, _ = io.WriteString(c, okAnswer)
					if tc.closes {
						_ = c.Close()
						closed <- struct{}{}
						return
					}
				}
			})
			var choices []ConnChoice
			h := newClient(t)
			h.Connected = func(c ConnChoice) { choices = append(choices, c) }
			call := post(addr)
			call.RequestID = "r1"
			for range 10 {
				_, err := readAll(h, call)
				require.NoError(t, err)
				if tc.closes {
					<-closed
				}
				require.Len(t, h.pool.idle[poolKey{addr: addr}], tc.idle)
			}
			for _, c := range choices[1:] {
				require.Equal(t, tc.want, c)
			}
		})
	}
}
