// This file measures how much capacity the leasing of slots leaves unused.

package clslot

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	capacityStep           = 10 * time.Millisecond
	capacityReportInterval = time.Second
	capacityDueInterval    = 100 * time.Millisecond
	capacityRetryDelay     = 50 * time.Millisecond
	capacityWarmup         = 5 * time.Second
	capacityDuration       = 20 * time.Second
	capacityServiceTime    = 2 * time.Second
	capacityQueueTimeout   = 2 * time.Second
	capacitySlots          = 8
)

type (
	// capacityRun simulates a fleet whose entries share slots by leases or by a fixed split.
	capacityRun struct {
		entries, endpoints int
		load, skew         float64
		static             bool

		rnd         *rand.Rand
		now         time.Time
		grantor     *Grantor
		holders     []*Holder
		fixedSlots  []int // free slots of each entry in the fixed split
		queues      [][]time.Time
		retryAt     []time.Time
		weights     []float64
		completions map[int64][]capacityCompletion
		running     map[string]int
		reported    map[string]int
		ids         []string

		busy, offered, refused, started, demands int
		waited                                   time.Duration
	}

	capacityCompletion struct {
		entry  int
		ticket Ticket
	}
)

// TestCapacityUnused prints the fraction of all slots that stays idle. It guards against
// leases that leave more slots unused under overload than a fixed split does.
func TestCapacityUnused(t *testing.T) {
	for _, skew := range []float64{0, 0.5} {
		for _, load := range []float64{0.8, 1.3} {
			leased, fixed := measureCapacity(t, 9, 15, skew, load)
			if load > 1 && skew > 0 {
				require.Less(t, leased, fixed)
			}
		}
	}
}

// BenchmarkCapacityUnused measures the same at the scale that the system is designed for.
func BenchmarkCapacityUnused(b *testing.B) {
	for b.Loop() {
		for _, load := range []float64{0.8, 1.3} {
			leased, fixed := measureCapacity(b, 390, 600, 0.5, load)
			b.ReportMetric(leased, fmt.Sprintf("unused-leased-load-%.1f", load))
			b.ReportMetric(fixed, fmt.Sprintf("unused-fixed-load-%.1f", load))
		}
	}
}

func measureCapacity(t testing.TB, entries, endpoints int, skew, load float64) (leased, fixed float64) {
	var unused [2]float64
	for i, static := range []bool{false, true} {
		r := &capacityRun{entries: entries, endpoints: endpoints, load: load, skew: skew, static: static}
		unused[i] = r.run()
		t.Logf("seed 1, %d entries, %d endpoints, skew %.1f, load %.1f, static %v: unused %.3f, refused %.3f, mean wait %v, demands per request %.2f",
			entries, endpoints, skew, load, static, unused[i], float64(r.refused)/float64(r.offered),
			(r.waited / time.Duration(max(1, r.started))).Round(time.Millisecond), float64(r.demands)/float64(r.started))
	}
	return unused[0], unused[1]
}

func (r *capacityRun) run() float64 {
	r.rnd = rand.New(rand.NewPCG(1, 1))
	r.now = time.Unix(1000, 0)
	start := r.now
	cfg := DefaultConfig()
	r.grantor = NewGrantor(cfg)
	r.grantor.LeaseAcquired(Lease{Fencing: 1, ExpiresAt: r.now.Add(time.Hour), FormerGrantsEnd: r.now.Add(-time.Hour)})
	r.completions, r.running, r.reported = map[int64][]capacityCompletion{}, map[string]int{}, map[string]int{}
	for i := range r.endpoints {
		id := fmt.Sprint("ep-", i)
		r.ids = append(r.ids, id)
		r.grantor.SetEndpoint(id, Limits{ColdSlots: capacitySlots, MaxSlots: capacitySlots})
	}
	r.fixedSlots = make([]int, r.entries)
	for s := range r.endpoints * capacitySlots {
		r.fixedSlots[s%r.entries]++
	}
	r.retryAt = make([]time.Time, r.entries)
	r.queues = make([][]time.Time, r.entries)
	sum := 0.0
	for range r.entries {
		r.holders = append(r.holders, NewHolder(cfg))
		w := math.Exp(r.skew * r.rnd.NormFloat64())
		r.weights = append(r.weights, w)
		sum += w
	}
	perStep := r.load * float64(r.endpoints*capacitySlots) * capacityStep.Seconds() / capacityServiceTime.Seconds()
	steps := 0
	for ; r.now.Sub(start) < capacityDuration; r.now = r.now.Add(capacityStep) {
		if r.now.Sub(start) == capacityWarmup {
			steps, r.busy, r.offered, r.refused, r.started, r.demands, r.waited = 0, 0, 0, 0, 0, 0, 0
		}
		r.completeRequests()
		r.sendReports(start)
		for e := range r.entries {
			for mean := perStep * r.weights[e] / sum; r.rnd.Float64() < mean; mean-- {
				r.queues[e] = append(r.queues[e], r.now)
				r.offered++
			}
			r.startRequests(e)
		}
		for _, n := range r.running {
			r.busy += n
		}
		steps++
	}
	return 1 - float64(r.busy)/float64(steps*r.endpoints*capacitySlots)
}

