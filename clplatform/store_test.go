package clplatform

import (
	"context"
	"errors"
	"testing"

	"github.com/chestnutlead/chestnutlead/clstore"
	"github.com/stretchr/testify/require"
)

// objects is a platform client that fails with the given error.
type objects struct {
	Objects
	err error
}

func (o objects) Get(context.Context, string) (Object, error) {
	return Object{Key: "a", Version: 3}, o.err
}

// TestStoreKinds guards the classification of a platform client's errors: an
// unclassified one must count as unknown, never as without effect.
func TestStoreKinds(t *testing.T) {
	tests := []struct {
		err  error
		want clstore.Kind
	}{
		{nil, clstore.KindNone},
		{&Error{Kind: KindConflict}, clstore.KindConflict},
		{&Error{Kind: KindNotFound}, clstore.KindNotFound},
		{&Error{Kind: KindUnavailable}, clstore.KindUnavailable},
		{&Error{Kind: KindUnknown}, clstore.KindUnknown},
		{&Error{Kind: KindTimeout}, clstore.KindUnknown},
		{errors.New("connection reset"), clstore.KindUnknown},
	}
	for _, tt := range tests {
		s := &Store{Objects: objects{err: tt.err}}
		o, err := s.Get(context.Background(), "a")
		require.Equal(t, tt.want, clstore.KindOf(err))
		require.Equal(t, uint64(3), o.Version)
	}
}
