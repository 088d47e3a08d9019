// This file defines the case in which an answer of the store comes late.

package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/platform/clstandplatform"
)

const (
	callerKey = "key-1"
	// contact is how long a gateway must have been without a disruption to be in touch.
	contact = 3 * time.Second
	// interruption is how long the way to the store is interrupted, and changeGap the time
	// between the two changes of the endpoint's entry meanwhile.
	interruption = time.Second
	changeGap    = 600 * time.Millisecond
	// coldFor is how long the endpoint says that it stays cold.
	coldFor = 3 * time.Second
	// work is how long a request runs, sendGap the time between two requests, and sendFor
	// how long they are sent.
	work    = 20 * time.Millisecond
	sendGap = 25 * time.Millisecond
	sendFor = 4 * time.Second
	// settle is the time between the steps of a case.
	settle = 3 * time.Second
)

// arrivals counts the requests that arrive at the endpoints.
type arrivals struct {
	mu sync.Mutex
	// at holds the times of the arrivals at each endpoint, and ids the requests.
	at  map[string][]time.Time
	ids map[string]bool
}

// has reports whether a request has arrived.
func (a *arrivals) has(id string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.ids[id]
}

// startEndpoint starts an endpoint that answers after work. It has no entry yet.
func (w *world) startEndpoint(id string, work time.Duration, a *arrivals) (*endpoint, error) {
	h := &clstandplatform.Endpoint{ID: id, Work: work, Arrived: func(r clstandplatform.Run) {
		a.mu.Lock()
		a.at[id] = append(a.at[id], r.At)
		if a.ids == nil {
			a.ids = map[string]bool{}
		}
		a.ids[r.Request] = true
		a.mu.Unlock()
		w.note("%s: request %s arrives", id, r.Request)
	}}
	addr, err := w.serve(h)
	return &endpoint{id: id, dc: "a", born: time.Now(), addr: addr}, err
}

// send sends one request that may run once, and records its answer.
func (w *world) send(c *clstandplatform.Caller, g *gateway, id string) clstandplatform.Reply {
	w.note("caller: sends %s to %s", id, g.name)
	r := c.Send(context.Background(), clstandplatform.Call{
		Gateway: g.callers, Method: "POST", Host: clstandplatform.Host, Path: clstandplatform.OncePrefix + "x", ID: id, Key: callerKey,
		Deadline: 2 * time.Second, Wait: 2 * time.Second,
	})
	w.note("caller: %s gets %d by %q", id, r.Status, r.Endpoint)
	return r
}

// lateWatch interrupts a gateway's way to the store for a moment, while an endpoint
// becomes cold and then leaves. The gateway learns of both through the gateway that reads
// the store for it. The endpoint must get no request later than the bound on draining.
func lateWatch(w *world) (bool, error) {
	w.store.Configure(1, "account-1", []string{callerKey})
	seen := &arrivals{at: map[string][]time.Time{}}
	endpoints := make([]*endpoint, 4)
	for i := range endpoints {
		e, err := w.startEndpoint(fmt.Sprintf("e%d", i+1), work, seen)
		if err != nil {
			return false, err
		}
		endpoints[i] = e
		w.put(e, "ready", 0)
	}
	leaving := endpoints[len(endpoints)-1]
	way, err := w.newLink(w.storeAddr)
	if err != nil {
		return false, err
	}
	second, err := w.addGateway("edge-a-2", "a", 2, way.addr())
	if err != nil {
		return false, err
	}
	time.Sleep(settle)
	// The change ends the watch in progress, so that the next one lasts until the interruption.
	w.put(endpoints[0], "ready", time.Millisecond)
	time.Sleep(time.Second)
	// The added gateway is the first one by name, so that edge-a-2 follows it from now on.
	if _, err := w.addGateway("edge-a-1", "a", 1, w.storeAddr); err != nil {
		return false, err
	}
	time.Sleep(settle)
	w.interrupt(way, true)
	interruptedAt := time.Now()
	time.Sleep(100 * time.Millisecond)
	w.put(leaving, "ready", coldFor)
	time.Sleep(changeGap)
	leftAt := w.put(leaving, "draining", 0)
	time.Sleep(time.Until(interruptedAt.Add(interruption)))
	w.interrupt(way, false)
	time.Sleep(contact + 200*time.Millisecond)
	caller := clstandplatform.NewCaller()
	defer caller.Close()
	ctx, cancel := context.WithTimeout(context.Background(), sendFor)
	defer cancel()
	every(ctx, sendGap, func(n int) { w.send(caller, second, fmt.Sprintf("r%d", n)) })
	late := 0
	for _, at := range seen.at[leaving.id] {
		if at.Sub(leftAt) > bounds.Drain {
			late++
		}
	}
	w.note("%d requests reached %s later than %s after the store had acknowledged that it leaves", late, leaving.id, bounds.Drain)
	return late > 0, nil
}

// interrupt interrupts the way of edge-a-2 to the store, or ends that.
func (w *world) interrupt(way *link, held bool) {
	switch {
	case !w.trouble:
	case held:
		w.note("edge-a-2 is partitioned from the store")
		way.hold(true)
	default:
		way.hold(false)
		w.note("edge-a-2 reaches the store again")
	}
}
