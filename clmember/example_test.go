// This file shows how a shell drives two cores.

package clmember_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/chestnutlead/chestnutlead/clmember"
)

func Example() {
	now := time.Unix(0, 0)
	addrA, addrB := netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.2:7000")
	newCore := func(id string, addr netip.AddrPort, seed uint64) *clmember.Core {
		return clmember.New(clmember.Config{
			Self:  clmember.Member{ID: id, Address: addr, DataCentre: "surat", Role: "entry"},
			Seeds: []netip.AddrPort{addrA},
			Rand:  rand.New(rand.NewPCG(seed, 0)),
		}, now)
	}
	a, b := newCore("a", addrA, 1), newCore("b", addrB, 2)

	// b joins: its first tick asks the seed for the full state.
	join := b.Tick(now).Calls[0]
	state, _ := a.HandleSync(now, b.Self())
	b.SyncAnswered(now, join.To, state)

	// a states a fact; the urgent push carries it to b.
	push := a.AddFact(now, clmember.Fact{
		ID: "leaving/e7", Kind: clmember.EndpointLeaving, Subject: "e7", Lifetime: time.Minute, Urgent: true,
	}).Calls[0]
	_, out := b.HandleExchange(now, push.Exchange)
	fmt.Println(push.To.ID, out.Facts[0].Subject, len(b.Members()))

	ownerA, _ := a.Owner("slots-3", clmember.Filter{Role: "entry"})
	ownerB, _ := b.Owner("slots-3", clmember.Filter{Role: "entry"})
	fmt.Println(ownerA.ID == ownerB.ID)
	// Output:
	// b e7 1
	// true
}
