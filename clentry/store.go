// This file defines a store that counts its calls.

package clentry

import (
	"context"

	"github.com/chestnutlead/chestnutlead/clstore"
	"github.com/prometheus/client_golang/prometheus"
)

// watchedStore passes calls on and counts them by result.
type watchedStore struct {
	next  clstore.Store
	calls *prometheus.CounterVec
}

var (
	_ clstore.Store   = (*watchedStore)(nil)
	_ clstore.Deleter = (*watchedStore)(nil)
)

// Get implements clstore.Store.
func (s *watchedStore) Get(ctx context.Context, key string) (clstore.Object, error) {
	o, err := s.next.Get(ctx, key)
	s.note("get", err)
	return o, err
}

// Update implements clstore.Store.
func (s *watchedStore) Update(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	version, err := s.next.Update(ctx, key, value, ifVersion)
	s.note("update", err)
	return version, err
}

// Delete implements clstore.Deleter.
func (s *watchedStore) Delete(ctx context.Context, key string, ifVersion uint64) error {
	d, ok := s.next.(clstore.Deleter)
	if !ok {
		return &clstore.Error{Kind: clstore.KindUnavailable, Op: "delete", Key: key, Err: errNoDelete}
	}
	err := d.Delete(ctx, key, ifVersion)
	s.note("delete", err)
	return err
}

func (s *watchedStore) note(op string, err error) {
	s.calls.WithLabelValues(op, resultLabel(err)).Inc()
}

func resultLabel(err error) string {
	if err == nil {
		return "ok"
	}
	return string(clstore.KindOf(err))
}
