// This file defines the division of requests between two versions.

package clroute

import "github.com/cespare/xxhash/v2"

// Split is the division of a service's requests during a move of its version.
type Split struct {
	// Old and New are version names; New is empty if no move is running.
	Old, New string
	// NewPermille is the share of New in thousandths.
	NewPermille uint32
	// NewSuspended sends all requests to Old.
	NewSuspended bool
}

const permille = 1000

// AssignVersion returns the version for a request. All entries assign the same
// request ID to the same version, a larger share only moves requests from old to
// new, and the expected share is exact for random IDs.
func AssignVersion(s Split, requestID string) string {
	if s.New == "" || s.NewSuspended {
		return s.Old
	}
	if xxhash.Sum64String(requestID)%permille < uint64(s.NewPermille) {
		return s.New
	}
	return s.Old
}
