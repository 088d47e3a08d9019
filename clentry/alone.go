// This file defines how a request that may have crashed an endpoint gets one alone.

package clentry

import (
	"context"
	"slices"
	"time"

	"github.com/chestnutlead/chestnutlead/clroute"
	"github.com/chestnutlead/chestnutlead/clwait"
	"go.uber.org/zap"
)

// acquireAlone reserves an endpoint for a suspect request and waits until
// nothing else runs there, over all entries: requests beside it could be taken
// for the cause of the next crash, and would be harmed by it.
func (g *gate) acquireAlone(ctx context.Context, w *work, key queueKey) (*place, *Refusal) {
	e, ok := g.reserve(w, key)
	for !ok {
		if clwait.Pause(ctx, pinnedPause) != nil {
			return nil, refuseUnavailable(RunNot, "no endpoint could be kept free for a request that may have crashed one", time.Second)
		}
		e, ok = g.reserve(w, key)
	}
	for {
		if p, ok := g.takeAlone(w, e); ok {
			return p, nil
		}
		g.wake()
		if clwait.Pause(ctx, pinnedPause) != nil || !g.usable(e) {
			break
		}
	}
	g.mu.Lock()
	g.holder.Unreserve(e.id)
	g.mu.Unlock()
	if ctx.Err() == nil {
		return g.acquireAlone(ctx, w, key)
	}
	return nil, refuseUnavailable(RunNot, "no endpoint became free for a request that may have crashed one", time.Second)
}

// reserve chooses the least loaded endpoint that is not reserved here yet.
func (g *gate) reserve(w *work, key queueKey) (endpoint, bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	ids := g.candidates(key)
	for _, excludes := range []bool{true, false} {
		for _, id := range ids {
			if g.holder.Reserving(id) || excludes && slices.Contains(w.route.Excluded, id) {
				continue
			}
			if e, ok := g.fleet.get(id); ok {
				g.holder.Reserve(id, now)
				g.refreshSlots(id, now)
				g.log.Info("Endpoint reserved for a suspect request.", zap.String("request", w.id), zap.String("endpoint", id))
				return e, true
			}
		}
	}
	return endpoint{}, false
}

func (g *gate) takeAlone(w *work, e endpoint) (*place, bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	ticket, ok := g.holder.AcquireExclusive(e.id, now)
	if !ok {
		return nil, false
	}
	g.table.Sent(e.id, w.route.Prefix, now)
	g.log.Info("Endpoint picked.", zap.String("request", w.id), zap.String("endpoint", e.id),
		zap.String("reason", "alone"), zap.String("service", e.service), zap.String("version", e.version))
	return &place{
		endpoint: e, choice: clroute.Choice{Endpoint: e.id}, ticket: ticket, alone: true,
	}, true
}

// usable reports whether the endpoint is still there and not leaving.
func (g *gate) usable(e endpoint) bool {
	_, ok := g.fleet.get(e.id)
	_, leaving := g.fleet.isLeaving(e.id)
	return ok && !leaving
}
