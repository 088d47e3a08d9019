// This file defines a gateway on loopback with endpoints whose answers a test scripts.

package clgateway

import (
	"bufio"
	"context"
	"fmt"
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
	"github.com/chestnutlead/chestnutlead/internal/limits/clquota"
	"github.com/chestnutlead/chestnutlead/internal/limits/clretry"
	"github.com/chestnutlead/chestnutlead/internal/model/clcatalog"
	"github.com/chestnutlead/chestnutlead/internal/model/clclock"
	"github.com/chestnutlead/chestnutlead/internal/routing/clfleet"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// testHeaders are a protocol of the tests' own.
type testHeaders struct{}

func (testHeaders) ParseRequest(h http.Header) RequestInfo {
	s := RequestInfo{ID: h.Get("X-Id"), APIKey: h.Get("X-Key")}
	if ms, err := strconv.Atoi(h.Get("X-Deadline")); err == nil {
		s.Timeout = time.Duration(ms) * time.Millisecond
	}
	return s
}

func (testHeaders) ForwardHeaders(_ http.Header, s ForwardInfo) []clendpoint.Header {
	out := []clendpoint.Header{{Name: "X-Account", Value: s.Account}, {Name: "X-Left", Value: strconv.FormatInt(s.TimeLeft.Milliseconds(), 10)}}
	if s.Resume {
		out = append(out, clendpoint.Header{Name: "X-Resume", Value: strconv.FormatInt(s.LastEventID, 10)})
	}
	return out
}

func (testHeaders) ParseResponse(a *clendpoint.Answer) ResponseInfo {
	return ResponseInfo{ID: a.Value("X-Id"), Signed: a.Value("X-Seal") != "", NotRun: a.Value("X-Not-Run") != ""}
}

func (testHeaders) SetErrorHeaders(h http.Header, _ string, retryAfter time.Duration) {
	if retryAfter > 0 {
		h.Set("Retry-After", fmt.Sprint(retryAfter.Seconds()))
	}
}

// testRecorder counts what began.
type testRecorder struct {
	mu    sync.Mutex
	began int
}

func (r *testRecorder) RequestStarted(string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.began++
}
func (*testRecorder) AttemptStarted(string, string, string)                            {}
func (*testRecorder) AttemptSampled(string, string, string, bool, bool, time.Duration) {}
func (*testRecorder) RequestAdmitted(string)                                           {}

// world is a gateway in front of scripted endpoints.
type world struct {
	t       *testing.T
	g       *Gateway
	base    string
	record  *testRecorder
	fresh   bool
	mu      sync.Mutex
	got     []string
	stop    context.CancelFunc
	stopped chan error
}

// script answers one request on a connection; the connection is closed after
// it returns false.
type script func(c net.Conn, r *http.Request) bool

// seal begins a whole answer's header.
const seal = "HTTP/1.1 200 OK\r\nX-Seal: s\r\n"

func newWorld(t *testing.T, endpoints ...script) *world {
	t.Helper()
	wd := &world{t: t, record: &testRecorder{}, fresh: true, stopped: make(chan error, 1)}
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
		fleet.Put(clcatalog.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Address: wd.endpoint(i, s), DataCentre: "a", Slots: 8}, time.Now())
	}
	quotas := &clquota.Limiter{}
	quotas.SetLimit("acme", 5, 20, clclock.Now())
	retries := &clretry.Budget{Ratio: 1, Floor: 100, Window: time.Minute}
	retries.SetGateways(1)
	addr := cltest.Address(t)
	wd.g = &Gateway{
		Address: addr, Headers: testHeaders{}, Fleet: fleet, Quotas: quotas, RetryBudget: retries, Crashes: &clretry.CrashTracker{},
		Client: &clendpoint.HTTP{}, Recorder: wd.record, ShutdownDelay: 300 * time.Millisecond, GracePeriod: 3 * time.Second,
		ConfigFresh: func() (bool, time.Duration) {
			wd.mu.Lock()
			defer wd.mu.Unlock()
			return wd.fresh, time.Second
		},
		Logger: zap.NewNop(), Metrics: clobserve.NewMetrics(),
	}
	wd.g.SetCatalog(cat)
	wd.base = "http://" + addr.String()
	ctx, cancel := context.WithCancel(t.Context())
	wd.stop = cancel
	go func() { wd.stopped <- wd.g.Run(ctx) }()
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", addr.String())
		if err != nil {
			return false
		}
		return c.Close() == nil
	}, 5*time.Second, time.Millisecond)
	return wd
}

// endpoint serves the script on a port of its own.
func (wd *world) endpoint(i int, s script) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(wd.t, err)
	wd.t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go wd.connection(i, c, s)
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String())
}

func (wd *world) connection(i int, c net.Conn, s script) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		wd.mu.Lock()
		wd.got = append(wd.got, fmt.Sprintf("e%d %s resume=%s account=%s", i, r.RequestURI, r.Header.Get("X-Resume"), r.Header.Get("X-Account")))
		wd.mu.Unlock()
		if !s(c, r) {
			return
		}
	}
}

func (wd *world) requests() []string {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	return append([]string(nil), wd.got...)
}

func (wd *world) setFresh(fresh bool) {
	wd.mu.Lock()
	defer wd.mu.Unlock()
	wd.fresh = fresh
}

// request returns a POST with a key.
func (wd *world) request(path, key, body string) *http.Request {
	r, err := http.NewRequestWithContext(wd.t.Context(), http.MethodPost, wd.base+path, strings.NewReader(body))
	require.NoError(wd.t, err)
	r.Header.Set("X-Id", "r1")
	if key != "" {
		r.Header.Set("X-Key", key)
	}
	return r
}

// Scripts of endpoints.

func say(text string, keep bool) script {
	return func(c net.Conn, _ *http.Request) bool {
		_, err := c.Write([]byte(text))
		return err == nil && keep
	}
}

func event(id int) string { return fmt.Sprintf("id: %d\ndata: x%d\n\n", id, id) }

func chunk(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }

const streamHeader = seal + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
