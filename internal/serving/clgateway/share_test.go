// This file tests the accounts' shares of services in shortage.

package clgateway

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clobserve"
	"github.com/chestnutlead/chestnutlead/internal/limits/clquota"
	"github.com/chestnutlead/chestnutlead/internal/limits/clshare"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/chestnutlead/chestnutlead/internal/routing/clfleet"
	"github.com/stretchr/testify/require"
)

// offerLoad has the account acme offer much more than account free to service "s" for
// ten seconds until now, of which the endpoints refuse a part if refuse is set.
func offerLoad(a *clshare.Allocator, refuse bool) {
	now := clclock.Now().Add(-10 * time.Second)
	for i := range 10_000 {
		now = now.Add(time.Millisecond)
		r := clshare.Request{Service: "s", Route: "get", Account: "acme", Cost: 1}
		if i%20 == 0 {
			r.Account = "free"
		}
		if !a.Admit(r, now).Refused && refuse && i%2 == 0 {
			a.RecordRefusal(r, true, now)
		}
	}
}

// Guards against a hot account that is not refused in a shortage, an account below its
// share or a request without an account that is, a refusal whose request reaches an
// endpoint or is charged to the quota, or that does not tell when to come back or why,
// and against refusals without a shortage.
func TestSharesInShortage(t *testing.T) {
	for _, tc := range []struct{ short, enabled bool }{{true, true}, {false, true}, {true, false}} {
		env := newTestEnv(t, respond(signedOK+"Content-Length: 0\r\n\r\n", true))
		env.gateway.Shares = &clshare.Allocator{Rand: rand.New(rand.NewPCG(1, 1))}
		if tc.enabled {
			env.gateway.Shares.SetWeights(map[string]float64{"acme": 1, "free": 1})
		}
		offerLoad(env.gateway.Shares, tc.short)
		env.gateway.Quotas.SetLimit("acme", 1e6, 200, clclock.Now())
		statuses := map[string]int{}
		for range 30 {
			for path, key := range map[string]string{"/get/": "k", "/get/free": "f", "/open/": ""} {
				resp, err := http.DefaultClient.Do(env.request(path, key, "x"))
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				statuses[fmt.Sprint(path, resp.StatusCode)]++
				if resp.StatusCode == http.StatusServiceUnavailable {
					after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
					require.NoError(t, err)
					require.Greater(t, after, 0.1)
					require.Less(t, after, 0.7, "a third of the time left")
				}
			}
		}
		refused := statuses["/get/503"]
		if tc.short && tc.enabled {
			require.Positive(t, refused)
			line := env.logs.FilterMessage("refused").All()[0].ContextMap()
			require.Equal(t, "over_share", line["reason"])
			require.Less(t, line["share"], line["offered"])
			require.Equal(t, "not_sent", line["basis"])
		} else {
			require.Zero(t, refused)
		}
		require.Equal(t, 30, statuses["/get/free200"])
		require.Equal(t, 30, statuses["/open/200"])
		require.Equal(t, 90-refused, len(env.requests()))
		require.InDelta(t, 30-refused, env.gateway.Quotas.Spent()["acme"], 0.01)
		require.EqualValues(t, refused, env.gateway.Fleet.Demand()["s"].Requests-uint64(90-refused), "refused requests are demand")
	}
}

