// This file defines the calls of a write: deletion, checkpoint, segment and batch.

package clbooking

import (
	"fmt"
	"slices"
	"time"

	"github.com/chestnutlead/chestnutlead/clstate"
	"google.golang.org/protobuf/proto"
)

// write returns the calls of one write: the deletion of an expired segment, a
// checkpoint, if they are needed, and then the batch.
func (p *Partition) write(now time.Time) Step {
	v := p.view
	if s := p.staged; s != nil && s.number != v.head.NextSegment {
		p.staged = nil
	}
	expired := expiredBefore(now, p.cfg.Window+clockSlack)
	ref := p.expired(expired)
	switch full := v.recent.size > p.cfg.Policy.SealBytes; {
	case p.staged != nil && !p.staged.loaded:
		return p.read(call{kind: callReadStaged, number: v.head.NextSegment}, p.segmentName(v.head.NextSegment), now)
	case p.staged == nil && full:
		records := p.sealable(now)
		return p.update(call{kind: callCreate, number: v.head.NextSegment, records: records},
			p.segmentName(v.head.NextSegment), &clstate.BookingSegment{Records: records}, 0)
	case ref != nil && !now.Before(p.deleteFrom):
		p.call = call{kind: callDelete, number: ref.Number}
		return Step{Action: ActionDelete, Name: p.segmentName(ref.Number), IfVersion: v.segments[ref.Number].version}
	case p.staged != nil || v.next-v.head.NextBatch >= p.cfg.LogSlots:
		head := v.checkpoint(expired, p.staged)
		return p.update(call{kind: callCheckpoint, head: head}, p.headName(), head, v.version)
	}
	ifVersion, ok := p.replaceable()
	if !ok {
		return p.readSlot(now)
	}
	b := p.batch()
	return p.update(call{kind: callAppend, number: v.next, batch: b}, p.slotName(v.next), b, ifVersion)
}

// sealable returns the records for a segment: those whose outcome is not
// expected soon, or all if these would leave more than half of the records.
func (p *Partition) sealable(now time.Time) []*clstate.BookingRecord {
	oldest := now.Add(-openClaim).UnixMilli()
	var records []*clstate.BookingRecord
	for _, r := range p.view.recent.records {
		if r.State != clstate.BookingState_BOOKING_STATE_CLAIMED || r.ClaimedUnixMs < oldest {
			records = append(records, r)
		}
	}
	if all := p.view.recent.records; 2*len(records) <= len(all) {
		return slices.Clone(all)
	}
	return records
}

// replaceable returns the version of the batch that the next one replaces, 0
// if none does. ok is false if the slot was not read yet. A batch may be
// replaced only if the head has its effect, and the next batch may be written
// only by a process that knows all before it; the version proves that no other
// process has written it.
func (p *Partition) replaceable() (version uint64, ok bool) {
	next := p.view.next
	if next < p.cfg.LogSlots {
		return 0, true
	}
	s, ok := p.slots[next%p.cfg.LogSlots]
	return s.version, ok && s.number == next-p.cfg.LogSlots
}

// batch returns the next batch: the changed records of the operations that
// wait, each as the earlier ones leave it, up to maxBatchBytes.
func (p *Partition) batch() *clstate.BookingBatch {
	var set recordSet
	for _, o := range p.pending {
		if o.record == nil {
			continue
		}
		stored := set.get(o.key)
		if stored == nil {
			stored = p.view.lookup(o.key).record
		}
		if changeOf(stored, o.record) != changeWrite {
			continue
		}
		if set.size > 0 && set.size+encodedSize(o.record) > maxBatchBytes {
			break
		}
		set.put(merged(stored, o.record))
		o.sent = true
	}
	return &clstate.BookingBatch{Number: p.view.next, Records: set.records}
}

// expired returns the first listed segment if all of its records have expired.
func (p *Partition) expired(expired func(int64) bool) *clstate.BookingSegmentRef {
	for _, ref := range p.view.head.Segments {
		if p.view.segments[ref.Number].deleted {
			continue
		}
		if expired(ref.YoungestUnixMs) {
			return ref
		}
		return nil
	}
	return nil
}

func (p *Partition) read(c call, name string, now time.Time) Step {
	c.issued = p.tickets
	p.call = c
	p.counts.Reads++
	if c.kind == callReadSlot {
		p.lastRead = now
	}
	return Step{Action: ActionRead, Name: name}
}

// readSlot reads the slot of the next batch, which shows whether that batch exists.
func (p *Partition) readSlot(now time.Time) Step {
	next := p.view.next
	return p.read(call{kind: callReadSlot, number: next}, p.slotName(next), now)
}

func (p *Partition) update(c call, name string, m proto.Message, ifVersion uint64) Step {
	value, err := proto.Marshal(m)
	if err != nil {
		// Marshal fails only for strings that are not valid UTF-8, which check refuses.
		panic(fmt.Sprintf("booking: cannot encode %s: %v", name, err))
	}
	c.issued = p.tickets
	p.call = c
	p.counts.Writes++
	p.counts.WrittenBytes += len(value)
	return Step{Action: ActionUpdate, Name: name, Value: value, IfVersion: ifVersion}
}

func (p *Partition) headName() string { return HeadName(p.cfg.Service, p.cfg.Partition) }

func (p *Partition) slotName(batch uint64) string {
	return SlotName(p.cfg.Service, p.cfg.Partition, batch%p.cfg.LogSlots)
}

func (p *Partition) segmentName(n uint64) string {
	return SegmentName(p.cfg.Service, p.cfg.Partition, n)
}
