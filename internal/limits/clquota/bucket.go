// This file defines the token buckets.

package clquota

import (
	"math"
	"time"
)

type (
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
		// recentSpent is the cost that this process has recently admitted, without
		// subtracting refunds, and peersRecentSpent what the peers have recently
		// spent, less refunds.
		recentSpent, peersRecentSpent decayingSum
		// peerRate is the sum of the rates of the peers whose spending is
		// extrapolated; it is recomputed at rescanAt.
		peerRate float64
		rescanAt time.Time
		// costSum and squareSum are the sums of the costs of the latest requests and
		// of their squares, and costCount is the number of these requests.
		costSum, squareSum float64
		costCount          int
		// peerSpending holds the spending of the peers by gateway name.
		peerSpending map[string]*peerSpending
	}

	// peerSpending is what one peer has spent of one account's quota.
	peerSpending struct {
		// spent is the peer's total at its last report, and rate its smoothed
		// spending per second.
		spent, rate float64
		// knownSince is the time since which all of the peer's spending is known, and
		// reportedAt the time of the last report that included this account.
		knownSince, reportedAt time.Time
		// stoppedAt is the time at which the extrapolation of the peer's spending
		// stopped, or zero while it goes on.
		stoppedAt time.Time
		// leaving is set if the peer's process is about to end.
		leaving bool
		// localSpentAtReport is what this process had spent in total when the last
		// report arrived.
		localSpentAtReport float64
	}

	// decayingSum is a sum that decays exponentially with recentTimeConstant.
	decayingSum struct {
		// sum is the value at updatedAt.
		sum       float64
		updatedAt time.Time
	}
)

const (
	// maxExtrapolationTime is the longest time since a peer's last report for which
	// the advance method deducts further spending at the peer's last rate. A peer that
	// cannot report may go on spending until the load balancer in front of the
	// gateways has sent its callers to other gateways, which takes a few seconds.
	maxExtrapolationTime = 10 * time.Second
	// leavingDigestIntervals is the longest time since the last report of a peer that
	// is about to end, in intervals between digests, for which advance deducts further
	// spending. It goes on admitting requests and reporting until it ends.
	leavingDigestIntervals = 2
	// rescanInterval is the interval at which advance looks for peers whose
	// extrapolation must stop.
	rescanInterval = 100 * time.Millisecond
	// minRateTimeConstant is the shortest time constant for smoothing a peer's rate
	// over bursts of requests. With infrequent digests, the time constant is
	// rateDigestIntervals intervals: a single expensive request in an interval would
	// otherwise be extrapolated over the next one.
	minRateTimeConstant = time.Second
	rateDigestIntervals = 3.5
	// recentTimeConstant is the time constant of decayingSum. Recent spending
	// shows how an account's requests are divided among the gateways, so the time
	// constant must be longer than the interval between two digests.
	recentTimeConstant = 4 * time.Second
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
	maxPeerSpendingFactor = 3
	// minExpectedFactor is the least spending of all peers per second that
	// unreportedSpending expects, as a multiple of the account's rate, also after a
	// pause of the account.
	minExpectedFactor = 1
	// priorRequests is the weight of the expected spending against that of this
	// process when the bucket is full, in requests of the account's usual cost. Few
	// requests say little about the peers; in an empty bucket, they count in full.
	priorRequests = 1.2
	// maxCostCount is the number of requests at which the sums of their costs are
	// halved, so that later requests count more.
	maxCostCount = 1000
)

// recordPeerSpending deducts what the named peer has spent of the account's quota
// since its last report, less what has been extrapolated for it. total is the peer's
// total since its start. The first total for the account is deducted in full if
// sameOrLaterStart is set, or if the peer has reported before without the account.
// Otherwise, nothing is deducted for it: the peer started before this process, or
// Limiter.BootTime is 0 and the start times are not compared, so the total does not
// show what was spent since this process started.
func (b *bucket) recordPeerSpending(name string, total float64, p *peer, digestInterval time.Duration, now time.Time) {
	b.advance(now, digestInterval)
	sp := b.peerSpending[name]
	if sp == nil {
		sp = &peerSpending{spent: total, knownSince: p.knownSince, reportedAt: p.reportedAt}
		if p.sameOrLaterStart || !p.reportedAt.IsZero() {
			sp.spent = 0
		}
		if sp.reportedAt.IsZero() {
			sp.reportedAt = p.knownSince
		}
		b.peerSpending[name] = sp
	}
	newSpending := total - sp.spent
	b.level = min(b.burst, b.level-newSpending+sp.extrapolated(now))
	if sp.stoppedAt.IsZero() {
		b.peerRate -= sp.rate
	}
	if elapsed := now.Sub(sp.reportedAt).Seconds(); elapsed > 0 {
		timeConstant := max(minRateTimeConstant.Seconds(), rateDigestIntervals*digestInterval.Seconds())
		// Until the time constant has passed, the rate is the mean since knownSince.
		weight := max(1-math.Exp(-elapsed/timeConstant), elapsed/now.Sub(sp.knownSince).Seconds())
		sp.rate = max(0, sp.rate+weight*(newSpending/elapsed-sp.rate))
	}
	b.peerRate += sp.rate
	b.peersRecentSpent.add(newSpending, now)
	sp.spent, sp.reportedAt, sp.stoppedAt, sp.localSpentAtReport = total, now, time.Time{}, b.spent
}

