package clendpoint

import (
	"bufio"
	"io"
	"net"
	"net/netip"
	"strconv"
	"testing"

	"github.com/stretchr/testify/require"
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
		call.AttemptID = strconv.FormatUint(lastAttempt.Add(1), 10)
		if _, err := readAll(h, call); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkNewConnection measures a call on a new connection, with and without
// the question for the endpoint's boot ID.
func BenchmarkNewConnection(b *testing.B) {
	for _, boot := range []string{"", "b1"} {
		b.Run("boot_id="+boot, func(b *testing.B) {
			s := startServer{boots: []string{"b1"}, status: "200 OK"}
			addr := listen(b, s.serve)
			h := &HTTP{}
			defer h.Close()
			for b.Loop() {
				a, err := h.Do(b.Context(), Call{Endpoint: addr, Method: "POST", Path: "/run", BootID: boot, NewConnection: true})
				require.NoError(b, err)
				_, err = io.ReadAll(a.Body)
				require.NoError(b, err)
			}
		})
	}
}
