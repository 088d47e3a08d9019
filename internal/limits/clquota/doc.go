// Package clquota enforces the request quotas of client accounts, each of which
// is shared by all gateways. Every gateway keeps a copy of the account's token
// bucket and deducts from it both what it admits itself and what the other
// gateways, its peers, report.
//
// Terms used in this package:
//
//   - The cost of a request is the part of the quota that it uses, in units that
//     the caller of this package defines.
//   - The spending of a gateway is the total cost that it has admitted for an
//     account.
//   - A digest is the message in which a gateway periodically reports its spending
//     to its peers. A report of a peer is a digest received from it; the time of the
//     report is the time of receipt.
//
// The package does no I/O and reads no clock.
package clquota
