// This file defines a link to a worker that can be cut for a while, as a partition does.

package main

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// link passes connections on to a worker. While it is cut it holds all bytes, and the
// ends of connections, in both directions, and passes them on afterwards.
type link struct {
	addr   netip.AddrPort
	worker netip.AddrPort

	mu sync.Mutex
	ln net.Listener
	// sound is closed while the link is not cut.
	sound chan struct{}
}

// newLink returns a link that listens on a free address and is not cut.
func newLink(worker netip.AddrPort) (*link, error) {
	addr, err := freeAddress()
	if err != nil {
		return nil, err
	}
	l := &link{addr: addr, worker: worker, sound: make(chan struct{})}
	close(l.sound)
	return l, l.open()
}

// open makes the address accept connections.
func (l *link) open() error {
	ln, err := net.Listen("tcp", l.addr.String())
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.ln = ln
	l.mu.Unlock()
	go l.run(ln)
	return nil
}

// shut makes the address refuse connections, as that of a worker that is down does.
func (l *link) shut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.ln.Close()
}

func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sound = make(chan struct{})
}

func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.sound)
}

// await returns when the link is not cut.
func (l *link) await() {
	l.mu.Lock()
	sound := l.sound
	l.mu.Unlock()
	<-sound
}

func (l *link) run(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go l.connect(c.(*net.TCPConn))
	}
}

func (l *link) connect(c *net.TCPConn) {
	l.await()
	w, err := net.DialTimeout("tcp", l.worker.String(), time.Second)
	if err != nil {
		// A worker that does not listen resets the connection.
		_ = c.SetLinger(0)
		_ = c.Close()
		return
	}
	go l.pass(c, w.(*net.TCPConn))
	go l.pass(w.(*net.TCPConn), c)
}

// pass copies one direction, and ends it as it ended: with a reset after a reset.
func (l *link) pass(from, to *net.TCPConn) {
	buf := make([]byte, 64<<10)
	for {
		n, err := from.Read(buf)
		l.await()
		if _, werr := to.Write(buf[:n]); werr != nil {
			_ = from.Close()
			return
		}
		switch {
		case err == io.EOF:
			_ = to.CloseWrite()
			return
		case err != nil:
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}
