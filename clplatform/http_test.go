package clplatform

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// listen answers each request on each connection with answer, and then closes
// the connection if hangUp is set.
func listen(t *testing.T, answer string, hangUp bool, requests *atomic.Int32) *HTTP {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for br := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					requests.Add(1)
					_, _ = io.WriteString(c, answer)
					if hangUp {
						return
					}
				}
			}()
		}
	}()
	h := &HTTP{
		Address: netip.MustParseAddrPort(ln.Addr().String()), ConnectTimeout: time.Minute,
		ReadTimeout: time.Minute, WriteTimeout: time.Minute, CloudTimeout: time.Minute,
	}
	t.Cleanup(h.Close)
	return h
}

// TestKinds guards against an update that counts as done or as without effect
// when that is not known.
func TestKinds(t *testing.T) {
	const head = "HTTP/1.1 "
	tests := []struct {
		name   string
		answer string
		hangUp bool
		update Kind
		get    Kind
	}{
		{"whole", head + "200 OK\r\nETag: \"7\"\r\nContent-Length: 0\r\n\r\n", false, "", ""},
		{"closed without answer", "", true, KindUnknown, KindUnavailable},
		{"truncated header", head + "200 OK\r\nETag: ", true, KindUnknown, KindUnavailable},
		{"truncated body", head + "200 OK\r\nETag: \"7\"\r\nContent-Length: 9\r\n\r\nab", true, KindUnknown, KindUnavailable},
		{"no ETag", head + "200 OK\r\nContent-Length: 0\r\n\r\n", false, KindUnknown, KindUnavailable},
		{"half an ETag", head + "200 OK\r\nETag: 7\"\r\nContent-Length: 0\r\n\r\n", false, KindUnknown, KindUnavailable},
		{"version 0", head + "200 OK\r\nETag: \"0\"\r\nContent-Length: 0\r\n\r\n", false, KindUnknown, KindUnavailable},
		{"too large", head + "200 OK\r\nETag: \"7\"\r\n\r\n" + string(make([]byte, maxValueBytes+1)), true, "", KindUnavailable},
		{"conflict", head + "412 x\r\nContent-Length: 0\r\n\r\n", false, KindConflict, KindConflict},
		{"not found", head + "404 x\r\nContent-Length: 0\r\n\r\n", false, KindNotFound, KindNotFound},
		{"rate exceeded", head + "429 x\r\nContent-Length: 0\r\n\r\n", false, KindUnavailable, KindUnavailable},
		{"unavailable", head + "503 x\r\nContent-Length: 0\r\n\r\n", false, KindUnavailable, KindUnavailable},
		{"server error", head + "500 x\r\nContent-Length: 0\r\n\r\n", false, KindUnknown, KindUnavailable},
		{"gateway timeout", head + "504 x\r\nContent-Length: 0\r\n\r\n", false, KindUnknown, KindUnavailable},
		{"redirect", head + "302 x\r\nLocation: /y\r\nContent-Length: 0\r\n\r\n", false, KindUnknown, KindUnavailable},
		{"bad request", head + "400 x\r\nContent-Length: 0\r\n\r\n", false, KindInvalid, KindInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			var requests atomic.Int32
			h := listen(t, tt.answer, tt.hangUp, &requests)
			_, err := h.Update(context.Background(), "k", nil, 6)
			require.Equal(t, tt.update, KindOf(err), "%v", err)
			require.EqualValues(t, 1, requests.Load(), "updates are not repeated")
			_, err = h.Get(context.Background(), "k")
			require.Equal(t, tt.get, KindOf(err), "%v", err)
		})
	}
}

// TestNoRepeatOnKeptConnection guards against an update that runs twice
// because its kept-alive connection was closed under it.
func TestNoRepeatOnKeptConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	var requests atomic.Int32
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) > 1 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("ETag", `"1"`)
	})}
	go func() { _ = srv.Serve(ln) }()
	defer srv.Close()
	h := &HTTP{Address: netip.MustParseAddrPort(ln.Addr().String())}
	_, err = h.Update(context.Background(), "k", nil, 0)
	require.NoError(t, err)
	_, err = h.Update(context.Background(), "k", nil, 1)
	require.Equal(t, KindUnknown, KindOf(err))
	require.Equal(t, KindUnknown, KindOf(h.Delete(context.Background(), "k", 1)))
	require.EqualValues(t, 3, requests.Load())
}

// TestContext guards against an update that counts as without effect although
// its context ended after the request was sent.
func TestContext(t *testing.T) {
	block := make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	h := &HTTP{Address: netip.MustParseAddrPort("127.0.0.1:1")}
	h.once.Do(func() {})
	h.client = &http.Client{Transport: &http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		client, server := net.Pipe()
		go func() {
			r, err := http.ReadRequest(bufio.NewReader(server))
			if err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
			}
			cancel()
			<-block
			server.Close()
		}()
		return client, nil
	}}}
	defer close(block)
	_, err := h.Update(ctx, "k", []byte("v"), 0)
	require.Equal(t, KindUnknown, KindOf(err), "%v", err)
	_, err = h.Update(ctx, "k", []byte("v"), 0)
	require.Equal(t, KindUnavailable, KindOf(err), "%v", err)
	require.ErrorIs(t, err, context.Canceled)
}

// answers is a transport that gives the same answer to all requests.
type answers struct {
	status int
	etag   string
	body   []byte
}

func (a answers) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: a.status, Header: http.Header{"Etag": {a.etag}}, Body: io.NopCloser(bytes.NewReader(a.body)),
	}, nil
}

// FuzzAnswers guards against answers that crash the adapter, pass as updates
// without a version, or give an untyped error.
func FuzzAnswers(f *testing.F) {
	f.Add(200, `"7"`, []byte(`{"objects":[{"key":"k","value":"dg==","version":7}]}`))
	f.Add(200, `"18446744073709551616"`, []byte(`{"wait_ms":9223372036854775807}`))
	f.Add(201, `W/"7"`, []byte(`{"id":"i","endpoint":"127.0.0.1:9","leaving_at":"2026-01-02T03:04:05Z"}`))
	f.Add(304, "", []byte(`{"notices":[{"sequence":1}],"instances":[{"endpoint":"x"}],"offers":[{"price_per_hour":-1}]}`))
	f.Fuzz(func(t *testing.T, status int, etag string, body []byte) {
		if status < 200 {
			return
		}
		h := &HTTP{Address: netip.MustParseAddrPort("127.0.0.1:1")}
		h.once.Do(func() {})
		h.client = &http.Client{Transport: answers{status, etag, body}, CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		}}
		ctx := context.Background()
		v, err := h.Update(ctx, "k", nil, 1)
		require.Equal(t, err == nil, v > 0)
		require.Equal(t, err != nil, KindOf(err) != "")
		o, err := h.Watch(ctx, "k", 0, 0)
		require.Equal(t, err == nil, o.Version > 0)
		if err := h.Delete(ctx, "k", 1); status >= 300 {
			require.Error(t, err)
		}
		_, err = h.List(ctx, "")
		require.Equal(t, err != nil, KindOf(err) != "")
		_, err = h.ListInstances(ctx)
		require.Equal(t, err != nil, KindOf(err) != "")
		_, err = h.Notices(ctx, 0, 0)
		require.Equal(t, err != nil, KindOf(err) != "")
		_, err = h.StartInstance(ctx, InstanceRequest{})
		require.Equal(t, err != nil, KindOf(err) != "")
		d, err := h.ReserveFetch(ctx, "m")
		require.GreaterOrEqual(t, d, time.Duration(0))
		require.Equal(t, err != nil, KindOf(err) != "")
	})
}
