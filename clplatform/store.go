// This file adapts the object API to the store of the embeddable packages.

package clplatform

import (
	"context"

	"github.com/chestnutlead/chestnutlead/clstore"
)

// Store offers Objects as a clstore.Store.
type Store struct {
	Objects Objects
}

var (
	_ clstore.Store   = (*Store)(nil)
	_ clstore.Deleter = (*Store)(nil)

	storeKinds = map[Kind]clstore.Kind{
		KindNotFound: clstore.KindNotFound, KindConflict: clstore.KindConflict, KindUnavailable: clstore.KindUnavailable,
	}
)

// Get implements clstore.Store.
func (s *Store) Get(ctx context.Context, key string) (clstore.Object, error) {
	o, err := s.Objects.Get(ctx, key)
	return clstore.Object{Key: o.Key, Value: o.Value, Version: o.Version}, storeError("get", key, err)
}

// Update implements clstore.Store.
func (s *Store) Update(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	version, err := s.Objects.Update(ctx, key, value, ifVersion)
	return version, storeError("update", key, err)
}

// Delete implements clstore.Deleter.
func (s *Store) Delete(ctx context.Context, key string, ifVersion uint64) error {
	return storeError("delete", key, s.Objects.Delete(ctx, key, ifVersion))
}

// storeError takes every failure that is not known to be without effect for
// one whose outcome is unknown.
func storeError(op, key string, err error) error {
	if err == nil {
		return nil
	}
	kind, ok := storeKinds[KindOf(err)]
	if !ok {
		kind = clstore.KindUnknown
	}
	return &clstore.Error{Kind: kind, Op: op, Key: key, Err: err}
}
