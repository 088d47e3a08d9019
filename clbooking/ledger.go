// This file defines the ledger: all partitions of a service and the way to their writers.

package clbooking

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clstore"
)

const (
	defaultPartitions     = 4
	defaultForwardTimeout = 300 * time.Millisecond
	defaultMaxAnswerBytes = 2 << 10
)

type (
	// Call is a non-repeatable call as the caller sent it.
	Call struct {
		Account        string
		IdempotencyKey string
		Method         string
		Path           string
		Body           []byte
	}

	// Forward sends records to the process that usually writes the partition
	// and returns the stored records of their keys in the same order. ok is
	// false if this process is to write itself. After an error the records may
	// still be stored.
	Forward func(ctx context.Context, partition uint32, records []*clstate.BookingRecord) (stored []*clstate.BookingRecord, ok bool, err error)

	// Ledger keeps the booking records of one service. The exported fields are
	// set before Run; operations wait until Run is running.
	Ledger struct {
		// Config holds the settings of each partition; Config.Partition is ignored.
		Config PartitionConfig
		// Partitions is the number of partitions, which must never change; 0 means 4.
		Partitions uint32
		Store      clstore.Store
		// Forward is the way to other writers; nil means that this process writes itself.
		Forward Forward
		// ForwardTimeout bounds each call of Forward; 0 means 300 ms.
		ForwardTimeout time.Duration
		// MaxAnswerBytes is the longest answer body that is kept; 0 means 2 KB.
		MaxAnswerBytes int
		// CallTimeout bounds each call of the store; 0 means 1 s.
		CallTimeout time.Duration
		// Now returns the time; nil means time.Now.
		Now func() time.Time

		once     sync.Once
		writers  []*Writer
		mu       sync.Mutex
		outcomes []*clstate.BookingRecord
		// sending counts outcomes taken for forwarding; changed is closed when one is stored or queued.
		sending int
		changed chan struct{}
	}
)

// NewRecord returns the claim of an attempt at a call, or an Error of
// KindExpired or KindFuture if its key may not be used. attemptID must be
// unique, see AttemptIDs; holder is the address of this process's peer listener.
func (l *Ledger) NewRecord(c Call, attemptID, holder string) (*clstate.BookingRecord, error) {
	l.init()
	now := l.Now()
	if err := CheckKeyAge(c.IdempotencyKey, now, l.window()); err != nil {
		return nil, err
	}
	key := KeyOf(c.Account, l.Config.Service, c.IdempotencyKey)
	return &clstate.BookingRecord{
		Key: key[:], BodyDigest: BodyDigest(c.Method, c.Path, c.Body), AttemptId: attemptID, Holder: holder,
		State: clstate.BookingState_BOOKING_STATE_CLAIMED, ClaimedUnixMs: now.UnixMilli(),
	}, nil
}

// Begin claims the key of an attempt, once for each attempt. The caller may
// send the call, once, only after VerdictProceed; the stored record is
// returned with every verdict. After an error the call is not run: the
// attempt is withdrawn, and the caller must not send it.
func (l *Ledger) Begin(ctx context.Context, r *clstate.BookingRecord) (Verdict, *clstate.BookingRecord, error) {
	stored, err := l.Claim(ctx, r)
	var e *Error
	if errors.As(err, &e) && e.Sent {
		// The claim may still take effect and would block the key for the
		// window. If the withdrawal does not fit either, resends get "unknown".
		_ = l.writer(keyOf(r)).Enqueue(withState(r, clstate.BookingState_BOOKING_STATE_RELEASED, nil))
	}
	if err != nil {
		return VerdictUnknown, nil, err
	}
	return Judge(r, stored), stored, nil
}

// Claim claims the record's key through the partition's usual writer, or
// writes itself if that fails, and returns the stored record.
func (l *Ledger) Claim(ctx context.Context, r *clstate.BookingRecord) (*clstate.BookingRecord, error) {
	if err := check(r); err != nil {
		return nil, err
	}
	return l.store(ctx, r)
}

