package clstandin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/clplatform"
)

// short is a limit for calls that must run into it.
const short = 100 * time.Millisecond

// setFaults sends the switches through the admin API.
func setFaults(t *testing.T, s *Server, f Faults) {
	t.Helper()
	b, err := json.Marshal(f)
	require.NoError(t, err)
	admin(t, s, "faults", string(b))
}

func admin(t *testing.T, s *Server, path, reqBody string) {
	t.Helper()
	resp, err := http.Post("http://"+s.Addr().String()+"/admin/"+path, "application/json", strings.NewReader(reqBody))
	require.NoError(t, err)
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, resp.StatusCode, "%s", b)
}

// TestEndpointFaults guards against a fault switch that a caller of an
// endpoint does not see, or that changes whether a booking runs.
func TestEndpointFaults(t *testing.T) {
	const minute = 60_000
	tests := []struct {
		name   string
		faults Faults
		kind   clendpoint.Kind
		status int
		runs   int // of the first call
		second int // status of a second call; 0 means that it fails, too
	}{
		{"none", Faults{}, "", 200, 1, 200},
		{"connections refused", Faults{Outage: OutageRefuse, OutageMs: minute}, clendpoint.KindNotSent, 0, 0, 0},
		{"unavailable", Faults{Outage: OutageUnavailable}, "", 503, 0, 503},
		{"reset", Faults{Outage: OutageReset}, clendpoint.KindBroken, 0, 0, 0},
		{"hang", Faults{Outage: OutageHang}, clendpoint.KindSilent, 0, 0, 0},
		{"slow", Faults{SlowMs: minute}, clendpoint.KindSilent, 0, 0, 0},
		{"answer lost once", Faults{LoseAnswers: 1}, clendpoint.KindBroken, 0, 1, 200},
		{"answers lost twice", Faults{LoseAnswers: 2}, clendpoint.KindBroken, 0, 1, 0},
		{"answers lost by probability", Faults{LoseAnswerRate: 1}, clendpoint.KindBroken, 0, 1, 0},
		{"refused once", Faults{Refuse: 1}, "", 503, 0, 200},
		{"refused by probability", Faults{RefuseRate: 1}, "", 503, 0, 503},
		{"crash on a marker", Faults{CrashMarker: "poison"}, clendpoint.KindBroken, 0, 0, 0},
		{"crash on another marker", Faults{CrashMarker: "other"}, "", 200, 1, 200},
		{"crash and restart time", Faults{CrashMarker: "poison", RestartMs: minute}, clendpoint.KindBroken, 0, 0, 0},
		{"silent connections", Faults{SilenceRate: 1}, clendpoint.KindSilent, 0, 1, 0},
		{"failing route", Faults{Routes: []RouteFault{{Prefix: "/book", FailStatus: 500}}}, "", 500, 0, 500},
		{"failing later", Faults{Routes: []RouteFault{{FailStatus: 500, AfterMs: minute}}}, "", 200, 1, 200},
		{"failing under load", Faults{Routes: []RouteFault{{FailStatus: 500, AboveRunning: 1}}}, "", 200, 1, 200},
		{"failing other route", Faults{Routes: []RouteFault{{Prefix: "/other", FailStatus: 500}}}, "", 200, 1, 200},
		{"failing other method", Faults{Routes: []RouteFault{{Method: "GET", FailStatus: 500}}}, "", 200, 1, 200},
		{"slow route", Faults{Routes: []RouteFault{{Prefix: "/book", SlowMs: minute}}}, clendpoint.KindSilent, 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			b := &Booking{Server: Server{Listen: loopback}}
			require.NoError(t, b.Start())
			defer b.Close()
			setFaults(t, &b.Server, tt.faults)
			h := testClient(t)
			c := call(b.Addr(), "/book", "poison")
			if tt.kind == clendpoint.KindSilent {
				c.Timeouts.FirstByte = short
			}
			for i, want := range []int{tt.status, tt.second} {
				a, err := h.Do(context.Background(), c)
				if i == 0 && tt.kind != "" {
					var ce *clendpoint.Error
					require.True(t, errors.As(err, &ce), "%v", err)
					require.Equal(t, tt.kind, ce.Kind, "%v", err)
				}
				if want == 0 {
					require.Error(t, err)
				} else {
					require.NoError(t, err)
					require.Equal(t, want, a.Status)
					a.Body.Close()
				}
				if i == 0 {
					require.Equal(t, tt.runs, int(b.Stats().Calls))
				}
			}
		})
	}
}

// TestFaultsAtRate guards against faults by probability that the seed does not repeat.
func TestFaultsAtRate(t *testing.T) {
	draw := func(seed uint64) (out []int) {
		b := &Booking{Server: Server{Listen: loopback, Seed: seed, Faults: Faults{RefuseRate: 0.5}}}
		require.NoError(t, b.Start())
		defer b.Close()
		h := testClient(t)
		for range 20 {
			a, err := h.Do(context.Background(), call(b.Addr(), "/book", "x"))
			require.NoError(t, err)
			out = append(out, a.Status)
			a.Body.Close()
		}
		return out
	}
	first := draw(7)
	require.Contains(t, first, 200)
	require.Contains(t, first, 503)
	require.Equal(t, first, draw(7))
	require.NotEqual(t, first, draw(8))
}

