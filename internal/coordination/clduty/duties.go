// This file defines the holder of the duties.

package clduty

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/cllease"
	"github.com/chestnutlead/chestnutlead/clstore"
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

type (
	// Holder is who makes a call, with the fencing number of its lease.
	Holder struct {
		Name    string
		Fencing uint64
	}

	// Cloud takes reports and orders.
	Cloud interface {
		// ReportUsage reports the requests of each account that began to run in a window.
		ReportUsage(ctx context.Context, by Holder, window int64, counts map[string]uint64) error
		// SetScalingTarget orders endpoints; ErrRefused says that there are none,
		// or that another holder has a higher fencing number.
		SetScalingTarget(ctx context.Context, by Holder, o ScalingTarget) error
	}

	// Coordinator does the duties while it holds the lease. Exported fields are set before Run.
	Coordinator struct {
		Name string
		// ProcessID names this start of the process.
		ProcessID string
		LeaseTTL  time.Duration
		Store     clstore.Store
		Cloud     Cloud
		Usage     *UsageCounter
		// ReportDeadline is how long after its end a window's report may come.
		ReportDeadline time.Duration
		// DigestInterval, if set, returns the time between two digests of a gateway.
		DigestInterval func() time.Duration
		// Now returns the true time of day.
		Now func() time.Time
		// ServiceStates returns the services whose endpoints are ordered; nil
		// means that none are.
		ServiceStates func() []ServiceState
		// IsCandidate reports whether this gateway competes for the lease.
		IsCandidate func() bool
		// ReportsUsage and ScalesEndpoints say which duties there are.
		ReportsUsage, ScalesEndpoints bool
		Logger                        *zap.Logger

		lease cllease.Runner
		once  sync.Once
		// fencing is the number under which the fields below were filled.
		fencing  uint64
		reports  Reports
		version  uint64
		loaded   bool
		ordered  map[orderKey]sentOrder
		planners map[string]*Planner
		// loads are the last known loads, at first the predecessor's.
		loads Loads
		// fenced is the highest own fencing number that the cloud has refused.
		fenced uint64
		// first is the window in which this process started; it knows too
		// little of the ones before.
		first int64
	}

	orderKey struct {
		service, dataCentre string
		spot                bool
	}

	sentOrder struct {
		count int
		at    time.Time
	}
)

// ErrRefused says that the cloud has refused a call.
var ErrRefused = errors.New("the cloud refused the call: a holder has a higher fencing number, or there are no such endpoints")

const (
	leaseKey   = "duties"
	reportsKey = "usage"
	// tick is how often the duties are looked at.
	tick = 250 * time.Millisecond
	// leastGather is how long after a window's end its counts are complete at
	// the soonest, and gatherDigests how many digests that takes of each
	// gateway: one or two may be lost.
	leastGather   = 1500 * time.Millisecond
	gatherDigests = 3
	// callTimeout is long enough for a slow cloud and short against the lease.
	callTimeout = 1200 * time.Millisecond
	// reorderAfter repeats orders whose effect has not shown; a call that was
	// not answered may be carried out after newer ones.
	reorderAfter = 6 * time.Second
	// retryAfter spaces orders that got no answer.
	retryAfter = 1500 * time.Millisecond
)

