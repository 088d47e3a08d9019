// Package clquota enforces the request quotas of client accounts, each of which
// is shared by all gateways. Every gateway keeps a copy of the account's token
// bucket and deducts from it both what it admits itself and what the other
// gateways report.
//
// The package does no I/O and reads no clock.
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

		mu      sync.Mutex
		buckets map[string]*bucket
		peers   map[string]*peer
		// gatewayCount is the number of gateways that share the quotas.
		gatewayCount int
		// startedAt is when this process started. synced is set once the peers'
		// spending since then is known.
		startedAt time.Time
		synced    bool
		// reachableShare is the fraction of the gateways that this one is
		// connected to; 0 means all.
		reachableShare float64
		// digestInterval is the time between two digests of the same gateway.
		digestInterval time.Duration
	}

	// bucket is one account's token bucket, as this gateway knows it.
	bucket struct {
		rate, burst float64
		level       float64
		refilledAt  time.Time
		// spent is the total cost that this process has admitted since its start.
		spent float64
		// recentSpent is the cost that this process has recently admitted.
		recentSpent decayingSum
		// peers holds the spending of the other gateways by gateway name.
		peers map[string]*peerSpending
	}

	// peerSpending is what one other gateway has spent of one account's quota.
	peerSpending struct {
		// spent is the peer's total at its last report, and rate its smoothed
		// spending per second.
		spent, rate float64
		reportedAt  time.Time
		// recentSpent is what the peer has recently spent.
		recentSpent decayingSum
		// extrapolated is what has been deducted for the peer since its last
		// report, and localSpentAtReport this process's total at the time of that report.
		extrapolated, localSpentAtReport float64
	}

	// decayingSum is a sum that decays exponentially with recentTimeConstant.
	decayingSum struct {
		sum       float64
		updatedAt time.Time
	}

	// peer is the current process of another gateway.
	peer struct {
		bootTime   uint64
		reportedAt time.Time
		// startedTogether is set if the peer started at about the same time as
		// this process or later, so that all of its totals count as spending
		// since this process started.
		startedTogether bool
	}
)

const (
	// initialFill is the fraction of the burst in a new bucket. It is below 1
	// because a starting process does not know what was spent just before.
	initialFill = 0.5
	// startupBurstShare is the fraction of the burst that all gateways together
	// admit until they have received each other's digests: after a restart of
	// all gateways, the burst may have been spent just before.
	startupBurstShare = 0.1
	// maxStartupTime limits that period in case no digests arrive.
	maxStartupTime = 4 * time.Second
	// syncedPeerShare is the fraction of the other gateways that must have
	// reported before the level of the buckets counts as known.
	syncedPeerShare = 0.8
	// sameStartTolerance is how much earlier than this process a peer may have
	// started and still count as started together with it.
	sameStartTolerance = 5 * time.Second
	// maxExtrapolationTime is how long a peer's rate is extrapolated without a
	// report before the peer counts as gone; until then its clients may still
	// spend, since the ingress takes a few seconds to redirect them.
	maxExtrapolationTime = 10 * time.Second
	// rateTimeConstant is the time constant for smoothing a peer's rate over
	// bursts of requests, independently of the interval between digests.
	rateTimeConstant = time.Second
	// recentTimeConstant is the time constant of decayingSum. Recent spending
	// shows how an account's requests are divided among the gateways, so that
	// it must cover more than the interval between two digests.
	recentTimeConstant = 4 * time.Second
	// peerRateWarmup is how long after its start a process knows too little of
	// the peers' rates to rely on them alone.
	peerRateWarmup = 5 * time.Second
	// maxFreshDigestInterval is the longest interval between digests at which
	// the peers' rates are enough to estimate their spending.
	maxFreshDigestInterval = 300 * time.Millisecond
	// peerSilenceLimit is the time without a report after which unreported
	// spending is no longer estimated for a peer, because it has probably ended:
	// twice the interval between digests in a large installation.
	peerSilenceLimit = 2500 * time.Millisecond
	// maxPeerRatio limits how much more than this process a peer is assumed to
	// spend. maxDemandFactor limits the spending assumed of all peers together,
	// as a multiple of the account's rate.
	maxPeerRatio    = 1.5
	maxDemandFactor = 1.5
	// maxRetryAfter limits the time after which a caller is told to retry.
	maxRetryAfter = 10 * time.Second
)

// SetLimit sets an account's quota, in cost units per second and as a burst; a
// rate of 0 removes the quota.
func (l *Limiter) SetLimit(account string, rate, burst float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buckets == nil {
		l.buckets = make(map[string]*bucket)
	}
	b := l.buckets[account]
	if b == nil {
		b = &bucket{level: burst * initialFill, refilledAt: now, peers: make(map[string]*peerSpending)}
		l.buckets[account] = b
	}
	b.advance(now)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

// Admit deducts cost from the account's quota and reports whether the request
// is admitted; if it is not, Admit returns the time after which to retry. A
// cost above the burst is admitted from a full bucket.
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

// SetGateways sets the number of gateways that share the quotas. The time of
// the first call counts as the start of this process.
func (l *Limiter) SetGateways(n int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gatewayCount = n
	if l.startedAt.IsZero() {
		l.startedAt = now
	}
}

// SetDigestInterval sets the interval at which each of the other gateways
// reports what it has spent.
func (l *Limiter) SetDigestInterval(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.digestInterval = d
}

// SetReachableShare sets the fraction of the gateways that this one is
// connected to, as far as it can tell. The unreachable ones cannot report their
// spending, so each admitted request is charged 1/share times, as if every
// group of gateways admitted as much as the group of this one.
func (l *Limiter) SetReachableShare(share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reachableShare = share
}

// inStartup reports whether too little is known of the peers' spending, in
// which case this process keeps to its share of the startup allowance.
func (l *Limiter) inStartup(now time.Time) bool {
	return l.BootTime != 0 && !l.synced && now.Sub(l.startedAt) < maxStartupTime
}

// startupAllowance returns the total that this process may have spent by now
// during the startup period.
func (l *Limiter) startupAllowance(b *bucket, now time.Time) float64 {
	return (b.burst*startupBurstShare + b.rate*now.Sub(l.startedAt).Seconds()) / float64(max(1, l.gatewayCount))
}

// Refund returns the cost of a request that did not run to the account's quota.
func (l *Limiter) Refund(account string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[account]; b != nil && b.rate > 0 {
		b.level += cost
		b.spent -= cost
	}
}

// Spent returns the total cost that this process has admitted since its start,
// by account.
func (l *Limiter) Spent() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]float64, len(l.buckets))
	for name, b := range l.buckets {
		if b.spent != 0 {
			out[name] = b.spent
		}
	}
	return out
}

