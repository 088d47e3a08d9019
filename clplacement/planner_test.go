// This file tests the planner's invariants and measures it against baselines.

package clplacement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnutlead/chestnutlead/clplacement"
)

const simSeed = 5

var (
	start = time.Unix(1_800_000_000, 0)
	dcs   = []string{"a", "b", "c", "d", "e"}
)

func newPlanner(seed uint64) *clplacement.Planner {
	return clplacement.New(clplacement.Config{Rand: rand.New(rand.NewPCG(simSeed, seed))})
}

// market returns a reclaimable and an on-demand offer in each of n data centres.
func market(n int, price func() float64) []clplacement.Offer {
	var offers []clplacement.Offer
	for _, dc := range dcs[:n] {
		p := price()
		for _, reclaimable := range []bool{true, false} {
			offers = append(offers, clplacement.Offer{
				OfferKey:     clplacement.OfferKey{DataCentre: dc, Class: "gpu", Reclaimable: reclaimable},
				PricePerHour: lo.Ternary(reclaimable, p, p*2.8),
			})
		}
	}
	return offers
}

func target(needed int, share float64) clplacement.Target {
	return clplacement.Target{Service: "s", Version: "v", Needed: needed, OnDemandShare: share, Classes: []string{"gpu"}, DataCentres: dcs}
}

func count(instances []clplacement.Instance) map[clplacement.OfferKey]int {
	return lo.CountValuesBy(instances, func(i clplacement.Instance) clplacement.OfferKey { return i.OfferKey })
}

// meets checks a target without the planner's own code.
func meets(n map[clplacement.OfferKey]int, tg clplacement.Target) bool {
	for _, lost := range append(slices.Clone(dcs), "") {
		left := lo.Sum(lo.Values(lo.OmitBy(n, func(k clplacement.OfferKey, _ int) bool { return k.DataCentre == lost })))
		if left < tg.Needed {
			return false
		}
	}
	onDemand := lo.Sum(lo.Values(lo.OmitBy(n, func(k clplacement.OfferKey, _ int) bool { return k.Reclaimable })))
	return float64(onDemand) >= tg.OnDemandShare*float64(tg.Needed)
}

func draw(t *rapid.T) ([]clplacement.Offer, clplacement.Target) {
	offers := market(rapid.IntRange(2, 5).Draw(t, "data centres"), func() float64 { return rapid.Float64Range(0.5, 2).Draw(t, "price") })
	return offers, target(rapid.IntRange(1, 40).Draw(t, "needed"), rapid.Float64Range(0, 1).Draw(t, "share"))
}

// TestSurvives guards against plans that fall below the target when a data
// centre is lost, and stops of instances that the target needs.
func TestSurvives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offers, tg := draw(t)
		var instances []clplacement.Instance
		for i := range rapid.IntRange(0, 60).Draw(t, "instances") {
			instances = append(instances, clplacement.Instance{
				ID: fmt.Sprint("i", i), OfferKey: rapid.SampledFrom(offers).Draw(t, "offer").OfferKey, Service: "s", Version: "v",
				Serving: rapid.Bool().Draw(t, "serving"),
			})
		}
		p := newPlanner(0)
		for round := range 3 {
			plan := p.Plan(start, offers, instances, []clplacement.Target{tg})
			for _, s := range plan.Stops {
				instances = slices.DeleteFunc(instances, func(i clplacement.Instance) bool { return i.ID == s.InstanceID })
				require.True(t, meets(count(lo.Filter(instances, func(i clplacement.Instance, _ int) bool { return i.Serving })), tg),
					"stopped an instance that the target needs")
			}
			for i := range instances {
				instances[i].Serving = true
			}
			for _, s := range plan.Starts {
				id := fmt.Sprint("n", s.Number)
				p.StartAnswered(s.Number, id)
				instances = append(instances, clplacement.Instance{ID: id, OfferKey: s.Offer, Service: "s", Version: "v", Serving: true})
			}
			if round > 0 {
				require.Empty(t, plan.Starts, "not settled after one round")
			}
		}
		require.True(t, meets(count(instances), tg), "%v", count(instances))
	})
}

