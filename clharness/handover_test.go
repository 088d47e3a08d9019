// This file tests the handover of a stream with its cache.

package clharness_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clharness"
	"github.com/stretchr/testify/require"
)

const (
	longPromptWords = 2000
	longAnswer      = 800
)

// TestHandoverMovesCache guards against a stream on a leaving endpoint whose
// whole prompt is computed again elsewhere, although there was time to move its cache.
func TestHandoverMovesCache(t *testing.T) {
	t.Parallel()
	f := start(t, smallProfile(2, 0))
	begun := make(chan struct{})
	caller := &clharness.Caller{
		URL: f.Pairs[0].URL(), Account: f.Profile.Accounts[0], Timeout: healWithin, OnBegin: func() { close(begun) },
	}
	prompt := strings.Repeat("roster ", longPromptWords)
	ended := make(chan error, 1)
	go func() { ended <- caller.Stream(context.Background(), f.Profile.EngineService, prompt, longAnswer) }()
	<-begun
	from, to := f.Endpoints[0], f.Endpoints[1]
	st, err := from.EngineStats()
	require.NoError(t, err)
	if st.Boot.Requests == 0 {
		from, to = to, from
	}
	// The answer takes 4 s, so that it cannot end where it is.
	require.NoError(t, f.Reclaim(2*time.Second, from))
	require.NoError(t, <-ended)
	after, err := to.EngineStats()
	require.NoError(t, err)
	require.Positive(t, after.Usage.PromptTokens, "the stream did not end at the other engine")
	require.Less(t, after.Usage.RecomputedTokens, after.Usage.PromptTokens/2, "the prompt was computed again")
	t.Logf("prompt %d tokens, computed again %d", after.Usage.PromptTokens, after.Usage.RecomputedTokens)
}
