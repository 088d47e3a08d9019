package clmember_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clmember"
	"github.com/stretchr/testify/require"
)

// TestIslandsJoin guards against processes that start at the same time, find
// each other in pairs through different seeds and never learn of the others.
func TestIslandsJoin(t *testing.T) {
	const pairs = 3
	now := time.Unix(1_700_000_000, 0)
	var seeds []netip.AddrPort
	for i := range pairs {
		seeds = append(seeds, netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.1:7000", i)))
	}
	byAddr := make(map[netip.AddrPort]*clmember.Core)
	var cores []*clmember.Core
	for i := range 2 * pairs {
		addr := netip.MustParseAddrPort(fmt.Sprintf("10.0.%d.%d:7000", i/2, i%2+1))
		c := clmember.New(clmember.Config{
			Self:  clmember.Member{ID: fmt.Sprint("m", i), Address: addr, Role: "entry", DataCentre: "a", State: clmember.Alive},
			Seeds: seeds, Rand: rand.New(rand.NewPCG(1, uint64(i))),
		}, now)
		cores = append(cores, c)
		byAddr[addr] = c
	}
	carry := func(from *clmember.Core, calls []clmember.Call) {
		for len(calls) > 0 {
			call := calls[0]
			calls = calls[1:]
			to := byAddr[call.To.Address]
			var out clmember.Output
			switch call.Kind {
			case clmember.CallExchange:
				resp, _ := to.HandleExchange(now, call.Exchange)
				out = from.ExchangeAnswered(now, to.Self(), resp)
			case clmember.CallSync:
				resp, _ := to.HandleSync(now, from.Self())
				out = from.SyncAnswered(now, to.Self(), resp)
			}
			calls = append(calls, out.Calls...)
		}
	}
	// Each pair knows only itself, as after a simultaneous start.
	for i := 0; i < 2*pairs; i += 2 {
		resp, _ := cores[i].HandleSync(now, cores[i+1].Self())
		carry(cores[i+1], cores[i+1].SyncAnswered(now, cores[i].Self(), resp).Calls)
	}
	for range 20 {
		now = now.Add(time.Second)
		for _, c := range cores {
			carry(c, c.Tick(now).Calls)
		}
	}
	for _, c := range cores {
		require.Len(t, c.Members(), 2*pairs-1, "member %s", c.Self().ID)
	}
}
