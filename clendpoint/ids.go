// This file defines what a connection remembers of the requests that it has carried.

package clendpoint

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// idSet holds the hashes of request IDs. A collision makes an ID look known, which does
// no harm.
type idSet []uint64

// maxIDs bounds the memory for the IDs of a connection, to 8 KiB.
const maxIDs = 1024

// add adds an ID, unless there are maxIDs already, and reports whether it was there. An
// empty ID is never there.
func (s *idSet) add(id string) bool {
	if id == "" {
		return false
	}
	if s.has(id) {
		return true
	}
	if len(*s) < maxIDs {
		*s = append(*s, xxhash.Sum64String(id))
	}
	return false
}

func (s *idSet) has(id string) bool { return id != "" && slices.Contains(*s, xxhash.Sum64String(id)) }

// id returns the ID by which the answer to the call is recognized, or "".
func (c Call) id() string {
	if c.RequestID != "" {
		return c.RequestID
	}
	return c.AttemptID
}
