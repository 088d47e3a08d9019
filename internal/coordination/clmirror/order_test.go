// This file tests in which order answers of the store and of readers take effect.

package clmirror

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// newOrderedMirror returns a mirror of a Replicator that makes no calls of its own, and
// the copy that its changes make.
func newOrderedMirror(bootID uint64) (*Mirror[int], *objectCopy) {
	c := &objectCopy{objects: map[string]int{}}
	m := &Mirror[int]{Name: "k", Apply: c.apply, ProbesStore: true, Logger: zap.NewNop()}
	r := &Replicator{BootID: bootID, Readers: func() []netip.AddrPort { return nil }, GatewayCount: func() int { return 1 }, Logger: zap.NewNop()}
	r.policy.changeDeadline = defaultChangeDeadline
	Add(r, m)
	return m, c
}

// valuesOf returns the objects of a copy, without what is held.
func valuesOf(m *Mirror[int]) map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return lo.MapValues(m.objects, func(o object[int], _ string) int { return o.value })
}

// takeDelta applies the changes that a reader has after the position of m.
func takeDelta(t require.TestingT, m, reader *Mirror[int]) {
	data, err := reader.changesSince(m.position())
	require.NoError(t, err)
	if data == nil {
		return
	}
	_, err = m.applyDelta(data)
	if err != nil {
		require.ErrorIs(t, err, errReaderBehind)
	}
}

// Guards against requests that reach an endpoint long after it has said that it leaves: an
// answer of the store that was held up must not bring back what a reader has since told.
func TestLateAnswerKeepsNewerObjects(t *testing.T) {
	const ready, cold, leaving = 1, 2, 3
	list := Batch[int]{Cursor: 10, Changes: []Change[int]{{Name: "e", Value: ready, Revision: 9}, {Name: "f", Value: ready, Revision: 10}}}
	newer := []Change[int]{{Name: "e", Value: cold, Revision: 11}, {Name: "e", Value: leaving, Revision: 12}, {Name: "f", Removed: true, Revision: 13}}
	cases := []struct {
		name     string
		late     Batch[int]
		complete bool
	}{
		{"watch with an older change", Batch[int]{Cursor: 11, Changes: newer[:1]}, false},
		{"watch with a change before a removal", Batch[int]{Cursor: 11, Changes: []Change[int]{{Name: "f", Value: cold, Revision: 11}}}, false},
		{"watch with all changes", Batch[int]{Cursor: 13, Changes: newer}, false},
		{"watch that ends later", Batch[int]{Cursor: 20, Changes: newer[:1]}, false},
		{"removal of an earlier object of the name", Batch[int]{Cursor: 11, Changes: []Change[int]{{Name: "e", Removed: true, Revision: 9}}}, false},
		{"list", list, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			reader, _ := newOrderedMirror(1)
			reader.applyBatch(list, true, time.Time{})
			m, objects := newOrderedMirror(2)
			m.applyBatch(list, true, time.Time{})
			reader.applyBatch(Batch[int]{Cursor: 13, Changes: newer}, false, time.Time{})
			takeDelta(t, m, reader)
			require.Equal(t, map[string]int{"e": leaving}, objects.objects)
			m.applyBatch(c.late, c.complete, time.Time{})
			require.Equal(t, map[string]int{"e": leaving}, objects.objects)
			follower, followed := newOrderedMirror(3)
			takeDelta(t, follower, m)
			require.Equal(t, map[string]int{"e": leaving}, followed.objects, "a follower takes over what the mirror has")
		})
	}
}

// Guards against a removed object that a complete copy of a reader brings back, because
// the revision of its removal does not show that the reader lacks it.
func TestCompleteCopyKeepsRemovals(t *testing.T) {
	reader, _ := newOrderedMirror(1)
	list := Batch[int]{Cursor: 10, Changes: []Change[int]{{Name: "a", Value: 1, Revision: 5}, {Name: "b", Value: 1, Revision: 10}}}
	reader.applyBatch(list, true, time.Time{})
	m, objects := newOrderedMirror(2)
	m.applyBatch(list, true, time.Time{})
	m.applyBatch(Batch[int]{Cursor: 11, Changes: []Change[int]{{Name: "a", Removed: true, Revision: 5}}}, false, time.Time{})
	data, err := reader.changesSince(Position{})
	require.NoError(t, err)
	_, err = m.applyDelta(data)
	require.NoError(t, err)
	require.Equal(t, map[string]int{"b": 1}, objects.objects)
}

