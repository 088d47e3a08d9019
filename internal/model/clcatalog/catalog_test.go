// This file tests the lookups and request rules of a configuration.

package clcatalog

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a route that is chosen by a shorter prefix, for another host,
// or by a prefix that ends within a path segment.
func TestMatchRoute(t *testing.T) {
	c := &Catalog{Routes: []Route{
		{Name: "all", Host: "a.example", PathPrefix: "/"},
		{Name: "book", Host: "a.example", PathPrefix: "/book/"},
		{Name: "cover", Host: "a.example", PathPrefix: "/book/cover/"},
		{Name: "other", Host: "b.example", PathPrefix: "/book/"},
	}}
	c.BuildIndexes()
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/book/cover/1", "cover"},
		{"a.example", "/book/coverage", "book"},
		{"a.example", "/booking", "all"},
		{"b.example", "/book/1", "other"},
		{"b.example", "/x", ""},
		{"c.example", "/book/1", ""},
	} {
		got := ""
		if r := c.MatchRoute(tc.host, tc.path); r != nil {
			got = r.Name
		}
		require.Equal(t, tc.want, got, "%s%s", tc.host, tc.path)
	}
}

// Guards against gateways that assign the same request to different services,
// against shares that do not follow the weights, and against a single target that
// receives no requests because its weight is 0.
func TestServiceFor(t *testing.T) {
	r := &Route{Targets: []Target{{"old", 90}, {"new", 10}, {"off", 0}}}
	counts := map[string]int{}
	for i := range 10_000 {
		id := strconv.Itoa(i)
		require.Equal(t, r.ServiceFor(id), r.ServiceFor(id))
		counts[r.ServiceFor(id)]++
	}
	require.InDelta(t, 1000, counts["new"], 150)
	require.Zero(t, counts["off"])
	require.Equal(t, "only", (&Route{Targets: []Target{{"only", 0}}}).ServiceFor("x"))
}

// Guards against requests that are executed twice although their route's kind does
// not permit it, as after a broken stream whose route is not resumable. Also guards
// against idempotent requests and resumable streams that are not retried.
func TestSafeToRetry(t *testing.T) {
	for _, tc := range []struct {
		route Route
		want  bool
	}{
		{Route{Kind: Idempotent}, true},
		{Route{Kind: NonIdempotent}, false},
		{Route{Kind: NonIdempotent, Resumable: true}, false},
		{Route{Kind: Streaming}, false},
		{Route{Kind: Streaming, Resumable: true}, true},
		{Route{Kind: "unknown"}, false},
	} {
		require.Equal(t, tc.want, tc.route.SafeToRetry(), "%+v", tc.route)
	}
}

// Guards against shares where quotas are alike, as in earlier deployments, against a
// weight of 0 for an account without a limit, and against weights in different units.
func TestShareWeights(t *testing.T) {
	for _, tc := range []struct {
		accounts []Account
		want     map[string]float64
	}{
		{nil, nil},
		{[]Account{{Name: "a"}, {Name: "b"}}, nil},
		{[]Account{{Name: "a", Rate: 10}, {Name: "b", Rate: 19}}, nil},
		{[]Account{{Name: "a", Rate: 10}, {Name: "b", Rate: 19, InTokens: true}}, nil},
		{[]Account{{Name: "a", Rate: 10}, {Name: "b", Rate: 20}, {Name: "c"}}, map[string]float64{"a": 10, "b": 20, "c": 20}},
		{[]Account{{Name: "a", Rate: 10}, {Name: "b", Rate: 20}, {Name: "c", Rate: 9000, InTokens: true}}, map[string]float64{"a": 1, "b": 1, "c": 1}},
	} {
		require.Equal(t, tc.want, (&Catalog{Accounts: tc.accounts}).ShareWeights(), "%+v", tc.accounts)
	}
}

// Guards against quotas that are charged in the wrong unit, and against an
// account priority of 0 that does not override the route's priority.
func TestCostAndPriority(t *testing.T) {
	tokens := &Account{InTokens: true, PlainTokens: 200}
	require.Equal(t, 1540.0, tokens.Cost(1540))
	require.Equal(t, 200.0, tokens.Cost(0))
	require.Equal(t, 1.0, (&Account{}).Cost(1540))
	require.Equal(t, 0, (&Route{Priority: 3}).RequestPriority(&Account{HasPriority: true}))
	require.Equal(t, 3, (&Route{Priority: 3}).RequestPriority(&Account{}))
	require.Equal(t, 3, (&Route{Priority: 3}).RequestPriority(nil))
}
