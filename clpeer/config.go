// This file defines how a node learns configuration revisions from the platform.

package clpeer

import (
	"context"
	"time"

	"github.com/chestnutlead/chestnutlead/clmember"
	"github.com/chestnutlead/chestnutlead/clplatform"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clwait"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

// ConfigKey is the object that holds the whole configuration.
const ConfigKey = "config/head"

const (
	watchRankKey     = "config-watch"
	configRetryDelay = 500 * time.Millisecond
)

// ConfigSource reads the configuration from the platform. A few processes of
// each data centre hold a waiting watch; the others read only when no peer is
// heard. Fields are set before Run.
type ConfigSource struct {
	Node    *Node
	Objects clplatform.Objects
	// Watchers is the number of processes of a data centre that hold a watch.
	Watchers int
	// Wait limits one watch.
	Wait time.Duration
	// PeerSilence is how long no peer is heard before a process without a
	// watch reads the platform.
	PeerSilence time.Duration
	Log         *zap.Logger

	version uint64
}

// Run keeps the configuration up to date until ctx ends.
func (s *ConfigSource) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		switch {
		case s.version == 0 || s.silent():
			s.read(ctx)
			s.pause(ctx, configRetryDelay)
		case s.watcher():
			s.watch(ctx)
		default:
			s.pause(ctx, configRetryDelay)
		}
	}
	return nil
}

func (s *ConfigSource) silent() bool {
	return !s.watcher() && time.Since(s.Node.LastHeard()) > s.PeerSilence
}

// watcher reports whether this process is among those of its data centre that
// hold a watch. Processes that disagree cost only a few watches more or less.
func (s *ConfigSource) watcher() bool {
	self := s.Node.Self()
	rank := s.Node.Rank(watchRankKey, clmember.Filter{DataCentre: self.DataCentre})
	for i, m := range rank {
		if i >= s.Watchers {
			return false
		}
		if m.ID == self.ID {
			return true
		}
	}
	return false
}

func (s *ConfigSource) read(ctx context.Context) {
	o, err := s.Objects.Get(ctx, ConfigKey)
	s.take(ctx, o, err)
}

func (s *ConfigSource) watch(ctx context.Context) {
	o, err := s.Objects.Watch(ctx, ConfigKey, s.version, s.Wait)
	if clplatform.KindOf(err) == clplatform.KindTimeout {
		return
	}
	s.take(ctx, o, err)
}

func (s *ConfigSource) take(ctx context.Context, o clplatform.Object, err error) {
	if err != nil {
		if ctx.Err() == nil && clplatform.KindOf(err) != clplatform.KindNotFound {
			s.Log.Debug("Configuration cannot be read from the platform.", zap.Error(err))
		}
		s.pause(ctx, configRetryDelay)
		return
	}
	cfg := new(clstate.ConfigSnapshot)
	if err := proto.Unmarshal(o.Value, cfg); err != nil {
		s.Log.Error("Configuration object cannot be decoded. The applied revision stays.", zap.Error(err))
		s.pause(ctx, configRetryDelay)
		return
	}
	s.version = o.Version
	if s.Node.ApplyConfig(cfg) {
		s.Log.Info("Configuration read from the platform.", zap.Uint64("revision", cfg.GetRevision()))
	}
}

// pause waits; the loop notices the end of ctx itself.
func (s *ConfigSource) pause(ctx context.Context, d time.Duration) { _ = clwait.Pause(ctx, d) }
