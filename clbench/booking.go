// This file defines the experiment on booking records.

package clbench

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/chestnutlead/chestnutlead/clbooking"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clstore"
	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"
)

const (
	ledgerProcesses = 8
	storeLatency    = 4 * time.Millisecond
	bookingTakes    = 50 * time.Millisecond
	answerBytes     = 120
	bookingService  = "cover"

	// segmentRecords is a whole part of the measured sizes, near the 256 KB of a segment.
	segmentRecords = 1_000
	lookups        = 20

	highestMicros = 60_000_000
	histDigits    = 3
)

var bookingRuns = []struct {
	rate float64
	time time.Duration
}{{1, 10 * time.Second}, {50, 6 * time.Second}, {500, 20 * time.Second}}

// bench of ledgers that share a store.
type ledgerFleet struct {
	store   *delayed
	ledgers []*clbooking.Ledger
	ids     []*clbooking.AttemptIDs
	open    sync.WaitGroup
	mu      sync.Mutex
	begin   *hdrhistogram.Histogram
	failed  int
}

// runBooking measures the booking record at several rates.
func runBooking(ctx context.Context, _ Options) (*Result, error) {
	r := newResult("booking")
	for _, b := range bookingRuns {
		if err := bookingAt(ctx, r, b.rate, b.time); err != nil {
			return r, err
		}
	}
	if err := indexMemory(r); err != nil {
		return r, err
	}
	r.note("%d ledgers of one service with 4 partitions; the store takes %s a call, a forwarded call no network time.", ledgerProcesses, storeLatency)
	return r, nil
}

func newLedgerFleet() *ledgerFleet {
	f := &ledgerFleet{store: &delayed{latency: storeLatency}, begin: newHistogram()}
	for i := range uint32(ledgerProcesses) {
		l := &clbooking.Ledger{Config: clbooking.PartitionConfig{Service: bookingService}, Store: f.store}
		l.Forward = func(ctx context.Context, partition uint32, records []*clstate.BookingRecord) ([]*clstate.BookingRecord, bool, error) {
			if owner := partition % ledgerProcesses; owner != i {
				stored, err := f.ledgers[owner].Apply(ctx, partition, records)
				return stored, true, err
			}
			return nil, false, nil
		}
		f.ledgers = append(f.ledgers, l)
		f.ids = append(f.ids, &clbooking.AttemptIDs{Boot: "boot-" + strconv.Itoa(int(i))})
	}
	return f
}

func bookingAt(ctx context.Context, r *Result, rate float64, length time.Duration) error {
	ctx, cancel := context.WithCancel(ctx)
	f := newLedgerFleet()
	var running sync.WaitGroup
	for _, l := range f.ledgers {
		running.Add(1)
		go func() {
			defer running.Done()
			_ = l.Run(ctx) // It ends with the context.
		}()
	}
	before, cpu := heapBytes(), cpuSeconds()
	n := int(rate * length.Seconds())
	start := time.Now()
	for i := range n {
		time.Sleep(time.Until(start.Add(time.Duration(float64(i) / rate * float64(time.Second)))))
		f.open.Add(1)
		go f.book(ctx, i)
	}
	f.open.Wait()
	var err error
	for _, l := range f.ledgers {
		err = l.Flush(ctx)
	}
	cpu = cpuSeconds() - cpu
	reads, writes, bytes := f.store.Counts()
	const size = "bookings a second"
	r.add("writes per booking", "1", size, rate, float64(writes)/float64(n))
	r.add("writes of the object API", "1/s", size, rate, float64(writes)/length.Seconds())
	r.add("reads of the object API", "1/s", size, rate, float64(reads)/length.Seconds())
	r.add("bytes written per booking", "KB", size, rate, float64(bytes)/float64(n)/1e3)
	r.add("bytes written", "KB/s", size, rate, float64(bytes)/length.Seconds()/1e3)
	r.add("CPU per booking, all processes", "ms", size, rate, 1e3*cpu/float64(n))
	r.add("latency of a claim, median", "ms", size, rate, float64(f.begin.ValueAtQuantile(50))/1e3)
	r.add("latency of a claim, 99th percentile", "ms", size, rate, float64(f.begin.ValueAtQuantile(99))/1e3)
	r.add("heap of store and ledgers", "KB", size, rate, (heapBytes()-before)/1e3)
	if f.failed > 0 {
		r.note("%d of %d bookings failed at %g a second", f.failed, n, rate)
	}
	cancel()
	running.Wait()
	return err
}