// Guards against copies that stay wrong after the store has returned from an older copy
// and gives out revisions again: revisions of different eras must not be compared.
func TestErasOrderAnswers(t *testing.T) {
	before := Batch[int]{Cursor: 30, Era: 1, Changes: []Change[int]{{Name: "a", Value: 1, Revision: 20}, {Name: "b", Value: 1, Revision: 30}}}
	after := Batch[int]{Cursor: 25, Era: 2, Changes: []Change[int]{{Name: "a", Value: 2, Revision: 20}}}
	m, objects := newOrderedMirror(1)
	m.applyBatch(before, true, time.Time{})
	earlier, _ := newOrderedMirror(2)
	earlier.applyBatch(before, true, time.Time{})
	m.applyBatch(after, true, time.Time{})
	require.Equal(t, map[string]int{"a": 2}, valuesOf(m), "the list of a new era replaces the copy")
	require.Equal(t, map[string]int{"a": 1, "b": 1}, objects.objects, "what was known is held")
	m.applyBatch(Batch[int]{Cursor: 31, Era: 1, Changes: []Change[int]{{Name: "a", Value: 3, Revision: 31}}}, false, time.Time{})
	m.applyBatch(before, true, time.Time{})
	takeDelta(t, m, earlier)
	require.Equal(t, map[string]int{"a": 2}, valuesOf(m), "an answer of the earlier era changes nothing")
	require.Equal(t, map[string]int{"a": 1, "b": 1}, objects.objects, "an answer of the earlier era changes nothing")
	data, err := earlier.changesSince(Position{})
	require.NoError(t, err)
	_, err = m.applyDelta(data)
	require.ErrorIs(t, err, errReaderBehind)
	follower, followed := newOrderedMirror(3)
	follower.applyBatch(before, true, time.Time{})
	takeDelta(t, follower, m)
	require.Equal(t, map[string]int{"a": 2}, valuesOf(follower), "a follower takes over the new era")
	require.Equal(t, map[string]int{"a": 1, "b": 1}, followed.objects, "a follower holds what was known")
	m.endHold()
	require.Equal(t, map[string]int{"a": 2}, objects.objects, "the new era counts when the hold ends")
	follower.endHold()
	require.Equal(t, map[string]int{"a": 2}, followed.objects, "the new era counts when the hold ends")
	require.Equal(t, Position{Sequence: follower.sequence, Cursor: 25, Newest: 20, Era: 2}, follower.position())
}

// Guards against a watch that goes on from a revision of an earlier era, which the store
// has given out again: it gets no ErrHistoryGone, and lacks the changes before.
func TestWatchOfNewEraListsAgain(t *testing.T) {
	s := &scriptedSource{script: []func(context.Context) (Batch[int], error){
		func(context.Context) (Batch[int], error) {
			return Batch[int]{Cursor: 30, Era: 1, Changes: []Change[int]{{Name: "a", Value: 1, Revision: 30}}}, nil
		},
		func(context.Context) (Batch[int], error) {
			return Batch[int]{Cursor: 32, Era: 2, Changes: []Change[int]{{Name: "b", Value: 1, Revision: 32}}}, nil
		},
		func(context.Context) (Batch[int], error) {
			return Batch[int]{Cursor: 32, Era: 2, Changes: []Change[int]{{Name: "a", Value: 2, Revision: 29}, {Name: "b", Value: 1, Revision: 32}}}, nil
		},
	}}
	objects := &objectCopy{}
	m := &Mirror[int]{Apply: objects.apply}
	runUntil(t, s, m, func() bool { return objects.equal(map[string]int{"a": 2, "b": 1}) })
	require.Equal(t, []string{"list", "watch", "list"}, s.calls[:3])
}
