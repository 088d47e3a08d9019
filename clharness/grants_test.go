// This file tests that endpoints get work again after their grantor died.

package clharness_test

import (
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clstandin"
	"github.com/stretchr/testify/require"
)

const (
	// grantsBackWithin is what the design adds up to with leases of 2 s, about
	// 3.8 s, and time for a busy machine: the rest of the lease and its margin, a
	// load report produced after it (0.5 s and the report's lag), the settle time
	// of 0.5 s, and the next demand of an entry.
	grantsBackWithin = 5 * time.Second
	// grantsWatched is long enough to see a gap of twice the bound.
	grantsWatched = 2 * grantsBackWithin
	grantCallers  = 24
	// partialOutage is several leases of 2 s.
	partialOutage = 6 * time.Second
)

// TestGrantsAfterKilledEntry guards against endpoints that stay without work
// because nobody took over the slot groups of an entry that was killed.
func TestGrantsAfterKilledEntry(t *testing.T) {
	t.Parallel()
	f := start(t, smallProfile(6, 0))
	survivors := *f
	survivors.Pairs = f.Pairs[1:] // callers of the killed entry would see broken connections
	l := startLoad(&survivors, grantCallers, 8)
	for _, e := range f.Endpoints {
		eventually(t, healWithin, "requests at "+e.Name, func() bool { return requestsAt(t, e, false) > 8 })
	}
	f.Pairs[0].Entry.Kill()
	killed := time.Now()
	longest := make([]time.Duration, len(f.Endpoints))
	for time.Since(killed) < grantsWatched {
		for i, e := range f.Endpoints {
			a, err := e.Arrivals()
			require.NoError(t, err)
			longest[i] = max(longest[i], time.Since(a.LastAt))
		}
		time.Sleep(50 * time.Millisecond)
	}
	for i, e := range f.Endpoints {
		t.Logf("%s: at most %s without a new request", e.Name, longest[i].Round(time.Millisecond))
		require.LessOrEqual(t, longest[i], grantsBackWithin, "%s was without grants", e.Name)
	}
	l.requireWhole(t)
}

// TestGrantsAfterPartialOutage guards against endpoints that stay without work
// after an outage in which some calls of the platform succeeded: a lease that
// flaps must not leave a holder that grants nothing.
func TestGrantsAfterPartialOutage(t *testing.T) {
	t.Parallel()
	f := start(t, smallProfile(6, 0))
	l := startLoad(f, grantCallers, 8)
	for _, e := range f.Endpoints {
		eventually(t, healWithin, "requests at "+e.Name, func() bool { return requestsAt(t, e, false) > 8 })
	}
	for _, faults := range []clstandin.Faults{{RefuseRate: 0.8, LoseAnswerRate: 0.5}, {Outage: clstandin.OutageUnavailable}, {RefuseRate: 0.5, LoseAnswerRate: 0.2}} {
		require.NoError(t, f.Platform.SetFaults(faults))
		time.Sleep(partialOutage)
	}
	require.NoError(t, f.Platform.SetFaults(clstandin.Faults{}))
	healed := time.Now()
	for _, e := range f.Endpoints {
		before := requestsAt(t, e, false)
		eventually(t, healWithin, "requests at "+e.Name+" after the outage", func() bool { return requestsAt(t, e, false) > before })
	}
	t.Logf("all endpoints got requests %s after the outage", time.Since(healed).Round(time.Millisecond))
	l.requireOwn(t)
}
