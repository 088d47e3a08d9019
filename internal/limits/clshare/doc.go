// Package clshare divides the capacity of a service among the accounts while the
// service is in shortage.
//
// Terms used in this package:
//
//   - The cost of a request is its part of the capacity, in units that the caller of
//     this package defines. It may differ between services, but not within one.
//   - The offered cost of an account is that of all its requests, the admitted cost
//     that of the requests that this package lets pass, and the served cost that of
//     the admitted requests which no endpoint has refused.
//   - A service is in shortage while a noticeable fraction of the admitted cost is
//     refused because no endpoint could begin the requests in time.
//   - The share of an account is its part of the capacity by max-min fairness: an
//     account that offers less than its share gets all that it offers, and the others
//     divide the rest by their weights.
//
// Each gateway has an Allocator and decides by itself. The gateways exchange their
// totals, since each of them sees too few requests to know what an account offers.
//
// The package does no I/O and reads no clock.
package clshare
