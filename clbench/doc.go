// Package clbench measures what the system costs: it runs its processes and
// cores at several sizes, fits each cost against the size, and reports points,
// fits and residuals. docs/CAPACITY.md is derived from its figures.
//
// CPU figures are CPU time from the operating system, so other work on the
// machine changes them little. Latencies are wall time and vary with it.
package clbench
