// This file tests the translation of what endpoints state for digests.

package clnode

import (
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/coordination/clgossip"
	"github.com/chestnutlead/chestnutlead/internal/routing/clfleet"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

// Guards against statements that arrive changed at other gateways, and against digests
// that grow by more than 25 bytes for each.
func TestStatementsInDigests(t *testing.T) {
	want := []clfleet.EndpointStatement{
		{EndpointHash: 1 << 63, Age: 399 * time.Millisecond, StatedLoad: clfleet.StatedLoad{Running: 24, Waiting: 200, Slots: 24, Pace: 2.5}},
		{EndpointHash: 7, StatedLoad: clfleet.StatedLoad{Slots: 6, Pace: 0.1}},
	}
	encoded, err := proto.Marshal(&clgossip.Digest{Statements: encodeStatements(want)})
	require.NoError(t, err)
	require.LessOrEqual(t, len(encoded), 25*len(want))
	var d clgossip.Digest
	require.NoError(t, proto.Unmarshal(encoded, &d))
	require.Equal(t, want, decodeStatements(d.GetStatements()))
}
