// This file defines the case in which endpoints' reports on themselves never end.

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/chestnutlead/chestnutlead/platform/cladapter"
	"github.com/chestnutlead/chestnutlead/platform/clstandplatform"
)

const (
	engineService, plainService = "chestnutlead-pool", "orders-desk"
	engineCount, plainCount     = 12, 3
	// streamRate and bookingRate are the requests a second on the sheet. From burstFrom on,
	// for burstFor, there are burstFactor times as many.
	streamRate, bookingRate = 79.5, 19.9
	burstFrom, burstFor     = 5 * time.Second, 8 * time.Second
	burstFactor             = 1.6
	bookingWork             = 100 * time.Millisecond
	// memoryMB is the limit of the machine. The platform ends a process above it and
	// starts it again.
	memoryMB     = 284
	restartDelay = 500 * time.Millisecond
	memoryCheck  = 20 * time.Millisecond
	casePeriod   = 20 * time.Second
	// reportBytes come at once, and dripBytes each dripEvery after that, without end.
	reportBytes = 960 << 10
	dripBytes   = 100
	dripEvery   = 100 * time.Millisecond
	// toleratedLosses is the bound of the rule.
	toleratedLosses = 3
)

// engine answers requests with a stream that has no length and ends with its connection.
type engine struct {
	id      string
	born    time.Time
	trouble bool
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	asked := r.URL.Path == "/report" || r.URL.Path == "/health"
	if asked && !e.trouble {
		w.Header().Set(cladapter.HeaderInstanceID, e.id)
		_ = json.NewEncoder(w).Encode(map[string]any{"born": e.born.UnixMilli(), "stage": "both"})
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if !asked {
		id := r.Header.Get(cladapter.HeaderRequestID)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: %s\n\n",
			cladapter.HeaderRequestID, id, cladapter.HeaderSeal, clstandplatform.Seal(e.id, id), id)
		return
	}
	_, err = conn.Write(append([]byte("HTTP/1.1 200 OK\r\n\r\n"), bytes.Repeat([]byte("x"), reportBytes)...))
	for ; err == nil; time.Sleep(dripEvery) {
		_, err = conn.Write(bytes.Repeat([]byte("x"), dripBytes))
	}
}

// register writes the entry of an endpoint of a service.
func (w *world) register(service, id string, addr netip.AddrPort, born time.Time) {
	w.store.Put(cladapter.KindServers, id, clstandplatform.EndpointEntry(service, addr, "a", slots, born, false))
	w.note("store: %s of %s is ready", id, service)
}

// residentMB returns the memory of the process, and 0 if it has ended.
func (g *gateway) residentMB() int {
	b, err := os.ReadFile("/proc/" + strconv.Itoa(g.cmd.Process.Pid) + "/statm")
	fields := strings.Fields(string(b))
	if err != nil || len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}

// limitMemory does what the platform does: it ends the process once it is above its limit,
// and starts it again. It returns how often, and the peak.
func (g *gateway) limitMemory(ctx context.Context) (ends, peak int, err error) {
	for ; ctx.Err() == nil; time.Sleep(memoryCheck) {
		mb := g.residentMB()
		peak = max(peak, mb)
		if mb <= memoryMB {
			continue
		}
		ends++
		g.world.note("%s: %d MB of %d, ended by the platform", g.name, mb, memoryMB)
		_ = g.cmd.Process.Kill()
		<-g.ended
		time.Sleep(restartDelay)
		if err := g.start(); err != nil {
			return ends, peak, err
		}
	}
	return ends, peak, nil
}

// book sends a booking over a kept connection, if there is one, and reports whether the
// connection was kept and whether an answer came.
func (w *world) book(c *http.Client, g *gateway, id string) (kept, answered bool) {
	ctx := httptrace.WithClientTrace(context.Background(), &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { kept = i.Reused }})
	// A reader of an unknown kind keeps the client from sending the booking twice.
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+g.callers.String()+clstandplatform.OncePrefix+"x", io.MultiReader(strings.NewReader("{}")))
	if err != nil {
		return false, false
	}
	r.Host = clstandplatform.Host
	r.Header.Set(cladapter.HeaderRequestID, id)
	r.Header.Set(cladapter.HeaderDeadline, "1500")
	r.Header.Set("Authorization", cladapter.Bearer+callerKey)
	resp, err := c.Do(r)
	if err != nil {
		w.note("caller: booking %s ends: %v", id, err)
		return kept, false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	w.note("caller: booking %s gets %d", id, resp.StatusCode)
	return kept, err == nil
}

// atRate calls f at the rate, or in the burst at the higher one, until ctx ends.
func atRate(ctx context.Context, rate float64, f func(n int)) {
	began, due := time.Now(), time.Now()
	for n := 0; ctx.Err() == nil; n++ {
		go f(n)
		now := rate
		if since := due.Sub(began); since >= burstFrom && since < burstFrom+burstFor {
			now *= burstFactor
		}
		due = due.Add(time.Duration(float64(time.Second) / now))
		time.Sleep(time.Until(due))
	}
}

// endlessReports lets the reports of engines go on without end. The bookings of sound
// endpoints must not lose their answers.
func endlessReports(w *world) (bool, error) {
	if err := w.configure("kartli.json"); err != nil {
		return false, err
	}
	for i := range engineCount {
		e := &engine{id: fmt.Sprintf("llm%d", i+1), born: time.Now(), trouble: w.trouble}
		addr, err := w.serve(e)
		if err != nil {
			return false, err
		}
		w.register(engineService, e.id, addr, e.born)
	}
	seen := &arrivals{at: map[string][]time.Time{}}
	for i := range plainCount {
		e, err := w.startEndpoint(fmt.Sprintf("api%d", i+1), bookingWork, seen)
		if err != nil {
			return false, err
		}
		w.register(plainService, e.id, e.addr, e.born)
	}
	g, err := w.addGateway("edge-a-1", "a", 1, w.storeAddr)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), casePeriod)
	defer cancel()
	var lost atomic.Int64
	streams := clstandplatform.NewCaller()
	defer streams.Close()
	go atRate(ctx, streamRate, func(n int) {
		id := fmt.Sprintf("s%d", n)
		r := streams.Send(context.Background(), clstandplatform.Call{
			Gateway: g.callers, Method: "POST", Host: clstandplatform.Host, Path: clstandplatform.StreamPrefix + "x", ID: id, Key: callerKey,
			Deadline: 3 * time.Second, Wait: 3 * time.Second,
		})
		w.note("caller: stream %s gets %d, whole %t", id, r.Status, r.Whole)
	})
	bookings := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}, Timeout: 1500 * time.Millisecond}
	go atRate(ctx, bookingRate, func(n int) {
		id := fmt.Sprintf("b%d", n)
		if kept, answered := w.book(bookings, g, id); kept && !answered && seen.has(id) {
			lost.Add(1)
			w.note("booking %s was passed on from a kept connection and got no answer", id)
		}
	})
	ends, peak, err := g.limitMemory(ctx)
	if err != nil {
		return false, err
	}
	time.Sleep(settle)
	w.note("the gateway was ended %d times for its memory, of which %d MB were the peak; %d bookings of sound endpoints lost their answers", ends, peak, lost.Load())
	return lost.Load() > toleratedLosses, nil
}
