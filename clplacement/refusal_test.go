// This file tests plans while an offer is refused.

package clplacement_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnutlead/chestnutlead/clplacement"
)

// TestRefusalSettles guards against retries of a refused offer that start more
// than one instance, or start and stop others while nothing has changed; and
// against an offer that stays out of use once a retry succeeded, also if its
// answer was lost.
func TestRefusalSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		offers, tg := draw(t)
		refused := rapid.SampledFrom(offers).Draw(t, "refused").OfferKey
		lost := rapid.Bool().Draw(t, "answer of the retry lost")
		p, targets := newPlanner(0), []clplacement.Target{tg}
		var instances []clplacement.Instance
		round := func(now time.Time, refuse, lose bool) clplacement.Plan {
			plan := p.Plan(now, offers, instances, targets)
			for _, s := range plan.Stops {
				instances = slices.DeleteFunc(instances, func(i clplacement.Instance) bool { return i.ID == s.InstanceID })
			}
			for _, s := range plan.Starts {
				if refuse && s.Offer == refused {
					p.StartRefused(now, s.Number)
					continue
				}
				id := fmt.Sprint("n", s.Number)
				if !lose {
					p.StartAnswered(s.Number, id)
				}
				instances = append(instances, clplacement.Instance{ID: id, OfferKey: s.Offer, Service: "s", Version: "v", Serving: true})
			}
			return plan
		}
		now := start
		round(now, false, false)
		round(now, false, false) // sees the starts listed
		before := count(instances)
		instances = slices.DeleteFunc(instances, func(i clplacement.Instance) bool { return i.OfferKey == refused })
		for i := range 120 {
			now = now.Add(30 * time.Second)
			plan := round(now, true, false)
			if i < 3 {
				continue
			}
			require.Empty(t, plan.Stops, "stopped although nothing changed")
			require.LessOrEqual(t, len(plan.Starts), 1)
			for _, s := range plan.Starts {
				require.Equal(t, refused, s.Offer, "started although nothing changed")
			}
		}
		// The backoff is at most 30 min; the starts are listed at once.
		for range 70 {
			now = now.Add(30 * time.Second)
			round(now, false, lost)
		}
		price := lo.SliceToMap(offers, func(o clplacement.Offer) (clplacement.OfferKey, float64) { return o.OfferKey, o.PricePerHour })
		cost := func(n map[clplacement.OfferKey]int) float64 {
			return lo.Sum(lo.MapToSlice(n, func(k clplacement.OfferKey, n int) float64 { return price[k] * float64(n) }))
		}
		require.True(t, meets(count(instances), tg))
		require.LessOrEqual(t, cost(count(instances)), cost(before)+1e-6, "%v did not return to %v", count(instances), before)
	})
}
