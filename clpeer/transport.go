// This file defines the authenticated HTTP transport between own processes.

package clpeer

import (
	"crypto/subtle"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/chestnutlead/chestnutlead/internal/serving/clframing"
)

const (
	authScheme       = "Peer "
	maxPeerBodyBytes = 4 << 20
	// peerIdleTimeout keeps the connections of a fleet of up to 30 processes,
	// which probe each peer again before it ends. In larger ones a connection
	// to a probed peer is not used again, and each takes 37 KB at its two ends.
	peerIdleTimeout      = 30 * time.Second
	peerConnectTimeout   = time.Second
	peerReadHeaderTimout = 5 * time.Second
	maxIdlePerPeer       = 4
)

type (
	// Transport makes clients to peers and checks the credential of callers.
	Transport struct {
		// Token is the credential that all of the system's processes share.
		Token string
		// Timeout limits each call; callers may set a shorter one by context.
		Timeout time.Duration

		once    sync.Once
		http    *http.Client
		mu      sync.Mutex
		clients map[netip.AddrPort]clwire.Peer
	}

	authRoundTripper struct {
		token string
		next  http.RoundTripper
	}
)

var _ http.RoundTripper = (*authRoundTripper)(nil)

// RoundTrip adds the peer credential to the request and limits the response.
func (t *authRoundTripper) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", authScheme+t.token)
	resp, err := t.next.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = http.MaxBytesReader(nil, resp.Body, maxPeerBodyBytes)
	return resp, nil
}

// Peer returns the client of the process that listens at addr.
func (t *Transport) Peer(addr netip.AddrPort) clwire.Peer {
	t.once.Do(t.init)
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.clients[addr]
	if !ok {
		c = clwire.NewPeerProtobufClient("http://"+addr.String(), t.http)
		t.clients[addr] = c
	}
	return c
}

func (t *Transport) init() {
	t.clients = make(map[netip.AddrPort]clwire.Peer)
	dialer := &net.Dialer{Timeout: peerConnectTimeout}
	t.http = &http.Client{
		Timeout: t.Timeout,
		Transport: &authRoundTripper{token: t.Token, next: &http.Transport{
			DialContext:         clframing.Dial(dialer.DialContext),
			MaxIdleConnsPerHost: maxIdlePerPeer,
			IdleConnTimeout:     peerIdleTimeout,
		}},
	}
}

// Forget drops the client of a process that is gone.
func (t *Transport) Forget(addr netip.AddrPort) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.clients, addr)
}

// Guard returns a handler that refuses calls without the peer credential and
// bodies over the limit.
func (t *Transport) Guard(next http.Handler) http.Handler {
	want := []byte(authScheme + t.Token)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := []byte(r.Header.Get("Authorization"))
		if t.Token == "" || subtle.ConstantTimeCompare(got, want) != 1 {
			http.Error(w, "the peer credential is missing or wrong; set peer_token to the same value on every process",
				http.StatusUnauthorized)
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxPeerBodyBytes)
		next.ServeHTTP(w, r)
	})
}

// NewServer returns an HTTP server with bounded headers and idle time.
func NewServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: peerReadHeaderTimout,
		IdleTimeout:       2 * peerIdleTimeout,
		MaxHeaderBytes:    16 << 10,
	}
}
