// This file defines the circuit of an endpoint.

package clroute

import "time"

type (
	// CircuitConfig holds the parameters of circuits; zero fields get the defaults.
	CircuitConfig struct {
		// Failures is the number of failures in a row that opens a circuit.
		Failures int
		// OpenFor is the time for which it opens first; it doubles with each
		// failed trial up to OpenForMax.
		OpenFor, OpenForMax time.Duration
	}

	// circuit is closed while openUntil is zero. After openUntil one trial
	// request is let through at a time.
	circuit struct {
		failures  int
		trial     bool
		openFor   time.Duration
		openUntil time.Time
	}
)

// Defaults of CircuitConfig.
const (
	defaultFailures   = 5
	defaultOpenFor    = time.Second
	defaultOpenForMax = 30 * time.Second
)

func (c CircuitConfig) withDefaults() CircuitConfig {
	if c.Failures <= 0 {
		c.Failures = defaultFailures
	}
	setDefault(&c.OpenFor, defaultOpenFor)
	setDefault(&c.OpenForMax, defaultOpenForMax)
	return c
}

// probe keeps others out while a trial request runs. If the trial's end is never
// reported, another trial is let through after the same time.
func (c *circuit) probe(cfg CircuitConfig, now time.Time) {
	c.trial = true
	c.openUntil = now.Add(max(c.openFor, cfg.OpenFor))
}

func (c *circuit) succeeded() { *c = circuit{} }

func (c *circuit) failed(cfg CircuitConfig, now time.Time) {
	c.failures++
	if c.failures < cfg.Failures {
		return
	}
	if !c.trial && now.Before(c.openUntil) {
		// A request that was sent before the circuit opened says nothing new.
		return
	}
	c.trial = false
	c.openFor = min(max(2*c.openFor, cfg.OpenFor), cfg.OpenForMax)
	c.openUntil = now.Add(c.openFor)
}
