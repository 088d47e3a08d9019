// This file defines the queues per account and their order of service.

package cladmission

import (
	"container/list"
	"time"
)

type (
	// Config holds the parameters of a Queue; zero fields get the defaults.
	Config struct {
		// Quantum is the cost that an account of weight 1 may use per round. A
		// value near the largest usual cost keeps the rounds short.
		Quantum float64
		// MaxQueued is the largest number of waiting requests per account, a
		// bound on memory while the rate of service is still unknown.
		MaxQueued int
		// RateWindow is the time over which the rate of service is measured.
		RateWindow time.Duration
	}

	// Request is a request that waits for admission.
	Request[T any] struct {
		Account string
		// Weight is the account's share under contention; below 1 means 1.
		Weight int
		// Cost is the expected use of capacity, for instance in tokens; it must be positive.
		Cost float64
		// StartBy is the latest time at which the request can be admitted and
		// still meet its deadline.
		StartBy time.Time
		Value   T
	}

	// ID identifies a queued request.
	ID uint64

	// Refused is a queued request that was refused.
	Refused[T any] struct {
		ID      ID
		Request Request[T]
		Refusal *Refusal
	}

	// Queue holds the waiting requests of all accounts.
	Queue[T any] struct {
		cfg      Config
		lastID   ID
		accounts map[string]*account
		// ring holds the accounts with waiting requests in order of service;
		// the front is being served.
		ring    list.List
		byID    map[ID]*list.Element
		weights int
		cost    float64
		rate    rate
		refused []Refused[T]
	}

	account struct {
		name    string
		weight  int
		items   list.List
		cost    float64
		deficit float64
		visited bool
		place   *list.Element
	}

	item[T any] struct {
		id      ID
		request Request[T]
		account *account
	}
)

// Defaults of Config.
const (
	defaultQuantum    = 1000
	defaultMaxQueued  = 10000
	defaultRateWindow = 2 * time.Second
)

// NewQueue returns an empty queue.
func NewQueue[T any](cfg Config) *Queue[T] {
	if cfg.Quantum <= 0 {
		cfg.Quantum = defaultQuantum
	}
	if cfg.MaxQueued <= 0 {
		cfg.MaxQueued = defaultMaxQueued
	}
	if cfg.RateWindow <= 0 {
		cfg.RateWindow = defaultRateWindow
	}
	return &Queue[T]{cfg: cfg, accounts: map[string]*account{}, byID: map[ID]*list.Element{}}
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.byID) }

// Offer queues a request, or refuses it if it cannot start in time.
func (q *Queue[T]) Offer(r Request[T], now time.Time) (ID, *Refusal) {
	r.Weight = max(r.Weight, 1)
	remaining := r.StartBy.Sub(now)
	if remaining < 0 {
		return 0, newRefusal(KindDeadlinePassed, 0, remaining)
	}
	wait := q.Wait(r.Account, r.Weight, now)
	if wait > remaining {
		return 0, newRefusal(KindNoTime, wait, remaining)
	}
	a := q.accounts[r.Account]
	if a != nil && a.items.Len() >= q.cfg.MaxQueued {
		return 0, newRefusal(KindQueueFull, wait, remaining)
	}
	q.rate.advance(now, len(q.byID) > 0, q.cfg.RateWindow)
	if a == nil {
		a = &account{name: r.Account, weight: r.Weight}
		a.place = q.ring.PushBack(a)
		q.accounts[r.Account] = a
		q.weights += a.weight
	}
	q.weights += r.Weight - a.weight
	a.weight = r.Weight
	q.lastID++
	q.byID[q.lastID] = a.items.PushBack(&item[T]{id: q.lastID, request: r, account: a})
	a.cost += r.Cost
	q.cost += r.Cost
	return q.lastID, nil
}

