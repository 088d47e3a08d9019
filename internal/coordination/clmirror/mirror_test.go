// This file tests how mirrors read the store and how followers copy their readers.

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

// scriptedSource is a Source. Each call to List or Watch runs the next entry of
// script; after the last entry, calls block until their context ends.
type scriptedSource struct {
	mu     sync.Mutex
	script []func(ctx context.Context) (Batch[int], error)
	// calls holds "list" or "watch" for each call so far.
	calls []string
}

func (s *scriptedSource) next(ctx context.Context, call string) (Batch[int], error) {
	s.mu.Lock()
	s.calls = append(s.calls, call)
	if len(s.script) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return Batch[int]{}, ctx.Err()
	}
	entry := s.script[0]
	s.script = s.script[1:]
	s.mu.Unlock()
	return entry(ctx)
}

func (s *scriptedSource) List(ctx context.Context, _ bool) (Batch[int], error) {
	return s.next(ctx, "list")
}

func (s *scriptedSource) Watch(ctx context.Context, _ uint64, _ time.Duration) (Batch[int], error) {
	return s.next(ctx, "watch")
}

// returnBatch returns a script entry that returns a batch with the given fields.
func returnBatch(cursor uint64, changes ...Change[int]) func(context.Context) (Batch[int], error) {
	return func(context.Context) (Batch[int], error) { return Batch[int]{Changes: changes, Cursor: cursor}, nil }
}

// returnError returns a script entry that returns err.
func returnError(err error) func(context.Context) (Batch[int], error) {
	return func(context.Context) (Batch[int], error) { return Batch[int]{}, err }
}

// runUntil runs m, with s as its source and without readers, until done returns
// true. It fails the test after 5 s.
func runUntil(t *testing.T, s *scriptedSource, m *Mirror[int], done func() bool) {
	t.Helper()
	m.Source, m.WatchWait, m.ProbesStore = s, 10*time.Millisecond, true
	r := newReplicator(t, 1, m)
	ctx, cancel := context.WithCancel(t.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- r.Run(ctx) }()
	require.Eventually(t, done, 5*time.Second, time.Millisecond)
	cancel()
	require.NoError(t, <-runErr)
}

// newReplicator returns a Replicator of the mirror m, which must have ProbesStore.
// It listens on a free port and has no reader to follow.
func newReplicator(t *testing.T, bootID uint64, m *Mirror[int]) *Replicator {
	t.Helper()
	addr := cltest.Address(t)
	m.Logger = zap.NewNop()
	r := &Replicator{
		BootID: bootID, ListenAddress: addr, Readers: func() []netip.AddrPort { return nil }, GatewayCount: func() int { return 2 },
		Logger: zap.NewNop(),
	}
	Add(r, m)
	return r
}

// Guards against missed changes after the store has dropped the changes that a
// watch needs: the mirror must list all objects again and call Apply with complete
// set.
func TestRelistAfterHistoryGone(t *testing.T) {
	s := &scriptedSource{script: []func(context.Context) (Batch[int], error){
		returnBatch(1, Change[int]{Name: "a", Value: 1}), returnError(ErrHistoryGone), returnBatch(9, Change[int]{Name: "b", Value: 2}),
	}}
	var mu sync.Mutex
	var completeFlags []bool
	m := &Mirror[int]{Apply: func(_ []Change[int], complete bool) {
		mu.Lock()
		defer mu.Unlock()
		completeFlags = append(completeFlags, complete)
	}}
	runUntil(t, s, m, func() bool { mu.Lock(); defer mu.Unlock(); return len(completeFlags) == 2 })
	require.Equal(t, []bool{true, true}, completeFlags)
	require.Equal(t, []string{"list", "watch", "list"}, s.calls[:3])
}

