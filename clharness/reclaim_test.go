// This file tests that announced reclaims cost no request and no booking (P1, P5, P8).

package clharness_test

import (
	"sync"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clharness"
	"github.com/stretchr/testify/require"
)

const (
	// leavingWithin is the bound of P8.
	leavingWithin = 5 * time.Second
	reclaimNotice = 8 * time.Second
)

// requestsAt returns how many requests an endpoint has got.
func requestsAt(t *testing.T, e *clharness.StandIn, plain bool) uint64 {
	t.Helper()
	if plain {
		st, err := e.BookingStats()
		require.NoError(t, err)
		return st.Calls + st.Reads
	}
	st, err := e.EngineStats()
	require.NoError(t, err)
	return st.Boot.Requests
}

// TestReclaimWaves guards against new work at leaving endpoints, cut streams
// and wrong bookings when a third of the endpoints is reclaimed, twice, while
// the list of instances still shows them as live.
func TestReclaimWaves(t *testing.T) {
	t.Parallel()
	p := smallProfile(6, 3)
	p.PlatformArgs = []string{"--instances-lag", "3s"}
	f := start(t, p)
	l := startLoad(f, 8, 64)
	b := newBookings(t, f)
	for wave := range 2 {
		eventually(t, healWithin, "ordinary streams", func() bool { return l.done() > 20*(wave+1) })
		leaving := []*clharness.StandIn{f.Endpoints[2*wave], f.Endpoints[2*wave+1], f.Endpoints[6+wave]}
		for _, e := range leaving[:2] {
			eventually(t, healWithin, "requests at "+e.Name, func() bool { return requestsAt(t, e, false) > 0 })
		}
		noticed := time.Now()
		require.NoError(t, f.Reclaim(reclaimNotice, leaving...))
		var wg sync.WaitGroup
		wg.Go(func() { b.round(b.keys[wave*bookingKeys/2 : (wave+1)*bookingKeys/2]) })
		requireNoneUntil(t, noticed, leavingWithin, noticed.Add(reclaimNotice-500*time.Millisecond), leaving)
		b.keepRuns(leaving[2])
		wg.Wait()
		eventually(t, healWithin, "end of the endpoints", func() bool { return !leaving[0].Running() && !leaving[2].Running() })
	}
	b.settle()
	l.requireWhole(t)
	_, unknown := b.check()
	require.Zero(t, unknown, "P1: every booking is accepted in spite of the reclaims")
}

// keepRuns keeps the counts of a booking endpoint that is about to end.
func (b *bookings) keepRuns(e *clharness.StandIn) {
	st, err := e.BookingStats()
	require.NoError(b.t, err)
	if b.past == nil {
		b.past = make(map[string]int)
	}
	for key, n := range st.Keys {
		b.past[key] += n
	}
}

// runs returns how often each key ran, at endpoints that ended as well.
func (b *bookings) runs() map[string]int {
	runs, err := b.f.BookingRuns()
	require.NoError(b.t, err)
	for key, n := range b.past {
		runs[key] += n
	}
	return runs
}