// Finish stores the outcome of an attempt, done with an answer or unknown
// without one, and returns before it is written. Flush waits for it.
func (l *Ledger) Finish(r *clstate.BookingRecord, state clstate.BookingState, a *clstate.BookingAnswer) error {
	l.init()
	if a != nil && len(a.Body) > l.MaxAnswerBytes {
		a = &clstate.BookingAnswer{Status: a.Status, ContentType: a.ContentType, Omitted: true}
	}
	r = withState(r, state, a)
	if err := check(r); err != nil {
		return err
	}
	if l.Forward == nil {
		return l.writer(keyOf(r)).Enqueue(r)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.outcomes) >= defaultMaxPending {
		return newError(KindBacklog, "too many outcomes wait to be sent", nil)
	}
	l.outcomes = append(l.outcomes, r)
	return nil
}

// Release withdraws the claim of an attempt. The caller promises that no byte
// of the call was sent and that none will be.
func (l *Ledger) Release(ctx context.Context, r *clstate.BookingRecord) error {
	_, err := l.store(ctx, withState(r, clstate.BookingState_BOOKING_STATE_RELEASED, nil))
	return err
}

// Lookup returns the current record of a key, or nil if there is none.
func (l *Ledger) Lookup(ctx context.Context, key Key) (*clstate.BookingRecord, error) {
	return l.writer(key).Lookup(ctx, key)
}

// Apply stores the records that another process sent for a partition and
// returns the stored records of their keys in the same order. After an error
// some may still be stored, and the sender writes itself.
func (l *Ledger) Apply(ctx context.Context, partition uint32, records []*clstate.BookingRecord) ([]*clstate.BookingRecord, error) {
	l.init()
	for _, r := range records {
		if err := check(r); err != nil {
			return nil, err
		}
		if n := uint32(len(l.writers)); PartitionOf(keyOf(r), n) != partition {
			return nil, newError(KindInvalid, fmt.Sprintf("the key is not in partition %d of %d", partition, n), nil)
		}
	}
	return l.writers[partition].Submit(ctx, records...)
}

// Run writes and forwards until ctx ends. Call Flush before to keep no change back.
func (l *Ledger) Run(ctx context.Context) error {
	l.init()
	g, ctx := errgroup.WithContext(ctx)
	for _, w := range l.writers {
		g.Go(func() error { return w.Run(ctx) })
	}
	g.Go(func() error { return l.loop(ctx) })
	return g.Wait()
}

// Flush stores all waiting changes without delay; call it before Run's context ends.
func (l *Ledger) Flush(ctx context.Context) error {
	l.init()
	l.mu.Lock()
	waiting := l.outcomes
	l.outcomes = nil
	l.mu.Unlock()
	// The usual writer has the state of the partition; this process would have to read it first.
	if err := l.forwardOutcomes(ctx, waiting); err != nil {
		return err
	}
	if err := l.sent(ctx); err != nil {
		return err
	}
	g, ctx := errgroup.WithContext(ctx)
	for _, w := range l.writers {
		g.Go(func() error { return w.Flush(ctx) })
	}
	return g.Wait()
}

// Counts returns the sum of the calls of this process for all partitions.
func (l *Ledger) Counts() Counts {
	l.init()
	var sum Counts
	for _, w := range l.writers {
		c := w.Counts()
		sum.Reads += c.Reads
		sum.Writes += c.Writes
		sum.WrittenBytes += c.WrittenBytes
		sum.Claims += c.Claims
	}
	return sum
}

func (l *Ledger) init() {
	l.once.Do(func() {
		if l.Now == nil {
			l.Now = time.Now
		}
		if l.Partitions == 0 {
			l.Partitions = defaultPartitions
		}
		if l.ForwardTimeout == 0 {
			l.ForwardTimeout = defaultForwardTimeout
		}
		if l.MaxAnswerBytes == 0 {
			l.MaxAnswerBytes = defaultMaxAnswerBytes
		}
		l.changed = make(chan struct{})
		for i := range l.Partitions {
			cfg := l.Config
			cfg.Partition = i
			l.writers = append(l.writers, &Writer{Config: cfg, Store: l.Store, CallTimeout: l.CallTimeout, Now: l.Now})
		}
	})
}

