// This file tests copies of several gateways against a model of the store.

package clmirror

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

type (
	// history is a model of the store: the changes of one era.
	history struct {
		era     uint64
		changes []Change[int]
		// revisions holds the revision of each of changes, which for a removal may differ
		// from the one that it states.
		revisions []uint64
		revision  uint64
	}

	// replicas are copies of a history. At most one answer of the store and one delta of
	// a reader is under way to each.
	replicas struct {
		history         *history
		mirrors         []*Mirror[int]
		copies          []*objectCopy
		answers, deltas []func()
		// newest holds the highest values that each copy has held in its era.
		newest []map[string]int
		eras   []uint64
		// histories holds the history of each era, and holds what each copy must hold.
		histories map[uint64]*history
		holds     []expectedHold
	}

	// expectedHold is what a copy must show in place of what it has: what it knew before
	// the era began, as long as nothing has been written since the first list.
	expectedHold struct {
		// reached is the highest cursor of the copy in all eras.
		reached uint64
		// first is the copy as it was in the first list of the era, up to cursor.
		first  map[string]object[int]
		cursor uint64
		// known is nil if nothing is held, and adopted says that a reader's was taken over.
		known   map[string]int
		adopted bool
	}
)

func (h *history) add(c Change[int]) {
	h.changes, h.revisions = append(h.changes, c), append(h.revisions, h.revision)
}

func (h *history) list() Batch[int] {
	objects := map[string]Change[int]{}
	for _, c := range h.changes {
		objects[c.Name] = c
	}
	b := Batch[int]{Cursor: h.revision, Era: h.era}
	for _, c := range objects {
		if !c.Removed {
			b.Changes = append(b.Changes, c)
		}
	}
	slices.SortFunc(b.Changes, func(x, y Change[int]) int { return int(x.Revision) - int(y.Revision) })
	return b
}

func (h *history) watch(cursor uint64) Batch[int] {
	b := Batch[int]{Cursor: h.revision, Era: h.era}
	for i, c := range h.changes {
		if h.revisions[i] > cursor {
			b.Changes = append(b.Changes, c)
		}
	}
	return b
}

func newReplicas(n int) *replicas {
	r := &replicas{
		history: &history{era: 1, revision: 10}, answers: make([]func(), n), deltas: make([]func(), n), newest: make([]map[string]int, n), eras: make([]uint64, n),
		holds: make([]expectedHold, n),
	}
	r.histories = map[uint64]*history{1: r.history}
	for i := range n {
		m, c := newOrderedMirror(uint64(i + 1))
		r.mirrors, r.copies = append(r.mirrors, m), append(r.copies, c)
	}
	return r
}

func (r *replicas) draw(t *rapid.T, label string) int {
	return rapid.IntRange(0, len(r.mirrors)-1).Draw(t, label)
}

// Change gives an object a new value.
func (r *replicas) Change(t *rapid.T) {
	r.history.revision++
	v := r.history.revision
	r.history.add(Change[int]{Name: rapid.SampledFrom(objectNames).Draw(t, "name"), Value: int(v), Revision: v})
}

// Remove removes an object; the change states its own revision or the one before.
func (r *replicas) Remove(t *rapid.T) {
	objects := r.history.list().Changes
	if len(objects) == 0 {
		return
	}
	c := rapid.SampledFrom(objects).Draw(t, "object")
	r.history.revision++
	c.Removed, c.Value = true, 0
	if rapid.Bool().Draw(t, "own revision") {
		c.Revision = r.history.revision
	}
	r.history.add(c)
}

// ChangeOtherKind raises the revision of the store.
func (r *replicas) ChangeOtherKind(*rapid.T) { r.history.revision++ }

// Restore makes the store return from an older copy.
func (r *replicas) Restore(t *rapid.T) {
	n := rapid.IntRange(0, len(r.history.changes)).Draw(t, "changes kept")
	h := &history{era: r.history.era + 1, changes: slices.Clone(r.history.changes[:n]), revisions: slices.Clone(r.history.revisions[:n]), revision: 10}
	if n > 0 {
		h.revision = h.revisions[n-1]
	}
	r.history, r.histories[h.era] = h, h
}

// deliver delivers an answer or a delta to a mirror. If it begins a new era there, what was
// known is to be held.
func (r *replicas) deliver(i int, answer func()) {
	m, h := r.mirrors[i], &r.holds[i]
	known, base, held, had := maps.Clone(r.copies[i].objects), copyPosition{m.era, m.cursor}, m.heldBase, m.objects != nil
	answer()
	if had && m.era > base.Era {
		*h = expectedHold{reached: h.reached, first: maps.Clone(m.objects), cursor: m.cursor, known: known}
		// What is above all that the mirror has seen was written since.
		for name, o := range m.objects {
			if o.revision > h.reached {
				h.known[name] = o.value
			}
		}
		h.adopted = m.heldBase != base
	} else if m.heldBase != held {
		h.adopted, h.known = true, known
	}
	h.reached = max(h.reached, m.cursor)
}

