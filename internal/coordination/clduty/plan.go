// This file plans how many spot and on-demand endpoints each data centre has.
// Spot endpoints are cheaper, but the cloud may reclaim them at short notice.

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
	// ScalingTarget is the number of endpoints of one kind that a data centre
	// should have for a service.
	ScalingTarget struct {
		Service    string
		DataCentre string
		Spot       bool
		Count      int
	}

	// ServiceState holds what a service's scaling targets depend on.
	ServiceState struct {
		Service string
		Scaling clcatalog.Scaling
		// Endpoints are the endpoints that are not leaving.
		Endpoints []clcatalog.Endpoint
		// PeakLoad is the number of endpoints that requests keep busy, with
		// recent peaks held. Below 0 it is not known yet, and the number of
		// endpoints is kept.
		PeakLoad float64
		// CurrentLoad is the same without earlier peaks.
		CurrentLoad float64
		// NeverRequested reports that no request has been seen yet, so that booting
		// endpoints are as good as running ones.
		NeverRequested bool
		// Evacuated holds the data centres that must not get requests.
		Evacuated map[string]bool
	}

	// Planner plans the scaling targets of one service. The zero value is ready
	// for use.
	Planner struct {
		// spotRefusedUntil holds until when spot endpoints are taken as
		// unavailable, by data centre.
		spotRefusedUntil map[string]time.Time
		// lastSpot holds the number of spot endpoints last seen, by data centre,
		// and lastReclaim when those of a data centre were last announced to leave.
		lastSpot    map[string]int
		lastReclaim time.Time
		// peakSpotTarget is the highest recent target of spot endpoints per data
		// centre, and peakSpotTargetAt when it last applied.
		peakSpotTarget   int
		peakSpotTargetAt time.Time
		// spotOrderedAt holds since when more spot endpoints have been on order,
		// by data centre.
		spotOrderedAt map[string]time.Time
		// onDemand is the total target of on-demand endpoints, which falls only
		// after it was too high for onDemandReleaseDelay. onDemandExcessSince
		// is since when it has been too high.
		onDemand            int
		onDemandExcessSince time.Time
		// onDemandPlacement is how onDemand was last divided, by data centre.
		onDemandPlacement map[string]int
		// While the load is not known, baseline is the number of endpoints to
		// keep, maxSeen the most endpoints seen, and maxSeenAt when maxSeen
		// last grew.
		baseline  float64
		maxSeen   int
		maxSeenAt time.Time
	}

	// dcState is the price and the number of endpoints of a data centre.
	dcState struct {
		name           string
		price          float64
		onDemand, spot int
	}
)

const (
	// targetUtilization is the fraction of the endpoints that should be busy. It
	// leaves room because requests arrive in bursts, and the first event of an
	// answer waits for the prompts queued before it.
	targetUtilization = 0.5
	// onDemandTargetUtilization is the same for on-demand endpoints that replace
	// spot endpoints for a while.
	onDemandTargetUtilization = 0.7
	// spotOverprovision is the number of spot endpoints relative to the need. With
	// it and targetUtilization, one data centre of three can carry the load alone
	// for the seconds that it takes to boot other endpoints.
	spotOverprovision = 1.5
	// spotOverprovisionUnknownLoad is the same while the load is not known. It is
	// lower because the need is then probably overestimated.
	spotOverprovisionUnknownLoad = 1.3
	// minSpotPerDC is the least number of spot endpoints in a data centre, because
	// a burst arrives faster than new endpoints boot.
	minSpotPerDC = 2
	// minOnDemand is the least number of endpoints that cannot be reclaimed.
	minOnDemand = 1
	// reservedOnDemand is how much of a data centre's capacity spot endpoints may
	// not use, so that on-demand endpoints can boot before spot ones have left.
	reservedOnDemand = 1
	// registrationSettleTime is longer than the time between the registrations of
	// endpoints that start together.
	registrationSettleTime = 1500 * time.Millisecond
	// onDemandReleaseDelay is how long on-demand endpoints are kept once there are
	// enough spot endpoints again, because those are cold at first.
	onDemandReleaseDelay = 4 * time.Second
	// spotReleaseDelay is how long there must be more spot endpoints than needed
	// before some are released: they are cheap, and not available during reclaims.
	spotReleaseDelay = 10 * time.Second
	// reclaimWaveTime is how long after a reclaim the spot endpoints of one more
	// data centre are discounted: reclaims come in waves, and their notice is
	// shorter than the boot of a replacement.
	reclaimWaveTime = 15 * time.Second
	// spotRefusalBackoff is how long no further spot endpoints are requested in a
	// data centre that had none available.
	spotRefusalBackoff = 3 * time.Second
	// bootMargin is how much longer than the configured boot time an endpoint may
	// take to register.
	bootMargin = 2 * time.Second
)

