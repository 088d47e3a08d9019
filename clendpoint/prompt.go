// This file defines how engines divide prompts into the blocks of their prefix caches.

package clendpoint

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

type (
	// PromptFields are the fields of a completion request that make up its prompt.
	PromptFields struct {
		Prompt   string    `json:"prompt"`
		Messages []Message `json:"messages"`
	}

	// Message is one turn of a chat request.
	Message struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}
)

const (
	// BytesPerToken is the length of a token in the text of a prompt or answer.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in a block of the prefix cache.
	BlockTokens = 16

	blockBytes = BlockTokens * BytesPerToken
)

// Text returns the prompt, or the chat's messages in the order and form in
// which engines process them.
func (f *PromptFields) Text() string {
	if f.Messages == nil {
		return f.Prompt
	}
	var b []byte
	for _, m := range f.Messages {
		b = append(b, m.Role...)
		b = append(b, '\n')
		b = append(b, m.Content...)
		b = append(b, '\n')
	}
	return string(b)
}

// ParsePrompt returns the prompt of a completion request's body.
func ParsePrompt(body []byte) (string, error) {
	var f PromptFields
	if err := json.Unmarshal(body, &f); err != nil {
		return "", errors.Wrap(err, "decode prompt")
	}
	return f.Text(), nil
}

// TokenCount returns the number of tokens of a text.
func TokenCount(text string) int { return (len(text) + BytesPerToken - 1) / BytesPerToken }

// AppendBlocks appends, for each whole block of the prompt, the xxhash of the
// prompt up to the end of that block.
func AppendBlocks(dst []uint64, prompt string) []uint64 {
	d := xxhash.New()
	for ; len(prompt) >= blockBytes; prompt = prompt[blockBytes:] {
		_, _ = d.WriteString(prompt[:blockBytes])
		dst = append(dst, d.Sum64())
	}
	return dst
}
