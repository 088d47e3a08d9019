// This file defines the case of answers that end with their connection, whose worker
// crashes behind a cut and starts again.

package main

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	// The links to the workers are cut for cutFor, and the workers are down for downFor
	// meanwhile.
	cutAfter   = 350 * time.Millisecond
	crashAfter = 150 * time.Millisecond
	downFor    = time.Second
	cutFor     = 1700 * time.Millisecond
	// streams and plainAnswers are the requests of each kind.
	streams, plainAnswers = 6, 6
	streamDeadline        = 3 * time.Second
)

// unframed is a worker that answers without a length, and the link to it.
type unframed struct {
	*workerProcess
	link *link
}

// truncatedAnswers sends requests whose answers have no length, and lets their workers
// crash behind a cut and start again.
func truncatedAnswers(f *fleet, trouble bool) (string, error) {
	if err := f.configure(1, plainTimeout); err != nil {
		return "", err
	}
	var workers []unframed
	for _, service := range []string{"pool", "desk"} {
		addr, err := freeAddress()
		if err != nil {
			return "", err
		}
		p, err := f.startWorker("i-"+service+"-1", addr)
		if err != nil {
			return "", err
		}
		defer func() { _ = p.cmd.Process.Kill() }()
		l, err := newLink(addr)
		if err != nil {
			return "", err
		}
		workers = append(workers, unframed{p, l})
		f.register(p.id, service, "tbilisi-a", 24, l.addr)
	}
	if err := f.startGateways("tbilisi-a", "tbilisi-b"); err != nil {
		return "", err
	}
	requests, answers := f.sendUnframed(f.gateways[0])
	if trouble {
		if err := f.crashBehindCut(workers); err != nil {
			return "", err
		}
	}
	return f.judgeWhole(requests, answers()), nil
}

// sendUnframed sends the requests, each on a connection of its own. The function that
// it returns waits for the answers.
func (f *fleet) sendUnframed(g *gateway) ([]request, func() []answer) {
	var requests []request
	for i := range streams {
		requests = append(requests, request{method: http.MethodPost, path: "/query/1", id: fmt.Sprintf("stream-%d", i), deadline: streamDeadline, body: "profile"})
	}
	for i := range plainAnswers {
		requests = append(requests, request{method: http.MethodPost, path: "/book/1", id: fmt.Sprintf("book-%d", i), deadline: clientDeadline, body: "nosing"})
	}
	answers := make([]answer, len(requests))
	var wg sync.WaitGroup
	for i, r := range requests {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c, err := connect(g.front)
			if err != nil {
				answers[i] = answer{err: err}
				return
			}
			defer c.Close()
			answers[i] = f.send(c, r)
		}()
	}
	return requests, func() []answer { wg.Wait(); return answers }
}

// crashBehindCut cuts the links to the workers, and lets the workers crash and start
// again meanwhile.
func (f *fleet) crashBehindCut(workers []unframed) error {
	time.Sleep(cutAfter)
	cutAt := time.Now()
	for _, w := range workers {
		w.link.cut()
	}
	f.record.addf("the links to the workers are cut")
	time.Sleep(crashAfter)
	for _, w := range workers {
		w.link.shut()
		f.crash(w.workerProcess)
	}
	time.Sleep(downFor)
	for _, w := range workers {
		next, err := f.startWorker(w.id, w.addr)
		if err != nil {
			return err
		}
		*w.workerProcess = *next
		f.record.addf("worker %s has started again", w.id)
		if err := w.link.open(); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(cutAt.Add(cutFor)))
	f.record.addf("the cut ends")
	for _, w := range workers {
		w.link.heal()
	}
	return nil
}

// judgeWhole returns what is wrong with the successes among the answers.
func (f *fleet) judgeWhole(requests []request, answers []answer) string {
	mixed := 0
	for i, a := range answers {
		pieces := strings.Count(a.body, "data: ")
		if a.status == http.StatusOK && a.whole && pieces < unframedEvents {
			mixed++
			f.record.addf("client takes the answer to %s for whole: status %d, %d of %d pieces", requests[i].id, a.status, pieces, unframedEvents)
		}
	}
	if mixed > 0 {
		return fmt.Sprintf("MIXED: %d answers that ended early look complete", mixed)
	}
	return ""
}

// freeAddress returns a free loopback address.
func freeAddress() (netip.AddrPort, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, err
	}
	defer ln.Close()
	return netip.ParseAddrPort(ln.Addr().String())
}
