package clstandin

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chestnutlead/chestnutlead/clplatform"
)

func testPlatform(t *testing.T, change func(*Platform)) (*Platform, *clplatform.HTTP) {
	t.Helper()
	p := &Platform{Server: Server{Listen: loopback}}
	if change != nil {
		change(p)
	}
	require.NoError(t, p.Start())
	t.Cleanup(p.Close)
	h := &clplatform.HTTP{
		Address: p.Addr(), ConnectTimeout: time.Minute, ReadTimeout: time.Minute, WriteTimeout: time.Minute, CloudTimeout: time.Minute,
	}
	t.Cleanup(h.Close)
	return p, h
}

// TestObjects guards against updates that ignore the version, or versions
// that repeat after a deletion.
func TestObjects(t *testing.T) {
	ctx := context.Background()
	p, h := testPlatform(t, nil)
	v1, err := h.Update(ctx, "a/b c%2F?x", []byte("1"), 0)
	require.NoError(t, err)
	o, err := h.Get(ctx, "a/b c%2F?x")
	require.NoError(t, err)
	require.Equal(t, clplatform.Object{Key: "a/b c%2F?x", Value: []byte("1"), Version: v1}, o)
	for _, wrong := range []uint64{0, v1 + 1} {
		_, err = h.Update(ctx, "a/b c%2F?x", []byte("2"), wrong)
		require.Equal(t, clplatform.KindConflict, clplatform.KindOf(err), "%v", err)
	}
	v2, err := h.Update(ctx, "a/b c%2F?x", nil, v1)
	require.NoError(t, err)
	require.Greater(t, v2, v1)
	require.Equal(t, clplatform.KindConflict, clplatform.KindOf(h.Delete(ctx, "a/b c%2F?x", v1)))
	require.NoError(t, h.Delete(ctx, "a/b c%2F?x", v2))
	require.Equal(t, clplatform.KindNotFound, clplatform.KindOf(h.Delete(ctx, "a/b c%2F?x", v2)))
	_, err = h.Update(ctx, "a/b c%2F?x", nil, v2)
	require.Equal(t, clplatform.KindConflict, clplatform.KindOf(err))
	v3, err := h.Update(ctx, "a/b c%2F?x", []byte("3"), 0)
	require.NoError(t, err)
	require.Greater(t, v3, v2)

	_, err = h.Update(ctx, "a/a", make([]byte, 1<<20), 0)
	require.NoError(t, err)
	_, err = h.Update(ctx, "a/z", make([]byte, 1<<20+1), 0)
	require.Equal(t, clplatform.KindInvalid, clplatform.KindOf(err))
	_, err = h.Update(ctx, "b", nil, 0)
	require.NoError(t, err)
	list, err := h.List(ctx, "a/")
	require.NoError(t, err)
	require.Len(t, list, 2)
	require.Equal(t, "a/a", list[0].Key)
	require.Len(t, list[0].Value, 1<<20)
	require.Equal(t, []byte("3"), list[1].Value)
	for _, key := range []string{"", "/a", "a//b", "a/../b", "a/"} {
		_, err = h.Get(ctx, key)
		require.Equal(t, clplatform.KindInvalid, clplatform.KindOf(err), key)
	}
	require.EqualValues(t, 1, p.Stats().Calls["list"])
	require.EqualValues(t, 1, p.Stats().Calls["get"])
}

