// Package clmove controls rollouts: it moves a service to a new version before
// the operator's deadline, or rolls the version back if it proves bad. The new
// version's share of the requests follows from the counts of requests and outcomes
// of all gateways, and from the time left until the deadline.
//
// The package does no I/O and reads no clock.
package clmove
