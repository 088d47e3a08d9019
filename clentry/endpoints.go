// This file defines how an entry learns the endpoints from another entry while
// the platform's list of instances cannot be read.

package clentry

import (
	"context"
	"net/netip"
	"time"

	"github.com/chestnutlead/chestnutlead/clpeer"
	"github.com/chestnutlead/chestnutlead/clplatform"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/samber/lo"
	"go.uber.org/zap"
)

var _ clpeer.Endpoints = (*fleet)(nil)

// ListEndpoints implements clpeer.Endpoints.
func (f *fleet) ListEndpoints() *clwire.ListEndpointsResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.read.IsZero() {
		return &clwire.ListEndpointsResponse{}
	}
	resp := &clwire.ListEndpointsResponse{Known: true, AgeMs: time.Since(f.read).Milliseconds()}
	for _, e := range f.endpoints {
		at, leaving := f.leaving[e.id]
		l := &clwire.ListedEndpoint{
			Id: e.id, Address: e.addr.String(), Service: e.service, Version: e.version, DataCentre: e.dataCentre, Leaving: leaving,
		}
		if !at.IsZero() {
			l.LeavingUnixMs = at.UnixMilli()
		}
		resp.Endpoints = append(resp.Endpoints, l)
	}
	return resp
}

// askPeer takes the list of a random live entry if it was read later than the
// own one.
func (f *fleet) askPeer(ctx context.Context) {
	resp, err := f.node.ListEndpoints(ctx, Role)
	if err != nil {
		f.log.Debug("Endpoints cannot be learned from a peer.", zap.Error(err))
		return
	}
	// The time of the call counts towards the list's age, so that lists do not
	// grow younger while they pass from entry to entry.
	read := time.Now().Add(-time.Duration(resp.GetAgeMs()) * time.Millisecond).Add(-peerListDelay)
	f.mu.Lock()
	newer := resp.GetKnown() && read.After(f.read)
	f.mu.Unlock()
	if !newer {
		return
	}
	f.apply(lo.FilterMap(resp.GetEndpoints(), func(e *clwire.ListedEndpoint, _ int) (clplatform.Instance, bool) {
		return instanceFromWire(e)
	}), read)
	f.log.Info("Endpoints learned from a peer.", zap.Int("endpoints", len(resp.GetEndpoints())),
		zap.Duration("age", time.Since(read)))
}

// instanceFromWire returns false for an endpoint whose address is not valid.
func instanceFromWire(e *clwire.ListedEndpoint) (clplatform.Instance, bool) {
	addr, err := netip.ParseAddrPort(e.GetAddress())
	in := clplatform.Instance{
		ID: e.GetId(), DataCentre: e.GetDataCentre(), Service: e.GetService(), Version: e.GetVersion(), Endpoint: addr,
		State: clplatform.InstanceLive,
	}
	if e.GetLeaving() {
		in.State = clplatform.InstanceLeaving
		if ms := e.GetLeavingUnixMs(); ms != 0 {
			in.LeavingAt = time.UnixMilli(ms)
		}
	}
	return in, err == nil && e.GetId() != ""
}
