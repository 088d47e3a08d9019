package clentry

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttputil"
)

const testWriteTimeout = 30 * time.Second

// scriptedSource yields one event each time it is told to, until events is closed.
type scriptedSource struct {
	events chan string
	ended  chan bool
}

func (s *scriptedSource) appendEvents(b []byte) ([]byte, bool) {
	data, ok := <-s.events
	if !ok {
		return b, true
	}
	return appendData(b, []byte(data)), false
}

func (s *scriptedSource) end(callerGone bool) { s.ended <- callerGone }

func newScriptedSource() *scriptedSource {
	return &scriptedSource{events: make(chan string, 1), ended: make(chan bool, 1)}
}

// serveStream serves every request with the source's events and returns a connection to the server.
func serveStream(t testing.TB, source eventSource) net.Conn {
	ln := fasthttputil.NewInmemoryListener()
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.SetBodyStream(&streamBody{source: source, arm: ctx.SetWriteDeadline, writeTimeout: testWriteTimeout}, -1)
	}}
	go func() { _ = server.Serve(ln) }() // It ends with the listener.
	t.Cleanup(func() { _ = ln.Close() })
	c, err := ln.Dial()
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// TestStreamBody guards against events that are held back until the next one
// or the stream's end, and against a stream that is not ended exactly once.
func TestStreamBody(t *testing.T) {
	source := newScriptedSource()
	c := serveStream(t, source)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	source.events <- "a"
	var hdr fasthttp.ResponseHeader
	br := bufio.NewReader(c)
	require.NoError(t, hdr.Read(br))
	require.Equal(t, -1, hdr.ContentLength())
	for _, next := range []string{"b", "c", ""} {
		line, err := br.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, "9\r\n", line)
		event := make([]byte, len("data: a\n\n")+len("\r\n"))
		_, err = io.ReadFull(br, event)
		require.NoError(t, err)
		require.True(t, strings.HasPrefix(string(event), "data: "))
		if next != "" {
			source.events <- next // Only now, so that no event can have waited for it.
		}
	}
	close(source.events)
	line, err := br.ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "0\r\n", line)
	require.False(t, <-source.ended)
	require.Empty(t, source.ended)
}

// TestStreamBodyCallerGone guards against streams whose attempt goes on after
// the caller has closed its connection, or is counted as whole.
func TestStreamBodyCallerGone(t *testing.T) {
	source := newScriptedSource()
	c := serveStream(t, source)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	source.events <- "a"
	_, err = io.ReadFull(c, make([]byte, len("HTTP/1.1 200 OK")))
	require.NoError(t, err)
	require.NoError(t, c.Close())
	for {
		select {
		case source.events <- "b":
			continue
		case gone := <-source.ended:
			require.True(t, gone)
		}
		break
	}
}

// TestStreamBodyRead guards against events that callers without chunks get
// otherwise than the others, and against an end that is taken for a caller's.
func TestStreamBodyRead(t *testing.T) {
	source := newScriptedSource()
	armed := 0
	s := &streamBody{source: source, arm: func(time.Time) error { armed++; return nil }, writeTimeout: testWriteTimeout}
	long := strings.Repeat("x", 3*maxBatchBytes)
	go func() {
		defer close(source.events)
		for _, e := range []string{"a", long, "b"} {
			source.events <- e
		}
	}()
	got, err := io.ReadAll(s)
	require.NoError(t, err)
	require.Equal(t, "data: a\n\ndata: "+long+"\n\ndata: b\n\n", string(got))
	require.Positive(t, armed)
	require.NoError(t, s.Close())
	require.NoError(t, s.Close())
	require.False(t, <-source.ended)
	require.Empty(t, source.ended)
}

// deadlineListener notes the last write deadline of its connections.
type (
	deadlineListener struct {
		net.Listener
		last atomic.Pointer[time.Time]
	}
	deadlineConn struct {
		net.Conn
		l *deadlineListener
	}
)

func (l *deadlineListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return &deadlineConn{c, l}, err
}

func (c *deadlineConn) SetWriteDeadline(t time.Time) error {
	c.l.last.Store(&t)
	return c.Conn.SetWriteDeadline(t)
}

// TestStreamBodyDeadline guards against a write deadline that outlives its
// stream and fails a later answer on the same connection.
func TestStreamBodyDeadline(t *testing.T) {
	source := newScriptedSource()
	close(source.events)
	mem := fasthttputil.NewInmemoryListener()
	ln := &deadlineListener{Listener: mem}
	later := make(chan time.Time, 1)
	server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/later" {
			later <- *ln.last.Load()
			return
		}
		ctx.SetBodyStream(&streamBody{source: source, arm: ctx.SetWriteDeadline, writeTimeout: testWriteTimeout}, -1)
	}}
	go func() { _ = server.Serve(ln) }() // It ends with the listener.
	defer mem.Close()
	c, err := mem.Dial()
	require.NoError(t, err)
	defer c.Close()
	br := bufio.NewReader(c)
	for _, path := range []string{"/", "/later"} {
		_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: x\r\n\r\n")
		require.NoError(t, err)
		var resp fasthttp.Response
		require.NoError(t, resp.Read(br))
	}
	require.True(t, (<-later).IsZero())
}

// countedSource yields n events as fast as they are sent.
type countedSource struct {
	n     int
	data  []byte
	ended chan bool
}

func (s *countedSource) appendEvents(b []byte) ([]byte, bool) {
	s.n--
	return appendData(b, s.data), s.n <= 0
}

func (s *countedSource) end(callerGone bool) { s.ended <- callerGone }

// BenchmarkStreamBody measures the way of one event from its source through
// the server to a caller in the same process.
func BenchmarkStreamBody(b *testing.B) {
	source := &countedSource{n: b.N, data: []byte(`{"choices":[{"delta":{"content":" roster"}}]}`), ended: make(chan bool, 1)}
	c := serveStream(b, source)
	b.ReportAllocs()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	require.NoError(b, err)
	_, err = io.Copy(io.Discard, c)
	require.NoError(b, err)
	require.False(b, <-source.ended)
}
