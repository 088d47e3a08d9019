// This file tests what follows from the load and the pace that endpoints state.

package clfleet

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/stretchr/testify/require"
)

// plainRequest returns a request to the plain service.
func plainRequest(id string) Request { return Request{ID: id, Service: "api", TimeLeft: time.Second} }

// newPlainFleet returns the table of a gateway with n endpoints of the plain service.
func newPlainFleet(n int) *Fleet {
	f := newFleet(3)
	for i := range n {
		f.Put(clcatalog.Endpoint{ID: fmt.Sprint("p", i), Service: "api", DataCentre: "a", Version: "v1", Slots: 6, Born: 1}, testStart)
	}
	return f
}

// state makes another gateway report the load of an endpoint.
func state(f *Fleet, id string, load StatedLoad, age time.Duration, now time.Time) {
	f.RecordPeerStatements([]EndpointStatement{{EndpointHash: f.endpoints[id].hash, Age: age, StatedLoad: load}}, now)
}

// picks returns how many of 200 requests each endpoint is chosen for, without load.
func picks(f *Fleet, now time.Time) map[string]int {
	out := map[string]int{}
	for i := range 200 {
		c, _ := f.Pick(plainRequest(fmt.Sprint(i)), now)
		out[c.Endpoint]++
	}
	return out
}

// Guards against other choices at endpoints that state no pace, on which earlier
// deployments depend: the same seed must give the same choices with and without such
// statements, for engines and plain services.
func TestLoadWithoutPaceChangesNothing(t *testing.T) {
	run := func(states bool) (out []Choice) {
		f := newPlainFleet(4)
		for i := range 6 {
			f.Put(engineEndpoint(fmt.Sprint("e", i), "a", "v1"), testStart)
		}
		rnd, now := rand.New(rand.NewPCG(3, 3)), testStart
		for i := range 300 {
			r := plainRequest(fmt.Sprint(i))
			if i%2 == 0 {
				r = llmRequest(fmt.Sprint(i))
			}
			c, _ := f.Pick(r, now)
			f.Begin(c, r, now)
			now = now.Add(time.Duration(rnd.IntN(20)) * time.Millisecond)
			if states {
				f.RecordStatedLoad(c, StatedLoad{Running: i % 9, Waiting: i % 5, Slots: 6}, now)
			}
			f.RecordFirstEvent(c, time.Duration(1+rnd.IntN(90))*time.Millisecond)
			if i%3 > 0 {
				f.Finish(c, OutcomeAnswered, now)
			}
			out = append(out, Choice{Endpoint: c.Endpoint, ExpectedLatency: c.ExpectedLatency, Running: c.Running, Pace: c.Pace})
		}
		require.Empty(t, f.Statements(now))
		return out
	}
	require.Equal(t, run(false), run(true))
}

// Guards against requests to an endpoint that has just said that it is slow, and against
// one that is avoided after that has become old.
func TestPaceAges(t *testing.T) {
	f := newPlainFleet(2)
	f.service("api").plainWork = 60 * time.Millisecond
	for _, pace := range []float64{1, 1, 1, 2.5} {
		state(f, "p0", StatedLoad{Slots: 6, Pace: pace}, 0, testStart)
	}
	state(f, "p1", StatedLoad{Slots: 6, Pace: 1}, 0, testStart)
	require.Zero(t, picks(f, testStart.Add(100*time.Millisecond))["p0"])
	require.InDelta(t, 100, picks(f, testStart.Add(paceLifetime))["p0"], 30)
	c, _ := f.Pick(plainRequest("r"), testStart)
	require.InDelta(t, 60*c.Pace, c.ExpectedLatency.Milliseconds(), 15, "the expected latency scales with the pace")
}

// Guards against all requests of all gateways going to the one endpoint that has stated
// the least load, which the gateways hear at about the same time.
func TestSameStatementAtAllGateways(t *testing.T) {
	chosen := map[string]int{}
	for g := range 132 {
		f := newPlainFleet(7)
		f.Rand = rand.New(rand.NewPCG(uint64(g), 1))
		f.service("api").plainWork = 60 * time.Millisecond
		for i := range 7 {
			state(f, fmt.Sprint("p", i), StatedLoad{Running: min(i, 3), Slots: 6, Pace: 1}, 100*time.Millisecond, testStart.Add(100*time.Millisecond))
		}
		c, _ := f.Pick(plainRequest("r"), testStart.Add(100*time.Millisecond))
		chosen[c.Endpoint]++
	}
	require.Len(t, chosen, 7)
	for id, n := range chosen {
		require.Less(t, n, 2*132/7, id)
	}
}

