// This file tests which connections are closed, and that their requests are not sent.

package clgateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// onlyConn waits until the gateway has one connection, and returns it.
func (env *testEnv) onlyConn() *callerConn {
	env.t.Helper()
	cs := &env.gateway.conns
	require.Eventually(env.t, func() bool { return cs.count(connNew) == 1 }, 5*time.Second, time.Millisecond)
	cs.mu.Lock()
	defer cs.mu.Unlock()
	return cs.oldest()
}

// Guards against a request that is sent to an endpoint although its connection was closed
// for a newer one between the arrival of the head and the call of the handler.
func TestDisplacedRequestIsNotSent(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t, echoLength)
	env.dial("")
	c := env.onlyConn()
	c.conns.mu.Lock()
	c.conns.remove(c)
	c.conns.mu.Unlock()
	c.enter(connActive, 0)
	r := env.request("/get/1", "f", "")
	r = r.WithContext(context.WithValue(r.Context(), connKey{}, c))
	require.PanicsWithValue(t, http.ErrAbortHandler, func() { env.gateway.serve(httptest.NewRecorder(), r) })
	require.Empty(t, env.requests())
}
