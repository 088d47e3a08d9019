// This file tests what a connection remembers of IDs.

package clendpoint

import (
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/stretchr/testify/require"
)

// TestEachIDIsRemembered guards against an ID that a connection never remembers, because its
// hash is the value that stands for no ID. Callers choose their IDs.
func TestEachIDIsRemembered(t *testing.T) {
	const zero = "00000115]/Na9ILj"
	require.Zero(t, xxhash.Sum64String(zero))
	for _, call := range []Call{{RequestID: "r1"}, {RequestID: zero}, {AttemptID: zero}} {
		var s idSet
		require.False(t, s.add(call.idHash()))
		require.True(t, s.has(call.idHash()), "%+v", call)
	}
	require.Zero(t, Call{}.idHash())
}
