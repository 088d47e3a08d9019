// This file tests the orders for endpoints.

package clduty

import (
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/stretchr/testify/require"
)

// cloudModel carries orders out: endpoints boot, and spot ones may be reclaimed.
type cloudModel struct {
	now       time.Time
	scaling   clcatalog.Scaling
	endpoints []modelEndpoint
	// dryUntil is until when no spot endpoints are to be had anywhere.
	dryUntil time.Time
	planner  Planner
	load     float64
	orders   int
	last     map[ScalingTarget]bool
	cost     float64
}

type modelEndpoint struct {
	dc      string
	spot    bool
	readyAt time.Time
	leaves  time.Time
}

const modelStep = 250 * time.Millisecond

func newCloudModel(load float64) *cloudModel {
	m := &cloudModel{now: time.Unix(1000, 0), load: load, last: map[ScalingTarget]bool{}, scaling: clcatalog.Scaling{
		Min: 1, Max: 6, Boot: 4 * time.Second, SpotPrice: 0.18, Prices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1},
	}}
	for _, dc := range []string{"a", "b", "c"} {
		for range 3 {
			m.endpoints = append(m.endpoints, modelEndpoint{dc: dc})
		}
	}
	return m
}

func (m *cloudModel) have() []clcatalog.Endpoint {
	var out []clcatalog.Endpoint
	for _, e := range m.endpoints {
		if !e.readyAt.After(m.now) && e.leaves.IsZero() {
			out = append(out, clcatalog.Endpoint{DataCentre: e.dc, Spot: e.spot})
		}
	}
	return out
}

// ready returns the endpoints that serve, those that are about to leave included.
func (m *cloudModel) ready() int {
	n := 0
	for _, e := range m.endpoints {
		if !e.readyAt.After(m.now) {
			n++
		}
	}
	return n
}

// step plans once and carries the orders out.
func (m *cloudModel) step() {
	m.now = m.now.Add(modelStep)
	kept := m.endpoints[:0]
	for _, e := range m.endpoints {
		if e.leaves.IsZero() || m.now.Before(e.leaves) {
			kept = append(kept, e)
			price := m.scaling.Prices[e.dc]
			if e.spot {
				price *= m.scaling.SpotPrice
			}
			m.cost += price * modelStep.Seconds()
		}
	}
	m.endpoints = kept
	for _, o := range m.planner.Plan(ServiceState{Service: "s", Scaling: m.scaling, Endpoints: m.have(), PeakLoad: m.load, CurrentLoad: m.load}, m.now) {
		m.carryOut(o)
	}
}

func (m *cloudModel) carryOut(o ScalingTarget) {
	n := 0
	for _, e := range m.endpoints {
		if e.dc == o.DataCentre && e.spot == o.Spot && e.leaves.IsZero() {
			n++
		}
	}
	if n != o.Count {
		m.orders++
	}
	for ; n < o.Count; n++ {
		if o.Spot && m.now.Before(m.dryUntil) {
			m.planner.RecordSpotRefusal(o.DataCentre, m.now)
			return
		}
		m.endpoints = append(m.endpoints, modelEndpoint{dc: o.DataCentre, spot: o.Spot, readyAt: m.now.Add(m.scaling.Boot)})
	}
	for i := range m.endpoints {
		if e := &m.endpoints[i]; n > o.Count && e.dc == o.DataCentre && e.spot == o.Spot && e.leaves.IsZero() {
			e.leaves = m.now.Add(2 * time.Second)
			n--
		}
	}
}

// reclaim announces that all spot endpoints of a data centre leave.
func (m *cloudModel) reclaim(dc string, dryFor time.Duration) {
	for i := range m.endpoints {
		if e := &m.endpoints[i]; e.dc == dc && e.spot && e.leaves.IsZero() {
			e.leaves = m.now.Add(2500 * time.Millisecond)
		}
	}
	m.dryUntil = m.now.Add(dryFor)
}

func (m *cloudModel) run(d time.Duration, each func()) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.step()
		if each != nil {
			each()
		}
	}
}

// Guards against all spot endpoints leaving within seconds with none to be
// had for a while: endpoints at the usual price must take their place and
// stay, instead of being taken back before they have booted.
func TestWaveOfReclaims(t *testing.T) {
	m := newCloudModel(3)
	m.run(20*time.Second, nil)
	require.GreaterOrEqual(t, m.ready(), 6)
	least := m.ready()
	watch := func() { least = min(least, m.ready()) }
	for _, dc := range []string{"c", "b", "a"} {
		m.reclaim(dc, 14*time.Second)
		m.run(5*time.Second, watch)
	}
	require.GreaterOrEqual(t, least, 3, "the load keeps three busy; a boot takes longer than the notice")
	m.run(4*time.Second, nil)
	require.GreaterOrEqual(t, float64(m.ready()), m.load/busyDemandTarget)
	m.run(20*time.Second, watch)
	require.GreaterOrEqual(t, float64(m.ready()), m.load/busyTarget)
	demand := 0
	for _, e := range m.endpoints {
		if !e.spot {
			demand++
		}
	}
	require.LessOrEqual(t, demand, 2, "the spot endpoints are back")
}

