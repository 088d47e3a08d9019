// This file tests moves to good and bad versions, with several gateways that
// count on their own and exchange their counts.

package clmove

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/stretchr/testify/require"
)

// fault says how a new version misbehaves.
type fault struct {
	failures  float64
	slowdown  float64
	after     time.Duration
	onlyRoute string
}

// outcome is how a played move ended.
type outcome struct {
	result    clcatalog.RolloutOutcome
	at        time.Duration
	fresh     int
	all       int
	badBefore int
	// late is the number of requests at the new version more than five
	// seconds after its 50th bad answer.
	late int
}

const (
	moveWithin    = 12 * time.Second
	moveStep      = 20 * time.Millisecond
	exchangeSteps = 10
)

// play moves a service with perSecond requests at several gateways.
func play(seed uint64, gateways int, perSecond float64, oldFailures float64, f fault) outcome {
	rnd := rand.New(rand.NewPCG(seed, 11))
	in := clcatalog.Rollout{Service: "s", Version: "v2", Within: moveWithin}
	start := time.Unix(1000, 0)
	nodes := make([]*Controller, gateways)
	for i := range nodes {
		nodes[i] = &Controller{TrialShare: 0.1, TrialFloor: 50}
		nodes[i].SetIntents([]clcatalog.Rollout{in}, start)
	}
	shares := make([]float64, gateways)
	var out outcome
	var badAt time.Duration
	for step := 0; ; step++ {
		at := time.Duration(step) * moveStep
		if at > moveWithin {
			return out
		}
		now := start.Add(at)
		for i, n := range nodes {
			s := n.Decide(now)[0]
			shares[i] = s.Split.Share
			if s.Bad {
				for _, other := range nodes {
					other.MarkBad("s", "v2")
				}
			}
			if i == 0 && out.result == "" && (s.Outcome == clcatalog.RolloutDone || s.Outcome == clcatalog.RolloutRolledBack) {
				out.result, out.at = s.Outcome, at
			}
		}
		if out.result == clcatalog.RolloutDone {
			return out
		}
		for i := range nodes {
			for range poisson(rnd, perSecond*moveStep.Seconds()/float64(gateways)) {
				out.all++
				subject := AttemptKey{Service: "s", Version: "v1", Route: fmt.Sprint("r", rnd.IntN(2))}
				failures, latency := oldFailures, 80*time.Millisecond
				fresh := rnd.Float64() < shares[i]
				if fresh {
					out.fresh++
					subject.Version = "v2"
					if at >= f.after && (f.onlyRoute == "" || f.onlyRoute == subject.Route) {
						failures += f.failures
						latency = time.Duration(float64(latency) * max(1, f.slowdown))
					}
					if badAt > 0 && at > badAt+5*time.Second {
						out.late++
					}
				}
				failed := rnd.Float64() < failures
				if fresh && failed {
					if out.badBefore++; out.badBefore == 50 {
						badAt = at
					}
				}
				latency = time.Duration(float64(latency) * rnd.ExpFloat64())
				nodes[i].RecordAttempt(subject)
				nodes[i].RecordOutcome(subject, failed, true, latency)
			}
		}
		if step%exchangeSteps == 0 {
			for i, from := range nodes {
				for j, to := range nodes {
					if i != j {
						to.UpdatePeer(fmt.Sprint(i), from.LocalCounts())
					}
				}
			}
		}
	}
}

func poisson(rnd *rand.Rand, mean float64) int {
	n := 0
	for t := rnd.ExpFloat64(); t < mean; t += rnd.ExpFloat64() {
		n++
	}
	return n
}

// Guards against bad versions that are finished or get more requests than the
// bound, and against good ones that are taken back or not finished in time.
func TestMoves(t *testing.T) {
	const seeds = 40
	for _, tc := range []struct {
		name      string
		perSecond float64
		old       float64
		fault     fault
		want      clcatalog.RolloutOutcome
		// least is how many of the seeds must end as wanted.
		least int
	}{
		{"good", 60, 0, fault{}, clcatalog.RolloutDone, 38},
		{"good beside a failing route", 60, 0.14, fault{}, clcatalog.RolloutDone, 36},
		{"good, few requests", 25, 0.01, fault{}, clcatalog.RolloutDone, 36},
		{"good, many requests", 600, 0.02, fault{}, clcatalog.RolloutDone, 38},
		{"fails", 60, 0.01, fault{failures: 0.4}, clcatalog.RolloutRolledBack, 40},
		{"fails on one route", 60, 0.01, fault{failures: 0.5, onlyRoute: "r1"}, clcatalog.RolloutRolledBack, 38},
		{"fails later", 60, 0.01, fault{failures: 0.5, after: 5 * time.Second}, clcatalog.RolloutRolledBack, 38},
		{"slow", 60, 0.01, fault{slowdown: 5}, clcatalog.RolloutRolledBack, 40},
		{"fails under many requests", 600, 0.01, fault{failures: 0.3}, clcatalog.RolloutRolledBack, 40},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			ended := 0
			for seed := range uint64(seeds) {
				o := play(seed, 9, tc.perSecond, tc.old, tc.fault)
				if o.result == tc.want {
					ended++
				}
				require.LessOrEqual(t, float64(o.fresh), 0.1*float64(o.all)+50, "seed %d: %d of %d requests at the new version", seed, o.fresh, o.all)
				require.Zero(t, o.late, "seed %d", seed)
				if o.result == clcatalog.RolloutDone {
					require.Less(t, o.at, moveWithin-500*time.Millisecond, "seed %d: the operator reads it in time", seed)
				}
			}
			require.GreaterOrEqual(t, ended, tc.least, "of %d seeds ended %s", seeds, tc.want)
		})
	}
}

// Guards against a restarted gateway that gives a version another chance which
// operators read as taken back, and one that stops a version that is in force.
func TestOutcomesStay(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tc := range []struct {
		outcome clcatalog.RolloutOutcome
		share   float64
	}{{clcatalog.RolloutDone, 1}, {clcatalog.RolloutRolledBack, 0}} {
		m := &Controller{TrialShare: 0.1, TrialFloor: 50}
		in := clcatalog.Rollout{Service: "s", Version: "v2", Within: moveWithin, Outcome: tc.outcome, OutcomeVersion: "v2"}
		m.SetIntents([]clcatalog.Rollout{in}, now)
		for at := time.Duration(0); at < 2*moveWithin; at += time.Second {
			s := m.Decide(now.Add(at))[0]
			require.Equal(t, tc.share, s.Split.Share)
			require.Equal(t, tc.outcome, s.Outcome)
		}
		in.Version = "v3"
		m.SetIntents([]clcatalog.Rollout{in}, now)
		require.Equal(t, clcatalog.RolloutRunning, m.Decide(now)[0].Outcome, "another version is another move")
	}
}