// Guards against a copy that counts as recent although the store no longer
// answers, so that a gateway goes on accepting the API keys in the copy after they
// have been removed: only a successful call confirms the copy, as of the time at
// which the call was sent.
func TestLastConfirmedIsSendTime(t *testing.T) {
	const callDuration = 50 * time.Millisecond
	s := &scriptedSource{script: []func(context.Context) (Batch[int], error){
		func(context.Context) (Batch[int], error) { time.Sleep(callDuration); return Batch[int]{Cursor: 1}, nil },
		returnError(errors.New("down")), returnError(errors.New("down")),
	}}
	m := &Mirror[int]{Apply: func([]Change[int], bool) {}}
	require.Zero(t, m.LastConfirmed())
	before := clclock.Now()
	runUntil(t, s, m, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.calls) >= 4 })
	require.Less(t, m.LastConfirmed().Sub(before), callDuration)
	require.Contains(t, s.calls[1:], "watch", "after a failed watch, the next one must continue from the same cursor")
	require.NotContains(t, s.calls[1:], "list")
}

// Guards against a watch that waits on a broken connection after another mirror's
// call has failed and the calls are restarted.
func TestRestartStoreCallCancelsWatch(t *testing.T) {
	watchCanceled := make(chan struct{})
	s := &scriptedSource{script: []func(context.Context) (Batch[int], error){
		returnBatch(1),
		func(ctx context.Context) (Batch[int], error) {
			<-ctx.Done()
			close(watchCanceled)
			return Batch[int]{}, ctx.Err()
		},
	}}
	m := &Mirror[int]{Apply: func([]Change[int], bool) {}}
	runUntil(t, s, m, func() bool {
		s.mu.Lock()
		watching := len(s.calls) >= 2
		s.mu.Unlock()
		if watching {
			m.RestartStoreCall()
		}
		select {
		case <-watchCanceled:
			return true
		default:
			return false
		}
	})
}

// memoryStore is an in-memory store of objects of one kind.
type memoryStore struct {
	mu      sync.Mutex
	objects map[string]int
	// log holds all changes, including removals, in order; the revision of a change
	// is its index plus 1.
	log []Change[int]
}

// recordChange gives an object a new value, or removes the object if removed is
// set, and adds the change to log.
func (s *memoryStore) recordChange(name string, value int, removed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if removed {
		delete(s.objects, name)
	} else {
		s.objects[name] = value
	}
	s.log = append(s.log, Change[int]{Name: name, Value: value, Removed: removed, Revision: uint64(len(s.log) + 1)})
}

// storeClient is the Source of one gateway; it reads from a memoryStore that
// several gateways may share.
type storeClient struct {
	*memoryStore
	// down makes calls fail, as if the store were lost to this gateway.
	down atomic.Bool
	// calls is the number of calls to List and Watch so far.
	calls atomic.Int64
}

func (s *storeClient) List(context.Context, bool) (Batch[int], error) {
	s.calls.Add(1)
	if s.down.Load() {
		return Batch[int]{}, errors.New("down")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := Batch[int]{Cursor: uint64(len(s.log))}
	revisions := map[string]uint64{}
	for _, c := range s.log {
		revisions[c.Name] = c.Revision
	}
	for name, value := range s.objects {
		batch.Changes = append(batch.Changes, Change[int]{Name: name, Value: value, Revision: revisions[name]})
	}
	return batch, nil
}

func (s *storeClient) Watch(ctx context.Context, cursor uint64, wait time.Duration) (Batch[int], error) {
	s.calls.Add(1)
	for deadline := time.Now().Add(wait); ; time.Sleep(time.Millisecond) {
		if s.down.Load() {
			return Batch[int]{}, errors.New("down")
		}
		s.mu.Lock()
		changes := append([]Change[int](nil), s.log[cursor:]...)
		s.mu.Unlock()
		if len(changes) > 0 || time.Now().After(deadline) || ctx.Err() != nil {
			return Batch[int]{Changes: changes, Cursor: cursor + uint64(len(changes))}, ctx.Err()
		}
	}
}

// objectCopy is a copy of the objects, built from the changes that a mirror passes
// to Apply.
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
	for _, change := range changes {
		if change.Removed {
			delete(c.objects, change.Name)
		} else {
			c.objects[change.Name] = change.Value
		}
	}
}

func (c *objectCopy) equal(want map[string]int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Equal(c.objects, want)
}

