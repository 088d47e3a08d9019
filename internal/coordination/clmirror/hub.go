// This file implements replication between gateways: the change feed, which is the
// server that sends changes to followers, and the client that follows a reader.

package clmirror

import (
	"bufio"
	"bytes"
	"context"
	"encoding/gob"
	"io"
	"math"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/chestnutlead/chestnutlead/internal/serving/clframing"
	"github.com/go-faster/errors"
	"github.com/samber/lo"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

type (
	// Replicator runs the mirrors of a gateway. It serves their changes to other
	// gateways, and follows a reader while this gateway does not read the store
	// itself. Exported fields must be set before Run.
	Replicator struct {
		// BootID identifies this run of the process. It must not be 0, which in a
		// Position means that a follower has received nothing yet.
		BootID uint64
		// ListenAddress is the TCP address on which other gateways request changes.
		ListenAddress netip.AddrPort
		// Readers returns the ListenAddress of each gateway that this one may
		// follow, the preferred one first. If it returns none, this gateway reads
		// the store itself.
		Readers func() []netip.AddrPort
		// GatewayCount returns the number of gateways that share the store.
		GatewayCount func() int
		// ChangeDeadline is the time within which each gateway must act on a change in
		// the store; 0 means defaultChangeDeadline.
		ChangeDeadline time.Duration
		// OnStoreLostChange, if set, is called when the outcome of a store call
		// changes StoreLost. It is not called when storeLostDuration elapses.
		OnStoreLostChange func()
		// StoreEra, if set, returns the latest era that any answer of the store has stated,
		// or 0.
		StoreEra func() uint64
		// OnEra, if set, is called when this gateway learns that the store has returned from
		// an older copy. It must not block.
		OnEra  func(era uint64)
		Logger *zap.Logger

		mirrors []anyMirror
		// probe is the mirror with ProbesStore.
		probe anyMirror
		// startedAt is when Run was called.
		startedAt time.Time
		// client sends requests to readers.
		client http.Client

		mu sync.Mutex
		// changeSignal is closed on the next change of a mirror. It is nil if no
		// request has waited since the last change.
		changeSignal chan struct{}
		policy       followPolicy
		// following is the reader that positions refer to. It is zero after a
		// failed request, so that the next request states this gateway's own
		// positions.
		following netip.AddrPort
		// positions holds the positions that this gateway has reached in the
		// changes of the reader's mirrors, by mirror name.
		positions map[string]Position
		// era is the latest era of the store that a mirror has learnt of; eraKnown is set
		// with the first one.
		era      uint64
		eraKnown bool
		// eraLearnedAt is when the store was found to have returned, and eraDelay how long
		// it took from then until all copies were of the era, once eraReached is set.
		eraLearnedAt time.Time
		eraDelay     time.Duration
		eraReached   bool
		// holding is set while mirrors hold what was known before the store returned, at
		// least until holdUntil; holdTotal counts what has become of it.
		holding   bool
		holdUntil time.Time
		holdTotal holdCounts
	}

	// feedRequest asks a reader for the changes after Positions, which are keyed
	// by mirror name. If there are no changes, the reader holds the request until
	// there are some, but at most for Wait or feedHoldDuration, whichever is less.
	feedRequest struct {
		Positions map[string]Position
		Wait      time.Duration
	}

	// feedAnswer is the response to a feedRequest.
	feedAnswer struct {
		// Changes holds the encoded deltas of the mirrors that have changes, by
		// mirror name.
		Changes map[string][]byte
		// Age is the time between this response and the time at which the reader's
		// copies were last known to be current, or neverCurrent.
		Age time.Duration
		// HoldLeft is for how long the reader still holds what was known before the store
		// returned from an older copy.
		HoldLeft time.Duration
	}
)

const (
	// neverCurrent is the age of copies that have not been complete yet.
	neverCurrent time.Duration = math.MaxInt64
	// feedHoldDuration is how long a reader holds a request when there are no
	// changes. A follower's copy is up to this much older than its reader's.
	feedHoldDuration = 300 * time.Millisecond
	// feedTimeoutMargin is the time that a request may take beyond
	// feedHoldDuration. It also limits connecting to the reader, and receiving a
	// follower's request.
	feedTimeoutMargin = 300 * time.Millisecond
	// feedWriteTimeout limits holding and answering a request; a follower has left
	// long before. feedIdleTimeout is longer than the pauses of a follower.
	feedWriteTimeout = 3 * time.Second
	feedIdleTimeout  = 5 * time.Second
	// feedHeaderBytes limits the header of a request, so that connections can't fill the
	// memory. Requests of followers have some hundred bytes; the default of net/http is
	// 1 MiB.
	feedHeaderBytes = 8 << 10
	// maxFeedBytes limits the size of an encoded feedAnswer, and maxRequestBytes that of a
	// feedRequest, which has some hundred bytes.
	maxFeedBytes    = 16 << 20
	maxRequestBytes = 64 << 10
)

// Add registers a mirror. It must be called before Run.
func Add[T any](r *Replicator, m *Mirror[T]) {
	m.attach(r)
	r.mirrors = append(r.mirrors, m)
	if m.ProbesStore {
		r.probe = m
	}
}

// Run keeps the mirrors up to date and serves followers until ctx ends. If it
// cannot listen on ListenAddress, it returns an error at once. If the change feed
// fails later, Run returns the error of the change feed only when ctx ends.
func (r *Replicator) Run(ctx context.Context) error {
	listener, err := net.Listen("tcp", r.ListenAddress.String())
	if err != nil {
		return errors.Wrap(err, "listen for change requests of other gateways; set the peer address of the gateway to a free TCP port")
	}
	r.mu.Lock()
	r.startedAt = clclock.Now()
	r.policy.changeDeadline = r.ChangeDeadline
	if r.policy.changeDeadline <= 0 {
		r.policy.changeDeadline = defaultChangeDeadline
	}
	r.mu.Unlock()
	r.client.Transport = &http.Transport{
		DialContext: clframing.Dial((&net.Dialer{Timeout: feedTimeoutMargin}).DialContext), DisableCompression: true, MaxIdleConnsPerHost: 1,
	}
	server := &http.Server{
		Handler: http.HandlerFunc(r.handleFeed), ReadTimeout: feedTimeoutMargin, WriteTimeout: feedWriteTimeout, IdleTimeout: feedIdleTimeout,
		MaxHeaderBytes: feedHeaderBytes,
	}
	var g errgroup.Group
	for _, m := range r.mirrors {
		g.Go(func() error { m.run(ctx); return nil })
	}
	g.Go(func() error { r.followReaders(ctx); return nil })
	g.Go(func() error { r.holdLoop(ctx); return nil })
	g.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "change feed server stopped")
		}
		return nil
	})
	<-ctx.Done()
	err = server.Close()
	if groupErr := g.Wait(); groupErr != nil {
		return groupErr
	}
	return err
}

