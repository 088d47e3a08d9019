// This file defines the group of calls.

package clcall

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

type (
	// Group makes calls and limits them. K identifies a call and its peer; V is the result.
	// Exported fields must be set before Do is called; its methods may be called
	// concurrently.
	Group[K comparable, V any] struct {
		// Call makes one call. It must return soon after ctx ends.
		Call func(ctx context.Context, key K) (V, error)
		// Timeout is the maximum time for one call.
		Timeout time.Duration
		// PerKey is the maximum number of calls in progress with the same key, and Total
		// that of all calls. Keys whose last call has timed out may use one call each, and
		// half of Total together, so that peers that never answer leave room for others.
		PerKey, Total int
		// Reserve reserves the memory of a call and reports whether it is granted, and
		// Release releases it. If Reserve is nil, calls need no memory.
		Reserve func() bool
		Release func()

		mu   sync.Mutex
		keys map[K]*keyState[V]
		// running is the number of calls in progress, and late that of the calls with keys
		// whose last call has timed out.
		running, late int
	}

	// keyState holds the calls with one key.
	keyState[V any] struct {
		running int
		// next is the call that begins once another one with the key ends; nil if nobody
		// waits for one.
		next *call[V]
		// timedOut is when the last call that has ended timed out; zero if it did not.
		timedOut time.Time
	}

	// call is a call in progress, or one that has not begun. value and err are set before
	// done is closed; mu of the Group guards the rest.
	call[V any] struct {
		done  chan struct{}
		value V
		err   error
		// late says that the call counts towards Group.late.
		late bool
		// waiting is the number of callers of Do that wait for the call, and expired says
		// that one of them has waited to the end of its time.
		waiting int
		expired bool
		// cancel ends the call; it is nil before the call begins.
		cancel context.CancelFunc
	}
)

// ErrLimit is returned by Do if a call can't begin, because of the other calls in progress
// or because there is no memory for it.
var ErrLimit = errors.New("too many calls to peers are in progress")

// lateMemory is how long a call that has timed out counts against its key if no later one
// ends in time. A peer that is asked rarely is then trusted again.
const lateMemory = 30 * time.Second

// Do returns the result of a call that has begun after Do was called. It returns ErrLimit
// at once if no call can begin, and the error of ctx once ctx has ended. A call for which
// nobody waits any more ends.
func (g *Group[K, V]) Do(ctx context.Context, key K) (V, error) {
	c, err := g.join(key)
	if err != nil {
		var none V
		return none, err
	}
	select {
	case <-c.done:
		return c.value, c.err
	case <-ctx.Done():
		g.leave(key, c, errors.Is(ctx.Err(), context.DeadlineExceeded))
		var none V
		return none, ctx.Err()
	}
}

// leave ends the wait of one caller of Do for a call.
func (g *Group[K, V]) leave(key K, c *call[V], expired bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c.waiting--
	c.expired = c.expired || expired
	switch s := g.keys[key]; {
	case c.waiting > 0:
	case c.cancel != nil:
		c.cancel()
	case s != nil && s.next == c:
		s.next = nil
	}
}

// InProgress returns the number of calls in progress.
func (g *Group[K, V]) InProgress() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running
}

// join returns a call that has not begun, or begins one.
func (g *Group[K, V]) join(key K) (*call[V], error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.keys[key]
	if s == nil {
		s = &keyState[V]{}
	}
	if s.next != nil {
		s.next.waiting++
		return s.next, nil
	}
	c := &call[V]{done: make(chan struct{}), waiting: 1}
	late := time.Since(s.timedOut) < lateMemory
	if s.running >= g.PerKey || late && s.running > 0 {
		s.next = c
		return c, nil
	}
	if !g.begin(key, s, c, late) {
		return nil, ErrLimit
	}
	return c, nil
}

// begin begins a call unless a limit forbids it. The caller holds mu.
func (g *Group[K, V]) begin(key K, s *keyState[V], c *call[V], late bool) bool {
	if g.running >= g.Total || late && g.late >= g.Total/2 || g.Reserve != nil && !g.Reserve() {
		return false
	}
	if g.keys == nil {
		g.keys = make(map[K]*keyState[V])
	}
	g.keys[key] = s
	ctx, cancel := context.WithTimeout(context.Background(), g.Timeout)
	c.late, c.cancel = late, cancel
	g.running++
	s.running++
	if late {
		g.late++
	}
	go g.run(ctx, key, s, c)
	return true
}

// run makes a call, and begins the next one with its key if somebody waits for it.
func (g *Group[K, V]) run(ctx context.Context, key K, s *keyState[V], c *call[V]) {
	c.value, c.err = g.Call(ctx, key)
	ended := ctx.Err()
	c.cancel()
	close(c.done)
	g.mu.Lock()
	defer g.mu.Unlock()
	timedOut := errors.Is(ended, context.DeadlineExceeded) || ended != nil && c.expired
	if g.Release != nil {
		g.Release()
	}
	g.running--
	s.running--
	if c.late {
		g.late--
	}
	s.timedOut = time.Time{}
	if timedOut {
		s.timedOut = time.Now()
	}
	if next := s.next; next != nil {
		s.next = nil
		if !g.begin(key, s, next, timedOut) {
			next.err = ErrLimit
			close(next.done)
		}
	}
	if s.running == 0 && s.timedOut.IsZero() {
		delete(g.keys, key)
	}
	g.dropOld()
}

// dropOld forgets keys whose calls timed out long ago. The caller holds mu.
func (g *Group[K, V]) dropOld() {
	for key, s := range g.keys {
		if s.running == 0 && time.Since(s.timedOut) >= lateMemory {
			delete(g.keys, key)
		}
	}
}