// Guards against a follower that misses changes or removals, that confirms its copy
// while its reader has lost the store, or that keeps following a reader that has
// stopped.
func TestFollowerCopiesReader(t *testing.T) {
	store := &memoryStore{objects: map[string]int{"a": 1, "b": 2}}
	readerSource, followerSource := &storeClient{memoryStore: store}, &storeClient{memoryStore: store}
	var readerCopy, followerCopy objectCopy
	readerMirror := &Mirror[int]{Name: "k", Source: readerSource, WatchWait: 50 * time.Millisecond, Apply: readerCopy.apply, ProbesStore: true}
	reader := newReplicator(t, 1, readerMirror)
	readerCtx, stopReader := context.WithCancel(t.Context())
	readerRunErr := make(chan error, 1)
	go func() { readerRunErr <- reader.Run(readerCtx) }()

	followerMirror := &Mirror[int]{Name: "k", Source: followerSource, WatchWait: 50 * time.Millisecond, Apply: followerCopy.apply, ProbesStore: true}
	follower := newReplicator(t, 2, followerMirror)
	follower.Readers = func() []netip.AddrPort { return []netip.AddrPort{reader.ListenAddress} }
	followerCtx, stopFollower := context.WithCancel(t.Context())
	followerRunErr := make(chan error, 1)
	go func() { followerRunErr <- follower.Run(followerCtx) }()
	requireFollowerCopy := func(want map[string]int) {
		t.Helper()
		require.Eventually(t, func() bool { return followerCopy.equal(want) }, 5*time.Second, time.Millisecond)
	}

	requireFollowerCopy(map[string]int{"a": 1, "b": 2})
	store.recordChange("c", 3, false)
	store.recordChange("a", 0, true)
	requireFollowerCopy(map[string]int{"b": 2, "c": 3})
	store.recordChange("b", 7, false)
	requireFollowerCopy(map[string]int{"b": 7, "c": 3})

	followerSource.down.Store(true)
	readerSource.down.Store(true)
	lostAt := clclock.Now()
	time.Sleep(3 * time.Second)
	require.Less(t, followerMirror.LastConfirmed().Sub(lostAt), 500*time.Millisecond, "the copy must not be confirmed while the store is lost")
	readerSource.down.Store(false)
	require.Eventually(t, func() bool { return clclock.Now().Sub(followerMirror.LastConfirmed()) < time.Second }, 5*time.Second, time.Millisecond)

	followerSource.down.Store(false)
	stopReader()
	require.NoError(t, <-readerRunErr)
	store.recordChange("d", 4, false)
	requireFollowerCopy(map[string]int{"b": 7, "c": 3, "d": 4})
	stopFollower()
	require.NoError(t, <-followerRunErr)
}

// Guards against followers that go on calling the store, because each call is
// charged.
func TestFollowerDoesNotReadStore(t *testing.T) {
	store := &memoryStore{objects: map[string]int{"a": 1}}
	readerSource, followerSource := &storeClient{memoryStore: store}, &storeClient{memoryStore: store}
	var readerCopy, followerCopy objectCopy
	reader := newReplicator(t, 1, &Mirror[int]{Name: "k", Source: readerSource, WatchWait: 50 * time.Millisecond, Apply: readerCopy.apply, ProbesStore: true})
	follower := newReplicator(t, 2, &Mirror[int]{Name: "k", Source: followerSource, WatchWait: 50 * time.Millisecond, Apply: followerCopy.apply, ProbesStore: true})
	follower.Readers = func() []netip.AddrPort { return []netip.AddrPort{reader.ListenAddress} }
	ctx, stop := context.WithCancel(t.Context())
	runErrs := make(chan error, 2)
	go func() { runErrs <- reader.Run(ctx) }()
	require.Eventually(t, func() bool { return readerCopy.equal(map[string]int{"a": 1}) }, 5*time.Second, time.Millisecond)
	go func() { runErrs <- follower.Run(ctx) }()
	for i := range 20 {
		store.recordChange("a", i, false)
		time.Sleep(20 * time.Millisecond)
	}
	require.Eventually(t, func() bool { return followerCopy.equal(map[string]int{"a": 19}) }, 5*time.Second, time.Millisecond)
	require.EqualValues(t, 1, followerSource.calls.Load(), "a follower calls the store only for its first list")
	stop()
	require.NoError(t, <-runErrs)
	require.NoError(t, <-runErrs)
}

