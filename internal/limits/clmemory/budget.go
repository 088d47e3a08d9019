// This file defines the budget of bytes.

package clmemory

import "sync/atomic"

type (
	// Kind is what memory is reserved for.
	Kind int

	// Budget limits the bytes that are reserved at the same time. Its fields must be set
	// before it is used; its methods may be called concurrently.
	Budget struct {
		// Limit is the number of bytes for all kinds. SmallReserve is the part of it
		// that only small reservations may use.
		Limit, SmallReserve int64

		total atomic.Int64
		held  [kinds]atomic.Int64
	}
)

// Kinds of memory.
const (
	// Connections are the buffers and stacks of connections.
	Connections Kind = iota
	// Bodies are the bodies of requests.
	Bodies
	// Responses are responses that are buffered as a whole.
	Responses
	// Events are events of streams that have not arrived in full.
	Events
	// Questions are answers to the gateway's own questions to endpoints.
	Questions
	kinds
)

// String returns the name of the kind in metrics.
func (k Kind) String() string {
	return [...]string{"connections", "bodies", "responses", "events", "questions"}[k]
}

const (
	// DefaultProcessBytes is the memory that a process may use if its limit is not known.
	// It is that of the larger machines of the deployments, 536 MB, rounded down.
	DefaultProcessBytes = 512 << 20
	// HeapFraction is the fraction of the memory of a process at which the garbage
	// collector works harder. The rest is for the program's code, fragmentation and what
	// is allocated while a collection runs.
	HeapFraction = 0.6
	// ownBytes is what a gateway's own state needs of the heap: the configuration, copies
	// of the store, metrics, and the log queue. A gateway without callers uses about half.
	ownBytes = 32 << 20
	// peerFraction is the fraction of the rest of the heap that peers may fill. The
	// remainder is for buffers that are released but not yet collected.
	peerFraction = 0.75
	// minLimit lets a process with very little memory serve at least some requests.
	minLimit = 8 << 20
	// smallFraction is the part of a budget that is reserved for small requests.
	smallFraction = 8
)

// SetLimit derives the limits of the budget from the memory of the process; 0 means
// that it is not known.
func (b *Budget) SetLimit(processBytes int64) {
	if processBytes <= 0 {
		processBytes = DefaultProcessBytes
	}
	b.Limit = max(minLimit, int64((HeapFraction*float64(processBytes)-ownBytes)*peerFraction))
	b.SmallReserve = b.Limit / smallFraction
}

// Reserve reserves n bytes and reports whether they are granted. small admits the
// reservation to SmallReserve. own is what the request of the reservation already holds:
// a request that is alone except for small ones is granted any size, since the
// configuration may allow bodies that are larger than the budget.
func (b *Budget) Reserve(k Kind, n, own int64, small bool) bool {
	limit := b.Limit
	if !small {
		limit -= b.SmallReserve
	}
	for {
		total := b.total.Load()
		if total+n > limit && total-own-b.held[Connections].Load() > b.SmallReserve {
			return false
		}
		if b.total.CompareAndSwap(total, total+n) {
			b.held[k].Add(n)
			return true
		}
	}
}

// Add counts n bytes that can't be refused, or releases bytes if n is negative.
func (b *Budget) Add(k Kind, n int64) {
	b.total.Add(n)
	b.held[k].Add(n)
}

// Held returns the bytes that are reserved for a kind.
func (b *Budget) Held(k Kind) int64 { return b.held[k].Load() }
