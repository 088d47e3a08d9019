// This file defines the limiter.

package clquota

import (
	"sync"
	"time"
)

type (
	// Limiter holds the token buckets of all accounts. Exported fields must be
	// set before use. It is safe for concurrent use.
	Limiter struct {
		// BootTime is the start of this process in Unix nanoseconds, comparable
		// to the boot times that peers report; 0 turns off the special rules for
		// the time after a start and for infrequent digests.
		BootTime uint64
		// Tolerance is by how much all gateways together may exceed a quota.
		// Estimates of unreported spending count only beyond a part of it.
		Tolerance Tolerance

		// mu protects the fields below, and the buckets and peers. It must be held
		// when an unexported method is called.
		mu sync.Mutex
		// buckets holds the token buckets by account name.
		buckets map[string]*bucket
		// peers holds the peers that have reported, by gateway name.
		peers map[string]*peer
		// gatewayCount is the number of gateways that share the quotas, including
		// this one; 0 means that it is not set.
		gatewayCount int
		// startedAt is the time of the first call of SetGateways, which counts as
		// the start of this process.
		startedAt time.Time
		// joined is set if a peer had started more than sameStartTolerance before
		// this process, so that this process has joined gateways that were running.
		joined bool
		// synced is set once syncedPeerShare of the peers have reported, or one peer
		// that started more than sameStartTolerance before this process. It ends the
		// startup limit of startupAllowance.
		synced bool
		// reachableShare is the fraction of the gateways, including this one, with
		// which this gateway exchanges digests; 0 means all.
		reachableShare float64
		// digestInterval is the interval between two digests of the same gateway.
		digestInterval time.Duration
	}

	// peer is the current process of another gateway.
	peer struct {
		// bootTime is the start of the peer's process, in the form of
		// Limiter.BootTime.
		bootTime uint64
		// reportedAt is the time of the peer's last report, of any accounts.
		reportedAt time.Time
		// knownSince is the time since which all of the peer's spending is known: the
		// start of this process if both started together, or else the first report.
		knownSince time.Time
		// sameOrLaterStart is set if the peer started at about the same time as
		// this process or later, so that all of its totals count as spending
		// since this process started. It is never set if Limiter.BootTime is 0.
		sameOrLaterStart bool
	}
)

const (
	// initialFill is the fraction of the burst in a new bucket. It is below 1
	// because a starting process does not know what was spent just before.
	initialFill = 0.5
	// joinedFill is the fraction of the burst in a bucket of a process that has joined
	// running gateways. Gateways that restart in turn while an account is at its limit
	// would otherwise each admit half of the burst anew.
	joinedFill = 0.1
	// syncedFillLoss is by how much the largest level, as a fraction of the burst, when
	// the gateways have received each other's digests after a restart of all of them, is
	// below startupBurstShare for each second of the interval between digests beyond
	// maxFreshDigestInterval. The longer the interval, the more the gateways may have
	// exceeded the quota just before: with 132 gateways, the level is at most -0.3 of
	// the burst.
	syncedFillLoss = 0.7
	// restartReserve is the part of the tolerance that a surge and a restart of all
	// gateways may use together, in seconds of the account's rate, and
	// restartSpareFraction the fraction of the rest that is granted after the restart.
	// It keeps accounts whose burst is only a few requests from being refused.
	restartReserve       = 3 * time.Second
	restartSpareFraction = 0.5
	// startupBurstShare is the fraction of the burst that all gateways together
	// admit, besides the rate, until they have received each other's digests:
	// after a restart of all gateways, the burst may have been spent just before.
	startupBurstShare = 0.1
	// maxStartupTime is the longest time after the start for which the startup limit
	// of startupAllowance applies, in case no digests arrive.
	maxStartupTime = 4 * time.Second
	// syncedPeerShare is the fraction of the peers that must have reported before
	// the level of the buckets counts as known.
	syncedPeerShare = 0.8
	// sameStartTolerance is how much earlier than this process a peer may have
	// started and still count as started at the same time.
	sameStartTolerance = 5 * time.Second
	// peerRateWarmup is how long after its start a process knows too little of
	// the peers' rates to rely on them alone.
	peerRateWarmup = 5 * time.Second
	// maxFreshDigestInterval is the longest interval between digests at which
	// the peers' rates are enough to estimate their spending.
	maxFreshDigestInterval = 300 * time.Millisecond
	// ignoredToleranceShare is the fraction of the tolerance below which unreported
	// spending is ignored.
	ignoredToleranceShare = 0.08
	// maxRetryAfter limits the time after which a caller is told to retry.
	maxRetryAfter = 10 * time.Second
)

