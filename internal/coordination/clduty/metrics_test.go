// This file tests the metrics of the lease and of the usage reports.

package clduty

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clobserve"
	"github.com/chestnutlead/chestnutlead/clstore"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// metricValues returns the values of the coordinators' metrics, by name and label.
func metricValues(t *testing.T, m *clobserve.Metrics) map[string]float64 {
	t.Helper()
	families, err := m.Registry.Gather()
	require.NoError(t, err)
	values := map[string]float64{}
	for _, f := range families {
		name, ok := strings.CutPrefix(f.GetName(), "chestnutlead_duty_")
		if !ok {
			continue
		}
		for _, s := range f.GetMetric() {
			key := name
			for _, l := range s.GetLabel() {
				key += "/" + l.GetValue()
			}
			values[key] = s.GetCounter().GetValue() + s.GetGauge().GetValue()
		}
	}
	return values
}

// Guards against an operator who cannot see who does the duties, why a gateway has ceased
// to, and that the cloud API refuses or does not answer.
func TestMetricsOfDuties(t *testing.T) {
	memory := &clstore.Memory{}
	empty := memory.Snapshot()
	cloud := &recordingCloud{answersToLose: 1}
	usage := &UsageCounter{WindowLength: time.Second}
	recordStarts(usage)
	core, logs := observer.New(zap.InfoLevel)
	c := newCoordinator("a", memory.Client(), cloud, usage)
	c.Metrics, c.Logger = clobserve.NewMetrics(), zap.New(core)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- c.Run(ctx) }()
	waitFor := func(want map[string]float64) {
		t.Helper()
		var got map[string]float64
		require.Eventually(t, func() bool {
			got = metricValues(t, c.Metrics)
			for key, value := range want {
				if got[key] < value {
					return false
				}
			}
			return true
		}, 15*time.Second, 10*time.Millisecond, "%v of %v", got, want)
	}
	waitFor(map[string]float64{"lease_held_count": 1, "lease_acquisitions_total": 1, "usage_reports_total/unanswered": 1, "usage_reports_total/accepted": 1})

	memory.Restore(empty)
	waitFor(map[string]float64{"lease_losses_total/new_era": 1, "lease_acquisitions_total": 2, "lease_held_count": 1})
	cloud.mu.Lock()
	cloud.refuseReports = true
	cloud.mu.Unlock()
	recordStarts(usage)
	waitFor(map[string]float64{"usage_reports_total/refused": 1})

	stop()
	require.NoError(t, <-ended)
	got := metricValues(t, c.Metrics)
	require.EqualValues(t, 1, got["lease_losses_total/released"], got)
	require.Zero(t, got["lease_held_count"], got)
	require.EqualValues(t, 2, got["lease_acquisitions_total"], got)
	var reasons []string
	for _, l := range logs.FilterMessage("lease changed").All() {
		if reason, ok := l.ContextMap()["reason"].(string); ok {
			reasons = append(reasons, reason)
		}
	}
	require.Equal(t, []string{lossNewEra, lossReleased}, reasons)
}
