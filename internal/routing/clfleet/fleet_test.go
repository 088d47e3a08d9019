// This file tests the selection of endpoints.

package clfleet

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/stretchr/testify/require"
)

var testStart = time.Unix(1000, 0)

// newFleet returns the endpoint table of a gateway in data centre "a", with an
// engine service "llm" and a plain service "api".
func newFleet(gateways int, endpoints ...clcatalog.Endpoint) *Fleet {
	f := &Fleet{DataCentre: "a", Rand: rand.New(rand.NewPCG(1, 2))}
	c := &clcatalog.Catalog{Services: []clcatalog.Service{
		{Name: "llm", MaxConns: 370, ColdStart: 3 * time.Second, ColdPerSecond: 14, Engine: &clcatalog.Engine{Slots: 64}},
		{Name: "api", MaxConns: 110},
	}}
	c.BuildIndexes()
	f.SetCatalog(c)
	setGateways(f, 0, gateways)
	for _, e := range endpoints {
		f.Put(e, testStart)
	}
	f.MarkSynced()
	return f
}

// setGateways makes f the table of one of n gateways.
func setGateways(f *Fleet, index, n int) {
	var others []string
	for i := range n {
		if i != index {
			others = append(others, fmt.Sprint("gateway-", i))
		}
	}
	f.SetGateways(fmt.Sprint("gateway-", index), others)
}

func engineEndpoint(id, dc, version string) clcatalog.Endpoint {
	return clcatalog.Endpoint{
		ID: id, Service: "llm", DataCentre: dc, Version: version, Slots: 64, Born: 1,
		Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), 80),
	}
}

func llmRequest(id string) Request {
	return Request{
		ID: id, Service: "llm", TimeLeft: 15 * time.Second, TargetLatency: time.Second,
		Parts: []PromptPart{{ID: 1, Tokens: 500}, {ID: 2, Tokens: 5000}, {ID: 1000 + uint64(len(id)), Tokens: 6000}},
	}
}

// Guards against selecting endpoints that must not get requests.
func TestPickAppliesFilters(t *testing.T) {
	leaving := engineEndpoint("leaving", "a", "v1")
	leaving.Leaving = true
	otherService := engineEndpoint("other-service", "a", "v1")
	otherService.Service = "api"
	for _, tc := range []struct {
		name   string
		change func(f *Fleet)
		want   Reason
	}{
		{"none registered", func(f *Fleet) { f.Retain(nil) }, ReasonNoEndpoint},
		{"leaving", func(f *Fleet) { f.Remove("e") }, ReasonLeaving},
		{"data centre out", func(f *Fleet) { f.Remove("leaving"); f.SetExcludedDataCentres([]string{"a"}, testStart) }, ReasonDataCentreOut},
		{"on trial", func(f *Fleet) {
			f.Remove("leaving")
			f.SetSplit("llm", Split{Version: "v1", Active: true})
		}, ReasonVersion},
	} {
		f := newFleet(3, engineEndpoint("e", "a", "v1"), leaving, otherService)
		c, refused := f.Pick(llmRequest("r"), testStart)
		require.Nil(t, refused)
		require.Equal(t, "e", c.Endpoint)
		tc.change(f)
		_, refused = f.Pick(llmRequest("r"), testStart)
		require.NotNil(t, refused, tc.name)
		require.Equal(t, tc.want, refused.Reason, tc.name)
		require.Positive(t, refused.RetryAfter)
	}
}

