// This file defines the lookup of accounts by API key.

package clentry

import (
	"crypto/sha256"
	"strings"

	"github.com/chestnutlead/chestnutlead/clstate"
)

const bearerScheme = "Bearer "

// accountIndex finds accounts by the SHA-256 of their keys; it never changes.
// Lookup by digest leaks nothing usable through timing, because a caller
// cannot choose the digest of a key that it does not have.
type accountIndex map[[sha256.Size]byte]*clstate.Account

func newAccountIndex(accounts []*clstate.Account) accountIndex {
	idx := make(accountIndex)
	for _, a := range accounts {
		for _, k := range a.GetKeySha256() {
			if len(k) == sha256.Size {
				idx[[sha256.Size]byte(k)] = a
			}
		}
	}
	return idx
}

func (idx accountIndex) find(authorization string) (*clstate.Account, bool) {
	key, ok := strings.CutPrefix(authorization, bearerScheme)
	if !ok || key == "" {
		return nil, false
	}
	a, ok := idx[sha256.Sum256([]byte(key))]
	return a, ok
}
