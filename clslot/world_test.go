// This file defines a world of one endpoint, entries, grantors, a lease and a
// network that loses, delays and reorders messages.

package clslot

import (
	"fmt"
	"time"

	"pgregory.net/rapid"
)

const (
	testGrantors = 3
	testEntries  = 5
	leaseTTL     = 6 * time.Second
)

var testLimits = Limits{ColdSlots: 2, MaxSlots: 8, WarmAfter: 4}

type (
	world struct {
		t        *rapid.T
		cfg      Config
		now      time.Time
		entries  []*testEntry
		grantors []*testGrantor
		requests []*testRequest
		lease    struct {
			holder   *testGrantor
			fencing  uint64
			until    time.Time
			released bool
			halvings int
			// state is the payload; it is complete if the holder released the lease with it.
			state    []EndpointState
			complete bool
		}
		boot    int
		cold    bool
		reports []Load
		demands []testDemand
		answers []testAnswer
		raises  []testRaise
		// granted is the highest limit at which slots were granted for each boot ID.
		granted map[string]int
		seen    map[string]int
	}

	testEntry struct {
		name   string
		h      *Holder
		paused bool
	}

	testGrantor struct {
		g           *Grantor
		paused, cut bool
		// resumed says that the present term began with a predecessor's complete state.
		resumed bool
	}

	// testRaise is a grant that raised the exposure, with the grantor's limit.
	testRaise struct {
		at    time.Time
		limit int
	}

	testRequest struct {
		owner     *testEntry // nil once the entry has restarted
		ticket    Ticket
		startedAt time.Time
		arrived   bool
		boot      int
		over      bool // ended at the endpoint, not yet noticed by the entry
	}

	testDemand struct {
		from *testEntry
		name string
		to   *testGrantor
		d    Demand
		back bool
	}

	testAnswer struct {
		to *testEntry
		h  *Holder
		g  Grant
	}
)

func newWorld(t *rapid.T, seen map[string]int) *world {
	cfg := DefaultConfig()
	cfg.RequestTimeout = 20 * time.Second
	w := &world{t: t, cfg: cfg, now: time.Unix(1000, 0), seen: seen, granted: map[string]int{}}
	for range testGrantors {
		p := &testGrantor{}
		w.restartGrantor(p)
		w.grantors = append(w.grantors, p)
	}
	for range testEntries {
		w.entries = append(w.entries, &testEntry{h: NewHolder(cfg)})
		w.entries[len(w.entries)-1].name = fmt.Sprint("entry-", len(w.entries), "-0")
	}
	w.lease.released = true
	w.lease.until = w.now
	return w
}

func (w *world) restartGrantor(p *testGrantor) {
	*p = testGrantor{g: NewGrantor(w.cfg)}
	p.g.SetEndpoint("ep", testLimits)
}

// exposure is the requests at the endpoint or on the way there, plus idle slots
// that entries hold or that an answer under way gives them.
func (w *world) exposure() int {
	sum := 0
	for _, r := range w.requests {
		if !r.over && (!r.arrived || r.boot == w.boot) {
			sum++
		}
	}
	for _, e := range w.entries {
		idle := e.h.Available("ep", w.now)
		for _, a := range w.answers {
			s := e.h.endpoints["ep"]
			live := a.to == e && a.h == e.h && s != nil && s.waiting && a.g.Sequence == s.sequence
			if live && a.g.Refused == NotRefused && w.now.Before(s.sentAt.Add(a.g.Lifetime)) {
				idle = max(idle, a.g.Slots-s.inUse)
			}
		}
		sum += idle
	}
	return sum
}

// advance moves time and ends requests that reach the request timeout.
func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, r := range w.requests {
		if w.now.Sub(r.startedAt) >= w.cfg.RequestTimeout || !r.arrived && w.now.After(r.ticket.SendBefore) {
			r.over = true
		}
	}
	w.sweep()
}

// sweep lets entries that are not paused notice ended requests.
func (w *world) sweep() {
	kept := w.requests[:0]
	for _, r := range w.requests {
		over := r.over || r.arrived && r.boot != w.boot
		if over && r.owner != nil && !r.owner.paused {
			failed := r.arrived && r.boot != w.boot
			r.owner.h.RecordFirstTokenTime(r.ticket.Endpoint, 300*time.Millisecond)
			r.owner.h.Release(r.ticket, Outcome{Healthy: !failed, Failed: failed}, w.now)
		}
		if !over || r.owner != nil && r.owner.paused {
			kept = append(kept, r)
		}
	}
	w.requests = kept
}

// deliver hands a demand to its grantor and checks the sum rule.
func (w *world) deliver(m testDemand) {
	if m.to.paused {
		return
	}
	if m.back {
		m.to.g.HandleReturn(m.name, m.d, w.now)
		return
	}
	before := w.exposure()
	led := m.to.g.endpoints["ep"]
	led.expire(w.cfg, w.now)
	unattributed := led.unattributed.slots
	g := m.to.g.HandleDemand(m.name, m.d, w.now)
	if led.unattributed.slots < unattributed {
		w.seen["attributed"]++
	}
	if g.Refused == NotRefused {
		w.granted[g.BootID] = max(w.granted[g.BootID], led.ramp.limit)
	}
	w.answers = append(w.answers, testAnswer{m.from, m.from.h, g})
	if m.name != m.from.name {
		w.answers = w.answers[:len(w.answers)-1]
	}
	w.seen["refused "+g.Refused.String()]++
	after := w.exposure()
	if after <= before {
		return
	}
	limit := led.ramp.limit
	w.raises = append(w.raises, testRaise{w.now, limit})
	w.count(m.to, led)
	if led.halvings > 0 || !w.now.Before(m.to.g.term.ExpiresAt) {
		// Others act or acted on their own belief of the limit.
		for _, r := range w.raises {
			if w.now.Sub(r.at) < w.cfg.GrantLifetime+w.cfg.RequestTimeout {
				limit = max(limit, r.limit)
			}
		}
	}
	if after > limit {
		w.t.Fatalf("exposure rose from %d to %d above the limit %d, halvings %d", before, after, limit, led.halvings)
	}
}

// count records which situations the grants of a run covered.
func (w *world) count(p *testGrantor, led *ledger) {
	w.seen["raised"]++
	for name, is := range map[string]bool{
		"raised in outage":          !w.now.Before(p.g.term.ExpiresAt),
		"raised at half":            led.halvings > 0,
		"raised after predecessors": led.hasAfterEnd,
		"raised above cold":         led.ramp.limit > testLimits.ColdSlots,
		"raised by successor":       p.g.term.Fencing > 1,
		"raised with unattributed":  led.unattributed.slots > 0,
		"raised after resume":       p.resumed,
	} {
		if is {
			w.seen[name]++
		}
	}
}