// Guards against gateways that together send a cold endpoint more requests in any
// second than it tolerates, whatever the number of gateways.
func TestColdRateSharedByGateways(t *testing.T) {
	for _, gateways := range []int{1, 3, 9, 73} {
		var sent []time.Time
		var fleets []*Fleet
		for g := range gateways {
			f := newFleet(gateways)
			setGateways(f, g, gateways)
			f.Rand = rand.New(rand.NewPCG(uint64(g), 7))
			cold := engineEndpoint("e", "a", "v1")
			cold.ColdFor = 3 * time.Second
			f.Put(cold, testStart)
			fleets = append(fleets, f)
		}
		for now := testStart; now.Before(testStart.Add(3 * time.Second)); now = now.Add(10 * time.Millisecond) {
			for _, f := range fleets {
				if c, _ := f.Pick(llmRequest("r"), now); c != nil {
					f.Begin(c, llmRequest("r"), now)
					f.RecordFirstEvent(c, 50*time.Millisecond)
					f.Finish(c, OutcomeAnswered, now)
					sent = append(sent, now)
				}
			}
		}
		require.NotEmpty(t, sent, "%d gateways", gateways)
		for i := range sent {
			n := 0
			for _, s := range sent[i:] {
				if s.Sub(sent[i]) < time.Second {
					n++
				}
			}
			require.LessOrEqual(t, n, 26, "%d gateways: at most 1.5 times 14 per second, plus 5", gateways)
		}
	}
}

// Guards against treating an endpoint that keeps its ID across a restart as still
// having a warm prompt cache and running requests.
func TestRestartDiscardsEndpointState(t *testing.T) {
	f := newFleet(1, engineEndpoint("e", "a", "v1"))
	r := llmRequest("r")
	c, _ := f.Pick(r, testStart)
	f.Begin(c, r, testStart)
	again, _ := f.Pick(r, testStart)
	require.Zero(t, again.UncachedTokens)
	restarted := engineEndpoint("e", "a", "v1")
	restarted.Born = 2
	f.Put(restarted, testStart)
	again, _ = f.Pick(r, testStart)
	require.Equal(t, 11500.0, again.UncachedTokens)
	require.Zero(t, again.Running)
	f.Finish(c, OutcomeConnectionBroken, testStart)
	again, _ = f.Pick(r, testStart)
	require.Zero(t, again.Running, "an attempt from before the restart does not count")
}

// Guards against a version on trial getting more than its share, and against the
// old version's requests going to it when the old version has no endpoint left.
func TestTrafficSplit(t *testing.T) {
	f := newFleet(1, engineEndpoint("old", "a", "v1"), engineEndpoint("new", "a", "v2"))
	f.SetSplit("llm", Split{Version: "v2", Share: 0.1, Active: true})
	counts := map[string]int{}
	for i := range 5000 {
		c, refused := f.Pick(llmRequest(fmt.Sprint("request-", i)), testStart)
		require.Nil(t, refused)
		counts[c.Version]++
	}
	require.InDelta(t, 500, counts["v2"], 100)
	f.Remove("old")
	refusals := 0
	for i := range 1000 {
		if _, refused := f.Pick(llmRequest(fmt.Sprint("request-", i)), testStart); refused != nil {
			refusals++
		}
	}
	require.InDelta(t, 900, refusals, 60)
	f.Put(engineEndpoint("old", "a", "v1"), testStart)
	f.Remove("new")
	_, refused := f.Pick(llmRequest("any"), testStart)
	require.Nil(t, refused, "the old version takes the share of a new version without endpoints")
}

// Guards against a new version getting requests before the operator's intent has
// arrived, which may happen after its endpoints are registered.
func TestNewVersionWaitsForIntent(t *testing.T) {
	f := newFleet(1, engineEndpoint("old", "a", "v1"))
	f.Put(engineEndpoint("new", "a", "v2"), testStart)
	for i := range 200 {
		c, _ := f.Pick(llmRequest(fmt.Sprint(i)), testStart.Add(newVersionDelay/2))
		require.Equal(t, "old", c.Endpoint)
	}
}

