// This file defines which gateways read the store, and how the others follow them.

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
	// Replicator runs mirrors, feeds other gateways from them, and follows a reader
	// while this gateway is none. Exported fields are set before Run.
	Replicator struct {
		// BootID names this start of the process and is never 0.
		BootID uint64
		// ListenAddress is where other gateways ask for changes.
		ListenAddress netip.AddrPort
		// Readers returns the gateways that this one may follow, the best
		// first; none means that it reads the store itself.
		Readers func() []netip.AddrPort
		// GatewayCount returns the number of gateways that share the store.
		GatewayCount func() int
		// LastConfirmed and Confirm are those of the mirror whose age counts.
		LastConfirmed func() time.Time
		Confirm       func(time.Time)
		// OnStoreLostChange, if set, is called when the store has stopped or begun to
		// serve this gateway.
		OnStoreLostChange func()
		Logger            *zap.Logger

		mirrors []mirror
		client  http.Client

		mu      sync.Mutex
		changed chan struct{}
		// readUntil is until when this gateway reads the store because no
		// reader was of use.
		readUntil time.Time
		// lostUntil is until when the store is taken not to serve this gateway.
		lostUntil time.Time
		following netip.AddrPort
		shunned   map[netip.AddrPort]time.Time
		positions map[string]Position
	}

	// feedRequest asks for changes after positions, or says after the wait
	// that there are none.
	feedRequest struct {
		Positions map[string]Position
		Wait      time.Duration
	}

	// feedAnswer has the changes of each kind that has some.
	feedAnswer struct {
		Changes map[string][]byte
		// Age is how long before the answer the reader's copy was confirmed.
		Age time.Duration
	}
)

const (
	// feedWait is how long a reader holds a question without news, and so
	// the age that following adds.
	feedWait = 300 * time.Millisecond
	// feedSlack is the time that a question may take beyond that.
	feedSlack = 300 * time.Millisecond
	// staleAge is the age from which a reader counts as cut off from the store:
	// above what a slow store and a waiting watch cause, and so small that a
	// follower that turns to the store still learns of a change in time.
	staleAge = 1100 * time.Millisecond
	// lostFor is how long after a failed call a gateway counts as not served
	// by the store if it does not call again.
	lostFor = 10 * time.Second
	// shunFor is how long a reader that was of no use is not asked.
	shunFor = 2 * time.Second
	// triedReaders is the number of readers that are asked before the store is.
	triedReaders = 3
	// readFor is how long a gateway without a useful reader reads the store.
	readFor = 3 * time.Second
	// storeProbers is how many of the gateways that find all readers stale
	// look for themselves at a time: the store may have turned only the
	// readers away, or be down, when each call is in vain.
	storeProbers = 6
	// maxFeedBytes bounds an answer.
	maxFeedBytes = 16 << 20
)

// Add adds a mirror before Run.
func Add[T any](h *Replicator, m *Mirror[T]) {
	m.attach(h)
	h.mirrors = append(h.mirrors, m)
}

// Run reads or follows until ctx ends.
func (h *Replicator) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", h.ListenAddress.String())
	if err != nil {
		return errors.Wrap(err, "set the address for other gateways to a free port")
	}
	h.client.Transport = &http.Transport{
		DialContext: (&net.Dialer{Timeout: feedSlack}).DialContext, DisableCompression: true, MaxIdleConnsPerHost: 1,
	}
	srv := &http.Server{Handler: http.HandlerFunc(h.serve), ReadHeaderTimeout: feedSlack}
	var g errgroup.Group
	for _, m := range h.mirrors {
		g.Go(func() error { m.run(ctx); return nil })
	}
	g.Go(func() error { h.loop(ctx); return nil })
	g.Go(func() error {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "the server for other gateways stopped")
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

// confirmedLately reports whether the store has just answered.
func (h *Replicator) confirmedLately() bool { return clclock.Now().Sub(h.LastConfirmed()) < staleAge }

// StoreLost reports whether the store does not serve this gateway.
func (h *Replicator) StoreLost() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return clclock.Now().Before(h.lostUntil)
}

// noteStore records whether the store has served a call of the leading mirror.
func (h *Replicator) noteStore(served bool) {
	h.mu.Lock()
	now := clclock.Now()
	wasLost := now.Before(h.lostUntil)
	h.lostUntil = time.Time{}
	if !served {
		h.lostUntil = now.Add(lostFor)
	}
	h.mu.Unlock()
	if wasLost == served && h.OnStoreLostChange != nil {
		h.OnStoreLostChange()
	}
}

// RestartStoreCalls makes all waiting watches begin anew.
func (h *Replicator) RestartStoreCalls() {
	for _, m := range h.mirrors {
		m.Renew()
	}
}

// reads reports whether this gateway reads the store.
func (h *Replicator) reads() bool {
	if len(h.Readers()) == 0 {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return clclock.Now().Before(h.readUntil)
}

// notify wakes the followers that wait for a change.
func (h *Replicator) notify() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
}

// news returns a channel that is closed with the next change.
func (h *Replicator) news() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}

// loop follows a reader while there is one.
func (h *Replicator) loop(ctx context.Context) {
	for ctx.Err() == nil {
		reader, ok := h.reader()
		if !ok {
			pause(ctx, roleCheck)
			continue
		}
		if err := h.follow(ctx, reader); err != nil && ctx.Err() == nil {
			h.shun(reader, err)
			pause(ctx, roleCheck)
		}
	}
}

