// Package clretry limits how often requests are retried. A Budget is one
// gateway's share of a retry budget common to all gateways.
package clretry
