// This file tests what a bad part of prompts excuses.

package clsoak

import (
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/platform/cladapter"
	"github.com/chestnutlead/chestnutlead/platform/clstandplatform"
	"github.com/stretchr/testify/require"
)

// Guards against a request that counts as cut by the planned stop of its gateway, although
// a bad part of prompts ended its endpoint: the caller saw the end of the connection before
// the endpoint was marked as crashed.
func TestEndOfAnEndpointUnderABadPartIsKnownBeforeItIsSeen(t *testing.T) {
	const rounds = 200
	s := newChecks(t)
	w := s.world
	w.store = clstandplatform.NewStore()
	defer func() {
		for _, e := range w.live() {
			_ = e.server.Close() // the test is over
			e.link.close()
		}
	}()
	require.NoError(t, w.addEndpoint())
	w.bad.add(&badPart{id: "bad1"})
	for range rounds {
		live := w.live()
		e := live[len(live)-1]
		c, err := net.Dial("tcp", e.link.addr().String())
		require.NoError(t, err)
		require.Eventually(t, func() bool {
			e.link.mu.Lock()
			defer e.link.mu.Unlock()
			return len(e.link.conns) == 1
		}, time.Second, time.Millisecond)
		a := s.attemptOf("x", clstandplatform.OncePrefix)
		a.reply.Err = os.ErrClosed
		a.gateway.setStopping()
		s.runs["x"] = []clstandplatform.Run{runOf("x", e.id, clstandplatform.OncePrefix+"x")}
		judged := make(chan struct{})
		go func() {
			defer close(judged)
			_, _ = c.Read(make([]byte, 1)) // ends with the connection
			s.judge(a)
		}()
		bad := runOf("y", e.id, clstandplatform.StreamPrefix+"y")
		bad.Header = http.Header{cladapter.HeaderPrompt: {"a1:5,bad1:5,c:5"}}
		require.True(t, w.crashesUnder(e, bad))
		<-judged
		_ = c.Close() // it has ended
		require.Empty(t, s.report.Violations)
	}
}
