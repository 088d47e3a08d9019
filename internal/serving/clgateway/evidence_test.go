// This file tests what is logged and counted about whether a request was run.

package clgateway

import (
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a refused request whose log lines don't tell on what the refusal rests.
func TestLogsTellTheBasisOfAPromise(t *testing.T) {
	const stated = "HTTP/1.1 503 Service Unavailable\r\nX-Id: r1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	const failed = "HTTP/1.1 500 Internal Server Error\r\nX-Id: r1\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n"
	for _, tc := range []struct {
		name      string
		endpoints []script
		message   string
		want      map[string]any
	}{
		{"no endpoint", nil, "refused", map[string]any{"basis": basisNotSent, "sends": int64(0)}},
		{"stated", []script{respond(stated, true)}, "refused", map[string]any{"basis": basisStated, "sends": int64(1)}},
		{"stated", []script{respond(stated, true)}, "attempt failed", map[string]any{
			"response_status": int64(503), "response_request": "own", "signed": false, "states_not_run": true, "connection_reused": false,
		}},
		{"lost", []script{respond("", false)}, "refused", map[string]any{"basis": "", "sends": int64(1)}},
		{"failed", []script{respond(failed, true)}, "answered", map[string]any{
			"response_status": int64(500), "response_request": "own", "signed": true, "states_not_run": false,
		}},
	} {
		t.Run(tc.name+" "+tc.message, func(t *testing.T) {
			env := newTestEnv(t, tc.endpoints...)
			resp, err := http.DefaultClient.Do(env.request("/book/1", "f", ""))
			require.NoError(t, err)
			_, err = io.ReadAll(resp.Body)
			require.NoError(t, err)
			lines := env.logs.FilterMessage(tc.message).All()
			require.Len(t, lines, 1)
			for name, value := range tc.want {
				require.Equal(t, value, lines[0].ContextMap()[name], name)
			}
			if basis, ok := tc.want["basis"].(string); ok && basis != "" {
				require.EqualValues(t, 1, env.promises("503", basis))
			}
		})
	}
}
