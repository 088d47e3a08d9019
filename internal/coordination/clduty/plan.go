// This file defines how many endpoints of which kind are ordered where.

package clduty

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/samber/lo"
)

type (
	// ScalingTarget is the number of endpoints of one kind that a data centre is to have.
	ScalingTarget struct {
		Service    string
		DataCentre string
		Spot       bool
		Count      int
	}

	// ServiceState is what a service's orders depend on.
	ServiceState struct {
		Service string
		Scaling clcatalog.Scaling
		// Endpoints are the endpoints that are not leaving.
		Endpoints []clcatalog.Endpoint
		// PeakLoad is the number of endpoints that the present requests keep busy;
		// below 0 it is not known yet, and the present size is kept.
		PeakLoad float64
		// CurrentLoad is the same without the memory of an earlier peak.
		CurrentLoad float64
		// NeverRequested says that no request has been seen yet, so that endpoints which
		// boot are as good as those that run.
		NeverRequested bool
		// Evacuated are the data centres that are to get no requests.
		Evacuated map[string]bool
	}

	// Planner decides the orders for one service. The zero value is ready.
	Planner struct {
		// refused holds until when no spot endpoints are to be had, by data centre.
		refused map[string]time.Time
		// spots holds the spot endpoints last seen, by data centre, and
		// reclaimed when those of a data centre were last announced to leave.
		spots     map[string]int
		reclaimed time.Time
		// wanted is the most spot endpoints of a data centre that were wanted
		// since wantedAt.
		wanted   int
		wantedAt time.Time
		// ordered holds when more spot endpoints were last ordered, by data centre.
		ordered map[string]time.Time
		// demand is the number of endpoints at the usual price in force, which
		// falls only after it was too high for calmFor.
		demand    int
		highSince time.Time
		// placed is how many of these were last ordered, by data centre.
		placed map[string]int
		// baseline, most and grownAt follow the endpoints while the load is
		// not known: the size to keep, the most seen, and when that last grew.
		baseline float64
		most     int
		grownAt  time.Time
	}

	// place is one data centre of a situation.
	place struct {
		name         string
		price        float64
		demand, spot int
	}
)

const (
	// busyTarget is the part of the endpoints that should be busy. Requests
	// come in bunches, and a first event waits for the prompts before it.
	busyTarget = 0.5
	// busyDemandTarget is the same for endpoints at the usual price that stand
	// in for spot ones for a while.
	busyDemandTarget = 0.7
	// spotSurplus is how many spot endpoints there are beyond the need. With it
	// and busyTarget, one data centre of three alone can carry the load for the
	// seconds that it takes to boot others.
	spotSurplus = 1.5
	// spotSurplusUnknown is the same while the load is not known, and the need
	// is a guess that is rather too high.
	spotSurplusUnknown = 1.3
	// leastSpot is how many spot endpoints a data centre has at least; a burst
	// comes sooner than an order.
	leastSpot = 2
	// leastDemand is how many endpoints that cannot be reclaimed there are at least.
	leastDemand = 1
	// demandRoom is how many places of a data centre are kept from spot
	// endpoints, so that there is room for others before spot ones have left.
	demandRoom = 1
	// settleFor is longer than the time between the first reports of endpoints
	// that start together.
	settleFor = 1500 * time.Millisecond
	// calmFor is how long endpoints at the usual price stay after the spot
	// ones are enough again, which are cold at first.
	calmFor = 4 * time.Second
	// spotCalmFor is how long spot endpoints are more than wanted before some
	// are given back: they cost little, and cannot be had in a reclaim.
	spotCalmFor = 10 * time.Second
	// reclaimWave is how long after a reclaim the spot endpoints of one more
	// data centre are not counted on: reclaims come in waves, and a notice is
	// shorter than a boot.
	reclaimWave = 15 * time.Second
	// refusedFor is how long no spot endpoints are ordered where there were none.
	refusedFor = 3 * time.Second
	// bootSlack is how much longer than the stated boot time an endpoint may
	// take to register.
	bootSlack = 2 * time.Second
)

// RecordSpotRefusal records that there were no spot endpoints in a data centre.
func (p *Planner) RecordSpotRefusal(dataCentre string, now time.Time) {
	if p.refused == nil {
		p.refused = make(map[string]time.Time)
	}
	p.refused[dataCentre] = now.Add(refusedFor)
	delete(p.ordered, dataCentre)
}

