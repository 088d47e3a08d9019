// This file tests how the holder of the control lease takes evidence.

package clcontrol

import (
	"context"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clrollout"
	"github.com/chestnutlead/chestnutlead/clstate"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/stretchr/testify/require"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/types/known/timestamppb"
)

// evidenceOf returns a batch with old and new requests; the new ones fail.
func evidenceOf(n uint32) []*clwire.RouteEvidence {
	minute := planNow.Unix() / 60 * 60
	return []*clwire.RouteEvidence{
		{Service: "brew", Version: "v1", Route: "r", MinuteUnix: minute, Succeeded: n},
		{Service: "brew", Version: "v2", Route: "r", MinuteUnix: minute, Failed: n},
	}
}

func newTestRollouts(onBad func()) *rollouts {
	r := newRollouts(planPace, onBad)
	now := time.Now()
	mv := &clstate.Move{Service: "brew", FromVersion: "v1", ToVersion: "v2", SharePermille: 50, Deadline: timestamppb.New(now.Add(time.Hour))}
	r.get("p", mv, now, now)
	return r
}

// TestReportEvidence guards against evidence that is acknowledged by a process
// that does not evaluate it, that is counted twice because a batch comes alone
// and in a sum, and against a bad version that waits for the next round.
func TestReportEvidence(t *testing.T) {
	woken := 0
	r := newTestRollouts(func() { woken++ })
	report := func(req *clwire.ReportEvidenceRequest) ([]uint64, error) {
		resp, err := r.ReportEvidence(context.Background(), req)
		return resp.GetCounted(), err
	}
	keyA, keyB := clrollout.ReporterKey("a"), clrollout.ReporterKey("b")
	single := &clwire.ReportEvidenceRequest{From: "a", Sequence: 1, Evidence: evidenceOf(1)}
	sum := &clwire.ReportEvidenceRequest{From: "x", Reporters: []uint64{keyA, keyB}, Sequences: []uint64{1, 1}, Evidence: evidenceOf(200)}

	_, err := report(single)
	var te twirp.Error
	require.ErrorAs(t, err, &te)
	require.Equal(t, twirp.Unavailable, te.Code(), "acknowledged before the plans were read")

	r.accept()
	counted, err := report(single)
	require.NoError(t, err)
	require.Empty(t, counted)
	counted, err = report(sum)
	require.NoError(t, err)
	require.Equal(t, []uint64{keyA}, counted)
	require.Zero(t, woken, "the refused sum was counted")

	sum.Reporters, sum.Sequences = []uint64{keyB}, []uint64{1}
	counted, err = report(sum)
	require.NoError(t, err)
	require.Empty(t, counted)
	// The first batch was evaluated at once, the next ones after the period of the evaluation.
	for _, ro := range r.byPlan {
		require.Equal(t, clrollout.Suspend, ro.core.Decide(time.Now().Add(time.Minute)).Action)
	}
	counted, err = report(&clwire.ReportEvidenceRequest{From: "x", Reporters: []uint64{keyB}, Sequences: []uint64{2}, Evidence: evidenceOf(1)})
	require.NoError(t, err)
	require.Empty(t, counted)
	require.Equal(t, 1, woken, "a bad version waits for the next round")

	sum.Sequences = nil
	_, err = report(sum)
	require.ErrorContains(t, err, "as many elements")

	r.clear()
	_, err = report(single)
	require.Error(t, err, "acknowledged after the lease was lost")
}
