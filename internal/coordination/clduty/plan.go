// This file contains the planner, which decides how many spot and on-demand endpoints
// each data centre should have. Spot endpoints are cheaper, but the cloud may reclaim
// them at short notice.

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
		// Spot selects the kind: spot endpoints if it is set, otherwise on-demand
		// endpoints.
		Spot  bool
		Count int
	}

	// ServiceState holds what a service's scaling targets depend on.
	ServiceState struct {
		Service string
		Scaling clcatalog.Scaling
		// Endpoints are the endpoints that are not leaving, without TrialEndpoints.
		Endpoints []clcatalog.Endpoint
		// TrialEndpoints are the endpoints of a version that a rollout has not moved
		// the service to. They are started and stopped with the rollout, and do not
		// carry the load.
		TrialEndpoints []clcatalog.Endpoint
		// PeakLoad is the highest recent number of endpoints that requests kept
		// busy. If it is negative, the load is not known yet, and the targets
		// follow from the number of endpoints.
		PeakLoad float64
		// CurrentLoad is the number of endpoints that requests keep busy now. The
		// coordinator replaces a negative value by PeakLoad, and a planner ignores
		// it if PeakLoad is negative.
		CurrentLoad float64
		// StatesPace reports that the endpoints state how long work takes on their
		// machines, which they share.
		StatesPace bool
		// NeverRequested reports that this process has seen no request for the
		// service yet. On-demand endpoints then need not run until spot endpoints
		// have booted.
		NeverRequested bool
		// Evacuated holds the data centres that must not get requests.
		Evacuated map[string]bool
	}

	// Planner plans the scaling targets of one service. The zero value is ready
	// for use.
	Planner struct {
		// spotRefusedUntil holds, by data centre, the time until which spot
		// endpoints are taken as unavailable.
		spotRefusedUntil map[string]time.Time
		// lastSpotCounts holds the number of spot endpoints at the last call of
		// detectReclaims, by data centre, and lastReclaimAt the time at which it
		// last found a reclaim.
		lastSpotCounts map[string]int
		lastReclaimAt  time.Time
		// waveStartedAt is the time of the first reclaim of the latest wave.
		waveStartedAt time.Time
		// peakSpotPerDC is the highest recent number of spot endpoints wanted in
		// each data centre. peakSpotPerDCAt is the last time at which that many were
		// wanted, or at which a reclaim wave was in progress.
		peakSpotPerDC   int
		peakSpotPerDCAt time.Time
		// spotOrderedAt holds, by data centre, the time since which the target of
		// spot endpoints has exceeded their number.
		spotOrderedAt map[string]time.Time
		// onDemandTarget is the total target of on-demand endpoints, which falls only
		// after it was too high for onDemandReleaseDelay. onDemandExcessSince is
		// the time since which it has been too high, or zero if it is not.
		onDemandTarget      int
		onDemandExcessSince time.Time
		// onDemandPlacement holds how onDemandTarget was last divided among the
		// data centres. It is nil before the first targets.
		onDemandPlacement map[string]int
		// While the load is not known, estimatedNeed is the number of endpoints
		// that the service is taken to need, maxEndpoints the highest number of
		// endpoints so far, and maxEndpointsAt the time of its last increase or of
		// the first plan.
		estimatedNeed  float64
		maxEndpoints   int
		maxEndpointsAt time.Time
	}

	// dcState is the price and the number of endpoints of a data centre.
	dcState struct {
		name string
		// price is the price of an on-demand endpoint per second.
		price float64
		// onDemand and spot are the numbers of endpoints that are not leaving.
		onDemand, spot int
	}
)

