// This file defines a server that answers with any text.

package cltest

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
)

// ServeText starts a server that answers each request with the text that it returns, and
// then closes the connection, until the test ends.
func ServeText(t testing.TB, text func() string) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go answerText(c, text)
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String())
}

func answerText(c net.Conn, text func() string) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	// A client that ends early sees that by itself.
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(c, text())
}
