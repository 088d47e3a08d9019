// This file defines the rollout with its steps and deadline.

package clrollout

import (
	"fmt"
	"math"
	"time"

	"github.com/samber/lo"
)

type (
	// Verdict is what the evidence says of the new version.
	Verdict string

	// Action is what the caller has to do.
	Action string

	// Config describes a rollout.
	Config struct {
		Service string
		// From and To are the old and the new version.
		From, To string
		Start    time.Time
		// Deadline is when the rollout must be done or undone.
		Deadline time.Time
		// SharePermille is the new version's current share in thousandths. A
		// process that takes a rollout over sets it; it then collects evidence
		// anew before the share rises further.
		SharePermille uint32
		// MinDwell is the least time that each step lasts; 0 means 2 minutes.
		MinDwell time.Duration
		// RollBackMargin is how long before the deadline a roll-back starts; 0 means 1 minute.
		RollBackMargin time.Duration
	}

	// Decision is the outcome of Rollout.Decide.
	Decision struct {
		Action  Action
		Verdict Verdict
		// SharePermille is the share that the new version shall have. The caller
		// sets it whenever it differs from the share in force.
		SharePermille uint32
		// Finding is set with the verdict Bad.
		Finding Finding
		// Reason is a short sentence for operators.
		Reason string
	}

	// Rollout evaluates the evidence of all processes.
	Rollout struct {
		cfg       Config
		eval      evaluator
		step      int
		stepSince time.Time
		dwell     time.Duration
		received  Receiver
		// patience is how long the step waits for evidence of each route; then
		// that of all routes together suffices.
		patience time.Duration
		final    *Decision
	}

	// pool sums the evidence of several routes that the new version is not worse
	// than the old one on the same route.
	pool struct{ oldN, newN, logRatio float64 }

	// Local evaluates the evidence of one process, which may stop sending
	// requests to the new version before the sum of all processes shows a fault.
	Local struct {
		eval    evaluator
		finding *Finding
	}
)

// Verdicts.
const (
	Undecided Verdict = "undecided"
	Good      Verdict = "good"
	Bad       Verdict = "bad"
)

// Actions.
const (
	// Hold waits at Decision.SharePermille.
	Hold Action = "hold"
	// Raise sets the share to Decision.SharePermille; report ShareApplied when
	// it is in force. Until then Decide repeats it.
	Raise Action = "raise"
	// Finish ends the rollout: the new version is the active one.
	Finish Action = "finish"
	// Suspend takes all traffic from the new version at once.
	Suspend Action = "suspend"
	// RollBack returns all traffic to the old version, because the deadline
	// nears without a verdict.
	RollBack Action = "roll_back"
)

const (
	// FalseBadRate bounds how often a version equal to the old one is called bad.
	FalseBadRate = 0.005
	// LocalFalseBadRate bounds the same for one process; 390 of them add 0.4%.
	LocalFalseBadRate = 1e-5
	// MissedBadRate is how often a version that is worse by the design effect
	// may pass a step.
	MissedBadRate = 0.05
	// RouteMissedBadRate is the same for a single route at the end of a rollout
	// whose deadline leaves no time for MinRequests on it: 23 requests without a
	// failure suffice instead of 98.
	RouteMissedBadRate = 0.5
	// MinRequests of the new version are needed to pass a step, on each route
	// while the deadline leaves time for it, and on all routes together.
	MinRequests = 150
	// ampleRequests of the new version let nearly every good version pass a
	// step. In two hours they need 1.9 requests a second: of good versions 94.5%
	// finished at 1.5 a second (BenchmarkRates) and 98.5% at 2 (TestPolicies).
	ampleRequests = 500
	// Routes with less than majorRouteShare of the requests are judged good
	// together in each step, if they have that share together, because they
	// would else hold the share at 5% for hours. Before the end each with at least minorRouteShare must be good on
	// the sum of all steps. Every route is tested for bad alone.
	majorRouteShare = 0.15
	minorRouteShare = 0.02

	minDwell = 2 * time.Minute
	// maxDwell is long enough for faults that show after some minutes.
	maxDwell = 10 * time.Minute
	// A roll-back starts this long before the deadline, for the update of the
	// configuration (9 s) and one repetition of it.
	rollBackMargin = time.Minute
	// ShortestRollout is the least time from start to deadline in which a
	// rollout with the default times can finish.
	ShortestRollout = time.Duration(len(Steps))*minDwell + rollBackMargin

	evaluatePeriod = 5 * time.Second
	localPeriod    = time.Second
)

// Steps are the new version's traffic shares in thousandths.
var Steps = [...]uint32{50, 250, 500, 1000}