// extrapolated returns what has been deducted from the bucket for the peer since its
// last report.
func (sp *peerSpending) extrapolated(now time.Time) float64 {
	if !sp.stoppedAt.IsZero() {
		now = sp.stoppedAt
	}
	return sp.rate * now.Sub(sp.reportedAt).Seconds()
}

// advance refills the bucket up to now and deducts what the peers have probably spent
// since then, extrapolated from their rates. The more gateways there are, the longer
// is the interval between two reports of a peer, for which its spending must be
// extrapolated. Refill and deduction are netted before the level is limited to the
// burst: a full bucket would otherwise lose the refill and keep the deduction, which
// made it appear emptier by the spending of an interval between digests.
func (b *bucket) advance(now time.Time, digestInterval time.Duration) {
	if elapsed := now.Sub(b.refilledAt).Seconds(); elapsed > 0 {
		b.level = min(b.burst, b.level+elapsed*(b.rate-b.peerRate))
		b.refilledAt = now
	}
	if now.Before(b.rescanAt) {
		return
	}
	b.rescanAt = now.Add(rescanInterval)
	b.peerRate = 0
	for _, sp := range b.peerSpending {
		limit := maxExtrapolationTime
		if sp.leaving {
			limit = leavingDigestIntervals * digestInterval
		}
		if sp.stoppedAt.IsZero() && now.Sub(sp.reportedAt) > limit {
			sp.stoppedAt = now
		}
		if sp.stoppedAt.IsZero() {
			b.peerRate += sp.rate
		}
	}
}

// addCost counts a request, whether it is admitted or not, for usualCost.
func (b *bucket) addCost(cost float64) {
	b.costSum, b.squareSum, b.costCount = b.costSum+cost, b.squareSum+cost*cost, b.costCount+1
	if b.costCount >= maxCostCount {
		b.costSum, b.squareSum, b.costCount = b.costSum/2, b.squareSum/2, b.costCount/2
	}
}

// usualCost returns the mean cost of a request, weighted by the cost: the size of the
// lumps in which the account's quota is used.
func (b *bucket) usualCost() float64 {
	if b.costSum <= 0 {
		return 0
	}
	return b.squareSum / b.costSum
}

// unreportedSpending estimates what the peers have spent since their last reports,
// beyond what advance has deducted, from what this process has spent since then.
// Without it, when an account's demand rises, each gateway would spend all of the
// bucket's level before it learns from the next digests that its peers have done so
// too. With many gateways, a single request is a large part of what a gateway admits
// between digests and says little about the others. The excess over the expected
// spending is therefore weighted as in an estimate of a rate from few events: by the
// expected number of this process's requests, against priorRequests.
func (b *bucket) unreportedSpending(now time.Time) float64 {
	var expected, ages, localSpent, longestSilence float64
	count := 0.0
	for _, sp := range b.peerSpending {
		silence := now.Sub(sp.reportedAt)
		if silence > peerSilenceLimit {
			continue
		}
		count++
		expected += sp.extrapolated(now)
		ages += silence.Seconds()
		localSpent += b.spent - sp.localSpentAtReport
		longestSilence = max(longestSilence, silence.Seconds())
	}
	usualCost := b.usualCost()
	if count == 0 || localSpent <= 0 || usualCost <= 0 {
		return 0
	}
	// One request more at each gateway keeps the ratio near 1 while little is known.
	ratio := min(maxPeerRatio, (b.peersRecentSpent.value(now)/count+usualCost)/(b.recentSpent.value(now)+usualCost))
	excess := localSpent*ratio - expected
	if excess <= 0 {
		return 0
	}
	expectedRequests := max(expected, minExpectedFactor*b.rate*ages/count) / (count * ratio * usualCost)
	prior := priorRequests * min(1, max(0, b.level/b.burst))
	return min(excess*expectedRequests/(prior+expectedRequests), maxPeerSpendingFactor*b.rate*longestSilence)
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
