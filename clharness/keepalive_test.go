// This file tests requests that share a caller's connection.

package clharness_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/chestnutlead/chestnutlead/clharness"
	"github.com/stretchr/testify/require"
)

const (
	sharedCallers = 4
	sharedRounds  = 12
)

// TestSharedConnections guards against requests on one connection that get each
// other's answers, and bookings that run twice or are recorded under the key of
// the connection's next request.
func TestSharedConnections(t *testing.T) {
	t.Parallel()
	f := start(t, smallProfile(3, 3))
	ctx := context.Background()
	answers := make(map[string]bookingAnswer)
	book := func(c *clharness.Caller, key string) bookingAnswer {
		r, err := c.Book(ctx, f.Profile.PlainService, key, `{"item":"`+key+`"}`)
		require.NoError(t, err)
		require.Less(t, r.Status, 300, "%s: %s", key, r.Body)
		var a bookingAnswer
		require.NoError(t, json.Unmarshal(r.Body, &a))
		require.Equal(t, key, a.Key)
		return a
	}
	for i := range sharedCallers {
		transport := &http.Transport{MaxConnsPerHost: 1}
		t.Cleanup(transport.CloseIdleConnections)
		c := &clharness.Caller{
			URL: f.Pairs[0].URL(), Account: f.Profile.Accounts[i%len(f.Profile.Accounts)], Timeout: bookingTimeout,
			HTTP: &http.Client{Transport: transport, Timeout: bookingTimeout},
		}
		for n := range sharedRounds {
			// Keys and prompts of the same length overwrite each other exactly.
			key := fmt.Sprintf("caller-%d-round-%02d", i, n)
			answers[key] = book(c, key)
			require.NoError(t, c.Stream(ctx, f.Profile.EngineService, strings.ToUpper(key), 8))
			r, err := c.Complete(ctx, f.Profile.EngineService, "whole "+key, 4)
			require.NoError(t, err)
			require.Equal(t, http.StatusOK, r.Status)
		}
	}
	for key, first := range answers {
		for _, p := range f.Pairs {
			var i, n int
			_, err := fmt.Sscanf(key, "caller-%d-round-%d", &i, &n)
			require.NoError(t, err)
			again := &clharness.Caller{URL: p.URL(), Account: f.Profile.Accounts[i%len(f.Profile.Accounts)], Timeout: bookingTimeout}
			require.Equal(t, first, book(again, key), "the first run's answer through %s", p.Entry.Name)
		}
	}
	runs, err := f.BookingRuns()
	require.NoError(t, err)
	require.Len(t, runs, sharedCallers*sharedRounds)
	for key, n := range runs {
		require.Equal(t, 1, n, "P7: runs of %s", key)
	}
}
