// This file exchanges totals with the other gateways.

package clshare

import (
	"cmp"
	"math"
	"slices"
	"time"
)

type (
	// Totals holds the costs at one gateway for one service since the start of its
	// process.
	Totals struct {
		Service string
		// Offered is the cost of all requests, Admitted that of the admitted ones, and
		// Refused the part of it that was refused for shortage.
		Offered, Admitted, Refused float64
		// Accounts holds the accounts with the highest recent offered cost. It is empty
		// if only other gateways have reported refusals.
		Accounts []AccountTotals
	}

	// AccountTotals holds the costs of one account.
	AccountTotals struct {
		Account string
		// Offered is the cost of all requests by class.
		Offered [Classes]float64
		Served  float64
	}

	// peer is what another gateway has reported last.
	peer struct {
		boot uint64
		// at is the time of the latest digest.
		at       time.Time
		services map[string]*peerService
	}

	// peerService is what another gateway has reported last of a service.
	peerService struct {
		offered, admitted, refused float64
		// recent holds the peer's recent costs.
		recent serviceSums
		// at is the time of the latest report, and since that of the first one of those
		// that follow each other closely. accountsAt and accountsSince are the same for
		// the reports with accounts.
		at, since, accountsAt, accountsSince time.Time
		// accounts has few entries, so that a search takes less than a map's memory
		// is worth.
		accounts []peerAccount
	}

	// peerAccount is what another gateway has reported last of an account.
	peerAccount struct {
		account *account
		offered [Classes]float64
		served  float64
		// at is the time of the report in Unix nanoseconds.
		at int64
	}
)

const (
	// reportTime is how long totals are reported after the latest sign of a shortage.
	reportTime = 5 * time.Second
	// maxReportedAccounts limits the accounts in the totals of a service, and thus the
	// size of digests.
	maxReportedAccounts = 16
	// maxPeerAccounts limits what is kept of a peer's accounts at a service. The
	// accounts that a peer reports may change from digest to digest.
	maxPeerAccounts = 2 * maxReportedAccounts
	// maxReportGap is the longest time between two reports whose difference counts as
	// recent cost. It spans several digests.
	maxReportGap = 3 * time.Second
	// coverTime is how long a gateway's reports must span before its recent costs count
	// as known. Two reports of 132 gateways do, and its refused fraction is then that
	// of the spanned time; with 0.8 s, hot_account reaches 0.971 instead of 0.983.
	coverTime = 400 * time.Millisecond
	// maxPeerRatio limits the offered cost that counts for a peer, as a multiple of
	// this gateway's own, so that wrong figures of one gateway have a bounded effect.
	// Gateways of very uneven size are all scaled alike.
	maxPeerRatio = 8
)

// Totals returns this gateway's totals of the services that are in shortage or were
// until recently, and of those whose requests are refused at other gateways: a fraction
// of refusals is that of all gateways only if all of them report. Otherwise, it returns
// nil.
func (a *Allocator) Totals(now time.Time) []Totals {
	a.mu.Lock()
	defer a.mu.Unlock()
	var totals []Totals
	for name, s := range a.services {
		withAccounts := now.Sub(s.refusedAt) <= reportTime || now.Sub(s.shortAt) <= reportTime
		if !withAccounts {
			if now.Sub(s.peerRefusedAt) <= reportTime {
				totals = append(totals, Totals{Service: name, Offered: s.offered, Admitted: s.admitted, Refused: s.refused})
			}
			continue
		}
		s.order = s.order[:0]
		for _, acct := range s.accounts {
			if acct.offeredTotal() > 0 {
				s.order = append(s.order, acct)
			}
		}
		if len(s.order) > maxReportedAccounts {
			slices.SortFunc(s.order, func(x, y *account) int { return cmp.Compare(y.recentOffered(now), x.recentOffered(now)) })
			s.order = s.order[:maxReportedAccounts]
		}
		t := Totals{Service: name, Offered: s.offered, Admitted: s.admitted, Refused: s.refused}
		for _, acct := range s.order {
			t.Accounts = append(t.Accounts, AccountTotals{Account: acct.name, Offered: acct.offered, Served: acct.served})
		}
		totals = append(totals, t)
	}
	return totals
}

