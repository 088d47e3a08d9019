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

// testStart is the time at which newFleet creates the table.
var testStart = time.Unix(1000, 0)

// newFleet returns the endpoint table of the first of gatewayCount gateways, in
// data centre "a", with an engine service "llm" and a plain service "api".
func newFleet(gatewayCount int, endpoints ...clcatalog.Endpoint) *Fleet {
	f := &Fleet{DataCentre: "a", Rand: rand.New(rand.NewPCG(1, 2))}
	c := &clcatalog.Catalog{Services: []clcatalog.Service{
		{Name: "llm", MaxConns: 370, ColdStart: 3 * time.Second, ColdPerSecond: 14, Engine: &clcatalog.Engine{Slots: 64}},
		{Name: "api", MaxConns: 110},
	}}
	c.BuildIndexes()
	f.SetCatalog(c)
	setGateways(f, 0, gatewayCount)
	for _, e := range endpoints {
		f.Put(e, testStart)
	}
	f.MarkSynced()
	return f
}

// setGateways makes f the table of the gateway with the index, from 0, among n
// gateways.
func setGateways(f *Fleet, index, n int) {
	var others []string
	for i := range n {
		if i != index {
			others = append(others, fmt.Sprint("gateway-", i))
		}
	}
	f.SetGateways(fmt.Sprint("gateway-", index), others)
}

// engineEndpoint returns an endpoint of the service "llm" in data centre dc.
func engineEndpoint(id, dc, version string) clcatalog.Endpoint {
	return clcatalog.Endpoint{
		ID: id, Service: "llm", DataCentre: dc, Version: version, Slots: 64, Born: 1,
		Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), 80),
	}
}

// llmRequest returns a request to the service "llm" with a prompt of 11,500 tokens.
// The prompts of all requests share the first two parts, and those of requests
// with IDs of the same length share the last one too.
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
		{"data centre excluded", func(f *Fleet) { f.Remove("leaving"); f.SetExcludedDataCentres([]string{"a"}, testStart) }, ReasonDataCentreOut},
		{"split version without a share", func(f *Fleet) {
			f.Remove("leaving")
			f.SetSplit("llm", Split{Version: "v1", Active: true})
		}, ReasonVersion},
	} {
		f := newFleet(3, engineEndpoint("e", "a", "v1"), leaving, otherService)
		c, refusal := f.Pick(llmRequest("r"), testStart)
		require.Nil(t, refusal)
		require.Equal(t, "e", c.Endpoint)
		tc.change(f)
		_, refusal = f.Pick(llmRequest("r"), testStart)
		require.NotNil(t, refusal, tc.name)
		require.Equal(t, tc.want, refusal.Reason, tc.name)
		require.Positive(t, refusal.RetryAfter)
	}
}

// Guards against gateways that together send a cold endpoint many more requests in
// any second than it tolerates, whatever the number of gateways.
func TestColdRateSharedByGateways(t *testing.T) {
	for _, gatewayCount := range []int{1, 3, 9, 73} {
		var sentAt []time.Time
		var fleets []*Fleet
		for g := range gatewayCount {
			f := newFleet(gatewayCount)
			setGateways(f, g, gatewayCount)
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
					sentAt = append(sentAt, now)
				}
			}
		}
		require.NotEmpty(t, sentAt, "%d gateways", gatewayCount)
		for i := range sentAt {
			sentInSecond := 0
			for _, s := range sentAt[i:] {
				if s.Sub(sentAt[i]) < time.Second {
					sentInSecond++
				}
			}
			require.LessOrEqual(t, sentInSecond, 26, "%d gateways: at most 1.5 times 14 per second, plus 5", gatewayCount)
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
	nextChoice, _ := f.Pick(r, testStart)
	require.Zero(t, nextChoice.UncachedTokens)
	restarted := engineEndpoint("e", "a", "v1")
	restarted.Born = 2
	f.Put(restarted, testStart)
	nextChoice, _ = f.Pick(r, testStart)
	require.Equal(t, 11500.0, nextChoice.UncachedTokens)
	require.Zero(t, nextChoice.Running)
	f.Finish(c, OutcomeConnectionBroken, testStart)
	nextChoice, _ = f.Pick(r, testStart)
	require.Zero(t, nextChoice.Running, "an attempt from before the restart does not count")
}

