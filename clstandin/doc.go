// Package clstandin defines small simulated outside systems over HTTP, with
// fault switches, for tests and the demo: the platform, a model engine and a
// plain booking service.
package clstandin
