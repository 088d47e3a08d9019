// This file defines a TCP link between one process and the platform that a
// test can cut.

package clharness_test

import (
	"io"
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// link forwards connections to a target until it is cut.
type link struct {
	l      net.Listener
	target func() string

	mu     sync.Mutex
	isCut  bool
	opened map[net.Conn]bool
}

func newLink(t *testing.T) *link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	k := &link{l: l, opened: make(map[net.Conn]bool)}
	t.Cleanup(func() {
		_ = l.Close() // The test is over.
		k.cut()
	})
	go k.run()
	return k
}

func (k *link) addr() string { return k.l.Addr().String() }

func (k *link) run() {
	for {
		c, err := k.l.Accept()
		if err != nil {
			return
		}
		if !k.open(c) {
			_ = c.Close() // The link is cut.
			continue
		}
		go k.forward(c)
	}
}

func (k *link) forward(c net.Conn) {
	d, err := net.Dial("tcp", k.target())
	if err != nil || !k.open(d) {
		k.close(c)
		return
	}
	go func() {
		_, _ = io.Copy(d, c) // Either end may close.
		k.close(c, d)
	}()
	_, _ = io.Copy(c, d) // Either end may close.
	k.close(c, d)
}

func (k *link) open(c net.Conn) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.isCut {
		k.opened[c] = true
	}
	return !k.isCut
}

func (k *link) close(cs ...net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range cs {
		_ = c.Close() // It may be closed already.
		delete(k.opened, c)
	}
}

// cut closes all connections and refuses new ones.
func (k *link) cut() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.isCut = true
	for c := range k.opened {
		_ = c.Close() // It may be closed already.
	}
}
