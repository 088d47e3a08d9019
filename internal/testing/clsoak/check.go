// This file defines the promises and how they are checked.

package clsoak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/platform/clstandplatform"
)

// attempt is one send of a request with its answer.
type attempt struct {
	send        string
	prefix      string
	again       bool
	gateway     *gateway
	key         accountKey
	sent, ended time.Time
	// slack is how long after its deadline the caller waited.
	slack time.Duration
	reply clstandplatform.Reply
}

// judge checks the promises about one request.
func (s *Soak) judge(a attempt) {
	runs := s.runsOf(a.send)
	s.judgeKey(a, runs)
	s.judgeAnswer(a, runs)
	s.judgeDrain(a, runs)
	s.judgeTime(a, runs)
}

// inTouch reports whether neither the gateway nor the store had a fault
// shortly before or during the attempt.
func (s *Soak) inTouch(a attempt) bool {
	from := a.sent.Add(-contact)
	return a.gateway.calmSince(from) && !a.gateway.stoppedSince(from) && s.world.storeTroubles.calmSince(from)
}

// inTouchNow reports whether neither the gateway that got a request in progress nor the
// store had a fault shortly before.
func (s *Soak) inTouchNow(send string) bool {
	s.mu.Lock()
	g := s.senders[send]
	s.mu.Unlock()
	return g != nil && s.inTouch(attempt{gateway: g, sent: time.Now()})
}

func (s *Soak) judgeKey(a attempt, runs []clstandplatform.Run) {
	switch {
	case !a.key.removed.IsZero() && a.sent.After(a.key.removed.Add(bounds.Revocation)) && len(runs) > 0:
		s.violate("%s ran %s after its key was removed, at %s", a.send, a.sent.Sub(a.key.removed), a.gateway.name)
	case a.key.removed.IsZero() && a.sent.After(a.key.added.Add(bounds.Config)) && s.inTouch(a) &&
		(a.reply.Status == http.StatusUnauthorized || a.reply.Status == http.StatusNotFound):
		s.violate("%s got %d with a valid key %s after it was added, at %s", a.send, a.reply.Status, a.sent.Sub(a.key.added), a.gateway.name)
	}
}

func (s *Soak) judgeAnswer(a attempt, runs []clstandplatform.Run) {
	r := a.reply
	if r.Wrong != "" {
		s.violate("%s got what is not its own: %q", a.send, r.Wrong)
	}
	for i, n := range r.Events {
		if n != i+1 {
			s.violate("%s got event %d in place %d", a.send, n, i+1)
		}
	}
	if r.Status != http.StatusOK || !r.Whole {
		return
	}
	sealed := false
	for _, run := range runs {
		sealed = sealed || r.Seal == clstandplatform.Seal(run.Endpoint, a.send)
	}
	if !sealed {
		s.violate("%s got an answer sealed %q and ran at %d endpoints", a.send, r.Seal, len(runs))
	}
	if a.prefix == clstandplatform.StreamPrefix && len(r.Events) != eventCount {
		s.violate("%s ended as whole after %d of %d events", a.send, len(r.Events), eventCount)
	}
}

// judgeDrain looks for requests that reach an endpoint which has left.
func (s *Soak) judgeDrain(a attempt, runs []clstandplatform.Run) {
	for _, run := range runs {
		e := s.world.find(run.Endpoint)
		if e == nil || e.leftAt().IsZero() || !run.At.After(e.leftAt().Add(bounds.Drain)) || !s.inTouch(a) {
			continue
		}
		s.violate("%s reached %s %s after it left, from %s", a.send, run.Endpoint, run.At.Sub(e.leftAt()), a.gateway.name)
	}
}

// judgeTime looks for requests that are held too long, and for those that a
// planned stop of the gateway has cut.
func (s *Soak) judgeTime(a attempt, runs []clstandplatform.Run) {
	if a.reply.Err == nil || !a.gateway.calmSince(a.sent.Add(-contact)) {
		return
	}
	if errors.Is(a.reply.Err, context.DeadlineExceeded) {
		if s.inTouch(a) {
			s.violate("%s had no answer within %s of its deadline, at %s", a.send, a.slack, a.gateway.name)
		}
		return
	}
	if !a.gateway.stoppedSince(a.sent.Add(-bounds.Grace)) || len(runs) == 0 {
		return
	}
	for _, run := range runs {
		if e := s.world.find(run.Endpoint); e == nil || !e.calmSince(a.sent.Add(-contact)) {
			return
		}
	}
	s.violate("%s ran and was cut while %s stopped as planned: %v", a.send, a.gateway.name, a.reply.Err)
}

// checkRecovery requires that all gateways serve all kinds of requests again. They are
// asked at the same time, so that each has all the time to recover.
func (s *Soak) checkRecovery(ctx context.Context) {
	end := time.Now().Add(recovery)
	var checks sync.WaitGroup
	for _, g := range s.world.gateways {
		checks.Go(func() { s.checkServes(ctx, g, end) })
	}
	checks.Wait()
}

// checkServes requires that a gateway serves all kinds of requests before end. A request
// may be refused for its key, which may be a removed one.
func (s *Soak) checkServes(ctx context.Context, g *gateway, end time.Time) {
	c := clstandplatform.NewCaller()
	defer c.Close()
	for i, prefix := range prefixes {
		for n := 0; ; n++ {
			if s.call(ctx, c, g, prefix, fmt.Sprintf("last-%s-%d-%d", g.name, i, n)) {
				break
			}
			if time.Now().After(end) {
				s.violate("%s does not serve %s within %s of the last fault", g.name, prefix, recovery)
				break
			}
			time.Sleep(pollEvery)
		}
	}
}

// checkEnd checks what can only be known when all requests have ended.
func (s *Soak) checkEnd() {
	// A request that was refused must not run later either.
	time.Sleep(time.Second)
	for _, send := range s.refused {
		if n := len(s.runsOf(send)); n > 0 {
			s.violate("%s was refused as not run and ran %d times", send, n)
		}
	}
	s.mu.Lock()
	most := map[string]int{clstandplatform.OncePrefix: 1, clstandplatform.RepeatPrefix: 2, clstandplatform.StreamPrefix: 2}
	var often []string
	for send, runs := range s.runs {
		for prefix, limit := range most {
			if len(runs) > limit && runs[0].Path == prefix+runs[0].Request {
				often = append(often, fmt.Sprintf("%s ran %d times, %d are allowed", prefix+send, len(runs), limit))
			}
		}
	}
	s.mu.Unlock()
	for _, text := range append(often, s.world.cloud.Faults()...) {
		s.violate("%s", text)
	}
	s.checkHolders()
	s.world.checkBadParts()
	s.checkQuietTimes()
	for _, g := range s.world.gateways {
		if n := g.ownEnds(); n > 0 {
			s.violate("%s ended by itself; see %s", g.name, s.Dir)
		}
	}
}