// TestLostAnswers guards against starting again what a lost answer or the
// lagging list hides.
func TestLostAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offers, tg := draw(t)
		p, hidden, listed := newPlanner(0), []clplacement.Instance{}, []clplacement.Instance{}
		want := -1
		for step := range 8 {
			plan := p.Plan(start.Add(time.Duration(step)*20*time.Second), offers, listed, []clplacement.Target{tg})
			for _, s := range plan.Starts {
				id := fmt.Sprint("i", s.Number)
				hidden = append(hidden, clplacement.Instance{ID: id, OfferKey: s.Offer, Service: "s", Version: "v"})
				if rapid.Bool().Draw(t, "answered") {
					p.StartAnswered(s.Number, id)
				}
			}
			if want < 0 {
				want = len(plan.Starts)
			}
			require.LessOrEqual(t, len(hidden)+len(listed), want, "started more than the target")
			shown := rapid.IntRange(0, len(hidden)).Draw(t, "shown")
			listed, hidden = append(listed, hidden[:shown]...), hidden[shown:]
		}
	})
}

// TestBackoff guards against hammering an offer that refuses starts.
func TestBackoff(t *testing.T) {
	offers, tg := market(3, func() float64 { return 1 }), target(10, 0)
	p, attempts := newPlanner(0), 0
	for now := start; now.Before(start.Add(2 * time.Hour)); now = now.Add(10 * time.Second) {
		refused := false
		for _, s := range p.Plan(now, offers, nil, []clplacement.Target{tg}).Starts {
			if s.Offer.DataCentre == "a" && s.Offer.Reclaimable {
				refused = true
			}
			p.StartRefused(now, s.Number)
		}
		attempts += lo.Ternary(refused, 1, 0)
	}
	// 30 s doubling to 30 min gives 6 waits in the first half hour or so, and at least 15 min each then.
	require.Less(t, attempts, 20)
	require.Greater(t, attempts, 5)
}

// TestExact compares the cost with the best of all allocations at today's size.
func TestExact(t *testing.T) {
	rng, worst := rand.New(rand.NewPCG(simSeed, 1)), 1.0
	for range 30 {
		offers := market(3, func() float64 { return 0.5 + rng.Float64() })
		tg := target(6, 0.2)
		cost := func(n map[clplacement.OfferKey]int) float64 {
			return lo.SumBy(offers, func(o clplacement.Offer) float64 { return float64(n[o.OfferKey]) * o.PricePerHour })
		}
		plan := newPlanner(0).Plan(start, offers, nil, []clplacement.Target{tg})
		got := lo.CountValuesBy(plan.Starts, func(s clplacement.Start) clplacement.OfferKey { return s.Offer })
		best := math.Inf(1)
		var try func(i int, n map[clplacement.OfferKey]int)
		try = func(i int, n map[clplacement.OfferKey]int) {
			if i == len(offers) {
				if meets(n, tg) {
					best = min(best, cost(n))
				}
				return
			}
			for n[offers[i].OfferKey] = 0; n[offers[i].OfferKey] <= tg.Needed && cost(n) < best; n[offers[i].OfferKey]++ {
				try(i+1, n)
			}
			n[offers[i].OfferKey] = 0
		}
		try(0, make(map[clplacement.OfferKey]int))
		worst = max(worst, cost(got)/best)
	}
	t.Logf("seed %d: at most %.2f%% above the best allocation of 12 or fewer instances in 3 data centres", simSeed, (worst-1)*100)
	require.Less(t, worst, 1.1)
}

type policy struct {
	name   string
	offers func([]clplacement.Offer) []clplacement.Offer
	target func(clplacement.Target) clplacement.Target
}

var policies = []policy{
	{"planner", func(o []clplacement.Offer) []clplacement.Offer { return o }, func(t clplacement.Target) clplacement.Target { return t }},
	{"on demand only", func(o []clplacement.Offer) []clplacement.Offer {
		return lo.Filter(o, func(o clplacement.Offer, _ int) bool { return !o.Reclaimable })
	}, func(t clplacement.Target) clplacement.Target { return t }},
	{"cheapest reclaimable", func(o []clplacement.Offer) []clplacement.Offer {
		// One offer cannot cover the loss of its data centre, so the planner buys
		// the target there without a spare.
		return []clplacement.Offer{lo.MinBy(lo.Filter(o, func(o clplacement.Offer, _ int) bool { return o.Reclaimable }),
			func(a, b clplacement.Offer) bool { return a.PricePerHour < b.PricePerHour })}
	}, func(t clplacement.Target) clplacement.Target { t.OnDemandShare = 0; return t }},
}

