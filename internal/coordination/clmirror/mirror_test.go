// This file tests how a mirror follows its source.

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

// scriptedSource answers each call with the next entry of its script.
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

func answer(cursor uint64, changes ...Change[int]) func(context.Context) (Batch[int], error) {
	return func(context.Context) (Batch[int], error) { return Batch[int]{Changes: changes, Cursor: cursor}, nil }
}

func fail(err error) func(context.Context) (Batch[int], error) {
	return func(context.Context) (Batch[int], error) { return Batch[int]{}, err }
}

// run follows the script until done reports true.
func run(t *testing.T, s *scriptedSource, m *Mirror[int], done func() bool) {
	t.Helper()
	m.Source, m.WatchWait, m.ProbesStore = s, 10*time.Millisecond, true
	h := newHub(t, 1, m)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- h.Run(ctx) }()
	require.Eventually(t, done, 5*time.Second, time.Millisecond)
	cancel()
	require.NoError(t, <-ended)
}

// newHub returns a hub on a free port that has no reader to follow.
func newHub(t *testing.T, self uint64, m *Mirror[int]) *Replicator {
	t.Helper()
	addr := cltest.Address(t)
	m.Logger = zap.NewNop()
	h := &Replicator{
		BootID: self, ListenAddress: addr, Readers: func() []netip.AddrPort { return nil }, GatewayCount: func() int { return 2 },
		LastConfirmed: m.LastConfirmed, Confirm: m.Confirm, Logger: zap.NewNop(),
	}
	Add(h, m)
	return h
}

// Guards against changes that are missed because the store has dropped its
// history: the mirror must list again and say that the list is complete.
func TestListsAgainAfterLostHistory(t *testing.T) {
	s := &scriptedSource{script: []func(context.Context) (Batch[int], error){
		answer(1, Change[int]{Name: "a", Value: 1}), fail(ErrHistoryGone), answer(9, Change[int]{Name: "b", Value: 2}),
	}}
	var mu sync.Mutex
	var completes []bool
	m := &Mirror[int]{Apply: func(_ []Change[int], complete bool) {
		mu.Lock()
		defer mu.Unlock()
		completes = append(completes, complete)
	}}
	run(t, s, m, func() bool { mu.Lock(); defer mu.Unlock(); return len(completes) == 2 })
	require.Equal(t, []bool{true, true}, completes)
	require.Equal(t, []string{"list", "watch", "list"}, s.calls[:3])
}

// Guards against keys that stay trusted although the store no longer answers:
// only an answered call confirms, as of the time at which it was sent.
func TestConfirmedIsTheTimeOfSending(t *testing.T) {
	const took = 50 * time.Millisecond
	s := &scriptedSource{script: []func(context.Context) (Batch[int], error){
		func(context.Context) (Batch[int], error) { time.Sleep(took); return Batch[int]{Cursor: 1}, nil },
		fail(errors.New("down")), fail(errors.New("down")),
	}}
	m := &Mirror[int]{Apply: func([]Change[int], bool) {}}
	require.Zero(t, m.LastConfirmed())
	before := clclock.Now()
	run(t, s, m, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.calls) >= 4 })
	require.Less(t, m.LastConfirmed().Sub(before), took)
	require.Contains(t, s.calls[1:], "watch", "a failed watch goes on from its cursor")
	require.NotContains(t, s.calls[1:], "list")
}

// Guards against a watch that hangs on a silent connection although another
// call has shown that the store was lost.
func TestRenewAbandonsAWaitingWatch(t *testing.T) {
	abandoned := make(chan struct{})
	s := &scriptedSource{script: []func(context.Context) (Batch[int], error){
		answer(1),
		func(ctx context.Context) (Batch[int], error) {
			<-ctx.Done()
			close(abandoned)
			return Batch[int]{}, ctx.Err()
		},
	}}
	m := &Mirror[int]{Apply: func([]Change[int], bool) {}}
	run(t, s, m, func() bool {
		s.mu.Lock()
		watching := len(s.calls) >= 2
		s.mu.Unlock()
		if watching {
			m.Renew()
		}
		select {
		case <-abandoned:
			return true
		default:
			return false
		}
	})
}

// memoryStore is a store of which a test changes the objects.
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

// storeClient is one gateway's way to the store, which may be cut.
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

// copied is what a follower's or reader's Apply has built.
type copied struct {
	mu      sync.Mutex
	objects map[string]int
}

func (c *copied) apply(changes []Change[int], complete bool) {
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

func (c *copied) equal(want map[string]int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Equal(c.objects, want)
}

// Guards against a follower that misses changes or removals, that trusts a
// reader which has lost the store, and that stays with a reader which is gone.
func TestFollower(t *testing.T) {
	store := &memoryStore{objects: map[string]int{"a": 1, "b": 2}}
	src, own := &storeClient{memoryStore: store}, &storeClient{memoryStore: store}
	var readerCopy, followerCopy copied
	rm := &Mirror[int]{Name: "k", Source: src, WatchWait: 50 * time.Millisecond, Apply: readerCopy.apply, ProbesStore: true}
	reader := newHub(t, 1, rm)
	readerCtx, stopReader := context.WithCancel(t.Context())
	readerEnded := make(chan error, 1)
	go func() { readerEnded <- reader.Run(readerCtx) }()

	fm := &Mirror[int]{Name: "k", Source: own, WatchWait: 50 * time.Millisecond, Apply: followerCopy.apply, ProbesStore: true}
	follower := newHub(t, 2, fm)
	follower.Readers = func() []netip.AddrPort { return []netip.AddrPort{reader.ListenAddress} }
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- follower.Run(ctx) }()
	sees := func(want map[string]int) {
		t.Helper()
		require.Eventually(t, func() bool { return followerCopy.equal(want) }, 5*time.Second, time.Millisecond)
	}

	sees(map[string]int{"a": 1, "b": 2})
	store.set("c", 3, false)
	store.set("a", 0, true)
	sees(map[string]int{"b": 2, "c": 3})
	store.set("b", 7, false)
	sees(map[string]int{"b": 7, "c": 3})

	own.down.Store(true)
	src.down.Store(true)
	lost := clclock.Now()
	time.Sleep(3 * time.Second)
	require.Less(t, fm.LastConfirmed().Sub(lost), 500*time.Millisecond, "nothing is confirmed while the store is lost")
	src.down.Store(false)
	require.Eventually(t, func() bool { return clclock.Now().Sub(fm.LastConfirmed()) < time.Second }, 5*time.Second, time.Millisecond)

	own.down.Store(false)
	stopReader()
	require.NoError(t, <-readerEnded)
	store.set("d", 4, false)
	sees(map[string]int{"b": 7, "c": 3, "d": 4})
	stop()
	require.NoError(t, <-ended)
}

