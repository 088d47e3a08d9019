// This file defines the mirror, which copies the store's objects of one kind.

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
		// List returns all objects; they replace the previous copy. If fresh is
		// set, the objects must be current. Otherwise they may be seconds old,
		// which costs less; a watch from the batch's Cursor returns later changes.
		List(ctx context.Context, fresh bool) (Batch[T], error)
		// Watch returns the changes after the store revision cursor as soon as
		// there are any, or a batch without changes after about wait. It returns
		// ErrHistoryGone if the store no longer has the changes after cursor.
		Watch(ctx context.Context, cursor uint64, wait time.Duration) (Batch[T], error)
	}

	// Batch is the result of a list or a watch.
	Batch[T any] struct {
		// Changes holds all existing objects after a list, and the changes in
		// their order after a watch.
		Changes []Change[T]
		// Cursor is the store revision from which the next watch continues.
		Cursor uint64
	}

	// Change is a new value of an object, or its removal.
	Change[T any] struct {
		// Name identifies the object among those of its kind.
		Name string
		// Value must not be used if Removed is set.
		Value   T
		Removed bool
		// Revision is the store revision of the change. It is 0 in a complete copy
		// from a reader.
		Revision uint64
		// Why is the reason why an existing object cannot be used, or empty. Such
		// an object counts as removed: Removed is set as well.
		Why string
	}

	// Mirror keeps a copy of the store's objects of one kind. Exported fields
	// must be set before the Replicator that it belongs to runs.
	Mirror[T any] struct {
		// Name identifies the kind of objects. It must be the same on all gateways,
		// which exchange changes under it.
		Name   string
		Source Source[T]
		// WatchWait is how long a watch waits for a change, and WatchPause is the
		// pause before the next watch. While nothing changes in the store, the time
		// since LastConfirmed grows to twice WatchWait and once WatchPause, plus the
		// time that the calls take to be sent and answered.
		WatchWait, WatchPause time.Duration
		// Apply is called with the changes of the copy, in order; changes may be
		// empty. If complete is set, changes holds all existing objects.
		Apply func(changes []Change[T], complete bool)
		// ProbesStore makes the outcome of this mirror's calls decide whether the
		// store is lost. A Replicator has one such mirror: it goes on calling a lost
		// store, and the other mirrors wait until its copy is confirmed again. Its
		// lists are fresh, so that they confirm the copy.
		ProbesStore bool
		Logger      *zap.Logger

		// replicator is the Replicator that this mirror belongs to; Add sets it.
		replicator *Replicator

		mu            sync.Mutex
		lastConfirmed time.Time
		// cancelCall cancels the latest store call. It is nil before the first call
		// and has no effect once the call has ended.
		cancelCall context.CancelFunc
		// objects is the copy, by object name.
		objects map[string]T
		// listed is set while the copy holds all objects of a list, from the store
		// or from a reader, and the changes since; a watch can then continue from
		// cursor.
		listed bool
		// historyGone is set once the store has dropped changes that a watch needed.
		historyGone bool
		// cursor is the store revision that the copy has reached, and
		// newestRevision is the revision of the last change in the copy.
		cursor, newestRevision uint64
		// sequence is the number of changes that the copy has received so far; a
		// list counts as one more. changeLog holds the most recent of these changes,
		// the oldest first, at most maxLoggedChanges and none from before the last
		// list. A follower that lacks only logged changes receives just the changes
		// that it lacks, not the complete copy.
		sequence  uint64
		changeLog []Change[T]
	}

	// Position is a position in the changes of a mirror: the one that a follower
	// has reached in a reader's mirror, or a mirror's own. It is zero if a follower
	// has received nothing yet.
	Position struct {
		// Reader is the BootID of the reader. Sequence starts again with each boot
		// of the reader.
		Reader uint64
		// Sequence is the number of changes of the mirror up to this position.
		Sequence uint64
		// Cursor is the store revision that the mirror's copy has reached, and
		// Newest is the revision of the last change in that copy.
		Cursor, Newest uint64
	}

	// delta holds the changes of one mirror that a reader sends to a follower. If
	// Complete is set, Changes holds all existing objects.
	delta[T any] struct {
		Changes  []Change[T]
		Complete bool
		// Position is the reader's position, which the follower reaches by
		// applying Changes.
		Position Position
	}

	// anyMirror is a Mirror of objects of any type, as its Replicator uses it.
	anyMirror interface {
		name() string
		// run reads the store until ctx ends.
		run(ctx context.Context)
		// attach sets the Replicator that the mirror belongs to.
		attach(r *Replicator)
		// changesSince returns the encoded delta that a follower at p lacks. It
		// returns nil if the follower lacks nothing, or if this mirror itself has no
		// complete copy, listed from the store or received from a reader.
		changesSince(p Position) ([]byte, error)
		// applyDelta applies an encoded delta and returns the reader's position
		// that the copy has thereby reached. It returns errReaderBehind, and applies
		// nothing, if the reader's copy is older than this one.
		applyDelta(data []byte) (Position, error)
		// position returns the position of this mirror's own copy; its Reader is 0.
		position() Position
		// RestartStoreCall cancels the store call in progress.
		RestartStoreCall()
	}
)

