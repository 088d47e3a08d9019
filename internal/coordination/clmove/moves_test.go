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
	// failureRate is added to the old version's failure rate.
	failureRate float64
	// slowdown is the factor by which latencies grow; values below 1 have no effect.
	slowdown float64
	// startsAfter is the time from the start of the rollout to the start of the
	// fault.
	startsAfter time.Duration
	// onlyRoute is the route that the fault affects; if it is empty, all are.
	onlyRoute string
}

// rolloutResult is the result of a simulated rollout.
type rolloutResult struct {
	// outcome is the final outcome that the first gateway decided, or empty if it
	// decided none within rolloutDuration.
	outcome clcatalog.RolloutOutcome
	// elapsed is the time from the start of the rollout to its outcome, or zero if
	// there is none.
	elapsed            time.Duration
	newVersionRequests int
	requests           int
	// badAnswers is the number of failed answers of the new version.
	badAnswers int
	// lateRequests is the number of requests at the new version more than five
	// seconds after its 50th bad answer.
	lateRequests int
}

const (
	rolloutDuration = 12 * time.Second
	tickInterval    = 20 * time.Millisecond
	// ticksPerExchange is the number of ticks between two exchanges of counts.
	ticksPerExchange = 10
)

// simulate runs a rollout of a service whose requests are spread over several
// gateways, until the rollout is done or rolloutDuration has passed.
func simulate(seed uint64, gateways int, requestsPerSecond float64, oldFailureRate float64, fault versionFault) rolloutResult {
	rnd := rand.New(rand.NewPCG(seed, 11))
	intent := clcatalog.Rollout{Service: "s", Version: "v2", Within: rolloutDuration}
	start := time.Unix(1000, 0)
	controllers := make([]*Controller, gateways)
	for i := range controllers {
		controllers[i] = &Controller{TrialShare: 0.1, TrialFloor: 50}
		controllers[i].SetIntents([]clcatalog.Rollout{intent}, false, start)
	}
	shares := make([]float64, gateways)
	var result rolloutResult
	var elapsedAt50Bad time.Duration
	for tick := 0; ; tick++ {
		elapsed := time.Duration(tick) * tickInterval
		if elapsed > rolloutDuration {
			return result
		}
		now := start.Add(elapsed)
		for i, controller := range controllers {
			decision := controller.Decide(now)[0]
			shares[i] = decision.Split.Share
			if decision.Bad {
				for _, other := range controllers {
					other.MarkBad("s", "v2")
				}
			}
			if i == 0 && result.outcome == "" && (decision.Outcome == clcatalog.RolloutDone || decision.Outcome == clcatalog.RolloutRolledBack) {
				result.outcome, result.elapsed = decision.Outcome, elapsed
			}
		}
		if result.outcome == clcatalog.RolloutDone {
			return result
		}
		for i := range controllers {
			for range poisson(rnd, requestsPerSecond*tickInterval.Seconds()/float64(gateways)) {
				result.requests++
				key := AttemptKey{Service: "s", Version: "v1", Route: fmt.Sprint("r", rnd.IntN(2))}
				failureRate, latency := oldFailureRate, 80*time.Millisecond
				toNewVersion := rnd.Float64() < shares[i]
				if toNewVersion {
					result.newVersionRequests++
					key.Version = "v2"
					if elapsed >= fault.startsAfter && (fault.onlyRoute == "" || fault.onlyRoute == key.Route) {
						failureRate += fault.failureRate
						latency = time.Duration(float64(latency) * max(1, fault.slowdown))
					}
					if elapsedAt50Bad > 0 && elapsed > elapsedAt50Bad+5*time.Second {
						result.lateRequests++
					}
				}
				failed := rnd.Float64() < failureRate
				if toNewVersion && failed {
					if result.badAnswers++; result.badAnswers == 50 {
						elapsedAt50Bad = elapsed
					}
				}
				latency = time.Duration(float64(latency) * rnd.ExpFloat64())
				controllers[i].RecordAttempt(key)
				controllers[i].RecordOutcome(key, failed, true, latency)
			}
		}
		if tick%ticksPerExchange == 0 {
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

// poisson returns a Poisson-distributed number with the given mean.
func poisson(rnd *rand.Rand, mean float64) int {
	n := 0
	for t := rnd.ExpFloat64(); t < mean; t += rnd.ExpFloat64() {
		n++
	}
	return n
}

// Guards against bad versions that are rolled out or receive more requests than
// TrialShare and TrialFloor allow, and against good versions that are rolled back or
// not rolled out in time.
func TestRolloutOutcomes(t *testing.T) {
	const seeds = 40
	for _, tc := range []struct {
		name              string
		requestsPerSecond float64
		oldFailureRate    float64
		fault             versionFault
		want              clcatalog.RolloutOutcome
		// minMatching is how many of the seeds must end with the wanted outcome.
		minMatching int
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
			matching := 0
			for seed := range uint64(seeds) {
				result := simulate(seed, 9, tc.requestsPerSecond, tc.oldFailureRate, tc.fault)
				if result.outcome == tc.want {
					matching++
				}
				require.LessOrEqual(t, float64(result.newVersionRequests), 0.1*float64(result.requests)+50, "seed %d: %d of %d requests at the new version", seed, result.newVersionRequests, result.requests)
				require.Zero(t, result.lateRequests, "seed %d", seed)
				if result.outcome == clcatalog.RolloutDone {
					require.Less(t, result.elapsed, rolloutDuration-500*time.Millisecond, "seed %d: finished too late for the operator to read it in time", seed)
				}
			}
			require.GreaterOrEqual(t, matching, tc.minMatching, "of %d seeds ended as %s", seeds, tc.want)
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
		intent := clcatalog.Rollout{Service: "s", Version: "v2", Within: rolloutDuration, Outcome: tc.outcome, OutcomeVersion: "v2"}
		ctl.SetIntents([]clcatalog.Rollout{intent}, false, now)
		for elapsed := time.Duration(0); elapsed < 2*rolloutDuration; elapsed += time.Second {
			decision := ctl.Decide(now.Add(elapsed))[0]
			require.Equal(t, tc.share, decision.Split.Share)
			require.Equal(t, tc.outcome, decision.Outcome)
		}
		intent.Version = "v3"
		ctl.SetIntents([]clcatalog.Rollout{intent}, false, now)
		require.Equal(t, clcatalog.RolloutRunning, ctl.Decide(now)[0].Outcome, "another version starts another rollout")
	}
}

// Guards against a rollout that starts again, or whose outcome changes, after operators
// have read its outcome: the store may return from an older copy without it.
func TestOutcomeStaysAfterStoreHasLostIt(t *testing.T) {
	start := time.Unix(1000, 0)
	intent := clcatalog.Rollout{Service: "s", Version: "v2", Within: rolloutDuration}
	seen := func(outcome clcatalog.RolloutOutcome) func(*Controller) {
		return func(ctl *Controller) {
			reported := intent
			reported.Outcome, reported.OutcomeVersion = outcome, "v2"
			ctl.SetIntents([]clcatalog.Rollout{reported}, false, start)
		}
	}
	markBad := func(ctl *Controller) { ctl.MarkBad("s", "v2") }
	markDone := func(ctl *Controller) {
		ctl.StoreReturned(start)
		ctl.MarkDone("s", "v2", rolloutDuration, start)
	}
	for _, tc := range []struct {
		name  string
		learn func(*Controller)
		want  clcatalog.RolloutOutcome
		// contradict is what another gateway tells later.
		contradict func(*Controller)
	}{
		{"done, read from the store", seen(clcatalog.RolloutDone), clcatalog.RolloutDone, markBad},
		{"done, reported by this gateway", func(ctl *Controller) { ctl.Settle(intent, clcatalog.RolloutDone) }, clcatalog.RolloutDone, markBad},
		{"done, told by another gateway", markDone, clcatalog.RolloutDone, markBad},
		{"rolled back, read from the store", seen(clcatalog.RolloutRolledBack), clcatalog.RolloutRolledBack, markDone},
		{"rolled back, reported by this gateway", func(ctl *Controller) { ctl.Settle(intent, clcatalog.RolloutRolledBack) }, clcatalog.RolloutRolledBack, markDone},
		{"rolled back, told by another gateway", markBad, clcatalog.RolloutRolledBack, markBad},
	} {
		t.Run(tc.name, func(t *testing.T) {
			for _, older := range []struct {
				name    string
				outcome clcatalog.RolloutOutcome
			}{{"none", ""}, {"running", clcatalog.RolloutRunning}} {
				ctl := &Controller{TrialShare: 0.1, TrialFloor: 50}
				ctl.SetIntents([]clcatalog.Rollout{intent}, true, start)
				tc.learn(ctl)
				returned := intent
				returned.Outcome, returned.OutcomeVersion = older.outcome, "v2"
				ctl.SetIntents([]clcatalog.Rollout{returned}, true, start.Add(time.Second))
				tc.contradict(ctl)
				for elapsed := time.Second; elapsed < 2*rolloutDuration; elapsed += time.Second {
					require.Equal(t, tc.want, ctl.Decide(start.Add(elapsed))[0].Outcome, "after %v, older copy: %s", elapsed, older.name)
				}
				returned.Within *= 2
				ctl.SetIntents([]clcatalog.Rollout{returned}, false, start)
				require.Equal(t, clcatalog.RolloutRunning, ctl.Decide(start)[0].Outcome, "another request")
			}
		})
	}
}

// Guards against a request that counts as completed without a trial because another
// gateway still tells of an earlier request for the same version.
func TestToldCompletionCountsOnlyAfterReturn(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, tc := range []struct {
		name     string
		returned bool
		toldAt   time.Duration
		want     clcatalog.RolloutOutcome
	}{
		{"no return", false, time.Second, clcatalog.RolloutRunning},
		{"after a return", true, returnDuration, clcatalog.RolloutDone},
		{"long after a return", true, returnDuration + time.Second, clcatalog.RolloutRunning},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ctl := &Controller{TrialShare: 0.1, TrialFloor: 50}
			if tc.returned {
				ctl.StoreReturned(start)
			}
			now := start.Add(tc.toldAt)
			ctl.SetIntents([]clcatalog.Rollout{{Service: "s", Version: "v2", Within: rolloutDuration}}, false, now)
			ctl.MarkDone("s", "v2", rolloutDuration, now)
			require.Equal(t, tc.want, ctl.Decide(now)[0].Outcome)
		})
	}
}

// Guards against a rollout that starts again because an older copy of the store lacked
// its request, or had an earlier one, until the operator had written it again.
func TestRolloutGoesOnWhenItsRequestIsBack(t *testing.T) {
	start := time.Unix(1000, 0)
	intent := clcatalog.Rollout{Service: "s", Version: "v2", Within: rolloutDuration}
	earlier := clcatalog.Rollout{Service: "s", Version: "v1", Within: time.Minute}
	for _, tc := range []struct {
		name string
		// copied is what the store has while the request is away, and complete says that
		// it is read as a complete copy.
		copied   []clcatalog.Rollout
		complete bool
		away     time.Duration
		back     clcatalog.Rollout
		goesOn   bool
	}{
		{"no request in the copy", nil, true, 3 * time.Second, intent, true},
		{"an earlier request in the copy", []clcatalog.Rollout{earlier}, true, 3 * time.Second, intent, true},
		{"not written again in time", nil, true, missingLifetime + time.Second, intent, false},
		{"removed by the operator", nil, false, 3 * time.Second, intent, false},
		{"another time allowed", nil, true, 3 * time.Second, clcatalog.Rollout{Service: "s", Version: "v2", Within: time.Minute}, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			ctl := &Controller{TrialShare: 0.1, TrialFloor: 50}
			ctl.SetIntents([]clcatalog.Rollout{intent}, true, start)
			for range 2 * minTrialAnswers {
				key := AttemptKey{Service: "s", Version: "v2", Route: "r"}
				ctl.RecordAttempt(key)
				ctl.RecordOutcome(key, false, true, time.Millisecond)
			}
			lost := start.Add(time.Second)
			ctl.SetIntents(tc.copied, tc.complete, lost)
			ctl.SetIntents([]clcatalog.Rollout{tc.back}, false, lost.Add(tc.away))
			decision := ctl.Decide(start.Add(rolloutDuration - finishMargin))[0]
			if tc.goesOn {
				require.Equal(t, clcatalog.RolloutDone, decision.Outcome, "in time, with the answers counted before")
				require.Equal(t, start, decision.StartedAt)
			} else {
				require.Equal(t, clcatalog.RolloutRunning, decision.Outcome)
				require.Equal(t, lost.Add(tc.away), decision.StartedAt)
			}
		})
	}
}
