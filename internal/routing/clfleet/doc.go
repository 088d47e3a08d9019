// Package clfleet selects the endpoint of each attempt from what one gateway
// knows: the registered endpoints, the load from its own requests, the load that
// the other gateways report, and the outcomes of earlier attempts.
//
// The package does no I/O and reads no clock. Its types are safe for
// concurrent use.
package clfleet
