package clbooking_test

import (
	"context"
	"fmt"

	"github.com/chestnutlead/chestnutlead/clbooking"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clstore"
)

func ExampleLedger() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := &clbooking.Ledger{Config: clbooking.PartitionConfig{Service: "cover"}, Store: &clstore.Memory{}}
	stopped := make(chan error)
	go func() { stopped <- l.Run(ctx) }()

	ids := clbooking.AttemptIDs{Boot: "boot-1"}
	call := clbooking.Call{Account: "surat", IdempotencyKey: "shift-17", Method: "POST", Path: "/book", Body: []byte("{}")}
	for range 2 {
		r, err := l.NewRecord(call, ids.Next(), "127.0.0.1:7001")
		if err != nil {
			fmt.Println(err)
			return
		}
		verdict, stored, err := l.Begin(ctx, r)
		switch {
		case err != nil:
			fmt.Println(err)
		case verdict == clbooking.VerdictProceed:
			fmt.Println("send the call, then store its outcome")
			err = l.Finish(r, clstate.BookingState_BOOKING_STATE_DONE, &clstate.BookingAnswer{Status: 201, Body: []byte("booked")})
			if err == nil {
				err = l.Flush(ctx)
			}
			fmt.Println("stored:", err == nil)
		case verdict == clbooking.VerdictReplay:
			fmt.Printf("replay %d %s\n", stored.Answer.Status, stored.Answer.Body)
		}
	}
	cancel()
	fmt.Println(<-stopped)
	// Output:
	// send the call, then store its outcome
	// stored: true
	// replay 201 booked
	// <nil>
}
