package clorder_test

import (
	"fmt"
	"time"

	"github.com/chestnutlead/chestnutlead/cllease"
	"github.com/chestnutlead/chestnutlead/clorder"
)

func ExamplePolicy_Check() {
	now := time.Unix(1_000_000, 0)
	lease := cllease.State{Held: true, Fencing: 7, Until: now.Add(2 * time.Second)}
	p := clorder.Policy{SendTimeout: time.Second, Margin: time.Second}
	permit, err := p.Check(lease, now, true)
	fmt.Println("checks the number:", permit.Fencing, err)
	_, err = p.Check(lease, now, false)
	fmt.Println("ignores it:", err)
	// Output:
	// checks the number: 7 <nil>
	// ignores it: order: 2s of the lease are left and the order needs 2s; give it after the next renewal
}