// week simulates days in which each data centre's reclaimable instances are
// taken every 16 hours on average and then refused for 20 to 60 minutes, and
// one data centre is lost for an hour. A start serves after 4 minutes.
func week(pl policy, n, needed int, days int, seed uint64) (cost float64, below time.Duration, starts int, plans []time.Duration) {
	rng := rand.New(rand.NewPCG(simSeed, seed))
	offers := market(n, func() float64 { return 0.9 + 0.2*rng.Float64() })
	p := newPlanner(seed)
	tg := pl.target(target(needed, 0.2))
	price := lo.SliceToMap(offers, func(o clplacement.Offer) (clplacement.OfferKey, float64) { return o.OfferKey, o.PricePerHour })
	type running struct {
		clplacement.Instance
		servesAt, endsAt time.Time
	}
	var all []running
	const tick = 30 * time.Second
	refusedUntil, lostUntil := map[string]time.Time{}, map[string]time.Time{}
	lossAt, warm := start.Add(time.Duration(6+rng.IntN(16))*time.Hour), start.Add(10*time.Minute)
	for now := start; now.Before(start.AddDate(0, 0, days)); now = now.Add(tick) {
		for _, dc := range dcs[:n] {
			wave, loss := rng.Float64() < tick.Hours()/16, dc == dcs[seed%uint64(n)] && now.Equal(lossAt)
			outage := time.Duration(20+rng.IntN(40)) * time.Minute
			if wave {
				refusedUntil[dc] = now.Add(outage)
			}
			if loss {
				lostUntil[dc] = now.Add(time.Hour)
			}
			for i := range all {
				if in := &all[i]; in.DataCentre == dc && !in.Leaving && (loss || wave && in.Reclaimable) {
					in.Leaving, in.endsAt = true, now.Add(lo.Ternary(loss, 0, tick))
				}
			}
		}
		all = slices.DeleteFunc(all, func(r running) bool { return r.Leaving && !now.Before(r.endsAt) })
		serving := 0
		for i := range all {
			all[i].Serving = !now.Before(all[i].servesAt)
			serving += lo.Ternary(all[i].Serving, 1, 0)
			cost += price[all[i].OfferKey] * tick.Hours()
		}
		if serving < needed && !now.Before(warm) {
			below += tick
		}
		began := time.Now()
		plan := p.Plan(now, pl.offers(offers), lo.Map(all, func(r running, _ int) clplacement.Instance { return r.Instance }), []clplacement.Target{tg})
		plans = append(plans, time.Since(began))
		for _, s := range plan.Starts {
			if now.Before(lostUntil[s.Offer.DataCentre]) || s.Offer.Reclaimable && now.Before(refusedUntil[s.Offer.DataCentre]) {
				p.StartRefused(now, s.Number)
				continue
			}
			starts++
			id := fmt.Sprint("i", s.Number)
			p.StartAnswered(s.Number, id)
			all = append(all, running{clplacement.Instance{ID: id, OfferKey: s.Offer, Service: "s", Version: "v"}, now.Add(4 * time.Minute), time.Time{}})
		}
		for _, s := range plan.Stops {
			all = slices.DeleteFunc(all, func(r running) bool { return r.ID == s.InstanceID })
		}
	}
	return cost, below, starts, plans
}

// TestWeek guards against a planner that costs more than on demand only, or
// leaves the target unmet for longer than the cheapest reclaimable instances.
func TestWeek(t *testing.T) {
	for _, size := range []struct{ n, needed, days, runs int }{{3, 10, 7, 5}, {5, 480, 1, 1}} {
		var costs, belows []float64
		for _, pl := range policies {
			var cost, below float64
			var all []time.Duration
			starts := 0
			for seed := range size.runs {
				c, b, s, plans := week(pl, size.n, size.needed, size.days, uint64(seed))
				cost, below, starts, all = cost+c, below+b.Minutes(), starts+s, append(all, plans...)
			}
			slices.Sort(all)
			w := float64(size.runs)
			t.Logf("seed %d, %d data centres, %3d needed, %d days: %-20s cost %8.0f, below target %6.1f min, %5d starts, plan median %s, longest %s",
				simSeed, size.n, size.needed, size.days, pl.name, cost/w, below/w, starts/size.runs, all[len(all)/2], all[len(all)-1])
			costs, belows = append(costs, cost), append(belows, below)
		}
		require.Less(t, costs[0], costs[1], "costs more than on demand only")
		require.Less(t, belows[0], belows[2], "below target for longer than the cheapest reclaimable")
	}
}