// RecordPeerSpending deducts from the buckets what a peer has admitted since
// its last report. spent holds the peer's totals since its start, by account.
func (l *Limiter) RecordPeerSpending(name string, bootTime uint64, spent map[string]float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[name]
	if p == nil || p.bootTime != bootTime {
		p = l.addPeer(name, bootTime)
	}
	for account, total := range spent {
		if b := l.buckets[account]; b != nil {
			b.recordPeerSpending(name, total, p.startedTogether, p.reportedAt, now)
		}
	}
	p.reportedAt = now
	if l.BootTime != 0 && !l.synced && l.gatewayCount > 0 && float64(len(l.peers)) >= syncedPeerShare*float64(l.gatewayCount-1) {
		l.synced = true
		for _, b := range l.buckets {
			// All gateways have started together, and the burst may have been
			// spent just before.
			b.level -= b.burst * (initialFill - startupBurstShare)
		}
	}
}

// addPeer creates the record of a peer's process and drops that of a former
// process of the same name.
func (l *Limiter) addPeer(name string, bootTime uint64) *peer {
	l.removePeer(name)
	p := &peer{bootTime: bootTime, startedTogether: l.BootTime != 0 && bootTime+uint64(sameStartTolerance) >= l.BootTime}
	if !p.startedTogether {
		l.synced = true // a peer that has kept running knows what was spent
	}
	if l.peers == nil {
		l.peers = make(map[string]*peer)
	}
	l.peers[name] = p
	return p
}

// ForgetPeer drops the record of a peer that has announced its end, so that no
// more spending is extrapolated for it.
func (l *Limiter) ForgetPeer(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removePeer(name)
}

// removePeer drops a peer's record from the limiter and from all buckets.
func (l *Limiter) removePeer(name string) {
	delete(l.peers, name)
	for _, b := range l.buckets {
		delete(b.peers, name)
	}
}

// recordPeerSpending deducts what a peer has spent since its last report, less
// what has been extrapolated for it. The first total of a peer that started
// before this process does not show what it has spent since then. lastReport
// is the time of the peer's last report of any account.
func (b *bucket) recordPeerSpending(name string, total float64, startedTogether bool, lastReport, now time.Time) {
	b.refill(now)
	sp := b.peers[name]
	if sp == nil {
		sp = &peerSpending{spent: total, reportedAt: lastReport}
		if startedTogether || !lastReport.IsZero() {
			sp.spent = 0
		}
		b.peers[name] = sp
	}
	newSpending := total - sp.spent
	b.level = min(b.burst, b.level-newSpending+sp.extrapolated)
	if elapsed := now.Sub(sp.reportedAt).Seconds(); !sp.reportedAt.IsZero() && elapsed > 0 {
		sp.rate += (1 - math.Exp(-elapsed/rateTimeConstant.Seconds())) * (newSpending/elapsed - sp.rate)
	}
	sp.recentSpent.add(newSpending, now)
	sp.spent, sp.reportedAt, sp.extrapolated, sp.localSpentAtReport = total, now, 0, b.spent
}

// refill adds the tokens for the time since the last call.
func (b *bucket) refill(now time.Time) {
	if dt := now.Sub(b.refilledAt).Seconds(); dt > 0 {
		b.level = min(b.burst, b.level+dt*b.rate)
		b.refilledAt = now
	}
}

// advance refills the bucket up to now and deducts what the peers have probably
// spent since their last reports, extrapolated from their rates: with more
// gateways, the time between two reports is longer.
func (b *bucket) advance(now time.Time) {
	b.refill(now)
	for _, sp := range b.peers {
		if extra := sp.rate*min(now.Sub(sp.reportedAt), maxExtrapolationTime).Seconds() - sp.extrapolated; extra > 0 {
			b.level -= extra
			sp.extrapolated += extra
		}
	}
}

// unreportedSpending estimates what the peers have spent since their last
// reports, beyond what advance has deducted, on the assumption that the
// account's requests are still divided between them and this process as they
// recently were. Without it, after a pause in which the measured rates have
// dropped, all gateways would at once spend the whole level that the digests
// show.
func (b *bucket) unreportedSpending(now time.Time) float64 {
	localRecent := b.recentSpent.value(now)
	if localRecent <= 0 {
		return 0
	}
	sum, longest := 0.0, time.Duration(0)
	for _, sp := range b.peers {
		since := now.Sub(sp.reportedAt)
		if since > peerSilenceLimit {
			continue
		}
		longest = max(longest, since)
		estimate := (b.spent - sp.localSpentAtReport) * min(maxPeerRatio, sp.recentSpent.value(now)/localRecent)
		sum += max(0, estimate-sp.extrapolated)
	}
	return min(sum, maxDemandFactor*b.rate*longest.Seconds())
}

// value returns the sum, decayed up to now.
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
