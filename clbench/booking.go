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
	"github.com/google/uuid"
)

const (
	ledgerProcesses = 8
	storeLatency    = 4 * time.Millisecond
	bookingTakes    = 50 * time.Millisecond
	answerBytes     = 120
	bookingService  = "cover"

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
	indexMemory(r)
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

// indexMemory measures what a writer keeps of each sealed record.
func indexMemory(r *Result) {
	for _, n := range []int{10_000, 100_000, 1_000_000} {
		before := heapBytes()
		keys := make([]clbooking.Key, 0, n)
		for i := range n {
			keys = append(keys, clbooking.KeyOf("owners", bookingService, strconv.Itoa(i)))
		}
		r.add("index of sealed records in a writer", "KB", "records", float64(n), (heapBytes()-before)/1e3)
		keys[0][0]++ // The keys are in use until here.
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestMicros, histDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), highestMicros)) // The value is in range.
}
