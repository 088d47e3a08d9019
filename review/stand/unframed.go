// This file defines the case of answers that end with their connection, whose worker
// crashes while the gateway is suspended.

package main

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// The gateway is suspended for freezeFor, and the worker is down for downFor
	// meanwhile.
	freezeAfter = 350 * time.Millisecond
	crashAfter  = 150 * time.Millisecond
	downFor     = time.Second
	freezeFor   = 1700 * time.Millisecond
	// streams and plainAnswers are the requests of each kind.
	streams, plainAnswers = 6, 6
	streamDeadline        = 3 * time.Second
)

// truncatedAnswers sends requests whose answers have no length, and lets their worker
// crash while the gateway is suspended.
func truncatedAnswers(f *fleet, trouble bool) (string, error) {
	if err := f.configure(1, plainTimeout); err != nil {
		return "", err
	}
	var workers []*workerProcess
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
		workers = append(workers, p)
		f.register(p.id, service, "tbilisi-a", 24, addr)
	}
	if err := f.startGateways("tbilisi-a", "tbilisi-b"); err != nil {
		return "", err
	}
	g := f.gateways[0]
	requests, answers := f.sendUnframed(g)
	if trouble {
		if err := f.crashWhileFrozen(g, workers); err != nil {
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

// crashWhileFrozen suspends the gateway, and lets the workers crash and come back.
func (f *fleet) crashWhileFrozen(g *gateway, workers []*workerProcess) error {
	time.Sleep(freezeAfter)
	f.signal(g, syscall.SIGSTOP)
	frozenAt := time.Now()
	time.Sleep(crashAfter)
	for _, p := range workers {
		f.crash(p)
	}
	time.Sleep(downFor)
	for _, p := range workers {
		next, err := f.startWorker(p.id, p.addr)
		if err != nil {
			return err
		}
		*p = *next
		f.record.addf("worker %s is back", p.id)
	}
	time.Sleep(time.Until(frozenAt.Add(freezeFor)))
	f.signal(g, syscall.SIGCONT)
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
