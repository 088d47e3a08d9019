// This file tests a gateway process under floods of connections.

package clflood

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clharness"
	"github.com/chestnutlead/chestnutlead/cltest"
	"github.com/chestnutlead/chestnutlead/platform/cladapter"
	"github.com/chestnutlead/chestnutlead/platform/clstandplatform"
	"github.com/stretchr/testify/require"
)

// The sizes of the floods and the limits of the process are fixed, so that results
// before and after a change can be compared.
const (
	memoryMB = 160
	maxFDs   = 500
	// floodConns is the number of connections of a flood, and silentConns that of
	// connections that send nothing, which is more than maxFDs.
	floodConns, silentConns = 120, 560
	maxBodyBytes            = 4 << 20
	maxHeaderBytes          = 8 << 10
	// endlessBytes is how much of a head without end is sent on each connection.
	endlessBytes                           = 8 << 20
	largeResponse, largeEvent, largeEvents = 1<<20 - 1, 1<<20 - 64, 64
	// sendTimeout ends the writes to a gateway that no longer reads, and patience is
	// the time in which the gateway must serve an ordinary request.
	sendTimeout, patience = 20 * time.Second, 30 * time.Second
	apiKey                = "key-1"
	// metricsPort is that of all gateways.
	metricsPort = 9464
)

// target is a gateway process with the platform around it.
type target struct {
	t       *testing.T
	process *clharness.Process
	address netip.AddrPort
	// others are the addresses on which the process listens for other peers than callers.
	others  map[string]netip.AddrPort
	peakFDs atomic.Int64
	number  atomic.Int64
}

var (
	buildOnce sync.Once
	buildErr  error
	binary    string
)

func TestMain(m *testing.M) {
	code := m.Run()
	if binary != "" {
		_ = os.RemoveAll(filepath.Dir(binary))
	}
	os.Exit(code)
}

// build builds the gateway into a temporary directory.
func build(t *testing.T) string {
	t.Helper()
	buildOnce.Do(func() {
		var dir string
		if dir, buildErr = os.MkdirTemp("", "clflood"); buildErr != nil {
			return
		}
		binary = filepath.Join(dir, "chestnutlead")
		out, err := exec.Command("go", "build", "-o", binary, "github.com/chestnutlead/chestnutlead/cmd/chestnutlead").CombinedOutput()
		if err != nil {
			buildErr = fmt.Errorf("build the gateway: %w: %s", err, out)
		}
	})
	require.NoError(t, buildErr)
	return binary
}

// endpoint serves requests as the stand-in does, and in addition large responses
// and streams of large events.
func endpoint(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(cladapter.HeaderRequestID)
	if !strings.HasSuffix(r.URL.Path, "/large") {
		(&clstandplatform.Endpoint{ID: "i-1"}).ServeHTTP(w, r)
		return
	}
	w.Header().Set(cladapter.HeaderRequestID, id)
	w.Header().Set(cladapter.HeaderSeal, clstandplatform.Seal("i-1", id))
	// Errors of writes mean that the gateway has given up.
	if !strings.HasPrefix(r.URL.Path, clstandplatform.StreamPrefix) {
		w.Header().Set("Content-Length", strconv.Itoa(largeResponse))
		_, _ = w.Write(make([]byte, largeResponse))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	data := strings.Repeat("x", largeEvent)
	for n := 1; n <= largeEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, data); err != nil {
			return
		}
	}
}

