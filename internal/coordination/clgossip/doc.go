// Package clgossip exchanges digests among gateways. Several times a second, each
// gateway sends a digest of its counts and observations to all others as a UDP
// datagram. Any datagram may be lost.
package clgossip
