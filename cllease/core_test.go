package cllease

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/durationpb"
	"pgregory.net/rapid"

	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clstore"
)

const testTTL = 12 * time.Second

type (
	// process is one contender with its own clock and at most one awaited call.
	process struct {
		core   *Core
		offset time.Duration
		call   *request
		boots  int
	}

	// request is a call on its way; it may take effect after its answer was given up.
	request struct {
		d       Decision
		applied bool
		object  clstore.Object
		kind    clstore.Kind
	}

	// world is a store, processes and requests in any interleaving.
	world struct {
		t       *rapid.T
		now     time.Time
		object  clstore.Object
		version uint64
		procs   []*process
		lost    []*request
		// fencing is the number of the holder seen last, and its process.
		fencing uint64
		holder  *Core
	}
)

func (w *world) boot(p *process, name int) {
	p.boots++
	core, err := NewCore(Config{Key: "lease/x", Holder: fmt.Sprintf("p%d-%d", name, p.boots), TTL: testTTL})
	require.NoError(w.t, err)
	p.core, p.call = core, nil
}

func (w *world) clock(p *process) time.Time { return w.now.Add(p.offset) }

func (w *world) pick(label string, ok func(*process) bool) *process {
	var among []*process
	for _, p := range w.procs {
		if ok(p) {
			among = append(among, p)
		}
	}
	if len(among) == 0 {
		w.t.Skip("none")
	}
	return rapid.SampledFrom(among).Draw(w.t, label)
}

// apply lets the store execute a request.
func (w *world) apply(r *request) {
	r.applied, r.kind, r.object = true, clstore.KindNone, w.object
	switch {
	case r.d.Action == ActionRead && w.object.Version == 0:
		r.kind = clstore.KindNotFound
	case r.d.Action == ActionUpdate && r.d.IfVersion != w.object.Version:
		r.kind = clstore.KindConflict
	case r.d.Action == ActionUpdate:
		w.version++
		w.object = clstore.Object{Key: "lease/x", Value: r.d.Value, Version: w.version}
		r.object = w.object
	}
}

func (w *world) deliver(p *process, kind clstore.Kind) {
	r := p.call
	p.call = nil
	if r.d.Action == ActionRead {
		p.core.Observed(w.clock(p), r.object, kind)
	} else {
		p.core.Updated(w.clock(p), r.object.Version, kind)
	}
}

func (w *world) step(p *process) {
	if p.call != nil {
		return
	}
	if d := p.core.Next(w.clock(p)); d.Action != ActionWait {
		p.call = &request{d: d}
	}
}

func (w *world) answer(p *process) {
	if p.call == nil {
		return
	}
	if !p.call.applied {
		w.apply(p.call)
	}
	w.deliver(p, p.call.kind)
}

func (w *world) actions() map[string]func(*rapid.T) {
	waiting := func(p *process) bool { return p.call != nil }
	return map[string]func(*rapid.T){
		"advance": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
		},
		"pause": func(t *rapid.T) { w.now = w.now.Add(testTTL) },
		"work": func(t *rapid.T) {
			p := w.pick("p", func(*process) bool { return true })
			for range rapid.IntRange(1, 4).Draw(t, "calls") {
				w.step(p)
				w.answer(p)
			}
		},
		"time and work": func(t *rapid.T) {
			idle := rapid.IntRange(0, len(w.procs)-1).Draw(t, "idle")
			for range rapid.IntRange(1, 20).Draw(t, "seconds") {
				w.now = w.now.Add(time.Second)
				for i, p := range w.procs {
					if i != idle {
						w.step(p)
						w.answer(p)
						w.check(t)
					}
				}
			}
		},
		"step": func(t *rapid.T) { w.step(w.pick("p", func(p *process) bool { return p.call == nil })) },
		"answer": func(t *rapid.T) {
			w.answer(w.pick("p", waiting))
		},
		"apply": func(t *rapid.T) {
			w.apply(w.pick("p", func(p *process) bool { return waiting(p) && !p.call.applied }).call)
		},
		"lose answer": func(t *rapid.T) {
			p := w.pick("p", waiting)
			if !p.call.applied {
				w.lost = append(w.lost, p.call)
			}
			w.deliver(p, clstore.KindUnknown)
		},
		"lose update and read back": func(t *rapid.T) {
			p := w.pick("p", func(p *process) bool { return p.call == nil })
			p.core.SetWanted(rapid.Bool().Draw(t, "wanted"))
			if d := p.core.Next(w.clock(p)); d.Action == ActionWait && !d.Until.IsZero() {
				w.now = w.now.Add(d.Until.Sub(w.clock(p)))
			}
			w.step(p)
			if p.call != nil && p.call.d.Action == ActionUpdate {
				w.lost = append(w.lost, p.call)
				w.deliver(p, clstore.KindUnknown)
				p.core.SetWanted(true)
				w.now = w.now.Add(testTTL / 12)
				w.step(p)
				w.answer(p)
			}
		},
		"apply lost request": func(t *rapid.T) {
			if len(w.lost) == 0 {
				t.Skip("none")
			}
			w.apply(w.lost[0])
			w.lost = w.lost[1:]
		},
		"outage": func(t *rapid.T) {
			w.deliver(w.pick("p", func(p *process) bool { return waiting(p) && !p.call.applied }), clstore.KindUnavailable)
		},
		"restart": func(t *rapid.T) {
			if i := rapid.IntRange(0, 4*len(w.procs)).Draw(t, "i"); i < len(w.procs) {
				w.boot(w.procs[i], i)
			}
		},
		"want": func(t *rapid.T) {
			w.pick("p", func(*process) bool { return true }).core.SetWanted(rapid.IntRange(0, 2).Draw(t, "wanted") > 0)
		},
		"": w.check,
	}
}

