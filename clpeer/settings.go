// This file defines how a process becomes a member by its settings.

package clpeer

import (
	"math/rand/v2"
	"net"
	"net/netip"

	"github.com/chestnutlead/chestnutlead/clmember"
	"github.com/chestnutlead/chestnutlead/clsettings"
	"github.com/google/uuid"
)

// bootIDChars tell apart the starts of a process in its member ID.
const bootIDChars = 8

// MemberConfig returns the membership of a process that listens for peers at
// bound. Its member ID is unique for each start.
func MemberConfig(p *clsettings.ProcessSettings, s *clsettings.PeerSettings, role string, bound netip.AddrPort) clmember.Config {
	return clmember.Config{
		Self: clmember.Member{
			ID: p.GetName() + "-" + uuid.NewString()[:bootIDChars], Address: s.AdvertisedAddr(bound),
			DataCentre: p.GetDataCentre(), Region: p.GetRegion(), Role: role,
		},
		Seeds: s.SeedAddrs(), Rand: NewRand(),
		ProbeInterval: s.GetProbeInterval().AsDuration(), ProbeTimeout: s.GetProbeTimeout().AsDuration(),
		SuspicionBase: s.GetSuspectTimeout().AsDuration(), SyncInterval: s.GetSyncInterval().AsDuration(),
	}
}

// NewRand returns a generator of its own for one core.
func NewRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// AddrOf returns the address of a TCP listener.
func AddrOf(l net.Listener) netip.AddrPort { return l.Addr().(*net.TCPAddr).AddrPort() }
