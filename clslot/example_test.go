// This file shows a grantor and a holder at work.

package clslot_test

import (
	"fmt"
	"time"

	"github.com/chestnutlead/chestnutlead/clslot"
)

func Example() {
	cfg := clslot.DefaultConfig()
	now := time.Date(2026, 1, 2, 6, 0, 0, 0, time.UTC)

	g := clslot.NewGrantor(cfg)
	g.SetEndpoint("ep-1", clslot.Limits{ColdSlots: 2, MaxSlots: 8, WarmAfter: 20})
	g.LeaseAcquired(clslot.Lease{Fencing: 7, ExpiresAt: now.Add(9 * time.Second), FormerGrantsEnd: now})
	now = now.Add(time.Second)
	g.ApplyLoad("ep-1", clslot.Load{BootID: "b1", ProducedAt: now}, now)

	h := clslot.NewHolder(cfg)
	grant := g.HandleDemand("entry-1", h.BuildDemand("ep-1", 1, now), now)
	h.ApplyGrant(grant, now)

	ticket, ok := h.Acquire("ep-1", now)
	fmt.Println("acquired:", ok, "limit:", g.Limit("ep-1"), "granted:", grant.Slots)
	h.Release(ticket, clslot.Outcome{Healthy: true}, now.Add(300*time.Millisecond))
	fmt.Println("in use:", h.InUse("ep-1"))
	// Output:
	// acquired: true limit: 2 granted: 1
	// in use: 0
}
