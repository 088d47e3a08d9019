// This file tests what follows from what endpoints say of themselves.

package clfleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/stretchr/testify/require"
)

// apiEndpoint returns an endpoint of the plain service.
func apiEndpoint(id string, born int64) clcatalog.Endpoint {
	return clcatalog.Endpoint{ID: id, Service: "api", DataCentre: "a", Version: "v1", Slots: 6, Born: born}
}

// choose returns a choice of the endpoint with the given ID.
func choose(t *testing.T, f *Fleet, id string) *Choice {
	t.Helper()
	for range 1000 {
		if c, _ := f.Pick(Request{ID: "r", Service: "api", TimeLeft: time.Minute}, testStart); c != nil && c.Endpoint == id {
			return c
		}
	}
	require.Fail(t, "endpoint is never chosen", id)
	return nil
}

// Guards against requests to an endpoint that leaves by its own word (DRAIN), while the
// registry does not know it, has lost the entry, or repeats an older one.
func TestLeavingByOwnWord(t *testing.T) {
	for _, tc := range []struct {
		name   string
		after  func(f *Fleet)
		chosen bool
	}{
		{"said", func(*Fleet) {}, false},
		{"entry is repeated as ready", func(f *Fleet) { f.Put(apiEndpoint("e1", 7), testStart) }, false},
		{"entry lapses and comes back", func(f *Fleet) { f.Remove("e1"); f.Put(apiEndpoint("e1", 7), testStart) }, false},
		{"all entries lapse and come back", func(f *Fleet) { f.Retain(nil); f.Put(apiEndpoint("e1", 7), testStart) }, false},
		{"another start under the ID", func(f *Fleet) { f.Put(apiEndpoint("e1", 8), testStart) }, true},
		{"another start after the entry has lapsed", func(f *Fleet) { f.Remove("e1"); f.Put(apiEndpoint("e1", 8), testStart) }, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := newFleet(1, apiEndpoint("e1", 7))
			c := choose(t, f, "e1")
			require.True(t, f.MarkLeaving(c, testStart))
			require.False(t, f.MarkLeaving(c, testStart), "it is no news the second time")
			tc.after(f)
			for _, at := range []time.Duration{0, time.Minute, time.Hour} {
				choice, refusal := f.Pick(Request{ID: "r", Service: "api", TimeLeft: time.Minute}, testStart.Add(at))
				if tc.chosen {
					require.NotNil(t, choice)
					continue
				}
				require.Nil(t, choice)
				require.Equal(t, ReasonLeaving, refusal.Reason)
			}
		})
	}
}

// Guards against a word of an endpoint's former start that reaches the present one.
func TestLateWordOfFormerStart(t *testing.T) {
	f := newFleet(1, apiEndpoint("e1", 7))
	c := choose(t, f, "e1")
	f.Put(apiEndpoint("e1", 8), testStart)
	f.MarkLeaving(c, testStart)
	f.MarkQuiet(c, time.Minute, testStart)
	choice, _ := f.Pick(Request{ID: "r", Service: "api", TimeLeft: time.Minute}, testStart)
	require.NotNil(t, choice)
}

// Guards against a late word of an endpoint's former start that cancels that of the
// present one (DRAIN).
func TestWordOfPresentStartStays(t *testing.T) {
	f := newFleet(1, apiEndpoint("e1", 7))
	former := choose(t, f, "e1")
	f.Put(apiEndpoint("e1", 8), testStart)
	f.MarkLeaving(choose(t, f, "e1"), testStart)
	f.MarkQuiet(former, time.Minute, testStart)
	f.Put(apiEndpoint("e1", 8), testStart)
	choice, _ := f.Pick(Request{ID: "r", Service: "api", TimeLeft: time.Minute}, testStart)
	require.Nil(t, choice)
}

