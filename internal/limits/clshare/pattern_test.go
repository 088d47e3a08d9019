// This file plays patterns of load against many gateways and a queue of limited
// capacity, in virtual time.

package clshare

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
)

type (
	// pattern is a load by accounts, whose weights are their usual rates.
	pattern struct {
		name string
		// usual holds the usual requests per second of each account, and hot the
		// factor of the load during the middle third of the time.
		usual, hot []float64
		// capacity is the requests per second that the service completes.
		capacity float64
		gateways int
		// digestLoss is the fraction of the digests that are lost.
		digestLoss float64
		// faulty is the number of gateways whose endpoints refuse every request,
		// whatever the load.
		faulty int
		// mixedCosts is set if one request in five costs 8 and the others 1, instead of
		// all of them 1.
		mixedCosts bool
	}

	// result counts the callers of the hot time, by account, and those of them that
	// were served. overShare counts the requests that were refused by shares in that
	// time. requestsLate counts the requests from settleTime after the hot time,
	// and refusedLate those of them that were refused by shares. requests and refused
	// are those of the whole time.
	result struct {
		callers, served           []float64
		overShare                 []float64
		requestsLate, refusedLate int
		requests, refused         int
		servedCost                float64
	}

	// event is an arrival of a request, or a digest if account is -1.
	event struct {
		at       time.Duration
		gateway  int
		account  int
		timeLeft time.Duration
		returns  bool
		priority int
		cost     float64
	}

	eventHeap []event
)

func (h eventHeap) Len() int           { return len(h) }
func (h eventHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h eventHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)        { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	e := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return e
}

const (
	// patternSeeds is the number of seeds with which each pattern is played.
	patternSeeds      = 3
	patternTime       = 45 * time.Second
	settleTime        = 4 * time.Second
	callerTimeout     = 3 * time.Second
	maxQueueTime      = time.Second
	maxPlainRetryTime = 500 * time.Millisecond
)

// play plays a pattern with or without shares.
func play(p pattern, shares bool, seed uint64) result {
	rng := rand.New(rand.NewPCG(seed, 2))
	epoch := time.Unix(1_000_000, 0)
	allocators := make([]*Allocator, p.gateways)
	weights := map[string]float64{}
	for i, rate := range p.usual {
		weights[fmt.Sprint("a", i)] = rate
	}
	events := &eventHeap{}
	interval := max(200*time.Millisecond, time.Duration(p.gateways)*time.Second/150)
	for g := range allocators {
		allocators[g] = &Allocator{Rand: rand.New(rand.NewPCG(2+seed, uint64(g)))}
		if shares {
			allocators[g].SetWeights(weights)
		}
		heap.Push(events, event{at: time.Duration(rng.Float64() * float64(interval)), gateway: g, account: -1})
	}
	hotFrom, hotTo := patternTime/3, 2*patternTime/3
	for i, rate := range p.usual {
		for at := time.Duration(0); at < patternTime; {
			r := rate
			if at >= hotFrom && at < hotTo {
				r *= p.hot[i]
			}
			at += time.Duration(rng.ExpFloat64() / r * float64(time.Second))
			cost := 1.0
			if p.mixedCosts && rng.IntN(5) == 0 {
				cost = 8
			}
			heap.Push(events, event{at: at, gateway: rng.IntN(p.gateways), account: i, timeLeft: callerTimeout, priority: 2 * rng.IntN(2), cost: cost})
		}
	}
	out := result{callers: make([]float64, len(p.usual)), served: make([]float64, len(p.usual)), overShare: make([]float64, len(p.usual))}
	queue, last := 0.0, time.Duration(0) // the queue in seconds of work
	for events.Len() > 0 {
		e := heap.Pop(events).(event)
		now := epoch.Add(e.at)
		queue = max(0, queue-(e.at-last).Seconds())
		last = e.at
		if e.account < 0 {
			totals := allocators[e.gateway].Totals(now)
			for g, a := range allocators {
				if g != e.gateway && rng.Float64() >= p.digestLoss {
					a.RecordPeer(fmt.Sprint(e.gateway), 1, totals, now)
				}
			}
			if e.at < patternTime {
				e.at += interval
				heap.Push(events, e)
			}
			continue
		}
		counted := e.at >= hotFrom && e.at < hotTo
		if counted && !e.returns {
			out.callers[e.account]++
		}
		r := Request{Service: "s", Route: "r", Account: fmt.Sprint("a", e.account), Priority: e.priority, Timeout: e.timeLeft, TimeLeft: e.timeLeft, Cost: e.cost}
		d := allocators[e.gateway].Admit(r, now)
		out.countDecision(e, d, counted)
		if !d.Refused && (queue > maxQueueTime.Seconds() || e.gateway < p.faulty) {
			d = Decision{Refused: true, RetryAfter: max(allocators[e.gateway].RecordRefusal(r, true, now), time.Duration(rng.Float64()*float64(maxPlainRetryTime)))}
		}
		if !d.Refused {
			queue += e.cost / p.capacity
			if counted {
				out.servedCost += e.cost
				out.served[e.account]++
			}
		} else if !e.returns {
			e.at, e.timeLeft, e.returns, e.gateway = e.at+d.RetryAfter, e.timeLeft-d.RetryAfter, true, rng.IntN(p.gateways)
			heap.Push(events, e)
		}
	}
	return out
}

