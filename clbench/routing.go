// This file defines the experiment on the choice of an endpoint.

package clbench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clroute"
)

// promptBlocks is the length of a prompt of 4,096 tokens in blocks of 256.
const promptBlocks = 16

// filledTable returns a table of warm endpoints with slots and reports.
func filledTable(endpoints int, now time.Time) *clroute.Table {
	t := clroute.NewTable(clroute.Config{Distance: map[string]time.Duration{"dc-1": time.Millisecond, "dc-2": 2 * time.Millisecond}})
	for i := range endpoints {
		id := fmt.Sprintf("worker-%04d", i)
		t.Set(clroute.Endpoint{ID: id, Service: "brew-llm", Version: "v1", DataCentre: fmt.Sprintf("dc-%d", i%dataCentres)})
		t.SetSlots(id, i%3)
		t.Report(id, clroute.Load{BootID: "b-0123456789abcdef", ProducedAt: now, Running: i % 7, Waiting: i % 2})
	}
	return t
}

// runRouting runs the benchmarks of a choice, with and without cached prefixes.
func runRouting(context.Context, Options) (*Result, error) {
	r := newResult("routing")
	now := time.Unix(1_800_000_000, 0)
	for _, endpoints := range []int{15, 150, 600} {
		t := filledTable(endpoints, now)
		req := clroute.Request{Service: "brew-llm", Version: "v1", BlockTokens: 256, Tokens: promptBlocks * 256}
		for b := range uint64(promptBlocks) {
			req.Prefix = append(req.Prefix, b+1)
		}
		for i := range 4 {
			t.Sent(fmt.Sprintf("worker-%04d", i), req.Prefix[:promptBlocks/(i+1)], now)
		}
		x := float64(endpoints)
		b := testing.Benchmark(func(b *testing.B) {
			rnd := rand.New(rand.NewPCG(1, 2))
			b.ReportAllocs()
			for b.Loop() {
				t.Pick(&req, rnd, now)
			}
		})
		r.add("choice, prefix of 16 blocks known at 4 endpoints", "us", "endpoints", x, float64(b.NsPerOp())/1e3)
		r.add("allocations of a choice", "1", "endpoints", x, float64(b.AllocsPerOp()))
		for i := range endpoints {
			t.SetSlots(fmt.Sprintf("worker-%04d", i), 0)
		}
		b = testing.Benchmark(func(b *testing.B) {
			rnd := rand.New(rand.NewPCG(1, 2))
			for b.Loop() {
				t.Pick(&req, rnd, now)
			}
		})
		r.add("choice when no slot is held, which looks at all endpoints", "us", "endpoints", x, float64(b.NsPerOp())/1e3)
	}
	return r, nil
}
