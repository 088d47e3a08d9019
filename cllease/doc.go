// Package cllease keeps a lease on an object of a versioned store, with a
// fencing number that rises with each change of holder.
//
// Core decides without I/O: times and the outcomes of calls go in, the next
// call comes out. Runner drives a Core against a clstore.Store.
//
// No clocks are compared across processes. An observer counts the TTL from
// the moment it received a renewal value for the first time; a holder counts
// it from before it sent the renewal and stops trusting the lease a margin
// earlier. Processes must measure durations at the same rate to within
// Margin/TTL.
//
// A store that returns from an older copy lacks the lease last confirmed, and
// states a new era (clstore.EraStore). Each era has an object of its own, and
// the fencing number begins with the era, so that it rises whatever the copy
// holds. Nobody holds the lease before it is acquired in the new era. A process
// that trusts its lease when it learns of the era excludes all other holders of
// earlier eras, and may acquire at once. Any other waits a TTL from then on: a
// lease of an earlier era was last renewed before the store returned, and has
// lapsed by that time. Numbers bear 2^32 holders in an era; how old a copy is
// does not matter.
package cllease
