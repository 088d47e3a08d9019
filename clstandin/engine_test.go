package clstandin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/require"

	"github.com/chestnutlead/chestnutlead/clendpoint"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// testEngine returns a started engine that is fast and reports without lag,
// after change was applied to it.
func testEngine(t *testing.T, change func(*Engine)) *Engine {
	t.Helper()
	e := NewEngine()
	e.Listen, e.TokensPerSecond, e.PrefillPerSecond = loopback, 2000, 1e6
	e.LoadLag, e.LoadEvery, e.CacheEventLag = 0, time.Millisecond, 0
	if change != nil {
		change(e)
	}
	require.NoError(t, e.Start())
	t.Cleanup(e.Close)
	return e
}

func testClient(t *testing.T) *clendpoint.HTTP {
	h := &clendpoint.HTTP{Timeouts: clendpoint.Timeouts{Connect: time.Minute, FirstByte: time.Minute, BetweenReads: time.Minute}}
	t.Cleanup(h.Close)
	return h
}

// body returns a streamed completion request.
func body(prompt string, maxTokens int, more string) string {
	return fmt.Sprintf(`{"prompt":%q,"max_tokens":%d,"stream":true,"stream_options":{"include_usage":true}%s}`, prompt, maxTokens, more)
}

func call(addr netip.AddrPort, path, reqBody string) clendpoint.Call {
	return clendpoint.Call{Endpoint: addr, Method: "POST", Path: path, Body: []byte(reqBody), AttemptID: "attempt"}
}

// streamed is what a caller got of a stream.
type streamed struct {
	id       string
	text     string
	tokens   []string
	usage    Usage
	complete bool
}

// read reads events until the end of the stream, or until limit tokens if that is above 0.
func (s *streamed) read(r io.Reader, limit int) error {
	sc := bufio.NewScanner(r)
	for sc.Scan() {
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.complete = true
			return nil
		}
		var c completion
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return err
		}
		s.id = strings.TrimPrefix(strings.TrimPrefix(c.ID, "chat"), "cmpl-")
		for _, ch := range c.Choices {
			token := ""
			if ch.Text != nil {
				token = *ch.Text
			} else if ch.Delta != nil {
				token = ch.Delta.Content
			}
			s.text += token
			s.tokens = append(s.tokens, token)
		}
		if c.Usage != nil {
			s.usage = *c.Usage
		}
		if limit > 0 && len(s.tokens) >= limit {
			return nil
		}
	}
	return sc.Err()
}

// streamCall runs a call and reads the whole answer.
func streamCall(h *clendpoint.HTTP, c clendpoint.Call) (streamed, error) {
	var s streamed
	a, err := h.Do(context.Background(), c)
	if err != nil {
		return s, err
	}
	defer a.Body.Close()
	if a.Status != 200 {
		b, _ := io.ReadAll(a.Body)
		return s, fmt.Errorf("status %d: %s", a.Status, b)
	}
	return s, s.read(a.Body, 0)
}

// TestAnswers guards against answers that a test cannot attribute to their prompt.
func TestAnswers(t *testing.T) {
	e, h := testEngine(t, nil), testClient(t)
	s, err := streamCall(h, call(e.Addr(), "/v1/completions", body("p", 9, "")))
	require.NoError(t, err)
	require.True(t, s.complete)
	require.Equal(t, AnswerText("p", 9), s.text)
	require.Equal(t, Token("p", 4), s.tokens[4])

	chat := `{"messages":[{"role":"user","content":"p"}],"stream":true}`
	prompt := "user\np\n"
	n, cut := AnswerTokens(prompt, 0)
	require.False(t, cut)
	s, err = streamCall(h, call(e.Addr(), "/v1/chat/completions", chat))
	require.NoError(t, err)
	require.Equal(t, AnswerText(prompt, n), s.text)

	a, err := h.Do(context.Background(), call(e.Addr(), "/v1/chat/completions", strings.Replace(chat, "true", "false", 1)))
	require.NoError(t, err)
	require.Equal(t, "attempt", a.Value(clendpoint.AttemptHeader))
	var c completion
	require.NoError(t, json.NewDecoder(a.Body).Decode(&c))
	require.Equal(t, AnswerText(prompt, n), c.Choices[0].Message.Content)
	require.Equal(t, "stop", *c.Choices[0].FinishReason)
}

