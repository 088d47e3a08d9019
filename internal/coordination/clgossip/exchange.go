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
	"github.com/samber/lo"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"
)

// Exchange sends and receives digests. Exported fields must be set before Run.
type Exchange struct {
	// Self is this gateway; the Exchange listens on its Address.
	Self clcatalog.Member
	// Gateways returns the registered gateways, with or without this one.
	Gateways func() []clcatalog.Member
	// FillDigest adds the counts and observations of this gateway to a digest.
	FillDigest func(*Digest)
	// OnDigest is called with each accepted digest of a peer: one that is newer
	// than the last one from the same peer.
	OnDigest func(*Digest)
	// Clock receives the time of day that each accepted digest carries.
	Clock  *clclock.MedianClock
	Logger *zap.Logger

	mu sync.Mutex
	// peerStates holds the peers that have sent a digest, by name.
	peerStates map[string]peerState
	// sequence is the Sequence of the last digest that this gateway made.
	sequence uint64
	// leaving is set once Leave has been called.
	leaving bool
	// conn sends and receives datagrams; it is nil before Run.
	conn *net.UDPConn
	// lastDigestTime is the time at which the last accepted digest of any peer
	// arrived.
	lastDigestTime time.Time
	// sendFailing is set if the last datagram could not be sent.
	sendFailing bool
}

// peerState holds what the last accepted digest of a peer said about that peer.
type peerState struct {
	// boot and sequence are the digest's Boot and Sequence, and dataCentre is its
	// DataCentre.
	boot, sequence uint64
	dataCentre     string
	// receivedAt is the time at which that digest arrived.
	receivedAt time.Time
	// leaving is set if the peer's process was about to end, and storeLost if the
	// store did not serve the peer's calls.
	leaving   bool
	storeLost bool
}

const (
	// minDigestInterval is the shortest average interval between digests. The
	// gateways compute their shares of a quota from digests, which are then up to
	// about a fifth of a second old if there are few gateways.
	minDigestInterval = 200 * time.Millisecond
	// maxDatagramsPerSecond limits the average rate at which a gateway receives
	// periodic datagrams: the interval between digests grows with the number of
	// gateways, so that the cost for each gateway stays the same.
	maxDatagramsPerSecond = 150
	// receiveErrorPause is the pause after a failed receive.
	receiveErrorPause = time.Millisecond
	// maxDatagramBytes is the largest payload of a UDP datagram.
	maxDatagramBytes = 65507
	// minRelayedGateways is the number of gateways of a data centre from which digests
	// of other data centres reach it through a relay. Below, the bytes saved are not
	// worth the second datagram that may be lost.
	minRelayedGateways = 4
	// leaveRelays is the number of relays of a data centre that get the digest of a
	// gateway that is about to end, since no other digest may follow.
	leaveRelays = 2
	// PeerTimeout is how long a peer counts as alive after its last digest arrived.
	PeerTimeout = 3 * time.Second
)

// DigestInterval returns the average time between two digests of a gateway if
// there are gatewayCount gateways in all.
func DigestInterval(gatewayCount int) time.Duration {
	return max(minDigestInterval, time.Duration(gatewayCount)*time.Second/maxDatagramsPerSecond)
}

// Run exchanges digests until ctx ends, and then calls Leave. If it cannot listen
// on the Address of Self, it returns an error at once.
func (e *Exchange) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(e.Self.Address))
	if err != nil {
		return errors.Wrap(err, "listen for digests; set the peer address of the gateway to a free UDP port")
	}
	e.mu.Lock()
	e.conn = conn
	e.mu.Unlock()
	done := make(chan struct{})
	go e.receiveLoop(done)
	e.sendLoop(ctx)
	e.Leave()
	err = conn.Close()
	<-done
	return err
}

// Leave sends a digest which says that this process is about to end; all later
// digests say so too. It may be called before ctx of Run ends, and more than once.
func (e *Exchange) Leave() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.send(e.Gateways(), leaveRelays)
}

// AlivePeers returns the names of the peers whose last digest arrived less than
// PeerTimeout ago and did not say that the peer's process is about to end.
func (e *Exchange) AlivePeers() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := clclock.Now()
	var names []string
	for name, state := range e.peerStates {
		if e.alive(state, now) {
			names = append(names, name)
		}
	}
	return names
}

func (e *Exchange) alive(p peerState, now time.Time) bool {
	return !p.leaving && now.Sub(p.receivedAt) < PeerTimeout
}

// StoreLost reports whether the last digest of the named peer said that the store
// does not serve that peer. It returns false if no digest has arrived.
func (e *Exchange) StoreLost(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peerStates[name].storeLost
}

// SendToDataCentre sends a digest to the peers in this data centre at once. It is
// for changes of Digest.StoreLost: such a change may change which gateway reads the
// store for the data centre, and the next periodic digest would tell the peers too
// late.
func (e *Exchange) SendToDataCentre() {
	e.send(lo.Filter(e.Gateways(), func(g clcatalog.Member, _ int) bool { return g.DataCentre == e.Self.DataCentre }), 0)
}

// LastDigestTime returns the time at which the last accepted digest of any peer
// arrived, or zero if none has.
func (e *Exchange) LastDigestTime() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastDigestTime
}

// LastDigestTimeFrom returns the time at which the last accepted digest of the
// named peer arrived, or zero if none has.
func (e *Exchange) LastDigestTimeFrom(name string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peerStates[name].receivedAt
}

