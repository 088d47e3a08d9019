// Package clmirror keeps copies of the objects in the platform's store and
// records how recent they are.
//
// Each call to the store is charged and counts towards its rate limits, so only
// some gateways read it: one in each data centre, and those that cannot follow
// another gateway. The other gateways are followers: each requests changes from
// another gateway, its reader, and applies them to its own copy.
//
// A copy is confirmed as of the time at which it was last known to be current. A
// successful call to the store confirms the copy as of the time at which the
// call was sent; each response of a reader says how long ago the reader's copy
// was confirmed. The store is lost to a gateway while it does not serve that
// gateway's calls.
package clmirror
