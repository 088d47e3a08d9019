// This file defines how many endpoints of which kind are ordered where.

package clduty

import (
	"math"
	"slices"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/samber/lo"
)

type (
	// Order is the number of endpoints of one kind that a data centre is to have.
	Order struct {
		Service    string
		DataCentre string
		Spot       bool
		Count      int
	}

	// Situation is what a service's orders depend on.
	Situation struct {
		Service string
		Scaling clcatalog.Scaling
		// Have are the endpoints that are not leaving.
		Have []clcatalog.Endpoint
		// Load is the number of endpoints that the present requests keep busy.
		Load float64
		// Refused holds until when no spot endpoints are to be had, by data centre.
		Refused map[string]time.Time
	}

	// place is one data centre of a situation.
	place struct {
		name         string
		price        float64
		demand, spot int
	}
)

const (
	// busyTarget is the part of the endpoints that should be busy: at half,
	// the loss of a data centre's spot endpoints leaves the rest below full.
	busyTarget = 0.5
	// spotReserve is how many spot endpoints a data centre has at least; they
	// cost a fifth of the others, and a bursts of requests comes sooner than
	// an order.
	spotReserve = 2
	// demandReserve is how many endpoints that cannot be reclaimed all data
	// centres have together at least.
	demandReserve = 3
)

// Plan returns the orders for a service.
func Plan(s Situation, now time.Time) []Order {
	places := placesOf(s)
	if len(places) == 0 {
		return nil
	}
	need := max(1, int(math.Ceil(s.Load/busyTarget)))
	perPlace := int(math.Ceil(float64(need) / float64(len(places))))
	var orders []Order
	for i, p := range places {
		demand := demandReserve / len(places)
		if i < demandReserve%len(places) {
			demand++
		}
		spot := max(spotReserve, perPlace)
		if now.Before(s.Refused[p.name]) {
			// What is not to be had is ordered at the usual price, as far as
			// the load needs it.
			demand = max(demand, perPlace-p.spot)
		}
		demand = min(demand, s.Scaling.Max)
		spot = min(spot, s.Scaling.Max-demand)
		if demand < p.demand && p.spot < spot {
			// The endpoints that are to replace others must have started.
			demand = max(demand, min(p.demand, s.Scaling.Max-spot))
		}
		if short := s.Scaling.Min - demand - spot; short > 0 {
			demand += short
		}
		orders = append(orders,
			Order{Service: s.Service, DataCentre: p.name, Spot: true, Count: spot},
			Order{Service: s.Service, DataCentre: p.name, Count: demand})
	}
	return orders
}

// placesOf returns the data centres, the cheapest first.
func placesOf(s Situation) []place {
	places := lo.MapToSlice(s.Scaling.Prices, func(name string, price float64) place { return place{name: name, price: price} })
	slices.SortFunc(places, func(a, b place) int {
		if a.price != b.price {
			return int(math.Copysign(1, a.price-b.price))
		}
		if a.name < b.name {
			return -1
		}
		return 1
	})
	for _, e := range s.Have {
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
