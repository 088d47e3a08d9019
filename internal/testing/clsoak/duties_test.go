// This file tests what is checked of the duties.

package clsoak

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/coordination/clduty"
	"github.com/chestnutlead/chestnutlead/platform/cladapter"
	"github.com/chestnutlead/chestnutlead/platform/clstandplatform"
	"github.com/stretchr/testify/require"
)

// dutyCallOf returns an accepted call in touch of a time that lies this long ago.
func dutyCallOf(machine string, fencing uint64, ago time.Duration) dutyCall {
	return dutyCall{clstandplatform.CloudCall{Machine: machine, Fencing: fencing, Status: http.StatusOK, At: time.Now().Add(-ago)}, true}
}

var dutyChecks = []checkCase{
	{"in turn", "g1, g2, g1 acted as the holder in turn", func(s *Soak) {
		s.dutyLog.all = []dutyCall{dutyCallOf("g1", 1, bounds.Lease), dutyCallOf("g2", 2, time.Second), dutyCallOf("g1", 3, time.Millisecond)}
	}},
	{"in turn, with a third one", "g1, g2, g1 acted as the holder in turn", func(s *Soak) {
		third := dutyCallOf("g3", 3, time.Second)
		third.inTouch = false
		s.dutyLog.all = []dutyCall{dutyCallOf("g1", 1, bounds.Lease), dutyCallOf("g2", 2, time.Second), third, dutyCallOf("g1", 4, time.Millisecond)}
	}},
	{"no holder", "no call of a holder of the duties was accepted", func(s *Soak) {
		s.checkDutiesGoOn(context.Background(), time.Now().Add(-dutyBound-time.Second))
	}},
	{"locked out", "5s of the last fault; 2 were refused", func(s *Soak) {
		refused := dutyCallOf("g1", 1, time.Second)
		refused.Status = http.StatusConflict
		s.dutyLog.all = []dutyCall{dutyCallOf("g2", 2, time.Hour), refused, refused}
		s.checkDutiesGoOn(context.Background(), time.Now().Add(-dutyBound-time.Second))
	}},
	{"one number", "used fencing number 1", func(s *Soak) {
		for _, machine := range []string{"g1", "g2"} {
			report(s, machine, 1)
		}
	}},
}

// report reports the usage of a window from a machine, under a name that all use.
func report(s *Soak, machine string, fencing uint64) {
	server := httptest.NewServer(s.world.cloud.From(machine))
	defer server.Close()
	cloud := cladapter.NewCloud(netip.MustParseAddrPort(server.Listener.Addr().String()))
	if err := cloud.ReportUsage(context.Background(), clduty.Holder{Name: "g", Fencing: fencing}, 1, nil); err != nil {
		panic(err) // the server runs in this process and accepts the call
	}
}

// Guards against checks of the holders that find what the rule allows.
func TestHoldersThatAreAllowed(t *testing.T) {
	outOfTouch := dutyCallOf("g1", 1, time.Millisecond)
	outOfTouch.inTouch = false
	refused := dutyCallOf("g1", 1, time.Millisecond)
	refused.Status = http.StatusConflict
	for _, tc := range []struct {
		name  string
		calls []dutyCall
	}{
		{"one after the other", []dutyCall{dutyCallOf("g1", 1, time.Second), dutyCallOf("g2", 2, time.Millisecond), dutyCallOf("g2", 2, 0)}},
		{"a lease apart", []dutyCall{dutyCallOf("g1", 1, 2*bounds.Lease), dutyCallOf("g2", 2, time.Second), dutyCallOf("g1", 3, 0)}},
		{"refused", []dutyCall{dutyCallOf("g1", 1, time.Second), dutyCallOf("g2", 2, time.Millisecond), refused}},
		{"out of touch", []dutyCall{dutyCallOf("g1", 1, time.Second), dutyCallOf("g2", 2, time.Millisecond), outOfTouch}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newChecks(t)
			s.dutyLog.all = tc.calls
			s.checkHolders()
			require.Empty(t, s.report.Violations)
		})
	}
}
