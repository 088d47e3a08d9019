// Package clcost models what a request needs of an endpoint: the time to process its
// prompt, the time for which its output occupies a slot, and memory.
//
// A Model is learned for each route of a service from requests that were answered in
// whole. It starts from priors that give way within about a minute, and forgets with a
// half-life of a minute. The package does no I/O and reads no clock; its types are not
// safe for concurrent use.
package clcost
