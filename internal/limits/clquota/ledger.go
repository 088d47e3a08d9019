// This file defines the limiter and its token buckets.

package clquota

import (
	"math"
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

	// bucket is this gateway's copy of one account's token bucket.
	bucket struct {
		// rate is the quota in cost per second, and burst the largest level.
		rate, burst float64
		// level is the cost that can be admitted now. It is below 0 if the
		// gateways have together admitted more than the quota.
		level float64
		// refilledAt is the time up to which refill has added to the level.
		refilledAt time.Time
		// spent is the total cost that this process has admitted since its start,
		// less refunds.
		spent float64
		// recentSpent is the cost that this process has recently admitted;
		// refunds are not subtracted.
		recentSpent decayingSum
		// peerSpending holds the spending of the peers by gateway name.
		peerSpending map[string]*peerSpending
	}

	// peerSpending is what one peer has spent of one account's quota.
	peerSpending struct {
		// spent is the peer's total at its last report, and rate its smoothed
		// spending per second.
		spent, rate float64
		// reportedAt is the time of the last report that included this account.
		reportedAt time.Time
		// recentSpent is what the peer has recently spent, less refunds.
		recentSpent decayingSum
		// extrapolated is what has been deducted from the bucket for the peer
		// since its last report, and localSpentAtReport is what this process had
		// spent in total when that report arrived.
		extrapolated, localSpentAtReport float64
	}

	// decayingSum is a sum that decays exponentially with recentTimeConstant.
	decayingSum struct {
		// sum is the value at updatedAt.
		sum       float64
		updatedAt time.Time
	}

	// peer is the current process of another gateway.
	peer struct {
		// bootTime is the start of the peer's process, in the form of
		// Limiter.BootTime.
		bootTime uint64
		// reportedAt is the time of the peer's last report, of any accounts.
		reportedAt time.Time
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
	// maxExtrapolationTime is the longest time since a peer's last report for which
	// the advance method deducts further spending at the peer's last rate. A peer that
	// cannot report may go on spending until the load balancer in front of the
	// gateways has sent its callers to other gateways, which takes a few seconds.
	maxExtrapolationTime = 10 * time.Second
	// rateTimeConstant is the time constant for smoothing a peer's rate over
	// bursts of requests, independently of the interval between digests.
	rateTimeConstant = time.Second
	// recentTimeConstant is the time constant of decayingSum. Recent spending
	// shows how an account's requests are divided among the gateways, so the time
	// constant must be longer than the interval between two digests.
	recentTimeConstant = 4 * time.Second
	// peerRateWarmup is how long after its start a process knows too little of
	// the peers' rates to rely on them alone.
	peerRateWarmup = 5 * time.Second
	// maxFreshDigestInterval is the longest interval between digests at which
	// the peers' rates are enough to estimate their spending.
	maxFreshDigestInterval = 300 * time.Millisecond
	// peerSilenceLimit is how long after a peer's last report unreportedSpending
	// still assumes spending by the peer: several intervals between digests with a
	// hundred gateways, and about one with four hundred. A peer that is silent for
	// longer has probably ended; only
	// advance goes on deducting for it, until maxExtrapolationTime.
	peerSilenceLimit = 2500 * time.Millisecond
	// maxPeerRatio limits the spending that unreportedSpending assumes of a peer, as
	// a multiple of this process's own.
	maxPeerRatio = 1.5
	// maxPeerSpendingFactor limits the spending per second that unreportedSpending
	// assumes of all peers together, as a multiple of the account's rate.
	maxPeerSpendingFactor = 1.5
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
		b = &bucket{level: burst * initialFill, refilledAt: now, peerSpending: make(map[string]*peerSpending)}
		l.buckets[account] = b
	}
	b.advance(now)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

// Admit reports whether a request of the account with the given cost is admitted,
// and deducts the cost if it is. If not, the second result is the time after which
// to retry. A request whose cost is above the burst is admitted from a full bucket.
// An account without a quota is not limited.
func (l *Limiter) Admit(account string, cost float64, now time.Time) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[account]
	if b == nil || b.rate <= 0 {
		return true, 0
	}
	b.advance(now)
	if l.inStartup(now) {
		if allowance := l.startupAllowance(b, now); b.spent+cost > allowance {
			wait := (b.spent + cost - allowance) * float64(max(1, l.gatewayCount)) / b.rate * float64(time.Second)
			return false, min(l.startedAt.Add(maxStartupTime).Sub(now), time.Duration(wait))
		}
	}
	level := b.level
	if l.BootTime != 0 && (l.digestInterval > maxFreshDigestInterval || now.Sub(l.startedAt) < peerRateWarmup) {
		level -= b.unreportedSpending(now)
	}
	charge := cost
	if l.reachableShare > 0 {
		charge /= l.reachableShare
	}
	if deficit := min(charge, b.burst) - level; deficit > 0 {
		return false, min(maxRetryAfter, time.Duration(deficit/b.rate*float64(time.Second)))
	}
	b.level -= charge
	b.spent += cost
	b.recentSpent.add(cost, now)
	return true, 0
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
		p = l.addPeer(name, bootTime)
	}
	for account, total := range spent {
		if b := l.buckets[account]; b != nil {
			b.recordPeerSpending(name, total, p.sameOrLaterStart, p.reportedAt, now)
		}
	}
	p.reportedAt = now
	if l.BootTime != 0 && !l.synced && l.gatewayCount > 0 && float64(len(l.peers)) >= syncedPeerShare*float64(l.gatewayCount-1) {
		l.synced = true
		for _, b := range l.buckets {
			// All peers that have reported started at about the same time as this
			// process or later, so all gateways may have restarted, and the burst may
			// have been spent just before.
			b.level -= b.burst * (initialFill - startupBurstShare)
		}
	}
}

