// This file tests which gateways read the store.

package clmirror

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against gateways that keep asking readers which the store turns away,
// while one that it serves could read: with some lost, the first of the others
// reads and all follow it.
func TestReadersAreServed(t *testing.T) {
	for _, tc := range []struct {
		name  string
		lost  []int
		reads []int
	}{
		{"all served", nil, []int{0}},
		{"the first lost", []int{0}, []int{1}},
		{"the first four lost", []int{0, 1, 2, 3}, []int{4}},
		{"all but the last lost", []int{0, 1, 2, 3, 4, 5, 6}, []int{7}},
		{"all lost", []int{0, 1, 2, 3, 4, 5, 6, 7}, []int{0, 1}},
	} {
		var all []Candidate
		for i := range 8 {
			all = append(all, Candidate{
				Name: fmt.Sprintf("gateway-%d", i), StoreLost: slices.Contains(tc.lost, i),
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7500),
			})
		}
		for i, self := range all {
			others := slices.Delete(slices.Clone(all), i, i+1)
			got := RankReaders(self, others)
			if slices.Contains(tc.reads, i) {
				require.Empty(t, got, "%s: gateway %d reads", tc.name, i)
				continue
			}
			require.NotEmpty(t, got, "%s: gateway %d follows", tc.name, i)
			require.Equal(t, all[tc.reads[0]].Address, got[0], "%s: gateway %d", tc.name, i)
		}
	}
}
