// This file defines the copy of the objects of one kind.

package clmirror

import (
	"bytes"
	"context"
	"encoding/gob"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/clwait"
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

type (
	// Source reads the objects of one kind from the store.
	Source[T any] interface {
		// List returns all objects; the batch's Changes replace what was known.
		// fresh says that they must be the newest ones: others may be seconds
		// old and cost less, and a watch after their cursor brings what they lack.
		List(ctx context.Context, fresh bool) (Batch[T], error)
		// Watch returns the changes after a cursor as soon as there are any,
		// or none after about wait. It returns ErrHistoryGone if the store no
		// longer has them.
		Watch(ctx context.Context, cursor uint64, wait time.Duration) (Batch[T], error)
	}

	// Batch is the outcome of a read.
	Batch[T any] struct {
		Changes []Change[T]
		// Cursor is the store's revision, after which a later watch goes on.
		Cursor uint64
	}

	// Change is an object's new value, or its removal.
	Change[T any] struct {
		Name    string
		Value   T
		Removed bool
		// Revision is the store's revision of the change.
		Revision uint64
		// Why says why an object that is there cannot be used; Removed is then set.
		Why string
	}

	// Mirror keeps a copy of the objects of one kind. Exported fields are set
	// before the Hub that it belongs to runs.
	Mirror[T any] struct {
		Name   string
		Source Source[T]
		// WatchWait is how long a watch waits for a change, and WatchPause the time
		// between two; both bound the age of Confirmed on a calm store.
		WatchWait, WatchPause time.Duration
		// Apply gets each change of the copy, in order; complete says that
		// changes are all objects there are.
		Apply func(changes []Change[T], complete bool)
		// ProbesStore says that this mirror finds out whether the store is back when
		// it was lost, and that the others wait for it.
		ProbesStore bool
		Logger      *zap.Logger

		hub *Replicator

		mu        sync.Mutex
		confirmed time.Time
		cancel    context.CancelFunc
		objects   map[string]T
		listed    bool
		// gone says that the store has dropped history that a watch needed.
		gone bool
		// cursor is the store's revision that the copy has reached, and newest
		// that of its last change.
		cursor, newest uint64
		// sequence counts the changes of the copy; log holds the last ones.
		sequence uint64
		log      []Change[T]
	}

	// Position is how far a follower has got with one reader's copy.
	Position struct {
		// Reader is the reader's start; another one counts anew.
		Reader   uint64
		Sequence uint64
		// Cursor is the store's revision that the copy has reached, and Newest
		// that of its last change.
		Cursor, Newest uint64
	}

	// delta is what a reader sends of one kind.
	delta[T any] struct {
		Changes  []Change[T]
		Complete bool
		Position Position
	}

	// mirror is a Mirror of any kind, as its Hub sees it.
	mirror interface {
		name() string
		run(ctx context.Context)
		attach(h *Replicator)
		// since returns what a follower lacks, or nil if that is nothing.
		since(p Position) ([]byte, error)
		// take applies what a reader has sent.
		take(data []byte) (Position, error)
		position() Position
		Renew()
	}
)

// ErrHistoryGone says that a watch cannot go on and that the objects must be listed again.
var ErrHistoryGone = errors.New("the store has dropped the history; list again")

// errBehind says that a reader knows less than its follower.
var errBehind = errors.New("the reader is behind this copy; read from another one")

const (
	// callSlack is the time that a call may take beyond its wait; the store
	// answers in milliseconds, and in a few hundred when it is slow.
	callSlack = 700 * time.Millisecond
	// firstBackoff and maxBackoff space calls that fail: a store that is back
	// is noticed soon, and the readers together stay far below its rates.
	firstBackoff = 60 * time.Millisecond
	maxBackoff   = 600 * time.Millisecond
	// calm is the least time between two watches, so that a series of changes
	// costs a few calls and not one each.
	calm = 250 * time.Millisecond
	// roleCheck is how often a copy that another gateway feeds asks whether it
	// is to read the store.
	roleCheck = 100 * time.Millisecond
	// loggedChanges bounds the changes that followers can catch up with; those
	// that lack more get the whole copy.
	loggedChanges = 1024
)

// LastConfirmed returns the latest time at which the copy was known to be
// complete, or zero before the first list.
func (m *Mirror[T]) LastConfirmed() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.confirmed
}

// Confirm records that another gateway's copy, which this one follows, was
// complete at a time.
func (m *Mirror[T]) Confirm(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listed && at.After(m.confirmed) {
		m.confirmed = at
	}
}

// Renew abandons a waiting watch, whose connection may have gone silent.
func (m *Mirror[T]) Renew() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cancel != nil {
		m.cancel()
	}
}

func (m *Mirror[T]) name() string { return m.Name }

func (m *Mirror[T]) attach(h *Replicator) { m.hub = h }

