// This file defines an object API in memory that counts its calls.

package clbench

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/clplatform"
	"github.com/chestnutlead/chestnutlead/clstore"
	"github.com/go-faster/errors"
)

type (
	// objects is an object API in memory.
	objects struct {
		// latency is the time of each call.
		latency time.Duration

		mu      sync.Mutex
		values  map[string]clplatform.Object
		changed chan struct{}
		version uint64
		counts  callCounts
	}

	// callCounts counts calls of the object API; waiting is the watches that wait
	// now, and planBytes what lists of plans have returned.
	callCounts struct {
		reads, lists, writes, watches, waiting, planBytes int
	}
)

var (
	_ clplatform.Objects = (*objects)(nil)

	errNoObject = errors.New("no such object")
	errVersion  = errors.New("the version differs")
	errWaited   = errors.New("nothing changed")
)

func newObjects(latency time.Duration) *objects {
	return &objects{latency: latency, values: map[string]clplatform.Object{}, changed: make(chan struct{})}
}

func (o *objects) count(f func(*callCounts)) callCounts {
	o.mu.Lock()
	defer o.mu.Unlock()
	f(&o.counts)
	return o.counts
}

// Get implements clplatform.Objects.
func (o *objects) Get(_ context.Context, key string) (clplatform.Object, error) {
	time.Sleep(o.latency)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts.reads++
	v, ok := o.values[key]
	if !ok {
		return v, platformError(clplatform.KindNotFound, "get", key, errNoObject)
	}
	return v, nil
}

// List implements clplatform.Objects.
func (o *objects) List(_ context.Context, prefix string) ([]clplatform.Object, error) {
	time.Sleep(o.latency)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts.lists++
	var list []clplatform.Object
	for k, v := range o.values {
		if strings.HasPrefix(k, prefix) {
			list = append(list, v)
			if strings.Contains(prefix, "plan") {
				o.counts.planBytes += len(v.Value)
			}
		}
	}
	slices.SortFunc(list, func(a, b clplatform.Object) int { return strings.Compare(a.Key, b.Key) })
	return list, nil
}

// Update implements clplatform.Objects.
func (o *objects) Update(_ context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	time.Sleep(o.latency)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts.writes++
	if o.values[key].Version != ifVersion {
		return 0, platformError(clplatform.KindConflict, "update", key, errVersion)
	}
	o.version++
	o.values[key] = clplatform.Object{Key: key, Value: slices.Clone(value), Version: o.version}
	close(o.changed)
	o.changed = make(chan struct{})
	return o.version, nil
}

// Delete implements clplatform.Objects.
func (o *objects) Delete(_ context.Context, key string, ifVersion uint64) error {
	time.Sleep(o.latency)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts.writes++
	if o.values[key].Version != ifVersion {
		return platformError(clplatform.KindConflict, "delete", key, errVersion)
	}
	delete(o.values, key)
	return nil
}

// Watch implements clplatform.Objects.
func (o *objects) Watch(ctx context.Context, key string, after uint64, wait time.Duration) (clplatform.Object, error) {
	o.count(func(c *callCounts) { c.watches++; c.waiting++ })
	defer o.count(func(c *callCounts) { c.waiting-- })
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		o.mu.Lock()
		v, changed := o.values[key], o.changed
		o.mu.Unlock()
		if v.Version != after {
			return v, nil
		}
		select {
		case <-changed:
		case <-t.C:
			return v, platformError(clplatform.KindTimeout, "watch", key, errWaited)
		case <-ctx.Done():
			return v, platformError(clplatform.KindUnknown, "watch", key, ctx.Err())
		}
	}
}

func platformError(kind clplatform.Kind, op, key string, err error) error {
	return &clplatform.Error{Kind: kind, Op: op + " " + key, Remedy: "correct the experiment", Err: err}
}

// delayed adds a time to each call of a store.
type delayed struct {
	clstore.Memory
	latency time.Duration
}

// Get implements clstore.Store.
func (d *delayed) Get(ctx context.Context, key string) (clstore.Object, error) {
	time.Sleep(d.latency)
	return d.Memory.Get(ctx, key)
}

// Update implements clstore.Store.
func (d *delayed) Update(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	time.Sleep(d.latency)
	return d.Memory.Update(ctx, key, value, ifVersion)
}