// addPeer creates the record of a peer's process and drops that of a former process
// of the same gateway, if there is one. It sets synced if the peer started before this
// process, or if BootTime is 0, in which case synced has no effect.
func (l *Limiter) addPeer(name string, bootTime uint64) *peer {
	l.removePeer(name)
	p := &peer{bootTime: bootTime, sameOrLaterStart: l.BootTime != 0 && bootTime+uint64(sameStartTolerance) >= l.BootTime}
	if !p.sameOrLaterStart {
		// The startup limits are meant for a restart of all gateways. A peer that
		// was running before this process started shows that not all have
		// restarted, and the peer's own buckets account for what was spent before.
		l.synced = true
	}
	if l.peers == nil {
		l.peers = make(map[string]*peer)
	}
	l.peers[name] = p
	return p
}

// ForgetPeer drops the record of the named peer, so that no more spending is assumed
// of it. It is called if the peer has reported that its process is about to end.
func (l *Limiter) ForgetPeer(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removePeer(name)
}

// removePeer drops a peer's record from the limiter and from all buckets.
func (l *Limiter) removePeer(name string) {
	delete(l.peers, name)
	for _, b := range l.buckets {
		delete(b.peerSpending, name)
	}
}

// recordPeerSpending deducts what the named peer has spent of the account's quota
// since its last report, less what has been extrapolated for it. total is the
// peer's total since its start. lastReportAt is the time of its last report, of any
// accounts, or zero if it has not reported before. The first total for the account
// is deducted in full if sameOrLaterStart is set, or if the peer has reported before
// without the account. Otherwise, nothing is deducted for it: the peer started before
// this process, or Limiter.BootTime is 0 and the start times are not compared, so the
// total does not show what was spent since this process started.
func (b *bucket) recordPeerSpending(name string, total float64, sameOrLaterStart bool, lastReportAt, now time.Time) {
	b.refill(now)
	sp := b.peerSpending[name]
	if sp == nil {
		sp = &peerSpending{spent: total, reportedAt: lastReportAt}
		if sameOrLaterStart || !lastReportAt.IsZero() {
			sp.spent = 0
		}
		b.peerSpending[name] = sp
	}
	newSpending := total - sp.spent
	b.level = min(b.burst, b.level-newSpending+sp.extrapolated)
	if elapsed := now.Sub(sp.reportedAt).Seconds(); !sp.reportedAt.IsZero() && elapsed > 0 {
		sp.rate += (1 - math.Exp(-elapsed/rateTimeConstant.Seconds())) * (newSpending/elapsed - sp.rate)
	}
	sp.recentSpent.add(newSpending, now)
	sp.spent, sp.reportedAt, sp.extrapolated, sp.localSpentAtReport = total, now, 0, b.spent
}

// refill adds the tokens for the time since the last call, up to the burst.
func (b *bucket) refill(now time.Time) {
	if elapsedSeconds := now.Sub(b.refilledAt).Seconds(); elapsedSeconds > 0 {
		b.level = min(b.burst, b.level+elapsedSeconds*b.rate)
		b.refilledAt = now
	}
}

// advance refills the bucket up to now and deducts what the peers have probably
// spent since their last reports, extrapolated from their rates. The more gateways
// there are, the longer is the interval between two reports of a peer, for which its
// spending must be extrapolated.
func (b *bucket) advance(now time.Time) {
	b.refill(now)
	for _, sp := range b.peerSpending {
		if extra := sp.rate*min(now.Sub(sp.reportedAt), maxExtrapolationTime).Seconds() - sp.extrapolated; extra > 0 {
			b.level -= extra
			sp.extrapolated += extra
		}
	}
}

// unreportedSpending estimates what the peers have spent since their last
// reports, beyond what advance has deducted, on the assumption that the
// account's requests are still divided between the peers and this process as they
// recently were. Without it, after a pause in which the measured rates have
// dropped, each gateway would spend all of the bucket's level before it learns from
// the next digests that its peers have done so too.
func (b *bucket) unreportedSpending(now time.Time) float64 {
	localRecent := b.recentSpent.value(now)
	if localRecent <= 0 {
		return 0
	}
	total, longestSilence := 0.0, time.Duration(0)
	for _, sp := range b.peerSpending {
		silence := now.Sub(sp.reportedAt)
		if silence > peerSilenceLimit {
			continue
		}
		longestSilence = max(longestSilence, silence)
		estimate := (b.spent - sp.localSpentAtReport) * min(maxPeerRatio, sp.recentSpent.value(now)/localRecent)
		total += max(0, estimate-sp.extrapolated)
	}
	return min(total, maxPeerSpendingFactor*b.rate*longestSilence.Seconds())
}

// value returns the sum as it has decayed up to now.
func (d *decayingSum) value(now time.Time) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp(-now.Sub(d.updatedAt).Seconds()/recentTimeConstant.Seconds())
}

// add adds x, which may be negative; the sum does not fall below 0.
func (d *decayingSum) add(x float64, now time.Time) {
	d.sum, d.updatedAt = max(0, d.value(now)+x), now
}
