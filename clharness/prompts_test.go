// This file tests that endpoints stay warm under prompts of very different lengths.

package clharness_test

import (
	"bufio"
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/chestnutlead/chestnutlead/clharness"
	"github.com/stretchr/testify/require"
)

const (
	limitMetric = "chestnutlead_entry_endpoint_limit_count{"
	// longPromptTokens take 2 s of prefill at the test's 2,000 tokens a second,
	// many times the first-token time of the other prompts.
	longPromptTokens = 4000
	longPrompts      = 6
)

// lowestLimit returns the lowest limit that a grantor has for an endpoint.
func lowestLimit(t *testing.T, f *clharness.Fleet) int {
	lowest := 0
	for _, p := range f.Pairs {
		a, err := http.Get(p.MetricsURL() + "/metrics")
		require.NoError(t, err)
		for sc := bufio.NewScanner(a.Body); sc.Scan(); {
			if name, value, ok := strings.Cut(sc.Text(), "} "); ok && strings.HasPrefix(name, limitMetric) {
				n, err := strconv.Atoi(value)
				require.NoError(t, err)
				if lowest == 0 || n < lowest {
					lowest = n
				}
			}
		}
		require.NoError(t, a.Body.Close())
	}
	return lowest
}

// TestLongPromptsKeepEndpointsWarm guards against a long prompt that is taken
// for a cold endpoint, because its first token takes many times the usual time.
func TestLongPromptsKeepEndpointsWarm(t *testing.T) {
	t.Parallel()
	p := smallProfile(2, 0)
	p.ColdSlots = 2
	p.EngineArgs = []string{"--prefill-per-second", "2000"}
	f := start(t, p)
	l := startLoad(f, 24, 8)
	eventually(t, healWithin, "warm endpoints", func() bool { return lowestLimit(t, f) >= 8*int(p.ColdSlots) })
	eventually(t, healWithin, "a usual first-token time", func() bool { return l.done() > 1000 })
	before := lowestLimit(t, f)
	require.GreaterOrEqual(t, before, 8*int(p.ColdSlots), "an endpoint under ordinary load counted as cold")
	lowest := before
	c := &clharness.Caller{URL: f.Pairs[0].URL(), Account: p.Accounts[0], Timeout: bookingTimeout}
	for i := range longPrompts {
		prompt := strconv.Itoa(i) + strings.Repeat(" cover", longPromptTokens*4/len(" cover"))
		require.NoError(t, c.Stream(context.Background(), p.EngineService, prompt, 8))
		// The grantor hears of the first token with the entry's next demand.
		done := l.done()
		eventually(t, healWithin, "streams after the long prompt", func() bool {
			lowest = min(lowest, lowestLimit(t, f))
			return l.done() > done+100
		})
	}
	t.Logf("limit %d before %d long prompts, at least %d during them", before, longPrompts, lowest)
	l.requireWhole(t)
	require.Equal(t, before, lowest, "a long prompt counted as a cold endpoint")
}
