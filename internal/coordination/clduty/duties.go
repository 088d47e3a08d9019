// This file contains the coordinator, which runs the lease holder's tasks.

package clduty

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/cllease"
	"github.com/chestnutlead/chestnutlead/clobserve"
	"github.com/chestnutlead/chestnutlead/clstore"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/samber/lo"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

type (
	// Holder identifies a lease holder in its calls to the cloud API.
	Holder struct {
		// Name is the name of the holder's gateway.
		Name string
		// Fencing is the fencing token of the holder's lease.
		Fencing uint64
	}

	// Cloud is the cloud API. Its methods return ErrRefused if a holder with a
	// higher fencing token has called before.
	Cloud interface {
		// ReportUsage reports how many requests of each account started to run in
		// the window with the given number.
		ReportUsage(ctx context.Context, by Holder, window int64, counts map[string]uint64) error
		// SetScalingTarget sets the number of spot or on-demand endpoints that a
		// data centre should have for a service. It also returns ErrRefused if no
		// such endpoints are available.
		SetScalingTarget(ctx context.Context, by Holder, target ScalingTarget) error
	}

	// Coordinator reports usage and scales endpoints while it holds the lease.
	// Its exported fields must be set before use.
	Coordinator struct {
		// Name is the gateway's name, sent to the cloud API with each call.
		Name string
		// ProcessID identifies this run of the process as the holder of the lease.
		ProcessID string
		// LeaseTTL is how long the lease stays valid without a renewal.
		LeaseTTL time.Duration
		// Store holds the lease and the usage reports.
		Store clstore.Store
		Cloud Cloud
		// Usage holds the counts to be reported.
		Usage *UsageCounter
		// ReportDeadline is how long after the end of a window its report is due.
		ReportDeadline time.Duration
		// DigestInterval returns the time between two gossip digests of a gateway:
		// the messages from which the other gateways learn its request counts. If it
		// is nil, a window's counts are taken as complete minGatherDelay after the
		// window's end.
		DigestInterval func() time.Duration
		// Now returns the time of day, by which requests are assigned to usage
		// windows. It should be the same on all gateways; see clclock.MedianClock.
		Now func() time.Time
		// ServiceStates returns the services whose endpoints are scaled; if it is
		// nil, none are.
		ServiceStates func() []ServiceState
		// IsCandidate reports whether this gateway competes for the lease.
		IsCandidate func() bool
		// Metrics is the registry for the coordinator's metrics; if it is nil, they are
		// not registered.
		Metrics *clobserve.Metrics
		// ReportsUsage and ScalesEndpoints enable the two tasks.
		ReportsUsage, ScalesEndpoints bool
		// UnreportedWindows, if set, counts the windows that are not reported because an
		// earlier holder may have reported them with other counts.
		UnreportedWindows prometheus.Counter
		Logger            *zap.Logger

		lease      cllease.Runner
		initOnce   sync.Once
		collectors *collectors
		// era is the latest era of the store that the tasks have seen; eraSeenAt and
		// continues are those of its eraState.
		era       uint64
		eraSeenAt time.Time
		continues bool
		// stateFencing is the fencing token of the lease to which the fields from
		// reports to knownLoads belong. They are initialized for each new lease, unless
		// this process has been the holder without a gap.
		stateFencing uint64
		// reports holds the stored usage reports, also while they must be read again,
		// and reportsVersion their version in the store, which is valid if
		// reportsLoaded is set. reportsComplete says that reports lacks no recent
		// report that this process or an earlier holder has sent.
		reports         Reports
		reportsVersion  uint64
		reportsLoaded   bool
		reportsComplete bool
		// unknownUntil is the time before which reports may have been stored that the
		// store has lost; it is a value of clclock.Now.
		unknownUntil time.Time
		// sentTargets holds the last scaling target sent for each key.
		sentTargets map[targetKey]sentTarget
		// planners holds the planner of each service, by its name.
		planners map[string]*Planner
		// knownLoads holds the last known load of each service, initially as the
		// previous lease holder stored it with the lease.
		knownLoads Loads

		// refusedFencing is the fencing token of the last usage report that the
		// cloud API has refused. A refused scaling target does not set it, as it
		// may only mean that no endpoints are available.
		refusedFencing uint64
		// firstWindow is the window in which Run was called. No new reports are made
		// for earlier windows, as this process may not know all their counts; stored
		// reports for them are still sent.
		firstWindow int64
		// lastUnreported is the last window that was counted as not reported.
		lastUnreported int64

		// mu guards the fields that follow it.
		mu sync.Mutex
		// latest is the latest era. heldFencing is the fencing token that this process
		// held at the last change of the lease's state, or 0, and takenOver the one for
		// which it has initialized its state last.
		latest                 eraState
		heldFencing, takenOver uint64
		// unaccepted holds the counts of the stored reports that the cloud API has not
		// accepted, by window.
		unaccepted map[int64]map[string]uint64
		// peerReports holds the counts of reports that other holders have stored, by
		// window.
		peerReports windowCounts
	}

	// eraState is what a process knows of an era of the store.
	eraState struct {
		era uint64
		// seenAt is when the process learned of the era. It is a value of clclock.Now, as
		// the time of day may be corrected when digests of other gateways arrive.
		seenAt time.Time
		// continues is set if the process trusted its lease when it learned of the era,
		// and had taken over the tasks under it. No other process has acted as the
		// holder in between if this one is the first holder in the era.
		continues bool
		// acquired is set if the process has held the lease in the era.
		acquired bool
	}

	// targetKey identifies the endpoints that a scaling target is for.
	targetKey struct {
		service, dataCentre string
		spot                bool
	}

	// sentTarget is the last scaling target sent for a targetKey.
	sentTarget struct {
		// count is the number of endpoints that the cloud API is assumed to apply:
		// after a refusal, the number that existed then.
		count int
		// sentAt is when the target was sent. After a call without an answer it is
		// earlier, so that the target is sent again after unansweredResendDelay.
		sentAt time.Time
		// refused is set if the cloud API refused the target.
		refused bool
	}
)

