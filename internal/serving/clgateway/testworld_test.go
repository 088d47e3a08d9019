// This file defines a test environment: a gateway on loopback, and endpoints that
// respond by scripts.

package clgateway

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clendpoint"
	"github.com/chestnutlead/chestnutlead/clobserve"
	"github.com/chestnutlead/chestnutlead/cltest"
	"github.com/chestnutlead/chestnutlead/internal/limits/clcrash"
	"github.com/chestnutlead/chestnutlead/internal/limits/clquota"
	"github.com/chestnutlead/chestnutlead/internal/limits/clretry"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/chestnutlead/chestnutlead/internal/routing/clfleet"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// testCodec is a HeaderCodec with the header names that these tests use.
type testCodec struct{}

func (testCodec) ParseRequest(h http.Header) RequestInfo {
	info := RequestInfo{ID: h.Get("X-Id"), APIKey: h.Get("X-Key")}
	if ms, err := strconv.Atoi(h.Get("X-Deadline")); err == nil {
		info.Timeout = time.Duration(ms) * time.Millisecond
	}
	return info
}

func (testCodec) ForwardHeaders(h http.Header, info ForwardInfo) []clendpoint.Header {
	headers := []clendpoint.Header{{Name: "X-Account", Value: info.Account}, {Name: "X-Left", Value: strconv.FormatInt(info.TimeLeft.Milliseconds(), 10)}}
	if id := h.Get("X-Id"); id != "" {
		headers = append(headers, clendpoint.Header{Name: "X-Id", Value: id})
	}
	if info.Resume {
		headers = append(headers, clendpoint.Header{Name: "X-Resume", Value: strconv.FormatInt(info.LastEventID, 10)})
	}
	return headers
}

func (testCodec) ParseResponse(a *clendpoint.Answer) ResponseInfo {
	info := ResponseInfo{ID: a.Value("X-Id"), Signed: a.Value("X-Seal") != "", NotRun: a.Value("X-Not-Run") != "", Leaving: a.Value("X-Leaving") != ""}
	if pace, err := strconv.ParseFloat(a.Value("X-Pace"), 64); err == nil {
		info.Load = &clfleet.StatedLoad{Slots: 8, Pace: pace}
	}
	if ms, err := strconv.Atoi(a.Value("X-Quiet")); err == nil {
		info.QuietFor = time.Duration(ms) * time.Millisecond
	}
	return info
}

func (testCodec) SetErrorHeaders(h http.Header, _ string, retryAfter time.Duration) {
	if retryAfter > 0 {
		h.Set("Retry-After", fmt.Sprint(retryAfter.Seconds()))
	}
}

// testRecorder counts the requests that have started, and the attempts that were recorded
// as failed.
type testRecorder struct {
	mu              sync.Mutex
	startedRequests int
	failedAttempts  int
}

func (r *testRecorder) RequestStarted(string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.startedRequests++
}
func (r *testRecorder) AttemptSampled(_, _, _ string, failed, _ bool, _ time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if failed {
		r.failedAttempts++
	}
}
func (*testRecorder) AttemptStarted(string, string, string) {}
func (*testRecorder) RequestAdmitted(string)                {}

// testEnv runs a gateway and the endpoints behind it.
type testEnv struct {
	t        testing.TB
	gateway  *Gateway
	baseURL  string
	recorder *testRecorder
	// logs holds the lines that the gateway has logged.
	logs *observer.ObservedLogs
	// configFresh is what Gateway.ConfigFresh reports; mu guards it,
	// copiesUsableFor and receivedRequests.
	configFresh bool
	// copiesUsableFor returns what Gateway.CopiesUsableFor reports; nil is no limit.
	copiesUsableFor func() time.Duration
	mu              sync.Mutex
	// receivedRequests holds a line for each request that an endpoint has received.
	receivedRequests []string
	// stop cancels the context of Gateway.Run, and stopped receives the error that
	// Run returns.
	stop    context.CancelFunc
	stopped chan error
}

// script responds to one request on a connection of an endpoint. It reports whether
// the connection stays open.
type script func(c net.Conn, r *http.Request) bool

// signedOK is the beginning of the header of a signed response with status 200.
const signedOK = "HTTP/1.1 200 OK\r\nX-Seal: s\r\n"

// newTestEnv starts one endpoint for each script, and one gateway in front of all the
// endpoints.
func newTestEnv(t testing.TB, endpoints ...script) *testEnv {
	t.Helper()
	return newLimitedEnv(t, 0, 0, endpoints...)
}