// ErrHistoryGone is returned by Source.Watch if the store no longer has the
// changes after the cursor, so that all objects must be listed again.
var ErrHistoryGone = errors.New("the store no longer has the changes after the cursor; list all objects again")

// errReaderBehind is returned by applyDelta if the reader's copy is older than the
// follower's.
var errReaderBehind = errors.New("the reader's copy is older than the follower's; request its changes again later")

const (
	// callTimeoutMargin is the time that a list may take, and that a watch may
	// take beyond WatchWait. The store answers within milliseconds, and within a
	// few hundred milliseconds when it is slow.
	callTimeoutMargin = 700 * time.Millisecond
	// firstBackoff and maxBackoff are the bounds of the backoff, which doubles with
	// each failed store call. The pause after a failed call is the backoff varied
	// at random by up to half, so that it may lie outside these bounds. The bounds
	// are short so that a mirror soon notices that the store has recovered, and
	// long enough that all gateways that read the store stay far below its rate
	// limits together.
	firstBackoff = 60 * time.Millisecond
	maxBackoff   = 600 * time.Millisecond
	// minWatchPause is the minimum pause after a call that returned changes, so
	// that a series of changes costs a few calls and not one each. It is also the
	// minimum of a WatchPause above 0.
	minWatchPause = 250 * time.Millisecond
	// roleCheckInterval is how often a mirror that must not call the store checks
	// whether it may, and how often a Replicator whose gateway reads the store
	// checks whether it is to follow a reader. It is also how long a follower pauses
	// after a request to a reader failed, or after the reader's copy was older than
	// the follower's.
	roleCheckInterval = 100 * time.Millisecond
	// maxLoggedChanges is the length to which changeLog is cut. A follower that
	// lacks more changes receives the complete copy.
	maxLoggedChanges = 1024
)

// LastConfirmed returns the latest time as of which the copy was confirmed to be
// current, or zero before that. Lists of mirrors without ProbesStore may be
// seconds old when they count as a confirmation.
func (m *Mirror[T]) LastConfirmed() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastConfirmed
}

// Confirm records that this mirror's copy is at least as recent as a reader's copy
// that was current at the given time. It has no effect while this mirror has no
// complete copy, listed from the store or received from a reader.
func (m *Mirror[T]) Confirm(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listed && at.After(m.lastConfirmed) {
		m.lastConfirmed = at
	}
}

// RestartStoreCall cancels the list or watch in progress, whose connection may
// have stopped delivering data. The mirror then backs off as after a failed call,
// and calls again if it is still to read the store.
func (m *Mirror[T]) RestartStoreCall() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cancelCall != nil {
		m.cancelCall()
	}
}

func (m *Mirror[T]) name() string { return m.Name }

func (m *Mirror[T]) attach(r *Replicator) { m.replicator = r }

