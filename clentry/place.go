// This file defines how a request gets a place at an endpoint and gives it back.

package clentry

import (
	"context"
	"time"

	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/clroute"
	"github.com/chestnutlead/chestnutlead/clslot"
	"github.com/chestnutlead/chestnutlead/clwait"
	"go.uber.org/zap"
)

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
		ticket, ok = g.holder.AcquireExclusive(p.endpoint.id, now)
	} else {
		ticket, ok = g.holder.Acquire(p.endpoint.id, now)
	}
	p.ticket, p.lost = ticket, !ok
	g.refreshSlots(p.endpoint.id, now)
	return ok
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

func (g *gate) refreshSlots(id string, now time.Time) {
	g.table.SetSlots(id, g.holder.Available(id, now))
}

// firstToken notes the time to the first token of a request that runs, as that
// of a short prompt: a long prompt's would look like a cold endpoint's.
func (g *gate) firstToken(w *work, p *place, d time.Duration) {
	tokens := max(0, w.route.Tokens-p.choice.CachedTokens)
	d = time.Duration(float64(d) * shortPromptTokens / float64(shortPromptTokens+tokens))
	g.mu.Lock()
	defer g.mu.Unlock()
	g.holder.RecordFirstTokenTime(p.endpoint.id, d)
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
		g.holder.DropIdleSlots(id)
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
	g.holder.BootEnded(id, e.Want)
	g.refreshSlots(id, now)
	g.log.Info("Endpoint has restarted. Its slots wait for new grants.", zap.String("endpoint", id),
		zap.String("former_boot_id", e.Want), zap.String("boot_id", e.Load.BootID))
}
