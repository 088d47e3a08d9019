// This file tests the lease against a simple model, on a store that returns from older
// copies.

package cllease

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/chestnutlead/chestnutlead/clstore"
)

type (
	// contender is one process with its own clock. A restart gives it a new runner, a new
	// name and a new link.
	contender struct {
		runner *Runner
		link   *eraLink
		offset time.Duration
		boots  int
	}

	// eraLink is one process's way to the store. Anything may happen between a call, its
	// execution and its answer.
	eraLink struct {
		world  *returningWorld
		client *clstore.Client
		// known is the era that answers have stated; client.Era is ahead of it while an
		// answer is on its way.
		known uint64
		busy  bool
	}

	// lateUpdate is an update whose answer was given up and that is not executed yet.
	lateUpdate struct {
		key     string
		value   []byte
		version uint64
	}

	// returningWorld is a store that returns from older copies, and contenders for one
	// lease.
	returningWorld struct {
		t          *rapid.T
		memory     clstore.Memory
		now        time.Time
		contenders []*contender
		snapshots  []*clstore.Snapshot
		late       []lateUpdate
		// bareVersions says that versions do not differ between eras.
		bareVersions bool
		// depth is the number of calls on their way of which one contains the other;
		// quiet says that nothing goes wrong any more.
		depth int
		quiet bool
		// users holds who held the lease with each number, and highest is the highest
		// such number.
		users   map[uint64]numberUser
		highest uint64
	}

	// numberUser is the process that held the lease with a number, and the era that it
	// knew then.
	numberUser struct {
		runner *Runner
		era    uint64
	}

	// fate is what happens to one call.
	fate int
)

const (
	fatePlain fate = iota
	fateBefore
	fateAfter
	fateBoth
	fateLostAnswer
	fateLateRequest
	fateUnavailable

	// fates leaves most calls as they are.
	fates = 14

	// memoryVersion selects the Memory's part of a client's version.
	memoryVersion     = 1<<memoryVersionBits - 1
	memoryVersionBits = 48
)

var (
	_ clstore.Store    = (*eraLink)(nil)
	_ clstore.EraStore = (*eraLink)(nil)
)

// Era implements clstore.EraStore.
func (l *eraLink) Era() uint64 { return l.known }

// Get implements clstore.Store.
func (l *eraLink) Get(ctx context.Context, key string) (o clstore.Object, err error) {
	l.call(func(bool) {
		o, err = l.client.Get(ctx, key)
		o.Version = l.world.fromClient(o.Version)
	})
	return o, err
}

// Update implements clstore.Store.
func (l *eraLink) Update(ctx context.Context, key string, value []byte, ifVersion uint64) (version uint64, err error) {
	l.call(func(late bool) {
		if l.world.bareVersions && ifVersion != 0 {
			ifVersion |= l.client.Era() << memoryVersionBits
		}
		version, err = l.client.Update(ctx, key, value, ifVersion)
		version = l.world.fromClient(version)
		if late && clstore.KindOf(err) == clstore.KindUnknown {
			l.world.late = append(l.world.late, lateUpdate{key, value, ifVersion & memoryVersion})
		}
	})
	return version, err
}

func (l *eraLink) call(execute func(late bool)) {
	f := fatePlain
	if !l.world.quiet {
		f = fate(rapid.IntRange(0, fates).Draw(l.world.t, "fate"))
	}
	if f == fateBefore || f == fateBoth {
		l.world.meanwhile()
	}
	fault := clstore.FaultNone
	switch f {
	case fateLostAnswer:
		fault = clstore.FaultLostAnswer
	case fateLateRequest:
		fault = clstore.FaultLostRequest
	case fateUnavailable:
		fault = clstore.FaultUnavailable
	}
	l.world.memory.Fault = func(string, string) clstore.Fault { return fault }
	execute(f == fateLateRequest)
	l.world.memory.Fault = nil
	if f == fateAfter || f == fateBoth || f == fateLostAnswer {
		l.world.meanwhile()
	}
	l.known = l.client.Era()
}

func newReturningWorld(t *rapid.T, n int) *returningWorld {
	w := &returningWorld{t: t, now: time.Unix(1_000_000, 0), users: map[uint64]numberUser{}}
	w.bareVersions = rapid.Bool().Draw(t, "bare versions")
	for i := range n {
		c := &contender{offset: time.Duration(rapid.IntRange(-3600, 3600).Draw(t, "offset")) * time.Second}
		w.boot(c, i)
		w.contenders = append(w.contenders, c)
	}
	w.snapshots = append(w.snapshots, w.memory.Snapshot())
	return w
}

// fromClient returns the version that contenders get for one of a client.
func (w *returningWorld) fromClient(version uint64) uint64 {
	if w.bareVersions {
		return version & memoryVersion
	}
	return version
}

func (w *returningWorld) boot(c *contender, i int) {
	c.boots++
	c.link = &eraLink{world: w, client: w.memory.Client()}
	c.runner = &Runner{
		Config: Config{Key: "lease/x", Holder: fmt.Sprintf("p%d-%d", i, c.boots), TTL: testTTL},
		Store:  c.link,
		Now:    func() time.Time { return w.now.Add(c.offset) },
	}
	require.NoError(w.t, c.runner.init())
}

func (w *returningWorld) contender(t *rapid.T) *contender {
	return rapid.SampledFrom(w.contenders).Draw(t, "contender")
}

