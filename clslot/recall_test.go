package clslot_test

import (
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clslot"
	"github.com/stretchr/testify/require"
)

// TestRecall guards against warm endpoints that fall back to their cold limit
// whenever their grantor changes, and against a recalled limit for an endpoint
// that has restarted or turned cold meanwhile.
func TestRecall(t *testing.T) {
	limits := clslot.Limits{ColdSlots: 2, MaxSlots: 32, WarmAfter: 4}
	tests := []struct {
		name string
		load clslot.Load
		want int
	}{
		{"same boot", clslot.Load{BootID: "b1"}, 16},
		{"same boot, cold", clslot.Load{BootID: "b1", Cold: true}, 2},
		{"restarted", clslot.Load{BootID: "b2"}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cfg := clslot.DefaultConfig()
			now := time.Unix(1_700_000_000, 0)
			former := clslot.NewGrantor(cfg)
			former.SetEndpoint("e", limits)
			former.LeaseAcquired(clslot.Lease{Fencing: 1, ExpiresAt: now.Add(time.Hour), FormerGrantsEnd: now})
			now = now.Add(time.Second)
			former.ApplyLoad("e", clslot.Load{BootID: "b1", ProducedAt: now}, now)
			for i := range 3 {
				former.HandleDemand("entry", clslot.Demand{Endpoint: "e", Sequence: uint64(i + 1), Healthy: 4, Wanted: 1}, now)
			}
			require.Equal(t, 16, former.Limit("e"))

			next := clslot.NewGrantor(cfg)
			next.SetEndpoint("e", limits)
			next.LeaseAcquired(clslot.Lease{Fencing: 2, ExpiresAt: now.Add(time.Hour), FormerGrantsEnd: now})
			next.RestoreLimits(former.LimitState())
			now = now.Add(time.Second)
			tt.load.ProducedAt = now
			next.ApplyLoad("e", tt.load, now)
			require.Equal(t, tt.want, next.Limit("e"))
		})
	}
}
