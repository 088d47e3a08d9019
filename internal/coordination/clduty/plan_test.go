// This file tests the planning of scaling targets.

package clduty

import (
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/stretchr/testify/require"
)

// cloudModel simulates the endpoints of a service, a planner and a cloud that applies
// the planner's targets: endpoints take time to boot, and spot endpoints can be
// reclaimed.
type cloudModel struct {
	now       time.Time
	scaling   clcatalog.Scaling
	endpoints []modelEndpoint
	// spotUnavailableUntil is the time until which no spot endpoints are available
	// in any data centre.
	spotUnavailableUntil time.Time
	planner              Planner
	// load is both the peak and the current load of the service; if it is negative,
	// the load is not known.
	load float64
	// pace is how many times as long as usual work takes at the endpoints, which state
	// it; 0 if they don't.
	pace float64
	// targetChanges is the number of targets that differed from the number of
	// endpoints.
	targetChanges int
	// unusedTargets is initialized but never read.
	unusedTargets map[ScalingTarget]bool
	// cost is what all endpoints, leaving ones included, have cost since the last
	// reset: their prices per second times the simulated seconds.
	cost float64
}

// modelEndpoint is a simulated endpoint.
type modelEndpoint struct {
	dc   string
	spot bool
	// readyAt is when the endpoint has booted.
	readyAt time.Time
	// leavesAt is when the endpoint stops serving, or zero if it is not leaving.
	leavesAt time.Time
}

// modelStep is the simulated time between two plans.
const modelStep = 250 * time.Millisecond

// newCloudModel returns a model with three data centres of three on-demand endpoints
// each, which have booted.
func newCloudModel(load float64) *cloudModel {
	m := &cloudModel{now: time.Unix(1000, 0), load: load, unusedTargets: map[ScalingTarget]bool{}, scaling: clcatalog.Scaling{
		Min: 1, Max: 6, Boot: 4 * time.Second, SpotPrice: 0.18, Prices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1},
	}}
	for _, dc := range []string{"a", "b", "c"} {
		for range 3 {
			m.endpoints = append(m.endpoints, modelEndpoint{dc: dc})
		}
	}
	return m
}

// registered returns the endpoints that have booted and are not leaving.
func (m *cloudModel) registered() []clcatalog.Endpoint {
	var out []clcatalog.Endpoint
	for _, e := range m.endpoints {
		if !e.readyAt.After(m.now) && e.leavesAt.IsZero() {
			out = append(out, clcatalog.Endpoint{DataCentre: e.dc, Spot: e.spot})
		}
	}
	return out
}

// ready returns the number of endpoints that have booted, including leaving ones.
func (m *cloudModel) ready() int {
	n := 0
	for _, e := range m.endpoints {
		if !e.readyAt.After(m.now) {
			n++
		}
	}
	return n
}

// step advances the time, plans once and applies the targets.
func (m *cloudModel) step() {
	m.now = m.now.Add(modelStep)
	kept := m.endpoints[:0]
	for _, e := range m.endpoints {
		if e.leavesAt.IsZero() || m.now.Before(e.leavesAt) {
			kept = append(kept, e)
			price := m.scaling.Prices[e.dc]
			if e.spot {
				price *= m.scaling.SpotPrice
			}
			m.cost += price * modelStep.Seconds()
		}
	}
	m.endpoints = kept
	for _, target := range m.planner.Plan(ServiceState{Service: "s", Scaling: m.scaling, Endpoints: m.registered(), PeakLoad: m.load, CurrentLoad: m.load * max(1, m.pace), StatesPace: m.pace > 0}, m.now) {
		m.apply(target)
	}
}

// apply orders or releases endpoints until their number matches a target, or until
// no more spot endpoints are available.
func (m *cloudModel) apply(target ScalingTarget) {
	n := 0
	for _, e := range m.endpoints {
		if e.dc == target.DataCentre && e.spot == target.Spot && e.leavesAt.IsZero() {
			n++
		}
	}
	if n != target.Count {
		m.targetChanges++
	}
	for ; n < target.Count; n++ {
		if target.Spot && m.now.Before(m.spotUnavailableUntil) {
			m.planner.RecordSpotRefusal(target.DataCentre, m.now)
			return
		}
		m.endpoints = append(m.endpoints, modelEndpoint{dc: target.DataCentre, spot: target.Spot, readyAt: m.now.Add(m.scaling.Boot)})
	}
	for i := range m.endpoints {
		if e := &m.endpoints[i]; n > target.Count && e.dc == target.DataCentre && e.spot == target.Spot && e.leavesAt.IsZero() {
			e.leavesAt = m.now.Add(2 * time.Second)
			n--
		}
	}
}

