// This file tests the limits of calls to peers.

package clcall

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
)

// hangingGroup returns a group whose calls with the key "hangs" end with their time, and
// all others at once.
func hangingGroup(timeout time.Duration) *Group[string, int] {
	return &Group[string, int]{Timeout: timeout, PerKey: 2, Total: 8, Call: func(ctx context.Context, key string) (int, error) {
		if key[0] != 'h' {
			return 1, nil
		}
		<-ctx.Done()
		return 0, ctx.Err()
	}}
}

// Guards against a peer that never answers and that takes connections, or the time of
// those that ask others.
func TestCallsOfOnePeerAreLimited(t *testing.T) {
	g := hangingGroup(time.Minute)
	ctx, cancel := context.WithCancel(t.Context())
	var waiting sync.WaitGroup
	for range 50 {
		waiting.Go(func() {
			_, err := g.Do(ctx, "hangs")
			require.ErrorIs(t, err, context.Canceled)
		})
	}
	require.Eventually(t, func() bool { return g.InProgress() == 2 }, time.Second, time.Millisecond)
	v, err := g.Do(t.Context(), "other")
	require.NoError(t, err)
	require.Equal(t, 1, v)
	time.Sleep(10 * time.Millisecond)
	require.Equal(t, 2, g.InProgress())
	cancel()
	waiting.Wait()
	require.Eventually(t, func() bool { return g.InProgress() == 0 }, time.Second, time.Millisecond, "nobody waits any more")
}

// Guards against calls to many peers that never answer, which leave none for the others:
// once the calls to a peer have timed out, it has a part of them.
func TestLatePeersLeaveRoom(t *testing.T) {
	g := hangingGroup(20 * time.Millisecond)
	names := []string{"h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8"}
	var first sync.WaitGroup
	for _, name := range names {
		first.Go(func() {
			_, err := g.Do(t.Context(), name)
			require.ErrorIs(t, err, context.DeadlineExceeded)
		})
	}
	first.Wait()
	require.Eventually(t, func() bool { return g.InProgress() == 0 }, time.Second, time.Millisecond)
	g.Timeout = time.Minute
	var refused atomic.Int64
	ctx, cancel := context.WithCancel(t.Context())
	var second sync.WaitGroup
	for _, name := range names {
		second.Go(func() {
			if _, err := g.Do(ctx, name); errors.Is(err, ErrLimit) {
				refused.Add(1)
			}
		})
	}
	require.Eventually(t, func() bool { return refused.Load() == 4 && g.InProgress() == 4 }, time.Second, time.Millisecond)
	_, err := g.Do(t.Context(), "other")
	require.NoError(t, err)
	cancel()
	second.Wait()
}

// Guards against a result from before the question: a call in progress must not answer it.
func TestResultIsOfACallThatBeganLater(t *testing.T) {
	var begun atomic.Int64
	step := make(chan struct{})
	g := &Group[int, int]{Timeout: time.Minute, PerKey: 1, Total: 4, Call: func(context.Context, int) (int, error) {
		n := int(begun.Add(1))
		<-step
		return n, nil
	}}
	results := make(chan int, 4)
	ask := func() {
		v, err := g.Do(t.Context(), 0)
		require.NoError(t, err)
		results <- v
	}
	go ask()
	require.Eventually(t, func() bool { return begun.Load() == 1 }, time.Second, time.Millisecond)
	for range 3 {
		go ask()
	}
	require.Never(t, func() bool { return begun.Load() > 1 }, 20*time.Millisecond, time.Millisecond)
	step <- struct{}{}
	require.Equal(t, 1, <-results)
	step <- struct{}{}
	for range 3 {
		require.Equal(t, 2, <-results)
	}
}

// Guards against calls that begin without the memory that they need, and against memory
// that is not released.
func TestCallsReserveMemory(t *testing.T) {
	var held atomic.Int64
	g := hangingGroup(20 * time.Millisecond)
	g.Reserve = func() bool {
		if held.Load() == 1 {
			return false
		}
		held.Add(1)
		return true
	}
	g.Release = func() { held.Add(-1) }
	hung := make(chan error)
	go func() {
		_, err := g.Do(t.Context(), "hangs")
		hung <- err
	}()
	require.Eventually(t, func() bool { return held.Load() == 1 }, time.Second, time.Millisecond)
	_, err := g.Do(t.Context(), "other")
	require.ErrorIs(t, err, ErrLimit)
	require.ErrorIs(t, <-hung, context.DeadlineExceeded)
	require.Eventually(t, func() bool { return held.Load() == 0 }, time.Second, time.Millisecond)
	_, err = g.Do(t.Context(), "other")
	require.NoError(t, err)
}

func BenchmarkDo(b *testing.B) {
	g := hangingGroup(time.Second)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := g.Do(b.Context(), "other"); err != nil {
			b.Fatal(err)
		}
	}
}