// ErrRefused is returned if the cloud API has refused a call.
var ErrRefused = errors.New("cloud API refused the call: another holder has a higher fencing token, or no such endpoints are available")

const (
	// leaseKey and reportsKey are the keys of the lease and of the usage reports
	// in the store.
	leaseKey   = "duties"
	reportsKey = "usage"
	// pollInterval is the time between two checks for due tasks.
	pollInterval = 250 * time.Millisecond
	// A window's counts are taken as complete minGatherDelay after its end, or
	// later: after gatherDigestIntervals digests of each gateway, of which one
	// or two may be lost.
	minGatherDelay        = 1500 * time.Millisecond
	gatherDigestIntervals = 3
	// maxOlderObjects is the number of earlier eras whose reports are looked for. It
	// bounds the reads of a new holder; older reports are past their deadline unless the
	// store returned several times in a row.
	maxOlderObjects = 4
	// callTimeout limits each call to the cloud API and to the store. It is long
	// enough for a slow cloud API and short compared with the lease.
	callTimeout = 1200 * time.Millisecond
	// resendDelay is the time after which a scaling target is sent again if the
	// number of endpoints still differs from it. This can happen because an earlier
	// call that got no answer may take effect after newer calls.
	resendDelay = 6 * time.Second
	// unansweredResendDelay replaces resendDelay after a call that got no answer or
	// was refused.
	unansweredResendDelay = 1500 * time.Millisecond
)

// Run competes for the lease until ctx ends, and runs the tasks whenever this
// process holds the lease. It returns the lease's error, if any.
func (c *Coordinator) Run(ctx context.Context) error {
	c.initLease()
	c.firstWindow = c.Usage.WindowAt(c.Now())
	ended := make(chan error, 1)
	go c.runLease(ctx, ended)
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		c.observeLease(c.IsCandidate())
		if holder, ok := c.CurrentLease(); ok {
			c.runTasks(ctx, holder)
		}
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
	return <-ended
}

