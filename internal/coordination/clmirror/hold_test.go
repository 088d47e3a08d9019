// This file tests what copies hold after the store has returned from an older copy.

package clmirror

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

const (
	serving = 1
	leaving = 2
	renewed = 3
)

var (
	beforeReturn = Batch[int]{Cursor: 30, Era: 1, Changes: []Change[int]{
		{Name: "kept", Value: serving, Revision: 12}, {Name: "lapsed", Value: serving, Revision: 21}, {Name: "left", Value: leaving, Revision: 22},
	}}
	// afterReturn lacks all changes after revision 20.
	afterReturn = Batch[int]{Cursor: 20, Era: 2, Changes: []Change[int]{
		{Name: "kept", Value: serving, Revision: 12}, {Name: "left", Value: serving, Revision: 14}, {Name: "gone", Value: serving, Revision: 15},
	}}
	known = map[string]int{"kept": serving, "lapsed": serving, "left": leaving}
)

// recoverInt keeps objects that were known as leaving.
func recoverInt(known, listed int) Recovery {
	switch {
	case listed == renewed:
		return TakeListed
	case known == leaving:
		return KeepKnown
	default:
		return HoldKnown
	}
}

// newReturned returns a mirror whose store has returned from an older copy.
func newReturned(bootID uint64) (*Mirror[int], *objectCopy) {
	m, c := newOrderedMirror(bootID)
	m.Recover = recoverInt
	m.applyBatch(beforeReturn, true, time.Time{})
	m.applyBatch(afterReturn, true, time.Time{})
	return m, c
}

// Guards against endpoints that lose their requests or get some after they left (DRAIN),
// because the older copy from which the store has returned lacks their entries or their
// leaving, or still has those that were removed.
func TestOlderCopyUndoesNothingAtOnce(t *testing.T) {
	cases := []struct {
		name    string
		changes []Change[int]
		during  map[string]int
		after   map[string]int
	}{
		{"nothing is written again", nil, known, map[string]int{"kept": serving, "left": leaving, "gone": serving}},
		{"an entry that lapsed is back", []Change[int]{{Name: "lapsed", Value: serving, Revision: 21}},
			known, map[string]int{"kept": serving, "lapsed": serving, "left": leaving, "gone": serving}},
		{"an entry is written anew", []Change[int]{{Name: "left", Value: serving, Revision: 21}},
			map[string]int{"kept": serving, "lapsed": serving, "left": serving}, map[string]int{"kept": serving, "left": serving, "gone": serving}},
		{"an object is removed again", []Change[int]{{Name: "gone", Removed: true, Revision: 21}}, known, map[string]int{"kept": serving, "left": leaving}},
		{"an entry that leaves is removed", []Change[int]{{Name: "left", Removed: true, Revision: 21}},
			map[string]int{"kept": serving, "lapsed": serving}, map[string]int{"kept": serving, "gone": serving}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			m, objects := newReturned(1)
			require.Equal(t, known, objects.objects, "while copies begin again, all is as it was known")
			m.applyBatch(Batch[int]{Cursor: 25, Era: 2, Changes: c.changes}, false, time.Time{})
			require.Equal(t, c.during, objects.objects)
			m.replicator.checkHold(clclock.Now())
			require.Equal(t, c.during, objects.objects, "the hold goes on")
			again := Batch[int]{Cursor: 25, Era: 2}
			for name, o := range m.objects {
				again.Changes = append(again.Changes, Change[int]{Name: name, Value: o.value, Revision: o.revision})
			}
			m.applyBatch(again, true, time.Time{})
			require.Equal(t, c.during, objects.objects, "another list of the new era")
			m.replicator.checkHold(clclock.Now().Add(holdDuration))
			require.Equal(t, c.after, objects.objects)
		})
	}
}

// Guards against a list of a new era that is held back although it is newer than all that
// was known.
func TestNewerObjectsAreNotHeld(t *testing.T) {
	m, objects := newOrderedMirror(1)
	m.Recover = recoverInt
	m.applyBatch(beforeReturn, true, time.Time{})
	m.applyBatch(Batch[int]{Cursor: 40, Era: 2, Changes: []Change[int]{
		{Name: "kept", Value: leaving, Revision: 31}, {Name: "left", Value: renewed, Revision: 14}, {Name: "new", Value: serving, Revision: 32},
	}}, true, time.Time{})
	require.Equal(t, map[string]int{"kept": leaving, "lapsed": serving, "left": renewed, "new": serving}, objects.objects)
}

// Guards against a hold that outlasts what has been written in the new era, because the copy
// learns of it by another list.
func TestListOfTheNewEraEndsAHold(t *testing.T) {
	m, objects := newReturned(1)
	m.applyBatch(Batch[int]{Cursor: 25, Era: 2, Changes: []Change[int]{
		{Name: "left", Value: serving, Revision: 21}, {Name: "lapsed", Value: leaving, Revision: 22}, {Name: "gone", Value: serving, Revision: 23},
	}}, true, time.Time{})
	require.Equal(t, map[string]int{"left": serving, "lapsed": leaving, "gone": serving}, objects.objects)
}

