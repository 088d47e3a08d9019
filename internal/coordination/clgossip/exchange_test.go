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
	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"
)

// testGateway is a running Exchange.
type testGateway struct {
	*Exchange
	mu sync.Mutex
	// lastDigests holds the last digest from each peer, by the peer's name.
	lastDigests map[string]*Digest
	// stop ends Run, whose error is then sent to runErr.
	stop   context.CancelFunc
	runErr chan error
}

// startGateways starts count gateways, named "g0" and so on, that exchange digests.
// Each digest holds one Spending, of the client account "a", whose Cost is the
// length of the name of the gateway that sends the digest.
func startGateways(t *testing.T, count int) []*testGateway {
	t.Helper()
	return startGatewaysIn(t, count, "a")
}

// startGatewaysIn starts gateways as startGateways does, in the given data centres in
// turn.
func startGatewaysIn(t *testing.T, count int, dataCentres ...string) []*testGateway {
	t.Helper()
	var members []clcatalog.Member
	for i := range count {
		members = append(members, clcatalog.Member{Name: fmt.Sprint("g", i), Boot: 1, Address: cltest.Address(t), DataCentre: dataCentres[i%len(dataCentres)]})
	}
	var gateways []*testGateway
	for _, m := range members {
		g := &testGateway{lastDigests: map[string]*Digest{}, runErr: make(chan error, 1)}
		g.Exchange = &Exchange{
			Self: m, Gateways: func() []clcatalog.Member { return members }, Clock: &clclock.MedianClock{}, Logger: zap.NewNop(),
			FillDigest: func(d *Digest) { d.Spending = append(d.Spending, &Spending{Account: "a", Cost: float64(len(m.Name))}) },
			OnDigest: func(d *Digest) {
				g.mu.Lock()
				defer g.mu.Unlock()
				g.lastDigests[d.GetName()] = d
			},
		}
		ctx, cancel := context.WithCancel(t.Context())
		g.stop = cancel
		go func() { g.runErr <- g.Run(ctx) }()
		gateways = append(gateways, g)
	}
	return gateways
}

// Guards against gateways that do not receive each other's digests, or that still
// count a gateway as alive after its last digest has said that its process ends.
func TestExchangeDigestsAndDeparture(t *testing.T) {
	gateways := startGateways(t, 3)
	for _, g := range gateways {
		require.Eventually(t, func() bool { return len(g.AlivePeers()) == 2 }, 5*time.Second, 10*time.Millisecond)
	}
	gateways[0].mu.Lock()
	require.Equal(t, 2.0, gateways[0].lastDigests["g1"].GetSpending()[0].GetCost())
	gateways[0].mu.Unlock()
	gateways[1].stop()
	require.NoError(t, <-gateways[1].runErr)
	require.Eventually(t, func() bool { return len(gateways[0].AlivePeers()) == 1 }, time.Second, 10*time.Millisecond)
	for _, i := range []int{0, 2} {
		gateways[i].stop()
		require.NoError(t, <-gateways[i].runErr)
	}
}

// Guards against bytes between data centres that grow with the square of the gateways,
// against gateways that no digest reaches, and against a relay that is always the same
// one, so that its loss would cut off its data centre.
func TestRouteUsesRelays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &Exchange{Self: clcatalog.Member{Name: "a0", DataCentre: "a"}, Logger: zap.NewNop()}
		now := clclock.Now()
		e.peerStates = map[string]peerState{}
		members := []clcatalog.Member{e.Self}
		size := map[string]int{}
		alive := map[string]int{}
		for _, dc := range []string{"a", "b", "c"} {
			size[dc] = rapid.IntRange(1, 9).Draw(t, "size")
			for i := range size[dc] {
				m := clcatalog.Member{Name: fmt.Sprint(dc, i), DataCentre: dc}
				if m.Name == e.Self.Name {
					continue
				}
				members = append(members, m)
				if rapid.Bool().Draw(t, "alive") {
					alive[dc]++
					e.peerStates[m.Name] = peerState{receivedAt: now, dataCentre: dc}
				}
			}
		}
		relays := rapid.IntRange(0, 2).Draw(t, "relays")
		drawn := map[string]bool{}
		for range 200 {
			direct, relayed := e.route(members, relays, now)
			got := map[string]int{}
			for _, m := range direct {
				require.NotEqual(t, e.Self.Name, m.Name)
				got[m.DataCentre]++
			}
			for _, m := range relayed {
				require.NotEqual(t, e.Self.DataCentre, m.DataCentre)
				require.True(t, alive[m.DataCentre] == 0 || e.alive(e.peerStates[m.Name], now), "a gateway that is not alive relays nothing")
				drawn[m.Name] = true
				got[m.DataCentre]++
			}
			require.Equal(t, size["a"]-1, got["a"])
			for _, dc := range []string{"b", "c"} {
				want := size[dc]
				if relays > 0 && size[dc] >= minRelayedGateways {
					if want = relays; alive[dc] > 0 {
						want = min(relays, alive[dc])
					}
				}
				require.Equal(t, want, got[dc])
			}
		}
		for _, dc := range []string{"b", "c"} {
			if relays > 0 && size[dc] >= minRelayedGateways && alive[dc] > 0 {
				require.Len(t, lo.Filter(lo.Keys(drawn), func(name string, _ int) bool { return name[:1] == dc }), alive[dc], "each relays in turn")
			}
		}
	})
}

