// This file tests how the traits of requests that crash endpoints are recorded.

package clnode

import (
	"context"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/coordination/clgossip"
	"github.com/chestnutlead/chestnutlead/internal/coordination/clmirror"
	"github.com/chestnutlead/chestnutlead/internal/coordination/clmove"
	"github.com/chestnutlead/chestnutlead/internal/limits/clcrash"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

// recordStore is a blockStore in memory.
type recordStore struct {
	mu      sync.Mutex
	records map[uint64]clcatalog.CrashBlock
	changes []clmirror.Change[clcatalog.CrashBlock]
	era     uint64
	// failures is the number of calls that fail from now on; the failing writes take
	// effect if failuresTakeEffect is set.
	failures           int
	failuresTakeEffect bool
}

var errStore = errors.New("store failed")

func (s *recordStore) fails() bool { s.failures--; return s.failures >= 0 }

func (s *recordStore) CrashBlocks() clmirror.Source[clcatalog.CrashBlock] { return s }

func (s *recordStore) List(context.Context, bool) (clmirror.Batch[clcatalog.CrashBlock], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := clmirror.Batch[clcatalog.CrashBlock]{Cursor: uint64(len(s.changes)), Era: s.era}
	if s.fails() {
		return b, errStore
	}
	for _, r := range s.records {
		b.Changes = append(b.Changes, clmirror.Change[clcatalog.CrashBlock]{Value: r})
	}
	return b, nil
}

func (s *recordStore) Watch(ctx context.Context, cursor uint64, _ time.Duration) (clmirror.Batch[clcatalog.CrashBlock], error) {
	for ctx.Err() == nil {
		s.mu.Lock()
		fails, era, changes := s.fails(), s.era, s.changes[min(cursor, uint64(len(s.changes))):]
		s.mu.Unlock()
		switch {
		case fails:
			return clmirror.Batch[clcatalog.CrashBlock]{}, clmirror.ErrHistoryGone
		case len(changes) > 0:
			return clmirror.Batch[clcatalog.CrashBlock]{Cursor: cursor + uint64(len(changes)), Changes: changes, Era: era}, nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return clmirror.Batch[clcatalog.CrashBlock]{}, ctx.Err()
}

func (s *recordStore) RecordCrashBlock(_ context.Context, b clcatalog.CrashBlock) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	fails := s.fails()
	if !fails || s.failuresTakeEffect {
		if s.records == nil {
			s.records = map[uint64]clcatalog.CrashBlock{}
		}
		s.records[b.Trait] = b
		s.changes = append(s.changes, clmirror.Change[clcatalog.CrashBlock]{Value: b})
	}
	if fails {
		return errStore
	}
	return nil
}

func (s *recordStore) RemoveCrashBlock(_ context.Context, trait uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.records, trait)
	return nil
}

func (s *recordStore) len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.records)
}

// startKeeper runs a keeper that follows and writes records until the test ends, or stop
// is called, and returns its tracker.
func startKeeper(t *testing.T, store blockStore) (tracker *clcrash.Tracker, stop func()) {
	t.Helper()
	tracker = &clcrash.Tracker{}
	always := func() bool { return true }
	k := &blockKeeper{store: store, tracker: tracker, follows: always, writes: always, now: time.Now, logger: zap.NewNop()}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { k.run(ctx) })
	stop = func() { cancel(); running.Wait() }
	t.Cleanup(stop)
	return tracker, stop
}

// block blocks a trait whose latest crash has an age.
func block(tracker *clcrash.Tracker, id uint64, age time.Duration) {
	now := clclock.Now()
	tracker.Merge(clcrash.Evidence{Blocks: []clcrash.Block{{Trait: clcrash.Trait{ID: id, Depth: 1}, LastCrash: now.Add(-age)}}}, now)
}

func refuses(tracker *clcrash.Tracker, id uint64) bool {
	_, refuses := tracker.Refuses([]clcrash.Trait{{ID: id, Depth: 1}}, clclock.Now())
	return refuses
}

