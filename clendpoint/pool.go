// This file defines the pool of idle connections.

package clendpoint

import (
	"net/netip"
	"sync"
	"time"
)

// pool keeps idle connections for each endpoint, most recently used last.
type pool struct {
	mu      sync.Mutex
	idle    map[netip.AddrPort][]*conn
	sweepAt time.Time
}

// take returns the most recently used connection that became idle after
// oldest and is still open, or nil.
func (p *pool) take(addr netip.AddrPort, oldest time.Time) *conn {
	for {
		c := p.pop(addr)
		if c == nil {
			return nil
		}
		if c.idleSince.After(oldest) && c.usable() {
			return c
		}
		_ = c.Conn.Close()
	}
}

func (p *pool) pop(addr netip.AddrPort) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	cs := p.idle[addr]
	if len(cs) == 0 {
		return nil
	}
	c := cs[len(cs)-1]
	cs[len(cs)-1] = nil
	p.idle[addr] = cs[:len(cs)-1]
	return c
}

func (p *pool) put(c *conn, maxIdle int, idleTimeout time.Duration) {
	now := time.Now()
	c.idleSince = now
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[netip.AddrPort][]*conn)
	}
	if len(p.idle[c.addr]) >= maxIdle {
		_ = c.Conn.Close()
		return
	}
	p.idle[c.addr] = append(p.idle[c.addr], c)
	if now.After(p.sweepAt) {
		p.sweep(now.Add(-idleTimeout))
		p.sweepAt = now.Add(idleTimeout)
	}
}

// sweep closes the connections idle since before oldest; the caller holds mu.
func (p *pool) sweep(oldest time.Time) {
	for addr, cs := range p.idle {
		n := 0
		for n < len(cs) && !cs[n].idleSince.After(oldest) {
			_ = cs[n].Conn.Close()
			n++
		}
		if n == len(cs) {
			delete(p.idle, addr)
		} else if n > 0 {
			p.idle[addr] = append([]*conn(nil), cs[n:]...)
		}
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
