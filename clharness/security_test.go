// This file tests that foreign and abusive connections are refused or bounded.

package clharness_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/chestnutlead/chestnutlead/clharness"
	"github.com/chestnutlead/chestnutlead/clwire"
	"github.com/stretchr/testify/require"
)

const (
	operatorCredential = "Bearer harness-operator-token-0123"
	idleConnections    = 400
	// endlessTokens make an answer of some 30 MB, more than the buffers of a
	// connection that is not read take.
	endlessTokens = 100000
	slowTokens    = 4000
	slowBuffer    = 1024
)

// post sends a body with an Authorization header and returns the status.
func post(t *testing.T, url, authorization, contentType string, body io.Reader, header map[string]string) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, url, body)
	require.NoError(t, err)
	if authorization != "" {
		req.Header.Set("Authorization", authorization)
	}
	req.Header.Set("Content-Type", contentType)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := (&http.Client{Timeout: bookingTimeout, Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return 0 // The connection was closed, which refuses the request too.
	}
	_ = resp.Body.Close() // Only the status matters.
	return resp.StatusCode
}

// TestCredentials guards against a credential that is accepted in place of another kind.
func TestCredentials(t *testing.T) {
	t.Parallel()
	f := start(t, smallProfile(0, 1))
	p := f.Pairs[0]
	callerKey := "Bearer " + clharness.KeyOf(f.Profile.Accounts[0])
	peer := "Peer harness-peer-token-0123"
	for _, c := range []struct {
		name, url, authorization string
		want                     int
	}{
		{"caller without a key", p.URL() + "/services/bookings/stock", "", http.StatusUnauthorized},
		{"caller with a wrong key", p.URL() + "/services/bookings/stock", "Bearer nobody", http.StatusUnauthorized},
		{"operator's token at the callers' port", p.URL() + "/services/bookings/stock", operatorCredential, http.StatusUnauthorized},
		{"peer token at the callers' port", p.URL() + "/services/bookings/stock", peer, http.StatusUnauthorized},
		{"caller's key at the callers' port", p.URL() + "/services/bookings/stock", callerKey, http.StatusOK},
		{"nothing at the operators' port", p.OperatorURL() + "/twirp/chestnutlead.wire.Operator/ListPlans", "", http.StatusUnauthorized},
		{"caller's key at the operators' port", p.OperatorURL() + "/twirp/chestnutlead.wire.Operator/ListPlans", callerKey, http.StatusUnauthorized},
		{"peer token at the operators' port", p.OperatorURL() + "/twirp/chestnutlead.wire.Operator/ListPlans", peer, http.StatusUnauthorized},
		{"operator's token at the operators' port", p.OperatorURL() + "/twirp/chestnutlead.wire.Operator/ListPlans", operatorCredential, http.StatusOK},
		{"nothing at the peers' port", p.PeerURL() + "/twirp/chestnutlead.wire.Peer/FetchConfig", "", http.StatusUnauthorized},
		{"operator's token at the peers' port", p.PeerURL() + "/twirp/chestnutlead.wire.Peer/FetchConfig", operatorCredential, http.StatusUnauthorized},
		{"caller's key at the peers' port", p.PeerURL() + "/twirp/chestnutlead.wire.Peer/FetchConfig", callerKey, http.StatusUnauthorized},
		{"peer token at the peers' port", p.PeerURL() + "/twirp/chestnutlead.wire.Peer/FetchConfig", peer, http.StatusOK},
	} {
		require.Equal(t, c.want, post(t, c.url, c.authorization, "application/json", strings.NewReader("{}"), nil), c.name)
	}
	_, err := clwire.NewPeerProtobufClient(p.PeerURL(), http.DefaultClient).PushConfig(context.Background(), &clwire.PushConfigRequest{})
	require.Error(t, err, "a process without the peer token changes no configuration")
}