// newLimitedEnv is like newTestEnv, with limits for the gateway's process.
func newLimitedEnv(t testing.TB, memoryBytes int64, maxDescriptors int, endpoints ...script) *testEnv {
	t.Helper()
	env := &testEnv{t: t, recorder: &testRecorder{}, configFresh: true, stopped: make(chan error, 1)}
	fleet := &clfleet.Fleet{DataCentre: "a", Rand: rand.New(rand.NewPCG(1, 1))}
	cat := &clcatalog.Catalog{
		Version: 1, Limits: clcatalog.Limits{BodyBytes: 1000, IdleTimeout: time.Minute},
		Services: []clcatalog.Service{{Name: "s"}},
		Accounts: []clcatalog.Account{{Name: "acme", Keys: []string{"k"}, Rate: 5, Burst: 20}, {Name: "free", Keys: []string{"f"}}},
	}
	for _, r := range []clcatalog.Route{
		{Name: "get", PathPrefix: "/get/", Kind: clcatalog.Idempotent, MaxAttempts: 2},
		{Name: "book", PathPrefix: "/book/", Kind: clcatalog.NonIdempotent, MaxAttempts: 2},
		{Name: "stream", PathPrefix: "/stream/", Kind: clcatalog.Streaming, MaxAttempts: 2},
		{Name: "resume", PathPrefix: "/resume/", Kind: clcatalog.Streaming, MaxAttempts: 2, Resumable: true},
		{Name: "open", PathPrefix: "/open/", Kind: clcatalog.Idempotent, MaxAttempts: 1, Anonymous: true},
	} {
		r.Host, r.Timeout, r.Targets = "127.0.0.1", 2*time.Second, []clcatalog.Target{{Service: "s", Weight: 1}}
		cat.Routes = append(cat.Routes, r)
	}
	cat.BuildIndexes()
	fleet.SetCatalog(cat)
	fleet.SetGateways("gateway-1", nil)
	for i, s := range endpoints {
		fleet.Put(clcatalog.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Address: env.startEndpoint(i, s), DataCentre: "a", Slots: 8}, time.Now())
	}
	quotas := &clquota.Limiter{}
	quotas.SetLimit("acme", 5, 20, clclock.Now())
	retries := &clretry.Budget{Ratio: 1, Floor: 100, Window: time.Minute}
	retries.SetGateways(1)
	addr := cltest.Address(t)
	core, logs := observer.New(zap.InfoLevel)
	env.logs = logs
	env.gateway = &Gateway{
		Address: addr, Headers: testCodec{}, Fleet: fleet, Quotas: quotas, RetryBudget: retries, Crashes: &clcrash.Tracker{},
		Client: &clendpoint.HTTP{}, Recorder: env.recorder, ShutdownDelay: 300 * time.Millisecond, GracePeriod: 3 * time.Second,
		MemoryBytes: memoryBytes, MaxDescriptors: maxDescriptors,
		ConfigFresh: func() (bool, time.Duration) {
			env.mu.Lock()
			defer env.mu.Unlock()
			return env.configFresh, time.Second
		},
		Logger: zap.New(core), Metrics: clobserve.NewMetrics(),
	}
	env.gateway.CopiesUsableFor = func() (time.Duration, bool) {
		env.mu.Lock()
		defer env.mu.Unlock()
		if env.copiesUsableFor == nil {
			return 0, false
		}
		return env.copiesUsableFor(), true
	}
	env.gateway.SetCatalog(cat)
	env.baseURL = "http://" + addr.String()
	ctx, cancel := context.WithCancel(t.Context())
	env.stop = cancel
	go func() { env.stopped <- env.gateway.Run(ctx) }()
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", addr.String())
		if err != nil {
			return false
		}
		return c.Close() == nil
	}, 5*time.Second, time.Millisecond)
	return env
}

// startEndpoint starts the endpoint with index i, which runs script s on each request,
// and returns its address.
func (env *testEnv) startEndpoint(i int, s script) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(env.t, err)
	env.t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go env.serveConn(i, c, s)
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String())
}

// serveConn records the requests on a connection of the endpoint with index i, and runs
// script s on each.
func (env *testEnv) serveConn(i int, c net.Conn, s script) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		env.mu.Lock()
		env.receivedRequests = append(env.receivedRequests, fmt.Sprintf("e%d %s resume=%s account=%s", i, r.RequestURI, r.Header.Get("X-Resume"), r.Header.Get("X-Account")))
		env.mu.Unlock()
		if !s(c, r) {
			return
		}
	}
}

