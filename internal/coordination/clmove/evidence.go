// This file defines how a new version is compared with the old one.

package clmove

import (
	"fmt"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
)

type (
	// evidence is what is known of the new and the old version since the intent.
	evidence struct {
		fresh, old Counts
		routes     map[string]*pair
	}

	pair struct{ fresh, old Counts }
)

const (
	// leastFailures is the number of failures from which a version can be
	// called bad: fewer happen to a good one beside an incident.
	leastFailures = 4
	// failureExcess is how much larger the part of failures must be than the
	// old version's, besides twice that.
	failureExcess = 0.12
	// leastLatencies is the number of answers from which latencies are compared.
	leastLatencies = 8
	// latencyRatio and latencyExcess say how much slower a bad version is;
	// prompts of different sizes alone move a mean of few answers by half.
	latencyRatio  = 2.2
	latencyExcess = 30 * time.Millisecond
)

func evidenceOf(in clcatalog.Rollout, total, before map[Subject]Counts) evidence {
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
	all.fresh.Compared = 0
	return all.fault()
}

func (p pair) fault() string {
	fresh, old := part(p.fresh), part(p.old)
	if p.fresh.Failed >= leastFailures && fresh > 2*old+failureExcess {
		return fmt.Sprintf("%d of %d answers failed, and %d of %d of the old version", p.fresh.Failed, p.fresh.Answered, p.old.Failed, p.old.Answered)
	}
	if p.fresh.Compared < leastLatencies || p.old.Compared < leastLatencies {
		return ""
	}
	freshMean, oldMean := p.fresh.Latency/time.Duration(p.fresh.Compared), p.old.Latency/time.Duration(p.old.Compared)
	if float64(freshMean) > latencyRatio*float64(oldMean) && freshMean-oldMean > latencyExcess {
		return fmt.Sprintf("answers took %s, and %s at the old version", freshMean, oldMean)
	}
	return ""
}

func part(c Counts) float64 { return float64(c.Failed) / float64(max(1, c.Answered)) }
