package clbooking

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clstore"
)

type (
	// simulation runs the usual writers of all partitions in simulated time.
	simulation struct {
		w      *world
		events events
		parts  []*Partition
		busy   []bool
		waits  []time.Duration
		asked  []map[Ticket]*clstate.BookingRecord
	}

	event struct {
		at time.Time
		do func()
	}

	events []event

	figures struct {
		perBooking, bytesPerBooking float64
		wait50, wait95              time.Duration
	}
)

const (
	// callLatency and runTime are an answer time of the object API and of a booking service.
	callLatency = 4 * time.Millisecond
	runTime     = 120 * time.Millisecond
	// recordedAnswer is the body of a short answer.
	recordedAnswer = `{"booking":"48213","state":"confirmed"}`
)

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func (s *simulation) after(d time.Duration, f func()) {
	heap.Push(&s.events, event{at: s.w.now.Add(d), do: f})
}

// poke runs a partition until it waits, with one call at a time.
func (s *simulation) poke(i int) {
	if s.busy[i] {
		return
	}
	p := s.parts[i]
	step := p.Next(s.w.now)
	s.collect(i)
	switch {
	case step.Action != ActionWait:
		s.busy[i] = true
		s.after(callLatency, func() {
			q := &request{step: step}
			s.w.apply(q)
			s.busy[i] = false
			p.Deliver(s.w.now, q.result)
			s.poke(i)
		})
	case !step.Until.IsZero():
		s.after(step.Until.Sub(s.w.now), func() { s.poke(i) })
	}
}

func (s *simulation) collect(i int) {
	for _, c := range s.parts[i].Completed() {
		r := s.asked[i][c.Ticket]
		delete(s.asked[i], c.Ticket)
		if r.State != stClaimed {
			continue
		}
		s.waits = append(s.waits, s.w.now.Sub(time.UnixMilli(r.ClaimedUnixMs)))
		s.after(runTime, func() {
			s.submit(i, withState(r, stDone, &clstate.BookingAnswer{Status: 201, Body: []byte(recordedAnswer)}))
		})
	}
}

func (s *simulation) submit(i int, r *clstate.BookingRecord) {
	if t, err := s.parts[i].Submit(s.w.now, r); err == nil {
		s.asked[i][t] = r
	}
	s.poke(i)
}

// simulate offers bookings with random gaps for the period.
func simulate(perSecond float64, period time.Duration, policy Policy) figures {
	s := &simulation{w: &world{now: time.UnixMilli(1_700_000_000_000), store: &clstore.Memory{}}}
	random := rand.New(rand.NewPCG(61204, 1))
	for i := range uint32(defaultPartitions) {
		s.parts = append(s.parts, NewPartition(PartitionConfig{Service: "s", Partition: i, Policy: policy}))
		s.asked = append(s.asked, map[Ticket]*clstate.BookingRecord{})
	}
	s.busy = make([]bool, defaultPartitions)
	end := s.w.now.Add(period)
	n := 0
	var arrive func()
	arrive = func() {
		n++
		r := s.w.claim(n, fmt.Sprintf("b0c1d2e3f405-%x", n))
		r.BodyDigest, r.Holder = []byte("12345678"), "127.0.0.1:7001"
		s.submit(int(PartitionOf(keyOf(r), defaultPartitions)), r)
		if gap := time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)); s.w.now.Add(gap).Before(end) {
			s.after(gap, arrive)
		}
	}
	s.after(0, arrive)
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.w.now = e.at
		e.do()
	}
	_, writes, written := s.w.store.Counts()
	slices.Sort(s.waits)
	return figures{
		perBooking: float64(writes) / float64(n), bytesPerBooking: float64(written) / float64(n),
		wait50: s.waits[len(s.waits)/2], wait95: s.waits[len(s.waits)*95/100],
	}
}

// TestWritesPerBooking guards the target of section 3.4: 0.1 writes or less
// for each booking at 500 a second.
func TestWritesPerBooking(t *testing.T) {
	require.LessOrEqual(t, simulate(500, 20*time.Second, Policy{}).perBooking, 0.1)
}

// BenchmarkWritesPerBooking reports the writes for each booking in simulated time.
func BenchmarkWritesPerBooking(b *testing.B) {
	for _, perSecond := range []float64{1, 50, 500} {
		for _, seal := range []int{defaultSealBytes, 64 << 10, 16 << 10} {
			b.Run(fmt.Sprintf("rate=%g/seal=%dKB", perSecond, seal>>10), func(b *testing.B) {
				for range b.N {
					f := simulate(perSecond, 2*time.Minute, Policy{SealBytes: seal})
					b.ReportMetric(f.perBooking, "writes/booking")
					b.ReportMetric(f.bytesPerBooking, "B/booking")
					b.ReportMetric(float64(f.wait50.Milliseconds()), "claim-p50-ms")
					b.ReportMetric(float64(f.wait95.Milliseconds()), "claim-p95-ms")
				}
			})
		}
	}
}

// TestPolicyWriteAt guards the delays of section 3.4.
func TestPolicyWriteAt(t *testing.T) {
	t0 := time.Unix(1_000_000, 0)
	at := func(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }
	tests := []struct {
		name string
		b    Backlog
		want time.Time
	}{
		{"nothing waits", Backlog{LastWrite: t0}, time.Time{}},
		{"claim after a quiet time", Backlog{LastWrite: t0, OldestClaim: at(90)}, at(90)},
		{"claim soon after a write", Backlog{LastWrite: t0, OldestClaim: at(10)}, at(80)},
		{"outcome alone", Backlog{LastWrite: t0, OldestOutcome: at(10)}, at(260)},
		{"outcome with a claim", Backlog{LastWrite: t0, OldestOutcome: at(10), OldestClaim: at(100)}, at(100)},
		{"flush", Backlog{LastWrite: t0, OldestOutcome: at(10), Flush: true}, at(10)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, Policy{}.withDefaults().WriteAt(tt.b))
		})
	}
}