// reclaim announces that all spot endpoints of a data centre will leave, and makes
// new spot endpoints unavailable in all data centres for spotUnavailableFor.
func (m *cloudModel) reclaim(dc string, spotUnavailableFor time.Duration) {
	for i := range m.endpoints {
		if e := &m.endpoints[i]; e.dc == dc && e.spot && e.leavesAt.IsZero() {
			e.leavesAt = m.now.Add(2500 * time.Millisecond)
		}
	}
	m.spotUnavailableUntil = m.now.Add(spotUnavailableFor)
}

// advance simulates steps for a time d and calls afterStep, unless it is nil, after
// each.
func (m *cloudModel) advance(d time.Duration, afterStep func()) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.step()
		if afterStep != nil {
			afterStep()
		}
	}
}

// Guards against an outage when all spot endpoints leave within seconds and no new
// ones are available for a while: on-demand endpoints must replace them and stay,
// instead of being released before they have booted.
func TestReclaimWave(t *testing.T) {
	m := newCloudModel(3)
	m.advance(20*time.Second, nil)
	require.GreaterOrEqual(t, m.ready(), 6)
	minReady := m.ready()
	trackMinReady := func() { minReady = min(minReady, m.ready()) }
	for _, dc := range []string{"c", "b", "a"} {
		m.reclaim(dc, 14*time.Second)
		m.advance(5*time.Second, trackMinReady)
	}
	require.GreaterOrEqual(t, minReady, 3, "the load keeps three busy; booting takes longer than the notice")
	m.advance(4*time.Second, nil)
	require.GreaterOrEqual(t, float64(m.ready()), m.load/onDemandTargetUtilization)
	m.advance(20*time.Second, trackMinReady)
	require.GreaterOrEqual(t, float64(m.ready()), m.load/targetUtilization)
	onDemandCount := 0
	for _, e := range m.endpoints {
		if !e.spot {
			onDemandCount++
		}
	}
	require.LessOrEqual(t, onDemandCount, 2, "on-demand endpoints, as the spot endpoints are back")
}

// Guards against an outage of a large system that loses its spot endpoints in one
// data centre after the other, faster than replacements boot: from the first notice
// on, the planner must not count the spot endpoints of the data centre that expects
// the most of them.
func TestReclaimsFasterThanBoot(t *testing.T) {
	m := newCloudModel(33)
	m.scaling.Max = 76
	m.advance(20*time.Second, nil)
	minReady := m.ready()
	trackMinReady := func() { minReady = min(minReady, m.ready()) }
	for _, reclaim := range []struct {
		dc         string
		beforeNext time.Duration
	}{{"c", time.Second}, {"b", 3 * time.Second}, {"a", 4 * time.Second}} {
		m.reclaim(reclaim.dc, 14*time.Second)
		m.advance(reclaim.beforeNext, trackMinReady)
	}
	require.GreaterOrEqual(t, minReady, 33, "as many as the load keeps busy")
	require.GreaterOrEqual(t, float64(m.ready()), m.load/onDemandTargetUtilization)
}

// Guards against on-demand endpoints that are ordered late in a wave of reclaims because
// the spot endpoints that are ordered in the second data centre, and refused, count as
// expected; and against other orders where endpoints state no pace.
func TestReclaimWaveAtUnevenPace(t *testing.T) {
	for _, tc := range []struct {
		name string
		pace float64
		// booted is the number of on-demand endpoints that have booted one boot time and
		// one plan after the second notice.
		booted int
	}{
		{"as long as usual on average", 1, 45},
		{"longer than usual on average", 1.225, 55},
		{"not stated", 0, 14},
	} {
		t.Run(tc.name, func(t *testing.T) {
			m := newCloudModel(31)
			m.scaling.Max, m.pace = 76, tc.pace
			m.advance(20*time.Second, nil)
			m.reclaim("c", 14*time.Second)
			m.advance(3*time.Second, nil)
			m.reclaim("b", 14*time.Second)
			m.advance(modelStep+m.scaling.Boot, nil)
			booted := 0
			for _, e := range m.endpoints {
				if !e.spot && !e.readyAt.After(m.now) {
					booted++
				}
			}
			require.Equal(t, tc.booted, booted)
		})
	}
}

