// This file tests that a request which crashes endpoints does little harm.

package clharness_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clharness"
	"github.com/chestnutlead/chestnutlead/clstandin"
	"github.com/stretchr/testify/require"
)

const (
	crashMarker = "crash-this-endpoint"
	crashRounds = 4
	// maxCrashes is the bound of section 3.7: one run, and one more alone.
	maxCrashes = 2
)

func setFaults(t *testing.T, faults clstandin.Faults, endpoints ...*clharness.StandIn) {
	t.Helper()
	for _, e := range endpoints {
		require.NoError(t, e.SetFaults(faults))
	}
}

// requireFewCrashes counts the crashes of the endpoints that still run.
func requireFewCrashes(t *testing.T, f *clharness.Fleet) {
	t.Helper()
	crashes := 0
	for _, e := range f.Endpoints {
		if e.Running() && e.Service == f.Profile.EngineService {
			st, err := e.EngineStats()
			require.NoError(t, err)
			crashes += st.Crashes
		}
	}
	t.Logf("%d endpoint crashes", crashes)
	require.LessOrEqual(t, crashes, maxCrashes, "the request is refused after its second crash")
}

// sendCrashing sends the crashing request through every entry again and again.
// It returns the last refusal's kind.
func sendCrashing(t *testing.T, f *clharness.Fleet, rounds int) string {
	t.Helper()
	last := ""
	for range rounds {
		for _, p := range f.Pairs {
			c := &clharness.Caller{URL: p.URL(), Account: f.Profile.Accounts[0], Timeout: bookingTimeout}
			r, err := c.Complete(context.Background(), f.Profile.EngineService, crashMarker, 8)
			require.NoError(t, err)
			require.NotEqual(t, http.StatusOK, r.Status)
			require.NotEmpty(t, r.Run, "a refusal says whether the request ran: %s", r.Body)
			last = r.Code
		}
	}
	return last
}

// requireAllUsed requires that every given engine gets new requests, so that
// no circuit stays open for it.
func requireAllUsed(t *testing.T, f *clharness.Fleet, engines ...*clharness.StandIn) {
	t.Helper()
	before := make(map[*clharness.StandIn]string)
	count := func(e *clharness.StandIn) string {
		st, err := e.EngineStats()
		require.NoError(t, err)
		return fmt.Sprint(st.Boot.BootID, st.Boot.Requests)
	}
	for _, e := range engines {
		before[e] = count(e)
	}
	l := startLoad(f, 4*len(engines), 16)
	for _, e := range engines {
		eventually(t, healWithin, "new requests at "+e.Name, func() bool { return count(e) != before[e] })
	}
	l.requireWhole(t)
}

// TestCrashingRequest guards against a request that takes down one endpoint
// after the other because its caller sends it again, and against circuits that
// stay open because of it.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	f := start(t, smallProfile(6, 0))
	setFaults(t, clstandin.Faults{CrashMarker: crashMarker, RestartMs: 300}, f.Endpoints...)
	l := startLoad(f, 12, 32)
	eventually(t, healWithin, "ordinary streams", func() bool { return l.done() > 24 })
	require.Equal(t, "crashing_request", sendCrashing(t, f, crashRounds))
	before := l.done()
	eventually(t, healWithin, "ordinary streams after the crashes", func() bool { return l.done() > before+24 })
	l.requireWhole(t)
	requireFewCrashes(t, f)
	requireAllUsed(t, f, f.Endpoints...)
}

// TestCrashingRequestDuringReclaims guards against innocent requests that are
// taken for crashing ones because their endpoints are reclaimed meanwhile.
func TestCrashingRequestDuringReclaims(t *testing.T) {
	t.Parallel()
	f := start(t, smallProfile(6, 0))
	stay := f.Endpoints[2:]
	// A leaving engine may run the request until its notice has spread; a crash
	// there counts neither for the request nor here.
	setFaults(t, clstandin.Faults{CrashMarker: crashMarker, RestartMs: 300}, f.Endpoints...)
	// Few callers leave endpoints idle at times: a suspect request may run only alone.
	l := startLoad(f, 4, 64)
	eventually(t, healWithin, "ordinary streams", func() bool { return l.done() > 12 })
	require.NoError(t, f.Reclaim(time.Second, f.Endpoints[:2]...))
	sendCrashing(t, f, 1)
	for _, e := range f.Endpoints[:2] {
		eventually(t, healWithin, "end of "+e.Name, func() bool { return !e.Running() })
	}
	before := l.done()
	eventually(t, healWithin, "ordinary streams after the wave", func() bool { return l.done() > before+24 })
	l.requireWhole(t)
	requireFewCrashes(t, f)
	requireAllUsed(t, f, stay...)
}
