// This file adapts clients whose object type has the same fields as Object.

package clstore

import "context"

type (
	// ObjectLike is any struct type with the fields of Object.
	ObjectLike interface {
		~struct {
			Key     string
			Value   []byte
			Version uint64
		}
	}

	// Client is a store client with its own object type.
	Client[O ObjectLike] interface {
		Get(ctx context.Context, key string) (O, error)
		Update(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error)
		Delete(ctx context.Context, key string, ifVersion uint64) error
	}

	adapter[O ObjectLike, K ~string] struct {
		client Client[O]
		kindOf func(error) K
	}
)

var (
	_ Store   = (*adapter[Object, Kind])(nil)
	_ Deleter = (*adapter[Object, Kind])(nil)
)

// Adapt returns a Store on top of client; kindOf classifies its errors with
// the strings of Kind. An error that is in none of the kinds counts as KindUnknown.
func Adapt[O ObjectLike, K ~string](client Client[O], kindOf func(error) K) Store {
	return &adapter[O, K]{client: client, kindOf: kindOf}
}

// Get implements Store.
func (a *adapter[O, K]) Get(ctx context.Context, key string) (Object, error) {
	o, err := a.client.Get(ctx, key)
	return Object(o), a.classify("get", key, err)
}

// Update implements Store.
func (a *adapter[O, K]) Update(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	version, err := a.client.Update(ctx, key, value, ifVersion)
	return version, a.classify("update", key, err)
}

// Delete implements Deleter.
func (a *adapter[O, K]) Delete(ctx context.Context, key string, ifVersion uint64) error {
	return a.classify("delete", key, a.client.Delete(ctx, key, ifVersion))
}

func (a *adapter[O, K]) classify(op, key string, err error) error {
	if err == nil {
		return nil
	}
	kind := Kind(a.kindOf(err))
	if _, ok := remedies[kind]; !ok {
		kind = KindUnknown
	}
	return &Error{Kind: kind, Op: op, Key: key, Err: err}
}
