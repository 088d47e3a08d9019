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
		// pace is how many times as long as usual work takes now.
		pace float64
		// plain is set for endpoints without a model: each running job takes its work.
		plain bool
		// quadratic is set if prompts cost time for each pair of tokens as well.
		quadratic bool
	}

	// job is one request at an engine.
	job struct {
		request *request
		// unread is what is left of the prompt, and tokens what is left to make.
		unread, tokens float64
		// work is what is left of a job at a plain endpoint, and paused how long the
		// reading of other prompts has held up its stream.
		work, paused time.Duration
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
	// secondsPerPair is the time for each pair of tokens that attend to each other.
	secondsPerPair = 0.165e-9
)

func newEngine(id string, slots int) *engine {
	return &engine{id: id, slots: slots, pace: 1, cache: prefixCache{capacity: cacheTokens, order: list.New(), entries: map[uint64]*list.Element{}}}
}

// admit adds a request and returns the prompt tokens that must be read, and how
// many of these belong to shared parts.
func (e *engine) admit(j *job) (unread, shared float64) {
	if e.plain {
		j.work = j.request.work
		e.waiting = append(e.waiting, j)
		return 0, 0
	}
	hit := true
	cached, total := 0.0, 0.0
	parts := j.request.parts
	for i, p := range parts {
		hit = hit && e.cache.has(p.ID)
		if total += float64(p.Tokens); hit {
			cached = total
		}
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
	if e.quadratic {
		j.unread += readPerSecond * secondsPerPair * (total*total - cached*cached) / 2
	}
	e.waiting = append(e.waiting, j)
	return unread, shared
}

// load returns what the engine states of itself in a response.
func (e *engine) load() clfleet.StatedLoad {
	return clfleet.StatedLoad{Running: len(e.running), Waiting: len(e.waiting), Slots: e.slots, Pace: e.pace}
}

// step advances the engine by dt.
func (e *engine) step(now time.Time, dt time.Duration) {
	for len(e.waiting) > 0 && len(e.running) < e.slots {
		e.running = append(e.running, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if e.plain {
		e.stepPlain(now, dt)
		return
	}
	budget := readPerSecond * dt.Seconds() / e.pace
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
	decodeTime := stepBase + stepPerRunning*float64(len(e.running))
	stepTime := decodeTime
	if reading {
		stepTime += chunkTokens / readPerSecond
	}
	pause := time.Duration(float64(dt) * (1 - decodeTime/stepTime))
	kept := e.running[:0]
	for _, j := range e.running {
		if j.unread <= 0 {
			j.tokens -= dt.Seconds() / stepTime / e.pace
			j.paused += pause
		}
		if j.unread <= 0 && j.tokens <= 0 {
			j.ended(now)
			continue
		}
		kept = append(kept, j)
	}
	e.running = kept
}

// stepPlain advances a plain endpoint by dt.
func (e *engine) stepPlain(now time.Time, dt time.Duration) {
	kept := e.running[:0]
	for _, j := range e.running {
		if j.work -= time.Duration(float64(dt) / e.pace); j.work > 0 {
			kept = append(kept, j)
			continue
		}
		j.started(now)
		j.ended(now)
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
