package clendpoint

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// listen runs serve for each connection, numbered from 0, of a raw listener.
func listen(t testing.TB, serve func(n int, c net.Conn)) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(n, c)
			}()
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String())
}

// readRequest reads one request, or returns false at the end of the connection.
func readRequest(br *bufio.Reader) bool {
	r, err := http.ReadRequest(br)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, r.Body)
	return err == nil
}

func newClient(t *testing.T) *HTTP {
	h := &HTTP{Timeouts: Timeouts{Connect: time.Minute, FirstByte: time.Minute, BetweenReads: time.Minute}}
	t.Cleanup(h.Close)
	return h
}

// lastAttempt is the number of the call that post returned last.
var lastAttempt atomic.Uint64

// post returns a call with an attempt ID of its own.
func post(addr netip.AddrPort) Call {
	return Call{Endpoint: addr, Method: "POST", Path: "/x", Body: []byte("body"), AttemptID: fmt.Sprint("a", lastAttempt.Add(1))}
}

// readAll sends the call and reads the whole body.
func readAll(h *HTTP, c Call) (string, error) {
	a, err := h.Do(context.Background(), c)
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return string(b), err
}

func kindOf(err error) Kind {
	if e, ok := err.(*Error); ok {
		return e.Kind
	}
	return ""
}

// TestBreaks guards against a failure that is classified as not sent after
// bytes were written, or a truncated answer that looks whole.
func TestBreaks(t *testing.T) {
	tests := []struct {
		name   string
		answer string // sent after the request was read
		silent bool   // keep the connection open afterwards
		body   string
		kind   Kind
	}{
		{"closed before the answer", "", false, "", KindBroken},
		{"silent before the answer", "", true, "", KindSilent},
		{"closed inside the status line", "HTTP/1.1 2", false, "", KindBroken},
		{"silent inside the header", "HTTP/1.1 200 OK\r\nContent-", true, "", KindSilent},
		{"closed inside a sized body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", false, "ab", KindBroken},
		{"silent inside a sized body", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", true, "ab", KindSilent},
		{"closed between chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n", false, "ab", KindBroken},
		{"closed inside a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab", false, "ab", KindBroken},
		{"silent inside a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab", true, "ab", KindSilent},
		{"closed before the trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n", false, "ab", KindBroken},
		{"not HTTP", "SSH-2.0-x\r\n\r\n", false, "", KindBroken},
		{"protocol switch", "HTTP/1.1 101 Switching Protocols\r\n\r\n", true, "", KindBroken},
		{"whole, sized", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", true, "ab", ""},
		{"whole, chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n\r\n", true, "ab", ""},
		{"whole, until close", "HTTP/1.1 200 OK\r\n\r\nab", false, "ab", ""},
		{"whole, after 100", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", true, "ab", ""},
		{"whole, no content", "HTTP/1.1 204 No Content\r\n\r\n", true, "", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			done := make(chan struct{})
			defer close(done)
			addr := listen(t, func(_ int, c net.Conn) {
				if readRequest(bufio.NewReader(c)) {
					_, _ = io.WriteString(c, tt.answer)
				}
				if tt.silent {
					<-done
				}
			})
			call := post(addr)
			if tt.kind == KindSilent {
				call.Timeouts.BetweenReads = 100 * time.Millisecond
				if tt.answer == "" {
					call.Timeouts.FirstByte = 100 * time.Millisecond
				}
			}
			body, err := readAll(newClient(t), call)
			require.Equal(t, tt.kind, kindOf(err), "%v", err)
			require.Equal(t, tt.body, body)
		})
	}
}

// TestRefusedIsNotSent guards against an unknown outcome where nothing listens.
func TestRefusedIsNotSent(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	addr := netip.MustParseAddrPort(ln.Addr().String())
	require.NoError(t, ln.Close())
	_, err = readAll(newClient(t), post(addr))
	require.Equal(t, KindNotSent, kindOf(err), "%v", err)
}
