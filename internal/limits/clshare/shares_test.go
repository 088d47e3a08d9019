// This file tests the shares and the decisions by them.

package clshare

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Guards against shares that are not max-min fair: an account below its share that is
// refused, an account that gets more by weight than another one that is refused, grants
// beyond the capacity, and capacity that is left although an account asks for it.
func TestDivideIsMaxMinFair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var accounts []*account
		offered := 0.0
		for i := range rapid.IntRange(1, 40).Draw(t, "accounts") {
			acct := &account{name: fmt.Sprint(i), weight: rapid.Float64Range(0.1, 1e6).Draw(t, "weight")}
			for c := range acct.recent.offered {
				if rapid.Bool().Draw(t, "offers") {
					acct.recent.offered[c] = rapid.Float64Range(0, 1e7).Draw(t, "offered")
				}
				acct.offeredSum += acct.recent.offered[c]
			}
			offered += acct.offeredSum
			accounts = append(accounts, acct)
		}
		capacity := rapid.Float64Range(0, 2).Draw(t, "capacity as a fraction of the offered cost") * offered
		divide(accounts, capacity)
		granted, lowestLevel := 0.0, math.Inf(1)
		levels := map[*account]float64{}
		for _, acct := range accounts {
			got := 0.0
			for c, cost := range acct.recent.offered {
				require.True(t, acct.granted[c] >= 0 && acct.granted[c] <= 1)
				if c > 0 && cost > 0 && acct.granted[c] > 0 {
					for before := range c {
						require.True(t, acct.granted[before] == 1 || acct.recent.offered[before] == 0, "class %d before class %d", c, before)
					}
				}
				got += acct.granted[c] * cost
			}
			granted += got
			levels[acct] = got / acct.weight
			if got < acct.offeredSum*(1-1e-9) {
				lowestLevel = min(lowestLevel, levels[acct])
			}
		}
		slack := 1e-6 * (offered + 1)
		require.LessOrEqual(t, granted, capacity+slack)
		require.GreaterOrEqual(t, granted, min(capacity, offered)-slack)
		for acct, level := range levels {
			require.LessOrEqual(t, level, lowestLevel*(1+1e-6)+slack/acct.weight, "an account gets more than one that is refused")
		}
	})
}

// Guards against an account that is refused although it exceeds its share only by
// chance, a margin that does not grow with the size of the requests, and one that lets an
// account take much more than its share.
func TestMargin(t *testing.T) {
	for _, tc := range []struct {
		cost, offered, margin float64
	}{{1, 200, 20}, {8, 200, 20 * math.Sqrt(8)}, {1, 20_000, 200}} {
		small := &account{offeredSum: tc.offered, squares: 5 * tc.cost * tc.cost, counted: 5 * tc.cost, weight: 1}
		small.recent.offered[1] = tc.offered
		small.margin = small.chanceMargin()
		require.InEpsilon(t, tc.margin, small.margin, 1e-9)
		large := &account{offeredSum: 1e6, weight: 1}
		divide([]*account{small, large}, 2*(tc.offered-0.9*tc.margin))
		require.Equal(t, 1.0, small.granted[1])
		divide([]*account{small, large}, 2*(tc.offered-1.1*tc.margin))
		require.InEpsilon(t, tc.offered-1.1*tc.margin, small.granted[1]*tc.offered, 1e-9)
	}
	require.Zero(t, (&account{offeredSum: 5}).chanceMargin())
}

// Guards against refusals without a shortage: whatever accounts offer, nothing is
// refused while the endpoints refuse less than a shortage needs.
func TestNothingIsRefusedWithoutShortage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := &Allocator{Rand: rand.New(rand.NewPCG(1, 1))}
		a.SetWeights(map[string]float64{"a": 1, "b": 10})
		now := time.Unix(1000, 0)
		every := rapid.IntRange(25, 100).Draw(t, "requests for each refusal")
		for i := range rapid.IntRange(1, 400).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 50).Draw(t, "pause, ms")) * time.Millisecond)
			r := Request{
				Service: "s", Route: "r", Account: rapid.SampledFrom([]string{"a", "b", "unknown"}).Draw(t, "account"), Cost: 10,
				Priority: rapid.IntRange(-1, 9).Draw(t, "priority"), Timeout: time.Second, TimeLeft: time.Second,
			}
			require.False(t, a.Admit(r, now).Refused)
			if i%every == every-1 {
				a.RecordRefusal(r, true, now)
			}
		}
	})
}

