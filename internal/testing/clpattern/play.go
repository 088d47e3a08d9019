// This file defines how a pattern is played.

package clpattern

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/coordination/clgossip"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/chestnutlead/chestnutlead/internal/routing/clfleet"
)

type (
	// Policy chooses the endpoints.
	Policy string

	// Outcome is what a policy has made of a pattern.
	Outcome struct {
		Requests int
		// OnTime, Late and Refused are parts of the requests.
		OnTime, Late, Refused float64
		// LargeOnTime is the part of the large requests that were on time.
		LargeOnTime float64
		// LastOnTime is the part of those in the last third of the time.
		LastOnTime float64
		// Read is the number of prompt tokens read for a request, and SharedRead
		// how many of them belong to parts that requests share.
		Read, SharedRead float64
		// P50 and P95 are times to the first token of those that began.
		P50, P95 time.Duration
		// Pause is how long the reading of other prompts has held up the stream of a
		// request, on average.
		Pause time.Duration
		// Preempted is how often a request had to give way for lack of memory, on
		// average.
		Preempted float64
	}

	// play is a pattern in progress.
	play struct {
		pattern Pattern
		policy  Policy
		rnd     *rand.Rand
		engines []*engine
		byID    map[string]*engine
		fleets  []*clfleet.Fleet
		next    int
		outcome Outcome
		waits   []time.Duration
		paused  time.Duration
		ended   int
		large   [2]int
		last    [2]int
		start   time.Time
	}
)

// Policies that are compared.
const (
	// Fleet is the gateways' own choice.
	Fleet Policy = "fleet"
	// Stated is the gateways' own choice with what the endpoints state of their load.
	Stated Policy = "stated"
	// CostAware is Stated with the choice by the likely cost of requests.
	CostAware Policy = "cost_aware"
	// Random and RoundRobin know nothing of the endpoints.
	Random     Policy = "random"
	RoundRobin Policy = "round_robin"
)

const (
	service = "llm"
	// tick is the resolution of the virtual time.
	tick = 5 * time.Millisecond
	// target is the time to the first token that callers count as on time.
	target = time.Second
	// playFor is the length of a play.
	playFor = 24 * time.Second
	// patience is how long a request is awaited.
	patience = 15 * time.Second
)

// Play plays a pattern with a policy; the same seed draws the same requests.
func Play(p Pattern, policy Policy, seed uint64) Outcome {
	w := &play{
		pattern: p, policy: policy, rnd: rand.New(rand.NewPCG(seed, 3)), byID: map[string]*engine{}, start: time.Unix(1000, 0),
	}
	w.build(seed)
	interval := p.digestInterval()
	// paces draws apart from rnd, so that even and uneven plays have the same requests.
	paces := rand.New(rand.NewPCG(seed, 5))
	owed := 0.0
	for now := w.start; now.Sub(w.start) < playFor; now = now.Add(tick) {
		if p.Uneven && now.Sub(w.start)%pacePeriod == 0 {
			w.drawPaces(paces)
		}
		for owed += p.Rate(now.Sub(w.start)) * tick.Seconds(); owed >= 1; owed-- {
			w.arrive(now)
		}
		for _, e := range w.engines {
			e.step(now, tick)
		}
		w.exchange(now, interval)
	}
	return w.result()
}

// digestInterval returns the interval between two digests of a gateway.
func (p Pattern) digestInterval() time.Duration {
	return cmp.Or(p.DigestInterval, clgossip.DigestInterval(p.Gateways))
}

// drawPaces draws which endpoints are slow from now on.
func (w *play) drawPaces(rnd *rand.Rand) {
	for _, e := range w.engines {
		if e.pace = 1; rnd.Float64() < slowShare {
			e.pace = slowPace
		}
	}
}

func (w *play) build(seed uint64) {
	slots := cmp.Or(w.pattern.Slots, slotsPerEngine)
	config := clcatalog.Service{Name: service, MaxConns: 570, Engine: &clcatalog.Engine{Slots: slots, CacheTokens: w.pattern.Memory}}
	if w.pattern.Plain {
		config.Engine = nil
	}
	catalog := &clcatalog.Catalog{Services: []clcatalog.Service{config}}
	catalog.BuildIndexes()
	names := make([]string, w.pattern.Gateways)
	for i := range names {
		names[i] = fmt.Sprint("gateway-", i)
	}
	for i := range w.pattern.Engines {
		e := newEngine(fmt.Sprint("engine-", i), slots)
		e.memory = float64(w.pattern.Memory)
		if e.memory > 0 {
			e.cache.capacity = w.pattern.Memory
		}
		e.plain, e.quadratic = w.pattern.Plain, w.pattern.Quadratic
		w.engines = append(w.engines, e)
		w.byID[e.id] = e
	}
	for i, name := range names {
		f := &clfleet.Fleet{DataCentre: w.dataCentre(i), Rand: rand.New(rand.NewPCG(seed, uint64(i)))}
		if w.policy == CostAware {
			f.CostAware = func(string) bool { return true }
		}
		f.SetCatalog(catalog)
		f.SetDigestInterval(w.pattern.digestInterval())
		f.SetGateways(name, slices.Delete(slices.Clone(names), i, i+1))
		for j, e := range w.engines {
			f.Put(clcatalog.Endpoint{
				ID: e.id, Service: service, DataCentre: w.dataCentre(j), Version: "v1", Slots: slots, Born: 1,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(j)}), 80),
			}, w.start)
		}
		f.MarkSynced()
		w.fleets = append(w.fleets, f)
	}
}

