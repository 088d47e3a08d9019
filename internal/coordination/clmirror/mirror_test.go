// This file tests how mirrors read the store and how followers copy readers.

package clmirror

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/cltest"
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// scriptedSource runs the next entry of its script on each call and records the
// calls. After the last entry, calls block until their context ends.
type scriptedSource struct {
	mu     sync.Mutex
	script []func(ctx context.Context) (Batch[int], error)
	calls  []string
}

func (s *scriptedSource) next(ctx context.Context, call string) (Batch[int], error) {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	if len(s.script) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return Batch[int]{}, ctx.Err()
	}
	f := s.script[0]
	s.script = s.script[1:]
	s.mu.Unlock()
	return f(ctx)
}

func (s *scriptedSource) List(ctx context.Context, _ bool) (Batch[int], error) {
	return s.next(ctx, "list")
}

func (s *scriptedSource) Watch(ctx context.Context, _ uint64, _ time.Duration) (Batch[int], error) {
	return s.next(ctx, "watch")
}

// returnBatch returns a script entry that succeeds.
func returnBatch(cursor uint64, changes ...Change[int]) func(context.Context) (Batch[int], error) {
	return func(context.Context) (Batch[int], error) { return Batch[int]{Changes: changes, Cursor: cursor}, nil }
}

// returnError returns a script entry that fails.
func returnError(err error) func(context.Context) (Batch[int], error) {
	return func(context.Context) (Batch[int], error) { return Batch[int]{}, err }
}

// runUntil runs m on the source s until done reports true.
func runUntil(t *testing.T, s *scriptedSource, m *Mirror[int], done func() bool) {
	t.Helper()
	m.Source, m.WatchWait, m.ProbesStore = s, 10*time.Millisecond, true
	h := newReplicator(t, 1, m)
	ctx, cancel := context.WithCancel(t.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- h.Run(ctx) }()
	require.Eventually(t, done, 5*time.Second, time.Millisecond)
	cancel()
	require.NoError(t, <-runErr)
}

// newReplicator returns a replicator on a free port that has no reader to follow.
func newReplicator(t *testing.T, bootID uint64, m *Mirror[int]) *Replicator {
	t.Helper()
	addr := cltest.Address(t)
	m.Logger = zap.NewNop()
	h := &Replicator{
		BootID: bootID, ListenAddress: addr, Readers: func() []netip.AddrPort { return nil }, GatewayCount: func() int { return 2 },
		LastConfirmed: m.LastConfirmed, Confirm: m.Confirm, Logger: zap.NewNop(),
	}
	Add(h, m)
	return h
}

// Guards against missed changes after the store has dropped its history: the
// mirror must list again and pass the list to Apply as complete.
func TestRelistAfterHistoryGone(t *testing.T) {
	s := &scriptedSource{script: []func(context.Context) (Batch[int], error){
		returnBatch(1, Change[int]{Name: "a", Value: 1}), returnError(ErrHistoryGone), returnBatch(9, Change[int]{Name: "b", Value: 2}),
	}}
	var mu sync.Mutex
	var completes []bool
	m := &Mirror[int]{Apply: func(_ []Change[int], complete bool) {
		mu.Lock()
		defer mu.Unlock()
		completes = append(completes, complete)
	}}
	runUntil(t, s, m, func() bool { mu.Lock(); defer mu.Unlock(); return len(completes) == 2 })
	require.Equal(t, []bool{true, true}, completes)
	require.Equal(t, []string{"list", "watch", "list"}, s.calls[:3])
}

