// This file tests individual rules of grantors, ramps and holders.

package clslot

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// grantorFixture is a grantor whose term follows that of a former grantor, with the present
// time and the sequence number of the last demand of any entry.
type grantorFixture struct {
	g        *Grantor
	now      time.Time
	sequence uint64
}

// newGrantorFixture returns a fixture with one endpoint. Its grantor has applied the term's
// first load report, with the given number of running requests.
func newGrantorFixture(l Limits, halvings, running int) *grantorFixture {
	s := &grantorFixture{g: NewGrantor(DefaultConfig()), now: time.Unix(1000, 0)}
	s.g.SetEndpoint("ep", l)
	s.g.LeaseAcquired(Lease{Fencing: 2, ExpiresAt: s.now.Add(time.Hour), Halvings: halvings, FormerGrantsEnd: s.now})
	s.applyLoad(time.Second, "b1", running, false)
	return s
}

// applyLoad moves the time forward and applies a load report produced then.
func (s *grantorFixture) applyLoad(after time.Duration, boot string, running int, cold bool) {
	s.now = s.now.Add(after)
	s.g.ApplyLoad("ep", Load{BootID: boot, ProducedAt: s.now, Running: running, Cold: cold}, s.now)
}

// demand handles a demand of an entry with the next sequence number.
func (s *grantorFixture) demand(entryID string, d Demand) Grant {
	s.sequence++
	d.Endpoint, d.Sequence = "ep", s.sequence
	return s.g.HandleDemand(entryID, d, s.now)
}

// requestAll sends demands of an entry that has inUse running requests. Each further demand reports
// all slots of the last grant as in use. requestAll returns the number in use once a grant does not
// raise it.
func (s *grantorFixture) requestAll(entryID string, inUse int) int {
	for {
		g := s.demand(entryID, Demand{InUse: inUse, Held: inUse, Wanted: 100, Fencing: 2})
		if g.Slots <= inUse {
			return inUse
		}
		inUse = g.Slots
	}
}

// TestTermBounds guards against grants before a load report counts the former term's
// requests, and against grants that outlast the lease.
func TestTermBounds(t *testing.T) {
	s := newGrantorFixture(testLimits, 0, 0)
	s.g.LeaseAcquired(Lease{Fencing: 3, ExpiresAt: s.now.Add(4 * time.Second), FormerGrantsEnd: s.now})
	s.applyLoad(400*time.Millisecond, "b1", 0, false)
	require.Equal(t, RefusedNotReady, s.demand("e1", Demand{Wanted: 1}).Refused)
	s.applyLoad(200*time.Millisecond, "b1", 0, false)
	require.Equal(t, 3*time.Second, s.demand("e1", Demand{Wanted: 1}).Lifetime)
	s.now = s.now.Add(3 * time.Second)
	require.Equal(t, 400*time.Millisecond, s.demand("e1", Demand{Wanted: 1}).Lifetime)
	s.now = s.now.Add(400 * time.Millisecond)
	require.Equal(t, RefusedNotGrantor, s.demand("e1", Demand{Wanted: 1}).Refused)
}

// TestHalvingUntilPredecessorsEnd guards against ending the halving while grants or requests
// of a predecessor may remain.
func TestHalvingUntilPredecessorsEnd(t *testing.T) {
	s := newGrantorFixture(Limits{ColdSlots: 8, MaxSlots: 8}, 1, 0)
	require.Equal(t, 4, s.requestAll("e1", 0), "half of the limit while a predecessor may be active")
	s.g.PredecessorsEnded(s.now)
	s.applyLoad(time.Second, "b1", 0, false)
	require.Equal(t, 4, s.requestAll("e1", 4), "the predecessor's last grants may still be used")
	s.applyLoad(4*time.Second, "b1", 8, false)
	require.Equal(t, 4, s.requestAll("e1", 4), "four requests of the predecessor run")
	s.applyLoad(time.Second, "b1", 1, false)
	require.Equal(t, 7, s.requestAll("e1", 1), "one of the predecessor's requests may be left")
	s.now = s.now.Add(2 * time.Second)
	for range 40 {
		s.applyLoad(2*time.Second, "b1", 7, false)
		s.requestAll("e1", 7)
	}
	require.Equal(t, 8, s.requestAll("e1", 7), "no request of the predecessor can be left after the request timeout")
}

