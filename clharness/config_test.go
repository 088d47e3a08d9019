// This file tests that an accepted configuration is in force everywhere in
// time and never reverts (P10).

package clharness_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clharness"
	"github.com/chestnutlead/chestnutlead/clstandin"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"
)

const (
	// inForceWithin is the bound of P10.
	inForceWithin = 9 * time.Second
	revisionEvery = 20 * time.Millisecond
)

// revisions polls the revisions that processes report and fails the test if
// one of them ever reports a lower revision than before.
type revisions struct {
	t    *testing.T
	stop chan struct{}
	wg   sync.WaitGroup
	mu   sync.Mutex
	last map[string]uint64
}

func watchRevisions(t *testing.T, f *clharness.Fleet) *revisions {
	r := &revisions{t: t, stop: make(chan struct{}), last: make(map[string]uint64)}
	for i, p := range f.Pairs {
		r.watch(fmt.Sprintf("entry-%d", i), p.EntryPeer())
		r.watch(fmt.Sprintf("control-%d", i), p.ControlPeer())
	}
	t.Cleanup(func() {
		close(r.stop)
		r.wg.Wait()
	})
	return r
}

func (r *revisions) watch(name string, peer clwire.Peer) {
	r.wg.Go(func() {
		for {
			select {
			case <-r.stop:
				return
			case <-time.After(revisionEvery):
			}
			if rev, err := revisionOf(peer); err == nil {
				r.note(name, rev)
			}
		}
	})
}

func (r *revisions) note(name string, rev uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rev < r.last[name] {
		r.t.Errorf("P10: %s reports revision %d after %d", name, rev, r.last[name])
	}
	r.last[name] = rev
}

// restarted forgets what a process reported before it was started again.
func (r *revisions) restarted(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.last, name)
}

func revisionOf(peer clwire.Peer) (uint64, error) {
	resp, err := peer.FetchConfig(context.Background(), &clwire.FetchConfigRequest{AboveRevision: math.MaxUint64})
	return resp.GetRevision(), err
}

// awaitRevision requires that the processes report the revision in time.
func awaitRevision(t *testing.T, want uint64, peers ...clwire.Peer) {
	t.Helper()
	started := time.Now()
	for i, p := range peers {
		eventually(t, inForceWithin-time.Since(started), fmt.Sprintf("P10: process %d has revision %d", i, want), func() bool {
			rev, err := revisionOf(p)
			return err == nil && rev >= want
		})
	}
	t.Logf("revision %d in force in %d processes after %s", want, len(peers), time.Since(started).Round(time.Millisecond))
}

func allPeers(pairs ...*clharness.Pair) []clwire.Peer {
	var peers []clwire.Peer
	for _, p := range pairs {
		peers = append(peers, p.EntryPeer(), p.ControlPeer())
	}
	return peers
}

// weightChange changes the weight of one account.
func weightChange(f *clharness.Fleet, weight uint32, ifRevision uint64) *clwire.ApplyRequest {
	a := f.Profile.Config().GetAccounts()[0]
	a.Weight = weight
	return &clwire.ApplyRequest{Accounts: []*clstate.Account{a}, IfRevision: ifRevision}
}

func applyWeight(t *testing.T, f *clharness.Fleet, p *clharness.Pair, weight uint32) uint64 {
	t.Helper()
	resp, err := p.Operator().Apply(context.Background(), weightChange(f, weight, 0))
	require.NoError(t, err)
	return resp.GetRevision()
}

// TestConfigAcceptedBeforeOutage guards against an accepted change that is lost
// or late when the platform and the process that accepted it fail right after,
// and against an entry that starts during the outage without it.
func TestConfigAcceptedBeforeOutage(t *testing.T) {
	t.Parallel()
	f := start(t, smallProfile(0, 3))
	r := watchRevisions(t, f)
	starting := f.Pairs[2]
	starting.Entry.Kill()
	// By section 3.6 nobody takes slot leases over during a full outage, so that
	// the endpoints of an entry that died just before it get no requests.
	eventually(t, healWithin, "takeover of the slot leases of "+starting.Entry.Name, func() bool {
		resp, err := f.Pairs[1].Operator().GetStatus(context.Background(), &clwire.GetStatusRequest{})
		return err == nil && len(resp.GetLeases()) > 0 && !slices.ContainsFunc(resp.GetLeases(), func(l *clwire.LeaseStatus) bool {
			return strings.HasPrefix(l.GetLease().GetHolder(), starting.Entry.Name+"-")
		})
	})
	want := applyWeight(t, f, f.Pairs[1], 7)
	require.NoError(t, f.Platform.SetFaults(clstandin.Faults{Outage: clstandin.OutageUnavailable}))
	f.Pairs[1].Control.Kill()
	awaitRevision(t, want, f.Pairs[0].EntryPeer(), f.Pairs[0].ControlPeer(), f.Pairs[1].EntryPeer(), starting.ControlPeer())

	_, err := f.Pairs[0].Operator().Apply(context.Background(), weightChange(f, 8, 0))
	require.Error(t, err, "nothing is accepted while the platform is down")

	r.restarted("entry-2")
	require.NoError(t, f.StartEntry(starting))
	require.NoError(t, f.WaitReady(starting))
	require.GreaterOrEqual(t, readyRevision(t, starting.Entry), want, "an entry is ready only with the highest revision of its peers")
	requireServes(t, f, starting)

	require.NoError(t, f.Platform.SetFaults(clstandin.Faults{}))
	next := uint64(0)
	eventually(t, healWithin, "acceptance after the outage", func() bool {
		resp, err := f.Pairs[0].Operator().Apply(context.Background(), weightChange(f, 9, want))
		next = resp.GetRevision()
		return err == nil
	})
	require.Equal(t, want+1, next)
	awaitRevision(t, next, f.Pairs[0].EntryPeer(), f.Pairs[0].ControlPeer(), f.Pairs[1].EntryPeer(), starting.EntryPeer())
}

