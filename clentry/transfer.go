// This file defines transfers of KV caches between engines.

package clentry

import (
	"context"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/clendpoint"
	"go.uber.org/zap"
)

const (
	// transferTimeout bounds one transfer; the stream goes on without it.
	transferTimeout = 2 * time.Second
	// firstTransferPerToken is assumed until a transfer was measured.
	firstTransferPerToken = 100 * time.Microsecond
	transferWeight        = 0.2
)

// transfers moves caches and learns how long that takes.
type transfers struct {
	log *zap.Logger

	mu       sync.Mutex
	perToken time.Duration
}

// expected returns how long the cache of so many tokens takes to move.
func (t *transfers) expected(tokens int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.perToken == 0 {
		return firstTransferPerToken * time.Duration(tokens)
	}
	return t.perToken * time.Duration(tokens)
}

// move makes an engine fetch the cache of a stream from another one. A failure
// costs only that the tokens are computed again. attemptID must be unique.
func (t *transfers) move(ctx context.Context, client clendpoint.Client, attemptID string, from, to endpoint, streamID string, tokens int) {
	c, err := clendpoint.ImportCall(from.addr, streamID)
	if err != nil {
		return
	}
	c.Endpoint, c.AttemptID = to.addr, attemptID
	ctx, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	started := time.Now()
	a, err := client.Do(ctx, c)
	if err != nil {
		t.log.Info("Cache cannot be moved. Its tokens are computed again.", zap.String("from", from.id), zap.String("to", to.id), zap.Error(err))
		return
	}
	took := time.Since(started)
	// The status says whether the cache arrived.
	if err := clendpoint.Discard(a.Body, clendpoint.MaxDiscardedBytes, clendpoint.DiscardTimeout); err != nil {
		t.log.Debug("Rest of the answer to a cache transfer was lost.", zap.String("to", to.id), zap.Error(err))
	}
	if a.Status >= 300 {
		t.log.Info("Cache was refused. Its tokens are computed again.", zap.String("from", from.id), zap.String("to", to.id), zap.Int("status", a.Status))
		return
	}
	t.learn(took / time.Duration(max(tokens, 1)))
}

func (t *transfers) learn(perToken time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.perToken == 0 {
		t.perToken = perToken
		return
	}
	t.perToken += time.Duration(transferWeight * float64(perToken-t.perToken))
}
