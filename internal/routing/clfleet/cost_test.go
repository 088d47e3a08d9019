// This file tests the choice by the likely cost of requests.

package clfleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/stretchr/testify/require"
)

// newCostFleet returns the table of one of 3 gateways that choose by cost, with engines
// "e0" and "e1" that have memory for 100,000 tokens.
func newCostFleet(digestInterval time.Duration) *Fleet {
	f := newFleet(3, engineEndpoint("e0", "a", "v1"), engineEndpoint("e1", "a", "v1"))
	f.catalog.Service("llm").Engine = &clcatalog.Engine{Slots: 64, CacheTokens: 100_000}
	f.CostAware = func(string) bool { return true }
	f.SetDigestInterval(digestInterval)
	return f
}

// ownRequest returns a request whose prompt shares nothing.
func ownRequest(tokens int) Request {
	return Request{ID: "r", Service: "llm", Route: "draft", TimeLeft: 15 * time.Second, Parts: []PromptPart{{ID: 9, Tokens: tokens}}}
}

// Guards against a choice that ignores what the request costs others or what is left at
// the endpoint, and against one that trusts old digests as if they were new.
func TestChoiceByCost(t *testing.T) {
	for _, tc := range []struct {
		name     string
		interval time.Duration
		tokens   int
		load     Load
		avoided  bool
	}{
		{"running streams that a large prompt holds up", 0, 48_000, Load{Running: 6}, true},
		{"running streams that a small prompt does not hold up", 0, 10, Load{Running: 6}, false},
		{"prompts ahead", 0, 10, Load{Running: 1, Pending: PendingTokens{2000}}, true},
		{"prompts ahead by old digests", 2 * time.Second, 10, Load{Running: 1, Pending: PendingTokens{2000}}, false},
		{"memory is left", 0, 10, Load{Running: 1, Memory: 75_000}, false},
		{"no memory is left", 0, 10, Load{Running: 1, Memory: 85_000}, true},
	} {
		chosen := 0
		for i := range 50 {
			f := newCostFleet(tc.interval)
			f.Rand = rand.New(rand.NewPCG(uint64(i), 1))
			f.SetPeerLoad("g", []EndpointLoad{{EndpointHash: f.endpoints["e0"].hash, Load: tc.load}})
			c, refusal := f.Pick(ownRequest(tc.tokens), testStart)
			require.Nil(t, refusal)
			if c.Endpoint == "e0" {
				chosen++
			}
		}
		require.Equal(t, tc.avoided, chosen == 0, "%s: %d of 50", tc.name, chosen)
	}
}

// Guards against old digests that let a queue grow: whether a request is refused depends
// on the reported load in full.
func TestRefusalByOldDigests(t *testing.T) {
	f := newCostFleet(2 * time.Second)
	for _, e := range f.endpoints {
		f.SetPeerLoad(e.ID, []EndpointLoad{{EndpointHash: e.hash, Load: Load{Running: 5, Pending: PendingTokens{1_000_000}}}})
	}
	r := ownRequest(1000)
	r.TargetLatency = time.Second
	_, refusal := f.Pick(r, testStart)
	require.NotNil(t, refusal)
	require.Equal(t, ReasonNoTimeLeft, refusal.Reason)
}

// Guards against models that learn from broken or repeated requests, or that never learn,
// and against a choice by cost for services that are not to have it.
func TestCostsAreLearnt(t *testing.T) {
	for _, tc := range []struct {
		name    string
		change  func(f *Fleet, r *Request)
		outcome Outcome
		learnt  bool
	}{
		{"answered", func(*Fleet, *Request) {}, OutcomeAnswered, true},
		{"broken", func(*Fleet, *Request) {}, OutcomeConnectionBroken, false},
		{"caller gone", func(*Fleet, *Request) {}, OutcomeAbandoned, false},
		{"second attempt", func(_ *Fleet, r *Request) { r.Tried = []string{"other"} }, OutcomeAnswered, false},
		{"not by cost", func(f *Fleet, _ *Request) { f.CostAware = func(string) bool { return false } }, OutcomeAnswered, false},
	} {
		f := newCostFleet(0)
		r := ownRequest(2000)
		r.OutputTokens = 100
		tc.change(f, &r)
		var before, after *Choice
		for range 40 {
			c, _ := f.Pick(r, testStart)
			if before == nil {
				before = c
			}
			f.Begin(c, r, testStart)
			f.RecordFirstEvent(c, 90*time.Millisecond)
			f.Finish(c, tc.outcome, testStart.Add(5*time.Second))
			predicted, observed := c.Work()
			require.Equal(t, tc.learnt, predicted > 0 && observed == 5*time.Second, tc.name)
			after = c
		}
		require.Equal(t, tc.learnt, after.StreamTime > 5*before.StreamTime, "%s: 4.9 s instead of about 0.5 s", tc.name)
	}
}

