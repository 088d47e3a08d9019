// Package clmove moves a service to a new version within the time that its
// operator has set, or takes the version back when it proves bad: it decides
// the new version's share of the requests from what all gateways have counted.
//
// The package does no I/O and reads no clock.
package clmove
