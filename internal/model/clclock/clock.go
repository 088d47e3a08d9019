// Package clclock provides a clock that keeps running while the machine is
// suspended, and an estimate of the time of day from the clocks of several
// machines.
package clclock

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// epoch is the time.Time that represents zero on the boot clock.
var epoch = time.Unix(1<<31, 0)

// Now returns the current value of the boot clock (CLOCK_BOOTTIME) as a
// time.Time without a monotonic reading. Unlike the monotonic clock of time.Now,
// it advances while the machine is suspended, so that leases and confirmations
// age during that time.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return epoch.Add(time.Duration(ts.Nano()))
}

// MedianClock estimates the time of day as the median of this machine's clock
// and the recent readings of other machines' clocks, so that a clock step on a
// single machine has no effect. The boot clock carries the readings forward.
// The zero value is ready to use.
type MedianClock struct {
	mu sync.Mutex
	// readings holds the latest reading of each other machine's clock.
	readings map[string]clockReading
}

// clockReading is a machine's time of day as an offset from the boot clock.
type clockReading struct {
	offset     time.Duration
	observedAt time.Time
}

// readingLifetime is how long a reading counts. It spans many digest exchanges,
// and is short enough that a machine that has left soon stops counting.
const readingLifetime = 5 * time.Second

// Observe records the time of day that another machine has just reported.
func (c *MedianClock) Observe(machine string, remote time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readings == nil {
		c.readings = make(map[string]clockReading)
	}
	now := Now()
	c.readings[machine] = clockReading{offset: remote.Sub(now), observedAt: now}
}

// Now returns the estimated time of day.
func (c *MedianClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := Now()
	offsets := []time.Duration{time.Now().Round(0).Sub(now)}
	for m, r := range c.readings {
		if now.Sub(r.observedAt) > readingLifetime {
			delete(c.readings, m)
			continue
		}
		offsets = append(offsets, r.offset)
	}
	slices.Sort(offsets)
	return now.Add(offsets[(len(offsets)-1)/2])
}
