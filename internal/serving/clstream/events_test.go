// This file tests Splitter.

package clstream

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// The events must not depend on how the stream is divided into writes.
func TestEventsDoNotDependOnWriteSizes(t *testing.T) {
	const stream = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\n: comment\n\nid: x\ndata: c\n\nid: 4\nda"
	rapid.Check(t, func(t *rapid.T) {
		var s Splitter
		var raws []string
		var ids []int64
		for rest := stream; rest != ""; {
			n := rapid.IntRange(1, len(rest)).Draw(t, "bytes")
			s.Write([]byte(rest[:n]))
			rest = rest[n:]
			for {
				e, ok := s.Next()
				if !ok {
					break
				}
				raws = append(raws, string(e.Raw))
				if e.HasID {
					ids = append(ids, e.ID)
				}
			}
		}
		require.Equal(t, []string{"id: 1\ndata: a\n\n", "id:2\r\ndata: b\r\n\r\n", ": comment\n\n", "id: x\ndata: c\n\n"}, raws)
		require.Equal(t, []int64{1, 2}, ids)
		require.Equal(t, "id: 4\nda", string(s.Remaining()))
	})
}

// For any input, the events and the remaining bytes must together equal the input,
// and Next must return false after a limited number of events.
func FuzzSplitter(f *testing.F) {
	f.Add([]byte("id: 1\n\nid: 2\r\n\r\n"))
	f.Add([]byte("\n\n\n\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		var s Splitter
		var out []byte
		for i := range in {
			s.Write(in[i : i+1])
			for {
				e, ok := s.Next()
				if !ok {
					break
				}
				out = append(out, e.Raw...)
			}
		}
		require.Equal(t, string(in), string(append(out, s.Remaining()...)))
	})
}
