// This file defines the schedule of arrivals.

package clload

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// Arrival is one scheduled request.
type Arrival struct {
	// At is counted from the start of the run.
	At time.Duration
	// Flow and Account index the scenario's lists.
	Flow    int
	Account int
	// Sequence numbers the flow's arrivals from 0.
	Sequence int
	// Random seeds what the request contains.
	Random uint64
}

// Schedule returns all arrivals in order. Each flow has its own random
// numbers, so that a change of one flow leaves the others' arrivals as they are.
func (s *Scenario) Schedule() ([]Arrival, error) {
	var all []Arrival
	for i := range s.Flows {
		r := rand.New(rand.NewPCG(s.Seed, uint64(i)))
		peak := s.Flows[i].peakRate()
		sequence := 0
		// Candidates come at the peak rate and are kept in proportion to the rate
		// at their time, which gives exact arrivals around bursts as well.
		for t := next(r, peak); t < time.Duration(s.Duration); t += next(r, peak) {
			keep, random, account := r.Float64(), r.Uint64(), s.pickAccount(r.Float64())
			if keep*peak >= s.Flows[i].rateAt(t) {
				continue
			}
			if len(all) == s.MaxRequests {
				return nil, errors.Errorf("the schedule exceeds %d requests; raise max_requests or lower rates or duration", s.MaxRequests)
			}
			all = append(all, Arrival{At: t, Flow: i, Account: account, Sequence: sequence, Random: random})
			sequence++
		}
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return all, nil
}

// next returns an exponential interval; at least a nanosecond, so that schedules end.
func next(r *rand.Rand, rate float64) time.Duration {
	return max(1, time.Duration(r.ExpFloat64()/rate*float64(time.Second)))
}

// rateAt returns the rate at time t; the strongest of overlapping bursts counts.
func (f *Flow) rateAt(t time.Duration) float64 {
	factor := 0.0
	for _, b := range f.Bursts {
		if t >= time.Duration(b.At) && t < time.Duration(b.At+b.Length) {
			factor = max(factor, b.Factor)
		}
	}
	if factor == 0 {
		factor = 1
	}
	return f.Rate * factor
}

func (f *Flow) peakRate() float64 {
	peak := 1.0
	for _, b := range f.Bursts {
		peak = max(peak, b.Factor)
	}
	return f.Rate * peak
}

// pickAccount maps a number from [0, 1) to an account by share.
func (s *Scenario) pickAccount(x float64) int {
	sum := 0.0
	for _, a := range s.Accounts {
		sum += a.Share
	}
	x *= sum
	for i, a := range s.Accounts {
		if x < a.Share {
			return i
		}
		x -= a.Share
	}
	return len(s.Accounts) - 1
}
