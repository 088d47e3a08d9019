// This file tests departures and reclaims that are followed by an outage of the
// object API at once, while the list of instances lags (P4, P8).

package clharness_test

import (
	"context"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clharness"
	"github.com/chestnutlead/chestnutlead/clstandin"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
)

const (
	// leavingLag is longer than the target of P4 and P8 (2 s beside the bound of
	// 5 s), so that the list of instances cannot be what meets it.
	leavingLag = 3 * time.Second
)

// startLeaving starts a fleet with a lagging list of instances and ordinary load
// at all endpoints.
func startLeaving(t *testing.T) (*clharness.Fleet, *ordinaryLoad) {
	t.Helper()
	p := smallProfile(6, 0)
	p.PlatformArgs = []string{"--instances-lag", leavingLag.String()}
	f := start(t, p)
	l := startLoad(f, 12, 8)
	for _, e := range f.Endpoints {
		eventually(t, healWithin, "requests at "+e.Name, func() bool { return requests(t, []*clharness.StandIn{e}) > 0 })
	}
	return f, l
}

func stateChange(f *clharness.Fleet, dc string, state clstate.DataCentreState) *clwire.ApplyRequest {
	return &clwire.ApplyRequest{DataCentres: []*clstate.DataCentre{{Name: dc, Region: f.Profile.Region, State: state}}}
}

// TestDataCentreOutBeforeOutage guards against new work in a data centre whose
// departure was accepted just before the platform failed.
func TestDataCentreOutBeforeOutage(t *testing.T) {
	t.Parallel()
	f, l := startLeaving(t)
	dc := f.Profile.DataCentres[1]
	inside := lo.Filter(f.Endpoints, func(e *clharness.StandIn, _ int) bool { return e.DataCentre == dc })
	ctx := context.Background()
	_, err := f.Pairs[0].Operator().Apply(ctx, stateChange(f, dc, clstate.DataCentreState_DATA_CENTRE_STATE_OUT))
	require.NoError(t, err)
	accepted := time.Now()
	require.NoError(t, f.Platform.SetFaults(clstandin.Faults{Outage: clstandin.OutageUnavailable}))
	requireNoneAfter(t, accepted, noWorkAfter, inside)
	require.NoError(t, f.Platform.SetFaults(clstandin.Faults{}))
	before := requests(t, inside)
	eventually(t, healWithin, "acceptance of the return", func() bool {
		_, err := f.Pairs[2].Operator().Apply(ctx, stateChange(f, dc, clstate.DataCentreState_DATA_CENTRE_STATE_IN))
		return err == nil
	})
	eventually(t, healWithin, "requests in "+dc+" after its return", func() bool { return requests(t, inside) > before })
	l.requireWhole(t)
}

// TestReclaimBeforeOutage guards against new work at endpoints whose notice came
// just before the platform failed, so that no list of instances shows it.
func TestReclaimBeforeOutage(t *testing.T) {
	t.Parallel()
	f, l := startLeaving(t)
	leaving := f.Endpoints[:2]
	noticed := time.Now()
	require.NoError(t, f.Reclaim(reclaimNotice, leaving...))
	require.NoError(t, f.Platform.SetFaults(clstandin.Faults{Outage: clstandin.OutageUnavailable}))
	requireNoneUntil(t, noticed, leavingWithin, noticed.Add(reclaimNotice-500*time.Millisecond), leaving)
	eventually(t, healWithin, "end of the endpoints", func() bool { return !leaving[0].Running() && !leaving[1].Running() })
	before := l.done()
	eventually(t, healWithin, "streams after the reclaim", func() bool { return l.done() > before+24 })
	require.NoError(t, f.Platform.SetFaults(clstandin.Faults{}))
	l.requireWhole(t)
}
