package clslot

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestReserve guards against a request with exclusive use that runs beside other requests, of
// its own entry or of another one, and against a reservation that never ends.
func TestReserve(t *testing.T) {
	cfg := DefaultConfig()
	now := time.Unix(1_700_000_000, 0)
	g := NewGrantor(cfg)
	g.SetEndpoint("e", Limits{ColdSlots: 8, MaxSlots: 8, WarmAfter: 1})
	g.LeaseAcquired(Lease{Fencing: 1, ExpiresAt: now.Add(time.Hour), FormerGrantsEnd: now})
	now = now.Add(time.Second)
	g.ApplyLoad("e", Load{BootID: "b", ProducedAt: now}, now)
	a, b := NewHolder(cfg), NewHolder(cfg)
	sendDemand := func(name string, h *Holder, waiting int) {
		h.ApplyGrant(g.HandleDemand(name, h.BuildDemand("e", waiting, now), now), now)
	}

	sendDemand("b", b, 1)
	running, ok := b.Acquire("e", now)
	require.True(t, ok)

	a.Reserve("e", now)
	sendDemand("a", a, 0)
	_, ok = a.AcquireExclusive("e", now)
	require.False(t, ok, "another entry's request is running")
	sendDemand("b", b, 3)
	require.Zero(t, b.Available("e", now), "the endpoint is reserved")

	b.Release(running, Outcome{Healthy: true}, now)
	sendDemand("b", b, 0) // revokes b's idle slot
	sendDemand("b", b, 0) // reports that the slot is gone
	sendDemand("a", a, 0)
	_, ok = a.Acquire("e", now)
	require.False(t, ok, "an ordinary request of the same entry")
	alone, ok := a.AcquireExclusive("e", now)
	require.True(t, ok)
	_, ok = a.AcquireExclusive("e", now)
	require.False(t, ok, "a second request with exclusive use")
	sendDemand("b", b, 1)
	require.Zero(t, b.Available("e", now), "the endpoint is not shared")

	a.Release(alone, Outcome{Healthy: true}, now)
	a.Unreserve("e")
	require.Contains(t, a.EndpointsDue(now), "e", "the end of the reservation is reported at once")
	sendDemand("a", a, 0)
	sendDemand("b", b, 1)
	require.NotZero(t, b.Available("e", now))

	// The reservation of an entry that sends no more demands expires.
	a.Reserve("e", now)
	sendDemand("a", a, 0)
	now = now.Add(reservationLifetimes*cfg.GrantLifetime + time.Millisecond)
	sendDemand("b", b, 1)
	require.NotZero(t, b.Available("e", now))
}
