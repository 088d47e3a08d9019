// This file shows a rollout of a version that fails on one route.

package clrollout_test

import (
	"fmt"
	"time"

	"github.com/chestnutlead/chestnutlead/clrollout"
)

func Example() {
	now := time.Unix(1_800_000_000, 0)
	r := clrollout.New(clrollout.Config{
		Service: "brew-llm", From: "v1", To: "v2", Start: now, Deadline: now.Add(2 * time.Hour),
	}, now)

	var c clrollout.Collector // one in each process that sends requests
	for second := range 60 {
		now = now.Add(time.Second)
		for i := range 20 {
			o := clrollout.Outcome{Service: "brew-llm", Version: "v1", Route: "/reply", Latency: 200 * time.Millisecond}
			if i == 0 { // 5% of the traffic
				o.Version, o.Failed = "v2", second%2 == 0
			}
			c.Observe(now, o)
		}
		sequence, batch := c.Take(now)
		r.Report("entry-1", sequence, batch)
		c.Ack(sequence)
		if d := r.Decide(now); d.Action != clrollout.Hold {
			fmt.Println(d.Action, "after", second+1, "s:", d.Reason)
			break
		}
	}
	// Output:
	// suspend after 11 s: v2 is worse than v1 on route "/reply": failures
}