// promises returns the number of responses with the given status and basis.
func (env *testEnv) promises(status, basis string) float64 {
	return env.counter("chestnutlead_gateway_promises_total", map[string]string{"status": status, "basis": basis})
}

// counter returns the value of a counter, or 0 if it has not been used.
func (env *testEnv) counter(name string, labels map[string]string) float64 {
	families, err := env.gateway.Metrics.Registry.Gather()
	require.NoError(env.t, err)
	for _, f := range families {
		if f.GetName() != name {
			continue
		}
		for _, m := range f.GetMetric() {
			got := map[string]string{}
			for _, l := range m.GetLabel() {
				got[l.GetName()] = l.GetValue()
			}
			if maps.Equal(got, labels) {
				return m.GetCounter().GetValue()
			}
		}
	}
	return 0
}

// requests returns the lines of receivedRequests.
func (env *testEnv) requests() []string {
	env.mu.Lock()
	defer env.mu.Unlock()
	return append([]string(nil), env.receivedRequests...)
}

func (env *testEnv) setConfigFresh(fresh bool) {
	env.mu.Lock()
	defer env.mu.Unlock()
	env.configFresh = fresh
}

// setTimeout changes the timeout of the route with the given name.
func (env *testEnv) setTimeout(route string, d time.Duration) {
	env.changeRoute(route, func(r *clcatalog.Route) { r.Timeout = d })
}

// changeRoute puts a configuration in force in which the route with the given name is
// changed.
func (env *testEnv) changeRoute(route string, change func(r *clcatalog.Route)) {
	old := env.gateway.Catalog()
	changed := &clcatalog.Catalog{Version: old.Version + 1, Limits: old.Limits, Services: old.Services, Accounts: old.Accounts}
	for _, r := range old.Routes {
		if r.Name == route {
			change(&r)
		}
		changed.Routes = append(changed.Routes, r)
	}
	changed.BuildIndexes()
	env.gateway.SetCatalog(changed)
}

// changeLimits puts a configuration in force in which the limits are changed.
func (env *testEnv) changeLimits(change func(l *clcatalog.Limits)) {
	old := env.gateway.Catalog()
	changed := &clcatalog.Catalog{Version: old.Version + 1, Limits: old.Limits, Services: old.Services, Accounts: old.Accounts, Routes: old.Routes}
	change(&changed.Limits)
	changed.BuildIndexes()
	env.gateway.SetCatalog(changed)
}

// request returns a POST request to the gateway. It carries the API key unless the key
// is empty.
func (env *testEnv) request(path, key, body string) *http.Request {
	r, err := http.NewRequestWithContext(env.t.Context(), http.MethodPost, env.baseURL+path, strings.NewReader(body))
	require.NoError(env.t, err)
	r.Header.Set("X-Id", "r1")
	if key != "" {
		r.Header.Set("X-Key", key)
	}
	return r
}

// status sends a request and returns the status of its response, which it reads whole.
func (env *testEnv) status(r *http.Request) int {
	resp, err := http.DefaultClient.Do(r)
	require.NoError(env.t, err)
	_, err = io.ReadAll(resp.Body)
	require.NoError(env.t, err)
	return resp.StatusCode
}

// respond returns a script that writes text, and keeps the connection open if keep is
// set. A response echoes the request's ID, as endpoints do, unless it has an ID already;
// see respondRaw.
func respond(text string, keep bool) script {
	return func(c net.Conn, r *http.Request) bool {
		return respondRaw(echoID(text, r.Header.Get("X-Id")), keep)(c, r)
	}
}

// respondRaw is like respond, but does not add an ID.
func respondRaw(text string, keep bool) script {
	return func(c net.Conn, _ *http.Request) bool {
		_, err := c.Write([]byte(text))
		return err == nil && keep
	}
}

// echoID adds the ID to the header of a final response.
func echoID(text, id string) string {
	status, rest, isLine := strings.Cut(text, "\r\n")
	if !isLine || !strings.HasPrefix(status, "HTTP/1.1 ") || strings.HasPrefix(status, "HTTP/1.1 1") || strings.Contains(text, "X-Id: ") || id == "" {
		return text
	}
	return status + "\r\nX-Id: " + id + "\r\n" + rest
}

// event returns the text of a server-sent event with the given ID.
func event(id int) string { return fmt.Sprintf("id: %d\ndata: x%d\n\n", id, id) }

// chunk encodes s as one chunk of a body with Transfer-Encoding: chunked.
func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

// streamHeader is the header of a signed response with a stream of events.
const streamHeader = signedOK + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
