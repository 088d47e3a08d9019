// This file defines the conditions under which a process is ready.

package clobserve

import (
	"slices"
	"sync"

	"github.com/samber/lo"
)

// Readiness is a set of named conditions; a process is ready when all are met.
type Readiness struct {
	mu      sync.Mutex
	reasons map[string]string
}

// NewReadiness returns a set whose conditions are not met yet.
func NewReadiness(conditions ...string) *Readiness {
	r := &Readiness{reasons: make(map[string]string, len(conditions))}
	for _, c := range conditions {
		r.reasons[c] = "starting"
	}
	return r
}

// Meet marks a condition as met.
func (r *Readiness) Meet(condition string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.reasons, condition)
}

// Fail marks a condition as not met, for a reason that operators read.
func (r *Readiness) Fail(condition, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reasons[condition] = reason
}

// Ready says whether all conditions are met.
func (r *Readiness) Ready() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.reasons) == 0
}

// Reasons returns "condition: reason" for each condition that is not met, sorted.
func (r *Readiness) Reasons() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	reasons := lo.MapToSlice(r.reasons, func(c, reason string) string { return c + ": " + reason })
	slices.Sort(reasons)
	return reasons
}
