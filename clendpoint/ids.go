// This file defines what a connection remembers of the requests that it has carried.

package clendpoint

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

type (
	// idHash is the hash of a request ID, or 0 for a request without one. A collision
	// makes an ID look known, which costs a connection and does no other harm.
	idHash uint64

	// idSet holds the hashes of the IDs of requests.
	idSet []idHash
)

// maxIDs is the number of IDs after which a connection is closed. It bounds their memory,
// to about 10 KiB for each connection.
const maxIDs = 1024

// add adds an ID and reports whether it was there.
func (s *idSet) add(h idHash) bool {
	if s.has(h) {
		return true
	}
	if h != 0 {
		*s = append(*s, h)
	}
	return false
}

func (s *idSet) has(h idHash) bool { return h != 0 && slices.Contains(*s, h) }

// idHash returns the hash of the ID by which the answer to the call is recognized.
func (c Call) idHash() idHash {
	id := c.RequestID
	if id == "" {
		id = c.AttemptID
	}
	if id == "" {
		return 0
	}
	return max(1, idHash(xxhash.Sum64String(id))) // 0 stands for no ID
}
