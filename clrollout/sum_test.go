// This file tests that summed evidence is counted once, whatever fails on its way.

package clrollout_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnutlead/chestnutlead/clrollout"
)

type (
	// reporter is one start of a process that reports through aggregators.
	reporter struct {
		id        string
		collector clrollout.Collector
		observed  uint32
		dead      bool
	}

	// inFlight is a sum between an aggregator and the receiver.
	inFlight struct{ sum clrollout.Sum }

	// sumWorld is a few processes, each of which may sum at any time, and the
	// process that counts. Messages are delayed, lost and delivered in any order.
	sumWorld struct {
		now         time.Time
		reporters   []*reporter
		starts      int
		aggregators []*clrollout.Aggregator
		flights     []inFlight
		receiver    clrollout.Receiver
		// counted has the outcomes counted for each start of a process, which
		// is the route of its evidence.
		counted map[string]uint32
	}
)

func newSumWorld(n int) *sumWorld {
	w := &sumWorld{now: simStart, counted: make(map[string]uint32)}
	for range n {
		w.reporters = append(w.reporters, w.newReporter())
		w.aggregators = append(w.aggregators, newAggregator())
	}
	return w
}

func newAggregator() *clrollout.Aggregator {
	return &clrollout.Aggregator{Gather: 200 * time.Millisecond, Interval: time.Second}
}

func (w *sumWorld) newReporter() *reporter {
	w.starts++
	return &reporter{id: fmt.Sprint("entry-", w.starts)}
}

func (w *sumWorld) observe(r *reporter) {
	r.observed++
	r.collector.Observe(w.now, clrollout.Outcome{Service: "s", Version: "new", Route: r.id, Failed: r.observed%3 == 0})
}

// batch returns what the reporter sends now, the same again until its end.
func (w *sumWorld) batch(r *reporter) (clrollout.Batch, bool) {
	sequence, evidence := r.collector.Take(w.now)
	return clrollout.Batch{
		Part: clrollout.Part{From: clrollout.ReporterKey(r.id), Sequence: sequence}, Evidence: evidence,
	}, len(evidence) > 0
}

// tell says to the reporters that their batches have been counted; heard
// decides which of them hear it.
func (w *sumWorld) tell(parts []clrollout.Part, heard func() bool) {
	for _, p := range parts {
		for _, r := range w.reporters {
			if clrollout.ReporterKey(r.id) == p.From && heard() {
				r.collector.Ack(p.Sequence)
			}
		}
	}
}

// deliver brings a sum to the receiver, without the batches that it has
// counted before. If the answer is lost, nobody hears of it.
func (w *sumWorld) deliver(f inFlight, answered bool, heard func() bool) {
	for len(f.sum.Parts()) > 0 {
		before := w.receiver.Receive(f.sum.Parts())
		if len(before) == 0 {
			for _, e := range f.sum.Evidence() {
				w.counted[e.Route] += e.Succeeded + e.Failed
			}
		}
		if !answered {
			return
		}
		if len(before) == 0 {
			w.tell(f.sum.Parts(), heard)
			return
		}
		w.tell(f.sum.Drop(lo.Map(before, func(p clrollout.Part, _ int) uint64 { return p.From })), heard)
	}
}

// settle lets every live process report until nothing is left.
func (w *sumWorld) settle() {
	always := func() bool { return true }
	for _, f := range w.flights {
		w.deliver(f, true, always)
	}
	for range 2 {
		for _, r := range w.reporters {
			if b, ok := w.batch(r); ok {
				w.aggregators[0].Add(w.now, b)
			}
		}
		for _, a := range w.aggregators {
			w.deliver(inFlight{a.Take(w.now)}, true, always)
		}
	}
}