// run lists and watches the objects in the store until ctx ends. It calls the
// store while this gateway reads the store, and on a follower while the mirror has
// no complete copy, listed from the store or received from a reader. Even then a
// mirror without ProbesStore waits while the copy of the mirror with ProbesStore is
// stale or not yet confirmed.
func (m *Mirror[T]) run(ctx context.Context) {
	backoff, failing := firstBackoff, false
	for ctx.Err() == nil {
		// While the copy of the mirror with ProbesStore is stale or not yet
		// confirmed at all, only that mirror calls the store, because calls that
		// the store refuses are charged too.
		if !m.replicator.readsStore() && m.isListed() || !m.ProbesStore && !m.replicator.recentlyConfirmed() {
			pause(ctx, roleCheckInterval)
			continue
		}
		sentAt := clclock.Now()
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
			m.applyChanges(batch.Changes, complete, batch.Cursor, sentAt)
			backoff, failing = firstBackoff, false
			if len(batch.Changes) > 0 || m.WatchPause > 0 {
				pause(ctx, max(minWatchPause, m.WatchPause))
			}
		}
	}
}

// backOff pauses for d after a failed store call. The mirror with ProbesStore
// first restarts the calls of the other mirrors.
func (m *Mirror[T]) backOff(ctx context.Context, d time.Duration) {
	if m.ProbesStore {
		// Watches of the other mirrors may wait on connections that have stopped
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

// readStore calls the store once: it watches for changes if the objects have been
// listed, and otherwise lists them. complete says that the batch is a list.
func (m *Mirror[T]) readStore(ctx context.Context) (batch Batch[T], complete bool, err error) {
	m.mu.Lock()
	listed, cursor := m.listed, m.cursor
	// A list of the mirror with ProbesStore counts as a confirmation that the
	// mirror's copy is current, so the list must not be seconds old. After
	// ErrHistoryGone, a watch from the cursor of a list that is seconds old could
	// return the same error again.
	fresh := m.ProbesStore || m.historyGone
	timeout := callTimeoutMargin
	if listed {
		timeout += m.WatchWait
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	m.cancelCall = cancel
	m.mu.Unlock()
	defer cancel()
	if !listed {
		batch, err = m.Source.List(ctx, fresh)
		return batch, true, err
	}
	batch, err = m.Source.Watch(ctx, cursor, m.WatchWait)
	return batch, false, err
}

// applyChanges applies changes, which reach the store revision cursor, to the copy,
// passes them to Apply and notifies the followers. If complete is set, changes
// replaces the whole copy. confirmed is the time at which the copy with these
// changes was current, or zero if that is not known.
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
		// A list does not contain the objects that were removed, so that followers
		// cannot learn of their removal from changeLog and need the complete copy.
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
		for name, value := range maps.All(m.objects) {
			d.Changes = append(d.Changes, Change[T]{Name: name, Value: value})
		}
	case missing == 0:
		return nil, nil
	default:
		d.Changes = m.changeLog[uint64(len(m.changeLog))-missing:]
	}
	var encoded bytes.Buffer
	if err := gob.NewEncoder(&encoded).Encode(d); err != nil {
		return nil, errors.Wrap(err, "encode changes")
	}
	return encoded.Bytes(), nil
}

func (m *Mirror[T]) applyDelta(data []byte) (Position, error) {
	var d delta[T]
	if err := gob.NewDecoder(bytes.NewReader(data)).Decode(&d); err != nil {
		return Position{}, errors.Wrap(err, "decode changes")
	}
	// A reader that listed the objects after a removal has no record of the
	// removal, so that its Newest may be lower than this mirror's although its copy
	// is not older; its Cursor is then the store revision of the list.
	if max(d.Position.Newest, d.Position.Cursor) < m.position().Newest {
		return Position{}, errReaderBehind
	}
	m.applyChanges(d.Changes, d.Complete, d.Position.Cursor, time.Time{})
	m.mu.Lock()
	// The changes of a complete delta carry no revisions, and do not include a
	// removal that was the reader's last change.
	m.newestRevision = max(m.newestRevision, d.Position.Newest)
	m.mu.Unlock()
	return d.Position, nil
}

// pause waits for d or until ctx ends. Callers check ctx themselves.
func pause(ctx context.Context, d time.Duration) { _ = clwait.Pause(ctx, d) }
