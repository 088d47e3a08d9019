// This file registers the gateway in the store and removes the entries of lost ones.

package clnode

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/chestnutlead/chestnutlead/clwait"
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"go.uber.org/zap"
)

const (
	// storeWriteTimeout is the timeout of a single write to the store.
	storeWriteTimeout = 900 * time.Millisecond
	// lostGatewayTimeout is the time without digests after which a registered
	// gateway counts as lost and its entry is removed. It is longer than any
	// restart takes.
	lostGatewayTimeout = 40 * time.Second
)

// unregisterLostGateways removes the store's entries of the gateways from which no
// digest has arrived for lostGatewayTimeout. If a removal fails, it is tried again
// after the same time.
func (n *Node) unregisterLostGateways(ctx context.Context) {
	now := clclock.Now()
	for _, m := range n.registeredGateways() {
		n.mu.Lock()
		if n.silenceStart[m.Name].IsZero() {
			n.silenceStart[m.Name] = now
		}
		silentSince := n.silenceStart[m.Name]
		n.mu.Unlock()
		if lastHeard := n.exchange.LastDigestTimeFrom(m.Name); lastHeard.After(silentSince) {
			silentSince = lastHeard
		}
		if m.Name == n.Settings.Name || now.Sub(silentSince) < lostGatewayTimeout {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, storeWriteTimeout)
		err := n.Store.Unregister(ctx, m.Name)
		cancel()
		n.mu.Lock()
		n.silenceStart[m.Name] = now
		n.mu.Unlock()
		n.Logger.Info("lost gateway unregistered", zap.String("gateway", m.Name), zap.Duration("silent", now.Sub(silentSince)), zap.Error(err))
	}
}

// runRegistration keeps this gateway registered in the store until ctx ends. The entry
// of a gateway that was cut off for long may have been removed although its process
// goes on, and the store may have returned from an older copy that lacks it.
func (n *Node) runRegistration(ctx context.Context) {
	for ctx.Err() == nil {
		n.register(ctx)
		for !n.awaitEra(ctx, registrationCheckInterval) {
			if ctx.Err() != nil || n.unregistered() {
				break
			}
		}
	}
}

// awaitEra waits for d, and reports whether the store has returned from an older copy
// meanwhile. It then waits for a while that differs between gateways, so that they do not
// write all at once.
func (n *Node) awaitEra(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return false
	case <-n.eraBegun:
		return clwait.Pause(ctx, rand.N(eraWriteSpread)) == nil
	}
}

// unregistered reports whether the copy of the store, if it is recent, lacks this
// gateway.
func (n *Node) unregistered() bool {
	if left, limited := n.replicator.UsableFor(); !limited || left <= 0 {
		return false
	}
	_, ok := n.registeredGateway(n.Settings.Name)
	return !ok
}

// register registers this gateway in the store. It retries until it succeeds or ctx
// ends.
func (n *Node) register(ctx context.Context) {
	for backoff := minRegisterBackoff; ctx.Err() == nil; backoff = min(2*backoff, maxRegisterBackoff) {
		callCtx, cancel := context.WithTimeout(ctx, storeWriteTimeout)
		err := n.Store.Register(callCtx, n.exchange.Self)
		cancel()
		if err == nil {
			n.Logger.Info("registered", zap.Stringer("peer_address", n.Settings.PeerAddress))
			return
		}
		n.Logger.Warn("registration failed", zap.Error(err))
		if clwait.Pause(ctx, backoff/2+rand.N(backoff)) != nil {
			return
		}
	}
}

const (
	// minRegisterBackoff and maxRegisterBackoff limit the backoff between two
	// attempts to register. The actual pause differs from it randomly by up to half.
	minRegisterBackoff = 100 * time.Millisecond
	maxRegisterBackoff = time.Second
	// registrationCheckInterval is the time between two checks of the own entry, and
	// longer than it takes until a new entry has reached the copy.
	registrationCheckInterval = 5 * time.Second
	// eraWriteSpread is the time over which gateways write their entries again after the
	// store has returned. 300 of them write 200 times a second, half of what it bears.
	eraWriteSpread = 1500 * time.Millisecond
)