// CurrentLease returns this process as a lease holder and reports whether it
// holds the lease now.
func (c *Coordinator) CurrentLease() (Holder, bool) {
	c.initLease()
	s := c.lease.Current(clclock.Now())
	return Holder{Name: c.Name, Fencing: s.Fencing}, s.Held
}

// observeLease says whether this process competes for the lease, and learns of a new era
// of the store.
func (c *Coordinator) observeLease(isCandidate bool) {
	c.lease.SetWanted(isCandidate)
	if latest := c.learnEra(c.lease.Current(clclock.Now())); latest.era != c.era {
		c.era, c.eraSeenAt, c.continues = latest.era, latest.seenAt, latest.continues
	}
}

// learnEra records the era that the state of the lease names, if it is a new one, and
// returns what is known of the latest era.
func (c *Coordinator) learnEra(s cllease.State) eraState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s.Era > c.latest.era {
		trusted := c.heldFencing != 0 && c.heldFencing == c.takenOver || c.latest.continues && !c.latest.acquired
		now := clclock.Now()
		c.latest = eraState{era: s.Era, seenAt: now, continues: trusted && now.Before(s.Until)}
	}
	return c.latest
}

// recordLease records a change of the lease's state. It is called before the lease is
// released, and before it is acquired in a new era, even while a task waits for a call.
func (c *Coordinator) recordLease(s cllease.State) {
	c.learnEra(s)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.heldFencing = 0
	if s.Held {
		c.heldFencing = s.Fencing
	}
	c.latest.acquired = c.latest.acquired || s.Held
}

// holds returns the state of the lease and reports whether this process still has the
// lease that holder describes.
func (c *Coordinator) holds(holder Holder) (cllease.State, bool) {
	s := c.lease.Current(clclock.Now())
	return s, s.Held && s.Fencing == holder.Fencing
}

func (c *Coordinator) initLease() {
	c.initOnce.Do(func() {
		c.lease.Config = cllease.Config{Key: leaseKey, Holder: c.ProcessID, TTL: c.LeaseTTL}
		c.lease.Store, c.lease.Now = c.Store, clclock.Now
		c.collectors = c.newCollectors()
		var last cllease.State
		c.lease.OnChange = func(s cllease.State) {
			c.recordLease(s)
			c.leaseChanged(last, s)
			last = s
		}
	})
}

// leaseOrigin returns the field of a log line that says where this process's token comes
// from, if it ever held the lease.
func (c *Coordinator) leaseOrigin(s cllease.State) zap.Field {
	if s.Origin.ConfirmedFrom.IsZero() {
		return zap.Skip()
	}
	return zap.Dict("lease",
		zap.Uint64("version", s.Origin.Version), zap.Duration("age", clclock.Now().Sub(s.Origin.ConfirmedFrom)), zap.Duration("left", s.Left(clclock.Now())),
		zap.Uint64("replaced_version", s.Origin.Replaced), zap.String("replaced_holder", s.Origin.ReplacedHolder), zap.Uint64("replaced_fencing", s.Origin.ReplacedFencing))
}

func (c *Coordinator) runLease(ctx context.Context, ended chan<- error) { ended <- c.lease.Run(ctx) }

// runTasks runs the enabled tasks once.
func (c *Coordinator) runTasks(ctx context.Context, holder Holder) {
	if c.stateFencing != holder.Fencing && !c.takeOver(holder) {
		return
	}
	if c.refusedFencing >= holder.Fencing {
		return // another holder has a newer lease, which this process will soon see
	}
	if c.ReportsUsage {
		c.reportUsage(ctx, holder)
	}
	if c.ScalesEndpoints && c.ServiceStates != nil {
		c.scaleEndpoints(ctx, holder)
	}
}

// takeOver initializes the state for a new lease, and reports whether this process still
// has the lease.
func (c *Coordinator) takeOver(holder Holder) bool {
	s, ok := c.holds(holder)
	if !ok || s.Era != c.era {
		return false
	}
	if !c.continues || s.Origin.Replaced != 0 {
		c.takeOverLoads()
		c.sentTargets, c.planners = map[targetKey]sentTarget{}, map[string]*Planner{}
		c.reportsComplete = false
	}
	if !c.reportsComplete {
		c.unknownUntil = time.Time{}
		if c.era > 0 {
			c.unknownUntil = c.eraSeenAt
		}
	}
	c.stateFencing, c.reportsLoaded, c.continues = holder.Fencing, false, false
	c.mu.Lock()
	c.takenOver = holder.Fencing
	c.mu.Unlock()
	return true
}

