// This file defines the count of running requests, which a graceful shutdown waits for.

package clentry

import (
	"context"
	"sync"
)

// tracker counts running requests.
type tracker struct {
	mu   sync.Mutex
	n    int
	idle chan struct{}
}

func (t *tracker) begin() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n++
}

func (t *tracker) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.n--
	if t.n == 0 && t.idle != nil {
		close(t.idle)
		t.idle = nil
	}
}

func (t *tracker) running() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.n
}

// wait returns when no request runs, or ctx's error.
func (t *tracker) wait(ctx context.Context) error {
	t.mu.Lock()
	if t.n == 0 {
		t.mu.Unlock()
		return nil
	}
	if t.idle == nil {
		t.idle = make(chan struct{})
	}
	idle := t.idle
	t.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
