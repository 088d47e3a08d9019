// This file selects the gateways that read the store.

package clmirror

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/samber/lo"
)

// Candidate is a live gateway that may become the reader of its data centre, which
// reads the store for the other gateways there.
type Candidate struct {
	Name string
	// Address is the gateway's Replicator.ListenAddress.
	Address netip.AddrPort
	// StoreLost is set if the store does not serve the gateway's calls.
	StoreLost bool
}

// probersPerDataCentre is the number of gateways of a data centre that keep calling
// the store while it serves no gateway there. It is small because refused calls
// count towards the store's rate limits too.
const probersPerDataCentre = 2

// RankReaders returns the addresses of the gateways that self may follow, the
// preferred one first; none means that self reads the store. others are the other
// live gateways of the data centre of self.
//
// The reader of a data centre is the first gateway by name that the store serves,
// so that the gateways agree without coordination. A gateway that the store serves
// may follow those before it by name that the store serves too; one that the store
// does not serve may follow all that it serves. If the store serves no gateway of
// the data centre, the first probersPerDataCentre gateways by name read it, and
// each other gateway may follow all those before it by name.
func RankReaders(self Candidate, others []Candidate) []netip.AddrPort {
	all := append(slices.Clone(others), self)
	slices.SortFunc(all, func(a, b Candidate) int { return cmp.Compare(a.Name, b.Name) })
	served := lo.Filter(all, func(c Candidate, _ int) bool { return !c.StoreLost })
	ranked, selfRank := served, slices.Index(served, self)
	if len(served) == 0 {
		ranked = all
		if selfRank = slices.Index(all, self); selfRank < probersPerDataCentre {
			return nil
		}
	}
	if selfRank >= 0 {
		ranked = ranked[:selfRank]
	}
	return lo.Map(ranked, func(c Candidate, _ int) netip.AddrPort { return c.Address })
}
