// This file defines the search for the cheapest allocation.

package clplacement

import (
	"cmp"
	"math"
	"slices"
)

type (
	// source is an offer and how many instances it can have in all.
	source struct {
		Offer
		limit int
	}

	// filler is the working state of fill, kept between calls.
	filler struct {
		sources []source
		// dc is the index of the first source in the same data centre.
		dc, count, inDC []int
		perDC           int
		cost            float64
	}
)

const unlimited = math.MaxInt

// Survives reports whether the counted instances meet the target with any one
// data centre gone and contain its share on demand.
func Survives(count map[OfferKey]int, t Target) bool {
	total, onDemand, perDC := 0, 0, make(map[string]int)
	for k, n := range count {
		total += n
		perDC[k.DataCentre] += n
		if !k.Reclaimable {
			onDemand += n
		}
	}
	for _, n := range perDC {
		if total-n < t.Needed {
			return false
		}
	}
	return total >= t.Needed && onDemand >= t.floor()
}

// floor is the number of instances bought on demand.
func (t Target) floor() int { return int(math.Ceil(t.OnDemandShare * float64(t.Needed))) }

// allocate returns the cheapest counts found. If at most spare instances are in
// one data centre, Needed+spare in all survive its loss; every value of spare
// is tried. If the offers cannot survive the loss of a data centre, it returns
// what comes closest to Needed instances.
func allocate(sources []source, t Target) map[OfferKey]int {
	slices.SortStableFunc(sources, func(a, b source) int {
		return cmp.Or(cmp.Compare(a.PricePerHour, b.PricePerHour), cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Class, b.Class))
	})
	f := filler{sources: sources, dc: make([]int, len(sources)), count: make([]int, len(sources)), inDC: make([]int, len(sources))}
	for i, s := range sources {
		f.dc[i] = slices.IndexFunc(sources, func(o source) bool { return o.DataCentre == s.DataCentre })
	}
	var best []int
	bestCost := math.Inf(1)
	for spare := 1; spare <= t.Needed; spare++ {
		for _, floorFirst := range []bool{true, false} {
			if cost, full := f.fill(t.Needed+spare, spare, t.floor(), floorFirst); full && cost < bestCost {
				best, bestCost = append(best[:0], f.count...), cost
			}
		}
	}
	if best == nil {
		f.fill(t.Needed, t.Needed, t.floor(), true)
		best = f.count
	}
	counts := make(map[OfferKey]int, len(sources))
	for i, s := range sources {
		counts[s.OfferKey] = best[i]
	}
	return counts
}

// fill takes total instances, at most perDC in a data centre and at least floor
// on demand, the cheapest first. Either the floor is taken first, or the
// reclaimable part, which may leave the floor to dearer data centres. It
// returns the cost, and false if the offers do not suffice.
func (f *filler) fill(total, perDC, floor int, floorFirst bool) (float64, bool) {
	clear(f.count)
	clear(f.inDC)
	f.perDC, f.cost = perDC, 0
	floor = min(floor, total)
	if floorFirst {
		missing := f.take(floor, true)
		// A floor that cannot be had on demand is bought reclaimable meanwhile.
		return f.cost, f.take(total-floor+missing, false) == 0
	}
	missing := f.take(total-floor, false)
	return f.cost, f.take(floor, true)+missing == 0
}

// take adds n of the cheapest instances and returns how many are not to be had.
func (f *filler) take(n int, onDemandOnly bool) int {
	for i, s := range f.sources {
		if onDemandOnly && s.Reclaimable {
			continue
		}
		k := max(0, min(n, f.perDC-f.inDC[f.dc[i]], s.limit-f.count[i]))
		f.count[i] += k
		f.inDC[f.dc[i]] += k
		f.cost += float64(k) * s.PricePerHour
		n -= k
	}
	return n
}