const (
	// targetUtilization is the fraction of the endpoints that should be busy. It
	// leaves room because requests arrive in bursts, and the first event of an
	// answer waits for the prompts queued before it.
	targetUtilization = 0.5
	// onDemandTargetUtilization is the fraction of the endpoints that should be
	// busy while on-demand endpoints replace spot endpoints for a while.
	onDemandTargetUtilization = 0.7
	// maxSpotOverprovision limits the number of spot endpoints relative to the need
	// (see spotOverprovision). With it and targetUtilization, one data centre of three
	// can carry the load alone for the seconds that it takes to boot other endpoints.
	maxSpotOverprovision = 1.5
	// maxSpotOverprovisionUnknownLoad replaces maxSpotOverprovision while the load is
	// not known. It is lower because the need is then probably overestimated.
	maxSpotOverprovisionUnknownLoad = 1.3
	// minSpotPerDC is the least number of spot endpoints in a data centre, because
	// a burst arrives faster than new endpoints boot.
	minSpotPerDC = 2
	// minOnDemand is the least number of endpoints that cannot be reclaimed.
	minOnDemand = 1
	// reservedOnDemand is how far below Scaling.Max the spot target of a data centre
	// stays, so that there is room for on-demand endpoints to boot before spot
	// endpoints have left. The spot target may still be 1 if Scaling.Max is 1, and
	// existing spot endpoints that are kept may use the room.
	reservedOnDemand = 1
	// registrationSettleTime is how long the number of endpoints must not have grown
	// before it is taken as complete. It is longer than the time between the
	// registrations of endpoints that start together.
	registrationSettleTime = 1500 * time.Millisecond
	// onDemandReleaseDelay is how long on-demand endpoints are kept once there are
	// enough spot endpoints again. New spot endpoints are cold at first: they
	// tolerate only a limited request rate.
	onDemandReleaseDelay = 4 * time.Second
	// spotReleaseDelay is how long there must be more spot endpoints than needed
	// before some are released. Spot endpoints are cheap, and new ones are not
	// available during reclaims.
	spotReleaseDelay = 10 * time.Second
	// reclaimWaveDuration is how long after a reclaim another one is expected. During
	// that time the data centre with the highest number of expected spot endpoints
	// is assumed to lose them, and no spare spot endpoints are released. Reclaims come in
	// waves, and their notice is shorter than the boot of a replacement.
	reclaimWaveDuration = 15 * time.Second
	// spotRefusalBackoff is how long no further spot endpoints are requested in a
	// data centre that had none available.
	spotRefusalBackoff = 3 * time.Second
	// bootMargin is how much longer than the configured boot time an endpoint may
	// take to register.
	bootMargin = 2 * time.Second
)

// RecordSpotRefusal records that no spot endpoints were available in a data
// centre, so that no further ones are requested there for spotRefusalBackoff.
func (p *Planner) RecordSpotRefusal(dataCentre string, now time.Time) {
	if p.spotRefusedUntil == nil {
		p.spotRefusedUntil = make(map[string]time.Time)
	}
	p.spotRefusedUntil[dataCentre] = now.Add(spotRefusalBackoff)
	delete(p.spotOrderedAt, dataCentre)
}

// Plan returns the scaling targets of the service. It returns nil if there is no
// data centre to use, or if the load is not known and endpoints may still be
// registering. Spot endpoints are spread over the data centres. On-demand endpoints
// make up for missing spot endpoints as soon as reclaims are announced, in the
// cheapest data centres first.
func (p *Planner) Plan(state ServiceState, now time.Time) []ScalingTarget {
	dcs := eligibleDCs(state)
	if len(dcs) == 0 {
		return nil
	}
	p.detectReclaims(dcs, now)
	peakLoad, currentLoad, overprovision := state.PeakLoad, state.CurrentLoad, spotOverprovision(len(dcs), maxSpotOverprovision)
	if peakLoad < 0 {
		overprovision = spotOverprovision(len(dcs), maxSpotOverprovisionUnknownLoad)
		if !p.registrationSettled(state.Endpoints, overprovision, now) {
			return nil
		}
		peakLoad = p.estimatedNeed * targetUtilization
		currentLoad = peakLoad
	}
	need := max(1, int(math.Ceil(peakLoad/targetUtilization)))
	spotPerDC := max(minSpotPerDC, int(math.Ceil(float64(need)*overprovision/float64(len(dcs)))))
	var targets []ScalingTarget
	keepSpareSpot := p.updateSpotPeak(spotPerDC, now)
	expectedSpot, maxExpectedSpot := 0, 0
	spotTargets, expectedTargets := make([]int, len(dcs)), make([]int, len(dcs))
	for i, dc := range dcs {
		spotTargets[i] = min(spotPerDC, max(1, state.Scaling.Max-reservedOnDemand))
		if keepSpareSpot {
			spotTargets[i] = max(spotTargets[i], min(dc.spot, state.Scaling.Max))
		}
		if state.PeakLoad < 0 {
			// Release no spot endpoints: the existing ones may be all that a
			// reclaim has left, and the need is then higher than their number.
			spotTargets[i] = max(spotTargets[i], dc.spot)
		}
		targetBeforeRefusals := spotTargets[i]
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
		expected := p.expectedSpot(dc, targetBeforeRefusals, state, now)
		if state.StatesPace && p.isDryWave(now) {
			expected = dc.spot
		}
		expectedSpot += expected
		maxExpectedSpot = max(maxExpectedSpot, expected)
		expectedTargets[i] = min(spotTargets[i], expected)
		if p.onDemandPlacement[dc.name] > 0 && !state.NeverRequested {
			// The on-demand endpoint that makes up the minimum may still be booting. It
			// stays until spot endpoints have registered, which may be refused.
			expectedTargets[i] = dc.spot
		}
	}
	if now.Sub(p.lastReclaimAt) < reclaimWaveDuration {
		expectedSpot -= maxExpectedSpot
	}
	onDemand := p.delayOnDemandRelease(max(minOnDemand, int(math.Ceil(currentLoad/onDemandTargetUtilization))-expectedSpot), now)
	for i, n := range p.allocateOnDemand(dcs, expectedTargets, onDemand, state.Scaling) {
		trialSpot, trialOnDemand := countKinds(state.TrialEndpoints, dcs[i].name)
		targets = append(targets,
			ScalingTarget{Service: state.Service, DataCentre: dcs[i].name, Spot: true, Count: min(spotTargets[i], state.Scaling.Max-n) + trialSpot},
			ScalingTarget{Service: state.Service, DataCentre: dcs[i].name, Count: n + trialOnDemand})
	}
	return targets
}

