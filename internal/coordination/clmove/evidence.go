// This file contains the comparison of a service's new version with the old one.

package clmove

import (
	"fmt"
	"math"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
)

type (
	// evidence holds the counts of the new version and of the old one since the
	// rollout started, in total and by route. The counts of several old versions
	// are added up.
	evidence struct {
		newVersion, oldVersion AttemptCounts
		routes                 map[string]*comparison
	}

	// comparison holds the counts of the new and of the old version on one route or
	// on all routes.
	comparison struct{ newVersion, oldVersion AttemptCounts }
)

const (
	// minFailures is the number of failures below which a version is never
	// declared bad because of failures, as a good version can fail that often
	// during an unrelated incident.
	minFailures = 3
	// maxLogLikelihoodRatio is the log-likelihood ratio above which a version
	// is declared bad. By Ville's inequality, the ratio of a version that fails no
	// more often than the old one exceeds it at any time of the trial with
	// probability at most exp(-7), per route and per tested increase, if the old
	// version's failure rate is well known.
	maxLogLikelihoodRatio = 7
	// minOldAnswers is the number of the old version's answers that are needed to
	// estimate its failure rate; with fewer, it is taken to be assumedFailureRate.
	minOldAnswers      = 20
	assumedFailureRate = 0.1
	// minLatencySamples is the number of latencies that each version needs on a
	// route before their means are compared.
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

// gatherEvidence returns the evidence on the intent's service: by how much the total
// counts exceed the baseline.
func gatherEvidence(intent clcatalog.Rollout, total, baseline map[AttemptKey]AttemptCounts) evidence {
	e := evidence{routes: map[string]*comparison{}}
	for key, c := range total {
		if key.Service != intent.Service {
			continue
		}
		c = c.subtract(baseline[key])
		route := e.routes[key.Route]
		if route == nil {
			route = &comparison{}
			e.routes[key.Route] = route
		}
		if key.Version == intent.Version {
			route.newVersion, e.newVersion = route.newVersion.add(c), e.newVersion.add(c)
		} else {
			route.oldVersion, e.oldVersion = route.oldVersion.add(c), e.oldVersion.add(c)
		}
	}
	return e
}

// badReason returns why the new version is bad on a route or on all routes together,
// or "" if it is not found to be bad.
func (e evidence) badReason() string {
	for route, c := range e.routes {
		if reason := c.badReason(); reason != "" {
			return "route " + route + ": " + reason
		}
	}
	all := comparison{e.newVersion, e.oldVersion}
	// Latencies are compared only within a route, as routes differ in latency.
	all.newVersion.LatencySamples = 0
	return all.badReason()
}

// badReason returns why the new version is bad according to the compared counts, or
// "" if it is not found to be bad.
func (c comparison) badReason() string {
	if c.newVersion.Failed >= minFailures && c.failureLogLikelihoodRatio() > maxLogLikelihoodRatio {
		return fmt.Sprintf("%d of %d answers failed, compared with %d of %d at the old version", c.newVersion.Failed, c.newVersion.Answered, c.oldVersion.Failed, c.oldVersion.Answered)
	}
	if c.newVersion.LatencySamples < minLatencySamples || c.oldVersion.LatencySamples < minLatencySamples {
		return ""
	}
	newMean, oldMean := c.newVersion.LatencySum/time.Duration(c.newVersion.LatencySamples), c.oldVersion.LatencySum/time.Duration(c.oldVersion.LatencySamples)
	if float64(newMean) > maxLatencyRatio*float64(oldMean) && newMean-oldMean > maxLatencyIncrease {
		return fmt.Sprintf("mean latency %s, compared with %s at the old version", newMean, oldMean)
	}
	return ""
}

// failureLogLikelihoodRatio returns the log-likelihood ratio between two hypotheses:
// that the new version fails more often than the old one, by the increase that fits
// best, and that it fails as often.
func (c comparison) failureLogLikelihoodRatio() float64 {
	oldRate := assumedFailureRate
	if c.oldVersion.Answered >= minOldAnswers {
		oldRate = (float64(c.oldVersion.Failed) + 0.5) / (float64(c.oldVersion.Answered) + 1)
	}
	failed, succeeded := float64(c.newVersion.Failed), float64(c.newVersion.Answered-c.newVersion.Failed)
	best := math.Inf(-1)
	for _, increase := range failureRateIncreases {
		badRate := min(0.99, oldRate+increase)
		best = max(best, failed*math.Log(badRate/oldRate)+succeeded*math.Log((1-badRate)/(1-oldRate)))
	}
	return best
}
