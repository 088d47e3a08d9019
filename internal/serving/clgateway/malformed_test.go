// This file tests what callers get if an endpoint's response is not well-formed.

package clgateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/chestnutlead/chestnutlead/internal/testing/clmalformed"
	"github.com/stretchr/testify/require"
)

// Guards against malformed responses of endpoints that callers get as answers, on the route
// of requests that may not be repeated, on that of others, and as streams.
func TestMalformedResponsesAreNotPassedOn(t *testing.T) {
	var text atomic.Pointer[string]
	answer := func(c net.Conn, _ *http.Request) bool {
		_, _ = io.WriteString(c, *text.Load()) // the gateway may have closed the connection
		return false
	}
	env := newTestEnv(t, answer, answer)
	for path, body := range map[string]string{"/book/": "hello, world", "/get/": "hello, world", "/stream/": event(1) + event(2)} {
		for i, form := range clmalformed.Responses("X-Seal: s\r\nX-Id: r1\r\n", body) {
			text.Store(&form.Text)
			resp, err := http.DefaultClient.Do(env.request(fmt.Sprint(path, i), "f", ""))
			require.NoError(t, err, form.Name)
			b, err := io.ReadAll(resp.Body)
			require.NoError(t, resp.Body.Close())
			if err == nil {
				require.Contains(t, []int{http.StatusBadGateway, http.StatusServiceUnavailable}, resp.StatusCode, "%s%s: %q", path, form.Name, b)
			}
		}
	}
}
