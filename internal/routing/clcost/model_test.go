// This file tests the model of a route's requests.

package clcost

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

// Guards against large prompts that count as if each token cost the same, and against
// cached tokens that count as processed although others only attend to them.
func TestPromptSeconds(t *testing.T) {
	for _, tc := range []struct {
		request Request
		want    float64
	}{
		{Request{}, 0},
		{Request{PromptTokens: 2000, UncachedTokens: 2000}, 0.0289},
		{Request{PromptTokens: 12_000, UncachedTokens: 12_000}, 0.1833},
		{Request{PromptTokens: 54_600, UncachedTokens: 54_600}, 1.0259},
		{Request{PromptTokens: 54_600, UncachedTokens: 1000}, 0.0232},
	} {
		require.InDelta(t, tc.want, PromptSeconds(tc.request, 70_000), 1e-3)
	}
}

// Guards against hints that are believed although outputs show them to be wrong, against
// models that do not follow a change, and against priors that one request overturns.
func TestStreamFollowsOutputs(t *testing.T) {
	for _, factor := range []float64{0.25, 1, 4} {
		var m Model
		r := Request{OutputHint: 400}
		usual := 400 * tokenSeconds
		require.InDelta(t, usual, m.Stream(r, start).Median, 1e-9, "the prior")
		m.RecordStream(r, time.Duration(factor*usual*float64(time.Second)), start)
		require.InDelta(t, math.Pow(factor, 1.0/6), m.Stream(r, start).Median/usual, 1e-6, "one in six with the prior's five")

		rnd, now := rand.New(rand.NewPCG(1, 1)), start
		for range 300 {
			now = now.Add(200 * time.Millisecond)
			m.RecordStream(r, time.Duration(factor*usual*math.Exp(0.5*rnd.NormFloat64())*float64(time.Second)), now)
		}
		require.InEpsilon(t, factor, m.Stream(r, now).Median/usual, 0.15)
		require.InDelta(t, 0.5, m.Stream(r, now).Sigma, 0.15)
		require.InEpsilon(t, 1, m.Stream(r, now.Add(time.Hour)).Median/usual, 0.01, "old observations give way to the prior")
		require.InEpsilon(t, cappedFraction*1000*tokenSeconds, m.Stream(Request{MaxOutput: 1000}, now).Median, 1e-9, "requests without a hint are another matter")
	}
}

// Guards against hints that are far off at random and are believed as much as exact ones:
// outputs vary by a factor of 8, and hints by another one of 4.
func TestStreamWithUncertainHints(t *testing.T) {
	for _, tc := range []struct{ spread, most float64 }{{0, 0.1}, {0.5, 0.45}, {1.5, 0.75}} {
		var m Model
		rnd, now := rand.New(rand.NewPCG(1, 1)), start
		squares := 0.0
		for i := range 600 {
			tokens := 400 * math.Exp(0.7*rnd.NormFloat64())
			r := Request{OutputHint: int(4 * tokens * math.Exp(tc.spread*rnd.NormFloat64()))}
			if i >= 300 {
				off := math.Log(m.Stream(r, now).Median / (tokens * tokenSeconds))
				squares += off * off / 300
			}
			now = now.Add(200 * time.Millisecond)
			m.RecordStream(r, time.Duration(tokens*tokenSeconds*float64(time.Second)), now)
		}
		require.Less(t, math.Sqrt(squares), tc.most, "hints off by %v", tc.spread)
		require.InDelta(t, math.Sqrt(squares), m.Stream(Request{OutputHint: 1600}, now).Sigma, 0.15)
	}
}

// Guards against values that spoil a model for good, and against one that grows with the
// number of requests beyond 8 KB.
func TestWildObservations(t *testing.T) {
	var m Model
	for _, d := range []time.Duration{0, -time.Second, math.MaxInt64} {
		m.RecordStream(Request{OutputHint: 1}, d, start)
		m.RecordPrompt(Request{PromptTokens: 1, UncachedTokens: 1}, 1, d, start)
		m.RecordPrompt(Request{}, 1, d, start.Add(-time.Hour))
	}
	m.RecordStream(Request{}, time.Second, start)
	mean := m.Stream(Request{OutputHint: 400}, start).Mean()
	require.False(t, math.IsNaN(mean) || math.IsInf(mean, 0))
	require.Less(t, mean, 400*tokenSeconds*100)
	require.Less(t, unsafe.Sizeof(m), uintptr(8<<10))
}
