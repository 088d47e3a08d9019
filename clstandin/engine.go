// This file defines the stand-in of a model engine and its batch.

package clstandin

import (
	"context"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/google/uuid"

	"github.com/chestnutlead/chestnutlead/clendpoint"
)

type (
	// Engine is a stand-in of a model engine. Its exported fields are set
	// before Start; zero values stand for the defaults of NewEngine.
	Engine struct {
		Server
		Service, Version string
		// TokensPerSecond is the rate of each stream while it runs alone.
		TokensPerSecond float64
		// PrefillPerSecond is the number of prompt tokens computed in a second.
		PrefillPerSecond float64
		// Slowdown is the share by which each further running request slows all.
		Slowdown float64
		// MaxRunning is the size of the batch; further requests wait.
		MaxRunning int
		// ColdSlots is the number of requests that a cold engine bears at once;
		// one more crashes it.
		ColdSlots int
		// ColdTime is how long the engine is cold after a boot.
		ColdTime time.Duration
		// ColdGrace is how long an engine that turned cold without warning bears
		// more than ColdSlots.
		ColdGrace time.Duration
		// ColdFactor slows a cold engine down.
		ColdFactor float64
		// CacheBlocks limits the prefix cache.
		CacheBlocks int
		// LoadLag and LoadEvery say how old load reports are and how often they are made.
		LoadLag, LoadEvery time.Duration
		// CacheEventLag and CacheEventLoss delay and drop cache events.
		CacheEventLag  time.Duration
		CacheEventLoss float64
		// KVBytesPerToken is the size of an exported cache.
		KVBytesPerToken int
		// KVBytesPerSecond limits export and import; 0 means no limit.
		KVBytesPerSecond float64
		// ChecksFencing refuses orders with an old fencing number.
		ChecksFencing bool
		// ResumeWindow is how long a stream without connection can be resumed.
		ResumeWindow time.Duration
		// LoadTime is how long an order to load a version takes effect later.
		LoadTime time.Duration

		mu      sync.Mutex
		boot    *boot
		past    []BootStats
		crashes int
		fencing uint64
		orders  []clendpoint.Order
		role    string
		usage   Usage
	}

	// boot is the state that a crash loses; it is guarded by the engine's mu.
	boot struct {
		id         string
		down       chan struct{} // closed by a crash
		crashing   bool          // from too much load until the crash
		coldUntil  time.Time
		graceUntil time.Time
		inFlight   int
		running    int
		waiting    []*waiter
		streams    map[string]*stream
		nextStream uint64
		cache      *prefixCache
		reports    []clendpoint.Load
		stats      BootStats
	}

	// waiter is a request that waits for a place in the batch.
	waiter struct {
		priority int
		admitted chan struct{}
	}

	// place is a request's place in the batch of one boot.
	place struct {
		e    *Engine
		b    *boot
		left bool // guarded by the engine's mu
	}

	// BootStats says how much an engine ran at once during one boot.
	BootStats struct {
		BootID string `json:"boot_id"`
		// Peak is the highest number of requests at once, running or waiting.
		Peak int `json:"peak"`
		// ColdPeak is the same while cold, outside ColdGrace.
		ColdPeak int    `json:"cold_peak"`
		Requests uint64 `json:"requests"`
		// Crash is the cause of the end of the boot: overload, marker or admin.
		Crash string `json:"crash,omitempty"`
	}

	// EngineStats is the answer of the engine's /stats.
	EngineStats struct {
		Boot    BootStats          `json:"boot"`
		Past    []BootStats        `json:"past"`
		Crashes int                `json:"crashes"`
		Orders  []clendpoint.Order `json:"orders"`
		Role    string             `json:"role"`
		// Usage sums the work of all boots, also for requests that were abandoned;
		// completion_tokens counts only the tokens generated here.
		Usage    Usage    `json:"usage"`
		Arrivals Arrivals `json:"arrivals"`
		// Held counts requests that RouteFault.Hold kept back and that have not ended.
		Held int `json:"held"`
	}
)

// errDown says that the engine crashed while the request ran.
var errDown = errors.New("engine crashed")

// NewEngine returns an engine with the defaults of cmd/chestnutstand.
func NewEngine() *Engine {
	return &Engine{
		Service: "engine", Version: "v1", TokensPerSecond: 60, PrefillPerSecond: 8000, Slowdown: 0.02, MaxRunning: 64,
		ColdSlots: 2, ColdFactor: 3, CacheBlocks: 4096, LoadLag: 200 * time.Millisecond, LoadEvery: 50 * time.Millisecond,
		CacheEventLag: 200 * time.Millisecond, KVBytesPerToken: 1024, ResumeWindow: 5 * time.Second,
	}
}

// Start listens and serves until Close.
func (e *Engine) Start() error {
	e.Server.init()
	e.Server.running = func() int {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.boot.inFlight
	}
	e.Server.onCrash = e.reboot
	e.mu.Lock()
	e.boot = e.newBoot()
	e.mu.Unlock()
	e.routeCompletions()
	e.routeControl()
	if err := e.start(); err != nil {
		return err
	}
	go e.loop()
	return nil
}

// newBoot returns the state after a start; the caller holds mu.
func (e *Engine) newBoot() *boot {
	b := &boot{
		id: uuid.NewString(), down: make(chan struct{}), streams: make(map[string]*stream),
		coldUntil: time.Now().Add(e.ColdTime),
		cache:     newPrefixCache(e.CacheBlocks, func() bool { return e.faults.draw(e.CacheEventLoss) }),
	}
	b.stats.BootID = b.id
	e.report(b)
	return b
}