// recentlyConfirmed reports whether the copy of the mirror with ProbesStore is not
// stale.
func (r *Replicator) recentlyConfirmed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return clclock.Now().Sub(r.probe.LastConfirmed()) < r.policy.staleAge()
}

// lastCurrent returns the latest time as of which the copies of all mirrors are known
// to hold all changes of the store, or zero while a mirror has no such copy.
func (r *Replicator) lastCurrent() time.Time {
	probed := r.probe.LastConfirmed()
	current := probed
	for _, m := range r.mirrors {
		if at := m.currentAsOf(probed); at.Before(current) {
			current = at
		}
	}
	return current
}

// UsableFor returns for how long the copies may still be used; the result is not
// positive if they may lack changes that must be in force by now. limited is false if
// there is no such limit, because the store is lost.
func (r *Replicator) UsableFor() (d time.Duration, limited bool) {
	current := r.lastCurrent()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.policy.usableFor(lo.Latest(current, r.startedAt), clclock.Now())
}

// StoreLost reports whether the store is lost to this gateway: the last store call
// of the mirror with ProbesStore failed, less than storeLostDuration ago.
func (r *Replicator) StoreLost() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.policy.storeLost(clclock.Now())
}

// recordStoreCall records the start of a store call of the mirror with ProbesStore.
// The function that it returns records the end, and whether the store served the call.
func (r *Replicator) recordStoreCall() func(served bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.beginStoreCall(clclock.Now())
	return r.endStoreCall
}

func (r *Replicator) endStoreCall(served bool) {
	r.mu.Lock()
	now := clclock.Now()
	wasLost := r.policy.storeLost(now)
	r.policy.endStoreCall(served, now)
	r.mu.Unlock()
	if wasLost == served && r.OnStoreLostChange != nil {
		r.OnStoreLostChange()
	}
}

