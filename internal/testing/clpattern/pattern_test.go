// This file judges the choice of endpoints by patterns of load.

package clpattern

import (
	"slices"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
)

const testSeeds = 3

func pattern(t *testing.T, name string) Pattern {
	t.Helper()
	p, ok := lo.Find(Patterns(), func(p Pattern) bool { return p.Name == name })
	require.True(t, ok, name)
	return p
}

// Guards against a choice that serves fewer on time than chance does, or that
// reads shared prompts as often.
func TestBetterThanChance(t *testing.T) {
	for _, p := range Patterns() {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			fleet, random := Mean(p, Fleet, testSeeds), Mean(p, Random, testSeeds)
			require.GreaterOrEqual(t, fleet.OnTime, random.OnTime)
			require.Less(t, fleet.SharedRead, 0.75*random.SharedRead)
		})
	}
}

// Guards against first tokens that come late, of which 95 in 100 are to be in
// time: with many gateways that all send to the endpoints which their old
// digests show as idle, with a hot prefix, and with large prompts among small.
func TestOnTime(t *testing.T) {
	for _, name := range []string{"steady", "many_gateways", "hot_prefix", "large_among_small"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o := Mean(pattern(t, name), Fleet, testSeeds)
			require.GreaterOrEqual(t, o.OnTime, 0.95)
			require.LessOrEqual(t, o.P95, target)
		})
	}
}

// Guards against an overload that goes on after its burst, and against large
// prompts that are never served.
func TestAfterABurst(t *testing.T) {
	o := Mean(pattern(t, "dawn_burst"), Fleet, testSeeds)
	require.GreaterOrEqual(t, o.LastOnTime, 0.95)
	require.Less(t, o.Late, 0.05, "what cannot be on time is refused at once")
	o = Mean(pattern(t, "large_among_small"), Fleet, testSeeds)
	require.GreaterOrEqual(t, o.LargeOnTime, 0.5*o.OnTime)
}

// Guards against what plain endpoints state of their pace and queue going unused, and
// against gateways that all send to the endpoint that was idle when it stated it.
func TestStatedLoadOfPlainEndpoints(t *testing.T) {
	for _, p := range HardPatterns() {
		if !p.Plain {
			continue
		}
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			unstated, stated := Mean(p, Fleet, testSeeds), Mean(p, Stated, testSeeds)
			require.GreaterOrEqual(t, stated.OnTime, unstated.OnTime)
			require.Less(t, stated.P95.Seconds(), 0.9*unstated.P95.Seconds())
		})
	}
}

// Guards against a choice by cost that is worse than the present one in any pattern, or
// no better where gateways have old information, uneven endpoints or a burst.
func TestCostAware(t *testing.T) {
	better := []string{"uneven_engines", "same_old_news", "burst_many", "uneven_plain", "uneven_plain_few", "busy_plain", "short_memory", "wrong_hints"}
	for _, p := range append(Patterns(), HardPatterns()...) {
		t.Run(p.Name, func(t *testing.T) {
			t.Parallel()
			present, byCost := Mean(p, Fleet, testSeeds), Mean(p, CostAware, testSeeds)
			require.GreaterOrEqual(t, byCost.OnTime, present.OnTime-0.005)
			require.LessOrEqual(t, byCost.SharedRead, 1.1*present.SharedRead)
			if slices.Contains(better, p.Name) {
				require.GreaterOrEqual(t, byCost.OnTime, present.OnTime)
				require.Less(t, byCost.P95.Seconds(), 0.92*present.P95.Seconds())
			}
		})
	}
}
