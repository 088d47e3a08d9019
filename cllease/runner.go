// This file defines the runner, which executes a core's decisions.

package cllease

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/clstore"
)

type (
	// Runner keeps a lease until its context ends and then releases it. The
	// exported fields are set before Run.
	Runner struct {
		Config Config
		Store  clstore.Store
		// CallTimeout bounds each call of the store; 0 means TTL/4.
		CallTimeout time.Duration
		// ReleaseTimeout bounds the release when Run's context ends; 0 means TTL/3.
		ReleaseTimeout time.Duration
		// Now returns the time; nil means time.Now.
		Now func() time.Time
		// OnChange, if set, is called from Run when Held, Fencing, Lapsed,
		// Holder or AllowanceHalvings has changed. It must not block.
		OnChange func(State)

		once sync.Once
		mu   sync.Mutex
		core *Core
		err  error
		wake chan struct{}
		last State
		// stopping says that the loop ends when nothing is left to release.
		stopping bool
	}
)

// Run keeps the lease until ctx ends, releases it and returns nil. It returns
// an Error of KindConfig at once if the settings are wrong.
func (r *Runner) Run(ctx context.Context) error {
	if err := r.init(); err != nil {
		return err
	}
	r.loop(ctx)
	r.change(func() {
		r.core.SetWanted(false)
		r.stopping = true
	})
	timeout := r.ReleaseTimeout
	if timeout == 0 {
		timeout = r.Config.TTL / 3
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	r.loop(ctx)
	return nil
}

// Current says whether the lease is held at now, and with which fencing number.
func (r *Runner) Current(now time.Time) State {
	if r.init() != nil {
		return State{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.core.SetEra(now, clstore.EraOf(r.Store)) {
		r.signal()
	}
	return r.core.State(now)
}

// SetWanted says whether this process wants the lease; initially it does.
func (r *Runner) SetWanted(wanted bool) {
	r.change(func() { r.core.SetWanted(wanted) })
}

// SetHalvings stores a new count with the lease; see Core.SetHalvings.
func (r *Runner) SetHalvings(n uint32) {
	r.change(func() { r.core.SetHalvings(n) })
}

// SetPayload stores bytes for a successor; see Core.SetPayload.
func (r *Runner) SetPayload(b []byte) {
	if r.init() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.SetPayload(b)
}

// Inherited returns what the predecessor left; see Core.Inherited.
func (r *Runner) Inherited() (payload []byte, released bool) {
	if r.init() != nil {
		return nil, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Inherited()
}

// Released says whether this process's lease has been given back; see Core.Released.
func (r *Runner) Released() bool {
	if r.init() != nil {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Released()
}

// Reread makes a process that waits for the lease read it at once, for instance
// because it was told of a release.
func (r *Runner) Reread() {
	r.change(func() { r.core.Reread() })
}

// Err returns the error of the object last read, or nil.
func (r *Runner) Err() error {
	if err := r.init(); err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Err()
}

func (r *Runner) init() error {
	r.once.Do(func() {
		if r.Now == nil {
			r.Now = time.Now
		}
		if r.CallTimeout == 0 {
			r.CallTimeout = r.Config.TTL / 4
		}
		r.wake = make(chan struct{}, 1)
		r.core, r.err = NewCore(r.Config)
	})
	return r.err
}

func (r *Runner) change(f func()) {
	if r.init() != nil {
		return
	}
	r.mu.Lock()
	f()
	r.mu.Unlock()
	r.signal()
}

// signal wakes the loop if it waits.
func (r *Runner) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// loop executes decisions until ctx ends or, when stopping, nothing is left to do.
func (r *Runner) loop(ctx context.Context) {
	for ctx.Err() == nil {
		now, d, s, finished := r.next()
		r.notify(s)
		switch {
		case finished:
			return
		case d.Action == ActionWait:
			r.wait(ctx, now, d.Until, s)
		default:
			r.call(ctx, d)
		}
	}
}

// next returns the time, the decision and the state at that time, and whether a runner that
// is stopping has nothing left to do.
func (r *Runner) next() (now time.Time, d Decision, s State, finished bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now = r.Now()
	r.core.SetEra(now, clstore.EraOf(r.Store))
	d, s = r.core.Next(now), r.core.State(now)
	return now, d, s, r.stopping && d.Action == ActionWait && d.Until.IsZero()
}

// call executes one call. It outlives ctx by up to CallTimeout, because an
// abandoned update has an unknown outcome.
func (r *Runner) call(ctx context.Context, d Decision) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), r.CallTimeout)
	defer cancel()
	if d.Action == ActionRead {
		o, err := r.Store.Get(ctx, d.Key)
		r.answered(d, func(now time.Time) { r.core.Observed(now, o, clstore.KindOf(err)) })
		return
	}
	version, err := r.Store.Update(ctx, d.Key, d.Value, d.IfVersion)
	r.answered(d, func(now time.Time) { r.core.Updated(now, version, clstore.KindOf(err)) })
}

// answered reports the outcome of a call to the core. It drops the outcome if the store has
// begun a new era since the call was decided, which Current may have told the core already.
func (r *Runner) answered(d Decision, report func(now time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.Now()
	r.core.SetEra(now, clstore.EraOf(r.Store))
	if d.Key == clstore.KeyInEra(r.Config.Key, r.core.era) {
		report(now)
	}
}

// wait returns when ctx ends, at until, when the lease lapses, or on a change.
func (r *Runner) wait(ctx context.Context, now, until time.Time, s State) {
	var timeout <-chan time.Time
	if s.Held && (until.IsZero() || s.Until.Before(until)) {
		until = s.Until
	}
	if !until.IsZero() {
		t := time.NewTimer(until.Sub(now))
		defer t.Stop()
		timeout = t.C
	}
	select {
	case <-ctx.Done():
	case <-timeout:
	case <-r.wake:
	}
}

func (r *Runner) notify(s State) {
	last := r.last
	r.last = s
	last.Until, last.Origin = s.Until, s.Origin
	if r.OnChange != nil && last != s {
		r.OnChange(s)
	}
}
