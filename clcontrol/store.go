// This file defines reads and conditional updates of messages in the object API.

package clcontrol

import (
	"context"
	"time"

	"github.com/chestnutlead/chestnutlead/clplatform"
	"github.com/chestnutlead/chestnutlead/clwait"
	"github.com/go-faster/errors"
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"
)

const (
	maxUpdateAttempts   = 8
	unknownReadAttempts = 5
	unknownReadPause    = 100 * time.Millisecond
)

type (
	// store reads and updates objects whose values are messages of type T.
	store[T proto.Message] struct {
		objects clplatform.Objects
		newT    func() T
		// mark names an update inside the value, so that a writer whose answer
		// was lost finds out whether its own update took effect.
		mark func(T) string
	}

	// keyed is a message with its object's key.
	keyed[T proto.Message] struct {
		key   string
		value T
	}

	// stored is a message with its object's version; version 0 means absent.
	stored[T proto.Message] struct {
		value   T
		version uint64
	}
)

func (s *store[T]) get(ctx context.Context, key string) (stored[T], error) {
	o, err := s.objects.Get(ctx, key)
	if clplatform.KindOf(err) == clplatform.KindNotFound {
		return stored[T]{value: s.newT()}, nil
	}
	if err != nil {
		return stored[T]{}, errors.Wrap(err, "read "+key)
	}
	v := s.newT()
	if err := proto.Unmarshal(o.Value, v); err != nil {
		return stored[T]{}, errors.Wrap(err, "decode "+key)
	}
	return stored[T]{value: v, version: o.Version}, nil
}

func (s *store[T]) list(ctx context.Context, prefix string) ([]T, error) {
	items, err := s.listKeyed(ctx, prefix)
	return lo.Map(items, func(i keyed[T], _ int) T { return i.value }), err
}

// put stores v if the object still has the given version. After a lost answer
// it reads the object back; it returns KindUnknown only if that fails too.
func (s *store[T]) put(ctx context.Context, key string, v T, ifVersion uint64) error {
	b, err := proto.Marshal(v)
	if err != nil {
		return errors.Wrap(err, "encode "+key)
	}
	_, err = s.objects.Update(ctx, key, b, ifVersion)
	if clplatform.KindOf(err) != clplatform.KindUnknown {
		return err
	}
	return s.resolveUnknown(ctx, key, v, b, ifVersion, err)
}

func (s *store[T]) resolveUnknown(ctx context.Context, key string, v T, b []byte, ifVersion uint64, cause error) error {
	for range unknownReadAttempts {
		got, err := s.get(ctx, key)
		if err == nil {
			if s.mark(got.value) == s.mark(v) {
				return nil
			}
			if got.version != ifVersion {
				return conflict(key)
			}
			// The version is unchanged, but the update may still be on its way;
			// a second conditional update on the same version settles it.
			return s.putAgain(ctx, key, v, b, ifVersion, cause)
		}
		if err := clwait.Pause(ctx, unknownReadPause); err != nil {
			break
		}
	}
	return cause
}

func (s *store[T]) putAgain(ctx context.Context, key string, v T, b []byte, ifVersion uint64, cause error) error {
	_, err := s.objects.Update(ctx, key, b, ifVersion)
	switch clplatform.KindOf(err) {
	case "":
		return err
	case clplatform.KindConflict:
		got, err := s.get(ctx, key)
		if err != nil {
			return cause
		}
		if s.mark(got.value) == s.mark(v) {
			return nil
		}
		return conflict(key)
	default:
		return cause
	}
}

// change reads the object, applies f and stores the result, again after each
// conflict. f returns false if nothing is to be changed.
func (s *store[T]) change(ctx context.Context, key string, f func(T) (bool, error)) (T, error) {
	for range maxUpdateAttempts {
		cur, err := s.get(ctx, key)
		if err != nil {
			return cur.value, err
		}
		changed, err := f(cur.value)
		if err != nil || !changed {
			return cur.value, err
		}
		err = s.put(ctx, key, cur.value, cur.version)
		if clplatform.KindOf(err) == clplatform.KindConflict {
			continue
		}
		return cur.value, err
	}
	var zero T
	return zero, conflict(key)
}

func conflict(key string) error {
	return &clplatform.Error{
		Kind: clplatform.KindConflict, Op: "update " + key,
		Err: errors.New("another writer changed it first"), Remedy: "read it again and decide anew",
	}
}

// listKeyed returns the values under a prefix with their keys, in the order of
// the keys.
func (s *store[T]) listKeyed(ctx context.Context, prefix string) ([]keyed[T], error) {
	objects, err := s.objects.List(ctx, prefix)
	if err != nil {
		return nil, errors.Wrap(err, "list "+prefix)
	}
	items := make([]keyed[T], 0, len(objects))
	for _, o := range objects {
		v := s.newT()
		if err := proto.Unmarshal(o.Value, v); err != nil {
			return nil, errors.Wrap(err, "decode "+o.Key)
		}
		items = append(items, keyed[T]{key: o.Key, value: v})
	}
	return items, nil
}

// remove deletes an object; a failure leaves it for a later try.
func (s *store[T]) remove(ctx context.Context, key string) {
	o, err := s.objects.Get(ctx, key)
	if err != nil {
		return
	}
	_ = s.objects.Delete(ctx, key, o.Version) // The next sweep finds it again.
}
