// This file defines how the core of a partition takes the outcomes of its calls.

package clbooking

import (
	"fmt"
	"time"

	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clstore"
)

// failed handles a call without a usable answer. A batch or a head may have
// been written, so it is read before the next write.
func (p *Partition) failed(now time.Time, c call, err *Error) {
	p.retryAt = now.Add(p.cfg.RetryAfter)
	switch c.kind {
	case callAppend:
		p.logStale, p.lastWrite = true, now
	case callCheckpoint:
		p.headStale = true
	case callDelete:
		p.deleteFrom = now.Add(deleteRetry)
		return
	}
	p.keep(func(o *op) bool {
		if o.record != nil && isOutcome(o.record) || now.Sub(o.at) < p.cfg.Patience {
			return true
		}
		p.fail(o, err)
		return false
	})
}

func (p *Partition) headRead(r Result) *Error {
	head, version := &clstate.BookingHead{}, uint64(0)
	if r.Kind == clstore.KindNone {
		var err *Error
		if head, err = decodeHead(r.Object.Value); err != nil {
			return err
		}
		version = r.Object.Version
	}
	if p.view != nil {
		if p.passed && head.NextBatch <= p.view.next {
			return newError(KindCorrupt, "the head does not follow the log", nil)
		}
		p.logStale = p.logStale || head.NextBatch > p.view.next
	}
	p.passed = false
	p.view, p.headStale = newView(head, version, p.view), false
	return nil
}

// slotRead takes what the slot of the next batch holds: that batch, or the one
// a whole log earlier if the next does not exist. A later one shows that the
// head has passed the view.
func (p *Partition) slotRead(c call, r Result) *Error {
	next, size := p.view.next, p.cfg.LogSlots
	if r.Kind != clstore.KindNone {
		if next >= size {
			return newError(KindCorrupt, "a batch does not exist", nil)
		}
		p.logStale, p.fresh = false, c.issued
		return nil
	}
	b, err := decodeBatch(r.Object.Value)
	if err != nil {
		return err
	}
	switch {
	case b.Number == next:
		p.view.add(b)
		p.logStale = true
	case b.Number+size == next:
		p.logStale, p.fresh = false, c.issued
	case b.Number > next && b.Number%size == next%size:
		p.headStale, p.logStale, p.passed = true, true, true
		return nil
	default:
		return newError(KindCorrupt, fmt.Sprintf("a slot holds batch %d in place of %d", b.Number, next), nil)
	}
	p.slots[b.Number%size] = slot{number: b.Number, version: r.Object.Version}
	return nil
}

func (p *Partition) segmentRead(now time.Time, c call, r Result) *Error {
	if r.Kind != clstore.KindNone {
		return p.segmentMissing(now, c.number)
	}
	records, err := decodeSegment(r.Object.Value)
	if err != nil {
		return err
	}
	s := p.view.segments[c.number]
	if s == nil {
		s = newSegment(records, r.Object.Version, p.cfg.FalsePositives)
		p.view.segments[c.number] = s
	}
	if len(s.fetched) > maxFetched {
		clear(s.fetched)
	}
	for _, o := range p.pending {
		if s.mayHave(o.key) {
			s.fetched[o.key] = nil
		}
	}
	for _, rec := range records {
		if _, asked := s.fetched[keyOf(rec)]; asked {
			s.fetched[keyOf(rec)] = rec
		}
	}
	return nil
}

// segmentMissing handles a listed segment that does not exist: it was deleted
// after its expiry, and the head that drops it is still to be written. By a
// slow clock it may not have expired yet; then the head is read again.
func (p *Partition) segmentMissing(now time.Time, number uint64) *Error {
	expired := expiredBefore(now, p.cfg.Window)
	for _, ref := range p.view.head.Segments {
		if ref.Number == number && expired(ref.YoungestUnixMs) {
			p.view.segments[number] = &segment{deleted: true}
			return nil
		}
	}
	p.headStale = true
	return newError(KindCorrupt, "a listed segment that has not expired does not exist", nil)
}

// stagedRead adopts a segment that another writer created with the next number
// but has not listed. Its records are the unsealed ones at some batch. Listing
// it loses nothing: records that differ stay in the head, and batches that its
// creator knew and this process does not follow the head.
func (p *Partition) stagedRead(c call, r Result) *Error {
	p.staged = nil
	if r.Kind != clstore.KindNone {
		p.headStale = true
		return nil
	}
	records, err := decodeSegment(r.Object.Value)
	if err != nil {
		return err
	}
	p.staged = &staged{number: c.number, version: r.Object.Version, loaded: true, records: records}
	return nil
}

func (p *Partition) checkpointed(c call, r Result) {
	if r.Kind != clstore.KindNone {
		p.headStale = true
		return
	}
	if s := p.staged; s != nil && c.head.NextSegment > s.number {
		p.view.segments[s.number] = newSegment(s.records, s.version, p.cfg.FalsePositives)
		p.staged = nil
	}
	p.view = newView(c.head, r.Version, p.view)
}

func (p *Partition) appended(now time.Time, c call, r Result) {
	p.lastWrite = now
	if r.Kind != clstore.KindNone {
		p.logStale = true
		return
	}
	p.counts.Claims += p.claimsIn(c.batch)
	p.view.add(c.batch)
	p.slots[c.number%p.cfg.LogSlots] = slot{number: c.number, version: r.Version}
	p.fresh = c.issued
}

// claimsIn counts the pending claims that a batch confirms.
func (p *Partition) claimsIn(b *clstate.BookingBatch) int {
	stored := make(map[Key]string, len(b.Records))
	for _, r := range b.Records {
		stored[keyOf(r)] = r.AttemptId
	}
	n := 0
	for _, o := range p.pending {
		claim := o.record.GetState() == clstate.BookingState_BOOKING_STATE_CLAIMED
		if claim && stored[o.key] == o.record.AttemptId {
			n++
		}
	}
	return n
}

// deleted spaces deletions by the linger interval, so that claims wait for one at most.
func (p *Partition) deleted(now time.Time, c call, r Result) {
	if r.Kind == clstore.KindConflict {
		p.deleteFrom = now.Add(deleteRetry)
		return
	}
	p.deleteFrom = now.Add(p.cfg.Policy.Linger)
	p.view.segments[c.number].deleted = true
}