// sendLoop sends digests to all peers until ctx ends. Each interval deviates from
// DigestInterval at random by up to 10%.
func (e *Exchange) sendLoop(ctx context.Context) {
	for ctx.Err() == nil {
		e.send(e.Gateways(), 1)
		interval := DigestInterval(len(e.Gateways()))
		if clwait.Pause(ctx, interval*9/10+rand.N(interval/5)) != nil {
			return
		}
	}
}

// send makes a new digest and sends it to the given gateways, other than this one:
// directly, or through the given number of relays for each large data centre but the
// own (see route). It sends nothing before Run.
func (e *Exchange) send(gateways []clcatalog.Member, relays int) {
	e.mu.Lock()
	conn := e.conn
	e.sequence++
	d := &Digest{
		Name: e.Self.Name, Boot: e.Self.Boot, Sequence: e.sequence, DataCentre: e.Self.DataCentre,
		WallUs: time.Now().UnixMicro(), Leaving: e.leaving,
	}
	direct, relayed := e.route(gateways, relays, clclock.Now())
	e.mu.Unlock()
	if conn == nil {
		return
	}
	e.FillDigest(d)
	e.sendTo(conn, d, direct)
	if len(relayed) > 0 {
		d.Relay = true
		e.sendTo(conn, d, relayed)
	}
}

// route divides the receivers of a digest into those that get it directly, and the
// relays, which forward it within their data centre. Bytes between data centres are
// charged, and without relays they would grow with the square of the gateways. Each
// digest takes relays drawn anew, so that one that has died, or is cut off, costs its
// data centre some digests and no more. Data centres with fewer gateways than
// minRelayedGateways, and all of them if relays is 0, get digests directly. The caller
// holds mu.
func (e *Exchange) route(gateways []clcatalog.Member, relays int, now time.Time) (direct, relayed []clcatalog.Member) {
	byDataCentre := lo.GroupBy(gateways, func(g clcatalog.Member) string { return g.DataCentre })
	for dataCentre, members := range byDataCentre {
		if dataCentre == e.Self.DataCentre || len(members) < minRelayedGateways || relays == 0 {
			direct = append(direct, lo.Filter(members, func(g clcatalog.Member, _ int) bool { return g.Name != e.Self.Name })...)
			continue
		}
		alive := lo.Filter(members, func(g clcatalog.Member, _ int) bool { return e.alive(e.peerStates[g.Name], now) })
		if len(alive) == 0 {
			alive = members
		}
		// The top-level source of math/rand/v2 is safe for concurrent use.
		for _, i := range rand.Perm(len(alive))[:min(relays, len(alive))] {
			relayed = append(relayed, alive[i])
		}
	}
	return direct, relayed
}

// forward sends a digest that was to be relayed to the other gateways of this data
// centre.
func (e *Exchange) forward(d *Digest) {
	d.Relay = false
	e.sendTo(e.conn, d, lo.Filter(e.Gateways(), func(g clcatalog.Member, _ int) bool {
		return g.DataCentre == e.Self.DataCentre && g.Name != e.Self.Name && g.Name != d.GetName()
	}))
}

// sendTo sends a digest to the given gateways.
func (e *Exchange) sendTo(conn *net.UDPConn, d *Digest, gateways []clcatalog.Member) {
	encoded, err := proto.Marshal(d)
	if err != nil || len(encoded) > maxDatagramBytes {
		e.Logger.Error("digest cannot be encoded or is too large for a datagram", zap.Int("bytes", len(encoded)), zap.Error(err))
		return
	}
	for _, g := range gateways {
		_, err = conn.WriteToUDPAddrPort(encoded, g.Address)
		e.recordSendResult(g.Address, err)
	}
}

// recordSendResult logs when sending begins to fail and when it succeeds again. It
// does not log each failure, because on a saturated link every datagram fails.
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

// receiveLoop receives datagrams until conn is closed, and then closes done.
func (e *Exchange) receiveLoop(done chan<- struct{}) {
	defer close(done)
	buf := make([]byte, maxDatagramBytes)
	for {
		n, _, err := e.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Some systems return an error here because an earlier datagram of this
			// socket did not reach a peer. Receiving continues, because the socket
			// stays usable until it is closed and any datagram may be lost. The pause
			// keeps an error that lasts from taking the whole processor.
			time.Sleep(receiveErrorPause)
			continue
		}
		d := new(Digest)
		if err := proto.Unmarshal(buf[:n], d); err != nil {
			e.Logger.Warn("received datagram is not a digest", zap.Int("bytes", n), zap.Error(err))
			continue
		}
		if e.accept(d) {
			if d.GetRelay() {
				e.forward(d)
			}
			e.Clock.Observe(d.GetName(), time.UnixMicro(d.GetWallUs()))
			e.OnDigest(d)
		}
	}
}

// accept reports whether the digest is newer than the last one of its sender, and
// if so records it. It rejects digests without a name or with this gateway's own
// name, digests of an earlier run of the sender, and those whose Sequence is not
// higher than that of the last one from the same run.
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
	e.peerStates[d.GetName()] = peerState{boot: d.GetBoot(), sequence: d.GetSequence(), dataCentre: d.GetDataCentre(), receivedAt: e.lastDigestTime, leaving: d.GetLeaving(), storeLost: d.GetStoreLost()}
	return true
}