// isDryWave reports whether spot endpoints have been reclaimed recently and some have
// been refused since the wave began. Spot endpoints that are ordered during such a wave
// are mostly refused as well, and waiting for the refusal delays the on-demand endpoints
// that replace them.
func (p *Planner) isDryWave(now time.Time) bool {
	if now.Sub(p.lastReclaimAt) >= reclaimWaveDuration {
		return false
	}
	for _, refusedUntil := range p.spotRefusedUntil {
		if !refusedUntil.Add(-spotRefusalBackoff).Before(p.waveStartedAt) {
			return true
		}
	}
	return false
}

// countKinds returns the numbers of spot and of on-demand endpoints in a data centre.
func countKinds(endpoints []clcatalog.Endpoint, dataCentre string) (spot, onDemand int) {
	for _, e := range endpoints {
		switch {
		case e.DataCentre != dataCentre || e.Leaving:
		case e.Spot:
			spot++
		default:
			onDemand++
		}
	}
	return spot, onDemand
}

// spotOverprovision returns the number of spot endpoints relative to the need, at most
// limit. One of the data centres may lose all of its spot endpoints, and the others then
// have to carry the load; with a single data centre there is nothing to prepare for.
func spotOverprovision(dataCentres int, limit float64) float64 {
	if dataCentres <= 1 {
		return 1
	}
	return min(limit, float64(dataCentres)/float64(dataCentres-1))
}

// updateSpotPeak updates peakSpotPerDC and peakSpotPerDCAt, and reports whether data
// centres keep the spot endpoints that they have beyond spotPerDC. These are released
// once spotPerDC has stayed below its recent peak for spotReleaseDelay, counted from
// the end of the last reclaim wave if that is later; the peak then starts again at
// spotPerDC.
func (p *Planner) updateSpotPeak(spotPerDC int, now time.Time) bool {
	if spotPerDC >= p.peakSpotPerDC || now.Sub(p.lastReclaimAt) < reclaimWaveDuration {
		p.peakSpotPerDC, p.peakSpotPerDCAt = max(spotPerDC, p.peakSpotPerDC), now
		return true
	}
	if now.Sub(p.peakSpotPerDCAt) < spotReleaseDelay {
		return true
	}
	p.peakSpotPerDC, p.peakSpotPerDCAt = spotPerDC, now
	return false
}

// detectReclaims looks for data centres that have lost all their spot endpoints
// since its last call. The planner's own targets never cause that.
func (p *Planner) detectReclaims(dcs []dcState, now time.Time) {
	if p.lastSpotCounts == nil {
		p.lastSpotCounts = make(map[string]int)
	}
	for _, dc := range dcs {
		if dc.spot == 0 && p.lastSpotCounts[dc.name] > 0 {
			if now.Sub(p.lastReclaimAt) >= reclaimWaveDuration {
				p.waveStartedAt = now
			}
			p.lastReclaimAt = now
		}
		p.lastSpotCounts[dc.name] = dc.spot
	}
}

