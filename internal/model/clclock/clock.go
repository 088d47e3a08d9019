// Package clclock provides a clock that goes on while the machine is
// suspended, and an estimate of the true time of day from several machines'
// clocks.
package clclock

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// epoch makes times of the clock since boot usable as time.Time.
var epoch = time.Unix(1<<31, 0)

// Now returns the time since boot as a time without a monotonic reading. Unlike
// time.Now's monotonic clock it counts the time in which the machine was
// suspended, so that leases and confirmations age meanwhile.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return epoch.Add(time.Duration(ts.Nano()))
}

// MedianClock estimates the true time of day as the median of the clocks of all
// machines that were heard recently, carried forward by the clock since boot,
// so that a jump of one machine's clock has no effect. The zero value is ready.
type MedianClock struct {
	mu sync.Mutex
	// clocks are the machines' times of day, as offsets to the clock since boot.
	clocks map[string]reading
}

type reading struct {
	offset time.Duration
	at     time.Time
}

// readingLifetime is many exchanges long, and short enough that a machine that
// has left soon has no vote.
const readingLifetime = 5 * time.Second

// Observe records the time of day that another machine has just sent.
func (t *MedianClock) Observe(machine string, theirs time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.clocks == nil {
		t.clocks = make(map[string]reading)
	}
	now := Now()
	t.clocks[machine] = reading{offset: theirs.Sub(now), at: now}
}

// Now returns the estimated true time of day.
func (t *MedianClock) Now() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := Now()
	offsets := []time.Duration{time.Now().Round(0).Sub(now)}
	for m, r := range t.clocks {
		if now.Sub(r.at) > readingLifetime {
			delete(t.clocks, m)
			continue
		}
		offsets = append(offsets, r.offset)
	}
	slices.Sort(offsets)
	return now.Add(offsets[(len(offsets)-1)/2])
}
