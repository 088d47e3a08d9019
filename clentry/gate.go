// This file defines the gate, which decides when and where requests run.

package clentry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/cladmission"
	"github.com/chestnutlead/chestnutlead/clroute"
	"github.com/chestnutlead/chestnutlead/clslot"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clwait"
	"github.com/gofiber/fiber/v2"
	"go.uber.org/zap"
)

const (
	// maxQueueWait bounds the time in the queue whatever the request's timeout.
	maxQueueWait = 10 * time.Second
	expireEvery  = 20 * time.Millisecond
	defaultCost  = 1
	pinnedPause  = 5 * time.Millisecond
	// shortPromptTokens is the number of uncached prompt tokens whose prefill takes
	// about as long as the fixed part of a first token.
	shortPromptTokens = 512
)

type (
	// queueKey names a queue: capacity is per service and version.
	queueKey struct {
		service string
		version string
	}

	// work is what the gate needs to know of a request.
	work struct {
		id          string
		account     *clstate.Account
		service     *clstate.Service
		fingerprint clroute.Fingerprint
		route       clroute.Request
		startBy     time.Time
		cost        float64
		// failed says that an attempt failed before any answer, so that the next
		// one goes to the version that is not being evaluated.
		failed bool
	}

	// place is an endpoint with a slot for one attempt.
	place struct {
		endpoint endpoint
		choice   clroute.Choice
		ticket   clslot.Ticket
		// lost says that the ticket could not be renewed, so that no slot is taken.
		lost bool
		// alone says that the endpoint is reserved for this request.
		alone bool
	}

	// waiter is a request in a queue; key and id say where, and change when it
	// is queued again.
	waiter struct {
		w      *work
		key    queueKey
		id     cladmission.ID
		result chan waitResult
	}

	waitResult struct {
		place   *place
		refusal *Refusal
		// suspect says that the request became a suspect while it waited.
		suspect bool
	}

	// gate owns the decision cores of an entry, guarded by mu.
	gate struct {
		// self is this process's member ID.
		self  string
		fleet *fleet
		views *views
		log   *zap.Logger
		// kick wakes the loop that demands slots.
		kick chan struct{}

		mu      sync.Mutex
		table   *clroute.Table
		holder  *clslot.Holder
		crashes *clroute.Crashes
		budget  *cladmission.Budget
		queues  map[queueKey]*cladmission.Queue[*waiter]
		// suspended has versions that a fact suspends before the configuration does.
		suspended map[queueKey]bool
		// usedAt is when a version was last asked for, and exploredAt when a slot
		// was last asked for at an endpoint that is not in use.
		usedAt     map[queueKey]time.Time
		exploredAt map[queueKey]time.Time
		explored   map[queueKey]int
		// pinned counts requests that wait for a slot at one endpoint.
		pinned   map[string]int
		rnd      *rand.Rand
		queueCfg cladmission.Config
	}
)

// acquire waits until the request may be sent, and to where.
func (g *gate) acquire(ctx context.Context, w *work) (*place, *Refusal) {
	g.mu.Lock()
	now := time.Now()
	if r := g.checkCrash(w, now); r != nil {
		g.mu.Unlock()
		return nil, r
	}
	key := g.assign(w)
	if g.unservable(w, now) {
		key = g.assignOld(w)
	}
	if w.route.Alone {
		g.mu.Unlock()
		return g.acquireAlone(ctx, w, key)
	}
	g.usedAt[key] = now
	q := g.queue(key)
	if q.Len() == 0 {
		if p, reason := g.pick(w, now); p != nil || !waits(reason) {
			g.mu.Unlock()
			return p, g.refusalOf(w, p, reason)
		}
	}
	wt := &waiter{w: w, result: make(chan waitResult, 1)}
	refused := g.offer(key, wt, now)
	g.mu.Unlock()
	if refused != nil {
		return nil, refuseOverload(refused)
	}
	g.wake()
	return g.await(ctx, wt)
}

// offer puts a request into a queue.
func (g *gate) offer(key queueKey, wt *waiter, now time.Time) *cladmission.Refusal {
	id, refused := g.queue(key).Offer(g.request(wt), now)
	wt.key, wt.id = key, id
	return refused
}

func (g *gate) await(ctx context.Context, wt *waiter) (*place, *Refusal) {
	select {
	case r := <-wt.result:
		if r.suspect {
			return g.acquireAlone(ctx, wt.w, wt.key)
		}
		return r.place, r.refusal
	case <-ctx.Done():
	}
	g.mu.Lock()
	cancelled := g.queue(wt.key).Cancel(wt.id)
	g.mu.Unlock()
	if !cancelled {
		// The result is being delivered; a place must not be lost.
		if r := <-wt.result; r.place != nil {
			g.release(r.place, clslot.Outcome{}, clroute.Result{})
		}
	}
	return nil, refuseUnavailable(RunNot, "the request ended while it waited for an endpoint", time.Second)
}

