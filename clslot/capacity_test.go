// This file measures how much capacity stays unused when slots are granted on demand.

package clslot

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The parameters of the simulation. capacityServiceTime is the mean time that a request runs,
// capacityQueueTimeout the time after which a waiting request is refused, and capacityRetryDelay
// the time that an entry waits after two demands in a row, each for an endpoint chosen from a newly
// drawn pair, gave it no slot.
const (
	capacityStep             = 10 * time.Millisecond
	capacityReportInterval   = time.Second
	capacityDemandInterval   = 100 * time.Millisecond
	capacityRetryDelay       = 50 * time.Millisecond
	capacityWarmup           = 5 * time.Second
	capacityDuration         = 20 * time.Second
	capacityServiceTime      = 2 * time.Second
	capacityQueueTimeout     = 2 * time.Second
	capacitySlotsPerEndpoint = 8
)

type (
	// capacityRun simulates a fleet whose entries share slots by grants or by a fixed split.
	capacityRun struct {
		entries, endpoints int
		// load is the offered load as a multiple of what all slots together can serve. skew
		// is the standard deviation of the logarithm of an entry's share of it.
		load, skew float64
		fixedSplit bool

		rnd        *rand.Rand
		now        time.Time
		grantor    *Grantor
		holders    []*Holder
		fixedSlots []int // free slots of each entry in the fixed split
		// queues holds the arrival times of each entry's waiting requests, retryAt the time
		// before which the entry sends no further demand for them, and weights the entry's
		// weight in the offered load.
		queues  [][]time.Time
		retryAt []time.Time
		weights []float64
		// completions holds the requests that end at a time, by that time in Unix nanoseconds.
		completions map[int64][]capacityCompletion
		// running and reported are the number of requests at each endpoint now and at its last
		// load report. ids holds the endpoints' IDs.
		running  map[string]int
		reported map[string]int
		ids      []string

		// busy is the sum of the running requests over all steps. The other fields count
		// requests, demands and the time that started requests waited, all since the warm-up.
		busy, offered, refused, started, demands int
		totalWait                                time.Duration
	}

	// capacityCompletion is the end of a request of the entry with the given index.
	capacityCompletion struct {
		entry  int
		ticket Ticket
	}
)

// TestCapacityUnused prints the fraction of all slots that stays idle. It guards against
// grants that leave more slots unused than a fixed split does, when the entries together are
// overloaded and some get more requests than others.
func TestCapacityUnused(t *testing.T) {
	for _, skew := range []float64{0, 0.5} {
		for _, load := range []float64{0.8, 1.3} {
			unusedWithGrants, unusedWithFixedSplit := measureCapacity(t, 9, 15, skew, load)
			if load > 1 && skew > 0 {
				require.Less(t, unusedWithGrants, unusedWithFixedSplit)
			}
		}
	}
}

// BenchmarkCapacityUnused measures the fraction of all slots that stays idle at the scale that
// the system is designed for.
func BenchmarkCapacityUnused(b *testing.B) {
	for b.Loop() {
		for _, load := range []float64{0.8, 1.3} {
			unusedWithGrants, unusedWithFixedSplit := measureCapacity(b, 390, 600, 0.5, load)
			b.ReportMetric(unusedWithGrants, fmt.Sprintf("unused-leased-load-%.1f", load))
			b.ReportMetric(unusedWithFixedSplit, fmt.Sprintf("unused-fixed-load-%.1f", load))
		}
	}
}

// measureCapacity returns the fraction of all slots that stays idle, with slots granted on
// demand and with a fixed split.
func measureCapacity(t testing.TB, entries, endpoints int, skew, load float64) (unusedWithGrants, unusedWithFixedSplit float64) {
	var unused [2]float64
	for i, fixedSplit := range []bool{false, true} {
		r := &capacityRun{entries: entries, endpoints: endpoints, load: load, skew: skew, fixedSplit: fixedSplit}
		unused[i] = r.run()
		t.Logf("seed 1, %d entries, %d endpoints, skew %.1f, load %.1f, fixed split %v: unused %.3f, refused %.3f, mean wait %v, demands per request %.2f",
			entries, endpoints, skew, load, fixedSplit, unused[i], float64(r.refused)/float64(r.offered),
			(r.totalWait / time.Duration(max(1, r.started))).Round(time.Millisecond), float64(r.demands)/float64(r.started))
	}
	return unused[0], unused[1]
}