// TestContinuations guards against a resumed answer that differs from an
// uninterrupted one, and against counting of its tokens that hides recomputation.
func TestContinuations(t *testing.T) {
	const total, got = 40, 7
	prompt := strings.Repeat("prompt ", 40) // 280 bytes, 70 tokens, 4 whole blocks
	want := AnswerText(prompt, total)
	// begin reads some tokens of a stream and breaks its connection.
	begin := func(t *testing.T, h *clendpoint.HTTP, e *Engine) streamed {
		var s streamed
		a, err := h.Do(context.Background(), call(e.Addr(), "/v1/completions", body(prompt, total, "")))
		require.NoError(t, err)
		require.NoError(t, s.read(a.Body, got))
		require.NoError(t, a.Body.Close())
		return s
	}
	resume := func(e *Engine, s streamed, position int) clendpoint.Call {
		return call(e.Addr(), "/v1/streams/"+s.id+"/resume", fmt.Sprintf(`{"position":%d}`, position))
	}
	t.Run("resume", func(t *testing.T) {
		e, h := testEngine(t, nil), testClient(t)
		s := begin(t, h, e)
		rest, err := streamCall(h, resume(e, s, got))
		require.NoError(t, err)
		require.Equal(t, want, s.text+rest.text)
		again, err := streamCall(h, resume(e, s, total))
		require.NoError(t, err)
		require.True(t, again.complete)
		require.Empty(t, again.text)
	})
	t.Run("takeover of a silent stream", func(t *testing.T) {
		e, h := testEngine(t, func(e *Engine) { e.MaxRunning, e.ColdTime, e.ColdSlots = 1, time.Hour, 1 }), testClient(t)
		var s streamed
		a, err := h.Do(context.Background(), call(e.Addr(), "/v1/completions", body(prompt, total, "")))
		require.NoError(t, err)
		require.NoError(t, s.read(a.Body, got))
		rest, err := streamCall(h, resume(e, s, got))
		require.NoError(t, err)
		require.Equal(t, want, s.text+rest.text)
		require.Equal(t, 1, e.Stats().Boot.Peak)
		a.Body.Close()
	})
	t.Run("cancel", func(t *testing.T) {
		e, h := testEngine(t, nil), testClient(t)
		s := begin(t, h, e)
		a, err := h.Do(context.Background(), call(e.Addr(), "/v1/streams/"+s.id+"/cancel", ""))
		require.NoError(t, err)
		require.Equal(t, 200, a.Status)
		_, err = streamCall(h, resume(e, s, got))
		require.ErrorContains(t, err, "status 404")
	})
	for _, export := range []string{"none", "relayed", "fetched"} {
		t.Run("continue elsewhere, export "+export, func(t *testing.T) {
			e, other, h := testEngine(t, nil), testEngine(t, nil), testClient(t)
			s := begin(t, h, e)
			if export == "relayed" {
				a, err := h.Do(context.Background(), clendpoint.Call{Endpoint: e.Addr(), Method: "GET", Path: "/v1/streams/" + s.id + "/kv"})
				require.NoError(t, err)
				kv, err := io.ReadAll(a.Body)
				require.NoError(t, err)
				require.Greater(t, len(kv), 77*e.KVBytesPerToken)
				a, err = h.Do(context.Background(), call(other.Addr(), "/v1/kv", string(kv)))
				require.NoError(t, err)
				require.Equal(t, 200, a.Status)
			}
			if export == "fetched" {
				c := call(other.Addr(), "/v1/kv", fmt.Sprintf(`{"from":%q,"stream":%q}`, e.Addr(), s.id))
				c.Header = []clendpoint.Header{{Name: "Content-Type", Value: "application/json"}}
				a, err := h.Do(context.Background(), c)
				require.NoError(t, err)
				require.Equal(t, 200, a.Status)
			}
			tokens, err := json.Marshal(s.tokens[:got])
			require.NoError(t, err)
			rest, err := streamCall(h, call(other.Addr(), "/v1/completions", body(prompt, total, `,"continue_tokens":`+string(tokens))))
			require.NoError(t, err)
			require.Equal(t, want, strings.Join(s.tokens[:got], "")+rest.text)
			cached := 0
			if export != "none" {
				cached = 64
			}
			require.Equal(t, cached, rest.usage.PromptDetails.CachedTokens)
			require.Equal(t, 77-cached, rest.usage.RecomputedTokens)
			_, err = streamCall(h, call(other.Addr(), "/v1/completions", body(prompt, total, `,"continue_tokens":["x"]`)))
			require.ErrorContains(t, err, "status 422")
		})
	}
}