// Run competes for the lease and does the duties until ctx ends.
func (d *Coordinator) Run(ctx context.Context) error {
	d.init()
	d.first = d.Usage.WindowAt(d.Now())
	ended := make(chan error, 1)
	go d.runLease(ctx, ended)
	t := time.NewTicker(tick)
	defer t.Stop()
	for ctx.Err() == nil {
		d.lease.SetWanted(d.IsCandidate())
		if by, ok := d.CurrentLease(); ok {
			d.round(ctx, by)
		}
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
	return <-ended
}

// CurrentLease says whether this process holds the lease now.
func (d *Coordinator) CurrentLease() (Holder, bool) {
	d.init()
	s := d.lease.Current(clclock.Now())
	return Holder{Name: d.Name, Fencing: s.Fencing}, s.Held
}

func (d *Coordinator) init() {
	d.once.Do(func() {
		d.lease.Config = cllease.Config{Key: leaseKey, Holder: d.ProcessID, TTL: d.LeaseTTL}
		d.lease.Store, d.lease.Now = d.Store, clclock.Now
		d.lease.OnChange = func(s cllease.State) {
			d.Logger.Info("lease changed", zap.Bool("held", s.Held), zap.String("holder", s.Holder), zap.Uint64("fencing", s.Fencing))
		}
	})
}

func (d *Coordinator) runLease(ctx context.Context, ended chan<- error) { ended <- d.lease.Run(ctx) }

func (d *Coordinator) round(ctx context.Context, by Holder) {
	if d.fencing != by.Fencing {
		d.inherit()
		d.fencing, d.loaded = by.Fencing, false
		d.ordered, d.planners = map[orderKey]sentOrder{}, map[string]*Planner{}
	}
	if d.fenced >= by.Fencing {
		return // another holder is ahead; the lease will show it
	}
	if d.ReportsUsage {
		d.report(ctx, by)
	}
	if d.ScalesEndpoints && d.ServiceStates != nil {
		d.order(ctx, by)
	}
}

// inherit takes over what the predecessor knew of the load.
func (d *Coordinator) inherit() {
	d.loads.Reset()
	payload, _ := d.lease.Inherited()
	if err := proto.Unmarshal(payload, &d.loads); err != nil {
		d.Logger.Warn("the predecessor's loads cannot be read", zap.Error(err))
	}
	if d.loads.Busy == nil {
		d.loads.Busy = make(map[string]float64)
	}
	d.Logger.Info("duties taken over", zap.Any("loads", d.loads.GetBusy()))
}

// knownLoad returns a service's load, or the predecessor's while this process
// has seen too little, and leaves it to a successor.
func (d *Coordinator) knownLoad(s ServiceState) float64 {
	if s.PeakLoad >= 0 {
		d.loads.Busy[s.Service] = s.PeakLoad
	} else if inherited, ok := d.loads.GetBusy()[s.Service]; ok {
		return inherited
	}
	return s.PeakLoad
}

// report sends what is due. Each report is stored before it is sent, because
// the cloud may accept a call whose answer is lost, and must not get another
// one for the same window with other counts.
func (d *Coordinator) report(ctx context.Context, by Holder) {
	if !d.loaded && !d.load(ctx) {
		return
	}
	now := d.Now()
	current := d.Usage.WindowAt(now)
	for n := max(d.first, current-keptWindows+1); n < current; n++ {
		if now.Before(d.Usage.WindowEnd(n).Add(d.gather())) || d.known(n) != nil {
			continue
		}
		if now.After(d.Usage.WindowEnd(n).Add(d.ReportDeadline)) {
			continue
		}
		counts := d.Usage.Sum(n)
		if len(counts) == 0 {
			continue
		}
		if !d.save(ctx, &Report{Window: n, Counts: counts}) {
			return
		}
	}
	for _, r := range d.reports.GetReports() {
		if r.GetAccepted() || now.After(d.Usage.WindowEnd(r.GetWindow()).Add(2*d.ReportDeadline)) {
			continue
		}
		if !d.send(ctx, by, r) {
			return
		}
	}
}

// gather returns how long after a window's end its counts are complete; at most
// half of the time until they are due, so that a successor can report them.
func (d *Coordinator) gather() time.Duration {
	if d.DigestInterval == nil {
		return leastGather
	}
	return min(d.ReportDeadline/2, max(leastGather, gatherDigests*d.DigestInterval()))
}

func (d *Coordinator) known(window int64) *Report {
	for _, r := range d.reports.GetReports() {
		if r.GetWindow() == window {
			return r
		}
	}
	return nil
}

func (d *Coordinator) load(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	o, err := d.Store.Get(ctx, reportsKey)
	if clstore.KindOf(err) == clstore.KindNotFound {
		d.reports.Reset()
		d.version, d.loaded = 0, true
		return true
	}
	if err == nil {
		err = proto.Unmarshal(o.Value, &d.reports)
	}
	if err != nil {
		d.Logger.Warn("usage reports cannot be read", zap.Error(err))
		return false
	}
	d.version, d.loaded = o.Version, true
	return true
}

// save stores a report that is about to be sent, and what is known of the others.
func (d *Coordinator) save(ctx context.Context, r *Report) bool {
	next := &Reports{Reports: append(slices.Clone(d.reports.GetReports()), r)}
	if over := len(next.Reports) - keptWindows; over > 0 {
		next.Reports = next.Reports[over:]
	}
	b, err := proto.Marshal(next)
	if err != nil {
		d.Logger.Error("usage report cannot be encoded", zap.Error(err))
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err := d.Store.Update(ctx, reportsKey, b, d.version)
	if err != nil {
		// The update may have taken effect, or another holder's has.
		d.loaded = false
		d.Logger.Warn("usage report is not stored", zap.Int64("window", r.GetWindow()), zap.Error(err))
		return false
	}
	d.version = version
	d.reports.Reports = next.Reports
	return true
}

func (d *Coordinator) send(ctx context.Context, by Holder, r *Report) bool {
	if _, ok := d.CurrentLease(); !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := d.Cloud.ReportUsage(ctx, by, r.GetWindow(), r.GetCounts())
	d.Logger.Info("usage reported", zap.Int64("window", r.GetWindow()), zap.Any("counts", r.GetCounts()),
		zap.Uint64("fencing", by.Fencing), zap.Error(err))
	if errors.Is(err, ErrRefused) {
		d.fenced = by.Fencing
	}
	r.Accepted = err == nil
	return err == nil
}

// order sends the orders that differ from what was ordered or from what is there.
func (d *Coordinator) order(ctx context.Context, by Holder) {
	now := clclock.Now()
	for _, s := range d.ServiceStates() {
		if s.PeakLoad = d.knownLoad(s); s.CurrentLoad < 0 {
			s.CurrentLoad = s.PeakLoad
		}
		p := d.planners[s.Service]
		if p == nil {
			p = &Planner{}
			d.planners[s.Service] = p
		}
		for _, o := range p.Plan(s, now) {
			if d.fenced >= by.Fencing {
				return
			}
			d.place(ctx, by, s, p, o, now)
		}
	}
	payload, err := proto.Marshal(&d.loads)
	if err != nil {
		d.Logger.Error("loads cannot be encoded", zap.Error(err))
		return
	}
	d.lease.SetPayload(payload)
}

func (d *Coordinator) place(ctx context.Context, by Holder, s ServiceState, p *Planner, o ScalingTarget, now time.Time) {
	key := orderKey{o.Service, o.DataCentre, o.Spot}
	last, sent := d.ordered[key]
	have := 0
	for _, e := range s.Endpoints {
		if e.DataCentre == o.DataCentre && e.Spot == o.Spot && !e.Leaving {
			have++
		}
	}
	if sent && last.count == o.Count && (have == o.Count || now.Sub(last.at) < reorderAfter) || !sent && have == o.Count {
		return
	}
	if _, ok := d.CurrentLease(); !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := d.Cloud.SetScalingTarget(ctx, by, o)
	d.Logger.Info("endpoints ordered", zap.String("service", o.Service), zap.String("data_centre", o.DataCentre), zap.Bool("spot", o.Spot),
		zap.Int("count", o.Count), zap.Int("have", have), zap.Float64("load", s.PeakLoad), zap.Uint64("fencing", by.Fencing), zap.Error(err))
	switch {
	case errors.Is(err, ErrRefused):
		if o.Spot {
			p.RecordSpotRefusal(o.DataCentre, now)
		}
		d.ordered[key] = sentOrder{have, now}
	case err == nil:
		d.ordered[key] = sentOrder{o.Count, now}
	default:
		d.ordered[key] = sentOrder{o.Count, now.Add(retryAfter - reorderAfter)}
	}
}
