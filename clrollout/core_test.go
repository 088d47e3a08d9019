// This file tests the invariants of single decisions.

package clrollout_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnutlead/chestnutlead/clrollout"
)

var testConfig = clrollout.Config{Service: "s", From: "old", To: "new", Start: simStart, Deadline: simStart.Add(time.Hour)}

func evidence(version string, now time.Time, n, failed uint32) clrollout.Evidence {
	counts := make([]uint32, len(clrollout.LatencyBoundsMS)+1)
	counts[10], counts[12] = n-n/10, n/10
	return clrollout.Evidence{
		Service: "s", Version: version, Route: "a", Minute: now.Unix() / 60 * 60, Succeeded: n, Failed: failed, LatencyCounts: counts,
	}
}

// TestDecisions guards against a share above 5% before an evaluation, a step
// that is skipped or passed on few requests, an end after the deadline, a
// batch that counts twice, and a final decision that changes.
func TestDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := clrollout.New(testConfig, simStart)
		step, requests, sequence := 0, uint32(0), uint64(0)
		var final *clrollout.Decision
		failing := rapid.SampledFrom([]uint32{0, 0, 0, 30}).Draw(t, "failing percent")
		most := rapid.SampledFrom([]int{2, 50, 400}).Draw(t, "requests")
		for now := simStart; now.Before(testConfig.Deadline.Add(time.Minute)); now = now.Add(20 * time.Second) {
			n := uint32(rapid.IntRange(0, most).Draw(t, "n"))
			sequence++
			batch := []clrollout.Evidence{evidence("old", now, 500, 2), evidence("new", now, n, n*failing/100)}
			require.True(t, r.Report("e", sequence, batch))
			require.False(t, r.Report("e", sequence, batch), "counted twice")
			requests += n + n*failing/100
			d := r.Decide(now)
			if final != nil {
				require.Equal(t, *final, d, "final decision changed")
				continue
			}
			switch d.Action {
			case clrollout.Raise:
				require.Equal(t, clrollout.Steps[step+1], d.SharePermille, "step skipped")
				require.GreaterOrEqual(t, requests, uint32(clrollout.MinRequests), "passed on few requests")
				step, requests = step+1, 0
				r.ShareApplied(now, d.SharePermille)
			case clrollout.Hold:
				require.Equal(t, clrollout.Steps[step], d.SharePermille)
				require.True(t, now.Before(testConfig.Deadline), "undecided after the deadline")
			case clrollout.Finish:
				require.Equal(t, 3, step, "finished early")
				require.GreaterOrEqual(t, requests, uint32(clrollout.MinRequests), "finished on few requests")
				require.Zero(t, failing, "finished a failing version")
				final = &d
			default:
				require.Zero(t, d.SharePermille)
				final = &d
			}
		}
		require.NotNil(t, final)
	})
}

// TestTakeOver guards against a share that rises on a former process's evidence.
func TestTakeOver(t *testing.T) {
	tests := []struct {
		share, want uint32
	}{{0, 50}, {50, 50}, {100, 50}, {250, 250}, {500, 500}, {1000, 500}}
	for _, tc := range tests {
		cfg := testConfig
		cfg.SharePermille = tc.share
		d := clrollout.New(cfg, simStart).Decide(simStart)
		require.Equal(t, clrollout.Decision{
			Action: clrollout.Hold, Verdict: clrollout.Undecided, SharePermille: tc.want, Reason: "there is no evidence yet",
		}, d)
	}
}