// TestSilence guards against open connections that still work after they were
// silenced, and against new ones that don't.
func TestSilence(t *testing.T) {
	e, h := testEngine(t, nil), testClient(t)
	e.TokensPerSecond = 50
	c := call(e.Addr(), "/v1/completions", body("p", 30, ""))
	c.Timeouts.BetweenReads = 400 * time.Millisecond
	a, err := h.Do(context.Background(), c)
	require.NoError(t, err)
	var s streamed
	require.NoError(t, s.read(a.Body, 3))
	admin(t, &e.Server, "actions/silence", "")
	err = s.read(a.Body, 0)
	var ce *clendpoint.Error
	require.True(t, errors.As(err, &ce), "%v", err)
	require.Equal(t, clendpoint.KindSilent, ce.Kind)
	require.Equal(t, AnswerText("p", len(s.tokens)), s.text)
	rest, err := streamCall(h, call(e.Addr(), "/v1/completions", body("p", 30, "")))
	require.NoError(t, err)
	require.Equal(t, AnswerText("p", 30), rest.text)
}

// TestOutageEnds guards against an outage that outlasts its time or its switch,
// and against an admin API that an outage makes unreachable.
func TestOutageEnds(t *testing.T) {
	b := &Booking{Server: Server{Listen: loopback, AdminListen: loopback}}
	require.NoError(t, b.Start())
	defer b.Close()
	h := testClient(t)
	status := func() int {
		a, err := h.Do(context.Background(), call(b.Addr(), "/book", "x"))
		if err != nil {
			return 0
		}
		defer a.Body.Close()
		return a.Status
	}
	b.SetFaults(Faults{Outage: OutageRefuse, OutageMs: 50})
	require.Eventually(t, func() bool { return status() == 200 }, time.Minute, 5*time.Millisecond)
	b.SetFaults(Faults{Outage: OutageRefuse})
	require.Equal(t, 0, status())
	resp, err := http.Post("http://"+b.AdminListen.String()+"/admin/faults", "", strings.NewReader("{}"))
	require.NoError(t, err)
	resp.Body.Close()
	require.Equal(t, 200, status())
	admin(t, &b.Server, "actions/crash", "")
	require.Equal(t, 200, status())
}

// TestPlatformFaults guards against an update whose error says less or more
// than what is known about its effect.
func TestPlatformFaults(t *testing.T) {
	const minute = 60_000
	tests := []struct {
		name   string
		faults Faults
		update clplatform.Kind
		get    clplatform.Kind
		stored bool
	}{
		{"none", Faults{}, "", "", true},
		{"connections refused", Faults{Outage: OutageRefuse, OutageMs: minute}, clplatform.KindUnavailable, clplatform.KindUnavailable, false},
		{"unavailable", Faults{Outage: OutageUnavailable}, clplatform.KindUnavailable, clplatform.KindUnavailable, false},
		{"reset", Faults{Outage: OutageReset}, clplatform.KindUnknown, clplatform.KindUnavailable, false},
		{"hang", Faults{Outage: OutageHang}, clplatform.KindUnknown, clplatform.KindUnavailable, false},
		{"slow", Faults{SlowMs: minute}, clplatform.KindUnknown, clplatform.KindUnavailable, false},
		{"late", Faults{SlowMs: 1000, LateWrites: true}, clplatform.KindUnknown, clplatform.KindUnavailable, true},
		{"answer lost", Faults{LoseAnswers: 1}, clplatform.KindUnknown, "", true},
		{"answers lost by probability", Faults{LoseAnswerRate: 1}, clplatform.KindUnknown, "", true},
		{"refused", Faults{RefuseRate: 1}, clplatform.KindUnavailable, clplatform.KindUnavailable, false},
		{"crash on a marker", Faults{CrashMarker: "value"}, clplatform.KindUnknown, clplatform.KindNotFound, false},
		{"silent connections", Faults{SilenceRate: 1}, clplatform.KindUnknown, clplatform.KindUnavailable, true},
		{"failing route", Faults{Routes: []RouteFault{{Method: "PUT", FailStatus: 500}}}, clplatform.KindUnknown, clplatform.KindNotFound, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			p, h := testPlatform(t, nil)
			if tt.faults.SlowMs > 0 || tt.faults.Outage == OutageHang || tt.faults.SilenceRate > 0 {
				h.ReadTimeout, h.WriteTimeout = short, short
			}
			setFaults(t, &p.Server, tt.faults)
			ctx := context.Background()
			v, err := h.Update(ctx, "k", []byte("value"), 0)
			require.Equal(t, tt.update, clplatform.KindOf(err), "%v", err)
			require.Equal(t, tt.update == "", v == 1)
			_, err = h.Get(ctx, "k")
			require.Equal(t, tt.get, clplatform.KindOf(err), "%v", err)
			p.SetFaults(Faults{})
			h.ReadTimeout = time.Minute
			if tt.faults.LateWrites {
				_, err = h.Watch(ctx, "k", 0, time.Minute)
				require.NoError(t, err)
			}
			o, err := h.Get(ctx, "k")
			require.Equal(t, tt.stored, err == nil, "%v", err)
			require.Equal(t, tt.stored, string(o.Value) == "value")
		})
	}
}
