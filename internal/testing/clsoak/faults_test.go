// This file tests that faults do not undo what another one has made.

package clsoak

import (
	"math/rand/v2"
	"testing"

	"github.com/chestnutlead/chestnutlead/platform/clstandplatform"
	"github.com/stretchr/testify/require"
)

// Guards against requests that are judged to reach an endpoint after it left (DRAIN) although
// its entry says otherwise: a fault that holds up answers must not write the entry of an
// endpoint anew that leaves in another fault.
func TestOneFaultHasAnEndpoint(t *testing.T) {
	s := newChecks(t)
	s.rnd = rand.New(rand.NewPCG(1, 1))
	w := s.world
	w.store = clstandplatform.NewStore()
	t.Cleanup(w.close)
	for range leastEndpoints + 2 {
		require.NoError(t, w.addEndpoint())
	}
	had := map[*endpoint]bool{}
	for range 15 {
		e, ok := s.takeEndpoint(w)
		require.False(t, ok && had[e], "%s has been taken twice", e.id)
		if ok {
			had[e] = true
		}
	}
	require.NotEmpty(t, had)
}
