// This file defines how a new version is compared with the old one.

package clmove

import (
	"fmt"
	"math"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
)

type (
	// evidence is what is known of the new and the old version since the intent.
	evidence struct {
		fresh, old AttemptCounts
		routes     map[string]*pair
	}

	pair struct{ fresh, old AttemptCounts }
)

const (
	// leastFailures is the number of failures from which a version can be
	// called bad: fewer happen to a good one beside an incident.
	leastFailures = 3
	// badEvidence is the log likelihood ratio from which a version is called
	// bad. By Ville's inequality a version equal to the old one exceeds it at
	// any time of its trial with a probability of at most exp(-7), on each
	// route and for each excess, if the old version's failures are known well.
	badEvidence = 7
	// leastOld is the number of the old version's answers from which its part
	// of failures is taken as known; below, unknownFailures is assumed.
	leastOld        = 20
	unknownFailures = 0.1
	// leastLatencies is the number of answers from which latencies are compared.
	leastLatencies = 8
	// latencyRatio and latencyExcess say how much slower a bad version is;
	// prompts of different sizes alone move a mean of few answers by half.
	latencyRatio  = 2.2
	latencyExcess = 30 * time.Millisecond
)

// excesses are by how much more often a bad version fails than the old one;
// the test looks for each of them.
var excesses = [...]float64{0.15, 0.3, 0.5}

func evidenceOf(in clcatalog.Rollout, total, before map[AttemptKey]AttemptCounts) evidence {
	e := evidence{routes: map[string]*pair{}}
	for s, c := range total {
		if s.Service != in.Service {
			continue
		}
		c = c.since(before[s])
		p := e.routes[s.Route]
		if p == nil {
			p = &pair{}
			e.routes[s.Route] = p
		}
		if s.Version == in.Version {
			p.fresh, e.fresh = p.fresh.plus(c), e.fresh.plus(c)
		} else {
			p.old, e.old = p.old.plus(c), e.old.plus(c)
		}
	}
	return e
}

// fault returns why the new version is bad, or "".
func (e evidence) fault() string {
	for route, p := range e.routes {
		if why := p.fault(); why != "" {
			return "route " + route + ": " + why
		}
	}
	all := pair{e.fresh, e.old}
	// Latencies of different routes differ by themselves.
	all.fresh.LatencySamples = 0
	return all.fault()
}

func (p pair) fault() string {
	if p.fresh.Failed >= leastFailures && p.failureEvidence() > badEvidence {
		return fmt.Sprintf("%d of %d answers failed, and %d of %d of the old version", p.fresh.Failed, p.fresh.Answered, p.old.Failed, p.old.Answered)
	}
	if p.fresh.LatencySamples < leastLatencies || p.old.LatencySamples < leastLatencies {
		return ""
	}
	freshMean, oldMean := p.fresh.LatencySum/time.Duration(p.fresh.LatencySamples), p.old.LatencySum/time.Duration(p.old.LatencySamples)
	if float64(freshMean) > latencyRatio*float64(oldMean) && freshMean-oldMean > latencyExcess {
		return fmt.Sprintf("answers took %s, and %s at the old version", freshMean, oldMean)
	}
	return ""
}

// failureEvidence returns the log likelihood ratio of the new version failing
// more often than the old one, for the excess that fits best.
func (p pair) failureEvidence() float64 {
	old := unknownFailures
	if p.old.Answered >= leastOld {
		old = (float64(p.old.Failed) + 0.5) / (float64(p.old.Answered) + 1)
	}
	failed, good := float64(p.fresh.Failed), float64(p.fresh.Answered-p.fresh.Failed)
	best := math.Inf(-1)
	for _, excess := range excesses {
		bad := min(0.99, old+excess)
		best = max(best, failed*math.Log(bad/old)+good*math.Log((1-bad)/(1-old)))
	}
	return best
}
