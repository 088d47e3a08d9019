// This file tests how the traits of requests that crash endpoints are stored.

package clnode

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clstore"
	"github.com/chestnutlead/chestnutlead/internal/limits/clcrash"
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// startKeeper runs a keeper until the test ends, or stop is called, and returns its
// tracker.
func startKeeper(t *testing.T, store clstore.Store) (tracker *clcrash.Tracker, stop func()) {
	t.Helper()
	tracker = &clcrash.Tracker{}
	k := &blockKeeper{store: store, tracker: tracker, writes: func() bool { return true }, now: time.Now, logger: zap.NewNop()}
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { k.run(ctx) })
	stop = func() { cancel(); running.Wait() }
	t.Cleanup(stop)
	return tracker, stop
}

func refuses(tracker *clcrash.Tracker, id uint64) bool {
	_, refuses := tracker.Refuses([]clcrash.Trait{{ID: id, Depth: 1}}, clclock.Now())
	return refuses
}

// Guards against blocks that are lost when all gateways restart: while the store refuses
// calls or loses their answers, while several gateways write, and if one has found a block
// that another one has not heard of.
func TestBlocksOutliveAllGateways(t *testing.T) {
	for _, fault := range []clstore.Fault{clstore.FaultNone, clstore.FaultUnavailable, clstore.FaultLostRequest, clstore.FaultLostAnswer} {
		var mu sync.Mutex
		faults := 3
		store := &clstore.Memory{Fault: func(string, string) clstore.Fault {
			mu.Lock()
			defer mu.Unlock()
			if faults--; faults >= 0 {
				return fault
			}
			return clstore.FaultNone
		}}
		a, stopA := startKeeper(t, store)
		b, stopB := startKeeper(t, store)
		now := clclock.Now()
		a.Merge(clcrash.Evidence{Blocks: []clcrash.Block{{Trait: clcrash.Trait{ID: 1 << 63, Depth: 1}, LastCrash: now}}}, now)
		b.Merge(clcrash.Evidence{Blocks: []clcrash.Block{{Trait: clcrash.Trait{ID: 2, Depth: 1}, LastCrash: now.Add(-time.Minute)}}}, now)
		require.Eventually(t, func() bool {
			late, stop := startKeeper(t, store)
			time.Sleep(50 * time.Millisecond)
			stop()
			return refuses(late, 1<<63) && refuses(late, 2)
		}, 10*time.Second, 100*time.Millisecond, "fault %d", fault)
		stopA()
		stopB()
	}
}

// Guards against a stored block that counts for longer than its time, and against a
// keeper that ends on an object it cannot decode.
func TestStoredBlocksThatDoNotCount(t *testing.T) {
	store := &clstore.Memory{}
	_, err := store.Update(t.Context(), blocksKey, []byte("no JSON"), 0)
	require.NoError(t, err)
	tracker, stop := startKeeper(t, store)
	now := clclock.Now()
	tracker.Merge(clcrash.Evidence{Blocks: []clcrash.Block{{Trait: clcrash.Trait{ID: 1, Depth: 1}, LastCrash: now.Add(-clcrash.Retention + time.Second)}}}, now)
	stored := func() bool {
		o, err := store.Get(t.Context(), blocksKey)
		return err == nil && string(o.Value) != "no JSON"
	}
	require.Eventually(t, stored, 5*time.Second, 10*time.Millisecond)
	stop()
	time.Sleep(1100 * time.Millisecond)
	late, _ := startKeeper(t, store)
	time.Sleep(50 * time.Millisecond)
	require.False(t, refuses(late, 1))
}