// Guards against blocks that are lost when all gateways restart, and against a gateway
// that never hears of a block because it is cut off from the others: also if the store
// fails calls, or loses the answers to them.
func TestBlocksReachOtherGatewaysThroughTheStore(t *testing.T) {
	for _, takeEffect := range []bool{false, true} {
		store := &recordStore{failures: 4, failuresTakeEffect: takeEffect}
		a, stopA := startKeeper(t, store)
		b, stopB := startKeeper(t, store)
		block(a, 1<<63, 0)
		block(b, 2, time.Minute)
		require.Eventually(t, func() bool { return refuses(a, 2) && refuses(b, 1<<63) }, 10*time.Second, 10*time.Millisecond, "followed")
		stopA()
		stopB()
		late, stop := startKeeper(t, store)
		require.Eventually(t, func() bool { return refuses(late, 1<<63) && refuses(late, 2) }, 10*time.Second, 10*time.Millisecond, "read at the start")
		stop()
	}
}

// Guards against the loss of records that the store has forgotten: a gateway that starts
// would send the requests to endpoints again.
func TestForgottenRecordsAreWrittenAgain(t *testing.T) {
	store := &recordStore{}
	tracker, _ := startKeeper(t, store)
	block(tracker, 1, 0)
	require.Eventually(t, func() bool { return store.len() == 1 }, 5*time.Second, 10*time.Millisecond)
	store.mu.Lock()
	store.records, store.changes, store.era = nil, nil, store.era+1
	store.mu.Unlock()
	// The change of another trait shows the new era.
	require.NoError(t, store.RecordCrashBlock(t.Context(), clcatalog.CrashBlock{Trait: 2, Depth: 1, LastCrash: time.Now()}))
	require.NoError(t, store.RecordCrashBlock(t.Context(), clcatalog.CrashBlock{Trait: 3, Depth: 1, LastCrash: time.Now()}))
	require.Eventually(t, func() bool { return store.len() == 3 }, 5*time.Second, 10*time.Millisecond)
}

