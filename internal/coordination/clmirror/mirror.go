// This file defines the mirror, which copies the store's objects of one kind.

package clmirror

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/clwait"
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/go-faster/errors"
	"github.com/samber/lo"
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
		// ErrHistoryGone if the store no longer has the changes after cursor. The
		// cursor is a revision of the era of an earlier batch, which the store cannot
		// tell from the same revision of a later era; callers compare Batch.Era.
		Watch(ctx context.Context, cursor uint64, wait time.Duration) (Batch[T], error)
	}

	// Batch is the result of a list or a watch.
	Batch[T any] struct {
		// Changes holds all existing objects after a list, and the changes in
		// their order after a watch.
		Changes []Change[T]
		// Cursor is the store revision from which the next watch continues.
		Cursor uint64
		// Era numbers the histories of the store. It rises when the store returns from
		// an older copy; revisions of different eras cannot be compared. It is 0 if the
		// store states none.
		Era uint64
	}

	// Change is a new value of an object, or its removal.
	Change[T any] struct {
		// Name identifies the object among those of its kind.
		Name string
		// Value must not be used if Removed is set.
		Value   T
		Removed bool
		// Revision is the store revision of the change, or 0 if it is not known. That of
		// a removal may be the revision of the change before.
		Revision uint64
		// Why is the reason why an existing object cannot be used, or empty. Such
		// an object counts as removed: Removed is set as well.
		Why string
	}

	// loggedChange is a change and the cursor that the copy reached with it. The
	// change's own revision does not tell whether a follower has seen it, because of
	// removals.
	loggedChange[T any] struct {
		Change[T]
		reached uint64
	}

	// object is an object of a copy and the store revision of its last change, or 0 if
	// that is not known.
	object[T any] struct {
		value    T
		revision uint64
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
		// Recover, if set, decides between an object as it was known before the store
		// returned from an older copy, and the same object in the first list of the new
		// era. Without it, the known one is held.
		Recover func(known, listed T) Recovery
		Logger  *zap.Logger

		// replicator is the Replicator that this mirror belongs to; Add sets it.
		replicator *Replicator

		// applyMu is held while changes enter the copy and are passed to Apply, so that
		// Apply sees changes from the store and from a reader in the order of the copy.
		// It is acquired before mu.
		applyMu sync.Mutex

		mu            sync.Mutex
		lastConfirmed time.Time
		// cancelCall cancels the latest store call. It is nil before the first call
		// and has no effect once the call has ended.
		cancelCall context.CancelFunc
		// objects is the copy, by object name.
		objects map[string]object[T]
		// listed is set while the copy holds all objects of a list, from the store
		// or from a reader, and the changes since; a watch can then continue from
		// cursor.
		listed bool
		// historyGone is set when the store has dropped changes that a watch needed, or
		// has begun a new era, until the next list.
		historyGone bool
		// currentAt is the latest time as of which the copy is known to have held all
		// changes, without the watch in progress.
		currentAt time.Time
		// watchSentAt is when the watch in progress was sent; it is zero while there is
		// none. answerTime is how long the store took to answer the last list, or the
		// last watch without a wait.
		watchSentAt time.Time
		answerTime  time.Duration
		// failing is set while the store fails the calls of this mirror, and timedOut
		// if the last one took too long.
		failing, timedOut bool
		// catchUp makes the next watch return at once: it tells that the copy holds all
		// changes, which a watch that waits does not.
		catchUp bool
		// cursor is the store revision that the copy has reached: the copy holds all
		// changes up to it. newestRevision is the revision of the last change in the copy,
		// and era the era of both.
		cursor, newestRevision, era uint64
		// reached is the highest cursor of all eras.
		reached uint64
		// held holds what is passed to Apply in place of what the copy has, by object
		// name, after the store has returned from an older copy; heldBase is the position
		// of the copy of the earlier era from which it comes. holdCounts is what has become
		// of it.
		held       map[string]heldObject[T]
		heldBase   copyPosition
		holdCounts holdCounts
		// sequence is the number of changes that the copy has received so far; a
		// list counts as one more. changeLog holds the most recent of these changes,
		// the oldest first, at most maxLoggedChanges and none from before the last
		// list. A follower that lacks only logged changes receives just the changes
		// that it lacks, not the complete copy.
		sequence  uint64
		changeLog []loggedChange[T]
		// logStart is the store revision after which changeLog holds all changes up to
		// cursor.
		logStart uint64
		// encoded holds the encoded deltas of the current sequence, by the number of
		// changes that the follower lacks; the complete copy has the key completeDelta.
		encoded map[int][]byte
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
		// position returns the position of this mirror's own copy; its Reader is 0. It
		// is zero while the mirror has no complete copy.
		position() Position
		// LastConfirmed and Confirm are those of Mirror.
		LastConfirmed() time.Time
		Confirm(at time.Time)
		// lastAnswerTime returns how long the store took to answer the last call that
		// did not wait for changes.
		lastAnswerTime() time.Duration
		// relist makes the mirror list all objects again if its copy is of an earlier era.
		relist(era uint64)
		// endHold passes the objects of the new era on in place of those that are held,
		// and returns what has become of those since the era began.
		endHold() holdCounts
		// currentAsOf returns the latest time as of which the copy is known to hold all
		// changes, or zero if that is not known. probed is when the mirror with
		// ProbesStore sent its last call that the store answered.
		currentAsOf(probed time.Time) time.Time
		// RestartStoreCall is that of Mirror.
		RestartStoreCall()
	}
)