// Guards against a state that grows with the names of routes.
func TestRoutesAreLimited(t *testing.T) {
	f := newCostFleet(0)
	for i := range 10 * maxRoutes {
		r := ownRequest(10)
		r.Route = fmt.Sprint(i)
		f.Pick(r, testStart)
	}
	require.LessOrEqual(t, len(f.service("llm").costs.routes), maxRoutes+1)
}

// Guards against refusals while an idle endpoint could take the request: the score
// trusts old load less, but the endpoint that it prefers may be too slow in full.
func TestIdleEndpointBesideFullOne(t *testing.T) {
	f := newCostFleet(880 * time.Millisecond)
	r := llmRequest("r")
	c, _ := f.Pick(r, testStart)
	for range 3 {
		f.Begin(c, r, testStart)
		f.Finish(c, OutcomeAnswered, testStart)
	}
	f.SetPeerLoad("g", []EndpointLoad{{EndpointHash: c.endpoint.hash, Load: Load{Running: 9, Pending: PendingTokens{220_000}}}})
	next, refusal := f.Pick(r, testStart)
	require.Nil(t, refusal)
	require.NotEqual(t, c.Endpoint, next.Endpoint)
}

// Guards against waits for slots or for other prompts that are learnt as the time of a
// prompt, and against prompts that are too small to show it.
func TestWaitsAreNotPromptTime(t *testing.T) {
	for _, tc := range []struct {
		name    string
		running int
		tokens  int
		learnt  bool
	}{
		{"idle", 0, 4000, true}, {"full", 64, 4000, false}, {"small", 0, 1000, false},
	} {
		f := newCostFleet(0)
		for _, e := range f.endpoints {
			f.SetPeerLoad(e.ID, []EndpointLoad{{EndpointHash: e.hash, Load: Load{Running: tc.running}}})
		}
		r := ownRequest(tc.tokens)
		for i := range 30 {
			r.Parts[0].ID = uint64(i)
			c, _ := f.Pick(r, testStart)
			f.Begin(c, r, testStart)
			f.RecordFirstEvent(c, 2*time.Second)
			f.Finish(c, OutcomeAnswered, testStart.Add(3*time.Second))
		}
		factor := f.service("llm").costOf(f.serviceConfig("llm"), r, testStart).promptFactor
		require.Equal(t, tc.learnt, factor > 1, tc.name)
		require.LessOrEqual(t, factor, 3.0, tc.name)
	}
}

// Guards against refusals of large requests at engines that could run them, and against
// stated lengths without bounds that make engines look full for good.
func TestMemoryOfLargeRequests(t *testing.T) {
	f := newCostFleet(0)
	for _, e := range f.endpoints {
		f.SetPeerLoad(e.ID, []EndpointLoad{{EndpointHash: e.hash, Load: Load{Running: 1, Memory: 500}}})
	}
	r := ownRequest(85_000)
	r.TargetLatency = time.Second
	_, refusal := f.Pick(r, testStart)
	require.Nil(t, refusal)
	r.OutputTokens = 1 << 62
	c, refusal := f.Pick(r, testStart)
	require.Nil(t, refusal)
	f.Begin(c, r, testStart)
	require.LessOrEqual(t, c.endpoint.memory, 100_000.0)
	f.Finish(c, OutcomeAnswered, testStart)
	require.Zero(t, c.endpoint.memory)
}

// Guards against a service that is chosen by cost because of a single endpoint.
func TestMostEndpointsStateAPace(t *testing.T) {
	f := newPlainFleet(3)
	require.False(t, f.StatesPace("api"))
	now := testStart.Add(time.Second)
	for i, id := range []string{"p0", "p1", "p2"} {
		f.hear(f.endpoints[id], StatedLoad{Slots: 6, Pace: float64(min(i, 1))}, now, true)
	}
	require.True(t, f.StatesPace("api"))
	f.hear(f.endpoints["p2"], StatedLoad{Slots: 6}, now, true)
	require.False(t, f.StatesPace("api"))
}