// TestCold guards against a cold engine that bears any load, and peaks that are lost by its crash.
func TestCold(t *testing.T) {
	e, h := testEngine(t, func(e *Engine) { e.ColdTime, e.ColdSlots = time.Hour, 2 }), testClient(t)
	boot := e.Stats().Boot.BootID
	l, err := h.Load(context.Background(), e.Addr())
	require.NoError(t, err)
	require.True(t, l.Cold)
	e.TokensPerSecond = 1 // keeps the first two running
	var wg sync.WaitGroup
	for range 3 {
		wg.Go(func() {
			_, err := streamCall(h, call(e.Addr(), "/v1/completions", body("p", 1000, "")))
			var ce *clendpoint.Error
			if !errors.As(err, &ce) || ce.Kind != clendpoint.KindBroken {
				t.Errorf("expected a broken connection, got %v", err)
			}
		})
	}
	wg.Wait()
	s := e.Stats()
	require.Equal(t, 1, s.Crashes)
	require.Equal(t, BootStats{BootID: boot, Peak: 3, ColdPeak: 3, Requests: 3, Crash: "overload"}, s.Past[0])
	require.Zero(t, s.Boot.Requests, "a request from before the crash")
	l, err = h.Load(context.Background(), e.Addr())
	require.NoError(t, err)
	require.NotEqual(t, boot, l.BootID)

	e.SetFaults(Faults{HideCold: true, CrashMarker: "poison"})
	_, err = streamCall(h, call(e.Addr(), "/v1/completions", body("poison", 1, "")))
	require.Error(t, err)
	require.Equal(t, BootStats{BootID: l.BootID, Crash: "marker"}, e.Stats().Past[1])
	require.Eventually(t, func() bool {
		l, err := h.Load(context.Background(), e.Addr())
		return err == nil && !l.Cold
	}, time.Minute, time.Millisecond)
}

// TestTurnCold guards against an engine that turned cold and shows no sign of it.
func TestTurnCold(t *testing.T) {
	e, h := testEngine(t, func(e *Engine) { e.ColdSlots = 0 }), testClient(t)
	_, err := streamCall(h, call(e.Addr(), "/v1/completions", body("p", 2, "")))
	require.NoError(t, err)
	e.ColdTime = time.Hour
	a, err := h.Do(context.Background(), call(e.Addr(), "/admin/actions/turn_cold", ""))
	require.NoError(t, err)
	require.Equal(t, 200, a.Status)
	_, err = streamCall(h, call(e.Addr(), "/v1/completions", body("p", 2, "")))
	require.Error(t, err)
	require.Equal(t, "overload", e.Stats().Past[0].Crash)
}

