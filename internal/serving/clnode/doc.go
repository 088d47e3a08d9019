// Package clnode assembles a gateway process from its components. A node mirrors
// the platform's store, exchanges digests with the other gateways, performs the
// duties while it holds their lease, and serves callers.
//
// The package uses these terms:
//
//   - A mirror is a local copy of the store's objects of one kind. Normally one
//     gateway of each data centre reads the store, and the other gateways of the
//     data centre follow its mirrors.
//   - A digest is a datagram that a gateway sends at regular intervals to all
//     other gateways. It contains the gateway's time of day, its counts since its
//     start, such as the quota that its requests have used, and its current load.
//   - The duties are the tasks that one gateway performs for all: it reports the
//     usage of the accounts, orders endpoints, writes the outcomes of rollouts to
//     the store and unregisters lost gateways. Gateways compete for the lease of
//     the duties.
//   - A boot ID identifies one run of a gateway process. After a restart the
//     gateway has another boot ID, and its counts start at 0 again.
//   - The ingress is the platform's load balancer, which distributes the callers'
//     connections among the gateways that are ready.
//   - A cold endpoint has started recently, or its data centre was evacuated until
//     recently. It tolerates only a limited request rate.
//   - A rollout moves a service to a new version. The new version is on trial while
//     it receives only a share of the requests. It is rolled back if it performs
//     worse than the old version, or if it has answered too few requests when the
//     time of the rollout ends.
//   - An evacuated data centre is one whose endpoints must receive no requests,
//     by an operator's order.
package clnode