// start starts a gateway that is ready.
func start(t *testing.T) *target {
	t.Helper()
	store, cloud := clstandplatform.NewStore(), &clstandplatform.Cloud{}
	storeServer, cloudServer := httptest.NewServer(store), httptest.NewServer(cloud)
	endpointServer := httptest.NewServer(http.HandlerFunc(endpoint))
	addressOf := func(s *httptest.Server) netip.AddrPort { return netip.MustParseAddrPort(s.Listener.Addr().String()) }
	store.ConfigureLimits(1, "acme", []string{apiKey}, clstandplatform.Limits{
		HeaderBytes: maxHeaderBytes, BodyBytes: maxBodyBytes, HeaderTimeout: time.Second, IdleTimeout: 5 * time.Second, RouteTimeout: 15 * time.Second,
	})
	store.Put(cladapter.KindServers, "i-1", clstandplatform.EndpointEntry(clstandplatform.Service, addressOf(endpointServer), "a", 256, time.Now().Add(-time.Hour), false))
	// The metrics port is fixed, so that each process needs a loopback address of its own.
	ip := netip.AddrFrom4([4]byte{127, 80, byte(rand.IntN(256)), byte(1 + rand.IntN(254))})
	settings := clstandplatform.Gateway{
		Name: "edge-a-1", DataCentre: "a", Callers: cltest.Address(t), Readiness: cltest.Address(t), PeerPort: cltest.Address(t).Port(),
		Store: addressOf(storeServer), Cloud: addressOf(cloudServer), MemoryMB: memoryMB, MaxFDs: maxFDs,
		Bounds: clstandplatform.Bounds{
			Config: 4 * time.Second, Revocation: 10 * time.Second, Drain: 4 * time.Second, Grace: 3 * time.Second, Lease: 3 * time.Second,
		},
	}
	text := strings.Replace(settings.Settings(), fmt.Sprintf("ip: %q", settings.Callers.Addr()), fmt.Sprintf("ip: %q", ip), 1)
	dir := t.TempDir()
	file := filepath.Join(dir, "node.yaml")
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	p, err := clharness.StartProcess(dir, "gateway", build(t), "gateway", "--settings", file)
	require.NoError(t, err)
	g := &target{t: t, process: p, address: settings.Callers, others: map[string]netip.AddrPort{
		"readiness": settings.Readiness, "peers": netip.AddrPortFrom(ip, settings.PeerPort), "metrics": netip.AddrPortFrom(ip, metricsPort),
	}}
	t.Cleanup(func() {
		p.Kill()
		for _, s := range []*httptest.Server{endpointServer, cloudServer, storeServer} {
			s.CloseClientConnections()
			s.Close()
		}
	})
	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + settings.Readiness.String() + "/")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, patience, 20*time.Millisecond)
	go g.loop(t.Context())
	return g
}

// loop samples the number of open descriptors of the process.
func (g *target) loop(ctx context.Context) {
	for ctx.Err() == nil && g.sampleFDs() == nil {
		time.Sleep(20 * time.Millisecond)
	}
}

func (g *target) sampleFDs() error {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", g.process.PID()))
	if err != nil {
		return err
	}
	for n := int64(len(entries)); ; {
		old := g.peakFDs.Load()
		if n <= old || g.peakFDs.CompareAndSwap(old, n) {
			return nil
		}
	}
}

// peakMemory returns the largest resident size of the process, in KiB.
func (g *target) peakMemory() int {
	g.t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", g.process.PID()))
	require.NoError(g.t, err)
	_, rest, found := strings.Cut(string(b), "VmHWM:")
	require.True(g.t, found)
	kib, err := strconv.Atoi(strings.Fields(rest)[0])
	require.NoError(g.t, err)
	return kib
}

// ask sends one request with a body of the given size and returns an error unless the
// response is that of the endpoint.
func (g *target) ask(size int) error {
	id := fmt.Sprint("ask-", g.number.Add(1))
	r, err := http.NewRequestWithContext(g.t.Context(), http.MethodPost, "http://"+g.address.String()+clstandplatform.RepeatPrefix+"1", bytes.NewReader(make([]byte, size)))
	if err != nil {
		return err
	}
	r.Host = clstandplatform.Host
	r.Header.Set(cladapter.HeaderRequestID, id)
	r.Header.Set("Authorization", cladapter.Bearer+apiKey)
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 16 * time.Second}
	resp, err := client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK || string(b) != clstandplatform.Body(id) {
		return fmt.Errorf("status %d, body %q", resp.StatusCode, b)
	}
	return nil
}