// SetLimit sets an account's quota: rate is the cost per second that is admitted in
// the long run, and burst the cost that is admitted at one time after a pause. A
// rate of 0 removes the quota.
func (l *Limiter) SetLimit(account string, rate, burst float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buckets == nil {
		l.buckets = make(map[string]*bucket)
	}
	b := l.buckets[account]
	if b == nil {
		fill := initialFill
		if l.joined && now.Sub(l.startedAt) < maxStartupTime {
			fill = joinedFill
		}
		b = &bucket{level: burst * fill, refilledAt: now, peerSpending: make(map[string]*peerSpending)}
		l.buckets[account] = b
	}
	b.advance(now, l.digestInterval)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

// Admit reports whether a request of the account with the given cost is admitted,
// and deducts the cost if it is. If not, the second result is the time after which
// to retry. A request whose cost is above the burst is admitted from a full bucket.
// An account without a quota is not limited.
func (l *Limiter) Admit(account string, cost float64, now time.Time) (bool, time.Duration) {
	d := l.Decide(account, cost, now)
	return d.Admitted, d.RetryAfter
}

// Decide is like Admit, but also tells on what the decision is based.
func (l *Limiter) Decide(account string, cost float64, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[account]
	if b == nil || b.rate <= 0 {
		return Decision{Admitted: true}
	}
	b.advance(now, l.digestInterval)
	b.addCost(cost)
	if l.inStartup(now) {
		if allowance := l.startupAllowance(b, now); b.spent+cost > allowance {
			wait := (b.spent + cost - allowance) * float64(max(1, l.gatewayCount)) / b.rate * float64(time.Second)
			return Decision{
				RetryAfter: min(l.startedAt.Add(maxStartupTime).Sub(now), time.Duration(wait)),
				Basis:      BasisStartup, Level: b.level, Needed: cost,
			}
		}
	}
	charge := cost
	if l.reachableShare > 0 {
		charge /= l.reachableShare
	}
	d := Decision{Level: b.level, Needed: min(charge, b.burst)}
	if l.BootTime != 0 && (l.digestInterval > maxFreshDigestInterval || now.Sub(l.startedAt) < peerRateWarmup) {
		d.Unreported = max(0, b.unreportedSpending(now)-ignoredToleranceShare*l.Tolerance.of(b.rate, b.burst))
	}
	if deficit := d.Needed - d.Level + d.Unreported; deficit > 0 {
		d.RetryAfter, d.Basis = min(maxRetryAfter, time.Duration(deficit/b.rate*float64(time.Second))), BasisUnreported
		if d.Level < d.Needed {
			d.Basis = BasisAboveLimit
		}
		return d
	}
	b.level -= charge
	b.spent += cost
	b.recentSpent.add(cost, now)
	d.Admitted = true
	return d
}

// SetGateways sets the number of gateways that share the quotas, including this one.
// The time of the first call counts as the start of this process.
func (l *Limiter) SetGateways(n int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gatewayCount = n
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
}

// SetDigestInterval sets the interval between two digests of the same gateway.
func (l *Limiter) SetDigestInterval(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.digestInterval = d
}

// SetReachableShare sets the fraction of the gateways, including this one, with
// which this gateway exchanges digests, as far as it can tell. The unreachable
// gateways cannot report their spending, so Admit deducts 1/share times the cost of
// each request that it admits. The spending that reachable peers report is deducted
// once, not divided by the share. If there are groups of several gateways that can
// reach only each other, the deductions are therefore less than what all groups
// together may spend. A share of 0 means that all gateways are reachable.
func (l *Limiter) SetReachableShare(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reachableShare = share
}

// inStartup reports whether this process has started so recently that too little is
// known of the peers' spending. Admit then also keeps to startupAllowance.
func (l *Limiter) inStartup(now time.Time) bool {
	return l.BootTime != 0 && !l.synced && now.Sub(l.startedAt) < maxStartupTime
}

// startupAllowance returns the limit, during startup, of the total cost that this
// process admits from its start until now. It is an equal share of the limit for all
// gateways together, which is startupBurstShare of the burst plus the rate times the
// time since the start.
func (l *Limiter) startupAllowance(b *bucket, now time.Time) float64 {
	return (b.burst*startupBurstShare + b.rate*now.Sub(l.startedAt).Seconds()) / float64(max(1, l.gatewayCount))
}

// Refund gives the cost of an admitted request back to the account's quota; it is
// called if the request did not run.
func (l *Limiter) Refund(account string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[account]; b != nil && b.rate > 0 {
		b.level += cost
		b.spent -= cost
	}
}

// Spent returns the total cost that this process has admitted since its start, less
// refunds, by account. Accounts with a total of 0 are left out.
func (l *Limiter) Spent() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	spentByAccount := make(map[string]float64, len(l.buckets))
	for name, b := range l.buckets {
		if b.spent != 0 {
			spentByAccount[name] = b.spent
		}
	}
	return spentByAccount
}

