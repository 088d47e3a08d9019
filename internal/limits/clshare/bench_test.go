// This file measures the time and the memory of decisions.

package clshare

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// benchAllocator returns an allocator in a shortage with the given number of accounts,
// which has heard of 132 gateways twice, and the time of the last report.
func benchAllocator(accounts int) (*Allocator, time.Time) {
	a := &Allocator{Rand: rand.New(rand.NewPCG(1, 1))}
	weights := map[string]float64{}
	for i := range accounts {
		weights[fmt.Sprint("account-", i)] = float64(1 + i)
	}
	a.SetWeights(weights)
	now := time.Unix(1000, 0)
	for i := range 20 * accounts {
		if i == 10*accounts {
			now = now.Add(warmUpTime)
		}
		r := benchRequest(i, accounts)
		if !a.Admit(r, now).Refused && i%4 == 0 {
			a.RecordRefusal(r, true, now)
		}
	}
	a.services["s"].computedAt = time.Time{}
	a.Admit(benchRequest(0, accounts), now)
	for round := range 2 {
		now = now.Add(coverTime)
		for p := range 132 {
			a.RecordPeer(fmt.Sprint("gateway-", p), 1, benchTotals(round, accounts), now)
		}
	}
	if _, known, accountsKnown := a.load("s", a.services["s"], now); !a.services["s"].short || !known || !accountsKnown {
		panic("no shortage")
	}
	return a, now
}

func benchRequest(i, accounts int) Request {
	return Request{Service: "s", Route: "r", Account: fmt.Sprint("account-", i%accounts), Priority: i % 3, Timeout: 3 * time.Second, TimeLeft: 3 * time.Second, Cost: 12_000}
}

func benchTotals(round, accounts int) []Totals {
	t := Totals{Service: "s", Offered: float64(round) * 1e6, Admitted: float64(round) * 1e6, Refused: float64(round) * 2e5}
	for i := range min(accounts, maxReportedAccounts) {
		t.Accounts = append(t.Accounts, AccountTotals{Account: fmt.Sprint("account-", i), Offered: [Classes]float64{float64(round) * 1e5}, Served: float64(round) * 5e4})
	}
	return []Totals{t}
}

// BenchmarkAdmit measures a decision; every hundredth one computes the shares.
func BenchmarkAdmit(b *testing.B) {
	for _, accounts := range []int{16, 1000} {
		for _, compute := range []bool{false, true} {
			b.Run(fmt.Sprintf("accounts=%d/compute=%t", accounts, compute), func(b *testing.B) {
				a, now := benchAllocator(accounts)
				r := benchRequest(0, accounts)
				s, forever := a.services["s"], now.Add(10_000*time.Hour)
				for _, p := range a.peers {
					p.at, p.services["s"].at, p.services["s"].accountsAt = forever, forever, forever
				}
				b.ReportAllocs()
				for b.Loop() {
					if now = now.Add(time.Millisecond); compute {
						now = now.Add(computeInterval)
					}
					if !a.Admit(r, now).Refused {
						a.RecordRefusal(r, true, now)
					}
					// The shortage is to last for the whole benchmark.
					s.short, s.lossAt = true, now
				}
			})
		}
	}
}

// BenchmarkRecordPeer measures the totals of one digest.
func BenchmarkRecordPeer(b *testing.B) {
	a, now := benchAllocator(16)
	totals := benchTotals(2, 16)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		a.RecordPeer("gateway-1", 1, totals, now)
	}
}

// BenchmarkState measures the memory of the state with 132 gateways.
func BenchmarkState(b *testing.B) {
	for _, accounts := range []int{16, 1000} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				a, _ := benchAllocator(accounts)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(a)
			}
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "state-bytes")
		})
	}
}