// served waits until a request with a body of the given size is served.
func (g *target) served(what string, size int) {
	g.t.Helper()
	var err error
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		begin := time.Now()
		if err = g.ask(size); err == nil {
			return
		}
		g.t.Logf("%s, after %s: %v", what, time.Since(begin).Round(time.Millisecond), err)
	}
	require.NoError(g.t, err, what)
}

// flood opens n connections at the same time and runs send on each. It returns the
// connections, which stay open.
func (g *target) flood(address netip.AddrPort, n int, send func(c net.Conn, i int)) []net.Conn {
	var (
		mu    sync.Mutex
		conns []net.Conn
		wg    sync.WaitGroup
	)
	for i := range n {
		wg.Go(func() {
			c, err := net.DialTimeout("tcp", address.String(), sendTimeout)
			if err != nil {
				return
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			// The gateway may close a connection or stop reading from it.
			_ = c.SetWriteDeadline(time.Now().Add(sendTimeout))
			send(c, i)
		})
	}
	wg.Wait()
	return conns
}

// head returns the beginning of a request head, without the empty line at its end.
func head(path, key string, i int) string {
	h := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: flood-%d\r\n", path, clstandplatform.Host, cladapter.HeaderRequestID, i)
	if key != "" {
		h += "Authorization: " + cladapter.Bearer + key + "\r\n"
	}
	return h
}

// repeat writes b until size bytes are written.
func repeat(c net.Conn, b []byte, size int) {
	for size > 0 {
		n, err := c.Write(b[:min(len(b), size)])
		if err != nil {
			return
		}
		size -= n
	}
}

// lines returns s repeated to about 32 KiB.
func lines(s string) []byte { return bytes.Repeat([]byte(s), (32<<10)/len(s)) }

// wholeBody sends a body of the largest size but its last byte, in writes of the given
// size.
func wholeBody(key string, write int) func(net.Conn, int) {
	return func(c net.Conn, i int) {
		_, _ = io.WriteString(c, head(clstandplatform.RepeatPrefix+"1", key, i)+fmt.Sprintf("Content-Length: %d\r\n\r\n", maxBodyBytes))
		repeat(c, make([]byte, write), maxBodyBytes-1)
	}
}

// chunkedBody sends a chunked body of the largest size but the last chunk.
func chunkedBody(key string, chunk int) func(net.Conn, int) {
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	batch := bytes.Repeat([]byte(one), max(1, (64<<10)/chunk))
	return func(c net.Conn, i int) {
		_, _ = io.WriteString(c, head(clstandplatform.RepeatPrefix+"1", key, i)+"Transfer-Encoding: chunked\r\n\r\n")
		repeat(c, batch, (maxBodyBytes/chunk-1)*len(one))
	}
}

// unread sends a request with a large response and does not read the response.
func unread(path string) func(net.Conn, int) {
	return func(c net.Conn, i int) {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(4 << 10)
		}
		_, _ = io.WriteString(c, head(path, apiKey, i)+"Content-Length: 2\r\n\r\n{}")
		time.Sleep(3 * time.Second)
	}
}

