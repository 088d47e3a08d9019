// This file defines a process's view of a partition: the head and an index of its segments.

package clbooking

import (
	"bytes"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/chestnutlead/chestnutlead/clstate"
)

type (
	// view is the head at one version and the index of the segments it lists.
	view struct {
		head    *clstate.BookingHead
		version uint64
		size    int
		index   map[Key]int
		// segments holds the segments read so far; a segment never changes.
		segments map[uint64]*segment
	}

	// segment holds the keys of a sealed segment; records of keys that were
	// asked for are read again and kept in fetched.
	segment struct {
		keys    []Key
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

func newView(head *clstate.BookingHead, version uint64, segments map[uint64]*segment) *view {
	v := &view{head: head, version: version, size: proto.Size(head), index: make(map[Key]int, len(head.Records))}
	for i, r := range head.Records {
		v.index[keyOf(r)] = i
	}
	v.segments = make(map[uint64]*segment, len(head.Segments))
	for _, ref := range head.Segments {
		if s := segments[ref.Number]; s != nil {
			v.segments[ref.Number] = s
		}
	}
	return v
}

// decodeHead decodes and checks a head.
func decodeHead(value []byte) (*clstate.BookingHead, *Error) {
	head := &clstate.BookingHead{}
	if err := proto.Unmarshal(value, head); err != nil {
		return nil, newError(KindCorrupt, "the head cannot be decoded", err)
	}
	return head, checkAll(head.Records)
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

func newSegment(records []*clstate.BookingRecord, version uint64) *segment {
	s := &segment{version: version, keys: make([]Key, 0, len(records)), fetched: map[Key]*clstate.BookingRecord{}}
	for _, r := range records {
		s.keys = append(s.keys, keyOf(r))
	}
	slices.SortFunc(s.keys, compareKeys)
	return s
}

func compareKeys(a, b Key) int { return bytes.Compare(a[:], b[:]) }

func (s *segment) has(key Key) bool {
	_, ok := slices.BinarySearchFunc(s.keys, key, compareKeys)
	return ok
}

// missing returns the first listed segment that was not read yet.
func (v *view) missing() (*clstate.BookingSegmentRef, bool) {
	for _, ref := range v.head.Segments {
		if v.segments[ref.Number] == nil {
			return ref, true
		}
	}
	return nil, false
}

// lookup returns the newest record of key: the head's before any segment's,
// and a later segment's before an earlier one's. All segments must have been read.
func (v *view) lookup(key Key) found {
	if i, ok := v.index[key]; ok {
		return found{record: v.head.Records[i]}
	}
	for _, ref := range slices.Backward(v.head.Segments) {
		s := v.segments[ref.Number]
		if !s.has(key) {
			continue
		}
		if r := s.fetched[key]; r != nil {
			return found{record: r}
		}
		return found{fetch: ref.Number, needed: true}
	}
	return found{}
}

// edit is a head under construction.
type edit struct {
	head  *clstate.BookingHead
	index map[Key]int
}

// edit returns a changeable copy of the head without the expired records.
// It drops only a prefix of the list of segments, so that an older record
// never shows up again behind a newer one that was removed.
func (v *view) edit(expired func(unixMS int64) bool) *edit {
	e := &edit{
		head:  &clstate.BookingHead{NextSegment: v.head.NextSegment},
		index: make(map[Key]int, len(v.head.Records)),
	}
	for _, r := range v.head.Records {
		if !expired(r.ClaimedUnixMs) {
			e.put(r)
		}
	}
	for i, ref := range v.head.Segments {
		if !v.segments[ref.Number].deleted {
			e.head.Segments = slices.Clone(v.head.Segments[i:])
			break
		}
	}
	return e
}

func (e *edit) put(r *clstate.BookingRecord) {
	if i, ok := e.index[keyOf(r)]; ok {
		e.head.Records[i] = r
		return
	}
	e.index[keyOf(r)] = len(e.head.Records)
	e.head.Records = append(e.head.Records, r)
}

// seal lists the existing segment with these records and drops the records
// that equal the segment's. Records that have changed since stay in the head,
// which takes precedence.
func (e *edit) seal(records []*clstate.BookingRecord) {
	sealed := make(map[Key]*clstate.BookingRecord, len(records))
	ref := &clstate.BookingSegmentRef{Number: e.head.NextSegment, Records: uint32(len(records))}
	for _, r := range records {
		sealed[keyOf(r)] = r
		ref.YoungestUnixMs = max(ref.YoungestUnixMs, r.ClaimedUnixMs)
	}
	kept := e.head.Records
	e.head.Records, e.index = nil, map[Key]int{}
	for _, r := range kept {
		if s := sealed[keyOf(r)]; s == nil || !proto.Equal(s, r) {
			e.put(r)
		}
	}
	e.head.Segments = append(e.head.Segments, ref)
	e.head.NextSegment++
}

// expiredBefore says whether a record of that time is older than the window.
func expiredBefore(now time.Time, window time.Duration) func(unixMS int64) bool {
	limit := now.Add(-window).UnixMilli()
	return func(unixMS int64) bool { return unixMS < limit }
}
