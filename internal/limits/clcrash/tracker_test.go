// This file tests which traits are blocked, and what gateways tell each other.

package clcrash

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Unix(1000, 0)

const (
	firstPart, secondPart, otherPart uint64 = 1, 2, 3
	wholeA, wholeB                   uint64 = 101, 102
)

// request returns the traits of a request with two parts that others may share.
func request(whole, first, second uint64) []Trait {
	return []Trait{{ID: whole, Depth: WholeRequest}, {ID: first}, {ID: second, Depth: 1}}
}

func whole(id uint64) []Trait { return []Trait{{ID: id, Depth: WholeRequest}} }

// event is a crash, or a sound run, of a request with these traits.
type event struct {
	at     time.Duration
	traits []Trait
	sound  bool
}

func crashAt(at time.Duration, traits []Trait) event { return event{at: at, traits: traits} }
func soundAt(at time.Duration, traits []Trait) event {
	return event{at: at, traits: traits, sound: true}
}

const sec = time.Second

// blockTests are events and the traits that are blocked after them.
var blockTests = []struct {
	name    string
	events  []event
	blocked []uint64
}{
	{"one crash of a request", []event{crashAt(0, whole(wholeA))}, nil},
	{"two crashes of a request", []event{crashAt(0, whole(wholeA)), crashAt(sec, whole(wholeA))}, []uint64{wholeA}},
	{"two crashes of a request, further apart than crashes count", []event{crashAt(0, whole(wholeA)), crashAt(Retention+sec, whole(wholeA))}, nil},
	{
		"a frequent request that ran between two crashes",
		[]event{crashAt(0, whole(wholeA)), soundAt(sec, whole(wholeA)), crashAt(2*sec, whole(wholeA))}, nil,
	},
	{
		"a part behind a first one that also runs without it",
		[]event{
			crashAt(0, request(11, firstPart, secondPart)), crashAt(sec, request(12, firstPart, secondPart)), soundAt(1500*time.Millisecond, request(13, firstPart, 50)),
			crashAt(2*sec, request(14, firstPart, secondPart)),
		},
		[]uint64{secondPart},
	},
	{
		"two crashes under a part",
		[]event{crashAt(0, request(11, firstPart, secondPart)), crashAt(sec, request(12, firstPart, secondPart))}, nil,
	},
	{
		"a first part, beside different second ones",
		[]event{crashAt(0, request(11, firstPart, 51)), crashAt(sec, request(12, firstPart, 52)), crashAt(2*sec, request(13, firstPart, 53))},
		[]uint64{firstPart},
	},
	{
		"two parts at the same crashes: the one that fewer requests have",
		[]event{crashAt(0, request(11, firstPart, secondPart)), crashAt(sec, request(12, firstPart, secondPart)), crashAt(2*sec, request(13, firstPart, secondPart))},
		[]uint64{secondPart},
	},
	{
		"a later crash shows that the first part is the cause",
		[]event{
			crashAt(0, request(11, firstPart, secondPart)), crashAt(sec, request(12, firstPart, secondPart)), crashAt(2*sec, request(13, firstPart, secondPart)),
			crashAt(2500*time.Millisecond, request(14, firstPart, 54)),
		},
		[]uint64{firstPart},
	},
	{
		"a part whose requests are each repeated once by their callers",
		[]event{
			crashAt(0, request(11, firstPart, secondPart)), crashAt(sec, request(11, firstPart, secondPart)), soundAt(1500*time.Millisecond, request(10, firstPart, 50)),
			crashAt(4*sec, request(12, firstPart, secondPart)), soundAt(4500*time.Millisecond, request(15, firstPart, 50)), crashAt(5*sec, request(12, firstPart, secondPart)),
		},
		[]uint64{secondPart}, // no longer the first request by itself
	},
	{
		"a request that crashes endpoints, with parts that nothing else has",
		[]event{crashAt(0, request(wholeA, firstPart, secondPart)), crashAt(sec, request(wholeA, firstPart, secondPart))},
		[]uint64{wholeA},
	},
	{
		"a rare part that ran between the crashes",
		[]event{
			crashAt(0, request(11, firstPart, otherPart)), crashAt(sec, request(12, firstPart, otherPart)), soundAt(1500*time.Millisecond, request(13, firstPart, otherPart)),
			crashAt(2*sec, request(14, firstPart, otherPart)), crashAt(3*sec, request(15, firstPart, otherPart)),
		},
		nil,
	},
	{
		"endpoints that are lost at the same moment",
		[]event{
			crashAt(0, request(11, firstPart, otherPart)), crashAt(30*time.Millisecond, request(12, firstPart, otherPart)), crashAt(90*time.Millisecond, request(13, firstPart, otherPart)),
			crashAt(200*time.Millisecond, request(14, firstPart, otherPart)),
		},
		nil,
	},
	{
		"a part that used to run, while nothing runs",
		[]event{
			soundAt(0, request(10, firstPart, otherPart)), crashAt(sec, request(11, firstPart, otherPart)), crashAt(2*sec, request(12, firstPart, otherPart)), crashAt(3*sec, request(13, firstPart, otherPart)),
		},
		nil,
	},
	{
		"a part that used to run, while others run",
		[]event{
			soundAt(0, request(10, firstPart, otherPart)), crashAt(sec, request(11, firstPart, otherPart)), crashAt(2*sec, request(12, firstPart, otherPart)), crashAt(3*sec, request(13, firstPart, otherPart)),
			soundAt(3100*time.Millisecond, request(14, firstPart, 60)), soundAt(3200*time.Millisecond, request(15, firstPart, 60)), soundAt(3300*time.Millisecond, request(16, firstPart, 60)),
		},
		[]uint64{otherPart},
	},
}

