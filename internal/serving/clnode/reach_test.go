// This file tests that a gateway detects when it is partitioned.

package clnode

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A gateway that receives no digests does not know how much of the quotas the other
// gateways use. Guards against a gateway that ignores this during a partition or
// shortly afterwards, and so admits too many requests. Also guards against a gateway
// that mistakes stopped gateways for a partition.
func TestPartitionDetector(t *testing.T) {
	const ms = time.Millisecond
	for _, tc := range []struct {
		name  string
		steps []connectivity
		want  float64
	}{
		{"connected", []connectivity{{10, 9, 300 * ms, 50 * ms}}, 1},
		{"most other gateways stopped", []connectivity{{10, 3, 300 * ms, 50 * ms}}, 1},
		{"another gateway reads the store while gateways stop", []connectivity{{10, 3, 1200 * ms, 50 * ms}, {10, 3, 100 * ms, 50 * ms}}, 1},
		{"store unreachable for all gateways", []connectivity{{10, 9, 4000 * ms, 50 * ms}}, 1},
		{"partitioned", []connectivity{{10, 9, 900 * ms, 600 * ms}}, 0.1},
		{"half partitioned", []connectivity{{10, 4, 4000 * ms, 50 * ms}}, 0.5},
		{"store just reachable again", []connectivity{{10, 0, 9000 * ms, 9000 * ms}, {10, 0, 50 * ms, 9000 * ms}}, 0.1},
		{"store reachable and half of the digests received", []connectivity{{10, 0, 9000 * ms, 9000 * ms}, {10, 4, 50 * ms, 20 * ms}}, 0.5},
		{"store reachable and most digests received", []connectivity{{10, 0, 9000 * ms, 9000 * ms}, {10, 8, 50 * ms, 20 * ms}, {10, 3, 50 * ms, 20 * ms}}, 1},
		{"store reachable again for all gateways", []connectivity{{10, 9, 9000 * ms, 20 * ms}, {10, 9, 50 * ms, 20 * ms}}, 1},
	} {
		detector := partitionDetector{changeDeadline: 2 * time.Second}
		now := time.Unix(1000, 0)
		got := 0.0
		for _, c := range tc.steps {
			now = now.Add(100 * ms)
			got = detector.reachableShare(c, now)
		}
		require.InDelta(t, tc.want, got, 1e-9, tc.name)
	}
	detector := partitionDetector{changeDeadline: 2 * time.Second}
	now := time.Unix(1000, 0)
	detector.reachableShare(connectivity{10, 0, 9000 * ms, 9000 * ms}, now)
	detector.reachableShare(connectivity{10, 2, 50 * ms, 20 * ms}, now)
	require.Equal(t, 1.0, detector.reachableShare(connectivity{10, 2, 50 * ms, 20 * ms}, now.Add(recoveryPeriod)), "silent gateways have stopped")
}
