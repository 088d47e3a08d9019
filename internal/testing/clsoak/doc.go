// Package clsoak runs gateways as separate processes against a stand-in of the
// platform, breaks processes, connections and the store at random from outside,
// and checks the system's promises from what callers and endpoints see.
package clsoak
