// This file implements replication between gateways: the server that feeds followers and the client that follows a reader.

package clmirror

import (
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/go-faster/errors"
	"github.com/samber/lo"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

type (
	// Replicator runs the mirrors of a gateway. It serves their changes to other
	// gateways, and follows a reader while this gateway does not read
	// the store itself. Exported fields must be set before Run.
	Replicator struct {
		// BootID identifies this run of the process; never 0.
		BootID uint64
		// ListenAddress is the TCP address on which other gateways request changes.
		ListenAddress netip.AddrPort
		// Readers returns the gateways that this one may follow, the preferred
		// one first. If it returns none, this gateway reads the store itself.
		Readers func() []netip.AddrPort
		// GatewayCount returns the number of gateways that share the store.
		GatewayCount func() int
		// LastConfirmed and Confirm are the methods of the mirror with ProbesStore,
		// whose age stands for that of all copies.
		LastConfirmed func() time.Time
		Confirm       func(time.Time)
		// OnStoreLostChange, if set, is called when a store call shows that the
		// store has stopped or begun to serve this gateway.
		OnStoreLostChange func()
		Logger            *zap.Logger

		mirrors []anyMirror
		client  http.Client

		mu sync.Mutex
		// changeSignal is closed on the next change; nil while nobody waits.
		changeSignal chan struct{}
		// readStoreUntil is the time until which this gateway reads the store
		// because no reader was usable.
		readStoreUntil time.Time
		// storeLostUntil is the time until which the store counts as not serving
		// this gateway.
		storeLostUntil time.Time
		// following is the reader that positions refer to.
		following netip.AddrPort
		// avoidUntil is the time until which a reader that failed is not asked.
		avoidUntil map[netip.AddrPort]time.Time
		// positions holds the position reached in each of the reader's mirrors.
		positions map[string]Position
	}

	// feedRequest asks for the changes after the given positions, by mirror
	// name. Without changes the reader holds the request for Wait.
	feedRequest struct {
		Positions map[string]Position
		Wait      time.Duration
	}

	// feedAnswer holds the encoded deltas of the mirrors that have changes, by name.
	feedAnswer struct {
		Changes map[string][]byte
		// Age is the time between the last confirmation of the reader's copy and
		// this response.
		Age time.Duration
	}
)

const (
	// feedHold is how long a reader holds a request when there are no changes;
	// following a reader makes a copy older by up to this time.
	feedHold = 300 * time.Millisecond
	// feedTimeoutMargin is the time that a request may take beyond feedHold.
	feedTimeoutMargin = 300 * time.Millisecond
	// staleAge is the age above which a reader's copy counts as cut off from the
	// store. It is longer than the delay that a slow store and a waiting watch
	// cause, and short enough that a follower that falls back to the store still
	// learns of a change in time.
	staleAge = 1100 * time.Millisecond
	// storeLostDuration is how long the store counts as lost after a failed call
	// if no other call follows.
	storeLostDuration = 10 * time.Second
	// avoidDuration is how long a reader is not asked after a failure.
	avoidDuration = 2 * time.Second
	// maxTriedReaders is the number of readers to ask before reading the store.
	maxTriedReaders = 3
	// readStoreDuration is how long a gateway without a usable reader reads the store.
	readStoreDuration = 3 * time.Second
	// storeProbers is the expected number of gateways that read the store at a
	// time when all gateways fail to follow a reader. Some must, as the store may
	// have turned only the readers away; all must not, as every call fails if the
	// store is down.
	storeProbers = 6
	// maxFeedBytes limits the size of a request and of a response.
	maxFeedBytes = 16 << 20
)

// Add registers a mirror. It must be called before Run.
func Add[T any](r *Replicator, m *Mirror[T]) {
	m.attach(r)
	r.mirrors = append(r.mirrors, m)
}

// Run keeps the mirrors up to date and serves followers until ctx ends.
func (r *Replicator) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", r.ListenAddress.String())
	if err != nil {
		return errors.Wrap(err, "listen for change requests of other gateways; set the address to a free port")
	}
	r.client.Transport = &http.Transport{
		DialContext: (&net.Dialer{Timeout: feedTimeoutMargin}).DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1,
	}
	srv := &http.Server{Handler: http.HandlerFunc(r.handleFeed), ReadHeaderTimeout: feedTimeoutMargin}
	var g errgroup.Group
	for _, m := range r.mirrors {
		g.Go(func() error { m.run(ctx); return nil })
	}
	g.Go(func() error { r.followReaders(ctx); return nil })
	g.Go(func() error {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "change feed server stopped")
		}
		return nil
	})
	<-ctx.Done()
	err = srv.Close()
	if gerr := g.Wait(); gerr != nil {
		return gerr
	}
	return err
}