// Guards against requests to an endpoint that wants none for some time (BUDGET), and
// against callers that are told to come back before any endpoint opens.
func TestQuiet(t *testing.T) {
	f := newFleet(1, apiEndpoint("e1", 1), apiEndpoint("e2", 1))
	pick := func(at time.Duration) (*Choice, *Refusal) {
		return f.Pick(Request{ID: "r", Service: "api", TimeLeft: time.Minute}, testStart.Add(at))
	}
	f.MarkQuiet(choose(t, f, "e1"), 4*time.Second, testStart)
	for at := range 4 {
		for range 100 {
			c, _ := pick(time.Duration(at) * time.Second)
			require.Equal(t, "e2", c.Endpoint)
		}
	}
	f.MarkQuiet(choose(t, f, "e2"), 1500*time.Millisecond, testStart.Add(time.Second))
	// A shorter time does not end a longer one.
	f.MarkQuiet(choiceOf(f, "e1"), time.Millisecond, testStart.Add(time.Second))
	_, refusal := pick(time.Second)
	require.Equal(t, ReasonQuiet, refusal.Reason)
	require.GreaterOrEqual(t, refusal.RetryAfter, 1500*time.Millisecond, "e2 opens first")
	require.Less(t, refusal.RetryAfter, 1500*time.Millisecond+maxRetryJitter)
	c, _ := pick(2600 * time.Millisecond)
	require.Equal(t, "e2", c.Endpoint)
	// An entry that is written meanwhile changes nothing.
	f.Put(apiEndpoint("e1", 1), testStart.Add(3*time.Second))
	c, _ = pick(3900 * time.Millisecond)
	require.Equal(t, "e2", c.Endpoint)
}

// choiceOf returns a choice of an endpoint that may get no requests at present.
func choiceOf(f *Fleet, id string) *Choice {
	e := f.endpoints[id]
	return &Choice{Endpoint: id, Born: e.Born, endpoint: e, service: e.Service}
}

// Guards against callers that are told to wait for an endpoint's quiet time although
// another endpoint may take them earlier.
func TestRetryAfterWithOtherEndpoints(t *testing.T) {
	f := newFleet(1, apiEndpoint("e1", 1), apiEndpoint("e2", 1))
	f.MarkQuiet(choose(t, f, "e1"), time.Minute, testStart)
	_, refusal := f.Pick(Request{ID: "r", Service: "api", TimeLeft: time.Minute, Tried: []string{"e2"}}, testStart)
	require.NotNil(t, refusal)
	require.LessOrEqual(t, refusal.RetryAfter, defaultRetryAfter)
}

// Guards against an endpoint that is closed for good by a wrong figure.
func TestQuietTimeIsLimited(t *testing.T) {
	f := newFleet(1, apiEndpoint("e1", 1))
	until := f.MarkQuiet(choose(t, f, "e1"), 1<<62, testStart)
	require.Equal(t, testStart.Add(maxQuietTime), until)
}

// Guards against an endpoint that gets all that has waited for it at the end of its
// quiet time.
func TestGradualReturn(t *testing.T) {
	f := newFleet(1, apiEndpoint("e1", 1))
	f.MarkQuiet(choose(t, f, "e1"), time.Second, testStart)
	running := func(at time.Duration) int {
		for n := 0; ; n++ {
			r := Request{ID: fmt.Sprint("r", n), Service: "api", TimeLeft: time.Minute}
			c, refusal := f.Pick(r, testStart.Add(at))
			if c == nil {
				require.Equal(t, ReasonReturning, refusal.Reason)
				return f.endpoints["e1"].running
			}
			f.Begin(c, r, testStart.Add(at))
			if n > 2*c.endpoint.Slots {
				return n
			}
		}
	}
	require.Equal(t, 1, running(time.Second))
	require.Equal(t, 4, running(time.Second+returnPeriod/2))
	require.Greater(t, running(time.Second+returnPeriod), 2*6, "nothing but the usual limits")
}

// Guards against a record that grows with each endpoint that has ever left.
func TestStatementsExpire(t *testing.T) {
	f := newFleet(1)
	for i := range 3 * maxStatements {
		now := testStart.Add(time.Duration(i) * time.Minute)
		id := fmt.Sprint("e", i)
		f.Put(apiEndpoint(id, 1), now)
		f.MarkLeaving(choiceOf(f, id), now)
		f.Remove(id)
	}
	require.LessOrEqual(t, len(f.statements), maxStatements)
}

// Guards against a time of return far in the past if all endpoints that want quiet leave.
func TestQuietEndpointsThatLeave(t *testing.T) {
	e := engineEndpoint("e0", "a", "v1")
	f := newFleet(3, e)
	c, _ := f.Pick(llmRequest("r"), testStart)
	f.MarkQuiet(c, time.Second, testStart)
	e.Leaving = true
	f.Put(e, testStart)
	_, refusal := f.Pick(llmRequest("r"), testStart)
	require.Equal(t, ReasonLeaving, refusal.Reason)
	require.Equal(t, defaultRetryAfter, refusal.RetryAfter)
}