// takeOverLoads replaces the known loads by those that the previous lease holder
// stored with the lease. If there are none, as the store has lost them, it keeps those of
// this process's earlier lease.
func (c *Coordinator) takeOverLoads() {
	if payload, _ := c.lease.Inherited(); len(payload) > 0 {
		c.knownLoads.Reset()
		if err := proto.Unmarshal(payload, &c.knownLoads); err != nil {
			c.Logger.Warn("cannot decode the loads of the previous lease holder", zap.Error(err))
		}
	}
	if c.knownLoads.Busy == nil {
		c.knownLoads.Busy = make(map[string]float64)
	}
	c.Logger.Info("took over from the previous lease holder", zap.Any("loads", c.knownLoads.GetBusy()))
}

// effectiveLoad returns a service's peak load. While this process does not know
// it yet, it returns the load that the previous lease holder stored, if any, or
// else a negative number. It records a known load for a successor.
func (c *Coordinator) effectiveLoad(state ServiceState) float64 {
	if state.PeakLoad >= 0 {
		c.knownLoads.Busy[state.Service] = state.PeakLoad
	} else if inherited, ok := c.knownLoads.GetBusy()[state.Service]; ok {
		return inherited
	}
	return state.PeakLoad
}

// reportUsage reports each window whose counts are complete and whose deadline has
// not passed, unless there were no requests. It sends a report again until the
// cloud API accepts it, or until twice ReportDeadline after the end of the window.
// Each report is stored before it is sent: the cloud API may accept a call whose
// answer is lost, and must not receive another report of that window with
// different counts. If the store has returned from an older copy, it may have lost the
// report of a window that had ended by then. Such a window is reported only if its report
// is known. Later windows are safe: a report is not stored before gatherDelay after the
// window's end, as long as the clocks of the holders differ by less.
func (c *Coordinator) reportUsage(ctx context.Context, holder Holder) {
	if !c.reportsLoaded && !c.loadReports(ctx) {
		return
	}
	now := c.Now()
	var unknownUntil time.Time
	if !c.unknownUntil.IsZero() {
		unknownUntil = now.Add(c.unknownUntil.Sub(clclock.Now()))
	}
	currentWindow := c.Usage.WindowAt(now)
	for window := max(c.firstWindow, currentWindow-retainedWindows+1); window < currentWindow; window++ {
		if now.Before(c.Usage.WindowEnd(window).Add(c.gatherDelay())) || c.storedReport(window) != nil {
			continue
		}
		if now.After(c.Usage.WindowEnd(window).Add(c.ReportDeadline)) {
			continue
		}
		counts := c.Usage.Sum(window)
		if len(counts) == 0 {
			continue
		}
		if !c.Usage.WindowEnd(window).After(unknownUntil) {
			c.recordUnreported(window, unknownUntil)
			continue
		}
		if !c.storeReport(ctx, &Report{Window: window, Counts: counts}) {
			return
		}
	}
	defer c.publishReports()
	c.publishReports()
	for _, r := range c.reports.GetReports() {
		if r.GetAccepted() || now.After(c.Usage.WindowEnd(r.GetWindow()).Add(2*c.ReportDeadline)) {
			continue
		}
		if !c.sendReport(ctx, holder, r) {
			return
		}
	}
}

// gatherDelay returns how long after a window's end its counts are taken as
// complete. If it depends on DigestInterval, it is at most half of ReportDeadline,
// so that a successor can still send the report in time.
func (c *Coordinator) gatherDelay() time.Duration {
	if c.DigestInterval == nil {
		return minGatherDelay
	}
	return min(c.ReportDeadline/2, max(minGatherDelay, gatherDigestIntervals*c.DigestInterval()))
}

