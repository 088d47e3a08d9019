// This file tests the budget and the choice of the transfer that is stopped.

package clmemory

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnutlead/chestnutlead/cltest"
)

func TestMain(m *testing.M) { cltest.Main(m, map[string]string{"seed": "1"}) }

// Guards against a budget that grants more than its limit, loses bytes, or has nothing
// left for small requests while large ones fill it.
func TestBudgetLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := &Budget{Limit: 1000, SmallReserve: 125}
		var granted []int64
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if len(granted) > 0 && rapid.Bool().Draw(t, "release") {
				b.Add(Bodies, -granted[0])
				granted = granted[1:]
				continue
			}
			n, small := rapid.Int64Range(1, 300).Draw(t, "n"), rapid.Bool().Draw(t, "small")
			before := b.Held(Bodies)
			if b.Reserve(Bodies, n, 0, small) {
				granted = append(granted, n)
				limit := b.Limit
				if !small {
					limit -= b.SmallReserve
				}
				require.True(t, before+n <= limit || before <= b.SmallReserve, "%d bytes beside %d", n, before)
			}
		}
		sum := int64(0)
		for _, n := range granted {
			sum += n
		}
		require.Equal(t, sum, b.Held(Bodies))
		require.Equal(t, sum, b.total.Load())
	})
}

// Guards against a request inside the configured limits that is refused although no
// other large request is in the process.
func TestRequestAloneIsGranted(t *testing.T) {
	b := &Budget{Limit: 1000, SmallReserve: 125}
	b.Add(Connections, 900)
	require.True(t, b.Reserve(Bodies, 5000, 0, false))
	require.True(t, b.Reserve(Bodies, 10000, 5000, false), "growth of the same request")
	require.False(t, b.Reserve(Bodies, 200, 0, false), "a second large request")
}

// Guards against a budget that exceeds the memory of the machine, or that is empty.
func TestLimitFromMemory(t *testing.T) {
	for _, tc := range []struct{ process, limit int64 }{{160 << 20, 48 << 20}, {16 << 20, 8 << 20}, {0, DefaultProcessBytes * 4 / 10}} {
		var b Budget
		b.SetLimit(tc.process)
		require.InDelta(t, tc.limit, b.Limit, float64(tc.limit)/10)
	}
}

// Guards against a transfer that is stopped because it was the slowest one before it brought
// more, and against one that has ended and is kept as the slowest.
func TestReclaimAfterChange(t *testing.T) {
	var transfers Transfers
	now := time.Unix(1000, 0)
	var stopped []int
	xs := make([]*Transfer, 3)
	for i := range xs {
		xs[i] = &Transfer{Stop: func() { stopped = append(stopped, i) }}
		transfers.Begin(xs[i], now)
		transfers.Progress(xs[i], (i+1)<<20, 100<<10, now)
	}
	require.False(t, transfers.Reclaim(xs[0], 1, now), "the slowest one asks")
	transfers.Progress(xs[0], 8<<20, 100<<10, now)
	require.False(t, transfers.Reclaim(xs[1], 1, now), "the slowest one asks")
	require.False(t, transfers.End(xs[1]))
	require.True(t, transfers.Reclaim(nil, 1, now))
	require.Equal(t, []int{2}, stopped)
}

// Guards against memory that is taken from a fast transfer while a stalled one holds
// some, from a small one, from one that has ended, or from a faster one than the one that asks.
func TestReclaimStopsSlowest(t *testing.T) {
	var transfers Transfers
	now := time.Unix(1000, 0)
	var stopped []string
	begin := func(name string) *Transfer {
		x := &Transfer{Stop: func() { stopped = append(stopped, name) }}
		transfers.Begin(x, now)
		return x
	}
	small := begin("small")
	require.True(t, transfers.Progress(small, 0, SmallTransferBytes, now))
	stalled, slow, fast, ended := begin("stalled"), begin("slow"), begin("fast"), begin("ended")
	for _, x := range []*Transfer{stalled, slow, fast, ended} {
		require.True(t, transfers.Progress(x, 4<<20, 100<<10, now))
	}
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		require.True(t, transfers.Progress(slow, 10<<10, 100<<10, now))
		require.True(t, transfers.Progress(fast, 1<<20, 100<<10, now))
	}
	require.False(t, transfers.End(ended))
	require.False(t, transfers.Reclaim(stalled, 50<<10, now), "the slowest one asks")
	require.True(t, transfers.Reclaim(fast, 50<<10, now))
	require.Equal(t, []string{"stalled"}, stopped)
	require.True(t, transfers.Reclaim(fast, 50<<10, now), "the memory is on its way")
	require.Equal(t, []string{"stalled"}, stopped)
	require.True(t, transfers.End(stalled))
	require.True(t, transfers.Reclaim(begin("new"), 50<<10, now))
	require.Equal(t, []string{"stalled", "slow"}, stopped)
	require.False(t, transfers.Progress(slow, 1, 100, now))
	require.True(t, transfers.End(slow))
	require.True(t, transfers.Reclaim(nil, 1, now))
	require.Equal(t, []string{"stalled", "slow", "fast"}, stopped)
	require.True(t, transfers.End(fast))
	require.False(t, transfers.Reclaim(nil, 1, now), "only small ones are left")
}

// BenchmarkReserve measures a reservation and its release, which must take less than
// 200 ns and allocate nothing.
func BenchmarkReserve(b *testing.B) {
	budget := &Budget{Limit: 1 << 30, SmallReserve: 1 << 27}
	b.ReportAllocs()
	for b.Loop() {
		if !budget.Reserve(Bodies, 4096, 0, false) {
			b.Fatal("refused")
		}
		budget.Add(Bodies, -4096)
	}
}

// BenchmarkReserveParallel is BenchmarkReserve on all processors.
func BenchmarkReserveParallel(b *testing.B) {
	budget := &Budget{Limit: 1 << 30, SmallReserve: 1 << 27}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if !budget.Reserve(Bodies, 4096, 0, false) {
				b.Fatal("refused")
			}
			budget.Add(Bodies, -4096)
		}
	})
}

// BenchmarkReclaim measures an attempt of a waiting transfer that may stop none of 300
// others. The attempts are as frequent as if all 300 waited. It must allocate nothing.
func BenchmarkReclaim(b *testing.B) {
	var transfers Transfers
	now := time.Unix(1000, 0)
	var asker *Transfer
	for range 300 {
		asker = &Transfer{Stop: func() {}}
		transfers.Begin(asker, now)
		transfers.Progress(asker, 4<<20, 100<<10, now)
	}
	now = now.Add(100 * time.Millisecond)
	transfers.Progress(asker, 0, 100<<10, now)
	slow := &Transfer{Stop: func() {}}
	transfers.Begin(slow, now)
	transfers.Progress(slow, 0, 100<<10, now)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(5 * time.Millisecond / 300)
		if transfers.Reclaim(slow, 1<<20, now) {
			b.Fatal("stopped")
		}
	}
}

// BenchmarkTransfer measures what the order of the transfers costs a body that arrives
// at once, beside 500 others.
func BenchmarkTransfer(b *testing.B) {
	var transfers Transfers
	now := time.Unix(1000, 0)
	for range 500 {
		transfers.Begin(&Transfer{Stop: func() {}}, now)
	}
	x := &Transfer{Stop: func() {}}
	b.ReportAllocs()
	for b.Loop() {
		transfers.Begin(x, now)
		transfers.Progress(x, 2048, 4096, now)
		transfers.End(x)
	}
}
