// This file defines the gate, which decides when and where requests run.

package clentry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/cladmission"
	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/clroute"
	"github.com/chestnutlead/chestnutlead/clslot"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clwait"
	"github.com/gofiber/fiber/v2"
	"github.com/samber/lo"
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

// assign chooses the version and returns the queue's key.
func (g *gate) assign(w *work) queueKey {
	split := g.views.load().split(w.service)
	if g.suspended[queueKey{w.service.GetName(), split.New}] {
		split.NewSuspended = true
	}
	if w.failed && split.New != "" && g.servable(w, split.Old, time.Now()) {
		split.NewSuspended = true
	}
	w.route.Version = clroute.AssignVersion(split, w.id)
	return queueKey{w.service.GetName(), w.route.Version}
}

// failedAt excludes the endpoint of a failed attempt from the next ones.
func (w *work) failedAt(endpointID string) {
	w.route.Excluded = append(w.route.Excluded, endpointID)
	w.failed = true
}

// unservable reports whether the request was assigned to a new version that no
// endpoint can serve at present.
func (g *gate) unservable(w *work, now time.Time) bool {
	split := g.views.load().split(w.service)
	if w.route.Version != split.New {
		return false
	}
	return !g.servable(w, w.route.Version, now)
}

// servable reports whether some endpoint of the version could serve the request
// now or after a wait.
func (g *gate) servable(w *work, version string, now time.Time) bool {
	route := w.route
	route.Version = version
	reason := g.table.Pick(&route, g.rnd, now).Reason
	return !reason.Refused() || waits(reason)
}

func (g *gate) assignOld(w *work) queueKey {
	w.route.Version = g.views.load().split(w.service).Old
	return queueKey{w.service.GetName(), w.route.Version}
}

// waits reports whether a request that was refused for the reason may find a
// place later without any change of the fleet.
func waits(reason clroute.Reason) bool {
	return reason == clroute.RefusedNoSlot || reason == clroute.RefusedBusy
}

func (g *gate) queue(key queueKey) *cladmission.Queue[*waiter] {
	q := g.queues[key]
	if q == nil {
		q = cladmission.NewQueue[*waiter](g.queueCfg)
		g.queues[key] = q
	}
	return q
}

// pick chooses an endpoint and takes a slot there.
func (g *gate) pick(w *work, now time.Time) (*place, clroute.Reason) {
	choice := g.table.Pick(&w.route, g.rnd, now)
	if choice.Reason.Refused() {
		return nil, choice.Reason
	}
	ticket, ok := g.holder.Acquire(choice.Endpoint, now)
	g.table.SetSlots(choice.Endpoint, g.holder.Available(choice.Endpoint, now))
	if !ok {
		return nil, clroute.RefusedNoSlot
	}
	e, ok := g.fleet.get(choice.Endpoint)
	if !ok {
		g.holder.Release(ticket, clslot.Outcome{}, now)
		return nil, clroute.RefusedNoSlot
	}
	g.table.Sent(e.id, w.route.Prefix, now)
	g.log.Info("Endpoint picked.", zap.String("request", w.id), zap.String("endpoint", e.id),
		zap.Stringer("reason", choice.Reason), zap.String("service", e.service), zap.String("version", e.version),
		zap.String("data_centre", e.dataCentre), zap.Duration("expected_first_token", choice.Expected),
		zap.Int("cached_tokens", choice.CachedTokens))
	return &place{endpoint: e, choice: choice, ticket: ticket}, choice.Reason
}

func (g *gate) refusalOf(w *work, p *place, reason clroute.Reason) *Refusal {
	if p != nil {
		return nil
	}
	g.log.Info("Request refused.", zap.String("request", w.id), zap.String("service", w.service.GetName()),
		zap.String("version", w.route.Version), zap.Stringer("reason", reason))
	return refuseUnavailable(RunNot, "no endpoint can take the request: "+reason.String(), time.Second)
}

// release ends an attempt and gives its slot to the next request.
func (g *gate) release(p *place, o clslot.Outcome, r clroute.Result) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holder.Release(p.ticket, o, now)
	if p.alone {
		g.holder.Unreserve(p.endpoint.id)
	}
	r.Expected = p.choice.Expected
	g.table.Ended(p.endpoint.id, r, now)
	g.refreshSlots(p.endpoint.id, now)
	g.pump(queueKey{p.endpoint.service, p.endpoint.version}, now)
}

// firstToken notes the time to the first token of a request that runs, as that
// of a short prompt: a long prompt's would look like a cold endpoint's.
func (g *gate) firstToken(w *work, p *place, d time.Duration) {
	tokens := max(0, w.route.Tokens-p.choice.CachedTokens)
	d = time.Duration(float64(d) * shortPromptTokens / float64(shortPromptTokens+tokens))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holder.FirstToken(p.endpoint.id, d)
}

func (g *gate) refreshSlots(id string, now time.Time) {
	g.table.SetSlots(id, g.holder.Available(id, now))
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

// acquireAt waits for a slot at one endpoint, for work that only it can go on with.
func (g *gate) acquireAt(ctx context.Context, w *work, e endpoint) (*place, bool) {
	g.mu.Lock()
	g.pinned[e.id]++
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.pinned[e.id]--; g.pinned[e.id] <= 0 {
			delete(g.pinned, e.id)
		}
	}()
	for {
		if p, ok := g.takeAt(w, e); ok {
			return p, true
		}
		g.wake()
		if clwait.Pause(ctx, pinnedPause) != nil {
			return nil, false
		}
	}
}

