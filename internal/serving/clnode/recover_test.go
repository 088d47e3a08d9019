// This file tests what a gateway does when the store returns from an older copy.

package clnode

import (
	"testing"

	"github.com/chestnutlead/chestnutlead/internal/coordination/clmirror"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/stretchr/testify/require"
)

// Guards against the wrong one of two states after the store has returned: endpoints that
// left and get requests (DRAIN), keys that were revoked (CONFIG), outdated gateways.
func TestRecoveryOfEachKind(t *testing.T) {
	endpoint := func(born int64, leaving bool) clcatalog.Endpoint {
		return clcatalog.Endpoint{Born: born, Leaving: leaving}
	}
	for _, c := range []struct {
		name          string
		known, listed clcatalog.Endpoint
		want          clmirror.Recovery
	}{
		{"left", endpoint(1, true), endpoint(1, false), clmirror.KeepKnown},
		{"leaves by now", endpoint(1, false), endpoint(1, true), clmirror.TakeListed},
		{"another start", endpoint(1, true), endpoint(2, false), clmirror.TakeListed},
		{"an earlier start", endpoint(2, false), endpoint(1, false), clmirror.HoldKnown},
		{"an earlier start that left", endpoint(2, false), endpoint(1, true), clmirror.HoldKnown},
		{"other details", endpoint(1, false), endpoint(1, false), clmirror.HoldKnown},
	} {
		require.Equal(t, c.want, recoverEndpoint(c.known, c.listed), c.name)
	}
	for _, c := range []struct {
		known, listed uint64
		want          clmirror.Recovery
	}{
		{5, 4, clmirror.KeepKnown}, {5, 6, clmirror.TakeListed}, {5, 5, clmirror.TakeListed},
	} {
		require.Equal(t, c.want, recoverConfig(&clcatalog.Catalog{Version: c.known}, &clcatalog.Catalog{Version: c.listed}))
	}
	require.Equal(t, clmirror.TakeListed, recoverMember(clcatalog.Member{Boot: 1}, clcatalog.Member{Boot: 2}))
	require.Equal(t, clmirror.HoldKnown, recoverMember(clcatalog.Member{Boot: 2}, clcatalog.Member{Boot: 1}))
}

// Guards against revoked keys that are valid again: a configuration of a lower version never
// replaces one in force.
func TestConfigurationNeverGoesBack(t *testing.T) {
	n := newTestNode()
	for _, tc := range []struct{ version, want uint64 }{{7, 7}, {5, 7}, {8, 8}, {7, 8}} {
		n.applyConfig([]clmirror.Change[*clcatalog.Catalog]{{Value: &clcatalog.Catalog{Version: tc.version}}}, true)
		require.Equal(t, tc.want, n.gateway.Catalog().Version)
	}
}
