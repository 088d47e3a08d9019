// Package clslot shares the slots of an endpoint among many entries without a
// message for each request.
//
// One entry at a time is the [Grantor] of an endpoint. It leases slots to the
// [Holder] of each entry for a bounded time. A request takes a slot from its
// entry's Holder and keeps it until it has ended, also past the lease's expiry.
//
// The package does no I/O and reads no clock: callers pass events and a time,
// and carry a [Demand] to the grantor and a [Grant] back. Answers may be lost,
// late or out of order.
//
// # Sum rule
//
// For each endpoint the grantor counts, per entry, the largest number of
// requests that the entry can have running: the largest of the requests it
// reported, the slots it said it holds, and the slots granted in answer to that
// report. Requests that no entry has reported, such as those of a former
// grantor's term or of an entry that fell silent, are counted as unattributed.
// The two counts together are raised only within the grantor's allowance, so
// load reports, which lag, never free a slot that may be in use: they bound
// unattributed requests that started before the report, and nothing else.
//
// # Which limit counts
//
// Let P be the requests running at the endpoint plus the slots leased to
// entries and still idle. P never rises above the limit that the grantor
// believes at the time of the grant. After a restart or a cold turn, P can
// exceed the new limit only by what was running or leased when the grantor
// learned of it; from then on P only falls until it is below ColdSlots. Before
// the grantor learns of it, P stays within the former limit. [Holder.DropIdleSlots]
// drops idle slots at once when an entry learns of it first.
//
// While several grantors act during an outage of the object API, each has a
// part of its own belief of the limit and the parts add up to at most one, so
// P stays within the largest of their beliefs.
//
// # Assumptions
//
// Clocks of two processes may show different times but run at the same rate
// within Settle per GrantLifetime. A request reaches its endpoint within Settle
// of [Holder.Acquire], or is not sent: the sender checks Ticket.SendBefore just
// before it writes. No request runs longer than RequestTimeout.
// Load.ProducedAt is never later than the true time in the grantor's clock.
package clslot
