// This file defines how the entry follows the prefix caches of endpoints.

package clentry

import (
	"context"
	"time"

	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/clwait"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

const (
	cacheTimeout   = time.Second
	cachePollLimit = 16
)

// caches reads the cache events of the endpoints that the entry uses. Others
// are not followed: their part of the index comes from the entry's own requests.
type caches struct {
	gate     *gate
	fleet    *fleet
	observer clendpoint.Observer
	interval time.Duration
	log      *zap.Logger

	// after is the last sequence number read from each endpoint.
	after map[string]uint64
}

// loop polls until ctx ends.
func (c *caches) loop(ctx context.Context) error {
	c.after = make(map[string]uint64)
	return clwait.Every(ctx, c.interval, func(time.Time) { c.round(ctx) })
}

func (c *caches) round(ctx context.Context) {
	used := c.gate.engines()
	events := make([][]clendpoint.CacheEvent, len(used))
	var g errgroup.Group
	g.SetLimit(cachePollLimit)
	for i, e := range used {
		after := c.after[e.id]
		g.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, cacheTimeout)
			defer cancel()
			var err error
			if events[i], err = c.observer.CacheEvents(ctx, e.addr, after); err != nil {
				c.log.Debug("Cache events cannot be read.", zap.String("endpoint", e.id), zap.Error(err))
			}
			return nil
		})
	}
	_ = g.Wait() // Failures leave the events empty.
	for i, e := range used {
		c.apply(e.id, events[i])
	}
}

// apply passes events on. The first read, and one after a gap, returns the
// whole content of the cache.
func (c *caches) apply(id string, events []clendpoint.CacheEvent) {
	if len(events) == 0 {
		return
	}
	after := c.after[id]
	last := events[len(events)-1].Sequence
	if after == 0 || last < after {
		blocks := make([]uint64, 0, len(events))
		for _, ev := range events {
			blocks = append(blocks, ev.Block)
			last = max(last, ev.Sequence)
		}
		c.gate.cacheContent(id, last, blocks)
		c.after[id] = last
		return
	}
	gap := false
	for _, ev := range events {
		gap = gap || ev.Sequence != after+1
		after = ev.Sequence
	}
	c.gate.cacheEvents(id, events)
	c.after[id] = after
	if gap {
		delete(c.after, id) // The next read returns the whole content.
	}
}

// engines returns the endpoints at which this entry holds slots and whose
// service has a prefix cache.
func (g *gate) engines() []endpoint {
	v := g.views.load()
	now := time.Now()
	all := g.fleet.all()
	g.mu.Lock()
	defer g.mu.Unlock()
	var used []endpoint
	for _, e := range all {
		isEngine := v != nil && isEngine(v.services[e.service])
		if isEngine && (g.holder.Available(e.id, now) > 0 || g.holder.InUse(e.id) > 0) {
			used = append(used, e)
		}
	}
	return used
}

func (g *gate) cacheContent(id string, sequence uint64, blocks []uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.CacheContent(id, sequence, blocks)
}

func (g *gate) cacheEvents(id string, events []clendpoint.CacheEvent) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, ev := range events {
		g.table.CacheEvent(id, ev.Sequence, ev.Block, ev.Added)
	}
}
