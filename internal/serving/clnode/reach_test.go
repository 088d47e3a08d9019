// This file tests how a gateway tells that it is cut off.

package clnode

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a gateway that spends quotas as if it knew of the others while
// it is cut off, and just after the cut, when their digests are still to come;
// and against one that takes others which have ended for a cut.
func TestReach(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name  string
		steps []contact
		want  float64
	}{
		{"connected", []contact{{10, 9, 300 * ms, 50 * ms}}, 1},
		{"most others ended", []contact{{10, 3, 300 * ms, 50 * ms}}, 1},
		{"readers change while others end", []contact{{10, 3, 1200 * ms, 50 * ms}, {10, 3, 100 * ms, 50 * ms}}, 1},
		{"store down for all", []contact{{10, 9, 4000 * ms, 50 * ms}}, 1},
		{"cut off", []contact{{10, 9, 900 * ms, 600 * ms}}, 0.1},
		{"half cut off", []contact{{10, 4, 4000 * ms, 50 * ms}}, 0.5},
		{"just back", []contact{{10, 0, 9000 * ms, 9000 * ms}, {10, 0, 50 * ms, 9000 * ms}}, 0.1},
		{"back and half heard", []contact{{10, 0, 9000 * ms, 9000 * ms}, {10, 4, 50 * ms, 20 * ms}}, 0.5},
		{"back and heard", []contact{{10, 0, 9000 * ms, 9000 * ms}, {10, 8, 50 * ms, 20 * ms}, {10, 3, 50 * ms, 20 * ms}}, 1},
		{"store back for all", []contact{{10, 9, 9000 * ms, 20 * ms}, {10, 9, 50 * ms, 20 * ms}}, 1},
	} {
		var m reachMeter
		now := time.Unix(1000, 0)
		got := 0.0
		for _, c := range tc.steps {
			now = now.Add(100 * ms)
			got = m.part(c, now)
		}
		require.InDelta(t, tc.want, got, 1e-9, tc.name)
	}
	var m reachMeter
	now := time.Unix(1000, 0)
	m.part(contact{10, 0, 9000 * ms, 9000 * ms}, now)
	m.part(contact{10, 2, 50 * ms, 20 * ms}, now)
	require.Equal(t, 1.0, m.part(contact{10, 2, 50 * ms, 20 * ms}, now.Add(backFor)), "the others have ended")
}
