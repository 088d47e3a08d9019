// Package clnode assembles a gateway process from its components. A node mirrors
// the platform's store, exchanges digests with the other gateways, performs the
// shared duties while it holds their lease, and serves callers.
package clnode
