// This file defines the pooled buffers.

package clmemory

import (
	"math/bits"
	"sync"
)

// Buffer is a pooled buffer. B is empty when the buffer is taken, and the user appends
// up to its capacity.
type Buffer struct {
	B []byte
	// class is the index of the buffer's pool.
	class int
}

const (
	minClassBits, maxClassBits = 12, 20
	// MinBufferBytes is the capacity of the smallest buffers.
	MinBufferBytes = 1 << minClassBits
	// maxPooledBytes is the capacity of the largest buffers that are pooled. Larger ones
	// are rare, and a pool would keep them longer than needed.
	maxPooledBytes = 1 << maxClassBits
)

var pools [maxClassBits - minClassBits + 1]sync.Pool

// RoundUp returns the capacity of a buffer that Get returns for n bytes.
func RoundUp(n int) int {
	if n > maxPooledBytes {
		return n
	}
	return 1 << max(minClassBits, bits.Len(uint(n-1)))
}

// Get returns an empty buffer with the capacity RoundUp(n), for n above 0. The caller
// has reserved that capacity.
func Get(n int) *Buffer {
	size := RoundUp(n)
	if size > maxPooledBytes {
		return &Buffer{B: make([]byte, 0, size), class: -1}
	}
	class := bits.Len(uint(size)) - 1 - minClassBits
	if b, ok := pools[class].Get().(*Buffer); ok {
		return b
	}
	return &Buffer{B: make([]byte, 0, size), class: class}
}

// Put returns a buffer to its pool. The buffer must not be used afterwards.
func Put(b *Buffer) {
	if b == nil || b.class < 0 {
		return
	}
	b.B = b.B[:0]
	pools[b.class].Put(b)
}