// Guards against a copy that counts as recent although the store no longer
// answers, so that API keys in it stay trusted: only a successful call confirms
// the copy, as of the time at which the call was sent.
func TestLastConfirmedIsSendTime(t *testing.T) {
	const took = 50 * time.Millisecond
	s := &scriptedSource{script: []func(context.Context) (Batch[int], error){
		func(context.Context) (Batch[int], error) { time.Sleep(took); return Batch[int]{Cursor: 1}, nil },
		returnError(errors.New("down")), returnError(errors.New("down")),
	}}
	m := &Mirror[int]{Apply: func([]Change[int], bool) {}}
	require.Zero(t, m.LastConfirmed())
	before := clclock.Now()
	runUntil(t, s, m, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.calls) >= 4 })
	require.Less(t, m.LastConfirmed().Sub(before), took)
	require.Contains(t, s.calls[1:], "watch", "after a failed watch, the next one must continue from the same cursor")
	require.NotContains(t, s.calls[1:], "list")
}

// Guards against a watch that hangs on a dead connection although another
// mirror's call has shown that the store was lost.
func TestRestartWatchCancelsPendingWatch(t *testing.T) {
	abandoned := make(chan struct{})
	s := &scriptedSource{script: []func(context.Context) (Batch[int], error){
		returnBatch(1),
		func(ctx context.Context) (Batch[int], error) {
			<-ctx.Done()
			close(abandoned)
			return Batch[int]{}, ctx.Err()
		},
	}}
	m := &Mirror[int]{Apply: func([]Change[int], bool) {}}
	runUntil(t, s, m, func() bool {
		s.mu.Lock()
		watching := len(s.calls) >= 2
		s.mu.Unlock()
		if watching {
			m.RestartWatch()
		}
		select {
		case <-abandoned:
			return true
		default:
			return false
		}
	})
}

// memoryStore is an in-memory store whose objects a test changes.
type memoryStore struct {
	mu      sync.Mutex
	objects map[string]int
	log     []Change[int]
}

func (s *memoryStore) set(name string, v int, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if removed {
		delete(s.objects, name)
	} else {
		s.objects[name] = v
	}
	s.log = append(s.log, Change[int]{Name: name, Value: v, Removed: removed, Revision: uint64(len(s.log) + 1)})
}

// storeClient is one gateway's access to the store. Its calls fail while down is set.
type storeClient struct {
	*memoryStore
	down  atomic.Bool
	calls atomic.Int64
}