// RecordSpotRefusal records that no spot endpoints were available in a data centre.
func (p *Planner) RecordSpotRefusal(dataCentre string, now time.Time) {
	if p.spotRefusedUntil == nil {
		p.spotRefusedUntil = make(map[string]time.Time)
	}
	p.spotRefusedUntil[dataCentre] = now.Add(spotRefusalBackoff)
	delete(p.spotOrderedAt, dataCentre)
}

// Plan returns the scaling targets of the service, or nil if there is nothing to
// base them on yet. Spot endpoints are spread over the data centres. On-demand
// endpoints make up for missing spot ones as soon as reclaims are announced, in
// the cheapest data centres first.
func (p *Planner) Plan(state ServiceState, now time.Time) []ScalingTarget {
	dcs := eligibleDCs(state)
	if len(dcs) == 0 {
		return nil
	}
	p.detectReclaims(dcs, now)
	peakLoad, currentLoad, overprovision := state.PeakLoad, state.CurrentLoad, spotOverprovision
	if peakLoad < 0 {
		if !p.registrationSettled(state.Endpoints, now) {
			return nil
		}
		peakLoad = p.baseline * targetUtilization
		currentLoad, overprovision = peakLoad, spotOverprovisionUnknownLoad
	}
	need := max(1, int(math.Ceil(peakLoad/targetUtilization)))
	spotPerDC := max(minSpotPerDC, int(math.Ceil(float64(need)*overprovision/float64(len(dcs)))))
	var targets []ScalingTarget
	keepSpare := p.keepsSpareSpot(spotPerDC, now)
	expectedSpot, largestDC := 0, 0
	spotTargets := make([]int, len(dcs))
	for i, dc := range dcs {
		spotTargets[i] = min(spotPerDC, max(1, state.Scaling.Max-reservedOnDemand))
		if keepSpare {
			spotTargets[i] = max(spotTargets[i], min(dc.spot, state.Scaling.Max))
		}
		if state.PeakLoad < 0 {
			// The existing endpoints may be those left after a reclaim.
			spotTargets[i] = max(spotTargets[i], dc.spot)
		}
		target := spotTargets[i]
		if dc.spot < spotTargets[i] && now.Before(p.spotRefusedUntil[dc.name]) {
			spotTargets[i] = dc.spot // another request would be refused as well
		}
		if dc.spot < spotTargets[i] && p.spotOrderedAt[dc.name].IsZero() {
			if p.spotOrderedAt == nil {
				p.spotOrderedAt = make(map[string]time.Time)
			}
			p.spotOrderedAt[dc.name] = now
		} else if dc.spot >= spotTargets[i] {
			delete(p.spotOrderedAt, dc.name)
		}
		expected := p.expectedSpot(dc, target, state, now)
		expectedSpot += expected
		largestDC = max(largestDC, expected)
	}
	if now.Sub(p.lastReclaim) < reclaimWaveTime {
		expectedSpot -= largestDC
	}
	onDemand := p.delayOnDemandRelease(max(minOnDemand, int(math.Ceil(currentLoad/onDemandTargetUtilization))-expectedSpot), now)
	for i, n := range p.allocateOnDemand(dcs, spotTargets, onDemand, state.Scaling) {
		targets = append(targets,
			ScalingTarget{Service: state.Service, DataCentre: dcs[i].name, Spot: true, Count: min(spotTargets[i], state.Scaling.Max-n)},
			ScalingTarget{Service: state.Service, DataCentre: dcs[i].name, Count: n})
	}
	return targets
}

// keepsSpareSpot reports whether spare spot endpoints are kept: until the target
// has been lower for spotReleaseDelay without a recent reclaim.
func (p *Planner) keepsSpareSpot(spotPerDC int, now time.Time) bool {
	if spotPerDC >= p.peakSpotTarget || now.Sub(p.lastReclaim) < reclaimWaveTime {
		p.peakSpotTarget, p.peakSpotTargetAt = max(spotPerDC, p.peakSpotTarget), now
		return true
	}
	if now.Sub(p.peakSpotTargetAt) < spotReleaseDelay {
		return true
	}
	p.peakSpotTarget, p.peakSpotTargetAt = spotPerDC, now
	return false
}