// Guards against spreading requests with the same shared prompt over endpoints,
// each of which would process it again: a short prompt stays in the data centre,
// and gateways of different data centres agree on one endpoint for a long one.
func TestPrefixAffinity(t *testing.T) {
	eps := []clcatalog.Endpoint{engineEndpoint("a1", "a", "v1"), engineEndpoint("a2", "a", "v1"), engineEndpoint("a3", "a", "v1"), engineEndpoint("b1", "b", "v1")}
	for _, tc := range []struct {
		name                  string
		shared, usedEndpoints int
	}{{"short", 600, 3}, {"long", 5500, 4}} {
		fleets := map[string]*Fleet{"a": newFleet(2, eps...), "b": newFleet(2, eps...)}
		fleets["b"].DataCentre = "b"
		byPrefix := map[string]string{}
		used := map[string]bool{}
		for i := range 300 {
			for dc, f := range fleets {
				r := llmRequest("r")
				r.Parts[0].Tokens, r.Parts[1].Tokens = tc.shared/10, tc.shared-tc.shared/10
				r.Parts[1].ID = uint64(100 + i%30)
				r.Parts[2].ID = uint64(10_000 + i)
				c, _ := f.Pick(r, testStart)
				key := fmt.Sprint(r.Parts[1].ID)
				if tc.name == "short" {
					require.Equal(t, dc, c.DataCentre, "an idle endpoint in the same data centre is preferred")
					key += dc
				}
				if first, ok := byPrefix[key]; ok {
					require.Equal(t, first, c.Endpoint, tc.name)
				}
				byPrefix[key] = c.Endpoint
				if dc == "a" {
					used[c.Endpoint] = true
				}
				f.Begin(c, r, testStart)
				f.RecordFirstEvent(c, c.ExpectedLatency)
				f.Finish(c, OutcomeAnswered, testStart)
			}
		}
		require.Len(t, used, tc.usedEndpoints, tc.name)
	}
}

// Guards against queueing the prompts of a burst at the engines until every answer
// is late: a request that cannot start on time is refused immediately, urgent
// requests overtake others, and admitted requests start on time.
func TestBurstIsRefusedImmediately(t *testing.T) {
	f := newFleet(1, engineEndpoint("a1", "a", "v1"), engineEndpoint("a2", "a", "v1"))
	admitted := 0
	for i := range 200 {
		r := llmRequest(fmt.Sprint("r", i))
		r.Parts = []PromptPart{{ID: uint64(i), Tokens: 6000}}
		r.Priority = 1
		c, refused := f.Pick(r, testStart)
		if refused != nil {
			require.Equal(t, ReasonNoTimeLeft, refused.Reason)
			require.Less(t, refused.RetryAfter, 2*time.Second)
			continue
		}
		require.LessOrEqual(t, c.ExpectedLatency, time.Second)
		f.Begin(c, r, testStart)
		admitted++
	}
	require.InDelta(t, 15, admitted, 4, "two engines, each processing about 50 tokens per ms")
	urgent := llmRequest("urgent")
	c, refused := f.Pick(urgent, testStart)
	require.Nil(t, refused)
	require.Less(t, c.ExpectedLatency, 500*time.Millisecond)
}

// Guards against always refusing a prompt that is so large that it could not
// start on time even on an idle endpoint.
func TestLargestPromptIsServed(t *testing.T) {
	f := newFleet(1, engineEndpoint("a1", "a", "v1"))
	r := llmRequest("r")
	r.Parts = []PromptPart{{ID: 9, Tokens: 120_000}}
	_, refused := f.Pick(r, testStart)
	require.Nil(t, refused)
}

// Guards against gateways all choosing an endpoint that others have just filled:
// reported load counts like the gateway's own.
func TestPeerLoadAffectsChoice(t *testing.T) {
	f := newFleet(2, engineEndpoint("a1", "a", "v1"), engineEndpoint("a2", "a", "v1"))
	r := llmRequest("r")
	first, _ := f.Pick(r, testStart)
	var busy []EndpointLoad
	for _, e := range []string{"a1", "a2"} {
		if e == first.Endpoint {
			busy = append(busy, EndpointLoad{EndpointHash: f.endpoints[e].hash, Load: Load{Running: 30, Pending: PendingTokens{0: 40_000}}})
		}
	}
	f.SetPeerLoad("other", busy)
	second, _ := f.Pick(r, testStart)
	require.NotEqual(t, first.Endpoint, second.Endpoint)
	f.SetPeerLoad("other", nil)
	third, _ := f.Pick(r, testStart)
	require.Equal(t, first.Endpoint, third.Endpoint)
}

