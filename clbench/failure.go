// This file defines the experiment on the loss of a data centre, in virtual time.

package clbench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"github.com/chestnutlead/chestnutlead/clmember"
	"github.com/chestnutlead/chestnutlead/clpeer"
	"github.com/samber/lo"
)

const (
	memberTick = 50 * time.Millisecond
	// workersPerNode is the design page's 600 workers on 390 nodes.
	workersPerNode = 600.0 / 390
	failureWarmUp  = 60 * time.Second
	failureLimit   = 2 * time.Minute
)

// memberWorld runs membership cores without a network: calls are answered
// within a tick, and calls to lost members fail after the probe's timeout.
type memberWorld struct {
	now   time.Time
	cores []*clmember.Core
	byID  map[string]int
	lost  []bool
	late  map[int64][]func()
	facts []map[string]bool
	calls int
}

// runFailure measures how the loss of a fifth of all members and workers spreads.
func runFailure(ctx context.Context, _ Options) (*Result, error) {
	r := newResult("failure")
	for _, n := range nodeSizes {
		if ctx.Err() != nil {
			return r, ctx.Err()
		}
		newMemberWorld(n).loseDataCentre(r)
	}
	r.note("Virtual time, no loss of messages; a fifth of the members end at once without a word, and two others learn of the loss of a fifth of %.2f workers per node and state urgent facts.", workersPerNode)
	return r, nil
}

func newMemberWorld(n int) *memberWorld {
	w := &memberWorld{now: time.Unix(1_800_000_000, 0), byID: map[string]int{}, late: map[int64][]func(){}, lost: make([]bool, n)}
	for i := range n {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		c := clmember.New(clmember.Config{
			Self: clmember.Member{ID: entryID(i), Address: addr, DataCentre: fmt.Sprintf("dc-%d", i%dataCentres), Role: "entry"},
			Rand: rand.New(rand.NewPCG(uint64(i), 3)), ProbeTimeout: 300 * time.Millisecond, SuspicionBase: 3 * time.Second,
			SyncInterval: 30 * time.Second, MaxChanges: clpeer.MaxChanges, MaxFacts: clpeer.MaxFacts,
		}, w.now)
		w.cores = append(w.cores, c)
		w.byID[entryID(i)] = i
		w.facts = append(w.facts, map[string]bool{})
	}
	// All know all from the start.
	all := clmember.SyncState{Members: lo.Map(w.cores, func(c *clmember.Core, _ int) clmember.Member { return c.Self() })}
	for i, c := range w.cores {
		w.carryOut(i, c.SyncAnswered(w.now, all.Members[(i+1)%n], all))
	}
	return w
}

func (w *memberWorld) loseDataCentre(r *Result) {
	x := float64(len(w.cores))
	for end := w.now.Add(failureWarmUp); w.now.Before(end); {
		w.step()
	}
	calls, steady := w.calls, w.now
	for range int(10 * time.Second / memberTick) {
		w.step()
	}
	r.add("calls per member before", "1/s", nodesSize, x, float64(w.calls-calls)/w.now.Sub(steady).Seconds()/x)
	const rankings = 2000
	cpu := cpuSeconds()
	for i := range rankings {
		w.cores[0].Rank("slots-"+strconv.Itoa(i%slotGroups), clmember.Filter{Role: "entry"})
	}
	r.add("CPU of one ranking of all members", "us", nodesSize, x, 1e6*(cpuSeconds()-cpu)/rankings)
	for i := range w.lost {
		w.lost[i] = i%dataCentres == dataCentres-1
	}
	left := lo.CountBy(w.lost, func(l bool) bool { return !l })
	facts := int(x * workersPerNode / dataCentres)
	for f := range facts {
		for _, origin := range []int{0, 1} {
			w.carryOut(origin, w.cores[origin].AddFact(w.now, clmember.Fact{
				ID: "leaving/worker-" + strconv.Itoa(f), Kind: clmember.EndpointLeaving, Lifetime: time.Minute, Urgent: true,
			}))
		}
	}
	start, known, dead := w.now, time.Duration(0), time.Duration(0)
	calls = w.calls
	for (known == 0 || dead == 0) && w.now.Sub(start) < failureLimit {
		w.step()
		if known == 0 && w.everyone(func(i int) bool { return len(w.facts[i]) == facts }) {
			known = w.now.Sub(start)
		}
		if dead == 0 && w.everyone(func(i int) bool {
			return lo.CountBy(w.cores[i].Members(), func(m clmember.Member) bool { return m.Live() }) == left-1
		}) {
			dead = w.now.Sub(start)
		}
	}
	r.add("urgent facts stated at once", "1", nodesSize, x, float64(facts))
	r.add("all these facts known to all", "s", nodesSize, x, known.Seconds())
	r.add("all lost members known to be dead by all", "s", nodesSize, x, dead.Seconds())
	r.add("calls per member until then", "1/s", nodesSize, x, float64(w.calls-calls)/w.now.Sub(start).Seconds()/float64(left))
}

func (w *memberWorld) everyone(ok func(i int) bool) bool {
	for i := range w.cores {
		if !w.lost[i] && !ok(i) {
			return false
		}
	}
	return true
}

func (w *memberWorld) tick() int64 { return w.now.UnixNano() / int64(memberTick) }

func (w *memberWorld) step() {
	w.now = w.now.Add(memberTick)
	for _, f := range w.late[w.tick()] {
		f()
	}
	delete(w.late, w.tick())
	for i, c := range w.cores {
		if !w.lost[i] {
			w.carryOut(i, c.Tick(w.now))
		}
	}
}

func (w *memberWorld) after(d time.Duration, f func()) {
	at := w.tick() + max(int64(d/memberTick), 1)
	w.late[at] = append(w.late[at], f)
}

func (w *memberWorld) carryOut(from int, out clmember.Output) {
	for _, f := range out.Facts {
		w.facts[from][f.ID] = true
	}
	for _, c := range out.Calls {
		w.calls++
		w.call(from, c)
	}
}

// call makes one call in the next tick, or lets it fail after its timeout.
func (w *memberWorld) call(from int, c clmember.Call) {
	core, to := w.cores[from], w.byID[c.To.ID]
	w.after(memberTick, func() {
		switch {
		case c.Kind == clmember.CallExchange && w.lost[to]:
			w.after(c.Timeout, func() { w.carryOut(from, core.ExchangeFailed(w.now, c.To)) })
		case c.Kind == clmember.CallExchange:
			resp, out := w.cores[to].HandleExchange(w.now, c.Exchange)
			w.carryOut(to, out)
			w.carryOut(from, core.ExchangeAnswered(w.now, c.To, resp))
		case c.Kind == clmember.CallProbeFor:
			reached := !w.lost[to] && !w.lost[w.byID[c.Target.ID]]
			w.after(c.Timeout, func() { w.carryOut(from, core.ProbeForAnswered(w.now, c.Target, reached)) })
		case c.Kind == clmember.CallSync && !w.lost[to]:
			state, out := w.cores[to].HandleSync(w.now, core.Self())
			w.carryOut(to, out)
			w.carryOut(from, core.SyncAnswered(w.now, c.To, state))
		}
	})
}
