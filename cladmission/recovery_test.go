// This file simulates a fleet that loses endpoints, with and without admission.

package cladmission

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The fleet's endpoints share their rate among the requests that they run. A
// cold endpoint is slow, and crashes when it runs more than it can bear.
const (
	simStep       = 50 * time.Millisecond
	simEndpoints  = 18
	simWarmRate   = 4.0 // requests a second
	simColdRate   = 0.5
	simColdBears  = 4
	simColdFor    = 10 * time.Second
	simSlots      = 8
	simColdSlots  = 2
	simPatience   = 6 * time.Second // callers give up and send again
	simStartBy    = 2500 * time.Millisecond
	simReplaced   = 20 * time.Second
	simLoad       = 0.7
	simFault      = 60 * time.Second
	simEnd        = 150 * time.Second
	simMeasured   = 30 * time.Second
	simRecovered  = 0.95
	simCallerWait = time.Second
)

type (
	simServer struct {
		upAt, warmAt time.Time
		running      []*simJob
	}

	simJob struct {
		left     float64
		giveUpAt time.Time
		first    bool
	}

	// simVariant says whether requests wait in a queue for slots, and whether
	// retries draw on a budget.
	simVariant struct{ queue, budget bool }

	simFleet struct {
		variant simVariant
		retries int
		rnd     *rand.Rand
		now     time.Time
		servers []*simServer
		queue   *Queue[*simJob]
		budget  *Budget
		later   []time.Time // refused callers that come back
		resend  int         // attempts to send at once
		// per second of simulated time
		offered, good, refused, crashes []int
	}
)

// TestRecovery guards against a metastable collapse: after cold starts and
// waves of reclaims the fleet must serve again what it served before.
func TestRecovery(t *testing.T) {
	for _, c := range []struct {
		name   string
		faults func(f *simFleet, at time.Duration)
	}{
		{"half of the fleet cold", func(f *simFleet, at time.Duration) {
			if at == simFault {
				f.lose(2, 0)
			}
		}},
		{"a third reclaimed twice", func(f *simFleet, at time.Duration) {
			if at == simFault || at == simFault+40*time.Second {
				f.lose(3, simReplaced)
			}
		}},
	} {
		for _, v := range []simVariant{{true, true}, {true, false}, {false, false}} {
			f := newSimFleet(v)
			for at := time.Duration(0); at < simEnd; at += simStep {
				c.faults(f, at)
				f.step()
			}
			n := len(f.good)
			tail := n - int(simMeasured.Seconds())
			during := int(simFault.Seconds())
			share := func(from, to int) float64 { return float64(sum(f.good[from:to])) / float64(sum(f.offered[from:to])) }
			t.Logf("seed 1, %s, queue %v, budget %v: served before %.3f, in the next 60 s %.3f, at the end %.3f; refused %d, retries %d, crashes %d",
				c.name, v.queue, v.budget, share(30, during), share(during, during+60), share(tail, n), sum(f.refused), f.retries, sum(f.crashes))
			switch {
			case v.budget:
				require.Greater(t, share(tail, n), simRecovered, c.name)
			case !v.queue:
				require.Less(t, share(tail, n), simRecovered, "%s: the scenario is too mild to show a collapse", c.name)
			}
		}
	}
}

func sum(s []int) int {
	n := 0
	for _, v := range s {
		n += v
	}
	return n
}

func newSimFleet(v simVariant) *simFleet {
	f := &simFleet{
		variant: v, rnd: rand.New(rand.NewPCG(1, 1)), now: testStart,
		queue: NewQueue[*simJob](Config{Quantum: 1}), budget: NewBudget(BudgetConfig{}),
	}
	for range simEndpoints {
		f.servers = append(f.servers, &simServer{})
	}
	return f
}

// lose restarts every n-th endpoint, which comes back cold after a time.
func (f *simFleet) lose(n int, after time.Duration) {
	for i, s := range f.servers {
		if i%n == 0 {
			f.restart(s, after)
		}
	}
}

func (f *simFleet) restart(s *simServer, after time.Duration) {
	s.upAt = f.now.Add(after)
	s.warmAt = s.upAt.Add(simColdFor)
	lost := s.running
	s.running = nil
	for range lost {
		f.retry()
	}
}

func (f *simFleet) step() {
	f.now = f.now.Add(simStep)
	if f.now.Sub(testStart)%time.Second == simStep {
		f.offered, f.good = append(f.offered, 0), append(f.good, 0)
		f.refused, f.crashes = append(f.refused, 0), append(f.crashes, 0)
	}
	second := len(f.offered) - 1
	for expected := simLoad * simWarmRate * simEndpoints * simStep.Seconds(); f.rnd.Float64() < expected; expected-- {
		f.offered[second]++
		f.budget.Request("s", f.now)
		f.send(true)
	}
	f.later = slices.DeleteFunc(f.later, func(at time.Time) bool {
		if at.After(f.now) {
			return false
		}
		f.send(false)
		return true
	})
	for ; f.resend > 0; f.resend-- {
		f.send(false)
	}
	for range f.queue.Expire(f.now) {
		f.refused[second]++
	}
	for _, s := range f.servers {
		f.run(s)
	}
}

// send queues an attempt, or without a bound starts it at the least loaded endpoint.
func (f *simFleet) send(first bool) {
	j := &simJob{left: 1, giveUpAt: f.now.Add(simPatience), first: first}
	if !f.variant.queue {
		if s := f.leastLoaded(); s != nil {
			s.running = append(s.running, j)
		} else {
			f.later = append(f.later, f.now.Add(simCallerWait))
		}
		return
	}
	r := Request[*simJob]{Account: "a", Cost: 1, StartBy: f.now.Add(simStartBy), Value: j}
	if _, refusal := f.queue.Offer(r, f.now); refusal != nil {
		f.refused[len(f.refused)-1]++
		if first { // the caller comes back once
			f.later = append(f.later, f.now.Add(refusal.RetryAfter))
		}
	}
}

func (f *simFleet) leastLoaded() *simServer {
	var best *simServer
	for _, s := range f.servers {
		if !f.now.Before(s.upAt) && (best == nil || len(s.running) < len(best.running)) {
			best = s
		}
	}
	return best
}

// retry sends a failed attempt again, within the budget if there is one.
func (f *simFleet) retry() {
	if !f.variant.budget || f.budget.Retry("s", f.now) {
		f.retries++
		f.resend++
	}
}

func (f *simFleet) run(s *simServer) {
	if f.now.Before(s.upAt) {
		return
	}
	rate, slots := simWarmRate, simSlots
	if cold := f.now.Before(s.warmAt); cold {
		rate, slots = simColdRate, simColdSlots
		if len(s.running) > simColdBears {
			f.crashes[len(f.crashes)-1]++
			f.restart(s, 0)
			return
		}
	}
	for f.variant.queue && len(s.running) < slots {
		r, _, ok := f.queue.Take(f.now)
		if !ok {
			break
		}
		s.running = append(s.running, r.Value)
	}
	work := rate * simStep.Seconds() / float64(max(1, len(s.running)))
	s.running = slices.DeleteFunc(s.running, func(j *simJob) bool {
		j.left -= work
		switch {
		case j.left <= 0:
			f.good[len(f.good)-1]++
			return true
		case f.now.After(j.giveUpAt):
			f.retry()
			return true
		}
		return false
	})
}
