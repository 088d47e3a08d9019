// Package clrollout decides how fast a new version of a service may take over
// the traffic of the old one, from the outcomes of requests.
//
// A Collector sums outcomes per route, version and minute. A Rollout compares
// new and old on the same route and in the same minutes, and says when the
// traffic share may rise, when the new version is bad, and when the rollout
// must be rolled back to be undone by its deadline. A Local lets one process
// suspend the new version on its own evidence.
//
// A version is called bad by a sequential test that may be evaluated any
// number of times: for each period, metric and route, the number of events
// (failures, or latencies above the old version's 90th percentile) on the new
// version is compared with what its share of the requests predicts. Given the
// totals, that number is hypergeometric if the versions are equal, whatever
// the period's event rate is, so an incident that hits both versions counts
// against neither. The likelihood ratio against several effect sizes and
// times of onset is averaged; by Ville's inequality it exceeds 1/alpha with a
// probability of at most alpha in the whole rollout.
//
// A step is called good by a sequential probability ratio test of "equal to
// the old version" against "worse by the design effect": FailureEffect more
// failures or LatencyEffect more exceedances. It needs MinRequests of the new
// version on each route. A step that has used half of its part of the time left
// is passed on the evidence of all routes together, which is compared route by
// route and then summed, because a service with few requests would else be
// taken back undecided. At the end each route must then still be good at
// RouteMissedBadRate. LowestRate says which services can be judged in time.
//
// The design error rates are: a good version is called bad in at most 1% of
// rollouts (FalseBadRate for the sum, LocalFalseBadRate for each of at most
// 390 processes), and a version that is worse by the design effect passes in
// at most 5% (MissedBadRate).
//
// The package does no I/O, reads no clock, writes no log and has no settings
// file. Its types are not safe for concurrent use.
package clrollout
