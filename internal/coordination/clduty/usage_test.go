// This file tests the counting of usage by window.

package clduty

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against windows that do not start at multiples of their length since 1970.
func TestWindowBoundaries(t *testing.T) {
	u := &UsageCounter{WindowLength: 5 * time.Second}
	at := time.Unix(5*353_445_120, 0)
	require.EqualValues(t, 353_445_120, u.WindowAt(at))
	require.EqualValues(t, 353_445_120, u.WindowAt(at.Add(5*time.Second-1)))
	require.EqualValues(t, 353_445_119, u.WindowAt(at.Add(-1)))
	require.Equal(t, at.Add(5*time.Second), u.WindowEnd(353_445_120))
}

// Guards against requests that are lost or counted twice: digests repeat earlier
// counts, and a restarted gateway counts from zero. Digests that arrive out of order
// do not reach the counter; clgossip discards them. Also guards against counts that
// are kept for more than retainedWindows windows.
func TestSumOverRestartsAndRepeats(t *testing.T) {
	u := &UsageCounter{WindowLength: 5 * time.Second}
	at := time.Unix(5000, 0)
	n := u.WindowAt(at)
	u.RecordStart("x", at)
	u.RecordStart("x", at)
	u.UpdatePeer("p", 1, map[int64]map[string]uint64{n: {"x": 3, "y": 1}})
	u.UpdatePeer("p", 1, map[int64]map[string]uint64{n: {"x": 4, "y": 1}})
	u.UpdatePeer("p", 2, map[int64]map[string]uint64{n: {"x": 2}})
	require.Equal(t, map[string]uint64{"x": 8, "y": 1}, u.Sum(n))
	require.Empty(t, u.Sum(n+1))
	for i := range 2 * retainedWindows {
		u.RecordStart("x", at.Add(time.Duration(i)*u.WindowLength))
	}
	require.Len(t, u.LocalCounts(), retainedWindows)
}
