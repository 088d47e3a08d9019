// This file defines the model of a batching engine.

package clpattern

import (
	"container/list"
	"math"
	"slices"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/routing/clfleet"
	"github.com/samber/lo"
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
		// memory is the number of tokens that running requests and cached parts share;
		// 0 means that running requests need none.
		memory float64
	}

	// job is one request at an engine.
	job struct {
		request *request
		// unread is what is left of the prompt, and tokens what is left to make.
		unread, tokens float64
		// work is what is left of a job at a plain endpoint, and paused how long the
		// reading of other prompts has held up its stream.
		work, paused time.Duration
		// made is the number of tokens generated, preempted how often the request had
		// to give way, and begun is set from its first token on.
		made      float64
		preempted int
		begun     bool
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
	for len(e.waiting) > 0 && len(e.running) < e.slots && e.fits(e.waiting[0]) {
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
		if j.unread -= n; j.unread <= 0 && !j.begun {
			j.begun = true
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
			made := dt.Seconds() / stepTime / e.pace
			j.tokens -= made
			j.made += made
			j.paused += pause
		}
		if j.unread <= 0 && j.tokens <= 0 {
			j.ended(now)
			continue
		}
		kept = append(kept, j)
	}
	e.running = kept
	if e.memory > 0 {
		e.preempt()
	}
}

// fits reports whether there is memory for the job beside those that run.
func (e *engine) fits(j *job) bool {
	if e.memory == 0 || len(e.running) == 0 {
		return true
	}
	used := j.request.promptTokens() + j.made
	for _, o := range e.running {
		used += o.request.promptTokens() + o.made
	}
	return used <= e.memory
}

// preempt stops the newest of the least urgent requests until the others fit into the
// memory. Their prompts, and what they have generated, are read again later.
func (e *engine) preempt() {
	used, made := 0.0, 0.0
	for _, j := range e.running {
		used += j.request.promptTokens() + j.made
		made += j.made
	}
	for used > e.memory && len(e.running) > 1 {
		last := 0
		for i, j := range e.running {
			if j.request.kind.Priority >= e.running[last].request.kind.Priority {
				last = i
			}
		}
		j := e.running[last]
		used -= j.request.promptTokens() + j.made
		made -= j.made
		j.unread = j.request.promptTokens() + j.made
		j.preempted++
		e.running = slices.Delete(e.running, last, last+1)
		e.waiting = slices.Insert(e.waiting, 0, j)
	}
	e.cache.capacity = int(max(0, e.memory-made))
}

// promptTokens returns the size of the prompt.
func (r *request) promptTokens() float64 {
	return float64(lo.SumBy(r.parts, func(p clfleet.PromptPart) int { return p.Tokens }))
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