// run reads the store until ctx ends, while this gateway is a reader.
func (m *Mirror[T]) run(ctx context.Context) {
	backoff, lost := firstBackoff, false
	for ctx.Err() == nil {
		// While the store does not answer, only the leading mirror asks, as
		// refused calls are priced too.
		if !m.hub.reads() && m.isListed() || !m.ProbesStore && !m.hub.confirmedLately() {
			pause(ctx, roleCheck)
			continue
		}
		sent := clclock.Now()
		batch, complete, err := m.call(ctx)
		if m.ProbesStore && ctx.Err() == nil {
			m.hub.noteStore(err == nil || errors.Is(err, ErrHistoryGone))
		}
		switch {
		case errors.Is(err, ErrHistoryGone):
			m.mu.Lock()
			m.listed, m.gone = false, true
			m.mu.Unlock()
			m.Logger.Info("history is gone, listing again", zap.String("kind", m.Name))
		case err != nil:
			if !lost && ctx.Err() == nil {
				lost = true
				m.Logger.Warn("store lost", zap.String("kind", m.Name), zap.Error(err))
			}
			m.backOff(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
		default:
			if lost {
				m.Logger.Info("store regained", zap.String("kind", m.Name), zap.Uint64("cursor", batch.Cursor))
			}
			m.change(batch.Changes, complete, batch.Cursor, sent)
			backoff, lost = firstBackoff, false
			if len(batch.Changes) > 0 || m.WatchPause > 0 {
				pause(ctx, max(calm, m.WatchPause))
			}
		}
	}
}

// backOff waits after a failed call.
func (m *Mirror[T]) backOff(ctx context.Context, d time.Duration) {
	if m.ProbesStore {
		// The others' watches may hang on connections that have gone silent.
		m.hub.RestartStoreCalls()
	}
	pause(ctx, d)
}

func (m *Mirror[T]) isListed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed
}

func (m *Mirror[T]) call(ctx context.Context) (b Batch[T], complete bool, err error) {
	m.mu.Lock()
	listed, cursor := m.listed, m.cursor
	// The leading mirror's answers confirm that nothing has changed since.
	fresh := m.ProbesStore || m.gone
	limit := callSlack
	if listed {
		limit += m.WatchWait
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	m.cancel = cancel
	m.mu.Unlock()
	defer cancel()
	if !listed {
		b, err = m.Source.List(ctx, fresh)
		return b, true, err
	}
	b, err = m.Source.Watch(ctx, cursor, m.WatchWait)
	return b, false, err
}

// change applies changes to the copy, which was complete at confirmed unless
// that is zero, and passes them on.
func (m *Mirror[T]) change(changes []Change[T], complete bool, cursor uint64, confirmed time.Time) {
	m.mu.Lock()
	if complete || m.objects == nil {
		m.objects = make(map[string]T, len(changes))
	}
	for _, c := range changes {
		if c.Removed {
			delete(m.objects, c.Name)
		} else {
			m.objects[c.Name] = c.Value
		}
		m.newest = max(m.newest, c.Revision)
	}
	m.sequence += uint64(len(changes))
	m.log = append(m.log, changes...)
	if over := len(m.log) - loggedChanges; over > 0 {
		m.log = m.log[over:]
	}
	if complete {
		// Followers cannot tell from the log what a list has left out.
		m.log = nil
		m.sequence++
	}
	m.listed, m.cursor = true, max(cursor, m.cursor)
	if confirmed.After(m.confirmed) {
		m.confirmed = confirmed
	}
	m.mu.Unlock()
	m.Apply(changes, complete)
	if len(changes) > 0 || complete {
		m.hub.notify()
	}
}

func (m *Mirror[T]) position() Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Position{Sequence: m.sequence, Cursor: m.cursor, Newest: m.newest}
}

func (m *Mirror[T]) since(p Position) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.listed {
		return nil, nil
	}
	d := delta[T]{Position: Position{Reader: m.hub.BootID, Sequence: m.sequence, Cursor: m.cursor, Newest: m.newest}}
	lacks := m.sequence - p.Sequence
	switch {
	case p.Reader != m.hub.BootID || p.Sequence > m.sequence || lacks > uint64(len(m.log)):
		d.Complete = true
		for name, v := range maps.All(m.objects) {
			d.Changes = append(d.Changes, Change[T]{Name: name, Value: v})
		}
	case lacks == 0:
		return nil, nil
	default:
		d.Changes = m.log[uint64(len(m.log))-lacks:]
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(d); err != nil {
		return nil, errors.Wrap(err, "encode changes")
	}
	return b.Bytes(), nil
}

func (m *Mirror[T]) take(data []byte) (Position, error) {
	var d delta[T]
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&d); err != nil {
		return Position{}, errors.Wrap(err, "decode changes")
	}
	// A reader that has listed after a removal has no trace of it, but has
	// reached the store's revision of its list.
	if max(d.Position.Newest, d.Position.Cursor) < m.position().Newest {
		return Position{}, errBehind
	}
	m.change(d.Changes, d.Complete, d.Position.Cursor, time.Time{})
	m.mu.Lock()
	// The reader's last change may be a removal that its copy does not show.
	m.newest = max(m.newest, d.Position.Newest)
	m.mu.Unlock()
	return d.Position, nil
}

// pause waits for d; the callers' loops look at ctx themselves.
func pause(ctx context.Context, d time.Duration) { _ = clwait.Pause(ctx, d) }
