// This file defines a run: callers, faults, and what comes of them.

package clsoak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/platform/clstandplatform"
	"go.uber.org/zap"
)

type (
	// Soak is one run. Exported fields are set before Run.
	Soak struct {
		// Binary is the path of chestnutlead, and Dir where logs go.
		Binary, Dir string
		// Seed decides the faults and the requests; timing is the machine's.
		Seed                         uint64
		Gateways, Endpoints, Callers int
		// Length is how long faults are injected.
		Length time.Duration
		// Faults are the names of the faults that are injected, more often those that are
		// named more often; empty means all.
		Faults []string
		// ReturnConfig says how the store returns from older copies.
		ReturnConfig ReturnConfig
		Logger       *zap.Logger

		world   *world
		dutyLog dutyLog
		// configuring lets configurations change one after the other.
		configuring sync.Mutex

		mu  sync.Mutex
		rnd *rand.Rand
		// runs holds what ran of each send, and refused the sends that were refused.
		runs    map[string][]clstandplatform.Run
		refused []string
		report  Report
		version int
		keys    []accountKey
		// senders holds the gateways to which requests in progress were sent, by send.
		senders map[string]*gateway
		// sentAt holds when these were sent.
		sentAt     map[string]time.Time
		statements statements
		violations map[string]bool
	}

	// accountKey is a key of the account.
	accountKey struct {
		key string
		// added and removed are when the store acknowledged the changes. While removing
		// is set, the removal is not acknowledged.
		added, removed time.Time
		removing       bool
	}

	// Report is what came of a run.
	Report struct {
		Seed     uint64 `json:"seed"`
		Requests int    `json:"requests"`
		Answered int    `json:"answered"`
		Refused  int    `json:"refused"`
		// Broken requests got a failure or no whole answer.
		Broken int `json:"broken"`
		// Again counts the sends of IDs that had been sent before, Copies the copies of
		// refusals, and CopiesUnderWay those that were sent while the ID was under way
		// again on their connection.
		Again          int `json:"again"`
		Copies         int `json:"copies"`
		CopiesUnderWay int `json:"copies_under_way"`
		// DutyCalls are the calls of the cloud API that were accepted, and DutyCallsRefused
		// those whose fencing number was too low.
		DutyCalls        int `json:"duty_calls"`
		DutyCallsRefused int `json:"duty_calls_refused"`
		// Windows are those in which requests ran and whose report was due, and
		// WindowsUnreported those of them that nobody has reported.
		Windows           int `json:"windows"`
		WindowsUnreported int `json:"windows_unreported"`
		// StoreReturns counts the returns from older copies, and MostMsToCall is the longest
		// time from one to the next accepted call, if there was one.
		StoreReturns int      `json:"store_returns"`
		MostMsToCall int64    `json:"most_ms_to_call"`
		Faults       []string `json:"faults"`
		Violations   []string `json:"violations"`
	}
)

const (
	account = "acme"
	// pollEvery spaces questions about readiness.
	pollEvery = 50 * time.Millisecond
	// deadline is what callers state, and callerWait how long they wait.
	deadline   = 3 * time.Second
	callerWait = 4 * time.Second
	// shortDeadline is what shortShare of the callers state, and shortWait how long they
	// wait: an answer is due half a second after the deadline.
	shortDeadline = 800 * time.Millisecond
	shortWait     = shortDeadline + 500*time.Millisecond
	shortShare    = 0.2
	// recovery bounds the time from the end of the faults to service by all gateways.
	recovery = 12 * time.Second
	// oldKeyShare is the part of the requests with a key that was removed.
	oldKeyShare = 0.1
)

// Run starts the system, breaks it for a while, and checks the promises; an
// error means that the run itself could not be made.
func (s *Soak) Run(ctx context.Context) (Report, error) {
	s.rnd = rand.New(rand.NewPCG(s.Seed, 1))
	s.runs, s.violations, s.senders = make(map[string][]clstandplatform.Run), make(map[string]bool), make(map[string]*gateway)
	s.sentAt = make(map[string]time.Time)
	s.report.Seed = s.Seed
	w, err := newWorld(s)
	defer w.close()
	if err != nil {
		return s.report, err
	}
	calling, stopCalls := context.WithCancel(ctx)
	defer stopCalls()
	var callers sync.WaitGroup
	for i := range s.Callers {
		callers.Go(func() { s.runCaller(calling, i) })
	}
	s.runFaults(ctx)
	if err := w.heal(); err != nil {
		return s.report, err
	}
	healed := time.Now()
	s.checkRecovery(ctx)
	s.checkDutiesGoOn(ctx, healed)
	stopCalls()
	callers.Wait()
	s.checkEnd()
	return s.report, nil
}

// configure adds a key and removes the oldest but one.
func (s *Soak) configure() {
	s.configuring.Lock()
	defer s.configuring.Unlock()
	version, keys := s.nextKeys()
	// The store may be away for a while.
	at := s.world.store.Configure(version, account, keys)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.keys {
		if s.keys[i].removing {
			s.keys[i].removing, s.keys[i].removed = false, at
		}
	}
	s.keys = append(s.keys, accountKey{key: keys[len(keys)-1], added: at})
}

