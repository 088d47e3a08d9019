// Package clgossip exchanges digests among gateways: each process sends what
// it has done and believes to all others several times a second, in datagrams
// of which any may be lost.
package clgossip
