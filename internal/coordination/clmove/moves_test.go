// This file tests rollouts of good and bad versions with several gateways, each
// of which counts its own attempts and exchanges the counts with the others.

package clmove

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/stretchr/testify/require"
)

// versionFault describes how a new version misbehaves.
type versionFault struct {
	failureRate float64
	slowdown    float64
	startsAfter time.Duration
	onlyRoute   string
}

// rolloutResult is the result of a simulated rollout.
type rolloutResult struct {
	outcome           clcatalog.RolloutOutcome
	at                time.Duration
	candidateRequests int
	requests          int
	badAnswers        int
	// lateRequests is the number of requests at the new version more than five
	// seconds after its 50th bad answer.
	lateRequests int
}

const (
	rolloutTime   = 12 * time.Second
	tickInterval  = 20 * time.Millisecond
	exchangeTicks = 10
)

// simulate runs a rollout of a service that receives perSecond requests, spread
// over several gateways.
func simulate(seed uint64, gateways int, perSecond float64, oldFailureRate float64, f versionFault) rolloutResult {
	rnd := rand.New(rand.NewPCG(seed, 11))
	in := clcatalog.Rollout{Service: "s", Version: "v2", Within: rolloutTime}
	start := time.Unix(1000, 0)
	controllers := make([]*Controller, gateways)
	for i := range controllers {
		controllers[i] = &Controller{TrialShare: 0.1, TrialFloor: 50}
		controllers[i].SetIntents([]clcatalog.Rollout{in}, start)
	}
	shares := make([]float64, gateways)
	var out rolloutResult
	var badAt time.Duration
	for tick := 0; ; tick++ {
		at := time.Duration(tick) * tickInterval
		if at > rolloutTime {
			return out
		}
		now := start.Add(at)
		for i, controller := range controllers {
			decision := controller.Decide(now)[0]
			shares[i] = decision.Split.Share
			if decision.Bad {
				for _, other := range controllers {
					other.MarkBad("s", "v2")
				}
			}
			if i == 0 && out.outcome == "" && (decision.Outcome == clcatalog.RolloutDone || decision.Outcome == clcatalog.RolloutRolledBack) {
				out.outcome, out.at = decision.Outcome, at
			}
		}
		if out.outcome == clcatalog.RolloutDone {
			return out
		}
		for i := range controllers {
			for range poisson(rnd, perSecond*tickInterval.Seconds()/float64(gateways)) {
				out.requests++
				key := AttemptKey{Service: "s", Version: "v1", Route: fmt.Sprint("r", rnd.IntN(2))}
				rate, latency := oldFailureRate, 80*time.Millisecond
				onCandidate := rnd.Float64() < shares[i]
				if onCandidate {
					out.candidateRequests++
					key.Version = "v2"
					if at >= f.startsAfter && (f.onlyRoute == "" || f.onlyRoute == key.Route) {
						rate += f.failureRate
						latency = time.Duration(float64(latency) * max(1, f.slowdown))
					}
					if badAt > 0 && at > badAt+5*time.Second {
						out.lateRequests++
					}
				}
				failed := rnd.Float64() < rate
				if onCandidate && failed {
					if out.badAnswers++; out.badAnswers == 50 {
						badAt = at
					}
				}
				latency = time.Duration(float64(latency) * rnd.ExpFloat64())
				controllers[i].RecordAttempt(key)
				controllers[i].RecordOutcome(key, failed, true, latency)
			}
		}
		if tick%exchangeTicks == 0 {
			for i, from := range controllers {
				for j, to := range controllers {
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

// Guards against bad versions that are rolled out or receive more requests than
// the bound, and against good ones that are rolled back or not finished in time.
func TestRolloutOutcomes(t *testing.T) {
	const seeds = 40
	for _, tc := range []struct {
		name      string
		perSecond float64
		old       float64
		fault     versionFault
		want      clcatalog.RolloutOutcome
		// least is how many of the seeds must end with the wanted outcome.
		least int
	}{
		{"good", 60, 0, versionFault{}, clcatalog.RolloutDone, 38},
		{"good beside a failing route", 60, 0.14, versionFault{}, clcatalog.RolloutDone, 36},
		{"good, few requests", 25, 0.01, versionFault{}, clcatalog.RolloutDone, 36},
		{"good, many requests", 600, 0.02, versionFault{}, clcatalog.RolloutDone, 38},
		{"fails", 60, 0.01, versionFault{failureRate: 0.4}, clcatalog.RolloutRolledBack, 40},
		{"fails on one route", 60, 0.01, versionFault{failureRate: 0.5, onlyRoute: "r1"}, clcatalog.RolloutRolledBack, 38},
		{"fails later", 60, 0.01, versionFault{failureRate: 0.5, startsAfter: 5 * time.Second}, clcatalog.RolloutRolledBack, 38},
		{"slow", 60, 0.01, versionFault{slowdown: 5}, clcatalog.RolloutRolledBack, 40},
		{"fails under many requests", 600, 0.01, versionFault{failureRate: 0.3}, clcatalog.RolloutRolledBack, 40},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			ended := 0
			for seed := range uint64(seeds) {
				o := simulate(seed, 9, tc.perSecond, tc.old, tc.fault)
				if o.outcome == tc.want {
					ended++
				}
				require.LessOrEqual(t, float64(o.candidateRequests), 0.1*float64(o.requests)+50, "seed %d: %d of %d requests at the new version", seed, o.candidateRequests, o.requests)
				require.Zero(t, o.lateRequests, "seed %d", seed)
				if o.outcome == clcatalog.RolloutDone {
					require.Less(t, o.at, rolloutTime-500*time.Millisecond, "seed %d: finished too late for the operator to read it in time", seed)
				}
			}
			require.GreaterOrEqual(t, ended, tc.least, "of %d seeds ended as %s", seeds, tc.want)
		})
	}
}

// Guards against a gateway that, after a restart, retries a version reported as
// rolled back, or stops sending requests to one reported as done.
func TestReportedOutcomesPersist(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, tc := range []struct {
		outcome clcatalog.RolloutOutcome
		share   float64
	}{{clcatalog.RolloutDone, 1}, {clcatalog.RolloutRolledBack, 0}} {
		ctl := &Controller{TrialShare: 0.1, TrialFloor: 50}
		in := clcatalog.Rollout{Service: "s", Version: "v2", Within: rolloutTime, Outcome: tc.outcome, OutcomeVersion: "v2"}
		ctl.SetIntents([]clcatalog.Rollout{in}, now)
		for at := time.Duration(0); at < 2*rolloutTime; at += time.Second {
			decision := ctl.Decide(now.Add(at))[0]
			require.Equal(t, tc.share, decision.Split.Share)
			require.Equal(t, tc.outcome, decision.Outcome)
		}
		in.Version = "v3"
		ctl.SetIntents([]clcatalog.Rollout{in}, now)
		require.Equal(t, clcatalog.RolloutRunning, ctl.Decide(now)[0].Outcome, "another version starts another rollout")
	}
}