// registrationSettled updates the estimated need while the load is not known, and
// reports whether all endpoints have probably registered, which it assumes once
// targets have been planned. When the whole system starts, endpoints register one
// after the other, and targets based on some of them would release the rest. The
// estimate leaves out the overprovision of spot endpoints.
func (p *Planner) registrationSettled(endpoints []clcatalog.Endpoint, overprovision float64, now time.Time) bool {
	spot := lo.CountBy(endpoints, func(e clcatalog.Endpoint) bool { return e.Spot })
	p.estimatedNeed = max(p.estimatedNeed, float64(len(endpoints)-spot), float64(spot)/overprovision)
	if len(endpoints) > p.maxEndpoints || p.maxEndpointsAt.IsZero() {
		p.maxEndpoints, p.maxEndpointsAt = len(endpoints), now
	}
	return p.maxEndpoints > 0 && now.Sub(p.maxEndpointsAt) >= registrationSettleTime || p.hasPlanned()
}

// hasPlanned reports whether Plan has returned targets before.
func (p *Planner) hasPlanned() bool { return p.onDemandPlacement != nil }

// expectedSpot returns the number of spot endpoints that a data centre has or will
// soon have. targetBeforeRefusals is the data centre's spot target before it is
// lowered because spot endpoints were refused. Ordered spot endpoints count until
// they should have registered, with two exceptions: if the data centre recently had
// no spot endpoints available, and if it has on-demand endpoints and the service has
// had requests, as the on-demand endpoints must then serve requests until the
// ordered ones have registered.
func (p *Planner) expectedSpot(dc dcState, targetBeforeRefusals int, state ServiceState, now time.Time) int {
	orderedAt := p.spotOrderedAt[dc.name]
	bootPending := now.Sub(orderedAt) <= state.Scaling.Boot+bootMargin
	if orderedAt.IsZero() || !bootPending || now.Before(p.spotRefusedUntil[dc.name]) || dc.onDemand > 0 && !state.NeverRequested {
		return dc.spot
	}
	return max(dc.spot, targetBeforeRefusals)
}

// delayOnDemandRelease returns the total target of on-demand endpoints, given the
// number needed now. The target rises to a higher need immediately, and falls to a
// lower need once the target has been too high for onDemandReleaseDelay.
func (p *Planner) delayOnDemandRelease(needed int, now time.Time) int {
	switch {
	case needed >= p.onDemandTarget:
		p.onDemandTarget, p.onDemandExcessSince = needed, time.Time{}
	case p.onDemandExcessSince.IsZero():
		p.onDemandExcessSince = now
	case now.Sub(p.onDemandExcessSince) >= onDemandReleaseDelay:
		p.onDemandTarget, p.onDemandExcessSince = needed, time.Time{}
	}
	return p.onDemandTarget
}

// allocateOnDemand divides on-demand endpoints among the data centres, within the
// capacity that spot endpoints leave, and returns the number for each of dcs.
// Running and booting on-demand endpoints stay where they are as far as needed, as
// a new one has to boot first. Further ones go to the data centres in turn, cheapest
// first, while there is capacity. A data centre whose minimum would not be reached
// with expectedSpot, the spot endpoints that each data centre has or will soon have,
// gets additional ones.
func (p *Planner) allocateOnDemand(dcs []dcState, expectedSpot []int, needed int, scaling clcatalog.Scaling) []int {
	counts := make([]int, len(dcs))
	for i, dc := range dcs {
		counts[i] = max(0, min(needed, max(dc.onDemand, p.onDemandPlacement[dc.name]), scaling.Max-dc.spot))
		needed -= counts[i]
	}
	for hasRoom := true; needed > 0 && hasRoom; {
		hasRoom = false
		for i := range dcs {
			if needed > 0 && counts[i] < scaling.Max-dcs[i].spot {
				counts[i]++
				needed--
				hasRoom = true
			}
		}
	}
	p.onDemandPlacement = make(map[string]int, len(dcs))
	for i, dc := range dcs {
		counts[i] = max(counts[i], scaling.Min-expectedSpot[i])
		p.onDemandPlacement[dc.name] = counts[i]
	}
	return counts
}

// eligibleDCs returns the data centres that have a price and are not evacuated,
// cheapest first.
func eligibleDCs(state ServiceState) []dcState {
	dcs := lo.MapToSlice(state.Scaling.Prices, func(name string, price float64) dcState { return dcState{name: name, price: price} })
	dcs = slices.DeleteFunc(dcs, func(dc dcState) bool { return state.Evacuated[dc.name] })
	slices.SortFunc(dcs, func(a, b dcState) int {
		return cmp.Or(cmp.Compare(a.price, b.price), cmp.Compare(a.name, b.name))
	})
	for i := range dcs {
		dcs[i].spot, dcs[i].onDemand = countKinds(state.Endpoints, dcs[i].name)
	}
	return dcs
}
