// This file defines the case of a planned stop whose signal is sent twice.

package main

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	plainTimeout   = 2500 * time.Millisecond
	clientDeadline = 2500 * time.Millisecond
	// bookingWork is far from the route's timeout and from the end of the grace period.
	bookingWork      = 1200 * time.Millisecond
	bookings         = 20
	firstSignalAfter = 300 * time.Millisecond
	nextSignalAfter  = 300 * time.Millisecond
)

// signalTwice stops a gateway that answers bookings, and repeats the signal while it
// drains.
func signalTwice(f *fleet, trouble bool) (string, error) {
	if err := f.configure(1, plainTimeout); err != nil {
		return "", err
	}
	if err := f.addDesk(); err != nil {
		return "", err
	}
	if err := f.startGateways("tbilisi-a", "tbilisi-b"); err != nil {
		return "", err
	}
	g := f.gateways[0]
	conns, err := f.bookOnEach(g)
	if err != nil {
		return "", err
	}
	var wg sync.WaitGroup
	answers := make([]answer, len(conns))
	for i, c := range conns {
		wg.Add(1)
		go func() {
			defer wg.Done()
			answers[i] = f.send(c, booking("second", i, bookingWork))
			_ = c.Close()
		}()
	}
	time.Sleep(firstSignalAfter)
	f.signal(g, syscall.SIGTERM)
	if trouble {
		time.Sleep(nextSignalAfter)
		f.signal(g, syscall.SIGTERM)
	}
	wg.Wait()
	lost := 0
	for i, a := range answers {
		if !a.whole && f.record.contains("begins to run "+booking("second", i, 0).id) {
			lost++
		}
	}
	f.record.addf("%d of %d bookings that a worker ran ended without a whole answer", lost, len(conns))
	if lost > 0 {
		return fmt.Sprintf("LOST: %d requests that were passed on to a worker ended without a complete answer around a SIGTERM", lost), nil
	}
	return "", nil
}

// addDesk starts the workers of the plain service, one in each zone.
func (f *fleet) addDesk() error {
	for i, zone := range []string{"tbilisi-a", "tbilisi-b", "tbilisi-c"} {
		id := "i-desk-" + strconv.Itoa(i+1)
		addr, err := f.serve(&worker{id: id, record: f.record})
		if err != nil {
			return err
		}
		f.register(id, "desk", zone, 24, addr)
	}
	return nil
}

// bookOnEach opens connections to a gateway and sends a short booking on each.
func (f *fleet) bookOnEach(g *gateway) ([]*connection, error) {
	var conns []*connection
	for i := range bookings {
		c, err := connect(g.front)
		if err != nil {
			return nil, err
		}
		conns = append(conns, c)
		if a := f.send(c, booking("first", i, 15*time.Millisecond)); a.status != http.StatusOK || !a.whole {
			return nil, fmt.Errorf("first booking %d: status %d, error %v", i, a.status, a.err)
		}
	}
	return conns, nil
}

// send sends a request and records how it ended.
func (f *fleet) send(c *connection, r request) answer {
	f.record.addf("client sends %s", r.id)
	a := c.do(r)
	f.record.addf("client: %s ends after %s with status %d, whole %t, error %v", r.id, a.elapsed.Round(time.Millisecond), a.status, a.whole, a.err)
	return a
}

func (f *fleet) signal(g *gateway, s syscall.Signal) {
	// An error means that the process has ended, which the record shows.
	err := g.cmd.Process.Signal(s)
	f.record.addf("%s sent to %s, error %v", s, g.name, err)
}

func booking(which string, i int, work time.Duration) request {
	return request{
		method: http.MethodPost, path: "/book/" + strconv.Itoa(i) + "?work=" + strconv.FormatInt(work.Milliseconds(), 10),
		id: which + "-" + strconv.Itoa(i), deadline: clientDeadline, body: "one aluminium nosing",
	}
}

// contains reports whether a line ends with the text.
func (r *record) contains(end string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, l := range r.lines {
		if strings.HasSuffix(l, end) {
			return true
		}
	}
	return false
}
