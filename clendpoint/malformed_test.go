// This file tests the client against responses that are not well-formed.

package clendpoint

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/cltest"
	"github.com/chestnutlead/chestnutlead/internal/testing/clmalformed"
	"github.com/stretchr/testify/require"
)

const wholeBody = "hello, world"

// doWhole makes a call and returns the status, header and body of a whole answer.
func doWhole(t *testing.T, h *HTTP, call Call) (*Answer, string, error) {
	a, err := h.Do(t.Context(), call)
	if err != nil {
		return nil, "", err
	}
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	return a, string(b), err
}

// Guards against malformed responses that callers get as answers: a status such as 000,
// field names with blanks or control bytes, and lengths that differ.
func TestMalformedResponsesAreNoAnswers(t *testing.T) {
	for _, form := range clmalformed.Responses("X-Id: 1\r\n", wholeBody) {
		for _, method := range []string{http.MethodPost, http.MethodGet} {
			addr := cltest.ServeText(t, func() string { return form.Text })
			h := &HTTP{Timeouts: Timeouts{FirstByte: time.Second, BetweenReads: time.Second}}
			a, body, err := doWhole(t, h, Call{Endpoint: addr, Method: method, Path: "/", Body: []byte("x")})
			if err == nil {
				t.Errorf("%s %s: answer %d with header %v and body %q", method, form.Name, a.Status, a.Header, body)
			}
			h.Close()
		}
	}
}

// Guards against a part of a response that counts as the whole one: it came without a
// length while the request was still being sent, before the connection was reset, closed,
// or fell silent.
func TestEarlyResponses(t *testing.T) {
	request := []byte(strings.Repeat("x", 8<<20))
	for _, length := range []string{"", "Content-Length: 100\r\n", "Transfer-Encoding: chunked\r\n"} {
		for name, end := range map[string]func(c *net.TCPConn){
			"reset":             func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() },
			"close":             func(c *net.TCPConn) { _ = c.Close() },
			"end, then a close": func(c *net.TCPConn) { _ = c.CloseWrite(); time.Sleep(20 * time.Millisecond); _ = c.Close() },
			"silence":           func(*net.TCPConn) {},
			"end, then silence": func(c *net.TCPConn) { _ = c.CloseWrite() },
			"late reset":        func(c *net.TCPConn) { time.Sleep(50 * time.Millisecond); _ = c.SetLinger(0); _ = c.Close() },
			"end, then a reset": func(c *net.TCPConn) { _ = c.CloseWrite(); _ = c.SetLinger(0); _ = c.Close() },
			"end and late reset": func(c *net.TCPConn) {
				_ = c.CloseWrite()
				time.Sleep(50 * time.Millisecond)
				_ = c.SetLinger(0)
				_ = c.Close()
			},
		} {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = io.ReadFull(c, make([]byte, 1000)) // a part of the request
				fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s\r\nhel", length)
				end(c.(*net.TCPConn))
			}()
			h := &HTTP{Timeouts: Timeouts{FirstByte: 300 * time.Millisecond, BetweenReads: 300 * time.Millisecond}}
			addr := netip.MustParseAddrPort(ln.Addr().String())
			_, body, err := doWhole(t, h, Call{Endpoint: addr, Method: http.MethodPost, Path: "/", Body: request, NewConnection: true})
			require.Error(t, err, "%s %q: body %q", name, length, body)
			require.NoError(t, ln.Close())
		}
	}
}
