// Package clmirror keeps copies of the objects of one kind that lie in the
// platform's store, and knows how recent they are.
package clmirror

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

type (
	// Source reads the objects of one kind.
	Source[T any] interface {
		// List returns all objects; the batch's Changes replace what was known.
		List(ctx context.Context) (Batch[T], error)
		// Watch returns the changes after a cursor as soon as there are any,
		// or none after about wait. It returns ErrHistoryGone if the store no
		// longer has them.
		Watch(ctx context.Context, cursor uint64, wait time.Duration) (Batch[T], error)
	}

	// Batch is the outcome of a read.
	Batch[T any] struct {
		Changes []Change[T]
		// Cursor is where a later watch goes on.
		Cursor uint64
	}

	// Change is an object's new value, or its removal.
	Change[T any] struct {
		Name    string
		Value   T
		Removed bool
		// Err says why an object that is there cannot be used; Removed is then set.
		Err error
	}

	// Mirror follows a Source. Exported fields are set before Run.
	Mirror[T any] struct {
		Name   string
		Source Source[T]
		// Wait is how long a watch waits for a change, which bounds the age of
		// Confirmed on a calm store.
		Wait time.Duration
		// Apply gets each change of the copy, in order; complete says that
		// changes are all objects there are.
		Apply func(changes []Change[T], complete bool)
		// OnFailure, if set, is called after a failed call.
		OnFailure func()
		Logger    *zap.Logger

		mu        sync.Mutex
		confirmed time.Time
		cancel    context.CancelFunc
		ready     chan struct{}
		once      sync.Once
	}
)

// ErrHistoryGone says that a watch cannot go on and that the objects must be listed again.
var ErrHistoryGone = errors.New("the store has dropped the history; list again")

const (
	// callSlack is the time that a call may take beyond its wait; the store
	// answers in milliseconds, and in a few hundred when it is slow.
	callSlack = 900 * time.Millisecond
	// firstBackoff and maxBackoff space calls that fail: a store that is back
	// is noticed soon, and all gateways together stay far below its rates.
	firstBackoff = 60 * time.Millisecond
	maxBackoff   = 500 * time.Millisecond
	// calm is the least time between two watches, so that a series of changes
	// costs a few calls and not one each.
	calm = 40 * time.Millisecond
)

// Run follows the source until ctx ends.
func (m *Mirror[T]) Run(ctx context.Context) {
	m.init()
	var cursor uint64
	backoff, listed, lost := firstBackoff, false, false
	for ctx.Err() == nil {
		sent := clclock.Now()
		batch, err := m.call(ctx, listed, cursor)
		switch {
		case errors.Is(err, ErrHistoryGone):
			listed = false
			m.Logger.Info("history is gone, listing again", zap.String("kind", m.Name), zap.Uint64("cursor", cursor))
		case err != nil:
			if !lost && ctx.Err() == nil {
				lost = true
				m.Logger.Warn("store lost", zap.String("kind", m.Name), zap.Uint64("cursor", cursor), zap.Error(err))
			}
			if m.OnFailure != nil {
				m.OnFailure()
			}
			pause(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
		default:
			if lost {
				m.Logger.Info("store regained", zap.String("kind", m.Name), zap.Uint64("cursor", batch.Cursor))
			}
			m.Apply(batch.Changes, !listed)
			cursor, backoff, listed, lost = batch.Cursor, firstBackoff, true, false
			m.confirm(sent)
			if len(batch.Changes) > 0 {
				pause(ctx, calm)
			}
		}
	}
}

// Confirmed returns the latest time at which the copy was known to be
// complete, or zero before the first list.
func (m *Mirror[T]) Confirmed() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.confirmed
}

// Ready is closed after the first list.
func (m *Mirror[T]) Ready() <-chan struct{} {
	m.init()
	return m.ready
}

// Renew abandons a waiting watch, whose connection may have gone silent.
func (m *Mirror[T]) Renew() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cancel != nil {
		m.cancel()
	}
}

func (m *Mirror[T]) init() { m.once.Do(func() { m.ready = make(chan struct{}) }) }

func (m *Mirror[T]) call(ctx context.Context, listed bool, cursor uint64) (Batch[T], error) {
	limit := callSlack
	if listed {
		limit += m.Wait
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	m.mu.Lock()
	m.cancel = cancel
	m.mu.Unlock()
	if !listed {
		return m.Source.List(ctx)
	}
	return m.Source.Watch(ctx, cursor, m.Wait)
}

// confirm records a call's time of sending: the store answered later, so its
// state was at least that recent.
func (m *Mirror[T]) confirm(sent time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.confirmed.IsZero() {
		close(m.ready)
	}
	m.confirmed = sent
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
