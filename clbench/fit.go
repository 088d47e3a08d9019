// This file defines least-squares fits of a cost against a size.

package clbench

import "math"

// Kinds of fits.
const (
	fitLinear      = "linear"
	fitLogarithmic = "logarithmic"
)

// Fit is the line y = Intercept + Slope*x, or y = Intercept + Slope*ln(x).
type Fit struct {
	Kind      string    `json:"kind"`
	Intercept float64   `json:"intercept"`
	Slope     float64   `json:"slope"`
	Residuals []float64 `json:"residuals"`
}

// At returns the fit's value for a size.
func (f Fit) At(x float64) float64 {
	if f.Kind == fitLogarithmic {
		x = math.Log(x)
	}
	return f.Intercept + f.Slope*x
}

func (f Fit) squares() float64 {
	sum := 0.0
	for _, r := range f.Residuals {
		sum += r * r
	}
	return sum
}

// bestFit returns the linear or the logarithmic fit, whichever leaves the
// smaller squared residuals.
func bestFit(xs, ys []float64) Fit {
	linear, logarithmic := fit(fitLinear, xs, ys), fit(fitLogarithmic, xs, ys)
	if logarithmic.squares() < linear.squares() {
		return logarithmic
	}
	return linear
}

func fit(kind string, xs, ys []float64) Fit {
	f := Fit{Kind: kind, Residuals: make([]float64, len(xs))}
	var sx, sy, sxx, sxy float64
	for i, x := range xs {
		if kind == fitLogarithmic {
			x = math.Log(x)
		}
		sx, sy, sxx, sxy = sx+x, sy+ys[i], sxx+x*x, sxy+x*ys[i]
	}
	n := float64(len(xs))
	if d := n*sxx - sx*sx; d > 0 {
		f.Slope = (n*sxy - sx*sy) / d
	}
	f.Intercept = (sy - f.Slope*sx) / n
	for i, x := range xs {
		f.Residuals[i] = ys[i] - f.At(x)
	}
	return f
}