// New returns a rollout at the step of the configured share, without evidence.
// It steps back from a share of 1000 to 500, because a process that takes the
// rollout over has no figures of the old version to compare with.
func New(cfg Config, now time.Time) *Rollout {
	cfg = cfg.withDefaults()
	r := &Rollout{cfg: cfg, eval: newEvaluator(cfg, FalseBadRate, evaluatePeriod)}
	step := 0
	for step+2 < len(Steps) && Steps[step+1] <= cfg.SharePermille {
		step++
	}
	r.enter(now, step)
	return r
}

// Shortest returns the least time from start to deadline in which a rollout
// with the configured times can finish.
func (c Config) Shortest() time.Duration {
	c = c.withDefaults()
	return time.Duration(len(Steps))*c.MinDwell + c.RollBackMargin
}

// LowestRate returns the requests a second that a service needs for a move in
// the given time. At a lower rate a good version may be taken back because the
// evidence does not suffice to judge it.
func (c Config) LowestRate(window time.Duration) float64 {
	usable := (window - c.withDefaults().RollBackMargin).Seconds()
	if usable <= 0 {
		return math.Inf(1)
	}
	return lo.SumBy(Steps[:], func(share uint32) float64 { return ampleRequests * 1000 / float64(share) }) / usable
}

func (c Config) withDefaults() Config {
	if c.MinDwell == 0 {
		c.MinDwell = minDwell
	}
	if c.RollBackMargin == 0 {
		c.RollBackMargin = rollBackMargin
	}
	return c
}

// newEvaluator returns an evaluator of the rollout's versions.
func newEvaluator(cfg Config, falseBadRate float64, period time.Duration) evaluator {
	return evaluator{
		service: cfg.Service, from: cfg.From, to: cfg.To, falseBadRate: falseBadRate, foldPeriod: period,
		onsets: int(cfg.Deadline.Sub(cfg.Start)/(onsetPeriod*time.Second)) + 1,
	}
}

// Report takes a batch of evidence from a process (an ID unique for each start
// of it). It reports false for a batch that was counted before.
func (r *Rollout) Report(from string, sequence uint64, batch []Evidence) bool {
	if counted := r.received.Receive([]Part{{ReporterKey(from), sequence}}); len(counted) > 0 {
		return false
	}
	r.Add(batch)
	return true
}

// Add takes evidence that the caller counts once, by a Receiver of its own.
func (r *Rollout) Add(batch []Evidence) {
	for _, e := range batch {
		r.eval.add(e)
	}
}

// ShareApplied says that the new version's share has been set. Evidence for
// the next step counts from here on.
func (r *Rollout) ShareApplied(now time.Time, permille uint32) {
	if i := lo.IndexOf(Steps[:], permille); i >= 0 && i != r.step {
		r.eval.setShare(now, permille)
		r.enter(now, i)
	}
}

// enter starts a step. The time left is divided among the steps left.
func (r *Rollout) enter(now time.Time, step int) {
	r.step, r.stepSince = step, now
	r.patience = r.cutoff().Sub(now) / time.Duration(2*(len(Steps)-step))
	r.dwell = min(max(r.patience, r.cfg.MinDwell), max(maxDwell, r.cfg.MinDwell))
}

// cutoff is when an unfinished rollout is rolled back.
func (r *Rollout) cutoff() time.Time { return r.cfg.Deadline.Add(-r.cfg.RollBackMargin) }

// Decide returns what to do now. After Finish, Suspend or RollBack it repeats
// that decision.
func (r *Rollout) Decide(now time.Time) Decision {
	if r.final != nil {
		return *r.final
	}
	r.eval.fold(now)
	share := Steps[r.step]
	if f, bad := r.eval.bad(); bad {
		return r.end(Decision{
			Action: Suspend, Verdict: Bad, Finding: f,
			Reason: fmt.Sprintf("%s is worse than %s on route %q: %s", r.cfg.To, r.cfg.From, f.Route, f.Metric),
		})
	}
	verdict, why := r.judge(now)
	last := r.step == len(Steps)-1
	switch {
	case verdict == Good && !now.Before(r.stepSince.Add(r.dwell)) && last && now.Before(r.cutoff()):
		return r.end(Decision{Action: Finish, Verdict: Good, SharePermille: share, Reason: "every step is good"})
	case !now.Add(r.shortest(now)).Before(r.cutoff()):
		return r.end(Decision{
			Action: RollBack, Verdict: Undecided, Reason: "the deadline nears: " + why,
		})
	case verdict == Good && !now.Before(r.stepSince.Add(r.dwell)):
		return Decision{Action: Raise, Verdict: Good, SharePermille: Steps[r.step+1], Reason: why}
	}
	return Decision{Action: Hold, Verdict: verdict, SharePermille: share, Reason: why}
}

