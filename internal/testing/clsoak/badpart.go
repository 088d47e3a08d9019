// This file defines requests with a part of their prompts that crashes endpoints.

package clsoak

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/platform/cladapter"
	"github.com/chestnutlead/chestnutlead/platform/clstandplatform"
)

type (
	// badPart is a part of prompts under which endpoints crash.
	badPart struct {
		id string

		mu sync.Mutex
		// crashes are the times at which endpoints crashed under it.
		crashes []time.Time
		// lateArrivals counts the requests with it that reached an endpoint although
		// the part was known, from gateways in touch.
		lateArrivals int
	}

	// badParts are all of a run, by their IDs.
	badParts struct {
		mu    sync.Mutex
		parts map[string]*badPart
	}
)

const (
	// knownCrashes is the number of crashes from which a part counts as known, contact
	// later.
	knownCrashes = 5
	// toleratedArrivals is how many requests with a known part may reach endpoints.
	toleratedArrivals = 3
	// promptParts is the number of parts among which sound prompts choose.
	promptParts = 20
)

// soundPrompt returns the prompt of a request without a bad part.
func (s *Soak) soundPrompt() string {
	return fmt.Sprintf("a1:500,%x:900,%x:100", 0xb0+s.intN(promptParts), s.intN(1<<40))
}

// sendBadRequests sends requests with a new part under which endpoints crash, at all
// gateways, for a while. No two are alike.
func (s *Soak) sendBadRequests(w *world) {
	p := &badPart{id: fmt.Sprintf("bad%x", s.intN(1<<30))}
	w.bad.add(p)
	c := clstandplatform.NewCaller()
	defer c.Close()
	var running sync.WaitGroup
	defer running.Wait()
	for n, end := 0, time.Now().Add(s.between(2*contact, 3*contact)); time.Now().Before(end); n++ {
		g := w.gateways[s.intN(len(w.gateways))]
		prompt := fmt.Sprintf("a1:500,%s:900,%x:100", p.id, s.intN(1<<40))
		if s.chance(0.5) {
			prompt = fmt.Sprintf("%s:500,%x:900,%x:100", p.id, 0xb0+s.intN(promptParts), s.intN(1<<40))
		}
		running.Go(func() {
			id := fmt.Sprintf("%s-%d", p.id, n)
			s.send(context.Background(), c, g, clstandplatform.Call{Path: clstandplatform.StreamPrefix + id, ID: id, Prompt: prompt})
		})
		time.Sleep(s.between(100*time.Millisecond, 500*time.Millisecond))
	}
}

// crashesUnder reports whether the endpoint crashes under a request, and lets it crash.
// Another endpoint comes at once.
func (w *world) crashesUnder(e *endpoint, r clstandplatform.Run) bool {
	p := w.bad.find(r.Header.Get(cladapter.HeaderPrompt))
	if p == nil || w.find(e.id) == nil {
		return false
	}
	p.arrived(w.soak.inTouchNow(r.Send), r.At)
	// What ends with the endpoint is judged as soon as its connections have ended.
	e.trouble(time.Now().Add(time.Hour))
	// The link before the server: who asks at once whether the endpoint still accepts
	// connections must not find it open.
	e.link.close()
	go w.crash(e)
	if err := w.addEndpoint(); err != nil {
		w.soak.violate("an endpoint cannot be started: %v", err)
	}
	return true
}

func (p *badPart) arrived(inTouch bool, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if inTouch && len(p.crashes) >= knownCrashes && at.After(p.crashes[knownCrashes-1].Add(contact)) {
		p.lateArrivals++
	}
	p.crashes = append(p.crashes, at)
}

func (b *badParts) add(p *badPart) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.parts == nil {
		b.parts = map[string]*badPart{}
	}
	b.parts[p.id] = p
}

// find returns the bad part of a prompt, or nil.
func (b *badParts) find(prompt string) *badPart {
	b.mu.Lock()
	defer b.mu.Unlock()
	for part := range strings.SplitSeq(prompt, ",") {
		id, _, _ := strings.Cut(part, ":")
		if p := b.parts[id]; p != nil {
			return p
		}
	}
	return nil
}

// checkBadParts looks for parts that went on crashing endpoints once they were known.
func (w *world) checkBadParts() {
	w.bad.mu.Lock()
	defer w.bad.mu.Unlock()
	for _, p := range w.bad.parts {
		p.mu.Lock()
		if p.lateArrivals > toleratedArrivals {
			w.soak.violate("%d requests with the part %s reached endpoints, which %d crashes had shown to be bad", p.lateArrivals, p.id, knownCrashes)
		}
		p.mu.Unlock()
	}
}