// Guards against the split version getting more than its share, and against
// requests of the old version's share going to the split version when the old
// version has no endpoint left.
func TestTrafficSplit(t *testing.T) {
	f := newFleet(1, engineEndpoint("old", "a", "v1"), engineEndpoint("new", "a", "v2"))
	f.SetSplit("llm", Split{Version: "v2", Share: 0.1, Active: true})
	counts := map[string]int{}
	for i := range 5000 {
		c, refusal := f.Pick(llmRequest(fmt.Sprint("request-", i)), testStart)
		require.Nil(t, refusal)
		counts[c.Version]++
	}
	require.InDelta(t, 500, counts["v2"], 100)
	f.Remove("old")
	refusals := 0
	for i := range 1000 {
		if _, refusal := f.Pick(llmRequest(fmt.Sprint("request-", i)), testStart); refusal != nil {
			refusals++
		}
	}
	require.InDelta(t, 900, refusals, 60)
	f.Put(engineEndpoint("old", "a", "v1"), testStart)
	f.Remove("new")
	_, refusal := f.Pick(llmRequest("any"), testStart)
	require.Nil(t, refusal, "the old version takes the share of a new version without endpoints")
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

// Guards against spreading requests with the same shared prefix over endpoints,
// each of which would process the prefix again. Requests with a short prefix stay
// in the gateway's data centre. For a long prefix, gateways of different data
// centres agree on one endpoint.
func TestPrefixAffinity(t *testing.T) {
	eps := []clcatalog.Endpoint{engineEndpoint("a1", "a", "v1"), engineEndpoint("a2", "a", "v1"), engineEndpoint("a3", "a", "v1"), engineEndpoint("b1", "b", "v1")}
	for _, tc := range []struct {
		name                  string
		shared, usedEndpoints int
	}{{"short", 600, 3}, {"long", 5500, 4}} {
		fleets := map[string]*Fleet{"a": newFleet(2, eps...), "b": newFleet(2, eps...)}
		fleets["b"].DataCentre = "b"
		endpointByPrefix := map[string]string{}
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
				if earlierEndpoint, ok := endpointByPrefix[key]; ok {
					require.Equal(t, earlierEndpoint, c.Endpoint, tc.name)
				}
				endpointByPrefix[key] = c.Endpoint
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
// is late: a request that cannot start on time is refused immediately, admitted
// requests are expected to start on time, and urgent requests overtake less urgent
// ones.
func TestExcessOfBurstIsRefusedImmediately(t *testing.T) {
	f := newFleet(1, engineEndpoint("a1", "a", "v1"), engineEndpoint("a2", "a", "v1"))
	admittedCount := 0
	for i := range 200 {
		r := llmRequest(fmt.Sprint("r", i))
		r.Parts = []PromptPart{{ID: uint64(i), Tokens: 6000}}
		r.Priority = 1
		c, refusal := f.Pick(r, testStart)
		if refusal != nil {
			require.Equal(t, ReasonNoTimeLeft, refusal.Reason)
			require.Less(t, refusal.RetryAfter, 2*time.Second)
			continue
		}
		require.LessOrEqual(t, c.ExpectedLatency, time.Second)
		f.Begin(c, r, testStart)
		admittedCount++
	}
	require.InDelta(t, 15, admittedCount, 4, "two engines, each processing about 50 tokens per ms")
	urgent := llmRequest("urgent")
	c, refusal := f.Pick(urgent, testStart)
	require.Nil(t, refusal)
	require.Less(t, c.ExpectedLatency, 500*time.Millisecond)
}

// Guards against always refusing a prompt that is so large that even on an idle
// endpoint its first event is expected later than the target latency.
func TestLargestPromptIsServed(t *testing.T) {
	f := newFleet(1, engineEndpoint("a1", "a", "v1"))
	r := llmRequest("r")
	r.Parts = []PromptPart{{ID: 9, Tokens: 120_000}}
	_, refusal := f.Pick(r, testStart)
	require.Nil(t, refusal)
}

// Guards against a gateway choosing an endpoint that another gateway has just
// filled: load that another gateway reports counts like the gateway's own load.
func TestPeerLoadAffectsChoice(t *testing.T) {
	f := newFleet(2, engineEndpoint("a1", "a", "v1"), engineEndpoint("a2", "a", "v1"))
	r := llmRequest("r")
	first, _ := f.Pick(r, testStart)
	var busyLoads []EndpointLoad
	for _, e := range []string{"a1", "a2"} {
		if e == first.Endpoint {
			busyLoads = append(busyLoads, EndpointLoad{EndpointHash: f.endpoints[e].hash, Load: Load{Running: 30, Pending: PendingTokens{0: 40_000}}})
		}
	}
	f.SetPeerLoad("other", busyLoads)
	second, _ := f.Pick(r, testStart)
	require.NotEqual(t, first.Endpoint, second.Endpoint)
	f.SetPeerLoad("other", nil)
	third, _ := f.Pick(r, testStart)
	require.Equal(t, first.Endpoint, third.Endpoint)
}

// Guards against an endpoint keeping its share of requests while it fails and other
// endpoints do not, or while it cannot be reached. The endpoint must be tried again
// later.
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

// Guards against sending full load to a data centre's endpoints as soon as the data
// centre is no longer excluded: the endpoints may have become cold in the meantime.
func TestReadmittedDataCentreIsCold(t *testing.T) {
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
	const gatewayCount = 9
	total := 0
	for range gatewayCount {
		f := newFleet(gatewayCount)
		f.Put(clcatalog.Endpoint{ID: "p", Service: "api", DataCentre: "a", Slots: 6}, testStart)
		for {
			r := Request{ID: "r", Service: "api", TimeLeft: time.Second}
			c, refusal := f.Pick(r, testStart)
			if refusal != nil {
				require.Equal(t, ReasonFull, refusal.Reason)
				break
			}
			f.Begin(c, r, testStart)
			total++
		}
	}
	require.LessOrEqual(t, total, 110)
	require.Greater(t, total, 80)
}

// Guards against counting a request's demand once for each endpoint that is tried
// without success: the number of endpoints is set by the demand, so that more would
// be started than are needed.
func TestDemandCountsRequestsOnce(t *testing.T) {
	f := newFleet(1, engineEndpoint("e1", "a", "v1"), engineEndpoint("e2", "a", "v1"))
	r := llmRequest("r")
	for range 2 {
		c, refusal := f.Pick(r, testStart)
		require.Nil(t, refusal)
		f.Begin(c, r, testStart)
		f.Finish(c, OutcomeUnreachable, testStart)
		r.Tried = append(r.Tried, c.Endpoint)
	}
	require.EqualValues(t, 1, f.Demand()["llm"].Requests)
}

// Guards against an endpoint that can't be reached and is taken for one that has shed a
// request, from which a shortage of capacity is concluded.
func TestBlockedAfterShed(t *testing.T) {
	f := newFleet(1, engineEndpoint("a1", "a", "v1"))
	r := Request{ID: "r", Service: "llm", TimeLeft: time.Second}
	for i, tc := range []struct {
		outcome   Outcome
		afterShed bool
	}{{OutcomeShed, true}, {OutcomeUnreachable, false}, {OutcomeShed, false}, {OutcomeAnswered, false}, {OutcomeShed, true}} {
		now := testStart.Add(time.Duration(i+1) * time.Minute)
		c, _ := f.Pick(r, now)
		f.Begin(c, r, now)
		f.Finish(c, tc.outcome, now)
		if c, refusal := f.Pick(r, now); c == nil {
			require.Equal(t, ReasonBlocked, refusal.Reason)
			require.Equal(t, tc.afterShed, refusal.AfterShed, "attempt %d", i)
		} else {
			require.Equal(t, OutcomeAnswered, tc.outcome)
		}
	}
}