// shortest is the least time that the steps left still take.
func (r *Rollout) shortest(now time.Time) time.Duration {
	here := max(0, r.cfg.MinDwell-now.Sub(r.stepSince))
	return here + time.Duration(len(Steps)-1-r.step)*r.cfg.MinDwell
}

// end makes the decision final.
func (r *Rollout) end(d Decision) Decision {
	r.final = &d
	return d
}

// judge returns whether the current step is good on every metric: on all
// routes together and, while the deadline leaves time for it, on each route.
func (r *Rollout) judge(now time.Time) (Verdict, string) {
	var total float64
	for _, rt := range r.eval.order {
		total += rt.requests()
	}
	if total == 0 {
		return Undecided, "there is no evidence yet"
	}
	patient := now.Before(r.stepSince.Add(r.patience))
	var all, minor [len(metrics)]pool
	minorTotal := 0.0
	for _, rt := range r.eval.order {
		share := rt.requests() / total
		if share < majorRouteShare {
			minorTotal += rt.requests()
		}
		for j, t := range rt.tests {
			c := t.comparable(r.eval.full, j)
			all[j].add(c, effects[j])
			why := ""
			if share < majorRouteShare {
				minor[j].add(c, effects[j])
			} else if patient {
				why = poolOf(c, effects[j]).notGood(j)
			}
			if why == "" && r.eval.full && share >= minorRouteShare {
				p := poolOf(t.total, effects[j])
				if metrics[j] == Latency {
					// Latencies of the last step, whose load may differ, are compared with
					// the reference only.
					p = poolOf(t.paired, effects[j])
					p.add(c, effects[j])
				}
				if patient {
					why = p.notGood(j)
				} else {
					why = p.notShown(j, RouteMissedBadRate)
				}
			}
			if why != "" {
				return Undecided, fmt.Sprintf("route %q: %s", rt.name, why)
			}
		}
	}
	for j := range metrics {
		if why := minor[j].notGood(j); patient && minorTotal >= majorRouteShare*total && why != "" {
			return Undecided, "minor routes: " + why
		}
		if why := all[j].notGood(j); why != "" {
			return Undecided, "all routes: " + why
		}
	}
	return Good, "the step is good"
}

// requests returns the requests of both versions in the current step.
func (r *route) requests() float64 { return r.tests[0].step.newN + r.tests[0].step.oldN }

// comparable returns the step's sums; without old traffic, those of the
// former step stand in for the old version.
func (t *test) comparable(full bool, metric int) cell {
	c := t.step
	if full {
		c.oldN = t.reference.oldN
		c.oldEvents = c.oldN * t.reference.drifted(drifts[metric])
	}
	return c
}

// add takes a route's cell, unless the old version had too few requests there
// to place its rate.
func (p *pool) add(c cell, effect float64) {
	if c.oldN < minHistory {
		return
	}
	p.oldN, p.newN = p.oldN+c.oldN, p.newN+c.newN
	p.logRatio += c.logNotWorse(effect)
}

func poolOf(c cell, effect float64) pool {
	var p pool
	p.add(c, effect)
	return p
}

// notGood says what the routes lack to be called good on a metric, or "".
func (p pool) notGood(metric int) string {
	switch {
	case p.newN < MinRequests:
		return fmt.Sprintf("%.0f of %d requests needed on the new version", p.newN, MinRequests)
	case p.oldN < MinRequests:
		return fmt.Sprintf("%.0f of %d requests needed on the old version", p.oldN, MinRequests)
	}
	return p.notShown(metric, MissedBadRate)
}

// notShown says that a worse version would look like this in more than the
// given part of rollouts, or "".
func (p pool) notShown(metric int, missedBadRate float64) string {
	if p.logRatio < -math.Log(missedBadRate) {
		return fmt.Sprintf("%s are not yet shown to be as low as before", metrics[metric])
	}
	return ""
}

// NewLocal returns the evaluation of one process's own evidence.
func NewLocal(cfg Config) *Local {
	return &Local{eval: newEvaluator(cfg, LocalFalseBadRate, localPeriod)}
}

// Add takes the process's own evidence, each batch once.
func (l *Local) Add(batch []Evidence) {
	for _, e := range batch {
		l.eval.add(e)
	}
}

// ShareApplied says that the new version's share has been set.
func (l *Local) ShareApplied(now time.Time, permille uint32) { l.eval.setShare(now, permille) }

// Suspended reports whether the process shall send no more requests to the new
// version. It stays true.
func (l *Local) Suspended(now time.Time) (Finding, bool) {
	if l.finding == nil {
		l.eval.fold(now)
		if f, bad := l.eval.bad(); bad {
			l.finding = &f
		}
	}
	if l.finding == nil {
		return Finding{}, false
	}
	return *l.finding, true
}
