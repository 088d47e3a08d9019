// This file tests the gateway against requests that crash endpoints.

package clgateway

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"testing"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/stretchr/testify/require"
)

// Guards against retries of a request that has crashed two endpoints: it crashes as many
// more as the route allows attempts.
func TestRequestIsNotRetriedAfterCrashes(t *testing.T) {
	crash := respond("", false)
	env := newTestEnv(t, crash, crash, crash, crash)
	env.gateway.Probe = func(context.Context, netip.AddrPort) bool { return false }
	env.changeRoute("get", func(r *clcatalog.Route) { r.MaxAttempts = 4 })
	for range 2 {
		resp, err := http.DefaultClient.Do(env.request("/get/1", "f", ""))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Len(t, env.requests(), 2)
	}
	resp, err := http.DefaultClient.Do(env.request("/get/2", "f", ""))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, http.StatusBadGateway, resp.StatusCode, "it has run")
	require.Len(t, env.requests(), 4, "another request")
}

// Guards against a response that looks complete because its endpoint crashed: a body with
// neither a length nor chunks ends with the connection, also if the endpoint ends.
func TestUnframedResponseOfACrashedEndpoint(t *testing.T) {
	const unframed = signedOK + "Content-Type: text/event-stream\r\n\r\n"
	for _, test := range []struct {
		name, path, text string
		accepts          bool
		whole            bool
	}{
		{"a stream that ends after an event", "/stream/1", unframed + event(1), true, true},
		{"a stream of a crashed endpoint that ends after an event", "/stream/1", unframed + event(1), false, false},
		{"a stream that ends before the first event", "/stream/1", unframed, true, false},
		{"a stream that ends within an event", "/stream/1", unframed + event(1) + "id: 2\nda", true, false},
		{"a body", "/book/1", signedOK + "\r\nhello", true, true},
		{"a body of a crashed endpoint", "/book/1", signedOK + "\r\nhel", false, false},
	} {
		env := newTestEnv(t, respond(test.text, false))
		env.gateway.Probe = func(context.Context, netip.AddrPort) bool { return test.accepts }
		resp, err := http.DefaultClient.Do(env.request(test.path, "f", ""))
		whole := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			whole = whole && err == nil
			require.NoError(t, resp.Body.Close())
		}
		require.Equal(t, test.whole, whole, test.name)
		require.Len(t, env.requests(), 1, test.name)
	}
}
