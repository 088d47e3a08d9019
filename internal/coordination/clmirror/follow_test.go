// This file tests that a follower's copy stays recent while its readers stop.

package clmirror

import (
	"bytes"
	"compress/flate"
	"context"
	"encoding/gob"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/cltest"
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"
)

// silentReader returns the address of a reader that accepts connections and never
// answers, as one that has no processor time left.
func silentReader(t *testing.T) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", cltest.Address(t).String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	return netip.MustParseAddrPort(ln.Addr().String())
}

// Guards against a follower whose copy grows old while the store serves it: the
// readers of its data centre stop answering, one after the other, and the next in
// rank has no processor time for its followers. With many gateways each follower
// used to read the store only by chance.
func TestFollowerOfReadersThatStopInTurn(t *testing.T) {
	store := &memoryStore{objects: map[string]int{"a": 1}}
	source := &storeClient{memoryStore: store}
	var followerCopy objectCopy
	m := &Mirror[int]{Name: "k", Source: source, WatchWait: time.Millisecond, WatchPause: 50 * time.Millisecond, Apply: followerCopy.apply, ProbesStore: true}
	follower := newReplicator(t, 1, m)
	readers := []netip.AddrPort{silentReader(t), silentReader(t), silentReader(t), silentReader(t), silentReader(t), silentReader(t)}
	started := time.Now()
	follower.Readers = func() []netip.AddrPort { return readers[min(len(readers)-1, int(time.Since(started)/time.Second)):] }
	follower.GatewayCount = func() int { return 1000 }
	ctx, stop := context.WithCancel(t.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- follower.Run(ctx) }()
	require.Eventually(t, func() bool { return followerCopy.equal(map[string]int{"a": 1}) }, 5*time.Second, time.Millisecond)
	oldest := time.Duration(0)
	for time.Since(started) < 6*time.Second {
		oldest = max(oldest, clclock.Now().Sub(m.LastConfirmed()))
		time.Sleep(5 * time.Millisecond)
	}
	require.Less(t, oldest, defaultChangeDeadline)
	require.Less(t, source.calls.Load(), int64(30), "the follower reads the store only as often as it has to")
	stop()
	require.NoError(t, <-runErr)
}

// Guards against complete copies that a new reader sends to all followers of its data
// centre at once: on a slow link they take longer than a request may, so that the
// followers leave the reader, request complete copies of the next one and stay without
// changes for seconds. A follower that changes its reader, or that has read the store
// itself in between, needs only the changes since its own position, removals included.
func TestNewReaderSendsOnlyChanges(t *testing.T) {
	store := &memoryStore{objects: map[string]int{}}
	for i := range 100 {
		store.recordChange(strconv.Itoa(i), i, false)
	}
	ctx, stop := context.WithCancel(t.Context())
	runErrs := make(chan error, 3)
	var following atomic.Pointer[netip.AddrPort]
	start := func(bootID uint64, copied *countingCopy, readers func() []netip.AddrPort) *Replicator {
		m := &Mirror[int]{Name: "k", Source: &storeClient{memoryStore: store}, WatchWait: 20 * time.Millisecond, Apply: copied.apply, ProbesStore: true}
		r := newReplicator(t, bootID, m)
		if readers != nil {
			r.Readers = readers
		}
		go func() { runErrs <- r.Run(ctx) }()
		return r
	}
	var firstCopy, secondCopy, followerCopy countingCopy
	first := start(1, &firstCopy, nil)
	require.Eventually(t, func() bool { return len(firstCopy.snapshot()) == 100 }, 5*time.Second, time.Millisecond)
	var secondReads atomic.Bool
	second := start(2, &secondCopy, func() []netip.AddrPort {
		if secondReads.Load() {
			return nil
		}
		return []netip.AddrPort{first.ListenAddress}
	})
	following.Store(&first.ListenAddress)
	start(3, &followerCopy, func() []netip.AddrPort { return []netip.AddrPort{*following.Load()} })
	settled := func(c *countingCopy) func() bool { return func() bool { return c.equal(store.snapshot()) } }
	require.Eventually(t, settled(&secondCopy), 5*time.Second, time.Millisecond)
	require.Eventually(t, settled(&followerCopy), 5*time.Second, time.Millisecond)
	store.recordChange("7", 700, false)
	require.Eventually(t, settled(&followerCopy), 5*time.Second, time.Millisecond)
	require.Eventually(t, settled(&secondCopy), 5*time.Second, time.Millisecond)
	complete := followerCopy.completeCopies.Load()

	secondReads.Store(true)
	following.Store(&second.ListenAddress)
	// The request to the first reader that is in progress ends.
	time.Sleep(feedHoldDuration + feedTimeoutMargin)
	store.recordChange("8", 0, true)
	store.recordChange("9", 900, false)
	require.Eventually(t, settled(&followerCopy), 5*time.Second, time.Millisecond)
	require.Equal(t, complete, followerCopy.completeCopies.Load())
	stop()
	for range 3 {
		require.NoError(t, <-runErrs)
	}
}

