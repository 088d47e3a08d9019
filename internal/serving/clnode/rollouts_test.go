// This file tests the reports of rollouts.

package clnode

import (
	"context"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clobserve"
	"github.com/chestnutlead/chestnutlead/clstore"
	"github.com/chestnutlead/chestnutlead/internal/coordination/clgossip"
	"github.com/chestnutlead/chestnutlead/internal/coordination/clmirror"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// rolloutStore is a store that only takes reports of rollouts.
type rolloutStore struct {
	Store
	// kind is the kind of failure of the next calls.
	kind clstore.Kind
	// era is what Era returns.
	era     uint64
	reports []clcatalog.RolloutOutcome
}

func (s *rolloutStore) Era() uint64 { return s.era }

func (s *rolloutStore) Configuration() clmirror.Source[*clcatalog.Catalog] { return nil }
func (s *rolloutStore) Endpoints() clmirror.Source[clcatalog.Endpoint]     { return nil }
func (s *rolloutStore) Rollouts() clmirror.Source[clcatalog.Rollout]       { return nil }
func (s *rolloutStore) Evacuations() clmirror.Source[clcatalog.Evacuation] { return nil }
func (s *rolloutStore) Gateways() clmirror.Source[clcatalog.Member]        { return nil }
func (s *rolloutStore) CrashBlocks() clmirror.Source[clcatalog.CrashBlock] { return nil }

func (s *rolloutStore) ReportRollout(_ context.Context, r clcatalog.Rollout, outcome clcatalog.RolloutOutcome) error {
	s.reports = append(s.reports, outcome)
	if s.kind != clstore.KindNone {
		return &clstore.Error{Kind: s.kind, Op: "report rollout", Key: r.Service}
	}
	return nil
}

// newRolloutNode returns a node that is not running, and its store.
func newRolloutNode(name string) (*Node, *rolloutStore) {
	s := &rolloutStore{}
	n := &Node{Settings: Settings{Name: name, TrialShare: 0.1}.withDefaults(), Store: s, Logger: zap.NewNop(), Metrics: clobserve.NewMetrics()}
	n.buildComponents()
	return n, s
}

// request applies a request for a rollout, as a complete copy of the store has it.
func request(n *Node, revision uint64, outcome clcatalog.RolloutOutcome) {
	n.applyRollouts([]clmirror.Change[clcatalog.Rollout]{{Name: "s", Value: clcatalog.Rollout{
		Service: "s", Version: "v2", Within: time.Minute, Revision: revision, Outcome: outcome, OutcomeVersion: "v2",
	}}}, true)
}

// report reports what the node has decided, if anything, at the given time.
func report(t *testing.T, n *Node, now time.Time) {
	for _, decision := range n.rolloutController.Decide(now) {
		n.reportRollout(t.Context(), decision, now)
	}
}

// Guards against a report at every step of the control loop while the store refuses it:
// after the store has returned from an older copy it does so until the request has been
// read anew, and calls are charged.
func TestRefusedReportsAreNotRetriedAtEveryStep(t *testing.T) {
	for _, kind := range []clstore.Kind{clstore.KindConflict, clstore.KindUnavailable, clstore.KindUnknown} {
		n, store := newRolloutNode("a")
		store.kind = kind
		request(n, 1, clcatalog.RolloutRunning)
		n.rolloutController.MarkBad("s", "v2")
		now := clclock.Now()
		for range 50 {
			report(t, n, now)
			now = now.Add(controlInterval)
		}
		require.LessOrEqual(t, len(store.reports), 8, "%s: calls in 5 s", kind)
		require.Greater(t, len(store.reports), 4, "%s: calls in 5 s", kind)
		calls := len(store.reports)
		store.kind = clstore.KindNone
		request(n, 2, clcatalog.RolloutRunning)
		for range 20 {
			report(t, n, now)
			now = now.Add(controlInterval)
		}
		require.Equal(t, calls+1, len(store.reports), "%s: one report of the request read anew", kind)
	}
}

// Guards against an outcome that operators have read and that the store has lost: it must
// be reported again, and not as another one, also if the answer to its report was lost.
func TestLostOutcomeIsReportedAgain(t *testing.T) {
	for _, tc := range []struct {
		name string
		kind clstore.Kind
		want clcatalog.RolloutOutcome
	}{
		{"reported", clstore.KindNone, clcatalog.RolloutDone},
		{"perhaps reported", clstore.KindUnknown, clcatalog.RolloutDone},
		{"not reported", clstore.KindConflict, clcatalog.RolloutRolledBack},
	} {
		t.Run(tc.name, func(t *testing.T) {
			n, store := newRolloutNode("a")
			request(n, 1, clcatalog.RolloutRunning)
			now := clclock.Now()
			for range 20 {
				n.AttemptStarted("s", "v2", "r")
				n.AttemptSampled("s", "v2", "r", false, true, time.Millisecond)
			}
			now = now.Add(time.Minute)
			store.kind = tc.kind
			report(t, n, now)
			require.Equal(t, []clcatalog.RolloutOutcome{clcatalog.RolloutDone}, store.reports)
			store.kind = clstore.KindNone
			request(n, 2, clcatalog.RolloutRunning) // as the older copy has it
			n.rolloutController.MarkBad("s", "v2")
			report(t, n, now.Add(time.Second))
			require.Equal(t, []clcatalog.RolloutOutcome{clcatalog.RolloutDone, tc.want}, store.reports)
		})
	}
}

// Guards against a bad version that stays in service because an outcome that could not
// reach the store counts as one that operators have read.
func TestUnreachableStoreDoesNotSettle(t *testing.T) {
	n, store := newRolloutNode("a")
	request(n, 1, clcatalog.RolloutRunning)
	attempts := func(count int, failed bool) {
		for range count {
			n.AttemptStarted("s", "v2", "r")
			n.AttemptSampled("s", "v2", "r", failed, true, time.Millisecond)
		}
	}
	attempts(20, false)
	now := clclock.Now().Add(time.Minute)
	store.kind = clstore.KindUnavailable
	report(t, n, now)
	require.Equal(t, []clcatalog.RolloutOutcome{clcatalog.RolloutDone}, store.reports)
	attempts(200, true)
	decision := n.rolloutController.Decide(now.Add(5 * time.Second))[0]
	require.Equal(t, clcatalog.RolloutRolledBack, decision.Outcome)
	require.Zero(t, decision.Split.Share)
}

// Guards against a completed rollout that a gateway starts again which has just started
// and knows the store's older copy only.
func TestNewGatewayHearsOfCompletedRollout(t *testing.T) {
	first, _ := newRolloutNode("a")
	request(first, 1, clcatalog.RolloutDone)
	second, store := newRolloutNode("b")
	second.beginEra(1)
	request(second, 2, "")
	report(t, second, clclock.Now())
	require.Empty(t, store.reports, "others have not been heard")
	d := &clgossip.Digest{Name: "a", Boot: 1, Sequence: 1}
	first.fillDigest(d)
	second.applyDigest(d)
	report(t, second, clclock.Now())
	require.Equal(t, []clcatalog.RolloutOutcome{clcatalog.RolloutDone}, store.reports)

	third, store := newRolloutNode("c")
	request(third, 2, "")
	report(t, third, clclock.Now().Add(time.Second))
	require.Equal(t, []clcatalog.RolloutOutcome{clcatalog.RolloutRunning}, store.reports, "nobody knows of an outcome")
}

// Guards against a rollout that is ordered again and counts as completed, without a trial,
// because a gateway that is cut off from the store still tells of the earlier one.
func TestRolloutOrderedAgainIsTried(t *testing.T) {
	lagging, _ := newRolloutNode("a")
	request(lagging, 1, clcatalog.RolloutDone)
	n, store := newRolloutNode("b")
	request(n, 1, clcatalog.RolloutDone)
	for i, version := range []string{"v1", "v2"} {
		n.applyRollouts([]clmirror.Change[clcatalog.Rollout]{{Name: "s", Value: clcatalog.Rollout{
			Service: "s", Version: version, Within: time.Minute, Revision: uint64(5 + i),
		}}}, false)
	}
	d := &clgossip.Digest{Name: "a", Boot: 1, Sequence: 1}
	lagging.fillDigest(d)
	require.Len(t, d.GetCompletions(), 1)
	n.applyDigest(d)
	now := clclock.Now().Add(2 * time.Second)
	decision := n.rolloutController.Decide(now)[0]
	report(t, n, now)
	require.Equal(t, []clcatalog.RolloutOutcome{clcatalog.RolloutRunning}, store.reports, "no request has tried the version")
	require.Less(t, decision.Split.Share, 1.0)
}

// Guards against a completed rollout that a gateway starts again which has started after
// the store's return: it cannot see that the copy is older.
func TestGatewayStartedAfterReturnHearsOfCompletedRollout(t *testing.T) {
	for _, tc := range []struct {
		name string
		era  uint64
		want clcatalog.RolloutOutcome
	}{
		{"store has returned", 1, clcatalog.RolloutDone},
		{"store has never returned", 0, clcatalog.RolloutRunning},
	} {
		t.Run(tc.name, func(t *testing.T) {
			first, _ := newRolloutNode("a")
			request(first, 1, clcatalog.RolloutDone)
			second, store := newRolloutNode("b")
			store.era = tc.era
			request(second, 2, "")
			d := &clgossip.Digest{Name: "a", Boot: 1, Sequence: 1}
			first.fillDigest(d)
			second.applyDigest(d)
			report(t, second, clclock.Now().Add(time.Second))
			require.Equal(t, []clcatalog.RolloutOutcome{tc.want}, store.reports)
		})
	}
}
