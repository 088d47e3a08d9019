// This file tests the exchange of digests on the loopback interface.

package clgossip

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/cltest"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

// testGateway is a gateway of a test with the last digest received from each peer.
type testGateway struct {
	*Exchange
	mu       sync.Mutex
	received map[string]*Digest
	stop     context.CancelFunc
	runErr   chan error
}

// startGateways starts n gateways that exchange digests.
func startGateways(t *testing.T, n int) []*testGateway {
	t.Helper()
	var members []clcatalog.Member
	for i := range n {
		members = append(members, clcatalog.Member{Name: fmt.Sprint("g", i), Boot: 1, Address: cltest.Address(t)})
	}
	var peers []*testGateway
	for _, m := range members {
		p := &testGateway{received: map[string]*Digest{}, runErr: make(chan error, 1)}
		p.Exchange = &Exchange{
			Self: m, Gateways: func() []clcatalog.Member { return members }, Clock: &clclock.MedianClock{}, Logger: zap.NewNop(),
			FillDigest: func(d *Digest) { d.Spending = append(d.Spending, &Spending{Account: "a", Cost: float64(len(m.Name))}) },
			OnDigest: func(d *Digest) {
				p.mu.Lock()
				defer p.mu.Unlock()
				p.received[d.GetName()] = d
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		p.stop = cancel
		go func() { p.runErr <- p.Run(ctx) }()
		peers = append(peers, p)
	}
	return peers
}

// Guards against gateways that do not receive each other's digests, or that still
// count a gateway as alive after it has announced that it leaves.
func TestExchangeDigestsAndDeparture(t *testing.T) {
	peers := startGateways(t, 3)
	for _, p := range peers {
		require.Eventually(t, func() bool { return len(p.AlivePeers()) == 2 }, 5*time.Second, 10*time.Millisecond)
	}
	peers[0].mu.Lock()
	require.Equal(t, 2.0, peers[0].received["g1"].GetSpending()[0].GetCost())
	peers[0].mu.Unlock()
	peers[1].stop()
	require.NoError(t, <-peers[1].runErr)
	require.Eventually(t, func() bool { return len(peers[0].AlivePeers()) == 1 }, time.Second, 10*time.Millisecond)
	for _, i := range []int{0, 2} {
		peers[i].stop()
		require.NoError(t, <-peers[i].runErr)
	}
}

// Guards against a digest replacing a newer one: it may arrive out of order,
// twice, or come from an earlier run of the process.
func TestAcceptDropsOldDigests(t *testing.T) {
	e := &Exchange{Self: clcatalog.Member{Name: "me"}, Logger: zap.NewNop()}
	for _, tc := range []struct {
		name           string
		boot, sequence uint64
		want           bool
	}{
		{"p", 1, 5, true},
		{"p", 1, 5, false},
		{"p", 1, 4, false},
		{"p", 1, 6, true},
		{"p", 2, 1, true},
		{"p", 1, 7, false},
		{"me", 9, 9, false},
		{"", 9, 9, false},
	} {
		require.Equal(t, tc.want, e.accept(&Digest{Name: tc.name, Boot: tc.boot, Sequence: tc.sequence}), "%+v", tc)
	}
}

// Guards against a process or its receive loop ending on datagrams that are not digests.
func TestInvalidDatagramsAreIgnored(t *testing.T) {
	peers := startGateways(t, 2)
	require.Eventually(t, func() bool { return len(peers[0].AlivePeers()) == 1 }, 5*time.Second, 10*time.Millisecond)
	c, err := net.Dial("udp4", peers[0].Self.Address.String())
	require.NoError(t, err)
	for _, b := range [][]byte{{}, {0xff, 0xff}, []byte("GET / HTTP/1.1\r\n\r\n")} {
		_, err = c.Write(b)
		require.NoError(t, err)
	}
	require.NoError(t, c.Close())
	last := peers[0].LastDigestTimeFrom("g1")
	require.Eventually(t, func() bool { return peers[0].LastDigestTimeFrom("g1").After(last) }, 2*time.Second, 10*time.Millisecond)
	for _, p := range peers {
		p.stop()
		require.NoError(t, <-p.runErr)
	}
}

// Guards against a digest that does not fit a datagram in the largest fleet.
func TestLargestDigestFitsDatagram(t *testing.T) {
	d := &Digest{Name: "g", Boot: 1 << 60}
	for i := range 600 {
		d.Busy = append(d.Busy, &Busy{Endpoint: 1 << 60, Running: 64, PendingTokens: []uint32{60_000, 60_000}})
		d.Windows = append(d.Windows, &Window{Number: int64(i), Counts: map[string]uint64{"account": 1000}})
	}
	b, err := proto.Marshal(d)
	require.NoError(t, err)
	require.Less(t, len(b), maxDatagramBytes)
}
