// This file defines where plans are kept, and the move of finished ones.

package clcontrol

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/chestnutlead/chestnutlead/clplatform"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/go-faster/errors"
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"
)

const (
	planPrefix = "plan/"
	// finishedPrefix has the plans that are rejected, done or undone, so that a
	// sweep need not read them. It must not begin with planPrefix.
	finishedPrefix = "finished-plan/"
	// planRetention is how long finished plans are kept for operators to look at.
	planRetention = 7 * 24 * time.Hour
	// maxMoves bounds the plans that are moved between two rounds of the executor,
	// with 2 writes and a read each. A bad version must not wait for the thousands
	// that the first sweep after an update can find.
	maxMoves = 4
)

// planStore keeps open plans under one prefix and finished ones under another.
// A finished plan never changes again, which makes its move safe: it is first
// created at its new place and then deleted at the old one. Whoever reads the
// open place first and then the finished one therefore finds each plan, and may
// find it twice while it moves or after a crash between the two writes.
type planStore struct {
	store[*clstate.Plan]
}

func newPlanStore(objects clplatform.Objects) *planStore {
	return &planStore{store[*clstate.Plan]{
		objects: objects, newT: func() *clstate.Plan { return new(clstate.Plan) }, mark: (*clstate.Plan).GetUpdateId,
	}}
}

func finished(p *clstate.Plan) bool {
	switch p.GetState() {
	case clstate.PlanState_PLAN_STATE_REJECTED, clstate.PlanState_PLAN_STATE_DONE, clstate.PlanState_PLAN_STATE_UNDONE:
		return true
	default:
		return false
	}
}

// find returns a plan, open or finished; false if there is none.
func (s *planStore) find(ctx context.Context, id string) (*clstate.Plan, bool, error) {
	for _, prefix := range []string{planPrefix, finishedPrefix} {
		p, err := s.get(ctx, prefix+id)
		if err != nil || p.version > 0 {
			return p.value, err == nil, err
		}
	}
	return nil, false, nil
}

// all returns open and finished plans, each once, in the order of their IDs,
// which is that of their creation.
func (s *planStore) all(ctx context.Context) ([]*clstate.Plan, error) {
	open, err := s.list(ctx, planPrefix)
	if err != nil {
		return nil, err
	}
	done, err := s.list(ctx, finishedPrefix)
	if err != nil {
		return nil, err
	}
	plans := lo.UniqBy(append(done, open...), (*clstate.Plan).GetId)
	slices.SortFunc(plans, func(a, b *clstate.Plan) int { return strings.Compare(a.GetId(), b.GetId()) })
	return plans, nil
}

// change updates an open plan. For one that is finished or does not exist f
// would see an empty plan, so change returns a TransitionError instead, or an
// error of KindNotFound.
func (s *planStore) change(ctx context.Context, id string, to clstate.PlanState, f func(*clstate.Plan) (bool, error)) (*clstate.Plan, error) {
	return s.store.change(ctx, planPrefix+id, func(p *clstate.Plan) (bool, error) {
		if p.GetId() != "" {
			return f(p)
		}
		old, ok, err := s.find(ctx, id)
		if err != nil {
			return false, err
		}
		if !ok {
			return false, noPlan(id)
		}
		return false, &TransitionError{PlanID: id, From: old.GetState(), To: to, By: old.GetDecidedBy()}
	})
}

// moveFinished moves a finished plan to its place. It may be called again after
// a failure at any point, also by another process at the same time.
func (s *planStore) moveFinished(ctx context.Context, id string) error {
	o, err := s.objects.Get(ctx, planPrefix+id)
	if clplatform.KindOf(err) == clplatform.KindNotFound {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read "+planPrefix+id)
	}
	p := new(clstate.Plan)
	if err := proto.Unmarshal(o.Value, p); err != nil {
		return errors.Wrap(err, "decode "+o.Key)
	}
	if !finished(p) {
		return nil
	}
	// A conflict says that the plan is there already.
	err = s.put(ctx, finishedPrefix+id, p, 0)
	if err != nil && clplatform.KindOf(err) != clplatform.KindConflict {
		return errors.Wrap(err, "move plan "+id)
	}
	if err := s.objects.Delete(ctx, o.Key, o.Version); err != nil {
		return errors.Wrap(err, "delete "+o.Key)
	}
	return nil
}

// removeOld removes finished plans that were concluded before the time.
func (s *planStore) removeOld(ctx context.Context, before time.Time) error {
	plans, err := s.list(ctx, finishedPrefix)
	if err != nil {
		return err
	}
	for _, p := range plans {
		if p.GetChangedAt().AsTime().Before(before) {
			s.remove(ctx, finishedPrefix+p.GetId())
		}
	}
	return nil
}