// RestartStoreCalls cancels the store calls in progress of all mirrors. Those
// mirrors that are to read the store then call it again.
func (r *Replicator) RestartStoreCalls() {
	for _, m := range r.mirrors {
		m.RestartStoreCall()
	}
}

// readsStore reports whether this gateway reads the store (see followPolicy.readsStore).
func (r *Replicator) readsStore() bool {
	readers, gateways, current := len(r.Readers()), r.GatewayCount(), r.lastCurrent()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.policy.readsStore(readers, gateways, lo.Latest(current, r.startedAt), clclock.Now())
}

// changePause returns the pause after a store call that returned changes.
func (r *Replicator) changePause() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return max(minWatchPause, time.Duration(pauseFraction*float64(r.policy.changeDeadline)))
}

// settleTimeLeft returns how long the gateway is still to wait with its watches after
// its start.
func (r *Replicator) settleTimeLeft() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return startSettleTime - clclock.Now().Sub(r.startedAt)
}

// notifyFollowers signals a change to the requests of followers that the server
// holds.
func (r *Replicator) notifyFollowers() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changeSignal != nil {
		close(r.changeSignal)
		r.changeSignal = nil
	}
}

// nextChange returns a channel that is closed on the next change of any mirror.
func (r *Replicator) nextChange() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changeSignal == nil {
		r.changeSignal = make(chan struct{})
	}
	return r.changeSignal
}

// followReaders requests changes from the selected reader again and again until
// ctx ends. It pauses while there is no reader to follow.
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

// selectReader returns the reader to follow, or false if there is none.
func (r *Replicator) selectReader() (netip.AddrPort, bool) {
	readers := r.Readers()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.policy.selectReader(readers, clclock.Now())
}

// avoidReader makes this gateway prefer other readers after a request to reader
// failed with err.
func (r *Replicator) avoidReader(reader netip.AddrPort, err error) {
	now := clclock.Now()
	age := zap.Bool("copy_confirmed", false)
	if current := r.lastCurrent(); !current.IsZero() {
		age = zap.Duration("copy_age", now.Sub(current))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy.avoid(reader, now)
	r.following = netip.AddrPort{}
	r.Logger.Info("reader lost", zap.Stringer("reader", reader), age, zap.String("error", err.Error()))
}

// fetchChanges requests changes from reader once, applies them, and confirms this
// gateway's copy as of the time at which the reader's copy was confirmed. It
// returns an error if the request fails, the reader's copy is stale, or a delta
// cannot be decoded. If the reader's copy of some objects is older than this
// gateway's, it pauses and returns nil without confirming the copy.
func (r *Replicator) fetchChanges(ctx context.Context, reader netip.AddrPort) error {
	r.mu.Lock()
	if r.following != reader {
		r.following, r.positions = reader, make(map[string]Position)
		r.Logger.Info("following", zap.Stringer("reader", reader))
	}
	request := feedRequest{Wait: feedHoldDuration, Positions: make(map[string]Position)}
	for _, m := range r.mirrors {
		position, ok := r.positions[m.name()]
		if !ok {
			position = m.position()
		}
		request.Positions[m.name()] = position
	}
	staleAge := r.policy.staleAge()
	r.mu.Unlock()
	sentAt := clclock.Now()
	answer, err := r.requestChanges(ctx, reader, request)
	if err != nil {
		return err
	}
	if answer.Age == neverCurrent {
		return errors.New("reader is stale: its copies have not been confirmed since its start")
	}
	if answer.Age > staleAge {
		return errors.Errorf("reader is stale: its copy was last confirmed %s ago", answer.Age)
	}
	r.adoptHold(answer.HoldLeft)
	for _, m := range r.mirrors {
		encodedDelta, ok := answer.Changes[m.name()]
		if !ok {
			continue
		}
		position, err := m.applyDelta(encodedDelta)
		if errors.Is(err, errReaderBehind) {
			// The reader has not yet read changes that this gateway read from
			// the store itself. The next request may succeed; until then this
			// copy is not confirmed.
			pause(ctx, roleCheckInterval)
			return nil
		}
		if err != nil {
			return err
		}
		r.mu.Lock()
		r.positions[m.name()] = position
		r.mu.Unlock()
	}
	for _, m := range r.mirrors {
		m.Confirm(sentAt.Add(-answer.Age))
	}
	return nil
}

// requestChanges sends request to a reader and returns its response.
func (r *Replicator) requestChanges(ctx context.Context, reader netip.AddrPort, request feedRequest) (feedAnswer, error) {
	var body bytes.Buffer
	var answer feedAnswer
	if err := gob.NewEncoder(&body).Encode(request); err != nil {
		return answer, errors.Wrap(err, "encode positions")
	}
	ctx, cancel := context.WithTimeout(ctx, feedHoldDuration+feedTimeoutMargin)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+reader.String()+"/feed", &body)
	if err != nil {
		return answer, err
	}
	httpResponse, err := r.client.Do(httpRequest)
	if err != nil {
		return answer, err
	}
	defer httpResponse.Body.Close()
	if httpResponse.StatusCode != http.StatusOK {
		return answer, errors.Errorf("reader responded with HTTP status %d", httpResponse.StatusCode)
	}
	response := bufio.NewReader(io.LimitReader(httpResponse.Body, maxFeedBytes))
	if err := gob.NewDecoder(response).Decode(&answer); err != nil {
		return answer, errors.Wrap(err, "decode the response of the reader")
	}
	if n, err := io.Copy(io.Discard, response); n > 0 || err != nil {
		return answer, errors.Errorf("response of the reader does not end behind its value: %v", err)
	}
	return answer, nil
}