func (f *ledgerFleet) book(ctx context.Context, i int) {
	defer f.open.Done()
	p := i % ledgerProcesses
	l := f.ledgers[p]
	start := time.Now()
	rec, err := l.NewRecord(clbooking.Call{
		Account: "owners", IdempotencyKey: uuid.NewString(), Method: "POST", Path: "/bookings", Body: []byte(strconv.Itoa(i)),
	}, f.ids[p].Next(), "10.1.0.11:7000")
	verdict := clbooking.VerdictUnknown
	if err == nil {
		verdict, _, err = l.Begin(ctx, rec)
	}
	took := time.Since(start)
	f.mu.Lock()
	record(f.begin, took)
	if err != nil || verdict != clbooking.VerdictProceed {
		f.failed++
	}
	f.mu.Unlock()
	if err != nil {
		return
	}
	time.Sleep(bookingTakes)
	a := &clstate.BookingAnswer{Status: 201, ContentType: "application/json", Body: make([]byte, answerBytes)}
	if l.Finish(rec, clstate.BookingState_BOOKING_STATE_DONE, a) != nil {
		f.mu.Lock()
		f.failed++
		f.mu.Unlock()
	}
}

// indexMemory measures what a writer keeps of each sealed record. It lets a
// partition read a head with n records in segments of about 256 KB.
func indexMemory(r *Result) error {
	for _, n := range []int{10_000, 100_000, 1_000_000} {
		head := &clstate.BookingHead{}
		for range n / segmentRecords {
			head.Segments = append(head.Segments, &clstate.BookingSegmentRef{Number: head.NextSegment, YoungestUnixMs: time.Now().UnixMilli(), Records: segmentRecords})
			head.NextSegment++
		}
		before, cpu := heapBytes(), cpuSeconds()
		p := clbooking.NewPartition(clbooking.PartitionConfig{Service: bookingService})
		if err := readSegments(p, head); err != nil {
			return err
		}
		cpu = cpuSeconds() - cpu
		r.add("index of sealed records in a writer", "KB", "records", float64(n), (heapBytes()-before)/1e3)
		r.add("CPU of reading all segments", "ms", "records", float64(n), 1e3*cpu)
		// The partition is in use until here, for a look at all segments.
		start, now := cpuSeconds(), time.Now()
		for i := range lookups {
			key := clbooking.KeyOf("owners", bookingService, "absent-"+strconv.Itoa(i))
			if _, err := p.Lookup(now, key); err != nil {
				return err
			}
			p.Next(now)
		}
		r.add("CPU of a step per waiting operation", "us", "records", float64(n), 1e6*(cpuSeconds()-start)/(lookups*(lookups+1)/2))
	}
	return nil
}

// readSegments lets a partition read a head and generated segments.
func readSegments(p *clbooking.Partition, head *clstate.BookingHead) error {
	now := time.Now()
	if _, err := p.Lookup(now, clbooking.KeyOf("owners", bookingService, "none")); err != nil {
		return err
	}
	segment := 0
	for {
		step := p.Next(now)
		var result clbooking.Result
		var m proto.Message
		switch {
		case step.Action != clbooking.ActionRead:
			return nil
		case step.Name == clbooking.HeadName(bookingService, 0):
			m = head
		case step.Name == clbooking.SlotName(bookingService, 0, 0):
			result.Kind = clstore.KindNotFound
		default:
			m = newSegment(segment, now)
			segment++
		}
		if m != nil {
			value, err := proto.Marshal(m)
			if err != nil {
				return err
			}
			result.Object = clstore.Object{Key: step.Name, Value: value, Version: 1}
		}
		p.Deliver(now, result)
		p.Completed()
	}
}

func newSegment(number int, now time.Time) *clstate.BookingSegment {
	s := &clstate.BookingSegment{}
	for i := range segmentRecords {
		id := strconv.Itoa(number*segmentRecords + i)
		key := clbooking.KeyOf("owners", bookingService, id)
		s.Records = append(s.Records, &clstate.BookingRecord{
			Key: key[:], BodyDigest: key[:8], AttemptId: "boot-0-" + id, State: clstate.BookingState_BOOKING_STATE_DONE, ClaimedUnixMs: now.UnixMilli(),
		})
	}
	return s
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestMicros, histDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), highestMicros)) // The value is in range.
}
