// This file shows a queue that serves two accounts and refuses a late request.

package cladmission_test

import (
	"fmt"
	"time"

	"github.com/chestnutlead/chestnutlead/cladmission"
)

func Example() {
	now := time.Date(2026, 1, 2, 6, 0, 0, 0, time.UTC)
	q := cladmission.NewQueue[string](cladmission.Config{Quantum: 100})
	for i := range 3 {
		q.Offer(cladmission.Request[string]{
			Account: "large", Cost: 100, StartBy: now.Add(time.Second), Value: fmt.Sprint("large-", i),
		}, now)
	}
	q.Offer(cladmission.Request[string]{Account: "small", Cost: 100, StartBy: now.Add(time.Second), Value: "small-0"}, now)

	for range 2 {
		r, _, _ := q.Take(now)
		fmt.Println("admitted", r.Value)
	}
	for _, r := range q.Expire(now.Add(2 * time.Second)) {
		fmt.Println("refused", r.Request.Value, r.Refusal.Kind, r.Refusal.RetryAfter >= time.Second)
	}
	// Output:
	// admitted large-0
	// admitted small-0
	// refused large-1 deadline_passed true
	// refused large-2 deadline_passed true
}
