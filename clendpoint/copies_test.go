// This file tests copies of responses on connections that are used again.

package clendpoint

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// idHeader and nonceHeader are repeated by the responses of these tests. The first is
	// what the client's caller compares, and the second, which no two requests share, shows
	// whether it is right.
	idHeader    = "X-Id"
	nonceHeader = "X-Nonce"
)

type (
	// responseForm is how a response is framed.
	responseForm struct {
		name, method string
		// text is the response with the given header lines.
		text func(header string) string
		// closes is set if the response ends with its connection.
		closes bool
	}

	// repetition is how the copy of a response comes.
	repetition struct {
		name string
		// behind returns what follows the response at once, and rests what comes later,
		// before the next request.
		behind, rests func(copied string) string
		// before returns what comes with the next request, before its body was read, in
		// parts of their own, and with what comes together with the response to it.
		before func(copied string) []string
		with   func(copied string) string
	}
)

var (
	responseForms = []responseForm{
		{"sized", "POST", func(h string) string { return "HTTP/1.1 200 OK\r\n" + h + "Content-Length: 2\r\n\r\nok" }, false},
		{"empty", "POST", func(h string) string { return "HTTP/1.1 503 Service Unavailable\r\n" + h + "Content-Length: 0\r\n\r\n" }, false},
		{"chunks", "POST", func(h string) string {
			return "HTTP/1.1 200 OK\r\n" + h + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
		}, false},
		{"chunks and a trailer", "POST", func(h string) string {
			return "HTTP/1.1 200 OK\r\n" + h + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-End: 1\r\n\r\n"
		}, false},
		{"behind 1xx", "POST", func(h string) string {
			return "HTTP/1.1 103 Early Hints\r\n" + h + "\r\nHTTP/1.1 200 OK\r\n" + h + "Content-Length: 2\r\n\r\nok"
		}, false},
		{"to HEAD", "HEAD", func(h string) string { return "HTTP/1.1 200 OK\r\n" + h + "Content-Length: 2\r\n\r\n" }, false},
		{"204", "POST", func(h string) string { return "HTTP/1.1 204 No Content\r\n" + h + "\r\n" }, false},
		{"304", "GET", func(h string) string { return "HTTP/1.1 304 Not Modified\r\n" + h + "Content-Length: 2\r\n\r\n" }, false},
		{"without a length", "POST", func(h string) string { return "HTTP/1.1 200 OK\r\n" + h + "\r\nok" }, true},
	}

	repetitions = []repetition{
		{name: "at once", behind: same},
		{name: "while the connection rests", rests: same},
		{name: "with the next request", before: func(s string) []string { return []string{s} }},
		{name: "in pieces", before: func(s string) []string { return []string{s[:9], s[9 : len(s)/2], s[len(s)/2:]} }},
		{name: "together with the next response", with: same},
		{name: "behind 1xx", before: func(s string) []string { return []string{"HTTP/1.1 100 Continue\r\n\r\n" + s} }},
		{name: "several", before: func(s string) []string { return []string{s, s} }, with: func(s string) string { return s + s }},
	}
)

func same(s string) string { return s }

// echoed returns the header lines that the response to r repeats.
func echoed(r *http.Request) string {
	return idHeader + ": " + r.Header.Get(idHeader) + "\r\n" + nonceHeader + ": " + r.Header.Get(nonceHeader) + "\r\n"
}

