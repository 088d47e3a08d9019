// This file tests that connections which go silent cost no stream and no
// booking (P5, P7).

package clharness_test

import (
	"sync"
	"testing"

	"github.com/chestnutlead/chestnutlead/clharness"
	"github.com/stretchr/testify/require"
)

// TestSilentConnections guards against streams that are cut or never end, and
// bookings that run twice, when open connections go silent for good.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	p := smallProfile(4, 2)
	p.PlainArgs = []string{"--delay", "1s"}
	p.Settings = withSettings(p.Settings, map[string]string{
		"endpoint@entry": "between_reads_timeout = 1s\nfirst_byte_timeout = 2s\n",
	})
	f := start(t, p)
	b := newBookings(t, f)
	l := startLoad(f, 8, 128)
	eventually(t, healWithin, "ordinary streams", func() bool { return l.done() > 8 })
	var wg sync.WaitGroup
	wg.Go(func() { b.round(b.keys) })
	plain := f.Endpoints[4]
	eventually(t, healWithin, "running bookings", func() bool {
		st, err := plain.BookingStats()
		return err == nil && st.Calls > 0
	})
	for _, e := range []*clharness.StandIn{plain, f.Endpoints[0], f.Endpoints[2]} {
		require.NoError(t, e.Silence())
	}
	before := l.done()
	eventually(t, healWithin, "streams after the silence", func() bool { return l.done() > before+16 })
	wg.Wait()
	b.settle()
	l.requireWhole(t)
	_, unknown := b.check()
	require.Positive(t, unknown, "connections of running bookings went silent")
}
