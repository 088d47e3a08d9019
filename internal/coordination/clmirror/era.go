// This file defines what follows from a new era of the store.

package clmirror

import (
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// errEarlierEra is the failure of a store call whose answer is from before the era of
// the copy.
var errEarlierEra = errors.New("the answer is from an earlier era of the store than the copy")

// observeEra records an era of the store that this gateway has learnt of. If it is a new
// one, the mirrors that read the store list all objects again; followers receive the copies
// of their readers, so that not all gateways list at once.
func (r *Replicator) observeEra(era uint64) {
	if r.learnEra(era) {
		r.relistAll(era)
	}
}

// relistAll makes the mirrors list all objects again whose copies are of an era before the
// given one, if this gateway reads the store.
func (r *Replicator) relistAll(era uint64) {
	if !r.readsStore() {
		return
	}
	for _, m := range r.mirrors {
		m.relist(era)
	}
}

// learnEra records an era of the store, and reports whether the store has returned from an
// older copy since the eras learnt of before. The objects that were known are then held.
func (r *Replicator) learnEra(era uint64) bool {
	r.mu.Lock()
	earlier, known := r.era, r.eraKnown
	r.era, r.eraKnown = max(era, earlier), true
	returned := known && era > earlier
	if returned {
		now := clclock.Now()
		r.eraLearnedAt, r.holdUntil, r.holding, r.eraReached = now, now.Add(holdDuration), true, false
		r.holdTotal = holdCounts{}
	}
	r.mu.Unlock()
	if !returned {
		return false
	}
	r.Logger.Warn("store returned from an older copy", zap.Uint64("era", era), zap.Uint64("earlier_era", earlier))
	if r.OnEra != nil {
		r.OnEra(era)
	}
	return true
}

// latestEra returns the latest era of the store that a mirror has learnt of.
func (r *Replicator) latestEra() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.era
}

// relist implements anyMirror.
func (m *Mirror[T]) relist(era uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.listed || m.era >= era {
		return
	}
	m.listed, m.historyGone = false, true
	if m.cancelCall != nil {
		m.cancelCall()
	}
}
