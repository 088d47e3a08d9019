// This file defines the case of a part of prompts that crashes engines, and of sound
// requests that share another part with it.

package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/chestnutlead/chestnutlead/platform/cladapter"
)

const (
	engineCount = 3
	// backAfter is the time after which an engine that has crashed is back.
	backAfter = 2 * time.Second
	// calmFor is the time before the first bad request. Afterwards bad requests come
	// every badEvery for badFor.
	calmFor, badFor          = 7 * time.Second, 20 * time.Second
	soundEvery, bookingEvery = 250 * time.Millisecond, 250 * time.Millisecond
	badEvery                 = 200 * time.Millisecond
	// judgedAfter is 2 x contact_ms, and countedCrash the crash from which it counts.
	judgedAfter, countedCrash = 6 * time.Second, 5
	minJudged                 = 20
	scheduleDeadline          = 15 * time.Second
)

// load is what happens in the case.
type load struct {
	*fleet
	stopping atomic.Bool

	mu      sync.Mutex
	crashes int
	// countedAt is the time of the fifth crash, or of the last one if there are fewer.
	countedAt time.Time
	sound     []soundRequest
}

// soundRequest is a sound request and whether it began at its only attempt.
type soundRequest struct {
	at    time.Time
	began bool
}

// partCrashesEngines sends sound requests, bookings and, if trouble is set, requests
// whose first part crashes engines. All prompts share their second part.
func partCrashesEngines(f *fleet, trouble bool) (string, error) {
	if err := f.configure(1, plainTimeout); err != nil {
		return "", err
	}
	if err := f.addDesk(); err != nil {
		return "", err
	}
	l := &load{fleet: f}
	defer l.stopping.Store(true)
	for i, zone := range []string{"tbilisi-a", "tbilisi-b", "tbilisi-c"}[:engineCount] {
		if err := l.addEngine("i-pool-"+strconv.Itoa(i+1), zone); err != nil {
			return "", err
		}
	}
	if err := f.startGateways("tbilisi-a", "tbilisi-b"); err != nil {
		return "", err
	}
	badFrom := time.Now().Add(calmFor)
	end := badFrom.Add(badFor)
	var wg sync.WaitGroup
	every := func(d time.Duration, from time.Time, send func(i int)) {
		defer wg.Done()
		time.Sleep(time.Until(from))
		for i := 0; time.Now().Before(end); i++ {
			wg.Add(1)
			go func() { defer wg.Done(); send(i) }()
			time.Sleep(d)
		}
	}
	wg.Add(2)
	go every(soundEvery, time.Now(), l.sendSound)
	go every(bookingEvery, time.Now(), l.sendBooking)
	if trouble {
		wg.Add(1)
		go every(badEvery, badFrom, l.sendBad)
	}
	wg.Wait()
	return l.judge(badFrom), nil
}

// addEngine starts an engine and keeps it running.
func (l *load) addEngine(id, zone string) error {
	addr, err := freeAddress()
	if err != nil {
		return err
	}
	p, err := l.startProcess("-engine", id, addr)
	if err != nil {
		return err
	}
	l.register(id, "pool", zone, 64, addr)
	go l.keepEngine(p, zone)
	return nil
}

// keepEngine starts the engine again whenever it has crashed.
func (l *load) keepEngine(p *workerProcess, zone string) {
	for {
		<-p.ended
		if l.stopping.Load() {
			return
		}
		l.mu.Lock()
		if l.crashes++; l.crashes <= countedCrash {
			l.countedAt = time.Now()
		}
		l.mu.Unlock()
		time.Sleep(backAfter)
		next, err := l.startProcess("-engine", p.id, p.addr)
		if err != nil {
			l.record.addf("engine %s cannot start: %v", p.id, err)
			return
		}
		p = next
		l.register(p.id, "pool", zone, 64, p.addr)
		l.record.addf("engine %s is back", p.id)
	}
}

func (l *load) sendSound(i int) {
	at := time.Now()
	a := l.sendTo(i, schedule("sound", i, "a110:500,b0b0:4800"))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sound = append(l.sound, soundRequest{at, a.status == http.StatusOK})
}

func (l *load) sendBad(i int) { l.sendTo(i, schedule("bad", i, poisonPart+":500,b0b0:4800")) }

func (l *load) sendBooking(i int) { l.sendTo(i, booking("b", i, 15*time.Millisecond)) }

// sendTo sends a request to one of the gateways on a new connection.
func (l *load) sendTo(i int, r request) answer {
	c, err := connect(l.gateways[i%len(l.gateways)].front)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	return l.send(c, r)
}

// schedule returns a request for a stream whose prompt has these parts and one of its own.
func schedule(which string, i int, parts string) request {
	return request{
		method: http.MethodPost, path: "/schedule/1", id: which + "-" + strconv.Itoa(i), deadline: scheduleDeadline,
		header: map[string]string{
			"Model": "m", cladapter.HeaderUsage: "6000,125", cladapter.HeaderPrompt: fmt.Sprintf("%s,%x:700", parts, 0x100000+len(which)<<16+i),
		},
		body: which + strconv.Itoa(i),
	}
}

// judge compares how often sound requests began before the first bad request, and from
// judgedAfter after the fifth crash on.
func (l *load) judge(badFrom time.Time) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	from := badFrom.Add(judgedAfter)
	if l.crashes > 0 {
		from = l.countedAt.Add(judgedAfter)
	}
	var before, beganBefore, during, beganDuring int
	for _, s := range l.sound {
		switch {
		case s.at.Before(badFrom):
			before++
			if s.began {
				beganBefore++
			}
		case s.at.After(from):
			during++
			if s.began {
				beganDuring++
			}
		}
	}
	l.record.addf("%d crashes; sound requests that began at the first attempt: %d of %d before the bad ones, %d of %d from 6 s after the fifth crash, or the last, on",
		l.crashes, beganBefore, before, beganDuring, during)
	if before >= minJudged && during >= minJudged && 2*beganDuring*before < beganBefore*during {
		return fmt.Sprintf("LOST: sound requests begin less than half as often: %d of %d, before %d of %d", beganDuring, during, beganBefore, before)
	}
	return ""
}
