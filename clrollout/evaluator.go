// This file defines how evidence is compared route by route.

package clrollout

import (
	"math"
	"slices"
	"time"
)

type (
	// Metric names what the versions are compared on.
	Metric string

	// Finding is the strongest evidence that the new version is worse.
	Finding struct {
		Route  string
		Metric Metric
	}

	// evaluator compares two versions of a service.
	evaluator struct {
		service, from, to string
		falseBadRate      float64
		onsets            int
		routes            map[string]*route
		// order lists the routes as they appeared.
		order      []*route
		lastOnset  int64
		lastFold   time.Time
		foldPeriod time.Duration
		// full says that the old version has no traffic left to compare with.
		full bool
	}

	// route holds the evidence of one route.
	route struct {
		name string
		// pending holds evidence that has not been compared yet, per minute.
		pending map[int64]*pair
		// history sums the old version's latencies that have been compared.
		history []float64
		tests   [2]test
	}

	// test compares one metric.
	test struct {
		bad *detector
		// step sums the cells of the current step of the share.
		step cell
		// total sums the cells of all steps, and paired those of the steps in which the
		// old version had traffic.
		total, paired cell
		// reference is the last step's sum in which the old version had traffic.
		reference cell
	}

	// pair is the evidence of both versions in one minute.
	pair struct{ from, to Evidence }
)

// Metrics of the comparison.
const (
	// Failures is the share of requests that failed.
	Failures Metric = "failures"
	// Latency is the share of successes slower than the old version's 90th percentile.
	Latency Metric = "latency"
)

const (
	// OtherRoutes names the routes beyond the first 64.
	OtherRoutes = "*"
	// FailureEffect is the rise of the failure rate that makes a version bad.
	FailureEffect = 0.03
	// LatencyEffect is the rise of the share of answers slower than the old
	// version's 90th percentile that makes a version bad: from 10% to 25%.
	LatencyEffect = 0.15

	latencyQuantile = 0.9
	// minHistory successes of the old version place its 90th percentile well enough.
	minHistory = 50
	// maxRoutes bounds memory; further routes are evaluated as OtherRoutes.
	maxRoutes = 64
	// maxRate bounds rates, so that logarithms stay finite.
	maxRate = 0.98
	// Without old traffic the comparison is with the former step, and the load
	// may have changed since then: the odds of a failure may double and those
	// of a slow answer quadruple before the version is blamed.
	failureDrift = 2
	latencyDrift = 4
	// unpairedGain is a third of what is needed on the first route (log(4/0.005)
	// and the weight of two times three effects), so that a fault at the full
	// share is found in its fourth minute and one bad minute is forgiven.
	unpairedGain = 3
	// onsetPeriod is the spacing of the times of onset that are tested.
	onsetPeriod = 60
)

var (
	metrics = [2]Metric{Failures, Latency}
	effects = [2]float64{FailureEffect, LatencyEffect}
	drifts  = [2]float64{failureDrift, latencyDrift}
	// ratios are the odds ratios that are tested for, from the design effect at
	// a usual rate (0.5% of failures, 10% of exceedances) up to nearly every request.
	ratios = [2][]float64{{3, 8, 40}, {2, 4, 12}}
)

// add takes evidence of either version.
func (v *evaluator) add(e Evidence) {
	if e.Service != v.service || e.Version != v.from && e.Version != v.to {
		return
	}
	if v.routes[e.Route] == nil && len(v.order) >= maxRoutes {
		e.Route = OtherRoutes
	}
	r := v.routes[e.Route]
	if r == nil {
		r = &route{name: e.Route, pending: make(map[int64]*pair), history: make([]float64, len(LatencyBoundsMS)+1)}
		for i := range r.tests {
			r.tests[i].bad = newDetector(ratios[i], v.onsets)
		}
		if v.routes == nil {
			v.routes = make(map[string]*route)
		}
		v.routes[e.Route] = r
		v.order = append(v.order, r)
	}
	p := r.pending[e.Minute]
	if p == nil {
		p = &pair{}
		r.pending[e.Minute] = p
	}
	if e.Version == v.from {
		p.from.plus(e)
	} else {
		p.to.plus(e)
	}
}

