// Package clmove controls rollouts: it moves a service to a new version before
// the operator's deadline, or rolls the version back if it proves bad. The new
// version's share of the requests follows from the request counts of all
// gateways.
//
// The package does no I/O and reads no clock.
package clmove