// recentlyConfirmed reports whether the copy was confirmed less than staleAge ago.
func (r *Replicator) recentlyConfirmed() bool { return clclock.Now().Sub(r.LastConfirmed()) < staleAge }

// StoreLost reports whether the store does not serve this gateway, judged by the
// last call of the mirror with ProbesStore.
func (r *Replicator) StoreLost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return clclock.Now().Before(r.storeLostUntil)
}

// recordStoreCall records whether the store served a call of the mirror with
// ProbesStore.
func (r *Replicator) recordStoreCall(served bool) {
	r.mu.Lock()
	now := clclock.Now()
	wasLost := now.Before(r.storeLostUntil)
	r.storeLostUntil = time.Time{}
	if !served {
		r.storeLostUntil = now.Add(storeLostDuration)
	}
	r.mu.Unlock()
	if wasLost == served && r.OnStoreLostChange != nil {
		r.OnStoreLostChange()
	}
}

// RestartStoreCalls cancels the store calls in progress of all mirrors, which then
// call again.
func (r *Replicator) RestartStoreCalls() {
	for _, m := range r.mirrors {
		m.RestartWatch()
	}
}

// readsStore reports whether this gateway reads the store.
func (r *Replicator) readsStore() bool {
	if len(r.Readers()) == 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return clclock.Now().Before(r.readStoreUntil)
}

// notifyFollowers wakes the requests of followers that wait for a change.
func (r *Replicator) notifyFollowers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changeSignal != nil {
		close(r.changeSignal)
		r.changeSignal = nil
	}
}

// nextChange returns a channel that is closed on the next change.
func (r *Replicator) nextChange() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changeSignal == nil {
		r.changeSignal = make(chan struct{})
	}
	return r.changeSignal
}

// followReaders follows a reader, as long as there is one to follow, until ctx ends.
func (r *Replicator) followReaders(ctx context.Context) {
	for ctx.Err() == nil {
		reader, ok := r.selectReader()
		if !ok {
			pause(ctx, roleCheckInterval)
			continue
		}
		if err := r.fetchChanges(ctx, reader); err != nil && ctx.Err() == nil {
			r.avoidReader(reader, err)
			pause(ctx, roleCheckInterval)
		}
	}
}

// selectReader returns the reader to follow, or false while this gateway reads
// the store. If all readers are to be avoided, it returns the preferred one.
func (r *Replicator) selectReader() (netip.AddrPort, bool) {
	readers := r.Readers()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clclock.Now()
	if len(readers) == 0 || now.Before(r.readStoreUntil) {
		return netip.AddrPort{}, false
	}
	if addr, ok := r.firstAvailable(readers, now); ok {
		return addr, true
	}
	return readers[0], true
}

// firstAvailable returns the first of the maxTriedReaders preferred readers that
// is not to be avoided. The caller holds mu.
func (r *Replicator) firstAvailable(readers []netip.AddrPort, now time.Time) (netip.AddrPort, bool) {
	return lo.Find(readers[:min(len(readers), maxTriedReaders)], func(addr netip.AddrPort) bool { return !now.Before(r.avoidUntil[addr]) })
}

// avoidReader makes the gateway ask another reader next time. If none is left,
// the gateway that ranks next to the reader reads the store, and of the others
// a random few, because the store may be down for all.
func (r *Replicator) avoidReader(reader netip.AddrPort, err error) {
	readers := r.Readers()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := clclock.Now()
	if r.avoidUntil == nil {
		r.avoidUntil = make(map[netip.AddrPort]time.Time)
	}
	r.avoidUntil[reader] = now.Add(avoidDuration)
	r.following = netip.AddrPort{}
	_, available := r.firstAvailable(readers, now)
	readStore := !available && (len(readers) <= 1 || rand.IntN(max(1, r.GatewayCount())) < storeProbers)
	if readStore {
		r.readStoreUntil = now.Add(readStoreDuration)
	}
	r.Logger.Info("reader lost", zap.Stringer("reader", reader), zap.Bool("reads_the_store", readStore), zap.Error(err))
}

