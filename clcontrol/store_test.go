package clcontrol

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clplatform"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// faultyObjects is an object API in memory whose answers can be lost.
type faultyObjects struct {
	clplatform.Objects
	value   []byte
	version uint64
	// next decides the fate of each update: "", "lost" (after it took effect),
	// "dropped" (before) or "down".
	next func() string
}

func (f *faultyObjects) Get(context.Context, string) (clplatform.Object, error) {
	if f.version == 0 {
		return clplatform.Object{}, fault(clplatform.KindNotFound)
	}
	return clplatform.Object{Value: f.value, Version: f.version}, nil
}

func (f *faultyObjects) Update(_ context.Context, _ string, value []byte, ifVersion uint64) (uint64, error) {
	fate := f.next()
	if fate == "down" {
		return 0, fault(clplatform.KindUnavailable)
	}
	if fate == "dropped" {
		return 0, fault(clplatform.KindUnknown)
	}
	if ifVersion != f.version {
		return 0, fault(clplatform.KindConflict)
	}
	f.value, f.version = value, f.version+1
	if fate == "lost" {
		return 0, fault(clplatform.KindUnknown)
	}
	return f.version, nil
}

func fault(k clplatform.Kind) error {
	return &clplatform.Error{Kind: k, Op: "test", Err: errors.New("injected"), Remedy: "none"}
}

// TestStoreSettlesLostAnswers guards against updates that are reported as
// failed although they took effect, or as accepted although they did not.
func TestStoreSettlesLostAnswers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &faultyObjects{next: func() string {
			return rapid.SampledFrom([]string{"", "", "lost", "dropped", "down"}).Draw(t, "fate")
		}}
		s := &store[*clstate.Plan]{
			objects: f, newT: func() *clstate.Plan { return new(clstate.Plan) }, mark: (*clstate.Plan).GetUpdateId,
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		for i := range 10 {
			id := fmt.Sprint("u", i)
			before := f.version
			_, err := s.change(ctx, "plan/p", func(p *clstate.Plan) (bool, error) {
				p.UpdateId = id
				return true, nil
			})
			cur, getErr := s.get(ctx, "plan/p")
			require.NoError(t, getErr)
			tookEffect := cur.value.GetUpdateId() == id
			switch clplatform.KindOf(err) {
			case "":
				require.True(t, tookEffect, "accepted without effect")
				require.Equal(t, before+1, f.version, "stored twice")
			case clplatform.KindUnavailable, clplatform.KindConflict:
				require.False(t, tookEffect, "reported as failed, but took effect")
			}
		}
	})
}