// Plan returns the orders for the service. Spot endpoints are spread over the
// data centres, and what they lack of the need is ordered at the usual price,
// the cheapest data centre first, as soon as some are announced to leave.
func (p *Planner) Plan(s ServiceState, now time.Time) []ScalingTarget {
	places := placesOf(s)
	if len(places) == 0 {
		return nil
	}
	p.noteReclaims(places, now)
	load, current, surplus := s.PeakLoad, s.CurrentLoad, spotSurplus
	if load < 0 {
		if !p.settled(s.Endpoints, now) {
			return nil
		}
		load = p.baseline * busyTarget
		current, surplus = load, spotSurplusUnknown
	}
	need := max(1, int(math.Ceil(load/busyTarget)))
	perPlace := max(leastSpot, int(math.Ceil(float64(need)*surplus/float64(len(places)))))
	var orders []ScalingTarget
	keep := p.keepsSpots(perPlace, now)
	expected, largest := 0, 0
	spots := make([]int, len(places))
	for i, pl := range places {
		spots[i] = min(perPlace, max(1, s.Scaling.Max-demandRoom))
		if keep {
			spots[i] = max(spots[i], min(pl.spot, s.Scaling.Max))
		}
		if s.PeakLoad < 0 {
			// What is there may be what is left after a reclaim.
			spots[i] = max(spots[i], pl.spot)
		}
		target := spots[i]
		if pl.spot < spots[i] && now.Before(p.refused[pl.name]) {
			spots[i] = pl.spot // asking again would only be refused
		}
		if pl.spot < spots[i] && p.ordered[pl.name].IsZero() {
			if p.ordered == nil {
				p.ordered = make(map[string]time.Time)
			}
			p.ordered[pl.name] = now
		} else if pl.spot >= spots[i] {
			delete(p.ordered, pl.name)
		}
		n := p.expectedSpot(pl, target, s, now)
		expected += n
		largest = max(largest, n)
	}
	if now.Sub(p.reclaimed) < reclaimWave {
		expected -= largest
	}
	demand := p.settle(max(leastDemand, int(math.Ceil(current/busyDemandTarget))-expected), now)
	for i, n := range p.spread(places, spots, demand, s.Scaling) {
		orders = append(orders,
			ScalingTarget{Service: s.Service, DataCentre: places[i].name, Spot: true, Count: min(spots[i], s.Scaling.Max-n)},
			ScalingTarget{Service: s.Service, DataCentre: places[i].name, Count: n})
	}
	return orders
}

// keepsSpots reports whether spare spot endpoints stay: until fewer have been
// wanted for a while in which no reclaim was seen.
func (p *Planner) keepsSpots(perPlace int, now time.Time) bool {
	if perPlace >= p.wanted || now.Sub(p.reclaimed) < reclaimWave {
		p.wanted, p.wantedAt = max(perPlace, p.wanted), now
		return true
	}
	if now.Sub(p.wantedAt) < spotCalmFor {
		return true
	}
	p.wanted, p.wantedAt = perPlace, now
	return false
}

// noteReclaims looks for data centres that have lost all their spot endpoints
// at once, which no order of the planner's own does.
func (p *Planner) noteReclaims(places []place, now time.Time) {
	if p.spots == nil {
		p.spots = make(map[string]int)
	}
	for _, pl := range places {
		if pl.spot == 0 && p.spots[pl.name] > 0 {
			p.reclaimed = now
		}
		p.spots[pl.name] = pl.spot
	}
}

// settled follows the endpoints that are there while the load is not known, and
// reports whether all have probably registered: after a start of the whole
// system they do so one after the other, and orders that go by a part of them
// would take the others away. The baseline does not grow with spot endpoints
// that are there beyond the need.
func (p *Planner) settled(have []clcatalog.Endpoint, now time.Time) bool {
	spot := lo.CountBy(have, func(e clcatalog.Endpoint) bool { return e.Spot })
	p.baseline = max(p.baseline, float64(len(have)-spot), float64(spot)/spotSurplusUnknown)
	if len(have) > p.most || p.grownAt.IsZero() {
		p.most, p.grownAt = len(have), now
	}
	return p.most > 0 && now.Sub(p.grownAt) >= settleFor || p.ordering()
}

// ordering reports whether orders have been given.
func (p *Planner) ordering() bool { return p.placed != nil }

// expectedSpot returns the spot endpoints that a data centre has or gets soon.
func (p *Planner) expectedSpot(pl place, target int, s ServiceState, now time.Time) int {
	ordered := p.ordered[pl.name]
	due := now.Sub(ordered) <= s.Scaling.Boot+bootSlack
	if ordered.IsZero() || !due || now.Before(p.refused[pl.name]) || pl.demand > 0 && !s.NeverRequested {
		return pl.spot
	}
	return max(pl.spot, target)
}

// settle lets the number of endpoints at the usual price rise at once and fall late.
func (p *Planner) settle(demand int, now time.Time) int {
	switch {
	case demand >= p.demand:
		p.demand, p.highSince = demand, time.Time{}
	case p.highSince.IsZero():
		p.highSince = now
	case now.Sub(p.highSince) >= calmFor:
		p.demand, p.highSince = demand, time.Time{}
	}
	return p.demand
}

// spread divides endpoints at the usual price among the data centres, where
// spot ones leave room. Those that run or boot stay while they are wanted, as a
// new one has to boot. A data centre that would have fewer endpoints than it
// must gets more besides.
func (p *Planner) spread(places []place, spots []int, demand int, sc clcatalog.Scaling) []int {
	out := make([]int, len(places))
	for i, pl := range places {
		out[i] = max(0, min(demand, max(pl.demand, p.placed[pl.name]), sc.Max-pl.spot))
		demand -= out[i]
	}
	for free := true; demand > 0 && free; {
		free = false
		for i := range places {
			if demand > 0 && out[i] < sc.Max-places[i].spot {
				out[i]++
				demand--
				free = true
			}
		}
	}
	p.placed = make(map[string]int, len(places))
	for i, pl := range places {
		p.placed[pl.name] = out[i]
		out[i] = max(out[i], sc.Min-spots[i])
	}
	return out
}

// placesOf returns the data centres that may get requests, the cheapest first.
func placesOf(s ServiceState) []place {
	places := lo.MapToSlice(s.Scaling.Prices, func(name string, price float64) place { return place{name: name, price: price} })
	places = slices.DeleteFunc(places, func(p place) bool { return s.Evacuated[p.name] })
	slices.SortFunc(places, func(a, b place) int {
		return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.name, b.name))
	})
	for _, e := range s.Endpoints {
		for i := range places {
			if places[i].name != e.DataCentre || e.Leaving {
				continue
			}
			if e.Spot {
				places[i].spot++
			} else {
				places[i].demand++
			}
		}
	}
	return places
}