// Guards against spare spot endpoints that are released just before or during a
// wave of reclaims, when no new spot endpoints are available.
func TestSpareSpotKeptDuringReclaimWave(t *testing.T) {
	m := newCloudModel(60)
	m.scaling.Max = 76
	m.advance(20*time.Second, nil)
	countSpot := func() int {
		n := 0
		for _, e := range m.registered() {
			if e.Spot {
				n++
			}
		}
		return n
	}
	spotBefore := countSpot()
	m.load = 15
	m.advance(5*time.Second, func() { require.Equal(t, spotBefore, countSpot(), "the load has only just fallen") })
	m.reclaim("c", 14*time.Second)
	m.advance(10*time.Second, func() { require.GreaterOrEqual(t, countSpot(), spotBefore*2/3-1) })
	m.advance(60*time.Second, nil)
	require.LessOrEqual(t, countSpot(), 48, "three times the load, rounded up in each data centre")
}

// Guards against targets that change under a steady load, and against costs close to
// those of on-demand endpoints alone.
func TestSteadyLoad(t *testing.T) {
	m := newCloudModel(2)
	m.advance(20*time.Second, nil)
	m.targetChanges, m.cost = 0, 0
	m.advance(60*time.Second, nil)
	require.Zero(t, m.targetChanges)
	require.Less(t, m.cost, 0.5*60*9, "nine on-demand endpoints cost about 9 a second")
}

// Guards against targets above a data centre's maximum or below its minimum, and
// against targets for an evacuated data centre.
func TestTargetsRespectLimits(t *testing.T) {
	for _, load := range []float64{0, 1, 4, 9, 100} {
		m := newCloudModel(load)
		m.advance(20*time.Second, func() {
			countByDC := map[string]int{}
			for _, target := range m.planner.Plan(ServiceState{Service: "s", Scaling: m.scaling, Endpoints: m.registered(), PeakLoad: m.load, CurrentLoad: m.load}, m.now) {
				require.GreaterOrEqual(t, target.Count, 0)
				countByDC[target.DataCentre] += target.Count
			}
			for dc, n := range countByDC {
				require.GreaterOrEqual(t, n, 1, "%s at load %v", dc, load)
				require.LessOrEqual(t, n, 6, "%s at load %v", dc, load)
			}
		})
	}
	var p Planner
	for _, o := range p.Plan(ServiceState{Scaling: newCloudModel(0).scaling, PeakLoad: 3, CurrentLoad: 3, Evacuated: map[string]bool{"b": true}}, time.Unix(1000, 0)) {
		require.NotEqual(t, "b", o.DataCentre)
	}
	require.Nil(t, p.Plan(ServiceState{}, time.Unix(1000, 0)))
}

// Guards against a planner that releases spot endpoints while the load is not known.
func TestUnknownLoadKeepsSize(t *testing.T) {
	m := newCloudModel(4)
	m.advance(20*time.Second, nil)
	readyBefore := m.ready()
	m.planner, m.load = Planner{}, -1
	m.reclaim("a", time.Minute)
	m.advance(4*time.Second, nil)
	spotCount := 0
	for _, e := range m.registered() {
		if e.Spot {
			spotCount++
		}
	}
	require.GreaterOrEqual(t, spotCount, readyBefore*2/3-1, "spot endpoints of the two other data centres")
}

// Guards against a planner that releases endpoints when a large system starts:
// they register one after the other, and the first targets must not be based on
// only some of them.
func TestLargeSystemStart(t *testing.T) {
	var p Planner
	scaling := clcatalog.Scaling{Min: 1, Max: 80, Boot: 4 * time.Second, SpotPrice: 0.18, Prices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1}}
	var endpoints []clcatalog.Endpoint
	now := time.Unix(1000, 0)
	for range 48 {
		now = now.Add(modelStep)
		for i := range 3 {
			if len(endpoints) < 112 {
				endpoints = append(endpoints, clcatalog.Endpoint{DataCentre: []string{"a", "b", "c"}[i]})
			}
		}
		onDemandSum, spotSum := 0, 0
		for _, target := range p.Plan(ServiceState{Scaling: scaling, Endpoints: endpoints, PeakLoad: -1}, now) {
			if target.Spot {
				spotSum += target.Count
			} else {
				onDemandSum += target.Count
			}
		}
		if onDemandSum+spotSum > 0 {
			require.GreaterOrEqual(t, onDemandSum, len(endpoints)/2, "on-demand endpoints stay while there are no spot endpoints")
		}
	}
	for _, dc := range []string{"a", "b", "c"} {
		for range 49 {
			endpoints = append(endpoints, clcatalog.Endpoint{DataCentre: dc, Spot: true})
		}
	}
	for range 80 {
		now = now.Add(modelStep)
		spotSum, onDemandSum := 0, 0
		for _, target := range p.Plan(ServiceState{Scaling: scaling, Endpoints: endpoints, PeakLoad: -1}, now) {
			if target.Spot {
				spotSum += target.Count
			} else {
				onDemandSum += target.Count
			}
		}
		require.InDelta(t, 147, spotSum, 3, "112 endpoints and 30% more, without further growth")
	}
}

