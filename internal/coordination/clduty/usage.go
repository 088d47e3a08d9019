// This file defines how the gateways' counts of a usage window are gathered.

package clduty

import (
	"maps"
	"slices"
	"sync"
	"time"
)

type (
	// UsageCounter counts the requests that began to run, by window and account.
	// Exported fields are set before use. It is safe for concurrent use.
	UsageCounter struct {
		// WindowLength is the length of a window; windows are counted from the
		// beginning of 1970 in true time.
		WindowLength time.Duration

		mu    sync.Mutex
		own   windows
		peers map[process]windows
	}

	windows map[int64]map[string]uint64

	// process is one start of a gateway: a restarted one counts anew, and what
	// it counted before stays valid.
	process struct {
		gateway string
		boot    uint64
	}
)

// keptWindows is the number of windows that are kept; reports are due after two.
const keptWindows = 5

// WindowAt returns the window of a true time.
func (u *UsageCounter) WindowAt(t time.Time) int64 {
	return t.UnixNano() / u.WindowLength.Nanoseconds()
}

// WindowEnd returns when a window ends.
func (u *UsageCounter) WindowEnd(window int64) time.Time {
	return time.Unix(0, (window+1)*u.WindowLength.Nanoseconds())
}

// RecordStart counts a request that began to run.
func (u *UsageCounter) RecordStart(account string, at time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.own == nil {
		u.own = make(windows)
	}
	n := u.WindowAt(at)
	if u.own[n] == nil {
		u.own[n] = make(map[string]uint64)
		u.own.trim()
	}
	u.own[n][account]++
}

// LocalCounts returns this gateway's counts.
func (u *UsageCounter) LocalCounts() map[int64]map[string]uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make(map[int64]map[string]uint64, len(u.own))
	for n, counts := range u.own {
		out[n] = maps.Clone(counts)
	}
	return out
}

// UpdatePeer takes another gateway's counts, which only rise.
func (u *UsageCounter) UpdatePeer(gateway string, boot uint64, counts map[int64]map[string]uint64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.peers == nil {
		u.peers = make(map[process]windows)
	}
	p := process{gateway, boot}
	if u.peers[p] == nil {
		u.peers[p] = make(windows)
	}
	maps.Copy(u.peers[p], counts)
	u.peers[p].trim()
}

// Sum returns the counts of all gateways in a window.
func (u *UsageCounter) Sum(window int64) map[string]uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	sum := maps.Clone(u.own[window])
	if sum == nil {
		sum = make(map[string]uint64)
	}
	for p, w := range u.peers {
		for account, n := range w[window] {
			sum[account] += n
		}
		if w.newest() < window-keptWindows {
			delete(u.peers, p)
		}
	}
	return sum
}

func (w windows) newest() int64 {
	if len(w) == 0 {
		return 0
	}
	return slices.Max(slices.Collect(maps.Keys(w)))
}

func (w windows) trim() {
	oldest := w.newest() - keptWindows
	maps.DeleteFunc(w, func(n int64, _ map[string]uint64) bool { return n <= oldest })
}
