// This file tests the summing of evidence when processes and answers fail.

package clpeer

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clrollout"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

var holderAddr = netip.MustParseAddrPort("10.0.0.99:1")

// evaluating is the holder of the control lease with faults.
type evaluating struct {
	mu       sync.Mutex
	received clrollout.Receiver
	// down refuses calls; lost counts them and loses the answers.
	down, lost bool
	calls      int
	counted    uint32
}

// ReportEvidence implements Evidence.
func (h *evaluating) ReportEvidence(_ context.Context, r *clwire.ReportEvidenceRequest) (*clwire.ReportEvidenceResponse, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls++
	if h.down {
		return nil, errors.New("injected: no connection")
	}
	parts, ok := PartsFromWire(r)
	if !ok {
		return nil, errors.New("lists differ in length")
	}
	resp := &clwire.ReportEvidenceResponse{}
	counted := h.received.Receive(parts)
	resp.Counted = reporters(counted)
	for _, x := range r.GetEvidence() {
		if len(counted) == 0 {
			h.counted += x.GetSucceeded() + x.GetFailed()
		}
	}
	if h.lost {
		return nil, errors.New("injected: answer lost")
	}
	return resp, nil
}

func newTestSums(h *evaluating) *EvidenceSums {
	s := &EvidenceSums{
		Self: "entry-x", Holder: func() netip.AddrPort { return holderAddr }, Log: zap.NewNop(),
		Peer: func(netip.AddrPort) Evidence { return h },
	}
	s.Init()
	return s
}

// TestSums guards against a batch that is acknowledged without being counted,
// that is counted twice because it is in two sums, and against callers that get
// no answer.
func TestSums(t *testing.T) {
	// before has the batches that have come to the holder by another way.
	tests := []struct {
		name      string
		before    []string
		holder    *evaluating
		unknown   bool
		succeeded int
		counted   uint32
		calls     int
	}{
		{"all are new", nil, &evaluating{}, false, 3, 3, 1},
		{"two processes sum the same batch", []string{"entry-1"}, &evaluating{}, false, 3, 3, 2},
		{"all have been counted", []string{"entry-0", "entry-1", "entry-2"}, &evaluating{}, false, 3, 3, 1},
		{"holder cannot be reached", nil, &evaluating{down: true}, false, 0, 0, 1},
		{"answer of the holder is lost", nil, &evaluating{lost: true}, false, 0, 3, 1},
		{"no holder is known", nil, &evaluating{}, true, 0, 0, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := tt.holder
			batch := func(from string) *clwire.ReportEvidenceRequest {
				return &clwire.ReportEvidenceRequest{From: from, Sequence: 7, Evidence: []*clwire.RouteEvidence{{Service: "brew", Version: "v2", Succeeded: 1}}}
			}
			for _, from := range tt.before {
				_, err := h.ReportEvidence(context.Background(), batch(from))
				require.NoError(t, err)
			}
			h.calls = 0
			s := newTestSums(h)
			if tt.unknown {
				s.Holder = func() netip.AddrPort { return netip.AddrPort{} }
			}
			errs := make([]error, 3)
			var g sync.WaitGroup
			for i := range errs {
				g.Go(func() { _, errs[i] = s.ReportEvidence(context.Background(), batch(fmt.Sprint("entry-", i))) })
			}
			require.Eventually(t, func() bool {
				s.mu.Lock()
				defer s.mu.Unlock()
				return len(s.waiting) == len(errs)
			}, time.Minute, time.Millisecond)
			s.passOn(context.Background())
			g.Wait()
			succeeded := len(slices.DeleteFunc(errs, func(err error) bool { return err != nil }))
			require.Equal(t, tt.succeeded, succeeded)
			require.Equal(t, tt.counted, h.counted)
			require.Equal(t, tt.calls, h.calls)
			require.Empty(t, s.waiting)
			_, ok := s.core.Due()
			require.False(t, ok, "kept for later, although the callers send it again")
		})
	}
}

// TestSumsForget guards against memory that grows with callers that have left.
func TestSumsForget(t *testing.T) {
	s := newTestSums(&evaluating{})
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := s.ReportEvidence(ctx, &clwire.ReportEvidenceRequest{From: "entry-1", Sequence: 1, Evidence: []*clwire.RouteEvidence{{}}})
	require.Error(t, err)
	require.Empty(t, s.waiting)
	_, err = s.ReportEvidence(context.Background(), &clwire.ReportEvidenceRequest{From: "entry-1", Reporters: []uint64{1}, Sequences: []uint64{1}})
	require.ErrorContains(t, err, "holder", "a sum of sums could go round in circles")
}
