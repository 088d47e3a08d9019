// This file defines stores that may return from an older copy.

package clstore

import (
	"strconv"
)

type (
	// EraStore is the optional ability of a Store to return from an older copy: it then
	// lacks acknowledged changes, and a new era begins. A Store without this ability
	// never loses a change that it has acknowledged.
	EraStore interface {
		// Era returns the latest era that an answer of the store has stated, initially
		// 0. It never falls.
		Era() uint64
	}
)

// EraOf returns the era of s, or 0 if s is no EraStore.
func EraOf(s Store) uint64 {
	if e, ok := s.(EraStore); ok {
		return e.Era()
	}
	return 0
}

// KeyInEra returns the key under which an object is kept whose updates must not be lost
// unnoticed: each era has an object of its own. Thus what an older copy holds is never
// taken for the latest update, and an update that is carried out in a later era than it
// was made for changes nothing that is in use.
func KeyInEra(key string, era uint64) string {
	if era == 0 {
		return key
	}
	return key + "-era-" + strconv.FormatUint(era, 10)
}
