// This file defines the stand-in engine's prefix cache and its events.

package clstandin

import (
	"container/list"
	"time"

	"github.com/chestnutlead/chestnutlead/clendpoint"
)

type (
	// prefixCache is an LRU of prompt blocks; its methods need the engine's mu.
	prefixCache struct {
		capacity int
		blocks   map[uint64]*list.Element
		order    *list.List // of uint64, least recently used first
		sequence uint64
		events   []cacheEvent
		lose     func() bool
	}

	cacheEvent struct {
		at    time.Time
		event clendpoint.CacheEvent
	}
)

const (
	// maxEvents limits the events kept; older ones are a gap to readers.
	maxEvents = 1 << 16
	// maxEventsPerAnswer limits one answer.
	maxEventsPerAnswer = 4096
)

func newPrefixCache(capacity int, lose func() bool) *prefixCache {
	return &prefixCache{capacity: capacity, blocks: make(map[uint64]*list.Element), order: list.New(), lose: lose}
}

// touch returns how many of the first blocks are cached, and marks them as used.
func (c *prefixCache) touch(blocks []uint64) int {
	for i, b := range blocks {
		e, ok := c.blocks[b]
		if !ok {
			return i
		}
		c.order.MoveToBack(e)
	}
	return len(blocks)
}

// add caches the blocks and evicts the least recently used ones.
func (c *prefixCache) add(blocks []uint64) {
	for _, b := range blocks {
		if e, ok := c.blocks[b]; ok {
			c.order.MoveToBack(e)
			continue
		}
		c.blocks[b] = c.order.PushBack(b)
		c.publish(b, true)
	}
	for c.order.Len() > c.capacity {
		b := c.order.Remove(c.order.Front()).(uint64)
		delete(c.blocks, b)
		c.publish(b, false)
	}
}

// publish records an event; a lost one leaves a gap in the sequence.
func (c *prefixCache) publish(block uint64, added bool) {
	c.sequence++
	if c.lose() {
		return
	}
	if len(c.events) >= maxEvents {
		c.events = append([]cacheEvent(nil), c.events[maxEvents/2:]...)
	}
	c.events = append(c.events, cacheEvent{
		at: time.Now(), event: clendpoint.CacheEvent{Sequence: c.sequence, Block: block, Added: added},
	})
}

// read returns the events above after that are older than lag. After 0, or a
// sequence not reached yet, it returns the whole content as added blocks.
func (c *prefixCache) read(after uint64, lag time.Duration) []clendpoint.CacheEvent {
	out := []clendpoint.CacheEvent{}
	if after == 0 || after > c.sequence {
		for e := c.order.Front(); e != nil; e = e.Next() {
			out = append(out, clendpoint.CacheEvent{Sequence: c.sequence, Block: e.Value.(uint64), Added: true})
		}
		return out
	}
	for _, ev := range c.events {
		if time.Since(ev.at) < lag || len(out) == maxEventsPerAnswer {
			break
		}
		if ev.event.Sequence > after {
			out = append(out, ev.event)
		}
	}
	return out
}