// Guards against a follower that stops receiving changes, or returns to older
// values, while its reader has lost the store: after the follower has read the
// store itself, it follows the reader again, whose copy is older than its own.
func TestFollowerAheadOfStaleReader(t *testing.T) {
	store := &memoryStore{objects: map[string]int{"a": 1}}
	readerSource, followerSource := &storeClient{memoryStore: store}, &storeClient{memoryStore: store}
	var readerCopy, followerCopy objectCopy
	reader := newReplicator(t, 1, &Mirror[int]{Name: "k", Source: readerSource, WatchWait: 20 * time.Millisecond, Apply: readerCopy.apply, ProbesStore: true})
	followerMirror := &Mirror[int]{Name: "k", Source: followerSource, WatchWait: 20 * time.Millisecond, Apply: followerCopy.apply, ProbesStore: true}
	follower := newReplicator(t, 2, followerMirror)
	follower.Readers = func() []netip.AddrPort { return []netip.AddrPort{reader.ListenAddress} }
	ctx, stop := context.WithCancel(t.Context())
	runErrs := make(chan error, 2)
	go func() { runErrs <- reader.Run(ctx) }()
	go func() { runErrs <- follower.Run(ctx) }()
	require.Eventually(t, func() bool { return followerCopy.equal(map[string]int{"a": 1}) }, 5*time.Second, time.Millisecond)
	readerSource.down.Store(true)
	// Between two changes the follower asks the reader again, whose copy stays behind.
	for i := 2; i < 8; i++ {
		time.Sleep(time.Second)
		store.recordChange("a", i, false)
		require.Eventually(t, func() bool { return followerCopy.equal(map[string]int{"a": i}) }, 2*time.Second, time.Millisecond)
	}
	stop()
	require.NoError(t, <-runErrs)
	require.NoError(t, <-runErrs)
}

// Guards against a follower that rejects a restarted reader's copy as older than
// its own: if the reader started after a removal, its list does not contain the
// newest change.
func TestFollowerAcceptsRestartedReader(t *testing.T) {
	store := &memoryStore{objects: map[string]int{"a": 1, "b": 2}}
	ctx, stop := context.WithCancel(t.Context())
	runErrs := make(chan error, 3)
	newReader := func(bootID uint64) *Replicator {
		var readerCopy objectCopy
		return newReplicator(t, bootID, &Mirror[int]{
			Name: "k", Source: &storeClient{memoryStore: store}, WatchWait: 50 * time.Millisecond, Apply: readerCopy.apply, ProbesStore: true,
		})
	}
	first, second := newReader(1), newReader(2)
	firstCtx, stopFirst := context.WithCancel(ctx)
	go func() { runErrs <- first.Run(firstCtx) }()
	followerSource := &storeClient{memoryStore: store}
	var followerCopy objectCopy
	followerMirror := &Mirror[int]{Name: "k", Source: followerSource, WatchWait: 50 * time.Millisecond, Apply: followerCopy.apply, ProbesStore: true}
	follower := newReplicator(t, 3, followerMirror)
	var currentReader atomic.Pointer[Replicator]
	currentReader.Store(first)
	follower.Readers = func() []netip.AddrPort { return []netip.AddrPort{currentReader.Load().ListenAddress} }
	go func() { runErrs <- follower.Run(ctx) }()
	require.Eventually(t, func() bool { return followerCopy.equal(map[string]int{"a": 1, "b": 2}) }, 5*time.Second, time.Millisecond)
	store.recordChange("b", 0, true)
	require.Eventually(t, func() bool { return followerCopy.equal(map[string]int{"a": 1}) }, 5*time.Second, time.Millisecond)
	followerSource.down.Store(true)
	stopFirst()
	go func() { runErrs <- second.Run(ctx) }()
	currentReader.Store(second)
	time.Sleep(2 * time.Second)
	require.Less(t, clclock.Now().Sub(followerMirror.LastConfirmed()), time.Second, "the follower must accept the new reader's copy, which is as recent as its own")
	stop()
	for range 3 {
		require.NoError(t, <-runErrs)
	}
}

