// This file defines the sequential tests on counts of events.

package clrollout

import (
	"math"

	"github.com/samber/lo"
)

type (
	// cell counts requests and events of both versions on one route in the
	// same period.
	cell struct {
		oldN, oldEvents, newN, newEvents float64
	}

	// detector is the test for "the new version is worse".
	detector struct {
		// effects are odds ratios of an event on the new version to the old.
		effects []float64
		// fromStart holds, for each effect, the logarithm of the likelihood ratio
		// if the version was worse from the start; later holds that of the
		// weighted sum over later times of onset.
		fromStart, later []float64
		// onsetWeight is the weight of each time of onset; all sum to one.
		onsetWeight float64
		// minute and gained bound what one minute of unpaired counts adds.
		minute int64
		gained []float64
	}
)

// newDetector returns a detector that expects up to onsets calls of onset.
func newDetector(effects []float64, onsets int) *detector {
	d := &detector{effects: effects, fromStart: make([]float64, len(effects)), onsetWeight: 1 / float64(max(onsets, 1))}
	d.later = lo.RepeatBy(len(effects), func(int) float64 { return math.Inf(-1) })
	return d
}

// onset admits that the version became worse now. Calls beyond the expected
// number have no weight left.
func (d *detector) onset() {
	for i := range d.later {
		d.later[i] = logAdd(d.later[i], math.Log(d.onsetWeight))
	}
}

// add counts a cell whose two versions had the same conditions.
func (d *detector) add(c cell) {
	for i, theta := range d.effects {
		d.advance(i, c.logRatio(theta))
	}
}

// addUnpaired counts events of the new version alone, against a rate that the
// old version would not have exceeded. One minute adds at most unpairedGain,
// so that a short incident, which cannot be told from a fault without the old
// version's figures, does not condemn the version.
func (d *detector) addUnpaired(minute int64, n, events, rate float64) {
	if minute != d.minute || d.gained == nil {
		d.minute, d.gained = minute, make([]float64, len(d.effects))
	}
	rate = min(rate, maxRate)
	for i, theta := range d.effects {
		worse := raiseOdds(rate, theta)
		l := events*math.Log(worse/rate) + (n-events)*math.Log((1-worse)/(1-rate))
		l = min(l, unpairedGain-d.gained[i])
		d.gained[i] += max(l, 0)
		d.advance(i, l)
	}
}

// advance multiplies the ratios of effect i by exp(l).
func (d *detector) advance(i int, l float64) {
	d.fromStart[i] += l
	d.later[i] += l
}

// evidence returns the logarithm of the averaged likelihood ratio.
func (d *detector) evidence() float64 {
	sum := math.Inf(-1)
	for i := range d.effects {
		sum = logAdd(sum, logAdd(d.fromStart[i], d.later[i]))
	}
	return sum - math.Log(2*float64(len(d.effects)))
}

// logRatio returns the logarithm of the likelihood ratio of the odds ratio
// theta to equality, given the cell's totals. The exact normaliser is the mean
// of theta^X for a hypergeometric X; a binomial X has a larger mean (Hoeffding
// 1963), so that its use keeps the test's error rate.
func (c cell) logRatio(theta float64) float64 {
	n, events := c.oldN+c.newN, c.oldEvents+c.newEvents
	if c.oldN == 0 || c.newN == 0 || events == 0 {
		return 0
	}
	normaliser := min(events*math.Log1p(c.newN/n*(theta-1)), c.newN*math.Log1p(events/n*(theta-1)))
	return c.newEvents*math.Log(theta) - normaliser
}

// logNotWorse returns the logarithm of the likelihood ratio of "the new
// version has the old one's rate" to "its rate is higher by effect".
func (c cell) logNotWorse(effect float64) float64 {
	rate := min((c.oldEvents+0.5)/(c.oldN+1), maxRate-effect)
	worse := rate + effect
	return c.newEvents*math.Log(rate/worse) + (c.newN-c.newEvents)*math.Log((1-rate)/(1-worse))
}

// plus returns the sum of two cells.
func (c cell) plus(d cell) cell {
	return cell{c.oldN + d.oldN, c.oldEvents + d.oldEvents, c.newN + d.newN, c.newEvents + d.newEvents}
}

// raiseOdds multiplies the odds of a probability.
func raiseOdds(p, theta float64) float64 { return theta * p / (1 + (theta-1)*p) }

// logAdd returns log(exp(a) + exp(b)).
func logAdd(a, b float64) float64 {
	a, b = max(a, b), min(a, b)
	if math.IsInf(b, -1) {
		return a
	}
	return a + math.Log1p(math.Exp(b-a))
}
