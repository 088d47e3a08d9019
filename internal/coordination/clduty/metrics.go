// This file contains the metrics of the lease and of the usage reports.

package clduty

import (
	"github.com/chestnutlead/chestnutlead/cllease"
	"github.com/chestnutlead/chestnutlead/clobserve"
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/go-faster/errors"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

// collectors are the metrics of a coordinator.
type collectors struct {
	acquisitions prometheus.Counter
	losses       *prometheus.CounterVec
	reports      *prometheus.CounterVec
}

// Why a lease is no longer held, as the label "reason" says.
const (
	lossNewEra   = "new_era"
	lossLapsed   = "lapsed"
	lossReplaced = "replaced"
	lossReleased = "released"
)

// newCollectors registers the metrics of the coordinator.
func (c *Coordinator) newCollectors() *collectors {
	m := c.Metrics
	if m == nil {
		m = clobserve.NewMetrics()
	}
	name := func(what, unit string) clobserve.Name {
		return clobserve.Name{Component: "duty", What: what, Unit: unit}
	}
	m.GaugeFunc(name("lease_held", "count"), "1 while this process holds the lease of the duties, and else 0.", func() float64 {
		if c.lease.Current(clclock.Now()).Held {
			return 1
		}
		return 0
	})
	return &collectors{
		acquisitions: m.Counter(name("lease_acquisitions", "total"), "Leases of the duties that this process has acquired.").WithLabelValues(),
		losses: m.Counter(name("lease_losses", "total"),
			"Leases of the duties that this process has ceased to hold: new_era (the store returned from an older copy), lapsed, replaced or released.", "reason"),
		reports: m.Counter(name("usage_reports", "total"),
			"Calls that sent a usage report, by what the cloud API did: accepted, refused (a later holder has called) or unanswered.", "outcome"),
	}
}

// leaseChanged logs and counts a change of the lease from the state last to s.
func (c *Coordinator) leaseChanged(last, s cllease.State) {
	fields := []zap.Field{zap.Bool("held", s.Held), zap.String("holder", s.Holder), zap.Uint64("fencing", s.Fencing),
		zap.Uint64("store_era", s.Era), c.leaseOrigin(s)}
	if s.Held && (!last.Held || s.Fencing != last.Fencing) {
		c.collectors.acquisitions.Inc()
	}
	if last.Held && !s.Held {
		reason := c.lossReason(last, s)
		c.collectors.losses.WithLabelValues(reason).Inc()
		fields = append(fields, zap.String("reason", reason))
	}
	c.Logger.Info("lease changed", fields...)
}

// lossReason returns why the lease is held in the state last and not in s.
func (c *Coordinator) lossReason(last, s cllease.State) string {
	switch {
	case s.Era != last.Era:
		return lossNewEra
	case s.Holder != "" && s.Holder != c.ProcessID:
		return lossReplaced
	case s.Lapsed || !s.Until.After(clclock.Now()):
		return lossLapsed
	}
	return lossReleased
}

// countReport counts a call that sent a usage report.
func (c *Coordinator) countReport(err error) {
	outcome := "accepted"
	switch {
	case errors.Is(err, ErrRefused):
		outcome = "refused"
	case err != nil:
		outcome = "unanswered"
	}
	c.collectors.reports.WithLabelValues(outcome).Inc()
}
