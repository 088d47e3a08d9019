// Package clslot divides the concurrent-request slots of an endpoint among many entry
// processes without a message per request.
//
// Endpoints are divided into slot groups. One entry process at a time is the [Grantor] of the
// endpoints of a group: the one that holds the group's [Lease], which is stored in the object
// API, the platform's object store. It grants slots to the [Holder] of each entry for a bounded
// time. A request takes a slot from its entry's Holder and keeps it until the request has
// ended, even after the grant has expired.
//
// The package does no I/O and reads no clock: callers pass in events and the current time,
// and carry each [Demand] to the grantor and the resulting [Grant] back. Grants may be lost,
// delayed or reordered.
//
// # Cold and warm endpoints
//
// An endpoint is cold after a start, when its load report says so, or while its first-token
// times are much longer than usual. Its limit on concurrent requests is then set to
// Limits.ColdSlots. From there the limit doubles after each Limits.WarmAfter healthy answers,
// up to Limits.MaxSlots, the limit of a warm endpoint. A first-token time is the time until the
// first token of an answer; callers scale it to that of a short prompt, because a long prompt
// would make the endpoint look cold.
//
// # Accounting
//
// For each endpoint the grantor counts, per entry, the largest number of requests that the
// entry can have running: the maximum of the requests that it reported, the slots that it
// said it holds, and the slots granted in answer to that report. This number is the entry's
// charge. Requests that no entry has reported, such as those of a former grantor's term or of
// an entry that stopped reporting, are counted as unattributed. A grant raises the sum of the
// charges and the unattributed requests only within the grantor's allowance: the endpoint's
// limit, or a fraction of it while other grantors may be active. Load reports lag behind, so
// they never free a slot that may be in use: a report only bounds the unattributed requests
// that started before it.
//
// # Which limit applies
//
// Let P be the requests running at the endpoint plus the idle slots granted to entries. A
// grant never raises P above the limit known to the grantor at that time. After the endpoint
// restarts or turns cold, P can exceed the new limit only by what was running or granted when
// the grantor learned of the change; from then on P only falls until it is below ColdSlots.
// Before the grantor learns of the change, P stays within the former limit.
// [Holder.DropIdleSlots] drops idle slots at once if an entry learns of the change first.
//
// During an outage of the object API several grantors can be active. Each one grants a
// fraction of the limit that it knows, and the fractions add up to at most one, so P stays
// within the largest of these limits.
//
// # Assumptions
//
// The clocks of two processes may show different times but run at the same rate to within
// SettleTime per GrantLifetime. A request reaches its endpoint within SettleTime of
// [Holder.Acquire] or is not sent: the sender checks Ticket.SendBefore just before it
// writes. No request runs longer than RequestTimeout. Load.ProducedAt is never later than
// the true time on the grantor's clock.
package clslot
