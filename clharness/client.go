// This file defines a caller's client.

package clharness

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/chestnutlead/chestnutlead/clstandin"
	"github.com/go-faster/errors"
)

type (
	// Caller sends requests of one account, each over a connection of its own.
	Caller struct {
		URL     string
		Account string
		Timeout time.Duration
		// HTTP, if set, sends all requests, so that they can share a connection.
		HTTP *http.Client
		// Prompt sends streams to /v1/completions instead of /v1/chat/completions.
		Prompt bool
		// OnBegin, if set, is called when a stream's header has arrived.
		OnBegin func()
	}

	// Reply is a whole answer or a refusal.
	Reply struct {
		Status   int
		Body     []byte
		Replayed bool
		// Run is the run state of a refusal, and Code its kind.
		Run, Code string
	}
)

func (c *Caller) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return &http.Client{Timeout: c.Timeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// Book makes a booking with an idempotency key.
func (c *Caller) Book(ctx context.Context, service, key, body string) (*Reply, error) {
	return c.do(ctx, "/services/"+service+"/bookings", body, map[string]string{"Idempotency-Key": key})
}

// Complete asks for an answer in one piece.
func (c *Caller) Complete(ctx context.Context, service, content string, maxTokens int) (*Reply, error) {
	body, err := completionBody(service, content, maxTokens, false)
	if err != nil {
		return nil, err
	}
	return c.do(ctx, "/v1/chat/completions", string(body), nil)
}

func (c *Caller) do(ctx context.Context, path, body string, header map[string]string) (*Reply, error) {
	resp, err := c.send(ctx, path, body, header)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return nil, err
	}
	r := &Reply{Status: resp.StatusCode, Body: b, Replayed: resp.Header.Get("Idempotency-Replayed") == "true"}
	if strings.HasPrefix(resp.Header.Get("Content-Type"), "application/problem+json") {
		var p struct{ Run, Type string }
		if err := json.Unmarshal(b, &p); err != nil {
			return nil, errors.Wrap(err, "decode problem document")
		}
		r.Run, r.Code = p.Run, p.Type[strings.LastIndex(p.Type, ":")+1:]
	}
	return r, nil
}

func (c *Caller) send(ctx context.Context, path, body string, header map[string]string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.URL+path, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+KeyOf(c.Account))
	for k, v := range header {
		req.Header.Set(k, v)
	}
	return c.client().Do(req)
}

func completionBody(service, content string, maxTokens int, stream bool) ([]byte, error) {
	return json.Marshal(map[string]any{
		"model": service, "stream": stream, "max_tokens": maxTokens, "temperature": 0,
		"messages": []map[string]string{{"role": "user", "content": content}},
	})
}

// Stream reads one stream to its end and returns an error unless it is the
// whole answer to the request.
func (c *Caller) Stream(ctx context.Context, service, content string, maxTokens int) error {
	path, want := "/v1/chat/completions", WantText(content, maxTokens)
	body, err := completionBody(service, content, maxTokens, true)
	if c.Prompt {
		path, want = "/v1/completions", clstandin.AnswerText(content, maxTokens)
		body, err = json.Marshal(map[string]any{
			"model": service, "stream": true, "max_tokens": maxTokens, "temperature": 0, "prompt": content,
		})
	}
	if err != nil {
		return err
	}
	resp, err := c.send(ctx, path, string(body), nil)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if c.OnBegin != nil {
		c.OnBegin()
	}
	if resp.StatusCode != http.StatusOK {
		b, _ := io.ReadAll(resp.Body) // The status alone says enough if the body is missing.
		return errors.Errorf("status %d: %s", resp.StatusCode, bytes.TrimSpace(b))
	}
	text, err := readText(bufio.NewScanner(resp.Body))
	if err != nil {
		return err
	}
	if text != want {
		return errors.Errorf("the answer of %d bytes differs from the request's own of %d bytes", len(text), len(want))
	}
	return nil
}

// WantText returns the whole answer that the stand-in engine gives to a chat
// request with one user message.
func WantText(content string, maxTokens int) string {
	return clstandin.AnswerText("user\n"+content+"\n", maxTokens)
}

// readText returns a stream's text up to its end mark.
func readText(sc *bufio.Scanner) (string, error) {
	var text strings.Builder
	for sc.Scan() {
		if strings.HasPrefix(sc.Text(), "event: error") {
			sc.Scan()
			return "", errors.Errorf("error event after %d bytes: %s", text.Len(), sc.Text())
		}
		data, ok := strings.CutPrefix(sc.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var c struct {
			Choices []struct {
				Text  string `json:"text"`
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(data), &c) == nil && len(c.Choices) > 0 {
			text.WriteString(c.Choices[0].Text + c.Choices[0].Delta.Content)
		}
	}
	return "", errors.Errorf("the stream ended after %d bytes without its end mark: %v", text.Len(), sc.Err())
}