// publishReports makes the stored reports that have not been accepted available to
// UnacceptedReports.
func (c *Coordinator) publishReports() {
	unaccepted := make(map[int64]map[string]uint64)
	for _, r := range c.reports.GetReports() {
		if !r.GetAccepted() {
			unaccepted[r.GetWindow()] = r.GetCounts()
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unaccepted = unaccepted
}

// UnacceptedReports returns the counts of the usage reports, by window, that this process
// has stored as the lease holder and that the cloud API has not accepted. The other
// gateways are told of them, because the store may lose them. The maps must not be
// changed.
func (c *Coordinator) UnacceptedReports() map[int64]map[string]uint64 {
	if _, ok := c.CurrentLease(); !ok {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.unaccepted
}

// RecordPeerReports remembers, for the case that the store loses them, the usage reports
// that the lease holder has stored, by window. It keeps those of the last retainedWindows
// windows.
func (c *Coordinator) RecordPeerReports(reports map[int64]map[string]uint64) {
	if len(reports) == 0 {
		return
	}
	current := c.Usage.WindowAt(c.Now())
	isRecent := func(window int64) bool { return window > current-retainedWindows && window <= current }
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.peerReports == nil {
		c.peerReports = make(windowCounts)
	}
	for window, counts := range reports {
		if c.peerReports[window] == nil && isRecent(window) {
			c.peerReports[window] = counts
		}
	}
	maps.DeleteFunc(c.peerReports, func(window int64, _ map[string]uint64) bool { return !isRecent(window) })
}

// reportsOfPeers returns what RecordPeerReports has remembered.
func (c *Coordinator) reportsOfPeers() []*Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return lo.MapToSlice(c.peerReports, func(window int64, counts map[string]uint64) *Report {
		return &Report{Window: window, Counts: counts}
	})
}

// recordUnreported logs and counts, once, a window that is not reported.
func (c *Coordinator) recordUnreported(window int64, unknownUntil time.Time) {
	if window <= c.lastUnreported {
		return
	}
	c.lastUnreported = window
	if c.UnreportedWindows != nil {
		c.UnreportedWindows.Inc()
	}
	c.Logger.Warn("usage window is not reported: the store may have lost a report of it", zap.Int64("window", window),
		zap.Uint64("store_era", c.era), zap.Time("unknown_until", unknownUntil))
}

// storedReport returns the stored report of a window, or nil if there is none.
func (c *Coordinator) storedReport(window int64) *Report {
	return findReport(c.reports.GetReports(), window)
}

// findReport returns the report of a window, or nil if there is none.
func findReport(reports []*Report, window int64) *Report {
	for _, r := range reports {
		if r.GetWindow() == window {
			return r
		}
	}
	return nil
}

// loadReports reads the usage reports from the store and reports whether it
// succeeded. If none are stored, it succeeds. Reports that this process knows, but
// that the store has lost, are stored again.
func (c *Coordinator) loadReports(ctx context.Context) bool {
	stored, version, err := c.readReports(ctx, c.era)
	var older []*Report
	if err == nil && version == 0 && !c.reportsComplete {
		older, err = c.readOlderReports(ctx)
	}
	if err != nil {
		c.Logger.Warn("cannot read the stored usage reports", zap.Error(err))
		return false
	}
	for _, r := range stored {
		r.Accepted = r.GetAccepted() || c.storedReport(r.GetWindow()).GetAccepted()
	}
	merged := stored
	if c.era > 0 {
		merged = c.addMissing(stored, c.reports.GetReports(), c.reportsOfPeers(), older)
	}
	if len(merged) > len(stored) {
		version, err = c.writeReports(ctx, merged, version)
		if err != nil {
			c.Logger.Warn("cannot store the usage reports again", zap.Error(err))
			return false
		}
		c.Logger.Info("stored usage reports of earlier eras again", zap.Uint64("store_era", c.era), zap.Int("reports", len(merged)-len(stored)))
	}
	c.reports.Reports, c.reportsVersion = merged, version
	c.reportsLoaded, c.reportsComplete = true, true
	return true
}

// addMissing returns the reports in stored and those of the other lists whose windows are
// recent and have none yet. Earlier lists take precedence.
func (c *Coordinator) addMissing(stored []*Report, others ...[]*Report) []*Report {
	oldest := c.Usage.WindowAt(c.Now()) - retainedWindows + 1
	var missing []*Report
	for _, reports := range others {
		for _, r := range reports {
			if r.GetWindow() >= oldest && findReport(stored, r.GetWindow()) == nil && findReport(missing, r.GetWindow()) == nil {
				missing = append(missing, r)
			}
		}
	}
	return append(missing, stored...)
}

// readOlderReports returns the reports that the store's older copy holds of earlier eras.
// It leaves out the one written last, which may be from a call that was carried out only
// after the return: its holder may since have stored and sent another report of that
// window.
func (c *Coordinator) readOlderReports(ctx context.Context) ([]*Report, error) {
	for era := c.era; era > 0 && c.era-era < maxOlderObjects; {
		era--
		reports, version, err := c.readReports(ctx, era)
		switch {
		case err != nil:
			return nil, err
		case len(reports) > 0:
			return reports[:len(reports)-1], nil
		case version != 0:
			return nil, nil
		}
	}
	return nil, nil
}

// readReports reads the reports of an era and their version in the store, 0 if there are
// none.
func (c *Coordinator) readReports(ctx context.Context, era uint64) ([]*Report, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	object, err := c.Store.Get(ctx, clstore.KeyInEra(reportsKey, era))
	if clstore.KindOf(err) == clstore.KindNotFound {
		object, err = clstore.Object{}, nil
	}
	if err == nil {
		err = c.checkEra()
	}
	var reports Reports
	if err == nil {
		err = proto.Unmarshal(object.Value, &reports)
	}
	return reports.GetReports(), object.Version, err
}

// writeReports replaces the stored reports of the current era and returns their new
// version.
func (c *Coordinator) writeReports(ctx context.Context, reports []*Report, version uint64) (uint64, error) {
	b, err := proto.Marshal(&Reports{Reports: reports})
	if err != nil {
		return 0, errors.Wrap(err, "encode the usage reports")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	version, err = c.Store.Update(ctx, clstore.KeyInEra(reportsKey, c.era), b, version)
	if err == nil {
		err = c.checkEra()
	}
	return version, err
}

// checkEra returns an error if the store has begun a new era: then it may have lost what
// a call of the era before has read or written.
func (c *Coordinator) checkEra() error {
	if era := clstore.EraOf(c.Store); era != c.era {
		return errors.Errorf("store began era %d during a call in era %d", era, c.era)
	}
	return nil
}

// storeReport stores a report that is about to be sent, together with the earlier
// reports and whether each has been accepted, and reports whether it succeeded. It
// keeps the reports of the last retainedWindows windows.
func (c *Coordinator) storeReport(ctx context.Context, r *Report) bool {
	updated := append(slices.Clone(c.reports.GetReports()), r)
	for len(updated) > retainedWindows {
		oldest := lo.MinBy(updated, func(a, b *Report) bool { return a.GetWindow() < b.GetWindow() })
		updated = lo.Without(updated, oldest)
	}
	version, err := c.writeReports(ctx, updated, c.reportsVersion)
	if err != nil {
		// The failed update or another holder's may have taken effect, so that the
		// stored reports must be read again.
		c.reportsLoaded = false
		c.Logger.Warn("cannot store the usage report", zap.Int64("window", r.GetWindow()), zap.Error(err))
		return false
	}
	c.reports.Reports, c.reportsVersion = updated, version
	return true
}

// sendReport sends a report, if this process still holds the lease, and reports
// whether the cloud API has accepted it. The acceptance is stored with the next
// new report.
func (c *Coordinator) sendReport(ctx context.Context, holder Holder, r *Report) bool {
	lease, ok := c.holds(holder)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.Cloud.ReportUsage(ctx, holder, r.GetWindow(), r.GetCounts())
	c.Logger.Info("usage report sent", zap.Int64("window", r.GetWindow()), zap.Any("counts", r.GetCounts()),
		zap.Uint64("fencing", holder.Fencing), zap.Uint64("store_era", clstore.EraOf(c.Store)), c.leaseOrigin(lease), zap.Error(err))
	c.countReport(err)
	if errors.Is(err, ErrRefused) {
		c.refusedFencing = holder.Fencing
	}
	r.Accepted = err == nil
	return err == nil
}

// scaleEndpoints plans the scaling targets of all services and sends them as far as
// needed. It then stores the known loads with the lease, for a successor.
func (c *Coordinator) scaleEndpoints(ctx context.Context, holder Holder) {
	now := clclock.Now()
	for _, state := range c.ServiceStates() {
		if state.PeakLoad = c.effectiveLoad(state); state.CurrentLoad < 0 {
			state.CurrentLoad = state.PeakLoad
		}
		planner := c.planners[state.Service]
		if planner == nil {
			planner = &Planner{}
			c.planners[state.Service] = planner
		}
		for _, target := range planner.Plan(state, now) {
			if c.refusedFencing >= holder.Fencing {
				return
			}
			c.sendTarget(ctx, holder, state, planner, target, now)
		}
	}
	payload, err := proto.Marshal(&c.knownLoads)
	if err != nil {
		c.Logger.Error("cannot encode the loads", zap.Error(err))
		return
	}
	c.lease.SetPayload(payload)
}

// sendTarget sends a scaling target if this process still holds the lease and the
// target is new or has had no effect. The first target for a targetKey is sent if it
// differs from the number of existing endpoints. A later target is sent if it differs
// from the last one sent. A target equal to the last one is sent again after
// resendDelay, or after unansweredResendDelay if the last call got no answer, provided
// that the target differs from the number of existing endpoints. If the last target was
// refused, the number of endpoints that existed at the refusal is used as the last
// target, and nothing is sent for unansweredResendDelay. Endpoints that are leaving do
// not count as existing. While endpoints are on trial, nothing is sent if the number is
// right, whatever was sent before.
func (c *Coordinator) sendTarget(ctx context.Context, holder Holder, state ServiceState, planner *Planner, target ScalingTarget, now time.Time) {
	key := targetKey{target.Service, target.DataCentre, target.Spot}
	last, sent := c.sentTargets[key]
	existing, onTrial := countKind(state.Endpoints, target), countKind(state.TrialEndpoints, target)
	existing += onTrial
	if onTrial > 0 && existing == target.Count {
		// An order for the number that is there would have the endpoints on trial
		// replaced when their rollout stops them.
		return
	}
	if sent && last.count == target.Count && (existing == target.Count || now.Sub(last.sentAt) < resendDelay) || !sent && existing == target.Count {
		return
	}
	if last.refused && now.Sub(last.sentAt) < unansweredResendDelay {
		return
	}
	lease, ok := c.holds(holder)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := c.Cloud.SetScalingTarget(ctx, holder, target)
	c.Logger.Info("scaling target sent", zap.String("service", target.Service), zap.String("data_centre", target.DataCentre), zap.Bool("spot", target.Spot),
		zap.Int("count", target.Count), zap.Int("have", existing), zap.Float64("load", state.PeakLoad), zap.Uint64("fencing", holder.Fencing),
		zap.Uint64("store_era", clstore.EraOf(c.Store)), c.leaseOrigin(lease), zap.Error(err))
	switch {
	case errors.Is(err, ErrRefused):
		if target.Spot {
			planner.RecordSpotRefusal(target.DataCentre, now)
		}
		c.sentTargets[key] = sentTarget{count: existing, sentAt: now, refused: true}
	case err == nil:
		c.sentTargets[key] = sentTarget{count: target.Count, sentAt: now}
	default:
		c.sentTargets[key] = sentTarget{count: target.Count, sentAt: now.Add(unansweredResendDelay - resendDelay)}
	}
}

// countKind returns the number of endpoints that a target is about.
func countKind(endpoints []clcatalog.Endpoint, target ScalingTarget) int {
	spot, onDemand := countKinds(endpoints, target.DataCentre)
	if target.Spot {
		return spot
	}
	return onDemand
}
