// This file tests how evidence is evaluated and reported when other processes fail.

package clentry

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clmember"
	"github.com/chestnutlead/chestnutlead/clpeer"
	"github.com/chestnutlead/chestnutlead/clrollout"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/go-faster/errors"
	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"google.golang.org/protobuf/types/known/timestamppb"
)

// counting is a process that takes evidence, or one that is dead.
type counting struct {
	dead    bool
	counted uint32
}

// ReportEvidence implements clpeer.Evidence.
func (c *counting) ReportEvidence(_ context.Context, r *clwire.ReportEvidenceRequest) (*clwire.ReportEvidenceResponse, error) {
	if c.dead {
		return nil, errors.New("injected: no connection")
	}
	for _, x := range r.GetEvidence() {
		c.counted += x.GetSucceeded() + x.GetFailed()
	}
	return &clwire.ReportEvidenceResponse{}, nil
}

// silent is a paused process: calls to it end at their timeout.
type silent struct{}

// ReportEvidence implements clpeer.Evidence.
func (silent) ReportEvidence(context.Context, *clwire.ReportEvidenceRequest) (*clwire.ReportEvidenceResponse, error) {
	return nil, context.DeadlineExceeded
}

var (
	holderAddr = netip.MustParseAddrPort("10.0.0.99:1")
	evidenceAt = time.Unix(1_800_000_000, 0)
)

func newTestEvidence(rank []clmember.Member, peers map[netip.AddrPort]clpeer.Evidence) *evidence {
	v := &views{}
	v.Apply(&clstate.ConfigSnapshot{Revision: 1, Moves: []*clstate.Move{{
		Service: "brew", FromVersion: "v1", ToVersion: "v2", PlanId: "p", SharePermille: 50, Deadline: timestamppb.New(evidenceAt.Add(time.Hour)),
	}}})
	e := &evidence{
		self: clmember.Member{ID: "entry-self"}, views: v, timeout: time.Second, log: zap.NewNop(),
		rank: func() []clmember.Member { return rank }, peer: func(a netip.AddrPort, _ bool) clpeer.Evidence { return peers[a] },
		onSuspend: func(queueKey) {}, addFact: func(clmember.Fact) {},
	}
	e.init()
	e.applyView(v.load())
	e.learnControl(clmember.Fact{Detail: fmt.Sprintf("%s 1", holderAddr)})
	return e
}

func members(n int) []clmember.Member {
	var ms []clmember.Member
	for i := range n {
		ms = append(ms, clmember.Member{ID: fmt.Sprint("entry-", i), Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)})
	}
	return ms
}

// outcomes adds requests of both versions; those of the new one fail.
func (e *evidence) outcomes(now time.Time, n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for range n {
		e.observe(now, clrollout.Outcome{Service: "brew", Version: "v1", Route: "r", Latency: 100 * time.Millisecond})
		e.observe(now, clrollout.Outcome{Service: "brew", Version: "v2", Route: "r", Failed: true})
	}
}

// TestOwnEvidenceWithoutHolder guards against an entry that evaluates only what
// others have acknowledged, and goes on sending requests to a bad version while
// its reports cannot be delivered.
func TestOwnEvidenceWithoutHolder(t *testing.T) {
	rank := members(1)
	e := newTestEvidence(rank, map[netip.AddrPort]clpeer.Evidence{rank[0].Address: silent{}, holderAddr: silent{}})
	suspended := ""
	e.onSuspend = func(k queueKey) { suspended = k.service + "/" + k.version }
	now := evidenceAt
	for range 30 {
		now = now.Add(time.Second)
		e.outcomes(now, 2)
		e.evaluateOwn(now)
		e.report(context.Background(), now)
	}
	require.Equal(t, "brew/v2", suspended)
}

