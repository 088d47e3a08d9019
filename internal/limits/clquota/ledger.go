// Package clquota decides which requests lie within an account's quota, which
// all gateways spend together: each keeps a copy of the account's token bucket
// and takes from it what it admits and what the others report.
//
// The package does no I/O and reads no clock.
package clquota

import (
	"maps"
	"math"
	"sync"
	"time"
)

type (
	// Ledger holds the buckets of all accounts. Exported fields are set before
	// use. It is safe for concurrent use.
	Ledger struct {
		// Boot is the start of this process in Unix nanoseconds, as peers tell
		// theirs; 0 means that the start does not matter.
		Boot uint64

		mu      sync.Mutex
		buckets map[string]*bucket
		peers   map[string]*peer
		// gateways is the number that spend the quotas together.
		gateways int
		// started is when the first limit was set, and synced says that the
		// others' spending since then is known.
		started time.Time
		synced  bool
	}

	bucket struct {
		rate, burst float64
		level       float64
		at          time.Time
		// spent is what this process has admitted since its start.
		spent float64
		// recent is the same of the last seconds.
		recent decaying
	}

	// decaying is a sum that forgets with time.
	decaying struct {
		sum float64
		at  time.Time
	}

	// peer is what another gateway has reported.
	peer struct {
		boot uint64
		at   time.Time
		// spent and rate are by account; rate is for a second.
		spent, rate map[string]float64
		// recent is what it has spent in the last seconds, by account.
		recent map[string]*decaying
		// assumed was taken for the peer since its last report, when own was
		// this process's sum.
		assumed, own map[string]float64
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
	// mostRatio bounds how much more than this process a peer is assumed to spend.
	mostRatio = 1.5
	// longestWait bounds the time after which a caller is told to come back.
	longestWait = 10 * time.Second
)

// SetLimit sets an account's quota; a rate of 0 removes it.
func (l *Ledger) SetLimit(account string, rate, burst float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buckets == nil {
		l.buckets = make(map[string]*bucket)
	}
	if l.started.IsZero() {
		l.started = now
	}
	b := l.buckets[account]
	if b == nil {
		b = &bucket{level: burst * firstLevel, at: now}
		l.buckets[account] = b
	}
	l.advance(now)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

// Admit takes cost from the account's quota, or says after which time the
// quota allows it. A cost above the burst is admitted from a full bucket.
func (l *Ledger) Admit(account string, cost float64, now time.Time) (bool, time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[account]
	if b == nil || b.rate <= 0 {
		return true, 0
	}
	l.advance(now)
	if l.starting(now) {
		if share := l.startupShare(b, now); b.spent+cost > share {
			wait := (b.spent + cost - share) * float64(max(1, l.gateways)) / b.rate * float64(time.Second)
			return false, min(l.started.Add(startupFor).Sub(now), time.Duration(wait))
		}
	}
	if missing := min(cost, b.burst) - b.level; missing > 0 {
		return false, min(longestWait, time.Duration(missing/b.rate*float64(time.Second)))
	}
	b.level -= cost
	b.spent += cost
	b.recent.add(cost, now)
	return true, 0
}

// SetGateways says how many gateways spend the quotas together.
func (l *Ledger) SetGateways(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.gateways = n
}

// starting reports whether too little is known of the others' spending, so that
// this process keeps to its share.
func (l *Ledger) starting(now time.Time) bool {
	return l.Boot != 0 && !l.synced && now.Sub(l.started) < startupFor
}

// startupShare returns what this process may have spent by now while it starts.
func (l *Ledger) startupShare(b *bucket, now time.Time) float64 {
	return (b.burst*startupBurst + b.rate*now.Sub(l.started).Seconds()) / float64(max(1, l.gateways))
}

// Refund gives back the cost of a request that has not run.
func (l *Ledger) Refund(account string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[account]; b != nil && b.rate > 0 {
		b.level += cost
		b.spent -= cost
	}
}

// Spent returns what this process has admitted since its start, by account.
func (l *Ledger) Spent() map[string]float64 {
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

// Learn takes from the buckets what a peer has admitted since its last report.
func (l *Ledger) Learn(name string, boot uint64, spent map[string]float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(now)
	p := l.peers[name]
	if p == nil || p.boot != boot {
		p = &peer{
			boot: boot, spent: maps.Clone(spent), rate: map[string]float64{}, recent: map[string]*decaying{},
			assumed: map[string]float64{}, own: map[string]float64{},
		}
		if l.Boot != 0 && boot+uint64(sameStart) >= l.Boot {
			// All that it has spent, it spent since this process began.
			p.spent = make(map[string]float64)
		} else {
			l.synced = true // a gateway that has gone on knows what was spent
		}
		if l.peers == nil {
			l.peers = make(map[string]*peer)
		}
		l.peers[name] = p
	}
	if l.Boot != 0 && !l.synced && l.gateways > 0 && float64(len(l.peers)) >= heardShare*float64(l.gateways-1) {
		l.synced = true
		for _, b := range l.buckets {
			// All have started together, perhaps after the burst was spent.
			b.level -= b.burst * (firstLevel - startupBurst)
		}
	}
	elapsed := now.Sub(p.at).Seconds()
	for account, total := range spent {
		delta := total - p.spent[account]
		if b := l.buckets[account]; b != nil {
			b.level = min(b.burst, b.level-delta+p.assumed[account])
		}
		if !p.at.IsZero() && elapsed > 0 {
			p.rate[account] += (1 - math.Exp(-elapsed/rateSpan.Seconds())) * (delta/elapsed - p.rate[account])
		}
		p.spent[account] = total
		if p.recent[account] == nil {
			p.recent[account] = &decaying{}
		}
		p.recent[account].add(delta, now)
	}
	clear(p.assumed)
	for account, b := range l.buckets {
		p.own[account] = b.spent
	}
	p.at = now
}

// Forget ends the spending that is assumed of a peer that has announced its end.
func (l *Ledger) Forget(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.peers, name)
}

// advance fills the buckets up to now, and takes what the peers have probably
// spent since their last reports: the more gateways there are, the longer is
// the time between two of them.
func (l *Ledger) advance(now time.Time) {
	for _, b := range l.buckets {
		if dt := now.Sub(b.at).Seconds(); dt > 0 {
			b.level = min(b.burst, b.level+dt*b.rate)
			b.at = now
		}
	}
	for _, p := range l.peers {
		to := now
		if end := p.at.Add(silentUntil); to.After(end) {
			to = end
		}
		dt := to.Sub(p.at).Seconds()
		for account, recent := range p.recent {
			b := l.buckets[account]
			if b == nil {
				continue
			}
			if more := max(p.rate[account]*dt, p.alike(b, account, recent, now)) - p.assumed[account]; more > 0 {
				b.level -= more
				p.assumed[account] += more
			}
		}
	}
}

// alike returns what the peer has spent since its last report if an account's
// requests come to it and to this process as they lately have. Without it, all
// gateways would at once spend the whole level that the digests show.
func (p *peer) alike(b *bucket, account string, recent *decaying, now time.Time) float64 {
	own := b.spent - p.own[account]
	if own <= 0 {
		return 0
	}
	return own * min(mostRatio, recent.value(now)/b.recent.value(now))
}

func (d *decaying) value(now time.Time) float64 {
	return d.sum * math.Exp(-now.Sub(d.at).Seconds()/recentSpan.Seconds())
}

func (d *decaying) add(x float64, now time.Time) {
	d.sum, d.at = max(0, d.value(now)+x), now
}
