// This file defines the model of a batching engine.

package clpattern

import (
	"container/list"
	"math"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/routing/clfleet"
)

type (
	// engine batches requests: prompts are read in the order of arrival, in
	// chunks between the tokens of the others, and all that have been read get a
	// token in each step.
	engine struct {
		id      string
		slots   int
		waiting []*job
		running []*job
		cache   prefixCache
	}

	// job is one request at an engine.
	job struct {
		request *request
		// unread is what is left of the prompt, and tokens what is left to make.
		unread, tokens float64
		// ended is called with the outcome when the last token is made.
		ended func(now time.Time)
		// started is called at the first token.
		started func(now time.Time)
	}

	// prefixCache holds the prompt parts that were used last.
	prefixCache struct {
		capacity, used int
		order          *list.List
		entries        map[uint64]*list.Element
	}
)

// The engine's rates, as measured on a large model with four accelerators.
const (
	readPerSecond  = 68_200.0
	stepBase       = 3.82e-3
	stepPerRunning = 0.0227e-3
	firstTokenWait = 36 * time.Millisecond
	// chunkTokens are read between two tokens of the others.
	chunkTokens = 1024
	cacheTokens = 520_748
)

func newEngine(id string, slots int) *engine {
	return &engine{id: id, slots: slots, cache: prefixCache{capacity: cacheTokens, order: list.New(), entries: map[uint64]*list.Element{}}}
}

// admit adds a request and returns the prompt tokens that must be read, and how
// many of these belong to shared parts.
func (e *engine) admit(j *job) (unread, shared float64) {
	hit := true
	parts := j.request.parts
	for i, p := range parts {
		hit = hit && e.cache.has(p.ID)
		if !hit {
			unread += float64(p.Tokens)
			if i < len(parts)-1 {
				shared += float64(p.Tokens)
			}
		}
	}
	for _, p := range parts {
		e.cache.use(p)
	}
	j.unread = unread + readPerSecond*firstTokenWait.Seconds()
	e.waiting = append(e.waiting, j)
	return unread, shared
}

// step advances the engine by dt.
func (e *engine) step(now time.Time, dt time.Duration) {
	for len(e.waiting) > 0 && len(e.running) < e.slots {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	budget := readPerSecond * dt.Seconds()
	reading := false
	for _, j := range e.running {
		if j.unread <= 0 || budget <= 0 {
			continue
		}
		reading = true
		n := math.Min(budget, j.unread)
		budget -= n
		if j.unread -= n; j.unread <= 0 {
			j.started(now)
		}
	}
	stepTime := stepBase + stepPerRunning*float64(len(e.running))
	if reading {
		stepTime += chunkTokens / readPerSecond
	}
	kept := e.running[:0]
	for _, j := range e.running {
		if j.unread <= 0 {
			j.tokens -= dt.Seconds() / stepTime
		}
		if j.unread <= 0 && j.tokens <= 0 {
			j.ended(now)
			continue
		}
		kept = append(kept, j)
	}
	e.running = kept
}

func (c *prefixCache) has(id uint64) bool { return c.entries[id] != nil }

func (c *prefixCache) use(p clfleet.PromptPart) {
	if el := c.entries[p.ID]; el != nil {
		c.order.MoveToFront(el)
		return
	}
	c.entries[p.ID] = c.order.PushFront(p)
	for c.used += p.Tokens; c.used > c.capacity; {
		last, ok := c.order.Remove(c.order.Back()).(clfleet.PromptPart)
		if !ok {
			return
		}
		delete(c.entries, last.ID)
		c.used -= last.Tokens
	}
}
