// This file defines a store in memory with faults, for tests and examples.

package clstore

import (
	"bytes"
	"context"
	"sync"

	"github.com/go-faster/errors"
)

type (
	// Fault is what happens to one call of a Memory.
	Fault int

	// Memory is a Store in memory; the zero value is empty and ready.
	Memory struct {
		// Fault, if set, decides the fate of each call ("get", "update" or
		// "delete"). It is called with the store locked.
		Fault func(op, key string) Fault

		mu      sync.Mutex
		objects map[string]Object
		version uint64
		era     uint64 // the number of calls of Restore
		reads   int
		writes  int
		bytes   int
	}
)

// Faults of a Memory.
const (
	// FaultNone lets the call succeed.
	FaultNone Fault = iota
	// FaultUnavailable fails the call without effect.
	FaultUnavailable
	// FaultLostRequest has no effect, which the caller cannot know.
	FaultLostRequest
	// FaultLostAnswer takes effect, which the caller cannot know.
	FaultLostAnswer
)

var (
	_ Store   = (*Memory)(nil)
	_ Deleter = (*Memory)(nil)

	errInjected = errors.New("injected fault")
	errVersion  = errors.New("the version differs")
	errMissing  = errors.New("no such object")
)

// Get implements Store.
func (m *Memory) Get(_ context.Context, key string) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	if err := m.injected("get", key, m.fault("get", key)); err != nil {
		return Object{}, err
	}
	o, ok := m.objects[key]
	if !ok {
		return Object{}, &Error{Kind: KindNotFound, Op: "get", Key: key, Err: errMissing}
	}
	o.Value = bytes.Clone(o.Value)
	return o, nil
}

// Update implements Store.
func (m *Memory) Update(_ context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	m.bytes += len(value)
	f := m.fault("update", key)
	if f == FaultUnavailable || f == FaultLostRequest {
		return 0, m.injected("update", key, f)
	}
	if m.objects[key].Version != ifVersion {
		return 0, &Error{Kind: KindConflict, Op: "update", Key: key, Err: errVersion}
	}
	return m.put(key, value), m.injected("update", key, f)
}

// put writes an object and returns its version; the caller holds mu.
func (m *Memory) put(key string, value []byte) uint64 {
	if m.objects == nil {
		m.objects = map[string]Object{}
	}
	m.version++
	m.objects[key] = Object{Key: key, Value: bytes.Clone(value), Version: m.version}
	return m.version
}

// Delete implements Deleter.
func (m *Memory) Delete(_ context.Context, key string, ifVersion uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	f := m.fault("delete", key)
	if f == FaultUnavailable || f == FaultLostRequest {
		return m.injected("delete", key, f)
	}
	o, ok := m.objects[key]
	if !ok {
		return &Error{Kind: KindNotFound, Op: "delete", Key: key, Err: errMissing}
	}
	if o.Version != ifVersion {
		return &Error{Kind: KindConflict, Op: "delete", Key: key, Err: errVersion}
	}
	delete(m.objects, key)
	return m.injected("delete", key, f)
}

// Counts returns the calls so far and the bytes that updates carried.
func (m *Memory) Counts() (reads, writes, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads, m.writes, m.bytes
}

func (m *Memory) fault(op, key string) Fault {
	if m.Fault == nil {
		return FaultNone
	}
	return m.Fault(op, key)
}

func (m *Memory) injected(op, key string, f Fault) error {
	switch f {
	case FaultUnavailable:
		return &Error{Kind: KindUnavailable, Op: op, Key: key, Err: errInjected}
	case FaultLostRequest, FaultLostAnswer:
		return &Error{Kind: KindUnknown, Op: op, Key: key, Err: errInjected}
	default:
		return nil
	}
}
