// This file fits a line to logarithms.

package clcost

import (
	"math"
	"time"
)

// logLine predicts a logarithm y by another one x, of which older pairs count less: a hint
// that is far off at random says less of an output than the mean does. The prior, y = x,
// counts as priorWeight pairs whose x spread by priorSpread about the mean.
type logLine struct {
	weight, x, y, xx, xy, yy float64
	updatedAt                time.Time
}

// priorSpread is the standard deviation of the logarithms of hints in the prior.
const priorSpread = 0.5

// at returns the mean and the standard deviation of y for x at a time.
func (l *logLine) at(x float64, now time.Time) (mean, sigma float64) {
	decay := 1.0
	if age := now.Sub(l.updatedAt); age > 0 {
		decay = decayed(age)
	}
	n := decay * l.weight
	if n <= 0 {
		return x, priorSigma
	}
	meanX, meanY := l.x/l.weight, l.y/l.weight
	// The sums of squares about the means, with those of the prior.
	const priorX = priorWeight * priorSpread * priorSpread
	xx := max(0, decay*l.xx-n*meanX*meanX) + priorX
	xy := decay*l.xy - n*meanX*meanY + priorX
	yy := max(0, decay*l.yy-n*meanY*meanY) + priorX + priorWeight*priorSigma*priorSigma
	slope := xy / xx
	center := (n*meanY + priorWeight*meanX) / (n + priorWeight)
	return center + slope*(x-meanX), math.Sqrt(max(0, yy-slope*xy) / (n + priorWeight))
}

// add decays the sums to now and adds a pair.
func (l *logLine) add(x, y float64, now time.Time) {
	if math.IsNaN(x) || math.IsNaN(y) {
		return
	}
	y = min(x+maxLogRatio, max(x-maxLogRatio, y))
	if age := now.Sub(l.updatedAt); age > 0 {
		d := decayed(age)
		l.weight, l.x, l.y, l.xx, l.xy, l.yy = d*l.weight, d*l.x, d*l.y, d*l.xx, d*l.xy, d*l.yy
		l.updatedAt = now
	}
	l.weight, l.x, l.y, l.xx, l.xy, l.yy = l.weight+1, l.x+x, l.y+y, l.xx+x*x, l.xy+x*y, l.yy+y*y
}

// decayed returns the weight of an observation of an age.
func decayed(age time.Duration) float64 { return math.Exp2(-age.Seconds() / halfLife.Seconds()) }
