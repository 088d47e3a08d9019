package clstandin

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chestnutlead/chestnutlead/clendpoint"
)

// TestBooking guards against duplicates that are not counted, or that are
// counted although the service removes them.
func TestBooking(t *testing.T) {
	for _, deduplicate := range []bool{false, true} {
		b := &Booking{Server: Server{Listen: loopback}, Deduplicate: deduplicate}
		require.NoError(t, b.Start())
		defer b.Close()
		h := testClient(t)
		book := func(key, reqBody string) bookingAnswer {
			c := call(b.Addr(), "/book", reqBody)
			c.Header = []clendpoint.Header{{Name: "Idempotency-Key", Value: key}}
			a, err := h.Do(context.Background(), c)
			require.NoError(t, err)
			defer a.Body.Close()
			var out bookingAnswer
			require.NoError(t, json.NewDecoder(a.Body).Decode(&out))
			return out
		}
		first, second := book("k", "x"), book("k", "x")
		book("l", "x")
		s := b.Stats()
		require.EqualValues(t, 3, s.Calls)
		require.Equal(t, deduplicate, first == second)
		runs := map[bool]int{true: 1, false: 2}[deduplicate]
		require.Equal(t, map[string]int{"k": runs, "l": 1}, s.Keys)
		require.Equal(t, map[string]int{first.Body: runs + 1}, s.Bodies)
		require.Equal(t, runs, s.MaxRuns)
		a, err := h.Do(context.Background(), clendpoint.Call{Endpoint: b.Addr(), Method: "GET", Path: "/stock"})
		require.NoError(t, err)
		require.Equal(t, 200, a.Status)
		require.EqualValues(t, 1, b.Stats().Reads)
		l, err := h.Load(context.Background(), b.Addr())
		require.NoError(t, err)
		require.Equal(t, s.BootID, l.BootID)
	}
}
