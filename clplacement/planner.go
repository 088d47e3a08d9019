// This file defines the planner: what it is told and what it decides.

package clplacement

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"
)

type (
	// Offer is what the cloud sells; the price is per hour.
	Offer struct {
		OfferKey
		PricePerHour float64
	}

	// OfferKey names an offer.
	OfferKey struct {
		DataCentre, Class string
		Reclaimable       bool
	}

	// Target is the capacity that one version of a service needs.
	Target struct {
		Service, Version string
		// Needed instances must remain when any one data centre is gone.
		Needed int
		// Classes and DataCentres are those allowed; leave out data centres that operators took out.
		Classes, DataCentres []string
		// OnDemandShare of Needed is bought on demand, as a floor under waves of reclaims.
		OnDemandShare float64
	}

	// Instance is one entry of the platform's list of instances, which lags.
	Instance struct {
		OfferKey
		ID               string
		Service, Version string
		// Serving says that it takes traffic; Leaving that it will be taken away.
		Serving, Leaving bool
	}

	// Start asks for a new instance.
	Start struct {
		// Number identifies the start to StartAnswered and StartRefused.
		Number           uint64
		Offer            OfferKey
		Service, Version string
		Reason           string
	}

	// Stop ends an instance that the target does not need.
	Stop struct {
		InstanceID, Reason string
	}

	// Plan is the outcome of Planner.Plan.
	Plan struct {
		Starts []Start
		Stops  []Stop
	}

	// Config holds the settings of a Planner; zero durations mean the defaults.
	Config struct {
		// Rand spreads retries and must not be shared; required.
		Rand *rand.Rand
		// PendingTimeout is how long a start whose answer was lost may still
		// appear in the list; default 5 min. It must exceed the list's lag.
		PendingTimeout time.Duration
		// MinBackoff (default 30 s) doubles with each refusal of an offer up to MaxBackoff (default 30 min).
		MinBackoff, MaxBackoff time.Duration
	}

	// Planner decides starts and stops.
	Planner struct {
		cfg     Config
		number  uint64
		pending []pending
		seen    map[string]bool
		refused map[OfferKey]*backoff
	}

	// pending is a start that has not appeared in the list.
	pending struct {
		Start
		at time.Time
		// id is empty until the answer arrives.
		id string
	}

	backoff struct {
		wait  time.Duration
		until time.Time
	}
)

// New returns a planner.
func New(cfg Config) *Planner {
	cfg.PendingTimeout = cmp.Or(cfg.PendingTimeout, 5*time.Minute)
	cfg.MinBackoff = cmp.Or(cfg.MinBackoff, 30*time.Second)
	cfg.MaxBackoff = cmp.Or(cfg.MaxBackoff, 30*time.Minute)
	return &Planner{cfg: cfg, seen: make(map[string]bool), refused: make(map[OfferKey]*backoff)}
}

// StartAnswered says that the start succeeded.
func (p *Planner) StartAnswered(number uint64, instanceID string) {
	for i := range p.pending {
		if p.pending[i].Number == number {
			p.pending[i].id = instanceID
			delete(p.refused, p.pending[i].Offer)
		}
	}
}

// StartRefused says that the platform had no capacity: the offer is left alone
// for a time that doubles with each refusal. A start whose answer was lost is
// not reported; it counts until it appears or PendingTimeout has passed.
func (p *Planner) StartRefused(now time.Time, number uint64) {
	i := slices.IndexFunc(p.pending, func(s pending) bool { return s.Number == number })
	if i < 0 {
		return
	}
	offer := p.pending[i].Offer
	p.pending = slices.Delete(p.pending, i, i+1)
	b := p.refused[offer]
	if b == nil {
		b = &backoff{wait: p.cfg.MinBackoff / 2}
		p.refused[offer] = b
	}
	// Refusals of one plan's starts count once.
	if now.Before(b.until) {
		return
	}
	b.wait = min(2*b.wait, p.cfg.MaxBackoff)
	// Half to whole of the wait: the retries of several services don't coincide.
	b.until = now.Add(b.wait/2 + time.Duration(p.cfg.Rand.Int64N(int64(b.wait/2)+1)))
}

// Plan decides what to start and to stop. It counts its starts as made: the
// caller carries out each of them or reports it refused.
func (p *Planner) Plan(now time.Time, offers []Offer, instances []Instance, targets []Target) Plan {
	p.reconcile(now, instances)
	var plan Plan
	for _, t := range targets {
		p.planTarget(now, offers, instances, t, &plan)
	}
	return plan
}

