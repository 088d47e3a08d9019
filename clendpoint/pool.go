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
// a new one. If all that are left have carried the ID, it closes one of them, so that
// requests with the same ID don't add to the connections of the endpoint.
func (p *pool) take(key poolKey, oldest time.Time, id idHash) (*conn, ConnChoice) {
	choice := ConnNoneIdle
	for {
		c := p.pop(key, id)
		hadID := c == nil
		if hadID {
			c = p.popOldest(key)
		}
		if c == nil {
			return nil, choice
		}
		usable := c.idleSince.After(oldest) && c.usable()
		if usable && !hadID {
			return c, ConnKept
		}
		_ = c.Conn.Close()
		if usable {
			return nil, ConnHadID
		}
		choice = ConnUnusable
	}
}

// pop removes and returns the most recently used connection that has not carried a
// request with the given ID, or returns nil.
func (p *pool) pop(key poolKey, id idHash) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[key]
	for i := len(cs) - 1; i >= 0; i-- {
		if c := cs[i]; !c.ids.has(id) {
			p.idle[key] = slices.Delete(cs, i, i+1)
			return c
		}
	}
	return nil
}

// popOldest removes and returns the connection that has been idle for longest, or
// returns nil.
func (p *pool) popOldest(key poolKey) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[key]
	if len(cs) == 0 {
		return nil
	}
	c := cs[0]
	p.idle[key] = slices.Delete(cs, 0, 1)
	return c
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