// Guards against a second return of the store that ends what is held because of the first.
func TestSecondReturnHoldsOn(t *testing.T) {
	m, objects := newReturned(1)
	m.applyBatch(Batch[int]{Cursor: 21, Era: 2, Changes: []Change[int]{{Name: "new", Value: serving, Revision: 21}}}, false, time.Time{})
	m.applyBatch(Batch[int]{Cursor: 25, Era: 3, Changes: []Change[int]{{Name: "kept", Value: serving, Revision: 12}, {Name: "left", Value: serving, Revision: 14}}}, true, time.Time{})
	require.Equal(t, map[string]int{"kept": serving, "lapsed": serving, "left": leaving, "new": serving}, objects.objects)
	m.endHold()
	require.Equal(t, map[string]int{"kept": serving, "left": leaving}, objects.objects)
}

// Guards against gateways that take the older copy for the truth, because they have just
// started or were behind their reader when the store returned.
func TestFollowersHoldWhatTheirReaderHolds(t *testing.T) {
	cases := []struct {
		name  string
		begin func(m *Mirror[int])
	}{
		{"just started", func(*Mirror[int]) {}},
		{"just started, with a list of the new era", func(m *Mirror[int]) { m.applyBatch(afterReturn, true, time.Time{}) }},
		{"in the earlier era", func(m *Mirror[int]) { m.applyBatch(beforeReturn, true, time.Time{}) }},
		{"behind in the earlier era", func(m *Mirror[int]) {
			m.applyBatch(Batch[int]{Cursor: 21, Era: 1, Changes: []Change[int]{{Name: "left", Value: serving, Revision: 14}, {Name: "gone", Value: serving, Revision: 15}}}, true, time.Time{})
			m.applyBatch(afterReturn, true, time.Time{})
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			reader, _ := newReturned(1)
			m, objects := newOrderedMirror(2)
			m.Recover = recoverInt
			c.begin(m)
			takeDelta(t, m, reader)
			require.Equal(t, known, objects.objects)
			require.Equal(t, valuesOf(reader), valuesOf(m))
			m.replicator.checkHold(clclock.Now().Add(holdDuration))
			require.Equal(t, map[string]int{"kept": serving, "left": leaving, "gone": serving}, objects.objects)
		})
	}
}

// Guards against a hold at a follower that is longer than that of its reader.
func TestHoldEndsWithTheReaders(t *testing.T) {
	r := &Replicator{Logger: zap.NewNop(), Readers: func() []netip.AddrPort { return nil }}
	r.adoptHold(time.Second)
	require.Positive(t, r.holdLeft())
	require.LessOrEqual(t, r.holdLeft(), time.Second)
	r.adoptHold(time.Hour)
	require.LessOrEqual(t, r.holdLeft(), time.Second, "a hold that goes on is not prolonged")
	r.checkHold(clclock.Now().Add(time.Second))
	require.Zero(t, r.holdLeft())
}

// Guards against operators who cannot see that the store has returned, what was held because
// of it, and how long the gateway took.
func TestReturnIsLogged(t *testing.T) {
	core, logs := observer.New(zap.InfoLevel)
	m, _ := newOrderedMirror(1)
	r := m.replicator
	r.Logger = zap.New(core)
	var learned []uint64
	r.OnEra = func(era uint64) { learned = append(learned, era) }
	m.applyBatch(beforeReturn, true, time.Time{})
	r.observeEra(2)
	r.observeEra(1)
	require.Equal(t, []uint64{2}, learned)
	now := clclock.Now()
	r.checkHold(now)
	m.applyBatch(afterReturn, true, time.Time{})
	r.checkHold(now.Add(time.Second))
	era, delay := r.Era()
	require.EqualValues(t, 2, era)
	require.InDelta(t, time.Second, delay, float64(500*time.Millisecond))
	r.checkHold(now.Add(holdDuration))
	r.checkHold(now.Add(2 * holdDuration))
	fields := logs.FilterMessage("store returned from an older copy").All()
	require.Len(t, fields, 1)
	require.Equal(t, map[string]any{"era": uint64(2), "earlier_era": uint64(1)}, fields[0].ContextMap())
	fields = logs.FilterMessage("hold after the store's return ended").All()
	require.Len(t, fields, 1)
	require.Equal(t, map[string]any{
		"era": uint64(2), "missing": int64(1), "older": int64(1), "hidden": int64(1), "rewritten": int64(0), "removed": int64(1), "taken": int64(2), "kept": int64(0),
	}, fields[0].ContextMap())
}

// Guards against copies of an earlier era that are used although another call of this
// process, such as one about the lease, has told of the new one.
func TestAnyCallTellsOfANewEra(t *testing.T) {
	var era atomic.Uint64
	s := &scriptedSource{script: []func(context.Context) (Batch[int], error){
		func(context.Context) (Batch[int], error) { return beforeReturn, nil },
		func(ctx context.Context) (Batch[int], error) { <-ctx.Done(); return Batch[int]{}, ctx.Err() },
		func(context.Context) (Batch[int], error) { return afterReturn, nil },
	}}
	objects := &objectCopy{}
	m := &Mirror[int]{Name: "k", Source: s, WatchWait: time.Minute, Apply: objects.apply, ProbesStore: true}
	r := newReplicator(t, 1, m)
	r.StoreEra = era.Load
	ctx, stop := context.WithCancel(t.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- r.Run(ctx) }()
	require.Eventually(t, func() bool { s.mu.Lock(); defer s.mu.Unlock(); return len(s.calls) == 2 }, 5*time.Second, time.Millisecond)
	require.True(t, objects.equal(known))
	era.Store(2)
	require.Eventually(t, func() bool { return m.position().Era == 2 }, 2*time.Second, time.Millisecond)
	stop()
	require.NoError(t, <-runErr)
	require.Equal(t, []string{"list", "watch", "list"}, s.calls[:3])
}
