// This file defines the checks for contradictions between keys.

package clsettings

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"
)

// listener is a key of section listen and its address.
type listener struct {
	key     string
	address string
}

// checkOrder checks each rule's below.
func (l *loader) checkOrder() {
	sections := l.root.Descriptor().Fields()
	for i := range sections.Len() {
		section := sections.Get(i)
		keys := section.Message().Fields()
		for j := range keys.Len() {
			fd := keys.Get(j)
			if below := RuleOf(fd).GetBelow(); below != "" {
				l.checkBelow(section, fd, below)
			}
		}
	}
}

func (l *loader) checkBelow(section, fd protoreflect.FieldDescriptor, below string) {
	limitSection, limitKey, _ := strings.Cut(below, ".")
	lfd := l.root.Descriptor().Fields().ByName(protoreflect.Name(limitSection))
	limit := lfd.Message().Fields().ByName(protoreflect.Name(limitKey))
	if l.hasProblem(string(section.Name()), string(fd.Name())) || l.hasProblem(limitSection, limitKey) {
		return
	}
	if number(l.root.Get(section).Message(), fd) < number(l.root.Get(lfd).Message(), limit) {
		return
	}
	l.report(string(section.Name()), string(fd.Name()), "is not below "+below, "lower it or raise "+below)
}

// number returns an ordered field's value in its smallest unit.
func number(m protoreflect.Message, fd protoreflect.FieldDescriptor) int64 {
	if d, ok := m.Get(fd).Interface().(protoreflect.Message); ok {
		return int64(d.Interface().(*durationpb.Duration).AsDuration())
	}
	return int64(m.Get(fd).Uint())
}

// checkMeaning checks what the schema cannot express.
func (l *loader) checkMeaning(m proto.Message) {
	switch s := m.(type) {
	case *EntrySettings:
		l.checkListen(listener{"caller", s.GetListen().GetCaller()},
			listener{"peer", s.GetListen().GetPeer()}, listener{"metrics", s.GetListen().GetMetrics()})
		l.checkAdvertised(s.GetPeer(), s.GetListen().GetPeer())
		l.checkLease(s.GetLease())
		l.checkQueues(s.GetAdmission())
	case *ControlSettings:
		l.checkListen(listener{"operator", s.GetListen().GetOperator()},
			listener{"peer", s.GetListen().GetPeer()}, listener{"metrics", s.GetListen().GetMetrics()})
		l.checkAdvertised(s.GetPeer(), s.GetListen().GetPeer())
		l.checkLease(s.GetLease())
		if slices.Contains(s.GetOperator().GetTokens(), s.GetPeer().GetToken()) && s.GetPeer().GetToken() != "" {
			l.report("operator", "tokens", "contains the peer token", "use separate credentials for operators and peers")
		}
	}
}

// checkListen reports two listeners on the same port of overlapping addresses.
func (l *loader) checkListen(listeners ...listener) {
	for i, a := range listeners {
		for _, b := range listeners[i+1:] {
			x, y := addrPort(a.address), addrPort(b.address)
			if x.Port() == 0 || x.Port() != y.Port() {
				continue
			}
			if x.Addr() == y.Addr() || x.Addr().IsUnspecified() || y.Addr().IsUnspecified() {
				l.report("listen", b.key, "uses the port of "+a.key, "give each listener its own port")
			}
		}
	}
}

// checkAdvertised makes sure that peers get an address that they can dial.
func (l *loader) checkAdvertised(s *PeerSettings, listen string) {
	if l.hasProblem("peer", "advertised") || l.hasProblem("listen", "peer") {
		return
	}
	advertised := addrPort(s.GetAdvertised())
	if !advertised.IsValid() {
		if addrPort(listen).Addr().IsUnspecified() {
			l.report("peer", "advertised", "missing, and listen.peer names no single address",
				"set the address under which peers reach this process")
		}
		return
	}
	if advertised.Addr().IsUnspecified() || advertised.Port() == 0 {
		l.report("peer", "advertised", advertised.String()+" cannot be dialled", "set one IP address and a port above 0")
	}
}

// checkLease keeps the margin below what remains just before a renewal, which
// is two thirds of the lifetime; a holder would otherwise pause between renewals.
func (l *loader) checkLease(s *LeaseSettings) {
	if l.hasProblem("lease", "ttl") || l.hasProblem("lease", "margin") {
		return
	}
	limit := s.GetTtl().AsDuration() * 2 / 3
	if s.GetMargin().AsDuration() >= limit {
		l.report("lease", "margin", "is not below two thirds of ttl",
			fmt.Sprintf("set it below %s, or raise ttl", limit.Truncate(time.Millisecond)))
	}
}

func (l *loader) checkQueues(s *AdmissionSettings) {
	if l.hasProblem("admission", "queue_limit") || l.hasProblem("admission", "account_queue_limit") {
		return
	}
	if s.GetAccountQueueLimit() > s.GetQueueLimit() {
		l.report("admission", "account_queue_limit", "is above queue_limit", "lower it or raise queue_limit")
	}
}

// addrPort returns the zero value for an empty or faulty address.
func addrPort(text string) netip.AddrPort {
	a, err := netip.ParseAddrPort(text)
	if err != nil {
		return netip.AddrPort{}
	}
	return a
}