// Wait returns the expected wait of a request that the account would add now;
// it is 0 while the rate of service is unknown.
func (q *Queue[T]) Wait(accountName string, weight int, now time.Time) time.Duration {
	q.rate.advance(now, len(q.byID) > 0, q.cfg.RateWindow)
	weights, ahead := q.weights, 0.0
	if a := q.accounts[accountName]; a != nil {
		weight, ahead = a.weight, a.cost
	} else {
		weight = max(weight, 1)
		weights += weight
	}
	return q.wait(ahead, weight, weights)
}

// wait estimates when the cost ahead in an account's queue is served: at the
// account's share of the rate, but not later than the whole backlog.
func (q *Queue[T]) wait(ahead float64, weight, weights int) time.Duration {
	perSecond, known := q.rate.perSecond()
	if !known || len(q.byID) == 0 {
		return 0
	}
	cost := min(ahead*float64(weights)/float64(weight), q.cost)
	if perSecond <= 0 {
		if cost == 0 {
			return 0
		}
		return maxWait
	}
	return time.Duration(min(cost/perSecond, maxWait.Seconds()) * float64(time.Second))
}

// Take admits the next request, for which the caller has capacity. It reports
// false if none waits. Requests whose time has passed are left to Expire.
func (q *Queue[T]) Take(now time.Time) (Request[T], ID, bool) {
	q.rate.advance(now, len(q.byID) > 0, q.cfg.RateWindow)
	for q.ring.Len() > 0 {
		a := q.ring.Front().Value.(*account)
		if !a.visited {
			a.visited = true
			a.deficit += q.cfg.Quantum * float64(a.weight)
		}
		it := a.items.Front().Value.(*item[T])
		if it.request.StartBy.Before(now) {
			q.remove(it)
			q.refused = append(q.refused, Refused[T]{it.id, it.request, newRefusal(KindDeadlinePassed, 0, 0)})
			continue
		}
		if it.request.Cost > a.deficit {
			a.visited = false
			q.ring.MoveToBack(a.place)
			continue
		}
		a.deficit -= it.request.Cost
		q.remove(it)
		q.rate.served += it.request.Cost
		return it.request, it.id, true
	}
	var none Request[T]
	return none, 0, false
}

// Cancel removes a waiting request whose caller has gone and reports whether it
// was waiting.
func (q *Queue[T]) Cancel(id ID) bool {
	e := q.byID[id]
	if e == nil {
		return false
	}
	q.remove(e.Value.(*item[T]))
	return true
}

// Expire removes the requests that cannot start in time any more, because their
// time has passed or because the rate of service fell, and returns them.
func (q *Queue[T]) Expire(now time.Time) []Refused[T] {
	q.rate.advance(now, len(q.byID) > 0, q.cfg.RateWindow)
	refused := q.refused
	q.refused = nil
	for p := q.ring.Front(); p != nil; {
		a := p.Value.(*account)
		p = p.Next()
		ahead := 0.0
		for e := a.items.Front(); e != nil; {
			it := e.Value.(*item[T])
			e = e.Next()
			wait := q.wait(ahead, a.weight, q.weights)
			remaining := it.request.StartBy.Sub(now)
			if wait <= remaining {
				ahead += it.request.Cost
				continue
			}
			kind := KindNoTime
			if remaining < 0 {
				kind = KindDeadlinePassed
			}
			q.remove(it)
			refused = append(refused, Refused[T]{it.id, it.request, newRefusal(kind, wait, remaining)})
		}
	}
	return refused
}

// remove takes an item out of all structures. An account that has nothing
// waiting leaves the ring and loses its deficit, so that it saves up no service.
func (q *Queue[T]) remove(it *item[T]) {
	a := it.account
	a.items.Remove(q.byID[it.id])
	delete(q.byID, it.id)
	a.cost -= it.request.Cost
	q.cost -= it.request.Cost
	if a.items.Len() > 0 {
		return
	}
	q.ring.Remove(a.place)
	delete(q.accounts, a.name)
	q.weights -= a.weight
	if len(q.byID) == 0 {
		q.cost = 0
	}
}