// RecordPeer takes in the totals of another gateway. boot identifies the run of its
// process. What it has reported of a service or an account for the first time only
// serves for the comparison with the next report.
func (a *Allocator) RecordPeer(name string, boot uint64, totals []Totals, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.weights) == 0 {
		return
	}
	p := a.peers[name]
	if p == nil || p.boot != boot {
		if a.peers == nil {
			a.peers = make(map[string]*peer)
		}
		p = &peer{boot: boot, services: make(map[string]*peerService)}
		a.peers[name] = p
	}
	p.at = now
	if len(totals) == 0 {
		// Without a shortage, the peer's totals are out of date at the next one.
		clear(p.services)
		return
	}
	for _, t := range totals {
		s := a.services[t.Service]
		if s == nil {
			if !a.configured[t.Service] {
				continue
			}
			// Although this gateway has had no request for the service, its report
			// shows the others that they know the costs of all.
			s = a.service(t.Service, now)
		}
		ps := p.services[t.Service]
		if ps == nil || len(ps.accounts) > maxPeerAccounts {
			ps = &peerService{}
			p.services[t.Service] = ps
		}
		a.addReport(s, ps, t, now)
	}
}

// ForgetPeer drops what another gateway has reported.
func (a *Allocator) ForgetPeer(name string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.peers, name)
}

// addReport adds the difference of a report to the one before to the recent costs of the
// peer and of the accounts.
func (a *Allocator) addReport(s *service, ps *peerService, t Totals, now time.Time) {
	if t.Offered < ps.offered {
		// The peer's totals have started anew.
		*ps = peerService{}
	}
	s.local.decay(now)
	ps.recent.decay(now)
	scale := a.peerScale(s, ps, t, now)
	if now.Sub(ps.at) > maxReportGap {
		ps.since, ps.recent = now, serviceSums{at: now}
	} else {
		offered, admitted := scale*difference(t.Offered, ps.offered), scale*difference(t.Admitted, ps.admitted)
		refused := min(max(0, admitted), scale*difference(t.Refused, ps.refused))
		ps.recent.offered += max(0, offered)
		ps.recent.admitted = max(0, ps.recent.admitted+admitted)
		ps.recent.refused = max(0, ps.recent.refused+refused)
		if refused > 0 {
			ps.recent.refusals++
		}
	}
	ps.offered, ps.admitted, ps.refused, ps.at = t.Offered, t.Admitted, t.Refused, now
	if len(t.Accounts) > 0 {
		s.peerRefusedAt = now
		if now.Sub(ps.accountsAt) > maxReportGap {
			ps.accountsSince = now
		}
		ps.accountsAt = now
	}
	for _, at := range t.Accounts[:min(len(t.Accounts), maxReportedAccounts)] {
		weight, ok := a.weights[at.Account]
		if !ok {
			continue
		}
		pa := ps.account(s.account(at.Account, weight))
		if pa.age(now) <= maxReportGap && scale > 0 {
			acct := pa.account
			acct.recent.decay(now)
			offered := 0.0
			for c := range at.Offered {
				d := scale * max(0, difference(at.Offered[c], pa.offered[c]))
				acct.recent.offered[c] += d
				offered += d
			}
			acct.recent.served = max(0, acct.recent.served+min(offered, scale*difference(at.Served, pa.served)))
		}
		pa.offered, pa.served, pa.at = at.Offered, at.Served, now.UnixNano()
	}
}

