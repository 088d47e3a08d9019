// This file decides which reader a gateway follows, when it reads the store itself,
// and how long its copies may be used. It does no I/O.

package clmirror

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/samber/lo"
)

// followPolicy holds what a gateway has learnt from its requests to readers and from
// its store calls. changeDeadline must be set before use. It is not safe for
// concurrent use.
type followPolicy struct {
	// changeDeadline is the time within which a gateway must act on a change in
	// the store.
	changeDeadline time.Duration
	// avoidUntil holds, by reader, the time until which other readers are
	// preferred to it because a request to it failed.
	avoidUntil map[netip.AddrPort]time.Time
	// storeLostUntil is the time until which the store counts as lost.
	storeLostUntil time.Time
	// callSentAt is when the store call in progress of the mirror with ProbesStore
	// was sent; it is zero while there is none.
	callSentAt time.Time
	// nextProbeDraw is the time from which it is drawn again whether this gateway
	// calls a lost store, and probeUntil the time until which it does.
	nextProbeDraw, probeUntil time.Time
}

const (
	// defaultChangeDeadline is the shortest deadline that operators are known to set.
	defaultChangeDeadline = 2 * time.Second
	// staleFraction is the fraction of the change deadline from which a copy counts
	// as stale: followers reject a reader whose copy is stale. It is longer than the
	// delay that a slow store and a waiting watch cause.
	staleFraction = 0.55
	// readFraction is the fraction of the change deadline from which a follower
	// reads the store itself. The copy of a follower whose reader works stays
	// younger, and the rest of the deadline suffices for a call to the store.
	readFraction = 0.6
	// useFraction is the fraction of the change deadline for which a copy may be
	// used. The rest is the time that a request is under way to its endpoint.
	useFraction = 0.9
	// storeLostDuration is how long the store counts as lost after a failed call
	// if no other call follows.
	storeLostDuration = 10 * time.Second
	// silentCallDuration is the time without an answer after which a store call
	// counts as a sign that the store is lost. It is several times what a call to a
	// working store takes.
	silentCallDuration = 400 * time.Millisecond
	// avoidDuration is how long other readers are preferred to a reader after a
	// request to it failed.
	avoidDuration = 2 * time.Second
	// maxTriedReaders is the number of readers between which a follower changes
	// when requests fail.
	maxTriedReaders = 3
	// probeDuration is how long a gateway goes on calling a lost store once it has
	// been drawn for that, and the time until the next draw.
	probeDuration = 3 * time.Second
	// storeProbers is the mean number of followers that call a lost store at the
	// same time. Some must, because the store may refuse only the calls of the
	// readers. The rest must not, because if the store is down for all gateways,
	// each of the failing calls is still charged and counts towards its rate limits.
	storeProbers = 6
)

// staleAge returns the age from which a copy counts as stale.
func (p *followPolicy) staleAge() time.Duration {
	return time.Duration(staleFraction * float64(p.changeDeadline))
}

// selectReader returns the first of the maxTriedReaders preferred readers that is
// not to be avoided, or the preferred one if all of them are. It returns false if
// there are no readers.
func (p *followPolicy) selectReader(readers []netip.AddrPort, now time.Time) (netip.AddrPort, bool) {
	if len(readers) == 0 {
		return netip.AddrPort{}, false
	}
	available, ok := lo.Find(readers[:min(len(readers), maxTriedReaders)], func(addr netip.AddrPort) bool { return !now.Before(p.avoidUntil[addr]) })
	if !ok {
		return readers[0], true
	}
	return available, true
}

// avoid makes selectReader prefer other readers for a while.
func (p *followPolicy) avoid(reader netip.AddrPort, now time.Time) {
	if p.avoidUntil == nil {
		p.avoidUntil = make(map[netip.AddrPort]time.Time)
	}
	for addr, until := range p.avoidUntil {
		if !now.Before(until) {
			delete(p.avoidUntil, addr)
		}
	}
	p.avoidUntil[reader] = now.Add(avoidDuration)
}

// storeLost reports whether the last store call failed, less than storeLostDuration
// ago.
func (p *followPolicy) storeLost(now time.Time) bool { return now.Before(p.storeLostUntil) }

// beginStoreCall and endStoreCall record a call of the mirror with ProbesStore.
// served says whether the store served the call.
func (p *followPolicy) beginStoreCall(now time.Time) { p.callSentAt = now }

func (p *followPolicy) endStoreCall(served bool, now time.Time) {
	p.callSentAt, p.storeLostUntil = time.Time{}, time.Time{}
	if !served {
		p.storeLostUntil = now.Add(storeLostDuration)
	}
}

// readsStore reports whether a gateway with readerCount readers to follow, whose
// copies were last current at the given time, reads the store. One without readers
// always does. A follower does so while its copies are older than readFraction
// allows, whatever the reason; but once the store is lost, only about storeProbers of
// the gatewayCount gateways go on calling it.
func (p *followPolicy) readsStore(readerCount, gatewayCount int, current, now time.Time) bool {
	if readerCount == 0 {
		return true
	}
	if now.Sub(current) < time.Duration(readFraction*float64(p.changeDeadline)) {
		return false
	}
	if !p.storeLost(now) {
		return true
	}
	if !now.Before(p.nextProbeDraw) {
		p.nextProbeDraw = now.Add(probeDuration)
		if rand.IntN(max(1, gatewayCount)) < storeProbers {
			p.probeUntil = p.nextProbeDraw
		}
	}
	return now.Before(p.probeUntil)
}

// usableFor returns for how long copies that were last current at the given time may
// still be used; the result is not positive if they may lack changes that must be in
// force. limited is false if there is no such limit, because the store is lost: no
// other gateway may know more, and requests that need no recent copy go on.
func (p *followPolicy) usableFor(current, now time.Time) (d time.Duration, limited bool) {
	if p.storeLost(now) || !p.callSentAt.IsZero() && now.Sub(p.callSentAt) > silentCallDuration {
		return 0, false
	}
	return current.Add(time.Duration(useFraction * float64(p.changeDeadline))).Sub(now), true
}
