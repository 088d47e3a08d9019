// This file defines changes of the configuration.

package clcontrol

import (
	"context"
	"slices"
	"time"

	"github.com/chestnutlead/chestnutlead/clpeer"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/go-faster/errors"
	"github.com/google/uuid"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/timestamppb"
)

const (
	pushFanout  = 4
	pushTimeout = time.Second
)

// editor changes the configuration by conditional updates and spreads each
// accepted revision.
type editor struct {
	store *store[*clstate.ConfigSnapshot]
	node  *clpeer.Node
	log   *zap.Logger
}

// change applies f to the current configuration; f reports whether it changed
// anything. The returned snapshot is accepted, and peers have been told.
func (e *editor) change(ctx context.Context, reason string, f func(*clstate.ConfigSnapshot) (bool, error)) (*clstate.ConfigSnapshot, error) {
	changed := false
	s, err := e.store.change(ctx, clpeer.ConfigKey, func(s *clstate.ConfigSnapshot) (bool, error) {
		var err error
		if changed, err = f(s); err != nil || !changed {
			return false, err
		}
		s.Revision++
		s.ProposalId = uuid.NewString()
		s.ProposedAt = timestamppb.Now()
		return true, validate(s)
	})
	if err != nil {
		return nil, errors.Wrap(err, "change configuration")
	}
	if changed {
		e.log.Info("Configuration accepted.", zap.Uint64("revision", s.GetRevision()), zap.String("reason", reason))
		e.spread(ctx, s)
	}
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
