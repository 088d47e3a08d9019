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
	// Ledger holds the buckets of all accounts. It is safe for concurrent use.
	Ledger struct {
		mu      sync.Mutex
		buckets map[string]*bucket
		peers   map[string]*peer
	}

	bucket struct {
		rate, burst float64
		level       float64
		at          time.Time
		// spent is what this process has admitted since its start.
		spent float64
	}

	// peer is what another gateway has reported.
	peer struct {
		boot uint64
		at   time.Time
		// spent and rate are by account; rate is for a second.
		spent, rate map[string]float64
		// assumed was taken for the peer since its last report, at its last rate.
		assumed   map[string]float64
		assumedTo time.Time
	}
)

const (
	// firstLevel is the part of the burst that a starting process grants,
	// because it does not know what was spent just before.
	firstLevel = 0.5
	// silentUntil is when a silent peer counts as gone; the ingress needs a
	// few seconds to send its clients elsewhere.
	silentUntil = 10 * time.Second
	// rateSpan smooths a peer's rate over the bunches in which requests come,
	// whatever the time between two exchanges is.
	rateSpan = time.Second
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
	if missing := min(cost, b.burst) - b.level; missing > 0 {
		return false, min(longestWait, time.Duration(missing/b.rate*float64(time.Second)))
	}
	b.level -= cost
	b.spent += cost
	return true, 0
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
		p = &peer{boot: boot, spent: maps.Clone(spent), rate: map[string]float64{}, assumed: map[string]float64{}}
		if l.peers == nil {
			l.peers = make(map[string]*peer)
		}
		l.peers[name] = p
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
	}
	clear(p.assumed)
	p.at, p.assumedTo = now, now
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
		dt := to.Sub(p.assumedTo).Seconds()
		if dt <= 0 {
			continue
		}
		p.assumedTo = to
		for account, rate := range p.rate {
			if b := l.buckets[account]; b != nil && rate > 0 {
				b.level -= rate * dt
				p.assumed[account] += rate * dt
			}
		}
	}
}