// Guards against connections that fill a reader's memory: another process sends a
// request without end, or byte by byte.
func TestFeedClosesEndlessRequests(t *testing.T) {
	m := &Mirror[int]{Name: "k", Source: &storeClient{memoryStore: &memoryStore{objects: map[string]int{}}}, WatchWait: 20 * time.Millisecond, Apply: func([]Change[int], bool) {}, ProbesStore: true}
	r := newReplicator(t, 1, m)
	ctx, stop := context.WithCancel(t.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- r.Run(ctx) }()
	require.Eventually(t, func() bool { return !m.LastConfirmed().IsZero() }, 5*time.Second, time.Millisecond)
	for _, head := range []string{"POST /feed HTTP/1.1\r\nX-Long: ", "POST /feed HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n"} {
		for _, pause := range []time.Duration{0, 50 * time.Millisecond} {
			c, err := net.Dial("tcp", r.ListenAddress.String())
			require.NoError(t, err)
			_, err = c.Write([]byte(head))
			require.NoError(t, err)
			begin := time.Now()
			for err == nil {
				_, err = c.Write([]byte("x"))
				require.Less(t, time.Since(begin), 2*time.Second, "the connection must be closed")
				time.Sleep(pause)
			}
			_ = c.Close()
		}
	}
	stop()
	require.NoError(t, <-runErr)
}

// Guards against a reader that fills its followers' memory, with bytes without end or
// with few bytes that decompress to many: they read the store instead.
func TestFollowerOfAReaderWithoutEnd(t *testing.T) {
	var bomb bytes.Buffer
	w, err := flate.NewWriter(&bomb, flate.BestSpeed)
	require.NoError(t, err)
	zeros := make([]byte, 1<<20)
	for range 256 {
		_, err := w.Write(zeros)
		require.NoError(t, err)
	}
	require.NoError(t, w.Close())
	for _, answer := range []func(w http.ResponseWriter){
		func(w http.ResponseWriter) {
			for {
				if _, err := w.Write(zeros); err != nil {
					return
				}
			}
		},
		func(w http.ResponseWriter) {
			_ = gob.NewEncoder(w).Encode(feedAnswer{Changes: map[string][]byte{"k": bomb.Bytes()}})
		},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { answer(w) }))
		store := &memoryStore{objects: map[string]int{"a": 1}}
		var followerCopy objectCopy
		m := &Mirror[int]{Name: "k", Source: &storeClient{memoryStore: store}, WatchWait: time.Millisecond, WatchPause: 50 * time.Millisecond, Apply: followerCopy.apply, ProbesStore: true}
		follower := newReplicator(t, 1, m)
		reader := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
		follower.Readers = func() []netip.AddrPort { return []netip.AddrPort{reader} }
		ctx, stop := context.WithCancel(t.Context())
		runErr := make(chan error, 1)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		go func() { runErr <- follower.Run(ctx) }()
		require.Eventually(t, func() bool { return followerCopy.equal(map[string]int{"a": 1}) }, 5*time.Second, time.Millisecond)
		store.recordChange("a", 2, false)
		require.Eventually(t, func() bool { return followerCopy.equal(map[string]int{"a": 2}) }, 5*time.Second, time.Millisecond)
		runtime.ReadMemStats(&after)
		require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(20*maxFeedBytes))
		stop()
		require.NoError(t, <-runErr)
		server.CloseClientConnections()
		server.Close()
	}
}

