// This file tests that an engine that turns cold without warning gets no more
// load than it bears (P3).

package clharness_test

import (
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clharness"
	"github.com/chestnutlead/chestnutlead/clstandin"
	"github.com/stretchr/testify/require"
)

const (
	// hiddenColdGrace is the time that section 3.6 of the design leaves for the
	// detection, with slots leased for 1 s: half a lease until an entry reports a
	// slow first token, a whole one until the slots that other entries hold have
	// expired, and 0.7 s for the first token itself.
	hiddenColdGrace = 2200 * time.Millisecond
	// hiddenColdFor outlasts the watch: the engine is cold until the test ends.
	hiddenColdFor = 2 * time.Minute
	// hiddenColdRequests would double the limit of 4 four times over.
	hiddenColdRequests = 16
	hiddenColdCallers  = 24
	hiddenColdTokens   = 32
)

// TestHiddenColdEngine guards against an engine that turns cold, does not say so
// in its load reports, and gets more requests at once than a cold engine bears.
// The first token takes about 70 ms while warm and ten times as long while cold,
// so that a busy machine hides neither.
func TestHiddenColdEngine(t *testing.T) {
	t.Parallel()
	p := smallProfile(3, 0)
	p.ColdSlots = 4
	p.EngineArgs = []string{
		"--cold-grace", hiddenColdGrace.String(), "--cold-factor", "10", "--prefill-per-second", "100",
	}
	f := start(t, p)
	l := startLoad(f, hiddenColdCallers, hiddenColdTokens)
	e := f.Endpoints[1]
	stats := func() clstandin.EngineStats {
		st, err := e.EngineStats()
		require.NoError(t, err)
		return st
	}
	eventually(t, healWithin, "more requests at once than the cold slots", func() bool { return stats().Boot.Peak > int(p.ColdSlots) })
	eventually(t, healWithin, "a usual first-token time", func() bool { return stats().Boot.Requests > 64 })
	setFaults(t, clstandin.Faults{HideCold: true}, e)
	cold := time.Now()
	require.NoError(t, e.TurnCold(hiddenColdFor))
	time.Sleep(hiddenColdGrace)
	before := requests(t, []*clharness.StandIn{e})
	eventually(t, healWithin, "requests at the cold engine", func() bool {
		return requests(t, []*clharness.StandIn{e}) > before+hiddenColdRequests
	})
	st := stats()
	t.Logf("after a grace of %s: peak %d of %d cold slots, %d crashes, watched for %s",
		hiddenColdGrace, st.Boot.ColdPeak, p.ColdSlots, st.Crashes, time.Since(cold).Round(time.Millisecond))
	l.requireWhole(t)
	for _, boot := range append(st.Past, st.Boot) {
		require.LessOrEqual(t, boot.ColdPeak, int(p.ColdSlots), "P3: %s ran more than its cold slots after the grace", e.Name)
		require.NotEqual(t, "overload", boot.Crash, "P3: %s crashed by overload", e.Name)
	}
}