// Guards against blocking too late what crashes endpoints, and against blocking what is
// only present when they crash.
func TestBlocks(t *testing.T) {
	for _, test := range blockTests {
		var tracker Tracker
		last := start
		for i, e := range test.events {
			last = start.Add(e.at)
			if e.sound {
				tracker.RecordSound(e.traits, last)
			} else {
				tracker.Record(uint64(1000+i), e.traits, last)
			}
			tracker.Refuses(nil, last)
		}
		var blocked []uint64
		for _, id := range []uint64{firstPart, secondPart, otherPart, wholeA, 11, 12, 13, 14, 15, 16} {
			if _, refuses := tracker.Refuses([]Trait{{ID: id}}, last); refuses {
				blocked = append(blocked, id)
			}
		}
		require.Equal(t, test.blocked, blocked, test.name)
	}
}

// Guards against a request that crashes every endpoint it reaches, at another gateway
// each time.
func TestCrashesAtDifferentGatewaysAddUp(t *testing.T) {
	var a, b Tracker
	a.Record(1, whole(wholeA), start)
	_, refuses := a.Refuses(whole(wholeA), start)
	require.False(t, refuses)
	b.Merge(a.Evidence(start), start)
	_, refuses = b.Refuses(whole(wholeA), start)
	require.False(t, refuses)
	now := start.Add(time.Second)
	b.Record(2, whole(wholeA), now)
	a.Merge(b.Evidence(now), now)
	for _, tracker := range []*Tracker{&a, &b} {
		_, refuses = tracker.Refuses(whole(wholeA), now)
		require.True(t, refuses)
		_, refuses = tracker.Refuses(whole(wholeB), now)
		require.False(t, refuses)
		_, refuses = tracker.Refuses(whole(wholeA), now.Add(Retention))
		require.False(t, refuses, "after the retention")
	}
}

// Guards against a crash that counts twice because two gateways saw it.
func TestOneCrashSeenByTwoGateways(t *testing.T) {
	var a, b Tracker
	a.Record(1, whole(wholeA), start)
	b.Record(1, whole(wholeA), start.Add(10*time.Millisecond))
	now := start.Add(time.Second)
	a.Merge(b.Evidence(now), now)
	_, refuses := a.Refuses(whole(wholeA), now)
	require.False(t, refuses)
}

