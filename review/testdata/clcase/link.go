// This file defines the proxy between a gateway and the platform.

package main

import (
	"net"
	"net/netip"
	"sync"

	"github.com/go-faster/errors"
)

type (
	// link forwards connections to a target. While it is held, bytes wait in it, as they
	// wait for their retransmission during a short interruption of the network, and new
	// connections are not established.
	link struct {
		target   netip.AddrPort
		listener net.Listener

		mu   sync.Mutex
		free *sync.Cond
		held bool
	}
)

const linkBuffer = 16 << 10

// newLink returns a running link, which ends with the world.
func (w *world) newLink(target netip.AddrPort) (*link, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	k := &link{target: target, listener: ln}
	k.free = sync.NewCond(&k.mu)
	w.onClose(func() {
		k.hold(false)
		_ = ln.Close()
	})
	go k.run()
	return k, nil
}

func (k *link) addr() netip.AddrPort { return netip.MustParseAddrPort(k.listener.Addr().String()) }

// hold holds or frees the bytes of all connections.
func (k *link) hold(held bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.held = held
	k.free.Broadcast()
}

// wait returns once the link is not held.
func (k *link) wait() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for k.held {
		k.free.Wait()
	}
}

func (k *link) run() {
	for {
		from, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.forward(from)
	}
}

// forward connects to the target and forwards both directions.
func (k *link) forward(from net.Conn) {
	k.wait()
	to, err := net.Dial("tcp", k.target.String())
	if err != nil {
		_ = from.Close()
		return
	}
	go k.copy(from, to)
	k.copy(to, from)
}

// copy forwards one direction until either end closes.
func (k *link) copy(from, to net.Conn) {
	buf := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buf)
		k.wait()
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			_, _ = from.Close(), to.Close()
			return
		}
	}
}
