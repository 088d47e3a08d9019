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

	// simulatedWorld is the state of a simulation.
	simulatedWorld struct {
		simulation
		rng      *rand.Rand
		interval time.Duration
		gateways []simulatedGateway
		outcomes []simulated
		meanCost float64
	}

	simulatedGateway struct {
		name       string
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
	// simDigestsPerLoss is the number of digests of which one is lost.
	simDigestsPerLoss = 50
	simStep           = 5 * time.Millisecond
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

// simEpoch is the start of the simulated time.
var simEpoch = time.Unix(1000, 0)

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
	if s.cost == nil {
		s.cost = requestCost
	}
	w := &simulatedWorld{
		simulation: s, rng: rand.New(rand.NewPCG(s.seed, 7)), interval: clgossip.DigestInterval(s.n),
		gateways: make([]simulatedGateway, s.n), outcomes: make([]simulated, len(simRates)), meanCost: meanRequestCost(s.cost),
	}
	for k, rate := range simRates {
		w.outcomes[k].rate, w.outcomes[k].burst = rate, rate
	}
	for i := range w.gateways {
		w.gateways[i].name = fmt.Sprint("gw", i)
		w.boot(i, 0)
	}
	lowered := false
	for since := time.Duration(0); since < s.duration; since += simStep {
		w.restartGateways(since)
		if s.lowerAt > 0 && since >= s.lowerAt && !lowered {
			lowered = true
			for i := range w.gateways {
				w.setLimits(w.gateways[i].limiter, since)
			}
		}
		if s.isolatedFor > 0 {
			share := 0.0
			if since >= s.isolatedFrom+simPartitionNoticed && since < s.isolatedFrom+s.isolatedFor+w.interval {
				share = 1 / float64(s.n)
			}
			w.gateways[0].limiter.SetReachableShare(share)
		}
		for i := range w.gateways {
			if g := &w.gateways[i]; since >= g.downUntil && since >= g.nextDigest {
				g.nextDigest += time.Duration((0.9 + 0.2*w.rng.Float64()) * float64(w.interval))
				w.sendDigest(i, since)
			}
		}
		if since >= simTrafficStart {
			w.sendRequests(since)
		}
	}
	return w.outcomes
}

// setLimits sets the limits of all accounts that are in force at the given time.
func (w *simulatedWorld) setLimits(l *Limiter, since time.Duration) {
	factor := 1.0
	if w.lowerAt > 0 && since < w.lowerAt {
		factor = 1 / w.lowerTo
	}
	for k, rate := range simRates {
		granted, burst := simGrant(rate*factor, rate*factor, w.n)
		l.SetLimit(accountName(k), granted, burst, simEpoch.Add(since))
	}
}

// boot starts a new process of gateway i.
func (w *simulatedWorld) boot(i int, since time.Duration) {
	now, g := simEpoch.Add(since), &w.gateways[i]
	g.limiter = newSimLimiter(uint64(now.UnixNano()) + uint64(i)*1e6)
	g.limiter.SetGateways(w.n, now)
	g.limiter.SetDigestInterval(w.interval)
	w.setLimits(g.limiter, since)
	g.nextDigest = since + time.Duration(w.rng.Float64()*float64(w.interval))
	g.leaving = false
	g.boots++
}

// restartGateways stops and starts the gateways that are due.
func (w *simulatedWorld) restartGateways(since time.Duration) {
	for i := range w.gateways {
		g := &w.gateways[i]
		at, restarts := w.restarts[i]
		if !restarts || since < at || g.boots > 1 {
			continue
		}
		switch {
		case w.down > 0 && !w.killed && since < at+simDrain:
			if !g.leaving {
				g.leaving, g.nextDigest = true, since
			}
		case w.down > 0 && g.downUntil == 0:
			g.downUntil = since + w.down
			if !w.killed {
				w.sendDigest(i, since)
			}
		case since >= g.downUntil:
			w.boot(i, since)
		}
	}
}

// isolated reports whether gateway i is cut off from the others.
func (w *simulatedWorld) isolated(i int, since time.Duration) bool {
	return i == 0 && since >= w.isolatedFrom && since < w.isolatedFrom+w.isolatedFor
}

// sendDigest sends a digest of gateway i to the others that it reaches, of which one
// in simDigestsPerLoss is lost.
func (w *simulatedWorld) sendDigest(i int, since time.Duration) {
	from, spent := &w.gateways[i], w.gateways[i].limiter.Spent()
	for j := range w.gateways {
		to := &w.gateways[j]
		if j == i || since < to.downUntil || w.isolated(i, since) || w.isolated(j, since) || w.rng.IntN(simDigestsPerLoss) == 0 {
			continue
		}
		receiveSimDigest(to.limiter, from.limiter, from.name, spent, from.leaving, simEpoch.Add(since))
	}
}

// sendRequests plays the requests of one step.
func (w *simulatedWorld) sendRequests(since time.Duration) {
	for k, rate := range simRates {
		for range poisson(w.rng, w.demand(since-simTrafficStart)*rate/w.meanCost*simStep.Seconds()) {
			r := simulatedRequest{at: since, cost: w.cost(w.rng)}
			i := w.gatewayOf(k, w.rng.IntN(simCallers), since)
			r.admitted, _ = w.gateways[i].limiter.Admit(accountName(k), r.cost, simEpoch.Add(since))
			w.outcomes[k].requests = append(w.outcomes[k].requests, r)
		}
	}
}

// accountName returns the name of the account with simRates[k].
func accountName(k int) string { return fmt.Sprint("account", k) }

// gatewayOf returns the gateway of a caller: the one that its hash names, or the next
// hash while that one is down.
func (w *simulatedWorld) gatewayOf(account, caller int, since time.Duration) int {
	for try := 0; ; try++ {
		h := fnv.New64a()
		fmt.Fprint(h, account, "/", caller, "/", try)
		if i := int(h.Sum64() >> 16 % uint64(w.n)); since >= w.gateways[i].downUntil {
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
