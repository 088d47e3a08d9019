// This file defines the monotonic holder of the applied configuration.

package clrevision

import (
	"sync"

	"github.com/chestnutlead/chestnutlead/clstate"
)

type (
	// Revisioned is a value with a revision number.
	Revisioned interface {
		GetRevision() uint64
	}

	// Holder holds the value with the highest revision; the zero value is
	// empty. It is safe for concurrent use. Held values must not be changed.
	Holder[T Revisioned] struct {
		mu      sync.Mutex
		value   T
		held    bool
		changed chan struct{}
	}

	// Readiness is the rule of a starting process: it is ready when every peer
	// that it asked has answered or failed, at least one peer or the platform
	// has answered, and it holds the highest revision among the answers. Once
	// ready it stays ready. It is not safe for concurrent use.
	Readiness struct {
		waiting  map[string]bool
		answered bool
		highest  uint64
		ready    bool
	}
)

var _ Revisioned = (*clstate.ConfigSnapshot)(nil)

// Apply takes v if its revision is higher than the held one's, and says whether it did.
func (h *Holder[T]) Apply(v T) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if v.GetRevision() == 0 || h.held && v.GetRevision() <= h.value.GetRevision() {
		return false
	}
	h.value, h.held = v, true
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
	return true
}

// Current returns the held value; ok is false if there is none.
func (h *Holder[T]) Current() (v T, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.value, h.held
}

// Revision returns the held revision; 0 if there is none.
func (h *Holder[T]) Revision() uint64 {
	v, ok := h.Current()
	if !ok {
		return 0
	}
	return v.GetRevision()
}

// Changed returns a channel that is closed when a revision above after is held.
func (h *Holder[T]) Changed(after uint64) <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held && h.value.GetRevision() > after {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}

// Asked says that a source (a peer, or the platform) was asked for its revision.
func (r *Readiness) Asked(source string) {
	if r.waiting == nil {
		r.waiting = map[string]bool{}
	}
	r.waiting[source] = true
}

// Answered reports a source's revision; 0 says that it has none yet.
func (r *Readiness) Answered(source string, revision uint64) {
	delete(r.waiting, source)
	r.answered = true
	r.highest = max(r.highest, revision)
}

// Failed reports that a source did not answer in time.
func (r *Readiness) Failed(source string) { delete(r.waiting, source) }

// Ready says whether a process that holds a revision may take work.
func (r *Readiness) Ready(held uint64) bool {
	if !r.ready {
		r.ready = len(r.waiting) == 0 && r.answered && held >= r.highest && held > 0
	}
	return r.ready
}