// detectReclaims looks for data centres that have lost all their spot endpoints at
// once. The planner's own targets never cause that.
func (p *Planner) detectReclaims(dcs []dcState, now time.Time) {
	if p.lastSpot == nil {
		p.lastSpot = make(map[string]int)
	}
	for _, dc := range dcs {
		if dc.spot == 0 && p.lastSpot[dc.name] > 0 {
			p.lastReclaim = now
		}
		p.lastSpot[dc.name] = dc.spot
	}
}

// registrationSettled updates the baseline while the load is not known, and
// reports whether all endpoints have probably registered. When the whole system
// starts they register one after the other, and targets based on some of them
// would release the rest. Overprovisioned spot endpoints do not raise the
// baseline.
func (p *Planner) registrationSettled(endpoints []clcatalog.Endpoint, now time.Time) bool {
	spot := lo.CountBy(endpoints, func(e clcatalog.Endpoint) bool { return e.Spot })
	p.baseline = max(p.baseline, float64(len(endpoints)-spot), float64(spot)/spotOverprovisionUnknownLoad)
	if len(endpoints) > p.maxSeen || p.maxSeenAt.IsZero() {
		p.maxSeen, p.maxSeenAt = len(endpoints), now
	}
	return p.maxSeen > 0 && now.Sub(p.maxSeenAt) >= registrationSettleTime || p.hasPlanned()
}

// hasPlanned reports whether Plan has returned targets before.
func (p *Planner) hasPlanned() bool { return p.onDemandPlacement != nil }

// expectedSpot returns the number of spot endpoints that a data centre has or will
// soon have. Those on order count only until they should have registered, and
// only if the data centre has no on-demand endpoints or the service is idle.
func (p *Planner) expectedSpot(dc dcState, target int, state ServiceState, now time.Time) int {
	orderedAt := p.spotOrderedAt[dc.name]
	bootPending := now.Sub(orderedAt) <= state.Scaling.Boot+bootMargin
	if orderedAt.IsZero() || !bootPending || now.Before(p.spotRefusedUntil[dc.name]) || dc.onDemand > 0 && !state.NeverRequested {
		return dc.spot
	}
	return max(dc.spot, target)
}

// delayOnDemandRelease returns the target of on-demand endpoints, which rises at
// once and falls after onDemandReleaseDelay.
func (p *Planner) delayOnDemandRelease(needed int, now time.Time) int {
	switch {
	case needed >= p.onDemand:
		p.onDemand, p.onDemandExcessSince = needed, time.Time{}
	case p.onDemandExcessSince.IsZero():
		p.onDemandExcessSince = now
	case now.Sub(p.onDemandExcessSince) >= onDemandReleaseDelay:
		p.onDemand, p.onDemandExcessSince = needed, time.Time{}
	}
	return p.onDemand
}

// allocateOnDemand divides on-demand endpoints among the data centres, within the
// capacity that spot endpoints leave. Running and booting endpoints stay where
// they are as far as needed, as a new one has to boot first. A data centre below
// its minimum gets additional ones.
func (p *Planner) allocateOnDemand(dcs []dcState, spotTargets []int, needed int, scaling clcatalog.Scaling) []int {
	counts := make([]int, len(dcs))
	for i, dc := range dcs {
		counts[i] = max(0, min(needed, max(dc.onDemand, p.onDemandPlacement[dc.name]), scaling.Max-dc.spot))
		needed -= counts[i]
	}
	for free := true; needed > 0 && free; {
		free = false
		for i := range dcs {
			if needed > 0 && counts[i] < scaling.Max-dcs[i].spot {
				counts[i]++
				needed--
				free = true
			}
		}
	}
	p.onDemandPlacement = make(map[string]int, len(dcs))
	for i, dc := range dcs {
		p.onDemandPlacement[dc.name] = counts[i]
		counts[i] = max(counts[i], scaling.Min-spotTargets[i])
	}
	return counts
}

// eligibleDCs returns the data centres that may get requests, cheapest first.
func eligibleDCs(state ServiceState) []dcState {
	dcs := lo.MapToSlice(state.Scaling.Prices, func(name string, price float64) dcState { return dcState{name: name, price: price} })
	dcs = slices.DeleteFunc(dcs, func(dc dcState) bool { return state.Evacuated[dc.name] })
	slices.SortFunc(dcs, func(a, b dcState) int {
		return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.name, b.name))
	})
	for _, e := range state.Endpoints {
		for i := range dcs {
			if dcs[i].name != e.DataCentre || e.Leaving {
				continue
			}
			if e.Spot {
				dcs[i].spot++
			} else {
				dcs[i].onDemand++
			}
		}
	}
	return dcs
}
