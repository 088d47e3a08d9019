// This file checks the queue's and the budget's bounds for random inputs.

package cladmission

import (
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/cltest"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var testStart = time.Unix(1000, 0)

// TestMain fixes the seed of the property tests unless one is given.
func TestMain(m *testing.M) {
	cltest.Main(m, map[string]string{"seed": "20260102"})
}

// TestEachRequestEndsOnce guards against lost requests, requests that end twice
// or after their time, and disorder within an account.
func TestEachRequestEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue[int](Config{Quantum: 10, MaxQueued: 8, RateWindow: time.Second})
		now := testStart
		waiting := map[ID]Request[int]{}
		lastAdmitted := map[string]ID{}
		end := func(id ID) Request[int] {
			r, ok := waiting[id]
			require.True(t, ok, "request %d ended twice or was never queued", id)
			delete(waiting, id)
			return r
		}
		expire := func() {
			for _, r := range q.Expire(now) {
				require.Equal(t, end(r.ID), r.Request)
				require.GreaterOrEqual(t, r.Refusal.RetryAfter, minRetryAfter)
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1:
				r := Request[int]{
					Account: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
					Weight:  rapid.IntRange(0, 4).Draw(t, "weight"),
					Cost:    float64(rapid.IntRange(1, 50).Draw(t, "cost")),
					StartBy: now.Add(time.Duration(rapid.IntRange(-1, 40).Draw(t, "ms")) * 50 * time.Millisecond),
				}
				if id, refusal := q.Offer(r, now); refusal == nil {
					r.Weight = max(r.Weight, 1)
					waiting[id] = r
				}
			case 2, 3:
				if r, id, ok := q.Take(now); ok {
					require.Equal(t, end(id), r)
					require.False(t, r.StartBy.Before(now), "admitted after its time")
					require.Greater(t, id, lastAdmitted[r.Account], "admitted out of order")
					lastAdmitted[r.Account] = id
				}
			case 4:
				now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * 10 * time.Millisecond)
				if rapid.Bool().Draw(t, "expire") {
					expire()
				}
			case 5:
				id := ID(rapid.Uint64Range(0, uint64(q.lastID+1)).Draw(t, "id"))
				if q.Cancel(id) {
					end(id)
				}
			}
			require.Equal(t, len(waiting), q.Len()+len(q.refused))
		}
		now = now.Add(time.Minute)
		expire()
		require.Empty(t, waiting, "requests were lost")
		require.Zero(t, q.weights)
	})
}

// TestFairness guards against an account that gets more than its weighted share
// while others wait: between two accounts that always have requests waiting, the
// service divided by weight differs by at most one quantum and the largest cost
// divided by each weight.
func TestFairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const quantum, largest = 100, 250
		q := NewQueue[int](Config{Quantum: quantum})
		names := []string{"a", "b", "c", "d"}
		weights, served := map[string]int{}, map[string]float64{}
		offer := func(name string) {
			cost := float64(rapid.IntRange(1, largest).Draw(t, "cost"))
			_, refusal := q.Offer(Request[int]{
				Account: name, Weight: weights[name], Cost: cost, StartBy: testStart.Add(time.Hour),
			}, testStart)
			require.Nil(t, refusal)
		}
		for i, name := range names {
			weights[name] = rapid.IntRange(1, 5).Draw(t, "weight")
			for range 2 + 30*i {
				offer(name)
			}
		}
		for range 200 {
			r, _, ok := q.Take(testStart)
			require.True(t, ok)
			served[r.Account] += r.Cost
			offer(r.Account)
			for _, a := range names {
				for _, b := range names {
					wa, wb := float64(weights[a]), float64(weights[b])
					require.LessOrEqual(t, served[a]/wa-served[b]/wb, quantum+largest/wa+largest/wb)
				}
			}
		}
	})
}

// TestRefusalInTime guards against queueing what cannot start in time, and
// against a refusal while there is no evidence that it cannot.
func TestRefusalInTime(t *testing.T) {
	for _, c := range []struct {
		name     string
		queued   int
		perTake  time.Duration
		within   time.Duration
		refused  Kind
		retryMin time.Duration
	}{
		{"rate unknown", 50, 0, time.Millisecond, "", 0},
		{"fits", 5, 100 * time.Millisecond, time.Second, "", 0},
		{"too long", 50, 100 * time.Millisecond, time.Second, KindNoTime, 3 * time.Second},
		{"passed", 0, 0, -time.Millisecond, KindDeadlinePassed, time.Second},
	} {
		q := NewQueue[int](Config{Quantum: 1})
		now := testStart
		offer := func(within time.Duration) *Refusal {
			_, refusal := q.Offer(Request[int]{Account: "a", Cost: 1, StartBy: now.Add(within)}, now)
			return refusal
		}
		for range c.queued + 10 {
			require.Nil(t, offer(time.Hour), c.name)
		}
		for range min(10, c.queued) {
			now = now.Add(c.perTake)
			q.Take(now)
		}
		refusal := offer(c.within)
		if c.refused == "" {
			require.Nil(t, refusal, c.name)
			continue
		}
		require.Equal(t, c.refused, refusal.Kind, c.name)
		require.GreaterOrEqual(t, refusal.RetryAfter, c.retryMin, c.name)
	}
}

// TestBudget guards against a wave of retries: within any window, retries exceed
// neither the ratio of requests nor the floor.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(BudgetConfig{})
		now := testStart
		var requests, retries []time.Time
		for range 300 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(t, "kind") > 0 {
				b.Request("s", now)
				requests = append(requests, now)
			} else if b.Retry("s", now) {
				retries = append(retries, now)
				// The window slides by parts, so it may be one part short.
				part := defaultWindow / budgetBuckets
				allowed := max(defaultFloor, defaultRatio*float64(since(requests, now.Add(-defaultWindow))))
				require.LessOrEqual(t, float64(since(retries, now.Add(part-defaultWindow))), allowed)
			}
		}
		require.NotEmpty(t, retries, "the floor allows some")
	})
}

func since(times []time.Time, from time.Time) int {
	n := 0
	for _, at := range times {
		if !at.Before(from) {
			n++
		}
	}
	return n
}
