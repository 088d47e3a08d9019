// This file selects the gateways that read the store.

package clmirror

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/samber/lo"
)

// Candidate is a live gateway that may become the reader of its data centre: the
// gateway that reads the store and that the other gateways there follow.
type Candidate struct {
	Name string
	// Address is the gateway's Replicator.ListenAddress.
	Address netip.AddrPort
	// StoreLost is set if the store does not serve the gateway's calls.
	StoreLost bool
}

// probersPerDataCentre is the number of gateways of a data centre that keep calling
// the store while the store serves no gateway there. The number is small because
// refused calls count towards the store's rate limits too.
const probersPerDataCentre = 2

// RankReaders returns the addresses of the gateways that self may follow, the
// preferred one first. If there are no such gateways, self reads the store. others
// holds the other live gateways in the data centre of self.
//
// The reader of a data centre is the first gateway by name that the store serves,
// so that the gateways agree without coordination. A gateway that the store serves
// may follow the served gateways whose names sort before its own; a gateway that
// the store does not serve may follow all served gateways. If the store serves no
// gateway of the data centre, the first probersPerDataCentre gateways by name read
// the store, and each further gateway may follow all gateways whose names sort
// before its own.
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
