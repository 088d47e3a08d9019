package clendpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// bytesConn is a connection whose peer sent data and closed.
type bytesConn struct {
	net.Conn
	r io.Reader
}

func (c bytesConn) Read(p []byte) (int, error)       { return c.r.Read(p) }
func (c bytesConn) Close() error                     { return nil }
func (c bytesConn) SetDeadline(time.Time) error      { return nil }
func (c bytesConn) SetReadDeadline(time.Time) error  { return nil }
func (c bytesConn) SetWriteDeadline(time.Time) error { return nil }

// FuzzAnswer guards against an answer that crashes the client, hangs it, or
// looks whole although its body is shorter than it says.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(okAnswer))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\nA: b\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200 OK\r\nSet-Cookie: a=b\r\n\r\nabc"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\nabc"))
	f.Fuzz(func(t *testing.T, data []byte) {
		h := &HTTP{MaxIdlePerEndpoint: 1}
		c := newConn(bytesConn{r: bytes.NewReader(data)}, netip.MustParseAddrPort("127.0.0.1:1"))
		c.begin(context.Background(), Timeouts{FirstByte: time.Second, BetweenReads: time.Second})
		a, err := c.readAnswer(Call{Method: "GET"}, h)
		if err != nil {
			return
		}
		want := a.Body.(*body).left
		n, err := io.Copy(io.Discard, a.Body)
		if want >= 0 && err == nil {
			require.Equal(t, want, n)
		}
		require.LessOrEqual(t, n, int64(len(data)))
		if err != nil {
			require.Equal(t, KindBroken, kindOf(err))
		}
		if len(h.pool.idle) > 0 {
			require.Zero(t, c.br.Buffered(), "a reused connection has unread bytes")
		}
	})
}

// FuzzRequest guards against a call that does not arrive as the one request
// that was meant.
func FuzzRequest(f *testing.F) {
	f.Add("POST", "/x?y", "A", "b", "body")
	f.Add("GET", "/\x00", "Content-Length", "5", "")
	f.Add("GET", "//h/../x", "cookie", "a=b; c", "")
	f.Fuzz(func(t *testing.T, method, path, name, value, reqBody string) {
		call := Call{
			Endpoint: netip.MustParseAddrPort("127.0.0.1:1"), Method: method, Path: path,
			Header: []Header{{name, value}}, Body: []byte(reqBody), AttemptID: "a",
		}
		if validate(call) != nil || len(reqBody) > oneWriteBytes {
			return
		}
		var out bytes.Buffer
		c := newConn(writeConn{w: &out}, call.Endpoint)
		c.begin(context.Background(), Timeouts{FirstByte: time.Second})
		_, err := c.send(call)
		require.NoError(t, err)
		head, rest, ok := strings.Cut(out.String(), "\r\n\r\n")
		require.True(t, ok)
		require.Equal(t, method+" "+path+" HTTP/1.1", strings.SplitN(head, "\r\n", 2)[0])
		require.Equal(t, reqBody, rest)
		br := bufio.NewReader(&out)
		if readRequest(br) { // net/http is stricter than the client about methods and paths
			require.Zero(t, br.Buffered())
		}
	})
}

type writeConn struct {
	bytesConn
	w io.Writer
}

func (c writeConn) Write(p []byte) (int, error) { return c.w.Write(p) }

// FuzzReports guards against reports that crash the decoders or pass
// values that the routing cannot use.
func FuzzReports(f *testing.F) {
	f.Add([]byte(`{"boot_id":"b","produced_at":"2026-01-02T03:04:05Z","running":1,"kv_used_ratio":0.5}`))
	f.Add([]byte(`{"boot_id":"b","running":-1}`))
	f.Add([]byte(`{"events":[{"sequence":1,"block":18446744073709551615,"added":true},{"sequence":3,"block":2}]}`))
	f.Add([]byte(`{"prompt":"p","messages":[{"role":"user","content":"c"}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		if l, err := decodeLoad(data); err == nil {
			require.NotEmpty(t, l.BootID)
			require.GreaterOrEqual(t, l.Running, 0)
			b, err := json.Marshal(l)
			require.NoError(t, err)
			again, err := decodeLoad(b)
			require.NoError(t, err)
			require.Equal(t, l.Running, again.Running)
		}
		if evs, err := decodeCacheEvents(data); err == nil {
			for i := 1; i < len(evs); i++ {
				require.LessOrEqual(t, evs[i-1].Sequence, evs[i].Sequence)
			}
		}
		if p, err := ParsePrompt(data); err == nil {
			require.Len(t, AppendBlocks(nil, p), len(p)/blockBytes)
		}
	})
}