// checkMessages returns an error if a gob message is longer than the rest of the body. The
// decoder would allocate the length that the message announces, up to 10 MiB.
func checkMessages(body []byte) error {
	for len(body) > 0 {
		// A length below 128 is one byte; a longer one is the negated number of its bytes,
		// and the bytes in big-endian order.
		length, size := uint64(body[0]), 1
		if length >= 128 {
			size -= int(int8(body[0]))
			if size > len(body) || size > 9 {
				return errors.New("length of a message is not whole")
			}
			length = 0
			for _, b := range body[1:size] {
				length = length<<8 | uint64(b)
			}
		}
		if length > uint64(len(body)-size) {
			return errors.Errorf("message of %d bytes is not whole", length)
		}
		body = body[size+int(length):]
	}
	return nil
}

// handleFeed serves a follower's request for changes. It holds the request until
// there are changes or the request's Wait, at most feedHoldDuration, has passed.
func (r *Replicator) handleFeed(w http.ResponseWriter, httpRequest *http.Request) {
	var request feedRequest
	body, err := io.ReadAll(io.LimitReader(httpRequest.Body, maxRequestBytes))
	if err == nil {
		err = checkMessages(body)
	}
	if err == nil {
		err = gob.NewDecoder(bytes.NewReader(body)).Decode(&request)
	}
	if err != nil {
		http.Error(w, "request body is not a valid list of mirror positions", http.StatusBadRequest)
		return
	}
	holdTimer := time.NewTimer(min(request.Wait, feedHoldDuration))
	defer holdTimer.Stop()
	for waiting := true; ; {
		changed := r.nextChange()
		answer, err := r.collectChanges(request)
		if err != nil {
			r.Logger.Error("cannot encode changes for a follower", zap.Error(err))
			http.Error(w, "cannot encode changes", http.StatusInternalServerError)
			return
		}
		if len(answer.Changes) > 0 || !waiting {
			if err := gob.NewEncoder(w).Encode(answer); err != nil {
				r.Logger.Debug("cannot write changes to a follower", zap.Error(err))
			}
			return
		}
		select {
		case <-changed:
		case <-holdTimer.C:
			waiting = false
		case <-httpRequest.Context().Done():
			return
		}
	}
}

// collectChanges returns the deltas that a follower at the positions of request
// lacks, and the age of this gateway's copy.
func (r *Replicator) collectChanges(request feedRequest) (feedAnswer, error) {
	answer := feedAnswer{Changes: make(map[string][]byte), Age: neverCurrent, HoldLeft: r.holdLeft()}
	if current := r.lastCurrent(); !current.IsZero() {
		answer.Age = clclock.Now().Sub(current)
	}
	for _, m := range r.mirrors {
		encodedDelta, err := m.changesSince(request.Positions[m.name()])
		if err != nil {
			return answer, err
		}
		if encodedDelta != nil {
			answer.Changes[m.name()] = encodedDelta
		}
	}
	return answer, nil
}
