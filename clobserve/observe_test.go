// This file tests loggers, metric names, readiness and the HTTP server.

package clobserve

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// Guards against lines without the component's prefix, also after With, and against levels that are not applied.
func TestComponentPrefix(t *testing.T) {
	var b bytes.Buffer
	l, err := NewLogger(&b, "info", "json")
	require.NoError(t, err)
	entry := Component(l, "entry")
	Component(entry, "route").With(zap.String("service", "s")).Info("endpoint e1 chosen")
	entry.Debug("hidden")
	var line map[string]any
	require.NoError(t, json.Unmarshal(b.Bytes(), &line))
	require.Equal(t, "route: endpoint e1 chosen", line["message"])
	require.Equal(t, "s", line["service"])

	_, err = NewLogger(&b, "loud", "json")
	require.ErrorContains(t, err, "set log.level")
	_, err = NewLogger(&b, "info", "xml")
	require.ErrorContains(t, err, "set log.format")
}

// Guards against metric names outside the convention.
func TestNames(t *testing.T) {
	require.Equal(t, "chestnutlead_entry_first_token_seconds", Name{"entry", "first_token", "seconds"}.String())
	for _, n := range []Name{{"Entry", "a", "total"}, {"entry", "", "total"}, {"entry", "a", "ms"}, {"entry", "a_", "total"}} {
		require.Panics(t, func() { _ = n.String() }, "%v", n)
	}
}

// Guards against a process that is ready too early, hides why it is not, or does not stop.
func TestServer(t *testing.T) {
	m, r := NewMetrics(), NewReadiness("config", "peers")
	m.Counter(Name{"entry", "requests", "total"}, "Requests.", "service").WithLabelValues("s").Add(3)
	s := &Server{Addr: netip.MustParseAddrPort("127.0.0.1:0"), Metrics: m, Readiness: r, Logger: zap.NewNop()}
	addr, err := s.Listen()
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()

	get := func(path string) (int, string) {
		resp, err := http.Get("http://" + addr.String() + path)
		require.NoError(t, err)
		defer resp.Body.Close()
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		return resp.StatusCode, string(body)
	}
	status, _ := get("/livez")
	require.Equal(t, http.StatusOK, status)
	r.Meet("config")
	r.Fail("peers", "no peer answered")
	status, body := get("/readyz")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.JSONEq(t, `{"ready":false,"reasons":["peers: no peer answered"]}`, body)
	r.Meet("peers")
	status, _ = get("/readyz")
	require.Equal(t, http.StatusOK, status)
	_, body = get("/metrics")
	require.Contains(t, body, `chestnutlead_entry_requests_total{service="s"} 3`)

	cancel()
	require.NoError(t, <-done)
	_, err = http.Get("http://" + addr.String() + "/livez")
	require.Error(t, err)
}

// Guards against a server that keeps running when it is stopped before it has started.
func TestServerStoppedAtOnce(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	s := &Server{Addr: netip.MustParseAddrPort("127.0.0.1:0"), Metrics: NewMetrics(), Readiness: NewReadiness(), Logger: zap.NewNop()}
	require.NoError(t, s.Run(ctx))
}