// Guards against a large system that loses its spot endpoints in one data
// centre after the other, faster than others boot: at the first notice those
// of the next data centre must not be counted on.
func TestReclaimsFasterThanABoot(t *testing.T) {
	m := newCloudModel(33)
	m.scaling.Max = 76
	m.run(20*time.Second, nil)
	least := m.ready()
	watch := func() { least = min(least, m.ready()) }
	for _, wave := range []struct {
		dc   string
		next time.Duration
	}{{"c", time.Second}, {"b", 3 * time.Second}, {"a", 4 * time.Second}} {
		m.reclaim(wave.dc, 14*time.Second)
		m.run(wave.next, watch)
	}
	require.GreaterOrEqual(t, least, 33, "as many as the load keeps busy")
	require.GreaterOrEqual(t, float64(m.ready()), m.load/busyDemandTarget)
}

// Guards against spare spot endpoints that are given back just before or in a
// wave of reclaims, when no others are to be had.
func TestSpareSpotEndpointsStayInAWave(t *testing.T) {
	m := newCloudModel(60)
	m.scaling.Max = 76
	m.run(20*time.Second, nil)
	spots := func() int {
		n := 0
		for _, e := range m.have() {
			if e.Spot {
				n++
			}
		}
		return n
	}
	before := spots()
	m.load = 15
	m.run(5*time.Second, func() { require.Equal(t, before, spots(), "the load has only just fallen") })
	m.reclaim("c", 14*time.Second)
	m.run(10*time.Second, func() { require.GreaterOrEqual(t, spots(), before*2/3-1) })
	m.run(60*time.Second, nil)
	require.LessOrEqual(t, spots(), 48, "three times the load, and a rounding for each data centre")
}

// Guards against orders that flap while nothing changes, and against a bill
// near that of the usual price.
func TestSteadyLoad(t *testing.T) {
	m := newCloudModel(2)
	m.run(20*time.Second, nil)
	m.orders, m.cost = 0, 0
	m.run(60*time.Second, nil)
	require.Zero(t, m.orders)
	require.Less(t, m.cost, 0.5*60*9, "nine endpoints at the usual price cost about 9 a second")
}

// Guards against more endpoints than a data centre may have, fewer than it
// must have, and orders for one that is out.
func TestBounds(t *testing.T) {
	for _, load := range []float64{0, 1, 4, 9, 100} {
		m := newCloudModel(load)
		m.run(20*time.Second, func() {
			count := map[string]int{}
			for _, o := range m.planner.Plan(ServiceState{Service: "s", Scaling: m.scaling, Endpoints: m.have(), PeakLoad: m.load, CurrentLoad: m.load}, m.now) {
				require.GreaterOrEqual(t, o.Count, 0)
				count[o.DataCentre] += o.Count
			}
			for dc, n := range count {
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

// Guards against fewer endpoints while the load is not known.
func TestUnknownLoadKeepsWhatIsThere(t *testing.T) {
	m := newCloudModel(4)
	m.run(20*time.Second, nil)
	before := m.ready()
	m.planner, m.load = Planner{}, -1
	m.reclaim("a", time.Minute)
	m.run(4*time.Second, nil)
	spots := 0
	for _, e := range m.have() {
		if e.Spot {
			spots++
		}
	}
	require.GreaterOrEqual(t, spots, before*2/3-1, "those of the two other data centres")
}

// Guards against a start at which the endpoints register one after the other,
// and the first orders, which go by a part of them, take the others away.
func TestStartOfALargeSystem(t *testing.T) {
	var p Planner
	scaling := clcatalog.Scaling{Min: 1, Max: 80, Boot: 4 * time.Second, SpotPrice: 0.18, Prices: map[string]float64{"a": 0.85, "b": 1.2, "c": 1}}
	var have []clcatalog.Endpoint
	now := time.Unix(1000, 0)
	for range 48 {
		now = now.Add(modelStep)
		for i := range 3 {
			if len(have) < 112 {
				have = append(have, clcatalog.Endpoint{DataCentre: []string{"a", "b", "c"}[i]})
			}
		}
		demand, spot := 0, 0
		for _, o := range p.Plan(ServiceState{Scaling: scaling, Endpoints: have, PeakLoad: -1}, now) {
			if o.Spot {
				spot += o.Count
			} else {
				demand += o.Count
			}
		}
		if demand+spot > 0 {
			require.GreaterOrEqual(t, demand, len(have)/2, "as long as there are no spot endpoints")
		}
	}
	for _, dc := range []string{"a", "b", "c"} {
		for range 49 {
			have = append(have, clcatalog.Endpoint{DataCentre: dc, Spot: true})
		}
	}
	for range 80 {
		now = now.Add(modelStep)
		spot, demand := 0, 0
		for _, o := range p.Plan(ServiceState{Scaling: scaling, Endpoints: have, PeakLoad: -1}, now) {
			if o.Spot {
				spot += o.Count
			} else {
				demand += o.Count
			}
		}
		require.InDelta(t, 147, spot, 3, "112 endpoints and 30% more, and no growth from that")
	}
}

// Guards against a bill for both kinds of endpoints while nobody asks for anything.
func TestIdleStart(t *testing.T) {
	m := newCloudModel(-1)
	demandAfter := func(idle bool) int {
		p, now, n := Planner{}, time.Unix(1000, 0), 0
		for range 10 {
			now = now.Add(modelStep)
			n = 0
			for _, o := range p.Plan(ServiceState{Scaling: m.scaling, Endpoints: m.have(), PeakLoad: -1, NeverRequested: idle}, now) {
				if !o.Spot {
					n += o.Count
				}
			}
		}
		return n
	}
	require.LessOrEqual(t, demandAfter(true), 1)
	require.GreaterOrEqual(t, demandAfter(false), 6, "requests are served by what runs")
}
