// This file defines the gateway's metrics.

package clgateway

import (
	"github.com/chestnutlead/chestnutlead/clobserve"
	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	requests   *prometheus.CounterVec
	attempts   *prometheus.CounterVec
	refusals   *prometheus.CounterVec
	firstEvent *prometheus.HistogramVec
}

// latencyBuckets resolve the targets of plain services and of first events.
var latencyBuckets = []float64{.005, .01, .02, .05, .1, .2, .3, .5, .75, 1, 1.5, 2, 3, 5, 10}

func newMetrics(m *clobserve.Metrics) *metrics {
	return &metrics{
		requests: m.Counter(clobserve.Name{Component: "gateway", What: "requests", Unit: "total"},
			"Requests by how they ended.", "kind", "status"),
		attempts: m.Counter(clobserve.Name{Component: "gateway", What: "attempts", Unit: "total"},
			"Attempts at endpoints by outcome.", "service", "outcome"),
		refusals: m.Counter(clobserve.Name{Component: "gateway", What: "refusals", Unit: "total"},
			"Requests that the gateway refused, by reason.", "reason"),
		firstEvent: m.Histogram(clobserve.Name{Component: "gateway", What: "first_event", Unit: "seconds"},
			"Time to the first event or the answer, from the request's arrival.", latencyBuckets, "kind"),
	}
}
