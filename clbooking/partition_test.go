package clbooking

import (
	"context"
	"fmt"
	"maps"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clstore"
)

const (
	stClaimed  = clstate.BookingState_BOOKING_STATE_CLAIMED
	stDone     = clstate.BookingState_BOOKING_STATE_DONE
	stUnknown  = clstate.BookingState_BOOKING_STATE_UNKNOWN
	stReleased = clstate.BookingState_BOOKING_STATE_RELEASED
)

type (
	// process is one entry: its core, at most one awaited call and the attempts it made.
	process struct {
		core     *Partition
		call     *request
		attempts []*attempt
		// asked holds what waits for an answer of this process's core.
		asked map[Ticket]*question
	}

	// attempt is one try of a call; its maker may send it once.
	attempt struct {
		record                     *clstate.BookingRecord
		proceed, sent, gone, ended bool
	}

	// question is an operation, the attempt it was made for (nil for a lookup),
	// and the finished attempt that it must return, if one was confirmed before.
	question struct {
		of   *attempt
		key  Key
		done string
	}

	// request is a call on its way; it may take effect after its answer was given up.
	request struct {
		step    Step
		applied bool
		result  Result
	}

	world struct {
		t     *rapid.T
		now   time.Time
		store *clstore.Memory
		procs []*process
		lost  []*request
		ids   *AttemptIDs
		epoch int
		slots uint64
		// ran is the attempt that was sent for each key, done the one whose answer was confirmed.
		ran, done map[Key]string
	}
)

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.UnixMilli(1_700_000_000_000), store: &clstore.Memory{}}
	w.slots = uint64(rapid.IntRange(1, 4).Draw(t, "slots"))
	w.reset()
	for range 3 {
		w.procs = append(w.procs, w.boot())
	}
	return w
}

// reset starts an epoch after the resend window; records of earlier ones may still be found.
func (w *world) reset() {
	w.ran, w.done, w.epoch = map[Key]string{}, map[Key]string{}, w.epoch+1
	w.ids = &AttemptIDs{Boot: fmt.Sprintf("e%d", w.epoch)}
}

func (w *world) boot() *process {
	policy := Policy{SealBytes: rapid.IntRange(1, 300).Draw(w.t, "seal")}
	return &process{core: NewPartition(PartitionConfig{Service: "s", Policy: policy, LogSlots: w.slots, FalsePositives: 0.5}), asked: map[Ticket]*question{}}
}

func (w *world) proc() *process { return rapid.SampledFrom(w.procs).Draw(w.t, "p") }

// attempt returns a random attempt of p, or nil.
func (w *world) attempt(p *process, ok func(*attempt) bool) *attempt {
	var among []*attempt
	for _, a := range p.attempts {
		if ok(a) {
			among = append(among, a)
		}
	}
	if len(among) == 0 {
		return nil
	}
	return rapid.SampledFrom(among).Draw(w.t, "attempt")
}

func (w *world) step(p *process) {
	if p.call == nil {
		if s := p.core.Next(w.now); s.Action != ActionWait {
			p.call = &request{step: s}
		}
		w.collect(p)
	}
}

// apply lets the store execute a request.
func (w *world) apply(r *request) {
	var err error
	switch s := r.step; s.Action {
	case ActionRead:
		r.result.Object, err = w.store.Get(context.Background(), s.Name)
	case ActionUpdate:
		r.result.Version, err = w.store.Update(context.Background(), s.Name, s.Value, s.IfVersion)
	case ActionDelete:
		err = w.store.Delete(context.Background(), s.Name, s.IfVersion)
	}
	r.applied, r.result.Kind = true, clstore.KindOf(err)
}

func (w *world) answer(p *process) {
	if p.call != nil {
		if !p.call.applied {
			w.apply(p.call)
		}
		w.deliver(p, p.call.result)
	}
}

func (w *world) deliver(p *process, r Result) {
	p.call = nil
	p.core.Deliver(w.now, r)
	w.collect(p)
}

// submit gives an operation to the core of q; the core may belong to another process than the attempt.
func (w *world) submit(q *process, a *attempt, r *clstate.BookingRecord) {
	t, err := q.core.Submit(w.now, r)
	require.NoError(w.t, err)
	q.asked[t] = &question{of: a, key: keyOf(r), done: w.done[keyOf(r)]}
}

