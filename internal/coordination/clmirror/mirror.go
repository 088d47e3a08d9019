// This file defines the mirror of the store's objects of one kind.

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
		// List returns all objects; the batch replaces the previous copy. With
		// fresh, the objects must be current. Otherwise they may be seconds old,
		// which costs less; a watch from the batch's cursor returns later changes.
		List(ctx context.Context, fresh bool) (Batch[T], error)
		// Watch returns the changes after cursor as soon as there are any, or an
		// empty batch after about wait. It returns ErrHistoryGone if the store no
		// longer has the changes after cursor.
		Watch(ctx context.Context, cursor uint64, wait time.Duration) (Batch[T], error)
	}

	// Batch is the result of a list or a watch.
	Batch[T any] struct {
		Changes []Change[T]
		// Cursor is the store revision from which the next watch continues.
		Cursor uint64
	}

	// Change is a new value of an object, or its removal.
	Change[T any] struct {
		Name    string
		Value   T
		Removed bool
		// Revision is the store revision of the change.
		Revision uint64
		// Why is the reason why an existing object cannot be used. Such an object
		// counts as removed: Removed is set as well.
		Why string
	}

	// Mirror keeps a copy of the store's objects of one kind. Exported fields
	// must be set before the Replicator that it belongs to runs.
	Mirror[T any] struct {
		Name   string
		Source Source[T]
		// WatchWait is how long a watch waits for a change, and WatchPause the
		// pause before the next one. Their sum limits the age of LastConfirmed
		// while nothing changes in the store.
		WatchWait, WatchPause time.Duration
		// Apply is called with each change of the copy, in order. If complete is
		// set, changes holds all existing objects.
		Apply func(changes []Change[T], complete bool)
		// ProbesStore makes this mirror's calls decide whether the store is lost.
		// It goes on calling a lost store; the other mirrors wait until it succeeds.
		ProbesStore bool
		Logger      *zap.Logger

		replicator *Replicator

		mu            sync.Mutex
		lastConfirmed time.Time
		// cancelCall cancels the store call in progress.
		cancelCall context.CancelFunc
		objects    map[string]T
		listed     bool
		// historyGone is set once the store has dropped changes that a watch needed.
		historyGone bool
		// cursor is the store revision that the copy has reached, and
		// newestRevision that of the last change in it.
		cursor, newestRevision uint64
		// sequence counts the changes of the copy; changeLog holds the last ones.
		sequence  uint64
		changeLog []Change[T]
	}

	// Position is a follower's position in the changes of a reader's mirror.
	Position struct {
		// Reader is the reader's BootID; Sequence starts again with each boot.
		Reader   uint64
		Sequence uint64
		// Cursor is the store revision that the copy has reached, and Newest
		// that of the last change in it.
		Cursor, Newest uint64
	}

	// delta holds the changes of one mirror that a reader sends to a follower. If
	// Complete is set, Changes holds all existing objects.
	delta[T any] struct {
		Changes  []Change[T]
		Complete bool
		Position Position
	}

	// anyMirror is a Mirror of any type, as its Replicator uses it.
	anyMirror interface {
		name() string
		run(ctx context.Context)
		attach(r *Replicator)
		// changesSince returns the encoded delta that a follower at p lacks, or nil
		// if it lacks nothing.
		changesSince(p Position) ([]byte, error)
		// applyDelta applies an encoded delta and returns the position it leads to.
		// It returns errReaderBehind if the reader's copy is older than this one.
		applyDelta(data []byte) (Position, error)
		position() Position
		RestartWatch()
	}
)

// ErrHistoryGone is returned by Source.Watch if the store no longer has the
// changes after the cursor, so that all objects must be listed again.
var ErrHistoryGone = errors.New("the store no longer has the changes after the cursor; list all objects again")

// errReaderBehind is returned if a reader's copy is older than its follower's.
var errReaderBehind = errors.New("the copy of the reader is older than this one; follow another reader")

const (
	// callTimeoutMargin is the time that a call may take beyond its wait. The
	// store answers within milliseconds, and within a few hundred when it is slow.
	callTimeoutMargin = 700 * time.Millisecond
	// firstBackoff and maxBackoff limit the backoff after failed calls. It is
	// short so that a recovered store is noticed soon, and long enough that all
	// readers together stay far below the store's rate limits.
	firstBackoff = 60 * time.Millisecond
	maxBackoff   = 600 * time.Millisecond
	// minWatchPause is the minimum pause after a watch that returned changes, so
	// that a series of changes costs a few calls and not one each.
	minWatchPause = 250 * time.Millisecond
	// roleCheckInterval is how often a mirror that does not read the store checks
	// whether it has to; also the pause after a failed request to a reader.
	roleCheckInterval = 100 * time.Millisecond
	// maxLoggedChanges is the number of changes kept for followers; a follower
	// that lacks more receives the complete copy.
	maxLoggedChanges = 1024
)

// LastConfirmed returns the latest time at which the copy was known to be
// complete, or zero before the first list.
func (m *Mirror[T]) LastConfirmed() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastConfirmed
}

// Confirm records that the reader's copy, which this one follows, was complete
// at the given time.
func (m *Mirror[T]) Confirm(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listed && at.After(m.lastConfirmed) {
		m.lastConfirmed = at
	}
}

// RestartWatch cancels the store call in progress, whose connection may have
// stopped delivering data; run then calls again.
func (m *Mirror[T]) RestartWatch() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cancelCall != nil {
		m.cancelCall()
	}
}

func (m *Mirror[T]) name() string { return m.Name }

func (m *Mirror[T]) attach(r *Replicator) { m.replicator = r }

