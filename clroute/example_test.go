// This file shows the choice of an endpoint.

package clroute_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/chestnutlead/chestnutlead/clroute"
)

func Example() {
	now := time.Date(2026, 1, 2, 6, 0, 0, 0, time.UTC)
	t := clroute.NewTable(clroute.Config{})
	for _, id := range []string{"a", "b", "c"} {
		t.Set(clroute.Endpoint{ID: id, Service: "brew-llm", Version: "v1", DataCentre: "surat"})
		t.SetSlots(id, 2)
	}
	prompt := []uint64{11, 12, 13}
	t.Sent("b", prompt, now)
	t.Report("b", clroute.Load{BootID: "b1", ProducedAt: now.Add(time.Second), Running: 1})

	r := clroute.Request{Service: "brew-llm", Version: "v1", Prefix: prompt, BlockTokens: 256, Tokens: 900}
	rnd := rand.New(rand.NewPCG(1, 2))
	c := t.Pick(&r, rnd, now.Add(time.Second))
	fmt.Println(c.Endpoint, c.Reason, c.CachedTokens)

	t.SetDataCentre("surat", true)
	fmt.Println(t.Pick(&r, rnd, now).Reason)
	// Output:
	// b cached 768
	// data_centre_out
}
