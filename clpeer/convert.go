// This file converts between the membership core's structs and the messages.

package clpeer

import (
	"net/netip"
	"time"

	"github.com/chestnutlead/chestnutlead/clmember"
	"github.com/chestnutlead/chestnutlead/clrollout"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/samber/lo"
)

func memberToWire(m clmember.Member) *clwire.Member {
	return &clwire.Member{
		Id: m.ID, Address: m.Address.String(), DataCentre: m.DataCentre, Region: m.Region, Role: m.Role,
		Incarnation: m.Incarnation, State: clwire.MemberState(m.State),
	}
}

// memberFromWire returns false for a member whose address or state is not valid.
func memberFromWire(m *clwire.Member) (clmember.Member, bool) {
	addr, err := netip.ParseAddrPort(m.GetAddress())
	state := clmember.State(m.GetState())
	if err != nil || m.GetId() == "" || state < clmember.Alive || state > clmember.Left {
		return clmember.Member{}, false
	}
	return clmember.Member{
		ID: m.GetId(), Address: addr, DataCentre: m.GetDataCentre(), Region: m.GetRegion(), Role: m.GetRole(),
		Incarnation: m.GetIncarnation(), State: state,
	}, true
}

func membersToWire(members []clmember.Member) []*clwire.Member {
	return lo.Map(members, func(m clmember.Member, _ int) *clwire.Member { return memberToWire(m) })
}

func membersFromWire(members []*clwire.Member) []clmember.Member {
	return lo.FilterMap(members, func(m *clwire.Member, _ int) (clmember.Member, bool) { return memberFromWire(m) })
}

func factsToWire(facts []clmember.Fact) []*clwire.Fact {
	return lo.Map(facts, func(f clmember.Fact, _ int) *clwire.Fact {
		return &clwire.Fact{
			Id: f.ID, Kind: clwire.FactKind(f.Kind), Origin: f.Origin, TimeUnixMs: f.Time.UnixMilli(),
			LifetimeMs: f.Lifetime.Milliseconds(), Subject: f.Subject, Detail: f.Detail, Urgent: f.Urgent,
		}
	})
}

func factsFromWire(facts []*clwire.Fact) []clmember.Fact {
	return lo.FilterMap(facts, func(f *clwire.Fact, _ int) (clmember.Fact, bool) {
		return clmember.Fact{
			ID: f.GetId(), Kind: clmember.FactKind(f.GetKind()), Origin: f.GetOrigin(),
			Time:     time.UnixMilli(f.GetTimeUnixMs()),
			Lifetime: time.Duration(f.GetLifetimeMs()) * time.Millisecond,
			Subject:  f.GetSubject(), Detail: f.GetDetail(), Urgent: f.GetUrgent(),
		}, f.GetId() != ""
	})
}

func exchangeToRequest(e clmember.Exchange) *clwire.ExchangeRequest {
	return &clwire.ExchangeRequest{
		From: memberToWire(e.From), Changes: membersToWire(e.Changes), Facts: factsToWire(e.Facts),
		ConfigRevision: e.ConfigRevision, MembershipHash: e.MembershipHash,
	}
}

func exchangeToResponse(e clmember.Exchange) *clwire.ExchangeResponse {
	return &clwire.ExchangeResponse{
		From: memberToWire(e.From), Changes: membersToWire(e.Changes), Facts: factsToWire(e.Facts),
		ConfigRevision: e.ConfigRevision, MembershipHash: e.MembershipHash,
	}
}

// exchangeMessage is what requests and responses of Exchange have in common.
type exchangeMessage interface {
	GetFrom() *clwire.Member
	GetChanges() []*clwire.Member
	GetFacts() []*clwire.Fact
	GetConfigRevision() uint64
	GetMembershipHash() uint64
}

func exchangeFromWire(m exchangeMessage) (clmember.Exchange, bool) {
	from, ok := memberFromWire(m.GetFrom())
	return clmember.Exchange{
		From: from, Changes: membersFromWire(m.GetChanges()), Facts: factsFromWire(m.GetFacts()),
		ConfigRevision: m.GetConfigRevision(), MembershipHash: m.GetMembershipHash(),
	}, ok
}

// EvidenceToWire returns the messages of a batch or a sum.
func EvidenceToWire(batch []clrollout.Evidence) []*clwire.RouteEvidence {
	return lo.Map(batch, func(x clrollout.Evidence, _ int) *clwire.RouteEvidence {
		return &clwire.RouteEvidence{
			Service: x.Service, Version: x.Version, Route: x.Route, MinuteUnix: x.Minute,
			Succeeded: x.Succeeded, Failed: x.Failed, LatencyCounts: x.LatencyCounts,
		}
	})
}

// EvidenceFromWire returns the evidence of a batch or a sum.
func EvidenceFromWire(batch []*clwire.RouteEvidence) []clrollout.Evidence {
	return lo.Map(batch, func(x *clwire.RouteEvidence, _ int) clrollout.Evidence {
		return clrollout.Evidence{
			Service: x.GetService(), Version: x.GetVersion(), Route: x.GetRoute(), Minute: x.GetMinuteUnix(),
			Succeeded: x.GetSucceeded(), Failed: x.GetFailed(), LatencyCounts: x.GetLatencyCounts(),
		}
	})
}

// PartsFromWire returns the batches that a request consists of; false if its
// lists differ in length.
func PartsFromWire(r *clwire.ReportEvidenceRequest) ([]clrollout.Part, bool) {
	if len(r.GetReporters()) == 0 && len(r.GetSequences()) == 0 {
		return []clrollout.Part{{From: clrollout.ReporterKey(r.GetFrom()), Sequence: r.GetSequence()}}, true
	}
	if len(r.GetReporters()) != len(r.GetSequences()) {
		return nil, false
	}
	return lo.Map(r.GetReporters(), func(from uint64, i int) clrollout.Part {
		return clrollout.Part{From: from, Sequence: r.GetSequences()[i]}
	}), true
}
