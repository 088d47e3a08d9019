// This file defines the core of one partition: operations go in, object calls come out.

package clbooking

import (
	"fmt"
	"time"

	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clstore"
)

const (
	defaultWindow     = 24 * time.Hour
	defaultPatience   = 400 * time.Millisecond
	defaultRetryAfter = 50 * time.Millisecond
	defaultMaxPending = 20_000
	// deleteRetry is the wait after a segment could not be deleted; nothing depends on the deletion.
	deleteRetry = 10 * time.Second
	// maxFetched bounds the records kept of each segment for lookups.
	maxFetched = 256
	// defaultLogSlots bounds the batches that a process reads when it takes a
	// partition over: 128 reads of 4 ms are 0.5 s. At 500 bookings a second
	// over 4 partitions 128 batches hold about 256 KB of records, so that
	// checkpoints add 2 writes to 128.
	defaultLogSlots = 128
	// defaultFalsePositives is small because a claim asks the filters of all
	// segments of the window, about 8,700 in a partition at 125 bookings a
	// second, and each false positive is a read of up to 256 KB. It costs 4.8 B
	// a record.
	defaultFalsePositives = 1e-8
	// openClaim is how long a claim stays out of segments, because its outcome
	// is likely to follow and would need a read of the segment.
	openClaim = time.Minute
	// maxBatchBytes keeps a segment, of at most SealBytes and one batch, below the 1 MB of a value.
	maxBatchBytes = 128 << 10
)

type (
	// PartitionConfig holds the settings of one partition.
	PartitionConfig struct {
		Service   string
		Partition uint32
		Policy    Policy
		// Window is the service's resend window; 0 means 24 h.
		Window time.Duration
		// Patience is how long claims, releases and lookups wait while the
		// store fails; 0 means 400 ms. Outcomes wait without a limit.
		Patience time.Duration
		// RetryAfter is the wait after a call that failed; 0 means 50 ms.
		RetryAfter time.Duration
		// MaxPending bounds the waiting operations; 0 means 20,000.
		MaxPending int
		// LogSlots is the number of batches between two checkpoints at most,
		// the same in all processes, which must never change; 0 means 128.
		LogSlots uint64
		// FalsePositives is the share of keys that are not in a segment and
		// cause a read of it all the same; 0 means 1e-8.
		FalsePositives float64
	}

	// Action is the kind of a Step.
	Action int

	// Step is the next object call of a partition.
	Step struct {
		Action Action
		// Until is when to ask again, for ActionWait; zero means after the next operation.
		Until     time.Time
		Name      string
		Value     []byte
		IfVersion uint64
	}

	// Result is the outcome of a Step.
	Result struct {
		// Object is the object read.
		Object clstore.Object
		// Version is the version that an update returned.
		Version uint64
		// Kind is the kind of the failure, or clstore.KindNone.
		Kind clstore.Kind
	}

	// Ticket identifies a submitted operation.
	Ticket uint64

	// Completion is the end of an operation: the stored record of its key (nil
	// if there is none), or an Error.
	Completion struct {
		Ticket Ticket
		Record *clstate.BookingRecord
		Err    error
	}

	// Counts are the calls that a partition asked for and the claims it stored.
	Counts struct {
		Reads, Writes, WrittenBytes, Claims int
	}

	// Partition is the core of one process for one partition. It is not safe
	// for concurrent use. The caller executes the step of Next and reports its
	// outcome with Deliver before it asks again.
	Partition struct {
		cfg     PartitionConfig
		tickets Ticket
		pending []*op
		done    []Completion
		flush   bool

		// view is the newest state that was read or confirmed; nil if none.
		view *view
		// headStale says that the head must be read before the next write, logStale
		// that the log must be read until its end.
		headStale, logStale bool
		// fresh is the last ticket submitted before the call that showed view to be the newest state.
		fresh Ticket
		// slots holds the batches last seen in the slots of the log.
		slots map[uint64]slot
		// passed says that a slot held a batch that can exist only if the head has passed the view.
		passed bool
		// staged is an existing segment with the number view.head.NextSegment.
		staged *staged

		call       call
		lastWrite  time.Time
		lastRead   time.Time
		retryAt    time.Time
		deleteFrom time.Time
		counts     Counts
	}

	// op is a waiting operation; record is nil for a lookup.
	op struct {
		ticket Ticket
		key    Key
		record *clstate.BookingRecord
		at     time.Time
		// sent says that an update with the change was sent.
		sent bool
	}

	// staged is a segment that exists but is not listed; records are set once loaded.
	staged struct {
		number  uint64
		version uint64
		loaded  bool
		records []*clstate.BookingRecord
	}

	// slot is a batch in a slot of the log and the version of its object.
	slot struct {
		number, version uint64
	}

	callKind int

	// call is the step in progress; number is that of a segment or batch.
	call struct {
		kind    callKind
		number  uint64
		issued  Ticket
		head    *clstate.BookingHead
		batch   *clstate.BookingBatch
		records []*clstate.BookingRecord
	}
)

