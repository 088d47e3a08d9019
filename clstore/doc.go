// Package clstore defines the object store that the embeddable packages need:
// versioned values with conditional updates. Memory is a store for tests and
// examples.
package clstore