// ErrHistoryGone is returned by Source.Watch if the store no longer has the
// changes after the cursor, so that all objects must be listed again.
var ErrHistoryGone = errors.New("the store no longer has the changes after the cursor; list all objects again")

const (
	// callTimeoutMargin is the time that a watch may take beyond its wait. The store
	// answers within milliseconds, and within a few hundred milliseconds when it is
	// slow. After a call that took longer the time is doubled, since a large object may
	// be on its way over a slow link; it is not doubled further, so that a mirror soon
	// notices that a silent store answers again.
	callTimeoutMargin = 700 * time.Millisecond
	// listTimeout is the time that a list may take. A list of 3000 endpoints is about
	// 2 MB, which take 1.6 s over a link of 10 Mbit/s.
	listTimeout = 4 * time.Second
	// firstBackoff and maxBackoff are the bounds of the backoff, which doubles with
	// each failed store call. The pause after a failed call is the backoff varied
	// at random by up to half, so that it may lie outside these bounds. The bounds
	// are short so that a mirror soon notices that the store has recovered, and
	// long enough that all gateways that read the store stay far below its rate
	// limits together.
	firstBackoff = 60 * time.Millisecond
	maxBackoff   = 600 * time.Millisecond
	// minWatchPause is the minimum pause after a call that returned changes, so
	// that a series of changes costs a few calls and not one each; pauseFraction is
	// the fraction of the change deadline that it takes if that is longer. The pause
	// is also the minimum of a WatchPause above 0.
	minWatchPause = 250 * time.Millisecond
	pauseFraction = 0.1
	// startSettleTime is how long a starting gateway waits with its watches after it
	// has listed the objects: by then it knows the other gateways, and most gateways
	// follow another one.
	startSettleTime = 1200 * time.Millisecond
	// roleCheckInterval is how often a mirror that must not call the store checks
	// whether it may, and how often a Replicator whose gateway reads the store
	// checks whether it is to follow a reader. It is also how long a follower pauses
	// after a request to a reader failed, or after the reader's copy was older than
	// the follower's.
	roleCheckInterval = 100 * time.Millisecond
	// catchUpWait is the wait of a watch that is to return at once.
	catchUpWait = time.Millisecond
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
	if !m.listed {
		return
	}
	m.lastConfirmed = lo.Latest(at, m.lastConfirmed)
	m.currentAt = lo.Latest(at, m.currentAt)
}

// currentAsOf implements anyMirror. A watch in progress delivers changes at once; if
// the store has answered a call that was sent after the watch, it has also answered
// the watch with the changes until then, if there were any. While the store fails the
// calls of this mirror alone, its copy is the best that there is, and does not count.
func (m *Mirror[T]) currentAsOf(probed time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.currentAsOfLocked(probed)
}

// currentAsOfLocked is currentAsOf for callers that hold mu.
func (m *Mirror[T]) currentAsOfLocked(probed time.Time) time.Time {
	if m.ProbesStore {
		return m.lastConfirmed
	}
	if m.failing || !m.watchSentAt.IsZero() && !probed.Before(m.watchSentAt) {
		return lo.Latest(probed, m.currentAt)
	}
	return m.currentAt
}

