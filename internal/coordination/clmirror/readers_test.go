// This file tests the selection of the gateways that read the store.

package clmirror

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against following gateways that the store does not serve while it serves
// another gateway: the first gateway by name that the store serves must read the
// store, and all other gateways must prefer that gateway as their reader. If the
// store serves no gateway, the first two by name must read the store.
func TestRankReadersSkipsUnservedGateways(t *testing.T) {
	for _, tc := range []struct {
		name string
		// unservedGateways are the indices of the gateways that the store does not
		// serve, and readingGateways those of the gateways that must read the store.
		unservedGateways []int
		readingGateways  []int
	}{
		{"all served", nil, []int{0}},
		{"first not served", []int{0}, []int{1}},
		{"first four not served", []int{0, 1, 2, 3}, []int{4}},
		{"only the last served", []int{0, 1, 2, 3, 4, 5, 6}, []int{7}},
		{"none served", []int{0, 1, 2, 3, 4, 5, 6, 7}, []int{0, 1}},
	} {
		var all []Candidate
		for i := range 8 {
			all = append(all, Candidate{
				Name: fmt.Sprintf("gateway-%d", i), StoreLost: slices.Contains(tc.unservedGateways, i),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7500),
			})
		}
		for i, self := range all {
			others := slices.Delete(slices.Clone(all), i, i+1)
			got := RankReaders(self, others)
			if slices.Contains(tc.readingGateways, i) {
				require.Empty(t, got, "%s: gateway %d reads", tc.name, i)
				continue
			}
			require.NotEmpty(t, got, "%s: gateway %d follows", tc.name, i)
			require.Equal(t, all[tc.readingGateways[0]].Address, got[0], "%s: gateway %d", tc.name, i)
		}
	}
}
