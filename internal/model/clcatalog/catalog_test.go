// This file tests the look-ups of a configuration.

package clcatalog

import (
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a request that goes by a shorter prefix, another host's
// route, or a prefix that ends within a path segment.
func TestMatch(t *testing.T) {
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

// Guards against gateways that divide a route's requests differently, and
// against shares that do not follow the weights.
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

// Guards against streams that are sent twice though their route forbids it.
func TestRepeatable(t *testing.T) {
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

// Guards against an account's quota that is charged in the wrong unit.
func TestCost(t *testing.T) {
	tokens := &Account{InTokens: true, PlainTokens: 200}
	require.Equal(t, 1540.0, tokens.Cost(1540))
	require.Equal(t, 200.0, tokens.Cost(0))
	require.Equal(t, 1.0, (&Account{}).Cost(1540))
	require.Equal(t, 0, (&Route{Priority: 3}).RequestPriority(&Account{HasPriority: true}))
	require.Equal(t, 3, (&Route{Priority: 3}).RequestPriority(&Account{}))
	require.Equal(t, 3, (&Route{Priority: 3}).RequestPriority(nil))
}
