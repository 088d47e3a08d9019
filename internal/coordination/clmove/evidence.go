// This file compares the new version of a service with the old one.

package clmove

import (
	"fmt"
	"math"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
)

type (
	// evidence holds the counts of the new version (candidate) and of the old
	// one since the rollout started, in total and by route.
	evidence struct {
		candidate, old AttemptCounts
		routes         map[string]*comparison
	}

	// comparison holds the counts of both versions over the same routes.
	comparison struct{ candidate, old AttemptCounts }
)

const (
	// minFailures is the number of failures below which a version is never
	// declared bad, because a good version can fail that often during an
	// unrelated incident.
	minFailures = 3
	// badLogLikelihoodRatio is the log-likelihood ratio above which a version
	// is declared bad. By Ville's inequality, a version as good as the old one
	// exceeds it at any time of its trial with probability at most exp(-7), per
	// route and per tested increase, if the old version's failure rate is well
	// known.
	badLogLikelihoodRatio = 7
	// minOldAnswers is the number of the old version's answers from which its
	// failure rate is estimated; with fewer, assumedFailureRate is used.
	minOldAnswers      = 20
	assumedFailureRate = 0.1
	// minLatencySamples is the number of samples that each version needs before
	// latencies are compared.
	minLatencySamples = 8
	// A version is declared bad if its mean latency exceeds the old version's
	// both maxLatencyRatio times and by maxLatencyIncrease. Different prompt
	// sizes alone can change the mean of few answers by half.
	maxLatencyRatio    = 2.2
	maxLatencyIncrease = 30 * time.Millisecond
)

// failureRateIncreases are the alternatives of the likelihood-ratio test: by how
// much the failure rate of a bad version exceeds the old version's.
var failureRateIncreases = [...]float64{0.15, 0.3, 0.5}

// gatherEvidence groups the counts beyond the baseline by version and route.
func gatherEvidence(in clcatalog.Rollout, total, baseline map[AttemptKey]AttemptCounts) evidence {
	e := evidence{routes: map[string]*comparison{}}
	for key, c := range total {
		if key.Service != in.Service {
			continue
		}
		c = c.subtract(baseline[key])
		route := e.routes[key.Route]
		if route == nil {
			route = &comparison{}
			e.routes[key.Route] = route
		}
		if key.Version == in.Version {
			route.candidate, e.candidate = route.candidate.add(c), e.candidate.add(c)
		} else {
			route.old, e.old = route.old.add(c), e.old.add(c)
		}
	}
	return e
}

// badReason returns why the new version is bad, or "" if it is not known to be.
func (e evidence) badReason() string {
	for route, c := range e.routes {
		if reason := c.badReason(); reason != "" {
			return "route " + route + ": " + reason
		}
	}
	all := comparison{e.candidate, e.old}
	// Latencies are compared only within a route, as routes differ in latency.
	all.candidate.LatencySamples = 0
	return all.badReason()
}

func (c comparison) badReason() string {
	if c.candidate.Failed >= minFailures && c.failureLogLikelihoodRatio() > badLogLikelihoodRatio {
		return fmt.Sprintf("%d of %d answers failed, compared with %d of %d at the old version", c.candidate.Failed, c.candidate.Answered, c.old.Failed, c.old.Answered)
	}
	if c.candidate.LatencySamples < minLatencySamples || c.old.LatencySamples < minLatencySamples {
		return ""
	}
	candidateMean, oldMean := c.candidate.LatencySum/time.Duration(c.candidate.LatencySamples), c.old.LatencySum/time.Duration(c.old.LatencySamples)
	if float64(candidateMean) > maxLatencyRatio*float64(oldMean) && candidateMean-oldMean > maxLatencyIncrease {
		return fmt.Sprintf("mean latency %s, compared with %s at the old version", candidateMean, oldMean)
	}
	return ""
}

// failureLogLikelihoodRatio returns the log-likelihood ratio of the new version
// failing more often than the old one, for the increase that fits best.
func (c comparison) failureLogLikelihoodRatio() float64 {
	oldRate := assumedFailureRate
	if c.old.Answered >= minOldAnswers {
		oldRate = (float64(c.old.Failed) + 0.5) / (float64(c.old.Answered) + 1)
	}
	failed, succeeded := float64(c.candidate.Failed), float64(c.candidate.Answered-c.candidate.Failed)
	best := math.Inf(-1)
	for _, increase := range failureRateIncreases {
		badRate := min(0.99, oldRate+increase)
		best = max(best, failed*math.Log(badRate/oldRate)+succeeded*math.Log((1-badRate)/(1-oldRate)))
	}
	return best
}