// RestartStoreCall cancels the watch in progress, whose connection may have stopped
// delivering data. The mirror then backs off as after a failed call, and calls again if
// it is still to read the store. A list goes on, within its own time.
func (m *Mirror[T]) RestartStoreCall() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cancelCall != nil && !m.watchSentAt.IsZero() {
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
			m.mu.Lock()
			m.catchUp = true
			m.mu.Unlock()
			pause(ctx, roleCheckInterval)
			continue
		}
		var endCall func(served bool)
		if m.ProbesStore {
			endCall = m.replicator.recordStoreCall()
		}
		sentAt := clclock.Now()
		batch, complete, err := m.readStore(ctx)
		if m.ProbesStore && ctx.Err() == nil {
			endCall(err == nil || errors.Is(err, ErrHistoryGone))
		}
		switch {
		case errors.Is(err, ErrHistoryGone):
			m.mu.Lock()
			m.listed, m.historyGone = false, true
			m.mu.Unlock()
			m.Logger.Info("store no longer has the watch history, listing all objects", zap.String("kind", m.Name))
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
			m.applyBatch(batch, complete, sentAt)
			backoff, failing = firstBackoff, false
			if len(batch.Changes) > 0 || m.WatchPause > 0 {
				pause(ctx, max(m.replicator.changePause(), m.WatchPause))
			}
			if complete && !m.ProbesStore {
				pause(ctx, m.replicator.settleTimeLeft())
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
	listed, cursor, era := m.listed, m.cursor, m.era
	// A list of the mirror with ProbesStore counts as a confirmation that the
	// mirror's copy is current, so the list must not be seconds old. After
	// ErrHistoryGone, a watch from the cursor of a list that is seconds old could
	// return the same error again.
	fresh := m.ProbesStore || m.historyGone
	wait := m.WatchWait
	if m.catchUp {
		wait = min(wait, catchUpWait)
	}
	timeout := callTimeoutMargin
	if m.timedOut {
		timeout *= 2
	}
	switch {
	case listed:
		timeout += wait
	case !m.ProbesStore:
		timeout = listTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	m.cancelCall = cancel
	sentAt := clclock.Now()
	if listed {
		m.watchSentAt = sentAt
	}
	m.mu.Unlock()
	defer cancel()
	if !listed {
		batch, err = m.Source.List(ctx, fresh)
		if err == nil && batch.Era < max(era, m.replicator.latestEra()) {
			err = errEarlierEra
		}
		m.recordAnswer(sentAt, fresh, true, err)
		if err == nil {
			m.mu.Lock()
			m.historyGone = false
			m.mu.Unlock()
		}
		return batch, true, err
	}
	batch, err = m.Source.Watch(ctx, cursor, wait)
	switch {
	case err != nil:
	case batch.Era < era:
		err = errEarlierEra
	case batch.Era > era:
		// The cursor is a revision of the earlier era, so that changes may be missing.
		err = ErrHistoryGone
		m.replicator.observeEra(batch.Era)
	}
	m.recordAnswer(sentAt, true, wait <= catchUpWait, err)
	return batch, false, err
}

// recordAnswer updates currentAt and catchUp after the store call that was sent at
// sentAt. current says that the answer holds all changes until then, and prompt that
// the store did not wait for changes before it answered.
func (m *Mirror[T]) recordAnswer(sentAt time.Time, current, prompt bool, err error) {
	probed, transit := m.replicator.probe.LastConfirmed(), m.replicator.probe.lastAnswerTime()
	follows := len(m.replicator.Readers()) > 0
	m.mu.Lock()
	defer m.mu.Unlock()
	now := clclock.Now()
	// What the watch in progress has told so far stays true when it ends.
	m.currentAt = m.currentAsOfLocked(probed)
	m.watchSentAt = time.Time{}
	// A call that RestartStoreCall has cancelled says nothing about the store.
	m.timedOut = errors.Is(err, context.DeadlineExceeded)
	m.failing = err != nil && !errors.Is(err, ErrHistoryGone) && !errors.Is(err, context.Canceled)
	if err != nil {
		m.catchUp = true
		return
	}
	// A follower needs a watch that returns at once after a list that may be seconds
	// old. A reader goes on with a watch that waits.
	m.catchUp = !current && follows
	switch {
	case prompt:
		m.answerTime = now.Sub(sentAt)
		if current {
			m.currentAt = lo.Latest(sentAt, m.currentAt)
		}
	default:
		// The store sent the answer when there was a change, or when the wait ended.
		m.currentAt = lo.Latest(sentAt, m.currentAt, now.Add(-transit))
	}
}

func (m *Mirror[T]) lastAnswerTime() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.answerTime
}

// pause waits for d or until ctx ends. Callers check ctx themselves.
func pause(ctx context.Context, d time.Duration) { _ = clwait.Pause(ctx, d) }