// Actions of a Step.
const (
	ActionWait Action = iota
	ActionRead
	ActionUpdate
	ActionDelete
)

const (
	callNone callKind = iota
	callReadHead
	callReadSlot
	callReadSegment
	callReadStaged
	callCreate
	callCheckpoint
	callAppend
	callDelete
)

// NewPartition returns the core of a partition of which nothing is known yet.
func NewPartition(cfg PartitionConfig) *Partition {
	fill := func(d *time.Duration, value time.Duration) {
		if *d == 0 {
			*d = value
		}
	}
	cfg.Policy = cfg.Policy.withDefaults()
	fill(&cfg.Window, defaultWindow)
	fill(&cfg.Patience, defaultPatience)
	fill(&cfg.RetryAfter, defaultRetryAfter)
	if cfg.MaxPending == 0 {
		cfg.MaxPending = defaultMaxPending
	}
	if cfg.LogSlots == 0 {
		cfg.LogSlots = defaultLogSlots
	}
	if cfg.FalsePositives == 0 {
		cfg.FalsePositives = defaultFalsePositives
	}
	return &Partition{cfg: cfg, headStale: true, logStale: true, slots: map[uint64]slot{}}
}

// Submit adds a change: a claim, an outcome or a release, by the record's
// state. The record must not be changed afterwards.
func (p *Partition) Submit(now time.Time, r *clstate.BookingRecord) (Ticket, error) {
	if err := check(r); err != nil {
		return 0, err
	}
	claimed := r.State == clstate.BookingState_BOOKING_STATE_CLAIMED
	if age := now.Sub(time.UnixMilli(r.ClaimedUnixMs)); claimed && age.Abs() > clockSlack {
		return 0, newError(KindInvalid, fmt.Sprintf("the claim's time differs from the clock by %s", age.Abs()), nil)
	}
	return p.add(&op{key: keyOf(r), record: r, at: now})
}

// Lookup adds a lookup of the current record of a key.
func (p *Partition) Lookup(now time.Time, key Key) (Ticket, error) {
	return p.add(&op{key: key, at: now})
}

// Cancel forgets an operation. It returns true if its change was sent and may
// still take effect.
func (p *Partition) Cancel(t Ticket) (sent bool) {
	p.keep(func(o *op) bool {
		if o.ticket == t {
			sent = o.sent
		}
		return o.ticket != t
	})
	return sent
}

// Flush makes all waiting changes due at once while on is set.
func (p *Partition) Flush(on bool) { p.flush = on }

// Pending returns the number of waiting operations.
func (p *Partition) Pending() int { return len(p.pending) }

// Counts returns the calls so far.
func (p *Partition) Counts() Counts { return p.counts }

// Completed returns the operations that ended since the last call.
func (p *Partition) Completed() []Completion {
	done := p.done
	p.done = nil
	return done
}

// Next returns the next step at now.
func (p *Partition) Next(now time.Time) Step {
	p.dropOverdue(now)
	p.settle()
	switch {
	case len(p.pending) == 0:
		return Step{Action: ActionWait}
	case now.Before(p.retryAt):
		return Step{Action: ActionWait, Until: p.retryAt}
	case p.headStale:
		return p.read(call{kind: callReadHead}, p.headName(), now)
	case p.logStale:
		return p.readSlot(now)
	}
	if ref, ok := p.view.missing(); ok {
		return p.read(call{kind: callReadSegment, number: ref.Number}, p.segmentName(ref.Number), now)
	}
	at, readAt := p.due()
	for _, o := range p.pending {
		if f := p.view.lookup(o.key); f.needed {
			return p.read(call{kind: callReadSegment, number: f.fetch}, p.segmentName(f.fetch), now)
		}
	}
	switch {
	case !at.IsZero() && !now.Before(at):
		return p.write(now)
	case !readAt.IsZero() && !now.Before(readAt):
		return p.readSlot(now)
	case at.IsZero() || !readAt.IsZero() && readAt.Before(at):
		at = readAt
	}
	return Step{Action: ActionWait, Until: at}
}

