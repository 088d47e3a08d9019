// This file tests that blocks end when the evidence turns against them.

package clcrash

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// runSound records sound runs of requests with two parts.
func runSound(tracker *Tracker, n int, first, second uint64, at time.Time) {
	for i := range n {
		tracker.RecordSound(request(uint64(1e6+i), first, second), at)
	}
}

// exchange lets two gateways tell each other of their evidence for a while, and returns
// the end of that time.
func exchange(a, b *Tracker, now time.Time, length time.Duration) time.Time {
	for end := now.Add(length); now.Before(end); {
		now = now.Add(200 * time.Millisecond)
		a.Merge(b.Evidence(now), now)
		b.Merge(a.Evidence(now), now)
	}
	return now
}

func requireRefused(t *testing.T, tracker *Tracker, now time.Time, id uint64, want bool) {
	t.Helper()
	_, refuses := tracker.Refuses([]Trait{{ID: id}}, now)
	require.Equal(t, want, refuses, "trait %d", id)
}

// Guards against a sound part that stays refused in place of the bad one, because a
// gateway that has just started does not know how long it was sound.
func TestBlockIsRevisedByTheHistoryOfOthers(t *testing.T) {
	var old, restarted Tracker
	runSound(&old, 50, otherPart, secondPart, start)
	now := start
	for i := range 3 {
		now = now.Add(time.Second)
		restarted.Record(uint64(i), request(uint64(10+i), firstPart, secondPart), now)
	}
	runSound(&restarted, minContrast, 60, 61, now)
	runSound(&old, minContrast, 60, 61, now)
	requireRefused(t, &restarted, now, secondPart, true)
	now = now.Add(confirmAfter)
	requireRefused(t, &restarted, now, secondPart, true)
	now = exchange(&old, &restarted, now, 3*confirmAfter)
	for _, tracker := range []*Tracker{&old, &restarted} {
		requireRefused(t, tracker, now, firstPart, true)
		requireRefused(t, tracker, now, secondPart, false)
	}
}

// Guards against a part that stays refused although a request with it was answered after
// the latest of its crashes, and against its block coming back from a gateway or a record
// that has not heard of that.
func TestBlockIsRevisedByASoundRun(t *testing.T) {
	var a, b, late Tracker
	now := start
	for i := range 3 {
		now = now.Add(time.Second)
		a.Record(uint64(i), request(uint64(10+i), firstPart, secondPart), now)
	}
	stale := Evidence{Blocks: []Block{{Trait: Trait{ID: secondPart, Depth: 1}, LastCrash: now}}}
	requireRefused(t, &a, now, secondPart, true)
	now = exchange(&a, &b, now, 2*confirmAfter)
	requireRefused(t, &b, now, secondPart, true)
	late.Merge(stale, now)
	runSound(&b, 1, otherPart, secondPart, start.Add(3100*time.Millisecond))
	now = exchange(&a, &b, now, time.Second)
	late.Merge(b.Evidence(now), now)
	for _, tracker := range []*Tracker{&a, &b, &late} {
		tracker.Merge(stale, now)
		requireRefused(t, tracker, now, secondPart, false)
		require.True(t, tracker.Revised(secondPart))
		require.False(t, tracker.Revised(firstPart))
	}
	requireRefused(t, &a, now, firstPart, true)
}

// Guards against a part that is refused for good because it was tried first, while
// another one that used to be sound goes on crashing endpoints, and against finding the
// latter too late.
func TestBlockIsRevisedWhenCrashesGoOn(t *testing.T) {
	var tracker Tracker
	runSound(&tracker, 50, otherPart, secondPart, start)
	now := start
	crash := func(run, first uint64) {
		now = now.Add(1500 * time.Millisecond)
		tracker.Record(run, request(100+run, first, secondPart), now)
		runSound(&tracker, minContrast, 60, 61, now.Add(time.Millisecond))
	}
	for i := range 3 {
		crash(uint64(i), firstPart)
	}
	requireRefused(t, &tracker, now, firstPart, true)
	requireRefused(t, &tracker, now, secondPart, false)
	now = now.Add(confirmAfter)
	requireRefused(t, &tracker, now, firstPart, true)
	for i := range 3 {
		requireRefused(t, &tracker, now, secondPart, false)
		crash(uint64(10+i), uint64(70+i))
	}
	requireRefused(t, &tracker, now, secondPart, true)
	for range 3 {
		now = now.Add(confirmAfter)
		tracker.Record(uint64(now.UnixNano()), request(900, 901, 902), now) // new evidence
		requireRefused(t, &tracker, now, secondPart, true)
	}
	requireRefused(t, &tracker, now, firstPart, false)
}

// Guards against a bad part with a long sound history that gets more than three further
// requests after the fifth crash, because each new part beside it is blocked in its place.
func TestBadPartWithSuccessiveNewCompanions(t *testing.T) {
	for _, runs := range []int{0, 50, 500} {
		var tracker Tracker
		runSound(&tracker, runs, otherPart, secondPart, start)
		now, crashes, companion := start, 0, uint64(1000)
		for refused := false; !refused && crashes < 30; {
			if _, next := tracker.Refuses([]Trait{{ID: companion}}, now); next {
				companion++
			}
			now = now.Add(1500 * time.Millisecond)
			tracker.Record(uint64(crashes), request(uint64(2000+crashes), companion, secondPart), now)
			runSound(&tracker, minContrast, 60, 61, now.Add(time.Millisecond))
			crashes++
			_, refused = tracker.Refuses([]Trait{{ID: secondPart}}, now)
		}
		t.Logf("refused after %d crashes with %d sound runs before", crashes, runs)
		require.LessOrEqual(t, crashes, 5+3, "%d sound runs", runs)
	}
}

// Guards against a block that comes back by a digest or a record that is late: the time of
// the latest crash in it is rebuilt from an age, and so seems to be later.
func TestRevisedBlockDoesNotComeBackLate(t *testing.T) {
	var a, b Tracker
	now := start
	for i := range 3 {
		now = now.Add(time.Second)
		a.Record(uint64(i), request(uint64(10+i), firstPart, secondPart), now)
	}
	now = now.Add(2 * confirmAfter)
	requireRefused(t, &a, now, secondPart, true)
	lastCrash := start.Add(3 * time.Second)
	b.Merge(a.Evidence(now), now)
	runSound(&b, 1, otherPart, secondPart, now)
	now = exchange(&a, &b, now, time.Second)
	requireRefused(t, &a, now, secondPart, false)
	for _, delay := range []time.Duration{time.Second, 6 * time.Second, time.Minute} {
		now = now.Add(time.Second)
		late := Evidence{Blocks: []Block{{Trait: Trait{ID: secondPart, Depth: 1}, LastCrash: lastCrash.Add(delay)}}}
		a.Merge(late, now)
		now = exchange(&a, &b, now, time.Second)
		requireRefused(t, &a, now, secondPart, false)
		requireRefused(t, &b, now, secondPart, false)
	}
}