func (g *gate) takeAt(w *work, e endpoint) (*place, bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	ticket, ok := g.holder.Acquire(e.id, now)
	g.refreshSlots(e.id, now)
	if !ok {
		return nil, false
	}
	g.log.Info("Endpoint picked.", zap.String("request", w.id), zap.String("endpoint", e.id),
		zap.String("reason", "holds the stream"), zap.String("service", e.service), zap.String("version", e.version))
	return &place{endpoint: e, ticket: ticket}, true
}

// tryAcquire takes a place elsewhere if one is free now.
func (g *gate) tryAcquire(w *work) (*place, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.assign(w)
	if w.route.Alone {
		return nil, false
	}
	p, _ := g.pick(w, time.Now())
	return p, p != nil
}

// giveBack frees a place at which nothing was sent.
func (g *gate) giveBack(p *place) {
	if !p.lost {
		g.release(p, clslot.Outcome{}, clroute.Result{})
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if p.alone {
		g.holder.Unreserve(p.endpoint.id)
	}
}

// renew replaces a ticket that has waited too long for its request to be sent.
func (g *gate) renew(p *place) bool {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Before(p.ticket.SendBefore) {
		return true
	}
	g.holder.Release(p.ticket, clslot.Outcome{}, now)
	var ticket clslot.Ticket
	var ok bool
	if p.alone {
		ticket, ok = g.holder.AcquireAlone(p.endpoint.id, now)
	} else {
		ticket, ok = g.holder.Acquire(p.endpoint.id, now)
	}
	p.ticket, p.lost = ticket, !ok
	g.refreshSlots(p.endpoint.id, now)
	return ok
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

// setEndpoints takes endpoints from the fleet.
func (g *gate) setEndpoints(set []endpoint, removed []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setAdmitted(set)
	for _, id := range removed {
		g.table.Remove(id)
		g.holder.Revoke(id)
	}
}

// setAdmitted puts the endpoints that the configuration admits into the table.
func (g *gate) setAdmitted(set []endpoint) {
	v := g.views.load()
	for _, e := range set {
		if v != nil && v.admits(e) {
			g.table.Set(clroute.Endpoint{ID: e.id, Service: e.service, Version: e.version, DataCentre: e.dataCentre})
			_, leaving := g.fleet.isLeaving(e.id)
			g.table.SetLeaving(e.id, leaving)
		} else {
			g.table.Remove(e.id)
		}
	}
}

func (g *gate) setLeaving(id string, at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.SetLeaving(id, true)
	g.holder.Revoke(id)
	g.refreshSlots(id, time.Now())
	until := time.Now().Add(leavingFactLifetime)
	g.crashes.Announced(id, lo.Ternary(at.After(until), at, until))
}

// applyView takes a configuration revision. Requests that wait for a version
// that gets no more traffic are assigned again.
func (g *gate) applyView(v *view) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for dc, out := range v.out {
		g.table.SetDataCentre(dc, out)
	}
	g.setAdmitted(g.fleet.all())
	g.reassign()
}

// suspend stops new work for a version at once.
func (g *gate) suspend(key queueKey) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.suspended[key] {
		return
	}
	g.suspended[key] = true
	g.log.Info("Version is suspended. It gets no new work.", zap.String("service", key.service), zap.String("version", key.version))
	g.reassign()
}

func (g *gate) reassign() {
	now := time.Now()
	for key, q := range g.queues {
		svc := g.views.load().services[key.service]
		if svc == nil || q.Len() == 0 || g.current(svc, key.version) {
			continue
		}
		for {
			r, _, ok := q.Take(now)
			if !ok {
				break
			}
			r.Value.w.service = svc
			if refused := g.offer(g.assign(r.Value.w), r.Value, now); refused != nil {
				r.Value.result <- waitResult{refusal: refuseOverload(refused)}
			}
		}
	}
}

// current reports whether the version gets traffic.
func (g *gate) current(svc *clstate.Service, version string) bool {
	s := g.views.load().split(svc)
	return version == s.Old || version == s.New && !s.NewSuspended && !g.suspended[queueKey{svc.GetName(), version}]
}

// report takes an endpoint's load.
func (g *gate) report(id string, l clendpoint.Load) {
	now := time.Now()
	g.fleet.setLoad(id, l)
	if l.Leaving {
		g.fleet.markLeaving(id, time.Time{})
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.Report(id, clroute.Load{BootID: l.BootID, ProducedAt: l.ProducedAt, Running: l.Running, Waiting: l.Waiting})
	if l.Cold {
		g.holder.Revoke(id)
		g.refreshSlots(id, now)
	}
}

// restarted takes the report of an endpoint's new start and drops the slots
// that were granted for the former one.
func (g *gate) restarted(id string, e *clendpoint.RestartedError) {
	g.report(id, e.Load)
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holder.Restarted(id, e.Want)
	g.refreshSlots(id, now)
	g.log.Info("Endpoint has restarted. Its slots wait for new grants.", zap.String("endpoint", id),
		zap.String("former_boot_id", e.Want), zap.String("boot_id", e.Load.BootID))
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