// Guards against the loss of records if the one gateway that follows them cannot read the
// store: those that only write them learn of the return by other calls.
func TestWritersLearnOfAReturn(t *testing.T) {
	store := &recordStore{}
	tracker := &clcrash.Tracker{}
	k := &blockKeeper{
		store: store, tracker: tracker, follows: func() bool { return false }, writes: func() bool { return true }, now: time.Now, logger: zap.NewNop(),
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { k.run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	block(tracker, 1, 0)
	require.Eventually(t, func() bool { return store.len() == 1 }, 5*time.Second, 10*time.Millisecond)
	store.mu.Lock()
	store.records, store.changes, store.era = nil, nil, store.era+1
	store.mu.Unlock()
	n := &Node{blockKeeper: k, eraBegun: make(chan struct{}, 1), rolloutController: &clmove.Controller{}}
	n.beginEra(store.era)
	require.Eventually(t, func() bool { return store.len() == 1 }, 5*time.Second, 10*time.Millisecond)
}

// Guards against a sound part that is refused because an older copy of the store still has
// the record that was removed.
func TestRemovedRecordDoesNotComeBack(t *testing.T) {
	store := &recordStore{}
	tracker, _ := startKeeper(t, store)
	block(tracker, 1, time.Minute)
	require.Eventually(t, func() bool { return store.len() == 1 }, 5*time.Second, 10*time.Millisecond)
	store.mu.Lock()
	older := maps.Clone(store.records)
	older[2] = clcatalog.CrashBlock{Trait: 2, Depth: 1, LastCrash: time.Now().Add(-clcrash.Retention - time.Second)}
	store.mu.Unlock()
	now := clclock.Now()
	tracker.Merge(clcrash.Evidence{SoundRuns: []clcrash.SoundRun{{TraitID: 1, BeganAt: now}}}, now)
	require.Eventually(t, func() bool { return store.len() == 0 }, 5*time.Second, 10*time.Millisecond)
	store.mu.Lock()
	store.records, store.changes, store.era = older, nil, store.era+1
	store.mu.Unlock()
	// The changes of another trait show the new era.
	for range 2 {
		require.NoError(t, store.RecordCrashBlock(t.Context(), clcatalog.CrashBlock{Trait: 3, Depth: 1, LastCrash: time.Now()}))
	}
	require.Eventually(t, func() bool { return refuses(tracker, 3) && store.len() == 1 }, 5*time.Second, 10*time.Millisecond)
	require.False(t, refuses(tracker, 1))
	require.False(t, refuses(tracker, 2))
}

// Guards against records that count for longer than their time, and that stay for ever.
func TestOutdatedRecordsDoNotCount(t *testing.T) {
	store := &recordStore{}
	require.NoError(t, store.RecordCrashBlock(t.Context(), clcatalog.CrashBlock{Trait: 1, Depth: 1, LastCrash: time.Now().Add(-clcrash.Retention - time.Second)}))
	require.NoError(t, store.RecordCrashBlock(t.Context(), clcatalog.CrashBlock{Trait: 2, Depth: 1, LastCrash: time.Now()}))
	tracker, _ := startKeeper(t, store)
	require.Eventually(t, func() bool { return refuses(tracker, 2) }, 5*time.Second, 10*time.Millisecond)
	require.False(t, refuses(tracker, 1))
	require.Eventually(t, func() bool { return store.len() == 1 }, 5*time.Second, 10*time.Millisecond)
}

// Guards against the record of a part that turned out to be sound, by which a gateway that
// starts would refuse it again.
func TestRecordOfARevisedBlockIsRemoved(t *testing.T) {
	store := &recordStore{}
	tracker, _ := startKeeper(t, store)
	block(tracker, 1, time.Minute)
	block(tracker, 2, time.Minute)
	require.Eventually(t, func() bool { return store.len() == 2 }, 5*time.Second, 10*time.Millisecond)
	now := clclock.Now()
	tracker.Merge(clcrash.Evidence{SoundRuns: []clcrash.SoundRun{{TraitID: 1, BeganAt: now}}}, now)
	require.False(t, refuses(tracker, 1))
	require.Eventually(t, func() bool { return store.len() == 1 }, 5*time.Second, 10*time.Millisecond)
	// The clock of the writer is ahead.
	require.NoError(t, store.RecordCrashBlock(t.Context(), clcatalog.CrashBlock{Trait: 1, Depth: 1, LastCrash: time.Now().Add(time.Minute)}))
	require.Eventually(t, func() bool { return store.len() == 1 }, 5*time.Second, 10*time.Millisecond)
	require.False(t, refuses(tracker, 1))
	require.True(t, refuses(tracker, 2))
	late, _ := startKeeper(t, store)
	require.Eventually(t, func() bool { return refuses(late, 2) }, 5*time.Second, 10*time.Millisecond)
	require.False(t, refuses(late, 1))
}

// Guards against digests that do not tell how sound a part was: the gateway that gets them
// would refuse the deeper part, which is the sound one.
func TestDigestTellsHowSoundAPartWas(t *testing.T) {
	const bad, shared = 1, 2
	told, hears := &Node{crashTracker: &clcrash.Tracker{}}, &Node{crashTracker: &clcrash.Tracker{}}
	traits := func(whole uint64, first uint64) []clcrash.Trait {
		return []clcrash.Trait{{ID: whole, Depth: clcrash.WholeRequest}, {ID: first}, {ID: shared, Depth: 1}}
	}
	began := clclock.Now().Add(-time.Minute)
	for i := range uint64(50) {
		told.crashTracker.RecordSound(traits(100+i, 3), began)
	}
	for i := range uint64(3) {
		told.crashTracker.Record(i, traits(200+i, bad), began.Add(time.Duration(1+i)*time.Second))
		hears.crashTracker.RecordSound([]clcrash.Trait{{ID: 300 + i, Depth: clcrash.WholeRequest}}, clclock.Now())
	}
	var d clgossip.Digest
	told.fillCrashEvidence(&d)
	encoded, err := proto.Marshal(&d)
	require.NoError(t, err)
	var received clgossip.Digest
	require.NoError(t, proto.Unmarshal(encoded, &received))
	hears.mergeCrashEvidence(&received)
	require.True(t, refuses(hears.crashTracker, bad))
	require.False(t, refuses(hears.crashTracker, shared))
}