// collect takes the answers of p's core. It guards against an answer that
// belongs to another run, and against the loss of a confirmed outcome.
func (w *world) collect(p *process) {
	p.core.settle()
	for _, c := range p.core.Completed() {
		q := p.asked[c.Ticket]
		delete(p.asked, c.Ticket)
		old := c.Record != nil && !strings.HasPrefix(c.Record.AttemptId, w.ids.Boot+"-")
		if q == nil || c.Err != nil || old && q.done == "" {
			continue
		}
		if q.done != "" {
			require.Equal(w.t, q.done, c.Record.GetAttemptId(), "a confirmed outcome was lost")
			require.Equal(w.t, stDone, c.Record.GetState())
		}
		if c.Record.GetState() == stDone {
			require.Equal(w.t, w.ran[q.key], c.Record.AttemptId, "an answer of a call that did not run")
			require.Equal(w.t, c.Record.AttemptId, string(c.Record.Answer.Body))
			w.done[q.key] = c.Record.AttemptId
		}
		if a := q.of; a != nil && !a.gone && !a.sent && Judge(a.record, c.Record) == VerdictProceed {
			a.proceed = true
		}
	}
}

// send sends a call. It guards P7: one key never runs twice.
func (w *world) send(a *attempt) {
	key := keyOf(a.record)
	require.Empty(w.t, w.ran[key], "the call ran twice")
	w.ran[key], a.sent = a.record.AttemptId, true
}

func (w *world) actions() map[string]func(*rapid.T) {
	all := func(*attempt) bool { return true }
	return map[string]func(*rapid.T){
		"advance": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "ms")) * time.Millisecond)
		},
		"claim": func(*rapid.T) {
			p := w.proc()
			key := KeyOf("a", "s", fmt.Sprint(rapid.IntRange(0, 4).Draw(w.t, "key")))
			a := &attempt{record: &clstate.BookingRecord{Key: key[:], BodyDigest: []byte("12345678"),
				AttemptId: w.ids.Next(), State: stClaimed, ClaimedUnixMs: w.now.UnixMilli()}}
			p.attempts = append(p.attempts, a)
			w.submit(w.proc(), a, a.record)
		},
		"claim again elsewhere": func(*rapid.T) {
			if a := w.attempt(w.proc(), func(a *attempt) bool { return !a.gone && !a.sent }); a != nil {
				w.submit(w.proc(), a, a.record)
			}
		},
		"send": func(*rapid.T) {
			if a := w.attempt(w.proc(), func(a *attempt) bool { return a.proceed && !a.sent && !a.gone }); a != nil {
				w.send(a)
			}
		},
		"finish": func(t *rapid.T) {
			if a := w.attempt(w.proc(), func(a *attempt) bool { return a.sent }); a != nil {
				state, answer := stDone, &clstate.BookingAnswer{Body: []byte(a.record.AttemptId)}
				if !a.ended && rapid.Bool().Draw(t, "unknown") {
					state, answer = stUnknown, nil
				}
				a.ended = true
				w.submit(w.proc(), nil, withState(a.record, state, answer))
			}
		},
		"release": func(*rapid.T) {
			if a := w.attempt(w.proc(), func(a *attempt) bool { return !a.sent }); a != nil {
				a.gone = true
				w.submit(w.proc(), nil, withState(a.record, stReleased, nil))
			}
		},
		"lookup": func(*rapid.T) {
			if a := w.attempt(w.proc(), all); a != nil {
				q := w.proc()
				t, err := q.core.Lookup(w.now, keyOf(a.record))
				require.NoError(w.t, err)
				q.asked[t] = &question{key: keyOf(a.record), done: w.done[keyOf(a.record)]}
			}
		},
		"step":   func(*rapid.T) { w.step(w.proc()) },
		"answer": func(*rapid.T) { w.answer(w.proc()) },
		"work": func(t *rapid.T) {
			p := w.proc()
			for range rapid.IntRange(1, 8).Draw(t, "calls") {
				w.step(p)
				w.answer(p)
				w.now = w.now.Add(30 * time.Millisecond)
			}
		},
	}
}

// faults are the actions of the network, the store and the machines.
func (w *world) faults() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"apply": func(*rapid.T) {
			if p := w.proc(); p.call != nil && !p.call.applied {
				w.apply(p.call)
			}
		},
		"lose answer": func(*rapid.T) {
			if p := w.proc(); p.call != nil {
				if !p.call.applied {
					w.lost = append(w.lost, p.call)
				}
				w.deliver(p, Result{Kind: clstore.KindUnknown})
			}
		},
		"apply lost request": func(*rapid.T) {
			if len(w.lost) > 0 {
				w.apply(w.lost[0])
				w.lost = w.lost[1:]
			}
		},
		"outage": func(*rapid.T) {
			if p := w.proc(); p.call != nil && !p.call.applied {
				w.deliver(p, Result{Kind: clstore.KindUnavailable})
			}
		},
		"restart": func(t *rapid.T) {
			if i := rapid.IntRange(0, 4*len(w.procs)).Draw(t, "i"); i < len(w.procs) {
				w.procs[i] = w.boot()
			}
		},
		"expire": func(t *rapid.T) {
			if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
				// Nobody is paused for the whole window, and the window ends every promise about opaque keys.
				w.now = w.now.Add(defaultWindow + clockSlack + time.Minute)
				for i := range w.procs {
					w.procs[i] = w.boot()
				}
				w.reset()
			}
		},
	}
}

