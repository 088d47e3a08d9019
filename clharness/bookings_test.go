// This file tests that bookings run at most once and that refusals are true
// while entries and the platform fail (P1, P6, P7).

package clharness_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clharness"
	"github.com/chestnutlead/chestnutlead/clstandin"
	"github.com/google/uuid"
	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
)

const (
	bookingSeed    = 20261204
	bookingTimeout = 25 * time.Second
	bookingKeys    = 24
	bookingDelay   = "300ms"
	notRun         = "not_run"
	runUnknown     = "unknown"
)

type (
	// bookings sends keys through all entries and keeps every reply.
	bookings struct {
		t    *testing.T
		f    *clharness.Fleet
		rng  *rand.Rand
		keys []string
		// past has the runs at endpoints that have ended.
		past map[string]int

		mu sync.Mutex
		// rounds has the replies of each key, by round; a nil reply is a broken connection.
		rounds map[string][][]*clharness.Reply
	}

	bookingAnswer struct {
		Key string `json:"key"`
		Run int    `json:"run"`
	}
)

func newBookings(t *testing.T, f *clharness.Fleet) *bookings {
	t.Logf("seed %d", bookingSeed)
	b := &bookings{t: t, f: f, rng: rand.New(rand.NewPCG(bookingSeed, 1)), rounds: make(map[string][][]*clharness.Reply)}
	b.keys = b.newKeys(bookingKeys)
	return b
}

// newKeys returns keys of which each second carries its time.
func (b *bookings) newKeys(n int) []string {
	return lo.Times(n, func(i int) string {
		if i%2 == 0 {
			return uuid.Must(uuid.NewV7()).String()
		}
		return fmt.Sprintf("opaque-%d-%d", i, b.rng.Uint64())
	})
}

// round sends each key at the same time through each entry, and waits for all replies.
func (b *bookings) round(keys []string) {
	var wg sync.WaitGroup
	for _, key := range keys {
		b.mu.Lock()
		n := len(b.rounds[key])
		b.rounds[key] = append(b.rounds[key], nil)
		b.mu.Unlock()
		for _, p := range b.f.Pairs {
			wg.Go(func() {
				r := b.send(p, key)
				b.mu.Lock()
				defer b.mu.Unlock()
				b.rounds[key][n] = append(b.rounds[key][n], r)
			})
		}
	}
	wg.Wait()
}

func (b *bookings) send(p *clharness.Pair, key string) *clharness.Reply {
	c := &clharness.Caller{URL: p.URL(), Account: b.f.Profile.Accounts[0], Timeout: bookingTimeout}
	r, err := c.Book(context.Background(), b.f.Profile.PlainService, key, `{"shift":"`+key+`"}`)
	if err != nil {
		return nil
	}
	return r
}

// settle sends each key again, one entry after the other, until every entry
// has given a reply that is final: an answer, or an unknown outcome.
func (b *bookings) settle() {
	for _, p := range b.f.Pairs {
		var wg sync.WaitGroup
		for _, key := range b.keys {
			wg.Go(func() { b.settleKey(p, key) })
		}
		wg.Wait()
	}
}

func (b *bookings) settleKey(p *clharness.Pair, key string) {
	deadline := time.Now().Add(healWithin)
	for time.Now().Before(deadline) {
		r := b.send(p, key)
		b.mu.Lock()
		b.rounds[key] = append(b.rounds[key], []*clharness.Reply{r})
		b.mu.Unlock()
		if r != nil && (r.Status == http.StatusOK || r.Status == http.StatusConflict) {
			return
		}
		time.Sleep(pollEvery)
	}
	b.t.Errorf("key %s got no final reply through %s within %s", key, p.Entry.Name, healWithin)
}

// check compares the callers' replies with the service's own count. It returns
// how many keys were accepted and how many ended unknown.
func (b *bookings) check() (accepted, unknown int) {
	runs := b.runs()
	for _, key := range b.keys {
		answered := b.checkAnswers(key, runs[key])
		b.checkRefusals(key, runs[key], answered)
		if !b.f.Profile.Deduplicates && runs[key] > 1 {
			b.t.Errorf("P7: key %s ran %d times", key, runs[key])
		}
		if answered {
			accepted++
		} else {
			unknown++
		}
	}
	b.t.Logf("%d keys: %d accepted, %d not; %d ran", len(b.keys), accepted, unknown, len(runs))
	return accepted, unknown
}