// Guards against requests that are refused by shares and charged to the quota of a gateway
// that reaches only a part of the others, for which a refund returns less than was charged,
// and against requests that the quota refuses and that count as offered.
func TestQuotaIsNotChargedForShares(t *testing.T) {
	const reachable, burst = 0.25, 400.0
	env := newTestEnv(t, respond(signedOK+"Content-Length: 0\r\n\r\n", true))
	env.gateway.Shares = &clshare.Allocator{Rand: rand.New(rand.NewPCG(1, 1))}
	env.gateway.Shares.SetWeights(map[string]float64{"acme": 1, "free": 1})
	offerLoad(env.gateway.Shares, true)
	env.gateway.Quotas = &clquota.Limiter{}
	env.gateway.Quotas.SetReachableShare(reachable)
	// A new bucket is not full; the lower burst cuts it to its limit.
	env.gateway.Quotas.SetLimit("acme", 1e-6, 10*burst, clclock.Now())
	env.gateway.Quotas.SetLimit("acme", 1e-6, burst, clclock.Now())
	statuses := map[int]int{}
	send := func() {
		resp, err := http.DefaultClient.Do(env.request("/get/", "k", "x"))
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		statuses[resp.StatusCode]++
	}
	for range 40 {
		send()
	}
	require.Equal(t, 40, statuses[http.StatusOK]+statuses[http.StatusServiceUnavailable], "%v", statuses)
	require.GreaterOrEqual(t, statuses[http.StatusServiceUnavailable], 5)
	admitted, _ := env.gateway.Quotas.Admit("acme", burst*reachable-float64(statuses[http.StatusOK])-0.5, clclock.Now())
	require.True(t, admitted, "all but the cost of the admitted requests is left")
	offered := env.gateway.Shares.Totals(clclock.Now())[0].Offered
	for statuses[http.StatusTooManyRequests] < 5 {
		send()
	}
	counted := statuses[http.StatusOK] + statuses[http.StatusServiceUnavailable] - 40
	require.Equal(t, offered+float64(counted), env.gateway.Shares.Totals(clclock.Now())[0].Offered)
}

// Guards against refusals of endpoints that are not taken for a shortage, or refusals
// for other reasons that are.
func TestRefusalsOfEndpointsMakeAShortage(t *testing.T) {
	for _, tc := range []struct {
		name   string
		script script
		short  bool
	}{
		{"full", respond("HTTP/1.1 503 Full\r\nX-Seal: s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", true), true},
		{"fails", respond("HTTP/1.1 500 Failed\r\nX-Seal: s\r\nContent-Length: 0\r\n\r\n", true), false},
	} {
		env := newTestEnv(t, tc.script)
		env.gateway.Shares = &clshare.Allocator{Rand: rand.New(rand.NewPCG(1, 1))}
		env.gateway.Shares.SetWeights(map[string]float64{"acme": 1, "free": 1})
		for range 5 {
			resp, err := http.DefaultClient.Do(env.request("/get/", "f", "x"))
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
		}
		totals := env.gateway.Shares.Totals(clclock.Now())
		require.Equal(t, tc.short, len(totals) == 1, tc.name)
		if tc.short {
			require.Equal(t, 5.0, totals[0].Refused)
			require.Zero(t, totals[0].Accounts[0].Served)
		}
	}
}

