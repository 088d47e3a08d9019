package clendpoint

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// startServer answers load reports with the boot ID of each connection's
// process and counts what arrived besides.
type startServer struct {
	mu    sync.Mutex
	boots []string // of the connections, in their order; the last one is repeated
	// header is added to answers to load reports.
	header string
	status string
	paths  []string
}

func (s *startServer) serve(n int, c net.Conn) {
	br := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.paths = append(s.paths, fmt.Sprint(n, " ", req.URL.Path))
		boot := s.boots[min(n, len(s.boots)-1)]
		s.mu.Unlock()
		if req.URL.Path != loadPath {
			_, _ = io.WriteString(c, okAnswer)
			continue
		}
		b := fmt.Sprintf(`{"boot_id":%q}`, boot)
		_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", s.status, s.header, len(b), b)
		if s.header != "" {
			return
		}
	}
}

// TestBootID guards against a request that reaches an endpoint which restarted
// after the slot for the request was granted.
func TestBootID(t *testing.T) {
	tests := []struct {
		name   string
		server startServer
		want   []string // boot ID of each call
		errors []string
		paths  string
	}{
		{
			"asked once for each connection", startServer{boots: []string{"b1"}},
			[]string{"b1", "b1"}, []string{"", ""}, "0 /load, 0 /run, 0 /run",
		},
		{
			"restarted before the call", startServer{boots: []string{"b2"}},
			[]string{"b1"}, []string{"not_sent: the endpoint restarted: boot ID b2 in place of b1"}, "0 /load",
		},
		{
			"connections of each start apart", startServer{boots: []string{"b1", "b2"}},
			[]string{"b1", "b2", "b2"}, []string{"", "", ""}, "0 /load, 0 /run, 1 /load, 1 /run, 1 /run",
		},
		{
			"connection closed after the report", startServer{boots: []string{"b1"}, header: "Connection: close\r\n"},
			[]string{"b1"}, []string{""}, "0 /load, 1 /run",
		},
		{
			"no report", startServer{boots: []string{"b1"}, status: "503 Service Unavailable"},
			[]string{"b1"}, []string{"not_sent: read the boot ID: /load answered 503"}, "0 /load",
		},
		{"not asked for", startServer{boots: []string{"b1"}}, []string{""}, []string{""}, "0 /run"},
	}
	for i := range tests {
		tt := &tests[i]
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			if tt.server.status == "" {
				tt.server.status = "200 OK"
			}
			addr := listen(t, tt.server.serve)
			h := &HTTP{}
			t.Cleanup(h.Close)
			for i, boot := range tt.want {
				a, err := h.Do(context.Background(), Call{Endpoint: addr, Method: http.MethodPost, Path: "/run", BootID: boot})
				if tt.errors[i] != "" {
					require.EqualError(t, err, tt.errors[i])
					continue
				}
				require.NoError(t, err)
				_, err = io.ReadAll(a.Body)
				require.NoError(t, err)
			}
			tt.server.mu.Lock()
			defer tt.server.mu.Unlock()
			require.Equal(t, tt.paths, strings.Join(tt.server.paths, ", "))
		})
	}
}

// TestSendBefore guards against a request that is sent after its slot was given
// to another one, because connecting took too long.
func TestSendBefore(t *testing.T) {
	s := startServer{boots: []string{"b1"}, status: "200 OK"}
	h := &HTTP{}
	t.Cleanup(h.Close)
	_, err := h.Do(context.Background(), Call{
		Endpoint: listen(t, s.serve), Method: http.MethodPost, Path: "/run", SendBefore: time.Now().Add(-time.Millisecond),
	})
	require.EqualError(t, err, "not_sent: it took too long to connect")
	require.Empty(t, s.paths)
}

// TestCopyOfReportIsNoAnswer guards against a call that gets the load report by which its
// connection was asked for its boot ID, since the endpoint sends that report twice. An
// endpoint that echoes no attempt IDs must not get a call that may not be repeated on that
// connection.
func TestCopyOfReportIsNoAnswer(t *testing.T) {
	for _, tc := range []struct {
		name         string
		echoes, once bool
		want         Kind
	}{
		{"echoes", true, false, KindBroken},
		{"echoes, may not be repeated", true, true, KindBroken},
		{"does not echo, may not be repeated", false, true, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr := listen(t, func(_ int, c net.Conn) {
				br := bufio.NewReader(c)
				copied := ""
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					echo, body := "", "ok"
					if tc.echoes {
						echo = AttemptHeader + ": " + r.Header.Get(AttemptHeader) + "\r\n"
					}
					if r.URL.Path == loadPath {
						body = `{"boot_id":"b1"}`
					}
					text := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", echo, len(body), body)
					_, _ = io.WriteString(c, copied+text)
					copied = text
				}
			})
			call := post(addr)
			call.BootID, call.NewConnection = "b1", tc.once
			got, err := readAll(newClient(t), call)
			require.Equal(t, tc.want, kindOf(err), "%v", err)
			if tc.want == "" {
				require.Equal(t, "ok", got)
			}
		})
	}
}

// TestCopyOfReportIsNoLaterReport guards against a report that is taken for a later one,
// since the endpoint sends it twice.
func TestCopyOfReportIsNoLaterReport(t *testing.T) {
	for _, tc := range []struct {
		name string
		ask  func(h *HTTP, addr netip.AddrPort) error
	}{
		{"load", func(h *HTTP, addr netip.AddrPort) error { _, err := h.Load(t.Context(), addr); return err }},
		{"cache events", func(h *HTTP, addr netip.AddrPort) error { _, err := h.CacheEvents(t.Context(), addr, 0); return err }},
	} {
		t.Run(tc.name, func(t *testing.T) {
			addr := listen(t, func(_ int, c net.Conn) {
				br := bufio.NewReader(c)
				copied := ""
				for {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.WriteString(c, copied)
					body := `{"boot_id":"b1","events":[]}`
					copied = fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", AttemptHeader, r.Header.Get(AttemptHeader), len(body), body)
					_, _ = io.WriteString(c, copied)
				}
			})
			h := newClient(t)
			require.NoError(t, tc.ask(h, addr))
			require.Equal(t, KindBroken, kindOf(tc.ask(h, addr)))
		})
	}
}
