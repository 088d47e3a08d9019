// This file defines what follows from a new era of the store.

package clmirror

import (
	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// errEarlierEra is the failure of a store call whose answer is from before the era of
// the copy.
var errEarlierEra = errors.New("the answer is from an earlier era of the store than the copy")

// observeEra records an era of the store that a mirror has learnt of. If it is a new one,
// the mirrors that read the store list all objects again; followers receive the copies
// of their readers, so that not all gateways list at once.
func (r *Replicator) observeEra(era uint64) {
	r.mu.Lock()
	earlier, known := r.era, r.eraKnown
	r.era, r.eraKnown = max(era, earlier), true
	r.mu.Unlock()
	if !known || era <= earlier {
		return
	}
	r.Logger.Warn("store returned from an older copy", zap.Uint64("era", era), zap.Uint64("earlier_era", earlier))
	if !r.readsStore() {
		return
	}
	for _, m := range r.mirrors {
		m.relist(era)
	}
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
