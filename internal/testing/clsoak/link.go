// This file defines the loopback proxy that breaks connections.

package clsoak

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/platform/clstandplatform"
)

type (
	// link forwards connections to a target, as its mode says.
	link struct {
		target   netip.AddrPort
		listener net.Listener

		mu    sync.Mutex
		mode  mode
		conns map[*linkConn]bool
		// released is closed when modeHold ends.
		released chan struct{}
	}

	// mode is what a link does to the bytes of its connections.
	mode int

	// linkConn is one forwarded connection.
	linkConn struct {
		link     *link
		from, to net.Conn

		mu sync.Mutex
		// dead says, for each direction, that the connection has gone silent
		// for good.
		dead [2]bool
	}
)

const (
	modeOpen mode = iota
	// modeDelay holds each piece of data back for linkDelay.
	modeDelay
	// modeReset ends all connections, and new ones at once.
	modeReset
	// modeSilent swallows all data; connections that sent some stay silent.
	modeSilent
	// modeOneWay swallows what the target sends.
	modeOneWay
	// modeCopy sends copies of refusals.
	modeCopy
	// modeHold holds all data back until the mode changes.
	modeHold
)

const (
	// linkDelay is that of a slow dependency, below the time-outs of calls.
	linkDelay = 150 * time.Millisecond
	// linkBuffer holds several events of a stream.
	linkBuffer = 16 << 10
)

// newLink returns a running link to target. Without a soak, it has no modeCopy.
func newLink(target netip.AddrPort, s *Soak) (*link, error) {
	k := &link{target: target, conns: make(map[*linkConn]bool)}
	var copier *clstandplatform.Copier
	if s != nil {
		copier = s.copier(func() bool { return k.current() == modeCopy })
	}
	l, err := listen(copier)
	if err != nil {
		return nil, err
	}
	k.listener = l
	go k.run()
	return k, nil
}

func (k *link) addr() netip.AddrPort { return netip.MustParseAddrPort(k.listener.Addr().String()) }

func (k *link) close() {
	_ = k.listener.Close() // the run is over
	k.set(modeReset)
}

// set changes the mode; modeReset also ends the open connections.
func (k *link) set(m mode) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.released != nil {
		close(k.released)
		k.released = nil
	}
	if k.mode = m; m == modeHold {
		k.released = make(chan struct{})
	}
	if m == modeReset {
		for c := range k.conns {
			c.reset()
		}
	}
}

// waitReleased waits while the link holds its data back.
func (k *link) waitReleased() {
	k.mu.Lock()
	released := k.released
	k.mu.Unlock()
	if released != nil {
		<-released
	}
}

func (k *link) current() mode {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mode
}

func (k *link) run() {
	for {
		from, err := k.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", k.target.String())
		if err != nil {
			_ = from.Close() // the target is down, which the caller sees
			continue
		}
		c := &linkConn{link: k, from: from, to: to}
		k.mu.Lock()
		k.conns[c] = true
		reset := k.mode == modeReset
		k.mu.Unlock()
		if reset {
			c.reset()
		}
		go c.run(from, to, 0)
		go c.run(to, from, 1)
	}
}

// run forwards one direction until either end closes.
func (c *linkConn) run(from, to net.Conn, direction int) {
	buf := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buf)
		c.link.waitReleased()
		if n > 0 && !c.swallows(direction) {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			break
		}
	}
	if c.silent(direction) {
		return // the other end must find out by itself
	}
	_, _ = from.Close(), to.Close() // either may be closed already
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
}

// swallows applies the mode to a piece of data of one direction.
func (c *linkConn) swallows(direction int) bool {
	m := c.link.current()
	if m == modeDelay {
		time.Sleep(linkDelay)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if m == modeSilent || m == modeOneWay && direction == 1 {
		c.dead[direction] = true
	}
	return c.dead[direction]
}

func (c *linkConn) silent(direction int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dead[direction]
}

// reset closes both ends without the usual farewell.
func (c *linkConn) reset() {
	for _, conn := range []net.Conn{c.from, c.to} {
		if t, ok := conn.(interface{ SetLinger(int) error }); ok {
			_ = t.SetLinger(0) // only the way it ends changes
		}
		_ = conn.Close() // it may be closed already
	}
}
