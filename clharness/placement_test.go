// This file tests that the system buys the instances that it needs, and keeps
// the target while data centres go and starts are refused.

package clharness_test

import (
	"context"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clharness"
	"github.com/chestnutlead/chestnutlead/clplatform"
	"github.com/chestnutlead/chestnutlead/clstandin"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
)

const (
	placedEndpoints = 4
	placementNotice = 2 * time.Second
)

func placedProfile() clharness.Profile {
	p := smallProfile(0, 0)
	p.Placement = &clstate.PlacementTarget{MinEndpoints: placedEndpoints}
	for _, dc := range p.DataCentres {
		p.Offers = append(p.Offers,
			clplatform.Offer{DataCentre: dc, Class: "gpu", Reclaimable: true, PricePerHour: 1},
			clplatform.Offer{DataCentre: dc, Class: "gpu", PricePerHour: 3})
	}
	p.Settings = withSettings(shortLeases, map[string]string{"plans@control": "placement_interval = 300ms\nrefused_backoff = 1s\n"})
	return p
}

// survives reports whether the target remains with any one data centre gone.
func survives(t *testing.T, f *clharness.Fleet) bool {
	t.Helper()
	live, err := f.LiveIn()
	require.NoError(t, err)
	sum := lo.Sum(lo.Values(live))
	return len(live) > 1 && lo.EveryBy(lo.Values(live), func(n int) bool { return sum-n >= placedEndpoints })
}

// TestPlacement guards against too few instances after a data centre was
// reclaimed or refused a start, against requests that are lost meanwhile, and
// against instances that are never given back.
func TestPlacement(t *testing.T) {
	t.Parallel()
	f := start(t, placedProfile())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- f.RunInstances(ctx) }()
	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})
	eventually(t, healWithin, "the target is met", func() bool { return survives(t, f) })

	// One data centre is reclaimed and refuses new starts.
	gone := f.Profile.DataCentres[0]
	require.NoError(t, f.Platform.SetFaults(clstandin.Faults{RefuseStarts: []clstandin.StartRefusal{{DataCentre: gone}}}))
	require.NoError(t, f.ReclaimDataCentre(gone, placementNotice))
	eventually(t, healWithin, "the target is met without "+gone, func() bool {
		live, err := f.LiveIn()
		require.NoError(t, err)
		return live[gone] == 0 && survives(t, f)
	})
	caller := &clharness.Caller{URL: f.Pairs[0].URL(), Account: f.Profile.Accounts[0], Timeout: healWithin}
	eventually(t, healWithin, "a request is served", func() bool {
		return caller.Stream(ctx, f.Profile.EngineService, "after the reclaim", 8) == nil
	})

	// The data centre is back; the target stays met and the excess is given back.
	require.NoError(t, f.Platform.SetFaults(clstandin.Faults{}))
	eventually(t, healWithin, "the excess is given back", func() bool {
		live, err := f.LiveIn()
		require.NoError(t, err)
		return survives(t, f) && lo.Sum(lo.Values(live)) <= placedEndpoints*2
	})
}
