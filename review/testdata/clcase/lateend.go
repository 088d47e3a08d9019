// This file defines the case in which the health check of an endpoint never ends.

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/platform/cladapter"
	"github.com/chestnutlead/chestnutlead/platform/clstandplatform"
)

const (
	// bookTimeout is the timeout of the route, and lateAfter how much later an answer
	// must have come.
	bookTimeout, lateAfter = time.Second, 500 * time.Millisecond
	// bookEvery is the time between two bookings, 14.9 a second, bookWork how long one
	// runs, and bookFor how long they come.
	bookEvery, bookWork = 67 * time.Millisecond, 15 * time.Millisecond
	bookFor             = 20 * time.Second
	// leastLate is the number of late answers below which the rule holds.
	leastLate = 8
)

// desk answers bookings with a body that has no length and ends with its connection.
type desk struct {
	id      string
	born    time.Time
	trouble bool
	world   *world
}

// ServeHTTP implements http.Handler.
func (d *desk) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	health := r.URL.Path == "/health"
	if health && !d.trouble {
		w.Header().Set(cladapter.HeaderInstanceID, d.id)
		_ = json.NewEncoder(w).Encode(map[string]any{"born": d.born.UnixMilli()})
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if health {
		for _, err = conn.Write([]byte("HTTP/1.1 200 OK\r\n\r\n")); err == nil; time.Sleep(dripEvery) {
			_, err = conn.Write(bytes.Repeat([]byte("x"), dripBytes))
		}
		return
	}
	time.Sleep(bookWork)
	id := r.Header.Get(cladapter.HeaderRequestID)
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n\r\n%s",
		cladapter.HeaderRequestID, id, cladapter.HeaderSeal, clstandplatform.Seal(d.id, id), clstandplatform.Body(id))
	d.world.note("%s: has run %s and answered it in whole", d.id, id)
}

// lateEnd lets the health check of one of three endpoints go on without end. Bookings must
// be answered soon after the timeout of their route.
func lateEnd(w *world) (bool, error) {
	if err := w.configure("kesar.json"); err != nil {
		return false, err
	}
	for i := range plainCount {
		d := &desk{id: fmt.Sprintf("api%d", i+1), born: time.Now(), trouble: w.trouble && i == 0, world: w}
		addr, err := w.serve(d)
		if err != nil {
			return false, err
		}
		w.register("shift-api", d.id, addr, d.born)
	}
	g, err := w.addGateway("edge-a-1", "a", 1, w.storeAddr)
	if err != nil {
		return false, err
	}
	time.Sleep(settle)
	caller := clstandplatform.NewCaller()
	defer caller.Close()
	ctx, cancel := context.WithTimeout(context.Background(), bookFor)
	defer cancel()
	var mu sync.Mutex
	unanswered, late := 0, 0
	every(ctx, bookEvery, func(n int) {
		id, sentAt := fmt.Sprintf("b%d", n), time.Now()
		r := caller.Send(context.Background(), clstandplatform.Call{
			Gateway: g.callers, Method: "POST", Host: clstandplatform.Host, Path: clstandplatform.OncePrefix + "x", ID: id, Key: callerKey,
			Deadline: bookTimeout, Wait: 5 * time.Second,
		})
		took := time.Since(sentAt)
		w.note("caller: %s gets %d after %s", id, r.Status, took.Round(time.Millisecond))
		mu.Lock()
		defer mu.Unlock()
		if took > bookTimeout {
			unanswered++
		}
		if took > bookTimeout+lateAfter {
			late++
		}
	})
	w.note("%d bookings were unanswered at the timeout of their route, %d of them %s later", unanswered, late, lateAfter)
	return late >= leastLate && 2*late > unanswered, nil
}
