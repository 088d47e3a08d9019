// This file contains the counter of usage by window, which also collects the counts
// of the other gateways.

package clduty

import (
	"maps"
	"slices"
	"sync"
	"time"
)

type (
	// UsageCounter counts the requests that started to run, by window and
	// account. It is safe for concurrent use; WindowLength must be set before
	// use.
	UsageCounter struct {
		// WindowLength is the length of a window. Window 0 starts at the Unix
		// epoch, and each window starts when the previous one ends.
		WindowLength time.Duration

		mu sync.Mutex
		// local holds this gateway's counts, and peers those of other gateways.
		local windowCounts
		peers map[peerKey]windowCounts
	}

	// windowCounts holds the number of started requests by window and account.
	windowCounts map[int64]map[string]uint64

	// peerKey identifies one run of another gateway. A restarted gateway counts
	// from zero, and the counts of its earlier runs stay valid.
	peerKey struct {
		gateway string
		bootID  uint64
	}
)

// retainedWindows is the number of windows whose counts are kept, and of usage
// reports that are stored. The kept windows before the current one must last at
// least Coordinator.ReportDeadline, as a report is made from the counts kept. With
// the default settings, the deadline is two windows.
const retainedWindows = 5

// WindowAt returns the number of the window that contains the time t.
func (u *UsageCounter) WindowAt(t time.Time) int64 {
	return t.UnixNano() / u.WindowLength.Nanoseconds()
}

// WindowEnd returns when a window ends.
func (u *UsageCounter) WindowEnd(window int64) time.Time {
	return time.Unix(0, (window+1)*u.WindowLength.Nanoseconds())
}

// RecordStart counts a request of an account that started to run at the given
// time.
func (u *UsageCounter) RecordStart(account string, at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.local == nil {
		u.local = make(windowCounts)
	}
	window := u.WindowAt(at)
	if u.local[window] == nil {
		u.local[window] = make(map[string]uint64)
		u.local.removeOld()
	}
	u.local[window][account]++
}

// LocalCounts returns a copy of this gateway's counts, by window and account.
func (u *UsageCounter) LocalCounts() map[int64]map[string]uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	copied := make(map[int64]map[string]uint64, len(u.local))
	for n, counts := range u.local {
		copied[n] = maps.Clone(counts)
	}
	return copied
}

// UpdatePeer replaces the counts of one run of another gateway, by window and
// account, for the given windows. Counts of the run for other windows stay. The
// new counts must include the requests that the replaced ones counted.
func (u *UsageCounter) UpdatePeer(gateway string, bootID uint64, counts map[int64]map[string]uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.peers == nil {
		u.peers = make(map[peerKey]windowCounts)
	}
	key := peerKey{gateway, bootID}
	if u.peers[key] == nil {
		u.peers[key] = make(windowCounts)
	}
	maps.Copy(u.peers[key], counts)
	u.peers[key].removeOld()
}

// Sum returns the number of requests that started in a window on all gateways, by
// account. It also removes each run of another gateway whose newest window is more
// than retainedWindows before the given one: the run has ended, or the gateway is
// idle.
func (u *UsageCounter) Sum(window int64) map[string]uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	sum := maps.Clone(u.local[window])
	if sum == nil {
		sum = make(map[string]uint64)
	}
	for key, peer := range u.peers {
		for account, n := range peer[window] {
			sum[account] += n
		}
		if peer.newestWindow() < window-retainedWindows {
			delete(u.peers, key)
		}
	}
	return sum
}

// newestWindow returns the highest window number, or 0 if there are no windows.
func (w windowCounts) newestWindow() int64 {
	if len(w) == 0 {
		return 0
	}
	return slices.Max(slices.Collect(maps.Keys(w)))
}

// removeOld removes the windows that are retainedWindows or more before the newest
// one.
func (w windowCounts) removeOld() {
	newestRemoved := w.newestWindow() - retainedWindows
	maps.DeleteFunc(w, func(n int64, _ map[string]uint64) bool { return n <= newestRemoved })
}
