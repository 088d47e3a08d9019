// Package cladmission decides which request runs next when there is more demand
// than capacity, and refuses early what cannot run in time.
//
// [Queue] keeps one first-in first-out queue per account and serves them by
// weighted deficit round robin, so that an account's share under contention
// follows its weight and not the number of requests it sends. Queues are bounded
// by time: a request whose expected wait exceeds the time until it must have
// started is refused with a [Refusal], when it is offered or as soon as that
// becomes known.
//
// [Budget] limits the retries of each service to a part of its recent requests,
// so that failures of many endpoints do not multiply the load on the others.
//
// The package does no I/O and reads no clock. Its types are not safe for
// concurrent use.
package cladmission
