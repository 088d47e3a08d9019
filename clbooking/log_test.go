package clbooking

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clstore"
)

// logWorld is a store and the writers of one partition with a log of few slots.
type logWorld struct {
	*world
	t *testing.T
}

func newLogWorld(t *testing.T, slots uint64) *logWorld {
	return &logWorld{t: t, world: &world{now: time.UnixMilli(1_700_000_000_000), store: &clstore.Memory{}, slots: slots}}
}

func (w *logWorld) writer(sealBytes int) *Partition {
	return NewPartition(PartitionConfig{Service: "s", LogSlots: w.slots, Policy: Policy{SealBytes: sealBytes}})
}

// claimed claims a key and returns the record that is stored then.
func (w *logWorld) claimed(p *Partition, key int, attempt string) *clstate.BookingRecord {
	r, err := w.run(p, w.claim(key, attempt))
	require.NoError(w.t, err)
	return r
}

// firstHolds guards against claims that were lost from the log.
func (w *logWorld) firstHolds(p *Partition, keys int) {
	for key := range keys {
		require.Equal(w.t, "first", w.claimed(p, key, "second").AttemptId, "key %d was claimed again", key)
	}
}

// TestLaggingWriter guards the batches that a process has not seen: a slot
// that was replaced since must not pass for the next batch or for the end of the log.
func TestLaggingWriter(t *testing.T) {
	for _, slots := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprint(slots), func(t *testing.T) {
			w := newLogWorld(t, slots)
			busy, lagging := w.writer(1<<20), w.writer(1<<20)
			require.Equal(t, "first", w.claimed(lagging, 0, "first").AttemptId)
			const n = 10
			for key := 1; key < n; key++ {
				require.Equal(t, "first", w.claimed(busy, key, "first").AttemptId)
			}
			w.firstHolds(lagging, n)
		})
	}
}

// TestCheckpointOfLaggingWriter guards the batches after another process's
// checkpoint: who has seen more than it holds must not forget the rest.
func TestCheckpointOfLaggingWriter(t *testing.T) {
	w := newLogWorld(t, 4)
	ahead, lagging := w.writer(1<<20), w.writer(1)
	w.claimed(ahead, 0, "first")
	require.Equal(t, "first", w.claimed(lagging, 0, "second").AttemptId)
	w.claimed(ahead, 1, "first")
	w.claimed(ahead, 2, "first")
	_, err := lagging.Submit(w.now, w.claim(3, "first"))
	require.NoError(t, err)
	w.now = w.now.Add(defaultLinger)
	for checkpoint := false; !checkpoint; {
		r := &request{step: lagging.Next(w.now)}
		w.apply(r)
		lagging.Deliver(w.now, r.result)
		checkpoint = r.step.Action == ActionUpdate && r.step.Name == HeadName("s", 0)
	}
	require.EqualValues(t, 1, lagging.view.head.NextBatch)
	const n = 12
	for key := 3; key < n; key++ {
		w.claimed(ahead, key, "first")
	}
	w.firstHolds(w.writer(1), n)
}

// TestAdoptedSegment guards an outcome that was stored after the segment with
// its claim was created, by a process that ended before it listed the segment.
func TestAdoptedSegment(t *testing.T) {
	w := newLogWorld(t, 8)
	ends, p := w.writer(1), w.writer(1<<20)
	claim := w.claim(0, "first")
	_, err := w.run(ends, claim)
	require.NoError(t, err)
	_, err = ends.Submit(w.now, w.claim(1, "first"))
	require.NoError(t, err)
	w.now = w.now.Add(defaultLinger)
	create := &request{step: ends.Next(w.now)}
	w.apply(create)
	require.Equal(t, SegmentName("s", 0, 0), create.step.Name)
	_, err = w.run(p, withState(claim, stDone, nil))
	require.NoError(t, err)
	w.claimed(w.writer(1), 2, "first")
	require.Equal(t, stDone, w.claimed(w.writer(1), 0, "second").State, "the outcome was lost")
}

// TestObjectSizes guards the 1 MB of a value: a backlog of long answers is
// spread over several batches and segments.
func TestObjectSizes(t *testing.T) {
	const maxValue, answer, n = 1 << 20, 64 << 10, 100
	w := newLogWorld(t, 16)
	p := w.writer(768 << 10)
	for i := range n {
		w.claimed(p, i, "first")
	}
	for i := range n {
		_, err := p.Submit(w.now, withState(w.claim(i, "first"), stDone, &clstate.BookingAnswer{Body: make([]byte, answer)}))
		require.NoError(t, err)
	}
	for p.Pending() > 0 {
		s := p.Next(w.now)
		if s.Action == ActionWait && !s.Until.IsZero() {
			w.now = s.Until
			continue
		}
		require.Less(t, len(s.Value), maxValue)
		r := &request{step: s}
		w.apply(r)
		p.Deliver(w.now, r.result)
	}
	for _, c := range p.Completed() {
		require.NoError(t, c.Err)
	}
}

// TestEarlierHead guards the records of a head that was written before the log existed.
func TestEarlierHead(t *testing.T) {
	w := newLogWorld(t, 2)
	value, err := proto.Marshal(&clstate.BookingHead{Records: []*clstate.BookingRecord{w.claim(0, "first")}})
	require.NoError(t, err)
	_, err = w.store.Update(t.Context(), HeadName("s", 0), value, 0)
	require.NoError(t, err)
	p := w.writer(1 << 20)
	for key := range 5 {
		w.claimed(p, key, "first")
	}
	w.firstHolds(w.writer(1<<20), 5)
}
