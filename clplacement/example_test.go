// This file shows one round of planning.

package clplacement_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chestnutlead/chestnutlead/clplacement"
)

func Example() {
	var offers []clplacement.Offer
	for dc, price := range map[string]float64{"ahmedabad": 1, "surat": 1.1, "vadodara": 1.2} {
		for _, reclaimable := range []bool{true, false} {
			if !reclaimable {
				price *= 3
			}
			key := clplacement.OfferKey{DataCentre: dc, Class: "gpu", Reclaimable: reclaimable}
			offers = append(offers, clplacement.Offer{OfferKey: key, PricePerHour: price})
		}
	}
	p := clplacement.New(clplacement.Config{Rand: rand.New(rand.NewPCG(1, 1))})
	plan := p.Plan(time.Unix(0, 0), offers, nil, []clplacement.Target{{
		Service: "brew-llm", Version: "v1", Needed: 10, OnDemandShare: 0.2,
		Classes: []string{"gpu"}, DataCentres: []string{"ahmedabad", "surat", "vadodara"},
	}})
	count := map[clplacement.OfferKey]int{}
	for _, s := range plan.Starts {
		count[s.Offer]++
	}
	for _, o := range []string{"ahmedabad", "surat", "vadodara"} {
		for _, reclaimable := range []bool{true, false} {
			fmt.Println(o, reclaimable, count[clplacement.OfferKey{DataCentre: o, Class: "gpu", Reclaimable: reclaimable}])
		}
	}
	// Output:
	// ahmedabad true 3
	// ahmedabad false 2
	// surat true 5
	// surat false 0
	// vadodara true 5
	// vadodara false 0
}
