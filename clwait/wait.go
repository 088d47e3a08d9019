// This file defines pauses and repeated calls that end with a context.

package clwait

import (
	"context"
	"time"
)

// Pause waits for d; it returns ctx's error if ctx ends first.
func Pause(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}

// Every calls f after each interval until ctx ends, and then returns nil. A
// call that takes longer than the interval delays the next one.
func Every(ctx context.Context, interval time.Duration, f func(now time.Time)) error {
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-t.C:
			f(now)
		}
	}
}