// TestCrashes guards against a version blamed for a request that crashes every
// endpoint, and against one that is excused for crashing on any request.
func TestCrashes(t *testing.T) {
	tests := []struct {
		name         string
		fingerprints []string
		restarted    bool
		failed       uint32
	}{
		{"one request crashes endpoints again and again", []string{"x", "x", "x", "x", "x", "x"}, true, 0},
		{"endpoint did not restart", []string{"x", "y"}, false, 2},
		{"every request crashes its endpoint", []string{"a", "b", "c", "d", "e"}, true, 2},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			var c clrollout.Collector
			for _, f := range tc.fingerprints {
				c.Observe(simStart, clrollout.Outcome{Service: "s", Version: "new", Broken: true, Endpoint: "e", Fingerprint: f})
				if tc.restarted {
					c.EndpointRestarted(simStart.Add(time.Second), "e")
				}
			}
			_, early := c.Take(simStart.Add(time.Second))
			require.Empty(t, early, "counted before it is known whether the endpoint crashed")
			sequence, batch := c.Take(simStart.Add(time.Minute))
			var failed uint32
			for _, e := range batch {
				failed += e.Failed
			}
			require.Equal(t, tc.failed, failed)
			again, repeated := c.Take(simStart.Add(2 * time.Minute))
			require.Equal(t, batch, repeated, "not repeated before its acknowledgement")
			require.Equal(t, sequence, again)
			c.Ack(sequence)
			_, empty := c.Take(simStart.Add(2 * time.Minute))
			require.Empty(t, empty, "repeated after its acknowledgement")
		})
	}
}

// TestNotGood guards against a step that is passed because the version is not
// yet shown to be bad.
func TestNotGood(t *testing.T) {
	tests := []struct {
		name         string
		failed, slow uint32
		want         clrollout.Action
	}{
		{"equal to the old version", 0, 16, clrollout.Raise},
		{"3% fail", 5, 16, clrollout.Hold},
		{"20% are slow", 0, 32, clrollout.Hold},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			r := clrollout.New(testConfig, simStart)
			r.Report("e", 1, []clrollout.Evidence{evidence("old", simStart, 4000, 16)})
			r.Decide(simStart)
			e := evidence("new", simStart, 160, tc.failed)
			e.LatencyCounts[10], e.LatencyCounts[12] = 160-tc.slow, tc.slow
			r.Report("e", 2, []clrollout.Evidence{evidence("old", simStart, 4000, 16), e})
			require.Equal(t, tc.want, r.Decide(simStart.Add(15*time.Minute)).Action)
		})
	}
}

// Guards against a good version that is taken back near its deadline, because all answers
// are slower while it alone has the load than they were in the steps before.
func TestGoodVersionUnderMoreLoadInTheLastStep(t *testing.T) {
	for _, test := range []struct {
		slow float64
		want clrollout.Action
	}{{0.04, clrollout.Finish}, {0.12, clrollout.Finish}, {0.16, clrollout.Finish}, {0.20, clrollout.Finish}, {0.40, clrollout.RollBack}} {
		start := time.Unix(1_800_000_000, 0)
		r := clrollout.New(clrollout.Config{
			Service: "brew", From: "v1", To: "v2", Start: start, Deadline: start.Add(time.Minute), SharePermille: clrollout.Steps[0], MinDwell: 2 * time.Second, RollBackMargin: time.Second,
		}, start)
		share, d := clrollout.Steps[0], clrollout.Decision{Action: clrollout.Hold}
		for now := start; d.Action == clrollout.Hold || d.Action == clrollout.Raise; now = now.Add(time.Second) {
			slow := 0.04
			if share == clrollout.Steps[len(clrollout.Steps)-1] {
				slow = test.slow
			}
			for version, permille := range map[string]uint32{"v1": 1000 - share, "v2": share} {
				n := 500 * float64(permille) / 1000
				counts := make([]uint32, len(clrollout.LatencyBoundsMS)+1)
				counts[3], counts[8] = uint32(n*(1-slow)), uint32(n*slow)
				r.Add([]clrollout.Evidence{{Service: "brew", Route: "chat", Version: version, Minute: now.Unix() / 60 * 60, Succeeded: uint32(n), LatencyCounts: counts}})
			}
			if d = r.Decide(now); d.Action == clrollout.Raise {
				share = d.SharePermille
				r.ShareApplied(now, share)
			}
		}
		require.Equal(t, test.want, d.Action, "%.2f of the answers are slow in the last step: %s", test.slow, d.Reason)
	}
}