// Guards against evidence that is gone when the gateway that found it restarts.
func TestEvidenceOutlivesItsGateway(t *testing.T) {
	var a, b, restarted Tracker
	for i := range 3 {
		a.Record(uint64(i), request(uint64(10+i), firstPart, secondPart), start.Add(time.Duration(i)*time.Second))
	}
	now := start.Add(2100 * time.Millisecond)
	b.Merge(a.Evidence(now), now)
	b.Merge(restarted.Evidence(now), now)
	_, refuses := b.Refuses(request(20, otherPart, secondPart), now)
	require.True(t, refuses)
	now = now.Add(2 * confirmAfter)
	restarted.Merge(b.Evidence(now), now)
	_, refuses = restarted.Refuses(request(20, otherPart, secondPart), now)
	require.True(t, refuses, "learnt from a gateway that ran on")
}

// Guards against suspects that a crash leaves behind although another gateway knows what
// caused it: requests with one part ran beside the cause three times.
func TestBlockedPartExplainsCrashesOfOthers(t *testing.T) {
	var a, b Tracker
	now := start
	for i := range 6 {
		now = start.Add(time.Duration(i) * time.Second)
		beside := otherPart
		if i < 3 {
			beside = uint64(60 + i)
		}
		a.Record(uint64(i), request(uint64(10+i), firstPart, secondPart), now)
		b.Record(uint64(i), request(uint64(30+i), firstPart, beside), now)
		for range 5 {
			now = now.Add(150 * time.Millisecond)
			b.RecordSound(request(uint64(70+i), firstPart, 80), now)
			a.Merge(b.Evidence(now), now)
			b.Merge(a.Evidence(now), now)
		}
	}
	for _, tracker := range []*Tracker{&a, &b} {
		_, refuses := tracker.Refuses(request(90, firstPart, secondPart), now)
		require.True(t, refuses)
		_, refuses = tracker.Refuses(request(90, firstPart, otherPart), now)
		require.False(t, refuses)
	}
}

// Guards against memory that grows with the crashes, and against losing what the latest
// ones show.
func TestManyCrashes(t *testing.T) {
	var tracker Tracker
	now := start
	for i := range 5 * maxCrashes {
		now = now.Add(10 * time.Millisecond)
		tracker.Record(uint64(i), request(uint64(1e6+i), uint64(2e6+i), uint64(3e6+i)), now)
		tracker.Refuses(nil, now)
	}
	require.LessOrEqual(t, len(tracker.crashes), maxCrashes)
	require.LessOrEqual(t, len(tracker.presence), 3*maxCrashes)
	require.Len(t, tracker.Evidence(now).Crashes, maxOwnCrashes)
	for i := range 3 {
		now = now.Add(time.Second)
		tracker.Record(uint64(1e7+i), request(uint64(4e6+i), uint64(5e6+i), secondPart), now)
	}
	_, refuses := tracker.Refuses(request(0, 0, secondPart), now)
	require.True(t, refuses)
}

// Guards against digests that outgrow a datagram, and are then not sent at all: crashes
// under as many requests as an engine may hold.
func TestEvidenceIsLimited(t *testing.T) {
	var tracker Tracker
	now := start
	for i := range 2 * maxOwnCrashes {
		now = now.Add(100 * time.Millisecond)
		for j := range 200 {
			n := uint64(1000*i + j)
			tracker.Record(uint64(i), request(1e6+n, 2e6+n, 3e6+n), now)
		}
	}
	for j := range 4 * maxOwnSoundRuns {
		n := uint64(j)
		tracker.Record(1e6, request(n, 2e6+n, 3e6+n), now)
		tracker.RecordSound(request(n, 2e6+n, 3e6+n), now.Add(-time.Hour))
	}
	e := tracker.Evidence(now)
	traits := 0
	for _, c := range e.Crashes {
		traits += len(c.Traits)
	}
	require.LessOrEqual(t, len(e.Crashes), maxOwnCrashes)
	require.LessOrEqual(t, traits, maxOwnTraits)
	require.Positive(t, traits)
	require.LessOrEqual(t, len(e.SoundRuns), maxOwnSoundRuns)
}
