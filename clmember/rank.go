// This file defines the rendezvous ranking of live members.

package clmember

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

type (
	// Filter restricts a ranking; empty fields admit every member.
	Filter struct {
		Role, DataCentre, Region string
	}

	// ranked is a member with its weight for a key.
	ranked struct {
		Member
		weight uint64
	}
)

// admits reports whether the filter lets the member through.
func (f Filter) admits(m Member) bool {
	return m.Live() && (f.Role == "" || f.Role == m.Role) &&
		(f.DataCentre == "" || f.DataCentre == m.DataCentre) && (f.Region == "" || f.Region == m.Region)
}

// Rank returns the live members, this process included, in the order in which
// they should own the key. Processes that hold the same members agree on it,
// and a member's end moves only the keys it was first for.
func (c *Core) Rank(key string, f Filter) []Member {
	all := c.weigh(key, f)
	slices.SortFunc(all, compareRanked)
	ms := make([]Member, len(all))
	for i, r := range all {
		ms[i] = r.Member
	}
	return ms
}

// Owner returns the first of Rank, or false if no live member passes the filter.
func (c *Core) Owner(key string, f Filter) (Member, bool) {
	all := c.weigh(key, f)
	if len(all) == 0 {
		return Member{}, false
	}
	return slices.MinFunc(all, compareRanked).Member, true
}

// weigh returns the members that pass the filter with their weights.
func (c *Core) weigh(key string, f Filter) []ranked {
	k := xxhash.Sum64String(key)
	all := make([]ranked, 0, c.live+1)
	if f.admits(c.self) {
		all = append(all, ranked{c.self, mix(k, c.selfHash)})
	}
	for _, e := range c.entries {
		if f.admits(e.Member) {
			all = append(all, ranked{e.Member, mix(k, e.idHash)})
		}
	}
	return all
}

// compareRanked orders by falling weight.
func compareRanked(a, b ranked) int {
	return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.ID, b.ID))
}

// mix combines the hashes of a key and of a member.
func mix(key, member uint64) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], key)
	binary.LittleEndian.PutUint64(b[8:], member)
	return xxhash.Sum64(b[:])
}
