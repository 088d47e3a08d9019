// This file keeps the traits of requests that crash endpoints in the store, so that they
// outlive a restart of all gateways and reach those that are cut off from the others.

package clnode

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/clwait"
	"github.com/chestnutlead/chestnutlead/internal/coordination/clmirror"
	"github.com/chestnutlead/chestnutlead/internal/limits/clcrash"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

type (
	// blockStore holds the records of the traits whose requests are refused.
	blockStore interface {
		// CrashBlocks returns the source of the records.
		CrashBlocks() clmirror.Source[clcatalog.CrashBlock]
		// RecordCrashBlock writes a record, in place of an earlier one of the trait.
		RecordCrashBlock(ctx context.Context, b clcatalog.CrashBlock) error
		// RemoveCrashBlock removes the record of a trait.
		RemoveCrashBlock(ctx context.Context, trait uint64) error
	}

	// blockKeeper passes the records in the store on to a tracker, and records what the
	// tracker blocks. All gateways read the records at their start. Later, one gateway of
	// each data centre follows them and tells the others. Fields
	// above mu are set before run.
	blockKeeper struct {
		store   blockStore
		tracker *clcrash.Tracker
		// follows reports whether this gateway follows the records, and writes whether
		// it is one of those that write them.
		follows, writes func() bool
		// now returns the time of day, which all gateways agree on.
		now    func() time.Time
		logger *zap.Logger

		mu sync.Mutex
		// recorded holds the records that this gateway knows of, by trait.
		recorded map[uint64]clcatalog.CrashBlock
	}
)

const (
	// blockCheckInterval is the time between two looks for blocks without a record.
	blockCheckInterval = 200 * time.Millisecond
	// blockWatchPause is the least time between two watches.
	blockWatchPause = 100 * time.Millisecond
	// minBlockBackoff and maxBlockBackoff limit the pause after a failed call.
	minBlockBackoff = 200 * time.Millisecond
	maxBlockBackoff = 2 * time.Second
	// blockWriterCount is the number of gateways that write records. Some of them may be
	// cut off from the store.
	blockWriterCount = 3
)

// run reads and writes records until ctx ends.
func (k *blockKeeper) run(ctx context.Context) {
	var g errgroup.Group
	g.Go(func() error { k.followLoop(ctx); return nil })
	g.Go(func() error { k.recordLoop(ctx); return nil })
	// Neither returns an error.
	_ = g.Wait()
}

// followLoop reads the records once, and follows them while this gateway is to, until ctx
// ends.
func (k *blockKeeper) followLoop(ctx context.Context) {
	source, cursor, era, listed := k.store.CrashBlocks(), uint64(0), uint64(0), false
	k.retry(ctx, blockWatchPause, func() error {
		switch {
		case !listed:
			callCtx, cancel := context.WithTimeout(ctx, storeWriteTimeout)
			defer cancel()
			batch, err := source.List(callCtx, true)
			if err != nil {
				return errors.Wrap(err, "list the records of blocked traits")
			}
			if batch.Era < era {
				return errors.Errorf("list of records is of era %d of the store, before era %d", batch.Era, era)
			}
			if batch.Era != era {
				k.forgetRecords()
			}
			cursor, era, listed = batch.Cursor, batch.Era, true
			k.apply(batch.Changes)
		case k.follows():
			callCtx, cancel := context.WithTimeout(ctx, maxWatchWait+storeWriteTimeout)
			defer cancel()
			batch, err := source.Watch(callCtx, cursor, maxWatchWait)
			if errors.Is(err, clmirror.ErrHistoryGone) || err == nil && batch.Era != era {
				listed = false
				return nil
			}
			if err != nil {
				// A list finds out what the watch has missed.
				listed = false
				return errors.Wrap(err, "watch the records of blocked traits")
			}
			cursor = batch.Cursor
			k.apply(batch.Changes)
		}
		return nil
	})
}

