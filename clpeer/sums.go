// This file defines the summing of evidence for the processes of a data centre.

package clpeer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/clrollout"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/go-faster/errors"
	"github.com/samber/lo"
	"github.com/twitchtv/twirp"
	"go.uber.org/zap"
)

const (
	// EvidenceInterval is the time between two reports of an entry, and between
	// two sums of a data centre. The sum of all is evaluated every 5 s.
	EvidenceInterval = time.Second
	// EvidenceGather is how long a sum waits for the batches of other entries. All
	// get their answers together and pause for the rest of the interval, so the
	// next batches arrive together as well.
	EvidenceGather = 200 * time.Millisecond

	// maxSumRounds bounds how often a sum is made anew without batches that had
	// been counted. A further round is needed only if some of them come to be
	// counted by another way in the meantime.
	maxSumRounds = 4
)

type (
	// EvidenceSums adds up what the processes of a data centre report and passes
	// one sum at a time on to the process that evaluates the rollout. A caller
	// gets its answer when its batch has been counted there, so that nothing
	// depends on this process's survival: the caller repeats its batch elsewhere.
	// Exported fields are set before Init.
	EvidenceSums struct {
		Self string
		// Holder returns the address of the process that evaluates.
		Holder func() netip.AddrPort
		// Peer returns a process to pass sums on to.
		Peer func(netip.AddrPort) Evidence
		Log  *zap.Logger

		mu      sync.Mutex
		core    clrollout.Aggregator
		waiting map[clrollout.Part][]chan error
		kick    chan struct{}
	}
)

var (
	_ Evidence = (*EvidenceSums)(nil)

	errNoHolder = errors.New("the holder of the control lease is not known yet; the batch is repeated")
)

// Init prepares the sums; it is called once, before Run and all other methods.
func (s *EvidenceSums) Init() {
	s.core = clrollout.Aggregator{Gather: EvidenceGather, Interval: EvidenceInterval}
	s.waiting = make(map[clrollout.Part][]chan error)
	s.kick = make(chan struct{}, 1)
}

// ReportEvidence implements Evidence. It returns when the batch has been
// counted, or an error if that is not known.
func (s *EvidenceSums) ReportEvidence(ctx context.Context, r *clwire.ReportEvidenceRequest) (*clwire.ReportEvidenceResponse, error) {
	if r.GetSequence() == 0 || len(r.GetReporters()) > 0 {
		return nil, twirp.InvalidArgumentError("reporters", "an entry takes single batches; send sums to the holder of the control lease")
	}
	b := clrollout.Batch{
		Part:     clrollout.Part{From: clrollout.ReporterKey(r.GetFrom()), Sequence: r.GetSequence()},
		Evidence: EvidenceFromWire(r.GetEvidence()),
	}
	answer := make(chan error, 1)
	s.mu.Lock()
	s.core.Add(time.Now(), b)
	s.waiting[b.Part] = append(s.waiting[b.Part], answer)
	s.mu.Unlock()
	select {
	case s.kick <- struct{}{}:
	default:
	}
	select {
	case <-ctx.Done():
		s.forget(b.Part, answer)
		return nil, twirp.NewError(twirp.Canceled, "the caller left before its batch was counted")
	case err := <-answer:
		if err != nil {
			return nil, twirp.NewError(twirp.Unavailable, err.Error())
		}
		return &clwire.ReportEvidenceResponse{}, nil
	}
}

// Run passes sums on as they become due, until ctx ends.
func (s *EvidenceSums) Run(ctx context.Context) error {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.kick:
		case <-t.C:
		}
		s.mu.Lock()
		due, ok := s.core.Due()
		s.mu.Unlock()
		switch {
		case !ok:
		case time.Now().Before(due):
			t.Reset(time.Until(due))
		default:
			s.passOn(ctx)
		}
	}
}

// passOn sends the sum of the batches at hand and answers their callers.
func (s *EvidenceSums) passOn(ctx context.Context) {
	s.mu.Lock()
	sum := s.core.Take(time.Now())
	s.mu.Unlock()
	err := errors.New("others keep counting batches of this sum; the rest is repeated")
	for range maxSumRounds {
		parts := sum.Parts()
		if len(parts) == 0 {
			return
		}
		holder := s.Holder()
		if !holder.IsValid() {
			err = errNoHolder
			break
		}
		var resp *clwire.ReportEvidenceResponse
		resp, err = s.Peer(holder).ReportEvidence(ctx, &clwire.ReportEvidenceRequest{
			From: s.Self, Evidence: EvidenceToWire(sum.Evidence()), Reporters: reporters(parts),
			Sequences: lo.Map(parts, func(p clrollout.Part, _ int) uint64 { return p.Sequence }),
		})
		if err != nil {
			s.Log.Debug("Sum of evidence cannot be sent. Its batches are repeated.", zap.Error(err))
			break
		}
		if len(resp.GetCounted()) == 0 {
			s.answer(parts, nil)
			return
		}
		s.answer(sum.Drop(resp.GetCounted()), nil)
	}
	s.answer(sum.Parts(), err)
}

// forget removes a caller that no longer waits.
func (s *EvidenceSums) forget(p clrollout.Part, answer chan error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting[p] = lo.Without(s.waiting[p], answer); len(s.waiting[p]) == 0 {
		delete(s.waiting, p)
	}
}

func reporters(parts []clrollout.Part) []uint64 {
	return lo.Map(parts, func(p clrollout.Part, _ int) uint64 { return p.From })
}

// answer tells the callers of batches what became of them.
func (s *EvidenceSums) answer(parts []clrollout.Part, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range parts {
		for _, c := range s.waiting[p] {
			c <- err
		}
		delete(s.waiting, p)
	}
}
