// This file tests the limits of the gateway's own questions to endpoints.

package clgateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/internal/limits/clmemory"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/stretchr/testify/require"
)

const unframedHello = signedOK + "\r\nhello"

// newUnframedEnv is newTestEnv with endpoints whose responses end with their connection,
// and with identify as Gateway.Identify.
func newUnframedEnv(t testing.TB, endpoints int, identify func(ctx context.Context, addr netip.AddrPort) (Identity, error)) *testEnv {
	var scripts []script
	for range endpoints {
		scripts = append(scripts, respond(unframedHello, false))
	}
	env := newTestEnv(t, scripts...)
	cat := *env.gateway.Catalog()
	cat.Version++
	cat.Services = []clcatalog.Service{{Name: "s", HealthPath: "/health"}}
	cat.BuildIndexes()
	env.gateway.SetCatalog(&cat)
	env.gateway.Fleet.SetCatalog(&cat)
	env.gateway.Identify = func(ctx context.Context, _ *clcatalog.Service, addr netip.AddrPort, _ int64) (Identity, error) {
		return identify(ctx, addr)
	}
	return env
}

// get sends a request with a time limit and returns the status, or 0 if the response is
// not whole, and the time that it took.
func (env *testEnv) get(path string, deadline time.Duration) (status int, took time.Duration) {
	r := env.request(path, "f", "")
	r.Header.Set("X-Deadline", fmt.Sprint(deadline.Milliseconds()))
	begin := time.Now()
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, time.Since(begin)
	}
	defer resp.Body.Close()
	if _, err := io.ReadAll(resp.Body); err != nil {
		return 0, time.Since(begin)
	}
	return resp.StatusCode, time.Since(begin)
}

// Guards against endpoints whose answers to the gateway's own questions never end, and
// which thereby take its memory and connections.
func TestEndlessIdentitiesAreLimited(t *testing.T) {
	var inProgress, most, held atomic.Int64
	env := newUnframedEnv(t, 1, nil)
	env.gateway.Identify = func(ctx context.Context, _ *clcatalog.Service, _ netip.AddrPort, _ int64) (Identity, error) {
		n := inProgress.Add(1)
		defer inProgress.Add(-1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		held.Store(max(held.Load(), env.gateway.memory.budget.Held(clmemory.Questions)))
		<-ctx.Done()
		return Identity{}, ctx.Err()
	}
	var requests sync.WaitGroup
	for i := range 40 {
		requests.Go(func() { env.get(fmt.Sprint("/book/", i), 400*time.Millisecond) })
	}
	requests.Wait()
	require.LessOrEqual(t, most.Load(), int64(questionsPerEndpoint))
	require.Positive(t, held.Load(), "the memory of the questions is reserved")
	require.Eventually(t, func() bool { return env.gateway.memory.budget.Held(clmemory.Questions) == 0 }, 3*time.Second, time.Millisecond)
}

// Guards against whole responses of an endpoint that answers, which are withheld because
// the questions to others never end.
func TestEndlessIdentitiesLeaveOthersAlone(t *testing.T) {
	var endless sync.Map
	env := newUnframedEnv(t, 6, func(ctx context.Context, addr netip.AddrPort) (Identity, error) {
		if _, ok := endless.Load(addr); ok {
			<-ctx.Done()
			return Identity{}, ctx.Err()
		}
		return Identity{Endpoint: "e5"}, nil
	})
	var sound netip.AddrPort
	for _, e := range env.gateway.Fleet.Endpoints("s") {
		if e.ID == "e5" {
			sound = e.Address
		} else {
			endless.Store(e.Address, true)
		}
	}
	require.True(t, sound.IsValid())
	whole := 0
	for i := range 200 {
		if status, _ := env.get(fmt.Sprint("/book/", i), 100*time.Millisecond); status == http.StatusOK {
			whole++
		}
	}
	require.Greater(t, whole, 150, "endpoints that never confirm their responses are avoided")
}

// Guards against a request that is answered late, or not at another endpoint, because the
// endpoint of its response does not say that it lives.
func TestUnconfirmedEndIsAnsweredInTime(t *testing.T) {
	const deadline = 300 * time.Millisecond
	var asked atomic.Int64
	hangs := func(ctx context.Context, _ netip.AddrPort) (Identity, error) {
		asked.Add(1)
		<-ctx.Done()
		return Identity{}, ctx.Err()
	}
	env := newUnframedEnv(t, 2, hangs)
	status, took := env.get("/book/1", deadline)
	require.Equal(t, http.StatusBadGateway, status, "it has run, and is not known to be whole")
	require.LessOrEqual(t, took, deadline+50*time.Millisecond)
	require.EqualValues(t, 1, asked.Load())
	require.Equal(t, 1, env.recorder.failedAttempts, "the endpoint is at fault")

	first := atomic.Bool{}
	env = newUnframedEnv(t, 2, func(ctx context.Context, addr netip.AddrPort) (Identity, error) {
		if first.CompareAndSwap(false, true) {
			return hangs(ctx, addr)
		}
		for _, e := range env.gateway.Fleet.Endpoints("s") {
			if e.Address == addr {
				return Identity{Endpoint: e.ID}, nil
			}
		}
		return Identity{}, nil
	})
	status, took = env.get("/get/1", deadline)
	require.Equal(t, http.StatusOK, status, "another endpoint has answered")
	require.LessOrEqual(t, took, deadline)
}

// Guards against an endpoint that is avoided although the gateway did not ask it.
func TestEndThatIsNotAskedFor(t *testing.T) {
	env := newUnframedEnv(t, 1, nil)
	env.gateway.questions.identities.Total = 0
	status, took := env.get("/book/1", time.Second)
	require.Equal(t, http.StatusBadGateway, status)
	require.Less(t, took, 500*time.Millisecond, "it is known at once")
	require.Zero(t, env.recorder.failedAttempts)
	require.EqualValues(t, 1, env.counter("chestnutlead_gateway_endpoint_questions_total", map[string]string{"kind": "identity", "outcome": "limit"}))
}

// Guards against a part of a body that looks whole because it could not be found out whether
// its endpoint has crashed.
func TestEndWithoutAProbe(t *testing.T) {
	env := newTestEnv(t, respond(unframedHello, false))
	env.gateway.Probe = func(context.Context, netip.AddrPort) bool { return true }
	status, _ := env.get("/book/1", time.Second)
	require.Equal(t, http.StatusOK, status)
	env.gateway.questions.probes.Total = 0
	status, _ = env.get("/book/2", time.Second)
	require.Equal(t, http.StatusBadGateway, status)
}

// Guards against requests that wait beyond their deadline for a connection to an endpoint
// that may have crashed, and against as many such connections as requests.
func TestProbesAreLimited(t *testing.T) {
	var inProgress, most atomic.Int64
	env := newTestEnv(t, respond(signedOK+"Content-Length: 9\r\n\r\nhello", false))
	env.gateway.Probe = func(ctx context.Context, _ netip.AddrPort) bool {
		n := inProgress.Add(1)
		defer inProgress.Add(-1)
		for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
		}
		<-ctx.Done()
		return false
	}
	var requests sync.WaitGroup
	for i := range 20 {
		requests.Go(func() {
			status, took := env.get(fmt.Sprint("/book/", i), 100*time.Millisecond)
			require.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusServiceUnavailable}, status)
			require.LessOrEqual(t, took, 200*time.Millisecond)
		})
	}
	requests.Wait()
	require.LessOrEqual(t, most.Load(), int64(questionsPerEndpoint))
}
