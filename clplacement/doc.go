// Package clplacement decides which instances to start and stop: how many of
// which class, in which data centre, on demand or reclaimable.
//
// A plan meets each service's target with any one data centre gone, at the
// lowest cost that it finds, and places at least OnDemandShare of the target
// on demand, spread over data centres, so that a wave of reclaims leaves a
// floor. A Planner holds what a plan needs to remember between calls: starts
// that have not appeared in the lagging list of instances, and back-off from
// offers whose starts were refused.
//
// If each data centre has at most s instances, Needed+s of them survive the
// loss of any one. The planner tries every s and takes the cheapest offers
// first, which costs Needed times the number of offers. An exact enumeration of
// the counts per offer finds the same costs at 3 data centres (see the tests),
// but has 400^10 cases for ten offers of up to 400 instances. An integer
// programme would need a solver, which is a large dependency for no gain here.
// All classes of a target count as equal; list only those that are.
//
// The package does no I/O, reads no clock and is not safe for concurrent use.
package clplacement
