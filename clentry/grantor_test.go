// This file tests how changes of a lease reach the grantor.

package clentry

import (
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/cllease"
	"github.com/chestnutlead/chestnutlead/clslot"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// TestTransition guards against a grantor that holds its lease and grants
// nothing, because the lease was given up in between under the same number.
func TestTransition(t *testing.T) {
	now := time.Unix(1000, 0)
	s := &grantors{views: &views{}, log: zap.NewNop(), slotCfg: clslot.DefaultConfig()}
	gr := &group{
		grantor: clslot.NewGrantor(s.slotCfg),
		runner:  &cllease.Runner{Config: cllease.Config{Key: "lease/slots-0", Holder: "a", TTL: 3 * time.Second}},
	}
	gr.grantor.SetEndpoint("e", clslot.Limits{ColdSlots: 4, MaxSlots: 4, WarmAfter: 1})
	sequence := uint64(0)
	for _, c := range []struct {
		name   string
		state  cllease.State
		grants bool
	}{
		{"held", cllease.State{Held: true, Fencing: 1}, true},
		{"lapsed in an outage", cllease.State{Lapsed: true, Fencing: 1}, true},
		{"held again", cllease.State{Held: true, Fencing: 1}, true},
		{"neither held nor lapsed", cllease.State{Fencing: 1}, false},
		{"lapsed after that", cllease.State{Lapsed: true, Fencing: 1}, false},
		{"held under the same number", cllease.State{Held: true, Fencing: 1}, true},
		{"another holder", cllease.State{Fencing: 2, Holder: "b"}, false},
		{"held under a new number", cllease.State{Held: true, Fencing: 3}, true},
	} {
		now = now.Add(time.Second)
		if c.state.Held {
			c.state.Until = now.Add(time.Minute)
		}
		s.transition(gr, c.state, now)
		now = now.Add(time.Second)
		gr.grantor.ApplyLoad("e", clslot.Load{BootID: "b1", ProducedAt: now}, now)
		if c.state.Lapsed {
			now = now.Add(time.Minute)
		}
		sequence++
		g := gr.grantor.HandleDemand("entry", clslot.Demand{Endpoint: "e", Sequence: sequence, Wanted: 1}, now)
		require.Equal(t, c.grants, g.Slots > 0, c.name)
	}
}
