// This file defines how the stand-in engine generates a stream of tokens.

package clstandin

import (
	"context"
	"net/http"
	"time"

	"github.com/chestnutlead/chestnutlead/clendpoint"
)

type (
	// stream is one generation; fields below id are guarded by the engine's mu.
	stream struct {
		id       string
		created  time.Time
		chat     bool
		model    string
		prompt   string
		seed     uint64
		total    int
		cut      bool // ends by max_tokens
		priority int
		usage    Usage
		withUse  bool // the caller asked for usage in the stream

		generated  int
		attached   bool
		detach     func()        // ends the connection that reads the stream
		detached   chan struct{} // closed when it has ended
		detachedAt time.Time
	}

	// Usage counts tokens in the form of the completion API.
	Usage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
		// PromptDetails holds the tokens found in the prefix cache.
		PromptDetails PromptDetails `json:"prompt_tokens_details"`
		// RecomputedTokens counts prompt and continued tokens that had to be prefilled.
		RecomputedTokens int `json:"recomputed_tokens"`
	}

	// PromptDetails is part of Usage.
	PromptDetails struct {
		CachedTokens int `json:"cached_tokens"`
	}

	// emitter receives the tokens from..to of a stream.
	emitter func(from, to int) error
)

// prefill computes the tokens of the prompt and of the continued answer that
// are not cached.
func (e *Engine) prefill(ctx context.Context, b *boot, st *stream, continued int) error {
	blocks := clendpoint.AppendBlocks(nil, st.prompt+AnswerText(st.prompt, continued))
	tokens := clendpoint.TokenCount(st.prompt) + continued
	e.mu.Lock()
	cached := min(b.cache.touch(blocks)*clendpoint.BlockTokens, tokens)
	b.cache.add(blocks)
	factor := e.pace(b)
	st.generated = continued
	st.usage.PromptDetails.CachedTokens = cached
	st.usage.RecomputedTokens = tokens - cached
	e.usage.PromptTokens += st.usage.PromptTokens
	e.usage.PromptDetails.CachedTokens += cached
	e.usage.RecomputedTokens += tokens - cached
	e.mu.Unlock()
	d := time.Duration(float64(tokens-cached) / e.PrefillPerSecond * factor * float64(time.Second))
	return e.pause(ctx, b, d)
}

// run emits the tokens of a stream from a position on, in the engine's pace
// as far as they have not been generated before.
func (e *Engine) run(ctx context.Context, p *place, st *stream, from int, emit emitter) error {
	b := p.b
	e.mu.Lock()
	ready := st.generated
	e.mu.Unlock()
	if ready == st.total {
		p.leave()
	}
	if from < ready || ready == st.total {
		if err := emit(from, ready); err != nil {
			return err
		}
	}
	next := time.Now()
	for i := ready; i < st.total; i++ {
		e.mu.Lock()
		factor := e.pace(b)
		e.mu.Unlock()
		next = next.Add(time.Duration(factor / e.TokensPerSecond * float64(time.Second)))
		if err := e.pause(ctx, b, time.Until(next)); err != nil {
			return err
		}
		e.mu.Lock()
		st.generated = i + 1
		e.usage.CompletionTokens++
		e.mu.Unlock()
		if i == st.total-1 {
			e.finish(b, st)
			p.leave()
		}
		if i >= from {
			if err := emit(i, i+1); err != nil {
				return err
			}
		}
	}
	return nil
}

// finish caches the answer's blocks.
func (e *Engine) finish(b *boot, st *stream) {
	blocks := clendpoint.AppendBlocks(nil, st.prompt+AnswerText(st.prompt, st.total))
	e.mu.Lock()
	defer e.mu.Unlock()
	b.cache.add(blocks)
}

// pause waits for d, or returns an error if ctx ends or the engine crashes.
func (e *Engine) pause(ctx context.Context, b *boot, d time.Duration) error {
	select {
	case <-b.down:
		return errDown
	default:
	}
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-b.down:
		return errDown
	case <-ctx.Done():
		return ctx.Err()
	}
}

// attach takes over the stream for a request, ends the one that had it, and
// returns the context and the end of the new attachment, which must come after
// the request has left the batch.
func (e *Engine) attach(w http.ResponseWriter, r *http.Request, st *stream) (context.Context, func()) {
	ctx, cancel := context.WithCancel(r.Context())
	detach := func() {
		cancel()
		// A write to a caller that reads no more must not hold up the successor.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now())
	}
	done := make(chan struct{})
	e.mu.Lock()
	for st.attached {
		st.detach()
		previous := st.detached
		e.mu.Unlock()
		<-previous
		e.mu.Lock()
	}
	st.attached, st.detach, st.detached = true, detach, done
	e.mu.Unlock()
	return ctx, func() {
		cancel()
		e.mu.Lock()
		st.attached, st.detachedAt = false, time.Now()
		e.mu.Unlock()
		close(done)
	}
}
