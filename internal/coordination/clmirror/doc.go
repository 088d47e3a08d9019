// Package clmirror keeps copies of the objects in the platform's store and
// records how recent they are.
//
// Each call to the store is charged and counts towards the store's rate limits, so
// only some gateways read the store: one in each data centre (more if the store
// serves no gateway there, see RankReaders), and some of those that cannot follow
// any other gateway. A gateway that does not read the store is a follower: it
// requests changes from another gateway, its reader, and applies them to its own
// copy. A follower calls the store only while it has no complete copy.
//
// A copy is confirmed as of the time at which it was last known to be current. A
// successful call to the store confirms the copy as of the time at which the
// call was sent; each response of a reader says how long ago the reader's copy
// was confirmed. The store is lost to a gateway while it does not serve that
// gateway's calls.
package clmirror
