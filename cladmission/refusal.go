// This file defines the typed refusal of a request that did not run.

package cladmission

import (
	"fmt"
	"time"
)

type (
	// Kind is the reason of a refusal.
	Kind string

	// Refusal says that a request was not run and when a retry can help.
	Refusal struct {
		Kind Kind
		// Wait is the expected wait at the time of the refusal.
		Wait time.Duration
		// RetryAfter is the time after which the expected wait fits the request's
		// time, at the present rate.
		RetryAfter time.Duration
	}
)

// Reasons of a refusal.
const (
	// KindNoTime says that the expected wait exceeds the request's remaining time.
	KindNoTime Kind = "no_time"
	// KindDeadlinePassed says that the request could not be started in time.
	KindDeadlinePassed Kind = "deadline_passed"
	// KindQueueFull says that the account has the largest number of requests waiting.
	KindQueueFull Kind = "queue_full"
)

// minRetryAfter keeps refused callers from returning at once.
const minRetryAfter = time.Second

var _ error = (*Refusal)(nil)

// Error names the reason and the remedy.
func (r *Refusal) Error() string {
	return fmt.Sprintf("request not run (%s, expected wait %s): retry after %s or allow more time",
		r.Kind, r.Wait.Round(time.Millisecond), r.RetryAfter.Round(time.Millisecond))
}

func newRefusal(k Kind, wait, remaining time.Duration) *Refusal {
	return &Refusal{Kind: k, Wait: wait, RetryAfter: max(minRetryAfter, wait-max(remaining, 0))}
}
