// This file simulates gateways that share quotas by digests, without a network.

package clquota

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/coordination/clgossip"
)

type (
	// simulation plays requests of several accounts at n gateways in virtual time.
	simulation struct {
		n    int
		seed uint64
		// demand is the cost that an account asks for per second, as a multiple of
		// its rate, at the time since the start of traffic.
		demand func(since time.Duration) float64
		// lowerAt is the time at which the limits drop from rate to rate*lowerTo;
		// 0 is never. demand counts in the lowered rate throughout.
		lowerAt time.Duration
		lowerTo float64
		// restarts is when gateways restart, by index, and down for how long each is
		// gone. Unless killed is set or down is 0, it first drains for simDrain, in
		// which it still admits requests.
		restarts map[int]time.Duration
		down     time.Duration
		killed   bool
		// isolatedFrom and isolatedFor say when gateway 0 is cut off from the others.
		isolatedFrom, isolatedFor time.Duration
		duration                  time.Duration
		// cost draws the cost of a request; the default is requestCost.
		cost func(rng *rand.Rand) float64
	}

	// simulated is the outcome of one account.
	simulated struct {
		rate, burst float64
		requests    []simulatedRequest
	}

	simulatedRequest struct {
		at       time.Duration
		cost     float64
		admitted bool
	}

	simulatedGateway struct {
		limiter    *Limiter
		nextDigest time.Duration
		downUntil  time.Duration
		// leaving is set while the gateway drains before a restart.
		leaving bool
		boots   int
	}
)

const (
	// simOvershoot and simSlack are the tolerances of the quota bound.
	simOvershoot, simSlack = 0.1, 140_000.0
	simStep                = 5 * time.Millisecond
	// simTrafficStart is when requests begin after the start of the gateways.
	simTrafficStart = 5 * time.Second
	// simPartitionNoticed is how long an isolated gateway takes to notice: the age of
	// its configuration must pass staleConfigFraction of clnode, 0.4 of 3 s.
	simPartitionNoticed = 1200 * time.Millisecond
	// simDrain is how long a gateway that stops goes on admitting requests: until the
	// ingress has noticed.
	simDrain = time.Second
	// simCallers is the number of callers of an account.
	simCallers = 200
	// simMaxCost is the cost of the largest prompt, with its output.
	simMaxCost = 56_000
)

// simRates are the accounts' rates; an account's burst is the rate of one second.
var simRates = []float64{36_000, 100_000, 200_000, 337_000, 700_000, 1_400_000}

// requestCost draws the cost of a request: one in five is expensive.
func requestCost(rng *rand.Rand) float64 {
	mean, sigma := 2_400.0, 0.5
	if rng.IntN(5) == 0 {
		mean, sigma = 12_400, 1
	}
	return min(simMaxCost, math.Exp(math.Log(mean)-sigma*sigma/2+sigma*rng.NormFloat64()))
}

// meanRequestCost estimates the mean of a distribution of costs.
func meanRequestCost(cost func(*rand.Rand) float64) float64 {
	rng, sum := rand.New(rand.NewPCG(1, 1)), 0.0
	for range 20_000 {
		sum += cost(rng)
	}
	return sum / 20_000
}