// Guards against clients that make the process run out of memory or descriptors, or
// keep it from serving others. An ordinary request must be served while the flood's
// connections are open, and one of the largest size after they are closed.
func TestFloods(t *testing.T) {
	for _, tc := range []struct {
		name  string
		conns int
		send  func(net.Conn, int)
	}{
		{"heads over the limit", floodConns, func(c net.Conn, i int) {
			_, _ = io.WriteString(c, head(clstandplatform.RepeatPrefix+"1", apiKey, i))
			repeat(c, lines("X-Filler: 0123456789abcdef\r\n"), 256<<10)
			_, _ = io.WriteString(c, "\r\n")
		}},
		{"heads without end", floodConns, func(c net.Conn, i int) {
			_, _ = io.WriteString(c, head(clstandplatform.RepeatPrefix+"1", apiKey, i))
			repeat(c, lines("X-Filler: 0123456789abcdef\r\n"), endlessBytes)
		}},
		{"request lines without end", floodConns, func(c net.Conn, _ int) { repeat(c, lines("GET /0123456789"), endlessBytes) }},
		{"empty lines without end", floodConns, func(c net.Conn, _ int) { repeat(c, lines("\r\n"), endlessBytes) }},
		{"empty lines after a request", floodConns, func(c net.Conn, i int) {
			_, _ = io.WriteString(c, head(clstandplatform.RepeatPrefix+"1", apiKey, i)+"Content-Length: 2\r\n\r\n{}")
			repeat(c, lines("\r\n"), endlessBytes)
		}},
		{"bodies whole", floodConns, wholeBody(apiKey, maxBodyBytes)},
		{"bodies whole without a key", floodConns, wholeBody("", maxBodyBytes)},
		{"bodies in pieces of 64 KiB", floodConns, wholeBody(apiKey, 64<<10)},
		{"bodies in chunks of 64 KiB", floodConns, chunkedBody(apiKey, 64<<10)},
		{"bodies in chunks of 64 KiB without a key", floodConns, chunkedBody("", 64<<10)},
		{"bodies in chunks of 16 bytes", floodConns, chunkedBody(apiKey, 16)},
		{"large responses that are not read", floodConns, unread(clstandplatform.RepeatPrefix + "large")},
		{"streams that are not read", floodConns, unread(clstandplatform.StreamPrefix + "large")},
		{"connections that send nothing", silentConns, func(net.Conn, int) {}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			g := start(t)
			conns := g.flood(g.address, tc.conns, tc.send)
			g.served("an ordinary request beside the flood", 2<<10)
			require.NoError(t, g.sampleFDs())
			for _, c := range conns {
				_ = c.Close()
			}
			g.served("the largest request after the flood", maxBodyBytes)
			g.checkLimits()
		})
	}
}

// checkLimits checks that the process lives and has kept to its limits.
func (g *target) checkLimits() {
	g.t.Helper()
	require.True(g.t, g.process.Running(), "the process has ended")
	peak := g.peakMemory()
	g.t.Logf("peak memory %.1f MiB, peak descriptors %d", float64(peak)/1024, g.peakFDs.Load())
	require.Less(g.t, peak, memoryMB<<10, "peak memory in KiB")
	require.Less(g.t, g.peakFDs.Load(), int64(maxFDs), "open descriptors")
}

// Guards against the same floods at the addresses for readiness checks, other gateways and
// metrics.
func TestFloodsOfOtherListeners(t *testing.T) {
	for _, listener := range []string{"readiness", "peers", "metrics"} {
		for _, tc := range []struct {
			name string
			send func(net.Conn, int)
		}{
			{"heads without end", func(c net.Conn, _ int) {
				_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n")
				repeat(c, lines("X-Filler: 0123456789abcdef\r\n"), endlessBytes)
			}},
			{"empty lines without end", func(c net.Conn, _ int) { repeat(c, lines("\r\n"), endlessBytes) }},
			{"bodies whole", wholeBody("", maxBodyBytes)},
			{"bodies in chunks of 64 KiB", chunkedBody("", 64<<10)},
			{"bodies that announce a message of 15 MiB", func(c net.Conn, i int) {
				_, _ = io.WriteString(c, head("/", "", i)+fmt.Sprintf("Content-Length: %d\r\n\r\n\xfd\xf0\x00\x00", 16<<20))
				repeat(c, make([]byte, 64<<10), 15<<20)
			}},
		} {
			t.Run(listener+", "+tc.name, func(t *testing.T) {
				g := start(t)
				conns := g.flood(g.others[listener], floodConns, tc.send)
				g.served("an ordinary request beside the flood", 2<<10)
				require.NoError(t, g.sampleFDs())
				for _, c := range conns {
					_ = c.Close()
				}
				g.checkLimits()
			})
		}
	}
}