func (l *Ledger) window() time.Duration {
	if l.Config.Window == 0 {
		return defaultWindow
	}
	return l.Config.Window
}

func (l *Ledger) writer(key Key) *Writer {
	l.init()
	return l.writers[PartitionOf(key, l.Partitions)]
}

// store stores a change through the usual writer, or by itself.
func (l *Ledger) store(ctx context.Context, r *clstate.BookingRecord) (*clstate.BookingRecord, error) {
	l.init()
	forwarded, sent := l.forward(ctx, PartitionOf(keyOf(r), l.Partitions), r)
	if forwarded != nil {
		return forwarded[0], nil
	}
	stored, err := l.writer(keyOf(r)).Submit(ctx, r)
	var e *Error
	if errors.As(err, &e) {
		e.Sent = e.Sent || sent
	}
	if err != nil {
		return nil, err
	}
	return stored[0], nil
}

// forward returns the stored records of a whole answer, or nil; sent says
// that the records may have reached a writer.
func (l *Ledger) forward(ctx context.Context, partition uint32, records ...*clstate.BookingRecord) (_ []*clstate.BookingRecord, sent bool) {
	if l.Forward == nil {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(ctx, l.ForwardTimeout)
	defer cancel()
	stored, ok, err := l.Forward(ctx, partition, records)
	if err != nil || !ok || len(stored) != len(records) {
		return nil, ok || err != nil
	}
	for i, r := range records {
		if check(stored[i]) != nil || keyOf(stored[i]) != keyOf(r) {
			return nil, true
		}
	}
	return stored, true
}

// loop forwards outcomes; what is not confirmed goes to this process's writer.
func (l *Ledger) loop(ctx context.Context) error {
	ticker := time.NewTicker(defaultOutcomeDelay / 2)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		l.mu.Lock()
		records := l.outcomes
		l.outcomes, l.sending = nil, len(records)
		l.mu.Unlock()
		if len(records) == 0 {
			continue
		}
		// A full backlog drops outcomes; their resends then get "unknown", which is true.
		_ = l.forwardOutcomes(ctx, records)
		l.mu.Lock()
		l.sending = 0
		close(l.changed)
		l.changed = make(chan struct{})
		l.mu.Unlock()
	}
}

// forwardOutcomes sends outcomes to the usual writers. Those that are not
// confirmed go to this process's writers, and the error is that of one of them.
func (l *Ledger) forwardOutcomes(ctx context.Context, records []*clstate.BookingRecord) error {
	byPartition := map[uint32][]*clstate.BookingRecord{}
	for _, r := range records {
		n := PartitionOf(keyOf(r), l.Partitions)
		byPartition[n] = append(byPartition[n], r)
	}
	var g errgroup.Group
	for n, records := range byPartition {
		g.Go(func() error {
			if stored, _ := l.forward(ctx, n, records...); stored != nil {
				return nil
			}
			var err error
			for _, r := range records {
				if e := l.writers[n].Enqueue(r); e != nil {
					err = e
				}
			}
			return err
		})
	}
	return g.Wait()
}

// sent waits until no outcome is being forwarded.
func (l *Ledger) sent(ctx context.Context) error {
	for {
		l.mu.Lock()
		sending, changed := l.sending, l.changed
		l.mu.Unlock()
		if sending == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return newError(KindUnavailable, "outcomes are still being sent", ctx.Err())
		}
	}
}

func withState(r *clstate.BookingRecord, state clstate.BookingState, a *clstate.BookingAnswer) *clstate.BookingRecord {
	c := proto.CloneOf(r)
	c.State, c.Answer = state, a
	return c
}