// reader returns the gateway to follow.
func (h *Replicator) reader() (netip.AddrPort, bool) {
	readers := h.Readers()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clclock.Now()
	if len(readers) == 0 || now.Before(h.readUntil) {
		return netip.AddrPort{}, false
	}
	if r, ok := h.useful(readers, now); ok {
		return r, true
	}
	return readers[0], true
}

// useful returns the first reader that is not shunned; the caller holds mu.
func (h *Replicator) useful(readers []netip.AddrPort, now time.Time) (netip.AddrPort, bool) {
	return lo.Find(readers[:min(len(readers), triedReaders)], func(r netip.AddrPort) bool { return !now.Before(h.shunned[r]) })
}

// shun asks another reader next time, or the store if none is left. The
// gateway that ranks next to the reader always asks the store, and of the
// others a few, because the store may be down for all.
func (h *Replicator) shun(reader netip.AddrPort, err error) {
	readers := h.Readers()
	h.mu.Lock()
	defer h.mu.Unlock()
	now := clclock.Now()
	if h.shunned == nil {
		h.shunned = make(map[netip.AddrPort]time.Time)
	}
	h.shunned[reader] = now.Add(shunFor)
	h.following = netip.AddrPort{}
	_, left := h.useful(readers, now)
	direct := !left && (len(readers) <= 1 || rand.IntN(max(1, h.GatewayCount())) < storeProbers)
	if direct {
		h.readUntil = now.Add(readFor)
	}
	h.Logger.Info("reader lost", zap.Stringer("reader", reader), zap.Bool("reads_the_store", direct), zap.Error(err))
}

// follow asks a reader once for changes.
func (h *Replicator) follow(ctx context.Context, reader netip.AddrPort) error {
	h.mu.Lock()
	if h.following != reader {
		h.following, h.positions = reader, make(map[string]Position)
		h.Logger.Info("following", zap.Stringer("reader", reader))
	}
	in := feedRequest{Wait: feedWait, Positions: make(map[string]Position)}
	for _, m := range h.mirrors {
		in.Positions[m.name()] = h.positions[m.name()]
	}
	h.mu.Unlock()
	sent := clclock.Now()
	out, err := h.ask(ctx, reader, in)
	if err != nil {
		return err
	}
	if out.Age > staleAge {
		return errors.Errorf("the reader has not reached the store for %s", out.Age)
	}
	for _, m := range h.mirrors {
		data, ok := out.Changes[m.name()]
		if !ok {
			continue
		}
		p, err := m.take(data)
		if errors.Is(err, errBehind) {
			// The reader has yet to read what this copy began with.
			pause(ctx, roleCheck)
			return nil
		}
		if err != nil {
			return err
		}
		h.mu.Lock()
		h.positions[m.name()] = p
		h.mu.Unlock()
	}
	h.Confirm(sent.Add(-out.Age))
	return nil
}

func (h *Replicator) ask(ctx context.Context, reader netip.AddrPort, in feedRequest) (feedAnswer, error) {
	var body bytes.Buffer
	var out feedAnswer
	if err := gob.NewEncoder(&body).Encode(in); err != nil {
		return out, errors.Wrap(err, "encode positions")
	}
	ctx, cancel := context.WithTimeout(ctx, feedWait+feedSlack)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+reader.String()+"/feed", &body)
	if err != nil {
		return out, err
	}
	resp, err := h.client.Do(req)
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return out, errors.Errorf("the reader answered %d", resp.StatusCode)
	}
	if err := gob.NewDecoder(io.LimitReader(resp.Body, maxFeedBytes)).Decode(&out); err != nil {
		return out, errors.Wrap(err, "decode the reader's answer")
	}
	return out, nil
}

// serve answers a follower.
func (h *Replicator) serve(w http.ResponseWriter, r *http.Request) {
	var in feedRequest
	if err := gob.NewDecoder(io.LimitReader(r.Body, maxFeedBytes)).Decode(&in); err != nil {
		http.Error(w, "send positions of kinds", http.StatusBadRequest)
		return
	}
	t := time.NewTimer(min(in.Wait, feedWait))
	defer t.Stop()
	for waiting := true; ; {
		news := h.news()
		out, err := h.answer(in)
		if err != nil {
			h.Logger.Error("changes cannot be sent", zap.Error(err))
			http.Error(w, "changes cannot be encoded", http.StatusInternalServerError)
			return
		}
		if len(out.Changes) > 0 || !waiting {
			if err := gob.NewEncoder(w).Encode(out); err != nil {
				h.Logger.Debug("follower left", zap.Error(err))
			}
			return
		}
		select {
		case <-news:
		case <-t.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (h *Replicator) answer(in feedRequest) (feedAnswer, error) {
	out := feedAnswer{Changes: make(map[string][]byte), Age: clclock.Now().Sub(h.LastConfirmed())}
	for _, m := range h.mirrors {
		data, err := m.since(in.Positions[m.name()])
		if err != nil {
			return out, err
		}
		if data != nil {
			out.Changes[m.name()] = data
		}
	}
	return out, nil
}
