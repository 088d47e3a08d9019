// This file tests what a gateway does when the store returns from an older copy.

package clnode

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/coordination/clgossip"
	"github.com/chestnutlead/chestnutlead/internal/coordination/clmirror"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/stretchr/testify/require"
)

// memberStore counts the writes of entries of gateways; other calls panic.
type memberStore struct {
	Store
	mu                       sync.Mutex
	registered, unregistered []string
}

func (s *memberStore) Register(_ context.Context, m clcatalog.Member) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.registered = append(s.registered, m.Name)
	return nil
}

func (s *memberStore) Unregister(_ context.Context, name string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unregistered = append(s.unregistered, name)
	return nil
}

func (s *memberStore) registrations() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.registered)
}

func newMember(s *memberStore) *Node {
	n := newTestNode()
	n.Store, n.Settings.Name, n.eraBegun = s, "g", make(chan struct{}, 1)
	n.blockKeeper = &blockKeeper{}
	n.exchange = &clgossip.Exchange{Self: clcatalog.Member{Name: "g"}}
	return n
}

// Guards against gateways that the others do not know for seconds after the store has
// returned from an older copy, which lacks their entries.
func TestGatewayRegistersAgainAfterAReturn(t *testing.T) {
	s := &memberStore{}
	n := newMember(s)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { n.runRegistration(ctx); close(done) }()
	require.Eventually(t, func() bool { return s.registrations() == 1 }, time.Second, time.Millisecond)
	n.beginEra(1)
	require.Eventually(t, func() bool { return s.registrations() == 2 }, eraWriteSpread+time.Second, time.Millisecond)
	n.beginEra(2)
	n.beginEra(3)
	require.Eventually(t, func() bool { return s.registrations() >= 3 }, eraWriteSpread+time.Second, time.Millisecond)
	stop()
	<-done
}

// Guards against entries of live gateways that are removed on the strength of an older copy
// of the store: where their digests come from may be outdated there.
func TestReturnCountsSilenceAgain(t *testing.T) {
	s := &memberStore{}
	n := newMember(s)
	n.applyGateways([]clmirror.Change[clcatalog.Member]{{Name: "other", Value: clcatalog.Member{Name: "other"}}}, true)
	n.silenceStart["other"] = clclock.Now().Add(-lostGatewayTimeout)
	n.beginEra(1)
	n.unregisterLostGateways(t.Context())
	require.Empty(t, s.unregistered)
	n.silenceStart["other"] = clclock.Now().Add(-lostGatewayTimeout)
	n.unregisterLostGateways(t.Context())
	require.Equal(t, []string{"other"}, s.unregistered)
}

// Guards against the wrong one of two states after the store has returned: endpoints that
// left and get requests (DRAIN), keys that were revoked (CONFIG), outdated gateways.
func TestRecoveryOfEachKind(t *testing.T) {
	endpoint := func(born int64, leaving bool) clcatalog.Endpoint {
		return clcatalog.Endpoint{Born: born, Leaving: leaving}
	}
	for _, c := range []struct {
		name          string
		known, listed clcatalog.Endpoint
		want          clmirror.Recovery
	}{
		{"left", endpoint(1, true), endpoint(1, false), clmirror.KeepKnown},
		{"leaves by now", endpoint(1, false), endpoint(1, true), clmirror.TakeListed},
		{"another start", endpoint(1, true), endpoint(2, false), clmirror.TakeListed},
		{"an earlier start", endpoint(2, false), endpoint(1, false), clmirror.HoldKnown},
		{"an earlier start that left", endpoint(2, false), endpoint(1, true), clmirror.HoldKnown},
		{"other details", endpoint(1, false), endpoint(1, false), clmirror.HoldKnown},
	} {
		require.Equal(t, c.want, recoverEndpoint(c.known, c.listed), c.name)
	}
	for _, c := range []struct {
		known, listed uint64
		want          clmirror.Recovery
	}{
		{5, 4, clmirror.KeepKnown}, {5, 6, clmirror.TakeListed}, {5, 5, clmirror.TakeListed},
	} {
		require.Equal(t, c.want, recoverConfig(&clcatalog.Catalog{Version: c.known}, &clcatalog.Catalog{Version: c.listed}))
	}
	require.Equal(t, clmirror.TakeListed, recoverMember(clcatalog.Member{Boot: 1}, clcatalog.Member{Boot: 2}))
	require.Equal(t, clmirror.HoldKnown, recoverMember(clcatalog.Member{Boot: 2}, clcatalog.Member{Boot: 1}))
}

// Guards against revoked keys that are valid again: a configuration of a lower version never
// replaces one in force.
func TestConfigurationNeverGoesBack(t *testing.T) {
	n := newTestNode()
	for _, tc := range []struct{ version, want uint64 }{{7, 7}, {5, 7}, {8, 8}, {7, 8}} {
		n.applyConfig([]clmirror.Change[*clcatalog.Catalog]{{Value: &clcatalog.Catalog{Version: tc.version}}}, true)
		require.Equal(t, tc.want, n.gateway.Catalog().Version)
	}
}
