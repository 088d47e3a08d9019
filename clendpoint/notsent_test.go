// This file tests with real sockets that a request that counts as not sent never
// arrives, also later.

package clendpoint

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// lateness is how long after a failure bytes may still arrive at an endpoint that reads
// them late.
const lateness = 300 * time.Millisecond

// largeBody does not fit into the buffers of both sockets.
var largeBody = []byte(strings.Repeat("x", 32<<20))

// counting runs serve for each connection of a raw listener, and returns its address and
// the number of bytes that have arrived. Connections of which serve returns true are read
// to their end.
func counting(t *testing.T, serve func(c net.Conn) bool) (netip.AddrPort, *atomic.Int64) {
	t.Helper()
	arrived := &atomic.Int64{}
	return listen(t, func(_ int, c net.Conn) {
		if !serve(c) {
			return
		}
		buf := make([]byte, 64<<10)
		for {
			n, err := c.Read(buf)
			arrived.Add(int64(n))
			if err != nil {
				return
			}
		}
	}), arrived
}

// reset closes the connection so that the peer gets a reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// Guards against a refusal of a request that runs later (REFUSED): KindNotSent must mean
// that no byte arrives at an endpoint, whatever the kernel still holds.
func TestNotSentNeverArrives(t *testing.T) {
	for _, tc := range []struct {
		name string
		// serve treats a new connection; see counting.
		serve func(c net.Conn) bool
		body  []byte
		// cancelAfter ends the call's context; 0 does not.
		cancelAfter time.Duration
		timeouts    Timeouts
		sendBefore  time.Duration
		// want is empty if it depends on which comes first.
		want Kind
	}{
		{name: "reset at once", serve: func(c net.Conn) bool { reset(c); return false }},
		{name: "reader that has stopped", serve: func(c net.Conn) bool { time.Sleep(2 * lateness); return true }, body: largeBody,
			timeouts: Timeouts{FirstByte: lateness / 3}, want: KindSilent},
		{name: "given up during the write", serve: func(c net.Conn) bool { time.Sleep(2 * lateness); return true }, body: largeBody,
			cancelAfter: lateness / 3, want: KindBroken},
		{name: "given up before it is read", serve: func(c net.Conn) bool { time.Sleep(2 * lateness); return true },
			cancelAfter: lateness / 3, want: KindBroken},
		{name: "reset during the write", serve: func(c net.Conn) bool { _, _ = c.Read(make([]byte, 1<<16)); reset(c); return false }, body: largeBody, want: KindBroken},
		{name: "connected too late", serve: func(c net.Conn) bool { return true }, sendBefore: -time.Millisecond, want: KindNotSent},
		{name: "cancelled before", serve: func(c net.Conn) bool { return true }, cancelAfter: -1, want: KindNotSent},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			addr, arrived := counting(t, tc.serve)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			switch {
			case tc.cancelAfter < 0:
				cancel()
			case tc.cancelAfter > 0:
				time.AfterFunc(tc.cancelAfter, cancel)
			}
			call := post(addr)
			call.Timeouts = tc.timeouts
			if tc.body != nil {
				call.Body = tc.body
			}
			if tc.sendBefore != 0 {
				call.SendBefore = time.Now().Add(tc.sendBefore)
			}
			_, err := newClient(t).Do(ctx, call)
			require.Error(t, err)
			if tc.want != "" {
				require.Equal(t, tc.want, kindOf(err), "%v", err)
			}
			time.Sleep(3 * lateness)
			if kindOf(err) == KindNotSent {
				require.Zero(t, arrived.Load())
			}
		})
	}
}

// Guards against a refusal of a request that lies in the backlog of a listener: a
// connection that the endpoint has not accepted takes bytes all the same.
func TestUnacceptedConnection(t *testing.T) {
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	defer syscall.Close(fd)
	require.NoError(t, syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	require.NoError(t, syscall.Listen(fd, 0))
	sa, err := syscall.Getsockname(fd)
	require.NoError(t, err)
	addr := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(sa.(*syscall.SockaddrInet4).Port))
	h := newClient(t)
	call := post(addr)
	call.Timeouts = Timeouts{Connect: lateness, FirstByte: lateness}
	kinds := map[Kind]int{}
	for range 4 {
		_, err := h.Do(t.Context(), call)
		kinds[kindOf(err)]++
	}
	require.Positive(t, kinds[KindSilent], "the first connections are in the backlog")
	require.Positive(t, kinds[KindNotSent], "the backlog is full")
	// The endpoint accepts at last, and finds each request that was sent, and no other.
	require.NoError(t, syscall.SetNonblock(fd, true))
	found := 0
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		c, _, err := syscall.Accept(fd)
		if err != nil {
			continue
		}
		n, err := syscall.Read(c, make([]byte, 4096))
		require.NoError(t, syscall.Close(c))
		if err == nil && n > 0 {
			found++
		}
	}
	require.LessOrEqual(t, found, kinds[KindSilent], "a request that counts as not sent has arrived")
}