// shortAllocator returns an allocator at whose service the account "hot" has offered
// more than its share, and the accounts "low" and "mid" less. Until now, the endpoints
// have refused what exceeded 0.7 of the offered cost.
func shortAllocator() (*Allocator, time.Time) {
	a := &Allocator{Rand: rand.New(rand.NewPCG(1, 1))}
	a.SetWeights(map[string]float64{"hot": 1, "low": 1, "mid": 1})
	now, room := time.Unix(1000, 0), 0.0
	for i := range 10_000 {
		now = now.Add(time.Millisecond)
		room = min(10, room+0.7)
		switch r := offer(i); {
		case a.Admit(r, now).Refused:
		case room < 1:
			a.RecordRefusal(r, true, now)
		default:
			room--
		}
	}
	return a, now
}

// offer returns the request with the given number: most are of "hot".
func offer(i int) Request {
	account := "hot"
	switch i % 20 {
	case 3:
		account = "low"
	case 7:
		account = "mid"
	}
	return Request{Service: "s", Route: "r", Account: account, Priority: 2 * (i % 2), Timeout: 3 * time.Second, TimeLeft: 3 * time.Second, Cost: 1}
}

// Guards against a shortage that refuses accounts below their shares or less urgent
// requests before more urgent ones, against retry times that callers don't honour or that
// send them back together, and against a shortage that does not end although the
// endpoints take everything.
func TestShortage(t *testing.T) {
	a, now := shortAllocator()
	require.Positive(t, a.RecordRefusal(offer(3), true, now), "the caller of an endpoint's refusal is to come back later, too")
	late := offer(3)
	late.TimeLeft = -time.Second
	require.Equal(t, minRetryAfter, a.RecordRefusal(late, true, now), "a caller without time left is not to come back at once")
	require.Zero(t, a.RecordRefusal(offer(3), false, now))
	var changes []Change
	a.OnChange = func(c Change) { changes = append(changes, c) }
	refused, retryTimes, endedAt := map[string]int{}, map[time.Duration]bool{}, time.Duration(0)
	for i := range 20_000 {
		d := a.Admit(offer(i), now.Add(time.Duration(i)*time.Millisecond))
		if !d.Refused {
			continue
		}
		require.Positive(t, d.Share)
		require.Greater(t, d.Offered, d.Share)
		require.LessOrEqual(t, d.RetryAfter, time.Second)
		require.GreaterOrEqual(t, d.RetryAfter, 250*time.Millisecond)
		refused[fmt.Sprint(offer(i).Account, offer(i).Priority)]++
		retryTimes[d.RetryAfter.Truncate(100*time.Millisecond)] = true
		endedAt = time.Duration(i) * time.Millisecond
	}
	require.Equal(t, []string{"hot2"}, lo.Keys(refused), "%v", refused)
	require.GreaterOrEqual(t, len(retryTimes), 7)
	require.Less(t, endedAt, 5*time.Second)
	require.Len(t, changes, 1)
	require.False(t, changes[0].Short)
}

// Guards against callers that come back and are taken for first attempts, and the
// other way round, as when most callers of a shortage are returning ones.
func TestReturningCallers(t *testing.T) {
	var u timeouts
	for i := range 200 {
		require.False(t, u.isReturning("r", 3*time.Second))
		if i >= minTimeoutSamples {
			require.True(t, u.isReturning("r", 2*time.Second))
		}
	}
	require.False(t, u.isReturning("r", 0))
	for range 50 {
		u.isReturning("r", 9*time.Second)
	}
	require.True(t, u.isReturning("r", 3*time.Second), "the usual timeout has grown")
	for i := range 5000 {
		u.isReturning(fmt.Sprint(i), time.Second)
	}
	require.LessOrEqual(t, len(u.routes), maxLearnedRoutes)
}

// Guards against totals of a former run of a gateway, or from long ago, that count as
// recent cost, against digests with wrong figures that decide alone, and against totals
// that are sent without a shortage.
func TestPeers(t *testing.T) {
	report := func(total float64) []Totals {
		return []Totals{{Service: "s", Offered: total, Admitted: total, Accounts: []AccountTotals{{Account: "low", Offered: [Classes]float64{total}, Served: total}, {Account: "unknown", Served: 1}}}}
	}
	for _, tc := range []struct {
		name          string
		boot          uint64
		after         time.Duration
		first, second float64
		want          float64
	}{
		{"later total", 1, time.Second, 1000, 1100, 100},
		{"new run", 2, time.Second, 1000, 1100, 0},
		{"old report", 1, time.Minute, 1000, 1100, 0},
		{"lower total", 1, time.Second, 1000, 900, 0},
		{"infinite", 1, time.Second, 1000, math.Inf(1), 0},
		{"not a number", 1, time.Second, 1000, math.NaN(), 0},
		{"limited", 1, time.Second, 1000, 1e30, maxPeerRatio * 1000},
	} {
		a, now := shortAllocator()
		require.Len(t, a.Totals(now), 1)
		require.Empty(t, a.Totals(now.Add(time.Minute)))
		a.RecordPeer("p", 1, report(tc.first), now)
		acct := a.services["s"].accounts["low"]
		before := acct.recentOffered(now)
		a.services["s"].local = localSums{offered: 2000 * math.Exp(tc.after.Seconds()/sumTime.Seconds()), at: now}
		a.RecordPeer("p", tc.boot, report(tc.second), now.Add(tc.after))
		require.InDelta(t, tc.want, acct.recentOffered(now.Add(tc.after))-before*math.Exp(-tc.after.Seconds()/sumTime.Seconds()), 1e-6*(1+tc.want), tc.name)
		require.NotContains(t, a.services["s"].accounts, "unknown")
	}
}

