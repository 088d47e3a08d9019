// Package clquota decides which requests lie within an account's quota, which
// all gateways spend together: each keeps a copy of the account's token bucket
// and takes from it what it admits and what the others report.
//
// The package does no I/O and reads no clock.
package clquota

import (
	"math"
	"sync"
	"time"
)

type (
	// Limiter holds the buckets of all accounts. Exported fields are set before
	// use. It is safe for concurrent use.
	Limiter struct {
		// BootTime is the start of this process in Unix nanoseconds, as peers tell
		// theirs; 0 means that the start does not matter.
		BootTime uint64

		mu      sync.Mutex
		buckets map[string]*bucket
		peers   map[string]*peer
		// gateways is the number that spend the quotas together.
		gateways int
		// started is when this process did, and synced says that the others'
		// spending since then is known.
		started time.Time
		synced  bool
		// reach is the part of the gateways that this one is connected with; 0
		// means all.
		reach float64
		// interval is the time between two digests of a gateway.
		interval time.Duration
	}

	bucket struct {
		rate, burst float64
		level       float64
		at          time.Time
		// spent is what this process has admitted since its start.
		spent float64
		// recent is the same of the last seconds.
		recent decaying
		// peers is the spending of the other gateways.
		peers map[string]*spending
	}

	// spending is what another gateway has taken from one account's quota.
	spending struct {
		// spent is its sum at its last report, and rate its last rate for a second.
		spent, rate float64
		at          time.Time
		// recent is what it has spent in the last seconds.
		recent decaying
		// assumed was taken for the peer since its last report, when own was
		// this process's sum.
		assumed, own float64
	}

	// decaying is a sum that forgets with time.
	decaying struct {
		sum float64
		at  time.Time
	}

	// peer is another gateway.
	peer struct {
		boot uint64
		at   time.Time
		// startedWithUs says that all it has spent, it spent since this process began.
		startedWithUs bool
	}
)

const (
	// firstLevel is the part of the burst that a starting process grants,
	// because it does not know what was spent just before.
	firstLevel = 0.5
	// startupBurst is the part of the burst that all gateways together grant
	// until they have heard of each other: after a restart of all of them the
	// burst may have been spent just before.
	startupBurst = 0.1
	// startupFor bounds that time, in case the others are silent.
	startupFor = 4 * time.Second
	// heardShare is the part of the other gateways whose spending is enough to
	// know the level.
	heardShare = 0.8
	// sameStart is how much earlier than this process a peer may have started
	// and still count as started with it.
	sameStart = 5 * time.Second
	// silentUntil is when a silent peer counts as gone; the ingress needs a
	// few seconds to send its clients elsewhere.
	silentUntil = 10 * time.Second
	// rateSpan smooths a peer's rate over the bunches in which requests come,
	// whatever the time between two exchanges is.
	rateSpan = time.Second
	// recentSpan is how long spending tells how an account's requests are
	// divided among the gateways; longer than the time between two digests.
	recentSpan = 4 * time.Second
	// youngFor is how long after its start a process knows too little of the
	// others' rates to go by them.
	youngFor = 5 * time.Second
	// freshDigests is the time between two digests up to which the others'
	// spending is known well enough from their rates.
	freshDigests = 300 * time.Millisecond
	// unheardUntil is when a silent peer is taken to have ended: twice the time
	// between two digests of a large system.
	unheardUntil = 2500 * time.Millisecond
	// mostRatio bounds how much more than this process a peer is assumed to
	// spend, and mostDemand how many times its rate an account is.
	mostRatio  = 1.5
	mostDemand = 1.5
	// longestWait bounds the time after which a caller is told to come back.
	longestWait = 10 * time.Second
)

// SetLimit sets an account's quota; a rate of 0 removes it.
func (l *Limiter) SetLimit(account string, rate, burst float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buckets == nil {
		l.buckets = make(map[string]*bucket)
	}
	b := l.buckets[account]
	if b == nil {
		b = &bucket{level: burst * firstLevel, at: now, peers: make(map[string]*spending)}
		l.buckets[account] = b
	}
	b.advance(now)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

// Admit takes cost from the account's quota, or says after which time the
// quota allows it. A cost above the burst is admitted from a full bucket.
func (l *Limiter) Admit(account string, cost float64, now time.Time) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[account]
	if b == nil || b.rate <= 0 {
		return true, 0
	}
	b.advance(now)
	if l.starting(now) {
		if share := l.startupShare(b, now); b.spent+cost > share {
			wait := (b.spent + cost - share) * float64(max(1, l.gateways)) / b.rate * float64(time.Second)
			return false, min(l.started.Add(startupFor).Sub(now), time.Duration(wait))
		}
	}
	level := b.level
	if l.BootTime != 0 && (l.interval > freshDigests || now.Sub(l.started) < youngFor) {
		level -= b.unheard(now)
	}
	charge := cost
	if l.reach > 0 {
		charge /= l.reach
	}
	if missing := min(charge, b.burst) - level; missing > 0 {
		return false, min(longestWait, time.Duration(missing/b.rate*float64(time.Second)))
	}
	b.level -= charge
	b.spent += cost
	b.recent.add(cost, now)
	return true, 0
}

// SetGateways says how many gateways spend the quotas together; the first call
// tells when this process started.
func (l *Limiter) SetGateways(n int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gateways = n
	if l.started.IsZero() {
		l.started = now
	}
}

