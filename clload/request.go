// This file defines how a request is made from an arrival.

package clload

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

type (
	// Request is one request, the same in all its attempts.
	Request struct {
		Flow    string
		Kind    Kind
		Service string
		Account string
		// Prompt is unique in the run; it is empty for bookings.
		Prompt    string
		MaxTokens int
		// IdempotencyKey is set for bookings.
		IdempotencyKey string
		Body           []byte

		path     string
		key      string
		attempts int
		deadline time.Time
	}

	message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}

	completionBody struct {
		Model     string `json:"model"`
		Stream    bool   `json:"stream"`
		MaxTokens int    `json:"max_tokens"`
		// Temperature 0 makes another run give the same tokens, so that a
		// stream whose endpoint is gone can go on elsewhere.
		Temperature float64   `json:"temperature"`
		Messages    []message `json:"messages"`
	}

	bookingBody struct {
		Account string `json:"account"`
		Booking string `json:"booking"`
		Detail  string `json:"detail"`
	}
)

// uniqueWords end each prompt, so that an answer to another request can be told apart.
const uniqueWords = 8

var words = strings.Fields("cover roster counter dawn shift barista stair flight nosing tread riser stringer crew delivery order member")

// newRequest makes the request of an arrival. runID keeps keys of different runs apart.
func (s *Scenario) newRequest(runID string, a Arrival) *Request {
	f, account := &s.Flows[a.Flow], &s.Accounts[a.Account]
	r := rand.New(rand.NewPCG(a.Random, 0))
	req := &Request{Flow: f.Name, Kind: f.Kind, Service: f.Service, Account: account.Name, key: account.Key, attempts: f.Attempts}
	id := fmt.Sprintf("%s-%s-%d", runID, f.Name, a.Sequence)
	if f.Kind == KindBooking {
		req.IdempotencyKey = id
		req.path = "/services/" + f.Service + f.Path
		req.Body = encode(bookingBody{Account: account.Name, Booking: id, Detail: phrase(r, uniqueWords)})
		return req
	}
	// The beginning depends on the prefix's number alone, so that engines can reuse its cache.
	prefix := rand.New(rand.NewPCG(r.Uint64N(uint64(f.Prefixes)), s.Seed))
	req.Prompt = phrase(prefix, max(0, f.PromptWords-uniqueWords)) + " " + id + " " + phrase(r, uniqueWords)
	req.MaxTokens = f.MaxTokens
	req.path = "/v1/chat/completions"
	req.Body = encode(completionBody{Model: f.Service, Stream: f.Kind == KindStream, MaxTokens: f.MaxTokens,
		Messages: []message{{Role: "user", Content: req.Prompt}}})
	return req
}

// http returns one attempt. It has no GetBody, because net/http would repeat
// a keyed request on its own and hide the broken connection.
func (r *Request) http(ctx context.Context, target, lastEventID string) (*http.Request, error) {
	h, err := http.NewRequestWithContext(ctx, http.MethodPost, target+r.path, io.NopCloser(bytes.NewReader(r.Body)))
	if err != nil {
		return nil, err
	}
	h.ContentLength = int64(len(r.Body))
	h.Header.Set("Authorization", "Bearer "+r.key)
	h.Header.Set("Content-Type", "application/json")
	if r.IdempotencyKey != "" {
		h.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	if lastEventID != "" {
		h.Header.Set("Last-Event-ID", lastEventID)
	}
	return h, nil
}

func phrase(r *rand.Rand, n int) string {
	picked := make([]string, n)
	for i := range picked {
		picked[i] = words[r.IntN(len(words))]
	}
	return strings.Join(picked, " ")
}

// encode marshals a body of strings and numbers, which cannot fail.
func encode(v any) []byte {
	text, _ := json.Marshal(v)
	return text
}
