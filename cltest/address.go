// This file defines free addresses on loopback.

package cltest

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
)

// firstPort and lastPort lie below the ports that the kernel gives to outgoing
// connections, one of which could otherwise take an address between the moment
// at which it was found free and its use.
const (
	firstPort = 20000
	lastPort  = 32000
	tries     = 100
)

// drawn holds the ports that Address has tried.
var drawn sync.Map

// Address returns an address on loopback that is free for TCP and UDP. It returns each
// address once in a process, since the caller does not use it at once.
func Address(t testing.TB) netip.AddrPort {
	t.Helper()
	for range tries {
		port := firstPort + rand.IntN(lastPort-firstPort)
		if _, taken := drawn.LoadOrStore(port, true); taken {
			continue
		}
		addr := fmt.Sprint("127.0.0.1:", port)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		c, uerr := net.ListenPacket("udp4", addr)
		if err := ln.Close(); err != nil {
			t.Fatal(err)
		}
		if uerr != nil {
			continue
		}
		if err := c.Close(); err != nil {
			t.Fatal(err)
		}
		return netip.MustParseAddrPort(addr)
	}
	t.Fatalf("no free port among %d to %d", firstPort, lastPort)
	return netip.AddrPort{}
}
