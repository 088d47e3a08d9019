// This file defines which of the unfinished transfers gives its memory back.

package clmemory

import (
	"math"
	"sync"
	"time"
)

type (
	// Transfer is a body that is still arriving. Stop must be set; it makes the transfer
	// end soon, must not block, and is called at most once.
	Transfer struct {
		Stop func()

		// rate is the recent rate in bytes per second as of the time at.
		rate float64
		at   time.Time
		// rank is ln(rate) plus the time at in units of rateDecay. All rates decay alike, so
		// of two transfers the one with the lower rank is the slower one at any time.
		rank float64
		// arrivedAt is when bytes last arrived, or the beginning.
		arrivedAt time.Time
		held      int64
		// index is the position in Transfers.list.
		index   int
		stopped bool
	}

	// Transfers holds the unfinished transfers of a process. The zero value is ready to
	// use; its methods may be called concurrently.
	Transfers struct {
		mu   sync.Mutex
		list []*Transfer
		// pending is the memory of the transfers that were stopped and have not ended.
		pending int64
		// begun is the time from which ranks count.
		begun time.Time
		// candidate is the slowest transfer as of scannedAt, or nil, and candidateRank its
		// rank at that time.
		candidate     *Transfer
		candidateRank float64
		scannedAt     time.Time
	}
)

const (
	// rateDecay is the time in which the weight of arrived bytes falls to 1/e. It spans
	// several retransmissions of a lost packet over the links between callers and
	// gateways, so that a single loss does not make a transfer the slowest.
	rateDecay = 1.0
	// initialRate, in bytes per second, is the rate with which a transfer begins, so that
	// one that has just begun is kept before one that has stalled. It is the rate of a
	// link of 10 Mbit/s.
	initialRate = 1.25e6
	// SmallTransferBytes is the memory up to which a transfer is not stopped for its memory.
	// Small reservations have a part of the budget of their own, and stopping a small body
	// would refuse an ordinary request for little.
	SmallTransferBytes = 16 << 10
	// StalledAfter is the time without bytes after which a transfer counts as stalled. It
	// spans two retransmissions of a lost packet (0.2 and 0.4 s).
	StalledAfter = time.Second
	// scanInterval is the time for which the slowest transfer is kept. Each waiting transfer
	// asks every 5 ms, so that all of them together cause one scan in that time.
	scanInterval = 5 * time.Millisecond
)

// Begin adds a transfer.
func (t *Transfers) Begin(x *Transfer, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.begun.IsZero() {
		t.begun = now
	}
	x.arrivedAt, x.index = now, len(t.list)
	t.setRate(x, initialRate, now)
	t.list = append(t.list, x)
}

// Progress records n bytes that have arrived, and the memory that the transfer holds.
// It reports whether the transfer may continue.
func (t *Transfers) Progress(x *Transfer, n int, held int64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if n > 0 {
		t.setRate(x, x.rateAt(now)+float64(n)/rateDecay, now)
		x.arrivedAt = now
	}
	if x.stopped {
		t.pending += held - x.held
	}
	x.held = held
	return !x.stopped
}

// End removes a transfer. Stop is not called after End has returned. It returns whether
// the transfer was stopped.
func (t *Transfers) End(x *Transfer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.candidate == x {
		t.candidate, t.scannedAt = nil, time.Time{}
	}
	last := len(t.list) - 1
	t.list[x.index] = t.list[last]
	t.list[x.index].index = x.index
	t.list[last] = nil
	t.list = t.list[:last]
	if x.stopped {
		t.pending -= x.held
	}
	return x.stopped
}

// Reclaim stops the slowest transfers until the memory that will be released is at least
// need bytes, and reports whether any memory will be released. It leaves out those that hold
// at most SmallTransferBytes. A transfer that asks for itself does not stop those that are
// faster; asker is nil if another part of the process asks.
func (t *Transfers) Reclaim(asker *Transfer, need int64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if asker != nil && asker.stopped {
		return false
	}
	for t.pending < need {
		x := t.slowest(now)
		if x == nil || x == asker || asker != nil && x.rank > asker.rank {
			break
		}
		t.stop(x)
	}
	return t.pending > 0
}

// StopStalled stops the transfer that has brought no bytes for longest, if that is at least
// StalledAfter, and reports whether there was one.
func (t *Transfers) StopStalled(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out *Transfer
	for _, x := range t.list {
		if !x.stopped && now.Sub(x.arrivedAt) >= StalledAfter && (out == nil || x.arrivedAt.Before(out.arrivedAt)) {
			out = x
		}
	}
	if out == nil {
		return false
	}
	t.stop(out)
	return true
}

// slowest returns the slowest transfer that is not stopped and holds more than
// SmallTransferBytes, or nil. Transfers that have begun or grown within
// scanInterval may be left out.
func (t *Transfers) slowest(now time.Time) *Transfer {
	x := t.candidate
	if age := now.Sub(t.scannedAt); age >= 0 && age < scanInterval && (x == nil || !x.stopped && x.rank == t.candidateRank) {
		return x
	}
	t.candidate, t.scannedAt = nil, now
	for _, x := range t.list {
		if !x.stopped && x.held > SmallTransferBytes && (t.candidate == nil || x.rank < t.candidate.rank) {
			t.candidate, t.candidateRank = x, x.rank
		}
	}
	return t.candidate
}

// setRate sets the rate of a transfer as of now.
func (t *Transfers) setRate(x *Transfer, rate float64, now time.Time) {
	x.rate, x.at = rate, now
	x.rank = math.Log(rate) + now.Sub(t.begun).Seconds()/rateDecay
}

func (t *Transfers) stop(x *Transfer) {
	x.stopped = true
	t.pending += x.held
	x.Stop()
}

// rateAt returns the rate as it has decayed until now.
func (x *Transfer) rateAt(now time.Time) float64 {
	return x.rate * math.Exp(-max(0, now.Sub(x.at).Seconds())/rateDecay)
}