// Guards against paying for both kinds of endpoints before the first request.
func TestStartWithoutRequests(t *testing.T) {
	m := newCloudModel(-1)
	onDemandTarget := func(neverRequested bool) int {
		p, now, n := Planner{}, time.Unix(1000, 0), 0
		for range 10 {
			now = now.Add(modelStep)
			n = 0
			for _, target := range p.Plan(ServiceState{Scaling: m.scaling, Endpoints: m.registered(), PeakLoad: -1, NeverRequested: neverRequested}, now) {
				if !target.Spot {
					n += target.Count
				}
			}
		}
		return n
	}
	require.LessOrEqual(t, onDemandTarget(true), 1)
	require.GreaterOrEqual(t, onDemandTarget(false), 6, "running endpoints serve requests until spot endpoints have booted")
}

// Guards against on-demand endpoints that are ordered and released in turn, before they
// have booted, while a data centre has lost its spot endpoints and new ones are refused:
// each attempt to get spot endpoints used to count as if they were there.
func TestTargetsStayWhileSpotIsRefused(t *testing.T) {
	m := newCloudModel(2)
	m.advance(30*time.Second, nil)
	m.reclaim("b", 40*time.Second)
	m.advance(3*time.Second, nil)
	released := 0
	m.advance(30*time.Second, func() {
		for _, e := range m.endpoints {
			if !e.spot && !e.leavesAt.IsZero() && e.leavesAt.Sub(m.now) > 1500*time.Millisecond {
				released++
			}
		}
	})
	require.Zero(t, released)
	require.NotZero(t, m.ready())
}

// Guards against spot endpoints that do not suffice once one data centre has lost its
// own, and against paying for more than that where the load is divided among many data
// centres.
func TestSpotEndpointsCoverTheLossOfADataCentre(t *testing.T) {
	for dcs := 2; dcs <= 8; dcs++ {
		const load = 20.0
		scaling := clcatalog.Scaling{Min: 1, Max: 100, Boot: 4 * time.Second, SpotPrice: 0.18, Prices: map[string]float64{}}
		for i := range dcs {
			scaling.Prices[string(rune('a'+i))] = 1
		}
		var p Planner
		spot := 0
		for _, target := range p.Plan(ServiceState{Scaling: scaling, PeakLoad: load, CurrentLoad: load}, time.Unix(1000, 0)) {
			if target.Spot {
				spot += target.Count
			}
		}
		need := load / targetUtilization
		require.LessOrEqual(t, spot, int(need*max(1.5, float64(dcs)/float64(dcs-1)))+dcs)
		if dcs > 2 {
			require.GreaterOrEqual(t, float64(spot)*float64(dcs-1)/float64(dcs), need, "%d data centres", dcs)
			require.LessOrEqual(t, float64(spot), need*float64(dcs)/float64(dcs-1)+float64(dcs), "%d data centres", dcs)
		}
	}
}

// Guards against orders that end the endpoints of a version on trial, and against
// endpoints on trial that are taken for capacity: with them or without, the others are
// ordered alike.
func TestTrialEndpointsAreKeptAndDoNotCount(t *testing.T) {
	scaling := clcatalog.Scaling{Min: 1, Max: 8, Boot: 4 * time.Second, SpotPrice: 0.2, Prices: map[string]float64{"a": 1, "b": 1}}
	var endpoints, trial []clcatalog.Endpoint
	for _, dc := range []string{"a", "b"} {
		for range 4 {
			endpoints = append(endpoints, clcatalog.Endpoint{DataCentre: dc, Version: "v1", Spot: true})
		}
	}
	for range 3 {
		trial = append(trial, clcatalog.Endpoint{DataCentre: "a", Version: "v2"})
	}
	trial = append(trial, clcatalog.Endpoint{DataCentre: "b", Version: "v2", Spot: true}, clcatalog.Endpoint{DataCentre: "b", Version: "v2", Leaving: true})
	var with, without Planner
	for _, load := range []float64{0.5, 4, 9, 1} {
		now := time.Unix(1000, 0)
		state := ServiceState{Service: "s", Scaling: scaling, Endpoints: endpoints, PeakLoad: load, CurrentLoad: load}
		plain := without.Plan(state, now)
		state.TrialEndpoints = trial
		targets := with.Plan(state, now)
		require.Len(t, targets, len(plain))
		for i, target := range targets {
			extra := 0
			switch {
			case target.DataCentre == "a" && !target.Spot:
				extra = 3
			case target.DataCentre == "b" && target.Spot:
				extra = 1
			}
			require.Equal(t, plain[i].Count+extra, target.Count, "%+v, load %v", target, load)
		}
	}
}
