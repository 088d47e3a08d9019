// This file defines the exchange of digests with the other gateways.

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

// Exchange sends and receives digests. Exported fields are set before Run.
type Exchange struct {
	Self clcatalog.Member
	// Gateways returns the registered gateways, this one included or not.
	Gateways func() []clcatalog.Member
	// FillDigest adds to a digest what the parts of this process know.
	FillDigest func(*Digest)
	// OnDigest gets each digest that is newer than the sender's one before.
	OnDigest func(*Digest)
	Clock    *clclock.MedianClock
	Logger   *zap.Logger

	mu       sync.Mutex
	heard    map[string]heard
	sequence uint64
	leaving  bool
	conn     *net.UDPConn
	// lastDigest is when a digest last arrived.
	lastDigest time.Time
	failing    bool
}

// heard is the newest digest of a gateway.
type heard struct {
	boot, sequence uint64
	at             time.Time
	leaving        bool
	storeLost      bool
}

const (
	// shortestInterval keeps shares of quotas a fifth of a second old.
	shortestInterval = 200 * time.Millisecond
	// datagramsPerSecond bounds what a gateway receives: the interval grows
	// with the number of gateways so that the cost of each stays the same.
	datagramsPerSecond = 60
	// maxDatagram is the largest UDP payload.
	maxDatagram = 65507
	// PeerTimeout is how long a gateway that is silent still counts as running.
	PeerTimeout = 3 * time.Second
)

// DigestInterval returns the time between two digests of a gateway when there are n.
func DigestInterval(n int) time.Duration {
	return max(shortestInterval, time.Duration(n)*time.Second/datagramsPerSecond)
}

// Run exchanges digests until ctx ends; then it tells the others that this process leaves.
func (e *Exchange) Run(ctx context.Context) error {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(e.Self.Address))
	if err != nil {
		return errors.Wrap(err, "set the gateway's peer address to a free port")
	}
	e.conn = conn
	done := make(chan struct{})
	go e.runReceive(done)
	e.runSend(ctx)
	e.Leave()
	err = conn.Close()
	<-done
	return err
}

// Leave tells the others that this process is about to end.
func (e *Exchange) Leave() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.send(toAll)
}

// AlivePeers returns the names of the other gateways that were heard lately and do not leave.
func (e *Exchange) AlivePeers() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := clclock.Now()
	var names []string
	for name, h := range e.heard {
		if !h.leaving && now.Sub(h.at) < PeerTimeout {
			names = append(names, name)
		}
	}
	return names
}

// StoreLost reports whether a gateway last said that the store does not serve it.
func (e *Exchange) StoreLost(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.heard[name].storeLost
}

// SendToDataCentre sends a digest at once to the gateways of this data centre, which
// must not wait for the next one: the gateways that read the store change.
func (e *Exchange) SendToDataCentre() {
	e.send(func(p clcatalog.Member) bool { return p.DataCentre == e.Self.DataCentre })
}

// LastDigestTime returns when the last digest of any gateway arrived, or zero.
func (e *Exchange) LastDigestTime() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.lastDigest
}

// LastDigestTimeFrom returns when a gateway was heard, or zero.
func (e *Exchange) LastDigestTimeFrom(name string) time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.heard[name].at
}

func (e *Exchange) runSend(ctx context.Context) {
	for ctx.Err() == nil {
		e.send(toAll)
		interval := DigestInterval(len(e.Gateways()))
		if clwait.Pause(ctx, interval*9/10+rand.N(interval/5)) != nil {
			return
		}
	}
}

func toAll(clcatalog.Member) bool { return true }

// send sends a digest to the registered gateways that to selects.
func (e *Exchange) send(to func(clcatalog.Member) bool) {
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
	if err != nil || len(b) > maxDatagram {
		e.Logger.Error("digest cannot be sent", zap.Int("bytes", len(b)), zap.Error(err))
		return
	}
	for _, p := range e.Gateways() {
		if p.Name == e.Self.Name || !to(p) {
			continue
		}
		_, err = conn.WriteToUDPAddrPort(b, p.Address)
		e.noteSend(p.Address, err)
	}
}

// noteSend logs the first of a series of failures, as a full link fails each datagram.
func (e *Exchange) noteSend(to netip.AddrPort, err error) {
	e.mu.Lock()
	failing := err != nil
	changed := failing != e.failing
	e.failing = failing
	e.mu.Unlock()
	if changed {
		e.Logger.Info("sending digests", zap.Bool("failing", failing), zap.Stringer("to", to), zap.Error(err))
	}
}

func (e *Exchange) runReceive(done chan<- struct{}) {
	defer close(done)
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := e.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The kernel reports an unreachable peer on the next call.
			continue
		}
		d := new(Digest)
		if err := proto.Unmarshal(buf[:n], d); err != nil {
			e.Logger.Warn("datagram is no digest", zap.Int("bytes", n), zap.Error(err))
			continue
		}
		if e.accept(d) {
			e.Clock.Observe(d.GetName(), time.UnixMicro(d.GetWallUs()))
			e.OnDigest(d)
		}
	}
}

// accept reports whether the digest is newer than its sender's last one.
func (e *Exchange) accept(d *Digest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if d.GetName() == e.Self.Name || d.GetName() == "" {
		return false
	}
	h := e.heard[d.GetName()]
	if d.GetBoot() < h.boot || d.GetBoot() == h.boot && d.GetSequence() <= h.sequence {
		return false
	}
	if e.heard == nil {
		e.heard = make(map[string]heard)
	}
	if d.GetBoot() != h.boot {
		e.Logger.Info("gateway heard", zap.String("gateway", d.GetName()), zap.Uint64("boot", d.GetBoot()))
	}
	e.lastDigest = clclock.Now()
	e.heard[d.GetName()] = heard{boot: d.GetBoot(), sequence: d.GetSequence(), at: e.lastDigest, leaving: d.GetLeaving(), storeLost: d.GetStoreLost()}
	return true
}
