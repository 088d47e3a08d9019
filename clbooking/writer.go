// This file defines the shell that runs the core of one partition.

package clbooking

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clstore"
)

const defaultCallTimeout = time.Second

// Writer runs one partition against a store. The exported fields are set
// before Run; operations wait until Run is running. Any number of processes
// may run a Writer of the same partition.
type Writer struct {
	Config PartitionConfig
	// Store should implement clstore.Deleter; without it expired segments stay in the store.
	Store clstore.Store
	// CallTimeout bounds each call of the store; 0 means 1 s.
	CallTimeout time.Duration
	// Now returns the time; nil means time.Now.
	Now func() time.Time

	once    sync.Once
	mu      sync.Mutex
	core    *Partition
	waiting map[Ticket]chan Completion
	wake    chan struct{}
	idle    chan struct{}
}

// Run executes the partition's calls until ctx ends. Call Flush before to keep no change back.
func (w *Writer) Run(ctx context.Context) error {
	w.init()
	for ctx.Err() == nil {
		w.mu.Lock()
		now := w.Now()
		step := w.core.Next(now)
		w.complete()
		w.mu.Unlock()
		if step.Action == ActionWait {
			w.wait(ctx, now, step.Until)
			continue
		}
		r := w.call(ctx, step)
		w.mu.Lock()
		w.core.Deliver(w.Now(), r)
		w.complete()
		w.mu.Unlock()
	}
	return nil
}

// Submit stores changes and returns the stored records of their keys in the
// same order. After an error, changes may still take effect.
func (w *Writer) Submit(ctx context.Context, records ...*clstate.BookingRecord) ([]*clstate.BookingRecord, error) {
	w.init()
	tickets := make([]Ticket, 0, len(records))
	chans := make([]chan Completion, 0, len(records))
	w.mu.Lock()
	for _, r := range records {
		t, err := w.core.Submit(w.Now(), r)
		if err != nil {
			w.mu.Unlock()
			return nil, w.abandon(tickets, err)
		}
		tickets, chans = append(tickets, t), append(chans, w.await(t))
	}
	w.mu.Unlock()
	w.signal()
	stored := make([]*clstate.BookingRecord, 0, len(records))
	for _, ch := range chans {
		c, err := receive(ctx, ch)
		if err != nil {
			return nil, w.abandon(tickets, err)
		}
		stored = append(stored, c.Record)
	}
	return stored, nil
}

// Enqueue stores a change without waiting for it.
func (w *Writer) Enqueue(r *clstate.BookingRecord) error {
	w.init()
	w.mu.Lock()
	_, err := w.core.Submit(w.Now(), r)
	w.mu.Unlock()
	w.signal()
	return err
}

// Lookup returns the current record of a key, or nil if there is none.
func (w *Writer) Lookup(ctx context.Context, key Key) (*clstate.BookingRecord, error) {
	w.init()
	w.mu.Lock()
	t, err := w.core.Lookup(w.Now(), key)
	if err != nil {
		w.mu.Unlock()
		return nil, err
	}
	ch := w.await(t)
	w.mu.Unlock()
	w.signal()
	c, err := receive(ctx, ch)
	if err != nil {
		return nil, w.abandon([]Ticket{t}, err)
	}
	return c.Record, nil
}

// Flush writes all waiting changes without delay and returns when none is
// left or ctx ends.
func (w *Writer) Flush(ctx context.Context) error {
	w.init()
	w.flush(true)
	defer w.flush(false)
	for {
		w.mu.Lock()
		pending, idle := w.core.Pending(), w.idle
		w.mu.Unlock()
		if pending == 0 {
			return nil
		}
		w.signal()
		select {
		case <-idle:
		case <-ctx.Done():
			return newError(KindUnavailable, "changes still wait for the object API", ctx.Err())
		}
	}
}

// Counts returns the calls so far.
func (w *Writer) Counts() Counts {
	w.init()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.core.Counts()
}

func (w *Writer) init() {
	w.once.Do(func() {
		if w.Now == nil {
			w.Now = time.Now
		}
		if w.CallTimeout == 0 {
			w.CallTimeout = defaultCallTimeout
		}
		w.core = NewPartition(w.Config)
		w.waiting = map[Ticket]chan Completion{}
		w.wake = make(chan struct{}, 1)
		w.idle = make(chan struct{})
	})
}

func (w *Writer) flush(on bool) {
	w.mu.Lock()
	w.core.Flush(on)
	w.mu.Unlock()
}

func (w *Writer) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// await registers a waiter; mu is held.
func (w *Writer) await(t Ticket) chan Completion {
	ch := make(chan Completion, 1)
	w.waiting[t] = ch
	return ch
}

// complete hands ended operations to their waiters; mu is held.
func (w *Writer) complete() {
	for _, c := range w.core.Completed() {
		if ch := w.waiting[c.Ticket]; ch != nil {
			ch <- c
			delete(w.waiting, c.Ticket)
		}
	}
	if w.core.Pending() == 0 {
		close(w.idle)
		w.idle = make(chan struct{})
	}
}

// abandon forgets the operations that have not ended and returns err, marked
// if a change of theirs may still take effect.
func (w *Writer) abandon(tickets []Ticket, err error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	sent := false
	for _, t := range tickets {
		if w.waiting[t] != nil {
			delete(w.waiting, t)
			sent = w.core.Cancel(t) || sent
		}
	}
	var e *Error
	if !errors.As(err, &e) {
		return err
	}
	marked := *e
	marked.Sent = marked.Sent || sent
	return &marked
}

// receive returns an ended operation. One that has ended counts even if ctx has too.
func receive(ctx context.Context, ch chan Completion) (Completion, error) {
	select {
	case c := <-ch:
		return c, c.Err
	default:
	}
	select {
	case c := <-ch:
		return c, c.Err
	case <-ctx.Done():
		return Completion{}, newError(KindUnavailable, "the claim, outcome or lookup was not answered in time", ctx.Err())
	}
}

// wait returns when ctx ends, at until (zero: never), or on a signal.
func (w *Writer) wait(ctx context.Context, now, until time.Time) {
	var timeout <-chan time.Time
	if !until.IsZero() {
		t := time.NewTimer(until.Sub(now))
		defer t.Stop()
		timeout = t.C
	}
	select {
	case <-ctx.Done():
	case <-timeout:
	case <-w.wake:
	}
}

// call executes one step. It outlives ctx by up to CallTimeout, because an
// abandoned update has an unknown outcome.
func (w *Writer) call(ctx context.Context, s Step) Result {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.CallTimeout)
	defer cancel()
	var r Result
	var err error
	switch s.Action {
	case ActionRead:
		r.Object, err = w.Store.Get(ctx, s.Name)
	case ActionUpdate:
		r.Version, err = w.Store.Update(ctx, s.Name, s.Value, s.IfVersion)
	case ActionDelete:
		if d, ok := w.Store.(clstore.Deleter); ok {
			err = d.Delete(ctx, s.Name, s.IfVersion)
		}
	}
	r.Kind = clstore.KindOf(err)
	return r
}
