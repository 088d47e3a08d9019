// This file tests that cold engines get no more load than they bear (P3).

package clharness_test

import (
	"testing"

	"github.com/chestnutlead/chestnutlead/clharness"
	"github.com/stretchr/testify/require"
)

// TestColdEngines guards against more load than a starting engine bears, summed
// over all entries: one request above its cold slots crashes the engine.
func TestColdEngines(t *testing.T) {
	t.Parallel()
	p := smallProfile(3, 0)
	p.EngineArgs = []string{"--cold-time", "2s"}
	f := start(t, p)
	l := startLoad(f, 24, 16)
	eventually(t, healWithin, "ordinary streams", func() bool { return l.done() > 24 })
	fresh, err := f.AddEngine(p.DataCentres[0], clharness.OldVersion)
	require.NoError(t, err)
	eventually(t, healWithin, "requests at the fresh engine", func() bool { return requestsAt(t, fresh, false) > 8 })
	require.NoError(t, f.Endpoints[1].Crash())
	eventually(t, healWithin, "requests at the engine that restarted", func() bool { return requestsAt(t, f.Endpoints[1], false) > 8 })
	l.requireWhole(t)
	for _, e := range f.Endpoints {
		st, err := e.EngineStats()
		require.NoError(t, err)
		for _, boot := range append(st.Past, st.Boot) {
			require.LessOrEqual(t, boot.ColdPeak, int(p.ColdSlots), "P3: %s ran more than its cold slots while cold", e.Name)
			require.NotEqual(t, "overload", boot.Crash, "P3: %s crashed by overload", e.Name)
		}
	}
}
