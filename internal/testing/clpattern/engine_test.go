// This file tests the model of the engines.

package clpattern

import (
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/routing/clfleet"
	"github.com/stretchr/testify/require"
)

// Guards against a model in which a slow pace or the pairs of tokens of a large prompt
// cost no time, so that policies would be judged by an even load.
func TestCostOfWork(t *testing.T) {
	large := []clfleet.PromptPart{{ID: 1, Tokens: 40_000}}
	for _, tc := range []struct {
		name   string
		engine engine
		want   time.Duration
	}{
		{"as usual", engine{pace: 1}, 625 * time.Millisecond},
		{"slow", engine{pace: 2.5}, 1560 * time.Millisecond},
		{"pairs of tokens", engine{pace: 1, quadratic: true}, 755 * time.Millisecond},
		{"plain", engine{pace: 1, plain: true}, 60 * time.Millisecond},
		{"slow plain", engine{pace: 2.5, plain: true}, 150 * time.Millisecond},
	} {
		e := newEngine(tc.name, 1)
		e.pace, e.plain, e.quadratic = tc.engine.pace, tc.engine.plain, tc.engine.quadratic
		var startedAt time.Time
		j := &job{request: &request{parts: large, work: 60 * time.Millisecond}, tokens: 1}
		j.started, j.ended = func(now time.Time) { startedAt = now }, func(time.Time) {}
		e.admit(j)
		for now := time.Unix(0, 0).Add(tick); startedAt.IsZero(); now = now.Add(tick) {
			e.step(now, tick)
		}
		require.InDelta(t, tc.want, startedAt.Sub(time.Unix(0, 0)), float64(2*tick), tc.name)
	}
}

// Guards against a model in which requests beyond the memory run on, are lost, or begin
// twice.
func TestPreemption(t *testing.T) {
	e := newEngine("e", 4)
	e.memory = 2500
	begun, ended, preempted := 0, 0, 0
	for i := range 4 {
		j := &job{request: &request{parts: []clfleet.PromptPart{{ID: uint64(i), Tokens: 600}}}, tokens: 200}
		j.started, j.ended = func(time.Time) { begun++ }, func(time.Time) { ended++; preempted += j.preempted }
		e.admit(j)
	}
	for now := time.Unix(0, 0); now.Before(time.Unix(10, 0)); now = now.Add(tick) {
		e.step(now, tick)
	}
	require.Equal(t, []int{4, 4}, []int{begun, ended})
	require.Positive(t, preempted)
}