// Guards against gateways that stop hearing each other through relays when some of them
// end without a word: digests reach each gateway from all that are left, and go on to
// do so, before and after the dead ones stop counting as alive.
func TestDigestsReachAllThroughRelays(t *testing.T) {
	gateways := startGatewaysIn(t, 15, "a", "b", "c")
	for _, g := range gateways {
		require.Eventually(t, func() bool {
			select {
			case err := <-g.runErr:
				require.NoError(t, err, "gateway %s ended", g.Self.Name)
			default:
			}
			return len(g.AlivePeers()) == 14
		}, 10*time.Second, 10*time.Millisecond)
	}
	for _, g := range gateways[:6] {
		require.NoError(t, g.conn.Close())
	}
	for end := time.Now().Add(2 * PeerTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, g := range gateways[6:] {
			for _, other := range gateways[6:] {
				if g == other {
					continue
				}
				require.Less(t, clclock.Now().Sub(g.LastDigestTimeFrom(other.Self.Name)), PeerTimeout, "%s from %s", g.Self.Name, other.Self.Name)
			}
		}
	}
	require.Eventually(t, func() bool { return len(gateways[14].AlivePeers()) == 8 }, time.Second, 10*time.Millisecond)
	for _, g := range gateways {
		g.stop()
	}
	for i, g := range gateways {
		if err := <-g.runErr; i >= 6 {
			require.NoError(t, err)
		}
	}
}

// Guards against a digest that replaces a newer one, because it arrived out of
// order, twice, or after a digest of a later run of the same gateway, and against
// digests that carry no name or the receiver's own.
func TestAcceptRejectsOldAndOwnDigests(t *testing.T) {
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

// Guards against a process that ends, or stops receiving, on datagrams that are not
// digests.
func TestInvalidDatagramsAreIgnored(t *testing.T) {
	gateways := startGateways(t, 2)
	require.Eventually(t, func() bool { return len(gateways[0].AlivePeers()) == 1 }, 5*time.Second, 10*time.Millisecond)
	c, err := net.Dial("udp4", gateways[0].Self.Address.String())
	require.NoError(t, err)
	for _, b := range [][]byte{{}, {0xff, 0xff}, []byte("GET / HTTP/1.1\r\n\r\n")} {
		_, err = c.Write(b)
		require.NoError(t, err)
	}
	require.NoError(t, c.Close())
	lastDigestTime := gateways[0].LastDigestTimeFrom("g1")
	require.Eventually(t, func() bool { return gateways[0].LastDigestTimeFrom("g1").After(lastDigestTime) }, 2*time.Second, 10*time.Millisecond)
	for _, g := range gateways {
		g.stop()
		require.NoError(t, <-g.runErr)
	}
}

// Guards against a digest that is too large for a datagram when the sender has work
// in progress at 600 endpoints, reports 600 usage windows and tells as much of crashes as
// clcrash allows.
func TestLargeDigestFitsDatagram(t *testing.T) {
	d := &Digest{Name: "g", Boot: 1 << 60}
	for i := range 600 {
		d.Busy = append(d.Busy, &Busy{Endpoint: 1 << 60, Running: 64, PendingTokens: []uint32{60_000, 60_000}})
		d.Windows = append(d.Windows, &Window{Number: int64(i), Counts: map[string]uint64{"account": 1000}})
	}
	for range 32 {
		d.Crashes = append(d.Crashes, &Crash{EndpointRun: 1 << 60, AgeMs: 600_000, Traits: make([]uint64, 32), Depths: make([]byte, 32)})
	}
	for range 512 {
		d.SoundRuns = append(d.SoundRuns, &SoundRun{Trait: 1 << 60, AgeMs: 600_000})
	}
	for range 256 {
		d.Blocks = append(d.Blocks, &Block{Trait: 1 << 60, AgeMs: 600_000, Depth: 255})
	}
	b, err := proto.Marshal(d)
	require.NoError(t, err)
	require.Less(t, len(b), maxDatagramBytes)
}

// BenchmarkReportsInDigest measures the bytes that usage reports with 20 accounts each add
// to a digest: none in the usual case, one while the platform has not accepted the latest
// report, and as many as are stored at most.
func BenchmarkReportsInDigest(b *testing.B) {
	for _, reports := range []int{0, 1, 5} {
		b.Run(fmt.Sprint(reports), func(b *testing.B) {
			d := &Digest{Name: "edge-a-1", Boot: uint64(time.Now().UnixNano()), Sequence: 1 << 20, WallUs: time.Now().UnixMicro(), DataCentre: "a"}
			empty := proto.Size(d)
			for n := range reports {
				w := &Window{Number: int64(353_445_120 + n), Counts: map[string]uint64{}}
				for account := range 20 {
					w.Counts[fmt.Sprintf("acct%03d", account)] = 400
				}
				d.Reports = append(d.Reports, w)
			}
			for b.Loop() {
				if _, err := proto.Marshal(d); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(proto.Size(d)-empty), "bytes/digest")
		})
	}
}
