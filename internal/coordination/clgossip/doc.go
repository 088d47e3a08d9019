// Package clgossip exchanges digests among gateways. A digest holds the counts and
// observations of the gateway that sends it. Each gateway sends its digest to all
// other gateways, its peers, as a UDP datagram, at an interval that grows with the
// number of gateways (see DigestInterval). Any datagram may be lost.
package clgossip