// serveCopies responds in the given form and sends copies of each response. It tells rested
// after the last bytes of a turn.
func serveCopies(c net.Conn, form responseForm, way repetition, rested chan<- struct{}) {
	br := bufio.NewReader(c)
	for copied := ""; ; {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if copied != "" && way.before != nil {
			for _, part := range way.before(copied) {
				_, _ = io.WriteString(c, part)
				time.Sleep(3 * time.Millisecond)
			}
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		text := form.text(echoed(r))
		out := text
		if copied != "" && way.with != nil {
			out = way.with(copied) + text
		}
		if way.behind != nil && !form.closes {
			out += way.behind(text)
		}
		if _, err := io.WriteString(c, out); err != nil || form.closes {
			rested <- struct{}{}
			return
		}
		if way.rests != nil {
			time.Sleep(10 * time.Millisecond)
			_, _ = io.WriteString(c, way.rests(text))
		}
		rested <- struct{}{}
		copied = text
	}
}

// do sends a call with the given request ID and nonce and returns the response, whose body
// it leaves unread.
func do(h *HTTP, call Call, id, nonce string) (*Answer, error) {
	call.AttemptID, call.RequestID = "", id
	call.Header = []Header{{idHeader, id}, {nonceHeader, nonce}}
	return h.Do(context.Background(), call)
}

// TestCopyIsNoResponse guards against the copy of a response that is taken for the response
// to a later request with the same ID, in each form that a response has, and in each way in
// which its copy comes.
func TestCopyIsNoResponse(t *testing.T) {
	for _, form := range responseForms {
		for _, way := range repetitions {
			for _, size := range []int{4, 300_000} {
				if form.method != "POST" && size > 4 {
					continue
				}
				t.Run(fmt.Sprint(form.name, " ", way.name, " ", size), func(t *testing.T) {
					t.Parallel()
					rested := make(chan struct{}, 16)
					addr := listen(t, func(_ int, c net.Conn) { serveCopies(c, form, way, rested) })
					h := newClient(t)
					call := post(addr)
					call.Method, call.Body = form.method, make([]byte, size)
					if form.method != "POST" {
						call.Body = nil
					}
					// The second one of an ID must get its own response. One behind the copy of
					// the response to another ID may fail, but not get another one; its connection, on which the
					// endpoint still owes the response, is not used again.
					out := map[uint64]bool{}
					for i, id := range []string{"r", "r", "s", "t", "r"} {
						a, err := do(h, call, id, fmt.Sprint(i))
						if i == 1 {
							require.NoError(t, err)
							require.Zero(t, a.Conn.Requests)
						}
						if err != nil {
							continue
						}
						if a.Conn.Requests == 0 {
							require.Equal(t, id, a.Value(idHeader), "request %d", i)
						}
						require.False(t, a.Conn.SameID, "request %d", i)
						require.False(t, out[a.Conn.Number], "request %d", i)
						if a.Value(idHeader) != id {
							out[a.Conn.Number] = true
							require.NoError(t, a.Body.Close())
							continue
						}
						require.Equal(t, fmt.Sprint(i), a.Value(nonceHeader), "request %d", i)
						if i%2 == 0 {
							_, err = io.ReadAll(a.Body)
						} else {
							err = Discard(a.Body, 4<<10, time.Minute)
						}
						require.NoError(t, err)
						<-rested
					}
				})
			}
		}
	}
}

// TestCopiesAmongConcurrentRequests guards against a connection that returns to the pool in
// the wrong moment, or without its IDs: requests with few IDs run at the same time, some are
// given up, and an endpoint sends copies of earlier responses at any time.
func TestCopiesAmongConcurrentRequests(t *testing.T) {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	addr := listen(t, func(n int, c net.Conn) {
		rnd := rand.New(rand.NewPCG(seed, uint64(n)))
		var sent []string
		for br := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			if len(sent) > 0 && rnd.IntN(3) == 0 {
				_, _ = io.WriteString(c, sent[rnd.IntN(len(sent))])
			}
			_, _ = io.Copy(io.Discard, r.Body)
			time.Sleep(time.Duration(rnd.IntN(300)) * time.Microsecond)
			form := responseForms[rnd.IntN(4)]
			sent = append(sent, form.text(echoed(r)))
			_, _ = io.WriteString(c, sent[len(sent)-1])
			if rnd.IntN(4) == 0 {
				_, _ = io.WriteString(c, sent[rnd.IntN(len(sent))])
			}
		}
	})
	h := newClient(t)
	var wg sync.WaitGroup
	var own, foreign, kept atomic.Int64
	for worker := range 8 {
		wg.Go(func() {
			rnd := rand.New(rand.NewPCG(seed, uint64(1000+worker)))
			for i := range 150 {
				id, nonce := fmt.Sprint("r", rnd.IntN(60)), fmt.Sprint(worker, "-", i)
				call := post(addr)
				call.NewConnection = rnd.IntN(10) == 0
				ctx, cancel := context.WithCancel(context.Background())
				if rnd.IntN(5) == 0 {
					time.AfterFunc(time.Duration(rnd.IntN(400))*time.Microsecond, cancel)
				}
				call.AttemptID, call.RequestID = "", id
				call.Header = []Header{{idHeader, id}, {nonceHeader, nonce}}
				a, err := h.Do(ctx, call)
				switch {
				case err != nil:
				case a.Value(idHeader) != id:
					foreign.Add(1)
					_ = a.Body.Close()
				default:
					own.Add(1)
					if a.Conn.Requests > 0 {
						kept.Add(1)
					}
					if got := a.Value(nonceHeader); got != nonce {
						t.Errorf("request %s got the response to %s", nonce, got)
					}
					switch rnd.IntN(4) {
					case 0:
						_ = a.Body.Close()
					case 1:
						_ = Discard(a.Body, 4<<10, time.Second)
					default:
						_, _ = io.ReadAll(a.Body)
					}
				}
				cancel()
				if rnd.IntN(50) == 0 {
					h.CloseIdle(addr)
				}
			}
		})
	}
	wg.Wait()
	t.Logf("own %d, foreign %d, on kept connections %d", own.Load(), foreign.Load(), kept.Load())
	require.Positive(t, foreign.Load())
	require.Positive(t, kept.Load())
}

