// This file defines a process's view of a partition: the head, the batches after it and an index of its segments.

package clbooking

import (
	"slices"
	"time"

	"github.com/bits-and-blooms/bloom/v3"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/chestnutlead/chestnutlead/clstate"
)

type (
	// view is the state of a partition after all batches before next.
	view struct {
		head    *clstate.BookingHead
		version uint64
		next    uint64
		// tail holds the batches from head.NextBatch on, recent the head's records with the tail applied.
		tail   []*clstate.BookingBatch
		recent recordSet
		// segments holds the segments read so far; a segment never changes.
		segments map[uint64]*segment
	}

	// segment holds a filter of the keys of a sealed segment. What a read of
	// the segment has shown of keys that were asked for is kept in fetched: the
	// record, or nil if the segment has none.
	segment struct {
		filter  *bloom.BloomFilter
		version uint64
		fetched map[Key]*clstate.BookingRecord
		// deleted says that the object was deleted after its expiry.
		deleted bool
	}

	// found is the result of a lookup.
	found struct {
		record *clstate.BookingRecord
		// fetch is the segment that must be read again to get the record; valid if needed is set.
		fetch  uint64
		needed bool
	}
)

// newView returns the state that head and the batches after it give. old is
// the view before, nil if none; what it knows beyond head is kept.
func newView(head *clstate.BookingHead, version uint64, old *view) *view {
	v := &view{head: head, version: version, next: head.NextBatch, segments: make(map[uint64]*segment, len(head.Segments))}
	for _, r := range head.Records {
		v.recent.put(r)
	}
	if old == nil {
		return v
	}
	for _, ref := range head.Segments {
		if s := old.segments[ref.Number]; s != nil {
			v.segments[ref.Number] = s
		}
	}
	for _, b := range old.tail {
		if b.Number >= v.next {
			v.add(b)
		}
	}
	return v
}

// add applies the batch with the number next.
func (v *view) add(b *clstate.BookingBatch) {
	for _, r := range b.Records {
		v.recent.put(r)
	}
	v.tail = append(v.tail, b)
	v.next = b.Number + 1
}

// decodeHead decodes and checks a head.
func decodeHead(value []byte) (*clstate.BookingHead, *Error) {
	head := &clstate.BookingHead{}
	if err := proto.Unmarshal(value, head); err != nil {
		return nil, newError(KindCorrupt, "the head cannot be decoded", err)
	}
	return head, checkAll(head.Records)
}

func decodeBatch(value []byte) (*clstate.BookingBatch, *Error) {
	b := &clstate.BookingBatch{}
	if err := proto.Unmarshal(value, b); err != nil {
		return nil, newError(KindCorrupt, "a batch cannot be decoded", err)
	}
	return b, checkAll(b.Records)
}

func decodeSegment(value []byte) ([]*clstate.BookingRecord, *Error) {
	seg := &clstate.BookingSegment{}
	if err := proto.Unmarshal(value, seg); err != nil {
		return nil, newError(KindCorrupt, "a segment cannot be decoded", err)
	}
	return seg.Records, checkAll(seg.Records)
}

func checkAll(records []*clstate.BookingRecord) *Error {
	for _, r := range records {
		if err := check(r); err != nil {
			return newError(KindCorrupt, "a stored record is invalid", err)
		}
	}
	return nil
}

func newSegment(records []*clstate.BookingRecord, version uint64, falsePositives float64) *segment {
	filter := bloom.NewWithEstimates(uint(max(len(records), 1)), falsePositives)
	for _, r := range records {
		filter.Add(r.Key)
	}
	return &segment{filter: filter, version: version, fetched: map[Key]*clstate.BookingRecord{}}
}

// mayHave says whether the segment may have a record of key.
func (s *segment) mayHave(key Key) bool { return s.filter != nil && s.filter.Test(key[:]) }

// missing returns the first listed segment that was not read yet.
func (v *view) missing() (*clstate.BookingSegmentRef, bool) {
	for _, ref := range v.head.Segments {
		if v.segments[ref.Number] == nil {
			return ref, true
		}
	}
	return nil, false
}

// lookup returns the newest record of key: the log's and the head's before any
// segment's, and a later segment's before an earlier one's. All segments must have been read.
func (v *view) lookup(key Key) found {
	if r := v.recent.get(key); r != nil {
		return found{record: r}
	}
	for _, ref := range slices.Backward(v.head.Segments) {
		s := v.segments[ref.Number]
		if !s.mayHave(key) {
			continue
		}
		switch r, read := s.fetched[key]; {
		case !read:
			return found{fetch: ref.Number, needed: true}
		case r != nil:
			return found{record: r}
		}
	}
	return found{}
}

// checkpoint returns a head that holds the effect of all batches before next,
// without the expired records. sealed, if not nil, is the existing segment with
// the number head.NextSegment, which is listed; records that differ from its
// own stay in the head, which takes precedence. Only a
// prefix of the list of segments is dropped, so that an older record never
// shows up again behind a newer one that was removed.
func (v *view) checkpoint(expired func(unixMS int64) bool, sealed *staged) *clstate.BookingHead {
	head := &clstate.BookingHead{NextSegment: v.head.NextSegment, NextBatch: v.next}
	for i, ref := range v.head.Segments {
		if !v.segments[ref.Number].deleted {
			head.Segments = slices.Clone(v.head.Segments[i:])
			break
		}
	}
	byKey := map[Key]*clstate.BookingRecord{}
	if sealed != nil {
		ref := &clstate.BookingSegmentRef{Number: head.NextSegment, Records: uint32(len(sealed.records))}
		for _, r := range sealed.records {
			byKey[keyOf(r)] = r
			ref.YoungestUnixMs = max(ref.YoungestUnixMs, r.ClaimedUnixMs)
		}
		head.Segments = append(head.Segments, ref)
		head.NextSegment++
	}
	for _, r := range v.recent.records {
		if s := byKey[keyOf(r)]; !expired(r.ClaimedUnixMs) && (s == nil || !proto.Equal(s, r)) {
			head.Records = append(head.Records, r)
		}
	}
	return head
}

// recordSet holds one record of each key, in the order in which the keys were
// first put. The zero value is empty.
type recordSet struct {
	records []*clstate.BookingRecord
	index   map[Key]int
	// size is the encoded size of the records, in bytes.
	size int
}

func (s *recordSet) get(key Key) *clstate.BookingRecord {
	if i, ok := s.index[key]; ok {
		return s.records[i]
	}
	return nil
}

func (s *recordSet) put(r *clstate.BookingRecord) {
	if s.index == nil {
		s.index = map[Key]int{}
	}
	s.size += encodedSize(r)
	if i, ok := s.index[keyOf(r)]; ok {
		s.size -= encodedSize(s.records[i])
		s.records[i] = r
		return
	}
	s.index[keyOf(r)] = len(s.records)
	s.records = append(s.records, r)
}

// encodedSize returns the bytes of a record as an element of a repeated field with a tag of one byte.
func encodedSize(r *clstate.BookingRecord) int { return 1 + protowire.SizeBytes(proto.Size(r)) }

// expiredBefore says whether a record of that time is older than the window.
func expiredBefore(now time.Time, window time.Duration) func(unixMS int64) bool {
	limit := now.Add(-window).UnixMilli()
	return func(unixMS int64) bool { return unixMS < limit }
}
