// This file detects that a gateway is partitioned from the others.

package clnode

import "time"

type (
	// partitionDetector estimates the fraction of the gateways that this gateway
	// is connected to. The zero value is ready to use.
	partitionDetector struct {
		// partitioned is set when the store has been unreachable for so long that
		// the other gateways may have continued without this one. storeBackAt is
		// when the store became reachable again.
		partitioned bool
		storeBackAt time.Time
	}

	// connectivity describes a gateway's contact with the store and the others.
	connectivity struct {
		// gateways is the number of registered gateways, and alive the number of
		// other gateways from which a digest arrived recently.
		gateways, alive int
		// configAge is the time since the store last confirmed the configuration,
		// and digestAge the time since the last digest of any gateway.
		configAge, digestAge time.Duration
	}
)

const (
	// staleConfigAge is the configuration age above which missing digests mean
	// that this gateway is partitioned, not that the others have stopped.
	staleConfigAge = 800 * time.Millisecond
	// digestSilence is the digest age above which no other gateway counts as
	// reachable. Some digest always arrives within this time otherwise.
	digestSilence = 500 * time.Millisecond
	// partitionAge is the configuration age that indicates a partition. A change
	// of the gateway that reads the store does not cause such an age.
	partitionAge = 2 * time.Second
	// recoveryPeriod is the time after a partition in which digests must arrive
	// again. Gateways that are silent for longer are assumed to have stopped.
	recoveryPeriod = 3 * time.Second
	// recoveredShare is the reachable share that ends the recovery early.
	recoveredShare = 0.8
)

// reachableShare returns the fraction of the gateways that this gateway is
// connected to, itself included. It is 1 while the store is reachable, because
// silent gateways are then assumed to have stopped. Right after a partition it
// is the measured fraction, as the digests of the others have yet to arrive.
func (d *partitionDetector) reachableShare(c connectivity, now time.Time) float64 {
	reachable := min(1, float64(c.alive+1)/float64(c.gateways))
	if c.digestAge > digestSilence {
		reachable = 1 / float64(c.gateways)
	}
	switch {
	case c.configAge > partitionAge:
		d.partitioned, d.storeBackAt = true, time.Time{}
	case d.partitioned && d.storeBackAt.IsZero():
		d.storeBackAt = now
	}
	if c.configAge > staleConfigAge {
		return reachable
	}
	if d.partitioned && reachable < recoveredShare && now.Sub(d.storeBackAt) < recoveryPeriod {
		return reachable
	}
	d.partitioned = false
	return 1
}