// TestNewConnectionRemembersItsID guards against a connection that enters the pool without
// the ID of its first request: it was asked for, or replaces one that the endpoint closed
// after it was asked for its boot ID.
func TestNewConnectionRemembersItsID(t *testing.T) {
	for _, tc := range []struct {
		name, boot, header string
		asked              bool
		paths              string
	}{
		{"asked for", "", "", true, "0 /run, 1 /run"},
		{"asked for its boot ID", "b1", "", false, "0 /load, 0 /run, 1 /load, 1 /run"},
		{"both, without an echo", "b1", "", true, "0 /load, 1 /run, 2 /load, 2 /run"},
		{"second dial", "b1", "Connection: close\r\n", false, "0 /load, 1 /run, 2 /load, 3 /run"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := &startServer{boots: []string{"b1"}, status: "200 OK", header: tc.header}
			var choices []ConnChoice
			h := newClient(t)
			h.Connected = func(c ConnChoice) { choices = append(choices, c) }
			call := post(listen(t, s.serve))
			call.Path, call.BootID, call.NewConnection = "/run", tc.boot, tc.asked
			_, err := readAll(h, call)
			require.NoError(t, err)
			call.NewConnection = false
			_, err = readAll(h, call)
			require.NoError(t, err)
			require.Equal(t, ConnHadID, choices[1])
			require.Equal(t, tc.paths, strings.Join(s.paths, ", "))
		})
	}
}

// TestCopyOfOrderIsNoReport guards against the answer to an order that is taken for the one
// to the next order, or for a report: the endpoint sends it twice.
func TestCopyOfOrderIsNoReport(t *testing.T) {
	var orders atomic.Int64
	addr := listen(t, func(_ int, c net.Conn) {
		copied := ""
		for br := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, copied)
			status, body := "200 OK", `{"boot_id":"b1"}`
			if r.URL.Path == "/orders" && orders.Add(1) == 2 {
				status = "409 Conflict"
			}
			copied = fmt.Sprintf("HTTP/1.1 %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", status, AttemptHeader, r.Header.Get(AttemptHeader), len(body), body)
			_, _ = io.WriteString(c, copied)
		}
	})
	h := newClient(t)
	require.NoError(t, h.Order(t.Context(), addr, Order{}))
	require.Equal(t, KindFenced, kindOf(h.Order(t.Context(), addr, Order{})), "its own answer")
	_, err := h.Load(t.Context(), addr)
	require.Equal(t, KindBroken, kindOf(err), "the copy of the second order's answer")
}

// TestCopyOfUnnamedFailureIsNoAnswer guards against a request that runs although it was
// refused: its endpoint names attempts, but a proxy before it does not, and sends its
// refusal or failure twice.
func TestCopyOfUnnamedFailureIsNoAnswer(t *testing.T) {
	for _, status := range []string{"429 Too Many Requests", "503 Service Unavailable", "404 Not Found", "500 Internal Server Error"} {
		t.Run(status[:3], func(t *testing.T) {
			unnamed, first := "HTTP/1.1 "+status+"\r\nContent-Length: 0\r\n\r\n", true
			addr := listen(t, func(_ int, c net.Conn) {
				copied := ""
				for br := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if first {
						first, copied = false, unnamed
						_, _ = io.WriteString(c, unnamed)
						continue
					}
					_, _ = fmt.Fprintf(c, "%sHTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 0\r\n\r\n", copied, AttemptHeader, r.Header.Get(AttemptHeader))
				}
			})
			h := newClient(t)
			for _, want := range []string{status[:3], "200", "200"} {
				a, err := h.Do(t.Context(), post(addr))
				require.NoError(t, err)
				require.Equal(t, want, fmt.Sprint(a.Status))
				_, err = io.ReadAll(a.Body)
				require.NoError(t, err)
			}
		})
	}
}

// TestReportWithoutEcho guards against a report that is given up because its endpoint
// echoes attempt IDs in answers to callers' requests, but not in reports.
func TestReportWithoutEcho(t *testing.T) {
	addr := listen(t, func(_ int, c net.Conn) {
		for br := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			body, echo := `{"boot_id":"b1","events":[]}`, ""
			if r.URL.Path != loadPath {
				echo = AttemptHeader + ": " + r.Header.Get(AttemptHeader) + "\r\n"
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", echo, len(body), body)
		}
	})
	h := newClient(t)
	_, err := readAll(h, post(addr))
	require.NoError(t, err)
	_, err = h.Load(t.Context(), addr)
	require.NoError(t, err)
}