func (w *play) dataCentre(i int) string { return string(rune('a' + i%w.pattern.DataCentres)) }

// exchange tells the other gateways of each one's work, one interval after the other.
func (w *play) exchange(now time.Time, interval time.Duration) {
	for i, from := range w.fleets {
		phase := interval * time.Duration(i) / time.Duration(len(w.fleets))
		if w.pattern.DigestInterval > 0 {
			phase = 0
		}
		if (now.Sub(w.start)+phase)%interval >= tick {
			continue
		}
		work, statements := from.LocalLoad(), from.Statements(now)
		for j, to := range w.fleets {
			if i != j {
				to.SetPeerLoad(fmt.Sprint(i), work)
				to.RecordPeerStatements(statements, now)
			}
		}
	}
}

// arrive sends a new request through a random gateway.
func (w *play) arrive(now time.Time) {
	w.outcome.Requests++
	r := w.pattern.draw(w.rnd, fmt.Sprint(w.outcome.Requests), now)
	if r.large {
		w.large[1]++
	}
	late := now.Sub(w.start) > playFor*2/3 && now.Sub(w.start) < playFor-2*target
	if late {
		w.last[1]++
	}
	f := w.fleets[w.rnd.IntN(len(w.fleets))]
	j := &job{request: r, tokens: r.tokens}
	j.ended = func(time.Time) { w.ended++; w.paused += j.paused; w.outcome.Preempted += float64(j.preempted) }
	j.started = func(at time.Time) { w.began(r, at.Sub(now), late) }
	var e *engine
	switch w.policy {
	case Random:
		e = w.engines[w.rnd.IntN(len(w.engines))]
	case RoundRobin:
		w.next++
		e = w.engines[w.next%len(w.engines)]
	case Fleet, Stated, CostAware:
		req := clfleet.Request{
			ID: r.id, Service: service, Parts: r.parts, TimeLeft: patience, TargetLatency: r.kind.Target, Priority: r.kind.Priority,
			Route: r.kind.Name, OutputTokens: r.hint, MaxOutputTokens: int(maxOutputFactor * r.kind.OutputTokens),
		}
		c, refused := f.Pick(req, now)
		if refused != nil {
			w.outcome.Refused++
			return
		}
		f.Begin(c, req, now)
		began, ended := j.started, j.ended
		j.started = func(at time.Time) {
			if w.policy != Fleet {
				f.RecordStatedLoad(c, w.byID[c.Endpoint].load(), at)
			}
			f.RecordFirstEvent(c, at.Sub(now))
			began(at)
		}
		j.ended = func(at time.Time) { f.Finish(c, clfleet.OutcomeAnswered, at); ended(at) }
		e = w.byID[c.Endpoint]
	}
	read, shared := e.admit(j)
	w.outcome.Read += read
	w.outcome.SharedRead += shared
}

// began counts a request whose first token has come.
func (w *play) began(r *request, wait time.Duration, late bool) {
	w.waits = append(w.waits, wait)
	if wait > r.kind.Target {
		w.outcome.Late++
		return
	}
	w.outcome.OnTime++
	if r.large {
		w.large[0]++
	}
	if late {
		w.last[0]++
	}
}

func (w *play) result() Outcome {
	o := w.outcome
	n := float64(max(1, o.Requests))
	o.OnTime, o.Late, o.Refused, o.Read, o.SharedRead = o.OnTime/n, o.Late/n, o.Refused/n, o.Read/n, o.SharedRead/n
	o.LargeOnTime = float64(w.large[0]) / float64(max(1, w.large[1]))
	o.LastOnTime = float64(w.last[0]) / float64(max(1, w.last[1]))
	slices.SortFunc(w.waits, cmp.Compare[time.Duration])
	if len(w.waits) > 0 {
		o.P50, o.P95 = w.waits[len(w.waits)/2], w.waits[len(w.waits)*95/100]
	}
	o.Preempted /= n
	o.Pause = w.paused / time.Duration(max(1, w.ended))
	return o
}