// Guards against followers that read the store besides, whose calls are priced.
func TestFollowersLeaveTheStoreAlone(t *testing.T) {
	store := &memoryStore{objects: map[string]int{"a": 1}}
	src, own := &storeClient{memoryStore: store}, &storeClient{memoryStore: store}
	var readerCopy, followerCopy copied
	reader := newHub(t, 1, &Mirror[int]{Name: "k", Source: src, WatchWait: 50 * time.Millisecond, Apply: readerCopy.apply, ProbesStore: true})
	follower := newHub(t, 2, &Mirror[int]{Name: "k", Source: own, WatchWait: 50 * time.Millisecond, Apply: followerCopy.apply, ProbesStore: true})
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
	require.EqualValues(t, 1, own.calls.Load(), "only the list at the start")
	stop()
	require.NoError(t, <-ended)
	require.NoError(t, <-ended)
}

// Guards against a follower that has read the store itself and then follows a
// reader that has lost it: the reader's copy is behind, and stays so.
func TestFollowerAheadOfACutReader(t *testing.T) {
	store := &memoryStore{objects: map[string]int{"a": 1}}
	src, own := &storeClient{memoryStore: store}, &storeClient{memoryStore: store}
	var readerCopy, followerCopy copied
	reader := newHub(t, 1, &Mirror[int]{Name: "k", Source: src, WatchWait: 20 * time.Millisecond, Apply: readerCopy.apply, ProbesStore: true})
	fm := &Mirror[int]{Name: "k", Source: own, WatchWait: 20 * time.Millisecond, Apply: followerCopy.apply, ProbesStore: true}
	follower := newHub(t, 2, fm)
	follower.Readers = func() []netip.AddrPort { return []netip.AddrPort{reader.ListenAddress} }
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 2)
	go func() { ended <- reader.Run(ctx) }()
	go func() { ended <- follower.Run(ctx) }()
	require.Eventually(t, func() bool { return followerCopy.equal(map[string]int{"a": 1}) }, 5*time.Second, time.Millisecond)
	src.down.Store(true)
	// Longer than the time for which a follower that lost its reader reads the store.
	for i := 2; i < 8; i++ {
		time.Sleep(time.Second)
		store.set("a", i, false)
		require.Eventually(t, func() bool { return followerCopy.equal(map[string]int{"a": i}) }, 2*time.Second, time.Millisecond)
	}
	stop()
	require.NoError(t, <-ended)
	require.NoError(t, <-ended)
}

// Guards against a follower that takes a reader for one that is behind because
// the reader has started after a removal, which its list does not show.
func TestFollowerOfARestartedReader(t *testing.T) {
	store := &memoryStore{objects: map[string]int{"a": 1, "b": 2}}
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan error, 3)
	newReader := func(self uint64) *Replicator {
		var copied copied
		return newHub(t, self, &Mirror[int]{
			Name: "k", Source: &storeClient{memoryStore: store}, WatchWait: 50 * time.Millisecond, Apply: copied.apply, ProbesStore: true,
		})
	}
	first, second := newReader(1), newReader(2)
	firstCtx, stopFirst := context.WithCancel(ctx)
	go func() { ended <- first.Run(firstCtx) }()
	own := &storeClient{memoryStore: store}
	var followerCopy copied
	fm := &Mirror[int]{Name: "k", Source: own, WatchWait: 50 * time.Millisecond, Apply: followerCopy.apply, ProbesStore: true}
	follower := newHub(t, 3, fm)
	var reader atomic.Pointer[Replicator]
	reader.Store(first)
	follower.Readers = func() []netip.AddrPort { return []netip.AddrPort{reader.Load().ListenAddress} }
	go func() { ended <- follower.Run(ctx) }()
	require.Eventually(t, func() bool { return followerCopy.equal(map[string]int{"a": 1, "b": 2}) }, 5*time.Second, time.Millisecond)
	store.set("b", 0, true)
	require.Eventually(t, func() bool { return followerCopy.equal(map[string]int{"a": 1}) }, 5*time.Second, time.Millisecond)
	own.down.Store(true)
	stopFirst()
	go func() { ended <- second.Run(ctx) }()
	reader.Store(second)
	time.Sleep(2 * time.Second)
	require.Less(t, clclock.Now().Sub(fm.LastConfirmed()), time.Second, "the new reader's copy is as new as the follower's")
	stop()
	for range 3 {
		require.NoError(t, <-ended)
	}
}