// Guards against a gateway that refuses all requests because the store fails the calls
// for one kind of objects, while it serves the others.
func TestFailingKindDoesNotMakeCopiesUnusable(t *testing.T) {
	probe := &Mirror[int]{Name: "k", Source: &storeClient{memoryStore: &memoryStore{objects: map[string]int{}}}, WatchWait: time.Millisecond, WatchPause: 50 * time.Millisecond, Apply: func([]Change[int], bool) {}, ProbesStore: true}
	r := newReplicator(t, 1, probe)
	failing := &storeClient{memoryStore: &memoryStore{objects: map[string]int{}}}
	failing.down.Store(true)
	Add(r, &Mirror[int]{Name: "failing", Source: failing, WatchWait: time.Second, Apply: func([]Change[int], bool) {}, Logger: zap.NewNop()})
	ctx, stop := context.WithCancel(t.Context())
	runErr := make(chan error, 1)
	go func() { runErr <- r.Run(ctx) }()
	time.Sleep(defaultChangeDeadline + 500*time.Millisecond)
	left, limited := r.UsableFor()
	require.True(t, limited)
	require.Positive(t, left)
	failing.down.Store(false)
	require.Eventually(t, func() bool { left, _ := r.UsableFor(); return left > 0 && failing.calls.Load() > 3 }, 5*time.Second, time.Millisecond)
	stop()
	require.NoError(t, <-runErr)
}

// countingCopy is an objectCopy that counts the complete copies it has received.
type countingCopy struct {
	objectCopy
	completeCopies atomic.Int64
}

func (c *countingCopy) apply(changes []Change[int], complete bool) {
	if complete {
		c.completeCopies.Add(1)
	}
	c.objectCopy.apply(changes, complete)
}

func (c *objectCopy) snapshot() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.objects)
}

func (s *memoryStore) snapshot() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.objects)
}

// Guards against a copy that is used beyond the deadline for changes, or a follower
// that leaves its copy unusable for long, whatever its readers and its processor do,
// while the store serves it. Virtual time: readers answer, stall or are stale in turn,
// and all steps of the follower take longer while it lacks processor time.
func TestFollowPolicyKeepsCopiesUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const step = 10 * time.Millisecond
		p := followPolicy{changeDeadline: time.Duration(rapid.IntRange(2, 5).Draw(t, "deadline")) * time.Second}
		delay := time.Duration(rapid.IntRange(10, 150).Draw(t, "call_ms")) * time.Millisecond
		readerCount := rapid.IntRange(1, 30).Draw(t, "readers")
		stall := make([]bool, 60)
		for i := range stall {
			stall[i] = rapid.Bool().Draw(t, "stalls")
		}
		now := time.Unix(1000, 0)
		begin, current := now, now
		readers := make([]netip.AddrPort, readerCount)
		for i := range readers {
			readers[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1)
		}
		var request, call time.Time // ends of what is in progress
		var reader netip.AddrPort
		fails := false
		callSent, nextCall := time.Time{}, now
		unusable := time.Duration(0)
		for ; now.Sub(begin) < 20*time.Second; now = now.Add(step) {
			if request.IsZero() {
				reader, _ = p.selectReader(readers, now)
				fails = stall[(int(reader.Addr().As4()[3])+int(now.Sub(begin)/time.Second))%len(stall)]
				request = now.Add(feedHoldDuration + delay)
				if fails {
					request = now.Add(feedHoldDuration + feedTimeoutMargin)
				}
			} else if !now.Before(request) {
				if fails {
					p.avoid(reader, now)
				} else {
					current = lo.Latest(current, request.Add(-feedHoldDuration-delay-delay))
				}
				request = time.Time{}
			}
			switch {
			case !call.IsZero() && !now.Before(call):
				p.endStoreCall(true, now)
				current, call, nextCall = lo.Latest(current, callSent), time.Time{}, now.Add(400*time.Millisecond)
			case call.IsZero() && !now.Before(nextCall) && p.readsStore(readerCount, 1000, current, now):
				callSent, call = now, now.Add(roleCheckInterval+delay)
				p.beginStoreCall(now)
			}
			left, limited := p.usableFor(current, now)
			require.True(t, limited, "the store serves this gateway")
			if left <= 0 {
				unusable += step
			}
			require.LessOrEqual(t, now.Add(left).Sub(current), p.changeDeadline)
		}
		require.Zero(t, unusable)
	})
}
