// This file defines the completion API of the stand-in engine.

package clstandin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/chestnutlead/chestnutlead/clendpoint"
)

type (
	// completionRequest is the body of a completion call.
	completionRequest struct {
		clendpoint.PromptFields
		Model         string `json:"model"`
		MaxTokens     int    `json:"max_tokens"`
		Stream        bool   `json:"stream"`
		StreamOptions struct {
			IncludeUsage bool `json:"include_usage"`
		} `json:"stream_options"`
		// Priority orders waiting requests; lower ones run first.
		Priority int `json:"priority"`
		// ContinueTokens are the first tokens of the answer, generated elsewhere;
		// the answer goes on after them.
		ContinueTokens []string `json:"continue_tokens"`
	}

	// completion is an answer, or one event of a streamed answer.
	completion struct {
		ID      string   `json:"id"`
		Object  string   `json:"object"`
		Created int64    `json:"created"`
		Model   string   `json:"model"`
		Choices []choice `json:"choices"`
		Usage   *Usage   `json:"usage,omitempty"`
	}

	choice struct {
		Index        int      `json:"index"`
		Text         *string  `json:"text,omitempty"`
		Message      *message `json:"message,omitempty"`
		Delta        *message `json:"delta,omitempty"`
		FinishReason *string  `json:"finish_reason"`
	}

	message struct {
		Role    string `json:"role,omitempty"`
		Content string `json:"content"`
	}

	resumeRequest struct {
		// Position is the number of tokens that the caller already has.
		Position int `json:"position"`
	}
)

const (
	// StreamHeader carries the ID of a generation, for resume, cancel and export.
	StreamHeader = "X-Stream-ID"
	// maxAnswerTokens bounds the memory of one answer.
	maxAnswerTokens = 1 << 18
)

func (e *Engine) routeCompletions() {
	e.mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, false) })
	e.mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, true) })
	e.mux.HandleFunc("POST /v1/streams/{id}/resume", e.handleResume)
	e.mux.HandleFunc("POST /v1/streams/{id}/cancel", e.handleCancel)
}

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, chat bool) {
	var req completionRequest
	if !decode(w, r, &req) {
		return
	}
	if req.MaxTokens < 0 || req.MaxTokens > maxAnswerTokens {
		fail(w, http.StatusBadRequest, "max_tokens is out of range")
		return
	}
	st := newStream(&req, chat)
	continued := len(req.ContinueTokens)
	if continued > st.total {
		fail(w, http.StatusUnprocessableEntity, "more continue_tokens than the answer has")
		return
	}
	for i, t := range req.ContinueTokens {
		if t != token(st.seed, i) {
			fail(w, http.StatusUnprocessableEntity, fmt.Sprintf("continue_tokens[%d] is not a token of this answer", i))
			return
		}
	}
	ctx, end := e.attach(w, r, st)
	defer end()
	p, err := e.enter(ctx, req.Priority)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer p.leave()
	e.mu.Lock()
	st.id = p.b.streamID()
	if req.Stream {
		p.b.streams[st.id] = st
	}
	e.mu.Unlock()
	if err := e.prefill(ctx, p.b, st, continued); err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(StreamHeader, st.id)
	if req.Stream {
		err = e.run(ctx, p, st, continued, newEvents(w, st).emit)
	} else {
		err = e.run(ctx, p, st, st.total, func(int, int) error { return nil })
	}
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if !req.Stream {
		reply(w, http.StatusOK, st.whole(continued))
	}
}

func newStream(req *completionRequest, chat bool) *stream {
	prompt := req.Text()
	n, cut := AnswerTokens(prompt, req.MaxTokens)
	st := &stream{
		created: time.Now(), chat: chat, model: req.Model, prompt: prompt, seed: xxhash.Sum64String(prompt),
		total: n, cut: cut, priority: req.Priority, withUse: req.StreamOptions.IncludeUsage,
	}
	st.usage.PromptTokens = clendpoint.TokenCount(prompt)
	st.usage.CompletionTokens = n
	st.usage.TotalTokens = st.usage.PromptTokens + n
	return st
}