// RecordPeerSpending deducts from the buckets what the named peer has admitted since
// its last report. bootTime is the start of the peer's process, in the form of
// Limiter.BootTime, and spent holds the peer's totals since then, by account.
func (l *Limiter) RecordPeerSpending(name string, bootTime uint64, spent map[string]float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[name]
	if p == nil || p.bootTime != bootTime {
		p = l.addPeer(name, bootTime, now)
	}
	for account, total := range spent {
		if b := l.buckets[account]; b != nil {
			b.recordPeerSpending(name, total, p, l.digestInterval, now)
		}
	}
	p.reportedAt = now
	if l.BootTime != 0 && !l.synced && l.gatewayCount > 0 && float64(len(l.peers)) >= syncedPeerShare*float64(l.gatewayCount-1) {
		l.synced = true
		for _, b := range l.buckets {
			// All peers that have reported started at about the same time as this
			// process or later, so all gateways may have restarted, and the burst may
			// have been spent just before.
			b.advance(now, l.digestInterval)
			b.level -= b.burst * (initialFill - startupBurstShare)
			if late := (l.digestInterval - maxFreshDigestInterval).Seconds(); late > 0 {
				spare := restartSpareFraction * max(0, l.Tolerance.of(b.rate, b.burst)-restartReserve.Seconds()*b.rate)
				b.level = min(b.level, b.burst*(startupBurstShare-syncedFillLoss*late)+spare)
			}
		}
	}
}

// addPeer creates the record of a peer's process and drops that of a former process
// of the same gateway, if there is one. It sets synced if the peer started before this
// process, or if BootTime is 0, in which case synced has no effect.
func (l *Limiter) addPeer(name string, bootTime uint64, now time.Time) *peer {
	l.removePeer(name)
	p := &peer{bootTime: bootTime, knownSince: now, sameOrLaterStart: l.BootTime != 0 && bootTime+uint64(sameStartTolerance) >= l.BootTime}
	if !p.sameOrLaterStart {
		// The startup limits are meant for a restart of all gateways. A peer that
		// was running before this process started shows that not all have
		// restarted, and the peer's own buckets account for what was spent before.
		if l.BootTime != 0 && !l.joined && !l.synced {
			for _, b := range l.buckets {
				b.level -= b.burst * (initialFill - joinedFill)
			}
		}
		l.joined = l.joined || l.BootTime != 0
		l.synced = true
	} else if !l.startedAt.IsZero() && now.Sub(l.startedAt) < maxStartupTime {
		p.knownSince = l.startedAt
	}
	if l.peers == nil {
		l.peers = make(map[string]*peer)
	}
	l.peers[name] = p
	return p
}

// SetPeerLeaving records that the named peer has reported that its process is about
// to end. Its further reports count, but once they cease, no more spending is assumed
// of it.
func (l *Limiter) SetPeerLeaving(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.buckets {
		if sp := b.peerSpending[name]; sp != nil {
			sp.leaving = true
		}
	}
}

// removePeer drops a peer's record from the limiter and from all buckets.
func (l *Limiter) removePeer(name string) {
	delete(l.peers, name)
	for _, b := range l.buckets {
		if sp := b.peerSpending[name]; sp != nil && sp.stoppedAt.IsZero() {
			b.peerRate -= sp.rate
		}
		delete(b.peerSpending, name)
	}
}
