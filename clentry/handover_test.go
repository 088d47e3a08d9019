// This file tests the encoding of a grantor's state.

package clentry

import (
	"testing"

	"github.com/chestnutlead/chestnutlead/clslot"
	"github.com/stretchr/testify/require"
)

// TestStates guards against a successor that takes limits alone for the whole
// state, and then grants slots that other entries still use.
func TestStates(t *testing.T) {
	states := []clslot.EndpointState{{
		Endpoint: "e1", BootID: "b1", Limit: 8, Unattributed: 1,
		Charges: []clslot.EntryCharge{{Entry: "entry-1", Slots: 3, InUse: 2, Sequence: 7}},
	}}
	for _, complete := range []bool{true, false} {
		got, is := decodeStates(encodeStates(states, complete))
		require.Equal(t, states, got)
		require.Equal(t, complete, is)
	}
	_, is := decodeStates([]byte("not a message"))
	require.False(t, is)
}
