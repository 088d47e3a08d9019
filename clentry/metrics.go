// This file defines the entry's metrics.

package clentry

import (
	"time"

	"github.com/chestnutlead/chestnutlead/clobserve"
	"github.com/prometheus/client_golang/prometheus"
)

// firstTokenBuckets resolve the target of 0.73 s.
var firstTokenBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.73, 1, 2, 5, 10, 30}

type metrics struct {
	requests   *prometheus.CounterVec
	refusals   *prometheus.CounterVec
	firstToken *prometheus.HistogramVec
	duration   *prometheus.HistogramVec
	storeCalls *prometheus.CounterVec
	limit      *prometheus.GaugeVec
	counted    *prometheus.GaugeVec
}

func newMetrics(m *clobserve.Metrics) *metrics {
	name := func(what, unit string) clobserve.Name {
		return clobserve.Name{Component: "entry", What: what, Unit: unit}
	}
	return &metrics{
		requests:   m.Counter(name("requests", "total"), "Requests answered by an endpoint.", "service"),
		refusals:   m.Counter(name("refusals", "total"), "Requests refused, by problem code and run state.", "code", "run"),
		firstToken: m.Histogram(name("first_token", "seconds"), "Time from the attempt to the first byte of content.", firstTokenBuckets, "service"),
		duration:   m.Histogram(name("request", "seconds"), "Time from arrival to the end of the answer.", prometheus.ExponentialBuckets(0.001, 2, 18), "service"),
		limit:      m.Gauge(name("endpoint_limit", "count"), "Requests at once that the grantor allows at an endpoint.", "endpoint"),
		counted:    m.Gauge(name("endpoint_counted", "count"), "Requests at once that the grantor must assume at an endpoint.", "endpoint"),
		storeCalls: m.Counter(name("object_calls", "total"), "Calls to the object API for leases and bookings, by operation and result.", "op", "result"),
	}
}

func (m *metrics) observe(service string, first, total time.Duration) {
	m.requests.WithLabelValues(service).Inc()
	m.firstToken.WithLabelValues(service).Observe(first.Seconds())
	m.duration.WithLabelValues(service).Observe(total.Seconds())
}
