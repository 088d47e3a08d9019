// This file tests which responses that end with their connection count as whole.

package clgateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"testing"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/chestnutlead/chestnutlead/internal/routing/clfleet"
	"github.com/stretchr/testify/require"
)

// Guards against taking another start of an endpoint, or a process that says too little,
// for the start that has sent a response.
func TestJudgeIdentity(t *testing.T) {
	for _, test := range []struct {
		name      string
		born      int64
		said      Identity
		unchanged bool
		want      error
	}{
		{"same start", 7, Identity{"e", 7}, true, nil},
		{"same start, whose entry is missing", 7, Identity{"e", 7}, false, nil},
		{"same start of an engine, which doesn't say its ID", 7, Identity{"", 7}, true, nil},
		{"later start, whose entry has not arrived", 7, Identity{"e", 8}, true, errOtherStart},
		{"another endpoint", 7, Identity{"f", 7}, true, errOtherID},
		{"only the ID, and the entry stands", 7, Identity{"e", 0}, true, nil},
		{"only the ID, and the entry has changed", 7, Identity{"e", 0}, false, errEntry},
		{"a start that the entry does not state", 0, Identity{"e", 8}, true, nil},
		{"a start that the entry does not state, and the entry has changed", 0, Identity{"e", 8}, false, errEntry},
		{"nothing", 7, Identity{}, true, errUnnamed},
	} {
		require.Equal(t, test.want, judgeIdentity(&clfleet.Choice{Endpoint: "e", Born: test.born}, test.said, test.unchanged), test.name)
	}
}

// Guards against a truncated response that looks complete because its endpoint can't be
// asked, and against calls for responses with a length or of services without a health
// path.
func TestEndOfUnframedResponse(t *testing.T) {
	const streamed, unframed, framed = "Content-Type: text/event-stream\r\n\r\n", "\r\nhello", "Content-Length: 5\r\n\r\nhello"
	for _, test := range []struct {
		name, path, text string
		healthPath       string
		err              error
		status, calls    int
		whole            bool
	}{
		{"a stream", "/stream/1", streamed + event(1), "/health", nil, http.StatusOK, 1, true},
		{"a stream of an endpoint that can't be asked", "/stream/1", streamed + event(1), "/health", errors.New("timeout"), http.StatusOK, 1, false},
		{"a body", "/book/1", unframed, "/health", nil, http.StatusOK, 1, true},
		{"a body of an endpoint that can't be asked", "/book/1", unframed, "/health", errors.New("timeout"), http.StatusBadGateway, 1, true},
		{"a body with a length", "/book/1", framed, "/health", errors.New("timeout"), http.StatusOK, 0, true},
		{"a body of a service without a health path", "/book/1", unframed, "", errors.New("timeout"), http.StatusOK, 0, true},
	} {
		env := newTestEnv(t, respond(signedOK+test.text, false))
		cat := *env.gateway.Catalog()
		cat.Version++
		cat.Services = []clcatalog.Service{{Name: "s", HealthPath: test.healthPath}}
		cat.BuildIndexes()
		env.gateway.SetCatalog(&cat)
		calls := 0
		env.gateway.Identify = func(context.Context, *clcatalog.Service, netip.AddrPort, int64) (Identity, error) {
			calls++
			return Identity{Endpoint: "e0"}, test.err
		}
		resp, err := http.DefaultClient.Do(env.request(test.path, "f", ""))
		require.NoError(t, err)
		_, err = io.ReadAll(resp.Body)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, test.status, resp.StatusCode, test.name)
		require.Equal(t, test.whole, err == nil, test.name)
		require.Equal(t, test.calls, calls, test.name)
	}
}
