package cllease_test

import (
	"context"
	"fmt"
	"time"

	"github.com/chestnutlead/chestnutlead/cllease"
	"github.com/chestnutlead/chestnutlead/clstore"
)

func ExampleRunner() {
	store := &clstore.Memory{}
	ctx, cancel := context.WithCancel(context.Background())
	r := &cllease.Runner{
		Config: cllease.Config{Key: "lease/control", Holder: "process-1", TTL: 3 * time.Second},
		Store:  store,
	}
	r.OnChange = func(s cllease.State) {
		if s.Held {
			fmt.Println("held with fencing number", s.Fencing)
			cancel()
		}
	}
	if err := r.Run(ctx); err != nil {
		fmt.Println(err)
	}
	fmt.Println("held after Run:", r.Current(time.Now()).Held)
	// Output:
	// held with fencing number 1
	// held after Run: false
}
