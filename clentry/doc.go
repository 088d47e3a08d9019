// Package clentry is the entry process: it takes callers' requests, chooses
// endpoints, and returns whole answers or truthful refusals.
package clentry
