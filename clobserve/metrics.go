// This file defines the metrics of a process.

package clobserve

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

type (
	// Metrics is the registry of one process.
	Metrics struct {
		Registry *prometheus.Registry
	}

	// Name is a metric's name in its parts: chestnutlead_<component>_<what>_<unit>.
	Name struct {
		Component string
		// What is snake_case, as "first_token".
		What string
		// Unit is one of Units.
		Unit string
	}
)

// Units are the units that metrics may have; "total" counts events and "count" things.
var Units = []string{"total", "count", "seconds", "bytes", "ratio", "tokens", "revision", "permille"}

var namePart = regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]+)*$`)

// NewMetrics returns a registry that holds the collectors of the Go runtime and of the process.
func NewMetrics() *Metrics {
	m := &Metrics{Registry: prometheus.NewRegistry()}
	m.Registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// String returns the whole name. It panics on a name that breaks the rules,
// which is a fault of the program, as the registry does on a name used twice.
func (n Name) String() string {
	if !namePart.MatchString(n.Component) || !namePart.MatchString(n.What) || !slices.Contains(Units, n.Unit) {
		panic(fmt.Sprintf("metric name %q, %q, %q: use snake_case parts and a unit of %s",
			n.Component, n.What, n.Unit, strings.Join(Units, ", ")))
	}
	return "chestnutlead_" + n.Component + "_" + n.What + "_" + n.Unit
}

// Counter registers a counter; it panics on a name that is faulty or taken.
func (m *Metrics) Counter(n Name, help string, labels ...string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Name: n.String(), Help: help}, labels)
	m.Registry.MustRegister(c)
	return c
}

// Gauge registers a gauge; it panics on a name that is faulty or taken.
func (m *Metrics) Gauge(n Name, help string, labels ...string) *prometheus.GaugeVec {
	g := prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: n.String(), Help: help}, labels)
	m.Registry.MustRegister(g)
	return g
}

// GaugeFunc registers a gauge whose value is read when metrics are collected.
func (m *Metrics) GaugeFunc(n Name, help string, read func() float64) {
	m.Registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: n.String(), Help: help}, read))
}

// Histogram registers a histogram with the buckets' upper bounds in the
// metric's unit; it panics on a name that is faulty or taken.
func (m *Metrics) Histogram(n Name, help string, buckets []float64, labels ...string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: n.String(), Help: help, Buckets: buckets}, labels)
	m.Registry.MustRegister(h)
	return h
}
