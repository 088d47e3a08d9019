// This file defines how the core of a partition takes the outcomes of its calls.

package clbooking

import (
	"time"

	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clstore"
)

// failed handles a call without a usable answer. An update may have taken
// effect, so the head is read before the next one.
func (p *Partition) failed(now time.Time, c call, err *Error) {
	p.retryAt = now.Add(p.cfg.RetryAfter)
	switch c.kind {
	case callUpdate:
		p.stale, p.lastWrite = true, now
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

func (p *Partition) headRead(c call, r Result) *Error {
	head, version := &clstate.BookingHead{}, uint64(0)
	if r.Kind == clstore.KindNone {
		var err *Error
		if head, err = decodeHead(r.Object.Value); err != nil {
			return err
		}
		version = r.Object.Version
	}
	p.setView(head, version, c.issued)
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
		s = newSegment(records, r.Object.Version)
		p.view.segments[c.number] = s
	}
	if len(s.fetched) > maxFetched {
		clear(s.fetched)
	}
	asked := make(map[Key]bool, len(p.pending))
	for _, o := range p.pending {
		asked[o.key] = true
	}
	for _, rec := range records {
		if asked[keyOf(rec)] {
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
	p.stale = true
	return newError(KindCorrupt, "a listed segment that has not expired does not exist", nil)
}

// stagedRead adopts a segment that another writer created with the next number
// but has not listed. It holds records that the head held at an earlier
// version, so listing it loses nothing: newer records stay in the head.
func (p *Partition) stagedRead(c call, r Result) *Error {
	p.staged = nil
	if r.Kind != clstore.KindNone {
		p.stale = true
		return nil
	}
	records, err := decodeSegment(r.Object.Value)
	if err != nil {
		return err
	}
	p.staged = &staged{number: c.number, version: r.Object.Version, loaded: true, records: records}
	return nil
}

func (p *Partition) updated(now time.Time, c call, r Result) {
	p.lastWrite = now
	if r.Kind != clstore.KindNone {
		p.stale = true
		return
	}
	p.counts.Claims += p.claimsIn(c.head)
	if s := p.staged; s != nil && c.head.NextSegment > s.number {
		p.view.segments[s.number] = newSegment(s.records, s.version)
		p.staged = nil
	}
	p.setView(c.head, r.Version, c.issued)
}

// claimsIn counts the pending claims that head confirms.
func (p *Partition) claimsIn(head *clstate.BookingHead) int {
	stored := make(map[Key]string, len(head.Records))
	for _, r := range head.Records {
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

// setView takes a head that a call issued at a ticket returned or confirmed.
func (p *Partition) setView(head *clstate.BookingHead, version uint64, issued Ticket) {
	var segments map[uint64]*segment
	if p.view != nil {
		segments = p.view.segments
	}
	p.view = newView(head, version, segments)
	p.stale = false
	p.fresh = issued
}