// EndHold ends what a mirror holds.
func (r *replicas) EndHold(t *rapid.T) {
	i := r.draw(t, "mirror")
	r.mirrors[i].endHold()
	r.holds[i].known, r.holds[i].adopted = nil, false
}

// requireHeld requires that a copy shows what was known of objects that have not been
// written since the era began.
func (r *replicas) requireHeld(t *rapid.T, i int) {
	m, h, shown := r.mirrors[i], r.holds[i], r.copies[i].objects
	if h.adopted {
		return
	}
	if h.known == nil {
		require.Equal(t, valuesOf(m), shown, "mirror %d holds nothing", i)
		return
	}
	written := map[string]bool{}
	history := r.histories[m.era]
	for j, c := range history.changes {
		written[c.Name] = written[c.Name] || history.revisions[j] > h.cursor && history.revisions[j] <= m.cursor
	}
	for _, name := range objectNames {
		now, exists := m.objects[name]
		first, existed := h.first[name]
		value, isShown := shown[name]
		switch known, wasKnown := h.known[name]; {
		case exists != existed || now.revision != first.revision:
			require.Equal(t, exists, isShown, "object %s of mirror %d, written in the new era", name, i)
			require.Equal(t, now.value, value, "object %s of mirror %d, written in the new era", name, i)
		case !written[name]:
			require.Equal(t, wasKnown, isShown, "object %s of mirror %d, as it was known", name, i)
			require.Equal(t, known, value, "object %s of mirror %d, as it was known", name, i)
		}
	}
}

var objectNames = []string{"a", "b", "c"}

// ask calls the store for a mirror.
func (r *replicas) ask(i int) {
	m, era := r.mirrors[i], r.history.era
	switch p := m.position(); {
	case !m.isListed():
		b := r.history.list()
		r.answers[i] = func() { m.applyBatch(b, true, time.Time{}) }
	case p.Era != era:
		r.answers[i] = func() { m.replicator.observeEra(era) }
	default:
		b := r.history.watch(p.Cursor)
		r.answers[i] = func() { m.applyBatch(b, false, time.Time{}) }
	}
}

// AskStore calls the store for a mirror without a call in progress.
func (r *replicas) AskStore(t *rapid.T) {
	if i := r.draw(t, "mirror"); r.answers[i] == nil {
		r.ask(i)
	}
}

// Answer delivers an answer of the store.
func (r *replicas) Answer(t *rapid.T) {
	if i := r.draw(t, "mirror"); r.answers[i] != nil {
		r.deliver(i, r.answers[i])
		r.answers[i] = nil
	}
}

// AskReader asks another gateway for its changes.
func (r *replicas) AskReader(t *rapid.T) {
	i, j := r.draw(t, "mirror"), r.draw(t, "reader")
	if i == j || r.deltas[i] != nil {
		return
	}
	data, err := r.mirrors[j].changesSince(r.mirrors[i].position())
	require.NoError(t, err)
	if data == nil {
		return
	}
	r.deltas[i] = func() {
		if _, err := r.mirrors[i].applyDelta(data); err != nil {
			require.ErrorIs(t, err, errReaderBehind)
		}
	}
}

// DeliverDelta delivers the changes of another gateway.
func (r *replicas) DeliverDelta(t *rapid.T) {
	if i := r.draw(t, "mirror"); r.deltas[i] != nil {
		r.deliver(i, r.deltas[i])
		r.deltas[i] = nil
	}
}

// Check requires that no object goes back within an era, and that what was known is held
// while a new one begins.
func (r *replicas) Check(t *rapid.T) {
	for i := range r.copies {
		r.requireHeld(t, i)
		era := r.mirrors[i].position().Era
		if r.newest[i] == nil || era > r.eras[i] {
			r.newest[i], r.eras[i] = map[string]int{}, max(era, r.eras[i])
		}
		for name, value := range valuesOf(r.mirrors[i]) {
			require.GreaterOrEqual(t, value, r.newest[i][name], "object %s of mirror %d goes back", name, i)
			r.newest[i][name] = value
		}
	}
}

// settle delivers what is under way. Three calls then suffice to learn of the era, list,
// and watch.
func (r *replicas) settle() {
	for i := range r.mirrors {
		for _, deliver := range []func(){r.answers[i], r.deltas[i]} {
			if deliver != nil {
				deliver()
			}
		}
		for range 3 {
			r.ask(i)
			r.answers[i]()
		}
		r.mirrors[i].endHold()
	}
}

// Guards against copies that go back to an older state, differ for good or show what an
// older copy of the store has undone, in any order of late answers of the store and of other
// gateways, also across eras of the store.
func TestCopiesNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newReplicas(3)
		t.Repeat(rapid.StateMachineActions(r))
		r.settle()
		want := map[string]int{}
		for _, c := range r.history.list().Changes {
			want[c.Name] = c.Value
		}
		for i, c := range r.copies {
			require.Equal(t, want, c.objects, "copy of mirror %d", i)
		}
	})
}