// run reads the store until ctx ends, while this gateway is a reader.
func (m *Mirror[T]) run(ctx context.Context) {
	backoff, failing := firstBackoff, false
	for ctx.Err() == nil {
		// While the store does not answer, only the mirror with ProbesStore calls
		// it, because refused calls are charged too.
		if !m.replicator.readsStore() && m.isListed() || !m.ProbesStore && !m.replicator.recentlyConfirmed() {
			pause(ctx, roleCheckInterval)
			continue
		}
		sent := clclock.Now()
		batch, complete, err := m.readStore(ctx)
		if m.ProbesStore && ctx.Err() == nil {
			m.replicator.recordStoreCall(err == nil || errors.Is(err, ErrHistoryGone))
		}
		switch {
		case errors.Is(err, ErrHistoryGone):
			m.mu.Lock()
			m.listed, m.historyGone = false, true
			m.mu.Unlock()
			m.Logger.Info("store dropped the watch history, listing all objects", zap.String("kind", m.Name))
		case err != nil:
			if !failing && ctx.Err() == nil {
				failing = true
				m.Logger.Warn("store lost", zap.String("kind", m.Name), zap.Error(err))
			}
			m.backOff(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
		default:
			if failing {
				m.Logger.Info("store reachable again", zap.String("kind", m.Name), zap.Uint64("cursor", batch.Cursor))
			}
			m.applyChanges(batch.Changes, complete, batch.Cursor, sent)
			backoff, failing = firstBackoff, false
			if len(batch.Changes) > 0 || m.WatchPause > 0 {
				pause(ctx, max(minWatchPause, m.WatchPause))
			}
		}
	}
}

// backOff waits after a failed call.
func (m *Mirror[T]) backOff(ctx context.Context, d time.Duration) {
	if m.ProbesStore {
		// Watches of the other mirrors may hang on connections that have stopped
		// delivering data.
		m.replicator.RestartStoreCalls()
	}
	pause(ctx, d)
}

func (m *Mirror[T]) isListed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listed
}

// readStore lists all objects, which makes the batch complete, or watches if the
// copy has been listed.
func (m *Mirror[T]) readStore(ctx context.Context) (b Batch[T], complete bool, err error) {
	m.mu.Lock()
	listed, cursor := m.listed, m.cursor
	// Answers to the mirror with ProbesStore confirm that the copy is current, and
	// a stale list after ErrHistoryGone could lead to the same error again.
	fresh := m.ProbesStore || m.historyGone
	limit := callTimeoutMargin
	if listed {
		limit += m.WatchWait
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	m.cancelCall = cancel
	m.mu.Unlock()
	defer cancel()
	if !listed {
		b, err = m.Source.List(ctx, fresh)
		return b, true, err
	}
	b, err = m.Source.Watch(ctx, cursor, m.WatchWait)
	return b, false, err
}

// applyChanges applies changes to the copy, passes them to Apply and wakes the
// followers. confirmed is the time at which the copy was complete, or zero if
// that is not known.
func (m *Mirror[T]) applyChanges(changes []Change[T], complete bool, cursor uint64, confirmed time.Time) {
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
		m.newestRevision = max(m.newestRevision, c.Revision)
	}
	m.sequence += uint64(len(changes))
	m.changeLog = append(m.changeLog, changes...)
	if excess := len(m.changeLog) - maxLoggedChanges; excess > 0 {
		m.changeLog = m.changeLog[excess:]
	}
	if complete {
		// The log does not show the removals that a list implies, so that
		// followers need the complete copy.
		m.changeLog = nil
		m.sequence++
	}
	m.listed, m.cursor = true, max(cursor, m.cursor)
	if confirmed.After(m.lastConfirmed) {
		m.lastConfirmed = confirmed
	}
	m.mu.Unlock()
	m.Apply(changes, complete)
	if len(changes) > 0 || complete {
		m.replicator.notifyFollowers()
	}
}

func (m *Mirror[T]) position() Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Position{Sequence: m.sequence, Cursor: m.cursor, Newest: m.newestRevision}
}

func (m *Mirror[T]) changesSince(p Position) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.listed {
		return nil, nil
	}
	d := delta[T]{Position: Position{Reader: m.replicator.BootID, Sequence: m.sequence, Cursor: m.cursor, Newest: m.newestRevision}}
	missing := m.sequence - p.Sequence
	switch {
	case p.Reader != m.replicator.BootID || p.Sequence > m.sequence || missing > uint64(len(m.changeLog)):
		d.Complete = true
		for name, v := range maps.All(m.objects) {
			d.Changes = append(d.Changes, Change[T]{Name: name, Value: v})
		}
	case missing == 0:
		return nil, nil
	default:
		d.Changes = m.changeLog[uint64(len(m.changeLog))-missing:]
	}
	var b bytes.Buffer
	if err := gob.NewEncoder(&b).Encode(d); err != nil {
		return nil, errors.Wrap(err, "encode changes")
	}
	return b.Bytes(), nil
}

func (m *Mirror[T]) applyDelta(data []byte) (Position, error) {
	var d delta[T]
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&d); err != nil {
		return Position{}, errors.Wrap(err, "decode changes")
	}
	// A reader that listed after a removal has no record of the removal, so that
	// its Newest may be lower; its Cursor is the store revision of the list.
	if max(d.Position.Newest, d.Position.Cursor) < m.position().Newest {
		return Position{}, errReaderBehind
	}
	m.applyChanges(d.Changes, d.Complete, d.Position.Cursor, time.Time{})
	m.mu.Lock()
	// The reader's last change may be a removal, which a complete copy does not
	// contain.
	m.newestRevision = max(m.newestRevision, d.Position.Newest)
	m.mu.Unlock()
	return d.Position, nil
}

// pause waits for d or until ctx ends, which callers check for themselves.
func pause(ctx context.Context, d time.Duration) { _ = clwait.Pause(ctx, d) }