// TestCarriedRequestsCountedOnce guards against counting a carried request twice forever,
// and against subtracting it from the unattributed requests without proof that it is
// included.
func TestCarriedRequestsCountedOnce(t *testing.T) {
	for _, c := range []struct {
		name                  string
		halvings              int
		fencing               uint64
		reported              int // running requests in a load report in between; 0 for none
		counted, countedLater int
	}{
		{"proven", 0, 2, 0, 8, 8},
		{"report in between", 0, 2, 7, 12, 7},
		{"no grant of this term", 0, 1, 0, 13, 13},
		{"predecessor active", 1, 2, 0, 13, 13},
	} {
		s := newGrantorFixture(Limits{ColdSlots: 8, MaxSlots: 8}, c.halvings, 8)
		s.demand("e1", Demand{InUse: 5, Held: 5, Wanted: 5, Carried: 5, Fencing: 1})
		require.Equal(t, 13, s.g.CountedRequests("ep", s.now), c.name)
		if c.reported > 0 {
			s.applyLoad(time.Second, "b1", c.reported, false)
		}
		d := Demand{InUse: 5, Held: 5, Wanted: 5, Carried: 5, Fencing: c.fencing}
		s.demand("e1", d)
		require.Equal(t, c.counted, s.g.CountedRequests("ep", s.now), c.name)
		s.demand("e1", d)
		s.demand("e1", d)
		require.Equal(t, c.countedLater, s.g.CountedRequests("ep", s.now), c.name)
	}
}

// TestRampUp guards against too much load on a cold endpoint, and against an endpoint whose
// limit never rises.
func TestRampUp(t *testing.T) {
	s := newGrantorFixture(testLimits, 0, 0)
	// The first-token time is in milliseconds.
	answers := func(healthy, failed int, firstTokenTime time.Duration) func() {
		return func() {
			s.demand("e1", Demand{Healthy: healthy, Failed: failed, FirstTokenTime: firstTokenTime * time.Millisecond})
		}
	}
	load := func(after time.Duration, boot string, cold bool) func() {
		return func() { s.applyLoad(after, boot, 0, cold) }
	}
	for _, c := range []struct {
		name  string
		event func()
		limit int
	}{
		{"start", func() {}, 2},
		{"too few answers", answers(3, 0, 300), 2},
		{"enough answers", answers(1, 0, 300), 4},
		{"a failure starts the count again", answers(3, 1, 300), 4},
		{"three more healthy answers", answers(3, 0, 300), 4},
		{"one step for each demand", answers(20, 0, 300), 8},
		{"warm", answers(20, 0, 300), 8},
		{"three times the typical time", answers(1, 0, 900), 8},
		{"typical", answers(1, 0, 300), 8},
		{"typical again", answers(1, 0, 300), 8},
		{"several times the typical time", answers(1, 0, 3000), 2},
		{"answers from before the reset", answers(20, 0, 300), 2},
		{"answers from after the reset", answers(20, 0, 300), 4},
		{"same boot", load(time.Second, "b1", false), 4},
		{"restart", load(time.Second, "b2", false), 2},
		{"old report of the former boot", load(-time.Second, "b1", false), 2},
		{"answers of the former boot", answers(20, 0, 300), 2},
		{"warm again", answers(20, 0, 300), 4},
		{"answers at a lower limit do not count towards the next step", answers(1, 0, 300), 4},
		{"cold without a restart", load(5*time.Second, "b2", true), 2},
	} {
		resets := s.g.endpoints["ep"].ramp.resetCount
		c.event()
		require.Equal(t, c.limit, s.g.Limit("ep"), c.name)
		if c.name == "old report of the former boot" {
			require.Equal(t, resets, s.g.endpoints["ep"].ramp.resetCount, c.name)
		}
	}
}

// TestSlowFirstTokens guards against an endpoint that turned cold without reporting it and
// whose limit rises again because of answers that were slow themselves or that belong to
// earlier requests. It also guards against an endpoint that counts as cold forever because
// its typical first-token time has changed.
func TestSlowFirstTokens(t *testing.T) {
	s := newGrantorFixture(testLimits, 0, 0)
	// The first-token time is in milliseconds.
	answers := func(healthy int, firstTokenTime time.Duration) func() {
		return func() {
			s.demand("e1", Demand{InUse: 4, Held: 4, Wanted: 4, Healthy: healthy, FirstTokenTime: firstTokenTime * time.Millisecond})
		}
	}
	repeat := func(n int, f func()) func() {
		return func() {
			for range n {
				f()
			}
		}
	}
	for _, c := range []struct {
		name  string
		event func()
		limit int
	}{
		{"warm", repeat(10, answers(4, 300)), 8},
		{"slow", answers(0, 3000), 2},
		{"slow repeatedly", repeat(20, answers(4, 3000)), 2},
		{"answers with slow first tokens", repeat(5, answers(4, 0)), 2},
		{"a typical first token and answers of the requests that ran before", answers(4, 300), 2},
		{"too few answers since that first token", answers(3, 300), 2},
		{"enough answers", answers(1, 300), 4},
		{"slow for a minute", func() { answers(0, 3000)(); s.now = s.now.Add(time.Minute) }, 2},
		{"the first report after the reset", answers(0, 3000), 2},
		{"the slow time becomes the typical one", repeat(3, answers(4, 3000)), 8},
	} {
		c.event()
		require.Equal(t, c.limit, s.g.Limit("ep"), c.name)
	}
}

