package clendpoint

import (
	"bufio"
	"io"
	"net"
	"net/netip"
	"testing"
)

// BenchmarkDo measures a call on a kept-alive loopback connection, the
// endpoint's part included.
func BenchmarkDo(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				for br := bufio.NewReader(c); readRequest(br); {
					_, _ = io.WriteString(c, okAnswer)
				}
				c.Close()
			}()
		}
	}()
	h := new(HTTP)
	defer h.Close()
	call := post(netip.MustParseAddrPort(ln.Addr().String()))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := readAll(h, call); err != nil {
			b.Fatal(err)
		}
	}
}
