// This file defines a store that remembers since when it fails.

package clentry

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/clstore"
	"github.com/prometheus/client_golang/prometheus"
)

// watchedStore passes calls on, counts them, and notes since when all of them
// have failed for want of the object API.
type watchedStore struct {
	next  clstore.Store
	calls *prometheus.CounterVec

	mu      sync.Mutex
	failing bool
	since   time.Time
}

var (
	_ clstore.Store   = (*watchedStore)(nil)
	_ clstore.Deleter = (*watchedStore)(nil)
)

// Get implements clstore.Store.
func (s *watchedStore) Get(ctx context.Context, key string) (clstore.Object, error) {
	started := time.Now()
	o, err := s.next.Get(ctx, key)
	s.note("get", started, err)
	return o, err
}

// Update implements clstore.Store.
func (s *watchedStore) Update(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	started := time.Now()
	version, err := s.next.Update(ctx, key, value, ifVersion)
	s.note("update", started, err)
	return version, err
}

// Delete implements clstore.Deleter.
func (s *watchedStore) Delete(ctx context.Context, key string, ifVersion uint64) error {
	d, ok := s.next.(clstore.Deleter)
	if !ok {
		return &clstore.Error{Kind: clstore.KindUnavailable, Op: "delete", Key: key, Err: errNoDelete}
	}
	started := time.Now()
	err := d.Delete(ctx, key, ifVersion)
	s.note("delete", started, err)
	return err
}

func (s *watchedStore) note(op string, started time.Time, err error) {
	kind := clstore.KindOf(err)
	s.calls.WithLabelValues(op, resultLabel(err)).Inc()
	failed := kind == clstore.KindUnavailable || kind == clstore.KindUnknown
	s.mu.Lock()
	defer s.mu.Unlock()
	if !failed {
		s.failing = false
		return
	}
	if !s.failing {
		s.failing, s.since = true, started
	}
}

// failingSince reports whether the last call failed, and when the first of the
// failures in a row was sent.
func (s *watchedStore) failingSince() (bool, time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failing, s.since
}

func resultLabel(err error) string {
	if err == nil {
		return "ok"
	}
	return string(clstore.KindOf(err))
}