// check guards against two holders at one time, a fencing number that does not
// rise with the holder, and allowances whose sum exceeds the whole.
func (w *world) check(t *rapid.T) {
	held, sum := 0, 0.0
	for _, p := range w.procs {
		s := p.core.State(w.clock(p))
		whole := math.Pow(2, -float64(s.AllowanceHalvings))
		switch {
		case s.Held:
			held++
			sum += whole
			if p.core != w.holder {
				require.Greater(t, s.Fencing, w.fencing, "the fencing number did not rise")
			}
			w.fencing, w.holder = s.Fencing, p.core
		case s.Lapsed:
			sum += whole / 2
			require.Equal(t, p.core.cfg.Holder, s.Holder, "lapsed although a successor is known")
		}
	}
	require.LessOrEqual(t, held, 1, "two processes trust the lease")
	require.LessOrEqual(t, sum, 1.0, "the allowances exceed the whole")
}

// TestCoreSafety fails without the TTL wait, the margin, the count from before
// sending, the distrust after a release, or the halving.
func TestCoreSafety(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: time.Unix(1_000_000, 0)}
		for i := range 3 {
			p := &process{offset: time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "offset")) * time.Second}
			w.boot(p, i)
			w.procs = append(w.procs, p)
		}
		t.Repeat(w.actions())
	})
}

// TestCoreProgress fails if a live process cannot get the lease after its
// holder died, whatever happened before.
func TestCoreProgress(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, now: time.Unix(1_000_000, 0), procs: []*process{{}, {}}}
		w.boot(w.procs[0], 0)
		w.boot(w.procs[1], 1)
		t.Repeat(w.actions())
		p := w.procs[1]
		p.core.SetWanted(true)
		for end := w.now.Add(3 * testTTL); !p.core.State(w.clock(p)).Held; w.now = w.now.Add(testTTL / 100) {
			require.True(t, w.now.Before(end), "the lease was not acquired in 3 TTL")
			w.step(p)
			w.answer(p)
		}
	})
}

// TestCoreFirstDecision guards what a process does with each content it finds first.
func TestCoreFirstDecision(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	other := &clstate.Lease{Holder: "other", Fencing: 7, Renewal: 3, Ttl: durationpb.New(time.Minute), AllowanceHalvings: 1}
	released := proto.CloneOf(other)
	released.Released = true
	tests := []struct {
		name     string
		content  *clstate.Lease
		after    time.Duration
		action   Action
		fencing  uint64
		halvings uint32
	}{
		{"no object", nil, 0, ActionUpdate, 1, 0},
		{"released", released, 0, ActionUpdate, 8, 1},
		{"held", other, 0, ActionWait, 0, 0},
		{"held, before the holder's TTL", other, time.Minute - 1, ActionRead, 0, 0},
		{"lapsed", other, time.Minute, ActionUpdate, 8, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c, err := NewCore(Config{Key: "lease/x", Holder: "me", TTL: testTTL})
			require.NoError(t, err)
			require.Equal(t, ActionRead, c.Next(now).Action)
			kind, value := clstore.KindNotFound, []byte(nil)
			if tt.content != nil {
				value, err = proto.Marshal(tt.content)
				require.NoError(t, err)
				kind = clstore.KindNone
			}
			c.Observed(now, clstore.Object{Value: value, Version: 5}, kind)
			d := c.Next(now.Add(tt.after))
			require.Equal(t, tt.action, d.Action)
			l := &clstate.Lease{}
			require.NoError(t, proto.Unmarshal(d.Value, l))
			require.Equal(t, tt.fencing, l.Fencing)
			require.Equal(t, tt.halvings, l.AllowanceHalvings)
		})
	}
}

// TestLapsedUntilRenewed guards against a holder that gives up in an outage
// because a single read succeeds: nobody can have taken the lease over, and
// nobody else would do its work until the outage ends.
func TestLapsedUntilRenewed(t *testing.T) {
	start := time.Unix(1000, 0)
	c, err := NewCore(Config{Key: "lease/k", Holder: "a", TTL: 3 * time.Second})
	require.NoError(t, err)
	c.Observed(start, clstore.Object{}, clstore.KindNotFound)
	d := c.Next(start)
	require.Equal(t, ActionUpdate, d.Action)
	c.Updated(start, 1, clstore.KindNone)
	require.True(t, c.State(start).Held)
	held := clstore.Object{Key: "lease/k", Value: d.Value, Version: 1}
	lapsed := start.Add(3 * time.Second)
	steps := []struct {
		name         string
		event        func(now time.Time)
		held, lapsed bool
	}{
		{"the answer to a renewal is lost", func(now time.Time) { c.Next(now); c.Updated(now, 0, clstore.KindUnknown) }, false, true},
		{"a read succeeds", func(now time.Time) { c.Observed(now, held, clstore.KindNone) }, false, true},
		{"the next renewal fails", func(now time.Time) { c.Next(now); c.Updated(now, 0, clstore.KindUnavailable) }, false, true},
		{"a renewal that was first sent long ago is confirmed", func(now time.Time) { c.Next(now); c.Updated(now, 2, clstore.KindNone) }, false, true},
		{"the next renewal succeeds", func(now time.Time) { c.Next(now); c.Updated(now, 3, clstore.KindNone) }, true, false},
	}
	for i, s := range steps {
		now := lapsed.Add(time.Duration(i) * time.Second)
		s.event(now)
		got := c.State(now)
		require.Equal(t, s.held, got.Held, s.name)
		require.Equal(t, s.lapsed, got.Lapsed, s.name)
		require.EqualValues(t, 1, got.Fencing, s.name)
	}
}