// TestPartitionRunsOnce fails if a key runs twice, an answer belongs to
// another run, a confirmed outcome is lost, or operations do not end after the
// faults did.
func TestPartitionRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		actions := w.actions()
		maps.Copy(actions, w.faults())
		t.Repeat(actions)
		pending := func() (n int) {
			for _, p := range w.procs {
				n += p.core.Pending()
			}
			return n
		}
		for end := w.now.Add(time.Minute); pending() > 0; w.now = w.now.Add(10 * time.Millisecond) {
			require.True(t, w.now.Before(end), "operations did not end")
			for _, p := range w.procs {
				w.step(p)
				w.answer(p)
			}
		}
	})
}

// run executes an operation alone and returns its end.
func (w *world) run(p *Partition, r *clstate.BookingRecord) (*clstate.BookingRecord, error) {
	if _, err := p.Submit(w.now, r); err != nil {
		return nil, err
	}
	for {
		s := p.Next(w.now)
		if done := p.Completed(); len(done) > 0 {
			return done[0].Record, done[0].Err
		}
		if s.Action == ActionWait {
			w.now = s.Until
			continue
		}
		q := &request{step: s}
		w.apply(q)
		p.Deliver(w.now, q.result)
	}
}

func (w *world) claim(n int, attempt string) *clstate.BookingRecord {
	key := KeyOf("a", "s", fmt.Sprint(n))
	return &clstate.BookingRecord{Key: key[:], AttemptId: attempt, State: stClaimed, ClaimedUnixMs: w.now.UnixMilli()}
}

// TestSealedKeysStayKnown guards the segments: after many seals a new process
// still finds each claim, and removes segments only after the window. A filter
// that is often wrong guards against a false positive that passes for a claim.
func TestSealedKeysStayKnown(t *testing.T) {
	for _, falsePositives := range []float64{defaultFalsePositives, 0.5} {
		t.Run(fmt.Sprint(falsePositives), func(t *testing.T) { sealedKeysStayKnown(t, falsePositives) })
	}
}

func sealedKeysStayKnown(t *testing.T, falsePositives float64) {
	w := &world{now: time.UnixMilli(1_700_000_000_000), store: &clstore.Memory{}}
	cfg := PartitionConfig{Service: "s", Policy: Policy{SealBytes: 500}, FalsePositives: falsePositives}
	attempt := func(p *Partition, key int, id string) string {
		r, err := w.run(p, w.claim(key, id))
		require.NoError(t, err)
		return r.AttemptId
	}
	const n = 100
	p := NewPartition(cfg)
	for i := range n {
		require.Equal(t, "first", attempt(p, i, "first"))
	}
	require.Greater(t, len(p.view.head.Segments), 5)
	fresh := NewPartition(cfg)
	for i := range n {
		require.Equal(t, "first", attempt(fresh, i, "second"))
	}
	w.now = w.now.Add(defaultWindow + clockSlack + time.Hour)
	for i := range n {
		require.Equal(t, "second", attempt(fresh, n+i, "second"))
	}
	late := NewPartition(cfg)
	require.Equal(t, "third", attempt(late, 1, "third"))
	require.Equal(t, "second", attempt(late, n, "third"))
	require.Equal(t, late.view.head.NextSegment-late.view.head.Segments[0].Number, uint64(len(late.view.head.Segments)))
	require.NotZero(t, late.view.head.Segments[0].Number, "the expired segment is still listed")
	_, err := w.store.Get(context.Background(), SegmentName("s", 0, 0))
	require.Equal(t, clstore.KindNotFound, clstore.KindOf(err), "the expired segment was not deleted")
}

// TestUncertainClaimsFail guards against a claim that is answered although its
// segment is missing before its expiry, or its record would expire at once.
func TestUncertainClaimsFail(t *testing.T) {
	w := &world{now: time.UnixMilli(1_700_000_000_000), store: &clstore.Memory{}}
	cfg := PartitionConfig{Service: "s", Policy: Policy{SealBytes: 1}}
	p := NewPartition(cfg)
	for i := range 2 {
		_, err := w.run(p, w.claim(i, "first"))
		require.NoError(t, err)
	}
	late := w.claim(2, "late")
	_, err := p.Submit(w.now, late)
	require.NoError(t, err)
	w.now = w.now.Add(clockSlack + time.Second)
	p.Next(w.now)
	require.Equal(t, KindUnavailable, KindOf(p.Completed()[0].Err), "a claim was stored long after its time")
	_, err = w.run(p, late)
	require.Equal(t, KindInvalid, KindOf(err), "a claim with an old time was stored")

	require.NoError(t, w.store.Delete(context.Background(), SegmentName("s", 0, 0), p.view.segments[0].version))
	_, err = w.run(NewPartition(cfg), w.claim(0, "second"))
	require.Equal(t, KindCorrupt, KindOf(err), "a claim was answered without its segment")
}