// step makes c's next call, unless it waits for one.
func (w *returningWorld) step(c *contender) {
	l := c.link
	if l.busy {
		return
	}
	if _, d, _, _ := c.runner.next(); d.Action != ActionWait {
		l.busy = true
		c.runner.call(context.Background(), d)
		l.busy = false
	}
}

// meanwhile lets other things happen during a call.
func (w *returningWorld) meanwhile() {
	if w.depth == 2 {
		return
	}
	w.depth++
	events := w.events()
	names := slices.Sorted(maps.Keys(events))
	for range rapid.IntRange(1, 3).Draw(w.t, "events") {
		events[rapid.SampledFrom(names).Draw(w.t, "event")](w.t)
		w.check(w.t)
	}
	w.depth--
}

// events returns what may happen at any moment.
func (w *returningWorld) events() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"advance": func(t *rapid.T) {
			w.now = w.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
		},
		"pause": func(*rapid.T) { w.now = w.now.Add(testTTL) },
		"work": func(t *rapid.T) {
			c := w.contender(t)
			for range rapid.IntRange(1, 4).Draw(t, "calls") {
				w.step(c)
				w.check(t)
			}
		},
		"time and work": func(t *rapid.T) {
			idle := rapid.IntRange(0, len(w.contenders)-1).Draw(t, "idle")
			for range rapid.IntRange(1, 20).Draw(t, "seconds") {
				w.now = w.now.Add(time.Second)
				for i, c := range w.contenders {
					if i != idle {
						w.step(c)
						w.check(t)
					}
				}
			}
		},
		"wait": func(t *rapid.T) {
			c := w.contender(t)
			if now, d, _, _ := c.runner.next(); !c.link.busy && d.Action == ActionWait && !d.Until.IsZero() {
				w.now = w.now.Add(d.Until.Sub(now))
				w.step(c)
			}
		},
		"return": func(t *rapid.T) {
			for range rapid.IntRange(1, 2).Draw(t, "returns") {
				ago := rapid.IntRange(0, len(w.snapshots)-1).Draw(t, "ago")
				w.memory.Restore(w.snapshots[len(w.snapshots)-1-ago])
			}
		},
		// Another call of the process is answered.
		"learn": func(t *rapid.T) {
			l := w.contender(t).link
			_, err := l.client.Get(context.Background(), "other")
			require.Equal(t, clstore.KindNotFound, clstore.KindOf(err))
			l.known = l.client.Era()
		},
		"late update": func(t *rapid.T) {
			if len(w.late) == 0 {
				return
			}
			i := rapid.IntRange(0, len(w.late)-1).Draw(t, "update")
			u := w.late[i]
			w.late = append(w.late[:i:i], w.late[i+1:]...)
			if _, err := w.memory.Update(context.Background(), u.key, u.value, u.version); err != nil {
				require.Equal(t, clstore.KindConflict, clstore.KindOf(err))
			}
		},
		"restart": func(t *rapid.T) {
			if i := rapid.IntRange(0, 4*len(w.contenders)).Draw(t, "i"); i < len(w.contenders) {
				w.boot(w.contenders[i], i)
			}
		},
		"release": func(t *rapid.T) {
			c := w.contender(t)
			c.runner.SetWanted(false)
			w.step(c)
			c.runner.SetWanted(true)
		},
		"want": func(t *rapid.T) {
			w.contender(t).runner.SetWanted(rapid.IntRange(0, 2).Draw(t, "wanted") > 0)
		},
	}
}

// check compares what the contenders trust with the model: at most one of them holds the
// lease, in the era that it knows, and with a number that was its own before or is above all
// earlier ones.
func (w *returningWorld) check(t *rapid.T) {
	var holders []string
	for _, c := range w.contenders {
		s := c.runner.Current(w.now.Add(c.offset))
		if !s.Held {
			continue
		}
		holders = append(holders, c.runner.Config.Holder)
		if user, ok := w.users[s.Fencing]; ok {
			require.Same(t, user.runner, c.runner, "number %d has two holders", s.Fencing)
			require.Equal(t, w.highest, s.Fencing, "a holder goes back to an earlier number")
			require.Equal(t, user.era, c.link.known, "a lease of an earlier era is held")
			continue
		}
		require.Greater(t, s.Fencing, w.highest, "the number did not rise")
		w.users[s.Fencing], w.highest = numberUser{c.runner, c.link.known}, s.Fencing
	}
	require.LessOrEqual(t, len(holders), 1, "%v hold the lease at once", holders)
}

// Guards against two holders with one number, two holders at once, a number that falls
// below that of an earlier holder, and a lease that nobody gets any more, whenever and
// however often the store returns from an older copy.
func TestLeaseOnReturningStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newReturningWorld(t, 3)
		actions := w.events()
		actions[""] = func(t *rapid.T) {
			w.check(t)
			w.snapshots = append(w.snapshots, w.memory.Snapshot())
		}
		t.Repeat(actions)

		w.quiet = true
		for _, c := range w.contenders {
			c.runner.SetWanted(true)
		}
		for end := w.now.Add(4 * testTTL); w.now.Before(end); w.now = w.now.Add(testTTL / 60) {
			for _, c := range w.contenders {
				w.step(c)
			}
			w.check(t)
		}
		held := false
		for _, c := range w.contenders {
			held = held || c.runner.Current(w.now.Add(c.offset)).Held
		}
		require.True(t, held, "nobody holds the lease after 4 TTL without a fault")
	})
}