// reboot replaces the state after a crash.
func (e *Engine) reboot(cause string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot.stats.Crash = cause
	e.past = append(e.past, e.boot.stats)
	e.crashes++
	close(e.boot.down)
	e.boot = e.newBoot()
}

// TurnCold makes the engine cold without a restart, for the given time or, if it
// is 0, for ColdTime.
func (e *Engine) TurnCold(coldFor time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if coldFor == 0 {
		coldFor = e.ColdTime
	}
	now := time.Now()
	e.boot.coldUntil, e.boot.graceUntil = now.Add(coldFor), now.Add(e.ColdGrace)
}

// Stats returns the peaks of this boot and of former ones, and the orders received.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	usage := e.usage
	usage.TotalTokens = usage.PromptTokens + usage.CompletionTokens
	return EngineStats{
		Boot: e.boot.stats, Past: append([]BootStats{}, e.past...), Crashes: e.crashes,
		Orders: append([]clendpoint.Order{}, e.orders...), Role: e.role, Usage: usage,
		Arrivals: e.Arrivals(), Held: int(e.held.Load()),
	}
}

// loop makes load reports and forgets streams that were not resumed.
func (e *Engine) loop() {
	t := time.NewTicker(max(e.LoadEvery, time.Millisecond))
	defer t.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-t.C:
		}
		e.mu.Lock()
		e.report(e.boot)
		for id, st := range e.boot.streams {
			if !st.attached && time.Since(st.detachedAt) > e.ResumeWindow {
				delete(e.boot.streams, id)
			}
		}
		e.mu.Unlock()
	}
}

// report appends a load report and drops those that a reader no longer gets; the caller holds mu.
func (e *Engine) report(b *boot) {
	f := e.faults.get()
	now := time.Now()
	b.reports = append(b.reports, clendpoint.Load{
		BootID: b.id, ProducedAt: now, Running: b.running, Waiting: len(b.waiting),
		KVUsedRatio: float64(b.cache.order.Len()) / float64(max(e.CacheBlocks, 1)),
		Cold:        b.cold(now) && !f.HideCold, Leaving: f.Leaving, Service: e.Service, Version: e.Version,
	})
	for len(b.reports) > 1 && now.Sub(b.reports[1].ProducedAt) >= e.LoadLag {
		b.reports = b.reports[1:]
	}
}

func (b *boot) cold(now time.Time) bool { return now.Before(b.coldUntil) }

// enter counts a request and gives it a place in the batch, or returns an
// error if ctx ended or the engine crashed.
func (e *Engine) enter(ctx context.Context, priority int) (*place, error) {
	e.mu.Lock()
	b := e.boot
	if b.crashing || aborted(ctx) { // a request from before the crash
		e.mu.Unlock()
		return nil, errDown
	}
	now := time.Now()
	b.inFlight++
	b.stats.Requests++
	b.stats.Peak = max(b.stats.Peak, b.inFlight)
	if b.cold(now) && !now.Before(b.graceUntil) {
		b.stats.ColdPeak = max(b.stats.ColdPeak, b.inFlight)
		if b.inFlight > e.ColdSlots {
			b.crashing = true
			e.mu.Unlock()
			e.Crash("overload")
			return nil, errDown
		}
	}
	if b.running < e.MaxRunning {
		b.running++
		e.mu.Unlock()
		return &place{e: e, b: b}, nil
	}
	w := &waiter{priority: priority, admitted: make(chan struct{})}
	at := sort.Search(len(b.waiting), func(i int) bool { return b.waiting[i].priority > priority })
	b.waiting = append(b.waiting, nil)
	copy(b.waiting[at+1:], b.waiting[at:])
	b.waiting[at] = w
	e.mu.Unlock()
	select {
	case <-w.admitted:
		return &place{e: e, b: b}, nil
	case <-b.down:
		return nil, errDown
	case <-ctx.Done():
		e.giveUp(b, w)
		return nil, ctx.Err()
	}
}

// giveUp ends a waiting request, which may have been admitted meanwhile.
func (e *Engine) giveUp(b *boot, w *waiter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, x := range b.waiting {
		if x == w {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			b.inFlight--
			return
		}
	}
	b.leave()
}

// leave gives the place to the next request; further calls do nothing. It
// comes before the end of the answer is sent, because a caller may send its
// next request as soon as it has the end.
func (p *place) leave() {
	p.e.mu.Lock()
	defer p.e.mu.Unlock()
	if !p.left {
		p.left = true
		p.b.leave()
	}
}

// leave ends a running request and admits the next one; the caller holds mu.
func (b *boot) leave() {
	b.inFlight--
	if len(b.waiting) == 0 {
		b.running--
		return
	}
	next := b.waiting[0]
	b.waiting = b.waiting[1:]
	close(next.admitted)
}

// pace returns the factor by which load and cold slow a request down; the caller holds mu.
func (e *Engine) pace(b *boot) float64 {
	f := 1 + e.Slowdown*float64(max(b.running-1, 0))
	if b.cold(time.Now()) {
		f *= max(e.ColdFactor, 1)
	}
	return f
}

func (b *boot) streamID() string {
	b.nextStream++
	return fmt.Sprintf("%s-%d", b.id[:8], b.nextStream)
}
