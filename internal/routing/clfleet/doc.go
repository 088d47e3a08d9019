// Package clfleet chooses the endpoint of each attempt from what one gateway
// knows: the registered endpoints, its own work in progress, what the other
// gateways report of theirs, and how endpoints have answered.
//
// The package does no I/O and reads no clock. Its types are safe for
// concurrent use.
package clfleet
