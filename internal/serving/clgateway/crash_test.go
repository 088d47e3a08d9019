// This file tests the gateway against requests that crash endpoints.

package clgateway

import (
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
	env.gateway.Probe = func(netip.AddrPort) bool { return false }
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
