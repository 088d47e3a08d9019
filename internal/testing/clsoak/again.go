// This file defines requests that are sent again, and refusals that are sent twice.

package clsoak

import (
	"context"
	"net"
	"time"

	"github.com/chestnutlead/chestnutlead/platform/clstandplatform"
)

const (
	// againShare is the part of the requests whose ID is sent again if they are refused,
	// and againAnywayShare the part of those for which other answers don't matter.
	againShare, againAnywayShare = 0.7, 0.2
	// mostSends is how often an ID is sent.
	mostSends = 4
	// mostAgainWait bounds the wait that an answer asks for.
	mostAgainWait = time.Second
	// largeBodyShare is the part of the requests that are sent again whose body is
	// large, so that it is still being written when a copy comes.
	largeBodyShare                = 0.3
	leastBodyBytes, mostBodyBytes = 200 << 10, 600 << 10
	// sameIDShare is the part of the copies sent with a request that wait for one with
	// the ID of the refusal.
	sameIDShare = 0.7
)

// callAgain is like call and sends the ID up to mostSends times at the same gateway.
func (s *Soak) callAgain(ctx context.Context, c *clstandplatform.Caller, g *gateway, prefix, id string) {
	call := s.newCall(prefix, id)
	if s.chance(largeBodyShare) {
		call.BodyBytes = leastBodyBytes + s.intN(mostBodyBytes-leastBodyBytes)
	}
	anyway := s.chance(againAnywayShare)
	for call.Send = 1; ; call.Send++ {
		r := s.send(ctx, c, g, call).reply
		if call.Send == mostSends || ctx.Err() != nil || !r.Refuses() && !anyway {
			return
		}
		time.Sleep(min(r.RetryAfter, mostAgainWait) + s.between(0, 100*time.Millisecond))
	}
}

// listen listens on a free port. The copier may be nil.
func listen(copier *clstandplatform.Copier) (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil || copier == nil {
		return l, err
	}
	return copier.Wrap(l), nil
}

// copier returns a copier of the refusals that are sent while copies returns true.
func (s *Soak) copier(copies func() bool) *clstandplatform.Copier {
	return &clstandplatform.Copier{Copied: s.copied, Draw: func() clstandplatform.Copy {
		if !copies() {
			return clstandplatform.Copy{}
		}
		ways := []clstandplatform.Copy{
			{Way: clstandplatform.CopyAtOnce},
			{Way: clstandplatform.CopyIdle, After: s.between(10*time.Millisecond, 400*time.Millisecond)},
			{Way: clstandplatform.CopyWithRequest, SameID: s.chance(sameIDShare)},
			{Way: clstandplatform.CopyInPieces, SameID: s.chance(sameIDShare), After: s.between(time.Millisecond, 10*time.Millisecond)},
		}
		return ways[s.intN(len(ways))]
	}}
}

// copied counts a copy of a refusal.
func (s *Soak) copied(underWay bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.report.Copies++
	if underWay {
		s.report.CopiesUnderWay++
	}
}