// nextKeys returns the next version of the configuration and its keys, of which the last one
// is new.
func (s *Soak) nextKeys() (version int, keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 1 + s.rnd.IntN(3)
	for _, k := range s.keys {
		if k.removed.IsZero() {
			keys = append(keys, k.key)
		}
	}
	if len(keys) > 1 {
		for i := range s.keys {
			s.keys[i].removing = s.keys[i].key == keys[0]
		}
		keys = keys[1:]
	}
	return s.version, append(keys, fmt.Sprintf("key-%d", s.version))
}

// pickKey returns a key that is valid, or now and then one that was removed.
func (s *Soak) pickKey() accountKey {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.rnd.Float64() < oldKeyShare
	keys := slices.DeleteFunc(slices.Clone(s.keys), func(k accountKey) bool { return k.removing || k.removed.IsZero() == old })
	if len(keys) == 0 {
		return s.keys[len(s.keys)-1]
	}
	return keys[s.rnd.IntN(len(keys))]
}

func (s *Soak) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rnd.IntN(n)
}

func (s *Soak) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rnd.Float64() < p
}

// between returns a random duration.
func (s *Soak) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.intN(int(most-least)))
}

// ran records a request that an endpoint runs.
func (s *Soak) ran(r clstandplatform.Run) {
	s.mu.Lock()
	s.runs[r.Send] = append(s.runs[r.Send], r)
	s.mu.Unlock()
	if r.Account != account || r.Header.Get("Authorization") != "" {
		s.violate("a request ran for account %q with headers %v", r.Account, r.Header)
	}
}

func (s *Soak) runsOf(send string) []clstandplatform.Run {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.runs[send])
}

// violate records a broken promise; the same text counts once.
func (s *Soak) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.violations[text] {
		s.violations[text] = true
		s.report.Violations = append(s.report.Violations, time.Now().Format("15:04:05.000 ")+text)
	}
}

var prefixes = []string{clstandplatform.OncePrefix, clstandplatform.RepeatPrefix, clstandplatform.StreamPrefix}

// runCaller sends requests one after the other over connections that it keeps.
func (s *Soak) runCaller(ctx context.Context, number int) {
	c := clstandplatform.NewCaller()
	defer c.Close()
	for n := 0; ctx.Err() == nil; n++ {
		g := s.world.gateways[s.intN(len(s.world.gateways))]
		prefix, id := prefixes[s.intN(len(prefixes))], fmt.Sprintf("c%d-%d", number, n)
		if s.chance(againShare) {
			s.callAgain(ctx, c, g, prefix, id)
		} else {
			s.call(ctx, c, g, prefix, id)
		}
		time.Sleep(s.between(2*time.Millisecond, 30*time.Millisecond))
	}
}

// call sends one request and judges its answer, and reports whether it was served.
func (s *Soak) call(ctx context.Context, c *clstandplatform.Caller, g *gateway, prefix, id string) bool {
	a := s.send(ctx, c, g, s.newCall(prefix, id))
	return a.reply.Status == http.StatusOK && a.reply.Whole
}

// newCall returns a request with a sound prompt.
func (s *Soak) newCall(prefix, id string) clstandplatform.Call {
	call := clstandplatform.Call{Path: prefix + id, ID: id}
	if prefix == clstandplatform.StreamPrefix {
		call.Prompt = s.soundPrompt()
	}
	return call
}

// send sends a request at a gateway and judges its answer.
func (s *Soak) send(ctx context.Context, c *clstandplatform.Caller, g *gateway, call clstandplatform.Call) attempt {
	a := attempt{
		send: clstandplatform.SendName(call.ID, call.Send), prefix: strings.TrimSuffix(call.Path, call.ID), gateway: g, key: s.pickKey(), sent: time.Now(),
		again: call.Send > 1,
	}
	s.mu.Lock()
	s.senders[a.send], s.sentAt[a.send] = g, a.sent
	s.mu.Unlock()
	call.Gateway, call.Method, call.Host, call.Key = g.callers, http.MethodPost, clstandplatform.Host, a.key.key
	call.Deadline, call.Wait = deadline, callerWait
	if call.BodyBytes == 0 && s.chance(shortShare) {
		call.Deadline, call.Wait = shortDeadline, shortWait
	}
	a.slack = call.Wait - call.Deadline
	// Not bound to ctx: a run that ends lets the last requests end.
	a.reply = c.Send(context.WithoutCancel(ctx), call)
	a.ended = time.Now()
	s.mu.Lock()
	delete(s.senders, a.send)
	delete(s.sentAt, a.send)
	s.mu.Unlock()
	s.passedOn(a)
	s.count(a)
	s.judge(a)
	return a
}

func (s *Soak) count(a attempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Requests++
	if a.again {
		s.report.Again++
	}
	switch {
	case a.reply.Status == http.StatusOK && a.reply.Whole:
		s.report.Answered++
	case a.reply.Refuses():
		s.report.Refused++
		s.refused = append(s.refused, a.send)
	default:
		s.report.Broken++
	}
}