// TestOneWinner guards against two successful updates of the same version.
func TestOneWinner(t *testing.T) {
	_, h := testPlatform(t, nil)
	var mu sync.Mutex
	wins := make(map[uint64]int)
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			for range 20 {
				o, _ := h.Get(context.Background(), "k")
				if _, err := h.Update(context.Background(), "k", nil, o.Version); err == nil {
					mu.Lock()
					wins[o.Version]++
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	for v, n := range wins {
		require.Equal(t, 1, n, "version %d", v)
	}
}

// TestWatch guards against watches that miss a change, end early, or are not
// counted as waiting.
func TestWatch(t *testing.T) {
	ctx := context.Background()
	p, h := testPlatform(t, nil)
	type result struct {
		o   clplatform.Object
		err error
	}
	watch := func(after uint64) chan result {
		c := make(chan result, 1)
		go func() {
			o, err := h.Watch(ctx, "k", after, time.Minute)
			c <- result{o, err}
		}()
		require.Eventually(t, func() bool { return p.Stats().WaitingWatches == 1 }, time.Minute, time.Millisecond)
		return c
	}
	c := watch(0)
	_, err := h.Update(ctx, "other", nil, 0)
	require.NoError(t, err)
	v, err := h.Update(ctx, "k", []byte("1"), 0)
	require.NoError(t, err)
	r := <-c
	require.NoError(t, r.err)
	require.Equal(t, clplatform.Object{Key: "k", Value: []byte("1"), Version: v}, r.o)
	o, err := h.Watch(ctx, "k", 0, time.Minute) // has changed already
	require.NoError(t, err)
	require.Equal(t, v, o.Version)
	_, err = h.Watch(ctx, "k", v, time.Millisecond)
	require.Equal(t, clplatform.KindTimeout, clplatform.KindOf(err))
	require.Eventually(t, func() bool { return p.Stats().WaitingWatches == 0 }, time.Minute, time.Millisecond)
	c = watch(v)
	require.NoError(t, h.Delete(ctx, "k", v))
	require.Equal(t, clplatform.KindNotFound, clplatform.KindOf((<-c).err))
	require.EqualValues(t, 4, p.Stats().Calls["watch"])
}

// TestRates guards against calls beyond the platform's rates.
func TestRates(t *testing.T) {
	p, h := testPlatform(t, func(p *Platform) { p.ReadsPerSecond, p.WritesPerSecond = 0.001, 0.001 })
	_, err := h.Update(context.Background(), "k", nil, 0)
	require.NoError(t, err)
	_, err = h.Update(context.Background(), "k", nil, 1)
	require.Equal(t, clplatform.KindUnavailable, clplatform.KindOf(err))
	_, err = h.Get(context.Background(), "k")
	require.NoError(t, err)
	_, err = h.Get(context.Background(), "k")
	require.Equal(t, clplatform.KindUnavailable, clplatform.KindOf(err))
	require.EqualValues(t, 2, p.Stats().RateLimited)
}

// TestCloud guards against instances that skip a stage, notices that are
// missed, and on-demand instances that are reclaimed.
func TestCloud(t *testing.T) {
	ctx := context.Background()
	offers := []clplatform.Offer{
		{DataCentre: "a", Class: "s", Reclaimable: true, PricePerHour: 1}, {DataCentre: "a", Class: "s", PricePerHour: 3},
		{DataCentre: "b", Class: "s", Reclaimable: true, PricePerHour: 2},
	}
	p, h := testPlatform(t, func(p *Platform) { p.Offers, p.WeightBytes, p.WeightBytesPerSecond = offers, 1000, 1 })
	got, err := h.Offers(ctx)
	require.NoError(t, err)
	require.Equal(t, offers, got)
	_, err = h.StartInstance(ctx, clplatform.InstanceRequest{DataCentre: "c", Class: "s"})
	require.Equal(t, clplatform.KindInvalid, clplatform.KindOf(err))
	var ids []string
	for _, o := range offers {
		i, err := h.StartInstance(ctx, clplatform.InstanceRequest{
			DataCentre: o.DataCentre, Class: o.Class, Reclaimable: o.Reclaimable, Service: "x", Version: "v1",
		})
		require.NoError(t, err)
		require.Equal(t, clplatform.InstanceStarting, i.State)
		ids = append(ids, i.ID)
	}
	admin(t, &p.Server, "instances", `{"id":"`+ids[0]+`","service":"x","version":"v1","endpoint":"127.0.0.1:9"}`)
	states := func() (out []clplatform.InstanceState) {
		list, err := h.ListInstances(ctx)
		require.NoError(t, err)
		for _, i := range list {
			out = append(out, i.State)
		}
		return out
	}
	require.Equal(t, []clplatform.InstanceState{"live", "starting", "starting"}, states())
	c := make(chan []clplatform.Notice, 1)
	go func() {
		ns, _ := h.Notices(ctx, 0, time.Minute)
		c <- ns
	}()
	admin(t, &p.Server, "reclaims", `{"data_centre":"a","notice_ms":3600000}`)
	ns := <-c
	require.Len(t, ns, 1)
	require.Equal(t, ids[0], ns[0].InstanceID)
	require.Equal(t, []clplatform.InstanceState{"leaving", "starting", "starting"}, states())
	ns, err = h.Notices(ctx, 1, time.Millisecond)
	require.NoError(t, err)
	require.Empty(t, ns)
	p.Reclaim(ReclaimRequest{InstanceIDs: ids[1:2]})
	require.Eventually(t, func() bool { return len(states()) == 2 }, time.Minute, time.Millisecond)
	require.NoError(t, h.StopInstance(ctx, ids[2]))
	require.Equal(t, clplatform.KindNotFound, clplatform.KindOf(h.StopInstance(ctx, ids[2])))

	p.SetFaults(Faults{RefuseStarts: []StartRefusal{{DataCentre: "a", ReclaimableOnly: true}}})
	for i, want := range []clplatform.Kind{clplatform.KindRefused, "", ""} {
		o := offers[i]
		_, err = h.StartInstance(ctx, clplatform.InstanceRequest{DataCentre: o.DataCentre, Class: o.Class, Reclaimable: o.Reclaimable})
		require.Equal(t, want, clplatform.KindOf(err), "%v", err)
	}
	wait, err := h.ReserveFetch(ctx, "m/1")
	require.NoError(t, err)
	require.Zero(t, wait)
	wait, err = h.ReserveFetch(ctx, "m/1")
	require.NoError(t, err)
	require.Greater(t, wait, 10*time.Minute)
}

// TestInstancesLag guards against a list that is newer than its lag.
func TestInstancesLag(t *testing.T) {
	p, h := testPlatform(t, func(p *Platform) { p.InstancesLag = time.Hour })
	admin(t, &p.Server, "instances", `{"id":"x","data_centre":"a","endpoint":"127.0.0.1:9"}`)
	list, err := h.ListInstances(context.Background())
	require.NoError(t, err)
	require.Empty(t, list)
	p.InstancesLag = 0
	list, err = h.ListInstances(context.Background())
	require.NoError(t, err)
	require.Len(t, list, 1)
}