// handleResume goes on with a stream whose connection ended, or takes it over.
func (e *Engine) handleResume(w http.ResponseWriter, r *http.Request) {
	var req resumeRequest
	if !decode(w, r, &req) {
		return
	}
	e.mu.Lock()
	boot := e.boot
	st := boot.streams[r.PathValue("id")]
	known := st != nil && req.Position >= 0 && req.Position <= st.generated
	e.mu.Unlock()
	if !known {
		fail(w, http.StatusNotFound, "stream is not known, or not at this position")
		return
	}
	ctx, end := e.attach(w, r, st)
	defer end()
	p, err := e.enter(ctx, st.priority)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer p.leave()
	if p.b != boot {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(StreamHeader, st.id)
	if err := e.run(ctx, p, st, req.Position, newEvents(w, st).emit); err != nil {
		panic(http.ErrAbortHandler)
	}
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	st := e.boot.streams[r.PathValue("id")]
	delete(e.boot.streams, r.PathValue("id"))
	var detached chan struct{}
	if st != nil && st.attached {
		st.detach()
		detached = st.detached
	}
	e.mu.Unlock()
	if detached != nil {
		<-detached // the answer says that the place in the batch is free
	}
	if st == nil {
		fail(w, http.StatusNotFound, "stream is not known")
		return
	}
	reply(w, http.StatusOK, struct{}{})
}

// whole returns the complete answer without the tokens before from.
func (st *stream) whole(from int) completion {
	text := AnswerText(st.prompt, st.total)[from*clendpoint.BytesPerToken:]
	c := st.frame("")
	if st.chat {
		c.Choices = []choice{{Message: &message{Role: "assistant", Content: text}, FinishReason: st.reason()}}
	} else {
		c.Choices = []choice{{Text: &text, FinishReason: st.reason()}}
	}
	c.Usage = &st.usage
	return c
}

// frame returns an answer without content.
func (st *stream) frame(suffix string) completion {
	c := completion{ID: "cmpl-" + st.id, Object: "text_completion", Created: st.created.Unix(), Model: st.model}
	if st.chat {
		c.ID, c.Object = "chatcmpl-"+st.id, "chat.completion"+suffix
	}
	return c
}

func (st *stream) reason() *string {
	reason := "stop"
	if st.cut {
		reason = "length"
	}
	return &reason
}

// events writes a stream as server-sent events.
type events struct {
	w     http.ResponseWriter
	flush func()
	st    *stream
}

func newEvents(w http.ResponseWriter, st *stream) *events {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	ev := &events{w: w, st: st, flush: func() {}}
	if f, ok := w.(http.Flusher); ok {
		ev.flush = f.Flush
	}
	return ev
}

// emit writes one event for each token, and the end of the stream after the last.
func (ev *events) emit(from, to int) error {
	st := ev.st
	for i := from; i < to; i++ {
		c := st.frame(".chunk")
		ch := choice{}
		text := token(st.seed, i)
		if st.chat {
			ch.Delta = &message{Content: text}
			if i == 0 {
				ch.Delta.Role = "assistant"
			}
		} else {
			ch.Text = &text
		}
		if i == st.total-1 {
			ch.FinishReason = st.reason()
		}
		c.Choices = []choice{ch}
		if err := ev.write(i+1, c); err != nil {
			return err
		}
	}
	if to == st.total {
		if st.withUse {
			c := st.frame(".chunk")
			c.Choices, c.Usage = []choice{}, &st.usage
			if err := ev.write(st.total, c); err != nil {
				return err
			}
		}
		if _, err := ev.w.Write([]byte("data: [DONE]\n\n")); err != nil {
			return err
		}
	}
	ev.flush()
	return nil
}

// write sends an event whose ID is the stream and the number of tokens up to it.
func (ev *events) write(position int, c completion) error {
	b, err := json.Marshal(c)
	if err != nil {
		return err
	}
	out := append([]byte("id: "+ev.st.id+":"+strconv.Itoa(position)+"\ndata: "), b...)
	_, err = ev.w.Write(append(out, '\n', '\n'))
	return err
}
