// Package clclock provides a clock that keeps running while the machine is
// suspended, and an estimate of the time of day from the clocks of several
// machines. Each gateway reports its machine's time of day to the other gateways at
// regular intervals.
package clclock