// run plays the simulation and returns the outcomes of the accounts by simRates.
func (s simulation) run() []simulated {
	rng := rand.New(rand.NewPCG(s.seed, 7))
	start, interval := time.Unix(1000, 0), clgossip.DigestInterval(s.n)
	cost := s.cost
	if cost == nil {
		cost = requestCost
	}
	meanCost := meanRequestCost(cost)
	outcomes := make([]simulated, len(simRates))
	gateways := make([]simulatedGateway, s.n)
	names, accounts := make([]string, s.n), make([]string, len(simRates))
	for i := range names {
		names[i] = fmt.Sprint("gw", i)
	}
	for k, rate := range simRates {
		accounts[k], outcomes[k].rate, outcomes[k].burst = fmt.Sprint("account", k), rate, rate
	}
	setLimits := func(l *Limiter, since time.Duration) {
		factor := 1.0
		if s.lowerAt > 0 && since < s.lowerAt {
			factor = 1 / s.lowerTo
		}
		for k, rate := range simRates {
			granted, burst := simGrant(rate*factor, rate*factor, s.n)
			l.SetLimit(accounts[k], granted, burst, start.Add(since))
		}
	}
	boot := func(i int, since time.Duration) {
		now := start.Add(since)
		g := &gateways[i]
		g.limiter = newSimLimiter(uint64(now.UnixNano()) + uint64(i)*1e6)
		g.limiter.SetGateways(s.n, now)
		g.limiter.SetDigestInterval(interval)
		setLimits(g.limiter, since)
		g.nextDigest = since + time.Duration(rng.Float64()*float64(interval))
		g.leaving = false
		g.boots++
	}
	for i := range gateways {
		boot(i, 0)
	}
	isolated := func(i int, since time.Duration) bool {
		return i == 0 && since >= s.isolatedFrom && since < s.isolatedFrom+s.isolatedFor
	}
	sendDigest := func(i int, since time.Duration) {
		from, spent := &gateways[i], gateways[i].limiter.Spent()
		for j := range gateways {
			if j == i || since < gateways[j].downUntil || isolated(i, since) || isolated(j, since) || rng.IntN(50) == 0 {
				continue
			}
			receiveSimDigest(gateways[j].limiter, from.limiter, names[i], spent, from.leaving, start.Add(since))
		}
	}
	lowered := false
	for since := time.Duration(0); since < s.duration; since += simStep {
		now := start.Add(since)
		for i := range gateways {
			g := &gateways[i]
			at, restarts := s.restarts[i]
			if !restarts || since < at || g.boots > 1 {
				continue
			}
			switch {
			case s.down > 0 && !s.killed && since < at+simDrain:
				if !g.leaving {
					g.leaving, g.nextDigest = true, since
				}
			case s.down > 0 && g.downUntil == 0:
				g.downUntil = since + s.down
				if !s.killed {
					sendDigest(i, since)
				}
			case since >= g.downUntil:
				boot(i, since)
			}
		}
		if s.lowerAt > 0 && since >= s.lowerAt && !lowered {
			lowered = true
			for i := range gateways {
				setLimits(gateways[i].limiter, since)
			}
		}
		if s.isolatedFor > 0 {
			share := 0.0
			if since >= s.isolatedFrom+simPartitionNoticed && since < s.isolatedFrom+s.isolatedFor+interval {
				share = 1 / float64(s.n)
			}
			gateways[0].limiter.SetReachableShare(share)
		}
		for i := range gateways {
			g := &gateways[i]
			if since < g.downUntil || since < g.nextDigest {
				continue
			}
			g.nextDigest += time.Duration((0.9 + 0.2*rng.Float64()) * float64(interval))
			sendDigest(i, since)
		}
		if since < simTrafficStart {
			continue
		}
		for k, rate := range simRates {
			for range poisson(rng, s.demand(since-simTrafficStart)*rate/meanCost*simStep.Seconds()) {
				r := simulatedRequest{at: since, cost: cost(rng)}
				i := s.gatewayOf(k, rng.IntN(simCallers), gateways, since)
				r.admitted, _ = gateways[i].limiter.Admit(accounts[k], r.cost, now)
				outcomes[k].requests = append(outcomes[k].requests, r)
			}
		}
	}
	return outcomes
}

// gatewayOf returns the gateway of a caller: the one that its hash names, or the next
// hash while that one is down.
func (s simulation) gatewayOf(account, caller int, gateways []simulatedGateway, since time.Duration) int {
	for try := 0; ; try++ {
		h := fnv.New64a()
		fmt.Fprint(h, account, "/", caller, "/", try)
		if i := int(h.Sum64() >> 16 % uint64(s.n)); since >= gateways[i].downUntil {
			return i
		}
	}
}

// refusedAfter returns the number of requests that arrived after the given time and
// were refused, and their number in all.
func (o simulated) refusedAfter(since time.Duration) (refused, all int) {
	for _, r := range o.requests {
		if r.at >= since {
			all++
			if !r.admitted {
				refused++
			}
		}
	}
	return refused, all
}

// belowLimit returns, for each request, whether the account is below its configured
// limit with it: what it has asked for in any time up to the request, refused or not,
// is at most the rate times that time plus the burst.
func (o simulated) belowLimit() []bool {
	below := make([]bool, len(o.requests))
	level, last := o.burst, time.Duration(0)
	for i, r := range o.requests {
		level, last = min(o.burst, level+o.rate*(r.at-last).Seconds())-r.cost, r.at
		below[i] = level >= 0
	}
	return below
}

// boundShare returns the largest cost admitted in any 8 s, as a fraction of the quota
// bound.
func (o simulated) boundShare() float64 {
	const window = 8 * time.Second
	largest, sum, first := 0.0, 0.0, 0
	for _, r := range o.requests {
		if r.admitted {
			sum += r.cost
		}
		for ; r.at-o.requests[first].at >= window; first++ {
			if o.requests[first].admitted {
				sum -= o.requests[first].cost
			}
		}
		largest = max(largest, sum)
	}
	return largest / ((o.rate*window.Seconds()+o.burst)*(1+simOvershoot) + simSlack)
}

// poisson draws from the Poisson distribution with a small mean.
func poisson(rng *rand.Rand, mean float64) int {
	k, p := 0, math.Exp(-mean)
	for u := rng.Float64() - p; u > 0; u -= p {
		k++
		p *= mean / float64(k)
	}
	return k
}