// TestOversizedRequests guards against bodies and headers over the limits, and
// against a refusal that harms the requests of others.
func TestOversizedRequests(t *testing.T) {
	t.Parallel()
	p := smallProfile(0, 1)
	p.Settings = withSettings(p.Settings, map[string]string{"requests": "body_limit = 64KB\nheader_limit = 8KB\n"})
	f := start(t, p)
	entry := f.Pairs[0]
	key := "Bearer " + clharness.KeyOf(f.Profile.Accounts[0])
	large := strings.Repeat("x", 1<<20)
	url := entry.URL() + "/services/bookings/bookings"
	status := post(t, url, key, "text/plain", strings.NewReader(large), map[string]string{"Idempotency-Key": "large-body"})
	require.Contains(t, []int{0, http.StatusRequestEntityTooLarge}, status, "a body over the limit")
	status = post(t, url, key, "text/plain", strings.NewReader("x"), map[string]string{"Idempotency-Key": "large-header", "X-Large": large[:32<<10]})
	require.Contains(t, []int{0, http.StatusRequestHeaderFieldsTooLarge}, status, "a header over the limit")
	for _, u := range []string{entry.OperatorURL() + "/twirp/chestnutlead.wire.Operator/Apply", entry.PeerURL() + "/twirp/chestnutlead.wire.Peer/PushConfig"} {
		status = post(t, u, "Bearer nobody", "application/json", strings.NewReader(strings.Repeat(large, 8)), nil)
		require.Contains(t, []int{0, http.StatusUnauthorized}, status, "a large body without a credential")
		status = post(t, u, operatorCredential, "application/json", strings.NewReader("{}"), map[string]string{"X-Large": large[:64<<10]})
		require.Contains(t, []int{0, http.StatusRequestHeaderFieldsTooLarge}, status, "a large header")
	}
	runs, err := f.BookingRuns()
	require.NoError(t, err)
	require.Empty(t, runs, "no refused booking ran")
	requireServes(t, f, entry)
}

// TestIdleAndSlowConnections guards against connections that send nothing, or
// read nothing, and hold resources or hold up other callers for good.
func TestIdleAndSlowConnections(t *testing.T) {
	t.Parallel()
	p := smallProfile(2, 1)
	p.Settings = withSettings(p.Settings, map[string]string{"requests@entry": "idle_timeout = 1s\nread_timeout = 1s\n"})
	f := start(t, p)
	entry := f.Pairs[0]
	addr := strings.TrimPrefix(entry.URL(), "http://")
	idle := make([]net.Conn, idleConnections)
	for i := range idle {
		c, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		defer c.Close()
		idle[i] = c
		if i%2 == 0 { // Half of them send the start of a request.
			_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Le")
			require.NoError(t, err)
		}
	}
	slow := slowReader(t, f, addr, slowTokens, slowBuffer)
	defer slow.Close()
	l := startLoad(f, 6, 32)
	eventually(t, healWithin, "ordinary streams beside idle connections", func() bool { return l.done() > 24 })
	l.requireWhole(t)
	requireServes(t, f, entry)
	for i, c := range idle {
		require.NoError(t, c.SetReadDeadline(time.Now().Add(healWithin)))
		_, err := io.Copy(io.Discard, c)
		require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "connection %d is closed within %s", i, healWithin)
	}
}

// TestCallerThatNeverReads guards against a caller that reads nothing of its
// stream and keeps the only slot of an endpoint for good. Another caller's request
// waits at most 10 s in the queue, which is less than the default limit of 30 s.
func TestCallerThatNeverReads(t *testing.T) {
	t.Parallel()
	p := smallProfile(1, 0)
	p.ColdSlots, p.MaxSlots, p.TokensPerSecond = 1, 1, 1e5
	p.Settings = withSettings(p.Settings, map[string]string{"requests@entry": "write_timeout = 1s\n"})
	f := start(t, p)
	slow := slowReader(t, f, strings.TrimPrefix(f.Pairs[0].URL(), "http://"), endlessTokens, 0)
	defer slow.Close()
	begun := time.Now()
	other := &clharness.Caller{URL: f.Pairs[1].URL(), Account: p.Accounts[1], Timeout: bookingTimeout}
	require.NoError(t, other.Stream(context.Background(), p.EngineService, "another caller", 8))
	t.Logf("the other caller was served after %s", time.Since(begun).Round(time.Millisecond))
	require.NoError(t, slow.SetReadDeadline(time.Now().Add(healWithin)))
	rest, err := io.ReadAll(slow)
	require.NotErrorIs(t, err, os.ErrDeadlineExceeded, "the connection is closed")
	require.NotContains(t, string(rest), "[DONE]", "the stream was cut, and did not fit into the buffers")
}

// slowReader asks for a long stream and reads only its first line. A buffer of 0
// leaves the size of the receive buffer to the system.
func slowReader(t *testing.T, f *clharness.Fleet, addr string, tokens, buffer int) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	if buffer > 0 {
		require.NoError(t, c.(*net.TCPConn).SetReadBuffer(buffer))
	}
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"slow"}]}`, f.Profile.EngineService, tokens)
	_, err = fmt.Fprintf(c, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		clharness.KeyOf(f.Profile.Accounts[0]), len(body), body)
	require.NoError(t, err)
	line, err := bufio.NewReaderSize(c, 16).ReadString('\n')
	require.NoError(t, err)
	require.Contains(t, line, "200")
	return c
}
