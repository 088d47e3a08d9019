// Package clpattern plays named patterns of load against the choice of
// endpoints, in virtual time and without a network: a small model of batching
// engines, and many gateways that decide at once with late facts of each other.
package clpattern