func (s *storeClient) List(context.Context, bool) (Batch[int], error) {
	s.calls.Add(1)
	if s.down.Load() {
		return Batch[int]{}, errors.New("down")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	b := Batch[int]{Cursor: uint64(len(s.log))}
	revisions := map[string]uint64{}
	for _, c := range s.log {
		revisions[c.Name] = c.Revision
	}
	for name, v := range s.objects {
		b.Changes = append(b.Changes, Change[int]{Name: name, Value: v, Revision: revisions[name]})
	}
	return b, nil
}

func (s *storeClient) Watch(ctx context.Context, cursor uint64, wait time.Duration) (Batch[int], error) {
	s.calls.Add(1)
	for end := time.Now().Add(wait); ; time.Sleep(time.Millisecond) {
		if s.down.Load() {
			return Batch[int]{}, errors.New("down")
		}
		s.mu.Lock()
		changes := append([]Change[int](nil), s.log[cursor:]...)
		s.mu.Unlock()
		if len(changes) > 0 || time.Now().After(end) || ctx.Err() != nil {
			return Batch[int]{Changes: changes, Cursor: cursor + uint64(len(changes))}, ctx.Err()
		}
	}
}

// objectCopy is a copy of the objects that is built by Mirror.Apply.
type objectCopy struct {
	mu      sync.Mutex
	objects map[string]int
}

func (c *objectCopy) apply(changes []Change[int], complete bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if complete {
		c.objects = map[string]int{}
	}
	for _, ch := range changes {
		if ch.Removed {
			delete(c.objects, ch.Name)
		} else {
			c.objects[ch.Name] = ch.Value
		}
	}
}

func (c *objectCopy) equal(want map[string]int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Equal(c.objects, want)
}

// Guards against a follower that misses changes or removals, that takes the copy
// of a reader without the store for current, or that keeps following a reader
// that has stopped.
func TestFollowerCopiesReader(t *testing.T) {
	store := &memoryStore{objects: map[string]int{"a": 1, "b": 2}}
	readerSource, followerSource := &storeClient{memoryStore: store}, &storeClient{memoryStore: store}
	var readerCopy, followerCopy objectCopy
	readerMirror := &Mirror[int]{Name: "k", Source: readerSource, WatchWait: 50 * time.Millisecond, Apply: readerCopy.apply, ProbesStore: true}
	reader := newReplicator(t, 1, readerMirror)
	readerCtx, stopReader := context.WithCancel(t.Context())
	readerEnded := make(chan error, 1)
	go func() { readerEnded <- reader.Run(readerCtx) }()

	followerMirror := &Mirror[int]{Name: "k", Source: followerSource, WatchWait: 50 * time.Millisecond, Apply: followerCopy.apply, ProbesStore: true}
	follower := newReplicator(t, 2, followerMirror)
	follower.Readers = func() []netip.AddrPort { return []netip.AddrPort{reader.ListenAddress} }
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- follower.Run(ctx) }()
	requireCopy := func(want map[string]int) {
		t.Helper()
		require.Eventually(t, func() bool { return followerCopy.equal(want) }, 5*time.Second, time.Millisecond)
	}

	requireCopy(map[string]int{"a": 1, "b": 2})
	store.set("c", 3, false)
	store.set("a", 0, true)
	requireCopy(map[string]int{"b": 2, "c": 3})
	store.set("b", 7, false)
	requireCopy(map[string]int{"b": 7, "c": 3})

	followerSource.down.Store(true)
	readerSource.down.Store(true)
	lost := clclock.Now()
	time.Sleep(3 * time.Second)
	require.Less(t, followerMirror.LastConfirmed().Sub(lost), 500*time.Millisecond, "the copy must not be confirmed while the store is lost")
	readerSource.down.Store(false)
	require.Eventually(t, func() bool { return clclock.Now().Sub(followerMirror.LastConfirmed()) < time.Second }, 5*time.Second, time.Millisecond)

	followerSource.down.Store(false)
	stopReader()
	require.NoError(t, <-readerEnded)
	store.set("d", 4, false)
	requireCopy(map[string]int{"b": 7, "c": 3, "d": 4})
	stop()
	require.NoError(t, <-ended)
}

// Guards against followers that also read the store, whose calls are charged.
func TestFollowerDoesNotReadStore(t *testing.T) {
	store := &memoryStore{objects: map[string]int{"a": 1}}
	readerSource, followerSource := &storeClient{memoryStore: store}, &storeClient{memoryStore: store}
	var readerCopy, followerCopy objectCopy
	reader := newReplicator(t, 1, &Mirror[int]{Name: "k", Source: readerSource, WatchWait: 50 * time.Millisecond, Apply: readerCopy.apply, ProbesStore: true})
	follower := newReplicator(t, 2, &Mirror[int]{Name: "k", Source: followerSource, WatchWait: 50 * time.Millisecond, Apply: followerCopy.apply, ProbesStore: true})
	follower.Readers = func() []netip.AddrPort { return []netip.AddrPort{reader.ListenAddress} }
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 2)
	go func() { ended <- reader.Run(ctx) }()
	require.Eventually(t, func() bool { return readerCopy.equal(map[string]int{"a": 1}) }, 5*time.Second, time.Millisecond)
	go func() { ended <- follower.Run(ctx) }()
	for i := range 20 {
		store.set("a", i, false)
		time.Sleep(20 * time.Millisecond)
	}
	require.Eventually(t, func() bool { return followerCopy.equal(map[string]int{"a": 19}) }, 5*time.Second, time.Millisecond)
	require.EqualValues(t, 1, followerSource.calls.Load(), "a follower calls the store only for its first list")
	stop()
	require.NoError(t, <-ended)
	require.NoError(t, <-ended)
}

