// This file defines changes of the configuration.

package clcontrol

import (
	"context"
	"slices"
	"time"

	"github.com/chestnutlead/chestnutlead/clpeer"
	"github.com/chestnutlead/chestnutlead/clrevision"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

const (
	pushFanout  = 4
	pushTimeout = time.Second
	// proposeTimeout bounds a change with its reads after a lost answer; it is
	// below the operators' usual call timeout.
	proposeTimeout = 8 * time.Second
)

// editor changes the configuration by conditional updates and spreads each
// accepted revision.
type editor struct {
	proposer *clrevision.Proposer
	node     *clpeer.Node
	log      *zap.Logger
}

// errNoChange ends a proposal that would change nothing.
var errNoChange = errors.New("nothing to change")

// change applies f to the current configuration; f reports whether it changed
// anything. The returned snapshot is accepted, and peers have been told.
func (e *editor) change(ctx context.Context, reason string, f func(*clstate.ConfigSnapshot) (bool, error)) (*clstate.ConfigSnapshot, error) {
	return e.changeAt(ctx, 0, reason, f)
}

// changeAt is change for one revision only, unless that is 0.
func (e *editor) changeAt(ctx context.Context, revision uint64, reason string, f func(*clstate.ConfigSnapshot) (bool, error)) (*clstate.ConfigSnapshot, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	var current *clstate.ConfigSnapshot
	s, err := e.proposer.Propose(ctx, clrevision.Change{
		ProposalID: uuid.NewString(), IfRevision: revision,
		Apply: func(s *clstate.ConfigSnapshot) error {
			current = clone(s)
			changed, err := f(s)
			if err == nil && !changed {
				return errNoChange
			}
			return err
		},
	})
	if errors.Is(err, errNoChange) {
		return current, nil
	}
	if err != nil {
		return nil, errors.Wrap(err, "change configuration")
	}
	e.log.Info("Configuration accepted.", zap.Uint64("revision", s.GetRevision()), zap.String("reason", reason))
	e.spread(ctx, s)
	return s, nil
}

// spread pushes the snapshot before the change is reported as accepted, so
// that it takes effect even if the platform and this process fail next.
func (e *editor) spread(ctx context.Context, s *clstate.ConfigSnapshot) {
	e.node.ApplyConfig(s)
	ctx, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	taken := e.node.PushConfig(ctx, s, pushFanout)
	e.log.Debug("Configuration pushed.", zap.Uint64("revision", s.GetRevision()), zap.Int("peers", taken))
}

// replaceByName adds each new item or replaces the one of the same name.
func replaceByName[T interface{ GetName() string }](items, changes []T) []T {
	for _, c := range changes {
		i := slices.IndexFunc(items, func(x T) bool { return x.GetName() == c.GetName() })
		if i < 0 {
			items = append(items, c)
		} else {
			items[i] = c
		}
	}
	return items
}

func removeByName[T interface{ GetName() string }](items []T, names []string) []T {
	return slices.DeleteFunc(items, func(x T) bool { return slices.Contains(names, x.GetName()) })
}

func removeMove(s *clstate.ConfigSnapshot, planID string) bool {
	n := len(s.GetMoves())
	s.Moves = slices.DeleteFunc(s.Moves, func(m *clstate.Move) bool { return m.GetPlanId() == planID })
	return len(s.Moves) != n
}

func clone(s *clstate.ConfigSnapshot) *clstate.ConfigSnapshot {
	return proto.Clone(s).(*clstate.ConfigSnapshot)
}
