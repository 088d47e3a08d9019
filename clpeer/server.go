// This file defines the twirp service that a node offers to its peers.

package clpeer

import (
	"context"
	"math"
	"time"

	"github.com/chestnutlead/chestnutlead/clmember"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/twitchtv/twirp"
)

// maxRevision asks FetchConfig for the revision alone.
const maxRevision = math.MaxUint64

type server struct {
	n *Node
}

var _ clwire.Peer = (*server)(nil)

// Exchange answers a probe.
func (s *server) Exchange(_ context.Context, r *clwire.ExchangeRequest) (*clwire.ExchangeResponse, error) {
	e, ok := exchangeFromWire(r)
	if !ok {
		return nil, twirp.InvalidArgumentError("from", "is not a valid member")
	}
	s.n.heard()
	var resp clmember.Exchange
	s.n.do(func(now time.Time) clmember.Output {
		var out clmember.Output
		resp, out = s.n.core.HandleExchange(now, e)
		return out
	})
	return exchangeToResponse(resp), nil
}

// Sync returns the full state.
func (s *server) Sync(_ context.Context, r *clwire.SyncRequest) (*clwire.SyncResponse, error) {
	from, ok := memberFromWire(r.GetFrom())
	if !ok {
		return nil, twirp.InvalidArgumentError("from", "is not a valid member")
	}
	s.n.heard()
	var state clmember.SyncState
	s.n.do(func(now time.Time) clmember.Output {
		var out clmember.Output
		state, out = s.n.core.HandleSync(now, from)
		return out
	})
	return &clwire.SyncResponse{
		Members: membersToWire(state.Members), Facts: factsToWire(state.Facts), ConfigRevision: state.ConfigRevision,
	}, nil
}

// ProbeFor probes a third process for the caller.
func (s *server) ProbeFor(ctx context.Context, r *clwire.ProbeForRequest) (*clwire.ProbeForResponse, error) {
	target, ok := memberFromWire(r.GetTarget())
	if !ok {
		return nil, twirp.InvalidArgumentError("target", "is not a valid member")
	}
	s.n.mu.Lock()
	c := s.n.core.HandleProbeFor(target)
	s.n.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	resp, err := s.n.Transport.Peer(c.To.Address).Exchange(ctx, exchangeToRequest(c.Exchange))
	if err != nil {
		s.n.do(func(now time.Time) clmember.Output { return s.n.core.ExchangeFailed(now, c.To) })
		return &clwire.ProbeForResponse{}, nil
	}
	if e, ok := exchangeFromWire(resp); ok {
		s.n.do(func(now time.Time) clmember.Output { return s.n.core.ExchangeAnswered(now, c.To, e) })
	}
	return &clwire.ProbeForResponse{Reached: true}, nil
}

// PushConfig applies the snapshot if its revision is higher.
func (s *server) PushConfig(_ context.Context, r *clwire.PushConfigRequest) (*clwire.PushConfigResponse, error) {
	if r.GetConfig() == nil {
		return nil, twirp.RequiredArgumentError("config")
	}
	s.n.ApplyConfig(r.GetConfig())
	return &clwire.PushConfigResponse{Revision: s.n.Configs.Current().GetRevision()}, nil
}

// FetchConfig returns the applied snapshot if its revision is above the given one.
func (s *server) FetchConfig(_ context.Context, r *clwire.FetchConfigRequest) (*clwire.FetchConfigResponse, error) {
	cur := s.n.Configs.Current()
	resp := &clwire.FetchConfigResponse{Revision: cur.GetRevision()}
	if cur.GetRevision() > r.GetAboveRevision() {
		resp.Config = cur
	}
	return resp, nil
}

// ClaimBookings writes booking records for the caller.
func (s *server) ClaimBookings(ctx context.Context, r *clwire.ClaimBookingsRequest) (*clwire.ClaimBookingsResponse, error) {
	if s.n.Bookings == nil {
		return nil, notOffered("booking records")
	}
	return s.n.Bookings.ClaimBookings(ctx, r)
}

// GrantSlots leases slots to the caller.
func (s *server) GrantSlots(ctx context.Context, r *clwire.GrantSlotsRequest) (*clwire.GrantSlotsResponse, error) {
	if s.n.Slots == nil {
		return nil, notOffered("slots")
	}
	return s.n.Slots.GrantSlots(ctx, r)
}

// ReturnSlots takes slots back from the caller.
func (s *server) ReturnSlots(ctx context.Context, r *clwire.ReturnSlotsRequest) (*clwire.ReturnSlotsResponse, error) {
	if s.n.Slots == nil {
		return nil, notOffered("slots")
	}
	return s.n.Slots.ReturnSlots(ctx, r)
}

// ReportEvidence takes outcomes of versions.
func (s *server) ReportEvidence(ctx context.Context, r *clwire.ReportEvidenceRequest) (*clwire.ReportEvidenceResponse, error) {
	if s.n.Evidence == nil {
		return nil, notOffered("evidence")
	}
	return s.n.Evidence.ReportEvidence(ctx, r)
}

// ListEndpoints returns the endpoints that this process knows.
func (s *server) ListEndpoints(context.Context, *clwire.ListEndpointsRequest) (*clwire.ListEndpointsResponse, error) {
	if s.n.Endpoints == nil {
		return nil, notOffered("questions about endpoints")
	}
	return s.n.Endpoints.ListEndpoints(), nil
}

func notOffered(what string) error {
	return twirp.NewError(twirp.Unimplemented, "this process does not take "+what+"; ask a process of the other role")
}