func (g *gate) request(wt *waiter) cladmission.Request[*waiter] {
	return cladmission.Request[*waiter]{
		Account: wt.w.account.GetName(), Weight: int(wt.w.account.GetWeight()), Cost: max(wt.w.cost, defaultCost),
		StartBy: wt.w.startBy, Value: wt,
	}
}

func (g *gate) checkCrash(w *work, now time.Time) *Refusal {
	switch g.crashes.Verdict(w.fingerprint, now) {
	case clroute.RefuseCrash:
		return &Refusal{
			Status: fiber.StatusUnprocessableEntity, Code: "crashing_request", Title: "Request refused",
			Detail: "this request has crashed two endpoints", Remedy: "change the request before you send it again",
			Run: RunNot,
		}
	case clroute.RunAlone:
		w.route.Alone = true
	default:
		w.route.Alone = false
	}
	return nil
}

func (g *gate) queue(key queueKey) *cladmission.Queue[*waiter] {
	q := g.queues[key]
	if q == nil {
		q = cladmission.NewQueue[*waiter](g.queueCfg)
		g.queues[key] = q
	}
	return q
}

func (g *gate) refusalOf(w *work, p *place, reason clroute.Reason) *Refusal {
	if p != nil {
		return nil
	}
	g.log.Info("Request refused.", zap.String("request", w.id), zap.String("service", w.service.GetName()),
		zap.String("version", w.route.Version), zap.Stringer("reason", reason))
	return refuseUnavailable(RunNot, "no endpoint can take the request: "+reason.String(), time.Second)
}

// pump admits waiting requests while there are slots for them.
func (g *gate) pump(key queueKey, now time.Time) {
	q := g.queues[key]
	for q != nil && q.Len() > 0 && g.hasSlot(key, now) {
		r, _, ok := q.Take(now)
		if !ok {
			return
		}
		if !g.admit(key, r, now) {
			return
		}
	}
}

// admit finds a place for a request that was taken from the queue; it reports
// whether the queue may go on.
func (g *gate) admit(key queueKey, r cladmission.Request[*waiter], now time.Time) bool {
	wt := r.Value
	if refusal := g.checkCrash(wt.w, now); refusal != nil {
		wt.result <- waitResult{refusal: refusal}
		return true
	}
	if wt.w.route.Alone {
		wt.result <- waitResult{suspect: true}
		return true
	}
	p, reason := g.pick(wt.w, now)
	if p == nil && waits(reason) {
		if refused := g.offer(key, wt, now); refused != nil {
			wt.result <- waitResult{refusal: refuseOverload(refused)}
		}
		return false
	}
	wt.result <- waitResult{place: p, refusal: g.refusalOf(wt.w, p, reason)}
	return true
}

// hasSlot reports whether a request without special needs would find a slot.
func (g *gate) hasSlot(key queueKey, now time.Time) bool {
	probe := clroute.Request{Service: key.service, Version: key.version}
	reason := g.table.Pick(&probe, g.rnd, now).Reason
	return reason != clroute.RefusedNoSlot
}

// loopExpire refuses queued requests that can no longer start in time.
func (g *gate) loopExpire(ctx context.Context) error {
	return clwait.Every(ctx, expireEvery, g.expire)
}

func (g *gate) expire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for key, q := range g.queues {
		for _, r := range q.Expire(now) {
			r.Request.Value.result <- waitResult{refusal: refuseOverload(r.Refusal)}
		}
		g.pump(key, now)
	}
	g.crashes.Expire(now)
}

// finishedAlone clears a suspect whose second run ended well.
func (g *gate) finishedAlone(f clroute.Fingerprint) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.crashes.Finished(f)
}

// wake makes the demand loop look at the queues at once.
func (g *gate) wake() {
	select {
	case g.kick <- struct{}{}:
	default:
	}
}

// retryAllowed takes one retry from the service's budget.
func (g *gate) retryAllowed(service string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Retry(service, time.Now())
}

func (g *gate) countRequest(service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.budget.Request(service, time.Now())
}

func refuseOverload(r *cladmission.Refusal) *Refusal {
	status := fiber.StatusServiceUnavailable
	if r.Kind == cladmission.KindQueueFull {
		status = fiber.StatusTooManyRequests
	}
	return &Refusal{
		Status: status, Code: "overloaded", Title: "Overloaded", Detail: r.Error(),
		Remedy: "send the request again after the given time", Run: RunNot,
		RetryAfter: max(r.RetryAfter, time.Second),
	}
}
