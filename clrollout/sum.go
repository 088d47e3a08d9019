// This file defines how batches of several processes are summed on their way to
// the evaluation, and how each of them is counted once.

package clrollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

type (
	// Part names one batch of one process.
	Part struct {
		// From is the ReporterKey of the process.
		From uint64
		// Sequence is the batch's number at that process; see Collector.Take.
		Sequence uint64
	}

	// Batch is the evidence that one process reports at once. A batch that is
	// sent again has the same Part and the same evidence.
	Batch struct {
		Part
		Evidence []Evidence
	}

	// Receiver remembers the batches that have been counted, so that one that
	// comes twice, alone or in different sums, is counted once.
	Receiver struct{ last map[uint64]uint64 }

	// Aggregator gathers batches of several processes and sums them. It keeps a
	// batch only until the sum is taken: a process repeats its batch until it is
	// told that it has been counted, so that the loss of an Aggregator loses no
	// evidence. Fields are set before use.
	Aggregator struct {
		// Gather is how long the first batch waits for those of other processes.
		Gather time.Duration
		// Interval is the least time between two sums.
		Interval time.Duration

		pending map[uint64]Batch
		first   time.Time
		taken   time.Time
	}

	// Sum is a set of batches that are counted together.
	Sum struct{ batches []Batch }
)

// ReporterKey returns the key of a process's ID, which must differ for each
// start of the process. A key has 8 bytes, because each sum lists all of them;
// two of 100,000 IDs share one with a probability of 3e-10.
func ReporterKey(id string) uint64 { return xxhash.Sum64String(id) }

// Receive counts all parts, or none of them if some had been counted before; it
// returns those. Their evidence is inside the sum and cannot be taken out of it
// here: the sender has to sum the others anew.
func (r *Receiver) Receive(parts []Part) []Part {
	counted := lo.Filter(parts, func(p Part, _ int) bool { return p.Sequence <= r.last[p.From] })
	if len(counted) > 0 {
		return counted
	}
	if r.last == nil {
		r.last = make(map[uint64]uint64)
	}
	for _, p := range parts {
		r.last[p.From] = p.Sequence
	}
	return nil
}

// Add takes a batch. It replaces one of the same process, which is the same
// batch again or one that the process knows to be counted.
func (a *Aggregator) Add(now time.Time, b Batch) {
	if len(a.pending) == 0 {
		a.pending = make(map[uint64]Batch)
		a.first = now
	}
	if b.Sequence >= a.pending[b.From].Sequence {
		a.pending[b.From] = b
	}
}

// Due returns when the next sum is to be taken, or false if there is nothing to sum.
func (a *Aggregator) Due() (time.Time, bool) {
	due, next := a.first.Add(a.Gather), a.taken.Add(a.Interval)
	if next.After(due) {
		due = next
	}
	return due, len(a.pending) > 0
}

// Take returns the batches since the former sum and forgets them.
func (a *Aggregator) Take(now time.Time) Sum {
	s := Sum{batches: lo.Values(a.pending)}
	slices.SortFunc(s.batches, func(x, y Batch) int { return cmp.Compare(x.From, y.From) })
	a.pending, a.taken = nil, now
	return s
}

// Parts returns the batches of the sum.
func (s *Sum) Parts() []Part { return lo.Map(s.batches, func(b Batch, _ int) Part { return b.Part }) }

// Evidence returns the sum of the batches' evidence.
func (s *Sum) Evidence() []Evidence {
	sums := make(map[evidenceKey]*Evidence)
	for _, b := range s.batches {
		for _, e := range b.Evidence {
			k := evidenceKey{e.Service, e.Version, e.Route, e.Minute}
			if sums[k] == nil {
				sums[k] = &Evidence{Service: e.Service, Version: e.Version, Route: e.Route, Minute: e.Minute}
			}
			sums[k].plus(e)
		}
	}
	return sorted(sums)
}

// Drop takes the batches of some processes out of the sum, because the receiver
// has counted them before, and returns their parts.
func (s *Sum) Drop(from []uint64) []Part {
	dropped, rest := lo.FilterReject(s.batches, func(b Batch, _ int) bool { return slices.Contains(from, b.From) })
	s.batches = rest
	return lo.Map(dropped, func(b Batch, _ int) Part { return b.Part })
}

// sorted returns sums in the order of service, minute, route and version.
func sorted(sums map[evidenceKey]*Evidence) []Evidence {
	list := lo.MapToSlice(sums, func(_ evidenceKey, e *Evidence) Evidence { return *e })
	slices.SortFunc(list, func(a, b Evidence) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Minute, b.Minute),
			cmp.Compare(a.Route, b.Route), cmp.Compare(a.Version, b.Version))
	})
	return list
}
