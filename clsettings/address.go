// This file defines the accessors that give addresses as netip values.

package clsettings

import (
	"net/netip"

	"github.com/samber/lo"
)

// CallerAddr returns the listen address for callers.
func (x *EntryListenSettings) CallerAddr() netip.AddrPort { return addrPort(x.GetCaller()) }

// PeerAddr returns the listen address for the system's own processes.
func (x *EntryListenSettings) PeerAddr() netip.AddrPort { return addrPort(x.GetPeer()) }

// MetricsAddr returns the listen address for metrics and health.
func (x *EntryListenSettings) MetricsAddr() netip.AddrPort { return addrPort(x.GetMetrics()) }

// OperatorAddr returns the listen address for operators.
func (x *ControlListenSettings) OperatorAddr() netip.AddrPort { return addrPort(x.GetOperator()) }

// PeerAddr returns the listen address for the system's own processes.
func (x *ControlListenSettings) PeerAddr() netip.AddrPort { return addrPort(x.GetPeer()) }

// MetricsAddr returns the listen address for metrics and health.
func (x *ControlListenSettings) MetricsAddr() netip.AddrPort { return addrPort(x.GetMetrics()) }

// AdvertisedAddr returns the address for peers; bound is the address of the
// open peer listener, which holds if the settings name none.
func (x *PeerSettings) AdvertisedAddr(bound netip.AddrPort) netip.AddrPort {
	if x.GetAdvertised() == "" {
		return bound
	}
	return addrPort(x.GetAdvertised())
}

// SeedAddrs returns the peer addresses to join through.
func (x *PeerSettings) SeedAddrs() []netip.AddrPort {
	return lo.Map(x.GetSeeds(), func(s string, _ int) netip.AddrPort { return addrPort(s) })
}

// WeightStore returns the base URL of the weight store.
func (x *PlatformSettings) WeightStore() string {
	if x.GetWeightStoreUrl() == "" {
		return x.GetCloudApiUrl()
	}
	return x.GetWeightStoreUrl()
}