// load returns the recent costs at this gateway and at the peers whose reports cover
// coverTime. Its refusals leave out the gateway with the most of them, unless that has
// more than half of the load: a single gateway whose requests are all refused is no sign
// that the capacity is short. known is set if most of the gateways that are heard have
// been counted, and accountsKnown if most have reported their accounts as well.
func (a *Allocator) load(name string, s *service, now time.Time) (sum serviceSums, known, accountsKnown bool) {
	s.recent.decay(now)
	sum = s.recent
	worst := s.recent
	live, covered, accountsCovered := 1, 1, 1
	for peerName, p := range a.peers {
		if now.Sub(p.at) > maxReportGap {
			delete(a.peers, peerName)
			continue
		}
		live++
		ps := p.services[name]
		if ps == nil || now.Sub(ps.at) > maxReportGap || ps.at.Sub(ps.since) < coverTime {
			continue
		}
		covered++
		if now.Sub(ps.accountsAt) <= maxReportGap && ps.accountsAt.Sub(ps.accountsSince) >= coverTime {
			accountsCovered++
		}
		ps.recent.decay(now)
		sum.add(ps.recent)
		if ps.recent.refused > worst.refused {
			worst = ps.recent
		}
	}
	if live > 1 && 2*worst.admitted <= sum.admitted {
		sum.admitted -= worst.admitted
		sum.refused = max(0, sum.refused-worst.refused)
		sum.refusals = max(0, sum.refusals-worst.refusals)
	}
	return sum, 2*covered > live, 2*accountsCovered > live
}

// account returns the entry of an account, which is added if there is none.
func (p *peerService) account(acct *account) *peerAccount {
	for i := range p.accounts {
		if p.accounts[i].account == acct {
			return &p.accounts[i]
		}
	}
	if p.accounts == nil {
		p.accounts = make([]peerAccount, 0, maxReportedAccounts)
	}
	p.accounts = append(p.accounts, peerAccount{account: acct})
	return &p.accounts[len(p.accounts)-1]
}

// age returns the time since the report.
func (p *peerAccount) age(now time.Time) time.Duration { return time.Duration(now.UnixNano() - p.at) }

// peerScale returns the factor by which the costs of a report count: 1, or less if the
// peer claims to have been offered many times what this gateway has been offered.
func (a *Allocator) peerScale(s *service, ps *peerService, t Totals, now time.Time) float64 {
	offered, longest := max(difference(t.Offered, ps.offered), difference(t.Admitted, ps.admitted)), time.Duration(0)
	if ps.at.IsZero() || now.Sub(ps.at) > maxReportGap {
		offered = 0
	} else {
		longest = now.Sub(ps.at)
	}
	accountsOffered := 0.0
	for _, at := range t.Accounts[:min(len(t.Accounts), maxReportedAccounts)] {
		i := slices.IndexFunc(ps.accounts, func(pa peerAccount) bool { return pa.account.name == at.Account })
		if i < 0 || ps.accounts[i].age(now) > maxReportGap {
			continue
		}
		pa := &ps.accounts[i]
		longest = max(longest, pa.age(now))
		for c := range at.Offered {
			accountsOffered += max(0, difference(at.Offered[c], pa.offered[c]))
		}
	}
	offered = max(offered, accountsOffered)
	limit := maxPeerRatio * s.local.offered * longest.Seconds() / sumTime.Seconds()
	switch {
	case math.IsInf(offered, 0):
		return 0
	case offered <= limit:
		return 1
	}
	return limit / offered
}

// difference returns the growth of a total, or 0 if either is not finite.
func difference(total, before float64) float64 {
	if d := total - before; !math.IsNaN(d) && !math.IsInf(d, 0) {
		return d
	}
	return 0
}

// offeredTotal returns the offered cost at this gateway since its start.
func (a *account) offeredTotal() float64 {
	total := 0.0
	for _, cost := range a.offered {
		total += cost
	}
	return total
}

// recentOffered returns the recent offered cost at all gateways.
func (a *account) recentOffered(now time.Time) float64 {
	a.recent.decay(now)
	total := 0.0
	for _, cost := range a.recent.offered {
		total += cost
	}
	return total
}
