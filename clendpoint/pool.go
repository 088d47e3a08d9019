// This file defines the pool of idle connections.

package clendpoint

import (
	"net/netip"
	"slices"
	"sync"
	"time"
)

type (
	// pool keeps idle connections for each start of an endpoint, most recently used last.
	pool struct {
		mu      sync.Mutex
		idle    map[poolKey][]*conn
		sweepAt time.Time
	}

	// poolKey has no boot ID for connections that were not asked for it.
	poolKey struct {
		addr netip.AddrPort
		boot string
	}
)

// take returns the most recently used connection that became idle after oldest, is
// still open and has not carried a request with the given ID, or nil and the reason for
// a new one.
func (p *pool) take(key poolKey, oldest time.Time, id idHash) (*conn, ConnChoice) {
	choice := ConnNoneIdle
	for {
		c, skipped := p.pop(key, id)
		switch {
		case c == nil && skipped:
			return nil, ConnHadID
		case c == nil:
			return nil, choice
		case c.idleSince.After(oldest) && c.usable():
			return c, ConnKept
		}
		choice = ConnUnusable
		_ = c.Conn.Close()
	}
}

// pop removes and returns the most recently used connection that has not carried a
// request with the given ID, and reports whether it has skipped others.
func (p *pool) pop(key poolKey, id idHash) (c *conn, skipped bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[key]
	for i := len(cs) - 1; i >= 0; i-- {
		if cs[i].ids.has(id) {
			skipped = true
			continue
		}
		c = cs[i]
		p.idle[key] = slices.Delete(cs, i, i+1)
		return c, skipped
	}
	return nil, skipped
}

func (p *pool) put(c *conn, maxIdle int, idleTimeout time.Duration) {
	now := time.Now()
	c.idleSince = now
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[poolKey][]*conn)
	}
	key := poolKey{c.addr, c.boot}
	if len(p.idle[key]) >= maxIdle {
		_ = c.Conn.Close()
		return
	}
	p.idle[key] = append(p.idle[key], c)
	if now.After(p.sweepAt) {
		p.sweep(now.Add(-idleTimeout))
		p.sweepAt = now.Add(idleTimeout)
	}
}

// sweep closes the connections idle since before oldest; the caller holds mu.
func (p *pool) sweep(oldest time.Time) {
	for key, cs := range p.idle {
		n := 0
		for n < len(cs) && !cs[n].idleSince.After(oldest) {
			_ = cs[n].Conn.Close()
			n++
		}
		if n == len(cs) {
			delete(p.idle, key)
		} else if n > 0 {
			p.idle[key] = append([]*conn(nil), cs[n:]...)
		}
	}
}

func (p *pool) closeAddr(addr netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, cs := range p.idle {
		if key.addr != addr {
			continue
		}
		for _, c := range cs {
			_ = c.Conn.Close()
		}
		delete(p.idle, key)
	}
}

func (p *pool) closeAll() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, cs := range p.idle {
		for _, c := range cs {
			_ = c.Conn.Close()
		}
	}
	p.idle = nil
}
