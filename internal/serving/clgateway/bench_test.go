// This file measures what a request costs in the gateway.

package clgateway

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/stretchr/testify/require"
)

// BenchmarkRequest sends requests with a body of 2 KB through a gateway, one after
// another on one connection. The figures include the client and the endpoint.
func BenchmarkRequest(b *testing.B) {
	reply := []byte(signedOK + "X-Id: r1\r\nContent-Length: 2\r\n\r\nok")
	env := newTestEnv(b, func(c net.Conn, r *http.Request) bool {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return false
		}
		_, err := c.Write(reply)
		return err == nil
	})
	env.changeLimits(func(l *clcatalog.Limits) { l.BodyBytes = 4 << 20 })
	c, err := net.Dial("tcp", env.gateway.Address.String())
	require.NoError(b, err)
	defer c.Close()
	request := []byte(fmt.Sprintf("POST /get/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Id: r1\r\nX-Key: f\r\nContent-Length: 2048\r\n\r\n%s", strings.Repeat("x", 2048)))
	br := bufio.NewReader(c)
	b.ReportAllocs()
	for b.Loop() {
		_, err := c.Write(request)
		require.NoError(b, err)
		resp, err := http.ReadResponse(br, nil)
		require.NoError(b, err)
		body, err := io.ReadAll(resp.Body)
		require.NoError(b, err)
		require.Equal(b, "ok", string(body))
	}
}
