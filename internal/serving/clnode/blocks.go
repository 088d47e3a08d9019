// This file keeps the traits of requests that crash endpoints in the store, so that they
// outlive a restart of all gateways.

package clnode

import (
	"context"
	"encoding/json"
	"time"

	"github.com/chestnutlead/chestnutlead/clstore"
	"github.com/chestnutlead/chestnutlead/clwait"
	"github.com/chestnutlead/chestnutlead/internal/limits/clcrash"
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

type (
	// blockKeeper reads the stored blocks at the start, and stores later ones. Its fields
	// are set before run.
	blockKeeper struct {
		store   clstore.Store
		tracker *clcrash.Tracker
		// writes reports whether this gateway is one of those that store blocks.
		writes func() bool
		// now returns the time of day, which all gateways agree on.
		now    func() time.Time
		logger *zap.Logger

		// stored holds the stored blocks by trait, as of version.
		stored  map[uint64]storedBlock
		version uint64
	}

	// storedBlock is a block as it is stored.
	storedBlock struct {
		Trait uint64 `json:"trait,string"`
		Depth uint8  `json:"depth"`
		// LastCrash is the Unix time of the latest crash, in milliseconds.
		LastCrash int64 `json:"last_crash_ms"`
	}

	// storedBlocks is the stored object.
	storedBlocks struct {
		Blocks []storedBlock `json:"blocks"`
	}
)

const (
	// blocksKey is the key of the object that holds the blocks.
	blocksKey = "crash-blocks"
	// blockCheckInterval is the time between two looks for blocks that are not stored.
	blockCheckInterval = 200 * time.Millisecond
	// minBlockBackoff and maxBlockBackoff limit the pause after a failed call.
	minBlockBackoff = 200 * time.Millisecond
	maxBlockBackoff = 2 * time.Second
	// blockWriterCount is the number of gateways that store blocks. Some of them may be
	// cut off from the store.
	blockWriterCount = 3
)

// run reads the stored blocks, and then stores those that are missing, until ctx ends.
func (k *blockKeeper) run(ctx context.Context) {
	backoff := minBlockBackoff
	for read := false; ctx.Err() == nil; {
		var err error
		switch {
		case !read:
			err = k.read(ctx)
			read = err == nil
		case k.writes():
			err = k.storeMissing(ctx)
		}
		if err == nil {
			backoff = minBlockBackoff
			_ = clwait.Pause(ctx, blockCheckInterval)
			continue
		}
		k.logger.Warn("blocks cannot be read or stored", zap.Bool("read", read), zap.Error(err))
		// Another gateway may have written: what it wrote is kept.
		read = read && clstore.KindOf(err) != clstore.KindConflict
		_ = clwait.Pause(ctx, backoff)
		backoff = min(2*backoff, maxBlockBackoff)
	}
}

// read reads the stored blocks and gives them to the tracker.
func (k *blockKeeper) read(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeWriteTimeout)
	defer cancel()
	object, err := k.store.Get(ctx, blocksKey)
	var content storedBlocks
	switch {
	case clstore.KindOf(err) == clstore.KindNotFound:
	case err != nil:
		return errors.Wrap(err, "read the stored blocks")
	default:
		if err := json.Unmarshal(object.Value, &content); err != nil {
			// The next write replaces it.
			k.logger.Error("stored blocks cannot be decoded", zap.Error(err))
		}
	}
	k.stored, k.version = map[uint64]storedBlock{}, object.Version
	var evidence clcrash.Evidence
	now, wallNow := clclock.Now(), k.now()
	for _, b := range content.Blocks {
		k.stored[b.Trait] = b
		evidence.Blocks = append(evidence.Blocks, clcrash.Block{
			Trait: clcrash.Trait{ID: b.Trait, Depth: b.Depth}, LastCrash: now.Add(-max(0, wallNow.Sub(time.UnixMilli(b.LastCrash)))),
		})
	}
	k.tracker.Merge(evidence, now)
	return nil
}

// storeMissing writes the blocks if the stored object lacks one. Blocks that no longer
// count are left out.
func (k *blockKeeper) storeMissing(ctx context.Context) error {
	now, wallNow := clclock.Now(), k.now()
	content, missing := storedBlocks{}, false
	for _, b := range k.tracker.Blocks(now) {
		block, known := k.stored[b.ID]
		if !known {
			missing = true
			block = storedBlock{Trait: b.ID, Depth: b.Depth, LastCrash: wallNow.Add(-now.Sub(b.LastCrash)).UnixMilli()}
		}
		content.Blocks = append(content.Blocks, block)
	}
	if !missing {
		return nil
	}
	value, err := json.Marshal(content)
	if err != nil {
		return errors.Wrap(err, "encode the blocks")
	}
	ctx, cancel := context.WithTimeout(ctx, storeWriteTimeout)
	defer cancel()
	version, err := k.store.Update(ctx, blocksKey, value, k.version)
	if err != nil {
		return errors.Wrap(err, "store the blocks")
	}
	k.version, k.stored = version, map[uint64]storedBlock{}
	for _, b := range content.Blocks {
		k.stored[b.Trait] = b
	}
	k.logger.Info("blocks stored", zap.Int("blocks", len(content.Blocks)))
	return nil
}
