// This file tests the lease on a store that returns from an older copy.

package cllease

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutlead/chestnutlead/clstore"
)

type (
	// eraWorld has contenders for one lease on a store that returns from older copies.
	eraWorld struct {
		t      *testing.T
		memory clstore.Memory
		now    time.Time
		// runners holds the contenders by name; users holds who held the lease with a
		// number, highest the highest such number, and latest who held it last.
		runners map[string]*Runner
		users   map[uint64]string
		highest uint64
		latest  string
	}

	// learningStore lets other things happen between a read and its answer.
	learningStore struct {
		*clstore.Client
		beforeAnswer func()
	}
)

// Get implements clstore.Store.
func (s *learningStore) Get(ctx context.Context, key string) (clstore.Object, error) {
	o, err := s.Client.Get(ctx, key)
	s.beforeAnswer()
	return o, err
}

func newEraWorld(t *testing.T) *eraWorld {
	return &eraWorld{t: t, now: time.Now(), runners: map[string]*Runner{}, users: map[uint64]string{}}
}

func (w *eraWorld) start(name string) {
	r := &Runner{Config: Config{Key: "lease/x", Holder: name, TTL: testTTL}, Store: w.memory.Client(), Now: func() time.Time { return w.now }}
	require.NoError(w.t, r.init())
	w.runners[name] = r
}

// pass lets time pass while the named contenders run, and checks the lease: a number
// belongs to one contender, a later holder has a higher one, and no two hold it at once.
func (w *eraWorld) pass(d time.Duration, names ...string) {
	w.t.Helper()
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(testTTL / 60) {
		var holders []string
		for _, name := range names {
			r := w.runners[name]
			for _, next, _, _ := r.next(); next.Action != ActionWait; _, next, _, _ = r.next() {
				r.call(w.t.Context(), next)
			}
		}
		for name, r := range w.runners {
			s := r.Current(w.now)
			if !s.Held {
				continue
			}
			holders = append(holders, name)
			if user, ok := w.users[s.Fencing]; ok {
				require.Equal(w.t, user, name, "number %d has two holders", s.Fencing)
			}
			if name != w.latest {
				require.Greater(w.t, s.Fencing, w.highest, "%s holds the lease after %s", name, w.latest)
			}
			w.users[s.Fencing], w.highest, w.latest = name, max(w.highest, s.Fencing), name
		}
		require.LessOrEqual(w.t, len(holders), 1, "%v hold the lease at once", holders)
	}
}

// Guards against two holders with one number, and against a holder whose number is below
// that of an earlier one, after the store has returned from a copy without the latest
// lease.
func TestNumbersRiseAfterReturnFromOlderCopy(t *testing.T) {
	for _, tc := range []struct {
		name string
		// before runs until the copy is taken, between until the return, and after from
		// then on.
		before, between, after []string
		returns                int
	}{
		{"no lease in the copy, another contender", nil, []string{"a"}, []string{"b"}, 1},
		{"no lease in the copy, both go on", nil, []string{"a"}, []string{"b", "a"}, 1},
		{"the copy names a holder that has ended", []string{"a"}, []string{"b"}, []string{"c", "b"}, 1},
		{"the copy names the present holder", []string{"a"}, []string{"a"}, []string{"b", "a"}, 1},
		{"the copy names the present holder, which ends", []string{"a"}, []string{"a"}, []string{"b"}, 1},
		{"two returns", []string{"a"}, []string{"b"}, []string{"c", "b"}, 2},
		{"many holders since the copy", []string{"a"}, []string{"b", "c", "d"}, []string{"c", "d"}, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newEraWorld(t)
			for _, name := range []string{"a", "b", "c", "d"} {
				w.start(name)
			}
			w.pass(testTTL, tc.before...)
			snapshot := w.memory.Snapshot()
			for _, name := range tc.between {
				w.pass(3*testTTL, name)
			}
			for range tc.returns {
				w.memory.Restore(snapshot)
				w.pass(testTTL/4, tc.after...)
			}
			w.pass(3*testTTL, tc.after...)
			held := false
			for _, name := range tc.after {
				held = held || w.runners[name].Current(w.now).Held
			}
			require.True(t, held, "nobody holds the lease after the return")
		})
	}
}

// Guards against duties that rest for a TTL although their holder lives, and against a
// successor that acts while the holder does not know of the return yet.
func TestOnlyHolderGoesOnAtOnceAfterReturn(t *testing.T) {
	w := newEraWorld(t)
	w.start("a")
	w.start("b")
	snapshot := w.memory.Snapshot()
	w.pass(testTTL, "a", "b")
	require.True(t, w.runners["a"].Current(w.now).Held)
	for range 2 {
		w.memory.Restore(snapshot)
		w.pass(testTTL/2, "b", "a")
		require.True(t, w.runners["a"].Current(w.now).Held)
	}
	w.memory.Restore(snapshot)
	w.pass(testTTL/3, "b")
	require.False(t, w.runners["b"].Current(w.now).Held)
	w.pass(2*testTTL, "b")
	require.True(t, w.runners["b"].Current(w.now).Held)
}

// Guards against a lease of an earlier era that is taken for the present one because its
// answer came after the process had learnt of the return by another call.
func TestOutcomeOfEarlierEraIsDropped(t *testing.T) {
	var memory clstore.Memory
	now := time.Now()
	copied := memory.Snapshot()
	other := &Runner{Config: Config{Key: "lease/x", Holder: "other", TTL: testTTL}, Store: memory.Client(), Now: func() time.Time { return now }}
	require.NoError(t, other.init())
	for _, d, _, _ := other.next(); d.Action != ActionWait; _, d, _, _ = other.next() {
		other.call(t.Context(), d)
	}
	require.True(t, other.Current(now).Held)

	store := &learningStore{Client: memory.Client()}
	r := &Runner{Config: Config{Key: "lease/x", Holder: "me", TTL: testTTL}, Store: store, Now: other.Now}
	require.NoError(t, r.init())
	store.beforeAnswer = func() {
		memory.Restore(copied)
		_, err := store.Client.Get(t.Context(), "other")
		require.Equal(t, clstore.KindNotFound, clstore.KindOf(err))
		require.EqualValues(t, 1, r.Current(now).Era)
	}
	_, d, _, _ := r.next()
	require.Equal(t, ActionRead, d.Action)
	r.call(t.Context(), d)
	require.Empty(t, r.Current(now).Holder)
}