// countDecision counts a request and the decision for it. counted is set during the hot
// time.
func (r *result) countDecision(e event, d Decision, counted bool) {
	late := lo.Ternary(e.at >= 2*patternTime/3+settleTime, 1, 0)
	r.requests++
	r.requestsLate += late
	if !d.Refused {
		return
	}
	r.refused++
	r.refusedLate += late
	if counted {
		r.overShare[e.account]++
	}
}

// servedFraction returns the served fraction of the callers of the accounts that are
// hot or not.
func (r result) servedFraction(p pattern, hot bool) float64 {
	callers, served := 0.0, 0.0
	for i := range r.callers {
		if (p.hot[i] > 1) == hot {
			callers += r.callers[i]
			served += r.served[i]
		}
	}
	return served / callers
}

// lowestServedFraction returns the lowest served fraction of the callers of an account
// that is not hot.
func (r result) lowestServedFraction(p pattern) float64 {
	lowest := 1.0
	for i := range r.callers {
		if p.hot[i] <= 1 {
			lowest = min(lowest, r.served[i]/r.callers[i])
		}
	}
	return lowest
}

// Guards against a hot account, or several competing ones, that take the capacity from
// accounts below their shares, also from a small one, against capacity that is left unused
// in a shortage, and against a shortage that outlasts the load. What those accounts get
// without shares is the load's own check.
func TestPatterns(t *testing.T) {
	usual := []float64{120, 90, 70, 60, 50, 40, 30, 25, 20, 15, 12, 10, 8, 6, 4, 3}
	hotAccount := []float64{7.5, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}
	competingAccounts := []float64{1, 1, 5, 1, 7.5, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1}
	for _, tc := range []struct {
		pattern
		// before is the largest served fraction of the other accounts without shares,
		// and after the smallest one with shares. lowest is the smallest one of a
		// single account, which has 45 callers at least.
		before, after, lowest float64
	}{
		{pattern{"hot_account", usual, hotAccount, 750, 70, 0, 0, false}, 0.65, 0.97, 0.9},
		{pattern{"hot_account, mixed costs", usual, hotAccount, 1800, 70, 0, 0, true}, 0.65, 0.97, 0.9},
		{pattern{"hot_account, digests lost", usual, hotAccount, 750, 70, 0.3, 0, false}, 0.65, 0.97, 0.9},
		{pattern{"hot_account, no digests", usual, hotAccount, 750, 70, 1, 0, false}, 0.65, 0.92, 0.85},
		{pattern{"hot_account, one gateway", usual, hotAccount, 750, 1, 0, 0, false}, 0.65, 0.94, 0.9},
		{pattern{"competing_accounts", usual, competingAccounts, 750, 132, 0, 0, false}, 0.75, 0.96, 0.9},
	} {
		for seed := range uint64(patternSeeds) {
			before, after := play(tc.pattern, false, seed+1), play(tc.pattern, true, seed+1)
			t.Logf("%s, %d gateways, seed %d: other accounts %.3f before, %.3f after, the lowest %.3f, refused by shares %v; hot ones %.3f, %.3f; served cost in all %.0f, %.0f; refused after the load %d of %d", tc.name, tc.gateways, seed+1,
				before.servedFraction(tc.pattern, false), after.servedFraction(tc.pattern, false), after.lowestServedFraction(tc.pattern), after.overShare[1:], before.servedFraction(tc.pattern, true), after.servedFraction(tc.pattern, true),
				before.servedCost, after.servedCost, after.refusedLate, after.requestsLate)
			require.Less(t, before.servedFraction(tc.pattern, false), tc.before, tc.name)
			require.Greater(t, after.servedFraction(tc.pattern, false), tc.after, tc.name)
			require.Greater(t, after.lowestServedFraction(tc.pattern), tc.lowest, tc.name)
			require.Greater(t, after.servedCost, 0.98*before.servedCost, tc.name)
			// From settleTime after the load, shares refuse at most 1 in 100 requests.
			require.LessOrEqual(t, 100*after.refusedLate, after.requestsLate, tc.name)
		}
	}
}

// Guards against one gateway whose requests are all refused, although the capacity is
// ample, and that makes all gateways refuse requests by shares.
func TestFaultyGatewayMakesNoShortage(t *testing.T) {
	usual := []float64{171, 128, 100, 86, 71, 57, 43, 36, 29, 21, 17, 14, 11, 9, 6, 4}
	even := lo.Times(len(usual), func(int) float64 { return 1 })
	for _, gateways := range []int{9, 132} {
		for seed := range uint64(3) {
			r := play(pattern{name: "faulty", usual: usual, hot: even, capacity: 2000, gateways: gateways, faulty: 1}, true, seed+1)
			t.Logf("%d gateways, seed %d: %d of %d requests refused by shares", gateways, seed+1, r.refused, r.requests)
			require.Less(t, 100*r.refused, r.requests, "%d gateways, seed %d", gateways, seed+1)
		}
	}
}
