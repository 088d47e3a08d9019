// This file defines the clock since boot and the median of several clocks.

package clclock

import (
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// bootClockEpoch is the time.Time that represents the value 0 of the boot clock.
// It is unrelated to the time of day.
var bootClockEpoch = time.Unix(1<<31, 0)

// Now returns the current value of the boot clock (CLOCK_BOOTTIME) as a time.Time
// without a monotonic reading. It is comparable only with other results of Now.
// Unlike the monotonic clock of time.Now, the boot clock advances while the machine
// is suspended, so that leases expire and data confirmed by the store becomes stale
// during that time. If the system does not provide the boot clock, Now returns
// time.Now().
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return bootClockEpoch.Add(time.Duration(ts.Nano()))
}

// MedianClock estimates the time of day as the median of this machine's clock and
// the recent readings of other machines' clocks, so that a clock step on a single
// one of three or more machines has no effect. Of an even number of clocks the
// earlier of the middle two counts. The boot clock carries the readings forward.
// The zero value is ready to use. A MedianClock is safe for concurrent use.
type MedianClock struct {
	mu sync.Mutex
	// readings holds the latest reading of each other machine's clock, by the name
	// of the machine.
	readings map[string]clockReading
}

// clockReading is the time of day of another machine.
type clockReading struct {
	// offset is the difference between the other machine's time of day and this
	// machine's boot clock.
	offset time.Duration
	// observedAt is the value of the boot clock when the reading arrived.
	observedAt time.Time
}

// readingLifetime is how long a reading counts after its arrival. It is a multiple of
// the time between two readings of a machine, so that losing some of them has no
// effect, and so short that the readings of a stopped machine soon cease to count.
const readingLifetime = 5 * time.Second

// Observe records the time of day that another machine has just reported. The
// transit time of the report is not taken into account.
func (c *MedianClock) Observe(machine string, remoteTime time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readings == nil {
		c.readings = make(map[string]clockReading)
	}
	now := Now()
	c.readings[machine] = clockReading{offset: remoteTime.Sub(now), observedAt: now}
}

// Now returns the estimated time of day.
func (c *MedianClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := Now()
	offsets := []time.Duration{time.Now().Round(0).Sub(now)}
	for machine, reading := range c.readings {
		if now.Sub(reading.observedAt) > readingLifetime {
			delete(c.readings, machine)
			continue
		}
		offsets = append(offsets, reading.offset)
	}
	slices.Sort(offsets)
	return now.Add(offsets[(len(offsets)-1)/2])
}
