// This file tests the judgement of services with few requests.

package clrollout_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutlead/chestnutlead/clrollout"
)

// TestPooled guards against a step that waits for each route until the deadline,
// and against one that is passed on the sum of the routes although there was
// time for each, or with too little or too bad evidence on all together.
func TestPooled(t *testing.T) {
	tests := []struct {
		name string
		// routes is the number of routes with 60 requests of the new version each.
		routes, failed int
		after          time.Duration
		want           clrollout.Action
	}{
		{"there is time for each route", 3, 0, 5 * time.Minute, clrollout.Hold},
		{"good on all together", 3, 0, 15 * time.Minute, clrollout.Raise},
		{"few requests on all together", 2, 0, 15 * time.Minute, clrollout.Hold},
		{"too many failures on all together", 3, 2, 15 * time.Minute, clrollout.Hold},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := clrollout.New(testConfig, simStart)
			for i := range 2 { // the first fold places the old version's 90th percentile
				var batch []clrollout.Evidence
				for _, route := range []string{"a", "b", "c"}[:tc.routes] {
					oldE, newE := evidence("old", simStart, 1000, 4), evidence("new", simStart, 60, uint32(tc.failed))
					oldE.Route, newE.Route = route, route
					batch = append(batch, oldE)
					if i == 1 {
						batch = append(batch, newE)
					}
				}
				r.Report("e", uint64(i+1), batch)
				r.Decide(simStart.Add(time.Duration(i) * 10 * time.Second))
			}
			require.Equal(t, tc.want, r.Decide(simStart.Add(tc.after)).Action)
		})
	}
}

// TestLowestRate guards against a stated rate that does not fall with the time
// left, or is finite for a move that has none.
func TestLowestRate(t *testing.T) {
	var cfg clrollout.Config
	require.InDelta(t, 1.9, cfg.LowestRate(2*time.Hour), 0.1)
	require.Less(t, cfg.LowestRate(24*time.Hour), 0.16)
	require.Greater(t, cfg.LowestRate(0), 1e9)
}
