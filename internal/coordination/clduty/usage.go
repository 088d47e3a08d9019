// This file counts usage by window and collects the counts of all gateways.

package clduty

import (
	"maps"
	"slices"
	"sync"
	"time"
)

type (
	// UsageCounter counts the requests that started to run, by window and
	// account. It is safe for concurrent use; its exported fields must be set
	// before use.
	UsageCounter struct {
		// WindowLength is the length of a window. Windows are numbered from the
		// start of 1970 in true time.
		WindowLength time.Duration

		mu    sync.Mutex
		local windowCounts
		peers map[peerKey]windowCounts
	}

	// windowCounts holds counts by window and account.
	windowCounts map[int64]map[string]uint64

	// peerKey identifies one run of a gateway. A restarted gateway counts from
	// zero, and the counts of its earlier runs stay valid.
	peerKey struct {
		gateway string
		bootID  uint64
	}
)

// retainedWindows is the number of windows whose counts are kept. Reports are due
// after two.
const retainedWindows = 5

// WindowAt returns the number of the window that contains a true time.
func (u *UsageCounter) WindowAt(t time.Time) int64 {
	return t.UnixNano() / u.WindowLength.Nanoseconds()
}

// WindowEnd returns when a window ends.
func (u *UsageCounter) WindowEnd(window int64) time.Time {
	return time.Unix(0, (window+1)*u.WindowLength.Nanoseconds())
}

// RecordStart counts a request that started to run.
func (u *UsageCounter) RecordStart(account string, at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.local == nil {
		u.local = make(windowCounts)
	}
	window := u.WindowAt(at)
	if u.local[window] == nil {
		u.local[window] = make(map[string]uint64)
		u.local.trim()
	}
	u.local[window][account]++
}

// LocalCounts returns this gateway's counts.
func (u *UsageCounter) LocalCounts() map[int64]map[string]uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	copied := make(map[int64]map[string]uint64, len(u.local))
	for n, counts := range u.local {
		copied[n] = maps.Clone(counts)
	}
	return copied
}

// UpdatePeer replaces the counts of another gateway for the given windows. The
// counts of one run are cumulative.
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
	u.peers[key].trim()
}

// Sum returns the counts of all gateways in a window. It drops earlier runs of
// gateways that have no recent counts.
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

// trim removes all but the last retainedWindows windows.
func (w windowCounts) trim() {
	oldest := w.newestWindow() - retainedWindows
	maps.DeleteFunc(w, func(n int64, _ map[string]uint64) bool { return n <= oldest })
}
