// This file defines which part of a service's endpoints one entry uses.

package clroute

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// SubsetSize is the number of a version's endpoints that an entry uses while
// they have slots. At 13.6 requests a second of 13 s each, an entry needs 12
// endpoints of 16 slots; twice as many leave room for bursts.
const SubsetSize = 24

// Subset returns the n endpoints that rank first for a process in rendezvous
// hashing, all of them if there are no more. Each process that keeps to its own
// part talks to few grantors and meets the same prompts at the same endpoints;
// over many processes the parts load all endpoints alike.
func Subset(process string, endpoints []string, n int) []string {
	if len(endpoints) <= n {
		return endpoints
	}
	type ranked struct {
		id   string
		rank uint64
	}
	list := make([]ranked, 0, len(endpoints))
	for _, id := range endpoints {
		list = append(list, ranked{id, xxhash.Sum64String(process + "\x00" + id)})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(a.id, b.id)) })
	part := make([]string, 0, n)
	for _, r := range list[:n] {
		part = append(part, r.id)
	}
	return part
}