// reconcile drops pending starts that have appeared or timed out.
func (p *Planner) reconcile(now time.Time, instances []Instance) {
	ids := lo.KeyBy(instances, func(i Instance) string { return i.ID })
	awaited := lo.SliceToMap(p.pending, func(s pending) (string, bool) { return s.id, true })
	p.pending = slices.DeleteFunc(p.pending, func(s pending) bool {
		_, listed := ids[s.id]
		return listed || now.Sub(s.at) >= p.cfg.PendingTimeout
	})
	for _, in := range instances {
		if p.seen[in.ID] || awaited[in.ID] {
			continue
		}
		// An instance that nobody announced is a start whose answer was lost.
		if i := slices.IndexFunc(p.pending, func(s pending) bool {
			return s.id == "" && s.Offer == in.OfferKey && s.Service == in.Service && s.Version == in.Version
		}); i >= 0 {
			p.pending = slices.Delete(p.pending, i, i+1)
			delete(p.refused, in.OfferKey)
		}
	}
	p.seen = lo.MapValues(ids, func(Instance, string) bool { return true })
}

// planTarget plans one version of a service.
func (p *Planner) planTarget(now time.Time, offers []Offer, instances []Instance, t Target, plan *Plan) {
	var mine []Instance
	have := make(map[OfferKey]int)
	for _, in := range instances {
		if in.Service == t.Service && in.Version == t.Version && !in.Leaving {
			mine = append(mine, in)
			have[in.OfferKey]++
		}
	}
	for _, s := range p.pending {
		if s.Service == t.Service && s.Version == t.Version {
			have[s.Offer]++
		}
	}
	var sure, hoped []source
	for _, o := range offers {
		if !lo.Contains(t.Classes, o.Class) || !lo.Contains(t.DataCentres, o.DataCentre) {
			continue
		}
		s, h := source{o, unlimited}, source{o, unlimited}
		if b := p.refused[o.OfferKey]; b != nil {
			// What was refused is not counted on before a start succeeds: otherwise
			// each retry moves the on-demand floor away and the refusal back.
			s.limit = have[o.OfferKey]
			if now.Before(b.until) || p.awaits(o.OfferKey) {
				h.limit = s.limit
			}
		}
		sure, hoped = append(sure, s), append(hoped, h)
	}
	ideal := allocate(sure, t)
	p.start(now, sure, ideal, have, t, plan)
	p.retry(now, hoped, have, t, plan)
	plan.Stops = append(plan.Stops, surplus(offers, mine, ideal, t)...)
}

// start starts what the ideal lacks.
func (p *Planner) start(now time.Time, sources []source, ideal, have map[OfferKey]int, t Target, plan *Plan) {
	for _, s := range sources {
		for range ideal[s.OfferKey] - have[s.OfferKey] {
			p.order(now, s.OfferKey, t, fmt.Sprintf("%d of %d planned here", have[s.OfferKey], ideal[s.OfferKey]), plan)
		}
	}
}

// retry starts one instance of each offer whose backoff is over and that the
// plan would use if it were no longer refused.
func (p *Planner) retry(now time.Time, hoped []source, have map[OfferKey]int, t Target, plan *Plan) {
	if !slices.ContainsFunc(hoped, func(s source) bool { return p.refused[s.OfferKey] != nil && s.limit == unlimited }) {
		return
	}
	ideal := allocate(hoped, t)
	for _, s := range hoped {
		if p.refused[s.OfferKey] != nil && ideal[s.OfferKey] > have[s.OfferKey] {
			p.order(now, s.OfferKey, t, "the offer was refused and is tried again", plan)
		}
	}
}

// order adds a start to the plan.
func (p *Planner) order(now time.Time, offer OfferKey, t Target, reason string, plan *Plan) {
	p.number++
	s := Start{Number: p.number, Offer: offer, Service: t.Service, Version: t.Version, Reason: reason}
	p.pending = append(p.pending, pending{Start: s, at: now})
	plan.Starts = append(plan.Starts, s)
}

// awaits reports whether a start of the offer has not appeared yet.
func (p *Planner) awaits(offer OfferKey) bool {
	return slices.ContainsFunc(p.pending, func(s pending) bool { return s.Offer == offer })
}

// surplus returns stops of instances beyond the ideal, the dearest first,
// without which the serving ones still meet the target.
func surplus(offers []Offer, mine []Instance, ideal map[OfferKey]int, t Target) []Stop {
	price := lo.SliceToMap(offers, func(o Offer) (OfferKey, float64) { return o.OfferKey, o.PricePerHour })
	slices.SortStableFunc(mine, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(price[b.OfferKey], price[a.OfferKey]), cmp.Compare(a.ID, b.ID))
	})
	count := lo.CountValuesBy(mine, func(i Instance) OfferKey { return i.OfferKey })
	serving := lo.CountValuesBy(lo.Filter(mine, func(i Instance, _ int) bool { return i.Serving }),
		func(i Instance) OfferKey { return i.OfferKey })
	var stops []Stop
	for _, in := range mine {
		if count[in.OfferKey] <= ideal[in.OfferKey] || !in.Serving {
			continue
		}
		serving[in.OfferKey]--
		if !Survives(serving, t) {
			serving[in.OfferKey]++
			continue
		}
		count[in.OfferKey]--
		stops = append(stops, Stop{in.ID, "the target is met without it with any one data centre gone"})
	}
	return stops
}