// Guards against objects that are never read because their transfer takes longer than a
// call may: a list of thousands of endpoints, or a large configuration, over a slow
// link.
func TestSlowTransfers(t *testing.T) {
	transfer := func(d time.Duration, cursor uint64, changes ...Change[int]) func(context.Context) (Batch[int], error) {
		return func(ctx context.Context) (Batch[int], error) {
			select {
			case <-ctx.Done():
				return Batch[int]{}, ctx.Err()
			case <-time.After(d):
				return Batch[int]{Changes: changes, Cursor: cursor}, nil
			}
		}
	}
	const configTransfer, listTransfer = 1100 * time.Millisecond, 2500 * time.Millisecond
	configuration := &scriptedSource{script: []func(context.Context) (Batch[int], error){returnBatch(1)}}
	for range 10 {
		configuration.script = append(configuration.script, transfer(configTransfer, 2, Change[int]{Name: "large", Value: 1}))
	}
	endpoints := &scriptedSource{}
	for range 10 {
		endpoints.script = append(endpoints.script, transfer(listTransfer, 1, Change[int]{Name: "many", Value: 1}))
	}
	var configCopy, endpointsCopy objectCopy
	probe := &Mirror[int]{Name: "configuration", Source: configuration, WatchWait: time.Millisecond, WatchPause: 50 * time.Millisecond, Apply: configCopy.apply, ProbesStore: true}
	r := newReplicator(t, 1, probe)
	r.ChangeDeadline = 4 * time.Second
	Add(r, &Mirror[int]{Name: "endpoints", Source: endpoints, WatchWait: time.Second, Apply: endpointsCopy.apply, Logger: zap.NewNop()})
	ctx, stop := context.WithCancel(t.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- r.Run(ctx) }()
	require.Eventually(t, func() bool { return configCopy.equal(map[string]int{"large": 1}) }, 6*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return endpointsCopy.equal(map[string]int{"many": 1}) }, 6*time.Second, time.Millisecond)
	stop()
	require.NoError(t, <-runErr)
}

// Guards against removed objects that come back: a starting gateway's list, which may
// be seconds old, arrives after the copy of a reader.
func TestOldListDoesNotReplaceAReadersCopy(t *testing.T) {
	release := make(chan struct{})
	source := &scriptedSource{script: []func(context.Context) (Batch[int], error){func(context.Context) (Batch[int], error) {
		<-release
		return Batch[int]{Changes: []Change[int]{{Name: "gone", Value: 1, Revision: 3}, {Name: "here", Value: 1, Revision: 4}}, Cursor: 5}, nil
	}}}
	var copied objectCopy
	m := &Mirror[int]{Name: "k", Source: source, WatchWait: time.Second, Apply: copied.apply, ProbesStore: true}
	r := newReplicator(t, 1, m)
	ctx, stop := context.WithCancel(t.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- r.Run(ctx) }()
	require.Eventually(t, func() bool { source.mu.Lock(); defer source.mu.Unlock(); return len(source.calls) == 1 }, 5*time.Second, time.Millisecond)
	encoded, err := encodeDelta(delta[int]{Complete: true, Changes: []Change[int]{{Name: "here", Value: 1}}, Position: Position{Reader: 2, Sequence: 9, Cursor: 8, Newest: 7}})
	require.NoError(t, err)
	_, err = m.applyDelta(encoded)
	require.NoError(t, err)
	close(release)
	require.Eventually(t, func() bool { source.mu.Lock(); defer source.mu.Unlock(); return len(source.calls) == 2 }, 5*time.Second, time.Millisecond)
	require.True(t, copied.equal(map[string]int{"here": 1}))
	stop()
	require.NoError(t, <-runErr)
}
