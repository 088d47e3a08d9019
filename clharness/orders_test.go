// This file tests orders to engines when the holder of the control lease is
// paused beyond its lease with an order under way.

package clharness_test

import (
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/clharness"
	"github.com/chestnutlead/chestnutlead/clstandin"
	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
)

// versionsOrdered are the versions that the former and the next holder order.
const (
	formerOrder = "v2"
	nextOrder   = "v3"
)

// orderLog returns the orders that an engine has followed.
func orderLog(t *testing.T, e *clharness.StandIn) []clendpoint.Order {
	t.Helper()
	st, err := e.EngineStats()
	require.NoError(t, err)
	return st.Orders
}

// pauseInOrder asks for a version, pauses the control holder while the engine holds
// its order back, and returns the holder. An order whose sender gave it up before it
// was paused is not late but gone; then the next one is held. The version is asked for
// once the engine holds orders back: an order that it has followed is not sent again.
func pauseInOrder(t *testing.T, f *clharness.Fleet, e *clharness.StandIn, version string) *planRun {
	t.Helper()
	r := &planRun{t: t, f: f}
	held := func() bool {
		st, err := e.EngineStats()
		require.NoError(t, err)
		return st.Held > 0
	}
	asked := false
	for end := time.Now().Add(healWithin); time.Now().Before(end); {
		eventually(t, healWithin, "a holder of the control lease", r.findHolder)
		setFaults(t, clstandin.Faults{Routes: []clstandin.RouteFault{{Prefix: "/orders", Hold: true, First: 1}}}, e)
		if !asked {
			require.NoError(t, f.SetVersion(e, version))
			asked = true
		}
		eventually(t, healWithin, "an order under way", held)
		r.holder.Control.Pause()
		if held() {
			return r
		}
		r.holder.Control.Continue()
	}
	require.Fail(t, "no order was held while its sender was paused")
	return nil
}

// TestLateOrder guards against an order of a former control holder that stays in
// force after its successor's. An engine that checks fencing numbers refuses it.
// One that ignores them follows it, and must be given the successor's order again.
func TestLateOrder(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		checks bool
	}{{"engine checks the number", true}, {"engine ignores the number", false}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := smallProfile(1, 0)
			p.ChecksFencing = c.checks
			f := start(t, p)
			e := f.Endpoints[0]
			r := pauseInOrder(t, f, e, formerOrder)
			require.Empty(t, orderLog(t, e))
			require.NoError(t, f.SetVersion(e, nextOrder))
			eventually(t, healWithin, "the successor's order", func() bool { return len(orderLog(t, e)) > 0 })
			next := orderLog(t, e)[0]
			require.Equal(t, nextOrder, next.Version)

			setFaults(t, clstandin.Faults{}, e) // The late order arrives.
			eventually(t, healWithin, "end of the late order", func() bool {
				st, err := e.EngineStats()
				require.NoError(t, err)
				return st.Held == 0
			})
			late := lo.Filter(orderLog(t, e), func(o clendpoint.Order, _ int) bool { return o.Fencing < next.Fencing })
			if c.checks {
				require.Empty(t, late, "the engine refuses an order with an old number")
			} else {
				require.Len(t, late, 1, "the engine follows an order with an old number")
				require.Equal(t, formerOrder, late[0].Version)
				eventually(t, healWithin, "the successor's order again", func() bool {
					o, _ := lo.Last(orderLog(t, e))
					return o.Version == nextOrder
				})
			}
			followed := orderLog(t, e)
			r.holder.Control.Continue()
			time.Sleep(stillFor)
			t.Logf("orders followed: %+v", orderLog(t, e))
			require.Equal(t, followed, orderLog(t, e), "the former holder gives no more orders, and none is owed")
		})
	}
}