// Guards against a follower that stops receiving changes, or goes back to older
// ones, when its reader has lost the store: after reading the store itself it
// follows the reader again, whose copy stays older than its own.
func TestFollowerAheadOfStaleReader(t *testing.T) {
	store := &memoryStore{objects: map[string]int{"a": 1}}
	readerSource, followerSource := &storeClient{memoryStore: store}, &storeClient{memoryStore: store}
	var readerCopy, followerCopy objectCopy
	reader := newReplicator(t, 1, &Mirror[int]{Name: "k", Source: readerSource, WatchWait: 20 * time.Millisecond, Apply: readerCopy.apply, ProbesStore: true})
	followerMirror := &Mirror[int]{Name: "k", Source: followerSource, WatchWait: 20 * time.Millisecond, Apply: followerCopy.apply, ProbesStore: true}
	follower := newReplicator(t, 2, followerMirror)
	follower.Readers = func() []netip.AddrPort { return []netip.AddrPort{reader.ListenAddress} }
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 2)
	go func() { ended <- reader.Run(ctx) }()
	go func() { ended <- follower.Run(ctx) }()
	require.Eventually(t, func() bool { return followerCopy.equal(map[string]int{"a": 1}) }, 5*time.Second, time.Millisecond)
	readerSource.down.Store(true)
	// The loop runs longer than readStoreDuration, so that the follower returns to the reader.
	for i := 2; i < 8; i++ {
		time.Sleep(time.Second)
		store.set("a", i, false)
		require.Eventually(t, func() bool { return followerCopy.equal(map[string]int{"a": i}) }, 2*time.Second, time.Millisecond)
	}
	stop()
	require.NoError(t, <-ended)
	require.NoError(t, <-ended)
}

// Guards against a follower that rejects a restarted reader's copy as too old: the
// reader started after a removal, so its list does not contain the newest change.
func TestFollowerOfRestartedReader(t *testing.T) {
	store := &memoryStore{objects: map[string]int{"a": 1, "b": 2}}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 3)
	newReader := func(bootID uint64) *Replicator {
		var copied objectCopy
		return newReplicator(t, bootID, &Mirror[int]{
			Name: "k", Source: &storeClient{memoryStore: store}, WatchWait: 50 * time.Millisecond, Apply: copied.apply, ProbesStore: true,
		})
	}
	first, second := newReader(1), newReader(2)
	firstCtx, stopFirst := context.WithCancel(ctx)
	go func() { ended <- first.Run(firstCtx) }()
	followerSource := &storeClient{memoryStore: store}
	var followerCopy objectCopy
	followerMirror := &Mirror[int]{Name: "k", Source: followerSource, WatchWait: 50 * time.Millisecond, Apply: followerCopy.apply, ProbesStore: true}
	follower := newReplicator(t, 3, followerMirror)
	var reader atomic.Pointer[Replicator]
	reader.Store(first)
	follower.Readers = func() []netip.AddrPort { return []netip.AddrPort{reader.Load().ListenAddress} }
	go func() { ended <- follower.Run(ctx) }()
	require.Eventually(t, func() bool { return followerCopy.equal(map[string]int{"a": 1, "b": 2}) }, 5*time.Second, time.Millisecond)
	store.set("b", 0, true)
	require.Eventually(t, func() bool { return followerCopy.equal(map[string]int{"a": 1}) }, 5*time.Second, time.Millisecond)
	followerSource.down.Store(true)
	stopFirst()
	go func() { ended <- second.Run(ctx) }()
	reader.Store(second)
	time.Sleep(2 * time.Second)
	require.Less(t, clclock.Now().Sub(followerMirror.LastConfirmed()), time.Second, "the follower must accept the new reader's copy, which is as recent as its own")
	stop()
	for range 3 {
		require.NoError(t, <-ended)
	}
}