// checkAnswers requires that all answers to a key are the same whole answer of one run.
func (b *bookings) checkAnswers(key string, runs int) bool {
	var first []byte
	for _, r := range lo.Flatten(b.rounds[key]) {
		if r == nil || r.Status != http.StatusOK {
			continue
		}
		var a bookingAnswer
		if err := json.Unmarshal(r.Body, &a); err != nil || a.Key != key {
			b.t.Errorf("P5: key %s got an answer that is not its own: %s", key, r.Body)
		}
		if first == nil {
			first = r.Body
		}
		if string(first) != string(r.Body) {
			b.t.Errorf("P7: key %s got two answers: %s and %s", key, first, r.Body)
		}
	}
	if first != nil && runs != 1 {
		b.t.Errorf("P1: key %s was accepted and ran %d times", key, runs)
	}
	return first != nil
}

// checkRefusals requires that the replies of a key's last round do not say
// "not run" if the key ran: nothing was sent after them.
func (b *bookings) checkRefusals(key string, runs int, answered bool) {
	rounds := b.rounds[key]
	last := rounds[len(rounds)-1]
	if !answered && runs > 0 && lo.EveryBy(last, func(r *clharness.Reply) bool { return r != nil && r.Run == notRun }) {
		b.t.Errorf("P6: key %s ran %d times, and its last refusal says not_run: %s", key, runs, last[0].Body)
	}
	if !answered && lo.EveryBy(lo.Flatten(rounds), func(r *clharness.Reply) bool { return r != nil && r.Run == notRun }) && runs > 0 {
		b.t.Errorf("P6: key %s ran %d times, and all refusals say not_run", key, runs)
	}
}

func bookingProfile() clharness.Profile {
	p := smallProfile(0, 2)
	p.PlainArgs = []string{"--delay", bookingDelay}
	return p
}

// TestBookingsSentAtOnce guards against a second run of a key that is sent
// through every entry while its first run is still going on.
func TestBookingsSentAtOnce(t *testing.T) {
	t.Parallel()
	b := newBookings(t, start(t, bookingProfile()))
	b.round(b.keys)
	b.round(b.keys)
	b.settle()
	_, unknown := b.check()
	require.Zero(t, unknown, "nothing failed, so that every booking must be accepted")
}

// TestBookingsWithKilledEntries guards against a second run, and against a
// false "not run", of a key whose entry is killed at any point of its run.
func TestBookingsWithKilledEntries(t *testing.T) {
	t.Parallel()
	f := start(t, bookingProfile())
	b := newBookings(t, f)
	for i, part := range lo.Chunk(b.keys, bookingKeys/4) {
		victim := f.Pairs[i%len(f.Pairs)]
		after := time.Duration(b.rng.Int64N(int64(500 * time.Millisecond)))
		t.Logf("%s is killed after %s", victim.Entry.Name, after)
		var wg sync.WaitGroup
		wg.Go(func() { b.round(part) })
		time.Sleep(after)
		victim.Entry.Kill()
		wg.Wait()
		require.NoError(t, f.StartEntry(victim))
		require.NoError(t, f.WaitReady(victim))
	}
	b.settle()
	b.check()
}

// TestBookingsWithLostAnswers guards against a second claim when the object
// API's answers are lost after the claims took effect.
func TestBookingsWithLostAnswers(t *testing.T) {
	t.Parallel()
	f := start(t, bookingProfile())
	b := newBookings(t, f)
	require.NoError(t, f.Platform.SetFaults(clstandin.Faults{LoseAnswerRate: 0.4, SlowMs: 20}))
	b.round(b.keys)
	b.round(b.keys)
	require.NoError(t, f.Platform.SetFaults(clstandin.Faults{}))
	b.settle()
	b.check()
}

// TestBookingsDuringOutage guards against second runs and false refusals when
// the object API is down, hangs or fails some calls, before and after runs.
func TestBookingsDuringOutage(t *testing.T) {
	t.Parallel()
	f := start(t, bookingProfile())
	b := newBookings(t, f)
	parts := lo.Chunk(b.keys, bookingKeys/4)
	b.round(parts[0])
	for _, faults := range []clstandin.Faults{
		{Outage: clstandin.OutageUnavailable}, {Outage: clstandin.OutageHang}, {RefuseRate: 0.5, LoseAnswerRate: 0.2},
	} {
		require.NoError(t, f.Platform.SetFaults(faults))
		b.round(append(append([]string(nil), parts[0]...), parts[1]...))
		parts = append(parts[:1], parts[2:]...)
	}
	require.NoError(t, f.Platform.SetFaults(clstandin.Faults{}))
	b.settle()
	b.check()
}

