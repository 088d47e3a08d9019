// This file defines the experiment on what the gateways' duties cost the store.

package clbench

import (
	"context"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/chestnutlead/chestnutlead/clstore"
	"github.com/chestnutlead/chestnutlead/internal/coordination/clduty"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

type (
	// dutyWorld has the coordinators of all gateways, a store and a cloud API.
	dutyWorld struct {
		memory   clstore.Memory
		gateways []*dutyGateway
	}

	// dutyGateway is the coordinator of a gateway, which may be cut off from the store.
	dutyGateway struct {
		coordinator clduty.Coordinator
		store       dutyStore
	}

	// dutyStore refuses all calls while it is cut off.
	dutyStore struct {
		*clstore.Client
		cut atomic.Bool
	}

	// dutyRun is what one run measured.
	dutyRun struct {
		calm, returned dutyCalls
		untilHeld      time.Duration
	}

	// dutyCalls are calls of the store a second.
	dutyCalls struct{ reads, writes float64 }

	// acceptingCloud is a cloud API that accepts all calls.
	acceptingCloud struct{}
)

const (
	// dutyCandidates is the number of gateways that compete for the lease.
	dutyCandidates = 2
	dutyLease      = 3 * time.Second
	dutyWindow     = 5 * time.Second
	dutyMeasured   = 10 * time.Second
	dutyRounds     = 10
	dutyPoll       = 2 * time.Millisecond
	// dutyRenewal is the time between two renewals of the lease, over which returns are
	// spread: with the next one the holder learns of a return.
	dutyRenewal = dutyLease / 3
)

var (
	dutySizes = []int{8, 60, 300}

	errCut = errors.New("cut off from the store")
)

// runDuties measures the duties' calls of the store in calm and after the store has returned
// from an older copy without a lease, and the time from the return until a gateway holds the
// lease in the new era.
func runDuties(ctx context.Context, _ Options) (*Result, error) {
	r := newResult("duties")
	for _, endsHolder := range []bool{false, true} {
		for _, n := range dutySizes {
			if err := r.addDuties(ctx, n, endsHolder); err != nil {
				return r, err
			}
		}
	}
	r.note("Stand-ins: coordinators without gateways around them, a store in memory, %d runs a size. Lease %s, windows of %s, %d gateways compete.",
		dutyRounds, dutyLease, dutyWindow, dutyCandidates)
	return r, nil
}

// addDuties adds the figures of one number of gateways.
func (r *Result) addDuties(ctx context.Context, n int, endsHolder bool) error {
	runs := make([]dutyRun, dutyRounds)
	g, ctx := errgroup.WithContext(ctx)
	for i := range runs {
		g.Go(func() error {
			var err error
			runs[i], err = newDutyWorld(n).measure(ctx, endsHolder, time.Duration(i)*dutyRenewal/dutyRounds)
			return err
		})
	}
	if err := g.Wait(); err != nil {
		return err
	}
	suffix := ", the holder goes on"
	if endsHolder {
		suffix = ", the holder ends with it"
	}
	var sum dutyRun
	var longest time.Duration
	for _, run := range runs {
		sum.calm.reads, sum.calm.writes = sum.calm.reads+run.calm.reads, sum.calm.writes+run.calm.writes
		sum.returned.reads, sum.returned.writes = sum.returned.reads+run.returned.reads, sum.returned.writes+run.returned.writes
		sum.untilHeld, longest = sum.untilHeld+run.untilHeld, max(longest, run.untilHeld)
	}
	x := float64(n)
	if !endsHolder {
		r.add("reads in calm", "1/s", "gateways", x, sum.calm.reads/dutyRounds)
		r.add("updates in calm", "1/s", "gateways", x, sum.calm.writes/dutyRounds)
	}
	r.add("reads in the 10 s after a return"+suffix, "1/s", "gateways", x, sum.returned.reads/dutyRounds)
	r.add("updates in the 10 s after a return"+suffix, "1/s", "gateways", x, sum.returned.writes/dutyRounds)
	r.add("time until a holder acts, mean"+suffix, "s", "gateways", x, sum.untilHeld.Seconds()/dutyRounds)
	r.add("time until a holder acts, longest"+suffix, "s", "gateways", x, longest.Seconds())
	return nil
}

func newDutyWorld(n int) *dutyWorld {
	w := &dutyWorld{}
	for i := range n {
		g := &dutyGateway{}
		g.store.Client = w.memory.Client()
		name := "gateway-" + strconv.Itoa(i)
		usage := &clduty.UsageCounter{WindowLength: dutyWindow}
		now := usage.WindowAt(time.Now())
		for window := now; window < now+20; window++ {
			usage.UpdatePeer("peer", uint64(window), map[int64]map[string]uint64{window: {"account": 1}})
		}
		g.coordinator.Name, g.coordinator.ProcessID, g.coordinator.LeaseTTL = name, name+"/1", dutyLease
		g.coordinator.Store, g.coordinator.Cloud, g.coordinator.Usage = &g.store, acceptingCloud{}, usage
		g.coordinator.ReportDeadline, g.coordinator.Now, g.coordinator.ReportsUsage = 10*time.Second, time.Now, true
		g.coordinator.IsCandidate, g.coordinator.Logger = func() bool { return w.isCandidate(i) }, zap.NewNop()
		w.gateways = append(w.gateways, g)
	}
	return w
}

// isCandidate reports whether a gateway is among the first that are not cut off.
func (w *dutyWorld) isCandidate(i int) bool {
	preceding := 0
	for _, g := range w.gateways[:i] {
		if !g.store.cut.Load() {
			preceding++
		}
	}
	return preceding < dutyCandidates
}

// measure runs the coordinators and lets the store return from an older copy, at the given
// time after a renewal and a measurement in calm.
func (w *dutyWorld) measure(ctx context.Context, endsHolder bool, phase time.Duration) (dutyRun, error) {
	empty := w.memory.Snapshot()
	var run dutyRun
	running, stop := context.WithCancel(ctx)
	g, running := errgroup.WithContext(running)
	for _, d := range w.gateways {
		g.Go(func() error { return d.coordinator.Run(running) })
	}
	holder, err := w.awaitHolder(ctx, 0)
	if err == nil {
		time.Sleep(dutyLease)
		run.calm = w.callsFor(dutyMeasured)
		time.Sleep(phase)
		holder.store.cut.Store(endsHolder)
		w.memory.Restore(empty)
		returned := time.Now()
		held := make(chan error, 1)
		go func() {
			_, err := w.awaitHolder(ctx, 1)
			run.untilHeld = time.Since(returned)
			held <- err
		}()
		run.returned = w.callsFor(dutyMeasured)
		err = <-held
	}
	stop()
	if gerr := g.Wait(); err == nil {
		err = gerr
	}
	return run, err
}

// callsFor returns the store's calls a second for a time.
func (w *dutyWorld) callsFor(d time.Duration) dutyCalls {
	reads, writes, _ := w.memory.Counts()
	time.Sleep(d)
	readsAfter, writesAfter, _ := w.memory.Counts()
	return dutyCalls{float64(readsAfter-reads) / d.Seconds(), float64(writesAfter-writes) / d.Seconds()}
}

// awaitHolder waits for the gateway that holds the lease and knows of the era.
func (w *dutyWorld) awaitHolder(ctx context.Context, era uint64) (*dutyGateway, error) {
	for ctx.Err() == nil {
		for _, g := range w.gateways {
			if _, held := g.coordinator.CurrentLease(); held && g.store.Era() == era {
				return g, nil
			}
		}
		time.Sleep(dutyPoll)
	}
	return nil, ctx.Err()
}

// Get implements clstore.Store.
func (s *dutyStore) Get(ctx context.Context, key string) (clstore.Object, error) {
	if s.cut.Load() {
		return clstore.Object{}, &clstore.Error{Kind: clstore.KindUnavailable, Op: "get", Key: key, Err: errCut}
	}
	return s.Client.Get(ctx, key)
}

// Update implements clstore.Store.
func (s *dutyStore) Update(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if s.cut.Load() {
		return 0, &clstore.Error{Kind: clstore.KindUnavailable, Op: "update", Key: key, Err: errCut}
	}
	return s.Client.Update(ctx, key, value, ifVersion)
}

// ReportUsage implements clduty.Cloud.
func (acceptingCloud) ReportUsage(context.Context, clduty.Holder, int64, map[string]uint64) error {
	return nil
}

// SetScalingTarget implements clduty.Cloud.
func (acceptingCloud) SetScalingTarget(context.Context, clduty.Holder, clduty.ScalingTarget) error {
	return nil
}
