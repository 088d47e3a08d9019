// This file tests transfers of caches.

package clentry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"

	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// TestCopyConfirmsNoTransfer guards against a cache that counts as moved although the engine
// has refused it: the answer to an earlier transfer comes again on the connection.
func TestCopyConfirmsNoTransfer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		copied := ""
		for br, status := bufio.NewReader(c), "200 OK"; ; status = "409 Conflict" {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, copied)
			copied = fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", status, clendpoint.AttemptHeader, r.Header.Get(clendpoint.AttemptHeader))
			_, _ = io.WriteString(c, copied)
		}
	}()
	core, logs := observer.New(zap.InfoLevel)
	moves, client := &transfers{log: zap.New(core)}, &clendpoint.HTTP{}
	defer client.Close()
	r := &runner{boot: "b"}
	to := endpoint{id: "e1", addr: netip.MustParseAddrPort(ln.Addr().String())}
	moves.move(t.Context(), client, r.nextID(), endpoint{id: "e0", addr: to.addr}, to, "s", 10)
	require.Zero(t, logs.Len(), "the first one has succeeded")
	moves.move(t.Context(), client, r.nextID(), endpoint{id: "e0", addr: to.addr}, to, "s", 10)
	require.Equal(t, 1, logs.FilterMessageSnippet("Cache cannot be moved.").Len())
}
