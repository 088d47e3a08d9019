// This file detects that the gateway is partitioned from the other gateways.

package clnode

import "time"

type (
	// partitionDetector estimates the fraction of the registered gateways with which
	// this gateway exchanges digests. The zero value is ready to use. It is not
	// safe for concurrent use.
	partitionDetector struct {
		// partitioned is set when the store has been unreachable for so long that
		// the other gateways may have continued without this one.
		partitioned bool
		// storeReachableSince is when the store became reachable again after a
		// partition. It is zero during a partition.
		storeReachableSince time.Time
	}

	// connectivity describes how recently this gateway has heard from the store and
	// from the other gateways.
	connectivity struct {
		// gatewayCount is the number of registered gateways, at least 1. alivePeers is
		// the number of other gateways from which a digest arrived recently.
		gatewayCount, alivePeers int
		// configAge is the time since the store last confirmed the configuration,
		// and digestAge the time since a digest last arrived from any gateway.
		configAge, digestAge time.Duration
	}
)

const (
	// staleConfigAge is the configuration age above which missing digests mean that
	// this gateway is partitioned, and not that the other gateways have stopped.
	staleConfigAge = 800 * time.Millisecond
	// staleDigestAge is the digest age above which no other gateway counts as
	// reachable. As long as any other gateway is reachable, a digest always arrives
	// within this time.
	staleDigestAge = 500 * time.Millisecond
	// partitionConfigAge is the configuration age above which this gateway has been
	// partitioned. The age stays below it when another gateway takes over the
	// reading of the store.
	partitionConfigAge = 2 * time.Second
	// recoveryPeriod is the time after a partition in which the digests of the other
	// gateways must arrive again. Gateways that are silent for longer are assumed
	// to have stopped.
	recoveryPeriod = 3 * time.Second
	// recoveredShare is the measured share that ends the recovery early.
	recoveredShare = 0.8
)

// reachableShare returns the fraction of the gateways with which this gateway
// exchanges digests, itself included. While the store is reachable the result is
// 1, because silent gateways are then assumed to have stopped. While the store is
// unreachable, and during the recovery after a partition, the result is the
// fraction measured from the digests: after a partition the digests of the other
// gateways have yet to arrive.
func (d *partitionDetector) reachableShare(c connectivity, now time.Time) float64 {
	measuredShare := min(1, float64(c.alivePeers+1)/float64(c.gatewayCount))
	if c.digestAge > staleDigestAge {
		measuredShare = 1 / float64(c.gatewayCount)
	}
	switch {
	case c.configAge > partitionConfigAge:
		d.partitioned, d.storeReachableSince = true, time.Time{}
	case d.partitioned && d.storeReachableSince.IsZero():
		d.storeReachableSince = now
	}
	if c.configAge > staleConfigAge {
		return measuredShare
	}
	if d.partitioned && measuredShare < recoveredShare && now.Sub(d.storeReachableSince) < recoveryPeriod {
		return measuredShare
	}
	d.partitioned = false
	return 1
}