// TestBatch guards against a batch that exceeds its size, and against waiting
// requests that are admitted against their priority.
func TestBatch(t *testing.T) {
	e := testEngine(t, func(e *Engine) { e.MaxRunning = 1 })
	first, err := e.enter(context.Background(), 0)
	require.NoError(t, err)
	order := make(chan int, 3)
	for i, priority := range []int{5, 1, 1} {
		go func() {
			b, err := e.enter(context.Background(), priority)
			if err == nil {
				order <- i
				b.leave()
			}
		}()
		require.Eventually(t, func() bool { // queued before the next one
			e.mu.Lock()
			defer e.mu.Unlock()
			return len(e.boot.waiting) == i+1
		}, time.Minute, time.Millisecond)
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = e.enter(ctx, 0)
	require.ErrorIs(t, err, context.Canceled)
	first.leave()
	require.Equal(t, []int{1, 2, 0}, []int{<-order, <-order, <-order})
	require.Equal(t, 5, e.Stats().Boot.Peak)
}

// TestReports guards against load reports and cache events without their lag and gaps.
func TestReports(t *testing.T) {
	ctx := context.Background()
	e, h := testEngine(t, func(e *Engine) {
		e.LoadLag, e.CacheBlocks, e.CacheEventLoss = time.Hour, 3, 0.5
	}), testClient(t)
	prompt := strings.Repeat("x", 64*3)
	for _, p := range []string{prompt, "y" + prompt, prompt} {
		_, err := streamCall(h, call(e.Addr(), "/v1/completions", body(p, 1, "")))
		require.NoError(t, err)
	}
	evs, err := h.CacheEvents(ctx, e.Addr(), 1)
	require.NoError(t, err)
	// Sequence 15: three prompts of 3 blocks are added and two of them evicted.
	require.Less(t, len(evs), 14, "no event was lost")
	require.LessOrEqual(t, evs[len(evs)-1].Sequence, uint64(15))
	full, err := h.CacheEvents(ctx, e.Addr(), 0)
	require.NoError(t, err)
	require.Len(t, full, 3)
	require.EqualValues(t, 15, full[0].Sequence)
	require.Equal(t, clendpoint.AppendBlocks(nil, prompt)[0], full[0].Block)
	e.CacheEventLag = time.Hour
	evs, err = h.CacheEvents(ctx, e.Addr(), 1)
	require.NoError(t, err)
	require.Empty(t, evs)

	started, err := h.Load(ctx, e.Addr())
	require.NoError(t, err)
	require.Zero(t, started.KVUsedRatio, "the report is older than the requests")
	s, err := streamCall(h, call(e.Addr(), "/v1/completions", body(prompt, 1, "")))
	require.NoError(t, err)
	require.Equal(t, 48, s.usage.PromptDetails.CachedTokens)
	require.Zero(t, s.usage.RecomputedTokens)
}

// TestFencing guards against an engine that checks fencing when it should not, or the reverse.
func TestFencing(t *testing.T) {
	for _, checks := range []bool{false, true} {
		e, h := testEngine(t, func(e *Engine) { e.ChecksFencing = checks }), testClient(t)
		ctx := context.Background()
		require.NoError(t, h.Order(ctx, e.Addr(), clendpoint.Order{Fencing: 5, Action: "load", Version: "v2"}))
		require.NoError(t, h.Order(ctx, e.Addr(), clendpoint.Order{Fencing: 5, Action: "role", Role: "prefill"}))
		err := h.Order(ctx, e.Addr(), clendpoint.Order{Fencing: 4, Action: "load", Version: "v1"})
		var ce *clendpoint.Error
		if checks {
			require.True(t, errors.As(err, &ce))
			require.Equal(t, clendpoint.KindFenced, ce.Kind)
		} else {
			require.NoError(t, err)
		}
		err = h.Order(ctx, e.Addr(), clendpoint.Order{Fencing: 6, Action: "dance"})
		require.True(t, errors.As(err, &ce))
		require.Equal(t, clendpoint.KindStatus, ce.Kind)
		require.Equal(t, "prefill", e.Stats().Role)
		want := map[bool]string{true: "v2", false: "v1"}[checks]
		require.Eventually(t, func() bool {
			l, err := h.Load(ctx, e.Addr())
			return err == nil && l.Version == want
		}, time.Minute, time.Millisecond)
	}
}

// FuzzReadKV guards against an imported cache that crashes the engine or is shorter than it says.
func FuzzReadKV(f *testing.F) {
	f.Add([]byte("{\"blocks\":[1,2],\"tokens\":32,\"bytes\":3}\nkkk"))
	f.Add([]byte("{}\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		h, err := readKV(bytes.NewReader(data))
		if err == nil {
			require.Equal(t, h.Bytes, int64(len(data)-bytes.IndexByte(data, '\n')-1))
		}
	})
}

// Guards against promises that are measured by the arrival of requests, and count the
// questions for reports instead.
func TestReportsAreNoArrivals(t *testing.T) {
	e, h := testEngine(t, nil), testClient(t)
	_, err := h.Load(t.Context(), e.Addr())
	require.NoError(t, err)
	_, err = h.CacheEvents(t.Context(), e.Addr(), 0)
	require.NoError(t, err)
	require.Zero(t, e.Arrivals().Count)
}
