// This file measures how changes enter a copy.

package clmirror

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkApplyBatch measures one change of a copy of 3000 objects.
func BenchmarkApplyBatch(b *testing.B) {
	m, _ := newOrderedMirror(1)
	m.Apply = func([]Change[int], bool) {}
	list := Batch[int]{Cursor: 1, Era: 1}
	for i := range 3000 {
		list.Changes = append(list.Changes, Change[int]{Name: fmt.Sprint(i), Value: i, Revision: 1})
	}
	m.applyBatch(list, true, time.Time{})
	changes := []Change[int]{{Name: "7"}}
	b.ReportAllocs()
	for n := uint64(2); b.Loop(); n++ {
		changes[0].Revision = n
		m.applyBatch(Batch[int]{Cursor: n, Era: 1, Changes: changes}, false, time.Time{})
	}
}