func (r *capacityRun) completeRequests() {
	key := r.now.UnixNano()
	for _, x := range r.completions[key] {
		r.running[x.ticket.Endpoint]--
		if r.static {
			r.fixedSlots[x.entry]++
		} else {
			r.holders[x.entry].RecordFirstTokenTime(x.ticket.Endpoint, time.Second)
			r.holders[x.entry].Release(x.ticket, Outcome{Healthy: true}, r.now)
		}
	}
	delete(r.completions, key)
}

func (r *capacityRun) sendReports(start time.Time) {
	if r.now.Sub(start)%capacityReportInterval != 0 {
		return
	}
	for _, id := range r.ids {
		r.reported[id] = r.running[id]
		r.grantor.ApplyLoad(id, Load{BootID: "b", ProducedAt: r.now, Running: r.running[id]}, r.now)
	}
}

// startRequests starts an entry's queued requests on slots that it holds or is granted, and
// refuses requests that have waited too long.
func (r *capacityRun) startRequests(e int) {
	h := r.holders[e]
	if !r.static && r.now.UnixNano()%int64(capacityDueInterval) == 0 {
		for _, id := range h.EndpointsDue(r.now) {
			r.sendDemand(e, id, 0)
		}
	}
	for len(r.queues[e]) > 0 {
		ticket, ok := r.acquire(e)
		if !ok {
			break
		}
		r.waited += r.now.Sub(r.queues[e][0])
		r.started++
		r.queues[e] = r.queues[e][1:]
		r.running[ticket.Endpoint]++
		service := time.Duration(r.rnd.ExpFloat64()*float64(capacityServiceTime))/capacityStep + 1
		at := r.now.Add(service * capacityStep).UnixNano()
		r.completions[at] = append(r.completions[at], capacityCompletion{e, ticket})
	}
	for len(r.queues[e]) > 0 && r.now.Sub(r.queues[e][0]) > capacityQueueTimeout {
		r.queues[e] = r.queues[e][1:]
		r.refused++
	}
}

// acquire takes a slot that the entry holds. Otherwise it sends a demand to the less loaded
// of two random endpoints by their last reports, and once more if that one grants none.
func (r *capacityRun) acquire(e int) (Ticket, bool) {
	if r.static {
		r.fixedSlots[e]--
		if r.fixedSlots[e] < 0 {
			r.fixedSlots[e] = 0
			return Ticket{}, false
		}
		return Ticket{Endpoint: "any"}, true
	}
	h := r.holders[e]
	for _, id := range h.EndpointsWithSlots(r.now) {
		if ticket, ok := h.Acquire(id, r.now); ok {
			return ticket, true
		}
	}
	for range 2 {
		if r.now.Before(r.retryAt[e]) {
			break
		}
		id := r.ids[r.rnd.IntN(len(r.ids))]
		if other := r.ids[r.rnd.IntN(len(r.ids))]; r.reported[other] < r.reported[id] {
			id = other
		}
		r.sendDemand(e, id, 1)
		if ticket, ok := h.Acquire(id, r.now); ok {
			return ticket, true
		}
	}
	if !r.now.Before(r.retryAt[e]) {
		r.retryAt[e] = r.now.Add(capacityRetryDelay)
	}
	return Ticket{}, false
}

func (r *capacityRun) sendDemand(e int, id string, waiting int) {
	r.demands++
	r.holders[e].ApplyGrant(r.grantor.HandleDemand(fmt.Sprint("entry-", e), r.holders[e].BuildDemand(id, waiting, r.now), r.now), r.now)
}