// run simulates the fleet and returns the fraction of all slots that stays idle after the
// warm-up.
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
		r.grantor.SetEndpoint(id, Limits{ColdSlots: capacitySlotsPerEndpoint, MaxSlots: capacitySlotsPerEndpoint})
	}
	r.fixedSlots = make([]int, r.entries)
	for s := range r.endpoints * capacitySlotsPerEndpoint {
		r.fixedSlots[s%r.entries]++
	}
	r.retryAt = make([]time.Time, r.entries)
	r.queues = make([][]time.Time, r.entries)
	weightSum := 0.0
	for range r.entries {
		r.holders = append(r.holders, NewHolder(cfg))
		w := math.Exp(r.skew * r.rnd.NormFloat64())
		r.weights = append(r.weights, w)
		weightSum += w
	}
	requestsPerStep := r.load * float64(r.endpoints*capacitySlotsPerEndpoint) * capacityStep.Seconds() / capacityServiceTime.Seconds()
	steps := 0
	for ; r.now.Sub(start) < capacityDuration; r.now = r.now.Add(capacityStep) {
		if r.now.Sub(start) == capacityWarmup {
			steps, r.busy, r.offered, r.refused, r.started, r.demands, r.totalWait = 0, 0, 0, 0, 0, 0, 0
		}
		r.completeRequests()
		r.sendReports(start)
		for e := range r.entries {
			for mean := requestsPerStep * r.weights[e] / weightSum; r.rnd.Float64() < mean; mean-- {
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
	return 1 - float64(r.busy)/float64(steps*r.endpoints*capacitySlotsPerEndpoint)
}

// completeRequests ends the requests that complete at the present time.
func (r *capacityRun) completeRequests() {
	key := r.now.UnixNano()
	for _, c := range r.completions[key] {
		r.running[c.ticket.Endpoint]--
		if r.fixedSplit {
			r.fixedSlots[c.entry]++
		} else {
			r.holders[c.entry].RecordFirstTokenTime(c.ticket.Endpoint, time.Second)
			r.holders[c.entry].Release(c.ticket, Outcome{Healthy: true}, r.now)
		}
	}
	delete(r.completions, key)
}

// sendReports sends the endpoints' load reports if they are due.
func (r *capacityRun) sendReports(start time.Time) {
	if r.now.Sub(start)%capacityReportInterval != 0 {
		return
	}
	for _, id := range r.ids {
		r.reported[id] = r.running[id]
		r.grantor.ApplyLoad(id, Load{BootID: "b", ProducedAt: r.now, Running: r.running[id]}, r.now)
	}
}

// startRequests sends an entry's demands that are due, starts its queued requests on slots
// that it holds or is granted, and refuses requests that have waited too long.
func (r *capacityRun) startRequests(e int) {
	h := r.holders[e]
	if !r.fixedSplit && r.now.UnixNano()%int64(capacityDemandInterval) == 0 {
		for _, id := range h.EndpointsDue(r.now) {
			r.sendDemand(e, id, 0)
		}
	}
	for len(r.queues[e]) > 0 {
		ticket, ok := r.acquire(e)
		if !ok {
			break
		}
		r.totalWait += r.now.Sub(r.queues[e][0])
		r.started++
		r.queues[e] = r.queues[e][1:]
		r.running[ticket.Endpoint]++
		serviceSteps := time.Duration(r.rnd.ExpFloat64()*float64(capacityServiceTime))/capacityStep + 1
		at := r.now.Add(serviceSteps * capacityStep).UnixNano()
		r.completions[at] = append(r.completions[at], capacityCompletion{e, ticket})
	}
	for len(r.queues[e]) > 0 && r.now.Sub(r.queues[e][0]) > capacityQueueTimeout {
		r.queues[e] = r.queues[e][1:]
		r.refused++
	}
}

// acquire takes a slot for a request of entry e and reports whether there was one. In the fixed
// split it takes one of the entry's free slots. Otherwise it takes a slot that the entry holds. If
// the entry holds none, and retryAt has been reached, acquire draws two endpoints and sends a demand
// for the one with fewer requests in its last report; if that yields no slot, it draws two endpoints
// once more. After a second failure it sets retryAt.
func (r *capacityRun) acquire(e int) (Ticket, bool) {
	if r.fixedSplit {
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

// sendDemand sends an entry's demand for an endpoint to the grantor and applies the grant.
func (r *capacityRun) sendDemand(e int, id string, waiting int) {
	r.demands++
	r.holders[e].ApplyGrant(r.grantor.HandleDemand(fmt.Sprint("entry-", e), r.holders[e].BuildDemand(id, waiting, r.now), r.now), r.now)
}
