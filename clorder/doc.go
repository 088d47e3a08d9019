// Package clorder decides whether an order to an endpoint may be given under
// a lease, and which orders are still owed.
//
// Endpoints that check fencing numbers refuse an order with a lower number
// than they have seen, so a holder that trusts its lease may order them at any
// moment. Endpoints that ignore the number would obey a holder that was
// paused after its check; they are ordered only while more of the lease is
// left than an order can take. That leaves a gap that no check closes: a
// process paused between the check and the sending for longer than the rest
// of its lease. Keep the send timeout below the margin, and prefer endpoints
// that check.
package clorder