// requireServes requires that a repeatable call through the entry gets its answer.
func requireServes(t *testing.T, f *clharness.Fleet, p *clharness.Pair) {
	t.Helper()
	var last string
	eventually(t, healWithin, "an answer through "+p.Entry.Name, func() bool {
		req, err := http.NewRequest(http.MethodGet, p.URL()+"/services/"+f.Profile.PlainService+"/stock", nil)
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+clharness.KeyOf(f.Profile.Accounts[0]))
		resp, err := (&http.Client{Timeout: bookingTimeout}).Do(req)
		if err != nil {
			last = err.Error()
			return false
		}
		_ = resp.Body.Close() // Only the status matters.
		last = resp.Status
		return resp.StatusCode == http.StatusOK
	})
	t.Logf("%s: %s", p.Entry.Name, last)
}

// readyRevision returns the revision that an entry had when it became ready,
// from its log: a question afterwards could get a later one.
func readyRevision(t *testing.T, p *clharness.Process) uint64 {
	t.Helper()
	// The log is written a little later than what it tells, and it also holds the lines of
	// former starts.
	require.Eventually(t, func() bool { return p.Logged("entry: Entry is ready.") }, 5*time.Second, time.Millisecond, "%s has not logged that it is ready since its start", p.Name)
	log, err := os.ReadFile(p.LogPath)
	require.NoError(t, err)
	var revision uint64
	for line := range strings.Lines(string(log)) {
		var l struct {
			Message  string `json:"message"`
			Revision uint64 `json:"revision"`
		}
		if json.Unmarshal([]byte(line), &l) == nil && l.Message == "entry: Entry is ready." {
			revision = l.Revision
		}
	}
	require.NotZero(t, revision, "%s has logged that it is ready", p.Name)
	return revision
}

// TestConfigOfStartingEntryWithLaggingPeer guards against an entry that becomes
// ready with the revision of a peer that was paused while a change was accepted.
func TestConfigOfStartingEntryWithLaggingPeer(t *testing.T) {
	t.Parallel()
	f := start(t, smallProfile(0, 3))
	r := watchRevisions(t, f)
	lagging, starting := f.Pairs[0], f.Pairs[2]
	for weight := uint32(7); weight < 10; weight++ {
		starting.Entry.Kill()
		lagging.Entry.Pause()
		lagging.Control.Pause()
		want := applyWeight(t, f, f.Pairs[1], weight)
		// The list of instances stays readable, so that nothing but the
		// configuration delays readiness.
		require.NoError(t, f.Platform.SetFaults(clstandin.Faults{
			Routes: []clstandin.RouteFault{{Prefix: "/objects", FailStatus: http.StatusServiceUnavailable}},
		}))
		r.restarted("entry-2")
		require.NoError(t, f.StartEntry(starting))
		lagging.Entry.Continue()
		lagging.Control.Continue()
		require.NoError(t, f.WaitReady(starting))
		require.GreaterOrEqual(t, readyRevision(t, starting.Entry), want, "an entry is ready only with the highest revision of its peers")
		awaitRevision(t, want, allPeers(f.Pairs...)...)
		require.NoError(t, f.Platform.SetFaults(clstandin.Faults{}))
	}
}

// TestConfigRace guards against two operators who both believe that their
// change of the same revision was accepted.
func TestConfigRace(t *testing.T) {
	t.Parallel()
	f := start(t, smallProfile(0, 1))
	watchRevisions(t, f)
	current, err := revisionOf(f.Pairs[0].ControlPeer())
	require.NoError(t, err)
	for round := range uint32(10) {
		var wg sync.WaitGroup
		errs := make([]error, len(f.Pairs))
		for i, p := range f.Pairs {
			wg.Go(func() {
				_, errs[i] = p.Operator().Apply(context.Background(), weightChange(f, 100+10*round+uint32(i), current))
			})
		}
		wg.Wait()
		accepted := 0
		for _, err := range errs {
			if err == nil {
				accepted++
				continue
			}
			var te twirp.Error
			require.ErrorAs(t, err, &te)
			require.Equal(t, twirp.Aborted, te.Code(), "the operator who comes second gets a conflict: %v", err)
		}
		require.Equal(t, 1, accepted, "exactly one change of a revision is accepted")
		current++
		awaitRevision(t, current, allPeers(f.Pairs...)...)
	}
}

// TestConfigWithLostAnswer guards against a change that took effect and is
// reported as failed, or is made twice, because the platform's answer was lost.
func TestConfigWithLostAnswer(t *testing.T) {
	t.Parallel()
	f := start(t, smallProfile(0, 1))
	watchRevisions(t, f)
	current, err := revisionOf(f.Pairs[0].ControlPeer())
	require.NoError(t, err)
	require.NoError(t, f.Platform.SetFaults(clstandin.Faults{LoseAnswerRate: 1}))
	for weight := uint32(7); weight < 12; weight++ {
		resp, err := f.Pairs[0].Operator().Apply(context.Background(), weightChange(f, weight, current))
		require.NoError(t, err, "the change took effect")
		require.Equal(t, current+1, resp.GetRevision())
		current++
	}
	require.NoError(t, f.Platform.SetFaults(clstandin.Faults{}))
	awaitRevision(t, current, allPeers(f.Pairs...)...)
	got, err := f.Pairs[1].Operator().GetConfig(context.Background(), &clwire.GetConfigRequest{})
	require.NoError(t, err)
	require.Equal(t, current, got.GetConfig().GetRevision())
}
