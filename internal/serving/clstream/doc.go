// Package clstream splits a stream of server-sent events into complete events, so
// that an interrupted stream can be resumed at another endpoint without missing
// or repeated events.
package clstream
