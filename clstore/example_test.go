package clstore_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chestnutlead/chestnutlead/clplatform"
	"github.com/chestnutlead/chestnutlead/clstore"
)

// objects is a platform client that fails with the given error.
type objects struct {
	clplatform.Objects
	err error
}

func (o objects) Get(context.Context, string) (clplatform.Object, error) {
	return clplatform.Object{Key: "a", Version: 3}, o.err
}

// TestAdaptKinds guards the classification of an adapted client's errors: an
// unclassified one must count as unknown, never as without effect.
func TestAdaptKinds(t *testing.T) {
	tests := []struct {
		err  error
		want clstore.Kind
	}{
		{nil, clstore.KindNone},
		{&clplatform.Error{Kind: clplatform.KindConflict}, clstore.KindConflict},
		{&clplatform.Error{Kind: clplatform.KindNotFound}, clstore.KindNotFound},
		{&clplatform.Error{Kind: clplatform.KindUnavailable}, clstore.KindUnavailable},
		{&clplatform.Error{Kind: clplatform.KindUnknown}, clstore.KindUnknown},
		{&clplatform.Error{Kind: clplatform.KindTimeout}, clstore.KindUnknown},
		{errors.New("connection reset"), clstore.KindUnknown},
	}
	for _, tt := range tests {
		var client clplatform.Objects = objects{err: tt.err}
		o, err := clstore.Adapt(client, clplatform.KindOf).Get(context.Background(), "a")
		require.Equal(t, tt.want, clstore.KindOf(err))
		require.Equal(t, uint64(3), o.Version)
	}
}

func ExampleMemory() {
	var m clstore.Memory
	ctx := context.Background()
	version, err := m.Update(ctx, "a", []byte("1"), 0)
	fmt.Println(version, err)
	_, err = m.Update(ctx, "a", []byte("2"), 0)
	fmt.Println(clstore.KindOf(err))
	// Output:
	// 1 <nil>
	// conflict
}
