// This file implements sending and receiving digests.

package clgossip

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/clwait"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

// Exchange sends and receives digests. Exported fields must be set before Run.
type Exchange struct {
	Self clcatalog.Member
	// Gateways returns the registered gateways. It may or may not include this one.
	Gateways func() []clcatalog.Member
	// FillDigest adds the counts and observations of this process to a digest.
	FillDigest func(*Digest)
	// OnDigest is called with each digest that is newer than the last one of its
	// sender.
	OnDigest func(*Digest)
	Clock    *clclock.MedianClock
	Logger   *zap.Logger

	mu         sync.Mutex
	peerStates map[string]peerState
	sequence   uint64
	leaving    bool
	conn       *net.UDPConn
	// lastDigestTime is the time at which a digest of any gateway last arrived.
	lastDigestTime time.Time
	sendFailing    bool
}

// peerState holds what the newest digest of another gateway said about it.
type peerState struct {
	boot, sequence uint64
	receivedAt     time.Time
	leaving        bool
	storeLost      bool
}

const (
	// minInterval is the shortest interval between digests. The gateways' shares of
	// a quota are computed from digests and are thus about a fifth of a second old.
	minInterval = 200 * time.Millisecond
	// maxDatagramsPerSecond limits the datagrams that a gateway receives. The
	// interval grows with the number of gateways, so that the cost for each
	// gateway stays the same.
	maxDatagramsPerSecond = 60
	// maxDatagramBytes is the largest UDP payload.
	maxDatagramBytes = 65507
	// PeerTimeout is how long a gateway counts as running after its last digest.
	PeerTimeout = 3 * time.Second
)

// DigestInterval returns the average time between two digests of a gateway, given
// the number of gateways.
func DigestInterval(gateways int) time.Duration {
	return max(minInterval, time.Duration(gateways)*time.Second/maxDatagramsPerSecond)
}

// Run exchanges digests until ctx ends, and then tells the other gateways that
// this process is leaving.
func (e *Exchange) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(e.Self.Address))
	if err != nil {
		return errors.Wrap(err, "listen for digests; set the peer address of the gateway to a free UDP port")
	}
	e.conn = conn
	done := make(chan struct{})
	go e.receiveLoop(done)
	e.sendLoop(ctx)
	e.Leave()
	err = conn.Close()
	<-done
	return err
}

// Leave tells the other gateways that this process is about to end.
func (e *Exchange) Leave() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.send(allPeers)
}

// AlivePeers returns the names of the other gateways that sent a digest within
// PeerTimeout and are not leaving.
func (e *Exchange) AlivePeers() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := clclock.Now()
	var names []string
	for name, state := range e.peerStates {
		if !state.leaving && now.Sub(state.receivedAt) < PeerTimeout {
			names = append(names, name)
		}
	}
	return names
}

// StoreLost reports whether the named gateway's last digest said that the store
// does not serve it.
func (e *Exchange) StoreLost(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peerStates[name].storeLost
}

// SendToDataCentre sends a digest to the gateways of this data centre at once. It
// is for changes of StoreLost, which change the gateway that reads the store for
// the data centre and must not wait for the next digest.
func (e *Exchange) SendToDataCentre() {
	e.send(func(p clcatalog.Member) bool { return p.DataCentre == e.Self.DataCentre })
}

// LastDigestTime returns the time at which the last digest of any gateway arrived,
// or zero if none has.
func (e *Exchange) LastDigestTime() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastDigestTime
}

// LastDigestTimeFrom returns the time at which the named gateway's last digest arrived,
// or zero if none has.
func (e *Exchange) LastDigestTimeFrom(name string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peerStates[name].receivedAt
}

// sendLoop sends digests to all peers until ctx ends. Each interval deviates at
// random by up to 10%.
func (e *Exchange) sendLoop(ctx context.Context) {
	for ctx.Err() == nil {
		e.send(allPeers)
		interval := DigestInterval(len(e.Gateways()))
		if clwait.Pause(ctx, interval*9/10+rand.N(interval/5)) != nil {
			return
		}
	}
}

func allPeers(clcatalog.Member) bool { return true }

// send sends a digest to the registered gateways for which selected returns true.
func (e *Exchange) send(selected func(clcatalog.Member) bool) {
	e.mu.Lock()
	conn := e.conn
	e.sequence++
	d := &Digest{
		Name: e.Self.Name, Boot: e.Self.Boot, Sequence: e.sequence, DataCentre: e.Self.DataCentre,
		WallUs: time.Now().UnixMicro(), Leaving: e.leaving,
	}
	e.mu.Unlock()
	if conn == nil {
		return
	}
	e.FillDigest(d)
	b, err := proto.Marshal(d)
	if err != nil || len(b) > maxDatagramBytes {
		e.Logger.Error("digest cannot be encoded or is too large for a datagram", zap.Int("bytes", len(b)), zap.Error(err))
		return
	}
	for _, p := range e.Gateways() {
		if p.Name == e.Self.Name || !selected(p) {
			continue
		}
		_, err = conn.WriteToUDPAddrPort(b, p.Address)
		e.recordSendResult(p.Address, err)
	}
}

// recordSendResult logs when sending begins to fail or works again, and not each
// failure, because a saturated link fails every datagram.
func (e *Exchange) recordSendResult(addr netip.AddrPort, err error) {
	e.mu.Lock()
	failing := err != nil
	changed := failing != e.sendFailing
	e.sendFailing = failing
	e.mu.Unlock()
	if changed {
		e.Logger.Info("sending of digests changed state", zap.Bool("failing", failing), zap.Stringer("to", addr), zap.Error(err))
	}
}

// receiveLoop receives digests until the connection is closed.
func (e *Exchange) receiveLoop(done chan<- struct{}) {
	defer close(done)
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := e.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The kernel reports an earlier send to an unreachable peer as an
			// error of the next call.
			continue
		}
		d := new(Digest)
		if err := proto.Unmarshal(buf[:n], d); err != nil {
			e.Logger.Warn("received datagram is not a digest", zap.Int("bytes", n), zap.Error(err))
			continue
		}
		if e.accept(d) {
			e.Clock.Observe(d.GetName(), time.UnixMicro(d.GetWallUs()))
			e.OnDigest(d)
		}
	}
}

// accept reports whether the digest is newer than its sender's last one, and if
// so records it.
func (e *Exchange) accept(d *Digest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if d.GetName() == e.Self.Name || d.GetName() == "" {
		return false
	}
	last := e.peerStates[d.GetName()]
	if d.GetBoot() < last.boot || d.GetBoot() == last.boot && d.GetSequence() <= last.sequence {
		return false
	}
	if e.peerStates == nil {
		e.peerStates = make(map[string]peerState)
	}
	if d.GetBoot() != last.boot {
		e.Logger.Info("first digest of a gateway process", zap.String("gateway", d.GetName()), zap.Uint64("boot", d.GetBoot()))
	}
	e.lastDigestTime = clclock.Now()
	e.peerStates[d.GetName()] = peerState{boot: d.GetBoot(), sequence: d.GetSequence(), receivedAt: e.lastDigestTime, leaving: d.GetLeaving(), storeLost: d.GetStoreLost()}
	return true
}
