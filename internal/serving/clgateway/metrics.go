// This file defines the gateway's Prometheus metrics.

package clgateway

import (
	"github.com/chestnutlead/chestnutlead/clobserve"
	"github.com/prometheus/client_golang/prometheus"
)

// instruments holds the gateway's metrics.
type instruments struct {
	requests   *prometheus.CounterVec
	attempts   *prometheus.CounterVec
	refusals   *prometheus.CounterVec
	firstEvent *prometheus.HistogramVec
}

// latencyBuckets are in seconds and cover the latency targets of plain services
// and of first stream events.
var latencyBuckets = []float64{.005, .01, .02, .05, .1, .2, .3, .5, .75, 1, 1.5, 2, 3, 5, 10}

func newInstruments(m *clobserve.Metrics) *instruments {
	return &instruments{
		requests: m.Counter(clobserve.Name{Component: "gateway", What: "requests", Unit: "total"},
			"Requests by route kind and final status.", "kind", "status"),
		attempts: m.Counter(clobserve.Name{Component: "gateway", What: "attempts", Unit: "total"},
			"Attempts by service and outcome.", "service", "outcome"),
		refusals: m.Counter(clobserve.Name{Component: "gateway", What: "refusals", Unit: "total"},
			"Requests that the gateway refused, by reason.", "reason"),
		firstEvent: m.Histogram(clobserve.Name{Component: "gateway", What: "first_event", Unit: "seconds"},
			"Time from the arrival of a request to its first stream event or its response.", latencyBuckets, "kind"),
	}
}
