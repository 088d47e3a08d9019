// This file defines the shell that stores a change.

package clrevision

import (
	"context"
	"time"

	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clstore"
)

// HeadKey is the object that holds the configuration.
const HeadKey = "config/head"

// Proposer stores changes in HeadKey. The exported fields are set before use.
type Proposer struct {
	Store clstore.Store
	// Now returns the time; nil means time.Now.
	Now func() time.Time
	// RetryAfter is the wait between reads after a lost answer; 0 means 100 ms.
	RetryAfter time.Duration
}

const defaultRetryAfter = 100 * time.Millisecond

// Propose stores a change and returns the accepted snapshot. A change with
// IfRevision 0 is applied again when another change came first. After a lost
// answer it reads the object back until ctx ends. The error is an Error, an InvalidError or the error of c.Apply.
func (p *Proposer) Propose(ctx context.Context, c Change) (*clstate.ConfigSnapshot, error) {
	now := p.Now
	if now == nil {
		now = time.Now
	}
	core := NewProposal(c, now)
	for {
		switch step := core.Next(); step.Action {
		case ActionRead:
			o, kind := p.read(ctx, core.Unresolved())
			core.Observed(o, kind)
		case ActionUpdate:
			_, err := p.Store.Update(ctx, HeadKey, step.Value, step.IfVersion)
			core.Updated(clstore.KindOf(err))
		case ActionDone:
			return core.Result()
		}
	}
}

// read reads the object; if persistent, until the store answers or ctx ends.
func (p *Proposer) read(ctx context.Context, persistent bool) (clstore.Object, clstore.Kind) {
	wait := p.RetryAfter
	if wait == 0 {
		wait = defaultRetryAfter
	}
	for {
		o, err := p.Store.Get(ctx, HeadKey)
		kind := clstore.KindOf(err)
		if !persistent || kind == clstore.KindNone || kind == clstore.KindNotFound {
			return o, kind
		}
		t := time.NewTimer(wait)
		select {
		case <-t.C:
		case <-ctx.Done():
			t.Stop()
			return o, kind
		}
	}
}
