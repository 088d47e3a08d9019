package clroute

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestSubset guards against entries that all use the same endpoints, against
// endpoints that no entry uses, and against parts that change as a whole when
// one endpoint goes.
func TestSubset(t *testing.T) {
	const entries, endpoints, n = 390, 600, 24
	ids := make([]string, endpoints)
	for i := range ids {
		ids[i] = fmt.Sprint("e", i)
	}
	uses := make(map[string]int)
	for i := range entries {
		part := Subset(fmt.Sprint("entry-", i), ids, n)
		require.Len(t, part, n)
		for _, id := range part {
			uses[id]++
		}
		without := Subset(fmt.Sprint("entry-", i), ids[1:], n)
		kept := 0
		for _, id := range without {
			for _, was := range part {
				if id == was {
					kept++
				}
			}
		}
		require.GreaterOrEqual(t, kept, n-1, "more than the endpoint that went was replaced")
	}
	require.Len(t, uses, endpoints, "an endpoint is used by no entry")
	for id, u := range uses {
		require.Less(t, u, 3*entries*n/endpoints, "endpoint %s is used by too many entries", id)
	}
	require.Equal(t, ids[:5], Subset("entry", ids[:5], n))
}
