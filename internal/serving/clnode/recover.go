// This file decides what a gateway keeps of what it knew when the store returns from an
// older copy.

package clnode

import (
	"github.com/chestnutlead/chestnutlead/clstore"
	"github.com/chestnutlead/chestnutlead/internal/coordination/clmirror"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
)

// storeEra returns the latest era that an answer of the store has stated.
func (n *Node) storeEra() uint64 { return clstore.EraOf(n.Store) }

// beginEra makes this gateway write its entry and the records of blocked traits again, which
// the older copy may lack, and counts the silence of the others from now on: their entries
// may be outdated. The others may know outcomes of rollouts that the copy lacks.
func (n *Node) beginEra(uint64) {
	n.rolloutController.StoreReturned(clclock.Now())
	n.blockKeeper.forgetRecords()
	n.mu.Lock()
	clear(n.silenceStart)
	n.mu.Unlock()
	select {
	case n.eraBegun <- struct{}{}:
	default:
	}
}

// noteFirstRollouts takes the first complete copy of the rollouts that this process receives
// for that of a store which has just returned, if the store has ever returned.
func (n *Node) noteFirstRollouts() {
	if n.rolloutsReceived.Swap(true) {
		return
	}
	// A reader may have told the era before this process has called the store.
	era, _ := n.replicator.Era()
	if max(era, n.storeEra()) > 0 {
		n.rolloutController.StoreReturned(clclock.Now())
	}
}

// recoverEndpoint decides about an entry of an endpoint. One that leaves is not ready again
// before it has restarted, and requests that reach it later may be lost.
func recoverEndpoint(known, listed clcatalog.Endpoint) clmirror.Recovery {
	switch {
	case listed.Born > known.Born, listed.Born == known.Born && listed.Leaving:
		return clmirror.TakeListed
	case listed.Born == known.Born && known.Leaving:
		return clmirror.KeepKnown
	default:
		return clmirror.HoldKnown
	}
}

// recoverConfig decides about a configuration, whose version never falls.
func recoverConfig(known, listed *clcatalog.Catalog) clmirror.Recovery {
	if listed.Version >= known.Version {
		return clmirror.TakeListed
	}
	return clmirror.KeepKnown
}

// recoverMember decides about an entry of a gateway: that of its latest start counts.
func recoverMember(known, listed clcatalog.Member) clmirror.Recovery {
	if listed.Boot > known.Boot {
		return clmirror.TakeListed
	}
	return clmirror.HoldKnown
}