// Guards against refusals that don't depend on the capacity and that make a shortage: of
// endpoints that leave, want quiet or can't be reached, of the gateway itself, and of
// requests whose callers are gone; and against refusals after a shed that make none.
func TestRefusalsThatAreNoShortage(t *testing.T) {
	const notRun = "HTTP/1.1 503 Full\r\nX-Seal: s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n"
	for _, tc := range []struct {
		name   string
		script script
		short  bool
	}{
		{"leaving", respond(notRun+"X-Leaving: 1\r\n\r\n", true), false},
		{"quiet", respond(notRun+"X-Quiet: 500\r\n\r\n", true), false},
		{"full", respond(notRun+"\r\n", true), true},
	} {
		env := newTestEnv(t, tc.script, tc.script)
		env.gateway.Shares = &clshare.Allocator{Rand: rand.New(rand.NewPCG(1, 1))}
		env.gateway.Shares.SetWeights(map[string]float64{"acme": 1, "free": 1})
		for range 5 {
			resp, err := http.DefaultClient.Do(env.request("/get/", "f", "x"))
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		}
		require.Equal(t, tc.short, len(env.gateway.Shares.Totals(clclock.Now())) == 1, tc.name)
	}
	for _, tc := range []struct {
		shed     bool
		refusal  *clfleet.Refusal
		shortage bool
	}{
		{true, nil, true},
		{false, nil, false},
		{true, &clfleet.Refusal{Reason: clfleet.ReasonTried}, true},
		{true, &clfleet.Refusal{Reason: reasonRetryBudget}, false},
		{true, &clfleet.Refusal{Reason: reasonConfigUnconfirmed}, false},
		{true, &clfleet.Refusal{Reason: clfleet.ReasonLeaving}, false},
		{true, &clfleet.Refusal{Reason: clfleet.ReasonBlocked}, false},
		{false, &clfleet.Refusal{Reason: clfleet.ReasonBlocked, AfterShed: true}, true},
		{false, &clfleet.Refusal{Reason: clfleet.ReasonNoTimeLeft}, true},
	} {
		require.Equal(t, tc.shortage, isShortage(&call{shed: tc.shed}, tc.refusal), "%+v", tc)
	}
	for _, gone := range []bool{false, true} {
		g := &Gateway{Shares: &clshare.Allocator{}, collectors: newCollectors(clobserve.NewMetrics())}
		g.Shares.SetWeights(map[string]float64{"acme": 1, "free": 1})
		ctx, cancel := context.WithCancel(t.Context())
		c := &call{r: httptest.NewRequestWithContext(ctx, http.MethodGet, "/", nil), shed: true, shareRequest: clshare.Request{Service: "s", Account: "acme", Cost: 1}}
		g.countShare(c)
		if gone {
			cancel()
		}
		g.recordShareRefusal(c, nil)
		require.Equal(t, gone, g.Shares.Totals(clclock.Now()) == nil, "caller gone: %t", gone)
		cancel()
	}
}

// Guards against requests without an answer that are taken for served, and against one
// caller that states a long timeout, after which all others count as returning ones.
func TestNoAnswerAndLongTimeouts(t *testing.T) {
	env := newTestEnv(t, respond("HTTP/1.1 200 OK\r\n", false))
	env.gateway.Shares = &clshare.Allocator{Rand: rand.New(rand.NewPCG(1, 1))}
	env.gateway.Shares.SetWeights(map[string]float64{"acme": 1, "free": 1})
	send := func(timeout time.Duration, status int) {
		r := env.request("/book/", "f", "x")
		r.Header.Set("X-Deadline", strconv.FormatInt(timeout.Milliseconds(), 10))
		resp, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, status, resp.StatusCode)
	}
	for range 20 {
		send(time.Hour, http.StatusBadGateway)
	}
	for range 20 {
		send(2*time.Second, http.StatusBadGateway)
	}
	env.gateway.Shares.RecordRefusal(clshare.Request{Service: "s", Account: "free", Cost: 1}, true, clclock.Now())
	totals := env.gateway.Shares.Totals(clclock.Now())[0]
	require.Equal(t, 40.0, totals.Offered)
	require.Zero(t, totals.Admitted)
	require.Zero(t, totals.Accounts[0].Served)
	for class, offered := range totals.Accounts[0].Offered {
		require.True(t, offered == 0 || class%2 == 1, "class %d is that of returning callers", class)
	}
}

// Guards against costs in other units than those of the other requests for a service, and
// against any cost that a caller likes to state.
func TestShareCost(t *testing.T) {
	engine, plain := &clcatalog.Service{Engine: &clcatalog.Engine{}}, &clcatalog.Service{}
	inTokens, inRequests := &clcatalog.Account{InTokens: true, PlainTokens: 50}, &clcatalog.Account{}
	require.Equal(t, 900.0, shareCost(engine, inTokens, 900))
	require.Equal(t, 900.0, shareCost(engine, inRequests, 900))
	require.Equal(t, 50.0, shareCost(engine, inTokens, 0))
	require.Equal(t, float64(maxShareCost), shareCost(engine, inTokens, math.MaxInt))
	require.Equal(t, 1.0, shareCost(engine, inRequests, -5))
	require.Equal(t, 1.0, shareCost(engine, inRequests, 0))
	require.Equal(t, 1.0, shareCost(plain, inTokens, 900))
	require.Equal(t, 1.0, shareCost(nil, inTokens, 900))
}
