// Package clnode puts a gateway process together: it follows the platform's
// store, exchanges digests with the other gateways, does the duties when it is
// its turn, and serves callers.
package clnode
