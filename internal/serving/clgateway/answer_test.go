// This file tests how responses are relayed when memory is short.

package clgateway

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/limits/clmemory"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/stretchr/testify/require"
)

// largeEvent is the data of an event that needs memory of its own.
var largeEvent = "data: " + strings.Repeat("y", 100<<10) + "\n\n"

// Guards against an endpoint that counts as silent while the gateway has no memory for its
// event.
func TestWaitForEventMemoryIsNotSilence(t *testing.T) {
	t.Parallel()
	late := func(c net.Conn, r *http.Request) bool {
		if !respond(streamHeader+chunk(largeEvent[:80<<10]), true)(c, r) {
			return false
		}
		time.Sleep(streamSilenceTimeout + time.Second)
		_, err := io.WriteString(c, chunk(largeEvent[80<<10:])+chunk(""))
		return err == nil
	}
	env := newLimitedEnv(t, leastMemory, 0, late, late)
	env.setTimeout("resume", 10*time.Second)
	budget := &env.gateway.memory.budget
	budget.Add(clmemory.Bodies, leastBudget)
	time.AfterFunc(streamSilenceTimeout+500*time.Millisecond, func() { budget.Add(clmemory.Bodies, -leastBudget) })
	resp, err := http.DefaultClient.Do(env.request("/resume/1", "f", ""))
	require.NoError(t, err)
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, largeEvent, string(b))
	require.Len(t, env.requests(), 1)
}

// Guards against a stream that is cut for memory that its own request holds.
func TestOwnBodyDoesNotCutStream(t *testing.T) {
	t.Parallel()
	env := newLimitedEnv(t, leastMemory, 0, respond(streamHeader+chunk(largeEvent)+chunk(""), true))
	env.changeLimits(func(l *clcatalog.Limits) { l.BodyBytes = leastBudget })
	env.setTimeout("resume", 10*time.Second)
	resp, err := http.DefaultClient.Do(env.request("/resume/1", "f", strings.Repeat("x", leastBudget)))
	require.NoError(t, err)
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, largeEvent, string(b))
}

// Guards against an endpoint that counts as slow while the gateway waits for memory to
// buffer its response.
func TestResponseDoesNotWaitForMemory(t *testing.T) {
	t.Parallel()
	large := strings.Repeat("y", 64<<10)
	whole := respond(signedOK+"Content-Length: 65536\r\n\r\n"+large, true)
	env := newLimitedEnv(t, leastMemory, 0, whole, whole)
	m := &env.gateway.memory
	m.budget.Add(clmemory.Bodies, leastBudget)
	release := func() { m.budget.Add(clmemory.Bodies, -leastBudget) }
	// The transfer is stopped, but its memory is released only after bodyFraction of the timeout.
	x := &clmemory.Transfer{Stop: func() { time.AfterFunc(400*time.Millisecond, release) }}
	m.bodies.Begin(x, time.Now())
	require.True(t, m.bodies.Progress(x, 0, leastBudget, time.Now()))
	env.setTimeout("get", 500*time.Millisecond)
	resp, err := http.DefaultClient.Do(env.request("/get/1", "f", ""))
	require.NoError(t, err)
	b, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, large, string(b))
	require.Len(t, env.requests(), 1)
}