// Deliver reports the outcome of the last step of Next.
func (p *Partition) Deliver(now time.Time, r Result) {
	c := p.call
	p.call = call{}
	if r.Kind == clstore.KindUnavailable || r.Kind == clstore.KindUnknown || r.Kind == clstore.KindInvalid {
		p.failed(now, c, newError(KindUnavailable, "the object API does not answer", nil))
		return
	}
	var err *Error
	switch c.kind {
	case callReadHead:
		err = p.headRead(r)
	case callReadSlot:
		err = p.slotRead(c, r)
	case callReadSegment:
		err = p.segmentRead(now, c, r)
	case callReadStaged:
		err = p.stagedRead(c, r)
	case callCreate:
		if r.Kind == clstore.KindConflict {
			p.staged = &staged{number: c.number}
			break
		}
		p.staged = &staged{number: c.number, version: r.Version, loaded: true, records: c.records}
	case callCheckpoint:
		p.checkpointed(c, r)
	case callAppend:
		p.appended(now, c, r)
	case callDelete:
		p.deleted(now, c, r)
	}
	if err != nil {
		p.failed(now, c, err)
	}
}

func (p *Partition) add(o *op) (Ticket, error) {
	if len(p.pending) >= p.cfg.MaxPending {
		return 0, newError(KindBacklog, "too many changes wait for the object API", nil)
	}
	p.tickets++
	o.ticket = p.tickets
	p.pending = append(p.pending, o)
	return o.ticket, nil
}

// keep keeps the pending operations for which f holds.
func (p *Partition) keep(f func(*op) bool) {
	kept := p.pending[:0]
	for _, o := range p.pending {
		if f(o) {
			kept = append(kept, o)
		}
	}
	clear(p.pending[len(kept):])
	p.pending = kept
}

// dropOverdue fails claims that waited so long, because the process was
// paused, that their records would be removed before the resend window ends.
func (p *Partition) dropOverdue(now time.Time) {
	p.keep(func(o *op) bool {
		if o.record.GetState() != clstate.BookingState_BOOKING_STATE_CLAIMED || now.Sub(o.at) <= clockSlack {
			return true
		}
		p.fail(o, newError(KindUnavailable, "the claim waited too long", nil))
		return false
	})
}

func (p *Partition) fail(o *op, err *Error) {
	e := *err
	e.Sent = o.sent
	p.done = append(p.done, Completion{Ticket: o.ticket, Err: &e})
}

// settle ends the operations that the view answers.
func (p *Partition) settle() {
	if p.view == nil {
		return
	}
	if _, ok := p.view.missing(); ok {
		return
	}
	p.keep(func(o *op) bool {
		f := p.view.lookup(o.key)
		if f.needed {
			return true
		}
		switch p.wants(o, f.record) {
		case changeWrite:
			return true
		case changeNone:
			if o.ticket > p.fresh || p.headStale || p.logStale {
				return true
			}
		}
		c := Completion{Ticket: o.ticket, Record: f.record}
		if f.record == nil && o.record != nil {
			c.Err = newError(KindNotClaimed, "the outcome has no claim", nil)
		}
		p.done = append(p.done, c)
		return false
	})
}

// wants returns what an operation does to the stored record. A lookup changes
// nothing, and only a finished record answers it without a fresh read.
func (p *Partition) wants(o *op, stored *clstate.BookingRecord) change {
	if o.record != nil {
		return changeOf(stored, o.record)
	}
	if stored.GetState() == clstate.BookingState_BOOKING_STATE_DONE {
		return changeFinal
	}
	return changeNone
}

// due returns when to write and when to read for the operations that a write
// does not answer; zero times mean never. A write also confirms the head, so
// no read is needed while one is due.
func (p *Partition) due() (writeAt, readAt time.Time) {
	b := Backlog{LastWrite: p.lastWrite, Flush: p.flush}
	var oldestRead time.Time
	for _, o := range p.pending {
		oldest := &b.OldestClaim
		switch {
		case p.wants(o, p.view.lookup(o.key).record) != changeWrite:
			oldest = &oldestRead
		case isOutcome(o.record):
			oldest = &b.OldestOutcome
		}
		if oldest.IsZero() || o.at.Before(*oldest) {
			*oldest = o.at
		}
	}
	writeAt = p.cfg.Policy.WriteAt(b)
	if !oldestRead.IsZero() {
		readAt = oldestRead
		if next := p.lastRead.Add(p.cfg.Policy.Linger); !p.flush && readAt.Before(next) {
			readAt = next
		}
		if !writeAt.IsZero() && !b.OldestClaim.IsZero() {
			readAt = time.Time{}
		}
	}
	return writeAt, readAt
}

func isOutcome(r *clstate.BookingRecord) bool {
	return r.State == clstate.BookingState_BOOKING_STATE_DONE || r.State == clstate.BookingState_BOOKING_STATE_UNKNOWN
}
