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
// goes on.
func (n *Node) runRegistration(ctx context.Context) {
	for ctx.Err() == nil {
		n.register(ctx)
		for ctx.Err() == nil && !n.unregistered() {
			if clwait.Pause(ctx, registrationCheckInterval) != nil {
				return
			}
		}
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
			_ = clwait.Pause(ctx, registrationCheckInterval) // the copy follows
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
)
