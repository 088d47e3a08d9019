// This file defines which gateways read the store.

package clmirror

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/samber/lo"
)

// Candidate is a gateway of a data centre that may read the store for the others.
type Candidate struct {
	Name    string
	Address netip.AddrPort
	// StoreLost says that the store does not serve it.
	StoreLost bool
}

// probers is how many gateways of a data centre go on asking when the store
// serves none of them: each refused call counts towards the store's rates.
const probers = 2

// RankReaders returns the gateways that self may follow, the best first; none means
// that it reads the store itself. The first by name that the store serves reads
// for its data centre, so that the gateways agree without exchange. others are
// the other gateways of the data centre that are alive.
func RankReaders(self Candidate, others []Candidate) []netip.AddrPort {
	all := append(slices.Clone(others), self)
	slices.SortFunc(all, func(a, b Candidate) int { return cmp.Compare(a.Name, b.Name) })
	served := lo.Filter(all, func(c Candidate, _ int) bool { return !c.StoreLost })
	ranked, ahead := served, slices.Index(served, self)
	if len(served) == 0 {
		ranked = all
		if ahead = slices.Index(all, self); ahead < probers {
			return nil
		}
	}
	if ahead >= 0 {
		ranked = ranked[:ahead]
	}
	return lo.Map(ranked, func(c Candidate, _ int) netip.AddrPort { return c.Address })
}
