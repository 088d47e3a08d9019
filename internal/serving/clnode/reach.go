// This file detects that the gateway is partitioned from the other gateways.

package clnode

import "time"

type (
	// partitionDetector estimates the fraction of the registered gateways with which
	// this gateway exchanges digests. changeDeadline must be set before use. It is not
	// safe for concurrent use.
	partitionDetector struct {
		// changeDeadline is Settings.ChangeDeadline.
		changeDeadline time.Duration
		// possiblyPartitioned is set when the configuration is older than
		// partitionConfigFraction allows, so that the other gateways may have continued without
		// this one. The cause may also be that no gateway can reach the store. It is
		// cleared when the recovery ends.
		possiblyPartitioned bool
		// storeReachableSince is when the configuration age was first found to be
		// below that again; it is valid while possiblyPartitioned is
		// set, and zero while the age is above the limit.
		storeReachableSince time.Time
	}

	// connectivity describes how recently this gateway has heard from the store and
	// from the other gateways.
	connectivity struct {
		// gatewayCount is the number of registered gateways, at least 1. alivePeers is
		// the number of other gateways that sent a digest recently and are not
		// leaving.
		gatewayCount, alivePeers int
		// configAge is the time since the store last confirmed the configuration,
		// and digestAge the time since a digest last arrived from any gateway.
		configAge, digestAge time.Duration
	}
)

const (
	// staleConfigFraction is the configuration age above which missing digests are
	// taken as a sign of a partition, as a fraction of the change deadline. At lower
	// ages, silent gateways are assumed to have stopped. The age of a gateway that is
	// connected stays below it.
	staleConfigFraction = 0.4
	// staleDigestAge is the digest age above which no other gateway counts as
	// reachable. As long as any other gateway is reachable, a digest always arrives
	// within this time.
	staleDigestAge = 500 * time.Millisecond
	// partitionConfigFraction is the configuration age above which this gateway may
	// have been partitioned, as a fraction of the change deadline; the store may also
	// be unreachable for all gateways. The age stays below this value when another
	// gateway takes over the reading of the store.
	partitionConfigFraction = 1.0
	// recoveryPeriod is the time, counted from storeReachableSince, in which the
	// digests of the other gateways must arrive again after a possible partition.
	// Gateways that are silent for longer are assumed to have stopped.
	recoveryPeriod = 3 * time.Second
	// recoveredShare is the share, measured from the digests, that ends the recovery
	// before recoveryPeriod is over.
	recoveredShare = 0.8
)

// reachableShare returns the fraction of the gateways with which this gateway
// exchanges digests, itself included. It is called at regular intervals.
//
// While the configuration is recent the result is 1, because silent gateways are
// then assumed to have stopped. While the configuration is older than
// staleConfigFraction allows, and during the recovery after a possible partition, the result is
// the fraction measured from the digests: after a partition the digests of the
// other gateways have yet to arrive.
func (d *partitionDetector) reachableShare(c connectivity, now time.Time) float64 {
	measuredShare := min(1, float64(c.alivePeers+1)/float64(c.gatewayCount))
	if c.digestAge > staleDigestAge {
		measuredShare = 1 / float64(c.gatewayCount)
	}
	older := func(fraction float64) bool { return c.configAge.Seconds() > fraction*d.changeDeadline.Seconds() }
	switch {
	case older(partitionConfigFraction):
		d.possiblyPartitioned, d.storeReachableSince = true, time.Time{}
	case d.possiblyPartitioned && d.storeReachableSince.IsZero():
		d.storeReachableSince = now
	}
	if older(staleConfigFraction) {
		return measuredShare
	}
	if d.possiblyPartitioned && measuredShare < recoveredShare && now.Sub(d.storeReachableSince) < recoveryPeriod {
		return measuredShare
	}
	d.possiblyPartitioned = false
	return 1
}