// Guards against a refusal of a request that a proxy holds: it delivers what it has
// read after the sender has given up and closed the connection.
func TestProxyThatDeliversLate(t *testing.T) {
	addr, arrived := counting(t, func(net.Conn) bool { return true })
	proxy := listen(t, func(_ int, c net.Conn) {
		b, _ := io.ReadAll(c)
		time.Sleep(lateness)
		to, err := net.Dial("tcp", addr.String())
		if err == nil {
			_, _ = to.Write(b)
			_ = to.Close()
		}
	})
	call := post(proxy)
	call.Timeouts = Timeouts{FirstByte: lateness / 3}
	_, err := newClient(t).Do(t.Context(), call)
	require.Equal(t, KindSilent, kindOf(err))
	require.Eventually(t, func() bool { return arrived.Load() > 0 }, 10*lateness, time.Millisecond)
}

// Guards against a refusal of a request that was sent on a kept connection which the
// endpoint resets or closes at that moment: whether a byte has arrived must be known in
// each order of these events.
func TestKeptConnectionThatEndsDuringTheWrite(t *testing.T) {
	const seed, rounds = 28, 2000
	rnd := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	received := map[string]bool{}
	end := make(chan func(c net.Conn), 1)
	addr := listen(t, func(_ int, c net.Conn) {
		br := bufio.NewReader(c)
		for {
			line, err := br.ReadString('\n')
			if err != nil {
				return
			}
			mu.Lock()
			received[strings.Fields(line)[1]] = true
			mu.Unlock()
			for strings.TrimSpace(line) != "" && err == nil {
				line, err = br.ReadString('\n')
			}
			if _, err := br.Discard(len("body")); err != nil {
				return
			}
			if _, err := io.WriteString(c, okAnswer); err != nil {
				return
			}
			select {
			case ends := <-end:
				ends(c)
				return
			default:
			}
		}
	})
	h := newClient(t)
	kinds := map[Kind]int{}
	var notSent []string
	for i := range rounds {
		call := post(addr)
		call.Path = "/first"
		pause, wait := time.Duration(rnd.IntN(60))*time.Microsecond, time.Duration(rnd.IntN(60))*time.Microsecond
		hard := rnd.IntN(2) == 0
		ends := func(c net.Conn) {
			time.Sleep(pause)
			if hard {
				reset(c)
			} else {
				_ = c.Close()
			}
		}
		select {
		case end <- ends:
		default: // the first request of the round before has failed
		}
		if _, err := readAll(h, call); err != nil {
			continue
		}
		time.Sleep(wait)
		call.Path = "/" + strconv.Itoa(i)
		_, err := readAll(h, call)
		if err == nil {
			continue
		}
		kinds[kindOf(err)]++
		if kindOf(err) == KindNotSent {
			notSent = append(notSent, call.Path)
		}
	}
	t.Logf("failures by kind: %v", kinds)
	time.Sleep(lateness)
	mu.Lock()
	defer mu.Unlock()
	for _, path := range notSent {
		require.False(t, received[path], "seed %d, round %s", seed, path)
	}
}

// Guards against a request that was given up and arrives later all the same (DRAIN): what
// lies in the sender's queue by then must never be delivered.
func TestGivenUpRequestDoesNotArrive(t *testing.T) {
	// The request fits into the sender's buffers, but not into the receiver's.
	const receiveBuffer, requestBytes = 8 << 10, 512 << 10
	for _, tc := range []struct {
		name string
		give func(cancel context.CancelFunc) Timeouts
	}{
		{"caller is gone", func(cancel context.CancelFunc) Timeouts {
			time.AfterFunc(lateness/3, cancel)
			return Timeouts{}
		}},
		{"endpoint is silent", func(context.CancelFunc) Timeouts { return Timeouts{FirstByte: lateness / 3} }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			lc := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
				return c.Control(func(fd uintptr) {
					_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
				})
			}}
			ln, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer ln.Close()
			arrived := make(chan int64, 1)
			go func() {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				time.Sleep(lateness)
				n, _ := io.Copy(io.Discard, c) // ends with a reset
				arrived <- n
			}()
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			call := post(netip.MustParseAddrPort(ln.Addr().String()))
			call.Body, call.Timeouts = make([]byte, requestBytes), tc.give(cancel)
			_, err = newClient(t).Do(ctx, call)
			require.Error(t, err)
			require.Less(t, <-arrived, int64(requestBytes/2))
		})
	}
}