// TestReportGoesElsewhere guards against evidence that stays with an entry
// because the process that sums has died, is paused or cannot reach the holder,
// and against entries that keep asking it, or all report to the holder for
// longer than needed.
func TestReportGoesElsewhere(t *testing.T) {
	rank := members(4)
	h := &counting{}
	peers := map[netip.AddrPort]clpeer.Evidence{
		rank[0].Address: silent{}, rank[1].Address: &counting{dead: true}, rank[2].Address: h, rank[3].Address: silent{}, holderAddr: silent{},
	}
	e := newTestEvidence(rank, peers)
	now := evidenceAt
	e.outcomes(now, 5)
	require.Equal(t, retryEvidence, e.report(context.Background(), now), "the first is paused")
	require.Equal(t, retryEvidence, e.report(context.Background(), now), "the second is dead")
	require.Equal(t, clpeer.EvidenceInterval-clpeer.EvidenceGather, e.report(context.Background(), now), "the third takes it")
	require.EqualValues(t, 10, h.counted)
	require.Equal(t, clpeer.EvidenceGather, e.report(context.Background(), now), "nothing is left")

	// All candidates fail: the holder gets the batch, and the fourth is not asked.
	peers[rank[2].Address], peers[holderAddr] = silent{}, h
	e.outcomes(now, 1)
	require.Equal(t, retryEvidence, e.report(context.Background(), now))
	require.Equal(t, clpeer.EvidenceInterval-clpeer.EvidenceGather, e.report(context.Background(), now))
	require.EqualValues(t, 12, h.counted)

	// A new holder: the failures may have been the former holder's.
	peers[rank[0].Address] = &counting{}
	e.learnControl(clmember.Fact{Detail: fmt.Sprintf("%s 2", holderAddr)})
	e.outcomes(now, 1)
	require.Equal(t, clpeer.EvidenceInterval-clpeer.EvidenceGather, e.report(context.Background(), now))
	require.EqualValues(t, 12, h.counted, "it went to the first again")
}

// TestSummersOf guards against a process that sums for a whole large data
// centre, and against sums by more processes than needed.
func TestSummersOf(t *testing.T) {
	tests := []struct{ entries, sums, most int }{{1, 1, 1}, {3, 1, 3}, {16, 1, 16}, {17, 2, 16}, {78, 5, 22}}
	for _, tt := range tests {
		rank, reporters := members(tt.entries), make(map[string]int)
		for _, m := range rank {
			s := summersOf(m.ID, rank)
			require.Len(t, s, min(tt.entries, summingCandidates))
			require.Len(t, lo.UniqBy(s, func(m clmember.Member) string { return m.ID }), len(s), "one process twice")
			reporters[s[0].ID]++
		}
		t.Log(tt.entries, reporters)
		require.Len(t, reporters, tt.sums)
		require.LessOrEqual(t, slices.Max(lo.Values(reporters)), tt.most)
	}
	require.Equal(t, clpeer.EvidenceInterval, reportInterval(reportersPerSum))
	require.Equal(t, 2*clpeer.EvidenceInterval, reportInterval(reportersPerSum+1))
}

// TestChooseSummer guards against a process that sums and is never asked again
// after a failure, and against one that is asked again at once.
func TestChooseSummer(t *testing.T) {
	rank := members(4)
	failedAt := func(ids ...string) map[string]time.Time {
		m := make(map[string]time.Time)
		for _, id := range ids {
			m[id] = evidenceAt
		}
		return m
	}
	tests := []struct {
		name   string
		rank   []clmember.Member
		failed map[string]time.Time
		after  time.Duration
		want   string
	}{
		{"the first", rank, nil, 0, "entry-0"},
		{"the second after a failure", rank, failedAt("entry-0"), failedFor - 1, "entry-1"},
		{"the first again after a while", rank, failedAt("entry-0"), failedFor, "entry-0"},
		{"the holder when all candidates have failed", rank, failedAt("entry-0", "entry-1", "entry-2"), 0, ""},
		{"the holder when no entry is known", nil, nil, 0, ""},
		{"the only one", rank[:1], nil, 0, "entry-0"},
	}
	for _, tt := range tests {
		m, ok := chooseSummer(summersOf("entry-9", tt.rank), tt.failed, evidenceAt.Add(tt.after))
		require.Equal(t, tt.want, m.ID, tt.name)
		require.Equal(t, tt.want != "", ok, tt.name)
	}
}