// recordLoop writes missing records and removes old ones, until ctx ends.
func (k *blockKeeper) recordLoop(ctx context.Context) {
	k.retry(ctx, blockCheckInterval, func() error {
		if !k.writes() {
			return nil
		}
		callCtx, cancel := context.WithTimeout(ctx, storeWriteTimeout)
		defer cancel()
		for _, b := range k.missing() {
			if err := k.store.RecordCrashBlock(callCtx, b); err != nil {
				return errors.Wrap(err, "record a blocked trait")
			}
			k.apply([]clmirror.Change[clcatalog.CrashBlock]{{Value: b}})
			k.logger.Info("blocked trait recorded", zap.String("trait", strconv.FormatUint(b.Trait, 16)))
		}
		for _, trait := range k.outdated() {
			if err := k.store.RemoveCrashBlock(callCtx, trait); err != nil {
				return errors.Wrap(err, "remove the record of a trait that is no longer blocked")
			}
			k.mu.Lock()
			delete(k.recorded, trait)
			k.mu.Unlock()
		}
		return nil
	})
}

// retry calls f at intervals, and with a longer pause after each failure, until ctx ends.
func (k *blockKeeper) retry(ctx context.Context, interval time.Duration, f func() error) {
	backoff := minBlockBackoff
	for ctx.Err() == nil {
		err := f()
		if err == nil || ctx.Err() != nil {
			backoff = minBlockBackoff
			_ = clwait.Pause(ctx, interval)
			continue
		}
		k.logger.Warn("records of blocked traits are not available", zap.Error(err))
		_ = clwait.Pause(ctx, backoff)
		backoff = min(2*backoff, maxBlockBackoff)
	}
}

// forgetRecords forgets which records the store holds, after it has returned from an older
// copy that may lack some of them. recordLoop writes those again.
func (k *blockKeeper) forgetRecords() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.recorded = nil
}

// apply passes records on to the tracker. A removed record ends no block: its time ends it
// everywhere.
func (k *blockKeeper) apply(changes []clmirror.Change[clcatalog.CrashBlock]) {
	now, wallNow := clclock.Now(), k.now()
	var evidence clcrash.Evidence
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.recorded == nil {
		k.recorded = map[uint64]clcatalog.CrashBlock{}
	}
	for _, c := range changes {
		if c.Removed {
			if c.Why != "" {
				k.logger.Warn("record of a blocked trait is invalid", zap.String("name", c.Name), zap.String("why", c.Why))
			}
			continue
		}
		b := c.Value
		k.recorded[b.Trait] = b
		evidence.Blocks = append(evidence.Blocks, clcrash.Block{
			Trait: clcrash.Trait{ID: b.Trait, Depth: b.Depth}, LastCrash: now.Add(-max(0, wallNow.Sub(b.LastCrash))),
		})
	}
	k.tracker.Merge(evidence, now)
}

// missing returns the blocks without a record, or with one that ends long before the
// block does.
func (k *blockKeeper) missing() []clcatalog.CrashBlock {
	now, wallNow := clclock.Now(), k.now()
	blocks := k.tracker.Blocks(now)
	k.mu.Lock()
	defer k.mu.Unlock()
	var missing []clcatalog.CrashBlock
	for _, b := range blocks {
		lastCrash := wallNow.Add(-now.Sub(b.LastCrash))
		if recorded, ok := k.recorded[b.ID]; !ok || lastCrash.Sub(recorded.LastCrash) > clcrash.Retention/2 {
			missing = append(missing, clcatalog.CrashBlock{Trait: b.ID, Depth: b.Depth, LastCrash: lastCrash})
		}
	}
	return missing
}

// outdated returns the traits whose records no longer count, because they are old or the
// evidence has turned against the block.
func (k *blockKeeper) outdated() []uint64 {
	wallNow := k.now()
	k.mu.Lock()
	defer k.mu.Unlock()
	var outdated []uint64
	for trait, b := range k.recorded {
		age := wallNow.Sub(b.LastCrash)
		if age > clcrash.Retention || k.tracker.Revised(trait) {
			outdated = append(outdated, trait)
		}
	}
	return outdated
}

// followsBlocks reports whether this gateway follows the records of blocked traits for its
// data centre: it is the first live one there.
func (n *Node) followsBlocks() bool {
	for _, name := range n.exchange.AlivePeers() {
		if m, ok := n.registeredGateway(name); ok && m.DataCentre == n.Settings.DataCentre && name < n.Settings.Name {
			return false
		}
	}
	return true
}
