// This file defines how a gateway tells that it is cut off from the others.

package clnode

import "time"

type (
	// reachMeter tells which part of the gateways this one is connected with.
	// The zero value is ready.
	reachMeter struct {
		// cut says that the store was out of reach for so long that the others
		// may have gone on without this gateway, and backAt since when it is
		// reached again.
		cut    bool
		backAt time.Time
	}

	// contact is what a gateway sees of the store and of the others.
	contact struct {
		// gateways is the number that are registered, and alive how many others
		// were heard lately.
		gateways, alive int
		// storeAge is how long ago the configuration was confirmed, and
		// digestAge how long ago a digest arrived.
		storeAge, digestAge time.Duration
	}
)

const (
	// cutAge is the age of the configuration from which a gateway that hears
	// few others counts as cut off, and not the others as ended.
	cutAge = 800 * time.Millisecond
	// cutSilence is a time in which some of the others' digests always arrive.
	cutSilence = 500 * time.Millisecond
	// longCut is an age of the configuration that no change of readers causes.
	longCut = 2 * time.Second
	// backFor bounds the time after a cut in which the others must be heard
	// again before they are taken to have ended.
	backFor = 3 * time.Second
	// heardAgain is the part of the others that is enough.
	heardAgain = 0.8
)

// part returns the part of the gateways that this one is connected with. While
// the store is reached that is all of them, as the others are taken to have
// ended; but just after a cut their digests are still to come.
func (m *reachMeter) part(c contact, now time.Time) float64 {
	heard := min(1, float64(c.alive+1)/float64(c.gateways))
	if c.digestAge > cutSilence {
		heard = 1 / float64(c.gateways)
	}
	switch {
	case c.storeAge > longCut:
		m.cut, m.backAt = true, time.Time{}
	case m.cut && m.backAt.IsZero():
		m.backAt = now
	}
	if c.storeAge > cutAge {
		return heard
	}
	if m.cut && heard < heardAgain && now.Sub(m.backAt) < backFor {
		return heard
	}
	m.cut = false
	return 1
}