// Guards against refusals that don't depend on the load, and that reduce the measured
// capacity, and with it what is admitted, further and further.
func TestConstantRefusalsDoNotCloseTheService(t *testing.T) {
	a := &Allocator{Rand: rand.New(rand.NewPCG(1, 1))}
	a.SetWeights(map[string]float64{"hot": 1, "low": 1, "mid": 1})
	now, admitted := time.Unix(1000, 0), 0
	admittedIn := map[int]int{} // by period of 10 s
	for i := range 120_000 {
		now = now.Add(time.Millisecond)
		r := offer(i)
		if a.Admit(r, now).Refused {
			continue
		}
		admittedIn[i/10_000]++
		if admitted++; admitted%10 == 0 {
			a.RecordRefusal(r, true, now)
		}
	}
	// A tenth of what is admitted is not served, and the warm-up ends with 0.95 of a
	// whole sum.
	require.Greater(t, float64(admittedIn[11]), 0.95*0.9*minCapacityFraction*0.97*10_000)
	require.InEpsilon(t, admittedIn[3], admittedIn[11], 0.03)
}

// Guards against a shortage from the reports of a few gateways while the others that are
// heard don't report, and against state of services that aren't configured.
func TestFewReportsMakeNoShortage(t *testing.T) {
	for _, silent := range []int{1, 20} {
		a := &Allocator{Rand: rand.New(rand.NewPCG(1, 1))}
		a.SetWeights(map[string]float64{"hot": 1, "low": 1, "mid": 1})
		a.SetServices([]string{"s", "idle"})
		now := time.Unix(1000, 0)
		for i := range 10_000 {
			now = now.Add(time.Millisecond)
			a.Admit(offer(i), now)
			if i%200 != 0 {
				continue
			}
			for g := range silent {
				a.RecordPeer(fmt.Sprint("silent ", g), 1, nil, now)
			}
			for g := range 4 {
				totals := []Totals{{Service: "s", Offered: float64(i), Admitted: float64(i), Refused: float64(i) / 2, Accounts: []AccountTotals{{Account: "hot", Offered: [Classes]float64{float64(i)}, Served: float64(i) / 2}}}}
				totals = append(totals, Totals{Service: "idle", Accounts: totals[0].Accounts}, Totals{Service: "unknown", Accounts: totals[0].Accounts})
				a.RecordPeer(fmt.Sprint("faulty ", g), 1, totals, now)
			}
		}
		require.Equal(t, silent == 1, a.services["s"].short, "%d silent gateways", silent)
		require.Len(t, a.Totals(now), 2, "the idle service is reported, too")
		require.NotContains(t, a.services, "unknown")
		a.SetServices([]string{"idle"})
		require.NotContains(t, a.services, "s")
	}
}

// Guards against one refused request with a large cost that makes a shortage, and
// against totals beyond the integers that a float64 and the wire hold exactly.
func TestLargeCosts(t *testing.T) {
	a := &Allocator{Rand: rand.New(rand.NewPCG(1, 1))}
	a.SetWeights(map[string]float64{"hot": 1, "low": 1, "mid": 1})
	now := time.Unix(1000, 0)
	admit := func() {
		for i := range 10_000 {
			now = now.Add(time.Millisecond)
			require.False(t, a.Admit(offer(i), now).Refused)
		}
	}
	admit()
	for range 2 {
		large := offer(3)
		large.Cost = 1 << 52
		require.False(t, a.Admit(large, now).Refused)
		a.RecordRefusal(large, true, now)
		admit()
	}
	require.False(t, a.services["s"].short)
	require.Empty(t, a.Totals(now.Add(time.Minute)))
	a.RecordRefusal(offer(3), true, now)
	require.LessOrEqual(t, a.Totals(now)[0].Offered, 10_000.0, "the totals have started anew")
}
