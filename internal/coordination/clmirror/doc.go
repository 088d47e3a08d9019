// Package clmirror keeps copies of the objects in the platform's store and
// records how recent they are.
//
// Each call to the store is charged and counts towards its rate limits, so only
// some gateways read it: one in each data centre, and those that have no
// reader to follow. The others replicate a reader's copy; each response of the
// reader says when that copy was last confirmed.
package clmirror