// SetDigestInterval says how often each of the other gateways tells what it has spent.
func (l *Limiter) SetDigestInterval(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.interval = d
}

// SetReachableShare says which part of the gateways this one is connected with, as far
// as it can tell. The others cannot tell it what they spend, so that each
// request is taken for as many as there are gateways like this one.
func (l *Limiter) SetReachableShare(part float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reach = part
}

// starting reports whether too little is known of the others' spending, so that
// this process keeps to its share.
func (l *Limiter) starting(now time.Time) bool {
	return l.BootTime != 0 && !l.synced && now.Sub(l.started) < startupFor
}

// startupShare returns what this process may have spent by now while it starts.
func (l *Limiter) startupShare(b *bucket, now time.Time) float64 {
	return (b.burst*startupBurst + b.rate*now.Sub(l.started).Seconds()) / float64(max(1, l.gateways))
}

// Refund gives back the cost of a request that has not run.
func (l *Limiter) Refund(account string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[account]; b != nil && b.rate > 0 {
		b.level += cost
		b.spent -= cost
	}
}

// Spent returns what this process has admitted since its start, by account.
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

// RecordPeerSpending takes from the buckets what a peer has admitted since its last report.
func (l *Limiter) RecordPeerSpending(name string, boot uint64, spent map[string]float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[name]
	if p == nil || p.boot != boot {
		p = l.meet(name, boot)
	}
	for account, total := range spent {
		if b := l.buckets[account]; b != nil {
			b.learn(name, total, p.startedWithUs, p.at, now)
		}
	}
	p.at = now
	if l.BootTime != 0 && !l.synced && l.gateways > 0 && float64(len(l.peers)) >= heardShare*float64(l.gateways-1) {
		l.synced = true
		for _, b := range l.buckets {
			// All have started together, perhaps after the burst was spent.
			b.level -= b.burst * (firstLevel - startupBurst)
		}
	}
}

// meet begins the record of a peer's process; a former one's is dropped.
func (l *Limiter) meet(name string, boot uint64) *peer {
	l.forget(name)
	p := &peer{boot: boot, startedWithUs: l.BootTime != 0 && boot+uint64(sameStart) >= l.BootTime}
	if !p.startedWithUs {
		l.synced = true // a gateway that has gone on knows what was spent
	}
	if l.peers == nil {
		l.peers = make(map[string]*peer)
	}
	l.peers[name] = p
	return p
}

// ForgetPeer ends the spending that is assumed of a peer that has announced its end.
func (l *Limiter) ForgetPeer(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.forget(name)
}

func (l *Limiter) forget(name string) {
	delete(l.peers, name)
	for _, b := range l.buckets {
		delete(b.peers, name)
	}
}

// learn takes a peer's sum, of which what was assumed has been taken before.
// The first sum of a peer that was there before this process says nothing of
// what it has spent since; lastReport is its last one, of any account.
func (b *bucket) learn(name string, total float64, startedWithUs bool, lastReport, now time.Time) {
	b.fill(now)
	sp := b.peers[name]
	if sp == nil {
		sp = &spending{spent: total, at: lastReport}
		if startedWithUs || !lastReport.IsZero() {
			sp.spent = 0
		}
		b.peers[name] = sp
	}
	delta := total - sp.spent
	b.level = min(b.burst, b.level-delta+sp.assumed)
	if elapsed := now.Sub(sp.at).Seconds(); !sp.at.IsZero() && elapsed > 0 {
		sp.rate += (1 - math.Exp(-elapsed/rateSpan.Seconds())) * (delta/elapsed - sp.rate)
	}
	sp.recent.add(delta, now)
	sp.spent, sp.at, sp.assumed, sp.own = total, now, 0, b.spent
}

func (b *bucket) fill(now time.Time) {
	if dt := now.Sub(b.at).Seconds(); dt > 0 {
		b.level = min(b.burst, b.level+dt*b.rate)
		b.at = now
	}
}

// advance fills the bucket up to now, and takes what the peers have probably
// spent since their last reports: the more gateways there are, the longer is
// the time between two of them.
func (b *bucket) advance(now time.Time) {
	b.fill(now)
	for _, sp := range b.peers {
		if more := sp.rate*min(now.Sub(sp.at), silentUntil).Seconds() - sp.assumed; more > 0 {
			b.level -= more
			sp.assumed += more
		}
	}
}

// unheard returns what the peers have spent since their last reports, beyond
// what advance has taken, if the account's requests come to them and to this
// process as they lately have. Without it, all gateways would at once spend the
// whole level that the digests show after a pause has hidden their rates.
func (b *bucket) unheard(now time.Time) float64 {
	own := b.recent.value(now)
	if own <= 0 {
		return 0
	}
	sum, longest := 0.0, time.Duration(0)
	for _, sp := range b.peers {
		since := now.Sub(sp.at)
		if since > unheardUntil {
			continue
		}
		longest = max(longest, since)
		alike := (b.spent - sp.own) * min(mostRatio, sp.recent.value(now)/own)
		sum += max(0, alike-sp.assumed)
	}
	return min(sum, mostDemand*b.rate*longest.Seconds())
}

func (d *decaying) value(now time.Time) float64 {
	if d.sum == 0 {
		return 0
	}
	return d.sum * math.Exp(-now.Sub(d.at).Seconds()/recentSpan.Seconds())
}

func (d *decaying) add(x float64, now time.Time) {
	d.sum, d.at = max(0, d.value(now)+x), now
}