// Guards against requests on top of a stated queue, or of those that this gateway has
// sent since the statement and that have not ended.
func TestRequestsSinceStatement(t *testing.T) {
	for _, tc := range []struct {
		name    string
		waiting int
		sent    int
		ended   bool
		avoided bool
	}{
		{"queue", 18, 0, false, true},
		{"own requests", 0, 20, false, true},
		{"own requests that have ended", 0, 20, true, false},
		{"neither", 0, 0, false, false},
	} {
		f := newPlainFleet(1)
		f.service("api").plainWork = 60 * time.Millisecond
		state(f, "p0", StatedLoad{Waiting: tc.waiting, Slots: 6, Pace: 1}, 0, testStart)
		now := testStart.Add(time.Millisecond)
		for i := range tc.sent {
			c, _ := f.Pick(plainRequest(fmt.Sprint(i)), now)
			f.Begin(c, plainRequest(fmt.Sprint(i)), now)
			if tc.ended {
				f.Finish(c, OutcomeAnswered, now)
			}
		}
		f.Put(clcatalog.Endpoint{ID: "p1", Service: "api", DataCentre: "a", Version: "v1", Slots: 6, Born: 1}, testStart)
		state(f, "p1", StatedLoad{Slots: 6, Pace: 1}, 0, testStart)
		require.Equal(t, tc.avoided, picks(f, now)["p0"] == 0, tc.name)
	}
}

// Guards against statements that replace later ones, that outlive the start of the
// endpoint that has made them, or that go on to other gateways when they say nothing.
func TestStatementsInOrder(t *testing.T) {
	f := newPlainFleet(1)
	c, _ := f.Pick(plainRequest("r"), testStart)
	now := testStart.Add(time.Second)
	f.RecordStatedLoad(c, StatedLoad{Slots: 6, Pace: 2}, now)
	state(f, "p0", StatedLoad{Slots: 6, Pace: 4}, 200*time.Millisecond, now)
	require.Equal(t, 2.0, f.endpoints["p0"].heard.Pace, "an earlier statement arrives later")
	require.Len(t, f.Statements(now.Add(100*time.Millisecond)), 1)
	require.Equal(t, 100*time.Millisecond, f.Statements(now.Add(100 * time.Millisecond))[0].Age)
	require.Empty(t, f.Statements(now.Add(time.Second)))
	for _, pace := range []float64{0, 0.05, 101} {
		state(f, "p0", StatedLoad{Slots: 6, Pace: pace}, 0, now)
		require.Equal(t, 2.0, f.endpoints["p0"].heard.Pace, "no valid pace")
	}
	state(f, "p0", StatedLoad{Slots: 6, Pace: 4}, 0, now.Add(time.Millisecond))
	require.Equal(t, 4.0, f.endpoints["p0"].heard.Pace)
	require.Empty(t, f.Statements(now), "what another gateway has heard is passed on by that one")

	f.Put(clcatalog.Endpoint{ID: "p0", Service: "api", DataCentre: "a", Version: "v1", Slots: 6, Born: 2}, now.Add(time.Second))
	require.Zero(t, f.endpoints["p0"].heard.Pace)
	f.RecordStatedLoad(c, StatedLoad{Slots: 6, Pace: 4}, now.Add(2*time.Second))
	state(f, "p0", StatedLoad{Slots: 6, Pace: 4}, 200*time.Millisecond, now.Add(1100*time.Millisecond))
	require.Zero(t, f.endpoints["p0"].heard.Pace, "the former start has stated it")
}

// Guards against orders of endpoints that follow statements which are old, absurd or not
// there at all.
func TestMeanPace(t *testing.T) {
	f := newPlainFleet(3)
	require.Zero(t, f.MeanPace("api", testStart), "none is stated")
	state(f, "p0", StatedLoad{Slots: 6}, 0, testStart)
	require.Zero(t, f.MeanPace("api", testStart), "a load without a pace")
	state(f, "p0", StatedLoad{Slots: 6, Pace: 1}, 0, testStart)
	state(f, "p1", StatedLoad{Slots: 6, Pace: 2}, 0, testStart)
	state(f, "p1", StatedLoad{Slots: 6, Pace: 2}, 0, testStart)
	require.InDelta(t, 1.5, f.MeanPace("api", testStart), 1e-9, "each endpoint counts once")
	require.Zero(t, f.MeanPace("api", testStart.Add(meanPaceWindow)), "old statements")
	state(f, "p2", StatedLoad{Slots: 6, Pace: 100}, 0, testStart)
	require.InDelta(t, maxMeanPace, f.MeanPace("api", testStart), 1e-9)
}
