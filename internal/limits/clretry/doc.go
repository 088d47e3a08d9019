// Package clretry limits how often requests are retried. A Budget is one
// gateway's share of a retry budget common to all gateways; a CrashTracker
// identifies requests that crash the endpoints that run them. A request is
// identified by its fingerprint, a hash that is the same if a caller repeats the
// request.
package clretry