// TestBookingsWithPausedEntry guards against a second run when an entry is
// paused beyond its leases with claims of its own, and goes on later.
func TestBookingsWithPausedEntry(t *testing.T) {
	t.Parallel()
	f := start(t, bookingProfile())
	b := newBookings(t, f)
	for i, part := range lo.Chunk(b.keys, bookingKeys/3) {
		victim := f.Pairs[i%len(f.Pairs)]
		after := time.Duration(b.rng.Int64N(int64(400 * time.Millisecond)))
		t.Logf("%s is paused after %s", victim.Entry.Name, after)
		var wg sync.WaitGroup
		wg.Go(func() { b.round(part) })
		time.Sleep(after)
		victim.Entry.Pause()
		time.Sleep(3 * time.Second) // The lease of 2 s has expired then.
		victim.Entry.Continue()
		wg.Wait()
	}
	b.settle()
	b.check()
}

// TestRefusalAfterBrokenRun guards against a "not run" for a call that one
// endpoint ran and broke off, and that could then not be sent to another one.
// Only calls of a service that removes duplicates are sent to a second endpoint.
func TestRefusalAfterBrokenRun(t *testing.T) {
	t.Parallel()
	p := smallProfile(0, 2)
	p.PlainArgs = []string{"--delay", "2s"}
	p.Deduplicates = true
	f := start(t, p)
	b := newBookings(t, f)
	b.keys = b.keys[:1]
	replied := make(chan *clharness.Reply, 1)
	go func() { replied <- b.send(f.Pairs[0], b.keys[0]) }()
	var runner, other *clharness.StandIn
	eventually(t, healWithin, "run of the booking", func() bool {
		for i, e := range f.Endpoints {
			if st, err := e.BookingStats(); err == nil && st.MaxRuns > 0 {
				runner, other = e, f.Endpoints[1-i]
			}
		}
		return runner != nil
	})
	require.NoError(t, other.SetFaults(clstandin.Faults{Outage: clstandin.OutageRefuse}))
	require.NoError(t, runner.Crash())
	r := <-replied
	require.NotNil(t, r)
	require.NoError(t, other.SetFaults(clstandin.Faults{}))
	require.Equal(t, runUnknown, r.Run, "P6: the booking ran: %s", r.Body)
	b.rounds[b.keys[0]] = [][]*clharness.Reply{{r}}
	b.check()
}

// TestRefusalWhenOneEntryLosesThePlatform guards against a "not run" from an
// entry that cannot read the record, for a key that another entry ran: the key
// may be newer than the failure that the one entry sees.
func TestRefusalWhenOneEntryLosesThePlatform(t *testing.T) {
	t.Parallel()
	link := newLink(t)
	p := bookingProfile()
	p.Pairs = 2
	p.Settings = withSettings(p.Settings, map[string]string{
		// With many partitions each entry owns some.
		"booking@entry": "partitions = 64\n",
	})
	f := &clharness.Fleet{Profile: p, ObjectAPI: map[string]string{"entry-0": link.addr()}}
	link.target = func() string { return f.Platform.Addr.String() }
	startFleet(t, f)
	b := newBookings(t, f)
	link.cut()
	// These bookings make the cut-off entry notice the failure; the pause puts
	// the next keys after it by any margin for callers' clocks.
	b.round(b.keys[:4])
	time.Sleep(2 * time.Second)
	b.keys = b.newKeys(bookingKeys)
	for _, p := range []*clharness.Pair{f.Pairs[1], f.Pairs[0]} {
		var wg sync.WaitGroup
		for _, key := range b.keys {
			wg.Go(func() {
				r := b.send(p, key)
				b.mu.Lock()
				defer b.mu.Unlock()
				b.rounds[key] = append(b.rounds[key], []*clharness.Reply{r})
			})
		}
		wg.Wait()
	}
	accepted, _ := b.check()
	require.Positive(t, accepted, "the other entry still reaches the platform")
	b.checkOrder()
}

// checkOrder requires that no key got "not run" after an answer that shows its run.
func (b *bookings) checkOrder() {
	for _, key := range b.keys {
		ran := false
		for _, r := range lo.Flatten(b.rounds[key]) {
			if ran && r != nil && r.Run == notRun {
				b.t.Errorf("P6: key %s ran, and a later refusal says not_run: %s", key, r.Body)
			}
			ran = ran || r != nil && r.Status == http.StatusOK
		}
	}
}
