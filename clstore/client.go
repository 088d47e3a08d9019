// This file defines a client of a store in memory that returns from older copies.

package clstore

import (
	"bytes"
	"context"
	"maps"
	"sync/atomic"

	"github.com/go-faster/errors"
)

type (
	// Snapshot is a copy of what a Memory holds.
	Snapshot struct {
		objects map[string]Object
		version uint64
	}

	// Client is one process's view of a Memory: it learns of an era with the first answer
	// that states it. Its versions rise with the era.
	Client struct {
		memory *Memory
		era    atomic.Uint64
	}
)

// clientRevisionBits is the part of a Client's version that holds the Memory's version.
const clientRevisionBits = 48

var (
	_ Store    = (*Client)(nil)
	_ EraStore = (*Client)(nil)

	errEarlierEra = errors.New("the version is of an earlier era")
	errLaterEra   = errors.New("the call was carried out in a later era than its version's")
)

// Snapshot returns a copy of the objects, to which Restore returns.
func (m *Memory) Snapshot() *Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return &Snapshot{objects: maps.Clone(m.objects), version: m.version}
}

// Restore makes the store return from an older copy: a new era begins, in which the
// versions after that of the copy are given out again.
func (m *Memory) Restore(s *Snapshot) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.objects, m.version = maps.Clone(s.objects), s.version
	m.era++
}

// Client returns a new client, which knows of no era.
func (m *Memory) Client() *Client { return &Client{memory: m} }

// Era implements EraStore.
func (c *Client) Era() uint64 { return c.era.Load() }

// Get implements Store.
func (c *Client) Get(_ context.Context, key string) (Object, error) {
	m := c.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reads++
	if err := m.injected("get", key, m.fault("get", key)); err != nil {
		return Object{}, err
	}
	c.era.Store(m.era)
	o, ok := m.objects[key]
	if !ok {
		return Object{}, &Error{Kind: KindNotFound, Op: "get", Key: key, Err: errMissing}
	}
	o.Value, o.Version = bytes.Clone(o.Value), m.era<<clientRevisionBits|o.Version
	return o, nil
}

// Update implements Store.
func (c *Client) Update(_ context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	if ifVersion != 0 && ifVersion>>clientRevisionBits != c.era.Load() {
		return 0, &Error{Kind: KindConflict, Op: "update", Key: key, Err: errEarlierEra}
	}
	m := c.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes++
	m.bytes += len(value)
	f := m.fault("update", key)
	if f == FaultUnavailable || f == FaultLostRequest {
		return 0, m.injected("update", key, f)
	}
	if f != FaultLostAnswer {
		c.era.Store(m.era)
	}
	if m.objects[key].Version != ifVersion&(1<<clientRevisionBits-1) {
		return 0, &Error{Kind: KindConflict, Op: "update", Key: key, Err: errVersion}
	}
	version := m.put(key, value)
	switch {
	case f == FaultLostAnswer:
		return 0, m.injected("update", key, f)
	case ifVersion != 0 && ifVersion>>clientRevisionBits != m.era:
		return 0, &Error{Kind: KindUnknown, Op: "update", Key: key, Err: errLaterEra}
	}
	return m.era<<clientRevisionBits | version, nil
}