// Guards against an endpoint keeping its share of requests while it fails and
// others do not, or while it cannot be reached; it is tried again later.
func TestFailingEndpointsAreAvoidedTemporarily(t *testing.T) {
	f := newFleet(1, engineEndpoint("a1", "a", "v1"), engineEndpoint("a2", "a", "v1"))
	r := Request{ID: "r", Service: "llm", TimeLeft: time.Second}
	now := testStart
	for range 10 {
		c, _ := f.Pick(r, now)
		f.Begin(c, r, now)
		if c.Endpoint == "a1" {
			f.Finish(c, OutcomeFailed, now)
		} else {
			f.Finish(c, OutcomeAnswered, now)
		}
	}
	for range 20 {
		c, _ := f.Pick(r, now)
		require.Equal(t, "a2", c.Endpoint)
	}
	c, _ := f.Pick(r, now)
	f.Begin(c, r, now)
	f.Finish(c, OutcomeUnreachable, now)
	c, _ = f.Pick(r, now)
	require.Equal(t, "a1", c.Endpoint, "a failing endpoint is preferred to an unreachable one")
	now = now.Add(10 * failureRateHalfLife)
	seen := map[string]bool{}
	for range 50 {
		c, _ = f.Pick(r, now)
		seen[c.Endpoint] = true
	}
	require.Len(t, seen, 2)
}

// Guards against sending full load to a data centre's endpoints as soon as it is
// no longer excluded: they may have become cold in the meantime.
func TestReturnedDataCentreIsCold(t *testing.T) {
	f := newFleet(9, engineEndpoint("a1", "a", "v1"))
	f.SetExcludedDataCentres([]string{"a"}, testStart)
	f.SetExcludedDataCentres(nil, testStart)
	sent := 0
	for i := range 100 {
		r := llmRequest(fmt.Sprint(i))
		if c, _ := f.Pick(r, testStart.Add(time.Duration(i)*10*time.Millisecond)); c != nil {
			f.Begin(c, r, testStart)
			f.Finish(c, OutcomeAnswered, testStart)
			sent++
		}
	}
	require.LessOrEqual(t, sent, 3, "a ninth of what a cold endpoint tolerates in a second")
}

// Guards against gateways together opening more connections than an endpoint accepts.
func TestConnectionLimitSharedByGateways(t *testing.T) {
	const gateways = 9
	total := 0
	for range gateways {
		f := newFleet(gateways)
		f.Put(clcatalog.Endpoint{ID: "p", Service: "api", DataCentre: "a", Slots: 6}, testStart)
		for {
			r := Request{ID: "r", Service: "api", TimeLeft: time.Second}
			c, refused := f.Pick(r, testStart)
			if refused != nil {
				require.Equal(t, ReasonFull, refused.Reason)
				break
			}
			f.Begin(c, r, testStart)
			total++
		}
	}
	require.LessOrEqual(t, total, 110)
	require.Greater(t, total, 80)
}

// Guards against counting a request's demand once per endpoint that is tried in
// vain, for which unneeded endpoints would be ordered.
func TestDemandCountsRequestsOnce(t *testing.T) {
	f := newFleet(1, engineEndpoint("e1", "a", "v1"), engineEndpoint("e2", "a", "v1"))
	r := llmRequest("r")
	for range 2 {
		c, refused := f.Pick(r, testStart)
		require.Nil(t, refused)
		f.Begin(c, r, testStart)
		f.Finish(c, OutcomeUnreachable, testStart)
		r.Tried = append(r.Tried, c.Endpoint)
	}
	require.EqualValues(t, 1, f.Demand()["llm"].Requests)
}