// TestSingleSlowFirstToken guards against an endpoint that counts as cold after a single
// slow first token, or because it is fast and the process was not scheduled for a moment.
func TestSingleSlowFirstToken(t *testing.T) {
	for _, tt := range []struct {
		name string
		// typicalTime and firstTokenTimes are in milliseconds.
		typicalTime     time.Duration
		firstTokenTimes []time.Duration
		limit           int
	}{
		{"one slow", 300, []time.Duration{3000, 300, 300}, 8},
		{"every second one slow", 300, []time.Duration{3000, 300, 3000, 300, 3000}, 8},
		{"two slow", 300, []time.Duration{3000, 3000}, 2},
		{"quick endpoint, two pauses of the process", 10, []time.Duration{150, 150}, 8},
		{"quick endpoint that turned cold", 10, []time.Duration{250, 250}, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, h := newGrantorFixture(testLimits, 0, 0), NewHolder(DefaultConfig())
			report := func(firstTokenTime time.Duration) {
				h.RecordFirstTokenTime("ep", firstTokenTime*time.Millisecond)
				s.demand("e1", Demand{InUse: 4, Held: 4, Wanted: 4, Healthy: 4, FirstTokenTime: h.BuildDemand("ep", 0, s.now).FirstTokenTime})
			}
			h.BuildDemand("ep", 0, s.now)
			for range 12 {
				report(tt.typicalTime)
			}
			require.Equal(t, 8, s.g.Limit("ep"))
			for _, firstTokenTime := range tt.firstTokenTimes {
				report(firstTokenTime)
			}
			require.Equal(t, tt.limit, s.g.Limit("ep"))
		})
	}
}

// TestFirstTokenReportedBeforeRequestEnds guards against a first-token time that reaches the
// grantor only after the request has ended.
func TestFirstTokenReportedBeforeRequestEnds(t *testing.T) {
	h, now := NewHolder(DefaultConfig()), time.Unix(1000, 0)
	d := h.BuildDemand("ep", 1, now)
	require.True(t, h.ApplyGrant(Grant{Endpoint: "ep", Sequence: d.Sequence, Slots: 1, Lifetime: time.Second, Fencing: 1}, now))
	_, ok := h.Acquire("ep", now)
	require.True(t, ok)
	h.RecordFirstTokenTime("ep", 700*time.Millisecond)
	require.Equal(t, 700*time.Millisecond, h.BuildDemand("ep", 0, now).FirstTokenTime)
	require.Zero(t, h.BuildDemand("ep", 0, now).FirstTokenTime, "a first-token time is reported once")
}

// TestHolder guards against slots that are used after their expiry or kept while idle, and
// against requests reported as carried after they have ended.
func TestHolder(t *testing.T) {
	h, now := NewHolder(DefaultConfig()), time.Unix(1000, 0)
	grant := func(slots int, fencing uint64) bool {
		d := h.BuildDemand("ep", 3, now)
		return h.ApplyGrant(Grant{Endpoint: "ep", Sequence: d.Sequence, Slots: slots, Lifetime: 3 * time.Second, Fencing: fencing}, now)
	}
	require.True(t, grant(3, 5))
	a, _ := h.Acquire("ep", now)
	_, ok := h.Acquire("ep", now)
	require.True(t, ok)
	require.False(t, grant(3, 4), "a former grantor's grant")
	require.True(t, grant(3, 6))
	require.Equal(t, 2, h.BuildDemand("ep", 0, now).Carried)
	h.RecordFirstTokenTime(a.Endpoint, time.Second)
	h.Release(a, Outcome{Healthy: true}, now)
	require.Equal(t, 1, h.BuildDemand("ep", 0, now).Carried)
	require.True(t, grant(3, 6))
	require.Equal(t, 2, h.Available("ep", now))

	now = now.Add(1100 * time.Millisecond)
	require.Equal(t, []string{"ep"}, h.EndpointsDue(now), "an idle slot is to be returned after a second")
	require.Equal(t, 2, h.BuildDemand("ep", 0, now).Held)
	h.DropIdleSlots("ep")
	require.Zero(t, h.Available("ep", now))
	require.True(t, grant(3, 6))
	now = now.Add(3 * time.Second)
	require.Zero(t, h.Available("ep", now))
	require.Equal(t, 1, h.InUse("ep"), "a running request keeps its slot past the expiry")
}
