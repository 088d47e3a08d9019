package clbooking

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clstore"
)

// fleet is a set of ledgers that forward to the first, over a way that loses
// requests and answers.
type fleet struct {
	store   *clstore.Memory
	faulty  atomic.Bool
	ledgers []*Ledger
	ids     AttemptIDs
	mu      sync.Mutex
	random  *rand.Rand
	ran     map[string]int
}

func (f *fleet) chance(n int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faulty.Load() && f.random.IntN(n) == 0
}

func (f *fleet) start(ctx context.Context, t *testing.T, forward Forward) *Ledger {
	l := &Ledger{Config: PartitionConfig{Service: "s", Policy: Policy{SealBytes: 600}}, Partitions: 2, Store: f.store, Forward: forward}
	go func() { _ = l.Run(ctx) }()
	f.ledgers = append(f.ledgers, l)
	return l
}

// book is one try of a caller; it returns the answer's body if there is one.
func (f *fleet) book(ctx context.Context, l *Ledger, key string) (string, error) {
	r, err := l.NewRecord(Call{Account: "a", IdempotencyKey: key}, f.ids.Next(), "")
	if err != nil {
		return "", err
	}
	verdict, stored, err := l.Begin(ctx, r)
	switch {
	case err != nil:
		return "", err
	case verdict == VerdictReplay:
		return string(stored.Answer.Body), nil
	case verdict != VerdictProceed:
		return "", nil
	case f.chance(4):
		return "", l.Release(ctx, r)
	}
	f.mu.Lock()
	f.ran[key]++
	f.mu.Unlock()
	time.Sleep(20 * time.Millisecond)
	return key, l.Finish(r, stDone, &clstate.BookingAnswer{Body: []byte(key)})
}

// TestLedgersRunOnce guards P7 and the replay over whole ledgers: callers
// resend through any process while answers are lost between all of them.
func TestLedgersRunOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fleet{random: rand.New(rand.NewPCG(61204, 2)), ran: map[string]int{}, ids: AttemptIDs{Boot: "b"}}
		f.faulty.Store(true)
		f.store = &clstore.Memory{Fault: func(string, string) clstore.Fault {
			if f.chance(5) {
				return clstore.FaultLostAnswer
			}
			if f.chance(10) {
				return clstore.FaultUnavailable
			}
			return clstore.FaultNone
		}}
		usual := f.start(ctx, t, nil)
		forward := func(ctx context.Context, partition uint32, records []*clstate.BookingRecord) ([]*clstate.BookingRecord, bool, error) {
			if f.chance(5) {
				return nil, true, errors.New("request lost")
			}
			stored, err := usual.Apply(ctx, partition, records)
			if f.chance(5) {
				return nil, true, errors.New("answer lost")
			}
			return stored, true, err
		}
		f.start(ctx, t, forward)
		f.start(ctx, t, forward)
		var callers sync.WaitGroup
		for i := range 120 {
			callers.Go(func() {
				time.Sleep(time.Duration(i) * 7 * time.Millisecond)
				cctx, done := context.WithTimeout(ctx, time.Second)
				defer done()
				_, _ = f.book(cctx, f.ledgers[i%3], fmt.Sprint(i%40))
			})
		}
		callers.Wait()
		f.faulty.Store(false)
		_, err := f.book(ctx, f.ledgers[1], "last")
		require.NoError(t, err)
		for _, l := range f.ledgers {
			require.NoError(t, l.Flush(ctx))
		}
		fresh := f.start(ctx, t, nil)
		replayed := 0
		for key, n := range f.ran {
			require.Equal(t, 1, n, "key %s ran %d times", key, n)
			body, err := f.book(ctx, fresh, key)
			require.NoError(t, err)
			require.Equal(t, key, body, "the answer was lost")
			replayed++
		}
		require.Greater(t, replayed, 25)
		cancel()
		synctest.Wait()
	})
}

// TestLedgerOutage guards the truth of a refusal: while the store is down a
// claim fails, its withdrawal is written afterwards, and the key can be claimed again.
func TestLedgerOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var fault atomic.Int64
		l := &Ledger{Config: PartitionConfig{Service: "s"}, Store: &clstore.Memory{Fault: func(op, _ string) clstore.Fault {
			if f := clstore.Fault(fault.Load()); op == "update" || f == clstore.FaultUnavailable {
				return f
			}
			return clstore.FaultNone
		}}}
		go func() { _ = l.Run(ctx) }()
		begin := func(attempt string) (Verdict, error) {
			r, err := l.NewRecord(Call{Account: "a", IdempotencyKey: "k"}, attempt, "")
			require.NoError(t, err)
			cctx, done := context.WithTimeout(ctx, 20*time.Millisecond)
			defer done()
			v, _, err := l.Begin(cctx, r)
			return v, err
		}
		fault.Store(int64(clstore.FaultLostAnswer))
		_, err := begin("a-1")
		require.Equal(t, KindUnavailable, KindOf(err), "the claim took effect, but its caller gave up")
		fault.Store(int64(clstore.FaultUnavailable))
		_, err = begin("a-2")
		require.Equal(t, KindUnavailable, KindOf(err))
		fault.Store(int64(clstore.FaultNone))
		require.NoError(t, l.Flush(ctx))
		time.Sleep(defaultLinger)
		v, err := begin("a-3")
		require.NoError(t, err)
		require.Equal(t, VerdictProceed, v, "the withdrawn claim blocks the key")
		cancel()
		synctest.Wait()
	})
}
