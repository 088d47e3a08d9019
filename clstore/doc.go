// Package clstore defines the object store that the embeddable packages need:
// versioned values with conditional updates. Adapt turns an existing client
// into a Store, and Memory is a store for tests and examples.
package clstore