// fold compares the pending evidence once per period, however often it is
// called, so that the outcome does not choose what is compared together.
func (v *evaluator) fold(now time.Time) {
	if now.Sub(v.lastFold) < v.foldPeriod {
		return
	}
	v.lastFold = now
	if onset := now.Unix() / onsetPeriod; onset != v.lastOnset {
		v.lastOnset = onset
		for _, r := range v.order {
			for _, t := range r.tests {
				t.bad.onset()
			}
		}
	}
	for _, r := range v.order {
		r.fold(v.full)
	}
}

// fold compares the pending evidence of a route.
func (r *route) fold(full bool) {
	minutes := make([]int64, 0, len(r.pending))
	for m := range r.pending {
		minutes = append(minutes, m)
	}
	slices.Sort(minutes)
	for _, m := range minutes {
		p := r.pending[m]
		r.tests[0].add(cell{
			float64(p.from.Succeeded) + float64(p.from.Failed), float64(p.from.Failed),
			float64(p.to.Succeeded) + float64(p.to.Failed), float64(p.to.Failed),
		}, m, drifts[0], full)
		// The bound comes from former periods only, because one chosen by the
		// period's own latencies would bias the comparison.
		if bound, ok := r.bound(); ok {
			var c cell
			c.oldN, c.oldEvents = above(p.from.LatencyCounts, bound)
			c.newN, c.newEvents = above(p.to.LatencyCounts, bound)
			r.tests[1].add(c, m, drifts[1], full)
		}
		for i, n := range p.from.LatencyCounts {
			r.history[i] += float64(n)
		}
	}
	clear(r.pending)
}

// add compares one cell.
func (t *test) add(c cell, minute int64, drift float64, full bool) {
	t.step = t.step.plus(c)
	t.total = t.total.plus(c)
	if !full {
		t.paired = t.paired.plus(c)
		t.bad.add(c)
		return
	}
	if t.reference.oldN < minHistory {
		return
	}
	t.bad.addUnpaired(minute, c.newN, c.newEvents, t.reference.drifted(drift))
}

// drifted returns the highest rate that the old version might have now, after
// the time of the cell.
func (c cell) drifted(drift float64) float64 {
	rate := (c.oldEvents + 0.5) / (c.oldN + 1)
	rate += 2 * math.Sqrt(rate*(1-rate)/(c.oldN+1))
	return raiseOdds(min(rate, maxRate), drift)
}

// setShare starts the count for another share.
func (v *evaluator) setShare(now time.Time, permille uint32) {
	v.lastFold = time.Time{}
	v.fold(now)
	v.full = permille == Steps[len(Steps)-1]
	for _, r := range v.order {
		for i := range r.tests {
			t := &r.tests[i]
			if t.step.oldN >= minHistory {
				t.reference = t.step
			}
			t.step = cell{}
		}
	}
}

// bound returns the index of the latency bound next to the old version's 90th
// percentile.
func (r *route) bound() (int, bool) {
	var total, below float64
	for _, n := range r.history {
		total += n
	}
	for i, n := range r.history[:len(LatencyBoundsMS)] {
		if below += n; below >= latencyQuantile*total {
			return i, total >= minHistory
		}
	}
	return 0, false
}

// bad returns the finding that crosses its threshold, if there is one. The
// error rate is divided among the routes in the order of their appearance, so
// that their number need not be known.
func (v *evaluator) bad() (Finding, bool) {
	for i, r := range v.order {
		rate := v.falseBadRate / float64(len(metrics)*(i+1)*(i+2))
		for j := range r.tests {
			if r.tests[j].bad.evidence() >= -math.Log(rate) {
				return Finding{r.name, metrics[j]}, true
			}
		}
	}
	return Finding{}, false
}

// plus adds counts.
func (e *Evidence) plus(f Evidence) {
	e.Succeeded += f.Succeeded
	e.Failed += f.Failed
	if len(f.LatencyCounts) > 0 && e.LatencyCounts == nil {
		e.LatencyCounts = make([]uint32, len(LatencyBoundsMS)+1)
	}
	for i, n := range f.LatencyCounts {
		if i < len(e.LatencyCounts) {
			e.LatencyCounts[i] += n
		}
	}
}

// above returns the number of latencies, and of those above the bound.
func above(counts []uint32, bound int) (n, events float64) {
	for i, c := range counts {
		n += float64(c)
		if i > bound {
			events += float64(c)
		}
	}
	return n, events
}