// fetchChanges requests changes from a reader once and applies them.
func (r *Replicator) fetchChanges(ctx context.Context, reader netip.AddrPort) error {
	r.mu.Lock()
	if r.following != reader {
		r.following, r.positions = reader, make(map[string]Position)
		r.Logger.Info("following", zap.Stringer("reader", reader))
	}
	in := feedRequest{Wait: feedHold, Positions: make(map[string]Position)}
	for _, m := range r.mirrors {
		in.Positions[m.name()] = r.positions[m.name()]
	}
	r.mu.Unlock()
	sent := clclock.Now()
	out, err := r.requestChanges(ctx, reader, in)
	if err != nil {
		return err
	}
	if out.Age > staleAge {
		return errors.Errorf("reader is stale: its copy was last confirmed %s ago", out.Age)
	}
	for _, m := range r.mirrors {
		data, ok := out.Changes[m.name()]
		if !ok {
			continue
		}
		p, err := m.applyDelta(data)
		if errors.Is(err, errReaderBehind) {
			// The reader has not yet read changes that this copy already has.
			pause(ctx, roleCheckInterval)
			return nil
		}
		if err != nil {
			return err
		}
		r.mu.Lock()
		r.positions[m.name()] = p
		r.mu.Unlock()
	}
	r.Confirm(sent.Add(-out.Age))
	return nil
}

// requestChanges sends a request to a reader's change feed.
func (r *Replicator) requestChanges(ctx context.Context, reader netip.AddrPort, in feedRequest) (feedAnswer, error) {
	var body bytes.Buffer
	var out feedAnswer
	if err := gob.NewEncoder(&body).Encode(in); err != nil {
		return out, errors.Wrap(err, "encode positions")
	}
	ctx, cancel := context.WithTimeout(ctx, feedHold+feedTimeoutMargin)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+reader.String()+"/feed", &body)
	if err != nil {
		return out, err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return out, errors.Errorf("reader responded with HTTP status %d", resp.StatusCode)
	}
	if err := gob.NewDecoder(io.LimitReader(resp.Body, maxFeedBytes)).Decode(&out); err != nil {
		return out, errors.Wrap(err, "decode the response of the reader")
	}
	return out, nil
}

// handleFeed serves a follower's request for changes by long polling.
func (r *Replicator) handleFeed(w http.ResponseWriter, req *http.Request) {
	var in feedRequest
	if err := gob.NewDecoder(io.LimitReader(req.Body, maxFeedBytes)).Decode(&in); err != nil {
		http.Error(w, "request body is not a valid list of mirror positions", http.StatusBadRequest)
		return
	}
	t := time.NewTimer(min(in.Wait, feedHold))
	defer t.Stop()
	for waiting := true; ; {
		changed := r.nextChange()
		out, err := r.collectChanges(in)
		if err != nil {
			r.Logger.Error("cannot encode changes for a follower", zap.Error(err))
			http.Error(w, "cannot encode changes", http.StatusInternalServerError)
			return
		}
		if len(out.Changes) > 0 || !waiting {
			if err := gob.NewEncoder(w).Encode(out); err != nil {
				r.Logger.Debug("cannot write changes to a follower", zap.Error(err))
			}
			return
		}
		select {
		case <-changed:
		case <-t.C:
			waiting = false
		case <-req.Context().Done():
			return
		}
	}
}

// collectChanges returns what the follower lacks of each mirror.
func (r *Replicator) collectChanges(in feedRequest) (feedAnswer, error) {
	out := feedAnswer{Changes: make(map[string][]byte), Age: clclock.Now().Sub(r.LastConfirmed())}
	for _, m := range r.mirrors {
		data, err := m.changesSince(in.Positions[m.name()])
		if err != nil {
			return out, err
		}
		if data != nil {
			out.Changes[m.name()] = data
		}
	}
	return out, nil
}