// TestSumsCountOnce guards against evidence that is counted twice or lost for
// good when the process that sums dies, restarts, is paused with sums that
// arrive late, or is not the only one that believes to be it, when messages or
// answers are lost, and when processes that report die.
func TestSumsCountOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSumWorld(rapid.IntRange(1, 4).Draw(t, "processes"))
		var gone []*reporter
		which := func(label string) int { return rapid.IntRange(0, len(w.reporters)-1).Draw(t, label) }
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			w.now = w.now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			i := which("process")
			r := w.reporters[i]
			switch rapid.SampledFrom([]string{
				"observe", "observe", "report", "report", "report directly", "sum", "sum", "deliver", "deliver", "lose", "restart the sum", "restart",
			}).Draw(t, "event") {
			case "observe":
				w.observe(r)
			case "report":
				if b, ok := w.batch(r); ok {
					w.aggregators[which("aggregator")].Add(w.now, b)
				}
			case "report directly":
				if b, ok := w.batch(r); ok {
					single := clrollout.Aggregator{}
					single.Add(w.now, b)
					w.flights = append(w.flights, inFlight{single.Take(w.now)})
				}
			case "sum":
				w.flights = append(w.flights, inFlight{w.aggregators[i].Take(w.now)})
			case "deliver":
				if len(w.flights) == 0 {
					continue
				}
				// A sum that was sent stays in flight sometimes: its sender sends it again.
				j := rapid.IntRange(0, len(w.flights)-1).Draw(t, "sum")
				f := w.flights[j]
				if rapid.Bool().Draw(t, "only once") {
					w.flights = append(w.flights[:j:j], w.flights[j+1:]...)
				}
				w.deliver(f, rapid.Bool().Draw(t, "answered"), func() bool { return rapid.Bool().Draw(t, "heard") })
			case "lose":
				if len(w.flights) > 0 {
					w.flights = w.flights[1:]
				}
			case "restart the sum":
				w.aggregators[i] = newAggregator()
			case "restart":
				r.dead = true
				gone = append(gone, r)
				w.reporters[i] = w.newReporter()
			}
		}
		w.settle()
		for _, r := range w.reporters {
			require.Equal(t, r.observed, w.counted[r.id], "%s", r.id)
		}
		for _, r := range gone {
			require.LessOrEqual(t, w.counted[r.id], r.observed, "%s, which died", r.id)
		}
	})
}

// TestAggregatorDue guards against a sum for each batch, which would bring the
// receiver as many calls as processes, and against a batch that waits for more
// than the interval.
func TestAggregatorDue(t *testing.T) {
	a := newAggregator()
	batch := func(from, sequence uint64) clrollout.Batch {
		return clrollout.Batch{Part: clrollout.Part{From: from, Sequence: sequence}, Evidence: []clrollout.Evidence{evidence("new", simStart, 10, 1)}}
	}
	_, ok := a.Due()
	require.False(t, ok)
	tests := []struct {
		name     string
		at       time.Duration
		from     uint64
		sequence uint64
		due      time.Duration
		// take says that the sum is taken when it is due; it then has so many batches.
		take int
	}{
		{"first batch waits for others", 0, 1, 1, 200 * time.Millisecond, 0},
		{"a second one does not delay it", 150 * time.Millisecond, 2, 1, 200 * time.Millisecond, 2},
		{"the next sum keeps the interval", 300 * time.Millisecond, 3, 1, 1200 * time.Millisecond, 0},
		{"others join it", 1100 * time.Millisecond, 1, 2, 1200 * time.Millisecond, 0},
		{"a repeated batch replaces itself", 1150 * time.Millisecond, 1, 2, 1200 * time.Millisecond, 2},
		{"after a pause only the first wait counts", 9 * time.Second, 1, 3, 9200 * time.Millisecond, 1},
	}
	for _, tc := range tests {
		a.Add(simStart.Add(tc.at), batch(tc.from, tc.sequence))
		due, ok := a.Due()
		require.True(t, ok, tc.name)
		require.Equal(t, tc.due, due.Sub(simStart), tc.name)
		if tc.take > 0 {
			s := a.Take(due)
			require.Len(t, s.Parts(), tc.take, tc.name)
			require.Equal(t, uint32(10*tc.take), s.Evidence()[0].Succeeded, tc.name)
			require.Equal(t, uint32(tc.take), s.Evidence()[0].Failed, tc.name)
		}
	}
}
